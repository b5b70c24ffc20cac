"""The network between zones: delays with jitter, and zones that are cut off."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .timeline import Timeline, random_source


class Network:
    """Carries messages between zones, given by index; across a cut they are dropped silently.

    Delays are in microseconds.
    """

    def __init__(
        self, timeline: Timeline, zone_count: int, same_zone_delay: int, cross_zone_delay: int, seed: int
    ) -> None:
        self.timeline = timeline
        self.zone_count = zone_count
        self.same_zone_delay = same_zone_delay
        self.cross_zone_delay = cross_zone_delay
        self.rng = random_source(seed, "network")
        self.cut_zones: set[int] = set()  # zones that no message enters or leaves
        self.delay_factor = 1.0
        self.dropped = 0

    def delay(self, source: int, target: int) -> int:
        """One-way delay of a message: the base delay and up to 20% more."""
        base = self.same_zone_delay if source == target else self.cross_zone_delay
        return int(base * self.delay_factor * (1.0 + 0.2 * self.rng.random()))

    def is_connected(self, source: int, target: int) -> bool:
        """Whether messages get through; inside a zone they always do."""
        return source == target or not (source in self.cut_zones or target in self.cut_zones)

    def carry(self, source: int, target: int, call: Callable[..., None], *given: Any) -> bool:
        """Make the call at the other end after the delay; False if the message is dropped."""
        if not self.is_connected(source, target):
            self.dropped += 1
            return False
        self.timeline.at(self.timeline.now + self.delay(source, target), call, *given)
        return True
