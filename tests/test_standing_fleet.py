"""The operators' terms that concern many processes or clients at once, forced (docs/crossings.md)."""

from __future__ import annotations

import contextlib
import heapq
import json
import math
import os
import random
import resource
import socket
import subprocess
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from pumicepath.balancer import Balancer
from pumicepath.http1.parsing import ResponseParser
from pumicepath.interface import ListKind, Outcome, ServerEntry
from pumicepath.lab.loopback.scripted import Deployment, ScriptedServer, http_response, read_message

from .helpers import SECOND, make_entry, make_settings
from .rig import read_status, wait_until
from .test_standing_terms import MODES, AlwaysServing

# -- 3: a cold server falls under the sum of what all sidecars send it

RATE = 10.0  # requests a second that a warm server can do
SERVERS = 10
STARTED = 4  # seconds after the begin of a day: from then on the first servers are cold


class Sent:
    """An outlet that keeps where the last hop went."""

    def __init__(self) -> None:
        self.last = -1

    def send(self, submission: int, server: int, timeout: int) -> None:
        self.last = server

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *given: None


class Ramp:
    """Sidecars of one fleet and what all of them together send to cold servers, against their budget."""

    def __init__(
        self,
        seed: int,
        fleet: int = 30,
        cold: int = 1,
        load: float = 0.9,
        uneven: bool = False,
        restarted: int = 0,
        **changed: object,
    ) -> None:
        self.chance = random.Random(seed)
        self.fleet, self.cold, self.restarted, self.changed = fleet, cold, restarted, changed
        self.servers = [self.chance.getrandbits(60) for _ in range(SERVERS)]
        parts = [10.0 if uneven and one % 10 == 0 else 1.0 for one in range(fleet)]
        self.rates = [load * RATE * SERVERS * part / sum(parts) / SECOND for part in parts]
        self.hits: dict[int, list[int]] = {server: [] for server in self.servers[:cold]}
        self.given = make_settings(fleet=fleet, cold_for=8 * SECOND, **changed)
        self.sidecars = [self.begun(0, me) for me in range(fleet)]

    def entries(self, now: int, known: bool = True) -> list[ServerEntry]:
        started = STARTED * SECOND if now >= STARTED * SECOND else 0
        return [
            make_entry(server, started_at=started if at < self.cold else 0)
            for at, server in enumerate(self.servers)
            if at >= self.cold or started
        ]

    def begun(self, now: int, me: int) -> Balancer:
        sidecar = Balancer(replace(self.given, me=me), self.chance.getrandbits(32), Sent())
        sidecar.update_servers(now, ListKind.CACHED, self.entries(now))
        return sidecar

    def run(self) -> None:
        """From the start of the day until the cold servers are warm."""
        events: list[tuple[int, int, Any]] = []
        number = 0

        def put(at: float, what: Any) -> None:
            nonlocal number
            number += 1
            heapq.heappush(events, (int(at), number, what))

        for me, rate in enumerate(self.rates):
            put(self.chance.expovariate(rate), me)
        for at in range(4 if self.restarted else 0):
            put((STARTED + 0.5 + 1.5 * at) * SECOND, range(at, self.fleet, self.restarted))
        told = False
        while events and (now := events[0][0]) < (STARTED + 8) * SECOND:
            _, _, what = heapq.heappop(events)
            if not told and now >= STARTED * SECOND:
                told = True
                for sidecar in self.sidecars:
                    sidecar.update_servers(now, ListKind.CHANGES, self.entries(now)[: self.cold])
            if isinstance(what, range):  # a part of the fleet at once
                for me in what:
                    self.sidecars[me] = self.begun(now, me)
            elif isinstance(what, int):
                put(now + self.chance.expovariate(self.rates[what]) + 1, what)
                one = self.sidecars[what].submit(
                    now, number, 0, 1 + self.chance.randrange(500), False, now + 2 * SECOND
                )
                if one.hops:
                    put(now + self.chance.expovariate(1 / 50_000) + 5000, one)
                    if (server := one.balancer.callbacks.last) in self.hits:  # type: ignore[attr-defined]
                        self.hits[server].append(now)
            else:
                what.ended(now, 0, Outcome.OK, now - what.hops[0].at, True)

    def worst(self) -> tuple[float, int, float]:
        """The most of what may be sent that was, how much that was, and the budget then."""
        worst = (0.0, 0, 0.0)
        given = self.given
        for hits in self.hits.values():
            for last, now in enumerate(hits):
                warmth = given.cold_fraction + (1 - given.cold_fraction) * (now / SECOND - STARTED) / 8
                budget = given.overload_multiple * warmth * RATE * given.overload_window / SECOND
                sent = sum(then > now - given.overload_window for then in hits[: last + 1])
                worst = max(worst, (sent / (budget + 2 * math.sqrt(budget) + 2), sent, budget))
        return worst


RAMPS: dict[str, dict] = {
    "even": {},
    "uneven": {"uneven": True},
    "a part restarted": {"restarted": 4},
    "all restarted": {"restarted": 1, "uneven": True},
    "twenty, uneven": {"fleet": 20, "uneven": True},
    "half of the servers": {"cold": 5},
    "a burst, uneven": {"load": 1.35, "uneven": True},
    "small windows": {"fall_window": SECOND // 4, "uneven": True, "restarted": 4},
    "quotas, a part restarted": {"quotas": (RATE * SERVERS,), "uneven": True, "restarted": 4},
    "repeats are marked": {"marked": True, "uneven": True},
    "connections cost": {"connection_price": 0.05},
}


@pytest.mark.parametrize("name", RAMPS)
def test_the_sum_of_what_thirty_sidecars_send_to_a_cold_server_stays_in_its_budget(name: str) -> None:
    for seed in range(2):
        ramp = Ramp(seed, **RAMPS[name])
        ramp.run()
        part, sent, budget = ramp.worst()
        print(f"{name}, seed {seed}: {part:.2f} of what may be sent, {sent} with a budget of {budget:.1f}")
        assert part <= 1.0
        assert sum(map(len, ramp.hits.values())) > 10 * len(ramp.hits), "and it is used"


# -- 4: idle clients may fill the descriptors while discovery is down


class Held:
    """Clients that take all connections they get, and come again for each that is closed.

    A quarter of them say nothing, the others begin a request and rest.
    """

    def __init__(self, where: tuple[str, int], count: int) -> None:
        self.where = where
        self.over = False
        for number in range(count):
            threading.Thread(target=self.hold, args=(b"GET /" * (number % 4 > 0),), daemon=True).start()

    def hold(self, says: bytes) -> None:
        while not self.over:
            with contextlib.suppress(OSError), socket.create_connection(self.where) as sock:
                sock.settimeout(1)
                sock.sendall(says)
                while not self.over:
                    try:
                        if not sock.recv(100):
                            break
                    except TimeoutError:
                        pass
            time.sleep(0.1)


def ask(around: Deployment) -> int:
    """The status of an answer on a connection of its own; 0 for a clean close, or no connection at all."""
    try:
        with socket.create_connection(around.address) as sock:
            around.send("read", sock=sock)
            return read_status(sock)
    except TimeoutError:
        raise
    except OSError:
        return 0


def core_time(process: subprocess.Popen) -> float:
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


# The descriptors that the limits tell of, and those that the process has.
@pytest.mark.parametrize(
    "mode, told, real", [("on_request", 72, 72), ("pushed", 72, 72), ("on_request", 256, 72)]
)
def test_idle_clients_that_fill_the_descriptors_do_not_keep_the_watch_from_discovery(
    mode: str, told: int, real: int, tmp_path: Path
) -> None:
    around = Deployment(tmp_path, 1)
    around.servers[0].script = AlwaysServing()  # type: ignore[assignment]
    around.configuration["settings"]["membershipMode"] = mode
    around.configuration["limits"]["sockets"] = told
    around.config_path.write_text(json.dumps(around.configuration))
    around.discovery_script.put(http_response(200, json.dumps(around.list_document(2, True, "active"))))
    begun = around.start_process

    def limited() -> subprocess.Popen:
        process = begun()
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (real, real))
        return process

    around.start_process = limited  # type: ignore[method-assign]
    with around.running():
        process = around.process
        log = around.logs[process]
        for _ in range(2):
            assert around.discovery.received_requests.acquire(timeout=20)  # the second is the watch
        around.discovery.listener.shutdown(socket.SHUT_RDWR)
        around.discovery.listener.close()
        around.discovery_script.put("reset")
        idle = Held(around.address, 100)
        descriptors = Path(f"/proc/{process.pid}/fd")
        # All that there are, or as many clients as the limits let it have.
        clients = (min(told, real) - 48) * 13 // 20
        wait_until(lambda: len(list(descriptors.iterdir())) >= min(real - 2, clients + 20))
        began, used = time.monotonic(), core_time(process)
        answers = []
        while time.monotonic() < began + 1.0:
            answers.append(ask(around))
        spent = (core_time(process) - used) / (time.monotonic() - began)
        assert "accept_failed" not in {event["event"] for event in log.all_events}, "no descriptor is left"
        # Discovery comes back, at the same place, and has a change.
        host, _, port = around.discovery.address.partition(":")
        around.discovery.listener = socket.create_server((host, int(port)))
        returned = time.monotonic()
        around.discovery_script.put(http_response(200, json.dumps(around.list_document(3, False, "active"))))
        threading.Thread(target=around.discovery.accept, daemon=True).start()
        for _ in range(2):
            assert around.discovery.received_requests.acquire(timeout=20), "the watch is not opened again"
        back = time.monotonic() - returned
        answers.append(ask(around))
        idle.over = True
        wait_until(lambda: ask(around) == 200)
        around.discovery_script.put(http_response(200, json.dumps(around.list_document(4, False, "leaving"))))
        wait_until(lambda: ask(around) == 503)  # what the watch tells is in force
        assert process.poll() is None
        process.terminate()
        assert process.wait(20) == 0
        log.reader_thread.join(20)
    seen = Counter(event["event"] for event in log.all_events)
    print(f"{Counter(answers)}, watch back after {back:.2f} s, {spent:.2f} of a core, {seen}")
    assert set(answers) <= {0, 200, 503}
    assert spent < 0.8, "a busy loop"
    assert not {"fault", "accept_failed"} & seen.keys(), "what is kept back for the watch is there"
    assert next(event for event in log.all_events if event["event"] == "stopped")["broken"] == {}


# -- 5: nine in ten restarted processes are ready within 10 s

READY_S = 10.0
CALL_S = 0.1  # that discovery takes for each call, one after the other


class InTurn(ScriptedServer):
    """A discovery that works through calls in turn, and tells nothing while a watch waits."""

    def __init__(self, listing: dict) -> None:
        self.turn = threading.Lock()
        self.whole = http_response(200, json.dumps(listing))
        self.connection = threading.local()  # each is served by a thread of its own
        super().__init__("discovery", self, [])  # type: ignore[arg-type]

    def get(self) -> object:
        with self.turn:
            time.sleep(CALL_S)
        if getattr(self.connection, "asked", False):
            return "wait"  # the second call on a connection is the watch
        self.connection.asked = True
        return self.whole


def up(where: tuple[str, int]) -> bool:
    try:
        with socket.create_connection(where, 1) as sock:
            sock.sendall(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            return read_status(sock) == 200
    except OSError:
        return False


def load(where: tuple[str, int], over: threading.Event, answers: Counter) -> None:
    """A client that asks again and again, with a connection of its own while it has one."""
    number = 0
    while not over.is_set():
        with contextlib.suppress(OSError), socket.create_connection(where, 5) as sock:
            parser = ResponseParser()
            while not over.is_set():
                number += 1
                sock.sendall(
                    b"GET /a HTTP/1.1\r\nHost: a\r\nX-Qos: read\r\nX-Expires-In-Ms: 2000\r\n"
                    b"X-Trace-Id: %d-%d\r\n\r\n" % (threading.get_ident(), number)
                )
                response = read_message(sock, parser)
                if response is None:
                    break
                answers[response.status] += 1
                time.sleep(0.05)
        time.sleep(0.05)


def ready(sidecars: list[Deployment], wheres: list[tuple[str, int]], longest: float) -> list[float]:
    """Start all of them at once; after how many seconds each is ready, in order."""
    began = time.monotonic()
    for one in sidecars:
        one.process = one.start_process()
    times: list[float] = []

    def wait(where: tuple[str, int]) -> None:
        while time.monotonic() < began + longest:
            if up(where):
                times.append(time.monotonic() - began)
                return
            time.sleep(0.02)

    threads = [threading.Thread(target=wait, args=(where,)) for where in wheres]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(longest + 10)
    return sorted(times)


def test_nine_of_ten_processes_that_are_restarted_at_once_are_ready_in_time(tmp_path: Path) -> None:
    ground = Deployment(tmp_path, 3)
    discovery = InTurn(ground.list_document(2, True, "active"))
    sidecars, wheres, over, answers = [], [], threading.Event(), Counter()  # type: ignore[var-annotated]
    for number in range(10):
        folder = tmp_path / str(number)
        folder.mkdir()
        one = Deployment(folder, 0)
        # A port of this address's own, for the process and the one after it.
        with socket.create_server((f"127.0.44.{number + 1}", 0)) as sock:
            where = sock.getsockname()
        one.configuration.update(
            listen=f"{where[0]}:{where[1]}", discovery=discovery.address, name=f"n{number}"
        )
        one.configuration["settings"].update(me=number, fleetSize=10, membershipMode=MODES[number % 2])
        one.config_path.write_text(json.dumps(one.configuration))
        sidecars.append(one)
        wheres.append(where)
    for server in ground.servers:
        server.script = AlwaysServing()  # type: ignore[assignment]
    try:
        alone = ready(sidecars[:1], wheres[:1], 60.0)[0]
        ready(sidecars[1:], wheres[1:], 60.0)
        clients = [threading.Thread(target=load, args=(where, over, answers)) for where in wheres * 2]
        for client in clients:
            client.start()
        wait_until(lambda: answers[200] > 100)
        for one in sidecars:
            one.process.kill()
        for one in sidecars:
            one.process.wait()
        served = answers[200]
        # On a slow machine ten starts take their share of what cores there are, each as long as one alone.
        allowed = max(READY_S, 2.0 * alone * len(sidecars) / max(1, min(2, os.cpu_count() or 1)))
        times = ready(sidecars, wheres, 4 * allowed)
        print(f"alone {alone:.2f} s; {[round(one, 2) for one in times]} of {allowed:.1f}; {answers}")
        assert len(times) >= 9 and times[8] <= allowed, times
        wait_until(lambda: answers[200] > served + 100)  # and they serve
    finally:
        over.set()
        for one in sidecars:
            if hasattr(one, "process"):
                one.process.kill()
                one.process.wait()
    assert set(answers) <= {200, 503}
