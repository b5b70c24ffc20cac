"""Listening sockets, and the answer to connections beyond their capacity."""

from __future__ import annotations

import socket

from ..discovery.server_list import Address

SEND_BUFFER_BYTES = 64 << 10  # of a connection; the kernel doubles it
RECEIVE_BUFFER_BYTES = 16 << 10


def open_listener(address: Address) -> socket.socket:
    """Open a non-blocking listening socket; raises OSError."""
    listener = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Otherwise the kernel buffers up to 4 MB for each follower that sends requests and does not read the
    # answers. Accepted sockets inherit the sizes.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind(address)
    listener.listen(4096)
    listener.setblocking(False)
    return listener


def local_address(listener: socket.socket | None) -> str:
    """The address that a socket listens at as `host:port`, empty for None."""
    if listener is None:
        return ""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


def send_best_effort(sock: socket.socket, data: bytes) -> None:
    """Send as much as the socket takes without waiting; errors are ignored."""
    try:
        sock.setblocking(False)
        sock.send(data)
    except OSError:
        pass  # the peer has closed the connection already
