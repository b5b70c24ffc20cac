"""The sidecar's clock: whole microseconds of the monotonic clock.

It starts at one day, so that times before the start of the process are positive as well.
"""

from __future__ import annotations

import time
from typing import NamedTuple

EPOCH_US = time.monotonic_ns() // 1000 - 86_400_000_000
LEAST_STEP_US = 20_000  # below this the clock is slewed, or this thread was held up between two looks
STEP_REMEMBERED_US = 2_000_000  # for what was received before a step and is read after it


def now() -> int:
    """Return the current time."""
    return time.monotonic_ns() // 1000 - EPOCH_US


def to_monotonic(time_us: int) -> int:
    """Convert a time to the machine's monotonic clock, which all processes share."""
    return time_us + EPOCH_US


def from_monotonic(monotonic_us: int) -> int:
    """Convert a time of the machine's monotonic clock, in microseconds."""
    return monotonic_us - EPOCH_US


class WallOffsets(NamedTuple):
    """How far the wall clock is ahead of the sidecar's clock, now and before its last step."""

    current: int
    previous: int
    stepped_at: int


class WallClock:
    """Converts Unix times to the sidecar's clock, also where the machine's wall clock is stepped.

    Which of two offsets a Unix time was taken with can't be known, but one that lies in the future can't be
    right.  For any thread: the offsets are replaced as a whole.
    """

    def __init__(self) -> None:
        at = now()
        self.first_offset = self.measure(at)
        self.offsets = WallOffsets(self.first_offset, self.first_offset, at - STEP_REMEMBERED_US)

    @staticmethod
    def measure(at: int) -> int:
        """Return how far the wall clock is ahead."""
        return time.time_ns() // 1000 - at

    def observe(self, at: int) -> WallOffsets:
        """Look at the wall clock, and note if it has been stepped since the last look."""
        current = self.measure(at)
        offsets = self.offsets
        if abs(current - offsets.current) > LEAST_STEP_US:
            self.offsets = offsets = WallOffsets(current, offsets.current, at)
        return offsets._replace(current=current)

    def received_at(self, unix_us: int, at: int) -> int:
        """Convert the time at which the kernel received something, no later than `at`, which is now."""
        offsets = self.observe(at)
        times = [unix_us - offsets.current]
        if at - offsets.stepped_at < STEP_REMEMBERED_US:
            times.append(unix_us - offsets.previous)
        return max((time_us for time_us in times if time_us <= at), default=at)

    def started_at(self, unix_us: int) -> int:
        """Convert the time at which a server started: the latest that it can have been, at least 1.

        A server that is taken for warm too early would be overloaded, one taken for cold too long is not.
        """
        at = now()
        latest = unix_us - min(self.first_offset, self.observe(at).current)
        return max(1, min(at, latest))

    def inherit(self, monotonic_offset: int) -> None:
        """Take over the offset that another process of this machine began with."""
        self.first_offset = monotonic_offset + EPOCH_US

    def monotonic_offset(self) -> int:
        """Return the first offset for another process of this machine."""
        return self.first_offset - EPOCH_US


wall = WallClock()


def from_unix_ms(unix_ms: int) -> int:
    """Convert the Unix time at which a server started, in milliseconds; at least 1."""
    return wall.started_at(unix_ms * 1000)
