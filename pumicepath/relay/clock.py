"""Whole microseconds of the monotonic clock."""

from __future__ import annotations

import time


def now_us() -> int:
    return time.monotonic_ns() // 1000
