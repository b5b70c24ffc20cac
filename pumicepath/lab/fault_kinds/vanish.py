"""Machines that vanish and leave half-open connections."""

from .base import Fault, server_names


class Vanish(Fault):
    """All that is sent to them is lost; at the end new, cold processes start."""

    def inject(self) -> str:
        self.targets = self.target_servers()
        for server in self.targets:
            server.silence()
        return server_names(self.targets)

    def revert(self) -> None:
        for server in self.targets:
            server.kill()
            server.start()
            self.world.publish_server(server)
