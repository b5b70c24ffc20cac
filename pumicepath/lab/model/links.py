"""The ways that sidecars' messages to each other take: cut, lossy, slow, spoilt; the same for both hosts.

`carry` takes a datagram and hands it over later, or never; troubles set `cut` and `disturb`, and undo them by
what these give back.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass

from .timeline import SECOND, Timeline, chance

LONGEST_QUEUE = SECOND  # before a slow link; what would wait longer is dropped


@dataclass(frozen=True)
class Noise:
    """Shares of datagrams, and microseconds; `rate` is bytes a second, 0 without a bound."""

    loss: float = 0.0
    doubled: float = 0.0
    spoilt: float = 0.0
    delay: int = 0
    spread: int = 0  # a delay up to so much longer: what is sent later may come first
    rate: int = 0


Group = frozenset[int]


class Links:
    """Between sidecars by number; `usual` is the delay of each way in microseconds."""

    def __init__(self, timeline: Timeline, seed: int, usual: int = 0) -> None:
        self.timeline = timeline
        self.usual = usual
        self.chance = chance(seed, "links")
        self.cuts: list[tuple[Group, Group]] = []
        self.noises: list[tuple[Group, Noise]] = []
        self.free: dict[tuple[int, int], int] = {}  # when a slow link has sent what waits
        self.sent: Counter[int] = Counter()  # messages by who sent them,
        self.bytes: Counter[int] = Counter()  # and their bytes
        self.dropped = 0
        # Told of each datagram: from whom, to whom, its bytes, how many copies of it go on, or why none.
        self.witness: Callable[[int, int, int, int, str], None] | None = None

    def cut(self, from_: Collection[int], to: Collection[int], both: bool = True) -> Callable[[], None]:
        """Nothing goes from one group to the other (nor back, if `both`); undone by what it gives back."""
        made = [(frozenset(from_), frozenset(to))] + ([(frozenset(to), frozenset(from_))] if both else [])
        self.cuts.extend(made)

        def undo() -> None:
            for each in made:
                self.cuts.remove(each)

        return undo

    def disturb(self, who: Collection[int], noise: Noise) -> Callable[[], None]:
        """On all that these sidecars send or get."""
        made = (frozenset(who), noise)
        self.noises.append(made)
        return lambda: self.noises.remove(made)

    def carry(self, one: int, other: int, data: bytes, deliver: Callable[[bytes], None]) -> None:
        self.sent[one] += 1
        self.bytes[one] += len(data)
        if any(one in from_ and other in to for from_, to in self.cuts):
            return self.drop(one, other, data, "cut")
        delay, copies, draw = self.usual, 1, self.chance.random
        for who, noise in self.noises:
            if one not in who and other not in who:
                continue
            if draw() < noise.loss:
                return self.drop(one, other, data, "lost")
            copies += draw() < noise.doubled
            if draw() < noise.spoilt and data:
                at = int(draw() * len(data))
                data = data[:at] + bytes((data[at] ^ (1 << int(draw() * 8)),)) + data[at + 1 :]
            if noise.rate:
                now = self.timeline.now
                free = max(now, self.free.get((one, other), 0)) + len(data) * SECOND // noise.rate
                if free - now > LONGEST_QUEUE:
                    return self.drop(one, other, data, "too long a queue")
                self.free[one, other] = free
                delay += free - now
            delay += noise.delay + int(draw() * noise.spread)
        if self.witness is not None:
            self.witness(one, other, len(data), copies, "")
        for _ in range(copies):
            self.timeline.at(self.timeline.now + delay, deliver, data)

    def drop(self, one: int, other: int, data: bytes, why: str) -> None:
        self.dropped += 1
        if self.witness is not None:
            self.witness(one, other, len(data), 0, why)
