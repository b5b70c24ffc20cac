"""The member table: what one sidecar knows of the others, in a bounded number of records.

Each record describes one instance of a sidecar; a restarted sidecar is a new instance, even under the same
name. `supersedes` orders records of one instance by incarnation and state, `sample` picks random members, and
`page` returns the table in pieces that fit into a message.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections.abc import Iterator
from random import Random

from .messages import ALIVE, DEAD, LEFT, SUSPECTED, Record, encoded_size

MASK = (1 << 63) - 1
MAX_PAGE_BYTES = 1100  # of records in one message


class Member:
    """One instance of another sidecar; times are microseconds of the local clock, 0 for never."""

    __slots__ = (
        "record",
        "size",
        "state_since",
        "last_contact",
        "reported_by",
        "suspicion_count",
        "suspectors",
    )

    def __init__(self, record: Record, now: int, reported_by: str) -> None:
        self.record = record
        self.size = encoded_size(record)
        self.state_since = now
        self.last_contact = 0  # when a message of its own arrived last
        self.reported_by = reported_by  # who reported it last; "" if it did itself
        # Number of suspicions so far, by which the timer of an earlier one is recognised.
        self.suspicion_count = 0
        self.suspectors: tuple[int, ...] = ()


def record_hash(record: Record) -> int:
    """Hash of an instance and its incarnation; a view's digest is the XOR of those thought to be present."""
    value = (record.instance_id ^ (record.incarnation * 0x9E3779B97F4A7C15)) & MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    return value ^ (value >> 31)


class MemberTable:
    """The known instances of other sidecars, at most `max_members`, and the order of probes."""

    def __init__(self, max_members: int, rng: Random) -> None:
        self.max_members = max_members
        self.rng = rng
        self.members: dict[int, Member] = {}
        self.sorted_ids: list[int] = []  # of all instances, for pages
        self.probe_ring: list[int] = []  # instances thought to be present, in the order of probes
        self.probe_index = 0
        self.dead_ids: list[int] = []  # instances that are dead or have left, the earliest first
        self.id_by_address: dict[str, int] = {}  # the instance that answered last at each address
        self.state_counts = [0, 0, 0, 0]
        self.digest = 0
        self.refused = 0

    def add(self, record: Record, now: int, reported_by: str) -> Member | None:
        """Add a new instance; None if the table is full and holds no dead instance that could be dropped.

        The bound also holds against a sender that makes up names.
        """
        if len(self.members) >= self.max_members:
            if not self.dead_ids:
                self.refused += 1
                return None
            self.remove(self.dead_ids[0])
        member = Member(record, now, reported_by)
        self.members[record.instance_id] = member
        insort(self.sorted_ids, record.instance_id)
        self.state_counts[record.state] += 1
        self.add_to_state(record)
        return member

    def add_to_state(self, record: Record) -> None:
        """Add an instance to the probe ring and the digest, or to the dead ones, by its state."""
        if record.state in (ALIVE, SUSPECTED):
            self.digest ^= record_hash(record)
            # At a random position: instances that joined together are not probed by all in one order.
            position = self.rng.randrange(len(self.probe_ring) + 1)
            self.probe_ring.insert(position, record.instance_id)
            self.probe_index += position < self.probe_index
        else:
            self.dead_ids.append(record.instance_id)

    def update(self, member: Member, record: Record, now: int, reported_by: str) -> None:
        """Replace the record of an instance by one with another state or incarnation."""
        old = member.record
        was_present, is_present = old.state in (ALIVE, SUSPECTED), record.state in (ALIVE, SUSPECTED)
        self.state_counts[old.state] -= 1
        self.state_counts[record.state] += 1
        if old.state != record.state:
            member.state_since = now
        member.record, member.size, member.reported_by = record, encoded_size(record), reported_by
        if record.state != SUSPECTED:
            member.suspectors = ()
        if was_present and is_present:
            self.digest ^= record_hash(old) ^ record_hash(record)
        elif was_present:
            self.digest ^= record_hash(old)
            position = self.probe_ring.index(record.instance_id)
            del self.probe_ring[position]
            self.probe_index -= position < self.probe_index
            self.dead_ids.append(record.instance_id)
        elif is_present:
            self.dead_ids.remove(record.instance_id)
            self.add_to_state(record)

    def remove(self, instance_id: int) -> None:
        """Forget an instance."""
        member = self.members.pop(instance_id)
        record = member.record
        self.state_counts[record.state] -= 1
        del self.sorted_ids[bisect_right(self.sorted_ids, instance_id) - 1]
        if record.state in (ALIVE, SUSPECTED):
            self.digest ^= record_hash(record)
            position = self.probe_ring.index(instance_id)
            del self.probe_ring[position]
            self.probe_index -= position < self.probe_index
        else:
            self.dead_ids.remove(instance_id)
        if self.id_by_address.get(record.address) == instance_id:
            del self.id_by_address[record.address]

    def supersedes(self, member: Member, record: Record) -> bool:
        """Whether a record takes precedence over the known one.

        Order after Das et al. 2002, section 4.2, as implemented by memberlist.
        """
        held = member.record
        if held.state == LEFT or record.state == LEFT:
            return held.state != LEFT  # an instance's own final state
        if record.state == ALIVE:
            return record.incarnation > held.incarnation
        if record.state == SUSPECTED and held.state != ALIVE:
            return record.incarnation > held.incarnation
        if record.state == DEAD and held.state == DEAD:
            return record.incarnation > held.incarnation
        return record.incarnation >= held.incarnation

    def next_probe_target(self) -> Member | None:
        """The member to probe next: each once per round, in an order that is shuffled for each round."""
        if not self.probe_ring:
            return None
        if self.probe_index >= len(self.probe_ring):
            self.rng.shuffle(self.probe_ring)
            self.probe_index = 0
        instance_id = self.probe_ring[self.probe_index]
        self.probe_index += 1
        return self.members[instance_id]

    def sample(self, count: int, exclude: tuple[int, ...] = ()) -> list[Member]:
        """Up to `count` different live members at random."""
        found: dict[int, Member] = {}
        for _ in range(4 * count if self.probe_ring else 0):
            instance_id = self.probe_ring[self.rng.randrange(len(self.probe_ring))]
            member = self.members[instance_id]
            if instance_id not in exclude and member.record.state == ALIVE:
                found[instance_id] = member
                if len(found) >= count:
                    break
        return list(found.values())

    def page(self, after: int) -> tuple[list[Record], bool]:
        """Records of instances with ids above `after` that fit into a message, and whether more follow."""
        records: list[Record] = []
        remaining = MAX_PAGE_BYTES
        index = bisect_right(self.sorted_ids, after)
        while index < len(self.sorted_ids):
            member = self.members[self.sorted_ids[index]]
            remaining -= member.size
            if remaining < 0:
                return records, True
            records.append(member.record)
            index += 1
        return records, False

    def expire_dead(self, before: int) -> None:
        """Forget instances that have been dead, or have left, since before that time."""
        while self.dead_ids and self.members[self.dead_ids[0]].state_since < before:
            self.remove(self.dead_ids[0])

    def __iter__(self) -> Iterator[Member]:
        return (self.members[instance_id] for instance_id in self.sorted_ids)
