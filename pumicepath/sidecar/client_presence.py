"""Whether a client is still there, as nothing may be sent to a server for one that has gone.

A client that has closed its connection has gone; one that has only shut its sending side down and still reads
has not.  What the kernel shows of the connection does not tell: both end their sending in the same way, and
while bytes are unread the end may wait behind them, in the client's own buffer.  So the beginning of the
answer is written, which is the same for every answer: the machine of a client that has gone resets the
connection, that of any other acknowledges it.  Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

import select
import socket
import threading
from contextlib import suppress
from enum import Enum, auto

from ..http1.writing import STATUS_LINE_START
from . import arrival, clock

CHECK_AFTER_US = 5_000  # before this, a client is assumed to be still there
HIDDEN_END_AFTER_US = 80_000  # a client that closed since it was seen may get one sent 0.1 s later
PROBE_TIMEOUT_US = 500_000  # a machine may hold an acknowledgement back for 0.2 s
PROBE_INTERVAL_MS = 2
RESET_WAIT_US = 20_000  # for a reset, on platforms that tell nothing of acknowledgements


class Presence(Enum):
    """What a probe has found."""

    THERE = auto()
    GONE = auto()
    UNKNOWN = auto()  # neither a reset nor an acknowledgement came


class AnswerStart:
    """The first bytes of an answer, which may be written before the rest of it is known; for any thread."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.lock = threading.Lock()
        self.written = 0
        self.is_taken = False  # whether an answer is being written

    def reset(self) -> None:
        """Get ready for the answer to another request."""
        with self.lock:
            self.written = 0
            self.is_taken = False

    def write_byte(self) -> bool:
        """Write one byte more; False if all are written, an answer is, or the connection takes none."""
        with self.lock:
            if self.is_taken or self.written == len(STATUS_LINE_START):
                return False
            with suppress(OSError):  # full, as the client has not read for long; or broken, which shows
                byte = STATUS_LINE_START[self.written : self.written + 1]
                self.written += self.sock.send(byte, socket.MSG_DONTWAIT)
                return True
            return False

    def take(self) -> int:
        """Return how many bytes of the answer were written; from now on it is written by the caller."""
        with self.lock:
            self.is_taken = True
            written, self.written = self.written, 0
            return written


class ClientPresence:
    """What is known of one client's presence; used by the connection's own thread."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.answer_start = AnswerStart(sock)
        self.seen_at = 0  # when the client was certainly there last
        self.had_unread_bytes = False  # behind the request before, so that it wrote the next one at some time
        self.close_undetectable = False  # our own shutdown looks like the client's close

    def request_begins(self, received_at: int) -> None:
        """Note that a request begins, the last bytes of which were received at that time.

        What was unread when the answer before it ended may have been written long before, by a client that
        has closed since, even if the kernel could receive it only now.
        """
        self.answer_start.reset()
        if not self.had_unread_bytes:
            self.seen_at = received_at

    def request_ended(self, more_has_come: bool) -> None:
        """Note that a request has ended, and whether the next one had begun to come by then."""
        self.had_unread_bytes = more_has_come or arrival.unread_bytes(self.sock) > 0

    def age(self, now: int) -> int:
        """How long ago the client was certainly there."""
        return now - self.seen_at

    def has_ended_sending(self) -> bool:
        """Whether the client is known to have closed the connection, or its sending side."""
        return not self.close_undetectable and arrival.is_closed(self.sock)

    def may_hide_end(self) -> bool:
        """Whether the client's end could be behind bytes that nobody has read.

        How many it takes to fill the receive buffer depends on the pieces in which they came.
        """
        return self.had_unread_bytes or arrival.unread_bytes(self.sock) > 0

    def is_there(self) -> bool:
        """Whether something may be sent for the client now; False as well if that can't be known."""
        now = clock.now()
        age = self.age(now)
        if age <= CHECK_AFTER_US:
            return True
        if not self.has_ended_sending():
            if not self.may_hide_end():
                self.seen_at = now
                return True
            if age <= HIDDEN_END_AFTER_US:
                return True
        return self.probe() == Presence.THERE

    def has_left(self) -> bool:
        """Whether the client has closed the connection, as far as the kernel knows; while it is answered."""
        return self.has_ended_sending() and self.probe() == Presence.GONE

    def probe(self) -> Presence:
        """Write a byte of the answer, and wait for what the client's machine makes of it."""
        presence = self.wait_for_reaction(self.answer_start.write_byte())
        if presence == Presence.THERE:
            self.seen_at = clock.now()
        return presence

    def wait_for_reaction(self, is_written: bool) -> Presence:
        """Wait for a reset, or for the acknowledgement of what was written, if a byte was just now."""
        poll = select.poll()
        poll.register(self.sock, 0)  # errors and the end of both directions only
        written_at = clock.now()
        while True:
            waited = clock.now() - written_at
            is_acknowledged = is_written and self.is_acknowledged(waited)
            if poll.poll(0):
                return Presence.GONE
            if is_acknowledged:
                return Presence.THERE
            if not is_written or waited >= PROBE_TIMEOUT_US:
                break
            poll.poll(PROBE_INTERVAL_MS)
        # What can't be sent waits for a client that has not read for long.  As it has unread bytes, its close
        # would be a reset, which waits behind nothing.
        return Presence.THERE if arrival.unsent_bytes(self.sock) else Presence.UNKNOWN

    def is_acknowledged(self, waited: int) -> bool:
        """Whether the client's machine has acknowledged all that was written, the last of it so long ago."""
        if arrival.tells_acknowledgements(self.sock):
            return not arrival.unacknowledged_bytes(self.sock)
        return waited >= RESET_WAIT_US
