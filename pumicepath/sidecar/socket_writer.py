"""Writing to sockets without copies of what is written, and with a note of how long a client has not read.

Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress

from . import clock
from .sending_rate import MIN_BYTES_PER_US
from .transient import LACK_OF_MEMORY, retry

MAX_JOINED_BYTES = 4096  # up to this a copy costs less than another system call


def views_of(parts: Sequence[bytes]) -> deque[memoryview]:
    """Return what is to be written of these parts, in order."""
    if sum(map(len, parts)) <= MAX_JOINED_BYTES:
        parts = (b"".join(parts),)
    return deque(memoryview(part) for part in parts if part)


def send_first(sock: socket.socket, remaining: deque[memoryview], flags: int = 0) -> int:
    """Send what the socket accepts of the first part, drop it and return its length; raises OSError."""
    first = remaining[0]
    try:
        count = sock.send(first, flags)
    except OSError as error:
        if error.errno not in LACK_OF_MEMORY:
            raise
        count = retry(lambda: sock.send(first, flags), LACK_OF_MEMORY)
    if count < len(first):
        remaining[0] = first[count:]
    else:
        remaining.popleft()
    return count


def send_available(sock: socket.socket, remaining: deque[memoryview]) -> None:
    """Send what the socket accepts without blocking, and drop that; raises OSError."""
    with suppress(BlockingIOError):
        while remaining:
            send_first(sock, remaining, socket.MSG_DONTWAIT)


def send_all(sock: socket.socket, parts: Sequence[bytes], on_block: Callable[[], None]) -> None:
    """Send all parts, and call `on_block` before blocking; raises OSError."""
    remaining = views_of(parts)
    send_available(sock, remaining)
    while remaining:
        on_block()
        send_first(sock, remaining)


class SocketWriter:
    """Writes to a client; one thread at a time writes, others may read `blocked_since`.

    Waiting for the client to read fills a leaky bucket, which the bytes that it takes drain: a client that
    reads a little now and then keeps a write waiting almost as long as one that reads nothing.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.waited = 0.0  # in the bucket
        self.blocked_since = 0  # 0 unless a write waits for the client to read, else earlier by the bucket

    def write(self, parts: Sequence[bytes], on_block: Callable[[], None]) -> None:
        """Write all parts; raises OSError if the connection breaks or the client does not read.

        `on_block` is called before the write blocks, since the client then takes nothing.
        """
        remaining = self.write_now(parts)
        while remaining:
            on_block()
            began_at = clock.now()
            self.blocked_since = began_at - int(self.waited)
            try:
                sent = send_first(self.sock, remaining)
            finally:
                self.blocked_since = 0
            pause = clock.now() - began_at
            self.waited = max(0.0, self.waited + pause - sent / MIN_BYTES_PER_US)

    def write_now(self, parts: Sequence[bytes]) -> deque[memoryview]:
        """Write what the socket accepts without blocking, and return the rest; raises OSError."""
        remaining = views_of(parts)
        send_available(self.sock, remaining)
        return remaining

    def blocked_for(self, now: int) -> int:
        """For how long the client has kept a write waiting, by the bucket; 0 if none waits now."""
        since = self.blocked_since
        return max(0, now - since) if since else 0
