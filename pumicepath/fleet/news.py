"""What has changed and is to be told on, on the back of other messages, the least told first.

`tell` puts a life's record on the list, `take` fills a message.  Each change goes out a few times the
logarithm of the fleet's size from each sidecar (Das et al. 2002, section 4.1): four times that to base ten,
as memberlist has it.  Three times that to base two cost 1,000 sidecars that began together minutes.
"""

from __future__ import annotations

from collections import deque
from math import ceil, log10

from .messages import Record
from .roll import Roll

TIMES = 4
OF_NEWS = 900  # bytes of a message beside what it is for


class NewsList:
    def __init__(self, roll: Roll) -> None:
        self.roll = roll
        self.told: list[deque[tuple[int, int]]] = []  # by how often: the life, and which of its changes
        self.latest: dict[int, int] = {}
        self.changes = 0

    def __len__(self) -> int:
        return len(self.latest)

    def tell(self, born: int) -> None:
        self.changes += 1
        self.latest[born] = self.changes
        if not self.told:
            self.told.append(deque())
        self.told[0].append((born, self.changes))

    def take(self, mine: int, first: tuple[int, ...] = ()) -> list[Record]:
        """Records for one message; those of `first` that are held go before all others."""
        records: list[Record] = []
        room, most = OF_NEWS, TIMES * ceil(log10(len(self.roll.ring) + 2))
        for born in first:
            member = self.roll.members.get(born)
            if member is not None:
                records.append(member.record)
                room -= member.size
        again: list[tuple[int, int, int]] = []
        for times, waiting in enumerate(self.told):
            while waiting and room > 0:
                born, change = waiting.popleft()
                if self.latest.get(born) != change:
                    continue  # a later change of it is on the list
                member = self.roll.members.get(born)
                if member is None and born != mine:
                    del self.latest[born]
                    continue
                if member is not None and born not in first:  # one's own record is on each message
                    room -= member.size
                    if room < 0:
                        waiting.appendleft((born, change))
                        break
                    records.append(member.record)
                if times + 1 >= most:
                    del self.latest[born]
                else:
                    again.append((times + 1, born, change))
            if room <= 0:
                break
        for times, born, change in again:
            while len(self.told) <= times:
                self.told.append(deque())
            self.told[times].append((born, change))
        return records
