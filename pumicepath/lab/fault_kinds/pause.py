"""Servers stop for a while and go on, as in a long collection or a live migration."""

from .base import Fault, server_names


class Pause(Fault):
    def inject(self) -> str:
        self.targets = self.target_servers()
        for server in self.targets:
            server.set_speed_factor(0.0)
        return server_names(self.targets)

    def revert(self) -> None:
        for server in self.targets:
            server.set_speed_factor(1.0)
