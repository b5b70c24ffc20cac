"""Sidecars are stopped in the middle of whatever they do, and go on as if nothing had been."""

from .trouble import Trouble, numbered


class SidecarsStopped(Trouble):
    """SIGSTOP and SIGCONT; by default three in ten."""

    usual = 0.3
    real = True

    def begin(self) -> str:
        self.hit = self.sidecars()
        for number in self.hit:
            self.world.instances[number].stop()
        return numbered(self.hit)

    def end(self) -> None:
        for number in self.hit:
            self.world.instances[number].go_on()
