"""What relays hold, who is due and when, at which pace: the pure part, against a model."""

from __future__ import annotations

import random
from typing import Any

import orjson
import pytest

from pumicepath.distribution.interests import ALL_PLAIN, ALL_SERVICES, Interest, parse_interest
from pumicepath.distribution.origins import (
    ANSWER_TIMEOUT_US,
    LIVE_TIMEOUT_US,
    OLDER_LISTS_TO_ACCEPT,
    SLACK_US,
    ListRejectedError,
    Origin,
)
from pumicepath.distribution.rate_limiter import MAX_QUEUE_US, ListRateLimiter
from pumicepath.distribution.relay_store import ListChange, RelayStore, encode_entries
from pumicepath.distribution.subscriptions import NEVER, SPREAD_US, Subscriptions

from .relay_rig import list_line

SECOND = 1_000_000
SERVICES = ("", "cart", "stock", "pay")


def entries(**services: str) -> list[dict[str, Any]]:
    """By host: its service, or left."""
    return [
        list_line(host, "cart", "left") if service == "left" else list_line(host, service or None)
        for host, service in services.items()
    ]


def apply(held: RelayStore, name: str, seq: int, whole: bool, some: list[dict[str, Any]]) -> ListChange:
    return held.apply(name, seq, whole, encode_entries(name, some))


class Follower:
    """A follower that takes what it is told, and nothing else."""

    def __init__(self, interest: Interest) -> None:
        self.interest = interest
        self.seq = -1
        self.held: dict[str, dict[str, Any]] = {}
        self.last_answer: dict[str, Any] = {}

    def receive(self, body: bytes) -> None:
        self.last_answer = told = orjson.loads(body)
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

    def poll(self, held: RelayStore) -> None:
        self.receive(held.answer(self.interest, self.seq)[0])


class RelayModel:
    """Origins that change at random, and what a relay's list should be by a model as plain as can be."""

    def __init__(self, seed: int, most_changes: int) -> None:
        self.rng = random.Random(seed)
        self.held = RelayStore(1000, ("eu", "us"), most_changes)
        self.truth: dict[str, dict[str, dict[str, Any]]] = {"eu": {}, "us": {}}
        self.seqs = {"eu": 0, "us": 0}
        self.visible_region: dict[str, str] = {}

    def random_entry(self) -> dict[str, Any]:
        return list_line(
            f"h{self.rng.randrange(9)}",
            self.rng.choice(SERVICES) or None,
            self.rng.choice(("active", "active", "leaving")),
            self.rng.randrange(9000, 9003),
        )

    def step(self) -> tuple[str, ...]:
        """One answer of an origin: changes, a whole list, or a restart with older versions."""
        name = self.rng.choice(("eu", "us"))
        there = self.truth[name]
        kind = self.rng.random()
        self.seqs[name] = 0 if kind < 0.05 else self.seqs[name] + 1
        some = {one["host"]: one for one in (self.random_entry() for _ in range(self.rng.randrange(1, 5)))}
        if kind < 0.25:
            there.clear()
            there.update(some)
            change = apply(self.held, name, self.seqs[name], True, list(some.values()))
        else:
            for host in list(some):
                if self.rng.random() < 0.4:
                    some[host] = {**some[host], "health": "left"}
                    there.pop(host, None)
                else:
                    there[host] = some[host]
            change = apply(self.held, name, self.seqs[name], False, list(some.values()))
        for host in [host for host, region in self.visible_region.items() if host not in self.truth[region]]:
            del self.visible_region[host]
        for region in self.truth:
            for host in self.truth[region]:
                self.visible_region.setdefault(host, region)
        return change.services

    def expected(self, interest: Interest) -> dict[str, dict[str, Any]]:
        found = {}
        for host, region in self.visible_region.items():
            one = self.truth[region][host]
            if interest.includes(one.get("service", "")):
                found[host] = {**one, "region": region}
                if interest.plain:
                    found[host] = {key: one[key] for key in one if key != "service"}
        return found


INTERESTS = (
    ALL_SERVICES,
    ALL_PLAIN,
    parse_interest("cart"),
    parse_interest("pay,stock"),
    parse_interest("none"),
)


@pytest.mark.parametrize("seed", range(12))
def test_whoever_applies_answers_holds_the_truth_of_the_version_answered(seed: int) -> None:
    world = RelayModel(seed, most_changes=(4, 12, 1000)[seed % 3])
    mirrors = [Follower(interest) for interest in INTERESTS for _ in range(2)]
    wholes = continued = 0
    for _ in range(400):
        world.step()
        if world.rng.random() < 0.1:
            world.held.set_live("eu", world.rng.random() < 0.5)
        for mirror in mirrors:
            if world.rng.random() < 0.2:
                mirror.poll(world.held)
                assert mirror.held == world.expected(mirror.interest)
                wholes += mirror.last_answer["whole"]
                continued += not mirror.last_answer["whole"]
                if not mirror.interest.plain:
                    assert {name: one["seq"] for name, one in mirror.last_answer["regions"].items()} == {
                        name: seq for name, seq in world.seqs.items() if world.held.regions[name].seq >= 0
                    }
    assert continued > 100
    if world.held.max_changes == 1000:
        assert wholes == len(mirrors)  # each its first, and none after
    else:
        assert wholes > 3 * len(mirrors)
    assert len(world.held.change_log) <= world.held.max_changes


def test_versions_of_another_life_older_than_the_log_or_ahead_get_the_whole_list() -> None:
    held = RelayStore(5000, ("eu",), 3)
    apply(held, "eu", 1, True, entries(a="cart", b="cart"))
    for since in (-1, 0, 4999, 5002, 1 << 60):
        assert held.answer(ALL_SERVICES, since)[1], since
    assert not held.answer(ALL_SERVICES, 5000)[1]
    for seq in range(2, 6):
        apply(held, "eu", seq, False, [list_line("a", "cart", port=9000 + seq)])
    assert held.version == 5005
    for since, whole in ((5000, True), (5001, True), (5002, False), (5005, False)):
        assert held.answer(ALL_SERVICES, since)[1] is whole, since


def test_a_list_larger_than_the_history_can_only_be_had_whole() -> None:
    held = RelayStore(0, ("eu",), 3)
    apply(held, "eu", 1, True, [list_line(f"h{at}", "cart") for at in range(9)])
    assert len(held.change_log) == 3 and held.answer(ALL_SERVICES, 0)[1]
    assert not held.answer(ALL_SERVICES, 1)[1]


def test_the_same_list_again_is_no_change() -> None:
    held = RelayStore(0, ("eu",), 100)
    apply(held, "eu", 1, True, entries(a="cart", b=""))
    change = apply(held, "eu", 9, True, entries(b="", a="cart"))
    assert change.servers == 0 and change.services == () and held.version == 1
    assert orjson.loads(held.no_change_answer(ALL_SERVICES))["regions"] == {"eu": {"seq": 9, "live": False}}


def test_a_region_without_a_list_yet_is_not_named_and_one_that_restarts_keeps_the_other() -> None:
    held = RelayStore(0, ("eu", "us"), 100)
    assert not held.has_data()
    apply(held, "us", 7, True, entries(x="cart"))
    held.set_live("us", True)
    assert held.has_data() and orjson.loads(held.no_change_answer(ALL_SERVICES))["regions"] == {
        "us": {"seq": 7, "live": True}
    }
    apply(held, "eu", 41, True, entries(a="cart", b="cart"))
    apply(held, "eu", 3, True, entries(b="cart"))
    told = orjson.loads(held.answer(ALL_SERVICES, -1)[0])
    assert {one["host"] for one in told["hosts"]} == {"b", "x"} and told["regions"]["eu"]["seq"] == 3


def test_a_server_that_two_regions_name_is_told_once_and_is_the_others_once_it_is_gone() -> None:
    held = RelayStore(0, ("eu", "us"), 100)
    mirror = Follower(parse_interest("cart"))
    apply(held, "us", 1, True, entries(a="cart"))
    apply(held, "eu", 1, True, entries(a="cart"))
    mirror.poll(held)
    assert mirror.held["a"]["region"] == "us"
    apply(held, "us", 2, False, entries(a="left"))
    mirror.poll(held)
    assert mirror.held["a"]["region"] == "eu" and len(mirror.last_answer["hosts"]) == 1
    apply(held, "eu", 2, False, entries(a="left"))
    mirror.poll(held)
    assert mirror.held == {}


def test_a_server_that_changes_its_service_has_left_the_one_and_come_to_the_other() -> None:
    held = RelayStore(0, ("eu",), 100)
    mirrors = {name: Follower(parse_interest(name)) for name in ("cart", "stock", "pay")}
    apply(held, "eu", 1, True, entries(a="cart"))
    for mirror in mirrors.values():
        mirror.poll(held)
    change = apply(held, "eu", 2, False, entries(a="stock"))
    assert set(change.services) == {"cart", "stock"}
    for mirror in mirrors.values():
        mirror.poll(held)
    assert [name for name, mirror in mirrors.items() if "a" in mirror.held] == ["stock"]
    assert (
        mirrors["cart"].last_answer["hosts"][0]["health"] == "left"
        and not mirrors["pay"].last_answer["hosts"]
    )


def test_the_same_question_is_encoded_once_until_something_changes() -> None:
    held = RelayStore(0, ("eu",), 100)
    apply(held, "eu", 1, True, entries(a="cart"))
    first = held.answer(parse_interest("cart,stock"), 0)[0]
    assert held.answer(parse_interest("stock,cart"), 0)[0] is first
    apply(held, "eu", 2, False, entries(b="pay"))
    assert held.answer(parse_interest("cart,stock"), 0)[0] is not first


@pytest.mark.parametrize(
    "text", ("", ",", "cart,", "a b", "*,cart", "é", "x" * 65, ",".join(f"s{at}" for at in range(257)))
)
def test_services_that_are_none(text: str) -> None:
    with pytest.raises(ValueError, match="^services: "):
        parse_interest(text)


# Who is due


def make_subscriptions(*interests: str, batch: int = 50_000) -> Subscriptions:
    subscriptions = Subscriptions(batch, random.Random(1).random)
    for number, text in enumerate(interests):
        subscriptions.join(number, parse_interest(text))
        subscriptions.wait(number, 10, 3 * SECOND)
    return subscriptions


def test_only_those_concerned_are_due_and_together() -> None:
    subscriptions = make_subscriptions("cart", "stock", "cart,stock", "pay", "*")
    assert subscriptions.services_changed(("cart",), 11, 1000) == 3
    assert subscriptions.services_changed(("stock",), 12, 31_000) == 1
    assert subscriptions.take_due(50_999, 99) == [] and subscriptions.next_timer() == 51_000
    assert sorted(subscriptions.take_due(51_000, 99)) == [(0, 10), (1, 11), (2, 10), (4, 10)]
    assert subscriptions.next_timer() == 3 * SECOND
    assert subscriptions.take_due(3 * SECOND - 1, 99) == []
    assert subscriptions.take_due(3 * SECOND, 99) == [(3, -1)]
    assert subscriptions.next_timer() == NEVER


def test_change_that_comes_while_ends_of_waits_stand_in_line_is_told_to_those() -> None:
    subscriptions = make_subscriptions(*["cart"] * 300)
    assert len(subscriptions.take_due(3 * SECOND, 256)) == 256
    assert subscriptions.services_changed(("cart",), 11, 3 * SECOND) == 44
    assert sorted(subscriptions.take_due(3 * SECOND + 50_000, 256)) == [
        (number, 10) for number in range(256, 300)
    ]


def test_a_server_without_a_service_concerns_all() -> None:
    subscriptions = make_subscriptions("cart", "stock", "*")
    assert subscriptions.services_changed(("",), 11, 0) == 3
    assert len(subscriptions.take_due(50_000, 99)) == 3


def test_what_a_change_costs_does_not_grow_with_those_it_does_not_concern() -> None:
    subscriptions = make_subscriptions("cart", *(f"s{at}" for at in range(2000)))
    touched = []

    class Counting(dict):
        def items(self) -> Any:
            touched.append(self)
            return super().items()

    for group in subscriptions.groups.values():
        group.waiting = Counting(group.waiting)
    assert subscriptions.services_changed(("cart",), 11, 0) == 1
    assert len(touched) == 1


def test_what_concerns_all_is_spread_over_a_second_and_no_wait_gets_longer() -> None:
    subscriptions = make_subscriptions(*(["cart"] * 200))
    subscriptions.join(200, parse_interest("cart"))
    subscriptions.wait(200, 10, 1)
    subscriptions.end_waits_soon(0)
    assert subscriptions.take_due(1, 999)[0] == (200, -1)
    counts = [len(subscriptions.take_due(at * SPREAD_US // 10, 999)) for at in range(1, 11)]
    assert sum(counts) == 200 and max(counts) < 50


def test_no_more_are_due_at_once_than_asked_for_and_the_rest_is_not_lost() -> None:
    subscriptions = make_subscriptions(*(["cart"] * 10))
    subscriptions.services_changed(("cart",), 11, 0)
    found = [subscriptions.take_due(50_000, 4) for _ in range(4)]
    assert [len(some) for some in found] == [4, 4, 2, 0]
    assert subscriptions.next_timer() == NEVER


def test_who_leaves_leaves_nothing_behind() -> None:
    subscriptions = make_subscriptions(*(["cart,stock", "cart", "*"] * 20))
    subscriptions.services_changed(("stock",), 11, 0)
    for _ in range(50):
        subscriptions.end_waits_soon(0)
    assert len(subscriptions.end_heap) <= 4 * len(subscriptions.wait_ends) + 65
    for number in range(60):
        subscriptions.leave(number)
    assert not any(
        (
            subscriptions.groups,
            subscriptions.by_service,
            subscriptions.all_services,
            subscriptions.group_of,
            subscriptions.wait_ends,
            subscriptions.pending,
        )
    )
    assert subscriptions.take_due(9 * SECOND, 99) == []


@pytest.mark.parametrize("seed", range(8))
def test_followers_that_wait_hold_the_truth_after_each_batch(seed: int) -> None:
    """The whole path without sockets, with a history so short that it is often overtaken by a wait."""
    world = RelayModel(seed, most_changes=(3, 1000)[seed % 2])
    world.step()
    subscriptions = Subscriptions(50_000, world.rng.random)
    mirrors = {
        number: Follower(parse_interest(text))
        for number, text in enumerate(("*", "cart", "stock", "cart,pay", "pay", "none"))
    }
    woken = 0

    def call(number: int, now: int) -> None:
        mirror = mirrors[number]
        subscriptions.join(number, mirror.interest)
        if not world.held.can_continue(mirror.seq):
            mirror.poll(world.held)
            call(number, now)
        elif world.held.has_changes(mirror.interest, mirror.seq):
            subscriptions.add_pending(number, mirror.seq, now)
        else:
            assert mirror.held == world.expected(mirror.interest)
            subscriptions.wait(number, mirror.seq, now + world.rng.randrange(10_000, 3 * SECOND))

    for number in mirrors:
        call(number, 0)
    for now in range(0, 60 * SECOND, 25_000):
        before = {number: mirror.seq for number, mirror in mirrors.items()}
        if world.rng.random() < 0.3:
            services = world.step()
            subscriptions.services_changed(services, world.held.version, now)
        for number, since in subscriptions.take_due(now, 99):
            mirror = mirrors[number]
            if since < 0:
                mirror.receive(world.held.no_change_answer(mirror.interest))
            else:
                mirror.receive(world.held.answer(mirror.interest, since)[0])
                woken += 1
            assert mirror.held == world.expected(mirror.interest) and mirror.seq >= before[number]
            call(number, now)
    assert woken > 500


# At which pace


def test_whole_lists_keep_to_the_rate_and_go_in_turn() -> None:
    pace = ListRateLimiter(1_000_000)
    assert all(pace.admit(number, 100_000, 0) for number in range(20))
    served: list[tuple[int, int]] = []
    now = 0
    while pace.queue:
        number = pace.take_next(now)
        if number is None:
            now = pace.next_timer(now)
            continue
        pace.charge(100_000)
        served.append((now, number))
    assert [number for _, number in served] == list(range(20))
    assert 1.5 * SECOND < now < 1.8 * SECOND
    for at, (then, _) in enumerate(served):
        assert (at + 1) * 100_000 <= 250_000 + then + 100_000


def test_who_would_wait_too_long_is_told_at_once_and_who_does_after_all_then() -> None:
    pace = ListRateLimiter(1_000_000)
    admitted = [pace.admit(number, 100_000, 0) for number in range(100)]
    assert admitted == [True] * 23 + [False] * 77
    assert pace.take_overdue(MAX_QUEUE_US) == []
    pace.leave(5)
    assert pace.take_overdue(MAX_QUEUE_US + 1) == [number for number in range(23) if number != 5]
    assert not pace.queue and pace.queued_bytes == 0
    assert pace.take_next(MAX_QUEUE_US + 1) is None and pace.next_timer(MAX_QUEUE_US + 1) > 1 << 60


def test_one_list_larger_than_the_rate_is_not_held_back_for_ever() -> None:
    pace = ListRateLimiter(10_000)
    assert pace.admit(1, 50_000, 0) and pace.take_next(0) == 1
    pace.charge(50_000)
    assert not pace.admit(2, 100, 0)
    assert pace.admit(2, 100, 3 * SECOND) and pace.take_next(3 * SECOND) is None
    assert pace.take_next(5 * SECOND) == 2


# What is believed of an origin


def test_an_origin_is_asked_at_once_after_any_doubt_and_is_known_to_be_silent_soon() -> None:
    origin = Origin("eu", lambda: 1.0)
    assert (
        origin.request_target() == "/discovery/hosts?services=*"
        and origin.silence_limit() == ANSWER_TIMEOUT_US
    )
    origin.answer_accepted(41)
    assert origin.request_target() == "/discovery/hosts?since=41&timeout_ms=2000&services=*"
    assert origin.silence_limit() == 2 * SECOND + SLACK_US
    assert origin.call_failed(silent=True) == 0 and not origin.live
    assert origin.request_target() == "/discovery/hosts?since=41&timeout_ms=1&services=*"
    assert origin.silence_limit() == ANSWER_TIMEOUT_US
    origin.answer_accepted(42)
    assert origin.live and "timeout_ms=2000" in origin.request_target()


def test_by_word_of_more_than_2_4_s_nothing_is_in_touch_whatever_call_is_out() -> None:
    origin = Origin("eu", lambda: 1.0)
    assert not origin.check_age(10 * LIVE_TIMEOUT_US), "it has not been in touch yet"
    origin.answer_accepted(41)
    assert (
        origin.call_failed() == 0
        and origin.live
        and origin.silence_limit() == ANSWER_TIMEOUT_US > LIVE_TIMEOUT_US
    )
    assert not origin.check_age(LIVE_TIMEOUT_US) and origin.live
    assert origin.check_age(LIVE_TIMEOUT_US + 1) and not origin.live
    assert not origin.check_age(LIVE_TIMEOUT_US + 2), "told once"
    origin.answer_accepted(42)
    assert origin.live


def test_one_reset_is_not_out_of_touch_two_are_and_dials_come_slower_and_slower() -> None:
    draw = random.Random(1)
    origin = Origin("eu", draw.random)
    origin.answer_accepted(1)
    assert origin.call_failed() == 0 and origin.live
    waits = [origin.call_failed() for _ in range(12)]
    assert not origin.live
    for at, wait in enumerate(waits):
        step = min(1_000_000, 100_000 << at)
        assert step // 2 <= wait <= step
    assert len(set(waits)) == len(waits)


def test_empty_and_older_lists_are_refused_until_an_older_whole_one_stays() -> None:
    origin = Origin("eu", lambda: 0.0)
    origin.validate(41, True, 9)
    origin.answer_accepted(41)
    for seq, whole, servers in ((42, True, 0), (40, False, 1), (40, True, 9)):
        with pytest.raises(ListRejectedError):
            origin.validate(seq, whole, servers)
    origin.call_failed(refused=True)
    assert origin.request_target() == "/discovery/hosts?services=*"
    with pytest.raises(ListRejectedError):
        origin.validate(42, False, 1)  # changes, where the whole list was asked for
    assert not origin.validate(41, True, 9)  # that it is as it was begins the count anew
    for _ in range(OLDER_LISTS_TO_ACCEPT - 1):
        with pytest.raises(ListRejectedError):
            origin.validate(3, True, 9)
    assert origin.validate(3, True, 9)
    assert not origin.validate(42, True, 1)  # halved and more: passed on
    with pytest.raises(ListRejectedError):
        origin.validate(43, True, 0)
