# The same work a box at ever larger fleets, calm and with a branch lost, by the module and by plain policies.
experiment {
  scripts    = "../rehearsals/calm.hcl ../rehearsals/zone_loss.hcl"
  policies   = "module random least_outstanding oracle"
  scale      = "0.67 6.67 66.7"
  schedulers = "5 50"
  seeds      = 3
}
