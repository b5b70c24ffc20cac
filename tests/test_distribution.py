"""Relay stores, subscriptions, rate limits and watches on origins, without sockets, against a model."""

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
    """Entries by host, each with its service, or `left`."""
    return [
        list_line(host, "cart", "left") if service == "left" else list_line(host, service or None)
        for host, service in services.items()
    ]


def apply(
    store: RelayStore, name: str, seq: int, whole: bool, raw_entries: list[dict[str, Any]]
) -> ListChange:
    return store.apply(name, seq, whole, encode_entries(name, raw_entries))


class Follower:
    """A follower that applies the answers it gets, and nothing else."""

    def __init__(self, interest: Interest) -> None:
        self.interest = interest
        self.seq = -1
        self.entries: dict[str, dict[str, Any]] = {}
        self.last_answer: dict[str, Any] = {}

    def receive(self, body: bytes) -> None:
        self.last_answer = answer = orjson.loads(body)
        names = [entry["host"] for entry in answer["hosts"]]
        assert len(set(names)) == len(names)
        assert answer["seq"] >= self.seq
        if answer["whole"]:
            self.entries = {}
        for entry in answer["hosts"]:
            if entry["health"] == "left":
                self.entries.pop(entry["host"], None)
            else:
                self.entries[entry["host"]] = entry
        self.seq = answer["seq"]

    def poll(self, store: RelayStore) -> None:
        self.receive(store.answer(self.interest, self.seq)[0])


class RelayModel:
    """Origins that change at random, a relay's store, and a simple model of what that should contain."""

    def __init__(self, seed: int, max_changes: int) -> None:
        self.rng = random.Random(seed)
        self.store = RelayStore(1000, ("eu", "us"), max_changes)
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
        region_entries = self.truth[name]
        kind = self.rng.random()
        self.seqs[name] = 0 if kind < 0.05 else self.seqs[name] + 1
        changed = {
            entry["host"]: entry for entry in (self.random_entry() for _ in range(self.rng.randrange(1, 5)))
        }
        if kind < 0.25:
            region_entries.clear()
            region_entries.update(changed)
            change = apply(self.store, name, self.seqs[name], True, list(changed.values()))
        else:
            for host in list(changed):
                if self.rng.random() < 0.4:
                    changed[host] = {**changed[host], "health": "left"}
                    region_entries.pop(host, None)
                else:
                    region_entries[host] = changed[host]
            change = apply(self.store, name, self.seqs[name], False, list(changed.values()))
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
def test_followers_that_apply_answers_have_the_models_list_of_that_version(seed: int) -> None:
    model = RelayModel(seed, max_changes=(4, 12, 1000)[seed % 3])
    followers = [Follower(interest) for interest in INTERESTS for _ in range(2)]
    whole_answers = change_answers = 0
    for _ in range(400):
        model.step()
        if model.rng.random() < 0.1:
            model.store.set_live("eu", model.rng.random() < 0.5)
        for follower in followers:
            if model.rng.random() < 0.2:
                follower.poll(model.store)
                assert follower.entries == model.expected(follower.interest)
                whole_answers += follower.last_answer["whole"]
                change_answers += not follower.last_answer["whole"]
                if not follower.interest.plain:
                    assert {name: one["seq"] for name, one in follower.last_answer["regions"].items()} == {
                        name: seq for name, seq in model.seqs.items() if model.store.regions[name].seq >= 0
                    }
    assert change_answers > 100
    if model.store.max_changes == 1000:
        assert whole_answers == len(followers)  # the first answer of each only
    else:
        assert whole_answers > 3 * len(followers)
    assert len(model.store.change_log) <= model.store.max_changes


def test_versions_older_than_the_log_ahead_or_of_another_process_get_the_whole_list() -> None:
    store = RelayStore(5000, ("eu",), 3)
    apply(store, "eu", 1, True, entries(a="cart", b="cart"))
    for since in (-1, 0, 4999, 5002, 1 << 60):
        assert store.answer(ALL_SERVICES, since)[1], since
    assert not store.answer(ALL_SERVICES, 5000)[1]
    for seq in range(2, 6):
        apply(store, "eu", seq, False, [list_line("a", "cart", port=9000 + seq)])
    assert store.version == 5005
    for since, whole in ((5000, True), (5001, True), (5002, False), (5005, False)):
        assert store.answer(ALL_SERVICES, since)[1] is whole, since


def test_a_list_with_more_changes_than_the_log_holds_is_sent_whole() -> None:
    store = RelayStore(0, ("eu",), 3)
    apply(store, "eu", 1, True, [list_line(f"h{at}", "cart") for at in range(9)])
    assert len(store.change_log) == 3 and store.answer(ALL_SERVICES, 0)[1]
    assert not store.answer(ALL_SERVICES, 1)[1]


def test_an_identical_list_is_no_change() -> None:
    store = RelayStore(0, ("eu",), 100)
    apply(store, "eu", 1, True, entries(a="cart", b=""))
    change = apply(store, "eu", 9, True, entries(b="", a="cart"))
    assert change.servers == 0 and change.services == () and store.version == 1
    assert orjson.loads(store.no_change_answer(ALL_SERVICES))["regions"] == {"eu": {"seq": 9, "live": False}}


def test_a_region_without_a_list_is_not_named_and_a_restarted_origin_changes_its_region_only() -> None:
    store = RelayStore(0, ("eu", "us"), 100)
    assert not store.has_data()
    apply(store, "us", 7, True, entries(x="cart"))
    store.set_live("us", True)
    assert store.has_data() and orjson.loads(store.no_change_answer(ALL_SERVICES))["regions"] == {
        "us": {"seq": 7, "live": True}
    }
    apply(store, "eu", 41, True, entries(a="cart", b="cart"))
    apply(store, "eu", 3, True, entries(b="cart"))
    answer = orjson.loads(store.answer(ALL_SERVICES, -1)[0])
    assert {one["host"] for one in answer["hosts"]} == {"b", "x"} and answer["regions"]["eu"]["seq"] == 3


def test_a_server_of_two_regions_is_sent_once_and_belongs_to_the_other_once_the_first_drops_it() -> None:
    store = RelayStore(0, ("eu", "us"), 100)
    follower = Follower(parse_interest("cart"))
    apply(store, "us", 1, True, entries(a="cart"))
    apply(store, "eu", 1, True, entries(a="cart"))
    follower.poll(store)
    assert follower.entries["a"]["region"] == "us"
    apply(store, "us", 2, False, entries(a="left"))
    follower.poll(store)
    assert follower.entries["a"]["region"] == "eu" and len(follower.last_answer["hosts"]) == 1
    apply(store, "eu", 2, False, entries(a="left"))
    follower.poll(store)
    assert follower.entries == {}


def test_a_server_that_changes_its_service_leaves_the_former_and_joins_the_new_one() -> None:
    store = RelayStore(0, ("eu",), 100)
    followers = {name: Follower(parse_interest(name)) for name in ("cart", "stock", "pay")}
    apply(store, "eu", 1, True, entries(a="cart"))
    for follower in followers.values():
        follower.poll(store)
    change = apply(store, "eu", 2, False, entries(a="stock"))
    assert set(change.services) == {"cart", "stock"}
    for follower in followers.values():
        follower.poll(store)
    assert [name for name, follower in followers.items() if "a" in follower.entries] == ["stock"]
    assert (
        followers["cart"].last_answer["hosts"][0]["health"] == "left"
        and not followers["pay"].last_answer["hosts"]
    )


def test_equal_answers_are_encoded_once_until_something_changes() -> None:
    store = RelayStore(0, ("eu",), 100)
    apply(store, "eu", 1, True, entries(a="cart"))
    first = store.answer(parse_interest("cart,stock"), 0)[0]
    assert store.answer(parse_interest("stock,cart"), 0)[0] is first
    apply(store, "eu", 2, False, entries(b="pay"))
    assert store.answer(parse_interest("cart,stock"), 0)[0] is not first


@pytest.mark.parametrize(
    "text", ("", ",", "cart,", "a b", "*,cart", "é", "x" * 65, ",".join(f"s{at}" for at in range(257)))
)
def test_invalid_service_names_are_rejected(text: str) -> None:
    with pytest.raises(ValueError, match="^services: "):
        parse_interest(text)


# Subscriptions


def make_subscriptions(*interests: str, batch: int = 50_000) -> Subscriptions:
    subscriptions = Subscriptions(batch, random.Random(1).random)
    for number, text in enumerate(interests):
        subscriptions.join(number, parse_interest(text))
        subscriptions.wait(number, 10, 3 * SECOND)
    return subscriptions


def test_only_followers_of_changed_services_are_due_and_in_one_batch() -> None:
    subscriptions = make_subscriptions("cart", "stock", "cart,stock", "pay", "*")
    assert subscriptions.services_changed(("cart",), 11, 1000) == 3
    assert subscriptions.services_changed(("stock",), 12, 31_000) == 1
    assert subscriptions.take_due(50_999, 99) == [] and subscriptions.next_timer() == 51_000
    assert sorted(subscriptions.take_due(51_000, 99)) == [(0, 10), (1, 11), (2, 10), (4, 10)]
    assert subscriptions.next_timer() == 3 * SECOND
    assert subscriptions.take_due(3 * SECOND - 1, 99) == []
    assert subscriptions.take_due(3 * SECOND, 99) == [(3, -1)]
    assert subscriptions.next_timer() == NEVER


def test_a_change_reaches_followers_whose_waits_have_ended_but_are_not_answered_yet() -> None:
    subscriptions = make_subscriptions(*["cart"] * 300)
    assert len(subscriptions.take_due(3 * SECOND, 256)) == 256
    assert subscriptions.services_changed(("cart",), 11, 3 * SECOND) == 44
    assert sorted(subscriptions.take_due(3 * SECOND + 50_000, 256)) == [
        (number, 10) for number in range(256, 300)
    ]


def test_a_server_without_a_service_concerns_every_follower() -> None:
    subscriptions = make_subscriptions("cart", "stock", "*")
    assert subscriptions.services_changed(("",), 11, 0) == 3
    assert len(subscriptions.take_due(50_000, 99)) == 3


def test_the_cost_of_a_change_does_not_grow_with_followers_of_other_services() -> None:
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


def test_a_change_for_every_follower_is_spread_over_a_second_and_extends_no_wait() -> None:
    subscriptions = make_subscriptions(*(["cart"] * 200))
    subscriptions.join(200, parse_interest("cart"))
    subscriptions.wait(200, 10, 1)
    subscriptions.end_waits_soon(0)
    assert subscriptions.take_due(1, 999)[0] == (200, -1)
    counts = [len(subscriptions.take_due(at * SPREAD_US // 10, 999)) for at in range(1, 11)]
    assert sum(counts) == 200 and max(counts) < 50


def test_take_due_returns_at_most_the_given_number_and_keeps_the_rest() -> None:
    subscriptions = make_subscriptions(*(["cart"] * 10))
    subscriptions.services_changed(("cart",), 11, 0)
    batches = [subscriptions.take_due(50_000, 4) for _ in range(4)]
    assert [len(batch) for batch in batches] == [4, 4, 2, 0]
    assert subscriptions.next_timer() == NEVER


def test_followers_that_leave_free_all_state() -> None:
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
def test_waiting_followers_have_the_models_list_after_each_batch(seed: int) -> None:
    """Store and subscriptions together; half of the runs have a log so short that waits often outlast it."""
    model = RelayModel(seed, max_changes=(3, 1000)[seed % 2])
    model.step()
    subscriptions = Subscriptions(50_000, model.rng.random)
    followers = {
        number: Follower(parse_interest(text))
        for number, text in enumerate(("*", "cart", "stock", "cart,pay", "pay", "none"))
    }
    changed_answers = 0

    def call(number: int, now: int) -> None:
        follower = followers[number]
        subscriptions.join(number, follower.interest)
        if not model.store.can_continue(follower.seq):
            follower.poll(model.store)
            call(number, now)
        elif model.store.has_changes(follower.interest, follower.seq):
            subscriptions.add_pending(number, follower.seq, now)
        else:
            assert follower.entries == model.expected(follower.interest)
            subscriptions.wait(number, follower.seq, now + model.rng.randrange(10_000, 3 * SECOND))

    for number in followers:
        call(number, 0)
    for now in range(0, 60 * SECOND, 25_000):
        before = {number: follower.seq for number, follower in followers.items()}
        if model.rng.random() < 0.3:
            services = model.step()
            subscriptions.services_changed(services, model.store.version, now)
        for number, since in subscriptions.take_due(now, 99):
            follower = followers[number]
            if since < 0:
                follower.receive(model.store.no_change_answer(follower.interest))
            else:
                follower.receive(model.store.answer(follower.interest, since)[0])
                changed_answers += 1
            assert follower.entries == model.expected(follower.interest) and follower.seq >= before[number]
            call(number, now)
    assert changed_answers > 500


# Rate limit of whole lists


def test_whole_lists_keep_to_the_rate_and_the_order_of_the_queue() -> None:
    limiter = ListRateLimiter(1_000_000)
    assert all(limiter.admit(number, 100_000, 0) for number in range(20))
    served: list[tuple[int, int]] = []
    now = 0
    while limiter.queue:
        number = limiter.take_next(now)
        if number is None:
            now = limiter.next_timer(now)
            continue
        limiter.charge(100_000)
        served.append((now, number))
    assert [number for _, number in served] == list(range(20))
    assert 1.5 * SECOND < now < 1.8 * SECOND
    for at, (then, _) in enumerate(served):
        assert (at + 1) * 100_000 <= 250_000 + then + 100_000


def test_a_follower_that_would_wait_too_long_is_rejected_at_once_or_once_it_has() -> None:
    limiter = ListRateLimiter(1_000_000)
    admitted = [limiter.admit(number, 100_000, 0) for number in range(100)]
    assert admitted == [True] * 23 + [False] * 77
    assert limiter.take_overdue(MAX_QUEUE_US) == []
    limiter.leave(5)
    assert limiter.take_overdue(MAX_QUEUE_US + 1) == [number for number in range(23) if number != 5]
    assert not limiter.queue and limiter.queued_bytes == 0
    assert limiter.take_next(MAX_QUEUE_US + 1) is None and limiter.next_timer(MAX_QUEUE_US + 1) > 1 << 60


def test_a_list_larger_than_the_burst_is_sent_in_the_end() -> None:
    limiter = ListRateLimiter(10_000)
    assert limiter.admit(1, 50_000, 0) and limiter.take_next(0) == 1
    limiter.charge(50_000)
    assert not limiter.admit(2, 100, 0)
    assert limiter.admit(2, 100, 3 * SECOND) and limiter.take_next(3 * SECOND) is None
    assert limiter.take_next(5 * SECOND) == 2


# Watches on origins


def test_the_first_call_after_a_failure_does_not_wait_and_silence_is_noticed_soon() -> None:
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


def test_a_region_is_out_of_touch_2_4_s_after_its_last_answer_whatever_call_is_in_progress() -> None:
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
    assert not origin.check_age(LIVE_TIMEOUT_US + 2), "reported once"
    origin.answer_accepted(42)
    assert origin.live


def test_a_region_is_out_of_touch_after_two_resets_in_a_row_and_dials_back_off() -> None:
    rng = random.Random(1)
    origin = Origin("eu", rng.random)
    origin.answer_accepted(1)
    assert origin.call_failed() == 0 and origin.live
    waits = [origin.call_failed() for _ in range(12)]
    assert not origin.live
    for at, wait in enumerate(waits):
        step = min(1_000_000, 100_000 << at)
        assert step // 2 <= wait <= step
    assert len(set(waits)) == len(waits)


def test_older_lists_are_rejected_until_an_older_whole_one_repeats() -> None:
    origin = Origin("eu", lambda: 0.0)
    origin.validate(41, True)
    origin.answer_accepted(41)
    for seq, whole in ((40, False), (40, True)):
        with pytest.raises(ListRejectedError):
            origin.validate(seq, whole)
    origin.call_failed(refused=True)
    assert origin.request_target() == "/discovery/hosts?services=*"
    with pytest.raises(ListRejectedError):
        origin.validate(42, False)  # changes, though the whole list was requested
    assert not origin.validate(41, True)  # the stored version resets the count
    for _ in range(OLDER_LISTS_TO_ACCEPT - 1):
        with pytest.raises(ListRejectedError):
            origin.validate(3, True)
    assert origin.validate(3, True)
