"""The ids of requests that are open, or were until a short time ago, in all processes of this sidecar.

Servers identify a request by its id, and a hop of it may still run there when it has been answered.  Times
are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

NO_EXCHANGE = 0  # the number of an exchange of another process


class RemoteProcess:
    """Another process of this sidecar, by what it has told of its requests.

    `open_ids` are the ids whose exchange is open there.  `ended_at` is when the process has certainly ended,
    which may lie ahead; 0 while that is unknown.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.open_ids: set[str] = set()
        self.ended_at = 0

    def is_running(self, now: int) -> bool:
        """Whether exchanges that were open there can still be."""
        return not self.ended_at or now < self.ended_at


class HeldId(NamedTuple):
    """Until when an id is in use at least, and whose it is.

    `number` is that of its exchange in this process; `owner` is the other process that has the exchange, if
    that tells when it ends.
    """

    until: int
    number: int
    owner: RemoteProcess | None = None


class QueuedId(NamedTuple):
    """An id, and when it is looked at again."""

    until: int
    trace_id: str


class IdInUse(NamedTuple):
    """An id in use, until when at least, whether its exchange is open, and in which process.

    `owner` is None for this process, and for one that does not tell when its exchanges end.
    """

    trace_id: str
    until: int
    is_open: bool
    owner: RemoteProcess | None


class TraceIds:
    """Ids in use; `is_open` tells whether the exchange with a number is.  Needs the dispatcher's lock.

    Each id that is held has one place in the queue.
    """

    def __init__(self, is_open: Callable[[int], bool]) -> None:
        self.is_open = is_open
        self.held: dict[str, HeldId] = {}
        self.queue: deque[QueuedId] = deque()  # the first to be looked at first
        self.own = RemoteProcess("")  # the owner of ids that this process asks another one for

    def claim(self, now: int, trace_id: str, number: int, until: int, max_hold: int) -> bool:
        """Use an id until then and for as long as its exchange is open; False if it is in use.

        `until` is at most `max_hold` from now, which is also for how long an id is held on while it is open.
        """
        self.expire(now, max_hold)
        held = self.held.get(trace_id)
        if held is None:
            self.add(trace_id, HeldId(until, number))
        elif held.owner is self.own:
            self.held[trace_id] = HeldId(max(held.until, until), number)
        else:
            return False
        return True

    def hold(
        self, now: int, trace_id: str, until: int, max_hold: int, owner: RemoteProcess | None = None
    ) -> None:
        """Keep an id that another process uses until then, and for as long as its exchange is open there.

        Without an `owner` that tells when the exchange ends, the time alone counts.  Nothing changes if it is
        the id of an open exchange of this process.
        """
        self.expire(now, max_hold)
        held = self.held.get(trace_id)
        if held is not None and self.is_open(held.number):
            return
        if held is not None and held.owner is not None and owner is not None:
            held.owner.open_ids.discard(trace_id)
        if owner is not None:
            owner.open_ids.add(trace_id)
        if held is None:
            self.add(trace_id, HeldId(until, NO_EXCHANGE, owner))
        else:
            self.held[trace_id] = HeldId(max(held.until, until), NO_EXCHANGE, owner or held.owner)

    def reserve(self, now: int, trace_id: str, until: int, max_hold: int, owner: RemoteProcess) -> bool:
        """Hold an id until then for a process that is about to claim it; False if it is in use.

        `owner` is another process, or `own` for this one, which may reserve it for several requests.
        """
        self.expire(now, max_hold)
        held = self.held.get(trace_id)
        if held is None:
            self.add(trace_id, HeldId(until, NO_EXCHANGE, owner))
        elif held.owner is not owner:
            return False
        else:
            self.prolong(trace_id, until)
        return True

    def prolong(self, trace_id: str, until: int) -> None:
        """Keep an id that is in use until then at least."""
        held = self.held.get(trace_id)
        if held is not None and held.until < until:
            self.held[trace_id] = held._replace(until=until)

    def add(self, trace_id: str, held: HeldId) -> None:
        """Add an id that is not held."""
        self.held[trace_id] = held
        self.queue.append(QueuedId(held.until, trace_id))

    def in_use(self, now: int, max_hold: int) -> list[IdInUse]:
        """Return all ids in use, those of open exchanges last."""
        self.expire(now, max_hold)
        ids = [
            IdInUse(trace_id, held.until, self.last_open_at(now, trace_id, held) == now, held.owner)
            for trace_id, held in self.held.items()
        ]
        return sorted(ids, key=lambda each: each.is_open)

    def expire(self, now: int, max_hold: int) -> None:
        """Free the ids whose time is over, except those of open exchanges.

        A long body or answer takes longer than its class allows a short one, so their ids are held on.
        """
        while self.queue and self.queue[0].until <= now:
            trace_id = self.queue.popleft().trace_id
            held = self.held[trace_id]
            until = held.until
            open_at = self.last_open_at(now, trace_id, held)
            if open_at is not None:
                until = max(until, open_at + max_hold)
            if until > now:
                self.held[trace_id] = held._replace(until=until)
                self.queue.append(QueuedId(until, trace_id))
            else:
                del self.held[trace_id]
                if held.owner is not None:
                    held.owner.open_ids.discard(trace_id)

    def last_open_at(self, now: int, trace_id: str, held: HeldId) -> int | None:
        """When the exchange of an id was open last: now, or when its process ended; None if it was closed."""
        if self.is_open(held.number):
            return now
        owner = held.owner
        if owner is None or trace_id not in owner.open_ids:
            return None
        return now if owner.is_running(now) else owner.ended_at
