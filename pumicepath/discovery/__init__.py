"""The list of servers and the watch on it, without sockets."""
