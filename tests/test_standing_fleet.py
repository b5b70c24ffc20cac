"""Service terms that concern many processes or clients, under forced conditions (docs/crossings.md)."""

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

# -- 3: a cold server can be overloaded by the sum of what all sidecars send to it

RATE = 10.0  # requests per second that a warm server can serve
SERVERS = 10
STARTED_S = 4  # the first servers start, cold, so long after the start of the simulation


class LastHop:
    """Callbacks that record the server of the last hop."""

    def __init__(self) -> None:
        self.last = -1

    def send(self, submission: int, server: int, timeout: int) -> None:
        self.last = server

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args: None


class ColdStart:
    """The sidecars of one fleet, and what they send to cold servers together, compared with the budget."""

    def __init__(
        self,
        seed: int,
        fleet: int = 30,
        cold: int = 1,
        load: float = 0.9,
        uneven: bool = False,
        restarted: int = 0,
        **overrides: object,
    ) -> None:
        self.rng = random.Random(seed)
        self.fleet, self.cold, self.restarted, self.overrides = fleet, cold, restarted, overrides
        self.servers = [self.rng.getrandbits(60) for _ in range(SERVERS)]
        weights = [10.0 if uneven and index % 10 == 0 else 1.0 for index in range(fleet)]
        self.rates = [load * RATE * SERVERS * weight / sum(weights) / SECOND for weight in weights]
        self.hits: dict[int, list[int]] = {server: [] for server in self.servers[:cold]}
        self.settings = make_settings(fleet_size=fleet, cold_duration=8 * SECOND, **overrides)
        self.sidecars = [self.create_sidecar(0, index) for index in range(fleet)]

    def entries(self, now: int, known: bool = True) -> list[ServerEntry]:
        started = STARTED_S * SECOND if now >= STARTED_S * SECOND else 0
        return [
            make_entry(server, started_at=started if position < self.cold else 0)
            for position, server in enumerate(self.servers)
            if position >= self.cold or started
        ]

    def create_sidecar(self, now: int, index: int) -> Balancer:
        sidecar = Balancer(replace(self.settings, sidecar_index=index), self.rng.getrandbits(32), LastHop())
        sidecar.update_servers(now, ListKind.CACHED, self.entries(now))
        return sidecar

    def run(self) -> None:
        """Simulates the time until the cold servers are warm."""
        events: list[tuple[int, int, Any]] = []
        number = 0

        def schedule(at: float, event: Any) -> None:
            nonlocal number
            number += 1
            heapq.heappush(events, (int(at), number, event))

        for index, rate in enumerate(self.rates):
            schedule(self.rng.expovariate(rate), index)
        for batch in range(4 if self.restarted else 0):
            schedule((STARTED_S + 0.5 + 1.5 * batch) * SECOND, range(batch, self.fleet, self.restarted))
        notified = False
        while events and (now := events[0][0]) < (STARTED_S + 8) * SECOND:
            _, _, event = heapq.heappop(events)
            if not notified and now >= STARTED_S * SECOND:
                notified = True
                for sidecar in self.sidecars:
                    sidecar.update_servers(now, ListKind.CHANGES, self.entries(now)[: self.cold])
            if isinstance(event, range):  # a part of the fleet restarts at once
                for index in event:
                    self.sidecars[index] = self.create_sidecar(now, index)
            elif isinstance(event, int):
                schedule(now + self.rng.expovariate(self.rates[event]) + 1, event)
                submission = self.sidecars[event].submit(
                    now, number, 0, 1 + self.rng.randrange(500), False, now + 2 * SECOND
                )
                if submission.hops:
                    schedule(now + self.rng.expovariate(1 / 50_000) + 5000, submission)
                    if (server := submission.balancer.callbacks.last) in self.hits:  # type: ignore[attr-defined]
                        self.hits[server].append(now)
            else:
                event.hop_finished(now, 0, Outcome.OK, now - event.hops[0].sent_at, True)

    def worst(self) -> tuple[float, int, float]:
        """Returns the worst fraction of the allowed hops, with the number of hops and the budget then."""
        worst = (0.0, 0, 0.0)
        settings_ = self.settings
        for hits in self.hits.values():
            for last, now in enumerate(hits):
                warmth = (
                    settings_.cold_fraction + (1 - settings_.cold_fraction) * (now / SECOND - STARTED_S) / 8
                )
                budget = settings_.overload_multiple * warmth * RATE * settings_.overload_window / SECOND
                sent = sum(then > now - settings_.overload_window for then in hits[: last + 1])
                worst = max(worst, (sent / (budget + 2 * math.sqrt(budget) + 2), sent, budget))
        return worst


COLD_STARTS: dict[str, dict] = {
    "even": {},
    "uneven": {"uneven": True},
    "a part restarted": {"restarted": 4},
    "all restarted": {"restarted": 1, "uneven": True},
    "twenty, uneven": {"fleet": 20, "uneven": True},
    "half of the servers": {"cold": 5},
    "a burst, uneven": {"load": 1.35, "uneven": True},
    "small windows": {"overload_window": SECOND // 4, "uneven": True, "restarted": 4},
    "quotas, a part restarted": {"tenant_quotas": (RATE * SERVERS,), "uneven": True, "restarted": 4},
    "repeats are marked": {"clients_mark_retries": True, "uneven": True},
    "connections cost": {"connection_cost": 0.05},
}


@pytest.mark.parametrize("name", COLD_STARTS)
def test_hops_of_thirty_sidecars_to_a_cold_server_stay_in_its_budget(name: str) -> None:
    for seed in range(2):
        cold_start = ColdStart(seed, **COLD_STARTS[name])
        cold_start.run()
        fraction, sent, budget = cold_start.worst()
        print(
            f"{name}, seed {seed}: {fraction:.2f} of what may be sent, {sent} with a budget of {budget:.1f}"
        )
        assert fraction <= 1.0
        assert sum(map(len, cold_start.hits.values())) > 10 * len(cold_start.hits), "the budget is used"


# -- 4: idle clients may use all descriptors while discovery is down


class IdleClients:
    """Clients that open as many connections as they can, and open each that is closed again.

    A quarter of them send nothing, the others send the start of a request and then stay idle.
    """

    def __init__(self, address: tuple[str, int], count: int) -> None:
        self.address = address
        self.is_stopped = False
        for number in range(count):
            threading.Thread(target=self.hold, args=(b"GET /" * (number % 4 > 0),), daemon=True).start()

    def hold(self, data: bytes) -> None:
        while not self.is_stopped:
            with contextlib.suppress(OSError), socket.create_connection(self.address) as sock:
                sock.settimeout(1)
                sock.sendall(data)
                while not self.is_stopped:
                    try:
                        if not sock.recv(100):
                            break
                    except TimeoutError:
                        pass
            time.sleep(0.1)


def request_status(deployment: Deployment) -> int:
    """Sends a request on a new connection and returns the status; 0 if it is closed or refused."""
    try:
        with socket.create_connection(deployment.address) as sock:
            deployment.send("read", sock=sock)
            return read_status(sock)
    except TimeoutError:
        raise
    except OSError:
        return 0


def cpu_seconds(process: subprocess.Popen) -> float:
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


# The descriptors that the configured limits name, and those that the process really has.
@pytest.mark.parametrize(
    "mode, configured, real", [("on_request", 72, 72), ("pushed", 72, 72), ("on_request", 256, 72)]
)
def test_idle_clients_that_use_all_descriptors_do_not_keep_the_watch_from_discovery(
    mode: str, configured: int, real: int, tmp_path: Path
) -> None:
    deployment = Deployment(tmp_path, 1)
    deployment.servers[0].script = AlwaysServing()  # type: ignore[assignment]
    deployment.configuration["settings"]["membershipMode"] = mode
    deployment.configuration["limits"]["sockets"] = configured
    deployment.config_path.write_text(json.dumps(deployment.configuration))
    deployment.discovery_script.put(
        http_response(200, json.dumps(deployment.list_document(2, True, "active")))
    )
    start_process = deployment.start_process

    def limited() -> subprocess.Popen:
        process = start_process()
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (real, real))
        return process

    deployment.start_process = limited  # type: ignore[method-assign]
    with deployment.running():
        process = deployment.process
        log = deployment.logs[process]
        for _ in range(2):
            # The second request is the watch.
            assert deployment.discovery.received_requests.acquire(timeout=20)
        deployment.discovery.listener.shutdown(socket.SHUT_RDWR)
        deployment.discovery.listener.close()
        deployment.discovery_script.put("reset")
        idle = IdleClients(deployment.address, 100)
        descriptors = Path(f"/proc/{process.pid}/fd")
        # All descriptors that there are, or as many clients as the limits allow.
        clients = (min(configured, real) - 48) * 13 // 20
        wait_until(lambda: len(list(descriptors.iterdir())) >= min(real - 2, clients + 20))
        began, used = time.monotonic(), cpu_seconds(process)
        answers = []
        while time.monotonic() < began + 1.0:
            answers.append(request_status(deployment))
        core_fraction = (cpu_seconds(process) - used) / (time.monotonic() - began)
        assert "accept_failed" not in {event["event"] for event in log.all_events}, "no descriptor is left"
        # Discovery comes back at the same address, with a changed list.
        host, _, port = deployment.discovery.address.partition(":")
        deployment.discovery.listener = socket.create_server((host, int(port)))
        returned = time.monotonic()
        deployment.discovery_script.put(
            http_response(200, json.dumps(deployment.list_document(3, False, "active")))
        )
        threading.Thread(target=deployment.discovery.accept, daemon=True).start()
        for _ in range(2):
            assert deployment.discovery.received_requests.acquire(timeout=20), "the watch is not opened again"
        back = time.monotonic() - returned
        answers.append(request_status(deployment))
        idle.is_stopped = True
        wait_until(lambda: request_status(deployment) == 200)
        deployment.discovery_script.put(
            http_response(200, json.dumps(deployment.list_document(4, False, "leaving")))
        )
        wait_until(lambda: request_status(deployment) == 503)  # the update from the watch is applied
        assert process.poll() is None
        process.terminate()
        assert process.wait(20) == 0
        log.reader_thread.join(20)
    seen = Counter(event["event"] for event in log.all_events)
    print(f"{Counter(answers)}, watch back after {back:.2f} s, {core_fraction:.2f} of a core, {seen}")
    assert set(answers) <= {0, 200, 503}
    assert core_fraction < 0.8, "a busy loop"
    assert not {"fault", "accept_failed"} & seen.keys(), (
        "the descriptors reserved for the watch are available"
    )
    assert next(event for event in log.all_events if event["event"] == "stopped")["broken"] == {}


# -- 5: nine in ten restarted processes are ready within 10 s

READY_S = 10.0
CALL_S = 0.1  # that discovery takes for each call, one at a time


class SlowDiscovery(ScriptedServer):
    """A discovery server that handles one call at a time and never answers a watch."""

    def __init__(self, listing: dict) -> None:
        self.lock = threading.Lock()
        self.whole = http_response(200, json.dumps(listing))
        self.connection = threading.local()  # each connection is served by its own thread
        super().__init__("discovery", self, [])  # type: ignore[arg-type]

    def get(self) -> object:
        with self.lock:
            time.sleep(CALL_S)
        if getattr(self.connection, "has_list", False):
            return "wait"  # the second call on a connection is the watch
        self.connection.has_list = True
        return self.whole


def is_ready(address: tuple[str, int]) -> bool:
    try:
        with socket.create_connection(address, 1) as sock:
            sock.sendall(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
            return read_status(sock) == 200
    except OSError:
        return False


def load(address: tuple[str, int], stop: threading.Event, answers: Counter) -> None:
    """Sends requests one after the other on one connection, which is opened again when it ends."""
    number = 0
    while not stop.is_set():
        with contextlib.suppress(OSError), socket.create_connection(address, 5) as sock:
            parser = ResponseParser()
            while not stop.is_set():
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


def start_and_wait(
    sidecars: list[Deployment], addresses: list[tuple[str, int]], timeout_s: float
) -> list[float]:
    """Starts all sidecars at once; returns after how many seconds each was ready, sorted."""
    began = time.monotonic()
    for sidecar in sidecars:
        sidecar.process = sidecar.start_process()
    times: list[float] = []

    def wait(address: tuple[str, int]) -> None:
        while time.monotonic() < began + timeout_s:
            if is_ready(address):
                times.append(time.monotonic() - began)
                return
            time.sleep(0.02)

    threads = [threading.Thread(target=wait, args=(address,)) for address in addresses]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(timeout_s + 10)
    return sorted(times)


def test_nine_of_ten_processes_that_are_restarted_at_once_are_ready_in_time(tmp_path: Path) -> None:
    server_deployment = Deployment(tmp_path, 3)
    discovery = SlowDiscovery(server_deployment.list_document(2, True, "active"))
    sidecars, addresses, stop, answers = [], [], threading.Event(), Counter()  # type: ignore[var-annotated]
    for number in range(10):
        folder = tmp_path / str(number)
        folder.mkdir()
        sidecar = Deployment(folder, 0)
        # An address of its own, so that the port stays free for the restarted process.
        with socket.create_server((f"127.0.44.{number + 1}", 0)) as sock:
            address = sock.getsockname()
        sidecar.configuration.update(
            listen=f"{address[0]}:{address[1]}", discovery=discovery.address, name=f"n{number}"
        )
        sidecar.configuration["settings"].update(me=number, fleetSize=10, membershipMode=MODES[number % 2])
        sidecar.config_path.write_text(json.dumps(sidecar.configuration))
        sidecars.append(sidecar)
        addresses.append(address)
    for server in server_deployment.servers:
        server.script = AlwaysServing()  # type: ignore[assignment]
    try:
        alone = start_and_wait(sidecars[:1], addresses[:1], 60.0)[0]
        start_and_wait(sidecars[1:], addresses[1:], 60.0)
        clients = [threading.Thread(target=load, args=(address, stop, answers)) for address in addresses * 2]
        for client in clients:
            client.start()
        wait_until(lambda: answers[200] > 100)
        for sidecar in sidecars:
            sidecar.process.kill()
        for sidecar in sidecars:
            sidecar.process.wait()
        served = answers[200]
        # Ten starts share the cores of the machine, and each takes as much CPU time as a start alone.
        allowed = max(READY_S, 2.0 * alone * len(sidecars) / max(1, min(2, os.cpu_count() or 1)))
        times = start_and_wait(sidecars, addresses, 4 * allowed)
        print(f"alone {alone:.2f} s; {[round(time_s, 2) for time_s in times]} of {allowed:.1f}; {answers}")
        assert len(times) >= 9 and times[8] <= allowed, times
        wait_until(lambda: answers[200] > served + 100)  # the restarted processes serve
    finally:
        stop.set()
        for sidecar in sidecars:
            if hasattr(sidecar, "process"):
                sidecar.process.kill()
                sidecar.process.wait()
    assert set(answers) <= {200, 503}
