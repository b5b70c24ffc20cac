"""What sidecars send each other: `packed` gives a datagram, `unpacked` the message in one.

A datagram is the version (1 byte), a CRC-32 of the rest (4 bytes) that begins with the fleet's name, and the
message as MessagePack.  msgspec was weighed against orjson: a third of the bytes, the types and bounds are
checked as it decodes, and it is imported only where there are peers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import Annotated, TypeVar
from zlib import crc32

import msgspec
from msgspec import Meta

from .settings import MAX_NAME_BYTES

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1400  # bytes of a datagram: whole on a way with an MTU of 1,500
HEADER_BYTES = 5
MAX_BATCH_BYTES = 1150  # bytes of a datagram behind the sender's own record, with the longest names
MAX_BATCH_ITEMS = 24
ALIVE, SUSPECTED, DEAD, LEFT = range(4)
STATES = ("alive", "suspected", "dead", "left")

Name = Annotated[str, Meta(max_length=MAX_NAME_BYTES)]
Address = Annotated[str, Meta(max_length=21)]
Id = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Count = Annotated[int, Meta(ge=0, lt=1 << 32)]


class Record(msgspec.Struct, array_like=True, frozen=True):
    """What is told of one life of a sidecar; `born` names that life, `by` the one that suspects it."""

    name: Name
    instance_id: Id
    address: Address
    zone: Name
    incarnation: Count = 0
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)] = ALIVE
    suspected_by: Id = 0


Records = Annotated[list[Record], Meta(max_length=64)]


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Each has who sends it, and what its view comes to, so that two views that differ are found."""

    sender: Record
    digest: Id


class Ping(Message, tag=1, frozen=True):
    """Answer with `Ack`; `to` is the life that is meant, 0 for whoever is there."""

    number: Count
    target_id: Id
    updates: Records


class Ack(Message, tag=2, frozen=True):
    number: Count
    updates: Records


class PingRequest(Message, tag=3, frozen=True):
    """Ask a third one to ping `to` at `address`, and to pass its answer on."""

    number: Count
    target_id: Id
    address: Address
    updates: Records


class IndirectAck(Message, tag=4, frozen=True):
    """What a peer answered that was pinged on behalf of another: `of` is who did answer there."""

    number: Count
    responder: Record


class PageRequest(Message, tag=5, frozen=True):
    """A page of the whole view, of lives above `after`."""

    after: Id


class Page(Message, tag=6, frozen=True):
    after: Id
    records: Records
    more: bool


class Updates(Message, tag=7, frozen=True):
    updates: Records


class ClaimEntry(msgspec.Struct, array_like=True, frozen=True):
    """One duty that is claimed, renewed or given up, under a number."""

    duty: Name
    number: Id
    release: bool = False


class Claims(Message, tag=8, frozen=True):
    """Ask a voter; `sets` names the sets of voters of which the sender will win majorities."""

    round: Count
    lease: Count
    voter_set_ids: Annotated[list[Id], Meta(max_length=8)]
    claims: Annotated[list[ClaimEntry], Meta(max_length=64)]


class GrantEntry(msgspec.Struct, array_like=True, frozen=True):
    duty: Name
    number: Id
    result: Annotated[int, Meta(ge=0, le=5)]  # of `leases.Verdict`
    wait: Count
    highest_number: Id


class Grants(Message, tag=9, frozen=True):
    round: Count
    grants: Annotated[list[GrantEntry], Meta(max_length=64)]


class TrialReport(msgspec.Struct, array_like=True, frozen=True):
    """What the trial of a server came to, or, if it was not `tried`, that one sidecar has it in hand.

    Of two words the one with the higher `version` is newer.  `wait` is microseconds: that nobody else need
    try it for, 0 where it has served, or that nobody else need ask for the duty.
    """

    server: Name
    version: Id
    wait: Annotated[int, Meta(ge=0, le=60_000_000)]
    finished: bool = True


class TrialReports(Message, tag=10, frozen=True):
    """Of the sender's zone, and told on within it."""

    reports: Annotated[list[TrialReport], Meta(max_length=64)]


AnyMessage = (
    Ping | Ack | PingRequest | IndirectAck | PageRequest | Page | Updates | Claims | Grants | TrialReports
)
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(AnyMessage)


class VersionMismatchError(Exception):
    """Of another version."""


class MalformedMessageError(Exception):
    """No message of this fleet: cut short, spoilt, out of bounds, or sealed with another name."""


def encode_message(message: AnyMessage, checksum_seed: int) -> bytes:
    """`seal` is that of the fleet's name, as `sealed` gives it."""
    body = ENCODER.encode(message)
    return bytes((PROTOCOL_VERSION,)) + crc32(body, checksum_seed).to_bytes(4, "big") + body


def decode_message(data: bytes, checksum_seed: int) -> AnyMessage:
    """Raises Foreign or Noise."""
    if len(data) <= HEADER_BYTES or len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedMessageError
    if data[0] != PROTOCOL_VERSION:
        raise VersionMismatchError
    body = data[HEADER_BYTES:]
    if crc32(body, checksum_seed).to_bytes(4, "big") != data[1:HEADER_BYTES]:
        raise MalformedMessageError
    try:
        message: AnyMessage = DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
        raise MalformedMessageError from trouble
    return message


Item = TypeVar("Item")


def batches(items: Sequence[Item], name: Callable[[Item], str], overhead_bytes: int) -> Iterator[list[Item]]:
    """As many as go into a message at a time: the bytes of each one's name, and `besides` for the rest."""
    batch: list[Item] = []
    room = MAX_BATCH_BYTES
    for each in items:
        room -= len(name(each).encode()) + overhead_bytes
        if batch and (room < 0 or len(batch) >= MAX_BATCH_ITEMS):
            yield batch
            batch, room = [], MAX_BATCH_BYTES - len(name(each).encode()) - overhead_bytes
        batch.append(each)
    if batch:
        yield batch


def fleet_checksum_seed(fleet: str) -> int:
    return crc32(fleet.encode())


def encoded_size(record: Record) -> int:
    """Bytes that it takes in a message."""
    return len(ENCODER.encode(record))
