"""Tariffs bound to some zones or kinds of machine, and servers whose 'full' proves nothing."""

import json
from dataclasses import replace
from pathlib import Path

import pytest

from pumicepath.interface import Effect, Entry, Group, Listing, Outcome, Phase, Tariff
from pumicepath.lab.loopback.scripted import Deployment, http_response
from pumicepath.settings import decode

from .helpers import ONCE, READ, SECOND, Bench, check, compare, entry, marked, settings
from .test_switch import load

BOUND = replace(READ, zones=(1,), kinds=(2, 3))


def server(number: int, zone: int, kind: int, **more: object) -> Entry:
    return entry(number, zone=zone, **more)._replace(kind=kind)  # type: ignore[arg-type]


FLEET = [server(10 * zone + kind, zone, kind) for zone in (0, 1) for kind in (1, 2, 3)]


@pytest.mark.parametrize(
    "outcome", [Outcome.FULL, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.OK]
)
def test_a_bound_tariff_goes_nowhere_else_whatever_its_servers_say(outcome: Outcome) -> None:
    bench = Bench(settings(BOUND, READ), FLEET)
    for step in range(60):
        one = bench.at(step / 10).take(step, step % 7 + 1, tariff=step % 2)
        while one.out:
            bench.end(one, Outcome.OK if step % 2 else outcome)
        assert one.done
        if step % 2 == 0:
            assert {bench.balancer.ids[hop.server] for hop in one.hops} <= {12, 13}
    assert len(set(bench.sent) - {12, 13}) > 2  # those of the other tariff


def test_what_is_open_to_a_tariff_follows_the_list_and_the_settings() -> None:
    bench = Bench(settings(BOUND, READ), FLEET)

    def met(what: str) -> None:
        bench.sent.clear()
        for step in range(30):
            one = bench.at(bench.now / SECOND + 0.2).take(step, step + 1)
            bench.end(one, Outcome.OK)
            if not one.hops:
                break
        bench.lines = [line for line in bench.lines if "hop to" not in line]
        bench.note(f"{what}: {sorted(set(bench.sent))}")

    met("at first")
    bench.balancer.listed(bench.now, Listing.CHANGES, [server(12, 1, 2, phase=Phase.DRAINING)])
    met("one drains")
    bench.balancer.listed(bench.now, Listing.CHANGES, [server(12, 1, 2), server(13, 1, 1)])
    met("it is back, the other is of another kind")
    bench.balancer.listed(bench.now, Listing.CHANGES, [server(3, 1, 3)])
    met("one has moved in")
    bench.balancer.listed(bench.now, Listing.FULL, FLEET[:3])
    met("none left")
    bench.balancer.adopt(bench.now, settings(replace(BOUND, zones=None), READ))
    met("any zone")
    bench.balancer.listed(
        bench.now, Listing.FULL, FLEET[:1] + [server(number, 1, 2, came_up=bench.now) for number in (5, 6)]
    )
    met("all that are open are cold")
    check("placement", bench)


@pytest.mark.parametrize("tariff", [READ, ONCE, marked(Group.ALL), marked(Group.ZONE), marked(Group.CELL)])
def test_full_is_no_proof_where_the_settings_say_so(tariff: Tariff) -> None:
    fleet = [entry(number, zone=number % 2, cell=number // 2) for number in range(2, 8)]
    for unproven in (False, True):
        bench = Bench(settings(tariff, full_unproven=unproven), fleet)
        one = bench.take(1)
        while one.out:
            bench.end(one, Outcome.FULL)
        hops = [(hop.zone, hop.cell) for hop in one.hops]
        if not unproven or tariff.effect == Effect.IDEMPOTENT:
            assert len(hops) == 4 and bench.lines[-1].endswith("deferred")
        elif tariff.effect == Effect.UNREPEATABLE:
            assert len(hops) == 1 and bench.lines[-1].endswith("forfeited")
        else:
            assert len(hops) == {Group.ALL: 4, Group.ZONE: 3, Group.CELL: 2}[tariff.group]
            assert tariff.group != Group.ZONE or len({zone for zone, _ in hops}) == 1
            assert tariff.group != Group.CELL or len({cell for _, cell in hops}) == 1
            assert bench.lines[-1].endswith("deferred" if tariff.group == Group.ALL else "forfeited")


def test_in_a_change_of_settings_full_proves_nothing_until_both_say_that_it_does() -> None:
    for before, after in ((True, False), (False, True)):
        bench = Bench(settings(ONCE, full_unproven=before), [entry(1), entry(2)])
        one = bench.take(1)
        bench.balancer.adopt(bench.now, settings(ONCE, full_unproven=after))
        bench.end(one, Outcome.FULL)
        assert len(one.hops) == 1 and bench.lines[-1].endswith("forfeited")


def test_places_are_read_by_number_and_by_name() -> None:
    info = {
        "dcs": ["a", "b"],
        "kinds": ["x", "y"],
        "rules": {"fullUnproven": True},
        "tariffs": [
            {"name": "one", "allowedIn": [1], "kindsAllowed": [1, 0]},
            {"name": "two", "allowedIn": ["b", "a"], "kindsAllowed": ["y"]},
            {"name": "three"},
        ],
    }
    read = decode(info)
    assert [(one.zones, one.kinds) for one in read.tariffs] == [
        ((1,), (0, 1)),
        ((0, 1), (1,)),
        (None, None),
    ] and read.full_unproven


def test_a_sidecar_serves_a_bound_tariff_where_its_file_says(tmp_path: Path) -> None:
    """Kinds come in the list's own order; a file read again may name others."""
    around = Deployment(tmp_path, 3)
    told = around.configuration["settings"]
    told["kinds"] = ["m3", "m1"]
    told["tariffs"][0]["kindsAllowed"] = ["m1"]
    plain = around.list_document

    def listing(seq: int, whole: bool, health: str) -> dict:
        lines = plain(seq, whole, health)
        for at, line in enumerate(lines["hosts"]):
            line["class"] = f"m{2 - at}"
        return lines

    around.list_document = listing  # type: ignore[method-assign]
    around.configuration["known"] = listing(1, True, "active")
    around.config_path.write_text(json.dumps(around.configuration))
    with around.running():
        for _ in range(3):
            around.submit("read", http_response(200, "by m1"))
        told["tariffs"][0]["kindsAllowed"] = ["m0"]
        told["kinds"] = ["m0", "m1"]
        around.transcript.append(f"-- {load(around, around.configuration)}")
        for _ in range(3):
            around.submit("read", http_response(200, "by m0"))
        told["kinds"], told["tariffs"][0]["kindsAllowed"] = ["m1", "none such"], ["none such"]
        around.transcript.append(f"-- {load(around, around.configuration)}")
        around.submit("read")
        told["tariffs"][0]["kindsAllowed"] = ["m2"]
        around.transcript.append(f"-- bad: {load(around, around.configuration)}")
    compare("placed", around.transcript)
