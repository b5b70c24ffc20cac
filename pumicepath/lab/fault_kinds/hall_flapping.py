"""The way to a hall comes and goes."""

from .base import Fault


class HallFlapping(Fault):
    """Cut for half of each period, by default of two seconds."""

    default_value = 2.0

    def inject(self) -> str:
        self.ended = False
        self.switch(True)
        return f"hall {self.spec.hall}, every {self.value:g} s"

    def switch(self, cut: bool) -> None:
        halls = self.world.network.cut_zones
        if cut and not self.ended:
            halls.add(self.spec.hall)
        else:
            halls.discard(self.spec.hall)
        if not self.ended:
            self.world.timeline.at(self.world.timeline.now + round(self.value * 5e5), self.switch, not cut)

    def revert(self) -> None:
        self.ended = True
        self.world.network.cut_zones.discard(self.spec.hall)
