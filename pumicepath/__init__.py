"""pumicepath: a client-side load balancer, one sidecar beside each calling process."""
