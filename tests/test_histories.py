"""Random histories of regions and relays: a sidecar's list never goes back and ends up correct."""

from __future__ import annotations

import random
from collections import Counter
from types import SimpleNamespace
from typing import Any

from pumicepath.discovery.server_list import BadList
from pumicepath.distribution.origins import LIVE_TIMEOUT_US

from .test_never_back import SECOND, Clock, line, make_watch, relay_answer, request_target

# Of a relay that reports a connected origin: the age of its report, and one turn of its loop.
MAX_DELAY = LIVE_TIMEOUT_US + SECOND // 4
STATE = frozenset[tuple[str, str, str, int]]


class Origin:
    """The discovery of one region, with every state it had since each of its starts."""

    def __init__(self, region: str, rng: random.Random) -> None:
        self.region, self.rng = region, rng
        self.instance, self.seq, self.changes = 0, rng.randrange(50), 0
        self.lines: dict[str, dict] = {}
        self.past: list[tuple[int, int, int, dict[str, dict]]] = []  # (start time, instance, seq, lines)
        self.states: dict[STATE, list[tuple[int, int]]] = {}

    def change(self, now: int) -> None:
        name = f"{self.region}{self.rng.randrange(6)}"
        self.changes += 1
        if name in self.lines and self.rng.random() < 0.3:
            del self.lines[name]
        else:
            health = self.rng.choice(["active", "leaving"])
            self.lines[name] = line(name, self.region, health, block=self.changes)
        self.seq += 1
        self.record(now)

    def restart(self, now: int) -> None:
        """Restarts the origin: its versions start again, its servers stay the same."""
        self.instance += 1
        self.seq = self.rng.randrange(1, 4)
        self.record(now)

    def record(self, now: int) -> None:
        self.past.append((now, self.instance, self.seq, dict(self.lines)))
        self.states.setdefault(state(self.lines.values()), []).append((self.instance, self.seq))

    def at(self, now: int) -> tuple[int, int, int, dict[str, dict]]:
        return next((past for past in reversed(self.past) if past[0] <= now), self.past[0])


def state(lines: Any) -> STATE:
    return frozenset((line["host"], line["health"], line["region"], line["block"]) for line in lines)


class Relay:
    """A simulated relay: its own log of changes, with each region as of some earlier time."""

    def __init__(self, origins: list[Origin], rng: random.Random) -> None:
        self.origins, self.rng = origins, rng
        self.start(0)

    def start(self, now: int) -> None:
        self.seq = now * 1000 + self.rng.randrange(1000)
        self.first = self.seq
        self.held: dict[str, dict[str, dict]] = {}
        self.reported: dict[str, tuple[int, bool]] = {}
        self.log: list[tuple[int, dict]] = []
        self.delay = 0
        self.as_of: dict[str, int] = {}
        self.cut: set[str] = set()

    def poll_origins(self, now: int) -> None:
        for origin in self.origins:
            region = origin.region
            if region in self.cut:
                if region in self.reported and self.reported[region][1]:
                    self.reported[region] = self.reported[region][0], False
                    self.seq += 1
                continue
            self.as_of[region] = as_of = max(now - self.delay, self.as_of.get(region, 0))
            _, _, seq, lines = origin.at(as_of)
            before = self.held.get(region, {})
            changed = [line for name, line in lines.items() if before.get(name) != line]
            changed += [{**line, "health": "left"} for name, line in before.items() if name not in lines]
            if changed or self.reported.get(region) != (seq, True):
                self.seq += 1
                self.log += [(self.seq, line) for line in changed]
            self.held[region], self.reported[region] = lines, (seq, True)
        if len(self.log) > 40:
            self.first = self.log[20][0]
            del self.log[:20]

    def answer(self, question: str) -> Any:
        if not self.reported:
            return SimpleNamespace(status=503, body=b"")
        since = int(question.partition("since=")[2].partition("&")[0] or -1)
        if not self.first <= since <= self.seq:
            lines = [line for held in self.held.values() for line in held.values()]
            return relay_answer(self.seq, self.reported, *lines, whole=True)
        updates = {line["host"]: line for seq, line in self.log if seq > since}
        return relay_answer(self.seq, self.reported, *updates.values())


class History:
    """The list of one sidecar whose relays are delayed, lose their origins, restart and are exchanged."""

    def __init__(self, seed: int) -> None:
        self.rng = rng = random.Random(seed)
        self.clock = Clock()
        self.origins = [Origin(region, rng) for region in ("eu", "us", "asia")[: rng.choice((2, 3))]]
        self.clock.now = 100 * SECOND
        for origin in self.origins:
            for _ in range(5):
                origin.change(0)
        self.relays = [Relay(self.origins, rng) for _ in range(3)]
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
        # The balancer, which receives only this update, has to hold the same servers.
        names = {name for name in held if not update.whole} | {entry.name for entry in update.entries}
        gone = {entry.name for entry in update.entries if entry.state == 0}
        assert names - gone == set(self.watch.server_list.lines)
        self.counts["whole" if update.whole else "changes"] += 1
        self.check()

    def check(self) -> None:
        for origin in self.origins:
            lines = state(
                line for line in self.watch.server_list.lines.values() if line["region"] == origin.region
            )
            if not lines and origin.region not in self.seen:
                continue
            versions = origin.states.get(lines)
            assert versions, f"{origin.region} never had this state: {sorted(lines)}"
            instance, seq = self.seen.get(origin.region, (-1, 0))
            same = [version for version in versions if version[0] == instance]
            if same and max(same)[1] < seq:
                same = []
                assert any(version[0] != instance for version in versions), (
                    f"{origin.region} went back from {instance}, {seq} to {versions}"
                )
            # A state that occurred twice counts as the earlier one, so that later states are not rejected.
            later = [version for version in same if version[1] >= seq]
            other = [version for version in versions if version[0] != instance]
            self.seen[origin.region] = (
                min(later) if later else min(version for version in other if version[0] == max(other)[0])
            )

    def move(self) -> None:
        self.at = (self.at + 1) % len(self.relays)
        self.watch.switch_to(f"r{self.at}:1")
        self.counts["moves"] += 1

    def inject_fault(self, restarts: bool) -> None:
        rng, relay = self.rng, self.rng.choice(self.relays)
        fault = rng.choice(("lag", "lag", "cut", "cut", "heal", "move", "relay", "restart"))
        if fault == "lag":
            relay.delay = rng.randrange(MAX_DELAY)
        elif fault == "cut":
            relay.cut.add(rng.choice(self.origins).region)
        elif fault == "heal":
            relay.cut.clear()
        elif fault == "move":
            self.move()
        elif fault == "relay":
            relay.start(self.clock.now)
            if relay is self.relays[self.at] and rng.random() < 0.5:
                self.move()
        elif restarts and rng.random() < 0.3 and self.clock.now > self.next_restart_at:
            # All relays learn of the restart before the next one.
            rng.choice(self.origins).restart(self.clock.now)
            self.next_restart_at = self.clock.now + 30 * SECOND
        self.counts[fault] += 1

    def run(self, steps: int, restarts: bool) -> None:
        self.next_restart_at = 0
        for _ in range(steps):
            self.clock.now += self.rng.randrange(SECOND)
            if self.rng.random() < 0.5:
                self.rng.choice(self.origins).change(self.clock.now)
            if self.rng.random() < 0.2:
                self.inject_fault(restarts)
            for relay in self.relays:
                if self.rng.random() < 0.5:
                    relay.poll_origins(self.clock.now)
            if self.rng.random() < 0.5:
                self.call()

    def heal(self, within: int) -> None:
        """Ends all faults; the sidecar then has to hold the current lists, whichever relay it uses."""
        end = self.clock.now + within
        for relay in self.relays:
            relay.cut.clear()
            relay.delay = 0
        while self.clock.now < end:
            for relay in self.relays:
                relay.poll_origins(self.clock.now)
            self.call()
            self.clock.now += 1_500_000
        for origin in self.origins:
            held = state(
                line for line in self.watch.server_list.lines.values() if line["region"] == origin.region
            )
            assert held == state(origin.lines.values()), origin.region


def test_random_histories_never_go_back_and_all_updates_are_applied_once_faults_end() -> None:
    counts = Counter[str]()
    for seed in range(60):
        history = History(seed)
        history.run(200, restarts=False)
        history.heal(6 * SECOND)
        counts += history.counts
    for name in ("refused", "whole", "changes", "moves", "lag", "cut", "relay"):
        assert counts[name] > 20, counts


def test_random_histories_with_restarted_origins_end_with_correct_lists() -> None:
    for seed in range(60):
        history = History(1000 + seed)
        history.run(200, restarts=True)
        history.heal(8 * SECOND)
