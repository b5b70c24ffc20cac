"""Clock drift of sidecars."""

from ..model.world import SidecarInstance
from .base import SidecarFault


class ClockRate(SidecarFault):
    """The value is the deviation in ppm, by default 200; of the named sidecars, or all."""

    default_value = 200.0
    needs_processes = needs_call_hooks = all_by_default = True

    def inject_into(self, sidecar: SidecarInstance) -> None:
        sidecar.adjust_clock(1.0 + self.value / 1e6, 0)

    def revert_on(self, sidecar: SidecarInstance) -> None:
        sidecar.adjust_clock(1.0, 0)

    def detail(self) -> str:
        return f" by {self.value:+g} ppm"
