"""What lies between halls: a delay with some spread, and whether anything comes through at all."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .timeline import Timeline, chance


class Network:
    """Messages between halls, by index; what is cut off is dropped without a word, as a broken path does."""

    def __init__(self, timeline: Timeline, halls: int, near: int, far: int, seed: int) -> None:
        self.timeline = timeline
        self.halls = halls
        self.near = near
        self.far = far
        self.chance = chance(seed, "network")
        self.cut: set[int] = set()  # halls that nothing enters or leaves
        self.slower = 1.0
        self.dropped = 0

    def delay(self, one: int, other: int) -> int:
        """One way, in microseconds: the usual time and up to a fifth more."""
        usual = self.near if one == other else self.far
        return int(usual * self.slower * (1.0 + 0.2 * self.chance.random()))

    def passes(self, one: int, other: int) -> bool:
        return one == other or not (one in self.cut or other in self.cut)

    def carry(self, one: int, other: int, call: Callable[..., None], *given: Any) -> bool:
        """Make the call at the other end after the delay; False if it is dropped."""
        if not self.passes(one, other):
            self.dropped += 1
            return False
        self.timeline.at(self.timeline.now + self.delay(one, other), call, *given)
        return True
