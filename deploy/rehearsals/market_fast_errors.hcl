# The fleet of market.hcl, and a fifth of the workers fails two jobs of three at once, and so looks empty.
world {
  for           = "60s"
  zones         = "odense aarhus"
  schedulers    = 3
  rate          = 27
  curve         = "0.9 1.1 1"
  retries       = 2
  cross         = "4ms"
  notice        = "1.9s"
  refresh       = "280ms"
  cold          = 0.31
  warms         = "6.9s"
  drain_grace   = "500ms"
  attempts      = 3
  probe_work    = "1.2ms"
  order         = "backfill"
  reports       = "queue"
  cancels       = "all"
  copies        = "two"
  hints         = "none"
  worth_by      = "request"
}
box "new-4core" {
  count = 4
  speed = 1.8
  queue = 56
}
box "old-4core" {
  count = 7
  speed = 0.9
  queue = 56
}
class "reserve-item" {
  share    = 0.56
  work     = "375ms"
  spread   = 2
  effect   = "once"
  aim      = "300ms"
  stretch  = 2.5
  deadline = "5s"
  worth    = 8
  late     = 0.3
}
class "book-label" {
  share    = 0.44
  work     = "2.2s"
  spread   = 2
  effect   = "keyed"
  memory   = "40s"
  aim      = "1.2s"
  deadline = "25s"
  worth    = 24
  late     = 0.2
}
trouble "fast_errors" {
  from  = "15s"
  for   = "25s"
  part  = 0.2
  takes = 0.65
}
