"""Decodes chunked bodies (RFC 9112, 7.1) into one buffer, whatever the size of the chunks.

An object for each chunk would take many times the memory of what it carries.
"""

from __future__ import annotations

from typing import Final

from .errors import MalformedMessageError
from .limits import MAX_HEAD_BYTES
from .ring import Ring

MAX_SIZE_DIGITS: Final = 8
# `Final` has the compiler put the values in place, which a loop over bytes needs.
TAB: Final = 9
LINE_FEED: Final = 10
CARRIAGE_RETURN: Final = 13
SPACE: Final = 32
SEMICOLON: Final = 59
DELETE: Final = 127
NO_DIGIT: Final = -1
HEX_DIGIT_VALUES: Final[list[int]] = [
    int(chr(code), 16) if chr(code) in "0123456789abcdefABCDEF" else NO_DIGIT for code in range(256)
]


def is_extension(data: bytes, at: int, end: int) -> bool:
    """Whether what follows the digits of a chunk's size is nothing, or an extension."""
    while at < end and (data[at] == SPACE or data[at] == TAB):
        at += 1
    if at == end:
        return True
    if data[at] != SEMICOLON:
        return False
    while at < end:
        byte = data[at]
        if byte < SPACE and byte != TAB or byte == DELETE:
            return False
        at += 1
    return True


class ChunkDecoder:
    """Decodes one body; `body_size` is what its chunks have announced so far, at most `max_body`."""

    def __init__(self, max_body: int) -> None:
        self.max_body = max_body
        self.body_size = 0
        self.remaining = 0  # bytes of the chunk that are still to be read
        self.line_end_due = False  # the chunk has been read, but not the line end after it
        self.scanned = 0  # bytes of the ring known to hold no line end

    def decode(self, ring: Ring, body: bytearray) -> bool:
        """Move what has arrived to `body`; whether the last chunk was reached, after which trailers follow.

        Raises MalformedMessageError.
        """
        data = ring.peek(ring.size)
        end = len(data)
        at = 0
        is_last = False
        while at < end and not is_last:
            if self.remaining:
                taken = min(self.remaining, end - at)
                body += data[at : at + taken]
                at += taken
                self.remaining -= taken
                self.line_end_due = not self.remaining
            elif self.line_end_due:
                if end - at < 2 and data[at] == CARRIAGE_RETURN:
                    break
                if data[at] != CARRIAGE_RETURN or data[at + 1] != LINE_FEED:
                    raise self.bad_line_end(data[at])
                at += 2
                self.line_end_due = False
            else:
                line_end = self.read_size(data, at, end)
                if not line_end:
                    break
                at = line_end
                is_last = not self.remaining
        ring.consume(at)
        return is_last

    def read_size(self, data: bytes, at: int, end: int) -> int:
        """Read a chunk's size, which begins at `at`; returns where its data begin, or 0 if incomplete."""
        size = 0
        digits_end = at
        while digits_end < end and digits_end - at < MAX_SIZE_DIGITS:
            value = HEX_DIGIT_VALUES[data[digits_end]]
            if value == NO_DIGIT:
                break
            size = size * 16 + value
            digits_end += 1
        line_end = digits_end + 2
        if line_end > end or data[digits_end] != CARRIAGE_RETURN or data[digits_end + 1] != LINE_FEED:
            line_end = self.find_line_end(data, at, end)
            if line_end and not is_extension(data, digits_end, line_end - 2):
                raise MalformedMessageError(400, "malformed size of a chunk")
        if not line_end:
            return 0
        if digits_end == at:
            raise MalformedMessageError(400, "malformed size of a chunk")
        self.announce(size)
        return line_end

    def find_line_end(self, data: bytes, at: int, end: int) -> int:
        """Return where the line that begins at `at` ends, or 0 if it is incomplete."""
        line_feed = data.find(b"\n", at + self.scanned, end)
        line_bytes = (line_feed + 1 if line_feed >= 0 else end) - at
        if line_bytes > MAX_HEAD_BYTES:
            raise MalformedMessageError(431, f"head or trailers of more than {MAX_HEAD_BYTES} bytes")
        if line_feed < 0:
            self.scanned = end - at
            return 0
        if line_feed == at or data[line_feed - 1] != CARRIAGE_RETURN:
            raise MalformedMessageError(400, "line that does not end in CR LF")
        return line_feed + 1

    def announce(self, size: int) -> None:
        """Note the size of the next chunk; raises MalformedMessageError if the body becomes too long."""
        self.scanned = 0
        self.remaining = size
        self.body_size += size
        if self.body_size > self.max_body:
            raise MalformedMessageError(413, f"body of more than {self.max_body} bytes")

    @staticmethod
    def bad_line_end(first: int) -> MalformedMessageError:
        """Return the error for what follows a chunk in place of a line end."""
        if first in (CARRIAGE_RETURN, LINE_FEED):
            return MalformedMessageError(400, "line that does not end in CR LF")
        return MalformedMessageError(400, "chunk longer than its size")
