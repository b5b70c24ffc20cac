"""Choice of a relay: thousands of sidecars in virtual time, relays that fail, return or lose regions."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from heapq import heapify, heappop, heappush

import pytest

from pumicepath.distribution.relay_selector import FIRST_WAIT_US, MAX_WAIT_US, RelaySelector

SECOND = 1_000_000
RELAYS = [f"10.0.0.{at}:8601" for at in range(20)]


class SidecarFleet:
    """Many sidecars that each make a call every `step`; `up` and `live` give the relays' state by time."""

    def __init__(self, count: int, relays: list[str], seed: int = 1, step: int = SECOND) -> None:
        self.step = step
        self.rng = random.Random(seed)
        self.selectors = [RelaySelector(f"n{at}", relays, self.rng.random) for at in range(count)]
        self.arrivals: list[tuple[int, str]] = []  # dials, with the relay
        self.up: Callable[[int, str], bool] = lambda now, relay: True
        self.live: Callable[[int, str], tuple[int, int]] = lambda now, relay: (2, 0)
        self.due = [(int(self.rng.random() * step), at) for at in range(count)]
        heapify(self.due)
        self.moves = Counter[int]()

    def run(self, until: int) -> None:
        while self.due[0][0] < until:
            now, at = heappop(self.due)
            selector = self.selectors[at]
            before = selector.current
            wait = self.step
            if not self.up(now, selector.current):
                wait = selector.call_failed(now) + 1
            elif selector.call_answered(now, *self.live(now, selector.current)):
                wait = 1
            if selector.current != before or len(selector.order) == 1:
                self.moves[at] += 1
                self.arrivals.append((now + wait, selector.current))
            heappush(self.due, (now + wait, at))

    def followers_by_relay(self) -> Counter[str]:
        return Counter(selector.current for selector in self.selectors)


def down_between(relay: str, since: int, until: int = 1 << 60) -> Callable[[int, str], bool]:
    return lambda now, asked: asked != relay or not since <= now < until


def max_in_window(arrivals: list[int], duration: int) -> int:
    """The maximum number of arrivals in any window of that duration."""
    arrivals = sorted(arrivals)
    most = first = 0
    for last, now in enumerate(arrivals):
        while arrivals[first] <= now - duration:
            first += 1
        most = max(most, last - first + 1)
    return most


def test_sidecars_spread_evenly_over_relays_in_the_same_way_at_every_start() -> None:
    fleet = SidecarFleet(2000, RELAYS)
    held = fleet.followers_by_relay()
    assert len(held) == 20 and min(held.values()) >= 60 and max(held.values()) <= 145, held
    again = SidecarFleet(2000, RELAYS[::-1], seed=7)
    assert [selector.order for selector in again.selectors] == [
        selector.order for selector in fleet.selectors
    ]
    without = [RelaySelector(f"n{at}", RELAYS[1:], lambda: 0.5) for at in range(2000)]
    for selector, less in zip(fleet.selectors, without):
        assert [relay for relay in selector.order if relay != RELAYS[0]] == less.order


def test_followers_of_a_failed_relay_spread_over_time_and_all_others_and_no_other_sidecar_moves() -> None:
    fleet = SidecarFleet(2000, RELAYS)
    lost = {at for at, selector in enumerate(fleet.selectors) if selector.current == RELAYS[3]}
    fleet.up = down_between(RELAYS[3], 10 * SECOND)
    fleet.run(25 * SECOND)
    assert set(fleet.moves) == lost and set(fleet.moves.values()) == {1}
    new_followers = Counter(relay for _, relay in fleet.arrivals)
    assert set(new_followers) == set(RELAYS) - {RELAYS[3]} and max(new_followers.values()) <= 16, (
        new_followers
    )
    # All notice at the same moment if their connections are reset.
    fleet = SidecarFleet(2000, RELAYS)
    waits = [selector.call_failed(SECOND) for selector in fleet.selectors if selector.current == RELAYS[3]]
    assert max(waits) <= FIRST_WAIT_US and max_in_window(waits, SECOND // 10) <= len(lost) * 0.35


def test_followers_of_a_relay_that_is_back_return_over_a_minute_and_stay() -> None:
    fleet = SidecarFleet(2000, RELAYS, step=3 * SECOND)
    lost = fleet.followers_by_relay()[RELAYS[3]]
    fleet.up = down_between(RELAYS[3], 10 * SECOND, 15 * SECOND)
    fleet.run(200 * SECOND)
    back = [when for when, relay in fleet.arrivals if relay == RELAYS[3]]
    assert fleet.followers_by_relay()[RELAYS[3]] == lost == len(back)
    assert min(back) >= 38 * SECOND and max(back) <= 110 * SECOND
    assert max_in_window(back, SECOND) <= 8 and max_in_window(back, 10 * SECOND) <= lost / 3


def test_a_first_relay_that_stays_down_is_retried_less_and_less_often() -> None:
    fleet = SidecarFleet(100, RELAYS[:4], step=3 * SECOND)
    fleet.up = down_between(RELAYS[0], 10 * SECOND)
    fleet.run(3600 * SECOND)
    assert not fleet.followers_by_relay()[RELAYS[0]]
    for at, selector in enumerate(fleet.selectors):
        if selector.order[0] == RELAYS[0]:
            assert 1 + 2 * 7 <= fleet.moves[at] <= 1 + 2 * 28 and selector.current == selector.order[1]
        else:
            assert not fleet.moves[at]
    # After a vain try the relay that was followed before is called again at once.
    selector = RelaySelector("n", RELAYS, lambda: 0.0)
    selector.call_failed(SECOND)
    second = selector.current
    assert selector.call_answered(100 * SECOND, 2, 0) and selector.current == selector.order[0]
    assert selector.call_failed(101 * SECOND) == 0 and selector.current == second and not selector.failures


@pytest.mark.parametrize("relays", [RELAYS[:1], RELAYS[:2], RELAYS])
def test_while_no_relay_answers_dials_back_off_and_all_sidecars_return_in_time(relays: list[str]) -> None:
    fleet = SidecarFleet(300, relays)
    up = 120 * SECOND
    fleet.up = lambda now, relay: not 10 * SECOND <= now < up
    fleet.run(up)
    late = [when for when, _ in fleet.arrivals if when > 40 * SECOND]
    assert len(late) <= 300 * 80 / 2 * 1.1, "each wait is at least half of the longest"
    assert max_in_window(late, SECOND // 10) <= 300 * 0.1
    fleet.run(up + MAX_WAIT_US + SECOND)
    assert not any(selector.failures for selector in fleet.selectors)
    fleet.arrivals.clear()
    fleet.run(400 * SECOND)
    assert all(selector.index == 0 for selector in fleet.selectors)


def test_the_wait_doubles_with_each_failure_in_a_row_and_an_answer_resets_it() -> None:
    for value, waits in ((0.0, [0, 0.5, 1, 2, 2, 2]), (1.0, [0.5, 1, 2, 4, 4, 4])):
        selector = RelaySelector("n", RELAYS[:3], lambda value=value: value)  # type: ignore[misc]
        assert [selector.call_failed(SECOND) for _ in waits] == [int(wait * SECOND) for wait in waits]
        assert selector.current == selector.order[0], "back at the first after the last"
        selector.call_answered(SECOND, 1, 0)
        assert selector.call_failed(SECOND) == int(waits[0] * SECOND)
    for _ in range(10_000):
        assert selector.call_failed(SECOND) <= MAX_WAIT_US


def test_the_first_round_of_unreachable_relays_is_quick_and_the_next_is_not() -> None:
    selector = RelaySelector("n", RELAYS[:5], lambda: 1.0)
    waits = [selector.call_failed(SECOND)] + [
        selector.call_failed(SECOND, unreachable=True) for _ in range(6)
    ]
    assert waits == [FIRST_WAIT_US] * 5 + [2 * FIRST_WAIT_US, 4 * FIRST_WAIT_US]
    selector.call_answered(SECOND, 1, 0)
    # Waits still grow for relays that can be dialled and reject calls.
    assert [
        selector.call_failed(SECOND, unreachable) for unreachable in (True, True, False, True, False)
    ] == [
        FIRST_WAIT_US,
        FIRST_WAIT_US,
        2 * FIRST_WAIT_US,
        FIRST_WAIT_US,
        4 * FIRST_WAIT_US,
    ]
    # A third of the relays fail at one moment with their machines: each vain dial takes half a second.
    late = []
    for at in range(2000):
        selector = RelaySelector(f"n{at}", RELAYS, random.Random(at).random)
        now = 0
        while selector.current in RELAYS[:7]:
            now += SECOND // 2 if now else 0
            now += selector.call_failed(now, now > 0)
        late.append(now)
    late.sort()
    assert late[-1] <= 5 * SECOND and late[1980] <= 2.5 * SECOND


def test_followers_leave_a_relay_that_alone_is_out_of_touch_with_a_region() -> None:
    fleet = SidecarFleet(200, RELAYS[:4])
    cut = RELAYS[0]
    fleet.live = lambda now, relay: (1, 1) if relay == cut and now > 10 * SECOND else (2, 0)
    fleet.run(14 * SECOND)
    assert not fleet.moves, "not before 5 s without a break"
    fleet.run(22 * SECOND)
    assert not fleet.followers_by_relay()[cut] and set(fleet.moves.values()) == {1}
    leaving = [when for when, _ in fleet.arrivals]
    assert max_in_window(leaving, SECOND) <= len(leaving) / 2, "not all at one moment"
    fleet.run(600 * SECOND)
    # The first relay is tried from time to time, and left at once as it has fewer regions in touch.
    assert not fleet.followers_by_relay()[cut] and max(fleet.moves.values()) <= 1 + 2 * 8
    fleet.live = lambda now, relay: (2, 0)
    fleet.run(1200 * SECOND)
    assert all(selector.index == 0 for selector in fleet.selectors)


def test_a_relay_out_of_touch_with_all_regions_is_left_at_once_and_ever_more_rarely_if_all_are() -> None:
    selector = RelaySelector("n0", ["a:1", "b:1", "c:1"], lambda: 0.5)
    first = selector.current
    assert selector.call_answered(0, 0, 2) and selector.current != first, "all regions are out of touch"
    assert not selector.call_answered(1_000, 2, 0), "a relay in touch is kept"
    selector = RelaySelector("n0", ["a:1", "b:1", "c:1"], lambda: 0.5)
    searches = [now for now in range(0, 3_600_000_000, 1_000_000) if selector.call_answered(now, 0, 2)]
    assert searches[0] == 0 and searches[1] <= 3_000_000
    # From half to all of 15 s in the end, which bounds the cost of the whole lists that each move needs.
    last = [after - before for before, after in zip(searches, searches[1:])][-20:]
    assert min(last) > 7_000_000 and max(last) <= 16_000_000, last
    selector = RelaySelector("n0", ["a:1", "b:1"], lambda: 0.5)
    assert not selector.call_answered(0, 1, 1), "a single region may be out of touch everywhere"


def test_a_relay_that_loses_one_region_after_the_other_is_left_once_all_are_out_of_touch() -> None:
    selector = RelaySelector("n0", ["a:1", "b:1", "c:1"], lambda: 0.5)
    first = selector.current
    assert not selector.call_answered(0, 2, 0)
    assert not selector.call_answered(SECOND, 1, 1), "a single region may be out of touch everywhere: wait"
    assert selector.call_answered(2 * SECOND, 0, 2) and selector.current != first
    # If no other relay is better, the next search does not come earlier for that.
    selector.call_answered(3 * SECOND, 0, 2)
    searches = [at for at in range(3, 60) if selector.call_answered(at * SECOND, 0, 2)]
    assert 0 < len(searches) < 20, searches


def test_sidecars_do_not_move_back_and_forth_while_a_region_is_cut_off_from_all_relays() -> None:
    fleet = SidecarFleet(200, RELAYS, step=3 * SECOND)
    fleet.live = lambda now, relay: (9, 1) if now > 10 * SECOND else (10, 0)
    fleet.run(3610 * SECOND)
    assert max(fleet.moves.values()) <= 50, "in an hour"
    # Searching sidecars arrive one or two at a time: 200 sidecars, 20 relays, after the first round.
    late = [when for when, _ in fleet.arrivals if when > 120 * SECOND]
    assert max_in_window(late, SECOND // 10) <= 12
    held = fleet.followers_by_relay()
    assert max(held.values()) <= 40, held
    fleet.live = lambda now, relay: (10, 0)
    fleet.run(4000 * SECOND)
    assert all(selector.index == 0 for selector in fleet.selectors)


def test_a_relay_with_fewer_regions_in_touch_is_left_and_the_next_search_tries_another() -> None:
    selector = RelaySelector("n", RELAYS[:4], lambda: 1.0)
    seen, now = [], 0
    while len(seen) < 3:
        now += SECOND
        if selector.call_answered(now, 9, 1):
            seen.append(selector.order.index(selector.current))
            assert selector.call_answered(now, 8, 2) and selector.index == 0, "returns at once"
    assert seen == [1, 2, 3]
    assert selector.change_reason == "fewer regions in touch"


def test_an_empty_list_of_relays_is_rejected() -> None:
    with pytest.raises(ValueError):
        RelaySelector("n", [], lambda: 0.5)
