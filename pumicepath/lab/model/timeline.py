"""When things happen.  The model asks only for this; virtual time and an event loop both give it."""

from __future__ import annotations

import random
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, Protocol

SECOND = 1_000_000


class Timeline(Protocol):
    """Whole microseconds from the start of a run."""

    @property
    def now(self) -> int: ...

    def at(self, when: int, call: Callable[..., None], *given: Any) -> None:
        """Make the call then, or as soon as possible if that is past; never within this call."""


class VirtualTimeline:
    """Virtual time: what is due at the same time happens in the order in which it was asked for.

    One push and one pop of a heap an event: the cost grows with the logarithm of what is waiting.
    """

    def __init__(self) -> None:
        self.now = 0
        self.events = 0
        self.scheduled = 0
        self.waiting: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, when: int, call: Callable[..., None], *given: Any) -> None:
        self.scheduled += 1
        heappush(self.waiting, (when if when > self.now else self.now, self.scheduled, call, given))

    def run(self, until: int) -> None:
        """All that is due up to and including that time."""
        waiting = self.waiting
        while waiting and waiting[0][0] <= until:
            self.now, _, call, given = heappop(waiting)
            self.events += 1
            call(*given)
        self.now = max(self.now, until)


def random_source(seed: int, *names: object) -> random.Random:
    """A stream of chance for each name, the same on every machine (Mersenne twister, by SHA-512)."""
    return random.Random("/".join(map(str, (seed, *names))))
