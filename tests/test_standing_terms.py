"""The operators' five terms of the standing test, provoked on loopback sockets (docs/crossings.md)."""

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
from pumicepath.http1.parsing import ResponseParser
from pumicepath.lab.loopback.scripted import Deployment, http_response, read_message
from pumicepath.sidecar import clock
from pumicepath.sidecar.admission_gate import AdmissionGate
from pumicepath.sidecar.servers import ServerConnection, start_thread

from .rig import Rig, paused, read_status, wait_until

RESET = struct.pack("ii", 1, 0)
NEVER = ("X-Never-Ran", "1")
NOTIFY_LIMIT_S = 6.0  # until a change counts as reported, from when discovery had it and was reachable


class AlwaysServing:
    """An endless script: every request is answered 200."""

    def get(self) -> bytes:
        return http_response(200, "served")


class RequestTimes(list):
    """Records the times of requests instead of their lines."""

    def append(self, line: object) -> None:
        super().append(time.monotonic())


class StallMeter:
    """Measures how long the machine kept this process from running, which is not the sidecar's delay."""

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


# -- 1: a change counts as reported 6 s after discovery had it and was reachable

# What discovery does with the calls after a watch that was reset, which do not wait; at the last of them it
# has the change and is reachable.
DISCOVERY_FAULTS: dict[str, list] = {
    "fails": [http_response(503)],
    "is reset": ["reset"] * 2,
    "is cut": [(http_response(200, "{}")[:-1], "end")] * 2,
    "is silent": ["wait"] * 2,
    "stops in an answer": [(http_response(200, "{}")[:-1], "wait")] * 2,
    "is refused": [],
}
# A seed with nearly the longest random pause of a sidecar.
SEED = next(seed for seed in range(10_000) if SeededRandom(seed).next_bits() % 3_000_000 > 2_950_000)


class DrainCase:
    """A sidecar that serves, and whose calls of discovery fail just as its only server begins to drain."""

    def __init__(self, folder: Path, mode: str, fault: str) -> None:
        self.deployment = deployment = Deployment(folder, 1)
        self.request_times = deployment.servers[0].transcript = RequestTimes()
        deployment.servers[0].script = AlwaysServing()  # type: ignore[assignment]
        deployment.configuration["settings"]["membershipMode"] = mode
        deployment.configuration["seed"] = f"{SEED:x}"
        self.fault = fault
        deployment.config_path.write_text(json.dumps(deployment.configuration))
        self.served = threading.Event()
        self.status_before, self.last_sent_s, self.sent_after = 0, -1.0, 0
        self.changed_at = self.stalled = 0.0
        self.finished = False

    def play_fault(self, stalls: StallMeter) -> None:
        """Play the fault, and report the drain from the next request to discovery on."""
        discovery, script = self.deployment.discovery, self.deployment.discovery_script
        assert self.served.wait(20)
        for _ in ("the first call", "the watch"):
            assert discovery.received_requests.acquire(timeout=20)
        discovery.answers_starts = False
        if self.fault == "is refused":
            discovery.listener.shutdown(socket.SHUT_RDWR)
            discovery.listener.close()
        for step in ("reset", *DISCOVERY_FAULTS[self.fault]):
            script.put(step)
        for _ in DISCOVERY_FAULTS[self.fault]:
            assert discovery.received_requests.acquire(timeout=20)
        if self.fault == "is refused":
            self.wait_for_refusal()
            discovery.listener = socket.create_server(discovery.reserved_port.getsockname())
            discovery.listener.settimeout(None)
            threading.Thread(target=discovery.accept, daemon=True).start()
        self.stalled = stalls.total_s
        self.changed_at = time.monotonic()
        script.put(http_response(200, json.dumps(self.deployment.list_document(2, False, "leaving"))))

    def wait_for_refusal(self) -> None:
        """Wait until the sidecar has been refused, most likely: ten requests after its watch was reset."""
        events = self.deployment.logs[self.deployment.process].all_events
        wait_until(lambda: any(event["event"] == "watch_failed" for event in events))
        served = len(self.request_times)
        wait_until(lambda: len(self.request_times) >= served + 10)

    def run(self, stalls: StallMeter) -> None:
        fault_thread = threading.Thread(target=self.play_fault, args=(stalls,))
        fault_thread.start()
        with self.deployment.running():
            response = self.deployment.submit("read")
            self.status_before = response.status if response else 0
            self.served.set()
            while not self.changed_at or time.monotonic() < self.changed_at + NOTIFY_LIMIT_S + 1.5:
                response = self.deployment.submit("read")
                if response is None or response.status != 200:
                    break
                time.sleep(0.02)
            fault_thread.join()
            self.last_sent_s = (
                max(self.request_times, default=0.0) - self.changed_at - (stalls.total_s - self.stalled)
            )
            served = len(self.request_times)
            for _ in range(5):
                self.deployment.submit("read")
            self.sent_after = len(self.request_times) - served
        self.finished = True


MODES = ("on_request", "pushed")


@pytest.fixture(scope="module")
def drain_cases(tmp_path_factory: pytest.TempPathFactory) -> dict[tuple[str, str], DrainCase]:
    """Run all cases at once, since each takes seconds in which little happens."""
    stalls = StallMeter()
    cases = {
        (mode, fault): DrainCase(tmp_path_factory.mktemp("drained"), mode, fault)
        for mode in MODES
        for fault in DISCOVERY_FAULTS
    }
    threads = [threading.Thread(target=case.run, args=(stalls,)) for case in cases.values()]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)
    return cases


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("fault", DISCOVERY_FAULTS)
def test_a_change_is_in_force_6_s_after_discovery_had_it_whatever_became_of_the_request(
    mode: str, fault: str, drain_cases: dict[tuple[str, str], DrainCase]
) -> None:
    case = drain_cases[mode, fault]
    print(f"{mode}, discovery {fault}: the last was sent after {case.last_sent_s:.2f} s")
    assert case.status_before == 200, "the list in force is used until the drain counts"
    assert case.last_sent_s <= NOTIFY_LIMIT_S
    assert case.finished and case.sent_after == 0, "the drain is in force and stays so"


# -- 2: a client that closes or cancels has left, and no hop begins more than 0.1 s later; one that only ends
# its sending still reads, and is served


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


STAYING = ("", "half-closes")


class LeavingClient:
    """A request whose client may leave before the answer, and the hops that were sent for it."""

    def __init__(self, rig: Rig, far: socket.socket, client: Any) -> None:
        self.rig, self.far, self.client = rig, far, client
        self.parser = ResponseParser()  # of all answers, as the next may begin to come with one

    def read_status(self) -> int:
        response = read_message(self.far, self.parser)
        return response.status if response is not None else 0

    def leave(self, way: str) -> None:
        """Have the client leave, and return 0.1 s after the kernel knows of it."""
        if way:
            DEPARTURES[way](self.far)
            wait_until(self.client.presence.has_ended_sending)
        gone = clock.now()
        wait_until(lambda: clock.now() - gone > 100_000)

    def requests_sent(self, way: str) -> list[str]:
        if way in STAYING:
            assert self.read_status() == 200
            self.far.close()
        wait_until(lambda: self.client not in self.rig.clients.open and not self.rig.dispatcher.exchanges)
        return [line.split(" ", 1)[1] for line in self.rig.deployment.transcript]


@pytest.mark.parametrize("way", ["", *DEPARTURES])
@pytest.mark.parametrize("fault", ["reset", "end", "full", "late dial"])
def test_no_retry_begins_once_the_client_left_during_the_first_hop(
    way: str, fault: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Rig(tmp_path, 2)
    far, client = rig.connect()
    one = LeavingClient(rig, far, client)
    first = http_response(503, "", NEVER) if fault == "full" else "reset" if fault == "late dial" else fault
    with paused(monkeypatch, ServerConnection, "connect", before=False) as (came, go):
        far.sendall(rig.request("hangs", "read"))
        start_thread(client.run)
        assert came.acquire(timeout=20)
        go.release()
        wait_until(lambda: rig.deployment.transcript)  # the first hop hangs
        if fault == "late dial":
            rig.deployment.script.put(first)
            assert came.acquire(timeout=20)  # the retry is connected and not written yet
            one.leave(way)
        else:
            one.leave(way)
            rig.deployment.script.put(first)
        go.release(10)
        if way in STAYING:
            rig.deployment.script.put(http_response(200, "served"))
        assert one.requests_sent(way) == ["GET /hangs hangs"] * (2 if way in STAYING else 1)


@pytest.mark.parametrize("way", ["", "closes", "resets", "half-closes"])
@pytest.mark.parametrize(
    "where", ["behind another request", "at the entrance", "before it is read", "in the hands of its thread"]
)
def test_no_first_hop_begins_once_the_client_left(
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
        if way in STAYING:
            assert one.read_status() == 200
    elif where.startswith("before"):
        one.leave(way)
        start_thread(client.run)
    else:
        entrance = where == "at the entrance"
        with paused(
            monkeypatch,
            *((AdmissionGate, "enter") if entrance else (ServerConnection, "run_hop")),  # type: ignore[arg-type]
            before=not entrance,
        ) as (came, go):
            start_thread(client.run)
            assert came.acquire(timeout=20)
            one.leave(way)
            go.release(10)
    if way in STAYING:
        rig.deployment.script.put(http_response(200, "served"))
    sent = one.requests_sent(way)
    assert ("GET /second second" in sent) == (way in STAYING), sent


@pytest.mark.parametrize("way", ["", "closes", "resets", "closes behind a whole one"])
def test_the_sidecar_process_begins_no_retry_for_a_client_that_left(way: str, tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 2)
    deployment.configuration["admin_addr"] = "127.0.0.1:0"
    deployment.config_path.write_text(json.dumps(deployment.configuration))

    def under_way() -> bool:
        return any(value for name, value in deployment.metrics().items() if "current" in name)

    with deployment.running():
        deployment.send("read", 20_000)
        wait_until(lambda: deployment.transcript)
        if way:
            DEPARTURES[way](deployment.client_socket)
            gone = time.monotonic()
            wait_until(lambda: time.monotonic() - gone > 0.1)
        deployment.script.put("reset")
        if not way:
            deployment.script.put(http_response(200, "served"))
            assert read_status(deployment.client_socket) == 200
        wait_until(lambda: not under_way())
        assert len(deployment.transcript) == (1 if way else 2)
