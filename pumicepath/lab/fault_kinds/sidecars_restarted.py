"""Sidecars are killed and come back with nothing but a copy of the list."""

from ..model.timeline import SECOND
from .base import Fault


class SidecarsRestarted(Fault):
    """A share of them, by default half, each down for a second, spread over the time."""

    default_value = 0.5

    def inject(self) -> str:
        all_of_them = self.world.instances
        hit = self.rng.sample(range(len(all_of_them)), max(1, round(self.value * len(all_of_them))))
        for at, number in enumerate(hit):
            when = self.world.timeline.now + at * max(0, self.duration - SECOND) // len(hit)
            self.world.timeline.at(when, all_of_them[number].kill)
            self.world.timeline.at(when + SECOND, all_of_them[number].start)
        return f"{len(hit)} of {len(all_of_them)}"
