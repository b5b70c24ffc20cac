"""HTTP/1.1 without sockets: ring buffers, parsers that are fed bytes, and writers."""
