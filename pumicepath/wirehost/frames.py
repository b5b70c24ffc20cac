"""Reading and writing of the wire's binary frames."""

from __future__ import annotations

import struct
from typing import BinaryIO, NamedTuple

EVENT_BYTES, ACTION_BYTES, ENTRY_BYTES = 40, 24, 23
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
    """The input is not what the wire allows."""


class Batch(NamedTuple):
    now: float
    records: list[tuple[int, tuple]]
    tail: memoryview


def tail_slice(tail: memoryview, offset: int, size: int) -> memoryview:
    if offset + size > len(tail):
        raise MalformedFrameError(f"tail of {len(tail)} bytes has no {size} bytes at {offset}")
    return tail[offset : offset + size]


def read_batch(stream: BinaryIO) -> Batch | None:
    """The next batch, or None at the end of the input."""
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
    for at in range(0, count * EVENT_BYTES, EVENT_BYTES):
        (code,) = EVENT_CODE.unpack_from(body, at)
        fields = EVENT_FIELDS.get(code)
        if fields is None:
            raise MalformedFrameError(f"unknown event code {code}")
        records.append((code, fields.unpack_from(body, at + 2)))
    return Batch(now, records, body[count * EVENT_BYTES :])


class Reply:
    """The actions of one reply, in the order written."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = bytearray()

    def add(self, code: int, layout: str, *fields: float) -> None:
        self.records.append(struct.pack("<H" + layout, code, *fields).ljust(ACTION_BYTES, b"\0"))

    def add_text(self, code: int, instance: int, text: str) -> None:
        data = text.encode()
        self.add(code, "HII", instance, len(self.tail), len(data))
        self.tail += data

    def write(self, stream: BinaryIO) -> None:
        body = b"".join(self.records) + self.tail
        stream.write(REPLY_HEADER.pack(len(self.records), len(body)) + body)
        stream.flush()
