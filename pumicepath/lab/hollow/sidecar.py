"""A hollow sidecar: the real watch, server list and balancer, driven by one socket of a shared loop.

It does on the loop what `sidecar/watching.py` does on its own thread, with the same connect, response and
silence timeouts and the same retries, and follows a relay chosen by `distribution/homes.py`.  Times are whole
microseconds of the machine's monotonic clock, which all processes of a run share.
"""

from __future__ import annotations

import errno
import random
import select
import socket
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from ...balancer import Balancer, SeededRandom
from ...discovery.server_list import Address, BadList, ServerList, ServerListUpdate
from ...discovery.watch import Overtaxed, Watch
from ...distribution.relay_selector import RelaySelector
from ...http1.messages import MalformedMessageError
from ...interface import ListKind, ServerState, TimerHandler
from ...settings import decode_settings
from ...sidecar import clock
from ...sidecar.watching import CONNECT_TIMEOUT_S, MAX_CONNECT_TIMEOUT_S, RESPONSE_TIMEOUT_S, RETRY_INTERVAL_S
from .plan import Plan

IP_BIND_ADDRESS_NO_PORT = (
    24  # linux/in.h: choose the port at connect, so that each address pair has all ports
)
WAITING, CONNECTING, REQUESTING, SWITCHING = range(4)
SETTINGS: dict[str, Any] = {
    "membershipMode": "pushed",
    "rules": {"askEveryS": 10.0, "coldFrom": 0.5, "coldS": 10.0},
    "policyLimits": {
        "mostHops": 4,
        "connIdleS": 30.0,
        "dialTimeoutS": 0.25,
        "retryAfter": True,
        "maxRetryAfterS": 2.0,
    },
    "tariffs": [
        {"name": name, "effect": effect, "gain": 1.0, "agreedTimeS": 0.6, "patienceS": 2.5}
        for name, effect in (("read", "idempotent"), ("once", "at_most_once"))
    ],
}


class Loop(Protocol):
    """What a hollow sidecar needs of the process that hosts it."""

    def register(self, sidecar: HollowSidecar, writable: bool) -> None: ...

    def unregister(self, sidecar: HollowSidecar) -> None: ...

    def set_timer(self, at: int, sidecar: HollowSidecar) -> None: ...

    def list_updated(self, sidecar: HollowSidecar, whole: bool) -> None: ...


class Mute:
    """Callbacks that do nothing: a hollow sidecar has no clients, so its balancer sends nothing."""

    def send(self, submission: int, server: int, timeout: int) -> None: ...

    def reject(self, submission: int, retry_in: int) -> None: ...

    def fail(self, submission: int) -> None: ...

    def cancel(self, submission: int, hop: int) -> None: ...

    def probe(self, server: int) -> None: ...

    def send_to_peer(self, peer: int, data: bytes) -> None: ...

    def close_idle_connections(self, server: int) -> None: ...

    def request_server_list(self) -> None: ...

    def set_timer(self, at: int, handler: TimerHandler) -> None: ...

    def log(self, text: str) -> None: ...


MUTE = Mute()


def sidecar_settings(plan: Plan, number: int) -> dict[str, Any]:
    """The settings of sidecar `number`, as a real sidecar reads them from its file."""
    zones = [plan.zone_name(zone) for zone in range(plan.options.zones)]
    return {
        **SETTINGS,
        "dcs": zones,
        "me": number,
        "fleetSize": plan.options.sidecars,
        "zone": plan.zone_of[number],
    }


def is_ready(sock: socket.socket, writable: bool) -> bool:
    """Whether a socket can be written or read without blocking."""
    poll = select.poll()
    poll.register(sock, select.POLLOUT if writable else select.POLLIN)
    return bool(poll.poll(0))


class HollowSidecar:
    """A state machine that connects, requests and reads lists, and applies them to a balancer.

    States: WAITING for a timer, CONNECTING, REQUESTING (a watch request is pending), and SWITCHING, in which
    it connects to another relay while the connection to the previous one is kept.
    """

    __slots__ = (
        "number",
        "name",
        "loop",
        "server_list",
        "balancer",
        "watch",
        "rng",
        "addresses",
        "sock",
        "state",
        "due_at",
        "address",
        "response_started",
        "connect_timeout_s",
        "failures",
        "bytes",
        "updated_at",
        "has_list",
        "injected_bug",
        "relay_selector",
        "previous_sock",
        "failed_calls",
    )

    def __init__(self, plan: Plan, number: int, upstreams: Sequence[str], loop: Loop) -> None:
        """`upstreams` are the addresses of its region's relays, or that of the origin."""
        self.number, self.name, self.loop = number, f"n{number}", loop
        settings = sidecar_settings(plan, number)
        self.server_list = ServerList(settings["dcs"], clock.from_unix_ms)
        self.balancer = Balancer(decode_settings(settings), number + 1, MUTE)
        self.rng = SeededRandom(random.Random(f"sidecar {plan.options.seed} {number}").getrandbits(63))
        self.addresses: dict[int, Address] = {}
        self.sock: socket.socket | None = None
        self.state = WAITING
        self.due_at = 0  # see `on_timer`
        self.relay_selector: RelaySelector | None = None
        self.previous_sock: socket.socket | None = None  # to the relay that is left once another is connected
        if plan.options.form == "relayed":
            self.relay_selector = RelaySelector(
                self.name, upstreams, SeededRandom(self.rng.next_bits()).next_float
            )
        self.address = self.relay_selector.current if self.relay_selector else upstreams[0]
        self.response_started = False
        self.connect_timeout_s = CONNECT_TIMEOUT_S
        self.failures = 0  # in a row
        self.failed_calls = 0  # in all
        self.bytes = 0  # both directions, without TCP/IP headers
        self.updated_at = 0
        self.has_list = False
        self.injected_bug: Callable[[ServerListUpdate], ServerListUpdate] | None = None
        self.watch = self.make_watch(plan)

    def make_watch(self, plan: Plan) -> Watch:
        """Make the watch; with relays it names the services that the sidecar calls."""
        wait_us = int(2e6 * SETTINGS["rules"]["askEveryS"])
        services = (
            [plan.service_name(service) for service in plan.called_services[self.number]]
            if self.relay_selector
            else None
        )
        return Watch(self.server_list, self.address, -1, wait_us, self.rng.next_float, services)

    # -- the socket

    def connect(self, now: int) -> None:
        """Connect from one of many local addresses: a single one has too few ports for all sidecars."""
        if self.relay_selector is not None:
            self.address = self.relay_selector.current
            if self.state != SWITCHING and self.watch.host != self.address:
                self.watch.switch_to(self.address)
        host, _, port = self.address.rpartition(":")
        self.sock = sock = socket.socket(socket.AF_INET)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        sock.bind((f"127.{16 + (self.number >> 12 & 31)}.{self.number >> 4 & 255}.1", 0))
        result = sock.connect_ex((host, int(port)))
        if result not in (0, errno.EINPROGRESS):
            self.on_failure(now, OSError(result, "connect"))
            return
        self.loop.register(self, True)
        if self.state == SWITCHING:
            self.set_timer(now + int(1e6 * CONNECT_TIMEOUT_S))
            return
        self.state = CONNECTING
        self.set_timer(now + int(1e6 * self.connect_timeout_s))
        self.connect_timeout_s = min(MAX_CONNECT_TIMEOUT_S, 2 * self.connect_timeout_s)

    def set_timer(self, at: int) -> None:
        """Have `on_timer` called at `at`; replaces an earlier timer."""
        self.due_at = at
        self.loop.set_timer(at, self)

    def on_timer(self, now: int) -> None:
        """Handle `due_at`: connect after waiting, or time out a connect or a request."""
        if self.state == WAITING:
            self.connect(now)
            return
        due_before = self.due_at
        if self.sock is not None and is_ready(self.sock, self.state != REQUESTING):
            # The socket became ready in time, but the shared loop is late: that is not a timeout.
            self.on_socket_ready(now)
        if self.due_at == due_before:
            self.on_failure(now, TimeoutError("silent"))

    def on_socket_ready(self, now: int) -> None:
        """Continue with a socket that is writable or readable."""
        try:
            if self.state in (CONNECTING, SWITCHING):
                self.on_connected(now)
            else:
                self.read_response(now)
        except (OSError, MalformedMessageError, BadList) as error:
            self.on_failure(now, error)

    def on_connected(self, now: int) -> None:
        """Send the first request of a new connection.  Raises OSError if connecting failed."""
        assert self.sock is not None
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect")
        self.connect_timeout_s = CONNECT_TIMEOUT_S
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.previous_sock is not None:
            self.previous_sock.close()
            self.previous_sock = None
            self.watch.switch_to(self.address)
        self.watch.reset_connection()
        self.state = REQUESTING
        self.loop.register(self, False)
        self.send_request(now)

    def send_request(self, now: int) -> None:
        """Send the watch's next request.  Raises OSError."""
        assert self.sock is not None
        request = self.watch.next_request()
        if self.sock.send(request) < len(request):
            raise OSError(errno.ENOBUFS, "the request exceeds the free send buffer")
        self.bytes += len(request)
        self.response_started = False
        self.set_timer(now + int(1e6 * self.watch.answer_timeout_s()))

    def read_response(self, now: int) -> None:
        """Read the response; once complete, apply it and continue with the next request."""
        assert self.sock is not None
        parser = self.watch.parser
        while True:
            try:
                count = self.sock.recv_into(parser.ring.writable())
            except BlockingIOError:
                return
            parser.ring.commit(count)
            self.bytes += count
            if not self.response_started:
                self.response_started = True
                self.set_timer(max(self.due_at, now + int(1e6 * RESPONSE_TIMEOUT_S)))
            if not count:
                parser.end_input()
            response = parser.next()
            if response is not None:
                break
            if not count:
                raise ConnectionResetError("discovery ended the connection")
        self.apply_update(now, self.watch.handle_response(response))
        if not response.keeps_alive():
            self.close()
            self.connect(now)
        elif self.relay_selector is not None and self.relay_selector.call_answered(
            clock.from_monotonic(now), *self.watch.region_counts()
        ):
            self.switch_relay(now)
        else:
            self.send_request(now)

    def switch_relay(self, now: int) -> None:
        """Move to another relay; the connection to this one is kept until the other is connected."""
        self.loop.unregister(self)
        self.previous_sock, self.sock = self.sock, None
        self.state = SWITCHING
        self.connect(now)

    def keep_relay(self, now: int) -> bool:
        """Stay with the previous relay after connecting to another failed; False if there is none."""
        if self.relay_selector is None or self.previous_sock is None or self.relay_selector.previous is None:
            return False
        self.relay_selector.call_failed(clock.from_monotonic(now))
        if self.sock is not None:
            self.loop.unregister(self)
            self.sock.close()
        self.sock, self.previous_sock = self.previous_sock, None
        self.address, self.state = self.relay_selector.current, REQUESTING
        self.watch.ask_immediately = True
        self.loop.register(self, False)
        return True

    def apply_update(self, now: int, update: ServerListUpdate) -> None:
        """Update the balancer, and report an update that may have changed the view."""
        if self.injected_bug is not None:
            update = self.injected_bug(update)
        first = not self.has_list or self.failures > 0
        self.failures = 0
        self.has_list = True
        if first or update.whole or update.entries:
            if update.whole:
                self.addresses.clear()
            for entry, address in zip(update.entries, update.addresses):
                if entry.state == ServerState.GONE:
                    self.addresses.pop(entry.server, None)
                else:
                    self.addresses[entry.server] = address
            self.balancer.update_servers(
                clock.from_monotonic(now),
                ListKind.FULL if update.whole else ListKind.CHANGES,
                update.entries,
            )
            self.updated_at = now
            self.loop.list_updated(self, update.whole)

    def on_failure(self, now: int, error: Exception) -> None:
        """Retry: at once after a first failure, else after an interval; with relays, at the next relay."""
        if self.state == SWITCHING and self.keep_relay(now):
            try:
                self.send_request(now)
                return
            except OSError:
                pass
        self.close()
        self.watch.ask_immediately = True
        self.failures += 1
        self.failed_calls += 1
        if self.relay_selector is not None:
            self.set_timer(now + self.relay_selector.call_failed(clock.from_monotonic(now)))
        elif self.failures == 1 and not isinstance(error, Overtaxed):
            self.connect(now)
        else:
            self.set_timer(now + int(1e6 * RETRY_INTERVAL_S))

    def close(self) -> None:
        """Close all connections."""
        self.state = WAITING
        if self.previous_sock is not None:
            self.previous_sock.close()
            self.previous_sock = None
        if self.sock is not None:
            self.loop.unregister(self)
            self.sock.close()
            self.sock = None
