"""The disks of sidecars can be read, and take no change."""

from ..model.world import Instance
from .trouble import OfSidecars


class DiskReadOnly(OfSidecars):
    """Of the sidecars named, or all; opening for writing, renaming and removing fail."""

    real = bends = everyone = True

    def befall(self, one: Instance) -> None:
        one.burden(True, 0.0)

    def relieve(self, one: Instance) -> None:
        one.burden(False, 0.0)
