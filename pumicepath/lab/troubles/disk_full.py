"""Nothing more can be written to the disks of sidecars."""

from .trouble import Trouble, numbered


class DiskFull(Trouble):
    """By default of all."""

    usual = 1.0
    real = True

    def begin(self) -> str:
        self.hit = self.sidecars()
        for number in self.hit:
            self.world.instances[number].disk("full", self.chance)
        return numbered(self.hit)

    def end(self) -> None:
        for number in self.hit:
            self.world.instances[number].disk("free", self.chance)
