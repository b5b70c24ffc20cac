"""Slow disks of sidecars."""

from ..model.world import SidecarInstance
from .base import SidecarFault


class DiskSlow(SidecarFault):
    """The value is the milliseconds per file operation, by default 500; of the named sidecars, or all."""

    default_value = 500.0
    needs_processes = needs_call_hooks = all_by_default = True

    def inject_into(self, sidecar: SidecarInstance) -> None:
        sidecar.impair_disk(False, self.value)

    def revert_on(self, sidecar: SidecarInstance) -> None:
        sidecar.impair_disk(False, 0.0)
