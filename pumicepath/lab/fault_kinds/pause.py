"""Servers that pause, as in a long garbage collection or a live migration."""

from .base import Fault, server_names


class Pause(Fault):
    """They stop working and later go on where they were."""

    def inject(self) -> str:
        self.targets = self.target_servers()
        for server in self.targets:
            server.set_speed_factor(0.0)
        return server_names(self.targets)

    def revert(self) -> None:
        for server in self.targets:
            server.set_speed_factor(1.0)
