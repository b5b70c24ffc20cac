"""Nothing more can be written to the disks of sidecars."""

from ..model.world import Instance
from .trouble import OfSidecars


class DiskFull(OfSidecars):
    """Of the sidecars named, or all."""

    real = everyone = True

    def befall(self, one: Instance) -> None:
        one.disk("full", self.chance)

    def relieve(self, one: Instance) -> None:
        one.disk("free", self.chance)
