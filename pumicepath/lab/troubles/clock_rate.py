"""The clocks of sidecars run at another rate."""

from ..model.world import Instance
from .trouble import OfSidecars


class ClockRate(OfSidecars):
    """The value is the deviation in millionths, by default 200; of the sidecars named, or all."""

    usual = 200.0
    real = bends = everyone = True

    def befall(self, one: Instance) -> None:
        one.bend(1.0 + self.value / 1e6, 0)

    def relieve(self, one: Instance) -> None:
        one.bend(1.0, 0)

    def remark(self) -> str:
        return f" by {self.value:+g} ppm"
