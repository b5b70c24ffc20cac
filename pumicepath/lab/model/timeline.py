"""The clock and scheduler of the model, which virtual time and a real event loop both implement."""

from __future__ import annotations

import random
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, Protocol

SECOND = 1_000_000  # microseconds


class Timeline(Protocol):
    """A scheduler; times are whole microseconds since the start of the run."""

    @property
    def now(self) -> int:
        """The current time."""

    def at(self, when: int, call: Callable[..., None], *given: Any) -> None:
        """Schedule a call, as soon as possible if the time has passed; never from within this method."""


class VirtualTimeline:
    """Virtual time; calls due at the same time run in the order in which they were scheduled.

    Each event costs one push and one pop of a heap, O(log n) in the number of scheduled calls.
    """

    def __init__(self) -> None:
        self.now = 0
        self.events = 0
        self.scheduled = 0
        self.waiting: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: int, call: Callable[..., None], *given: Any) -> None:
        """Schedule a call; see `Timeline.at`."""
        self.scheduled += 1
        heappush(self.waiting, (when if when > self.now else self.now, self.scheduled, call, given))

    def run(self, until: int) -> None:
        """Run all calls due up to and including that time, then set the clock to it."""
        waiting = self.waiting
        while waiting and waiting[0][0] <= until:
            self.now, _, call, given = heappop(waiting)
            self.events += 1
            call(*given)
        self.now = max(self.now, until)


def random_source(seed: int, *names: object) -> random.Random:
    """A random stream per name, the same on all machines (Mersenne twister, seeded by SHA-512)."""
    return random.Random("/".join(map(str, (seed, *names))))
