"""Admission control for a sidecar that is itself overloaded: no sockets, threads or clocks."""
