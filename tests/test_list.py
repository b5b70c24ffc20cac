"""Faults of server list requests: silence, resets, invalid lists, and a start with an outdated list."""

from __future__ import annotations

import contextlib
import json
import queue
import socket
import threading
import time
from pathlib import Path
from types import SimpleNamespace

import pytest

from pumicepath.discovery import watch as watching
from pumicepath.discovery.server_list import BadList, ServerList, parse_address
from pumicepath.discovery.watch import Watch
from pumicepath.http1.parsing import ResponseParser
from pumicepath.lab.loopback.scripted import Deployment, ScriptedServer, http_response
from pumicepath.sidecar.first_list import FIRST_LIST_TIMEOUT_US
from pumicepath.sidecar.watching import Watcher

from .helpers import check_trace


def line(name: str, health: str = "active", **changed: object) -> dict:
    return {
        "host": name,
        "dial": "127.0.0.1:1",
        "site": "a",
        "class": "m",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
        **changed,
    }


def listing(seq: int, *lines: dict, whole: bool = False) -> dict:
    return {"seq": seq, "whole": whole, "hosts": list(lines)}


def list_response(seq: int, *lines: dict, whole: bool = False) -> bytes:
    return http_response(200, json.dumps(listing(seq, *lines, whole=whole)))


class RecordingDispatcher:
    """Takes the place of the dispatcher and its log, and records the lists and events that they get."""

    def __init__(self, lines: list[str]) -> None:
        self.lines = lines
        self.some = threading.Semaphore(0)
        self.events = self

    def note(self, text: str) -> None:
        self.lines.append(text)
        self.some.release()

    def update_servers(self, kind, update, elapsed=0) -> None:
        phases = " ".join(f"{entry.name} {entry.state.name.lower()}" for entry in update.entries)
        self.note(f"    told: {kind.name.lower()} {update.version} {phases}".rstrip())

    def event(self, event: str, **fields: object) -> None:
        name, _, rest = str(fields.get("text", "")).partition(": ")
        if "Connection" in name or "Pipe" in name:
            fields["text"] = "the connection broke"  # which call finds the fault depends on the kernel
        self.note(f"    log: {event} {fields}")


GOOD = list_response(8, line("s-1", "leaving"))
# What the discovery service of each case answers to one request after the other; the last answer is valid.
CASES: dict[str, list] = {
    "silent from the first call on": ["wait", GOOD],
    "silent later": [list_response(8), "wait", list_response(9, line("s-1", "leaving"))],
    "silent in the middle of an answer": [(GOOD[:-9], "wait"), GOOD],
    "reset at the first call": ["reset", GOOD],
    "reset later": [list_response(8), "reset", list_response(9, line("s-1", "leaving"))],
    "ended between two calls": [(list_response(8), "end"), list_response(9, line("s-1", "leaving"))],
    "too many callers": [http_response(503), GOOD],
    "cut": [(GOOD[:-9], "end"), GOOD],
    "not JSON": [http_response(200, "{"), GOOD],
    "indented": [http_response(200, json.dumps(listing(8, line("s-1", "leaving")), indent=4))],
    "no server at all": [list_response(8, whole=True), GOOD],
    "an older change": [
        list_response(8, line("s-1", "leaving")),
        list_response(7, line("s-1")),
        list_response(9),
    ],
    "an older whole list, then the present one": [
        list_response(8, line("s-1", "leaving")),
        list_response(7, line("s-1"), whole=True),
        list_response(9),
    ],
    "versions lost for good": [
        list_response(8, line("s-1", "leaving")),
        *[list_response(2, line("s-2"), whole=True)] * 3,
    ],
    "the same version again, whole": [list_response(8, line("s-1", "leaving"), whole=True)] * 2,
    "one server twice": [list_response(8, line("s-1"), line("s-1", "leaving")), GOOD],
    "no address": [list_response(8, line("s-2"), {"host": "s-1", "health": "active"}), GOOD],
    "no state": [list_response(8, {"host": "s-1", "dial": "127.0.0.1:1"}), GOOD],
    "lacks a server that a change brings back": [
        list_response(8, line("s-2"), whole=True),
        list_response(9, line("s-1", "leaving")),
    ],
}


def run_case(name: str, steps: list, monkeypatch: pytest.MonkeyPatch, pushed: bool = False) -> list[str]:
    # Silence is noticed soon where the case has it, and never elsewhere, however slow the machine is.
    silences = iter([0.1 if step == "wait" or step[-1] == "wait" else 60.0 for step in steps])
    monkeypatch.setattr(Watch, "answer_timeout_s", lambda watch: next(silences, 60.0))
    monkeypatch.setattr("pumicepath.sidecar.watching.RESPONSE_TIMEOUT_S", 0.1)
    lines = [f"{name}{', pushed' if pushed else ''}:"]
    recorder, script = RecordingDispatcher(lines), queue.SimpleQueue()

    peer = ScriptedServer("", script, requests := [])  # requests after the end of the script stay open
    discovery_address = parse_address(peer.address)
    watcher = Watcher(Watch(ServerList(["a"], lambda born: 1), "d", 7, 100_000), discovery_address, pushed)
    watcher.dispatcher = recorder
    watcher.request_list()
    threading.Thread(target=watcher.run, daemon=True).start()
    for number, step in enumerate(steps):
        assert peer.received_requests.acquire(timeout=20), (name, number, lines)
        lines.append("  " + requests[number].removeprefix(": GET /discovery/").replace("?", " "))
        script.put(step)
        # The next request follows once this answer was checked; after a failure the balancer has to ask.
        while len(requests) == number + 1:
            time.sleep(0.001)
            if lines[-1].startswith("    told: failed"):
                watcher.request_list()
                assert peer.received_requests.acquire(timeout=20)
                peer.received_requests.release()
    assert peer.received_requests.acquire(timeout=20), (name, lines)
    lines.append("  " + requests[len(steps)].removeprefix(": GET /discovery/").replace("?", " "))
    return lines


def test_after_each_fault_of_a_watch_the_list_in_force_stays_and_the_next_request_is_in_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines = []
    for name, steps in CASES.items():
        lines += run_case(name, steps, monkeypatch)
    check_trace("crossed-list", lines)


def test_where_lists_are_pushed_a_failed_watch_is_retried_without_a_pause_of_the_balancer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    lines = run_case(
        "down for some calls", ["reset", http_response(503), "reset", GOOD], monkeypatch, pushed=True
    )
    steps = [list_response(8), "reset", "reset", http_response(503), list_response(9)]
    lines += run_case("down while a watch is open", steps, monkeypatch, pushed=True)
    check_trace("crossed-pushed", lines)


def test_a_new_discovery_service_that_is_unreachable_is_reported_after_the_move(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("pumicepath.sidecar.watching.MOVE_RETRY_S", 0.3)
    recorder, script = RecordingDispatcher([]), queue.SimpleQueue()
    peer = ScriptedServer("", script, [])
    with socket.create_server(("127.0.0.1", 0)) as listener:
        unreachable = parse_address(f"127.0.0.1:{listener.getsockname()[1]}")
    watcher = Watcher(Watch(ServerList(["a"], lambda born: 1), "d", 7, 100_000), parse_address(peer.address))
    watcher.dispatcher = recorder
    script.put(list_response(8))
    watcher.request_list()
    threading.Thread(target=watcher.run, daemon=True).start()
    assert recorder.some.acquire(timeout=20)
    watcher.move(unreachable, 100_000, False)
    for _ in range(2):
        assert recorder.some.acquire(timeout=20)
    assert recorder.lines == [
        "    told: changes 8",
        "    log: watch_failed {'text': 'the connection broke'}",
        "    told: failed 0",
    ]


def test_a_request_is_given_up_before_the_changes_it_missed_count_as_known() -> None:
    random_values = iter([0.0, 0.5, 1.0])
    watch = Watch(ServerList(["a"], lambda born: 1), "d", 7, 100_000_000, lambda: next(random_values, 0.25))
    # The first request after a failure does not wait, so that a second one fits into the 6 s allowed.
    assert "timeout_ms=1 " in watch.next_request().decode() and 2 * watch.answer_timeout_s() <= 6
    watch.ask_immediately = False
    waits = []
    for _ in range(2):
        watch.next_request()
        waits.append(watch.wait_ms)
        # Connecting and the answer have to fit into the 2 s after the wait.
        assert watch.answer_timeout_s() - watch.wait_ms / 1000 <= 0.5
    assert waits == [15_000, 20_000], "sidecars that began together must not stay in step"


def test_an_answer_that_never_ends_is_given_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watching, "IMMEDIATE_TIMEOUT_S", 0.2)
    monkeypatch.setattr("pumicepath.sidecar.watching.RESPONSE_TIMEOUT_S", 0.2)
    watcher = Watcher(Watch(ServerList(["a"], lambda born: 1), "d", 7, 100_000), parse_address("127.0.0.1:1"))
    near, far = socket.socketpair()

    def trickle() -> None:
        with contextlib.suppress(OSError):
            far.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n")
            while not finished.is_set():
                far.sendall(b" ")

    finished = threading.Event()
    threading.Thread(target=trickle, daemon=True).start()
    with pytest.raises(TimeoutError):
        watcher.call(near)
    finished.set()


def test_a_rejected_list_leaves_no_state_behind() -> None:
    clock = iter(range(1000, 2000))
    roster = ServerList(["a"], lambda born: next(clock))
    first = roster.apply(listing(1, line("s-1", born_ms=5), whole=True))
    for bad in (
        listing(2, line("s-1", born_ms=6), {"host": "s-2"}),
        listing(2, line("s-1", born_ms=6), line("s-3", born_ms=9), line("s-3")),
    ):
        with pytest.raises(BadList):
            roster.apply(bad)

    def refuse(update: object) -> None:
        raise BadList("not now")

    with pytest.raises(BadList):
        roster.apply(listing(2, line("s-1", born_ms=6), line("s-4", born_ms=7)), refuse)
    again = roster.apply(listing(2, line("s-1", born_ms=5)))
    assert again.entries == first.entries, "the same start, as of the same moment"
    assert list(roster.start_times) == ["s-1"] == [one["host"] for one in roster.snapshot(2)["hosts"]]


def test_where_lists_are_pushed_nothing_is_admitted_before_the_first_list(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 1)
    deployment.configuration["settings"]["membershipMode"] = "pushed"
    deployment.config_path.write_text(json.dumps(deployment.configuration))
    deployment.discovery.answers_starts = False

    def hold_back() -> None:
        assert deployment.discovery.received_requests.acquire(timeout=20)
        requested_at = time.time()
        time.sleep(0.5)
        spans.append((requested_at, time.time()))
        deployment.discovery_script.put(
            http_response(200, json.dumps(deployment.list_document(8, False, "leaving")))
        )

    spans: list[tuple[float, float]] = []
    holder = threading.Thread(target=hold_back)
    holder.start()
    seen = SimpleNamespace(started=0.0)
    event = deployment.next_event
    deployment.next_event = lambda name, process=None: note(event(name, process))  # type: ignore[method-assign]

    def note(record: dict) -> dict:
        if record["event"] == "started":
            seen.started = record["time"]
        return record

    with deployment.running():
        holder.join()
        requested_at, released = spans[0]
        # A start waits for some seconds: on a machine where the half second took longer, either is right.
        assert seen.started + 0.002 >= released or released - requested_at > FIRST_LIST_TIMEOUT_US / 1e6 - 0.5
        response = deployment.submit("once")
    assert (
        response is not None and response.status == 503 and deployment.transcript == ["client: 503 deferred"]
    )


# Guards against changes taken for a whole list: what they do not name would stay as an old list has it.
def test_a_change_is_refused_where_a_whole_list_is_due() -> None:
    watch = Watch(ServerList(["a"], lambda born: 1), "d", 7, 100_000)
    watch.switch_to("other")
    parser = ResponseParser()
    parser.feed(list_response(9))
    with pytest.raises(BadList, match="whole"):
        watch.handle_response(parser.next())
    assert watch.version == -1
