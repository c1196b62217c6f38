# Membership and duties shared by routers, on where BALANCER_PEERS names this file; otherwise not even imported.
# Each router has a copy of its own: listen and advertise differ, everything else must be the same, or the
# routers reject each other's packets.
peers {
  listen    = "127.0.0.1:7946"
  advertise = "127.0.0.1:7946" # where the others reach it; defaults to listen
  fleet     = 3                # number of configured routers; more than half of them are a quorum
  seeds     = ["127.0.0.1:7946", "127.0.0.1:7947", "127.0.0.1:7948"]
  key       = "change this: 16 to 64 bytes"
  period_ms = 500  # between health checks
  lease_ms  = 3000 # duration of a duty's lease
  settle_ms = 3000 # without a change, until a view is settled
}

# A task that one router at a time does, every every_ms: one line sent to report.
# duty "nightly" {
#   report   = "127.0.0.1:9000"
#   every_ms = 1000
# }
