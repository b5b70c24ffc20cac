"""What sidecars decide together: who is there.  No sockets, files, threads or clocks."""
