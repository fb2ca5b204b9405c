# The fleet of calm.hcl, and a fifth of the boxes falls silent and comes back cold.
world {
  for        = "60s"
  zones      = "ulaanbaatar darkhan erdenet choibalsan murun"
  schedulers = 5
  rate       = 26
  curve      = "0.8 1.2 1"
}
box "fast" {
  count = 6
  speed = 2
}
box "middle" {
  count = 3
  speed = 1.2
}
box "old" {
  count = 6
  speed = 0.8
}
class "proof-view" {
  share  = 0.36
  work   = "340ms"
  spread = 2
  effect = "safe"
  aim    = "150ms"
  deadline = "5s"
  worth  = 3
}
class "page-raster" {
  share    = 0.35
  work     = "2s"
  slots    = "1 1 1 2 4"
  effect   = "safe"
  aim      = "1.5s"
  deadline = "25s"
}
class "order-submit" {
  share    = 0.19
  work     = "670ms"
  slots    = "1 1 1 2 4"
  effect   = "keyed"
  aim      = "300ms"
  deadline = "8s"
  worth    = 2
}
class "press-send" {
  share    = 0.1
  work     = "2s"
  slots    = "1 1 1 2 4"
  effect   = "once"
  aim      = "1.5s"
  stretch  = 1.75
  deadline = "25s"
  worth    = 8
}
trouble "vanish" {
  from = "15s"
  for  = "20s"
  part = 0.2
}
