"""The ground truth of a run: each change of each server, with the time at which its origin made it.

    truth = GroundTruth(plan, servers, seed); truth.draw_change(at) -> Change     (an origin makes changes)
    for change in LedgerReader(path).read(): ...                                  (other processes read them)

Each origin has a ledger file in the run's folder with one JSON line per change: [time, server, state, health,
start time].  Time is the machine's monotonic clock in whole microseconds, which all processes of a run share.
A line is written before the change is sent to anyone, so a change that is visible anywhere is in a ledger.
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
CONTINUE_PROBABILITY = 0.25  # that a change continues with a server that is leaving, or has left


def now_us() -> int:
    """The machine's monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


def unix_ms() -> int:
    """The wall clock in Unix milliseconds."""
    return time.time_ns() // 1_000_000


class Change(NamedTuple):
    """The state of a server from the time `at` on; `state` counts the server's changes."""

    at: int
    server: int
    state: int
    health: str
    started_at_ms: int  # Unix ms; 0: long ago


def ledger_path(folder: Path, region: int) -> Path:
    """The file with the changes of a region's origin."""
    return folder / f"truth-{region}.jsonl"


class GroundTruth:
    """The state of one origin's servers, and the random changes that the origin makes to them."""

    def __init__(self, plan: Plan, servers: Iterable[int], seed: str) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.states = {server: Change(0, server, 0, ACTIVE, 0) for server in servers}
        self.servers = sorted(self.states)
        self.leaving: list[int] = []
        self.left: list[int] = []

    def apply(self, change: Change) -> None:
        """Apply a change that the origin makes now, or made before it was restarted."""
        self.states[change.server] = change
        for servers, health in ((self.leaving, LEAVING), (self.left, LEFT)):
            if change.server in servers:
                servers.remove(change.server)
            if change.health == health:
                servers.append(change.server)

    def next_change(self, at: int, server: int, health: str, started_at_ms: int) -> Change:
        previous = self.states[server]
        return Change(at, server, previous.state + 1, health, started_at_ms or previous.started_at_ms)

    def draw_change(self, at: int) -> Change:
        """Draw a change: a server drains, leaves, comes back as a new process, or gets another share."""
        if self.left and self.rng.random() < CONTINUE_PROBABILITY:
            return self.next_change(at, self.left[0], ACTIVE, unix_ms())
        if self.leaving and self.rng.random() < CONTINUE_PROBABILITY:
            return self.next_change(at, self.leaving[0], LEFT, 0)
        server = self.rng.choice(self.servers)
        health = self.states[server].health
        if health == LEFT:
            return self.next_change(at, server, ACTIVE, unix_ms())
        if health == LEAVING:
            return self.next_change(at, server, LEAVING, 0)  # another share for a draining server
        drains = self.rng.random() < 0.5 and len(self.leaving) < max(1, len(self.servers) // 10)
        return self.next_change(at, server, LEAVING if drains else ACTIVE, 0)


class LedgerWriter:
    """Appends an origin's changes to its ledger."""

    def __init__(self, path: Path) -> None:
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644)

    def write(self, changes: Iterable[Change]) -> None:
        os.write(self.file, b"".join(orjson.dumps(list(change)) + b"\n" for change in changes))


class LedgerReader:
    """Reads the lines added to a ledger since the last read; an incomplete last line waits for the next."""

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
        changes: list[Change] = []
        while data := os.pread(self.file, 1 << 20, self.offset):
            end = data.rfind(b"\n") + 1
            if not end:
                break
            self.offset += end
            changes += [Change(*orjson.loads(line)) for line in data[:end].splitlines()]
        return changes


def ledgers_reader(folder: Path, origins: int) -> Callable[[], list[Change]]:
    """Return a function that returns all changes written by the origins since its last call."""
    readers = [LedgerReader(ledger_path(folder, region)) for region in range(origins)]
    return lambda: [change for reader in readers for change in reader.read()]
