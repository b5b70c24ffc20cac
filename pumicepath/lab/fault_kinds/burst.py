"""Load bursts."""

from .base import Fault


class Burst(Fault):
    """The load is multiplied by the value, by default 3."""

    default_value = 3.0

    def inject(self) -> str:
        self.world.load_overrides.rate_factor *= self.value
        return f"{self.value:g} times the load"

    def revert(self) -> None:
        self.world.load_overrides.rate_factor /= self.value
