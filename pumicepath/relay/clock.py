"""The clock of a relay."""

from __future__ import annotations

import time


def now_us() -> int:
    """The monotonic clock in whole microseconds."""
    return time.monotonic_ns() // 1000
