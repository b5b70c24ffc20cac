"""What a sidecar makes of relays' answers: nothing older ever comes back, whatever histories they have."""

from __future__ import annotations

import json
import random
from types import SimpleNamespace
from typing import Any

import pytest

from pumicepath.discovery.roster import BadList, Roster, Update
from pumicepath.discovery.watch import RELAYED_WAIT_MS, Overtaxed, Watch
from pumicepath.distribution.regions import MAX_REGIONS
from pumicepath.interface import Phase

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


def told(seq: int, regions: dict[str, tuple[int, bool]], *lines: dict, whole: bool = False) -> Any:
    named = {region: {"seq": at, "live": live} for region, (at, live) in regions.items()}
    body = json.dumps({"seq": seq, "whole": whole, "hosts": list(lines), "regions": named})
    return SimpleNamespace(status=200, body=body.encode())


class Clock:
    def __init__(self) -> None:
        self.now = 0

    def __call__(self) -> int:
        return self.now


def watching(*services: str, clock: Clock | None = None) -> Watch:
    return Watch(
        Roster(["a"], lambda born: 1),
        "r1:1",
        -1,
        20 * SECOND,
        services=services or ("*",),
        clock=clock or Clock(),
    )


def phases(watch: Watch) -> dict[str, str]:
    return {name: one["health"] for name, one in watch.roster.lines.items()}


def target(watch: Watch) -> str:
    return watch.request().split(b" ", 2)[1].decode()


def asked(watch: Watch, answer: Any) -> Update:
    """Ask, and be answered at once."""
    target(watch)
    return watch.update(answer)


# -- what is asked


def test_without_services_each_request_is_what_it_was() -> None:
    for services, added in (
        (None, ""),
        (("stock", "cart", "stock"), "services=cart,stock"),
        (("*",), "services=*"),
        ((), "services="),
    ):
        watch = Watch(Roster(["a"], lambda born: 1), "d", -1, 20 * SECOND, lambda: 1.0, services)
        question, more = (f"?{added}", f"&{added}") if services is not None else ("", "")
        head = "GET /discovery/hosts{} HTTP/1.1\r\nHost: d\r\n\r\n"
        assert watch.request().decode() == head.format(question)
        watch.version = 41
        assert watch.request().decode() == head.format(f"?since=41&timeout_ms=1{more}")
        watch.doubted = False
        longest = 20_000 if services is None else 3_000
        assert watch.request().decode() == head.format(f"?since=41&timeout_ms={longest}{more}")
        assert watch.until_silent() == longest / 1000 + 0.4


def test_waits_at_a_relay_are_drawn_from_half_to_all_of_three_seconds_or_of_the_shorter_wait() -> None:
    shares = iter([0.0, 1.0, 0.5])
    watch = Watch(Roster([], lambda born: 1), "d", 1, 20 * SECOND, lambda: next(shares), ("*",))
    watch.doubted = False
    waits = [watch.request() and watch.wait_ms for _ in range(3)]
    assert waits == [1500, RELAYED_WAIT_MS, 2250]
    watch.waits(SECOND)
    watch.share = lambda: 1.0
    assert watch.request() and watch.wait_ms == 1000


# -- what is made of an answer


def test_a_server_that_drains_is_not_brought_back_by_a_relay_that_is_behind() -> None:
    watch = watching()
    watch.update(told(10, {"eu": (5, True)}, line("s1"), line("s2"), whole=True))
    assert target(watch) == "/discovery/hosts?since=10&timeout_ms=3000&services=*"
    update = watch.update(told(11, {"eu": (6, True)}, line("s1", health="leaving")))
    assert [(entry.name, entry.phase.name) for entry in update.entries] == [("s1", "DRAINING")]
    watch.move("r2:1")
    assert target(watch) == "/discovery/hosts?services=*" and watch.regions == {}
    update = watch.update(
        told(900, {"eu": (5, False), "us": (1, True)}, line("s1"), line("u1", "us"), whole=True)
    )
    # The part of the other region counts, and with it comes what is held of this one.
    assert phases(watch) == {"s1": "leaving", "s2": "active", "u1": "active"}
    assert not update.whole and {entry.name: entry.phase.name for entry in update.entries} == {"u1": "READY"}
    assert watch.regions == {"eu": (5, False), "us": (1, True)} and watch.standing() == (1, 1)
    # Nothing of it counts: nothing is said.
    assert watch.update(told(901, {"eu": (5, False), "us": (0, True)}, line("s1"), whole=True)) == Update(
        901, False, [], []
    )
    # Come as far as what is held, the relay is asked for all, and followed by its changes again.
    watch.update(told(902, {"eu": (6, True), "us": (1, True)}, line("s1", health="leaving")))
    assert "since" not in target(watch)
    watch.update(
        told(
            902,
            {"eu": (6, True), "us": (1, True)},
            line("s1", health="leaving"),
            line("s2"),
            line("u1", "us"),
            whole=True,
        )
    )
    watch.update(told(903, {"eu": (7, True), "us": (1, True)}, line("s1", health="left")))
    assert phases(watch) == {"s2": "active", "u1": "active"} and watch.version == 903


def test_changes_on_an_older_list_than_the_one_held_are_not_put_to_it() -> None:
    watch = watching()
    watch.update(told(10, {"eu": (6, True)}, line("s1"), line("s2"), whole=True))
    watch.move("r2:1")
    watch.update(told(20, {"eu": (5, True)}, line("s1"), whole=True))
    # Where `s2` came at 6 and left at 7, this relay has never known it.
    assert not watch.update(told(21, {"eu": (7, True)}, line("s1", health="leaving"))).entries
    assert phases(watch) == {"s1": "active", "s2": "active"} and "since" not in target(watch)
    watch.update(told(21, {"eu": (7, True)}, line("s1", health="leaving"), whole=True))
    assert phases(watch) == {"s1": "leaving"}


def test_a_whole_list_takes_out_what_it_lacks_of_its_regions_and_nothing_of_others() -> None:
    watch = watching()
    watch.roster.read({"seq": 3, "whole": True, "hosts": [line("old"), line("older")]})
    del watch.roster.lines["old"]["region"], watch.roster.lines["older"]["region"]
    watch.update(
        told(10, {"eu": (5, True), "us": (5, True)}, line("s1"), line("s2"), line("u1", "us"), whole=True)
    )
    assert set(phases(watch)) == {"s1", "s2", "u1"}, "the list of the start is in force until then"
    watch.move("r2:1")
    update = watch.update(told(7, {"eu": (6, True)}, line("s2"), whole=True))
    assert not update.whole
    assert [(entry.name, entry.phase.name) for entry in update.entries] == [("s1", "GONE")]
    assert watch.standing() == (1, 1), "a region that the relay has not heard of is not in touch"
    assert set(watch.roster.starts) == {"s2", "u1"}


def test_origins_whose_versions_began_anew_are_believed_of_a_relay_in_touch_after_three_seconds() -> None:
    for live, gap, expected in (
        (True, 1, 15),
        (True, 3, 14),
        (False, 1, None),
        (False, 3, None),
        (True, 5, None),
    ):
        clock = Clock()
        watch = watching(clock=clock)
        watch.update(told(10, {"eu": (500, True)}, line("s1", health="leaving"), line("s2"), whole=True))
        seen = []
        for number in range(11, 20):
            clock.now += gap * SECOND
            if "since" not in target(watch):
                seen.append(number)
                watch.update(told(number, {"eu": (4, live)}, line("s1"), whole=True))
                assert phases(watch) == {"s1": "active"}
                break
            watch.update(told(number, {"eu": (3, live)}, line("s1")))
            assert phases(watch) == {"s1": "leaving", "s2": "active"}
        # Asked for 3 s after the first at the earliest, the third at least; changes can't be put to the other
        # life's list.
        assert seen == ([expected] if expected else []), (live, gap, seen)


def test_relay_is_asked_more_often_while_an_origin_may_have_begun_anew_and_at_once_when_known() -> None:
    clock = Clock()
    watch = watching(clock=clock)
    watch.update(told(10, {"eu": (500, True)}, line("s1"), whole=True))
    assert "timeout_ms=3000" in target(watch)
    asked(watch, told(11, {"eu": (3, True)}))
    for spent, wait in ((0.0, 1000), (1.0, 1000), (2.5, 500), (2.9995, 1), (3.0, 1)):
        clock.now = int(spent * SECOND)
        assert f"timeout_ms={wait}&" in target(watch)
    # What was asked before counts for nothing, however late its answer comes; the next one does.
    clock.now = 2 * SECOND
    target(watch)
    clock.now = int(3.5 * SECOND)
    watch.update(told(12, {"eu": (3, True)}))
    assert "since=12&timeout_ms=1&" in target(watch), "the second one that says so"
    watch.update(told(13, {"eu": (3, True)}))
    assert "since" not in target(watch), "the third"
    asked(watch, told(14, {"eu": (3, True)}, line("s2"), whole=True))
    assert set(phases(watch)) == {"s2"} and "timeout_ms=3000" in target(watch)


def test_an_answer_that_was_asked_for_too_early_does_not_prove_that_an_origin_has_begun_anew() -> None:
    clock = Clock()
    watch = watching(clock=clock)
    watch.update(told(10, {"eu": (500, True)}, line("s1", health="leaving"), whole=True))
    for _ in range(3):
        asked(watch, told(11, {"eu": (3, True)}, line("s1"), whole=True))
    clock.now = int(2.9 * SECOND)
    target(watch)
    clock.now = 4 * SECOND  # it has come late, and may be as old as its question
    watch.update(told(12, {"eu": (3, True)}, line("s1"), whole=True))
    assert phases(watch) == {"s1": "leaving"}
    asked(watch, told(12, {"eu": (3, True)}, line("s1"), whole=True))
    assert phases(watch) == {"s1": "active"}


def test_one_answer_between_that_is_not_older_begins_the_three_seconds_anew() -> None:
    for between in ({"eu": (500, True)}, {"eu": (3, False)}, {"us": (3, True)}, None):
        clock = Clock()
        watch = watching(clock=clock)
        watch.update(told(10, {"eu": (500, True)}, line("s1", health="leaving"), whole=True))
        for number in range(5):
            clock.now += 2 * SECOND
            if number == 2 and between is None:  # another relay has to say so as well
                watch.move("r2:1")
            clock.now -= 2 * SECOND if number == 3 and between is None else 0
            regions = between if number == 2 and between else {"eu": (3, True)}
            lines = [line("s1", health="leaving" if regions == {"eu": (500, True)} else "active")]
            asked(watch, told(11 + number, regions, *(lines if "eu" in regions else []), whole=True))
            assert phases(watch) == {"s1": "leaving"}, "3 s are over at the third of either half"
        clock.now += 2 * SECOND
        asked(watch, told(30, {"eu": (3, True)}, line("s1"), whole=True))
        assert phases(watch) == {"s1": "active"}


def test_a_relay_that_knows_only_the_old_life_of_an_origin_brings_nothing_of_it_back() -> None:
    clock = Clock()
    watch = watching(clock=clock)
    watch.update(told(10, {"eu": (500, True)}, line("s1"), whole=True))
    for number in range(4):
        clock.now += 3 * SECOND
        asked(watch, told(11 + number, {"eu": (3, True)}, line("s1", health="leaving"), whole=True))
    assert phases(watch) == {"s1": "leaving"}
    watch.move("r2:1")
    assert not watch.update(told(77, {"eu": (500, False)}, line("s1"), whole=True)).entries
    assert phases(watch) == {"s1": "leaving"}
    # In touch with the origin again it has to say all: its changes begin at the old life's list.
    watch.update(told(78, {"eu": (4, True)}, line("s9")))
    assert phases(watch) == {"s1": "leaving"} and "since" not in target(watch)
    watch.update(told(79, {"eu": (4, True)}, line("s1", health="leaving"), line("s9"), whole=True))
    assert phases(watch) == {"s1": "leaving", "s9": "active"}
    watch.update(told(80, {"eu": (5, False)}, line("s9", health="left")))
    assert phases(watch) == {"s1": "leaving"}, "what it was told last before it lost touch is of the new life"


def test_a_region_that_comes_up_at_a_relay_is_asked_for_whole_where_something_of_it_is_held() -> None:
    watch = watching()
    watch.update(told(10, {"eu": (5, True), "us": (5, True)}, line("s1"), line("u1", "us"), whole=True))
    watch.move("r2:1")
    watch.update(told(20, {"eu": (5, True)}, line("s1"), whole=True))
    # What is new to the relay is new in its changes: who has left meanwhile is not among them.
    watch.update(
        told(21, {"eu": (5, True), "us": (8, True), "asia": (3, True)}, line("u2", "us"), line("x1", "asia"))
    )
    assert set(phases(watch)) == {"s1", "u1", "x1"} and "since" not in target(watch)
    watch.update(
        told(
            22,
            {"eu": (5, True), "us": (8, True), "asia": (3, True)},
            line("s1"),
            line("u2", "us"),
            line("x1", "asia"),
            whole=True,
        )
    )
    assert set(phases(watch)) == {"s1", "u2", "x1"}


def test_other_services_are_asked_for_whole_until_a_relay_tells_them_as_new_as_what_is_held() -> None:
    watch = watching("cart")
    watch.update(told(10, {"eu": (5, True)}, line("s1"), whole=True))
    watch.wants(("cart", "stock"))
    watch.move("r1:1")
    assert target(watch) == "/discovery/hosts?services=cart,stock"
    watch.update(told(20, {"eu": (4, True)}, line("s1"), line("t1"), whole=True))
    assert set(phases(watch)) == {"s1"}
    watch.update(told(21, {"eu": (6, True)}, line("s1", health="leaving")))
    assert "since" not in target(watch)
    watch.update(told(22, {"eu": (6, True)}, line("s1", health="leaving"), line("t1"), whole=True))
    assert phases(watch) == {"s1": "leaving", "t1": "active"}


def test_the_process_that_comes_after_this_one_goes_back_to_nothing_either() -> None:
    watch = watching()
    watch.update(told(10, {"eu": (5, True)}, line("s1", health="leaving"), whole=True))
    known = json.loads(json.dumps(watch.known()))
    after = watching()
    after.roster.read(known)
    after.inherit(known)
    after.update(told(7, {"eu": (4, True)}, line("s1"), whole=True))
    assert phases(after) == {"s1": "leaving"}
    plain = Watch(Roster(["a"], lambda born: 1), "d", 5, SECOND)
    assert plain.known() == {"seq": 5, "whole": True, "hosts": []}


def test_a_server_that_goes_over_to_another_region_is_held_once() -> None:
    watch = watching()
    both = {"eu": (5, True), "us": (5, True)}
    watch.update(told(10, both, line("s1"), line("u1", "us"), whole=True))
    watch.update(told(11, both, line("s1", "us", born_ms=7)))
    assert watch.roster.lines["s1"]["region"] == "us"
    watch.update(told(12, both, line("s1", health="left")))
    assert phases(watch) == {"s1": "active", "u1": "active"}, "it has left the other one"
    watch.update(told(13, both, line("s1", health="left"), line("s1", "us", "leaving")))
    watch.update(told(14, both, line("u1", "us"), line("u1", "eu", born_ms=9), whole=True))
    assert watch.roster.lines["u1"]["region"] == "eu" and set(phases(watch)) == {"u1"}


def test_what_is_no_answer_of_a_relay_changes_nothing() -> None:
    watch = watching()
    eu = {"eu": (5, True)}
    watch.update(told(10, eu, line("s1"), whole=True))
    bad = [
        told(11, {}, whole=True),
        told(11, eu, line("s1", "us"), whole=True),
        told(11, eu, {"host": "s1"}),
        told(11, eu, line("s1"), line("s1", health="leaving")),
        told(9, eu, line("s1", health="left")),
        told(11, {"eu": (-1, True)}),
        told(11, {"eu": (True, True)}),
        told(11, {"eu": (5, 1)}),  # type: ignore
        told(11, {f"r{at}": (1, True) for at in range(MAX_REGIONS + 1)}),
        told(11, {"eu": (6, True)}, line("s2"), line("s3", dial="nowhere"), whole=True),
        SimpleNamespace(status=200, body=b'{"seq": 11, "whole": true, "hosts": [], "regions": [1]}'),
        SimpleNamespace(status=200, body=b"[]"),
        SimpleNamespace(status=200, body=b"{"),
    ]
    for answer in bad:
        with pytest.raises(BadList):
            watch.update(answer)
        assert phases(watch) == {"s1": "active"} and watch.version == 10 and watch.regions == eu
        assert watch.merging and watch.merging.versions == {"eu": 5}
    with pytest.raises(Overtaxed):
        watch.update(SimpleNamespace(status=503, body=b""))
    # Changes without a whole list to put them to.
    watch.move("r2:1")
    with pytest.raises(BadList):
        watch.update(told(12, eu, line("s2")))


def test_an_empty_list_is_believed_only_when_it_comes_again_and_again() -> None:
    watch = watching()
    assert not watch.update(told(9, {"eu": (4, True)}, whole=True)).entries, "nothing to lose"
    watch.update(told(10, {"eu": (5, True)}, line("s1"), whole=True))
    for number in range(2):
        with pytest.raises(BadList):
            watch.update(told(11, {"eu": (6, True)}, whole=True))
        watch.move(f"r{number}:1")
    update = watch.update(told(12, {"eu": (6, True)}, whole=True))
    assert [(entry.name, entry.phase.name) for entry in update.entries] == [("s1", "GONE")]
    assert not update.whole and not phases(watch)


def test_of_a_whole_list_only_the_differences_from_the_one_held_are_told() -> None:
    watch = watching()
    lines = [line(f"s{at}") for at in range(50)]
    assert len(watch.update(told(10, {"eu": (5, True)}, *lines, whole=True)).entries) == 50
    watch.move("r2:1")
    assert watch.update(told(90, {"eu": (5, True)}, *lines, whole=True)) == Update(90, False, [], [])
    lines = [
        line("s0", health="leaving"),
        line("s1", share=1.5),
        line("s2", born_ms=9),
        *lines[3:49],
        line("new"),
    ]
    update = watch.update(told(91, {"eu": (6, True)}, *lines, whole=True))
    assert not update.whole and {(entry.name, entry.phase.name) for entry in update.entries} == {
        ("s0", "DRAINING"),
        ("s1", "READY"),
        ("s2", "READY"),
        ("s49", "GONE"),
        ("new", "READY"),
    }
    assert set(watch.roster.lines) == set(watch.roster.starts) == {one["host"] for one in lines}


@pytest.mark.parametrize("seed", range(20))
def test_who_applies_what_is_told_holds_what_the_list_holds(seed: int) -> None:
    draw, watch = random.Random(seed), watching()
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
        whole = number == 10 or draw.random() < 0.4 or "since" not in target(watch)
        if whole and draw.random() < 0.5:
            watch.move(f"r{number}:1")
        said = {region: (seq, True) for region, seq in seqs.items()}
        if whole and not servers:
            continue
        update = watch.update(told(number, said, *(servers.values() if whole else changed), whole=whole))
        if update.whole:
            held.clear()
        for entry in update.entries:
            held.pop(entry.name, None)
            if entry.phase != Phase.GONE:
                held[entry.name] = (entry.phase.name, entry.scale, entry.came_up)
        names = {"active": "READY", "leaving": "DRAINING"}
        assert held == {
            name: (names[one["health"]], one["share"], watch.roster.starts[name][1])
            for name, one in watch.roster.lines.items()
        }
        if watch.version >= 0:
            assert phases(watch) == {name: one["health"] for name, one in servers.items()}


def test_of_a_server_nothing_more_is_kept_than_its_line_and_region() -> None:
    watch = watching()
    watch.update(told(10, {"eu": (5, True)}, *[line(f"s{at}") for at in range(100)], whole=True))
    kept = [one for one in watch.roster.lines.values()]
    assert all("service" not in one for one in kept)
    assert len({id(one["region"]) for one in kept}) == 1
    watch.update(told(11, {"eu": (6, True)}, *[line(f"s{at}", health="left") for at in range(100)]))
    assert not watch.roster.lines and not watch.roster.starts


def test_an_answer_that_names_no_regions_is_treated_as_discoverys() -> None:
    watch = watching()
    body = {"seq": 7, "whole": True, "hosts": [{**line("s1"), "region": ""}]}
    watch.update(SimpleNamespace(status=200, body=json.dumps(body).encode()))
    assert phases(watch) == {"s1": "active"} and watch.standing() == (0, 0)
    with pytest.raises(BadList):
        watch.update(SimpleNamespace(status=200, body=json.dumps({**body, "seq": 6}).encode()))
