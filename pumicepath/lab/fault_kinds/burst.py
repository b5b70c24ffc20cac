"""Clients send a multiple of what they usually do."""

from .base import Fault


class Burst(Fault):
    """By default three times as much."""

    default_value = 3.0

    def inject(self) -> str:
        self.world.load_overrides.rate_factor *= self.value
        return f"{self.value:g} times the load"

    def revert(self) -> None:
        self.world.load_overrides.rate_factor /= self.value
