"""Which relay a sidecar follows: fleets of thousands in virtual time, relays that die, return, are cut."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from heapq import heapify, heappop, heappush

import pytest

from pumicepath.distribution.homes import FIRST_US, LONGEST_US, Homes

SECOND = 1_000_000
RELAYS = [f"10.0.0.{at}:8601" for at in range(20)]


class Fleet:
    """Many sidecars, each with a call every `step`; `up` and `live` are the relays' state by time."""

    def __init__(self, count: int, relays: list[str], seed: int = 1, step: int = SECOND) -> None:
        self.step = step
        self.chance = random.Random(seed)
        self.homes = [Homes(f"n{at}", relays, self.chance.random) for at in range(count)]
        self.arrivals: list[tuple[int, str]] = []  # dials, with the relay
        self.up: Callable[[int, str], bool] = lambda now, relay: True
        self.live: Callable[[int, str], tuple[int, int]] = lambda now, relay: (2, 0)
        self.due = [(int(self.chance.random() * step), at) for at in range(count)]
        heapify(self.due)
        self.moves = Counter[int]()

    def run(self, until: int) -> None:
        while self.due[0][0] < until:
            now, at = heappop(self.due)
            homes = self.homes[at]
            before = homes.at
            wait = self.step
            if not self.up(now, homes.at):
                wait = homes.failed(now) + 1
            elif homes.answered(now, *self.live(now, homes.at)):
                wait = 1
            if homes.at != before or len(homes.order) == 1:
                self.moves[at] += 1
                self.arrivals.append((now + wait, homes.at))
            heappush(self.due, (now + wait, at))

    def at(self) -> Counter[str]:
        return Counter(homes.at for homes in self.homes)


def dead(relay: str, since: int, until: int = 1 << 60) -> Callable[[int, str], bool]:
    return lambda now, asked: asked != relay or not since <= now < until


def most_within(arrivals: list[int], span: int) -> int:
    """The most of them in any window so long."""
    arrivals = sorted(arrivals)
    most = first = 0
    for last, now in enumerate(arrivals):
        while arrivals[first] <= now - span:
            first += 1
        most = max(most, last - first + 1)
    return most


def test_sidecars_are_spread_evenly_and_the_same_at_every_start() -> None:
    fleet = Fleet(2000, RELAYS)
    held = fleet.at()
    assert len(held) == 20 and min(held.values()) >= 60 and max(held.values()) <= 145, held
    again = Fleet(2000, RELAYS[::-1], seed=7)
    assert [homes.order for homes in again.homes] == [homes.order for homes in fleet.homes]
    without = [Homes(f"n{at}", RELAYS[1:], lambda: 0.5) for at in range(2000)]
    for homes, less in zip(fleet.homes, without):
        assert [relay for relay in homes.order if relay != RELAYS[0]] == less.order


def test_when_a_relay_dies_its_followers_spread_over_all_others_at_a_pace_and_nobody_else_moves() -> None:
    fleet = Fleet(2000, RELAYS)
    lost = {at for at, homes in enumerate(fleet.homes) if homes.at == RELAYS[3]}
    fleet.up = dead(RELAYS[3], 10 * SECOND)
    fleet.run(25 * SECOND)
    assert set(fleet.moves) == lost and set(fleet.moves.values()) == {1}
    takers = Counter(relay for _, relay in fleet.arrivals)
    assert set(takers) == set(RELAYS) - {RELAYS[3]} and max(takers.values()) <= 16, takers
    # All learn of it at the same moment where their connections are reset.
    fleet = Fleet(2000, RELAYS)
    waits = [homes.failed(SECOND) for homes in fleet.homes if homes.at == RELAYS[3]]
    assert max(waits) <= FIRST_US and most_within(waits, SECOND // 10) <= len(lost) * 0.35


def test_once_a_relay_is_back_its_followers_return_over_a_minute_and_stay() -> None:
    fleet = Fleet(2000, RELAYS, step=3 * SECOND)
    lost = fleet.at()[RELAYS[3]]
    fleet.up = dead(RELAYS[3], 10 * SECOND, 15 * SECOND)
    fleet.run(200 * SECOND)
    back = [when for when, relay in fleet.arrivals if relay == RELAYS[3]]
    assert fleet.at()[RELAYS[3]] == lost == len(back)
    assert min(back) >= 38 * SECOND and max(back) <= 110 * SECOND
    assert most_within(back, SECOND) <= 8 and most_within(back, 10 * SECOND) <= lost / 3


def test_a_first_that_stays_away_is_tried_less_and_less_often_beside_one_that_answers() -> None:
    fleet = Fleet(100, RELAYS[:4], step=3 * SECOND)
    fleet.up = dead(RELAYS[0], 10 * SECOND)
    fleet.run(3600 * SECOND)
    assert not fleet.at()[RELAYS[0]]
    for at, homes in enumerate(fleet.homes):
        if homes.order[0] == RELAYS[0]:
            assert 1 + 2 * 7 <= fleet.moves[at] <= 1 + 2 * 28 and homes.at == homes.order[1]
        else:
            assert not fleet.moves[at]
    # A try in vain costs the one followed nothing: it is called again at once.
    homes = Homes("n", RELAYS, lambda: 0.0)
    homes.failed(SECOND)
    second = homes.at
    assert homes.answered(100 * SECOND, 2, 0) and homes.at == homes.order[0]
    assert homes.failed(101 * SECOND) == 0 and homes.at == second and not homes.failures


@pytest.mark.parametrize("relays", [RELAYS[:1], RELAYS[:2], RELAYS])
def test_while_no_relay_answers_dials_are_few_and_all_are_back_within_bounds(relays: list[str]) -> None:
    fleet = Fleet(300, relays)
    up = 120 * SECOND
    fleet.up = lambda now, relay: not 10 * SECOND <= now < up
    fleet.run(up)
    late = [when for when, _ in fleet.arrivals if when > 40 * SECOND]
    assert len(late) <= 300 * 80 / 2 * 1.1, "half of the longest wait at least"
    assert most_within(late, SECOND // 10) <= 300 * 0.1
    fleet.run(up + LONGEST_US + SECOND)
    assert not any(homes.failures for homes in fleet.homes)
    fleet.arrivals.clear()
    fleet.run(400 * SECOND)
    assert all(homes.place == 0 for homes in fleet.homes)


def test_the_wait_doubles_with_each_failure_in_a_row_and_an_answer_ends_that() -> None:
    for share, waits in ((0.0, [0, 0.5, 1, 2, 2, 2]), (1.0, [0.5, 1, 2, 4, 4, 4])):
        homes = Homes("n", RELAYS[:3], lambda share=share: share)  # type: ignore[misc]
        assert [homes.failed(SECOND) for _ in waits] == [int(wait * SECOND) for wait in waits]
        assert homes.at == homes.order[0], "a ring"
        homes.answered(SECOND, 1, 0)
        assert homes.failed(SECOND) == int(waits[0] * SECOND)
    for _ in range(10_000):
        assert homes.failed(SECOND) <= LONGEST_US


def test_a_round_of_relays_that_are_not_there_is_quick_and_the_next_round_is_not() -> None:
    homes = Homes("n", RELAYS[:5], lambda: 1.0)
    waits = [homes.failed(SECOND)] + [homes.failed(SECOND, absent=True) for _ in range(6)]
    assert waits == [FIRST_US] * 5 + [2 * FIRST_US, 4 * FIRST_US]
    homes.answered(SECOND, 1, 0)
    # One that is there and turns calls away is spared all the same.
    assert [homes.failed(SECOND, absent) for absent in (True, True, False, True, False)] == [
        FIRST_US,
        FIRST_US,
        2 * FIRST_US,
        FIRST_US,
        4 * FIRST_US,
    ]
    # A third of the relays lost at one moment, machines and all: each dial in vain takes half a second.
    late = []
    for at in range(2000):
        homes = Homes(f"n{at}", RELAYS, random.Random(at).random)
        now = 0
        while homes.at in RELAYS[:7]:
            now += SECOND // 2 if now else 0
            now += homes.failed(now, now > 0)
        late.append(now)
    late.sort()
    assert late[-1] <= 5 * SECOND and late[1980] <= 2.5 * SECOND


def test_a_region_out_of_touch_here_alone_is_looked_for_elsewhere() -> None:
    fleet = Fleet(200, RELAYS[:4])
    cut = RELAYS[0]
    fleet.live = lambda now, relay: (1, 1) if relay == cut and now > 10 * SECOND else (2, 0)
    fleet.run(14 * SECOND)
    assert not fleet.moves, "not before 5 s of that on end"
    fleet.run(22 * SECOND)
    assert not fleet.at()[cut] and set(fleet.moves.values()) == {1}
    leaving = [when for when, _ in fleet.arrivals]
    assert most_within(leaving, SECOND) <= len(leaving) / 2, "not all at one moment"
    fleet.run(600 * SECOND)
    # Home is looked at now and then; one that has fewer is left at once.
    assert not fleet.at()[cut] and max(fleet.moves.values()) <= 1 + 2 * 8
    fleet.live = lambda now, relay: (2, 0)
    fleet.run(1200 * SECOND)
    assert all(homes.place == 0 for homes in fleet.homes)


def test_a_relay_that_hears_nothing_at_all_is_left_at_once_and_where_none_does_ever_more_rarely() -> None:
    homes = Homes("n0", ["a:1", "b:1", "c:1"], lambda: 0.5)
    first = homes.at
    assert homes.answered(0, 0, 2) and homes.at != first, "where all regions are out of touch"
    assert not homes.answered(1_000, 2, 0), "one that is in touch is stayed at"
    homes = Homes("n0", ["a:1", "b:1", "c:1"], lambda: 0.5)
    looks = [now for now in range(0, 3_600_000_000, 1_000_000) if homes.answered(now, 0, 2)]
    assert looks[0] == 0 and looks[1] <= 3_000_000
    # From half to all of 15 s in the end: what a whole list costs each time is bounded.
    last = [after - before for before, after in zip(looks, looks[1:])][-20:]
    assert min(last) > 7_000_000 and max(last) <= 16_000_000, last
    homes = Homes("n0", ["a:1", "b:1"], lambda: 0.5)
    assert not homes.answered(0, 1, 1), "one region that is out of touch may be so everywhere"


def test_a_relay_that_loses_one_region_after_the_other_is_left_as_soon_as_it_hears_nothing() -> None:
    homes = Homes("n0", ["a:1", "b:1", "c:1"], lambda: 0.5)
    first = homes.at
    assert not homes.answered(0, 2, 0)
    assert not homes.answered(SECOND, 1, 1), "one region may be out everywhere: looked for in its time"
    assert homes.answered(2 * SECOND, 0, 2) and homes.at != first
    # Where no other is better the next look is not earlier for that.
    homes.answered(3 * SECOND, 0, 2)
    looks = [at for at in range(3, 60) if homes.answered(at * SECOND, 0, 2)]
    assert 0 < len(looks) < 20, looks


def test_where_a_region_is_cut_off_from_all_relays_nobody_goes_to_and_fro() -> None:
    fleet = Fleet(200, RELAYS, step=3 * SECOND)
    fleet.live = lambda now, relay: (9, 1) if now > 10 * SECOND else (10, 0)
    fleet.run(3610 * SECOND)
    assert max(fleet.moves.values()) <= 50, "in an hour"
    # Whoever looks about arrives in ones and twos: 200 sidecars at 20 relays, after the first round.
    late = [when for when, _ in fleet.arrivals if when > 120 * SECOND]
    assert most_within(late, SECOND // 10) <= 12
    held = fleet.at()
    assert max(held.values()) <= 40, held
    fleet.live = lambda now, relay: (10, 0)
    fleet.run(4000 * SECOND)
    assert all(homes.place == 0 for homes in fleet.homes)


def test_one_that_has_fewer_regions_is_left_and_the_next_look_goes_elsewhere() -> None:
    homes = Homes("n", RELAYS[:4], lambda: 1.0)
    seen, now = [], 0
    while len(seen) < 3:
        now += SECOND
        if homes.answered(now, 9, 1):
            seen.append(homes.order.index(homes.at))
            assert homes.answered(now, 8, 2) and homes.place == 0, "back at once"
    assert seen == [1, 2, 3]
    assert homes.why == "fewer regions in touch"


def test_there_is_at_least_one_relay() -> None:
    with pytest.raises(ValueError):
        Homes("n", [], lambda: 0.5)
