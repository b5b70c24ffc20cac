"""Timers in the order of their times, and a thread's wait for the first of them.

Needs the dispatcher's lock, except for `wait`.  Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

import threading
from heapq import heappop, heappush

from ..balancer import Submission
from ..interface import TimerHandler
from .exchange import Exchange, UploadDeadline


class PostponedTimer:
    """A submission's timer, postponed once because our own threads were late."""

    __slots__ = ("handler",)

    def __init__(self, handler: Submission) -> None:
        self.handler = handler

    def is_finished(self) -> bool:
        """Whether the submission has ended, so that the timer can be dropped."""
        return self.handler.is_finished()

    def on_timer(self, now: int) -> None:
        """Run the submission's timer."""
        self.handler.on_timer(now)


# Handlers that end with their submission.
ENDING_HANDLERS = (Submission, Exchange, PostponedTimer, UploadDeadline)


class TimerQueue:
    """A heap of timers; equal times in the order in which they were set."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, TimerHandler]] = []
        self.sequence = 0
        self.first_changed = threading.Event()
        self.wait_s: float | None = None  # None: until a timer is set

    def set(self, at: int, handler: TimerHandler) -> None:
        """Set a timer; it is dropped early only if its submission has ended."""
        self.sequence += 1
        heappush(self.heap, (at, self.sequence, handler))
        if self.heap[0][1] == self.sequence:
            self.first_changed.set()

    def pop_due(self, now: int) -> TimerHandler | None:
        """Remove the first timer if it is due, and return its handler."""
        if not self.heap or self.heap[0][0] > now:
            return None
        return heappop(self.heap)[2]

    def settle(self, now: int) -> None:
        """Drop finished timers at the head, which would only wake the thread, and note how long to wait."""
        while self.heap:
            handler = self.heap[0][2]
            if not isinstance(handler, ENDING_HANDLERS) or not handler.is_finished():
                break
            heappop(self.heap)
        self.wait_s = max(0.0, (self.heap[0][0] - now) / 1e6) if self.heap else None

    def wait(self) -> None:
        """Wait until the first timer is due, or another one has become the first."""
        self.first_changed.wait(self.wait_s)
        self.first_changed.clear()
