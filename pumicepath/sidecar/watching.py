"""The thread that watches the server list, at discovery or at the relay that the relay selector gives."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from time import monotonic, sleep
from typing import TYPE_CHECKING, Any

from ..discovery.server_list import EMPTY_UPDATE, Address, BadList
from ..discovery.watch import Overtaxed, Watch
from ..http1.messages import MalformedMessageError, Response
from ..interface import ListKind
from . import clock
from .dispatch import Dispatcher
from .first_list import FirstList

if TYPE_CHECKING:
    from ..distribution.relay_selector import RelaySelector
    from .following import RelayWatch

# A watch that has fallen silent leaves 2 s for the next call; doubled each time a connect takes longer.
CONNECT_TIMEOUT_S = 0.5
MAX_CONNECT_TIMEOUT_S = 2.0
RESPONSE_TIMEOUT_S = 1.0  # from a response's first byte to its last
MOVE_RETRY_S = 3.0  # failed calls to a new discovery are retried this long before they count
RETRY_INTERVAL_S = 0.1  # between two calls while every one counts


class Watcher:
    """Keeps one call open and passes each update of the list to the dispatcher.

    With a `relay_selector` it follows relays, and never calls `discovery`.
    """

    def __init__(
        self,
        watch: Watch,
        discovery: Address,
        pushed: bool = False,
        relay_selector: RelaySelector | None = None,
    ) -> None:
        self.watch = watch
        self.relay_watch: RelayWatch | None = None
        self.set_relay_selector(relay_selector)
        # The relay selector and the services that take effect with the next connection after a move.
        self.pending_move: tuple[RelaySelector | None, tuple[str, ...] | None] = relay_selector, None
        self.skip_wait = threading.Event()  # set: connect to the next relay without waiting
        self.discovery = discovery
        self.pushed = pushed  # whatever discovery has counts as received, whether or not it has been read
        self.first_list: FirstList | None = None  # what a new process waits for
        self.list_received = threading.Event()  # at least one list, from wherever it is watched
        self.failures = 0  # consecutive
        self.connect_timeout = CONNECT_TIMEOUT_S
        # When the current call's time began: with its connect, or at the end of the wait that it asked for.
        self.call_started_at = monotonic()
        self.connecting = False
        self.call_requested = threading.Event()
        self.lock = threading.Lock()
        # Held while the list is changed: by the thread, or as another process of this sidecar tells.
        self.list_lock = threading.Lock()
        self.on_list_changed: Callable[[], None] = lambda: None  # called without locks
        self.moved_at = 0.0
        self.moved = False
        self.dispatcher: Dispatcher
        self.sock: socket.socket | None = None

    @property
    def relay_selector(self) -> RelaySelector | None:
        """What chooses among the relays; None if the list comes from discovery."""
        return self.relay_watch.relay_selector if self.relay_watch is not None else None

    def set_relay_selector(self, relay_selector: RelaySelector | None) -> None:
        """Follow these relays, or discovery if None; then the code that follows relays is not imported."""
        if relay_selector is None:
            self.relay_watch = None
        elif self.relay_watch is not None:
            self.relay_watch.relay_selector = relay_selector
        else:
            from .following import RelayWatch

            self.relay_watch = RelayWatch(self, relay_selector)

    def request_list(self) -> None:
        """Have the thread call discovery or a relay, from any thread."""
        self.call_requested.set()

    def move(
        self,
        discovery: Address,
        wait_us: int,
        pushed: bool,
        relay_selector: RelaySelector | None = None,
        services: tuple[str, ...] | None = None,
    ) -> None:
        """Get the list from elsewhere from now on, or with other waits; requests the whole list at once."""
        with self.lock:
            self.discovery, self.pushed, self.pending_move = discovery, pushed, (relay_selector, services)
            self.watch.set_max_wait(wait_us)
            self.moved_at = monotonic()
            self.moved = True
            if self.sock is not None:
                with suppress(OSError):  # already broken, which the thread will find
                    self.sock.shutdown(socket.SHUT_RDWR)
        self.skip_wait.set()
        self.call_requested.set()

    def run(self) -> None:
        """Watch whenever that is requested; the body of the thread."""
        while True:
            self.call_requested.wait()
            self.call_requested.clear()
            try:
                self.watch_until_failure()
            except Exception as error:  # the sidecar goes on with the list it has, and calls again
                self.handle_failure(error)

    def adopt(self, host: str, known: Any) -> None:
        """Take over the list that another process of this sidecar has from the same host, if it is newer.

        What one of them has been told binds all, whether or not the others can reach that host.
        """
        with self.list_lock:
            if host != self.watch.host:
                return
            with suppress(BadList):
                update = self.watch.adopt(known)
                if update is not None:
                    self.dispatcher.update_servers(ListKind.FULL, update)
                    self.note_list()

    def note_list(self) -> None:
        """Note that a list has been applied, by which servers may be chosen."""
        self.list_received.set()
        if self.first_list is not None:
            self.first_list.received()

    def note_failure(self, error: Exception, **fields: str) -> bool:
        """Count a failed call and log the first in a row; returns whether the error is one of a call."""
        self.failures += 1
        text = f"{type(error).__name__}: {error}"
        expected = isinstance(error, (OSError, MalformedMessageError, BadList))
        if self.failures == 1 or not expected:
            self.dispatcher.events.event("watch_failed" if expected else "fault", text=text, **fields)
        if self.first_list is not None and self.first_list.is_awaited:
            self.first_list.call_failed(text)
        return expected

    def handle_failure(self, error: Exception) -> None:
        """Call again: at once, after a pause, or when the balancer requests it."""
        self.close()
        self.watch.ask_immediately = True
        if self.relay_watch is not None and not self.moved:
            self.relay_watch.handle_failure(error)
            return
        if self.first_list is not None and self.first_list.is_awaited and not self.moved:
            self.note_failure(error)
            self.skip_wait.wait(self.first_list.retry_interval_s())
            self.call_requested.set()
            return
        if self.moved or monotonic() - self.moved_at < MOVE_RETRY_S:
            # A new discovery may not be up yet, or break the first call off.  Changes made meanwhile count as
            # received soon after the move, so the call is retried soon.
            if not self.moved:
                sleep(RETRY_INTERVAL_S)
            self.call_requested.set()
            return
        expected = self.note_failure(error)
        if self.failures == 1 and expected and not isinstance(error, Overtaxed):
            # A watch that fell silent or was reset may have missed changes, which count as received soon:
            # called again at once.
            self.call_requested.set()
            return
        if self.pushed:
            # Discovery may return at any moment, and from then on all that it has counts as received.
            sleep(RETRY_INTERVAL_S)
            self.call_requested.set()
        else:
            # Changes since this call began count as received 6 s later.  The balancer gets the time that has
            # passed since then: the call may have been given up late, and a long pause may follow.
            elapsed = max(0.0, monotonic() - self.call_started_at)
            self.dispatcher.update_servers(ListKind.FAILED, EMPTY_UPDATE, int(elapsed * 1e6))

    def watch_until_failure(self) -> None:
        """Make one call after the other; raises what makes a call fail."""
        first = True
        while True:
            self.call_started_at = monotonic()
            response = self.call(self.sock if self.sock is not None else self.connect())
            with self.list_lock:
                update = self.watch.handle_response(response)
                if first or update.whole or update.entries:
                    self.dispatcher.update_servers(
                        ListKind.FULL if update.whole else ListKind.CHANGES, update
                    )
            if update.entries:
                self.on_list_changed()
            first = False
            relay_watch = self.relay_watch
            if relay_watch is None or relay_watch.is_in_touch():
                self.note_list()
            if relay_watch is not None:
                relay_watch.log_changes()
            if self.failures > 1:
                self.dispatcher.events.event("watch_back", failures=self.failures, seq=update.version)
            self.failures = 0
            if not response.keeps_alive():
                self.close()
            if relay_watch is not None and relay_watch.relay_selector.call_answered(
                clock.now(), *self.watch.region_counts()
            ):
                relay_watch.switch_relay()

    # -- connections

    def connect(self) -> socket.socket:
        """Open a connection to discovery or to the selected relay, and make it the current one."""
        with self.lock:
            where = self.discovery
            if self.moved:
                self.moved = False
                self.skip_wait.clear()
                relay_selector, services = self.pending_move
                self.set_relay_selector(relay_selector)
                self.watch.set_services(services)
                self.watch.switch_to(f"{where.host}:{where.port}")
            if self.relay_watch is not None:
                where = self.relay_watch.relay_address()
            self.connecting = False
            self.sock = sock = new_socket(where)
        sock.settimeout(self.connect_timeout)
        # With a fixed time-out, a discovery that always takes longer to connect to would never be reached.
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
        """Make one call and return the response.

        Raises TimeoutError if nothing arrives in time, at its beginning or in the middle.
        """
        request = self.watch.next_request()
        self.call_started_at += self.watch.wait_ms / 1000
        deadline = monotonic() + self.watch.answer_timeout_s()
        parser = self.watch.parser
        begun = False
        while True:
            left = deadline - monotonic()
            if left <= 0:
                raise TimeoutError("the answer did not end in time")
            sock.settimeout(left)
            if request:
                sock.sendall(request)
                request = b""
                continue
            count = sock.recv_into(parser.ring.writable())
            parser.ring.commit(count)
            if not begun:
                begun, deadline = True, max(deadline, monotonic() + RESPONSE_TIMEOUT_S)
            if not count:
                parser.end_input()
            response = parser.next()
            if response is not None:
                return response
            if not count:
                raise ConnectionResetError("discovery ended the connection")

    def close(self) -> None:
        """Close the current connection, if there is one."""
        with self.lock:
            if self.sock is not None:
                self.sock.close()
                self.sock = None


def new_socket(where: Address) -> socket.socket:
    """Create an unconnected TCP socket for an IPv4 or IPv6 address."""
    return socket.socket(socket.AF_INET6 if ":" in where.host else socket.AF_INET)
