"""The list of servers as discovery reports it, and the watch on it, without sockets."""
