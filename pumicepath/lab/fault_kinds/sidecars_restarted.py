"""Sidecars that are killed and restart with nothing but a cached copy of the list."""

from ..model.timeline import SECOND
from .base import Fault


class SidecarsRestarted(Fault):
    """A random fraction, by default half, one after the other over the duration, each down for a second."""

    default_value = 0.5

    def inject(self) -> str:
        instances = self.world.instances
        targets = self.rng.sample(range(len(instances)), max(1, round(self.value * len(instances))))
        for index, number in enumerate(targets):
            at = self.world.timeline.now + index * max(0, self.duration - SECOND) // len(targets)
            self.world.timeline.at(at, instances[number].kill)
            self.world.timeline.at(at + SECOND, instances[number].start)
        return f"{len(targets)} of {len(instances)}"
