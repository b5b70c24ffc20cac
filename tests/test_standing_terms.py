"""The operators' five terms of the standing test, forced on loopback sockets (docs/crossings.md)."""

from __future__ import annotations

import json
import socket
import struct
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from pumicepath.balancer import SeededRandom
from pumicepath.lab.loopback.scripted import Deployment, ScriptedServer, http_response
from pumicepath.sidecar import clock
from pumicepath.sidecar.admission_gate import AdmissionGate
from pumicepath.sidecar.servers import ServerConnection, start_thread

from .rig import Rig, paused, read_status, wait_until

RESET = struct.pack("ii", 1, 0)
NEVER = ("X-Never-Ran", "1")
NOTIFY_LIMIT_S = 6.0  # after discovery had a change and could be reached, it counts as told


class AlwaysServing:
    """A script without end: each request is served."""

    def get(self) -> bytes:
        return http_response(200, "served")


class RequestTimes(list):
    """When each request came, in the place of the lines."""

    def append(self, line: object) -> None:
        super().append(time.monotonic())


class StallMeter:
    """How long the machine kept this process from running: that must not count as the sidecar's time."""

    def __init__(self) -> None:
        self.total_s = 0.0
        threading.Thread(target=self.run, daemon=True).start()

    def run(self) -> None:
        last = time.monotonic()
        while True:
            time.sleep(0.02)
            now = time.monotonic()
            if now - last > 0.1:
                self.total_s += now - last - 0.02
            last = now


# -- 1: a change counts as told 6 s after discovery had it and could be reached

# What discovery does with the first calls; with the last of them it has the change, and could be reached.
DISCOVERY_FAULTS: dict[str, list] = {
    "fails": [http_response(503)],
    "is reset": ["reset"] * 2,
    "is cut": [(http_response(200, "{}")[:-1], "end")] * 2,
    "is silent": ["wait"] * 2,
    "stops in an answer": [(http_response(200, "{}")[:-1], "wait")] * 2,
    "is refused": [],
}
# The longest pause that a sidecar can draw.
SEED = next(seed for seed in range(10_000) if SeededRandom(seed).next_bits() % 3_000_000 > 2_950_000)


class DrainCase:
    """A sidecar whose first calls to discovery go wrong, just as its only server begins to drain."""

    def __init__(self, folder: Path, mode: str, fault: str) -> None:
        self.deployment = around = Deployment(folder, 1)
        self.request_times = around.servers[0].transcript = RequestTimes()
        around.servers[0].script = AlwaysServing()  # type: ignore[assignment]
        around.configuration["settings"]["membershipMode"] = mode
        around.configuration["seed"] = f"{SEED:x}"
        self.fault = fault
        self.listener = socket.socket()
        if fault == "is refused":
            self.listener.bind(("127.0.0.1", 0))  # nobody listens yet
            around.configuration["discovery"] = f"127.0.0.1:{self.listener.getsockname()[1]}"
        around.config_path.write_text(json.dumps(around.configuration))
        self.started = threading.Event()
        self.status_before, self.last_sent_s, self.sent_after = 0, -1.0, 0
        self.finished = False

    def play_fault(self) -> None:
        """Have discovery go through its trouble, and tell of the drain from the call after it on."""
        around, change = (
            self.deployment,
            http_response(200, json.dumps(self.deployment.list_document(2, False, "leaving"))),
        )
        for step in DISCOVERY_FAULTS[self.fault]:
            around.discovery_script.put(step)
        for _ in DISCOVERY_FAULTS[self.fault]:
            assert around.discovery.received_requests.acquire(timeout=20)
        if self.fault == "is refused":
            peer = ScriptedServer.__new__(ScriptedServer)
            peer.name, peer.script, peer.transcript = "discovery", around.discovery_script, []
            peer.received_requests, peer.closed_connections = threading.Semaphore(0), threading.Semaphore(0)
            peer.listener = self.listener
            assert self.started.wait(20)  # by when the sidecar has been refused, most likely twice
            self.listener.listen()
            threading.Thread(target=peer.accept, daemon=True).start()
        self.changed_at = time.monotonic()
        around.discovery_script.put(change)

    def run(self, stalls: StallMeter) -> None:
        troubled = threading.Thread(target=self.play_fault)
        troubled.start()
        with self.deployment.running():
            self.started.set()
            if self.deployment.configuration["settings"]["membershipMode"] == "on_request":
                response = self.deployment.submit("read")
                self.status_before = response.status if response else 0
            troubled.join()
            stalled = stalls.total_s
            while time.monotonic() < self.changed_at + NOTIFY_LIMIT_S + 1.5:
                response = self.deployment.submit("read")
                if response is None or response.status != 200:
                    break
                time.sleep(0.02)
            self.last_sent_s = (
                max(self.request_times, default=0.0) - self.changed_at - (stalls.total_s - stalled)
            )
            served = len(self.request_times)
            for _ in range(5):
                self.deployment.submit("read")
            self.sent_after = len(self.request_times) - served
        self.finished = True


MODES = ("on_request", "pushed")


@pytest.fixture(scope="module")
def drained(tmp_path_factory: pytest.TempPathFactory) -> dict[tuple[str, str], DrainCase]:
    """All cases at once, as each takes seconds in which little happens."""
    stalls = StallMeter()
    cases = {
        (mode, trouble): DrainCase(tmp_path_factory.mktemp("drained"), mode, trouble)
        for mode in MODES
        for trouble in DISCOVERY_FAULTS
    }
    threads = [threading.Thread(target=case.run, args=(stalls,)) for case in cases.values()]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)
    return cases


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("trouble", DISCOVERY_FAULTS)
def test_a_change_counts_as_told_6_s_after_discovery_had_it_whatever_became_of_the_call(
    mode: str, trouble: str, drained: dict[tuple[str, str], DrainCase]
) -> None:
    case = drained[mode, trouble]
    print(f"{mode}, discovery {trouble}: the last was sent after {case.last_sent_s:.2f} s")
    assert case.status_before == 200 or mode == "pushed", "by the list of the file, until the drain counts"
    assert case.last_sent_s <= NOTIFY_LIMIT_S
    assert case.finished and case.sent_after == 0, "it is in force and stays so"


# -- 2: who closes or cancels has gone, and no attempt begins more than 0.1 s later


def reset(far: socket.socket) -> None:
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    far.close()


def close_after_sending(more: bytes) -> Callable[[socket.socket], None]:
    def leave(far: socket.socket) -> None:
        far.sendall(more)
        far.close()

    return leave


DEPARTURES: dict[str, Callable[[socket.socket], None]] = {
    "closes": socket.socket.close,
    "resets": reset,
    "half-closes": lambda far: far.shutdown(socket.SHUT_WR),
    "closes behind half a request": close_after_sending(b"GET /half HTTP/1.1\r\nHost: a\r\n"),
    "closes behind a whole one": close_after_sending(
        b"GET /next HTTP/1.1\r\nHost: a\r\nX-Qos: read\r\nX-Trace-Id: next\r\nX-Expires-In-Ms: 2000\r\n\r\n"
    ),
}


class LeavingClient:
    """A request whose client leaves, in its way or not at all, and what has been sent of it."""

    def __init__(self, rig: Rig, far: socket.socket, client: Any) -> None:
        self.rig, self.far, self.client = rig, far, client

    def leave(self, way: str) -> None:
        """0.1 s after the client has gone, as far as the kernel knows."""
        if way:
            DEPARTURES[way](self.far)
            wait_until(self.client.gone)
        gone = clock.now()
        wait_until(lambda: clock.now() - gone > 100_000)

    def requests_sent(self, way: str) -> list[str]:
        if not way:
            assert read_status(self.far) == 200
            self.far.close()
        wait_until(lambda: self.client not in self.rig.clients.open and not self.rig.dispatcher.exchanges)
        return [line.split(" ", 1)[1] for line in self.rig.deployment.transcript]


@pytest.mark.parametrize("way", ["", *DEPARTURES])
@pytest.mark.parametrize("trouble", ["reset", "end", "full", "late dial"])
def test_no_further_attempt_begins_once_the_client_left_while_the_first_hung(
    way: str, trouble: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Rig(tmp_path, 2)
    far, client = rig.connect()
    one = LeavingClient(rig, far, client)
    first = (
        http_response(503, "", NEVER) if trouble == "full" else "reset" if trouble == "late dial" else trouble
    )
    with paused(monkeypatch, ServerConnection, "connect", before=False) as (came, go):
        far.sendall(rig.request("hangs", "read"))
        start_thread(client.run)
        assert came.acquire(timeout=20)
        go.release()
        wait_until(lambda: rig.deployment.transcript)  # the first attempt hangs
        if trouble == "late dial":
            rig.deployment.script.put(first)
            assert came.acquire(timeout=20)  # the further one has been dialled for, and is not written yet
            one.leave(way)
        else:
            one.leave(way)
            rig.deployment.script.put(first)
        go.release(10)
        if not way:
            rig.deployment.script.put(http_response(200, "served"))
        assert one.requests_sent(way) == ["GET /hangs hangs"] * (1 if way else 2)


@pytest.mark.parametrize("way", ["", "closes", "resets", "half-closes"])
@pytest.mark.parametrize(
    "where", ["behind another request", "at the entrance", "before it is read", "in the hands of its thread"]
)
def test_no_first_attempt_begins_once_the_client_left(
    way: str, where: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Rig(tmp_path, 2)
    far, client = rig.connect()
    one = LeavingClient(rig, far, client)
    for name in ("first", "second") if where.startswith("behind") else ("second",):
        far.sendall(rig.request(name, "read"))
    if where.startswith("behind"):
        start_thread(client.run)
        wait_until(lambda: rig.deployment.transcript)
        one.leave(way)
        rig.deployment.script.put(http_response(200, "served"))
        if not way:
            assert read_status(far) == 200
    elif where.startswith("before"):
        one.leave(way)
        start_thread(client.run)
    else:
        entrance = where == "at the entrance"
        with paused(
            monkeypatch,
            *((AdmissionGate, "enter") if entrance else (ServerConnection, "carry")),  # type: ignore[arg-type]
            before=not entrance,
        ) as (came, go):
            start_thread(client.run)
            assert came.acquire(timeout=20)
            one.leave(way)
            go.release(10)
    if not way:
        rig.deployment.script.put(http_response(200, "served"))
    sent = one.requests_sent(way)
    assert ("GET /second second" in sent) == (not way), sent


@pytest.mark.parametrize("way", ["", "closes", "resets", "closes behind a whole one"])
def test_the_program_begins_no_further_attempt_for_a_client_that_left(way: str, tmp_path: Path) -> None:
    around = Deployment(tmp_path, 2)
    around.configuration["admin_addr"] = "127.0.0.1:0"
    around.config_path.write_text(json.dumps(around.configuration))

    def under_way() -> bool:
        return any(value for name, value in around.metrics().items() if "current" in name)

    with around.running():
        around.send("read", 20_000)
        wait_until(lambda: around.transcript)
        if way:
            DEPARTURES[way](around.client_socket)
            gone = time.monotonic()
            wait_until(lambda: time.monotonic() - gone > 0.1)
        around.script.put("reset")
        if not way:
            around.script.put(http_response(200, "served"))
            assert read_status(around.client_socket) == 200
        wait_until(lambda: not under_way())
        assert len(around.transcript) == (1 if way else 2)
