"""Sidecars are stopped in the middle of whatever they do, and go on as if nothing had been."""

from ..model.world import Instance
from .trouble import OfSidecars


class SidecarsStopped(OfSidecars):
    """SIGSTOP and SIGCONT; by default three in ten."""

    usual = 0.3
    real = True

    def befall(self, one: Instance) -> None:
        one.stop()

    def relieve(self, one: Instance) -> None:
        one.go_on()
