"""Sidecars are stopped in the middle of whatever they do, and go on as if nothing had been."""

from ..model.world import SidecarInstance
from .base import SidecarFault


class SidecarsStopped(SidecarFault):
    """SIGSTOP and SIGCONT; by default three in ten."""

    default_value = 0.3
    needs_processes = True

    def inject_into(self, sidecar: SidecarInstance) -> None:
        sidecar.stop()

    def revert_on(self, sidecar: SidecarInstance) -> None:
        sidecar.resume()
