# What routers share, where BALANCER_PEERS names this file; without it nothing of it is even imported.
# Each router has a copy of its own: listen (and advertise) differ, all else is alike, or they do not hear each other.
peers {
  listen    = "127.0.0.1:7946"
  advertise = "127.0.0.1:7946" # where the others reach it; listen, if left out
  fleet     = 3                # routers that are configured: more than half of them are a quorum
  seeds     = ["127.0.0.1:7946", "127.0.0.1:7947", "127.0.0.1:7948"]
  key       = "change this: 16 to 64 bytes"
  period_ms = 500  # between probes
  lease_ms  = 3000 # for which a duty is held at a time
  settle_ms = 3000 # without change, until a view counts as settled
}

# One router at a time does this, every so often: one line to where it takes effect.
# duty "nightly" {
#   report   = "127.0.0.1:9000"
#   every_ms = 1000
# }
