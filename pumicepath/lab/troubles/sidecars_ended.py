"""Sidecars are asked to end, as in a release, and started again."""

from ..model.world import Instance
from .trouble import OfSidecars


class SidecarsEnded(OfSidecars):
    """SIGTERM; by default three in ten. They are started again once the time is over, ended or not."""

    usual = 0.3
    real = True

    def befall(self, one: Instance) -> None:
        one.end()

    def relieve(self, one: Instance) -> None:
        one.start(self.spec.state)
