"""One account of the memory that requests and answers take, so that its sum stays inside the process's limit.

    reservation = Reservation(account, MemoryKind.REQUESTS)
    if reservation.resize(parser.held_bytes()): ...
    reservation.release()

Each connection has a small allowance that is part of its fixed cost, so that short messages need no account.
What goes beyond is reserved before it is read.  Sizes are in bytes.
"""

from __future__ import annotations

import os
import threading
from enum import StrEnum
from pathlib import Path

ALLOWANCE_BYTES = 8 * 1024  # of each connection in each direction
STEP_BYTES = 4 * 1024  # reservations are rounded up to this
CLIENT_CONNECTION_BYTES = 64 * 1024  # with its thread, both allowances and what the allocator loses
SERVER_CONNECTION_BYTES = 24 * 1024  # with its allowance
REFUSED_CONNECTION_BYTES = 8 * 1024  # one that gets no place
MIN_LIMIT_BYTES = 1 << 20  # below this not even one long message could be passed on
STATM = Path("/proc/self/statm")
STATM_RESIDENT = 1  # field of proc(5): resident pages


class MemoryKind(StrEnum):
    """What memory is held for; the values are written to the metrics."""

    REQUESTS = "requests"  # being read, or held until they are answered
    UPLOADS = "uploads"  # pieces of long bodies
    ANSWERS = "answers"  # from the first byte read from a server to the last one written to the client


def resident_bytes(default: int) -> int:
    """Return the resident memory of this process, or `default` where the platform doesn't tell."""
    try:
        return int(STATM.read_text().split()[STATM_RESIDENT]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return default


class MemoryBudget:
    """How much of the limit is left for messages, by what the process and its connections take without any.

    `usable`: of the limit; `base`: of a process without connections; `connections`: all that may be open.
    """

    def __init__(
        self,
        usable: int,
        base: int,
        client_connections: int,
        server_connections: int,
        refused_connections: int = 0,
    ) -> None:
        self.usable = usable
        self.base = base
        self.connections = (
            client_connections * CLIENT_CONNECTION_BYTES
            + server_connections * SERVER_CONNECTION_BYTES
            + refused_connections * REFUSED_CONNECTION_BYTES
        )

    def for_messages(self, processes: int) -> int:
        """Return what one process may hold where so many share the limit and the connections."""
        left = self.usable - processes * self.base - self.connections
        return max(MIN_LIMIT_BYTES, left // processes)


class MemoryAccount:
    """The sum of all reservations, by kind, with its high-water marks; for any thread."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.lock = threading.Lock()
        self.total = 0
        self.peak_total = 0
        self.shortages = 0  # requests for memory that were refused
        self.held: dict[MemoryKind, int] = dict.fromkeys(MemoryKind, 0)
        self.peaks: dict[MemoryKind, int] = dict.fromkeys(MemoryKind, 0)

    def change(self, kind: MemoryKind, count: int, forced: bool) -> bool:
        """Reserve `count` more, or less; False if the limit does not allow it and it is not `forced`."""
        with self.lock:
            if count > 0 and not forced and self.total + count > self.limit:
                self.shortages += 1
                return False
            self.total += count
            self.held[kind] += count
            self.peak_total = max(self.peak_total, self.total)
            self.peaks[kind] = max(self.peaks[kind], self.held[kind])
        return True

    def set_limit(self, limit: int) -> None:
        """Change the limit; what is held above it is given back as messages end."""
        self.limit = limit

    def metrics(self) -> dict[str, int]:
        """Return what is held by kind, the high-water marks and the limit, by metric."""
        with self.lock:
            return {
                "memory_limit": self.limit,
                "memory_held": self.total,
                "memory_peak": self.peak_total,
                "memory_shortages": self.shortages,
                **{f"memory_held.{kind}": held for kind, held in self.held.items()},
                **{f"memory_peak.{kind}": peak for kind, peak in self.peaks.items()},
            }


class Reservation:
    """What one connection has reserved for one kind; used by one thread at a time."""

    __slots__ = ("account", "kind", "size")

    def __init__(self, account: MemoryAccount, kind: MemoryKind) -> None:
        self.account = account
        self.kind = kind
        self.size = 0

    def resize(self, needed: int, forced: bool = False) -> bool:
        """Reserve what `needed` takes beyond the allowance; False, if there is too little of it.

        To take less never fails.
        """
        beyond = needed - ALLOWANCE_BYTES
        size = (beyond + STEP_BYTES - 1) // STEP_BYTES * STEP_BYTES if beyond > 0 else 0
        if size != self.size:
            if not self.account.change(self.kind, size - self.size, forced):
                return False
            self.size = size
        return True

    def move_to(self, kind: MemoryKind) -> None:
        """Count what is reserved under another kind from now on."""
        if kind != self.kind:
            self.account.change(self.kind, -self.size, True)
            self.account.change(kind, self.size, True)
            self.kind = kind

    def release(self) -> None:
        """Give all of it back."""
        self.resize(0)
