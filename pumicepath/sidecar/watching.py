"""The thread that keeps the watch on the list."""

from __future__ import annotations

import socket
import threading

from ..discovery.roster import Address, BadList
from ..discovery.watch import Watch
from ..http1.messages import Malformed, Response
from ..interface import Listing
from .dispatch import Dispatcher

DIAL_S = 1.0
SLACK_S = 1.0               # beyond the wait asked for, until discovery counts as silent


class Watcher:
    def __init__(self, watch: Watch, where: Address) -> None:
        self.watch = watch
        self.where = where
        self.wanted = threading.Event()
        self.dispatcher: Dispatcher
        self.sock: socket.socket | None = None

    def follow(self) -> None:
        self.wanted.set()

    def run(self) -> None:
        while True:
            self.wanted.wait()
            self.wanted.clear()
            try:
                self.follow_until_it_fails()
            except (OSError, Malformed, BadList) as trouble:
                self.dispatcher.events.event("watch_failed", text=f"{type(trouble).__name__}: {trouble}")
            except Exception as trouble:  # the sidecar goes on with the list it has, and asks again
                self.dispatcher.events.event("fault", text=f"{type(trouble).__name__}: {trouble}")
            self.close()
            self.dispatcher.listed(Listing.FAILED, [])

    def follow_until_it_fails(self) -> None:
        first = True
        while True:
            response = self.ask()
            update = self.watch.update(response)
            if first or update.whole or update.entries:
                self.dispatcher.pool.addresses.update(self.watch.roster.addresses)
                self.dispatcher.listed(Listing.FULL if update.whole else Listing.CHANGES, update.entries)
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
        self.sock = socket.socket(socket.AF_INET6 if ":" in self.where.host else socket.AF_INET)
        self.sock.settimeout(DIAL_S)
        self.sock.connect(self.where)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.watch.restart()
        return self.call(self.sock)

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
        if self.sock is not None:
            self.sock.close()
            self.sock = None
