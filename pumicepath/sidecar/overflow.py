"""Refuses connections for which there is no place, so that their clients need not wait for one unheard.

One thread reads what each of them has sent and answers 503, without a thread for each.  Nothing of their
requests goes to a server, so they may be tried again.  Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

import select
import socket
import threading
from contextlib import suppress

from ..http1 import writing
from ..http1.messages import MalformedMessageError
from ..http1.parsing import RequestParser
from . import answers, clock
from .decision_log import Decision, DecisionLog, RefusalReason

READ_BYTES = 4096
MAX_REQUEST_BYTES = 8 * 1024  # of a request that is waited for; longer ones are refused before their end
REQUEST_TIMEOUT_US = 100_000  # for the rest of a request
LINGER_TIMEOUT_US = 200_000  # for the client to close after the answer
POLL_MS = 10


class RefusedConnection:
    """A connection that gets no place."""

    def __init__(self, sock: socket.socket, now: int) -> None:
        self.sock = sock
        self.ends_at = now + REQUEST_TIMEOUT_US
        self.parser = RequestParser()
        self.received = 0
        self.answered = False

    def read(self, now: int) -> bool:
        """Read what has come; False once the connection is to be closed."""
        try:
            data = self.sock.recv(READ_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        if not data:
            return False
        if not self.answered:
            self.received += len(data)
            if self.received > MAX_REQUEST_BYTES or self.is_request_complete(data):
                self.answer(now)
        return True

    def is_request_complete(self, data: bytes) -> bool:
        """Whether a request has been read whole, or can't be read."""
        try:
            self.parser.feed(data)
            return self.parser.next() is not None
        except MalformedMessageError:
            return True

    def answer(self, now: int) -> None:
        """Refuse the request, and wait a little for the client to close."""
        self.answered = True
        self.ends_at = now + LINGER_TIMEOUT_US
        with suppress(OSError):  # the client has left
            self.sock.send(writing.response(*answers.rejected(0), False), socket.MSG_DONTWAIT)
            self.sock.shutdown(socket.SHUT_WR)

    def expire(self, now: int) -> bool:
        """End what has lasted too long; False once the connection is to be closed."""
        if now < self.ends_at:
            return True
        if self.answered or not self.received:
            return False
        self.answer(now)
        return True


class Overflow:
    """Refuses up to `limit` connections at a time; `run` is the body of its thread."""

    def __init__(self, limit: int, decisions: DecisionLog) -> None:
        self.limit = limit
        self.decisions = decisions
        self.connections: dict[int, RefusedConnection] = {}
        self.added = threading.Event()
        self.lock = threading.Lock()

    def has_room(self) -> bool:
        """Whether another connection can be refused."""
        return len(self.connections) < self.limit

    def add(self, sock: socket.socket) -> None:
        """Refuse a connection."""
        with self.lock:
            self.connections[sock.fileno()] = RefusedConnection(sock, clock.now())
        self.decisions.note(Decision.REFUSED, RefusalReason.NO_ROOM)
        self.added.set()

    def run(self) -> None:
        """Refuse connections as they come."""
        while True:
            self.added.wait()
            self.added.clear()
            while self.connections:
                self.step()

    def step(self) -> None:
        """Wait a moment for the connections, and go on with those that have sent something or are over."""
        with self.lock:
            current = dict(self.connections)
        poll = select.poll()
        for descriptor in current:
            poll.register(descriptor, select.POLLIN)
        ready = {descriptor for descriptor, _ in poll.poll(POLL_MS)}
        now = clock.now()
        for descriptor, connection in current.items():
            stays = connection.read(now) if descriptor in ready else True
            if not stays or not connection.expire(now):
                with self.lock:
                    del self.connections[descriptor]
                connection.sock.close()
