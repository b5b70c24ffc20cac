"""The calls of the operators' address and the metrics that it serves, without sockets."""
