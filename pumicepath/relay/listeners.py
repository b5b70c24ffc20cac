"""Listening sockets, and what is sent to those that find no room."""

from __future__ import annotations

import socket

from ..discovery.server_list import Address

SEND_BUFFER_BYTES = 64 << 10  # bytes of a connection; the kernel doubles it
RECEIVE_BUFFER_BYTES = 16 << 10


def open_listener(where: Address) -> socket.socket:
    listener = socket.socket(socket.AF_INET6 if ":" in where.host else socket.AF_INET)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Guards the kernel's memory as well against followers that ask and do not read: else it takes 4 MB for
    # each.  What it accepts has the same.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind(where)
    listener.listen(4096)
    listener.setblocking(False)
    return listener


def local_address(listener: socket.socket | None) -> str:
    if listener is None:
        return ""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


def send_best_effort(sock: socket.socket, data: bytes) -> None:
    try:
        sock.setblocking(False)
        sock.send(data)
    except OSError:
        pass  # it has gone already
