"""Whether a client is still there, as nothing may be sent to a server for one that has gone.

A client that has closed its connection has gone; one that has only shut its sending side down and still reads
has not.  Both end their sending in the same way, and are told apart by the first bytes of the answer, which
are the same for every answer: a closed connection is reset by them.  Times are whole microseconds of
`clock.now()`.
"""

from __future__ import annotations

import select
import socket
import threading
from contextlib import suppress

from ..http1.writing import STATUS_LINE_START
from . import arrival, clock
from .client_input import ClientInput, InputState

CHECK_AFTER_US = 5_000  # before this, a client is assumed to be still there
HIDDEN_END_AFTER_US = 80_000  # a client that closed since it was seen may get one sent 0.1 s later
RESET_WAIT_MS = 10  # for the reset of a closed connection that was written to


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

    def write(self) -> None:
        """Write the first bytes, unless that was done before or an answer is being written."""
        with self.lock:
            if not self.is_taken and not self.written:
                with suppress(OSError):  # full: the client has not read for long; or broken, which shows
                    self.written = self.sock.send(STATUS_LINE_START, socket.MSG_DONTWAIT)

    def take(self) -> int:
        """Return how many bytes of the answer were written; from now on it is written by the caller."""
        with self.lock:
            self.is_taken = True
            written, self.written = self.written, 0
            return written


class ClientPresence:
    """What is known of one client's presence; used by the connection's own thread."""

    def __init__(self, sock: socket.socket, client_input: ClientInput) -> None:
        self.sock = sock
        self.input = client_input
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
        self.had_unread_bytes = more_has_come or self.input.unread_bytes() > 0

    def age(self, now: int) -> int:
        """How long ago the client was certainly there."""
        return now - self.seen_at

    def has_ended_sending(self) -> bool:
        """Whether the client is known to have closed the connection, or its sending side."""
        return not self.close_undetectable and arrival.is_closed(self.sock)

    def is_there(self) -> bool:
        """Whether something may be sent for the client now.

        False as well if that can't be known, since more is unread than may be read ahead.
        """
        now = clock.now()
        age = self.age(now)
        if age <= CHECK_AFTER_US:
            return True
        if not self.has_ended_sending():
            if age <= HIDDEN_END_AFTER_US or not self.input.may_hide_end():
                self.seen_at = now
                return True
            if self.input.look_for_end() == InputState.UNKNOWN:
                return False
        if self.has_left():
            return False
        self.seen_at = now
        return True

    def has_left(self) -> bool:
        """Whether the client has closed the connection, as far as the kernel knows; while it is answered."""
        return self.has_ended_sending() and not self.still_reads()

    def still_reads(self) -> bool:
        """Whether a client that has ended its sending still reads: its answer's first bytes reset nothing."""
        if not arrival.is_half_closed(self.sock):
            return False
        self.answer_start.write()
        poll = select.poll()
        poll.register(self.sock, 0)  # errors and the end of both directions only
        poll.poll(RESET_WAIT_MS)
        return arrival.is_half_closed(self.sock)
