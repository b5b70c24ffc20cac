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

from .settings import LONGEST_NAME

VERSION = 1
LONGEST = 1400  # bytes of a datagram: whole on a way with an MTU of 1,500
HEAD = 5
ROOM = 1150  # bytes of a datagram behind the sender's own record, with the longest names
OF_BATCH = 24
ALIVE, SUSPECTED, DEAD, LEFT = range(4)
STATES = ("alive", "suspected", "dead", "left")

Name = Annotated[str, Meta(max_length=LONGEST_NAME)]
Place = Annotated[str, Meta(max_length=21)]
Id = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Count = Annotated[int, Meta(ge=0, lt=1 << 32)]


class Record(msgspec.Struct, array_like=True, frozen=True):
    """What is told of one life of a sidecar; `born` names that life, `by` the one that suspects it."""

    name: Name
    born: Id
    address: Place
    zone: Name
    incarnation: Count = 0
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)] = ALIVE
    by: Id = 0


Records = Annotated[list[Record], Meta(max_length=64)]


class Message(msgspec.Struct, array_like=True, frozen=True):
    """Each has who sends it, and what its view comes to, so that two views that differ are found."""

    sender: Record
    digest: Id


class Ping(Message, tag=1, frozen=True):
    """Answer with `Ack`; `to` is the life that is meant, 0 for whoever is there."""

    number: Count
    to: Id
    news: Records


class Ack(Message, tag=2, frozen=True):
    number: Count
    news: Records


class Reach(Message, tag=3, frozen=True):
    """Ask a third one to ping `to` at `address`, and to pass its answer on."""

    number: Count
    to: Id
    address: Place
    news: Records


class Passed(Message, tag=4, frozen=True):
    """What a peer answered that was pinged on behalf of another: `of` is who did answer there."""

    number: Count
    of: Record


class Want(Message, tag=5, frozen=True):
    """A page of the whole view, of lives above `after`."""

    after: Id


class Page(Message, tag=6, frozen=True):
    after: Id
    records: Records
    more: bool


class News(Message, tag=7, frozen=True):
    news: Records


class Claimed(msgspec.Struct, array_like=True, frozen=True):
    """One duty that is claimed, renewed or given up, under a number."""

    duty: Name
    number: Id
    release: bool = False


class Claims(Message, tag=8, frozen=True):
    """Ask a voter; `sets` names the sets of voters of which the sender will win majorities."""

    round: Count
    lease: Count
    sets: Annotated[list[Id], Meta(max_length=8)]
    claims: Annotated[list[Claimed], Meta(max_length=64)]


class Granted(msgspec.Struct, array_like=True, frozen=True):
    duty: Name
    number: Id
    verdict: Annotated[int, Meta(ge=0, le=5)]  # of `leases.Verdict`
    wait: Count
    highest: Id


class Grants(Message, tag=9, frozen=True):
    round: Count
    grants: Annotated[list[Granted], Meta(max_length=64)]


class Verdict(msgspec.Struct, array_like=True, frozen=True):
    """What the trial of a server came to, or, if it was not `tried`, that one sidecar has it in hand.

    Of two words the one with the higher `version` is newer.  `wait` is microseconds: that nobody else need
    try it for, 0 where it has served, or that nobody else need ask for the duty.
    """

    server: Name
    version: Id
    wait: Annotated[int, Meta(ge=0, le=60_000_000)]
    tried: bool = True


class Tried(Message, tag=10, frozen=True):
    """Of the sender's zone, and told on within it."""

    verdicts: Annotated[list[Verdict], Meta(max_length=64)]


Any = Ping | Ack | Reach | Passed | Want | Page | News | Claims | Grants | Tried
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Any)


class Foreign(Exception):
    """Of another version."""


class Noise(Exception):
    """No message of this fleet: cut short, spoilt, out of bounds, or sealed with another name."""


def packed(message: Any, seal: int) -> bytes:
    """`seal` is that of the fleet's name, as `sealed` gives it."""
    body = ENCODER.encode(message)
    return bytes((VERSION,)) + crc32(body, seal).to_bytes(4, "big") + body


def unpacked(data: bytes, seal: int) -> Any:
    """Raises Foreign or Noise."""
    if len(data) <= HEAD or len(data) > LONGEST:
        raise Noise
    if data[0] != VERSION:
        raise Foreign
    body = data[HEAD:]
    if crc32(body, seal).to_bytes(4, "big") != data[1:HEAD]:
        raise Noise
    try:
        message: Any = DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as trouble:
        raise Noise from trouble
    return message


Item = TypeVar("Item")


def batches(items: Sequence[Item], name: Callable[[Item], str], besides: int) -> Iterator[list[Item]]:
    """As many as go into a message at a time: the bytes of each one's name, and `besides` for the rest."""
    batch: list[Item] = []
    room = ROOM
    for each in items:
        room -= len(name(each).encode()) + besides
        if batch and (room < 0 or len(batch) >= OF_BATCH):
            yield batch
            batch, room = [], ROOM - len(name(each).encode()) - besides
        batch.append(each)
    if batch:
        yield batch


def sealed(fleet: str) -> int:
    return crc32(fleet.encode())


def size(record: Record) -> int:
    """Bytes that it takes in a message."""
    return len(ENCODER.encode(record))
