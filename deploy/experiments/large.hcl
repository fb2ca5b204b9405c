# As large as one machine plays in minutes: 1,000 boxes with 100 schedulers, 5,000 with 500.
experiment {
  scripts    = "../rehearsals/calm.hcl ../rehearsals/zone_loss.hcl"
  policies   = "module"
  scale      = "66.7 333"
  schedulers = "100 500"
  seeds      = 1
}
