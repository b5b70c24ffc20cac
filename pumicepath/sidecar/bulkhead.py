"""Keeps work that few requests need from slowing down all others: one thread at a time does each kind of it.

    entry = BulkheadEntry(bulkheads.transfers)
    entry.enter()      # waits for its turn
    entry.leave()      # before anything that may block

Hundreds of threads that each parse or copy a little compete for the interpreter with those that answer short
requests, which would then wait for all of them several times.  Behind a bulkhead they wait for one another.
"""

from __future__ import annotations

import threading


class Bulkheads:
    """The kinds of work that are kept apart.

    `transfers`: bodies beyond what came with their head; `local_answers`: taking up requests of a client that
    sends several in a row which need no server, or behind which it has written more already.
    """

    def __init__(self) -> None:
        self.transfers = threading.Lock()
        self.local_answers = threading.Lock()


class BulkheadEntry:
    """One connection's way through a bulkhead; used by the connection's own thread only."""

    __slots__ = ("lock", "is_inside")

    def __init__(self, lock: threading.Lock) -> None:
        self.lock = lock
        self.is_inside = False

    def enter(self) -> None:
        """Wait until no other thread is inside; nothing happens if this one is."""
        if not self.is_inside:
            self.lock.acquire()
            self.is_inside = True

    def leave(self) -> None:
        """Let the next thread in; nothing happens if this one is not inside."""
        if self.is_inside:
            self.is_inside = False
            self.lock.release()
