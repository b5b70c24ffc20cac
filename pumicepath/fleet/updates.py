"""What has changed and is to be told on, on the back of other messages, the least told first.

`tell` puts a life's record on the list, `take` fills a message.  Each change goes out a few times the
logarithm of the fleet's size from each sidecar (Das et al. 2002, section 4.1): four times that to base ten,
as memberlist has it.  Three times that to base two cost 1,000 sidecars that began together minutes.
"""

from __future__ import annotations

from collections import deque
from math import ceil, log10

from .member_table import MemberTable
from .messages import Record

TRANSMIT_FACTOR = 4
MAX_UPDATE_BYTES = 900  # bytes of a message beside what it is for


class UpdateQueue:
    def __init__(self, roll: MemberTable) -> None:
        self.member_table = roll
        self.by_send_count: list[
            deque[tuple[int, int]]
        ] = []  # by how often: the life, and which of its changes
        self.latest_change: dict[int, int] = {}
        self.change_count = 0

    def __len__(self) -> int:
        return len(self.latest_change)

    def add(self, born: int) -> None:
        self.change_count += 1
        self.latest_change[born] = self.change_count
        if not self.by_send_count:
            self.by_send_count.append(deque())
        self.by_send_count[0].append((born, self.change_count))

    def take(self, own_id: int, first: tuple[int, ...] = ()) -> list[Record]:
        """Records for one message; those of `first` that are held go before all others."""
        records: list[Record] = []
        room, most = MAX_UPDATE_BYTES, TRANSMIT_FACTOR * ceil(log10(len(self.member_table.probe_ring) + 2))
        for born in first:
            member = self.member_table.members.get(born)
            if member is not None:
                records.append(member.record)
                room -= member.size
        again: list[tuple[int, int, int]] = []
        for times, waiting in enumerate(self.by_send_count):
            while waiting and room > 0:
                born, change = waiting.popleft()
                if self.latest_change.get(born) != change:
                    continue  # a later change of it is on the list
                member = self.member_table.members.get(born)
                if member is None and born != own_id:
                    del self.latest_change[born]
                    continue
                if member is not None and born not in first:  # one's own record is on each message
                    room -= member.size
                    if room < 0:
                        waiting.appendleft((born, change))
                        break
                    records.append(member.record)
                if times + 1 >= most:
                    del self.latest_change[born]
                else:
                    again.append((times + 1, born, change))
            if room <= 0:
                break
        for times, born, change in again:
            while len(self.by_send_count) <= times:
                self.by_send_count.append(deque())
            self.by_send_count[times].append((born, change))
        return records
