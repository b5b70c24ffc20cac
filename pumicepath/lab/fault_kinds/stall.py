"""Responses that stop half way, as behind a broken proxy or with a full disk."""

from .base import Fault, server_names


class Stall(Fault):
    """The value is the fraction of responses, by default a third; the connection stays open and silent."""

    default_value = 0.33

    def inject(self) -> str:
        self.targets = self.target_servers()
        for server in self.targets:
            server.stall_fraction = self.value
        return f"{server_names(self.targets)}, {self.value:g} of answers"

    def revert(self) -> None:
        for server in self.targets:
            server.stall_fraction = 0.0
