"""CPU contention on the core of a sidecar."""

from ..model.world import SidecarInstance
from .base import SidecarFault


class BusyCore(SidecarFault):
    """The sidecar and a busy process are pinned to one core; by default at one sidecar in ten."""

    default_value = 0.1
    needs_processes = True

    def inject_into(self, sidecar: SidecarInstance) -> None:
        sidecar.set_core_contention(True)

    def revert_on(self, sidecar: SidecarInstance) -> None:
        sidecar.set_core_contention(False)
