"""Another process keeps the core of a sidecar busy."""

from ..model.world import Instance
from .trouble import OfSidecars


class BusyCore(OfSidecars):
    """Both are held to one core; by default one in ten."""

    usual = 0.1
    real = True

    def befall(self, one: Instance) -> None:
        one.crowd(True)

    def relieve(self, one: Instance) -> None:
        one.crowd(False)
