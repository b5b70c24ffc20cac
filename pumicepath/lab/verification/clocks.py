"""A memory-mapped page through which the test harness changes the clock and the disk of another process.

`ControlPage.set_clock` changes the rate of the process's monotonic clock and steps its wall clock;
`monotonic_ns` and `wall_ns` read them.  The page holds two versions of the clock and the index of the valid
one, so a reader never sees a half-written change.
"""

from __future__ import annotations

import mmap
import struct
import time
from pathlib import Path

# Real time and own time at the change (ns), rate, offset of the wall clock (ns).
SLOT_LAYOUT = struct.Struct("qqdq")
PAGE_BYTES = 8 + 2 * SLOT_LAYOUT.size
READ_ONLY_OFFSET, SLOW_OFFSET = 1, 2  # bytes after the slot index: a flag, and units of 10 ms
PAGE_PATH_VARIABLE = "PUMICEPATH_LAB_CLOCK"


class ControlPage:
    """Clock and disk settings of one process, in a file that it shares with the harness."""

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
        """Returns the valid clock setting, in the order of `SLOT_LAYOUT`."""
        changed_at, own, rate, wall_offset = SLOT_LAYOUT.unpack_from(
            self.memory, 8 + self.memory[0] * SLOT_LAYOUT.size
        )
        return changed_at, own, rate, wall_offset

    def set_clock(self, rate: float | None = None, step_ns: int = 0) -> None:
        """Changes the clock from now on; a rate of 1.0002 gains 200 microseconds per second."""
        changed_at, own, old_rate, wall_offset = self.active_slot()
        now = self.real_monotonic_ns()
        next_slot = 1 - self.memory[0]
        SLOT_LAYOUT.pack_into(
            self.memory,
            8 + next_slot * SLOT_LAYOUT.size,
            now,
            own + int((now - changed_at) * old_rate),
            old_rate if rate is None else rate,
            wall_offset + step_ns,
        )
        self.memory[0] = next_slot

    def set_disk(self, read_only: bool, slow_ms: float) -> None:
        """Makes the disk read-only or writable, and each operation take `slow_ms` (in steps of 10 ms)."""
        self.memory[READ_ONLY_OFFSET] = read_only
        self.memory[SLOW_OFFSET] = min(255, round(slow_ms / 10))

    def monotonic_ns(self) -> int:
        """Returns the process's monotonic time in nanoseconds."""
        changed_at, own, rate, _ = self.active_slot()
        return own + int((self.real_monotonic_ns() - changed_at) * rate)

    def wall_ns(self, real_wall: int) -> int:
        """Returns the process's wall time for a true wall time, both in nanoseconds since the epoch."""
        changed_at, own, rate, wall_offset = self.active_slot()
        now = self.real_monotonic_ns()
        return real_wall + wall_offset + own + int((now - changed_at) * rate) - now
