"""Writing to a client's socket, with a note of how long the client has not read.

Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from ..http1.ring import Ring
from . import clock


class SocketWriter:
    """Writes through a buffer; one thread at a time writes, others may read `blocked_since`."""

    def __init__(self, sock: socket.socket, buffer_bytes: int) -> None:
        self.sock = sock
        self.buffer = Ring(buffer_bytes)
        self.blocked_since = 0  # 0 unless a write waits for the client to read

    def write(self, data: bytes, on_block: Callable[[], None]) -> None:
        """Write all of the data; raises OSError if the connection breaks or the client does not read.

        `on_block` is called before the write blocks, since the client then takes nothing.
        """
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[self.buffer.write(remaining) :]
            while len(self.buffer):
                self.buffer.consume(self.send(self.buffer.readable(), on_block))

    def send(self, data: memoryview, on_block: Callable[[], None]) -> int:
        """Send what the socket accepts, blocking if it accepts nothing."""
        try:
            return self.sock.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            on_block()
            self.blocked_since = clock.now()
            try:
                return self.sock.send(data)
            finally:
                self.blocked_since = 0

    def blocked_for(self, now: int) -> int:
        """For how long the client has not read what is being written; 0 if no write waits."""
        since = self.blocked_since
        return max(0, now - since) if since else 0

    def shrink(self) -> None:
        """Free the memory of the empty buffer."""
        self.buffer.shrink()
