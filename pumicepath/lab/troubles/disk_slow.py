"""Each step on the disks of sidecars takes its time."""

from ..model.world import Instance
from .trouble import OfSidecars


class DiskSlow(OfSidecars):
    """The value is the milliseconds of each step, by default 500; of the sidecars named, or all."""

    usual = 500.0
    real = bends = everyone = True

    def befall(self, one: Instance) -> None:
        one.burden(False, self.value)

    def relieve(self, one: Instance) -> None:
        one.burden(False, 0.0)
