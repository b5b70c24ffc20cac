"""What a client sends, and a look past it for the end of the connection.

    count, received_at = client_input.receive(space, since)
    if client_input.may_hide_end() and client_input.look_for_end() != InputState.OPEN: ...

A client's close comes behind everything that it has written.  While nobody reads, the receive buffer fills,
the rest waits in the client's own buffer, and the close with it.  So what has been written is read ahead, and
kept until the parser wants it.  Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

import select
import socket
from enum import Enum, auto

from . import arrival, clock
from .body_arrival import max_send_buffer, unread_bytes
from .memory_account import ALLOWANCE_BYTES, MemoryKind, MemoryShare, Reservation

HIDDEN_END_BYTES = 32 * 1024  # half of the least receive window that Linux offers
READ_AHEAD_STEP_BYTES = 64 * 1024
READ_AHEAD_PARTS = 4  # what is read ahead of all clients together may take one part in so many of the memory
# How long what follows may take to arrive once the receive buffer has room for it again.
ARRIVAL_WAIT_US = 10_000


class InputState(Enum):
    """Whether the client goes on sending, as far as it can be known."""

    OPEN = auto()  # it had not ended its sending when this was asked, or a moment later
    ENDED = auto()  # closed, reset, or only its sending side shut down
    UNKNOWN = auto()  # more has been written than may be read ahead


class ClientInput:
    """The receiving side of a client's connection; used by the connection's own thread.

    Other threads may call `unread_bytes`.
    """

    def __init__(self, sock: socket.socket, share: MemoryShare) -> None:
        self.sock = sock
        self.share = share
        self.shared_bytes = 0  # counted in the share
        self.backlog = bytearray()  # read ahead
        self.received_at = 0  # the last of it
        self.memory = Reservation(share.account, MemoryKind.REQUESTS)

    def receive(self, space: memoryview, since: int) -> tuple[int, int]:
        """Read once, as `arrival.receive` does, first of all what was read ahead.  Raises OSError."""
        if not self.backlog:
            return arrival.receive(self.sock, space, since)
        count = min(len(space), len(self.backlog))
        space[:count] = self.backlog[:count]
        del self.backlog[:count]
        self.reserve(0)
        return count, max(since, self.received_at)

    def unread_bytes(self) -> int:
        """Return how many bytes have arrived and were not received yet."""
        return len(self.backlog) + unread_bytes(self.sock)

    def may_hide_end(self) -> bool:
        """Whether so much is unread in the socket's buffer that the client's end could be behind it.

        Once the buffer is full, the end stays unseen until more is read.
        """
        return unread_bytes(self.sock) >= HIDDEN_END_BYTES

    def look_for_end(self) -> InputState:
        """Find out whether the client had ended its sending by now, with as much read ahead as that takes."""
        try:
            return self.read_to_end()
        finally:
            self.reserve(0)

    def read_to_end(self) -> InputState:
        """Read ahead until the end is found, or what the client has written by now has no end behind it.

        Either nothing follows once the buffer is empty, or more has come than the client's buffer and this
        one can have held.
        """
        most_written = max_send_buffer() + unread_bytes(self.sock)
        bytes_read = 0
        emptied_at = 0
        while bytes_read <= most_written:
            if len(self.backlog) > most_written or not self.reserve(READ_AHEAD_STEP_BYTES):
                return InputState.UNKNOWN
            try:
                count = self.read_ahead()
            except BlockingIOError:
                now = clock.now()
                emptied_at = emptied_at or now
                if not self.wait_for_more():
                    return InputState.OPEN
                # A client that goes on writing a little at a time: its end would have come with it.
                if now - emptied_at >= ARRIVAL_WAIT_US and not self.may_hide_end():
                    return InputState.OPEN
                continue
            except OSError:
                return InputState.ENDED
            if not count:
                return InputState.ENDED
            bytes_read += count
        return InputState.OPEN

    def read_ahead(self) -> int:
        """Read once without waiting, and keep what has come; returns how much.

        Raises BlockingIOError if there is nothing, OSError if the connection is broken.
        """
        piece = bytearray(READ_AHEAD_STEP_BYTES)
        count, received_at = arrival.receive(self.sock, memoryview(piece), 0, socket.MSG_DONTWAIT)
        if count:
            self.received_at = received_at
            self.backlog += memoryview(piece)[:count]
        return count

    def wait_for_more(self) -> bool:
        """Wait for ARRIVAL_WAIT_US until there is something to read; whether there is."""
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(ARRIVAL_WAIT_US / 1000))

    def reserve(self, more: int) -> bool:
        """Reserve memory for the backlog and `more`; False if there is too little of it."""
        needed = len(self.backlog) + more
        needed += needed // 8  # what an array that grows has room for
        change = needed - self.shared_bytes
        if not self.share.change(change):
            return False
        if not self.memory.resize(needed + ALLOWANCE_BYTES if needed else 0):
            self.share.change(-change)
            return False
        self.shared_bytes = needed
        return True

    def release(self) -> None:
        """Drop the backlog, as the connection has ended."""
        self.backlog = bytearray()
        self.reserve(0)
