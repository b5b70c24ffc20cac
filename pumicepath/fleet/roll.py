"""The roll of a fleet: what one sidecar holds of the others, a bounded record each.

`merge` takes a record by the order of incarnations and says whether it changed anything; `pick` draws; `page`
gives the roll in pieces.  A record is of one life of a process: a restart is another life, whatever its name.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Iterator
from random import Random

from .messages import ALIVE, DEAD, LEFT, SUSPECTED, Record, size

MASK = (1 << 63) - 1
OF_PAGE = 1100  # bytes of records in a message


class Member:
    """One life of another sidecar; times are microseconds of this sidecar's clock, 0 for never."""

    __slots__ = ("record", "size", "since", "heard", "by", "doubted", "accusers")

    def __init__(self, record: Record, now: int, by: str) -> None:
        self.record = record
        self.size = size(record)
        self.since = now  # in its present state
        self.heard = 0  # when something of its own came from it last
        self.by = by  # who told of it last; "" if itself
        self.doubted = 0  # which suspicion of it this is
        self.accusers: tuple[int, ...] = ()


def mark(record: Record) -> int:
    """What a life that is thought to be there adds to the digest of a view."""
    value = (record.born ^ (record.incarnation * 0x9E3779B97F4A7C15)) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    return value ^ (value >> 31)


class Roll:
    def __init__(self, most: int, chance: Random) -> None:
        self.most = most
        self.chance = chance
        self.members: dict[int, Member] = {}
        self.order: list[int] = []  # all lives by number, for pages
        self.ring: list[int] = []  # those thought to be there, in the order in which they are probed
        self.at = 0
        self.dead: list[int] = []  # those thought dead, the longest first
        self.places: dict[str, int] = {}  # the life that answered at an address last
        self.counts = [0, 0, 0, 0]
        self.digest = 0
        self.refused = 0

    def add(self, record: Record, now: int, by: str) -> Member | None:
        """None if there is no room for it: the bound holds whoever sends names."""
        if len(self.members) >= self.most:
            if not self.dead:
                self.refused += 1
                return None
            self.drop(self.dead[0])
        member = Member(record, now, by)
        self.members[record.born] = member
        insort(self.order, record.born)
        self.counts[record.state] += 1
        self.enter(record)
        return member

    def enter(self, record: Record) -> None:
        if record.state in (ALIVE, SUSPECTED):
            self.digest ^= mark(record)
            # Anywhere in the ring: new ones of one moment are not probed by all in the same order.
            place = self.chance.randrange(len(self.ring) + 1)
            self.ring.insert(place, record.born)
            self.at += place < self.at
        else:
            self.dead.append(record.born)

    def change(self, member: Member, record: Record, now: int, by: str) -> None:
        """The same life with another state or incarnation."""
        old = member.record
        was, is_ = old.state in (ALIVE, SUSPECTED), record.state in (ALIVE, SUSPECTED)
        self.counts[old.state] -= 1
        self.counts[record.state] += 1
        if old.state != record.state:
            member.since = now
        member.record, member.size, member.by = record, size(record), by
        if record.state != SUSPECTED:
            member.accusers = ()
        if was and is_:
            self.digest ^= mark(old) ^ mark(record)
        elif was:
            self.digest ^= mark(old)
            place = self.ring.index(record.born)
            del self.ring[place]
            self.at -= place < self.at
            self.dead.append(record.born)
        elif is_:
            self.dead.remove(record.born)
            self.enter(record)

    def drop(self, born: int) -> None:
        member = self.members.pop(born)
        record = member.record
        self.counts[record.state] -= 1
        del self.order[bisect_right(self.order, born) - 1]
        if record.state in (ALIVE, SUSPECTED):
            self.digest ^= mark(record)
            place = self.ring.index(born)
            del self.ring[place]
            self.at -= place < self.at
        else:
            self.dead.remove(born)
        if self.places.get(record.address) == born:
            del self.places[record.address]

    def newer(self, member: Member, record: Record) -> bool:
        """Whether a record goes before what is held (Das et al. 2002, section 4.2; as memberlist has it)."""
        held = member.record
        if held.state == LEFT or record.state == LEFT:
            return held.state != LEFT  # its own last word, for good
        if record.state == ALIVE:
            return record.incarnation > held.incarnation
        if record.state == SUSPECTED and held.state != ALIVE:
            return record.incarnation > held.incarnation
        if record.state == DEAD and held.state == DEAD:
            return record.incarnation > held.incarnation
        return record.incarnation >= held.incarnation

    def next(self) -> Member | None:
        """Whose turn it is to be probed: each once a round, in another order in each."""
        if not self.ring:
            return None
        if self.at >= len(self.ring):
            self.chance.shuffle(self.ring)
            self.at = 0
        born = self.ring[self.at]
        self.at += 1
        return self.members[born]

    def pick(self, count: int, but: tuple[int, ...] = ()) -> list[Member]:
        """Some that are thought to be there, by chance, none of them twice."""
        found: dict[int, Member] = {}
        for _ in range(4 * count if self.ring else 0):
            born = self.ring[self.chance.randrange(len(self.ring))]
            member = self.members[born]
            if born not in but and member.record.state == ALIVE:
                found[born] = member
                if len(found) >= count:
                    break
        return list(found.values())

    def page(self, after: int) -> tuple[list[Record], bool]:
        """Records of lives above `after`, as many as go into a message, and whether more follow."""
        records: list[Record] = []
        room = OF_PAGE
        at = bisect_right(self.order, after)
        while at < len(self.order):
            member = self.members[self.order[at]]
            room -= member.size
            if room < 0:
                return records, True
            records.append(member.record)
            at += 1
        return records, False

    def forget(self, before: int) -> None:
        """Those that have been dead or gone since before then."""
        while self.dead and self.members[self.dead[0]].since < before:
            self.drop(self.dead[0])

    def __iter__(self) -> Iterator[Member]:
        return (self.members[born] for born in self.order)
