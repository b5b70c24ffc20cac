"""A wall clock that is stepped while the process runs: deadlines and slow start count real time."""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from pumicepath.discovery.server_list import ServerList
from pumicepath.http1.parsing import ResponseParser
from pumicepath.lab.loopback.scripted import http_response, read_message
from pumicepath.sidecar import body_arrival, clock
from pumicepath.sidecar.servers import start_thread

from .rig import Rig, wait_until

SECOND_US = 1_000_000
STEPS_S = (3600.0, 2.0, 0.3, -0.3, -2.0, -3600.0)


class SteppedTime:
    """The wall clock of the tests, ahead of the machine's by `step_s`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.step_s = 0.0
        real = time.time_ns
        monkeypatch.setattr(clock.time, "time_ns", lambda: real() + int(self.step_s * 1e9))
        monkeypatch.setattr(clock, "wall", clock.WallClock())


# Bytes that had come before a step forward seemed to have waited for as long, and their request to be over.
@pytest.mark.parametrize("step_s", STEPS_S)
def test_what_was_received_before_a_step_has_not_waited_for_it(
    step_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    stepped = SteppedTime(monkeypatch)
    received_unix_us = time.time_ns() // 1000
    received_at = clock.now()
    stepped.step_s = step_s
    now = clock.now()
    assert abs(clock.wall.received_at(received_unix_us, now) - received_at) < 50_000
    # And what comes after the step.
    assert abs(clock.wall.received_at(time.time_ns() // 1000, clock.now()) - clock.now()) < 50_000


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_request_that_crosses_a_step_of_the_wall_clock_is_served(
    step_s: float, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    stepped = SteppedTime(monkeypatch)
    rig = Rig(tmp_path)
    client_sock, client = rig.connect()
    client.state_since -= 10 * SECOND_US  # it has been silent for so long
    rig.deployment.script.put(http_response(200, "across"))
    client_sock.sendall(rig.request("across", "once", 1500))
    wait_until(lambda: body_arrival.unread_bytes(client.sock))
    stepped.step_s = step_s
    start_thread(client.run)
    response = read_message(client_sock, ResponseParser())
    assert response is not None and response.body == b"across"


# A server that has just started seemed warm after a step forward, and got more than its budget.
@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_cold_server_is_not_taken_for_a_warm_one_after_a_step(
    step_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    stepped = SteppedTime(monkeypatch)
    born_ms = time.time_ns() // 1_000_000 - 3000
    stepped.step_s = step_s
    entry = {"host": "s", "dial": "127.0.0.1:1", "site": "a", "health": "active", "born_ms": born_ms}
    update = ServerList(["a"], clock.from_unix_ms).apply({"seq": 1, "whole": True, "hosts": [entry]})
    age = clock.now() - update.entries[0].started_at
    assert -50_000 <= age < 3 * SECOND_US + 50_000


def test_a_server_that_started_long_ago_stays_warm_and_a_successor_inherits_the_offset(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stepped = SteppedTime(monkeypatch)
    old = clock.wall
    unix_us = time.time_ns() // 1000
    assert clock.now() - old.started_at(unix_us - 60 * SECOND_US) > 59 * SECOND_US
    stepped.step_s = 3600.0
    successor = clock.WallClock()
    assert clock.now() - successor.started_at(unix_us) > 3000 * SECOND_US
    successor.inherit(old.monotonic_offset())
    assert clock.now() - successor.started_at(unix_us) < SECOND_US
