"""A new process takes the place of each sidecar while it serves."""

from ..model.world import SidecarInstance
from .base import SidecarFault


class SidecarsReplaced(SidecarFault):
    """By default of three in ten; the old process is asked to end once the new one serves."""

    default_value = 0.3
    needs_processes = True
    needs_peers = True  # only then do they have the operators' address that a replacement needs
    has_end = False

    def inject_into(self, sidecar: SidecarInstance) -> None:
        sidecar.replace()
