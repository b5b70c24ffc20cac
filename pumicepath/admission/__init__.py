"""How much a sidecar may take up when it is itself what is short: no sockets, threads or clocks."""
