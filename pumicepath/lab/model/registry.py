"""The server list, how it reaches sidecars, and what each of them has been notified of."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Sequence
from dataclasses import dataclass
from itertools import cycle, repeat
from typing import Protocol

from ...interface import ListKind, ServerEntry, ServerState
from .timeline import Timeline, random_source

DEFAULT_FAILURE = "error"  # of a call for the list: it is answered 503
REPLACEMENT_OFFSET = 1 << 20  # added to a sidecar's number for the new process during a hot restart


class ListReader(Protocol):
    """A sidecar that reads the list."""

    def receive_list(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        """A full list, changes, a cached copy, or a failure."""


@dataclass(frozen=True)
class ListTiming:
    """Delays and intervals of the list, in microseconds."""

    min_delay: int
    max_delay: int
    poll_interval: int  # a sidecar without a subscription asks at least this often
    drain_grace: int  # hops may still be sent for so long after the notice of a drain


class Subscription:
    """What one sidecar has been notified of, and when; times in microseconds."""

    __slots__ = ("reader", "seq", "following", "requested_at", "failed", "notified_at", "known_starts")

    def __init__(self, reader: ListReader) -> None:
        self.reader = reader
        self.seq = -1
        self.following = False
        self.requested_at = 0
        self.failed = False
        self.notified_at: dict[int, int] = {}  # by server that drains or is gone
        self.known_starts: dict[int, int] = {}  # latest known start by server


class Registry:
    """The actual servers and what is published of them; a change costs one event per subscriber."""

    def __init__(self, timeline: Timeline, timing: ListTiming, seed: int) -> None:
        self.timeline = timeline
        self.timing = timing
        self.rng = random_source(seed, "list")
        self.seq = 0
        self.actual_entries: dict[int, ServerEntry] = {}
        self.off_since: dict[int, int] = {}  # since when each drains or is gone
        self.state_overrides: dict[int, ServerState] = {}  # states published instead of the actual ones
        self.down = False
        self.disconnected: set[int] = set()  # sidecars that can't reach the list
        self.failures: Iterator[str] = repeat(DEFAULT_FAILURE)  # how the next calls fail meanwhile
        self.subscriptions: dict[int, Subscription] = {}

    # -- the actual servers

    def update(self, *entries: ServerEntry) -> None:
        """Servers start, change or, in state GONE, end."""
        now = self.timeline.now
        for entry in entries:
            self.actual_entries[entry.server] = entry
            if entry.state == ServerState.READY:
                self.off_since.pop(entry.server, None)
            else:
                self.off_since.setdefault(entry.server, now)
        self.publish(entry.server for entry in entries)

    def set_state(self, server: int, state: ServerState = ServerState.DRAINING) -> None:
        """Change the actual state of a server."""
        self.update(self.actual_entries[server]._replace(state=state))

    def override_state(self, server: int, state: ServerState | None) -> None:
        """Publish a wrong state for a server; None ends this."""
        if state is None:
            self.state_overrides.pop(server, None)
        else:
            self.state_overrides[server] = state
        self.publish([server])

    def published(self, server: int) -> ServerEntry:
        """The entry of a server as readers get it."""
        entry = self.actual_entries[server]
        override = self.state_overrides.get(server)
        return entry if override is None else entry._replace(state=override)

    def full_list(self) -> list[ServerEntry]:
        """The published entries of all servers that are not gone."""
        return [
            entry for entry in map(self.published, self.actual_entries) if entry.state != ServerState.GONE
        ]

    def publish(self, servers: Iterable[int]) -> None:
        """Send the entries of these servers to all subscribers, each after a delay of its own."""
        self.seq += 1
        changes = [self.published(server) for server in servers]
        if not self.down:
            for number, subscription in self.subscriptions.items():
                if subscription.following:
                    self.timeline.at(
                        self.timeline.now + self.draw_delay(),
                        self.deliver,
                        number,
                        subscription,
                        self.seq,
                        ListKind.CHANGES,
                        changes,
                    )

    def draw_delay(self) -> int:
        """A random delay on the way to a reader."""
        return self.rng.randint(self.timing.min_delay, self.timing.max_delay)

    # -- readers

    def register(self, number: int, reader: ListReader) -> None:
        """A sidecar starts with a cached copy, which counts as a notice, and may subscribe."""
        subscription = self.subscriptions[number] = Subscription(reader)
        subscription.requested_at = self.timeline.now
        self.deliver(number, subscription, self.seq, ListKind.CACHED, self.full_list())

    def unregister(self, number: int) -> None:
        """A sidecar has ended."""
        self.subscriptions.pop(number, None)

    def subscribe(self, number: int) -> None:
        """A sidecar asks for the full list and all further changes."""
        subscription = self.subscriptions[number]
        subscription.requested_at = self.timeline.now
        self.timeline.at(self.timeline.now + self.draw_delay(), self.answer, number, subscription)

    def answer(self, number: int, subscription: Subscription) -> None:
        """Answer a subscription with the full list, or a failure if the list can't be reached."""
        subscription.failed = self.is_unreachable(number)
        if subscription.failed:
            if self.subscriptions.get(number) is subscription:
                subscription.reader.receive_list(ListKind.FAILED, [])
        else:
            subscription.following = True
            self.deliver(number, subscription, self.seq, ListKind.FULL, self.full_list())

    def deliver(
        self, number: int, subscription: Subscription, seq: int, kind: ListKind, entries: list[ServerEntry]
    ) -> None:
        """Hand entries to a reader; changes out of order are dropped and the full list is asked for again."""
        if (
            self.subscriptions.get(number) is not subscription
            or kind == ListKind.CHANGES
            and self.is_unreachable(number)
        ):
            return
        if kind == ListKind.CHANGES and seq != subscription.seq + 1:
            if seq > subscription.seq:
                subscription.following = False
                self.subscribe(number)
            return
        subscription.seq = seq
        now = self.timeline.now
        if kind != ListKind.CHANGES:
            listed = {entry.server for entry in entries}
            for server in self.off_since:
                if server not in listed:
                    subscription.notified_at.setdefault(server, now)
        for entry in entries:
            if entry.state == ServerState.READY:
                subscription.notified_at.pop(entry.server, None)
            else:
                subscription.notified_at.setdefault(entry.server, now)
            if entry.started_at:
                subscription.known_starts[entry.server] = entry.started_at
        subscription.reader.receive_list(kind, entries)

    def is_unreachable(self, number: int) -> bool:
        """Whether this sidecar can't reach the list."""
        return self.down or number in self.disconnected

    def disconnect(self, numbers: Collection[int] = (), failures: Sequence[str] = (DEFAULT_FAILURE,)) -> None:
        """Cut these sidecars, or all, off from the list; subscribers notice and are notified of a failure.

        Calls fail in these ways in turn, where the host distinguishes them.
        """
        self.failures = cycle(failures)
        self.disconnected.update(numbers)
        self.down = self.down or not numbers
        for number, subscription in self.subscriptions.items():
            if subscription.following and self.is_unreachable(number):
                subscription.following = False
                self.timeline.at(self.timeline.now + self.draw_delay(), self.answer, number, subscription)

    def reconnect(self, numbers: Collection[int] = ()) -> None:
        """Undo `disconnect`; readers have to subscribe again."""
        self.disconnected.difference_update(numbers)
        self.down = self.down and bool(numbers)

    def finish_replacement(self, number: int) -> None:
        """The old process of a hot restart has ended; the new one takes over the sidecar's number."""
        subscription = self.subscriptions.pop(number + REPLACEMENT_OFFSET, None)
        if subscription is not None:
            self.subscriptions[number] = subscription

    # -- for the rule checker

    def off_known_since(self, number: int, server: int) -> int | None:
        """Since when a sidecar knows, or counts as knowing, that a server drains or is gone.

        During a hot restart a notice to either process counts for both.
        """
        both = [self.process_off_known_since(each, server) for each in (number, number + REPLACEMENT_OFFSET)]
        return min((known_since for known_since in both if known_since is not None), default=None)

    def process_off_known_since(self, number: int, server: int) -> int | None:
        """The same for one process of a sidecar."""
        subscription, since = self.subscriptions.get(number), self.off_since.get(server)
        if subscription is None or since is None:
            return None
        known_since = subscription.notified_at.get(server)
        if not subscription.following:
            # Without a subscription a sidecar has to ask again within the poll interval, or four of them
            # after a failure; from then on it counts as knowing.
            after = self.timing.poll_interval * (4 if subscription.failed else 1)
            deemed = max(since, subscription.requested_at) + after
            known_since = deemed if known_since is None else min(known_since, deemed)
        return known_since

    def start_is_known(self, number: int, server: int, started_at: int) -> bool:
        """Whether a sidecar knows of this start of a server or a later one."""
        subscription = self.subscriptions.get(number)
        return subscription is not None and subscription.known_starts.get(server, -1) >= started_at
