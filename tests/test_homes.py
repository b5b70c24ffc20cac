"""Which relay a sidecar follows: fleets of thousands in virtual time, relays that die, return, are cut."""

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
    """Many sidecars, each with a call every `step`; `up` and `live` are the relays' state by time."""

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
            homes = self.selectors[at]
            before = homes.current
            wait = self.step
            if not self.up(now, homes.current):
                wait = homes.call_failed(now) + 1
            elif homes.call_answered(now, *self.live(now, homes.current)):
                wait = 1
            if homes.current != before or len(homes.order) == 1:
                self.moves[at] += 1
                self.arrivals.append((now + wait, homes.current))
            heappush(self.due, (now + wait, at))

    def followers_by_relay(self) -> Counter[str]:
        return Counter(homes.current for homes in self.selectors)


def down_between(relay: str, since: int, until: int = 1 << 60) -> Callable[[int, str], bool]:
    return lambda now, asked: asked != relay or not since <= now < until


def max_in_window(arrivals: list[int], span: int) -> int:
    """The most of them in any window so long."""
    arrivals = sorted(arrivals)
    most = first = 0
    for last, now in enumerate(arrivals):
        while arrivals[first] <= now - span:
            first += 1
        most = max(most, last - first + 1)
    return most


def test_sidecars_are_spread_evenly_and_the_same_at_every_start() -> None:
    fleet = SidecarFleet(2000, RELAYS)
    held = fleet.followers_by_relay()
    assert len(held) == 20 and min(held.values()) >= 60 and max(held.values()) <= 145, held
    again = SidecarFleet(2000, RELAYS[::-1], seed=7)
    assert [homes.order for homes in again.selectors] == [homes.order for homes in fleet.selectors]
    without = [RelaySelector(f"n{at}", RELAYS[1:], lambda: 0.5) for at in range(2000)]
    for homes, less in zip(fleet.selectors, without):
        assert [relay for relay in homes.order if relay != RELAYS[0]] == less.order


def test_when_a_relay_dies_its_followers_spread_over_all_others_at_a_pace_and_nobody_else_moves() -> None:
    fleet = SidecarFleet(2000, RELAYS)
    lost = {at for at, homes in enumerate(fleet.selectors) if homes.current == RELAYS[3]}
    fleet.up = down_between(RELAYS[3], 10 * SECOND)
    fleet.run(25 * SECOND)
    assert set(fleet.moves) == lost and set(fleet.moves.values()) == {1}
    takers = Counter(relay for _, relay in fleet.arrivals)
    assert set(takers) == set(RELAYS) - {RELAYS[3]} and max(takers.values()) <= 16, takers
    # All learn of it at the same moment where their connections are reset.
    fleet = SidecarFleet(2000, RELAYS)
    waits = [homes.call_failed(SECOND) for homes in fleet.selectors if homes.current == RELAYS[3]]
    assert max(waits) <= FIRST_WAIT_US and max_in_window(waits, SECOND // 10) <= len(lost) * 0.35


def test_once_a_relay_is_back_its_followers_return_over_a_minute_and_stay() -> None:
    fleet = SidecarFleet(2000, RELAYS, step=3 * SECOND)
    lost = fleet.followers_by_relay()[RELAYS[3]]
    fleet.up = down_between(RELAYS[3], 10 * SECOND, 15 * SECOND)
    fleet.run(200 * SECOND)
    back = [when for when, relay in fleet.arrivals if relay == RELAYS[3]]
    assert fleet.followers_by_relay()[RELAYS[3]] == lost == len(back)
    assert min(back) >= 38 * SECOND and max(back) <= 110 * SECOND
    assert max_in_window(back, SECOND) <= 8 and max_in_window(back, 10 * SECOND) <= lost / 3


def test_a_first_that_stays_away_is_tried_less_and_less_often_beside_one_that_answers() -> None:
    fleet = SidecarFleet(100, RELAYS[:4], step=3 * SECOND)
    fleet.up = down_between(RELAYS[0], 10 * SECOND)
    fleet.run(3600 * SECOND)
    assert not fleet.followers_by_relay()[RELAYS[0]]
    for at, homes in enumerate(fleet.selectors):
        if homes.order[0] == RELAYS[0]:
            assert 1 + 2 * 7 <= fleet.moves[at] <= 1 + 2 * 28 and homes.current == homes.order[1]
        else:
            assert not fleet.moves[at]
    # A try in vain costs the one followed nothing: it is called again at once.
    homes = RelaySelector("n", RELAYS, lambda: 0.0)
    homes.call_failed(SECOND)
    second = homes.current
    assert homes.call_answered(100 * SECOND, 2, 0) and homes.current == homes.order[0]
    assert homes.call_failed(101 * SECOND) == 0 and homes.current == second and not homes.failures


@pytest.mark.parametrize("relays", [RELAYS[:1], RELAYS[:2], RELAYS])
def test_while_no_relay_answers_dials_are_few_and_all_are_back_within_bounds(relays: list[str]) -> None:
    fleet = SidecarFleet(300, relays)
    up = 120 * SECOND
    fleet.up = lambda now, relay: not 10 * SECOND <= now < up
    fleet.run(up)
    late = [when for when, _ in fleet.arrivals if when > 40 * SECOND]
    assert len(late) <= 300 * 80 / 2 * 1.1, "half of the longest wait at least"
    assert max_in_window(late, SECOND // 10) <= 300 * 0.1
    fleet.run(up + MAX_WAIT_US + SECOND)
    assert not any(homes.failures for homes in fleet.selectors)
    fleet.arrivals.clear()
    fleet.run(400 * SECOND)
    assert all(homes.index == 0 for homes in fleet.selectors)


def test_the_wait_doubles_with_each_failure_in_a_row_and_an_answer_ends_that() -> None:
    for share, waits in ((0.0, [0, 0.5, 1, 2, 2, 2]), (1.0, [0.5, 1, 2, 4, 4, 4])):
        homes = RelaySelector("n", RELAYS[:3], lambda share=share: share)  # type: ignore[misc]
        assert [homes.call_failed(SECOND) for _ in waits] == [int(wait * SECOND) for wait in waits]
        assert homes.current == homes.order[0], "a ring"
        homes.call_answered(SECOND, 1, 0)
        assert homes.call_failed(SECOND) == int(waits[0] * SECOND)
    for _ in range(10_000):
        assert homes.call_failed(SECOND) <= MAX_WAIT_US


def test_a_round_of_relays_that_are_not_there_is_quick_and_the_next_round_is_not() -> None:
    homes = RelaySelector("n", RELAYS[:5], lambda: 1.0)
    waits = [homes.call_failed(SECOND)] + [homes.call_failed(SECOND, unreachable=True) for _ in range(6)]
    assert waits == [FIRST_WAIT_US] * 5 + [2 * FIRST_WAIT_US, 4 * FIRST_WAIT_US]
    homes.call_answered(SECOND, 1, 0)
    # One that is there and turns calls away is spared all the same.
    assert [homes.call_failed(SECOND, absent) for absent in (True, True, False, True, False)] == [
        FIRST_WAIT_US,
        FIRST_WAIT_US,
        2 * FIRST_WAIT_US,
        FIRST_WAIT_US,
        4 * FIRST_WAIT_US,
    ]
    # A third of the relays lost at one moment, machines and all: each dial in vain takes half a second.
    late = []
    for at in range(2000):
        homes = RelaySelector(f"n{at}", RELAYS, random.Random(at).random)
        now = 0
        while homes.current in RELAYS[:7]:
            now += SECOND // 2 if now else 0
            now += homes.call_failed(now, now > 0)
        late.append(now)
    late.sort()
    assert late[-1] <= 5 * SECOND and late[1980] <= 2.5 * SECOND


def test_a_region_out_of_touch_here_alone_is_looked_for_elsewhere() -> None:
    fleet = SidecarFleet(200, RELAYS[:4])
    cut = RELAYS[0]
    fleet.live = lambda now, relay: (1, 1) if relay == cut and now > 10 * SECOND else (2, 0)
    fleet.run(14 * SECOND)
    assert not fleet.moves, "not before 5 s of that on end"
    fleet.run(22 * SECOND)
    assert not fleet.followers_by_relay()[cut] and set(fleet.moves.values()) == {1}
    leaving = [when for when, _ in fleet.arrivals]
    assert max_in_window(leaving, SECOND) <= len(leaving) / 2, "not all at one moment"
    fleet.run(600 * SECOND)
    # Home is looked at now and then; one that has fewer is left at once.
    assert not fleet.followers_by_relay()[cut] and max(fleet.moves.values()) <= 1 + 2 * 8
    fleet.live = lambda now, relay: (2, 0)
    fleet.run(1200 * SECOND)
    assert all(homes.index == 0 for homes in fleet.selectors)


def test_a_relay_that_hears_nothing_at_all_is_left_at_once_and_where_none_does_ever_more_rarely() -> None:
    homes = RelaySelector("n0", ["a:1", "b:1", "c:1"], lambda: 0.5)
    first = homes.current
    assert homes.call_answered(0, 0, 2) and homes.current != first, "where all regions are out of touch"
    assert not homes.call_answered(1_000, 2, 0), "one that is in touch is stayed at"
    homes = RelaySelector("n0", ["a:1", "b:1", "c:1"], lambda: 0.5)
    looks = [now for now in range(0, 3_600_000_000, 1_000_000) if homes.call_answered(now, 0, 2)]
    assert looks[0] == 0 and looks[1] <= 3_000_000
    # From half to all of 15 s in the end: what a whole list costs each time is bounded.
    last = [after - before for before, after in zip(looks, looks[1:])][-20:]
    assert min(last) > 7_000_000 and max(last) <= 16_000_000, last
    homes = RelaySelector("n0", ["a:1", "b:1"], lambda: 0.5)
    assert not homes.call_answered(0, 1, 1), "one region that is out of touch may be so everywhere"


def test_a_relay_that_loses_one_region_after_the_other_is_left_as_soon_as_it_hears_nothing() -> None:
    homes = RelaySelector("n0", ["a:1", "b:1", "c:1"], lambda: 0.5)
    first = homes.current
    assert not homes.call_answered(0, 2, 0)
    assert not homes.call_answered(SECOND, 1, 1), "one region may be out everywhere: looked for in its time"
    assert homes.call_answered(2 * SECOND, 0, 2) and homes.current != first
    # Where no other is better the next look is not earlier for that.
    homes.call_answered(3 * SECOND, 0, 2)
    looks = [at for at in range(3, 60) if homes.call_answered(at * SECOND, 0, 2)]
    assert 0 < len(looks) < 20, looks


def test_where_a_region_is_cut_off_from_all_relays_nobody_goes_to_and_fro() -> None:
    fleet = SidecarFleet(200, RELAYS, step=3 * SECOND)
    fleet.live = lambda now, relay: (9, 1) if now > 10 * SECOND else (10, 0)
    fleet.run(3610 * SECOND)
    assert max(fleet.moves.values()) <= 50, "in an hour"
    # Whoever looks about arrives in ones and twos: 200 sidecars at 20 relays, after the first round.
    late = [when for when, _ in fleet.arrivals if when > 120 * SECOND]
    assert max_in_window(late, SECOND // 10) <= 12
    held = fleet.followers_by_relay()
    assert max(held.values()) <= 40, held
    fleet.live = lambda now, relay: (10, 0)
    fleet.run(4000 * SECOND)
    assert all(homes.index == 0 for homes in fleet.selectors)


def test_one_that_has_fewer_regions_is_left_and_the_next_look_goes_elsewhere() -> None:
    homes = RelaySelector("n", RELAYS[:4], lambda: 1.0)
    seen, now = [], 0
    while len(seen) < 3:
        now += SECOND
        if homes.call_answered(now, 9, 1):
            seen.append(homes.order.index(homes.current))
            assert homes.call_answered(now, 8, 2) and homes.index == 0, "back at once"
    assert seen == [1, 2, 3]
    assert homes.change_reason == "fewer regions in touch"


def test_there_is_at_least_one_relay() -> None:
    with pytest.raises(ValueError):
        RelaySelector("n", [], lambda: 0.5)
