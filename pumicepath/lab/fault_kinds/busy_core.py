"""Another process keeps the core of a sidecar busy."""

from ..model.world import SidecarInstance
from .base import SidecarFault


class BusyCore(SidecarFault):
    """Both are held to one core; by default one in ten."""

    default_value = 0.1
    needs_processes = True

    def inject_into(self, sidecar: SidecarInstance) -> None:
        sidecar.set_core_contention(True)

    def revert_on(self, sidecar: SidecarInstance) -> None:
        sidecar.set_core_contention(False)
