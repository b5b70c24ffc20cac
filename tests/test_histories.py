"""Random histories of regions and relays: a sidecar's list never goes back, and ends in the truth."""

from __future__ import annotations

import random
from collections import Counter
from types import SimpleNamespace
from typing import Any

from pumicepath.discovery.server_list import BadList
from pumicepath.distribution.origins import LIVE_TIMEOUT_US

from .test_never_back import SECOND, Clock, line, make_watch, relay_answer, request_target

LAG = (
    LIVE_TIMEOUT_US + SECOND // 4
)  # of a relay that says it is in touch: its word's age, and a turn of its loop
STATE = frozenset[tuple[str, str, str, int]]


class Origin:
    """A region's discovery: every state of each of its lives."""

    def __init__(self, region: str, chance: random.Random) -> None:
        self.region, self.chance = region, chance
        self.life, self.seq, self.changes = 0, chance.randrange(50), 0
        self.lines: dict[str, dict] = {}
        self.past: list[tuple[int, int, int, dict[str, dict]]] = []  # since when, life, seq, lines
        self.states: dict[STATE, list[tuple[int, int]]] = {}

    def change(self, now: int) -> None:
        name = f"{self.region}{self.chance.randrange(6)}"
        self.changes += 1
        if name in self.lines and self.chance.random() < 0.3:
            del self.lines[name]
        else:
            health = self.chance.choice(["active", "leaving"])
            self.lines[name] = line(name, self.region, health, block=self.changes)
        self.seq += 1
        self.note(now)

    def restart(self, now: int) -> None:
        """Its versions begin anew; its servers are the same."""
        self.life += 1
        self.seq = self.chance.randrange(1, 4)
        self.note(now)

    def note(self, now: int) -> None:
        self.past.append((now, self.life, self.seq, dict(self.lines)))
        self.states.setdefault(state(self.lines.values()), []).append((self.life, self.seq))

    def at(self, now: int) -> tuple[int, int, int, dict[str, dict]]:
        return next((one for one in reversed(self.past) if one[0] <= now), self.past[0])


def state(lines: Any) -> STATE:
    return frozenset((one["host"], one["health"], one["region"], one["block"]) for one in lines)


class Relay:
    """What the other side does: a log of changes of its own, each region as of some moment."""

    def __init__(self, origins: list[Origin], chance: random.Random) -> None:
        self.origins, self.chance = origins, chance
        self.start(0)

    def start(self, now: int) -> None:
        self.seq = now * 1000 + self.chance.randrange(1000)
        self.first = self.seq
        self.held: dict[str, dict[str, dict]] = {}
        self.told: dict[str, tuple[int, bool]] = {}
        self.log: list[tuple[int, dict]] = []
        self.lag = 0
        self.as_of: dict[str, int] = {}
        self.cut: set[str] = set()

    def look(self, now: int) -> None:
        for origin in self.origins:
            region = origin.region
            if region in self.cut:
                if region in self.told and self.told[region][1]:
                    self.told[region] = self.told[region][0], False
                    self.seq += 1
                continue
            self.as_of[region] = as_of = max(now - self.lag, self.as_of.get(region, 0))
            _, life, seq, lines = origin.at(as_of)
            before = self.held.get(region, {})
            changed = [one for name, one in lines.items() if before.get(name) != one]
            changed += [{**one, "health": "left"} for name, one in before.items() if name not in lines]
            if changed or self.told.get(region) != (seq, True):
                self.seq += 1
                self.log += [(self.seq, one) for one in changed]
            self.held[region], self.told[region] = lines, (seq, True)
        if len(self.log) > 40:
            self.first = self.log[20][0]
            del self.log[:20]

    def answer(self, question: str) -> Any:
        if not self.told:
            return SimpleNamespace(status=503, body=b"")
        since = int(question.partition("since=")[2].partition("&")[0] or -1)
        if not self.first <= since <= self.seq:
            lines = [one for held in self.held.values() for one in held.values()]
            return relay_answer(self.seq, self.told, *lines, whole=True)
        news = {one["host"]: one for seq, one in self.log if seq > since}
        return relay_answer(self.seq, self.told, *news.values())


class History:
    """One sidecar's watch among relays that lag, lose touch, restart and are left: what it holds."""

    def __init__(self, seed: int) -> None:
        self.chance = chance = random.Random(seed)
        self.clock = Clock()
        self.origins = [Origin(region, chance) for region in ("eu", "us", "asia")[: chance.choice((2, 3))]]
        self.clock.now = 100 * SECOND
        for origin in self.origins:
            for _ in range(5):
                origin.change(0)
        self.relays = [Relay(self.origins, chance) for _ in range(3)]
        self.watch = make_watch(clock=self.clock)
        self.at = 0
        self.seen: dict[str, tuple[int, int]] = {}
        self.counts = Counter[str]()

    def call(self) -> None:
        relay = self.relays[self.at]
        held = dict(self.watch.server_list.lines)
        try:
            update = self.watch.handle_response(relay.answer(request_target(self.watch)))
        except BadList:
            self.counts["refused"] += 1
            self.move()
            return
        # The balancer, which is told only this, has to hold the same.
        names = {name for name in held if not update.whole} | {entry.name for entry in update.entries}
        gone = {entry.name for entry in update.entries if entry.state == 0}
        assert names - gone == set(self.watch.server_list.lines)
        self.counts["whole" if update.whole else "changes"] += 1
        self.check()

    def check(self) -> None:
        for origin in self.origins:
            lines = state(
                one for one in self.watch.server_list.lines.values() if one["region"] == origin.region
            )
            if not lines and origin.region not in self.seen:
                continue
            versions = origin.states.get(lines)
            assert versions, f"{origin.region} never was so: {sorted(lines)}"
            life, seq = self.seen.get(origin.region, (-1, 0))
            same = [version for version in versions if version[0] == life]
            if same and max(same)[1] < seq:
                same = []
                assert any(version[0] != life for version in versions), (
                    f"{origin.region} went back from {life}, {seq} to {versions}"
                )
            # A state that was twice is taken for the earlier one, so that what follows is judged rightly.
            later = [version for version in same if version[1] >= seq]
            other = [version for version in versions if version[0] != life]
            self.seen[origin.region] = (
                min(later) if later else min(version for version in other if version[0] == max(other)[0])
            )

    def move(self) -> None:
        self.at = (self.at + 1) % len(self.relays)
        self.watch.switch_to(f"r{self.at}:1")
        self.counts["moves"] += 1

    def trouble(self, restarts: bool) -> None:
        chance, relay = self.chance, self.chance.choice(self.relays)
        what = chance.choice(("lag", "lag", "cut", "cut", "heal", "move", "relay", "restart"))
        if what == "lag":
            relay.lag = chance.randrange(LAG)
        elif what == "cut":
            relay.cut.add(chance.choice(self.origins).region)
        elif what == "heal":
            relay.cut.clear()
        elif what == "move":
            self.move()
        elif what == "relay":
            relay.start(self.clock.now)
            if relay is self.relays[self.at] and chance.random() < 0.5:
                self.move()
        elif restarts and chance.random() < 0.3 and self.clock.now > self.calm_until:
            # All relays come to know of it before it happens again.
            chance.choice(self.origins).restart(self.clock.now)
            self.calm_until = self.clock.now + 30 * SECOND
        self.counts[what] += 1

    def run(self, steps: int, restarts: bool) -> None:
        self.calm_until = 0
        for _ in range(steps):
            self.clock.now += self.chance.randrange(SECOND)
            if self.chance.random() < 0.5:
                self.chance.choice(self.origins).change(self.clock.now)
            if self.chance.random() < 0.2:
                self.trouble(restarts)
            for relay in self.relays:
                if self.chance.random() < 0.5:
                    relay.look(self.clock.now)
            if self.chance.random() < 0.5:
                self.call()

    def heal(self, within: int) -> None:
        """Everything is in touch: all that is true is held, at one relay or another."""
        end = self.clock.now + within
        for relay in self.relays:
            relay.cut.clear()
            relay.lag = 0
        while self.clock.now < end:
            for relay in self.relays:
                relay.look(self.clock.now)
            self.call()
            self.clock.now += 1_500_000
        for origin in self.origins:
            mine = state(
                one for one in self.watch.server_list.lines.values() if one["region"] == origin.region
            )
            assert mine == state(origin.lines.values()), origin.region


def test_random_histories_never_go_back_and_all_is_in_force_once_they_are_healed() -> None:
    counts = Counter[str]()
    for seed in range(60):
        history = History(seed)
        history.run(200, restarts=False)
        history.heal(6 * SECOND)
        counts += history.counts
    for what in ("refused", "whole", "changes", "moves", "lag", "cut", "relay"):
        assert counts[what] > 20, counts


def test_random_histories_with_origins_that_begin_anew_end_in_the_truth() -> None:
    for seed in range(60):
        history = History(1000 + seed)
        history.run(200, restarts=True)
        history.heal(8 * SECOND)
