# An operator's file for weldscale: everything that it may say, as it holds without it. Start with
#
#     bin/weldscale --config deploy/weldscale.hcl
#
# SIGHUP reads it anew; a file with a fault changes nothing. Rates are bytes a second (4096, "4KiB", "10KB/s"), spans
# are text with a unit ("2.5s", "300ms"), sizes are bytes ("64KiB"). See docs/SLOW_PEERS.md.

# How to speak to it while it runs: weldscale stats, reload, drain and level with this path. Off unless named.
# control { socket = "/run/weldscale/control.sock" }

# Counters and histograms for Prometheus at /-/metrics. Off unless named.
# metrics {}

# What all services share.
shared {
  # open = 341 # requests in hand of all services together (unless set: a third of the descriptors, here of 1,024)
}

# Clients that send or read slowly.
slow_peers {
  least_rate_in  = "4KiB" # a request comes in at this rate at least
  least_rate_out = "4KiB" # and an answer is taken at this one
  grace_in       = "2.5s" # silence at the start of a request, the first one since the connection
  grace_out      = "2.5s"
  span_in        = "2.5s" # silence later; bytes ahead of the rate count for as much
  span_out       = "2.5s"
  ceiling_in     = "0s"   # 0: a request may take as long as it keeps its rate
  ceiling_out    = "0s"

  total      = "8MiB"   # bytes that may wait for all clients (unless set: an eighth of the memory, here of 64 MiB)
  per_prefix = "4MiB"   # for one network prefix (unless set: half of total)
  per_peer   = "512KiB" # for one connection

  most            = 256 # peers that may be slow at once; beyond, the least promising is cut
  most_per_prefix = 64
  prefix_v4       = 24
  prefix_v6       = 64

  hurry = "250ms" # while descriptors or memory run short, a peer behind its rate is spared this long only
  fresh = "100ms" # and a new connection this long
  crowd = 25      # nobody of a prefix that holds this many per cent of all connections is spared any time then

  remember    = 4096  # addresses that were cut, each cut halves their grace
  forgive     = "60s" # for this long
  least_grace = "1s"  # down to this
}

# Workers that take a request or write a line of an answer slowly. Between two lines they are at work, unhurried.
workers {
  least_rate = "4KiB"
  grace      = "5s"
  span       = "5s"
  ceiling    = "0s"
}

# A line that is known to be slow: its peers are held to this rate, in both directions.
link "murun" {
  prefixes   = ["10.5.0.0/16", "fd00:5::/32"]
  least_rate = "512B"
}
