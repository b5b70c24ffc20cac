"""A scripted balancer and a trace of what it decided."""

from __future__ import annotations

import heapq
import signal
import socket
from pathlib import Path

from pumicepath.balancer import Balancer, Submission
from pumicepath.interface import (
    DedupGroup,
    Effect,
    ListKind,
    Outcome,
    RequestClass,
    ServerEntry,
    ServerState,
    Settings,
)

socket.setdefaulttimeout(20)  # what should come and does not must fail a test, not hold it up
TRACES = Path(__file__).parent / "traces"
SECOND = 1_000_000
READ_CLASS = RequestClass(600_000, 2_500_000, 3.0, 0.0, Effect.IDEMPOTENT, DedupGroup.ALL, 0)
ONCE_CLASS = RequestClass(600_000, 1_500_000, 5.0, 0.0, Effect.NON_IDEMPOTENT, DedupGroup.ALL, 0)


def deduplicated_class(group: DedupGroup) -> RequestClass:
    return RequestClass(1_000_000, 5_000_000, 3.0, 0.2, Effect.DEDUPLICATED, group, 2 * SECOND)


def make_settings(*tariffs: RequestClass, **changed: object) -> Settings:
    values: dict = {
        "me": 0,
        "fleet": 3,
        "zone": 0,
        "tariffs": tariffs or (READ_CLASS, ONCE_CLASS),
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


def make_entry(
    server: int, zone: int = 0, cell: int = 0, state: ServerState = ServerState.READY, started_at: int = 0
) -> ServerEntry:
    return ServerEntry(server, zone, cell, state, 1.0, started_at)


class ScriptedHost:
    """An outlet that notes every decision; `at` moves the clock and delivers the wakes that are due."""

    def __init__(self, given: Settings, servers: list[ServerEntry], seed: int = 7) -> None:
        self.initial_settings, self.servers = given, servers
        self.now = 0
        self.lines: list[str] = []
        self.timers: list[tuple[int, int, object]] = []
        self.sent_to: list[int] = []
        self.balancer = Balancer(given, seed, self)
        self.balancer.update_servers(0, ListKind.CACHED, servers)

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now / SECOND:8.3f}  {text}")

    def send(self, submission: int, server: int, timeout: int) -> None:
        self.sent_to.append(server)
        self.note(f"submission {submission}: hop to {server}")

    def reject(self, submission: int, retry_after: int) -> None:
        self.note(f"submission {submission}: deferred")

    def fail(self, submission: int) -> None:
        self.note(f"submission {submission}: forfeited")

    def cancel(self, submission: int, hop: int) -> None:
        self.note(f"submission {submission}: hop {hop} cancelled")

    def probe(self, server: int) -> None:
        self.note(f"probe of {server}")

    def send_to_peer(self, peer: int, data: bytes) -> None:
        self.note(f"tells {peer}: {data.hex()}")

    def close_idle_connections(self, server: int) -> None:
        self.note(f"connections to {server} freed")

    def request_server_list(self) -> None:
        self.note("asks to follow the list")

    def set_timer(self, at: int, handler: object) -> None:
        heapq.heappush(self.timers, (at, len(self.timers), handler))

    def log(self, text: str) -> None:
        self.note(f"log: {text}")

    def advance_to(self, seconds: float) -> ScriptedHost:
        until = int(seconds * SECOND)
        while self.timers and self.timers[0][0] <= until:
            self.now, _, whom = heapq.heappop(self.timers)
            whom.woke(self.now)
        self.now = until
        return self

    def submit(
        self, name: int, key: int = 1, request_class: int = 0, deadline: float = 2.0, retry: bool = False
    ) -> Submission:
        return self.balancer.submit(
            self.now, name, request_class, key, retry, self.now + int(deadline * SECOND)
        )

    def finish_hop(self, one: Submission, outcome: Outcome, hop: int = -1) -> None:
        """One hop, the last unless named, ends; only a success finishes the submission."""
        if not one.hops:
            return
        number = hop % len(one.hops)
        one.hop_finished(
            self.now, number, outcome, self.now - one.hops[number].sent_at, outcome == Outcome.OK
        )

    def keys_with_same_server(self, key: int, count: int) -> list[int]:
        """Keys that go where the key goes, so that none of them is popular."""
        fresh = ScriptedHost(self.initial_settings, self.servers)
        for other in range(1, 100 * count):
            fresh.finish_hop(fresh.advance_to(other).submit(other, other), Outcome.OK)
        return [other + 1 for other, server in enumerate(fresh.sent_to) if server == fresh.sent_to[key - 1]][
            :count
        ]

    def run_submissions(
        self, first: int, count: int, key: int, outcome: Outcome, interval: float = 0.1
    ) -> None:
        """Submissions one after the other, each ended 10 ms after its first hop, later hops answered."""
        start = self.now / SECOND
        for step in range(count):
            one = self.advance_to(start + step * interval).submit(first + step, key)
            self.advance_to(start + step * interval + 0.01).finish_hop(one, outcome)
            if not one.is_finished():
                self.finish_hop(one, Outcome.OK)


def restore_sigint() -> None:
    """For a child that is to be interrupted: who runs the tests may ignore SIGINT, as background jobs do."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)


def check_host_trace(name: str, bench: ScriptedHost, *more: str) -> None:
    check_trace(name, [*bench.lines, *more])


def check_trace(name: str, lines: list[str]) -> None:
    """The trace must be the one kept in the repository."""
    got = "\n".join(lines) + "\n"
    kept = TRACES / f"{name}.txt"
    assert got == (kept.read_text() if kept.exists() else ""), got
