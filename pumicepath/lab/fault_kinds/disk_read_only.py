"""Read-only disks of sidecars."""

from ..model.world import SidecarInstance
from .base import SidecarFault


class DiskReadOnly(SidecarFault):
    """Opening for writing, renaming and removing fail; of the named sidecars, or all."""

    needs_processes = needs_call_hooks = all_by_default = True

    def inject_into(self, sidecar: SidecarInstance) -> None:
        sidecar.impair_disk(True, 0.0)

    def revert_on(self, sidecar: SidecarInstance) -> None:
        sidecar.impair_disk(False, 0.0)
