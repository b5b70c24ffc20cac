"""Sidecars are killed in the same moment, and come back together."""

from .trouble import Trouble, numbered


class SidecarsKilled(Trouble):
    """By default seven in ten; each finds its own state on its disk, none, or another's."""

    usual = 0.7

    def begin(self) -> str:
        self.hit = self.sidecars()
        for number in self.hit:
            self.world.instances[number].kill()
        return numbered(self.hit) + ("" if self.spec.state == "old" else f", state {self.spec.state}")

    def end(self) -> None:
        for number in self.hit:
            self.world.instances[number].start(self.spec.state)
