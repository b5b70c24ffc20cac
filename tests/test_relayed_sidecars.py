"""Relay and sidecar processes under faults: drains (rule 3) have to take effect in time from the origin on.

There are two origins, each of a region, relays, and three `serve` processes with busy clients. While a fault
lasts one server is drained and another starts; the servers record which sidecar sent requests, and when.
"""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from pumicepath.http1 import writing
from pumicepath.http1.parsing import RequestParser, ResponseParser
from pumicepath.lab.loopback.scripted import read_message

from .relay_rig import Origin, RelayProcess, list_line, wait_until

SIDECAR_COUNT = 3
NOTIFY_LIMIT_S = 6.0  # until a change counts as reported, from when discovery had it and was reachable
SLACK_S = 1.5  # on a busy machine, between a sidecar's choice and the server's time stamp
IN_FORCE_LIMIT_S = 30.0  # until every sidecar uses the new list, on the slowest machine


class Server:
    """Answers 200 to every request, and records its time and sidecar."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(None)
        self.port = self.listener.getsockname()[1]
        self.received: list[tuple[float, str]] = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            threading.Thread(target=self.serve, args=(self.listener.accept()[0],), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        sock.settimeout(None)
        parser = RequestParser()
        with suppress(OSError):
            while (request := read_message(sock, parser)) is not None:
                self.received.append((time.monotonic(), request.header("X-Trace-Id").partition("-")[0]))
                sock.sendall(writing.response(200, [], b"served", True))

    def senders_since(self, since: float) -> set[str]:
        return {name for at, name in list(self.received) if at >= since}


class Proxy:
    """Forwards requests and answers; while `drops_answers` is set, answers of the origin are dropped."""

    def __init__(self, to: tuple[str, int]) -> None:
        self.to = to
        self.drops_answers = False
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(None)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            near = self.listener.accept()[0]
            try:
                far = socket.create_connection(self.to)
            except OSError:  # the origin refuses connections
                near.close()
                continue
            for sock in (near, far):
                sock.settimeout(None)  # before both threads use it
            for one, other, back in ((near, far, False), (far, near, True)):
                threading.Thread(target=self.forward, args=(one, other, back), daemon=True).start()

    def forward(self, one: socket.socket, other: socket.socket, back: bool) -> None:
        with suppress(OSError):
            while data := one.recv(65536):
                if not (back and self.drops_answers):
                    other.sendall(data)
        with suppress(OSError):
            other.shutdown(socket.SHUT_RDWR)


class Sidecars:
    """`serve` processes that follow the relays, each with a client that sends requests without a pause."""

    def __init__(self, folder: Path, relays: list[RelayProcess]) -> None:
        self.stopped = False
        self.failures: list[str] = []
        self.served = dict.fromkeys((f"n{number}" for number in range(SIDECAR_COUNT)), 0)
        self.processes = []
        for number, name in enumerate(self.served):
            config = {
                "name": name,
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:1",
                "seed": f"{number + 1:x}",
                "limits": {"memory_mb": 192, "sockets": 256},
                "services": ["cart"],
                "relays": [f"{host}:{port}" for host, port in (relay.socket_address for relay in relays)],
                "settings": {
                    "membershipMode": "on_request",
                    "dcs": ["a"],
                    "me": number,
                    "fleetSize": SIDECAR_COUNT,
                    "zone": 0,
                    "rules": {"askEveryS": 10.0, "coldFrom": 1.0, "coldS": 0.0},
                    "policyLimits": {"mostHops": 4, "connIdleS": 30.0, "dialTimeoutS": 0.25},
                    "tariffs": [
                        {
                            "name": "read",
                            "effect": "idempotent",
                            "gain": 1.0,
                            "agreedTimeS": 0.6,
                            "patienceS": 20.0,
                        }
                    ],
                },
            }
            path = folder / f"{name}.json"
            path.write_text(json.dumps(config))
            process = subprocess.Popen(
                [sys.executable, "-m", "pumicepath", "serve"],
                stdout=subprocess.PIPE,
                env={**os.environ, "GW_CONFIG": str(path)},
            )
            self.processes.append(process)
            assert process.stdout is not None
            started = next(event for event in map(json.loads, process.stdout) if event["event"] == "started")
            # The log has to be read: a full pipe must not hold up the sidecar.
            threading.Thread(target=lambda pipe=process.stdout: [None for _ in pipe], daemon=True).start()
            host, _, port = started["listen"].rpartition(":")
            threading.Thread(target=self.send_requests, args=(name, (host, int(port))), daemon=True).start()

    def send_requests(self, name: str, where: tuple[str, int]) -> None:
        sock, parser = socket.create_connection(where, 30), ResponseParser()
        sock.settimeout(30)
        number = 0
        while not self.stopped:
            number += 1
            headers = [
                ("Host", "api"),
                ("X-Trace-Id", f"{name}-{number}"),
                ("X-Qos", "read"),
                ("X-Expires-In-Ms", "20000"),
                ("X-Object", f"key {number % 97}"),
            ]
            try:
                sock.sendall(writing.request("GET", "/", headers))
                response = read_message(sock, parser)
            except OSError as error:
                response = None
                self.failures.append(f"{name}-{number}: {error}")
            if response is None:
                self.failures.append(f"{name}-{number}: no answer")
                return
            # Before the first list there are no servers: the request is rejected and tried again.
            if response.status != 200 and self.served[name]:
                self.failures.append(f"{name}-{number}: {response.status} {response.body!r}")
            self.served[name] += response.status == 200
            time.sleep(0.01)

    def end(self) -> None:
        self.stopped = True
        for process in self.processes:
            process.kill()
            process.wait()


class Fleet:
    def __init__(self, folder: Path, relays: int = 2, files: int = 0) -> None:
        self.servers = {name: Server() for name in ("s0", "s1", "s2", "late")}
        self.origins = {
            "eu": Origin([self.line("s0"), self.line("s1")], seq=500),
            "us": Origin([self.line("s2")]),
        }
        self.proxies = {region: Proxy(origin.socket_address) for region, origin in self.origins.items()}
        self.relays = []
        for number in range(relays):
            sources: dict[str, Any] = dict(self.origins)
            if number == 0:
                sources = self.proxies  # only the first relay is connected through proxies
            self.relays.append(RelayProcess(folder, sources, f"r{number}", files=files if number == 0 else 0))
        self.sidecars = Sidecars(folder, self.relays)

    def line(self, name: str, health: str = "active") -> dict[str, Any]:
        return {
            **list_line(name, "cart", health, self.servers[name].port),
            "dial": f"127.0.0.1:{self.servers[name].port}",
        }

    def wait_until_all_send_to(self, name: str, since: float) -> None:
        wait_until(
            lambda: self.servers[name].senders_since(since) == set(self.sidecars.served), IN_FORCE_LIMIT_S
        )

    def change(self) -> float:
        """Drain one server and add another; returns the time when discovery had the change."""
        self.origins["eu"].put(self.line("s0", "leaving"), self.line("late"))
        return time.monotonic()

    def check(self, changed_at: float) -> None:
        """All sidecars use the change, none used the old list for too long, and no request failed."""
        self.wait_until_all_send_to("late", 0.0)
        wait_until(lambda: time.monotonic() > changed_at + NOTIFY_LIMIT_S + SLACK_S + 1.0)
        late = [
            (round(at - changed_at, 2), name)
            for at, name in self.servers["s0"].received
            if at > changed_at + NOTIFY_LIMIT_S + SLACK_S
        ]
        assert not late, f"sent to a draining server, s after discovery had it: {late[:5]}"
        now = time.monotonic()
        self.wait_until_all_send_to("s1", now)
        self.wait_until_all_send_to("s2", now)
        assert not self.sidecars.failures, self.sidecars.failures[:3]

    def end(self) -> None:
        self.sidecars.end()
        for relay in self.relays:
            relay.kill()


@contextmanager
def running_fleet(folder: Path, **kinds: int) -> Iterator[Fleet]:
    fleet = Fleet(folder, **kinds)
    try:
        fleet.wait_until_all_send_to("s0", 0.0)
        fleet.wait_until_all_send_to("s2", 0.0)
        yield fleet
    finally:
        fleet.end()


def relay_killed(fleet: Fleet) -> float:
    fleet.relays[0].kill()
    return fleet.change()


def relay_stopped(fleet: Fleet) -> float:
    fleet.relays[0].signal(signal.SIGSTOP)
    changed_at = fleet.change()
    threading.Timer(7.0, fleet.relays[0].signal, (signal.SIGCONT,)).start()
    return changed_at


def relay_cut_off(fleet: Fleet) -> float:
    """The first relay receives no answers of origins; the other does, so discovery is reachable."""
    for proxy in fleet.proxies.values():
        proxy.drops_answers = True
    return fleet.change()


def discovery_down(fleet: Fleet) -> float:
    fleet.origins["eu"].stop_listening()
    fleet.change()
    for relay in fleet.relays:
        relay.wait_for_event("region_lost")
    fleet.origins["eu"].listen_again()
    return time.monotonic()


def all_relays_restarted(fleet: Fleet) -> float:
    for relay in fleet.relays:
        relay.kill()
    fleet.change()
    for relay in fleet.relays:
        relay.restart()
    # Without any relay discovery was not reachable; it is from here on.
    return time.monotonic()


def origin_restarted(fleet: Fleet) -> float:
    """The origin has lost its versions, as after a restore; its changes count all the same."""
    fleet.origins["eu"].restart(3, [fleet.line("s0", "leaving"), fleet.line("s1"), fleet.line("late")])
    return time.monotonic()


@pytest.mark.parametrize(
    "fault",
    [relay_killed, relay_stopped, relay_cut_off, discovery_down, all_relays_restarted, origin_restarted],
)
def test_a_drain_takes_effect_at_all_sidecars_in_time(
    tmp_path: Path, fault: Callable[[Fleet], float]
) -> None:
    with running_fleet(tmp_path) as fleet:
        fleet.check(fault(fleet))


def test_a_relay_without_free_descriptors_serves_its_followers_and_the_others_go_elsewhere(
    tmp_path: Path,
) -> None:
    files = 64
    assert resource.getrlimit(resource.RLIMIT_NOFILE)[0] > 4 * files
    with running_fleet(tmp_path, files=files) as fleet:
        clients = []
        for _ in range(2 * files):
            with suppress(OSError):
                clients.append(socket.create_connection(fleet.relays[0].socket_address, 5))
        fleet.relays[0].wait_for_event("followers_full")
        # One relay has no capacity, and the other one is killed and restarted: its followers have to find
        # a relay.
        fleet.relays[1].restart()
        fleet.check(fleet.change())
        for sock in clients:
            sock.close()
