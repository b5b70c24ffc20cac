"""Machines vanish: half open connections, no word to anybody."""

from .base import Fault, server_names


class Vanish(Fault):
    """What is sent to them is lost; when they are back, their processes are new and cold."""

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
