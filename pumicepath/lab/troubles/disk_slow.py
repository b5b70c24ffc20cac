"""Each step on the disks of sidecars takes its time."""

from .trouble import Trouble, numbered


class DiskSlow(Trouble):
    """The value is the milliseconds of each step, by default 500; of the sidecars named, or all."""

    usual = 500.0
    real = True
    bends = True

    def begin(self) -> str:
        self.hit = list(self.spec.sidecars) or [one.number for one in self.world.instances]
        for number in self.hit:
            self.world.instances[number].burden(False, self.value)
        return numbered(self.hit)

    def end(self) -> None:
        for number in self.hit:
            self.world.instances[number].burden(False, 0.0)
