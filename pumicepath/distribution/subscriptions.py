"""Who follows which services and waits, and who is due when something changes.

    subscriptions.join(number, interest); subscriptions.wait(number, since, until, now)
    subscriptions.changed(services, version, now)       # marks those concerned, and only them
    for number, since in subscriptions.due(now, most): ...   # since -1: nothing of theirs has changed
    subscriptions.next_at()                             # when `due` may have something next

Followers with the same services share one place in the index by service, so a change costs what those have
that are concerned.  Times are whole microseconds.  Changes of a short while go in one answer: the first of
them sets the time at which all that are due by then get theirs.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable, Iterable

from .interests import Interest

SPREAD_US = 1_000_000  # over which all are told what concerns all: guards against one burst of answers
NEVER = 1 << 62


class InterestGroup:
    """Those with one interest; `waiting` holds the version that each has."""

    __slots__ = ("interest", "members", "waiting")

    def __init__(self, interest: Interest) -> None:
        self.interest = interest
        self.members = 0
        self.waiting: dict[int, int] = {}


class Subscriptions:
    def __init__(self, batch: int, share: Callable[[], float]) -> None:
        self.batch = batch
        self.uniform = share
        self.groups: dict[str, InterestGroup] = {}
        self.by_service: dict[str, dict[str, InterestGroup]] = {}
        self.all_services: dict[str, InterestGroup] = {}
        self.group_of: dict[int, InterestGroup] = {}
        self.wait_ends: dict[int, int] = {}  # ends of waits of those that wait
        self.end_heap: list[tuple[int, int]] = []  # a heap; those that no longer hold are passed over
        self.pending: dict[int, int] = {}  # due with the batch, and the version each has
        self.flush_at = NEVER
        self.ready: deque[tuple[int, int]] = deque()

    def join(self, number: int, interest: Interest) -> None:
        """It follows these services from now on, and no others."""
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
                there = self.by_service[name]
                del there[group.interest.text]
                if not there:
                    del self.by_service[name]

    def wait(self, number: int, since: int, until: int) -> None:
        """It has all up to this version, and waits until then."""
        self.group_of[number].waiting[number] = since
        self.set_end(number, until)

    def add_pending(self, number: int, since: int, now: int) -> None:
        """Something of its services has changed already: it is told with the next batch."""
        self.mark_pending(number, since, now)

    def set_end(self, number: int, until: int) -> None:
        self.wait_ends[number] = until
        heapq.heappush(self.end_heap, (until, number))
        if len(self.end_heap) > 4 * len(self.wait_ends) + 64:
            # Guards the memory against ends that were moved again and again.
            self.end_heap = [(until, number) for number, until in self.wait_ends.items()]
            heapq.heapify(self.end_heap)

    def mark_pending(self, number: int, since: int, now: int) -> None:
        self.wait_ends.pop(number, None)
        if not self.pending:
            self.flush_at = now + self.batch
        self.pending[number] = since

    def services_changed(self, services: Iterable[str], version: int, now: int) -> int:
        """Mark those that wait for one of these; tells how many they are.

        Each is due from the version before this one: nothing of its services has changed since its own, and
        the log need not reach back to that.
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
        """What concerns all, and no server: their waits end sooner, spread over a second."""
        for number, until in list(self.wait_ends.items()):
            self.set_end(number, min(until, now + int(SPREAD_US * self.uniform())))

    def take_due(self, now: int, max_count: int) -> list[tuple[int, int]]:
        """Who is to be answered, with the version it has, -1 where its wait is over; no more than so many."""
        if self.pending and now >= self.flush_at:
            self.ready.extend(self.pending.items())
            self.pending.clear()
        while self.end_heap and self.end_heap[0][0] <= now and len(self.ready) < max_count:
            # No more than are told now.  Guards those that would stand in line, while something of theirs may
            # change, against being told that nothing has.
            until, number = heapq.heappop(self.end_heap)
            if self.wait_ends.get(number) == until:
                del self.wait_ends[number]
                del self.group_of[number].waiting[number]
                self.ready.append((number, -1))
        return [self.ready.popleft() for _ in range(min(max_count, len(self.ready)))]

    def next_timer(self) -> int:
        if self.ready:
            return 0
        at = self.flush_at if self.pending else NEVER
        while self.end_heap and self.wait_ends.get(self.end_heap[0][1]) != self.end_heap[0][0]:
            heapq.heappop(self.end_heap)  # it was told before
        return min(at, self.end_heap[0][0]) if self.end_heap else at

    def waiting_count(self) -> int:
        return len(self.wait_ends)
