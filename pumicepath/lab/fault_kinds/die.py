"""Processes die and come back cold."""

from .base import Fault, server_names


class Die(Fault):
    """Hops at them are reset, connections refused; later new processes come up, and the list says so."""

    def inject(self) -> str:
        self.targets = self.target_servers()
        for server in self.targets:
            server.kill()
        return server_names(self.targets)

    def revert(self) -> None:
        for server in self.targets:
            server.start()
            self.world.publish_server(server)
