"""The real sidecar: threads, sockets, pools, timers and shutdown around the decisions."""
