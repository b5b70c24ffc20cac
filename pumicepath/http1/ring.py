"""A ring buffer for one direction of a connection; it grows by doubling up to its limit."""

from __future__ import annotations

from ..invariants import check_invariant

FIRST = 2048


class Ring:
    __slots__ = ("limit", "store", "view", "head", "size")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.head = 0
        self.size = 0
        self.resize(min(FIRST, limit))

    def __len__(self) -> int:
        return self.size

    def resize(self, capacity: int) -> None:
        kept = self.peek(self.size) if self.size else b""
        self.store = bytearray(capacity)
        self.store[: len(kept)] = kept
        self.view = memoryview(self.store)
        self.head = 0

    def room(self, wanted: int = 0) -> memoryview:
        """Where the next bytes may be written, in one piece; empty only when the limit is reached."""
        if not self.size and wanted > len(self.store):
            self.resize(min(wanted, self.limit))
        elif self.size == len(self.store) < self.limit:
            self.resize(min(2 * len(self.store), self.limit))
        elif not self.size:
            self.head = 0
        tail = (self.head + self.size) % len(self.store)
        if self.size == len(self.store):
            return self.view[:0]
        return self.view[tail : self.head] if tail < self.head else self.view[tail:]

    def wrote(self, count: int) -> None:
        check_invariant(0 <= count <= len(self.store) - self.size, "ring overrun")
        self.size += count

    def put(self, data: bytes | memoryview) -> int:
        """Store as much of the data as the limit allows, and tell how much that was."""
        done = 0
        while done < len(data):
            room = self.room(len(data))
            count = min(len(room), len(data) - done)
            if not count:
                break
            room[:count] = data[done : done + count]
            self.wrote(count)
            done += count
        return done

    def data(self) -> memoryview:
        """The oldest bytes held, in one piece."""
        return self.view[self.head : min(self.head + self.size, len(self.store))]

    def peek(self, count: int) -> bytes:
        count = min(count, self.size)
        end = self.head + count
        if end <= len(self.store):
            return bytes(self.view[self.head : end])
        return bytes(self.view[self.head :]) + bytes(self.view[: end - len(self.store)])

    def take(self, count: int) -> bytes:
        taken = self.peek(count)
        self.drop(count)
        return taken

    def drop(self, count: int) -> None:
        check_invariant(0 <= count <= self.size, "ring underrun")
        self.size -= count
        self.head = (self.head + count) % len(self.store)

    def rest(self) -> None:
        """Guards the memory limit against many idle connections that once were busy."""
        if not self.size and len(self.store) > FIRST:
            self.resize(FIRST)

    def find(self, what: bytes, start: int = 0) -> int:
        """Where the bytes first stand from `start` on, counted from the oldest; -1 if they do not."""
        if self.head + self.size > len(self.store):
            self.resize(len(self.store))  # in one piece, so that nothing is missed over the edge
        at = self.store.find(what, self.head + start, self.head + self.size)
        return at - self.head if at >= 0 else -1
