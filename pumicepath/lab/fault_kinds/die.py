"""Crashes of server processes, which restart cold."""

from .base import Fault, server_names


class Die(Fault):
    """Hops are reset and connections refused; at the end new processes start and the list reports them."""

    def inject(self) -> str:
        self.targets = self.target_servers()
        for server in self.targets:
            server.kill()
        return server_names(self.targets)

    def revert(self) -> None:
        for server in self.targets:
            server.start()
            self.world.publish_server(server)
