"""Sidecars that are asked to end, as in a release, and restart."""

from ..model.world import SidecarInstance
from .base import SidecarFault


class SidecarsEnded(SidecarFault):
    """SIGTERM to a random fraction, by default 0.3; at the end all restart, whether they ended or not."""

    default_value = 0.3
    needs_processes = True

    def inject_into(self, sidecar: SidecarInstance) -> None:
        sidecar.terminate()

    def revert_on(self, sidecar: SidecarInstance) -> None:
        sidecar.start(self.spec.state)
