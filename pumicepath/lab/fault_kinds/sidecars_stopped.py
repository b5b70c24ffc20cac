"""Sidecars that are suspended and later go on unaware of it."""

from ..model.world import SidecarInstance
from .base import SidecarFault


class SidecarsStopped(SidecarFault):
    """SIGSTOP and SIGCONT to a random fraction, by default 0.3."""

    default_value = 0.3
    needs_processes = True

    def inject_into(self, sidecar: SidecarInstance) -> None:
        sidecar.stop()

    def revert_on(self, sidecar: SidecarInstance) -> None:
        sidecar.resume()
