"""The thread that keeps the watch on the list."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress
from time import monotonic, sleep

from ..discovery.roster import NOTHING, Address, BadList
from ..discovery.watch import Watch
from ..http1.messages import Malformed, Response
from ..interface import Listing
from .dispatch import Dispatcher

DIAL_S = 1.0
SLACK_S = 1.0               # beyond the wait asked for, until discovery counts as silent
MOVING_S = 3.0              # how long a new discovery is tried anew before that counts as a failed call
MOVING_STEP_S = 0.1


class Watcher:
    def __init__(self, watch: Watch, where: Address) -> None:
        self.watch = watch
        self.where = where
        self.wanted = threading.Event()
        self.gate = threading.Lock()
        self.moved_at = 0.0
        self.moved = False
        self.dispatcher: Dispatcher
        self.sock: socket.socket | None = None

    def follow(self) -> None:
        self.wanted.set()

    def move(self, where: Address, wait_us: int) -> None:
        """Discovery is elsewhere from now on, or waits are others; the whole list is asked for at once."""
        with self.gate:
            self.where = where
            self.watch.waits(wait_us)
            self.moved_at = monotonic()
            self.moved = True
            if self.sock is not None:
                with suppress(OSError):  # already broken, which the thread will find
                    self.sock.shutdown(socket.SHUT_RDWR)
        self.wanted.set()

    def run(self) -> None:
        while True:
            self.wanted.wait()
            self.wanted.clear()
            try:
                self.follow_until_it_fails()
            except (OSError, Malformed, BadList) as trouble:
                text = f"{type(trouble).__name__}: {trouble}"
                kind = "watch_failed"
            except Exception as trouble:  # the sidecar goes on with the list it has, and asks again
                text = f"{type(trouble).__name__}: {trouble}"
                kind = "fault"
            self.close()
            if self.moved or monotonic() - self.moved_at < MOVING_S:
                # Guards what has changed meanwhile, which counts as told soon after the move, against a new
                # discovery that is not up yet or breaks the first call off.
                if not self.moved:
                    sleep(MOVING_STEP_S)
                self.wanted.set()
                continue
            self.dispatcher.events.event(kind, text=text)
            self.dispatcher.listed(Listing.FAILED, NOTHING)

    def follow_until_it_fails(self) -> None:
        first = True
        while True:
            response = self.ask()
            update = self.watch.update(response)
            if first or update.whole or update.entries:
                self.dispatcher.listed(Listing.FULL if update.whole else Listing.CHANGES, update)
            first = False
            if not response.keeps():
                self.close()

    def ask(self) -> Response:
        if self.sock is not None:
            try:
                return self.call(self.sock)
            except OSError:
                # Closed while it stood idle, or silent: once more at once, since what changed meanwhile
                # counts as told soon after the wait is over.
                self.close()
        return self.call(self.connect())

    def connect(self) -> socket.socket:
        with self.gate:
            where = self.where
            if self.moved:
                self.moved = False
                self.watch.move(f"{where.host}:{where.port}")
            self.sock = sock = socket.socket(socket.AF_INET6 if ":" in where.host else socket.AF_INET)
        sock.settimeout(DIAL_S)
        sock.connect(where)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.watch.restart()
        if self.moved:
            raise ConnectionAbortedError("discovery has moved")
        return sock

    def call(self, sock: socket.socket) -> Response:
        sock.settimeout(self.watch.wait_ms / 1000 + SLACK_S)
        sock.sendall(self.watch.request())
        parser = self.watch.parser
        while True:
            count = sock.recv_into(parser.ring.room())
            parser.ring.wrote(count)
            if not count:
                parser.end()
            response = parser.next()
            if response is not None:
                return response
            if not count:
                raise ConnectionResetError("discovery ended the connection")

    def close(self) -> None:
        with self.gate:
            if self.sock is not None:
                self.sock.close()
                self.sock = None
