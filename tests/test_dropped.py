"""Lists that prove nothing: where only draining binds, servers that were dropped stay in use by steps."""

import json
from pathlib import Path

import pytest

from pumicepath.balancer import MAX_UNLISTED_US
from pumicepath.interface import ListKind, Outcome, ServerState
from pumicepath.lab.loopback.scripted import Deployment, http_response

from .helpers import SECOND, ScriptedHost, check_host_trace, check_trace, make_entry, make_settings


def send_and_note(bench: ScriptedHost, label: str, dead: int = 0, seconds: int = 1) -> None:
    """Some submissions a second, and how many hops went where; a dead server refuses connections."""
    before = len(bench.sent_to)
    start = bench.now / SECOND
    for step in range(40 * seconds):
        one = bench.advance_to(start + step / 40).submit(1000 * len(bench.lines) + step, key=step + 1)
        while one.hops_in_flight:
            bench.finish_hop(one, Outcome.CONNECT_FAILED if bench.sent_to[-1] == dead else Outcome.OK)
    met = bench.sent_to[before:]
    bench.lines = [line for line in bench.lines if "submission" not in line]
    bench.note(f"{label}: {[met.count(server) for server in (1, 2, 3)]}")


@pytest.mark.parametrize("alone", [True, False])
def test_a_list_that_calls_all_gone_is_held_against_what_answers(alone: bool) -> None:
    bench = ScriptedHost(make_settings(drain_alone=alone), [make_entry(1), make_entry(2), make_entry(3)])
    send_and_note(bench, "listed")
    bench.balancer.update_servers(bench.now, ListKind.FULL, [])
    send_and_note(bench, "all left out", seconds=3)
    bench.balancer.update_servers(bench.now, ListKind.FULL, [make_entry(1), make_entry(2), make_entry(3)])
    send_and_note(bench, "listed again")
    bench.balancer.update_servers(bench.now, ListKind.CHANGES, [make_entry(2, state=ServerState.GONE)])
    for _ in range(6):
        send_and_note(bench, "one called gone, and it is", dead=2)
    bench.advance_to(bench.now / SECOND + MAX_UNLISTED_US / SECOND)
    bench.balancer.update_servers(bench.now, ListKind.FULL, [make_entry(1), make_entry(3)])
    bench.note(f"half a minute later {len(bench.balancer.index_by_id)} are known")
    bench.balancer.update_servers(bench.now, ListKind.FULL, [make_entry(1), make_entry(2), make_entry(3)])
    for _ in range(2):
        send_and_note(bench, "listed and up again")
    check_host_trace(f"dropped_{'alone' if alone else 'binds'}", bench)


def test_the_part_of_a_silent_server_falls_and_returns_by_steps() -> None:
    bench = ScriptedHost(make_settings(drain_alone=True), [make_entry(1), make_entry(2)])
    balancer, at, parts = bench.balancer, bench.balancer.index_by_id[2], []
    balancer.update_servers(SECOND, ListKind.FULL, [make_entry(1)])
    for second in range(2, 14):
        parts.append(balancer.weight_factor(second * SECOND, at))
        if second == 7:
            balancer.update_servers(second * SECOND, ListKind.FULL, [make_entry(1), make_entry(2)])
    assert parts == [1 / 2, 1 / 4, 1 / 8, 1 / 16, 1 / 16, 1 / 16, 1 / 8, 1 / 4, 1 / 2, 1, 1, 1]


def test_what_has_drained_stays_bound_until_it_starts_anew() -> None:
    """Guards the rule on drains against an old list that comes again and stays."""
    bench = ScriptedHost(make_settings(drain_alone=True), [make_entry(1), make_entry(2)])
    said = []
    for line in (
        make_entry(2, state=ServerState.DRAINING),
        make_entry(2),
        None,
        make_entry(2),
        make_entry(2, started_at=9),
    ):
        bench.balancer.update_servers(bench.now, ListKind.FULL, [make_entry(1), *([line] if line else [])])
        said.append(len(bench.balancer.ready))
    assert said == [1, 1, 1, 1, 2]


def test_a_sidecar_sends_on_to_what_the_list_dropped(tmp_path: Path) -> None:
    around = Deployment(tmp_path, 1)
    around.configuration["settings"]["rules"]["drainBindsAlone"] = True
    around.config_path.write_text(json.dumps(around.configuration))
    whole = around.list_document(2, True, "active")
    around.discovery_script.put(http_response(200, json.dumps({**whole, "hosts": []})))
    around.discovery.script = around.discovery_script
    with around.running():
        assert around.discovery.received_requests.acquire(
            timeout=5
        ) and around.discovery.received_requests.acquire(timeout=5)
        around.submit(
            "read", http_response(200, "though the list is empty")
        )  # the second call: it has been read
        around.discovery_script.put(http_response(200, json.dumps(around.list_document(3, False, "leaving"))))
        assert around.discovery.received_requests.acquire(timeout=5)
        around.submit("read")
    check_trace("dropped_then_draining", around.transcript)
