"""Servers that drain, end and restart cold."""

from ...interface import ServerState
from .base import Fault, server_names


class Drain(Fault):
    """The process ends a while, by default 2 s, after the list reported that it drains."""

    default_value = 2.0

    def inject(self) -> str:
        self.targets = self.target_servers()
        for server in self.targets:
            self.world.publish_server(server, ServerState.DRAINING)
        self.world.timeline.at(self.world.timeline.now + round(self.value * 1e6), self.stop)
        return server_names(self.targets)

    def stop(self) -> None:
        for server in self.targets:
            server.kill()
            self.world.publish_server(server, ServerState.GONE)

    def revert(self) -> None:
        for server in self.targets:
            server.start()
            self.world.publish_server(server)
