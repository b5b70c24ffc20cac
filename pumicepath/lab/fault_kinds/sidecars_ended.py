"""Sidecars are asked to end, as in a release, and started again."""

from ..model.world import SidecarInstance
from .base import SidecarFault


class SidecarsEnded(SidecarFault):
    """SIGTERM; by default three in ten. They are started again once the time is over, ended or not."""

    default_value = 0.3
    needs_processes = True

    def inject_into(self, sidecar: SidecarInstance) -> None:
        sidecar.terminate()

    def revert_on(self, sidecar: SidecarInstance) -> None:
        sidecar.start(self.spec.state)
