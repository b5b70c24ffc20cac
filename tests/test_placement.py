"""Tariffs bound to some zones or kinds of machine, and servers whose 'full' proves nothing."""

import json
from dataclasses import replace
from pathlib import Path

import pytest

from pumicepath.interface import DedupGroup, Effect, ListKind, Outcome, RequestClass, ServerEntry, ServerState
from pumicepath.lab.loopback.scripted import Deployment, http_response
from pumicepath.settings import decode_settings

from .helpers import (
    ONCE_CLASS,
    READ_CLASS,
    SECOND,
    ScriptedHost,
    check_host_trace,
    check_trace,
    deduplicated_class,
    make_entry,
    make_settings,
)
from .test_switch import load

BOUND = replace(READ_CLASS, zones=(1,), kinds=(2, 3))


def server(number: int, zone: int, kind: int, **more: object) -> ServerEntry:
    return make_entry(number, zone=zone, **more)._replace(kind=kind)  # type: ignore[arg-type]


FLEET = [server(10 * zone + kind, zone, kind) for zone in (0, 1) for kind in (1, 2, 3)]


@pytest.mark.parametrize(
    "outcome", [Outcome.FULL, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.OK]
)
def test_a_bound_tariff_goes_nowhere_else_whatever_its_servers_say(outcome: Outcome) -> None:
    bench = ScriptedHost(make_settings(BOUND, READ_CLASS), FLEET)
    for step in range(60):
        one = bench.advance_to(step / 10).submit(step, step % 7 + 1, request_class=step % 2)
        while one.hops_in_flight:
            bench.finish_hop(one, Outcome.OK if step % 2 else outcome)
        assert one.done
        if step % 2 == 0:
            assert {bench.balancer.ids[hop.server_index] for hop in one.hops} <= {12, 13}
    assert len(set(bench.sent_to) - {12, 13}) > 2  # those of the other tariff


def test_what_is_open_to_a_tariff_follows_the_list_and_the_settings() -> None:
    bench = ScriptedHost(make_settings(BOUND, READ_CLASS), FLEET)

    def met(what: str) -> None:
        bench.sent_to.clear()
        for step in range(30):
            one = bench.advance_to(bench.now / SECOND + 0.2).submit(step, step + 1)
            bench.finish_hop(one, Outcome.OK)
            if not one.hops:
                break
        bench.lines = [line for line in bench.lines if "hop to" not in line]
        bench.note(f"{what}: {sorted(set(bench.sent_to))}")

    met("at first")
    bench.balancer.update_servers(bench.now, ListKind.CHANGES, [server(12, 1, 2, phase=ServerState.DRAINING)])
    met("one drains")
    bench.balancer.update_servers(bench.now, ListKind.CHANGES, [server(12, 1, 2), server(13, 1, 1)])
    met("it is back, the other is of another kind")
    bench.balancer.update_servers(bench.now, ListKind.CHANGES, [server(3, 1, 3)])
    met("one has moved in")
    bench.balancer.update_servers(bench.now, ListKind.FULL, FLEET[:3])
    met("none left")
    bench.balancer.apply_settings(bench.now, make_settings(replace(BOUND, zones=None), READ_CLASS))
    met("any zone")
    bench.balancer.update_servers(
        bench.now, ListKind.FULL, FLEET[:1] + [server(number, 1, 2, came_up=bench.now) for number in (5, 6)]
    )
    met("all that are open are cold")
    check_host_trace("placement", bench)


@pytest.mark.parametrize(
    "tariff",
    [
        READ_CLASS,
        ONCE_CLASS,
        deduplicated_class(DedupGroup.ALL),
        deduplicated_class(DedupGroup.ZONE),
        deduplicated_class(DedupGroup.CELL),
    ],
)
def test_full_is_no_proof_where_the_settings_say_so(tariff: RequestClass) -> None:
    fleet = [make_entry(number, zone=number % 2, cell=number // 2) for number in range(2, 8)]
    for unproven in (False, True):
        bench = ScriptedHost(make_settings(tariff, full_unproven=unproven), fleet)
        one = bench.submit(1)
        while one.hops_in_flight:
            bench.finish_hop(one, Outcome.FULL)
        hops = [(hop.zone, hop.cell) for hop in one.hops]
        if not unproven or tariff.effect == Effect.IDEMPOTENT:
            assert len(hops) == 4 and bench.lines[-1].endswith("deferred")
        elif tariff.effect == Effect.NON_IDEMPOTENT:
            assert len(hops) == 1 and bench.lines[-1].endswith("forfeited")
        else:
            assert (
                len(hops) == {DedupGroup.ALL: 4, DedupGroup.ZONE: 3, DedupGroup.CELL: 2}[tariff.dedup_group]
            )
            assert tariff.dedup_group != DedupGroup.ZONE or len({zone for zone, _ in hops}) == 1
            assert tariff.dedup_group != DedupGroup.CELL or len({cell for _, cell in hops}) == 1
            assert bench.lines[-1].endswith(
                "deferred" if tariff.dedup_group == DedupGroup.ALL else "forfeited"
            )


def test_in_a_change_of_settings_full_proves_nothing_until_both_say_that_it_does() -> None:
    for before, after in ((True, False), (False, True)):
        bench = ScriptedHost(make_settings(ONCE_CLASS, full_unproven=before), [make_entry(1), make_entry(2)])
        one = bench.submit(1)
        bench.balancer.apply_settings(bench.now, make_settings(ONCE_CLASS, full_unproven=after))
        bench.finish_hop(one, Outcome.FULL)
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
    read = decode_settings(info)
    assert [(one.zones, one.kinds) for one in read.request_classes] == [
        ((1,), (0, 1)),
        ((0, 1), (1,)),
        (None, None),
    ] and read.full_may_have_run


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
    check_trace("placed", around.transcript)
