"""Unreliable lists: with `only_draining_removes`, servers missing from the list stay in use for a while."""

import json
from pathlib import Path

import pytest

from pumicepath.balancer import MAX_UNLISTED_US
from pumicepath.interface import ListKind, Outcome, ServerState
from pumicepath.lab.loopback.scripted import Deployment, http_response

from .helpers import SECOND, ScriptedHost, check_host_trace, check_trace, make_entry, make_settings


def send_and_note(bench: ScriptedHost, label: str, dead: int = 0, seconds: int = 1) -> None:
    """Send 40 submissions a second and note the number of hops per server; `dead` refuses connections."""
    before = len(bench.sent_to)
    start = bench.now / SECOND
    for step in range(40 * seconds):
        one = bench.advance_to(start + step / 40).submit(1000 * len(bench.lines) + step, key=step + 1)
        while one.hops_in_flight:
            bench.finish_hop(one, Outcome.CONNECT_FAILED if bench.sent_to[-1] == dead else Outcome.OK)
    targets = bench.sent_to[before:]
    bench.lines = [line for line in bench.lines if "submission" not in line]
    bench.note(f"{label}: {[targets.count(server) for server in (1, 2, 3)]}")


@pytest.mark.parametrize("alone", [True, False])
def test_servers_missing_from_the_list_stay_in_use_while_they_answer(alone: bool) -> None:
    bench = ScriptedHost(
        make_settings(only_draining_removes=alone), [make_entry(1), make_entry(2), make_entry(3)]
    )
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


def test_the_fraction_of_an_unlisted_silent_server_falls_and_returns_by_steps() -> None:
    bench = ScriptedHost(make_settings(only_draining_removes=True), [make_entry(1), make_entry(2)])
    balancer, at, fractions = bench.balancer, bench.balancer.index_by_id[2], []
    balancer.update_servers(SECOND, ListKind.FULL, [make_entry(1)])
    for second in range(2, 14):
        fractions.append(balancer.weight_factor(second * SECOND, at))
        if second == 7:
            balancer.update_servers(second * SECOND, ListKind.FULL, [make_entry(1), make_entry(2)])
    assert fractions == [1 / 2, 1 / 4, 1 / 8, 1 / 16, 1 / 16, 1 / 16, 1 / 8, 1 / 4, 1 / 2, 1, 1, 1]


def test_a_drained_server_stays_out_of_use_until_it_restarts() -> None:
    """An outdated list that is served again must not bring a drained server back into use."""
    bench = ScriptedHost(make_settings(only_draining_removes=True), [make_entry(1), make_entry(2)])
    ready_counts = []
    for line in (
        make_entry(2, state=ServerState.DRAINING),
        make_entry(2),
        None,
        make_entry(2),
        make_entry(2, started_at=9),
    ):
        bench.balancer.update_servers(bench.now, ListKind.FULL, [make_entry(1), *([line] if line else [])])
        ready_counts.append(len(bench.balancer.ready))
    assert ready_counts == [1, 1, 1, 1, 2]


def test_a_sidecar_still_sends_to_a_server_missing_from_the_list(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 1)
    deployment.configuration["settings"]["rules"]["drainBindsAlone"] = True
    deployment.config_path.write_text(json.dumps(deployment.configuration))
    full_list = deployment.list_document(2, True, "active")
    deployment.discovery_script.put(http_response(200, json.dumps({**full_list, "hosts": []})))
    deployment.discovery.script = deployment.discovery_script
    with deployment.running():
        assert deployment.discovery.received_requests.acquire(
            timeout=5
        ) and deployment.discovery.received_requests.acquire(timeout=5)
        # The second call has arrived, so the empty list has been applied.
        deployment.submit("read", http_response(200, "though the list is empty"))
        deployment.discovery_script.put(
            http_response(200, json.dumps(deployment.list_document(3, False, "leaving")))
        )
        assert deployment.discovery.received_requests.acquire(timeout=5)
        deployment.submit("read")
    check_trace("dropped_then_draining", deployment.transcript)
