"""What relays hold, who is due and when, at which pace: the pure part, against a model."""

from __future__ import annotations

import random
from typing import Any

import orjson
import pytest

from pumicepath.distribution.held import Change, Held, encoded
from pumicepath.distribution.interests import EVERY, PLAIN, Interest, interest_of
from pumicepath.distribution.origins import ANSWER, LIVE, MOST_BACK, SLACK, Origin, Refused
from pumicepath.distribution.pace import LONGEST, Pace
from pumicepath.distribution.subscriptions import NEVER, SPREAD, Subscriptions

from .relay_rig import list_line

SECOND = 1_000_000
SERVICES = ("", "cart", "stock", "pay")


def lines(**services: str) -> list[dict[str, Any]]:
    """By host: its service, or left."""
    return [
        list_line(host, "cart", "left") if service == "left" else list_line(host, service or None)
        for host, service in services.items()
    ]


def take(held: Held, name: str, seq: int, whole: bool, some: list[dict[str, Any]]) -> Change:
    return held.take(name, seq, whole, encoded(name, some))


class Mirror:
    """A follower that takes what it is told, and nothing else."""

    def __init__(self, interest: Interest) -> None:
        self.interest = interest
        self.seq = -1
        self.held: dict[str, dict[str, Any]] = {}
        self.told: dict[str, Any] = {}

    def hear(self, body: bytes) -> None:
        self.told = told = orjson.loads(body)
        names = [one["host"] for one in told["hosts"]]
        assert len(set(names)) == len(names)
        assert told["seq"] >= self.seq
        if told["whole"]:
            self.held = {}
        for one in told["hosts"]:
            if one["health"] == "left":
                self.held.pop(one["host"], None)
            else:
                self.held[one["host"]] = one
        self.seq = told["seq"]

    def ask(self, held: Held) -> None:
        self.hear(held.answer(self.interest, self.seq)[0])


class World:
    """Origins that change at random, and what a relay's list should be by a model as plain as can be."""

    def __init__(self, seed: int, most_changes: int) -> None:
        self.draw = random.Random(seed)
        self.held = Held(1000, ("eu", "us"), most_changes)
        self.truth: dict[str, dict[str, dict[str, Any]]] = {"eu": {}, "us": {}}
        self.seqs = {"eu": 0, "us": 0}
        self.shown: dict[str, str] = {}

    def drawn(self) -> dict[str, Any]:
        return list_line(
            f"h{self.draw.randrange(9)}",
            self.draw.choice(SERVICES) or None,
            self.draw.choice(("active", "active", "leaving")),
            self.draw.randrange(9000, 9003),
        )

    def step(self) -> tuple[str, ...]:
        """One answer of an origin: changes, a whole list, or a restart with older versions."""
        name = self.draw.choice(("eu", "us"))
        there = self.truth[name]
        kind = self.draw.random()
        self.seqs[name] = 0 if kind < 0.05 else self.seqs[name] + 1
        some = {one["host"]: one for one in (self.drawn() for _ in range(self.draw.randrange(1, 5)))}
        if kind < 0.25:
            there.clear()
            there.update(some)
            change = take(self.held, name, self.seqs[name], True, list(some.values()))
        else:
            for host in list(some):
                if self.draw.random() < 0.4:
                    some[host] = {**some[host], "health": "left"}
                    there.pop(host, None)
                else:
                    there[host] = some[host]
            change = take(self.held, name, self.seqs[name], False, list(some.values()))
        for host in [host for host, region in self.shown.items() if host not in self.truth[region]]:
            del self.shown[host]
        for region in self.truth:
            for host in self.truth[region]:
                self.shown.setdefault(host, region)
        return change.services

    def wanted(self, interest: Interest) -> dict[str, dict[str, Any]]:
        found = {}
        for host, region in self.shown.items():
            one = self.truth[region][host]
            if interest.wants(one.get("service", "")):
                found[host] = {**one, "region": region}
                if interest.plain:
                    found[host] = {key: one[key] for key in one if key != "service"}
        return found


INTERESTS = (EVERY, PLAIN, interest_of("cart"), interest_of("pay,stock"), interest_of("none"))


@pytest.mark.parametrize("seed", range(12))
def test_whoever_applies_answers_holds_the_truth_of_the_version_answered(seed: int) -> None:
    world = World(seed, most_changes=(4, 12, 1000)[seed % 3])
    mirrors = [Mirror(interest) for interest in INTERESTS for _ in range(2)]
    wholes = continued = 0
    for _ in range(400):
        world.step()
        if world.draw.random() < 0.1:
            world.held.turned("eu", world.draw.random() < 0.5)
        for mirror in mirrors:
            if world.draw.random() < 0.2:
                mirror.ask(world.held)
                assert mirror.held == world.wanted(mirror.interest)
                wholes += mirror.told["whole"]
                continued += not mirror.told["whole"]
                if not mirror.interest.plain:
                    assert {name: one["seq"] for name, one in mirror.told["regions"].items()} == {
                        name: seq for name, seq in world.seqs.items() if world.held.regions[name].seq >= 0
                    }
    assert continued > 100
    if world.held.most_changes == 1000:
        assert wholes == len(mirrors)  # each its first, and none after
    else:
        assert wholes > 3 * len(mirrors)
    assert len(world.held.log) <= world.held.most_changes


def test_versions_of_another_life_older_than_the_log_or_ahead_get_the_whole_list() -> None:
    held = Held(5000, ("eu",), 3)
    take(held, "eu", 1, True, lines(a="cart", b="cart"))
    for since in (-1, 0, 4999, 5002, 1 << 60):
        assert held.answer(EVERY, since)[1], since
    assert not held.answer(EVERY, 5000)[1]
    for seq in range(2, 6):
        take(held, "eu", seq, False, [list_line("a", "cart", port=9000 + seq)])
    assert held.version == 5005
    for since, whole in ((5000, True), (5001, True), (5002, False), (5005, False)):
        assert held.answer(EVERY, since)[1] is whole, since


def test_a_list_larger_than_the_history_can_only_be_had_whole() -> None:
    held = Held(0, ("eu",), 3)
    take(held, "eu", 1, True, [list_line(f"h{at}", "cart") for at in range(9)])
    assert len(held.log) == 3 and held.answer(EVERY, 0)[1]
    assert not held.answer(EVERY, 1)[1]


def test_the_same_list_again_is_no_change() -> None:
    held = Held(0, ("eu",), 100)
    take(held, "eu", 1, True, lines(a="cart", b=""))
    change = take(held, "eu", 9, True, lines(b="", a="cart"))
    assert change.servers == 0 and change.services == () and held.version == 1
    assert orjson.loads(held.nothing(EVERY))["regions"] == {"eu": {"seq": 9, "live": False}}


def test_a_region_without_a_list_yet_is_not_named_and_one_that_restarts_keeps_the_other() -> None:
    held = Held(0, ("eu", "us"), 100)
    assert not held.known()
    take(held, "us", 7, True, lines(x="cart"))
    held.turned("us", True)
    assert held.known() and orjson.loads(held.nothing(EVERY))["regions"] == {"us": {"seq": 7, "live": True}}
    take(held, "eu", 41, True, lines(a="cart", b="cart"))
    take(held, "eu", 3, True, lines(b="cart"))
    told = orjson.loads(held.answer(EVERY, -1)[0])
    assert {one["host"] for one in told["hosts"]} == {"b", "x"} and told["regions"]["eu"]["seq"] == 3


def test_a_server_that_two_regions_name_is_told_once_and_is_the_others_once_it_is_gone() -> None:
    held = Held(0, ("eu", "us"), 100)
    mirror = Mirror(interest_of("cart"))
    take(held, "us", 1, True, lines(a="cart"))
    take(held, "eu", 1, True, lines(a="cart"))
    mirror.ask(held)
    assert mirror.held["a"]["region"] == "us"
    take(held, "us", 2, False, lines(a="left"))
    mirror.ask(held)
    assert mirror.held["a"]["region"] == "eu" and len(mirror.told["hosts"]) == 1
    take(held, "eu", 2, False, lines(a="left"))
    mirror.ask(held)
    assert mirror.held == {}


def test_a_server_that_changes_its_service_has_left_the_one_and_come_to_the_other() -> None:
    held = Held(0, ("eu",), 100)
    mirrors = {name: Mirror(interest_of(name)) for name in ("cart", "stock", "pay")}
    take(held, "eu", 1, True, lines(a="cart"))
    for mirror in mirrors.values():
        mirror.ask(held)
    change = take(held, "eu", 2, False, lines(a="stock"))
    assert set(change.services) == {"cart", "stock"}
    for mirror in mirrors.values():
        mirror.ask(held)
    assert [name for name, mirror in mirrors.items() if "a" in mirror.held] == ["stock"]
    assert mirrors["cart"].told["hosts"][0]["health"] == "left" and not mirrors["pay"].told["hosts"]


def test_the_same_question_is_encoded_once_until_something_changes() -> None:
    held = Held(0, ("eu",), 100)
    take(held, "eu", 1, True, lines(a="cart"))
    first = held.answer(interest_of("cart,stock"), 0)[0]
    assert held.answer(interest_of("stock,cart"), 0)[0] is first
    take(held, "eu", 2, False, lines(b="pay"))
    assert held.answer(interest_of("cart,stock"), 0)[0] is not first


@pytest.mark.parametrize(
    "text", ("", ",", "cart,", "a b", "*,cart", "é", "x" * 65, ",".join(f"s{at}" for at in range(257)))
)
def test_services_that_are_none(text: str) -> None:
    with pytest.raises(ValueError, match="^services: "):
        interest_of(text)


# Who is due


def subscribed(*interests: str, batch: int = 50_000) -> Subscriptions:
    subscriptions = Subscriptions(batch, random.Random(1).random)
    for number, text in enumerate(interests):
        subscriptions.join(number, interest_of(text))
        subscriptions.wait(number, 10, 3 * SECOND)
    return subscriptions


def test_only_those_concerned_are_due_and_together() -> None:
    subscriptions = subscribed("cart", "stock", "cart,stock", "pay", "*")
    assert subscriptions.changed(("cart",), 11, 1000) == 3
    assert subscriptions.changed(("stock",), 12, 31_000) == 1
    assert subscriptions.due(50_999, 99) == [] and subscriptions.next_at() == 51_000
    assert sorted(subscriptions.due(51_000, 99)) == [(0, 10), (1, 11), (2, 10), (4, 10)]
    assert subscriptions.next_at() == 3 * SECOND
    assert subscriptions.due(3 * SECOND - 1, 99) == []
    assert subscriptions.due(3 * SECOND, 99) == [(3, -1)]
    assert subscriptions.next_at() == NEVER


def test_change_that_comes_while_ends_of_waits_stand_in_line_is_told_to_those() -> None:
    subscriptions = subscribed(*["cart"] * 300)
    assert len(subscriptions.due(3 * SECOND, 256)) == 256
    assert subscriptions.changed(("cart",), 11, 3 * SECOND) == 44
    assert sorted(subscriptions.due(3 * SECOND + 50_000, 256)) == [(number, 10) for number in range(256, 300)]


def test_a_server_without_a_service_concerns_all() -> None:
    subscriptions = subscribed("cart", "stock", "*")
    assert subscriptions.changed(("",), 11, 0) == 3
    assert len(subscriptions.due(50_000, 99)) == 3


def test_what_a_change_costs_does_not_grow_with_those_it_does_not_concern() -> None:
    subscriptions = subscribed("cart", *(f"s{at}" for at in range(2000)))
    touched = []

    class Counting(dict):
        def items(self) -> Any:
            touched.append(self)
            return super().items()

    for group in subscriptions.groups.values():
        group.waiting = Counting(group.waiting)
    assert subscriptions.changed(("cart",), 11, 0) == 1
    assert len(touched) == 1


def test_what_concerns_all_is_spread_over_a_second_and_no_wait_gets_longer() -> None:
    subscriptions = subscribed(*(["cart"] * 200))
    subscriptions.join(200, interest_of("cart"))
    subscriptions.wait(200, 10, 1)
    subscriptions.turned(0)
    assert subscriptions.due(1, 999)[0] == (200, -1)
    counts = [len(subscriptions.due(at * SPREAD // 10, 999)) for at in range(1, 11)]
    assert sum(counts) == 200 and max(counts) < 50


def test_no_more_are_due_at_once_than_asked_for_and_the_rest_is_not_lost() -> None:
    subscriptions = subscribed(*(["cart"] * 10))
    subscriptions.changed(("cart",), 11, 0)
    found = [subscriptions.due(50_000, 4) for _ in range(4)]
    assert [len(some) for some in found] == [4, 4, 2, 0]
    assert subscriptions.next_at() == NEVER


def test_who_leaves_leaves_nothing_behind() -> None:
    subscriptions = subscribed(*(["cart,stock", "cart", "*"] * 20))
    subscriptions.changed(("stock",), 11, 0)
    for _ in range(50):
        subscriptions.turned(0)
    assert len(subscriptions.ends) <= 4 * len(subscriptions.until) + 65
    for number in range(60):
        subscriptions.leave(number)
    assert not any(
        (
            subscriptions.groups,
            subscriptions.by_service,
            subscriptions.every,
            subscriptions.of,
            subscriptions.until,
            subscriptions.marked,
        )
    )
    assert subscriptions.due(9 * SECOND, 99) == []


@pytest.mark.parametrize("seed", range(8))
def test_followers_that_wait_hold_the_truth_after_each_batch(seed: int) -> None:
    """The whole path without sockets, with a history so short that it is often overtaken by a wait."""
    world = World(seed, most_changes=(3, 1000)[seed % 2])
    world.step()
    subscriptions = Subscriptions(50_000, world.draw.random)
    mirrors = {
        number: Mirror(interest_of(text))
        for number, text in enumerate(("*", "cart", "stock", "cart,pay", "pay", "none"))
    }
    woken = 0

    def call(number: int, now: int) -> None:
        mirror = mirrors[number]
        subscriptions.join(number, mirror.interest)
        if not world.held.continues(mirror.seq):
            mirror.ask(world.held)
            call(number, now)
        elif world.held.concerned(mirror.interest, mirror.seq):
            subscriptions.due_soon(number, mirror.seq, now)
        else:
            assert mirror.held == world.wanted(mirror.interest)
            subscriptions.wait(number, mirror.seq, now + world.draw.randrange(10_000, 3 * SECOND))

    for number in mirrors:
        call(number, 0)
    for now in range(0, 60 * SECOND, 25_000):
        before = {number: mirror.seq for number, mirror in mirrors.items()}
        if world.draw.random() < 0.3:
            services = world.step()
            subscriptions.changed(services, world.held.version, now)
        for number, since in subscriptions.due(now, 99):
            mirror = mirrors[number]
            if since < 0:
                mirror.hear(world.held.nothing(mirror.interest))
            else:
                mirror.hear(world.held.answer(mirror.interest, since)[0])
                woken += 1
            assert mirror.held == world.wanted(mirror.interest) and mirror.seq >= before[number]
            call(number, now)
    assert woken > 500


# At which pace


def test_whole_lists_keep_to_the_rate_and_go_in_turn() -> None:
    pace = Pace(1_000_000)
    assert all(pace.admit(number, 100_000, 0) for number in range(20))
    served: list[tuple[int, int]] = []
    now = 0
    while pace.queue:
        number = pace.turn(now)
        if number is None:
            now = pace.next_at(now)
            continue
        pace.spent(100_000)
        served.append((now, number))
    assert [number for _, number in served] == list(range(20))
    assert 1.5 * SECOND < now < 1.8 * SECOND
    for at, (then, _) in enumerate(served):
        assert (at + 1) * 100_000 <= 250_000 + then + 100_000


def test_who_would_wait_too_long_is_told_at_once_and_who_does_after_all_then() -> None:
    pace = Pace(1_000_000)
    admitted = [pace.admit(number, 100_000, 0) for number in range(100)]
    assert admitted == [True] * 23 + [False] * 77
    assert pace.overdue(LONGEST) == []
    pace.leave(5)
    assert pace.overdue(LONGEST + 1) == [number for number in range(23) if number != 5]
    assert not pace.queue and pace.queued == 0
    assert pace.turn(LONGEST + 1) is None and pace.next_at(LONGEST + 1) > 1 << 60


def test_one_list_larger_than_the_rate_is_not_held_back_for_ever() -> None:
    pace = Pace(10_000)
    assert pace.admit(1, 50_000, 0) and pace.turn(0) == 1
    pace.spent(50_000)
    assert not pace.admit(2, 100, 0)
    assert pace.admit(2, 100, 3 * SECOND) and pace.turn(3 * SECOND) is None
    assert pace.turn(5 * SECOND) == 2


# What is believed of an origin


def test_an_origin_is_asked_at_once_after_any_doubt_and_is_known_to_be_silent_soon() -> None:
    origin = Origin("eu", lambda: 1.0)
    assert origin.target() == "/discovery/hosts?services=*" and origin.silent() == ANSWER
    origin.answered(41)
    assert origin.target() == "/discovery/hosts?since=41&timeout_ms=2000&services=*"
    assert origin.silent() == 2 * SECOND + SLACK
    assert origin.failed(silent=True) == 0 and not origin.live
    assert origin.target() == "/discovery/hosts?since=41&timeout_ms=1&services=*"
    assert origin.silent() == ANSWER
    origin.answered(42)
    assert origin.live and "timeout_ms=2000" in origin.target()


def test_by_word_of_more_than_2_4_s_nothing_is_in_touch_whatever_call_is_out() -> None:
    origin = Origin("eu", lambda: 1.0)
    assert not origin.aged(10 * LIVE), "it has not been in touch yet"
    origin.answered(41)
    assert origin.failed() == 0 and origin.live and origin.silent() == ANSWER > LIVE
    assert not origin.aged(LIVE) and origin.live
    assert origin.aged(LIVE + 1) and not origin.live
    assert not origin.aged(LIVE + 2), "told once"
    origin.answered(42)
    assert origin.live


def test_one_reset_is_not_out_of_touch_two_are_and_dials_come_slower_and_slower() -> None:
    draw = random.Random(1)
    origin = Origin("eu", draw.random)
    origin.answered(1)
    assert origin.failed() == 0 and origin.live
    waits = [origin.failed() for _ in range(12)]
    assert not origin.live
    for at, wait in enumerate(waits):
        step = min(1_000_000, 100_000 << at)
        assert step // 2 <= wait <= step
    assert len(set(waits)) == len(waits)


def test_empty_and_older_lists_are_refused_until_an_older_whole_one_stays() -> None:
    origin = Origin("eu", lambda: 0.0)
    origin.believed(41, True, 9)
    origin.answered(41)
    for seq, whole, servers in ((42, True, 0), (40, False, 1), (40, True, 9)):
        with pytest.raises(Refused):
            origin.believed(seq, whole, servers)
    origin.failed(refused=True)
    assert origin.target() == "/discovery/hosts?services=*"
    with pytest.raises(Refused):
        origin.believed(42, False, 1)  # changes, where the whole list was asked for
    assert not origin.believed(41, True, 9)  # that it is as it was begins the count anew
    for _ in range(MOST_BACK - 1):
        with pytest.raises(Refused):
            origin.believed(3, True, 9)
    assert origin.believed(3, True, 9)
    assert not origin.believed(42, True, 1)  # halved and more: passed on
    with pytest.raises(Refused):
        origin.believed(43, True, 0)
