"""Whole microseconds of the monotonic clock, a day at the start, so that earlier times lie above 0."""

from __future__ import annotations

import time

ORIGIN = time.monotonic_ns() // 1000 - 86_400_000_000


def now() -> int:
    return time.monotonic_ns() // 1000 - ORIGIN


def to_monotonic(then: int) -> int:
    """A time as another process of this machine knows it."""
    return then + ORIGIN


def since_monotonic(then: int) -> int:
    return then - ORIGIN


def since_unix_ms(then: int) -> int:
    """A time of the machines' common clock by this one."""
    return max(1, now() - (time.time_ns() // 1000 - then * 1000))
