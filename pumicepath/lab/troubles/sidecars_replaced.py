"""A new process takes the place of each sidecar while it serves."""

from ..model.world import Instance
from .trouble import OfSidecars


class SidecarsReplaced(OfSidecars):
    """By default of three in ten; the old process is asked to end once the new one serves."""

    usual = 0.3
    real = True
    needs_peers = True  # only then do they have the operators' address that a replacement needs
    lasting = False

    def befall(self, one: Instance) -> None:
        one.replace()
