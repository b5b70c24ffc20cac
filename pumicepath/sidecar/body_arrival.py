"""When a client can have written the last byte of a body that has not been read to its end.

A request's time counts from its last byte.  While a server takes the body slowly, or not at all, what follows
waits in the kernel's buffers: in ours, where FIONREAD (tcp(7)) tells how much there is, and in the client's,
which only has a limit.  Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from pathlib import Path

from .arrival import unread_bytes

SEND_BUFFER_LIMITS = Path("/proc/sys/net/ipv4/tcp_wmem")  # least, default and greatest size (tcp(7))
DEFAULT_SEND_BUFFER_BYTES = 4 << 20


def max_send_buffer() -> int:
    """Return how many bytes a client's socket can hold that the client has written and not yet sent."""
    with suppress(OSError, ValueError, IndexError):
        return int(SEND_BUFFER_LIMITS.read_text().split()[2])
    return DEFAULT_SEND_BUFFER_BYTES


class BodyArrival:
    """Bounds on the time of a body's last byte; written by the client's thread, read by the timer thread.

    `unfinished_at` is the latest known time at which the last byte had certainly not been written, and
    `last_byte_at` when what was read last was written, or a lower bound.  `bytes_read` counts what was read.
    """

    def __init__(self, sock: socket.socket, now: int) -> None:
        self.sock = sock
        self.unfinished_at = self.last_byte_at = now
        self.bytes_read = 0
        self.send_buffer = max_send_buffer()
        self.mark_at = now
        self.mark_bytes = 0  # had arrived by then

    def add_read(self, wait_began_at: int, received_at: int, count: int) -> None:
        """Note a read that began at `wait_began_at`, of `count` bytes that the kernel had at `received_at`.

        If they were there before, the client may have written them long before the kernel could receive them.
        """
        self.bytes_read += count
        self.last_byte_at = received_at if received_at > wait_began_at else self.unfinished_at

    def note_unfinished(self, now: int) -> None:
        """Note that all that has arrived is read, and the body is incomplete."""
        self.unfinished_at = max(self.unfinished_at, now)

    def examine_buffers(self, now: int, left: int | None) -> None:
        """Note what the buffers show; `left`: bytes of the body that have not been read, None if unknown."""
        bytes_read = self.bytes_read  # before the buffer is looked at, which the client's thread may empty
        unread = unread_bytes(self.sock)
        if left is not None and left - unread > self.send_buffer:
            self.note_unfinished(now)
        arrived = bytes_read + unread
        if arrived - self.mark_bytes > self.send_buffer:
            # More has arrived since the mark than the client's buffer can have held then.
            self.note_unfinished(self.mark_at)
            self.mark_at, self.mark_bytes = now, arrived
