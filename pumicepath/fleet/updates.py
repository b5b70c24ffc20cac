"""Queue of membership updates that are piggybacked on other messages, those sent least often first.

`add` queues the record of an instance, `take` fills a message. Each sidecar sends a change four times log10
of the fleet size (Das et al. 2002, section 4.1; the factor is memberlist's). With three times the logarithm
to base two, 1,000 sidecars that started together took minutes to converge.
"""

from __future__ import annotations

from collections import deque
from math import ceil, log10

from .member_table import MemberTable
from .messages import Record

TRANSMIT_FACTOR = 4
MAX_UPDATE_BYTES = 900  # of updates in one message, beside its other content


class UpdateQueue:
    """Changes that are still to be sent, by how often they were sent."""

    def __init__(self, member_table: MemberTable) -> None:
        self.member_table = member_table
        # Index: number of times sent. Entries: instance id, number of the change.
        self.by_send_count: list[deque[tuple[int, int]]] = []
        self.latest_change: dict[int, int] = {}
        self.change_count = 0

    def __len__(self) -> int:
        return len(self.latest_change)

    def add(self, instance_id: int) -> None:
        """Queue the present record of an instance; an older change of it is dropped."""
        self.change_count += 1
        self.latest_change[instance_id] = self.change_count
        if not self.by_send_count:
            self.by_send_count.append(deque())
        self.by_send_count[0].append((instance_id, self.change_count))

    def take(self, own_id: int, priority: tuple[int, ...] = ()) -> list[Record]:
        """Records for one message; those of `priority` that are known go first."""
        records: list[Record] = []
        remaining, max_sends = (
            MAX_UPDATE_BYTES,
            TRANSMIT_FACTOR * ceil(log10(len(self.member_table.probe_ring) + 2)),
        )
        for instance_id in priority:
            member = self.member_table.members.get(instance_id)
            if member is not None:
                records.append(member.record)
                remaining -= member.size
        requeued: list[tuple[int, int, int]] = []
        for send_count, waiting in enumerate(self.by_send_count):
            while waiting and remaining > 0:
                instance_id, change = waiting.popleft()
                if self.latest_change.get(instance_id) != change:
                    continue  # a later change of it is queued
                member = self.member_table.members.get(instance_id)
                if member is None and instance_id != own_id:
                    del self.latest_change[instance_id]
                    continue
                if (
                    member is not None and instance_id not in priority
                ):  # the own record is in each message anyway
                    remaining -= member.size
                    if remaining < 0:
                        waiting.appendleft((instance_id, change))
                        break
                    records.append(member.record)
                if send_count + 1 >= max_sends:
                    del self.latest_change[instance_id]
                else:
                    requeued.append((send_count + 1, instance_id, change))
            if remaining <= 0:
                break
        for send_count, instance_id, change in requeued:
            while len(self.by_send_count) <= send_count:
                self.by_send_count.append(deque())
            self.by_send_count[send_count].append((instance_id, change))
        return records
