"""The model's servers, discovery and clients behind real sockets on loopback, with real sidecar processes."""
