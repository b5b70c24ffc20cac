"""The model's timeline on an event loop's own clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

TICK_S = 0.01


class Live:
    """Whole microseconds since it was made.  What is late by the loop's own fault is measured by a tick."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.began = loop.time()
        self.events = 0
        self.late: list[int] = []  # microseconds by which each tick came too late

    @property
    def now(self) -> int:
        return int((self.loop.time() - self.began) * 1e6)

    def at(self, when: int, call: Callable[..., None], *given: Any) -> None:
        self.events += 1
        self.loop.call_at(self.began + when / 1e6, call, *given)

    async def tick(self) -> None:
        while True:
            due = self.loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            self.late.append(max(0, int((self.loop.time() - due) * 1e6)))

    def behind(self) -> float:
        """Milliseconds by which one of a hundred ticks was late."""
        ordered = sorted(self.late)
        return ordered[int(0.99 * len(ordered))] / 1000 if ordered else 0.0
