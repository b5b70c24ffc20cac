"""Full disks of sidecars."""

from ..model.world import SidecarInstance
from .base import SidecarFault


class DiskFull(SidecarFault):
    """Nothing more can be written; of the named sidecars, or all."""

    needs_processes = all_by_default = True

    def inject_into(self, sidecar: SidecarInstance) -> None:
        sidecar.damage_disk("full", self.rng)

    def revert_on(self, sidecar: SidecarInstance) -> None:
        sidecar.damage_disk("free", self.rng)
