"""Sidecars are asked to end, as in a release, and started again."""

from .trouble import Trouble, numbered


class SidecarsEnded(Trouble):
    """SIGTERM; by default three in ten. They are started again once the time is over, ended or not."""

    usual = 0.3
    real = True

    def begin(self) -> str:
        self.hit = self.sidecars()
        for number in self.hit:
            self.world.instances[number].end()
        return numbered(self.hit)

    def end(self) -> None:
        for number in self.hit:
            self.world.instances[number].start(self.spec.state)
