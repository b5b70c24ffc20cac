"""Lists that prove nothing: where only draining binds, servers that were dropped stay in use by steps."""

import json
from pathlib import Path

import pytest

from pumicepath.interface import Listing, Outcome, Phase
from pumicepath.lab.loopback.scripted import Deployment, http_response
from pumicepath.logic import HELD_LONGEST

from .helpers import SECOND, Bench, check, compare, entry, settings


def used(bench: Bench, what: str, dead: int = 0, seconds: int = 1) -> None:
    """Some submissions a second, and how many hops went where; a dead server refuses connections."""
    before = len(bench.sent)
    start = bench.now / SECOND
    for step in range(40 * seconds):
        one = bench.at(start + step / 40).take(1000 * len(bench.lines) + step, key=step + 1)
        while one.out:
            bench.end(one, Outcome.CONNECT_FAILED if bench.sent[-1] == dead else Outcome.OK)
    met = bench.sent[before:]
    bench.lines = [line for line in bench.lines if "submission" not in line]
    bench.note(f"{what}: {[met.count(server) for server in (1, 2, 3)]}")


@pytest.mark.parametrize("alone", [True, False])
def test_a_list_that_calls_all_gone_is_held_against_what_answers(alone: bool) -> None:
    bench = Bench(settings(drain_alone=alone), [entry(1), entry(2), entry(3)])
    used(bench, "listed")
    bench.balancer.listed(bench.now, Listing.FULL, [])
    used(bench, "all left out", seconds=3)
    bench.balancer.listed(bench.now, Listing.FULL, [entry(1), entry(2), entry(3)])
    used(bench, "listed again")
    bench.balancer.listed(bench.now, Listing.CHANGES, [entry(2, phase=Phase.GONE)])
    for _ in range(6):
        used(bench, "one called gone, and it is", dead=2)
    bench.at(bench.now / SECOND + HELD_LONGEST / SECOND)
    bench.balancer.listed(bench.now, Listing.FULL, [entry(1), entry(3)])
    bench.note(f"half a minute later {len(bench.balancer.index)} are known")
    bench.balancer.listed(bench.now, Listing.FULL, [entry(1), entry(2), entry(3)])
    for _ in range(2):
        used(bench, "listed and up again")
    check(f"dropped_{'alone' if alone else 'binds'}", bench)


def test_the_part_of_a_silent_server_falls_and_returns_by_steps() -> None:
    bench = Bench(settings(drain_alone=True), [entry(1), entry(2)])
    balancer, at, parts = bench.balancer, bench.balancer.index[2], []
    balancer.listed(SECOND, Listing.FULL, [entry(1)])
    for second in range(2, 14):
        parts.append(balancer.part_held(second * SECOND, at))
        if second == 7:
            balancer.listed(second * SECOND, Listing.FULL, [entry(1), entry(2)])
    assert parts == [1 / 2, 1 / 4, 1 / 8, 1 / 16, 1 / 16, 1 / 16, 1 / 8, 1 / 4, 1 / 2, 1, 1, 1]


def test_what_has_drained_stays_bound_until_it_starts_anew() -> None:
    """Guards the rule on drains against an old list that comes again and stays."""
    bench = Bench(settings(drain_alone=True), [entry(1), entry(2)])
    said = []
    for line in (entry(2, phase=Phase.DRAINING), entry(2), None, entry(2), entry(2, came_up=9)):
        bench.balancer.listed(bench.now, Listing.FULL, [entry(1), *([line] if line else [])])
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
    compare("dropped_then_draining", around.transcript)
