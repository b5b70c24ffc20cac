"""The ways that sidecars' messages to each other take: cut, lossy, slow, spoilt; the same for both hosts.

`carry` takes a datagram and hands it over later, or never; troubles set `cut` and `disturb`, and undo them by
what these give back.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass

from .timeline import SECOND, Timeline, random_source

MAX_QUEUE_DELAY_US = SECOND  # before a slow link; what would wait longer is dropped


@dataclass(frozen=True)
class Impairment:
    """Shares of datagrams, and microseconds; `rate` is bytes a second, 0 without a bound."""

    loss: float = 0.0
    duplicated: float = 0.0
    corrupted: float = 0.0
    delay: int = 0
    jitter: int = 0  # a delay up to so much longer: what is sent later may come first
    rate: int = 0


SidecarGroup = frozenset[int]


class Links:
    """Between sidecars by number; `usual` is the delay of each way in microseconds."""

    def __init__(self, timeline: Timeline, seed: int, base_delay: int = 0) -> None:
        self.timeline = timeline
        self.base_delay = base_delay
        self.rng = random_source(seed, "links")
        self.cuts: list[tuple[SidecarGroup, SidecarGroup]] = []
        self.impairments: list[tuple[SidecarGroup, Impairment]] = []
        self.free_at: dict[tuple[int, int], int] = {}  # when a slow link has sent what waits
        self.sent: Counter[int] = Counter()  # messages by who sent them,
        self.bytes: Counter[int] = Counter()  # and their bytes
        self.dropped = 0
        # Told of each datagram: from whom, to whom, its bytes, how many copies of it go on, or why none.
        self.observer: Callable[[int, int, int, int, str], None] | None = None

    def cut(
        self, sources: Collection[int], targets: Collection[int], both_ways: bool = True
    ) -> Callable[[], None]:
        """Nothing goes from one group to the other (nor back, if `both`); undone by what it gives back."""
        made = [(frozenset(sources), frozenset(targets))] + (
            [(frozenset(targets), frozenset(sources))] if both_ways else []
        )
        self.cuts.extend(made)

        def undo() -> None:
            for each in made:
                self.cuts.remove(each)

        return undo

    def impair(self, sidecars: Collection[int], impairment: Impairment) -> Callable[[], None]:
        """On all that these sidecars send or get."""
        made = (frozenset(sidecars), impairment)
        self.impairments.append(made)
        return lambda: self.impairments.remove(made)

    def carry(self, source: int, target: int, data: bytes, deliver: Callable[[bytes], None]) -> None:
        self.sent[source] += 1
        self.bytes[source] += len(data)
        if any(source in from_ and target in to for from_, to in self.cuts):
            return self.drop(source, target, data, "cut")
        delay, copies, draw = self.base_delay, 1, self.rng.random
        for who, noise in self.impairments:
            if source not in who and target not in who:
                continue
            if draw() < noise.loss:
                return self.drop(source, target, data, "lost")
            copies += draw() < noise.duplicated
            if draw() < noise.corrupted and data:
                at = int(draw() * len(data))
                data = data[:at] + bytes((data[at] ^ (1 << int(draw() * 8)),)) + data[at + 1 :]
            if noise.rate:
                now = self.timeline.now
                free = max(now, self.free_at.get((source, target), 0)) + len(data) * SECOND // noise.rate
                if free - now > MAX_QUEUE_DELAY_US:
                    return self.drop(source, target, data, "too long a queue")
                self.free_at[source, target] = free
                delay += free - now
            delay += noise.delay + int(draw() * noise.jitter)
        if self.observer is not None:
            self.observer(source, target, len(data), copies, "")
        for _ in range(copies):
            self.timeline.at(self.timeline.now + delay, deliver, data)

    def drop(self, source: int, target: int, data: bytes, reason: str) -> None:
        self.dropped += 1
        if self.observer is not None:
            self.observer(source, target, len(data), 0, reason)
