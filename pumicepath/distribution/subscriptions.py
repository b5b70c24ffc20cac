"""Followers' subscriptions: which services each one follows and waits for, and who is due after a change.

    subscriptions.join(number, interest); subscriptions.wait(number, since, ends_at)
    subscriptions.services_changed(services, version, now)      # marks the followers of these services only
    for number, since in subscriptions.take_due(now, max_count): ...     # since -1: no change for this one
    subscriptions.next_timer()                                  # when `take_due` may return more

Followers with the same services share one entry in the index by service, so the cost of a change depends
only on the followers that it concerns. Changes within a short time go out in one answer: the first of them
sets the time at which all followers that are due by then are answered. Times are whole microseconds.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable

from .interests import Interest

SPREAD_US = 1_000_000  # over which answers that go to every follower are spread, to avoid a burst
NEVER = 1 << 62


class InterestGroup:
    """The followers with one interest; `waiting` has the version of each one that waits."""

    __slots__ = ("interest", "members", "waiting")

    def __init__(self, interest: Interest) -> None:
        self.interest = interest
        self.members = 0
        self.waiting: dict[int, int] = {}


class Subscriptions:
    """All followers of a relay; `batch` is the time for which changes are collected."""

    def __init__(self, batch: int, uniform: Callable[[], float]) -> None:
        self.batch = batch
        self.uniform = uniform
        self.groups: dict[str, InterestGroup] = {}
        self.by_service: dict[str, dict[str, InterestGroup]] = {}
        self.all_services: dict[str, InterestGroup] = {}
        self.group_of: dict[int, InterestGroup] = {}
        self.wait_ends: dict[int, int] = {}  # by follower that waits
        self.end_heap: list[tuple[int, int]] = []  # end and follower; outdated ones are skipped
        self.pending: dict[int, int] = {}  # followers due with the next batch, and their versions
        self.flush_at = NEVER
        self.ready: deque[tuple[int, int]] = deque()

    def join(self, number: int, interest: Interest) -> None:
        """Subscribe a follower to these services and no others."""
        group = self.group_of.get(number)
        if group is not None:
            if group.interest.text == interest.text:
                return
            self.leave(number)
        group = self.groups.get(interest.text)
        if group is None:
            group = self.groups[interest.text] = InterestGroup(interest)
            if interest.all_services:
                self.all_services[interest.text] = group
            for name in interest.names:
                self.by_service.setdefault(name, {})[interest.text] = group
        group.members += 1
        self.group_of[number] = group

    def leave(self, number: int) -> None:
        """Forget a follower."""
        group = self.group_of.pop(number, None)
        if group is None:
            return
        self.pending.pop(number, None)
        self.wait_ends.pop(number, None)
        group.waiting.pop(number, None)
        group.members -= 1
        if not group.members:
            del self.groups[group.interest.text]
            self.all_services.pop(group.interest.text, None)
            for name in group.interest.names:
                groups = self.by_service[name]
                del groups[group.interest.text]
                if not groups:
                    del self.by_service[name]

    def wait(self, number: int, since: int, ends_at: int) -> None:
        """A follower that has version `since` waits for changes until `ends_at`."""
        self.group_of[number].waiting[number] = since
        self.set_end(number, ends_at)

    def add_pending(self, number: int, since: int, now: int) -> None:
        """Answer a follower with the next batch, as its services have changed already."""
        self.mark_pending(number, since, now)

    def set_end(self, number: int, ends_at: int) -> None:
        """Set the end of a wait."""
        self.wait_ends[number] = ends_at
        heapq.heappush(self.end_heap, (ends_at, number))
        if len(self.end_heap) > 4 * len(self.wait_ends) + 64:
            # Drops outdated ends, which would pile up if waits are changed again and again.
            self.end_heap = [(ends_at, number) for number, ends_at in self.wait_ends.items()]
            heapq.heapify(self.end_heap)

    def mark_pending(self, number: int, since: int, now: int) -> None:
        """Make a follower due with the next batch."""
        self.wait_ends.pop(number, None)
        if not self.pending:
            self.flush_at = now + self.batch
        self.pending[number] = since

    def services_changed(self, services: Iterable[str], version: int, now: int) -> int:
        """Make every follower that waits for one of these services due; return their number.

        Each gets the changes since the version before this one: nothing of its services changed between its
        own version and that, so the log need not reach back to its own.
        """
        concerned = dict(self.all_services)
        for service in services:
            concerned.update(self.groups if service == "" else self.by_service.get(service, {}))
        count = 0
        for group in concerned.values():
            for number, since in group.waiting.items():
                self.mark_pending(number, max(since, version - 1), now)
            count += len(group.waiting)
            group.waiting.clear()
        return count

    def end_waits_soon(self, now: int) -> None:
        """End all waits within `SPREAD_US`, for a change that concerns every follower and no server."""
        for number, ends_at in list(self.wait_ends.items()):
            self.set_end(number, min(ends_at, now + int(SPREAD_US * self.uniform())))

    def take_due(self, now: int, max_count: int) -> list[tuple[int, int]]:
        """Up to `max_count` followers to answer, each with its version, or -1 if its wait has ended."""
        if self.pending and now >= self.flush_at:
            self.ready.extend(self.pending.items())
            self.pending.clear()
        while self.end_heap and self.end_heap[0][0] <= now and len(self.ready) < max_count:
            # No more than are answered now: a follower left in `ready` would later be answered that nothing
            # has changed, though its services may have changed in the meantime.
            ends_at, number = heapq.heappop(self.end_heap)
            if self.wait_ends.get(number) == ends_at:
                del self.wait_ends[number]
                del self.group_of[number].waiting[number]
                self.ready.append((number, -1))
        return [self.ready.popleft() for _ in range(min(max_count, len(self.ready)))]

    def next_timer(self) -> int:
        """When `take_due` may return followers, `NEVER` if none waits."""
        if self.ready:
            return 0
        at = self.flush_at if self.pending else NEVER
        while self.end_heap and self.wait_ends.get(self.end_heap[0][1]) != self.end_heap[0][0]:
            heapq.heappop(self.end_heap)  # it was answered before
        return min(at, self.end_heap[0][0]) if self.end_heap else at

    def waiting_count(self) -> int:
        """The number of followers that wait."""
        return len(self.wait_ends)
