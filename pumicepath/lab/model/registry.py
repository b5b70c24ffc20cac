"""The server list, how it reaches sidecars, and what each of them has been told."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Protocol

from ...interface import Entry, Listing, Phase
from .timeline import Timeline, random_source

REPLACEMENT_OFFSET = (
    1 << 20
)  # added to the number of a sidecar whose process is being replaced: the new one's


class ListReader(Protocol):
    """A sidecar, as the list meets it."""

    def receive_list(self, kind: Listing, entries: list[Entry]) -> None: ...


@dataclass(frozen=True)
class ListTiming:
    """How the list behaves; times in microseconds."""

    min_delay: int
    max_delay: int
    poll_interval: int  # for as long may who does not follow it go without asking
    drain_grace: int  # sends may still go out so long after one was told of a drain


class Subscription:
    """What one sidecar has been told, and when."""

    __slots__ = ("reader", "seq", "following", "requested_at", "failed", "notified_at", "known_starts")

    def __init__(self, reader: ListReader) -> None:
        self.reader = reader
        self.seq = -1
        self.following = False
        self.requested_at = 0
        self.failed = False
        self.notified_at: dict[int, int] = {}  # servers that drain or are gone: since when it knows
        self.known_starts: dict[int, int] = {}  # starts that it knows of, by server


class Registry:
    """The truth, and what is shown of it.  A change costs one event for each sidecar that follows."""

    def __init__(self, timeline: Timeline, timing: ListTiming, seed: int) -> None:
        self.timeline = timeline
        self.timing = timing
        self.rng = random_source(seed, "list")
        self.seq = 0
        self.truth: dict[int, Entry] = {}
        self.off_since: dict[int, int] = {}  # when each came to drain or to be gone
        self.state_overrides: dict[int, Phase] = {}  # phases shown instead of the true ones
        self.down = False
        self.disconnected: set[int] = set()  # sidecars that can't reach it
        self.subscriptions: dict[int, Subscription] = {}

    # -- the truth

    def update(self, *entries: Entry) -> None:
        """Servers begin, change or, with phase GONE, end."""
        now = self.timeline.now
        for entry in entries:
            self.truth[entry.server] = entry
            if entry.phase == Phase.READY:
                self.off_since.pop(entry.server, None)
            else:
                self.off_since.setdefault(entry.server, now)
        self.publish(entry.server for entry in entries)

    def set_state(self, server: int, state: Phase = Phase.DRAINING) -> None:
        self.update(self.truth[server]._replace(phase=state))

    def override_state(self, server: int, state: Phase | None) -> None:
        """Show a phase that is not so; None ends the lie."""
        if state is None:
            self.state_overrides.pop(server, None)
        else:
            self.state_overrides[server] = state
        self.publish([server])

    def published(self, server: int) -> Entry:
        entry = self.truth[server]
        lie = self.state_overrides.get(server)
        return entry if lie is None else entry._replace(phase=lie)

    def full_list(self) -> list[Entry]:
        return [entry for entry in map(self.published, self.truth) if entry.phase != Phase.GONE]

    def publish(self, servers: Iterable[int]) -> None:
        self.seq += 1
        changes = [self.published(server) for server in servers]
        if not self.down:
            for number, following in self.subscriptions.items():
                if following.following:
                    self.timeline.at(
                        self.timeline.now + self.draw_delay(),
                        self.deliver,
                        number,
                        following,
                        self.seq,
                        Listing.CHANGES,
                        changes,
                    )

    def draw_delay(self) -> int:
        return self.rng.randint(self.timing.min_delay, self.timing.max_delay)

    # -- its readers

    def register(self, number: int, reader: ListReader) -> None:
        """A sidecar begins with a copy of the list, which counts as told, and may ask to follow it."""
        following = self.subscriptions[number] = Subscription(reader)
        following.requested_at = self.timeline.now
        self.deliver(number, following, self.seq, Listing.CACHED, self.full_list())

    def unregister(self, number: int) -> None:
        self.subscriptions.pop(number, None)

    def subscribe(self, number: int) -> None:
        """A sidecar asks for the whole list and all that follows."""
        following = self.subscriptions[number]
        following.requested_at = self.timeline.now
        self.timeline.at(self.timeline.now + self.draw_delay(), self.answer, number, following)

    def answer(self, number: int, subscription: Subscription) -> None:
        subscription.failed = self.is_unreachable(number)
        if subscription.failed:
            if self.subscriptions.get(number) is subscription:
                subscription.reader.receive_list(Listing.FAILED, [])
        else:
            subscription.following = True
            self.deliver(number, subscription, self.seq, Listing.FULL, self.full_list())

    def deliver(
        self, number: int, subscription: Subscription, seq: int, kind: Listing, entries: list[Entry]
    ) -> None:
        """Changes that overtook each other are not used: the whole list is asked for instead."""
        if (
            self.subscriptions.get(number) is not subscription
            or kind == Listing.CHANGES
            and self.is_unreachable(number)
        ):
            return
        if kind == Listing.CHANGES and seq != subscription.seq + 1:
            if seq > subscription.seq:
                subscription.following = False
                self.subscribe(number)
            return
        subscription.seq = seq
        now = self.timeline.now
        if kind != Listing.CHANGES:
            named = {entry.server for entry in entries}
            for server in self.off_since:
                if server not in named:
                    subscription.notified_at.setdefault(server, now)
        for entry in entries:
            if entry.phase == Phase.READY:
                subscription.notified_at.pop(entry.server, None)
            else:
                subscription.notified_at.setdefault(entry.server, now)
            if entry.came_up:
                subscription.known_starts[entry.server] = entry.came_up
        subscription.reader.receive_list(kind, entries)

    def is_unreachable(self, number: int) -> bool:
        return self.down or number in self.disconnected

    def disconnect(self, numbers: Collection[int] = ()) -> None:
        """The list is gone, for these or for all: who followed it notices, and is told that it failed."""
        self.disconnected.update(numbers)
        self.down = self.down or not numbers
        for number, following in self.subscriptions.items():
            if following.following and self.is_unreachable(number):
                following.following = False
                self.timeline.at(self.timeline.now + self.draw_delay(), self.answer, number, following)

    def reconnect(self, numbers: Collection[int] = ()) -> None:
        self.disconnected.difference_update(numbers)
        self.down = self.down and bool(numbers)

    def finish_replacement(self, number: int) -> None:
        """The new process is the only one now."""
        following = self.subscriptions.pop(number + REPLACEMENT_OFFSET, None)
        if following is not None:
            self.subscriptions[number] = following

    # -- for the judge

    def off_known_since(self, number: int, server: int) -> int | None:
        """When this sidecar was told, or is deemed to have been told, that a server drains or is gone.

        In an upgrade the old process and the new are one: what either was told counts.
        """
        both = [self.process_off_known_since(each, server) for each in (number, number + REPLACEMENT_OFFSET)]
        return min((told for told in both if told is not None), default=None)

    def process_off_known_since(self, number: int, server: int) -> int | None:
        following, since = self.subscriptions.get(number), self.off_since.get(server)
        if following is None or since is None:
            return None
        told = following.notified_at.get(server)
        if not following.following:
            # Who does not follow and has not asked for so long is deemed told of what was listed then.
            after = self.timing.poll_interval * (4 if following.failed else 1)
            deemed = max(since, following.requested_at) + after
            told = deemed if told is None else min(told, deemed)
        return told

    def start_is_known(self, number: int, server: int, came_up: int) -> bool:
        following = self.subscriptions.get(number)
        return following is not None and following.known_starts.get(server, -1) >= came_up
