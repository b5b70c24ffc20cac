"""A ring buffer for one direction of a connection."""

from __future__ import annotations

import re

from ..invariants import check_invariant

INITIAL_CAPACITY = 2048


class Ring:
    """A ring buffer of bytes that grows by doubling, up to its limit."""

    __slots__ = ("limit", "buffer", "view", "head", "size")

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.head = 0
        self.size = 0
        self.resize(min(INITIAL_CAPACITY, limit))

    def __len__(self) -> int:
        return self.size

    def resize(self, capacity: int) -> None:
        """Move the content to a new buffer of that capacity, starting at its beginning."""
        content = self.peek(self.size) if self.size else b""
        self.buffer = bytearray(capacity)
        self.buffer[: len(content)] = content
        self.view = memoryview(self.buffer)
        self.head = 0

    def writable(self, wanted: int = 0) -> memoryview:
        """Return contiguous free space, if empty for `wanted` bytes; none only when the limit is reached."""
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

    def size_for(self, wanted: int) -> int:
        """Return the size of the buffer once `writable(wanted)` has been called."""
        capacity = len(self.buffer)
        if not self.size and wanted > capacity:
            return min(wanted, self.limit)
        return min(2 * capacity, self.limit) if self.size == capacity < self.limit else capacity

    def commit(self, count: int) -> None:
        """Add bytes that were written to the start of `writable()`."""
        check_invariant(0 <= count <= len(self.buffer) - self.size, "ring overrun")
        self.size += count

    def write(self, chunk: bytes | memoryview) -> int:
        """Store as much as the limit allows, and return how many bytes that was."""
        written = 0
        while written < len(chunk):
            space = self.writable(len(chunk))
            count = min(len(space), len(chunk) - written)
            if not count:
                break
            space[:count] = chunk[written : written + count]
            self.commit(count)
            written += count
        return written

    def readable(self) -> memoryview:
        """Return the oldest bytes as far as they are contiguous."""
        return self.view[self.head : min(self.head + self.size, len(self.buffer))]

    def peek(self, count: int) -> bytes:
        """Return up to `count` of the oldest bytes without removing them."""
        count = min(count, self.size)
        end = self.head + count
        if end <= len(self.buffer):
            return bytes(self.view[self.head : end])
        return bytes(self.view[self.head :]) + bytes(self.view[: end - len(self.buffer)])

    def read(self, count: int) -> bytes:
        """Remove and return up to `count` of the oldest bytes."""
        data = self.peek(count)
        self.consume(count)
        return data

    def consume(self, count: int) -> None:
        """Remove the oldest `count` bytes."""
        check_invariant(0 <= count <= self.size, "ring underrun")
        self.size -= count
        self.head = (self.head + count) % len(self.buffer)

    def shrink(self) -> None:
        """Free the memory of an empty buffer, which many idle connections that were busy would keep."""
        if not self.size and len(self.buffer) > INITIAL_CAPACITY:
            self.resize(INITIAL_CAPACITY)

    def make_contiguous(self) -> None:
        """Move the content, if it wraps around, so that a match can't."""
        if self.head + self.size > len(self.buffer):
            self.resize(len(self.buffer))

    def find(self, pattern: bytes, start: int = 0) -> int:
        """Return the offset of the first match at or after `start`, counted from the oldest byte, or -1."""
        self.make_contiguous()
        position = self.buffer.find(pattern, self.head + start, self.head + self.size)
        return position - self.head if position >= 0 else -1

    def rfind(self, pattern: bytes) -> int:
        """Return the offset of the last match, or -1."""
        self.make_contiguous()
        position = self.buffer.rfind(pattern, self.head, self.head + self.size)
        return position - self.head if position >= 0 else -1

    def count(self, pattern: bytes, start: int, end: int) -> int:
        """Return how many matches there are between two offsets."""
        self.make_contiguous()
        return self.buffer.count(pattern, self.head + start, self.head + end)

    def starts_with(self, prefix: bytes, start: int = 0) -> bool:
        """Whether the content from an offset on begins with these bytes."""
        self.make_contiguous()
        return self.buffer.startswith(prefix, self.head + start, self.head + self.size)

    def match(self, pattern: re.Pattern[bytes], start: int, end: int) -> re.Match[bytes] | None:
        """Match a pattern at an offset, up to another one."""
        self.make_contiguous()
        return pattern.match(self.buffer, self.head + start, self.head + end)

    def match_size(self, pattern: re.Pattern[bytes], start: int = 0, end: int = -1) -> int:
        """Return how many bytes a pattern matches from an offset on, up to another one (-1: all)."""
        found = self.match(pattern, start, self.size if end < 0 else end)
        return found.end() - found.start() if found is not None else 0

    def copy(self, start: int, end: int) -> bytes:
        """Return the bytes between two offsets without removing them."""
        self.make_contiguous()
        return bytes(self.view[self.head + start : self.head + end])

    def move_to(self, target: bytearray, count: int) -> int:
        """Append up to `count` of the oldest bytes to `target` and remove them; returns how many."""
        moved = 0
        while moved < count and self.size:
            piece = self.readable()[: count - moved]
            target += piece
            self.consume(len(piece))
            moved += len(piece)
        return moved
