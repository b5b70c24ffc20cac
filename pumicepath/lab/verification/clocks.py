"""A clock and a disk of its own for a process: set by the rig through a page of memory that both have mapped.

`Page.set` changes the rate of the process's monotonic clock, and steps its wall clock; `now` reads.  The page
holds two versions and the number of the valid one, so that a reader never sees half a change.
"""

from __future__ import annotations

import mmap
import struct
import time
from pathlib import Path

SLOT_LAYOUT = struct.Struct("qqdq")  # real and own nanoseconds from when it holds, rate, wall's offset
PAGE_BYTES = 8 + 2 * SLOT_LAYOUT.size
READ_ONLY_OFFSET, SLOW_OFFSET = 1, 2  # bytes beside the number of the slot: a flag, and tens of milliseconds
PAGE_PATH_VARIABLE = "PUMICEPATH_LAB_CLOCK"


class ControlPage:
    def __init__(self, path: Path) -> None:
        if not path.exists():
            path.write_bytes(bytes(PAGE_BYTES))
        with path.open("r+b") as file:
            self.memory = mmap.mmap(file.fileno(), PAGE_BYTES)
        self.real_monotonic_ns = time.monotonic_ns
        if not SLOT_LAYOUT.unpack_from(self.memory, 8)[2]:
            now = self.real_monotonic_ns()
            for slot in (0, 1):
                SLOT_LAYOUT.pack_into(self.memory, 8 + slot * SLOT_LAYOUT.size, now, now, 1.0, 0)

    def active_slot(self) -> tuple[int, int, float, int]:
        since, own, rate, wall = SLOT_LAYOUT.unpack_from(self.memory, 8 + self.memory[0] * SLOT_LAYOUT.size)
        return since, own, rate, wall

    def set_clock(self, rate: float | None = None, step_ns: int = 0) -> None:
        """From now on; a rate of 1.0002 gains 200 microseconds a second."""
        since, own, old, wall = self.active_slot()
        now = self.real_monotonic_ns()
        other = 1 - self.memory[0]
        SLOT_LAYOUT.pack_into(
            self.memory,
            8 + other * SLOT_LAYOUT.size,
            now,
            own + int((now - since) * old),
            old if rate is None else rate,
            wall + step_ns,
        )
        self.memory[0] = other

    def set_disk(self, read_only: bool, slow_ms: float) -> None:
        """How the process's disk is from now on: what may be done to it, and how long each step takes."""
        self.memory[READ_ONLY_OFFSET] = read_only
        self.memory[SLOW_OFFSET] = min(255, round(slow_ms / 10))

    def monotonic_ns(self) -> int:
        since, own, rate, _ = self.active_slot()
        return own + int((self.real_monotonic_ns() - since) * rate)

    def wall_ns(self, real_wall: int) -> int:
        since, own, rate, wall = self.active_slot()
        now = self.real_monotonic_ns()
        return real_wall + wall + own + int((now - since) * rate) - now
