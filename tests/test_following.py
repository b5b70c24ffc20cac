"""Sidecars that follow relays: which relay they use, when they switch, what they request and how often."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from pumicepath.discovery.server_list import ServerList, parse_address
from pumicepath.discovery.watch import Watch
from pumicepath.distribution import relay_selector as deciding
from pumicepath.distribution.relay_selector import RelaySelector
from pumicepath.lab.loopback.scripted import Deployment, http_response
from pumicepath.sidecar import config, running
from pumicepath.sidecar.watching import Watcher

from .following_rig import RelayDeployment, ScriptedRelay
from .rig import wait_until


def test_a_drain_survives_the_switch_to_a_relay_that_is_behind(tmp_path: Path) -> None:
    deployment = RelayDeployment(tmp_path, 2, max_wait=20)
    first, second = deployment.relays
    first.publish("eu", 5, True, *deployment.lines_with_health("active", "active"))
    second.publish("eu", 5, False, *deployment.lines_with_health("active", "active"))
    with deployment.running():
        wait_until(first.is_caught_up)
        assert deployment.servers_used(20) == {"s-0", "s-1"}
        first.publish("eu", 6, True, deployment.lines_with_health("leaving")[0])
        wait_until(first.is_caught_up)
        assert deployment.servers_used(10) == {"s-1"}
        # The connection stays open without answers: the sidecar switches to the next relay.
        first.set_state("silent")
        began = time.monotonic()
        wait_until(second.is_caught_up)
        # A wait of 3 s at most, 0.4 s of silence, a random 0.5 s: the bound is wide for slow machines.
        assert time.monotonic() - began < 15
        assert deployment.servers_used(30) == {"s-1"}
        # The log line on the first relay precedes or follows the one on the start.
        failed, changed = deployment.next_event("watch_failed"), deployment.next_event("relay_changed")
        assert failed["relay"] == first.address and "TimeoutError" in changed["why"]
        assert (changed["from"], changed["to"]) == (first.address, second.address)
        stale = deployment.next_event("region_stale")
        assert (stale["region"], stale["seq"], stale["relay"]) == ("eu", 6, second.address)
        # A change that is newer than the drain is accepted from the second relay as well.
        second.publish("eu", 7, True, deployment.lines_with_health("active")[0])
        wait_until(lambda: second.is_caught_up() and "s-0" in deployment.servers_used(10))
        assert deployment.next_event("region_back")["region"] == "eu"


def test_silent_and_killed_relays_are_replaced_by_the_next_one(tmp_path: Path) -> None:
    deployment = RelayDeployment(tmp_path, 3)
    for relay in deployment.relays:
        relay.publish("eu", 5, True, *deployment.lines_with_health("active", "active"))
    first, second, third = deployment.relays
    with deployment.running():
        wait_until(first.is_caught_up)
        first.set_state("silent")
        wait_until(second.is_caught_up)
        began = time.monotonic()
        second.kill()
        wait_until(lambda: third.requests)
        assert time.monotonic() - began < 10
        third.publish("eu", 6, True, deployment.lines_with_health("leaving")[0])
        wait_until(third.is_caught_up)
        assert deployment.servers_used(10) == {"s-1"}
        assert all("services=*" in target for relay in deployment.relays for _, target in relay.requests)
        assert not deployment.discovery.received_requests.acquire(blocking=False), (
            "discovery receives no request at all"
        )


def test_overloaded_relays_are_asked_with_growing_pauses(tmp_path: Path) -> None:
    deployment = RelayDeployment(tmp_path, 2)
    for relay in deployment.relays:
        relay.set_state("busy")
        relay.publish("eu", 5, True, *deployment.lines_with_health("leaving", "active"))
    with deployment.running():
        requests = [relay.requests for relay in deployment.relays]
        wait_until(lambda: requests[0] and requests[1])
        began = requests[0][0][0]
        time.sleep(2)
        calls = sum(when < began + 2 for calls in requests for when, _ in calls)
        # The pauses are at least 0, 0.5, 1 and 2 s; without pauses there would be hundreds of requests.
        assert calls <= 4
        # The list held stays in use meanwhile.
        assert deployment.servers_used(4) <= {"s-0", "s-1"} and deployment.servers_used(4)
        for relay in deployment.relays:
            relay.set_state("serving")
        wait_until(lambda: any(relay.is_caught_up() for relay in deployment.relays))
        assert deployment.servers_used(10) == {"s-1"}


def test_sighup_applies_relays_and_services_and_invalid_ones_change_nothing(tmp_path: Path) -> None:
    deployment = RelayDeployment(tmp_path, 2, services=["cart"])
    first, second = deployment.relays
    first.publish("eu", 5, True, *deployment.lines_with_health("active", "active"))
    second.publish("eu", 6, True, *deployment.lines_with_health("active", "leaving"))
    deployment.write_config(relays=[first.address])
    with deployment.running():
        wait_until(first.is_caught_up)
        assert all(target.endswith("services=cart") for _, target in first.requests)

        def reload(event: str, **changed: Any) -> dict:
            deployment.write_config(**changed)
            deployment.process.send_signal(signal.SIGHUP)
            return deployment.next_event(event)

        assert "relays[0]: 'here'" in reload("reload_failed", relays=["here"])["text"]
        assert "services[0]" in reload("reload_failed", relays=[first.address], services=["a b"])["text"]
        del deployment.configuration["services"]
        assert "services is missing" in reload("reload_failed")["text"]
        calls = len(first.requests)
        wait_until(lambda: len(first.requests) > calls + 1)
        assert all("since=" in target for _, target in first.requests[calls:]), "the watch goes on unchanged"

        event = reload("reloaded", services=["stock", "cart"])
        assert event["services"] == ["cart", "stock"] and event["needs_restart"] == []
        wait_until(lambda: first.requests[-1][1].endswith("&services=cart,stock"))
        assert "/discovery/hosts?services=cart,stock" in [target for _, target in first.requests], (
            "the whole list"
        )
        assert reload("reloaded", relays=[second.address])["relays"] == [second.address]
        wait_until(second.is_caught_up)
        assert deployment.servers_used(10) == {"s-0"}
        calls = len(first.requests)
        reload("reloaded", relays=None, services=None)
        assert deployment.discovery.received_requests.acquire(timeout=20) and len(first.requests) == calls
        assert deployment.discovery.transcript == ["discovery: GET /discovery/hosts"], (
            "the versions of discovery differ"
        )


def replaceable_deployment(folder: Path, count: int) -> RelayDeployment:
    deployment = RelayDeployment(folder, count, admin_addr="127.0.0.1:0")
    deployment.write_config(listen=deployment.reserve_address())
    deployment.environment = {"TMPDIR": str(folder)}
    return deployment


def test_a_hot_restart_keeps_the_region_versions(tmp_path: Path) -> None:
    deployment = replaceable_deployment(tmp_path, 2)
    first, second = deployment.relays
    first.publish("eu", 6, True, *deployment.lines_with_health("leaving", "active"))
    second.publish("eu", 5, True, *deployment.lines_with_health("active", "active"))
    with deployment.running():
        wait_until(first.is_caught_up)
        first.set_state("busy")
        after = deployment.start_process()
        try:
            deployment.next_event("started", process=after)
            deployment.next_event("succeeding", process=after)
            deployment.process.kill()
            deployment.process.wait()
            calls = len(second.requests)
            wait_until(lambda: any("since=" in target for _, target in second.requests[calls:]))
            assert deployment.servers_used(20) == {"s-1"}
        finally:
            after.kill()
            after.wait()


def test_a_hot_restart_from_relays_to_discovery_requests_the_whole_list(
    tmp_path: Path,
) -> None:
    deployment = replaceable_deployment(tmp_path, 1)
    (relay,) = deployment.relays
    relay.publish("eu", 6, True, *deployment.lines_with_health("leaving", "active"))
    with deployment.running():
        wait_until(relay.is_caught_up)
        deployment.write_config(relays=None)
        after = deployment.start_process()
        try:
            deployment.next_event("started", process=after)
            assert deployment.discovery.received_requests.acquire(timeout=20)
            assert deployment.discovery.transcript == ["discovery: GET /discovery/hosts"], (
                "the versions of discovery differ"
            )
        finally:
            after.kill()
            after.wait()


def test_without_relays_no_relay_code_is_imported_and_requests_are_unchanged(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 1)
    asked: list[str] = []
    listener = socket.create_server(("127.0.0.1", 0))
    where = f"127.0.0.1:{listener.getsockname()[1]}"
    deployment.configuration["discovery"] = where
    deployment.config_path.write_text(json.dumps(deployment.configuration))

    def serve() -> None:
        sock = listener.accept()[0]
        for number in range(8, 11):
            asked.append(sock.recv(65536).decode())
            sock.sendall(http_response(200, json.dumps(deployment.list_document(number, False, "active"))))
        asked.append(sock.recv(65536).decode())
        done.set()

    done = threading.Event()
    threading.Thread(target=serve, daemon=True).start()
    with deployment.running():
        assert done.wait(20)
    # Recorded with this seed before relays were added.
    expected = [
        "since=1&timeout_ms=1",
        "since=8&timeout_ms=17406",
        "since=9&timeout_ms=19394",
        "since=10&timeout_ms=18322",
    ]
    assert asked == [f"GET /discovery/hosts?{each} HTTP/1.1\r\nHost: {where}\r\n\r\n" for each in expected]
    code = (
        "import sys; from pumicepath.command import main; main.get_command(None, 'serve');"
        "from pumicepath.sidecar import config, running;"
        "from pumicepath.discovery.watch import Watch;"
        f"c = config.read({str(deployment.config_path)!r}); Watch(None, '', 1, 1);"
        "assert running.create_relay_selector(c) is None;"
        "print([name for name in sys.modules if 'distribution' in name or 'relay' in name"
        " or name == 'pumicepath.sidecar.following'"
        " or name in ('pumicepath.commands.' + each for each in ('lab', 'scale', 'demo', 'peers'))])"
    )
    ran = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, env=dict(os.environ))
    assert ran.stdout == "[]\n", ran.stderr


def test_sidecars_with_the_same_seed_draw_different_waits(tmp_path: Path) -> None:
    drawn = set()
    for at in range(8):
        deployment = Deployment(tmp_path, 0, name=f"n{at}", relays=["127.0.0.1:1"])
        homes = running.create_relay_selector(config.read(str(deployment.config_path)))
        assert homes is not None
        drawn.add(homes.call_failed(0))
    assert len(drawn) == 8


# -- the return to the first relay, in the test's own process


class RecordingDispatcher:
    """Records what the watcher sends to the dispatcher."""

    def __init__(self) -> None:
        self.events = self.metrics = self
        self.lines: list[str] = []

    def update_servers(self, kind: Any, update: Any) -> None:
        if update.entries:
            self.lines.append(f"{kind.name} {' '.join(entry.name for entry in update.entries)}")

    def event(self, event: str, **figures: Any) -> None:
        self.lines.append(f"{event} {figures.get('to', '')} {figures.get('why', '')}".strip())

    def count(self, name: str) -> None:
        self.lines.append(name)


@contextmanager
def following_watcher(
    *relays: ScriptedRelay,
) -> Iterator[tuple[Watcher, list[ScriptedRelay], RecordingDispatcher]]:
    homes = RelaySelector("n", [relay.address for relay in relays], lambda: 0.5)
    by_address = {relay.address: relay for relay in relays}
    recorder = RecordingDispatcher()
    watch = Watch(ServerList(["a"], lambda unix_ms: 1), homes.current, -1, 100_000, services=("*",))
    watcher = Watcher(watch, parse_address("127.0.0.1:1"), relay_selector=homes)
    watcher.dispatcher = recorder  # type: ignore[assignment]
    watcher.request_list()
    threading.Thread(target=watcher.run, daemon=True).start()
    yield watcher, [by_address[at] for at in homes.order], recorder
    for relay in relays:
        relay.set_state("busy")


def list_line(name: str) -> dict:
    return {
        "host": name,
        "dial": "127.0.0.1:1",
        "site": "a",
        "class": "m",
        "block": 0,
        "health": "active",
        "share": 1.0,
        "born_ms": 0,
    }


def test_the_watch_returns_to_the_first_relay_without_losing_a_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(deciding, "HOME_RETRY_US", 500_000)
    relays = [ScriptedRelay(1000 * at).publish("eu", 5, True, list_line("s-1")) for at in (1, 2)]
    with following_watcher(*relays) as (watcher, (first, second), recorder):
        wait_until(first.is_caught_up)
        host, port = first.address.split(":")
        first.kill()
        wait_until(second.is_caught_up)
        # Attempts to connect to the first fail meanwhile; the watch on the second goes on, without another
        # whole list.
        wait_until(lambda: watcher.relay_selector and watcher.relay_selector.home_retry_interval > 500_000)
        wait_until(lambda: sum("since" in target for _, target in second.requests) > 5)
        assert sum("since" not in target for _, target in second.requests) == 1 == second.accepted
        first.listener = socket.create_server((host, int(port)))
        first.listener.settimeout(None)
        threading.Thread(target=first.accept, daemon=True).start()
        calls = len(first.requests)
        wait_until(lambda: len(first.requests) > calls and first.is_caught_up())
        wait_until(lambda: not second.connections)
        changes = [each for each in recorder.lines if each.startswith("relay")]
        assert changes[0] == f"relay_changed {first.address} start"
        assert changes[1].startswith(f"relay_changed {second.address} Connection")
        assert changes[2:] == [
            "relay_changes",
            f"relay_changed {first.address} back to the first",
            "relay_changes",
        ]
        assert not any(each.startswith("FAILED") for each in recorder.lines)


def test_without_a_descriptor_for_another_relay_the_working_watch_continues(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(deciding, "HOME_RETRY_US", 500_000)

    def none_left(where: object) -> socket.socket:
        raise OSError(24, "Too many open files")

    relays = [ScriptedRelay(1000 * at).publish("eu", 5, True, list_line("s-1")) for at in (1, 2)]
    with following_watcher(*relays) as (watcher, (first, second), _):
        wait_until(first.is_caught_up)
        first.set_state("busy")
        wait_until(second.is_caught_up)
        monkeypatch.setattr("pumicepath.sidecar.following.new_socket", none_left)
        first.set_state("serving")
        wait_until(lambda: watcher.relay_selector and watcher.relay_selector.home_retry_interval > 500_000)
        calls = len(second.requests)
        wait_until(lambda: len(second.requests) > calls + 3)
        assert second.accepted == 1


def test_a_first_relay_that_accepts_but_never_answers_is_left_for_the_previous_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(deciding, "HOME_RETRY_US", 500_000)
    monkeypatch.setattr("pumicepath.discovery.watch.IMMEDIATE_TIMEOUT_S", 0.5)
    relays = [ScriptedRelay(1000 * at).publish("eu", 5, True, list_line("s-1")) for at in (1, 2, 3)]
    with following_watcher(*relays) as (watcher, (first, second, third), recorder):
        wait_until(first.is_caught_up)
        first.set_state("silent")
        wait_until(second.is_caught_up)
        calls = len(first.requests)
        wait_until(lambda: len(first.requests) > calls)  # tried
        calls = len(second.requests)
        wait_until(lambda: len(second.requests) > calls + 2 and second.is_caught_up())
        assert not third.requests, "back to the relay that answered, not on to the next"


def test_a_relay_in_touch_with_more_regions_is_found_and_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(deciding, "SEARCH_INTERVAL_US", 400_000)
    relays = [
        ScriptedRelay(1000 * at)
        .publish("eu", 5, True, list_line("s-1"))
        .publish("us", 5, True, list_line("u-1"))
        for at in (1, 2, 3)
    ]
    with following_watcher(*relays) as (watcher, (first, second, third), recorder):
        wait_until(first.is_caught_up)
        second.publish("us", 5, False).publish("eu", 5, False)
        first.publish("us", 5, False)
        wait_until(lambda: second.requests)  # tried, and left at once since it is in touch with fewer regions
        wait_until(lambda: third.requests and third.is_caught_up())
        calls = len(third.requests)
        wait_until(lambda: len(third.requests) > calls + 3)
        wait_until(lambda: not first.connections and not second.connections)
        assert f"relay_changed {third.address} a region is out of touch" in recorder.lines
        assert recorder.lines.count("region_stale") <= 4 and "region_back" in recorder.lines
