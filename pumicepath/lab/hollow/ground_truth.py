"""The truth of a run: each change of each server, with the time at which its origin had it.

    truth = Truth(plan, region, chance); truth.draw() -> Change     (an origin makes changes)
    for change in Tail(path).read(): ...                            (everybody else reads of them)

A file of the run's folder holds one JSON line a change: [time, server, state, health, born].  Time is the
machine's monotonic clock in whole microseconds, one clock for all processes of a run.  A line is written
before anybody is told of the change, so who has seen a change somewhere finds it there.
"""

from __future__ import annotations

import os
import random
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

import orjson

from .plan import Plan

ACTIVE, LEAVING, LEFT = "active", "leaving", "left"
CONTINUE_PROBABILITY = 0.25  # chance that a change goes on with a server that leaves, or one that has left


def now_us() -> int:
    return time.monotonic_ns() // 1000


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


class Change(NamedTuple):
    """The state of a server from a time on; `state` counts its changes."""

    at: int
    server: int
    state: int
    health: str
    started_at_ms: int  # unix ms, 0: long ago


def ledger_path(folder: Path, region: int) -> Path:
    return folder / f"truth-{region}.jsonl"


class GroundTruth:
    """What one origin's servers are, and the changes that it makes to them."""

    def __init__(self, plan: Plan, servers: Iterable[int], seed: str) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.states = {server: Change(0, server, 0, ACTIVE, 0) for server in servers}
        self.servers = sorted(self.states)
        self.leaving: list[int] = []
        self.left: list[int] = []

    def apply(self, change: Change) -> None:
        """A change of an earlier life of this origin, or one that it makes now."""
        self.states[change.server] = change
        for where, health in ((self.leaving, LEAVING), (self.left, LEFT)):
            if change.server in where:
                where.remove(change.server)
            if change.health == health:
                where.append(change.server)

    def next_change(self, at: int, server: int, health: str, born: int) -> Change:
        before = self.states[server]
        return Change(at, server, before.state + 1, health, born or before.started_at_ms)

    def draw_change(self, at: int) -> Change:
        """One change: a server drains, goes, comes back as a new process, or has another share."""
        if self.left and self.rng.random() < CONTINUE_PROBABILITY:
            return self.next_change(at, self.left[0], ACTIVE, unix_ms())
        if self.leaving and self.rng.random() < CONTINUE_PROBABILITY:
            return self.next_change(at, self.leaving[0], LEFT, 0)
        server = self.rng.choice(self.servers)
        health = self.states[server].health
        if health == LEFT:
            return self.next_change(at, server, ACTIVE, unix_ms())
        if health == LEAVING:
            return self.next_change(at, server, LEAVING, 0)  # another share of one that drains
        drains = self.rng.random() < 0.5 and len(self.leaving) < max(1, len(self.servers) // 10)
        return self.next_change(at, server, LEAVING if drains else ACTIVE, 0)


class LedgerWriter:
    """Where an origin writes its changes down."""

    def __init__(self, path: Path) -> None:
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def write(self, changes: Iterable[Change]) -> None:
        os.write(self.file, b"".join(orjson.dumps(list(change)) + b"\n" for change in changes))


class LedgerReader:
    """Reads on in a ledger; whole lines only."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.file = -1
        self.offset = 0

    def read(self) -> list[Change]:
        if self.file < 0:
            try:
                self.file = os.open(self.path, os.O_RDONLY)
            except FileNotFoundError:
                return []
        found: list[Change] = []
        while data := os.pread(self.file, 1 << 20, self.offset):
            end = data.rfind(b"\n") + 1
            if not end:
                break
            self.offset += end
            found += [Change(*orjson.loads(line)) for line in data[:end].splitlines()]
        return found


def ledgers_reader(folder: Path, origins: int) -> Callable[[], list[Change]]:
    """All that the origins have written since the last call."""
    tails = [LedgerReader(ledger_path(folder, region)) for region in range(origins)]
    return lambda: [change for tail in tails for change in tail.read()]
