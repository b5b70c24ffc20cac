"""The sidecar's clock: whole microseconds of the monotonic clock.

It starts at one day, so that times before the start of the process are positive as well.
"""

from __future__ import annotations

import time

EPOCH_US = time.monotonic_ns() // 1000 - 86_400_000_000


def now() -> int:
    """Return the current time."""
    return time.monotonic_ns() // 1000 - EPOCH_US


def to_monotonic(time_us: int) -> int:
    """Convert a time to the machine's monotonic clock, which all processes share."""
    return time_us + EPOCH_US


def from_monotonic(monotonic_us: int) -> int:
    """Convert a time of the machine's monotonic clock, in microseconds."""
    return monotonic_us - EPOCH_US


def from_unix_ms(unix_ms: int) -> int:
    """Convert a Unix time in milliseconds; at least 1."""
    return max(1, now() - (time.time_ns() // 1000 - unix_ms * 1000))
