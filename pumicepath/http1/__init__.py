"""HTTP/1.1 without I/O: ring buffers, incremental parsers and serializers."""
