"""Another process keeps the core of a sidecar busy."""

from .trouble import Trouble, numbered


class BusyCore(Trouble):
    """Both are held to one core; by default one in ten."""

    usual = 0.1
    real = True

    def begin(self) -> str:
        self.hit = self.sidecars()
        for number in self.hit:
            self.world.instances[number].crowd(True)
        return numbered(self.hit)

    def end(self) -> None:
        for number in self.hit:
            self.world.instances[number].crowd(False)
