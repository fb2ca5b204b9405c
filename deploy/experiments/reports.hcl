# What the age of load reports costs: at 100 boxes and 50 schedulers, from 10 ms to 5 s.
experiment {
  scripts    = "../rehearsals/calm.hcl ../rehearsals/slow.hcl"
  policies   = "module random least_outstanding"
  scale      = "6.67"
  schedulers = "50"
  refresh_ms = "10 60 250 1000 5000"
  seeds      = 3
}
