"""One hollow sidecar: the real watch, list and balancer behind one socket of a loop.

It does on the loop what `sidecar/watching.py` does on its thread, with the same bounds: how long a dial may
take, when a call counts as silent, after which failures it asks again at once, and with relays which of them
it follows (`distribution/relay_selector.py`).  Times are whole
microseconds of the machine's monotonic clock, one for all processes of a run.
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

IP_BIND_ADDRESS_NO_PORT = 24  # linux/in.h: the port is chosen at connect, so that each pair can use all
RESTING, DIALLING, CALLING, CHANGING = range(4)
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
    """What a hollow sidecar needs of the process that it is in."""

    def expect(self, sidecar: Hollow, writable: bool) -> None: ...

    def expect_nothing(self, sidecar: Hollow) -> None: ...

    def wake(self, at: int, sidecar: Hollow) -> None: ...

    def updated(self, sidecar: Hollow, whole: bool) -> None: ...


class Mute:
    """In the place of a host: nothing is sent, so the balancer has nothing to say."""

    def send(self, submission: int, server: int, timeout: int) -> None: ...

    def reject(self, submission: int, retry_in: int) -> None: ...

    def fail(self, submission: int) -> None: ...

    def cancel(self, submission: int, hop: int) -> None: ...

    def probe(self, server: int) -> None: ...

    def send_to_peer(self, peer: int, data: bytes) -> None: ...

    def close_idle_connections(self, server: int) -> None: ...

    def request_server_list(self) -> None: ...

    def set_timer(self, at: int, whom: TimerHandler) -> None: ...

    def log(self, text: str) -> None: ...


MUTE = Mute()


def told(plan: Plan, number: int) -> dict[str, Any]:
    """The settings that sidecar `number` is told, as a real one would find them in its file."""
    zones = [plan.zone_name(zone) for zone in range(plan.ask.zones)]
    return {
        **SETTINGS,
        "dcs": zones,
        "me": number,
        "fleetSize": plan.ask.sidecars,
        "zone": plan.zone_of[number],
    }


def come(sock: socket.socket, writable: bool) -> bool:
    """Whether a socket can be used without waiting."""
    poll = select.poll()
    poll.register(sock, select.POLLOUT if writable else select.POLLIN)
    return bool(poll.poll(0))


class Hollow:
    __slots__ = (
        "number",
        "name",
        "loop",
        "roster",
        "balancer",
        "watch",
        "chance",
        "addresses",
        "sock",
        "step",
        "due",
        "where",
        "begun",
        "dial",
        "failures",
        "bytes",
        "updated_at",
        "listed",
        "plant",
        "homes",
        "before",
        "failed_calls",
    )

    def __init__(self, plan: Plan, number: int, places: Sequence[str], loop: Loop) -> None:
        """`places` are its relays, or the one discovery."""
        self.number, self.name, self.loop = number, f"n{number}", loop
        info = told(plan, number)
        self.roster = ServerList(info["dcs"], clock.from_unix_ms)
        self.balancer = Balancer(decode_settings(info), number + 1, MUTE)
        self.chance = SeededRandom(random.Random(f"sidecar {plan.ask.seed} {number}").getrandbits(63))
        self.addresses: dict[int, Address] = {}
        self.sock: socket.socket | None = None
        self.step = RESTING
        self.due = 0  # what happens next if nothing comes: see `woke`
        self.homes: RelaySelector | None = None
        self.before: socket.socket | None = None  # to the relay that is left once another is dialled
        if plan.ask.form == "relayed":
            self.homes = RelaySelector(self.name, places, SeededRandom(self.chance.next_bits()).next_float)
        self.where = self.homes.current if self.homes else places[0]
        self.begun = False
        self.dial = CONNECT_TIMEOUT_S
        self.failures = 0  # in a row
        self.failed_calls = 0  # in all
        self.bytes = 0  # both ways, payload alone
        self.updated_at = 0
        self.listed = False  # whether it has had a list
        self.plant: Callable[[ServerListUpdate], ServerListUpdate] | None = None
        self.watch = self.watching(plan)

    def watching(self, plan: Plan) -> Watch:
        wait_us = int(2e6 * SETTINGS["rules"]["askEveryS"])
        services = [plan.service_name(service) for service in plan.calls[self.number]] if self.homes else None
        return Watch(self.roster, self.where, -1, wait_us, self.chance.next_float, services)

    # -- the socket

    def begin(self, now: int) -> None:
        """Dial, from one of many addresses, as no single one has ports for all."""
        if self.homes is not None:
            self.where = self.homes.current
            if self.step != CHANGING and self.watch.host != self.where:
                self.watch.switch_to(self.where)
        host, _, port = self.where.rpartition(":")
        self.sock = sock = socket.socket(socket.AF_INET)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
        sock.bind((f"127.{16 + (self.number >> 12 & 31)}.{self.number >> 4 & 255}.1", 0))
        found = sock.connect_ex((host, int(port)))
        if found not in (0, errno.EINPROGRESS):
            self.failed(now, OSError(found, "dial"))
            return
        self.loop.expect(self, True)
        if self.step == CHANGING:
            self.alarm(now + int(1e6 * CONNECT_TIMEOUT_S))
            return
        self.step = DIALLING
        self.alarm(now + int(1e6 * self.dial))
        self.dial = min(MAX_CONNECT_TIMEOUT_S, 2 * self.dial)

    def alarm(self, at: int) -> None:
        self.due = at
        self.loop.wake(at, self)

    def woke(self, now: int) -> None:
        """Nothing has come until `due`: time to dial, or too long for a dial or an answer."""
        if self.step == RESTING:
            self.begin(now)
            return
        due = self.due
        if self.sock is not None and come(self.sock, self.step != CALLING):
            # Guards a sidecar against being judged by how late the loop is that it shares: it has come in
            # time, and waits to be read.
            self.ready(now)
        if self.due == due:
            self.failed(now, TimeoutError("silent"))

    def ready(self, now: int) -> None:
        """The socket can be used."""
        try:
            if self.step in (DIALLING, CHANGING):
                self.dialled(now)
            else:
                self.read(now)
        except (OSError, MalformedMessageError, BadList) as trouble:
            self.failed(now, trouble)

    def dialled(self, now: int) -> None:
        assert self.sock is not None
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "dial")
        self.dial = CONNECT_TIMEOUT_S
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.before is not None:
            self.before.close()
            self.before = None
            self.watch.switch_to(self.where)
        self.watch.reset_connection()
        self.step = CALLING
        self.loop.expect(self, False)
        self.call(now)

    def call(self, now: int) -> None:
        assert self.sock is not None
        request = self.watch.next_request()
        if self.sock.send(request) < len(request):
            raise OSError(errno.ENOBUFS, "no room for a request")
        self.bytes += len(request)
        self.begun = False
        self.alarm(now + int(1e6 * self.watch.answer_timeout_s()))

    def read(self, now: int) -> None:
        assert self.sock is not None
        parser = self.watch.parser
        while True:
            try:
                count = self.sock.recv_into(parser.ring.writable())
            except BlockingIOError:
                return
            parser.ring.commit(count)
            self.bytes += count
            if not self.begun:
                self.begun = True
                self.alarm(max(self.due, now + int(1e6 * RESPONSE_TIMEOUT_S)))
            if not count:
                parser.end_input()
            response = parser.next()
            if response is not None:
                break
            if not count:
                raise ConnectionResetError("discovery ended the connection")
        self.take(now, self.watch.handle_response(response))
        if not response.keeps_alive():
            self.close()
            self.begin(now)
        elif self.homes is not None and self.homes.call_answered(
            clock.from_monotonic(now), *self.watch.region_counts()
        ):
            self.change(now)
        else:
            self.call(now)

    def change(self, now: int) -> None:
        """Leave one relay that answers for another, once that can be dialled."""
        self.loop.expect_nothing(self)
        self.before, self.sock = self.sock, None
        self.step = CHANGING
        self.begin(now)

    def stay(self, now: int) -> bool:
        """Go on at the relay that answers, where another was tried beside it in vain."""
        if self.homes is None or self.before is None or self.homes.previous is None:
            return False
        self.homes.call_failed(clock.from_monotonic(now))
        if self.sock is not None:
            self.loop.expect_nothing(self)
            self.sock.close()
        self.sock, self.before = self.before, None
        self.where, self.step = self.homes.current, CALLING
        self.watch.ask_immediately = True
        self.loop.expect(self, False)
        return True

    def take(self, now: int, update: ServerListUpdate) -> None:
        if self.plant is not None:
            update = self.plant(update)
        first = not self.listed or self.failures > 0
        self.failures = 0
        self.listed = True
        if first or update.whole or update.entries:
            if update.whole:
                self.addresses.clear()
            for entry, where in zip(update.entries, update.addresses):
                if entry.state == ServerState.GONE:
                    self.addresses.pop(entry.server, None)
                else:
                    self.addresses[entry.server] = where
            self.balancer.update_servers(
                clock.from_monotonic(now),
                ListKind.FULL if update.whole else ListKind.CHANGES,
                update.entries,
            )
            self.updated_at = now
            self.loop.updated(self, update.whole)

    def failed(self, now: int, trouble: Exception) -> None:
        """Ask again: at once after a first failure, else after a step; with relays, at the next of them."""
        if self.step == CHANGING and self.stay(now):
            try:
                self.call(now)
                return
            except OSError:
                pass
        self.close()
        self.watch.ask_immediately = True
        self.failures += 1
        self.failed_calls += 1
        if self.homes is not None:
            self.alarm(now + self.homes.call_failed(clock.from_monotonic(now)))
        elif self.failures == 1 and not isinstance(trouble, Overtaxed):
            self.begin(now)
        else:
            self.alarm(now + int(1e6 * RETRY_INTERVAL_S))

    def close(self) -> None:
        self.step = RESTING
        if self.before is not None:
            self.before.close()
            self.before = None
        if self.sock is not None:
            self.loop.expect_nothing(self)
            self.sock.close()
            self.sock = None
