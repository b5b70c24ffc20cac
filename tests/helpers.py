"""A scripted balancer and a trace of what it decided."""

from __future__ import annotations

import heapq
import signal
import socket
from pathlib import Path

from pumicepath.interface import Effect, Entry, Group, Listing, Outcome, Phase, Settings, Tariff
from pumicepath.logic import Balancer, Submission

socket.setdefaulttimeout(20)  # what should come and does not must fail a test, not hold it up
TRACES = Path(__file__).parent / "traces"
SECOND = 1_000_000
READ = Tariff(600_000, 2_500_000, 3.0, 0.0, Effect.IDEMPOTENT, Group.ALL, 0)
ONCE = Tariff(600_000, 1_500_000, 5.0, 0.0, Effect.UNREPEATABLE, Group.ALL, 0)


def marked(group: Group) -> Tariff:
    return Tariff(1_000_000, 5_000_000, 3.0, 0.2, Effect.DEDUPLICATED, group, 2 * SECOND)


def settings(*tariffs: Tariff, **changed: object) -> Settings:
    values: dict = {
        "me": 0,
        "fleet": 3,
        "zone": 0,
        "tariffs": tariffs or (READ, ONCE),
        "crossing_price": 0.0,
        "must_ask": False,
        "ask_every": 10 * SECOND,
        "most_hops": 4,
        "most_retry_in": 2 * SECOND,
        "cold_from": 0.2,
        "cold_for": 20 * SECOND,
        "fall_multiple": 2.5,
        "fall_window": 3 * SECOND,
    }
    return Settings(**{**values, **changed})


def entry(server: int, zone: int = 0, cell: int = 0, phase: Phase = Phase.READY, came_up: int = 0) -> Entry:
    return Entry(server, zone, cell, phase, 1.0, came_up)


class Bench:
    """An outlet that notes every decision; `at` moves the clock and delivers the wakes that are due."""

    def __init__(self, given: Settings, servers: list[Entry], seed: int = 7) -> None:
        self.given, self.servers = given, servers
        self.now = 0
        self.lines: list[str] = []
        self.wakes: list[tuple[int, int, object]] = []
        self.sent: list[int] = []
        self.balancer = Balancer(given, seed, self)
        self.balancer.listed(0, Listing.CACHED, servers)

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now / SECOND:8.3f}  {text}")

    def send(self, submission: int, server: int, timeout: int) -> None:
        self.sent.append(server)
        self.note(f"submission {submission}: hop to {server}")

    def defer(self, submission: int, retry_in: int) -> None:
        self.note(f"submission {submission}: deferred")

    def forfeit(self, submission: int) -> None:
        self.note(f"submission {submission}: forfeited")

    def cancel(self, submission: int, hop: int) -> None:
        self.note(f"submission {submission}: hop {hop} cancelled")

    def probe(self, server: int) -> None:
        self.note(f"probe of {server}")

    def tell(self, peer: int, data: bytes) -> None:
        self.note(f"tells {peer}: {data.hex()}")

    def free_links(self, server: int) -> None:
        self.note(f"connections to {server} freed")

    def follow(self) -> None:
        self.note("asks to follow the list")

    def wake(self, at: int, whom: object) -> None:
        heapq.heappush(self.wakes, (at, len(self.wakes), whom))

    def log(self, text: str) -> None:
        self.note(f"log: {text}")

    def at(self, seconds: float) -> Bench:
        until = int(seconds * SECOND)
        while self.wakes and self.wakes[0][0] <= until:
            self.now, _, whom = heapq.heappop(self.wakes)
            whom.woke(self.now)
        self.now = until
        return self

    def take(
        self, name: int, key: int = 1, tariff: int = 0, patience: float = 2.0, retry: bool = False
    ) -> Submission:
        return self.balancer.take(self.now, name, tariff, key, retry, self.now + int(patience * SECOND))

    def end(self, one: Submission, outcome: Outcome, hop: int = -1) -> None:
        """One hop, the last unless named, ends; only a success finishes the submission."""
        if not one.hops:
            return
        number = hop % len(one.hops)
        one.ended(self.now, number, outcome, self.now - one.hops[number].at, outcome == Outcome.OK)

    def alike(self, key: int, count: int) -> list[int]:
        """Keys that go where the key goes, so that none of them is popular."""
        fresh = Bench(self.given, self.servers)
        for other in range(1, 100 * count):
            fresh.end(fresh.at(other).take(other, other), Outcome.OK)
        return [other + 1 for other, server in enumerate(fresh.sent) if server == fresh.sent[key - 1]][:count]

    def quick(self, first: int, count: int, key: int, outcome: Outcome, every: float = 0.1) -> None:
        """Submissions one after the other, each ended 10 ms after its first hop, later hops answered."""
        start = self.now / SECOND
        for step in range(count):
            one = self.at(start + step * every).take(first + step, key)
            self.at(start + step * every + 0.01).end(one, outcome)
            if not one.over():
                self.end(one, Outcome.OK)


def interruptible() -> None:
    """For a child that is to be interrupted: who runs the tests may ignore SIGINT, as background jobs do."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)


def check(name: str, bench: Bench, *more: str) -> None:
    compare(name, [*bench.lines, *more])


def compare(name: str, lines: list[str]) -> None:
    """The trace must be the one kept in the repository."""
    got = "\n".join(lines) + "\n"
    kept = TRACES / f"{name}.txt"
    assert got == (kept.read_text() if kept.exists() else ""), got
