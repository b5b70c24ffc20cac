"""The thread that keeps the watch on the list: at discovery, or at the relays that `Homes` names."""

from __future__ import annotations

import socket
import threading
from contextlib import suppress
from time import monotonic, sleep
from typing import TYPE_CHECKING

from ..discovery.server_list import EMPTY_UPDATE, Address, BadList
from ..discovery.watch import Overtaxed, Watch
from ..http1.messages import MalformedMessageError, Response
from ..interface import ListKind
from . import clock
from .dispatch import Dispatcher

if TYPE_CHECKING:
    from ..distribution.relay_selector import RelaySelector
    from .following import RelayWatch

CONNECT_TIMEOUT_S = 0.5  # of the 2 s that a silent watch leaves; doubled each time that is not enough
MAX_CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 1.0  # from an answer's first byte to its last
MOVE_RETRY_S = 3.0  # how long a new discovery is tried anew before that counts as a failed call
RETRY_INTERVAL_S = 0.1  # between two calls while each counts


class Watcher:
    """With `homes` it follows relays, and never calls `where`, which is discovery."""

    def __init__(
        self, watch: Watch, where: Address, pushed: bool = False, relay_selector: RelaySelector | None = None
    ) -> None:
        self.watch = watch
        self.relay_watch: RelayWatch | None = None
        self.set_relay_selector(relay_selector)
        self.pending_move: tuple[RelaySelector | None, tuple[str, ...] | None] = (
            relay_selector,
            None,
        )  # what a move brings
        self.skip_wait = threading.Event()  # no waiting for the next dial of a relay
        self.where = where
        self.pushed = pushed  # what discovery has counts as told, whether or not it has been read
        self.first_call_done = threading.Event()  # a first call is over
        self.failures = 0  # in a row
        self.connect_timeout = CONNECT_TIMEOUT_S
        self.call_started_at = (
            monotonic()
        )  # from when the call that is out counts: its dial, or the end of its wait
        self.connecting = False
        self.call_requested = threading.Event()
        self.lock = threading.Lock()
        self.moved_at = 0.0
        self.moved = False
        self.dispatcher: Dispatcher
        self.sock: socket.socket | None = None

    @property
    def homes(self) -> RelaySelector | None:
        return self.relay_watch.homes if self.relay_watch is not None else None

    def set_relay_selector(self, relay_selector: RelaySelector | None) -> None:
        """At these relays, or at discovery: then what it takes to follow relays is not even imported."""
        if relay_selector is None:
            self.relay_watch = None
        elif self.relay_watch is not None:
            self.relay_watch.homes = relay_selector
        else:
            from .following import RelayWatch

            self.relay_watch = RelayWatch(self, relay_selector)

    def request_list(self) -> None:
        self.call_requested.set()

    def move(
        self,
        where: Address,
        wait_us: int,
        pushed: bool,
        relay_selector: RelaySelector | None = None,
        services: tuple[str, ...] | None = None,
    ) -> None:
        """The list is to be had elsewhere from now on, or waits are others; all is asked for at once."""
        with self.lock:
            self.where, self.pushed, self.pending_move = where, pushed, (relay_selector, services)
            self.watch.set_max_wait(wait_us)
            self.moved_at = monotonic()
            self.moved = True
            if self.sock is not None:
                with suppress(OSError):  # already broken, which the thread will find
                    self.sock.shutdown(socket.SHUT_RDWR)
        self.skip_wait.set()
        self.call_requested.set()

    def run(self) -> None:
        while True:
            self.call_requested.wait()
            self.call_requested.clear()
            try:
                self.watch_until_failure()
            except Exception as trouble:  # the sidecar goes on with the list it has, and asks again
                self.handle_failure(trouble)

    def handle_failure(self, trouble: Exception) -> None:
        """Ask again: at once, after a step, or when the balancer wants it."""
        self.close()
        self.watch.ask_immediately = True
        if self.relay_watch is not None and not self.moved:
            self.relay_watch.handle_failure(trouble)
            return
        if self.moved or monotonic() - self.moved_at < MOVE_RETRY_S:
            # Guards what has changed meanwhile, which counts as told soon after the move, against a new
            # discovery that is not up yet or breaks the first call off.
            if not self.moved:
                sleep(RETRY_INTERVAL_S)
            self.call_requested.set()
            return
        self.failures += 1
        expected = isinstance(trouble, (OSError, MalformedMessageError, BadList))
        if self.failures == 1 or not expected:
            self.dispatcher.events.event(
                "watch_failed" if expected else "fault", text=f"{type(trouble).__name__}: {trouble}"
            )
        if self.failures == 1 and expected and not isinstance(trouble, Overtaxed):
            # Guards what a watch has missed that fell silent, or was reset: it counts as told before long.
            self.call_requested.set()
            return
        self.first_call_done.set()
        if self.pushed:
            # Guards against the return of discovery, from which on all that it has counts.
            sleep(RETRY_INTERVAL_S)
            self.call_requested.set()
        else:
            # Guards what has changed since this call began, which counts as told 6 s later, against a call
            # that was given up late and a long pause after it.
            spent = max(0.0, monotonic() - self.call_started_at)
            self.dispatcher.update_servers(ListKind.FAILED, EMPTY_UPDATE, int(spent * 1e6))

    def watch_until_failure(self) -> None:
        first = True
        while True:
            self.call_started_at = monotonic()
            response = self.call(self.sock if self.sock is not None else self.connect())
            update = self.watch.handle_response(response)
            if first or update.whole or update.entries:
                self.dispatcher.update_servers(ListKind.FULL if update.whole else ListKind.CHANGES, update)
            first = False
            self.first_call_done.set()
            following = self.relay_watch
            if following is not None:
                following.log_changes()
            if self.failures > 1:
                self.dispatcher.events.event("watch_back", failures=self.failures, seq=update.version)
            self.failures = 0
            if not response.keeps_alive():
                self.close()
            if following is not None and following.homes.call_answered(
                clock.now(), *self.watch.region_counts()
            ):
                following.switch_relay()

    # -- connections

    def connect(self) -> socket.socket:
        with self.lock:
            where = self.where
            if self.moved:
                self.moved = False
                self.skip_wait.clear()
                homes, services = self.pending_move
                self.set_relay_selector(homes)
                self.watch.set_services(services)
                self.watch.switch_to(f"{where.host}:{where.port}")
            if self.relay_watch is not None:
                where = self.relay_watch.relay_address()
            self.connecting = False
            self.sock = sock = new_socket(where)
        sock.settimeout(self.connect_timeout)
        # Guards a discovery that always takes long to be reached against being given up each time.
        self.connect_timeout = min(MAX_CONNECT_TIMEOUT_S, 2 * self.connect_timeout)
        self.connecting = True
        sock.connect(where)
        self.connect_timeout, self.connecting = CONNECT_TIMEOUT_S, False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.watch.reset_connection()
        if self.moved:
            raise ConnectionAbortedError("discovery has moved")
        return sock

    def call(self, sock: socket.socket) -> Response:
        """Raises TimeoutError where discovery is silent, whether it has begun its answer or not."""
        request = self.watch.next_request()
        self.call_started_at += self.watch.wait_ms / 1000
        until = monotonic() + self.watch.answer_timeout_s()
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
                begun, until = True, max(until, monotonic() + RESPONSE_TIMEOUT_S)
            if not count:
                parser.end_input()
            response = parser.next()
            if response is not None:
                return response
            if not count:
                raise ConnectionResetError("discovery ended the connection")

    def close(self) -> None:
        with self.lock:
            if self.sock is not None:
                self.sock.close()
                self.sock = None


def new_socket(where: Address) -> socket.socket:
    return socket.socket(socket.AF_INET6 if ":" in where.host else socket.AF_INET)
