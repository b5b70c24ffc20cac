"""The model's timeline on the clock of an event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

TICK_INTERVAL_S = 0.01


class EventLoopTimeline:
    """Microseconds since a start time; a regular tick measures how late the event loop itself is."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.started_at = loop.time()
        self.events = 0
        self.tick_delays_us: list[int] = []  # by which each tick was late

    @property
    def now(self) -> int:
        """Microseconds since `started_at`."""
        return int((self.loop.time() - self.started_at) * 1e6)

    def at(self, when: int, call: Callable[..., None], *args: Any) -> None:
        """Calls a function at a time of this timeline."""
        self.events += 1
        self.loop.call_at(self.started_at + when / 1e6, call, *args)

    async def measure_ticks(self) -> None:
        """Records the delay of every tick, until it is cancelled."""
        while True:
            due_at = self.loop.time() + TICK_INTERVAL_S
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick_delays_us.append(max(0, int((self.loop.time() - due_at) * 1e6)))

    def p99_tick_delay_ms(self) -> float:
        """Returns the 99th percentile of the tick delays in milliseconds."""
        ordered = sorted(self.tick_delays_us)
        return ordered[int(0.99 * len(ordered))] / 1000 if ordered else 0.0
