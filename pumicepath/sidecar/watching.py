"""The thread that keeps the watch on the list: at discovery, or at the relays that `Homes` names."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress
from time import monotonic, sleep
from typing import TYPE_CHECKING

from ..discovery.roster import NOTHING, Address, BadList
from ..discovery.watch import Overtaxed, Watch
from ..http1.messages import MalformedMessageError, Response
from ..interface import Listing
from . import clock
from .dispatch import Dispatcher

if TYPE_CHECKING:
    from ..distribution.homes import Homes
    from .following import Following

DIAL_S = 0.5  # of the 2 s that a silent watch leaves; doubled each time that is not enough
LONGEST_DIAL_S = 2.0
WHOLE_S = 1.0  # from an answer's first byte to its last
MOVING_S = 3.0  # how long a new discovery is tried anew before that counts as a failed call
STEP_S = 0.1  # between two calls while each counts


class Watcher:
    """With `homes` it follows relays, and never calls `where`, which is discovery."""

    def __init__(
        self, watch: Watch, where: Address, pushed: bool = False, homes: Homes | None = None
    ) -> None:
        self.watch = watch
        self.following: Following | None = None
        self.follows(homes)
        self.coming: tuple[Homes | None, tuple[str, ...] | None] = homes, None  # what a move brings
        self.hurry = threading.Event()  # no waiting for the next dial of a relay
        self.where = where
        self.pushed = pushed  # what discovery has counts as told, whether or not it has been read
        self.asked = threading.Event()  # a first call is over
        self.failures = 0  # in a row
        self.dial = DIAL_S
        self.began = monotonic()  # from when the call that is out counts: its dial, or the end of its wait
        self.dialling = False
        self.wanted = threading.Event()
        self.gate = threading.Lock()
        self.moved_at = 0.0
        self.moved = False
        self.dispatcher: Dispatcher
        self.sock: socket.socket | None = None

    @property
    def homes(self) -> Homes | None:
        return self.following.homes if self.following is not None else None

    def follows(self, homes: Homes | None) -> None:
        """At these relays, or at discovery: then what it takes to follow relays is not even imported."""
        if homes is None:
            self.following = None
        elif self.following is not None:
            self.following.homes = homes
        else:
            from .following import Following

            self.following = Following(self, homes)

    def follow(self) -> None:
        self.wanted.set()

    def move(
        self,
        where: Address,
        wait_us: int,
        pushed: bool,
        homes: Homes | None = None,
        services: tuple[str, ...] | None = None,
    ) -> None:
        """The list is to be had elsewhere from now on, or waits are others; all is asked for at once."""
        with self.gate:
            self.where, self.pushed, self.coming = where, pushed, (homes, services)
            self.watch.waits(wait_us)
            self.moved_at = monotonic()
            self.moved = True
            if self.sock is not None:
                with suppress(OSError):  # already broken, which the thread will find
                    self.sock.shutdown(socket.SHUT_RDWR)
        self.hurry.set()
        self.wanted.set()

    def run(self) -> None:
        while True:
            self.wanted.wait()
            self.wanted.clear()
            try:
                self.follow_until_it_fails()
            except Exception as trouble:  # the sidecar goes on with the list it has, and asks again
                self.failed(trouble)

    def failed(self, trouble: Exception) -> None:
        """Ask again: at once, after a step, or when the balancer wants it."""
        self.close()
        self.watch.doubted = True
        if self.following is not None and not self.moved:
            self.following.failed(trouble)
            return
        if self.moved or monotonic() - self.moved_at < MOVING_S:
            # Guards what has changed meanwhile, which counts as told soon after the move, against a new
            # discovery that is not up yet or breaks the first call off.
            if not self.moved:
                sleep(STEP_S)
            self.wanted.set()
            return
        self.failures += 1
        expected = isinstance(trouble, (OSError, MalformedMessageError, BadList))
        if self.failures == 1 or not expected:
            self.dispatcher.events.event(
                "watch_failed" if expected else "fault", text=f"{type(trouble).__name__}: {trouble}"
            )
        if self.failures == 1 and expected and not isinstance(trouble, Overtaxed):
            # Guards what a watch has missed that fell silent, or was reset: it counts as told before long.
            self.wanted.set()
            return
        self.asked.set()
        if self.pushed:
            # Guards against the return of discovery, from which on all that it has counts.
            sleep(STEP_S)
            self.wanted.set()
        else:
            # Guards what has changed since this call began, which counts as told 6 s later, against a call
            # that was given up late and a long pause after it.
            spent = max(0.0, monotonic() - self.began)
            self.dispatcher.update_servers(Listing.FAILED, NOTHING, int(spent * 1e6))

    def follow_until_it_fails(self) -> None:
        first = True
        while True:
            self.began = monotonic()
            response = self.call(self.sock if self.sock is not None else self.connect())
            update = self.watch.update(response)
            if first or update.whole or update.entries:
                self.dispatcher.update_servers(Listing.FULL if update.whole else Listing.CHANGES, update)
            first = False
            self.asked.set()
            following = self.following
            if following is not None:
                following.answered()
            if self.failures > 1:
                self.dispatcher.events.event("watch_back", failures=self.failures, seq=update.version)
            self.failures = 0
            if not response.keeps_alive():
                self.close()
            if following is not None and following.homes.answered(clock.now(), *self.watch.standing()):
                following.change()

    # -- connections

    def connect(self) -> socket.socket:
        with self.gate:
            where = self.where
            if self.moved:
                self.moved = False
                self.hurry.clear()
                homes, services = self.coming
                self.follows(homes)
                self.watch.wants(services)
                self.watch.move(f"{where.host}:{where.port}")
            if self.following is not None:
                where = self.following.where()
            self.dialling = False
            self.sock = sock = opened(where)
        sock.settimeout(self.dial)
        # Guards a discovery that always takes long to be reached against being given up each time.
        self.dial = min(LONGEST_DIAL_S, 2 * self.dial)
        self.dialling = True
        sock.connect(where)
        self.dial, self.dialling = DIAL_S, False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.watch.restart()
        if self.moved:
            raise ConnectionAbortedError("discovery has moved")
        return sock

    def call(self, sock: socket.socket) -> Response:
        """Raises TimeoutError where discovery is silent, whether it has begun its answer or not."""
        request = self.watch.request()
        self.began += self.watch.wait_ms / 1000
        until = monotonic() + self.watch.until_silent()
        parser = self.watch.parser
        begun = False
        while True:
            left = until - monotonic()
            if left <= 0:
                raise TimeoutError("an answer without end")
            sock.settimeout(left)
            if request:
                sock.sendall(request)
                request = b""
                continue
            count = sock.recv_into(parser.ring.writable())
            parser.ring.commit(count)
            if not begun:
                begun, until = True, max(until, monotonic() + WHOLE_S)
            if not count:
                parser.end_input()
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


def opened(where: Address) -> socket.socket:
    return socket.socket(socket.AF_INET6 if ":" in where.host else socket.AF_INET)
