"""Sidecars are killed in the same moment, and come back together."""

from ..model.world import Instance
from .trouble import OfSidecars


class SidecarsKilled(OfSidecars):
    """By default seven in ten; each finds its own state on its disk, none, or another's."""

    usual = 0.7

    def befall(self, one: Instance) -> None:
        one.kill()

    def relieve(self, one: Instance) -> None:
        one.start(self.spec.state)

    def remark(self) -> str:
        return "" if self.spec.state == "old" else f", state {self.spec.state}"
