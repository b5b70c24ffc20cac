"""What lies between halls: a delay with some spread, and whether anything comes through at all."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .timeline import Timeline, random_source


class Network:
    """Messages between halls, by index; what is cut off is dropped without a word, as a broken path does."""

    def __init__(
        self, timeline: Timeline, zone_count: int, same_zone_delay: int, cross_zone_delay: int, seed: int
    ) -> None:
        self.timeline = timeline
        self.zone_count = zone_count
        self.same_zone_delay = same_zone_delay
        self.cross_zone_delay = cross_zone_delay
        self.rng = random_source(seed, "network")
        self.cut_zones: set[int] = set()  # halls that nothing enters or leaves
        self.delay_factor = 1.0
        self.dropped = 0

    def delay(self, source: int, target: int) -> int:
        """One way, in microseconds: the usual time and up to a fifth more."""
        usual = self.same_zone_delay if source == target else self.cross_zone_delay
        return int(usual * self.delay_factor * (1.0 + 0.2 * self.rng.random()))

    def is_connected(self, source: int, target: int) -> bool:
        return source == target or not (source in self.cut_zones or target in self.cut_zones)

    def carry(self, source: int, target: int, call: Callable[..., None], *given: Any) -> bool:
        """Make the call at the other end after the delay; False if it is dropped."""
        if not self.is_connected(source, target):
            self.dropped += 1
            return False
        self.timeline.at(self.timeline.now + self.delay(source, target), call, *given)
        return True
