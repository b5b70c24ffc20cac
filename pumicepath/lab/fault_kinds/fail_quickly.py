"""Servers that fail hops at once, and so look the least loaded."""

from .base import Fault, server_names


class FailQuickly(Fault):
    """The value is the fraction of hops that fail on arrival, by default all."""

    default_value = 1.0

    def inject(self) -> str:
        self.targets = self.target_servers()
        for server in self.targets:
            server.failure_fraction = self.value
        return f"{server_names(self.targets)}, {self.value:g} of hops"

    def revert(self) -> None:
        for server in self.targets:
            server.failure_fraction = 0.0
