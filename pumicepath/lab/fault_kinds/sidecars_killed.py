"""Sidecars that are killed at the same moment and restart together."""

from ..model.world import SidecarInstance
from .base import SidecarFault


class SidecarsKilled(SidecarFault):
    """A random fraction, by default 0.7; they restart with their own state, none, or another's."""

    default_value = 0.7

    def inject_into(self, sidecar: SidecarInstance) -> None:
        sidecar.kill()

    def revert_on(self, sidecar: SidecarInstance) -> None:
        sidecar.start(self.spec.state)

    def detail(self) -> str:
        return "" if self.spec.state == "old" else f", state {self.spec.state}"
