"""Whole microseconds of the monotonic clock, a day at the start, so that earlier times lie above 0."""

from __future__ import annotations

import time

EPOCH_US = time.monotonic_ns() // 1000 - 86_400_000_000


def now() -> int:
    return time.monotonic_ns() // 1000 - EPOCH_US


def to_monotonic(time_us: int) -> int:
    """A time as another process of this machine knows it."""
    return time_us + EPOCH_US


def from_monotonic(monotonic_us: int) -> int:
    return monotonic_us - EPOCH_US


def from_unix_ms(unix_ms: int) -> int:
    """A time of the machines' common clock by this one."""
    return max(1, now() - (time.time_ns() // 1000 - unix_ms * 1000))
