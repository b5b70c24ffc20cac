"""Answers of relays at a sidecar: no older state is ever restored, whatever versions the relays have."""

from __future__ import annotations

import json
import random
from types import SimpleNamespace
from typing import Any

import pytest

from pumicepath.discovery.server_list import BadList, ServerList, ServerListUpdate
from pumicepath.discovery.watch import MAX_RELAY_WAIT_MS, Overtaxed, Watch
from pumicepath.distribution.regions import MAX_REGIONS
from pumicepath.interface import ServerState

SECOND = 1_000_000


def line(name: str, region: str = "eu", health: str = "active", **changed: Any) -> dict:
    return {
        "host": name,
        "dial": "127.0.0.1:1",
        "site": "a",
        "class": "m",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
        "service": "cart",
        "region": region,
        **changed,
    }


def relay_answer(seq: int, regions: dict[str, tuple[int, bool]], *lines: dict, whole: bool = False) -> Any:
    named = {region: {"seq": at, "live": live} for region, (at, live) in regions.items()}
    body = json.dumps({"seq": seq, "whole": whole, "hosts": list(lines), "regions": named})
    return SimpleNamespace(status=200, body=body.encode())


class Clock:
    def __init__(self) -> None:
        self.now = 0

    def __call__(self) -> int:
        return self.now


def make_watch(*services: str, clock: Clock | None = None) -> Watch:
    return Watch(
        ServerList(["a"], lambda unix_ms: 1),
        "r1:1",
        -1,
        20 * SECOND,
        services=services or ("*",),
        clock=clock or Clock(),
    )


def healths(watch: Watch) -> dict[str, str]:
    return {name: one["health"] for name, one in watch.server_list.lines.items()}


def request_target(watch: Watch) -> str:
    return watch.next_request().split(b" ", 2)[1].decode()


def ask(watch: Watch, answer: Any) -> ServerListUpdate:
    """Make a request and receive this answer at once."""
    request_target(watch)
    return watch.handle_response(answer)


# -- requests


def test_requests_with_and_without_services() -> None:
    for services, added in (
        (None, ""),
        (("stock", "cart", "stock"), "services=cart,stock"),
        (("*",), "services=*"),
        ((), "services="),
    ):
        watch = Watch(ServerList(["a"], lambda unix_ms: 1), "d", -1, 20 * SECOND, lambda: 1.0, services)
        question, more = (f"?{added}", f"&{added}") if services is not None else ("", "")
        head = "GET /discovery/hosts{} HTTP/1.1\r\nHost: d\r\n\r\n"
        assert watch.next_request().decode() == head.format(question)
        watch.version = 41
        assert watch.next_request().decode() == head.format(f"?since=41&timeout_ms=1{more}")
        watch.ask_immediately = False
        longest = 20_000 if services is None else 3_000
        assert watch.next_request().decode() == head.format(f"?since=41&timeout_ms={longest}{more}")
        assert watch.answer_timeout_s() == longest / 1000 + 0.4


def test_relay_waits_are_random_between_half_and_all_of_the_longest_wait() -> None:
    shares = iter([0.0, 1.0, 0.5])
    watch = Watch(ServerList([], lambda unix_ms: 1), "d", 1, 20 * SECOND, lambda: next(shares), ("*",))
    watch.ask_immediately = False
    waits = [watch.next_request() and watch.wait_ms for _ in range(3)]
    assert waits == [1500, MAX_RELAY_WAIT_MS, 2250]
    watch.set_max_wait(SECOND)
    watch.random_fraction = lambda: 1.0
    assert watch.next_request() and watch.wait_ms == 1000


# -- answers


def test_a_relay_that_is_behind_does_not_undo_a_drain() -> None:
    watch = make_watch()
    watch.handle_response(relay_answer(10, {"eu": (5, True)}, line("s1"), line("s2"), whole=True))
    assert request_target(watch) == "/discovery/hosts?since=10&timeout_ms=3000&services=*"
    update = watch.handle_response(relay_answer(11, {"eu": (6, True)}, line("s1", health="leaving")))
    assert [(entry.name, entry.state.name) for entry in update.entries] == [("s1", "DRAINING")]
    watch.switch_to("r2:1")
    assert request_target(watch) == "/discovery/hosts?services=*" and watch.reported_regions == {}
    update = watch.handle_response(
        relay_answer(900, {"eu": (5, False), "us": (1, True)}, line("s1"), line("u1", "us"), whole=True)
    )
    # The lines of the other region are applied; what is held of this one stays.
    assert healths(watch) == {"s1": "leaving", "s2": "active", "u1": "active"}
    assert not update.whole and {entry.name: entry.state.name for entry in update.entries} == {"u1": "READY"}
    assert watch.reported_regions == {"eu": (5, False), "us": (1, True)} and watch.region_counts() == (1, 1)
    # No region of the answer counts: the update is empty.
    assert watch.handle_response(
        relay_answer(901, {"eu": (5, False), "us": (0, True)}, line("s1"), whole=True)
    ) == ServerListUpdate(901, False, [], [])
    # Once the relay has the version held, the whole list is requested, and then its changes again.
    watch.handle_response(relay_answer(902, {"eu": (6, True), "us": (1, True)}, line("s1", health="leaving")))
    assert "since" not in request_target(watch)
    watch.handle_response(
        relay_answer(
            902,
            {"eu": (6, True), "us": (1, True)},
            line("s1", health="leaving"),
            line("s2"),
            line("u1", "us"),
            whole=True,
        )
    )
    watch.handle_response(relay_answer(903, {"eu": (7, True), "us": (1, True)}, line("s1", health="left")))
    assert healths(watch) == {"s2": "active", "u1": "active"} and watch.version == 903


def test_changes_to_an_older_list_than_the_one_held_are_not_applied() -> None:
    watch = make_watch()
    watch.handle_response(relay_answer(10, {"eu": (6, True)}, line("s1"), line("s2"), whole=True))
    watch.switch_to("r2:1")
    watch.handle_response(relay_answer(20, {"eu": (5, True)}, line("s1"), whole=True))
    # If `s2` joined at 6 and left at 7, this relay has never known it.
    assert not watch.handle_response(
        relay_answer(21, {"eu": (7, True)}, line("s1", health="leaving"))
    ).entries
    assert healths(watch) == {"s1": "active", "s2": "active"} and "since" not in request_target(watch)
    watch.handle_response(relay_answer(21, {"eu": (7, True)}, line("s1", health="leaving"), whole=True))
    assert healths(watch) == {"s1": "leaving"}


def test_a_whole_list_removes_missing_servers_of_its_own_regions_only() -> None:
    watch = make_watch()
    watch.server_list.apply({"seq": 3, "whole": True, "hosts": [line("old"), line("older")]})
    del watch.server_list.lines["old"]["region"], watch.server_list.lines["older"]["region"]
    watch.handle_response(
        relay_answer(
            10, {"eu": (5, True), "us": (5, True)}, line("s1"), line("s2"), line("u1", "us"), whole=True
        )
    )
    assert set(healths(watch)) == {"s1", "s2", "u1"}, "the first list stays in force until then"
    watch.switch_to("r2:1")
    update = watch.handle_response(relay_answer(7, {"eu": (6, True)}, line("s2"), whole=True))
    assert not update.whole
    assert [(entry.name, entry.state.name) for entry in update.entries] == [("s1", "GONE")]
    assert watch.region_counts() == (1, 1), "a region unknown to the relay is not in touch"
    assert set(watch.server_list.start_times) == {"s2", "u1"}


def test_a_restarted_origin_is_accepted_from_a_relay_in_touch_after_three_seconds() -> None:
    for live, gap, expected in (
        (True, 1, 15),
        (True, 3, 14),
        (False, 1, None),
        (False, 3, None),
        (True, 5, None),
    ):
        clock = Clock()
        watch = make_watch(clock=clock)
        watch.handle_response(
            relay_answer(10, {"eu": (500, True)}, line("s1", health="leaving"), line("s2"), whole=True)
        )
        seen = []
        for number in range(11, 20):
            clock.now += gap * SECOND
            if "since" not in request_target(watch):
                seen.append(number)
                watch.handle_response(relay_answer(number, {"eu": (4, live)}, line("s1"), whole=True))
                assert healths(watch) == {"s1": "active"}
                break
            watch.handle_response(relay_answer(number, {"eu": (3, live)}, line("s1")))
            assert healths(watch) == {"s1": "leaving", "s2": "active"}
        # Requested at the earliest 3 s after the first such answer, and at the third one. Changes can't be
        # applied to a list from before the restart.
        assert seen == ([expected] if expected else []), (live, gap, seen)


def test_waits_are_shorter_while_an_origin_may_have_restarted() -> None:
    clock = Clock()
    watch = make_watch(clock=clock)
    watch.handle_response(relay_answer(10, {"eu": (500, True)}, line("s1"), whole=True))
    assert "timeout_ms=3000" in request_target(watch)
    ask(watch, relay_answer(11, {"eu": (3, True)}))
    for elapsed, wait in ((0.0, 1000), (1.0, 1000), (2.5, 500), (2.9995, 1), (3.0, 1)):
        clock.now = int(elapsed * SECOND)
        assert f"timeout_ms={wait}&" in request_target(watch)
    # An answer to an earlier request proves nothing, however late it arrives; the next one does.
    clock.now = 2 * SECOND
    request_target(watch)
    clock.now = int(3.5 * SECOND)
    watch.handle_response(relay_answer(12, {"eu": (3, True)}))
    assert "since=12&timeout_ms=1&" in request_target(watch), "the second such answer"
    watch.handle_response(relay_answer(13, {"eu": (3, True)}))
    assert "since" not in request_target(watch), "the third such answer"
    ask(watch, relay_answer(14, {"eu": (3, True)}, line("s2"), whole=True))
    assert set(healths(watch)) == {"s2"} and "timeout_ms=3000" in request_target(watch)


def test_an_answer_requested_too_early_does_not_prove_that_an_origin_has_restarted() -> None:
    clock = Clock()
    watch = make_watch(clock=clock)
    watch.handle_response(relay_answer(10, {"eu": (500, True)}, line("s1", health="leaving"), whole=True))
    for _ in range(3):
        ask(watch, relay_answer(11, {"eu": (3, True)}, line("s1"), whole=True))
    clock.now = int(2.9 * SECOND)
    request_target(watch)
    clock.now = 4 * SECOND  # the answer arrives late, and may be as old as its request
    watch.handle_response(relay_answer(12, {"eu": (3, True)}, line("s1"), whole=True))
    assert healths(watch) == {"s1": "leaving"}
    ask(watch, relay_answer(12, {"eu": (3, True)}, line("s1"), whole=True))
    assert healths(watch) == {"s1": "active"}


def test_an_answer_in_between_that_is_not_older_restarts_the_three_seconds() -> None:
    for between in ({"eu": (500, True)}, {"eu": (3, False)}, {"us": (3, True)}, None):
        clock = Clock()
        watch = make_watch(clock=clock)
        watch.handle_response(relay_answer(10, {"eu": (500, True)}, line("s1", health="leaving"), whole=True))
        for number in range(5):
            clock.now += 2 * SECOND
            if number == 2 and between is None:  # another relay has to report it as well
                watch.switch_to("r2:1")
            clock.now -= 2 * SECOND if number == 3 and between is None else 0
            regions = between if number == 2 and between else {"eu": (3, True)}
            lines = [line("s1", health="leaving" if regions == {"eu": (500, True)} else "active")]
            ask(watch, relay_answer(11 + number, regions, *(lines if "eu" in regions else []), whole=True))
            assert healths(watch) == {"s1": "leaving"}, "3 s are over only at the third answer of either half"
        clock.now += 2 * SECOND
        ask(watch, relay_answer(30, {"eu": (3, True)}, line("s1"), whole=True))
        assert healths(watch) == {"s1": "active"}


def test_a_relay_that_knows_only_versions_before_the_origins_restart_is_ignored() -> None:
    clock = Clock()
    watch = make_watch(clock=clock)
    watch.handle_response(relay_answer(10, {"eu": (500, True)}, line("s1"), whole=True))
    for number in range(4):
        clock.now += 3 * SECOND
        ask(watch, relay_answer(11 + number, {"eu": (3, True)}, line("s1", health="leaving"), whole=True))
    assert healths(watch) == {"s1": "leaving"}
    watch.switch_to("r2:1")
    assert not watch.handle_response(relay_answer(77, {"eu": (500, False)}, line("s1"), whole=True)).entries
    assert healths(watch) == {"s1": "leaving"}
    # In touch with the origin again, the relay is asked for the whole list: its changes continue a list
    # from before the restart.
    watch.handle_response(relay_answer(78, {"eu": (4, True)}, line("s9")))
    assert healths(watch) == {"s1": "leaving"} and "since" not in request_target(watch)
    watch.handle_response(
        relay_answer(79, {"eu": (4, True)}, line("s1", health="leaving"), line("s9"), whole=True)
    )
    assert healths(watch) == {"s1": "leaving", "s9": "active"}
    watch.handle_response(relay_answer(80, {"eu": (5, False)}, line("s9", health="left")))
    assert healths(watch) == {"s1": "leaving"}, (
        "its last answer before it lost touch is from after the restart"
    )


def test_a_region_new_at_a_relay_is_requested_whole_if_lines_of_it_are_held() -> None:
    watch = make_watch()
    watch.handle_response(
        relay_answer(10, {"eu": (5, True), "us": (5, True)}, line("s1"), line("u1", "us"), whole=True)
    )
    watch.switch_to("r2:1")
    watch.handle_response(relay_answer(20, {"eu": (5, True)}, line("s1"), whole=True))
    # The relay reports a region new to it as changes: servers that left before are not among them.
    watch.handle_response(
        relay_answer(
            21, {"eu": (5, True), "us": (8, True), "asia": (3, True)}, line("u2", "us"), line("x1", "asia")
        )
    )
    assert set(healths(watch)) == {"s1", "u1", "x1"} and "since" not in request_target(watch)
    watch.handle_response(
        relay_answer(
            22,
            {"eu": (5, True), "us": (8, True), "asia": (3, True)},
            line("s1"),
            line("u2", "us"),
            line("x1", "asia"),
            whole=True,
        )
    )
    assert set(healths(watch)) == {"s1", "u2", "x1"}


def test_new_services_are_requested_whole_until_a_relay_is_as_new_as_the_list_held() -> None:
    watch = make_watch("cart")
    watch.handle_response(relay_answer(10, {"eu": (5, True)}, line("s1"), whole=True))
    watch.set_services(("cart", "stock"))
    watch.switch_to("r1:1")
    assert request_target(watch) == "/discovery/hosts?services=cart,stock"
    watch.handle_response(relay_answer(20, {"eu": (4, True)}, line("s1"), line("t1"), whole=True))
    assert set(healths(watch)) == {"s1"}
    watch.handle_response(relay_answer(21, {"eu": (6, True)}, line("s1", health="leaving")))
    assert "since" not in request_target(watch)
    watch.handle_response(
        relay_answer(22, {"eu": (6, True)}, line("s1", health="leaving"), line("t1"), whole=True)
    )
    assert healths(watch) == {"s1": "leaving", "t1": "active"}


def test_exported_region_versions_hold_in_the_new_process() -> None:
    watch = make_watch()
    watch.handle_response(relay_answer(10, {"eu": (5, True)}, line("s1", health="leaving"), whole=True))
    known = json.loads(json.dumps(watch.export_state()))
    after = make_watch()
    after.server_list.apply(known)
    after.import_state(known)
    after.handle_response(relay_answer(7, {"eu": (4, True)}, line("s1"), whole=True))
    assert healths(after) == {"s1": "leaving"}
    plain = Watch(ServerList(["a"], lambda unix_ms: 1), "d", 5, SECOND)
    assert plain.export_state() == {"seq": 5, "whole": True, "hosts": []}


def test_a_server_that_changes_its_region_is_held_once() -> None:
    watch = make_watch()
    both = {"eu": (5, True), "us": (5, True)}
    watch.handle_response(relay_answer(10, both, line("s1"), line("u1", "us"), whole=True))
    watch.handle_response(relay_answer(11, both, line("s1", "us", born_ms=7)))
    assert watch.server_list.lines["s1"]["region"] == "us"
    watch.handle_response(relay_answer(12, both, line("s1", health="left")))
    assert healths(watch) == {"s1": "active", "u1": "active"}, "it has left the other region"
    watch.handle_response(relay_answer(13, both, line("s1", health="left"), line("s1", "us", "leaving")))
    watch.handle_response(relay_answer(14, both, line("u1", "us"), line("u1", "eu", born_ms=9), whole=True))
    assert watch.server_list.lines["u1"]["region"] == "eu" and set(healths(watch)) == {"u1"}


def test_malformed_relay_answers_change_nothing() -> None:
    watch = make_watch()
    eu = {"eu": (5, True)}
    watch.handle_response(relay_answer(10, eu, line("s1"), whole=True))
    bad = [
        relay_answer(11, {}, whole=True),
        relay_answer(11, eu, line("s1", "us"), whole=True),
        relay_answer(11, eu, {"host": "s1"}),
        relay_answer(11, eu, line("s1"), line("s1", health="leaving")),
        relay_answer(9, eu, line("s1", health="left")),
        relay_answer(11, {"eu": (-1, True)}),
        relay_answer(11, {"eu": (True, True)}),
        relay_answer(11, {"eu": (5, 1)}),  # type: ignore
        relay_answer(11, {f"r{at}": (1, True) for at in range(MAX_REGIONS + 1)}),
        relay_answer(11, {"eu": (6, True)}, line("s2"), line("s3", dial="nowhere"), whole=True),
        SimpleNamespace(status=200, body=b'{"seq": 11, "whole": true, "hosts": [], "regions": [1]}'),
        SimpleNamespace(status=200, body=b"[]"),
        SimpleNamespace(status=200, body=b"{"),
    ]
    for answer in bad:
        with pytest.raises(BadList):
            watch.handle_response(answer)
        assert healths(watch) == {"s1": "active"} and watch.version == 10 and watch.reported_regions == eu
        assert watch.region_versions and watch.region_versions.versions == {"eu": 5}
    with pytest.raises(Overtaxed):
        watch.handle_response(SimpleNamespace(status=503, body=b""))
    # Changes without a whole list to apply them to.
    watch.switch_to("r2:1")
    with pytest.raises(BadList):
        watch.handle_response(relay_answer(12, eu, line("s2")))


def test_a_whole_list_without_servers_takes_all_out_at_once() -> None:
    """It was refused twice, and work went on to servers that had left."""
    watch = make_watch()
    assert not watch.handle_response(relay_answer(9, {"eu": (4, True)}, whole=True)).entries, (
        "no servers are lost by it"
    )
    watch.handle_response(relay_answer(10, {"eu": (5, True)}, line("s1"), whole=True))
    update = watch.handle_response(relay_answer(12, {"eu": (6, True)}, whole=True))
    assert [(entry.name, entry.state.name) for entry in update.entries] == [("s1", "GONE")]
    assert not update.whole and not healths(watch)


def test_a_whole_list_yields_only_its_differences_from_the_list_held() -> None:
    watch = make_watch()
    lines = [line(f"s{at}") for at in range(50)]
    assert len(watch.handle_response(relay_answer(10, {"eu": (5, True)}, *lines, whole=True)).entries) == 50
    watch.switch_to("r2:1")
    assert watch.handle_response(relay_answer(90, {"eu": (5, True)}, *lines, whole=True)) == ServerListUpdate(
        90, False, [], []
    )
    lines = [
        line("s0", health="leaving"),
        line("s1", share=1.5),
        line("s2", born_ms=9),
        *lines[3:49],
        line("new"),
    ]
    update = watch.handle_response(relay_answer(91, {"eu": (6, True)}, *lines, whole=True))
    assert not update.whole and {(entry.name, entry.state.name) for entry in update.entries} == {
        ("s0", "DRAINING"),
        ("s1", "READY"),
        ("s2", "READY"),
        ("s49", "GONE"),
        ("new", "READY"),
    }
    assert (
        set(watch.server_list.lines) == set(watch.server_list.start_times) == {one["host"] for one in lines}
    )


@pytest.mark.parametrize("seed", range(20))
def test_applying_all_updates_reproduces_the_list(seed: int) -> None:
    draw, watch = random.Random(seed), make_watch()
    seqs, held = {"eu": 1, "us": 1}, dict[str, tuple[str, float, int]]()
    servers: dict[str, dict] = {}
    for number in range(10, 60):
        changed = []
        for name in draw.sample([f"s{at}" for at in range(12)], draw.randrange(4)):
            region, health = draw.choice(["eu", "us"]), draw.choice(["active", "leaving", "left"])
            before = servers.pop(name, None)
            if before is not None:
                changed.append({**before, "health": "left"})
            else:
                servers[name] = line(
                    name, region, health, share=draw.choice([1.0, 2.0]), born_ms=draw.randrange(3)
                )
                changed.append(servers[name])
                if health == "left":
                    del servers[name]
        for region in {one["region"] for one in changed}:
            seqs[region] += 1
        whole = number == 10 or draw.random() < 0.4 or "since" not in request_target(watch)
        if whole and draw.random() < 0.5:
            watch.switch_to(f"r{number}:1")
        said = {region: (seq, True) for region, seq in seqs.items()}
        if whole and not servers:
            continue
        update = watch.handle_response(
            relay_answer(number, said, *(servers.values() if whole else changed), whole=whole)
        )
        if update.whole:
            held.clear()
        for entry in update.entries:
            held.pop(entry.name, None)
            if entry.state != ServerState.GONE:
                held[entry.name] = (entry.state.name, entry.weight, entry.started_at)
        names = {"active": "READY", "leaving": "DRAINING"}
        assert held == {
            name: (names[one["health"]], one["share"], watch.server_list.start_times[name][1])
            for name, one in watch.server_list.lines.items()
        }
        if watch.version >= 0:
            assert healths(watch) == {name: one["health"] for name, one in servers.items()}


def test_only_line_and_region_of_a_server_are_kept() -> None:
    watch = make_watch()
    watch.handle_response(
        relay_answer(10, {"eu": (5, True)}, *[line(f"s{at}") for at in range(100)], whole=True)
    )
    kept = [one for one in watch.server_list.lines.values()]
    assert all("service" not in one for one in kept)
    assert len({id(one["region"]) for one in kept}) == 1
    watch.handle_response(
        relay_answer(11, {"eu": (6, True)}, *[line(f"s{at}", health="left") for at in range(100)])
    )
    assert not watch.server_list.lines and not watch.server_list.start_times


def test_an_answer_without_regions_is_treated_as_discoverys() -> None:
    watch = make_watch()
    body = {"seq": 7, "whole": True, "hosts": [{**line("s1"), "region": ""}]}
    watch.handle_response(SimpleNamespace(status=200, body=json.dumps(body).encode()))
    assert healths(watch) == {"s1": "active"} and watch.region_counts() == (0, 0)
    with pytest.raises(BadList):
        watch.handle_response(SimpleNamespace(status=200, body=json.dumps({**body, "seq": 6}).encode()))
