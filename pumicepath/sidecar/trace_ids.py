"""The ids of requests that are open, or were until a short time ago.

Servers identify a request by its id, and a hop of it may still run there when it has been answered.  Times
are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

NO_EXCHANGE = 0  # the number of an exchange of another process


class HeldId(NamedTuple):
    """An id, the number of its exchange, and when it is looked at again."""

    until: int
    trace_id: str
    number: int


class TraceIds:
    """Ids in use; `is_open` tells whether the exchange with a number is.  Needs the dispatcher's lock."""

    def __init__(self, is_open: Callable[[int], bool]) -> None:
        self.is_open = is_open
        self.held: set[str] = set()
        self.queue: deque[HeldId] = deque()  # the first to be looked at first

    def claim(self, now: int, trace_id: str, number: int, until: int, max_hold: int) -> bool:
        """Use an id until then and for as long as its exchange is open; False if it is in use.

        `until` is at most `max_hold` from now, which is also for how long an id is held on while it is open.
        """
        self.expire(now, max_hold)
        if trace_id in self.held:
            return False
        self.held.add(trace_id)
        self.queue.append(HeldId(until, trace_id, number))
        return True

    def hold(self, now: int, trace_id: str, until: int) -> None:
        """Keep an id that another process uses until then; nothing changes if it is in use here."""
        if until > now and trace_id not in self.held:
            self.held.add(trace_id)
            self.queue.append(HeldId(until, trace_id, NO_EXCHANGE))

    def in_use(self, now: int) -> list[HeldId]:
        """Return the ids whose time is not over."""
        return [held for held in self.queue if held.until > now]

    def expire(self, now: int, max_hold: int) -> None:
        """Free the ids whose time is over, except those of open exchanges."""
        while self.queue and self.queue[0].until <= now:
            held = self.queue.popleft()
            if self.is_open(held.number):
                # A long body or answer takes longer than its class allows a short one.
                self.queue.append(held._replace(until=now + max_hold))
            else:
                self.held.discard(held.trace_id)
