"""Sidecars are killed in the same moment, and come back together."""

from ..model.world import SidecarInstance
from .base import SidecarFault


class SidecarsKilled(SidecarFault):
    """By default seven in ten; each finds its own state on its disk, none, or another's."""

    default_value = 0.7

    def inject_into(self, sidecar: SidecarInstance) -> None:
        sidecar.kill()

    def revert_on(self, sidecar: SidecarInstance) -> None:
        sidecar.start(self.spec.state)

    def detail(self) -> str:
        return "" if self.spec.state == "old" else f", state {self.spec.state}"
