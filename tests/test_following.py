"""Sidecars that follow relays: which one, by when the next, what is asked, and how often."""

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


def test_a_drain_told_by_one_relay_holds_at_the_next_that_is_behind(tmp_path: Path) -> None:
    around = RelayDeployment(tmp_path, 2, max_wait=20)
    first, second = around.relays
    first.publish("eu", 5, True, *around.lines_with_health("active", "active"))
    second.publish("eu", 5, False, *around.lines_with_health("active", "active"))
    with around.running():
        wait_until(first.is_caught_up)
        assert around.servers_used(20) == {"s-0", "s-1"}
        first.publish("eu", 6, True, around.lines_with_health("leaving")[0])
        wait_until(first.is_caught_up)
        assert around.servers_used(10) == {"s-1"}
        # No answer comes any more, while the connection is open: it is left for the next.
        first.set_state("silent")
        began = time.monotonic()
        wait_until(second.is_caught_up)
        # A wait of 3 s at most, 0.4 s of silence, a drawn 0.5 s: the bound for slow machines is wide.
        assert time.monotonic() - began < 15
        assert around.servers_used(30) == {"s-1"}
        # The line on the first relay comes before or after the one on the start.
        failed, changed = around.next_event("watch_failed"), around.next_event("relay_changed")
        assert failed["relay"] == first.address and "TimeoutError" in changed["why"]
        assert (changed["from"], changed["to"]) == (first.address, second.address)
        stale = around.next_event("region_stale")
        assert (stale["region"], stale["seq"], stale["relay"]) == ("eu", 6, second.address)
        # What is newer than the drain is believed of it as of any other.
        second.publish("eu", 7, True, around.lines_with_health("active")[0])
        wait_until(lambda: second.is_caught_up() and "s-0" in around.servers_used(10))
        assert around.next_event("region_back")["region"] == "eu"


def test_silent_and_killed_relays_are_left_for_the_next_and_the_list_goes_on(tmp_path: Path) -> None:
    around = RelayDeployment(tmp_path, 3)
    for relay in around.relays:
        relay.publish("eu", 5, True, *around.lines_with_health("active", "active"))
    first, second, third = around.relays
    with around.running():
        wait_until(first.is_caught_up)
        first.set_state("silent")
        wait_until(second.is_caught_up)
        began = time.monotonic()
        second.kill()
        wait_until(lambda: third.requests)
        assert time.monotonic() - began < 10
        third.publish("eu", 6, True, around.lines_with_health("leaving")[0])
        wait_until(third.is_caught_up)
        assert around.servers_used(10) == {"s-1"}
        assert all("services=*" in target for relay in around.relays for _, target in relay.requests)
        assert not around.discovery.received_requests.acquire(blocking=False), (
            "discovery is not called at all"
        )


def test_relays_that_turn_calls_away_are_called_less_and_less_often(tmp_path: Path) -> None:
    around = RelayDeployment(tmp_path, 2)
    for relay in around.relays:
        relay.set_state("busy")
        relay.publish("eu", 5, True, *around.lines_with_health("leaving", "active"))
    with around.running():
        asked = [relay.requests for relay in around.relays]
        wait_until(lambda: asked[0] and asked[1])
        began = asked[0][0][0]
        time.sleep(2)
        calls = sum(when < began + 2 for calls in asked for when, _ in calls)
        # Between them lie 0 s, 0.5, 1 and 2 s at least: a storm would be hundreds.
        assert calls <= 4
        # The list that it has is used on meanwhile.
        assert around.servers_used(4) <= {"s-0", "s-1"} and around.servers_used(4)
        for relay in around.relays:
            relay.set_state("serving")
        wait_until(lambda: any(relay.is_caught_up() for relay in around.relays))
        assert around.servers_used(10) == {"s-1"}


def test_relays_and_services_are_taken_up_at_sighup_and_bad_ones_change_nothing(tmp_path: Path) -> None:
    around = RelayDeployment(tmp_path, 2, services=["cart"])
    first, second = around.relays
    first.publish("eu", 5, True, *around.lines_with_health("active", "active"))
    second.publish("eu", 6, True, *around.lines_with_health("active", "leaving"))
    around.write_config(relays=[first.address])
    with around.running():
        wait_until(first.is_caught_up)
        assert all(target.endswith("services=cart") for _, target in first.requests)

        def reload(event: str, **changed: Any) -> dict:
            around.write_config(**changed)
            around.process.send_signal(signal.SIGHUP)
            return around.next_event(event)

        assert "relays[0]: 'here'" in reload("reload_failed", relays=["here"])["text"]
        assert "services[0]" in reload("reload_failed", relays=[first.address], services=["a b"])["text"]
        del around.configuration["services"]
        assert "services is missing" in reload("reload_failed")["text"]
        calls = len(first.requests)
        wait_until(lambda: len(first.requests) > calls + 1)
        assert all("since=" in target for _, target in first.requests[calls:]), "as if nothing had been"

        told = reload("reloaded", services=["stock", "cart"])
        assert told["services"] == ["cart", "stock"] and told["needs_restart"] == []
        wait_until(lambda: first.requests[-1][1].endswith("&services=cart,stock"))
        assert "/discovery/hosts?services=cart,stock" in [target for _, target in first.requests], "all of it"
        assert reload("reloaded", relays=[second.address])["relays"] == [second.address]
        wait_until(second.is_caught_up)
        assert around.servers_used(10) == {"s-0"}
        calls = len(first.requests)
        reload("reloaded", relays=None, services=None)
        assert around.discovery.received_requests.acquire(timeout=20) and len(first.requests) == calls
        assert around.discovery.transcript == ["discovery: GET /discovery/hosts"], "versions are others"


def replaceable_deployment(folder: Path, count: int) -> RelayDeployment:
    around = RelayDeployment(folder, count, admin_addr="127.0.0.1:0")
    with socket.create_server(("127.0.0.1", 0)) as free:
        around.write_config(listen=f"127.0.0.1:{free.getsockname()[1]}")
    around.environment = {"TMPDIR": str(folder)}
    return around


def test_the_process_that_takes_a_sidecars_place_goes_back_to_nothing(tmp_path: Path) -> None:
    around = replaceable_deployment(tmp_path, 2)
    first, second = around.relays
    first.publish("eu", 6, True, *around.lines_with_health("leaving", "active"))
    second.publish("eu", 5, True, *around.lines_with_health("active", "active"))
    with around.running():
        wait_until(first.is_caught_up)
        first.set_state("busy")
        after = around.start_process()
        try:
            around.next_event("started", process=after)
            around.next_event("succeeding", process=after)
            around.process.kill()
            around.process.wait()
            calls = len(second.requests)
            wait_until(lambda: any("since=" in target for _, target in second.requests[calls:]))
            assert around.servers_used(20) == {"s-1"}
        finally:
            after.kill()
            after.wait()


def test_a_process_without_relays_that_takes_the_place_of_one_with_asks_discovery_for_all(
    tmp_path: Path,
) -> None:
    around = replaceable_deployment(tmp_path, 1)
    (relay,) = around.relays
    relay.publish("eu", 6, True, *around.lines_with_health("leaving", "active"))
    with around.running():
        wait_until(relay.is_caught_up)
        around.write_config(relays=None)
        after = around.start_process()
        try:
            around.next_event("started", process=after)
            assert around.discovery.received_requests.acquire(timeout=20)
            assert around.discovery.transcript == ["discovery: GET /discovery/hosts"], "versions are others"
        finally:
            after.kill()
            after.wait()


def test_without_relays_nothing_of_them_is_imported_and_the_same_bytes_are_asked(tmp_path: Path) -> None:
    around = Deployment(tmp_path, 1)
    asked: list[str] = []
    listener = socket.create_server(("127.0.0.1", 0))
    where = f"127.0.0.1:{listener.getsockname()[1]}"
    around.configuration["discovery"] = where
    around.config_path.write_text(json.dumps(around.configuration))

    def serve() -> None:
        sock = listener.accept()[0]
        for number in range(8, 11):
            asked.append(sock.recv(65536).decode())
            sock.sendall(http_response(200, json.dumps(around.list_document(number, False, "active"))))
        asked.append(sock.recv(65536).decode())
        done.set()

    done = threading.Event()
    threading.Thread(target=serve, daemon=True).start()
    with around.running():
        assert done.wait(20)
    # As the program of before asked with this seed, recorded.
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
        f"c = config.read({str(around.config_path)!r}); Watch(None, '', 1, 1);"
        "assert running.create_relay_selector(c) is None;"
        "print([name for name in sys.modules if 'distribution' in name or 'relay' in name"
        " or name == 'pumicepath.sidecar.following'"
        " or name in ('pumicepath.commands.' + each for each in ('lab', 'scale', 'demo', 'peers'))])"
    )
    ran = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, env=dict(os.environ))
    assert ran.stdout == "[]\n", ran.stderr


def test_sidecars_that_share_a_seed_wait_and_choose_unlike_each_other(tmp_path: Path) -> None:
    drawn = set()
    for at in range(8):
        around = Deployment(tmp_path, 0, name=f"n{at}", relays=["127.0.0.1:1"])
        homes = running.create_relay_selector(config.read(str(around.config_path)))
        assert homes is not None
        drawn.add(homes.call_failed(0))
    assert len(drawn) == 8


# -- the way home, in the test's own process and time


class RecordingDispatcher:
    """In the dispatcher's place."""

    def __init__(self) -> None:
        self.events = self.figures = self
        self.lines: list[str] = []

    def listed(self, kind: Any, update: Any) -> None:
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
    by = {relay.address: relay for relay in relays}
    heard = RecordingDispatcher()
    watch = Watch(ServerList(["a"], lambda born: 1), homes.current, -1, 100_000, services=("*",))
    watcher = Watcher(watch, parse_address("127.0.0.1:1"), relay_selector=homes)
    watcher.dispatcher = heard  # type: ignore[assignment]
    watcher.request_list()
    threading.Thread(target=watcher.run, daemon=True).start()
    yield watcher, [by[at] for at in homes.order], heard
    for relay in relays:
        relay.set_state("busy")


def line(name: str) -> dict:
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


def test_back_at_the_first_once_it_can_be_dialled_and_no_call_lost_to_one_that_cannot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(deciding, "HOME_US", 500_000)
    relays = [ScriptedRelay(1000 * at).publish("eu", 5, True, line("s-1")) for at in (1, 2)]
    with following_watcher(*relays) as (watcher, (first, second), heard):
        wait_until(first.is_caught_up)
        host, port = first.address.split(":")
        first.kill()
        wait_until(second.is_caught_up)
        # The first is dialled in vain meanwhile: the watch at the second goes on, with no list asked anew.
        wait_until(lambda: watcher.relay_selector and watcher.relay_selector.home_retry_interval > 500_000)
        wait_until(lambda: sum("since" in target for _, target in second.requests) > 5)
        assert sum("since" not in target for _, target in second.requests) == 1 == second.accepted
        first.listener = socket.create_server((host, int(port)))
        first.listener.settimeout(None)
        threading.Thread(target=first.accept, daemon=True).start()
        calls = len(first.requests)
        wait_until(lambda: len(first.requests) > calls and first.is_caught_up())
        wait_until(lambda: not second.connections)
        changes = [each for each in heard.lines if each.startswith("relay")]
        assert changes[0] == f"relay_changed {first.address} start"
        assert changes[1].startswith(f"relay_changed {second.address} Connection")
        assert changes[2:] == [
            "relay_changes",
            f"relay_changed {first.address} back to the first",
            "relay_changes",
        ]
        assert not any(each.startswith("FAILED") for each in heard.lines)


def test_without_a_descriptor_for_another_relay_the_watch_that_works_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(deciding, "HOME_US", 500_000)

    def none_left(where: object) -> socket.socket:
        raise OSError(24, "Too many open files")

    relays = [ScriptedRelay(1000 * at).publish("eu", 5, True, line("s-1")) for at in (1, 2)]
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


def test_a_first_that_takes_connections_and_says_nothing_is_left_for_the_one_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(deciding, "HOME_US", 500_000)
    monkeypatch.setattr("pumicepath.discovery.watch.ANSWER_S", 0.5)
    relays = [ScriptedRelay(1000 * at).publish("eu", 5, True, line("s-1")) for at in (1, 2, 3)]
    with following_watcher(*relays) as (watcher, (first, second, third), heard):
        wait_until(first.is_caught_up)
        first.set_state("silent")
        wait_until(second.is_caught_up)
        calls = len(first.requests)
        wait_until(lambda: len(first.requests) > calls)  # tried
        calls = len(second.requests)
        wait_until(lambda: len(second.requests) > calls + 2 and second.is_caught_up())
        assert not third.requests, "back to the one that answered, not on to the next"


def test_where_a_region_is_out_of_touch_another_relay_is_looked_at_and_kept_if_it_is_better(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(deciding, "LOOK_US", 400_000)
    relays = [
        ScriptedRelay(1000 * at).publish("eu", 5, True, line("s-1")).publish("us", 5, True, line("u-1"))
        for at in (1, 2, 3)
    ]
    with following_watcher(*relays) as (watcher, (first, second, third), heard):
        wait_until(first.is_caught_up)
        second.publish("us", 5, False).publish("eu", 5, False)
        first.publish("us", 5, False)
        wait_until(lambda: second.requests)  # looked at, and left at once as it has fewer
        wait_until(lambda: third.requests and third.is_caught_up())
        calls = len(third.requests)
        wait_until(lambda: len(third.requests) > calls + 3)
        wait_until(lambda: not first.connections and not second.connections)
        assert f"relay_changed {third.address} a region is out of touch" in heard.lines
        assert heard.lines.count("region_stale") <= 4 and "region_back" in heard.lines
