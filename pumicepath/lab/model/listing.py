"""The server list, how it reaches sidecars, and what each of them has been told."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Protocol

from ...interface import ListKind, ServerEntry, ServerState
from .timeline import Timeline, chance

TWIN = 1 << 20  # added to the number of a sidecar whose process is being replaced: the new one's


class Reader(Protocol):
    """A sidecar, as the list meets it."""

    def listed(self, kind: ListKind, entries: list[ServerEntry]) -> None: ...


@dataclass(frozen=True)
class Manner:
    """How the list behaves; times in microseconds."""

    lag_from: int
    lag_to: int
    ask_every: int  # for as long may who does not follow it go without asking
    grace: int  # sends may still go out so long after one was told of a drain


class Following:
    """What one sidecar has been told, and when."""

    __slots__ = ("reader", "seq", "follows", "asked_at", "failed", "told", "started")

    def __init__(self, reader: Reader) -> None:
        self.reader = reader
        self.seq = -1
        self.follows = False
        self.asked_at = 0
        self.failed = False
        self.told: dict[int, int] = {}  # servers that drain or are gone: since when it knows
        self.started: dict[int, int] = {}  # starts that it knows of, by server


class Registry:
    """The truth, and what is shown of it.  A change costs one event for each sidecar that follows."""

    def __init__(self, timeline: Timeline, manner: Manner, seed: int) -> None:
        self.timeline = timeline
        self.manner = manner
        self.chance = chance(seed, "list")
        self.seq = 0
        self.truth: dict[int, ServerEntry] = {}
        self.since: dict[int, int] = {}  # when each came to drain or to be gone
        self.lies: dict[int, ServerState] = {}  # phases shown instead of the true ones
        self.down = False
        self.cut_off: set[int] = set()  # sidecars that can't reach it
        self.followers: dict[int, Following] = {}

    # -- the truth

    def put(self, *entries: ServerEntry) -> None:
        """Servers begin, change or, with phase GONE, end."""
        now = self.timeline.now
        for entry in entries:
            self.truth[entry.server] = entry
            if entry.state == ServerState.READY:
                self.since.pop(entry.server, None)
            else:
                self.since.setdefault(entry.server, now)
        self.show(entry.server for entry in entries)

    def drained(self, server: int, phase: ServerState = ServerState.DRAINING) -> None:
        self.put(self.truth[server]._replace(phase=phase))

    def lie(self, server: int, phase: ServerState | None) -> None:
        """Show a phase that is not so; None ends the lie."""
        if phase is None:
            self.lies.pop(server, None)
        else:
            self.lies[server] = phase
        self.show([server])

    def shown(self, server: int) -> ServerEntry:
        entry = self.truth[server]
        lie = self.lies.get(server)
        return entry if lie is None else entry._replace(phase=lie)

    def whole(self) -> list[ServerEntry]:
        return [entry for entry in map(self.shown, self.truth) if entry.state != ServerState.GONE]

    def show(self, servers: Iterable[int]) -> None:
        self.seq += 1
        changes = [self.shown(server) for server in servers]
        if not self.down:
            for number, following in self.followers.items():
                if following.follows:
                    self.timeline.at(
                        self.timeline.now + self.lag(),
                        self.tell,
                        number,
                        following,
                        self.seq,
                        ListKind.CHANGES,
                        changes,
                    )

    def lag(self) -> int:
        return self.chance.randint(self.manner.lag_from, self.manner.lag_to)

    # -- its readers

    def join(self, number: int, reader: Reader) -> None:
        """A sidecar begins with a copy of the list, which counts as told, and may ask to follow it."""
        following = self.followers[number] = Following(reader)
        following.asked_at = self.timeline.now
        self.tell(number, following, self.seq, ListKind.CACHED, self.whole())

    def leave(self, number: int) -> None:
        self.followers.pop(number, None)

    def follow(self, number: int) -> None:
        """A sidecar asks for the whole list and all that follows."""
        following = self.followers[number]
        following.asked_at = self.timeline.now
        self.timeline.at(self.timeline.now + self.lag(), self.answer, number, following)

    def answer(self, number: int, following: Following) -> None:
        following.failed = self.off(number)
        if following.failed:
            if self.followers.get(number) is following:
                following.reader.listed(ListKind.FAILED, [])
        else:
            following.follows = True
            self.tell(number, following, self.seq, ListKind.FULL, self.whole())

    def tell(
        self, number: int, following: Following, seq: int, kind: ListKind, entries: list[ServerEntry]
    ) -> None:
        """Changes that overtook each other are not used: the whole list is asked for instead."""
        if self.followers.get(number) is not following or kind == ListKind.CHANGES and self.off(number):
            return
        if kind == ListKind.CHANGES and seq != following.seq + 1:
            if seq > following.seq:
                following.follows = False
                self.follow(number)
            return
        following.seq = seq
        now = self.timeline.now
        if kind != ListKind.CHANGES:
            named = {entry.server for entry in entries}
            for server in self.since:
                if server not in named:
                    following.told.setdefault(server, now)
        for entry in entries:
            if entry.state == ServerState.READY:
                following.told.pop(entry.server, None)
            else:
                following.told.setdefault(entry.server, now)
            if entry.started_at:
                following.started[entry.server] = entry.started_at
        following.reader.listed(kind, entries)

    def off(self, number: int) -> bool:
        return self.down or number in self.cut_off

    def break_off(self, numbers: Collection[int] = ()) -> None:
        """The list is gone, for these or for all: who followed it notices, and is told that it failed."""
        self.cut_off.update(numbers)
        self.down = self.down or not numbers
        for number, following in self.followers.items():
            if following.follows and self.off(number):
                following.follows = False
                self.timeline.at(self.timeline.now + self.lag(), self.answer, number, following)

    def come_back(self, numbers: Collection[int] = ()) -> None:
        self.cut_off.difference_update(numbers)
        self.down = self.down and bool(numbers)

    def succeed(self, number: int) -> None:
        """The new process is the only one now."""
        following = self.followers.pop(number + TWIN, None)
        if following is not None:
            self.followers[number] = following

    # -- for the judge

    def knows_since(self, number: int, server: int) -> int | None:
        """When this sidecar was told, or is deemed to have been told, that a server drains or is gone.

        In an upgrade the old process and the new are one: what either was told counts.
        """
        both = [self.told_since(each, server) for each in (number, number + TWIN)]
        return min((told for told in both if told is not None), default=None)

    def told_since(self, number: int, server: int) -> int | None:
        following, since = self.followers.get(number), self.since.get(server)
        if following is None or since is None:
            return None
        told = following.told.get(server)
        if not following.follows:
            # Who does not follow and has not asked for so long is deemed told of what was listed then.
            after = self.manner.ask_every * (4 if following.failed else 1)
            deemed = max(since, following.asked_at) + after
            told = deemed if told is None else min(told, deemed)
        return told

    def knows_start(self, number: int, server: int, came_up: int) -> bool:
        following = self.followers.get(number)
        return following is not None and following.started.get(server, -1) >= came_up
