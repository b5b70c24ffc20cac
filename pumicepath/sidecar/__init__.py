"""The sidecar process: threads, sockets, connection pools, timers and shutdown around the balancer."""
