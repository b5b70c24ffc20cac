"""The disks of sidecars can be read, and take no change."""

from .trouble import Trouble, numbered


class DiskReadOnly(Trouble):
    """Of the sidecars named, or all; opening for writing, renaming and removing fail."""

    usual = 1.0
    real = True
    bends = True

    def begin(self) -> str:
        self.hit = list(self.spec.sidecars) or [one.number for one in self.world.instances]
        for number in self.hit:
            self.world.instances[number].burden(True, 0.0)
        return numbered(self.hit)

    def end(self) -> None:
        for number in self.hit:
            self.world.instances[number].burden(False, 0.0)
