"""The roll of a fleet: what one sidecar holds of the others, a bounded record each.

`merge` takes a record by the order of incarnations and says whether it changed anything; `pick` draws; `page`
gives the roll in pieces.  A record is of one life of a process: a restart is another life, whatever its name.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Iterator
from random import Random

from .messages import ALIVE, DEAD, LEFT, SUSPECTED, Record, encoded_size

MASK = (1 << 63) - 1
MAX_PAGE_BYTES = 1100  # bytes of records in a message


class Member:
    """One life of another sidecar; times are microseconds of this sidecar's clock, 0 for never."""

    __slots__ = (
        "record",
        "size",
        "state_since",
        "last_contact",
        "reported_by",
        "suspicion_count",
        "accusers",
    )

    def __init__(self, record: Record, now: int, by: str) -> None:
        self.record = record
        self.size = encoded_size(record)
        self.state_since = now  # in its present state
        self.last_contact = 0  # when something of its own came from it last
        self.reported_by = by  # who told of it last; "" if itself
        self.suspicion_count = 0  # which suspicion of it this is
        self.suspectors: tuple[int, ...] = ()


def record_hash(record: Record) -> int:
    """What a life that is thought to be there adds to the digest of a view."""
    value = (record.instance_id ^ (record.incarnation * 0x9E3779B97F4A7C15)) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    return value ^ (value >> 31)


class MemberTable:
    def __init__(self, max_members: int, rng: Random) -> None:
        self.max_members = max_members
        self.rng = rng
        self.members: dict[int, Member] = {}
        self.sorted_ids: list[int] = []  # all lives by number, for pages
        self.probe_ring: list[int] = []  # those thought to be there, in the order in which they are probed
        self.probe_index = 0
        self.dead_ids: list[int] = []  # those thought dead, the longest first
        self.id_by_address: dict[str, int] = {}  # the life that answered at an address last
        self.state_counts = [0, 0, 0, 0]
        self.digest = 0
        self.refused = 0

    def add(self, record: Record, now: int, by: str) -> Member | None:
        """None if there is no room for it: the bound holds whoever sends names."""
        if len(self.members) >= self.max_members:
            if not self.dead_ids:
                self.refused += 1
                return None
            self.remove(self.dead_ids[0])
        member = Member(record, now, by)
        self.members[record.instance_id] = member
        insort(self.sorted_ids, record.instance_id)
        self.state_counts[record.state] += 1
        self.add_to_state(record)
        return member

    def add_to_state(self, record: Record) -> None:
        if record.state in (ALIVE, SUSPECTED):
            self.digest ^= record_hash(record)
            # Anywhere in the ring: new ones of one moment are not probed by all in the same order.
            place = self.rng.randrange(len(self.probe_ring) + 1)
            self.probe_ring.insert(place, record.instance_id)
            self.probe_index += place < self.probe_index
        else:
            self.dead_ids.append(record.instance_id)

    def update(self, member: Member, record: Record, now: int, by: str) -> None:
        """The same life with another state or incarnation."""
        old = member.record
        was, is_ = old.state in (ALIVE, SUSPECTED), record.state in (ALIVE, SUSPECTED)
        self.state_counts[old.state] -= 1
        self.state_counts[record.state] += 1
        if old.state != record.state:
            member.state_since = now
        member.record, member.size, member.reported_by = record, encoded_size(record), by
        if record.state != SUSPECTED:
            member.suspectors = ()
        if was and is_:
            self.digest ^= record_hash(old) ^ record_hash(record)
        elif was:
            self.digest ^= record_hash(old)
            place = self.probe_ring.index(record.instance_id)
            del self.probe_ring[place]
            self.probe_index -= place < self.probe_index
            self.dead_ids.append(record.instance_id)
        elif is_:
            self.dead_ids.remove(record.instance_id)
            self.add_to_state(record)

    def remove(self, born: int) -> None:
        member = self.members.pop(born)
        record = member.record
        self.state_counts[record.state] -= 1
        del self.sorted_ids[bisect_right(self.sorted_ids, born) - 1]
        if record.state in (ALIVE, SUSPECTED):
            self.digest ^= record_hash(record)
            place = self.probe_ring.index(born)
            del self.probe_ring[place]
            self.probe_index -= place < self.probe_index
        else:
            self.dead_ids.remove(born)
        if self.id_by_address.get(record.address) == born:
            del self.id_by_address[record.address]

    def supersedes(self, member: Member, record: Record) -> bool:
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

    def next_probe_target(self) -> Member | None:
        """Whose turn it is to be probed: each once a round, in another order in each."""
        if not self.probe_ring:
            return None
        if self.probe_index >= len(self.probe_ring):
            self.rng.shuffle(self.probe_ring)
            self.probe_index = 0
        born = self.probe_ring[self.probe_index]
        self.probe_index += 1
        return self.members[born]

    def sample(self, count: int, exclude: tuple[int, ...] = ()) -> list[Member]:
        """Some that are thought to be there, by chance, none of them twice."""
        found: dict[int, Member] = {}
        for _ in range(4 * count if self.probe_ring else 0):
            born = self.probe_ring[self.rng.randrange(len(self.probe_ring))]
            member = self.members[born]
            if born not in exclude and member.record.state == ALIVE:
                found[born] = member
                if len(found) >= count:
                    break
        return list(found.values())

    def page(self, after: int) -> tuple[list[Record], bool]:
        """Records of lives above `after`, as many as go into a message, and whether more follow."""
        records: list[Record] = []
        room = MAX_PAGE_BYTES
        at = bisect_right(self.sorted_ids, after)
        while at < len(self.sorted_ids):
            member = self.members[self.sorted_ids[at]]
            room -= member.size
            if room < 0:
                return records, True
            records.append(member.record)
            at += 1
        return records, False

    def expire_dead(self, before: int) -> None:
        """Those that have been dead or gone since before then."""
        while self.dead_ids and self.members[self.dead_ids[0]].state_since < before:
            self.remove(self.dead_ids[0])

    def __iter__(self) -> Iterator[Member]:
        return (self.members[born] for born in self.sorted_ids)
