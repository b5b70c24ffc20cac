"""A ring buffer for one direction of a connection; it grows by doubling up to its limit."""

from __future__ import annotations

from ..invariants import check_invariant

INITIAL_CAPACITY = 2048


class Ring:
    __slots__ = ("limit", "buffer", "view", "head", "size")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.head = 0
        self.size = 0
        self.resize(min(INITIAL_CAPACITY, limit))

    def __len__(self) -> int:
        return self.size

    def resize(self, capacity: int) -> None:
        kept = self.peek(self.size) if self.size else b""
        self.buffer = bytearray(capacity)
        self.buffer[: len(kept)] = kept
        self.view = memoryview(self.buffer)
        self.head = 0

    def writable(self, wanted: int = 0) -> memoryview:
        """Where the next bytes may be written, in one piece; empty only when the limit is reached."""
        if not self.size and wanted > len(self.buffer):
            self.resize(min(wanted, self.limit))
        elif self.size == len(self.buffer) < self.limit:
            self.resize(min(2 * len(self.buffer), self.limit))
        elif not self.size:
            self.head = 0
        tail = (self.head + self.size) % len(self.buffer)
        if self.size == len(self.buffer):
            return self.view[:0]
        return self.view[tail : self.head] if tail < self.head else self.view[tail:]

    def commit(self, count: int) -> None:
        check_invariant(0 <= count <= len(self.buffer) - self.size, "ring overrun")
        self.size += count

    def write(self, chunk: bytes | memoryview) -> int:
        """Store as much of the data as the limit allows, and tell how much that was."""
        done = 0
        while done < len(chunk):
            room = self.writable(len(chunk))
            count = min(len(room), len(chunk) - done)
            if not count:
                break
            room[:count] = chunk[done : done + count]
            self.commit(count)
            done += count
        return done

    def readable(self) -> memoryview:
        """The oldest bytes held, in one piece."""
        return self.view[self.head : min(self.head + self.size, len(self.buffer))]

    def peek(self, count: int) -> bytes:
        count = min(count, self.size)
        end = self.head + count
        if end <= len(self.buffer):
            return bytes(self.view[self.head : end])
        return bytes(self.view[self.head :]) + bytes(self.view[: end - len(self.buffer)])

    def read(self, count: int) -> bytes:
        taken = self.peek(count)
        self.consume(count)
        return taken

    def consume(self, count: int) -> None:
        check_invariant(0 <= count <= self.size, "ring underrun")
        self.size -= count
        self.head = (self.head + count) % len(self.buffer)

    def shrink(self) -> None:
        """Guards the memory limit against many idle connections that once were busy."""
        if not self.size and len(self.buffer) > INITIAL_CAPACITY:
            self.resize(INITIAL_CAPACITY)

    def find(self, pattern: bytes, start: int = 0) -> int:
        """Where the bytes first stand from `start` on, counted from the oldest; -1 if they do not."""
        if self.head + self.size > len(self.buffer):
            self.resize(len(self.buffer))  # in one piece, so that nothing is missed over the edge
        at = self.buffer.find(pattern, self.head + start, self.head + self.size)
        return at - self.head if at >= 0 else -1
