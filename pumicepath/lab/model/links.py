"""Links between sidecars for their datagrams: cuts, loss, delay, corruption; the same for both hosts.

`carry` delivers a datagram later, or never.  Injected faults call `cut` and `impair`, each of which returns a
call that undoes it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass

from .timeline import SECOND, Timeline, random_source

MAX_QUEUE_DELAY_US = SECOND  # a datagram that would wait longer for a slow link is dropped


@dataclass(frozen=True)
class Impairment:
    """Fractions of datagrams affected, and times in microseconds; `rate` is in bytes/s, 0 without a limit."""

    loss: float = 0.0
    duplicated: float = 0.0
    corrupted: float = 0.0
    delay: int = 0
    jitter: int = 0  # up to so much more delay at random, so datagrams may be reordered
    rate: int = 0


SidecarGroup = frozenset[int]


class Links:
    """Links between sidecars, by number; `base_delay` is the one-way delay in microseconds."""

    def __init__(self, timeline: Timeline, seed: int, base_delay: int = 0) -> None:
        self.timeline = timeline
        self.base_delay = base_delay
        self.rng = random_source(seed, "links")
        self.cuts: list[tuple[SidecarGroup, SidecarGroup]] = []
        self.impairments: list[tuple[SidecarGroup, Impairment]] = []
        self.free_at: dict[tuple[int, int], int] = {}  # when a rate-limited link has sent its queue
        self.sent: Counter[int] = Counter()  # datagrams by sender
        self.bytes: Counter[int] = Counter()  # bytes by sender
        self.dropped = 0
        # Called for each datagram: source, target, bytes, copies delivered, and the reason if it is dropped.
        self.observer: Callable[[int, int, int, int, str], None] | None = None

    def cut(
        self, sources: Collection[int], targets: Collection[int], both_ways: bool = True
    ) -> Callable[[], None]:
        """Drop all from one group to the other, and back if `both_ways`; returns a call that undoes it."""
        added = [(frozenset(sources), frozenset(targets))] + (
            [(frozenset(targets), frozenset(sources))] if both_ways else []
        )
        self.cuts.extend(added)

        def undo() -> None:
            for each in added:
                self.cuts.remove(each)

        return undo

    def impair(self, sidecars: Collection[int], impairment: Impairment) -> Callable[[], None]:
        """Impair all that these sidecars send or receive; returns a call that undoes it."""
        added = (frozenset(sidecars), impairment)
        self.impairments.append(added)
        return lambda: self.impairments.remove(added)

    def carry(self, source: int, target: int, data: bytes, deliver: Callable[[bytes], None]) -> None:
        """Schedule the delivery of a datagram, of no or several copies as the impairments say."""
        self.sent[source] += 1
        self.bytes[source] += len(data)
        if any(source in sources and target in targets for sources, targets in self.cuts):
            return self.drop(source, target, data, "cut")
        delay, copies, draw = self.base_delay, 1, self.rng.random
        for group, impairment in self.impairments:
            if source not in group and target not in group:
                continue
            if draw() < impairment.loss:
                return self.drop(source, target, data, "lost")
            copies += draw() < impairment.duplicated
            if draw() < impairment.corrupted and data:
                at = int(draw() * len(data))
                data = data[:at] + bytes((data[at] ^ (1 << int(draw() * 8)),)) + data[at + 1 :]
            if impairment.rate:
                now = self.timeline.now
                free_at = (
                    max(now, self.free_at.get((source, target), 0)) + len(data) * SECOND // impairment.rate
                )
                if free_at - now > MAX_QUEUE_DELAY_US:
                    return self.drop(source, target, data, "too long a queue")
                self.free_at[source, target] = free_at
                delay += free_at - now
            delay += impairment.delay + int(draw() * impairment.jitter)
        if self.observer is not None:
            self.observer(source, target, len(data), copies, "")
        for _ in range(copies):
            self.timeline.at(self.timeline.now + delay, deliver, data)

    def drop(self, source: int, target: int, data: bytes, reason: str) -> None:
        """Count a dropped datagram and report it to the observer."""
        self.dropped += 1
        if self.observer is not None:
            self.observer(source, target, len(data), 0, reason)
