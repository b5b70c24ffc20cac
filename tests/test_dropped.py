"""Unreliable server lists: with `drain_alone`, servers missing from the list stay in use for a while."""

import json
from pathlib import Path

import pytest

from pumicepath.interface import Listing, Outcome, Phase
from pumicepath.lab.loopback.scripted import Deployment, answer
from pumicepath.logic import HELD_LONGEST

from .helpers import SECOND, Bench, check, compare, entry, settings


def send_and_note(bench: Bench, label: str, dead: int = 0, seconds: int = 1) -> None:
    """Send 40 submissions a second and note the number of hops per server; `dead` refuses connections."""
    before = len(bench.sent)
    start = bench.now / SECOND
    for step in range(40 * seconds):
        one = bench.at(start + step / 40).take(1000 * len(bench.lines) + step, key=step + 1)
        while one.out:
            bench.end(one, Outcome.CONNECT_FAILED if bench.sent[-1] == dead else Outcome.OK)
    targets = bench.sent[before:]
    bench.lines = [line for line in bench.lines if "submission" not in line]
    bench.note(f"{label}: {[targets.count(server) for server in (1, 2, 3)]}")


@pytest.mark.parametrize("alone", [True, False])
def test_servers_missing_from_the_list_stay_in_use_while_they_answer(alone: bool) -> None:
    bench = Bench(settings(drain_alone=alone), [entry(1), entry(2), entry(3)])
    send_and_note(bench, "listed")
    bench.balancer.listed(bench.now, Listing.FULL, [])
    send_and_note(bench, "all left out", seconds=3)
    bench.balancer.listed(bench.now, Listing.FULL, [entry(1), entry(2), entry(3)])
    send_and_note(bench, "listed again")
    bench.balancer.listed(bench.now, Listing.CHANGES, [entry(2, phase=Phase.GONE)])
    for _ in range(6):
        send_and_note(bench, "one called gone, and it is", dead=2)
    bench.at(bench.now / SECOND + HELD_LONGEST / SECOND)
    bench.balancer.listed(bench.now, Listing.FULL, [entry(1), entry(3)])
    bench.note(f"half a minute later {len(bench.balancer.index)} are known")
    bench.balancer.listed(bench.now, Listing.FULL, [entry(1), entry(2), entry(3)])
    for _ in range(2):
        send_and_note(bench, "listed and up again")
    check(f"dropped_{'alone' if alone else 'binds'}", bench)


def test_the_fraction_of_an_unlisted_silent_server_falls_and_returns_by_steps() -> None:
    bench = Bench(settings(drain_alone=True), [entry(1), entry(2)])
    balancer, at, fractions = bench.balancer, bench.balancer.index[2], []
    balancer.listed(SECOND, Listing.FULL, [entry(1)])
    for second in range(2, 14):
        fractions.append(balancer.part_held(second * SECOND, at))
        if second == 7:
            balancer.listed(second * SECOND, Listing.FULL, [entry(1), entry(2)])
    assert fractions == [1 / 2, 1 / 4, 1 / 8, 1 / 16, 1 / 16, 1 / 16, 1 / 8, 1 / 4, 1 / 2, 1, 1, 1]


def test_a_drained_server_stays_out_of_use_until_it_restarts() -> None:
    """An outdated list that is served again must not bring a drained server back into use."""
    bench = Bench(settings(drain_alone=True), [entry(1), entry(2)])
    ready_counts = []
    for line in (entry(2, phase=Phase.DRAINING), entry(2), None, entry(2), entry(2, came_up=9)):
        bench.balancer.listed(bench.now, Listing.FULL, [entry(1), *([line] if line else [])])
        ready_counts.append(len(bench.balancer.ready))
    assert ready_counts == [1, 1, 1, 1, 2]


def test_a_sidecar_still_sends_to_a_server_missing_from_the_list(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 1)
    deployment.told["settings"]["rules"]["drainBindsAlone"] = True
    deployment.config.write_text(json.dumps(deployment.told))
    full_list = deployment.listing(2, True, "active")
    deployment.lists.put(answer(200, json.dumps({**full_list, "hosts": []})))
    deployment.discovery.script = deployment.lists
    with deployment.running():
        assert deployment.discovery.met.acquire(timeout=5) and deployment.discovery.met.acquire(timeout=5)
        # The second call has arrived, so the empty list has been applied.
        deployment.ask("read", answer(200, "though the list is empty"))
        deployment.lists.put(answer(200, json.dumps(deployment.listing(3, False, "leaving"))))
        assert deployment.discovery.met.acquire(timeout=5)
        deployment.ask("read")
    compare("dropped_then_draining", deployment.lines)
