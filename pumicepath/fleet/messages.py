"""Messages between sidecars: `encode_message` returns a datagram, `decode_message` the message in one.

A datagram is the protocol version (1 byte), a CRC-32 (4 bytes) and the message as MessagePack. The checksum
is seeded with that of the fleet's name, so that messages of another fleet are rejected. msgspec was compared
with orjson: it needs a third of the bytes, checks types and bounds while it decodes, and is imported only
where peers are configured. Structs are encoded as arrays: the order of their fields is part of the protocol.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import Annotated, TypeVar
from zlib import crc32

import msgspec
from msgspec import Meta

from .settings import MAX_NAME_BYTES

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 1400  # not fragmented on a path with an MTU of 1,500
HEADER_BYTES = 5
MAX_BATCH_BYTES = 1150  # left in a datagram beside the sender's record with the longest names
MAX_BATCH_ITEMS = 24
ALIVE, SUSPECTED, DEAD, LEFT = range(4)
STATES = ("alive", "suspected", "dead", "left")

Name = Annotated[str, Meta(max_length=MAX_NAME_BYTES)]
Address = Annotated[str, Meta(max_length=21)]
Id = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Count = Annotated[int, Meta(ge=0, lt=1 << 32)]


class Record(msgspec.Struct, array_like=True, frozen=True):
    """State of one instance of a sidecar; `suspected_by` is the id of the instance that suspects it."""

    name: Name
    instance_id: Id
    address: Address
    zone: Name
    incarnation: Count = 0
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)] = ALIVE
    suspected_by: Id = 0


Records = Annotated[list[Record], Meta(max_length=64)]


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Base of all messages: the sender and the digest of its view, by which differing views are detected."""

    sender: Record
    digest: Id


class Ping(Message, tag=1, frozen=True):
    """Probe, answered with `Ack`; `target_id` is the instance that is meant, 0 for any."""

    number: Count
    target_id: Id
    updates: Records


class Ack(Message, tag=2, frozen=True):
    """Answer to the ping of that number."""

    number: Count
    updates: Records


class PingRequest(Message, tag=3, frozen=True):
    """Request to ping instance `target_id` at `address` and to forward its answer."""

    number: Count
    target_id: Id
    address: Address
    updates: Records


class IndirectAck(Message, tag=4, frozen=True):
    """Answer to a ping on behalf of another sidecar; `responder` is the instance that answered."""

    number: Count
    responder: Record


class PageRequest(Message, tag=5, frozen=True):
    """Request for the page of the whole view with instance ids above `after`."""

    after: Id


class Page(Message, tag=6, frozen=True):
    """Records with instance ids above `after`, and whether more follow."""

    after: Id
    records: Records
    more: bool


class Updates(Message, tag=7, frozen=True):
    """Updates that are not piggybacked on another message."""

    updates: Records


class ClaimEntry(msgspec.Struct, array_like=True, frozen=True):
    """One duty that is claimed, renewed or released under a fencing number."""

    duty: Name
    number: Id
    release: bool = False


class Claims(Message, tag=8, frozen=True):
    """Claims to a voter; `voter_set_ids` names the sets of voters whose majorities the sender has to win."""

    round: Count
    lease: Count
    voter_set_ids: Annotated[list[Id], Meta(max_length=8)]
    claims: Annotated[list[ClaimEntry], Meta(max_length=64)]


class GrantEntry(msgspec.Struct, array_like=True, frozen=True):
    """A voter's answer to one claim; the fields are those of `leases.ClaimAnswer`."""

    duty: Name
    number: Id
    result: Annotated[int, Meta(ge=0, le=5)]  # a `leases.ClaimResult`
    wait: Count
    highest_number: Id


class Grants(Message, tag=9, frozen=True):
    """A voter's answers to the claims of one round, or with round 0 a notice that a duty was released."""

    round: Count
    grants: Annotated[list[GrantEntry], Meta(max_length=64)]


class TrialReport(msgspec.Struct, array_like=True, frozen=True):
    """The result of the trial of a server or, if not `finished`, that one sidecar is about to make it.

    The report with the higher `version` is newer. `wait` is in microseconds: after a trial the time for which
    nobody else needs to try the server, 0 if it succeeded; before it the time for which nobody else needs to
    claim the duty.
    """

    server: Name
    version: Id
    wait: Annotated[int, Meta(ge=0, le=60_000_000)]
    finished: bool = True


class TrialReports(Message, tag=10, frozen=True):
    """Trial reports of the sender's zone, disseminated within that zone."""

    reports: Annotated[list[TrialReport], Meta(max_length=64)]


AnyMessage = (
    Ping | Ack | PingRequest | IndirectAck | PageRequest | Page | Updates | Claims | Grants | TrialReports
)
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(AnyMessage)


class VersionMismatchError(Exception):
    """The datagram has another protocol version."""


class MalformedMessageError(Exception):
    """No message of this fleet: truncated, corrupted, out of bounds, or of a fleet with another name."""


def encode_message(message: AnyMessage, checksum_seed: int) -> bytes:
    """The datagram for a message; `checksum_seed` is that of `fleet_checksum_seed`."""
    body = ENCODER.encode(message)
    return bytes((PROTOCOL_VERSION,)) + crc32(body, checksum_seed).to_bytes(4, "big") + body


def decode_message(data: bytes, checksum_seed: int) -> AnyMessage:
    """The message in a datagram.

    Raises VersionMismatchError or MalformedMessageError.
    """
    if len(data) <= HEADER_BYTES or len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedMessageError
    if data[0] != PROTOCOL_VERSION:
        raise VersionMismatchError
    body = data[HEADER_BYTES:]
    if crc32(body, checksum_seed).to_bytes(4, "big") != data[1:HEADER_BYTES]:
        raise MalformedMessageError
    try:
        message: AnyMessage = DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedMessageError from error
    return message


Item = TypeVar("Item")


def batches(items: Sequence[Item], name: Callable[[Item], str], overhead_bytes: int) -> Iterator[list[Item]]:
    """Split items into batches that each fit into one message.

    An item takes the bytes of its name and `overhead_bytes` for its other fields.
    """
    batch: list[Item] = []
    remaining = MAX_BATCH_BYTES
    for item in items:
        remaining -= len(name(item).encode()) + overhead_bytes
        if batch and (remaining < 0 or len(batch) >= MAX_BATCH_ITEMS):
            yield batch
            batch, remaining = [], MAX_BATCH_BYTES - len(name(item).encode()) - overhead_bytes
        batch.append(item)
    if batch:
        yield batch


def fleet_checksum_seed(fleet: str) -> int:
    """The seed of the checksums of a fleet's messages."""
    return crc32(fleet.encode())


def encoded_size(record: Record) -> int:
    """Bytes that a record takes in a message."""
    return len(ENCODER.encode(record))
