"""A scripted host of one balancer, which records its decisions, and comparison with recorded traces."""

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

socket.setdefaulttimeout(20)  # so that data that never arrives fails a test instead of blocking it
TRACES = Path(__file__).parent / "traces"
SECOND = 1_000_000
READ_CLASS = RequestClass(600_000, 2_500_000, 3.0, 0.0, Effect.IDEMPOTENT, DedupGroup.ALL, 0)
ONCE_CLASS = RequestClass(600_000, 1_500_000, 5.0, 0.0, Effect.NON_IDEMPOTENT, DedupGroup.ALL, 0)


def deduplicated_class(group: DedupGroup) -> RequestClass:
    """A class whose submissions the servers of a group deduplicate for two seconds."""
    return RequestClass(1_000_000, 5_000_000, 3.0, 0.2, Effect.DEDUPLICATED, group, 2 * SECOND)


def make_settings(*request_classes: RequestClass, **changed: object) -> Settings:
    """Settings of one of three sidecars, with the given classes and changes."""
    values: dict = {
        "sidecar_index": 0,
        "fleet_size": 3,
        "zone": 0,
        "request_classes": request_classes or (READ_CLASS, ONCE_CLASS),
        "cross_zone_cost": 0.0,
        "polls_list": False,
        "poll_interval": 10 * SECOND,
        "max_hops": 4,
        "max_retry_after": 2 * SECOND,
        "cold_fraction": 0.2,
        "cold_duration": 20 * SECOND,
        "overload_multiple": 2.5,
        "overload_window": 3 * SECOND,
    }
    return Settings(**{**values, **changed})


def make_entry(
    server: int, zone: int = 0, cell: int = 0, state: ServerState = ServerState.READY, started_at: int = 0
) -> ServerEntry:
    return ServerEntry(server, zone, cell, state, 1.0, started_at)


class ScriptedHost:
    """The callbacks of a balancer, which record every decision in `lines`, with a clock set by the test."""

    def __init__(self, settings: Settings, servers: list[ServerEntry], seed: int = 7) -> None:
        self.initial_settings, self.servers = settings, servers
        self.now = 0
        self.lines: list[str] = []
        self.timers: list[tuple[int, int, object]] = []
        self.sent_to: list[int] = []
        self.balancer = Balancer(settings, seed, self)
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
        """Move the clock, running the timers that expire meanwhile."""
        end = int(seconds * SECOND)
        while self.timers and self.timers[0][0] <= end:
            self.now, _, handler = heapq.heappop(self.timers)
            handler.on_timer(self.now)
        self.now = end
        return self

    def submit(
        self,
        submission_id: int,
        key: int = 1,
        request_class: int = 0,
        deadline: float = 2.0,
        retry: bool = False,
    ) -> Submission:
        """Submit now; `deadline` is in seconds from now."""
        return self.balancer.submit(
            self.now, submission_id, request_class, key, retry, self.now + int(deadline * SECOND)
        )

    def finish_hop(self, submission: Submission, outcome: Outcome, hop: int = -1) -> None:
        """Report the outcome of a hop, by default the last one; only a success is a final answer."""
        if not submission.hops:
            return
        number = hop % len(submission.hops)
        submission.hop_finished(
            self.now, number, outcome, self.now - submission.hops[number].sent_at, outcome == Outcome.OK
        )

    def keys_with_same_server(self, key: int, count: int) -> list[int]:
        """Return keys that go to the same server as `key`, to use it without making one key popular."""
        fresh = ScriptedHost(self.initial_settings, self.servers)
        for other in range(1, 100 * count):
            fresh.finish_hop(fresh.advance_to(other).submit(other, other), Outcome.OK)
        return [other + 1 for other, server in enumerate(fresh.sent_to) if server == fresh.sent_to[key - 1]][
            :count
        ]

    def run_submissions(
        self, first: int, count: int, key: int, outcome: Outcome, interval: float = 0.1
    ) -> None:
        """Submit one after the other; the first hop of each ends after 10 ms, later ones succeed."""
        start = self.now / SECOND
        for step in range(count):
            submission = self.advance_to(start + step * interval).submit(first + step, key)
            self.advance_to(start + step * interval + 0.01).finish_hop(submission, outcome)
            if not submission.is_finished():
                self.finish_hop(submission, Outcome.OK)


def restore_sigint() -> None:
    """Make a child process interruptible; tests run as a background job inherit an ignored SIGINT."""
    signal.signal(signal.SIGINT, signal.SIG_DFL)


def check_host_trace(name: str, host: ScriptedHost, *more: str) -> None:
    """Compare the decisions that a host recorded with the recorded trace."""
    check_trace(name, [*host.lines, *more])


def check_trace(name: str, lines: list[str]) -> None:
    """Compare lines with a trace recorded in the repository, to the letter."""
    got = "\n".join(lines) + "\n"
    kept = TRACES / f"{name}.txt"
    assert got == (kept.read_text() if kept.exists() else ""), got
