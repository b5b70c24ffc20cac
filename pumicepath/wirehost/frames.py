"""Binary frames of the simulator's protocol, little-endian, times and durations as seconds.

A batch of events is a header, records of EVENT_BYTES each and a tail; a reply is a header, actions of
ACTION_BYTES each and a tail.  Records refer to variable-length data in the tail by offset and size.
"""

from __future__ import annotations

import struct
from typing import BinaryIO, NamedTuple

EVENT_BYTES, ACTION_BYTES, ENTRY_BYTES = 40, 24, 23  # an event, an action, a server in a sheet
BATCH_HEADER = struct.Struct("<IdI")
REPLY_HEADER = struct.Struct("<II")
ENTRY_FIELDS = struct.Struct("<IHHHBfd")
EVENT_CODE = struct.Struct("<H")
CREATE, CHANGED, INGRESS, STARTED, REPORT, VANISHED, TICK, PROBED, DATAGRAM, EXIT, SHEET = range(1, 12)
EVENT_FIELDS = {
    CREATE: struct.Struct("<HQII"),
    CHANGED: struct.Struct("<HIBI"),
    INGRESS: struct.Struct("<HIIQBddB"),
    STARTED: struct.Struct("<HIBId"),
    REPORT: struct.Struct("<HIBBdIB"),
    VANISHED: struct.Struct("<HI"),
    TICK: struct.Struct("<HQ"),
    PROBED: struct.Struct("<HIBd"),
    DATAGRAM: struct.Struct("<HIII"),
    EXIT: struct.Struct("<H"),
    SHEET: struct.Struct("<III"),
}


class MalformedFrameError(Exception):
    """The input violates the simulator's protocol."""


class Batch(NamedTuple):
    """The events of one batch: their time in seconds, code and fields of each record, and the tail."""

    now: float
    records: list[tuple[int, tuple]]
    tail: memoryview


def tail_slice(tail: memoryview, offset: int, size: int) -> memoryview:
    """Return `size` bytes of the tail; raises MalformedFrameError if it doesn't have them."""
    if offset + size > len(tail):
        raise MalformedFrameError(f"tail of {len(tail)} bytes has no {size} bytes at {offset}")
    return tail[offset : offset + size]


def read_batch(stream: BinaryIO) -> Batch | None:
    """Return the next batch, or None at the end of the input.

    Raises MalformedFrameError if the input ends within a batch, a record has an unknown code, or the records
    don't fit the batch.
    """
    head = stream.read(BATCH_HEADER.size)
    if not head:
        return None
    if len(head) < BATCH_HEADER.size:
        raise MalformedFrameError(f"batch header of {len(head)} bytes")
    length, now, count = BATCH_HEADER.unpack(head)
    body = memoryview(stream.read(length))
    if len(body) < length:
        raise MalformedFrameError(f"batch of {length} bytes ends after {len(body)}")
    if count * EVENT_BYTES > length:
        raise MalformedFrameError(f"{count} records do not fit {length} bytes")
    records = []
    for offset in range(0, count * EVENT_BYTES, EVENT_BYTES):
        (code,) = EVENT_CODE.unpack_from(body, offset)
        fields = EVENT_FIELDS.get(code)
        if fields is None:
            raise MalformedFrameError(f"unknown event code {code}")
        records.append((code, fields.unpack_from(body, offset + 2)))
    return Batch(now, records, body[count * EVENT_BYTES :])


class Reply:
    """The actions of one reply, in the order in which they are added."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = bytearray()

    def add(self, code: int, layout: str, *fields: float) -> None:
        """Add an action; `layout` is the struct format of the fields that follow its code."""
        self.records.append(struct.pack("<H" + layout, code, *fields).ljust(ACTION_BYTES, b"\0"))

    def add_text(self, code: int, instance: int, text: str) -> None:
        """Add an action that carries a text in the tail."""
        data = text.encode()
        self.add(code, "HII", instance, len(self.tail), len(data))
        self.tail += data

    def write(self, stream: BinaryIO) -> None:
        """Write the whole reply and flush the stream."""
        body = b"".join(self.records) + self.tail
        stream.write(REPLY_HEADER.pack(len(self.records), len(body)) + body)
        stream.flush()
