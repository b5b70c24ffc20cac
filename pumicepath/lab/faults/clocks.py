"""A clock and a disk of its own for a process: set by the rig through a page of memory that both have mapped.

`Page.set` changes the rate of the process's monotonic clock, and steps its wall clock; `now` reads.  The page
holds two versions and the number of the valid one, so that a reader never sees half a change.
"""

from __future__ import annotations

import mmap
import struct
import time
from pathlib import Path

SLOT = struct.Struct("qqdq")  # real and own nanoseconds from when it holds, rate, wall's offset
SIZE = 8 + 2 * SLOT.size
READ_ONLY, SLOW = 1, 2  # bytes beside the number of the slot: a flag, and tens of milliseconds
VARIABLE = "PUMICEPATH_LAB_CLOCK"


class Page:
    def __init__(self, path: Path) -> None:
        if not path.exists():
            path.write_bytes(bytes(SIZE))
        with path.open("r+b") as file:
            self.map = mmap.mmap(file.fileno(), SIZE)
        self.real = time.monotonic_ns
        if not SLOT.unpack_from(self.map, 8)[2]:
            now = self.real()
            for slot in (0, 1):
                SLOT.pack_into(self.map, 8 + slot * SLOT.size, now, now, 1.0, 0)

    def slot(self) -> tuple[int, int, float, int]:
        since, own, rate, wall = SLOT.unpack_from(self.map, 8 + self.map[0] * SLOT.size)
        return since, own, rate, wall

    def set(self, rate: float | None = None, step_ns: int = 0) -> None:
        """From now on; a rate of 1.0002 gains 200 microseconds a second."""
        since, own, old, wall = self.slot()
        now = self.real()
        other = 1 - self.map[0]
        SLOT.pack_into(
            self.map,
            8 + other * SLOT.size,
            now,
            own + int((now - since) * old),
            old if rate is None else rate,
            wall + step_ns,
        )
        self.map[0] = other

    def disk(self, read_only: bool, slow_ms: float) -> None:
        """How the process's disk is from now on: what may be done to it, and how long each step takes."""
        self.map[READ_ONLY] = read_only
        self.map[SLOW] = min(255, round(slow_ms / 10))

    def monotonic_ns(self) -> int:
        since, own, rate, _ = self.slot()
        return own + int((self.real() - since) * rate)

    def wall_ns(self, real_wall: int) -> int:
        since, own, rate, wall = self.slot()
        now = self.real()
        return real_wall + wall + own + int((now - since) * rate) - now
