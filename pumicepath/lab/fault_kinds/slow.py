"""Slow servers, as with a bad disk or a throttled core."""

from .base import Fault, server_names


class Slow(Fault):
    """Their speed falls to a fraction, the value, by default 0.2."""

    default_value = 0.2

    def inject(self) -> str:
        self.targets = self.target_servers()
        for server in self.targets:
            server.set_speed_factor(self.value)
        return f"{server_names(self.targets)} at {self.value:g} of their speed"

    def revert(self) -> None:
        for server in self.targets:
            server.set_speed_factor(1.0)
