"""Hot restarts of sidecars."""

from ..model.world import SidecarInstance
from .base import SidecarFault


class SidecarsReplaced(SidecarFault):
    """A random fraction, by default 0.3; the old process is asked to end once the new one serves."""

    default_value = 0.3
    needs_processes = True
    needs_peers = True  # without a fleet they have no admin address, which a hot restart needs
    has_end = False

    def inject_into(self, sidecar: SidecarInstance) -> None:
        sidecar.replace()
