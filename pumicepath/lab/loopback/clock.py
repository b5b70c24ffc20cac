"""The model's timeline on an event loop's own clock."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

TICK_INTERVAL_S = 0.01


class EventLoopTimeline:
    """Whole microseconds since it was made.  What is late by the loop's own fault is measured by a tick."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.started_at = loop.time()
        self.events = 0
        self.tick_delays_us: list[int] = []  # microseconds by which each tick came too late

    @property
    def now(self) -> int:
        return int((self.loop.time() - self.started_at) * 1e6)

    def at(self, when: int, call: Callable[..., None], *given: Any) -> None:
        self.events += 1
        self.loop.call_at(self.started_at + when / 1e6, call, *given)

    async def measure_ticks(self) -> None:
        while True:
            due = self.loop.time() + TICK_INTERVAL_S
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick_delays_us.append(max(0, int((self.loop.time() - due) * 1e6)))

    def p99_tick_delay_ms(self) -> float:
        """Milliseconds by which one of a hundred ticks was late."""
        ordered = sorted(self.tick_delays_us)
        return ordered[int(0.99 * len(ordered))] / 1000 if ordered else 0.0
