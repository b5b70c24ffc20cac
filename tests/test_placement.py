"""Request classes restricted to zones or kinds of servers, and servers that may run work though "full"."""

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
from .test_switch import reload

RESTRICTED_CLASS = replace(READ_CLASS, zones=(1,), kinds=(2, 3))


def server(number: int, zone: int, kind: int, **changed: object) -> ServerEntry:
    return make_entry(number, zone=zone, **changed)._replace(kind=kind)  # type: ignore[arg-type]


FLEET = [server(10 * zone + kind, zone, kind) for zone in (0, 1) for kind in (1, 2, 3)]


@pytest.mark.parametrize(
    "outcome", [Outcome.FULL, Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.OK]
)
def test_a_restricted_class_stays_within_its_servers_whatever_they_answer(outcome: Outcome) -> None:
    host = ScriptedHost(make_settings(RESTRICTED_CLASS, READ_CLASS), FLEET)
    for step in range(60):
        submission = host.advance_to(step / 10).submit(step, step % 7 + 1, request_class=step % 2)
        while submission.hops_in_flight:
            host.finish_hop(submission, Outcome.OK if step % 2 else outcome)
        assert submission.done
        if step % 2 == 0:
            assert {host.balancer.ids[hop.server_index] for hop in submission.hops} <= {12, 13}
    assert len(set(host.sent_to) - {12, 13}) > 2  # those of the other class


def test_candidates_of_a_class_follow_the_list_and_the_settings() -> None:
    host = ScriptedHost(make_settings(RESTRICTED_CLASS, READ_CLASS), FLEET)

    def record_servers(what: str) -> None:
        host.sent_to.clear()
        for step in range(30):
            submission = host.advance_to(host.now / SECOND + 0.2).submit(step, step + 1)
            host.finish_hop(submission, Outcome.OK)
            if not submission.hops:
                break
        host.lines = [line for line in host.lines if "hop to" not in line]
        host.note(f"{what}: {sorted(set(host.sent_to))}")

    record_servers("at first")
    host.balancer.update_servers(host.now, ListKind.CHANGES, [server(12, 1, 2, state=ServerState.DRAINING)])
    record_servers("one drains")
    host.balancer.update_servers(host.now, ListKind.CHANGES, [server(12, 1, 2), server(13, 1, 1)])
    record_servers("it is back, the other is of another kind")
    host.balancer.update_servers(host.now, ListKind.CHANGES, [server(3, 1, 3)])
    record_servers("one has moved in")
    host.balancer.update_servers(host.now, ListKind.FULL, FLEET[:3])
    record_servers("none left")
    host.balancer.apply_settings(host.now, make_settings(replace(RESTRICTED_CLASS, zones=None), READ_CLASS))
    record_servers("any zone")
    host.balancer.update_servers(
        host.now,
        ListKind.FULL,
        FLEET[:1] + [server(number, 1, 2, started_at=host.now) for number in (5, 6)],
    )
    record_servers("all that are open are cold")
    check_host_trace("placement", host)


@pytest.mark.parametrize(
    "request_class",
    [
        READ_CLASS,
        ONCE_CLASS,
        deduplicated_class(DedupGroup.ALL),
        deduplicated_class(DedupGroup.ZONE),
        deduplicated_class(DedupGroup.CELL),
    ],
)
def test_a_full_server_may_have_run_the_work_where_the_settings_say_so(request_class: RequestClass) -> None:
    fleet = [make_entry(number, zone=number % 2, cell=number // 2) for number in range(2, 8)]
    for may_have_run in (False, True):
        host = ScriptedHost(make_settings(request_class, full_may_have_run=may_have_run), fleet)
        submission = host.submit(1)
        while submission.hops_in_flight:
            host.finish_hop(submission, Outcome.FULL)
        hops = [(hop.zone, hop.cell) for hop in submission.hops]
        if not may_have_run or request_class.effect == Effect.IDEMPOTENT:
            assert len(hops) == 4 and host.lines[-1].endswith("deferred")
        elif request_class.effect == Effect.NON_IDEMPOTENT:
            assert len(hops) == 1 and host.lines[-1].endswith("forfeited")
        else:
            assert (
                len(hops)
                == {DedupGroup.ALL: 4, DedupGroup.ZONE: 3, DedupGroup.CELL: 2}[request_class.dedup_group]
            )
            assert request_class.dedup_group != DedupGroup.ZONE or len({zone for zone, _ in hops}) == 1
            assert request_class.dedup_group != DedupGroup.CELL or len({cell for _, cell in hops}) == 1
            assert host.lines[-1].endswith(
                "deferred" if request_class.dedup_group == DedupGroup.ALL else "forfeited"
            )


def test_while_settings_change_full_proves_nothing_until_both_say_that_it_does() -> None:
    for before, after in ((True, False), (False, True)):
        host = ScriptedHost(
            make_settings(ONCE_CLASS, full_may_have_run=before), [make_entry(1), make_entry(2)]
        )
        submission = host.submit(1)
        host.balancer.apply_settings(host.now, make_settings(ONCE_CLASS, full_may_have_run=after))
        host.finish_hop(submission, Outcome.FULL)
        assert len(submission.hops) == 1 and host.lines[-1].endswith("forfeited")


def test_zones_and_kinds_are_read_by_number_and_by_name() -> None:
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
    assert [(request_class.zones, request_class.kinds) for request_class in read.request_classes] == [
        ((1,), (0, 1)),
        ((0, 1), (1,)),
        (None, None),
    ] and read.full_may_have_run


def test_a_sidecar_sends_a_restricted_class_where_its_file_says(tmp_path: Path) -> None:
    """Kinds are numbered in the order of the list; a file read again may name others."""
    deployment = Deployment(tmp_path, 3)
    settings = deployment.configuration["settings"]
    settings["kinds"] = ["m3", "m1"]
    settings["tariffs"][0]["kindsAllowed"] = ["m1"]
    listing_of_deployment = deployment.list_document

    def listing(seq: int, whole: bool, health: str) -> dict:
        lines = listing_of_deployment(seq, whole, health)
        for at, line in enumerate(lines["hosts"]):
            line["class"] = f"m{2 - at}"
        return lines

    deployment.list_document = listing  # type: ignore[method-assign]
    deployment.configuration["known"] = listing(1, True, "active")
    deployment.config_path.write_text(json.dumps(deployment.configuration))
    with deployment.running():
        for _ in range(3):
            deployment.submit("read", http_response(200, "by m1"))
        settings["tariffs"][0]["kindsAllowed"] = ["m0"]
        settings["kinds"] = ["m0", "m1"]
        deployment.transcript.append(f"-- {reload(deployment, deployment.configuration)}")
        for _ in range(3):
            deployment.submit("read", http_response(200, "by m0"))
        settings["kinds"], settings["tariffs"][0]["kindsAllowed"] = ["m1", "none such"], ["none such"]
        deployment.transcript.append(f"-- {reload(deployment, deployment.configuration)}")
        deployment.submit("read")
        settings["tariffs"][0]["kindsAllowed"] = ["m2"]
        deployment.transcript.append(f"-- bad: {reload(deployment, deployment.configuration)}")
    check_trace("placed", deployment.transcript)
