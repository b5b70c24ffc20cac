"""An unstable network path to a zone."""

from .base import Fault


class HallFlapping(Fault):
    """The zone is cut off for half of each period; the value is the period in seconds, by default 2."""

    default_value = 2.0

    def inject(self) -> str:
        self.ended = False
        self.switch(True)
        return f"hall {self.spec.hall}, every {self.value:g} s"

    def switch(self, cut: bool) -> None:
        cut_zones = self.world.network.cut_zones
        if cut and not self.ended:
            cut_zones.add(self.spec.hall)
        else:
            cut_zones.discard(self.spec.hall)
        if not self.ended:
            self.world.timeline.at(self.world.timeline.now + round(self.value * 5e5), self.switch, not cut)

    def revert(self) -> None:
        self.ended = True
        self.world.network.cut_zones.discard(self.spec.hall)
