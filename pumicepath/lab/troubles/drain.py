"""Servers drain: the list says so, they serve on for a while and end; later they come back cold."""

from ...interface import ServerState
from .trouble import Trouble, named


class Drain(Trouble):
    """The process ends a while (2 s unless told otherwise) after the list said that it drains."""

    usual = 2.0

    def begin(self) -> str:
        self.hit = self.servers()
        for server in self.hit:
            self.world.list(server, ServerState.DRAINING)
        self.world.timeline.at(self.world.timeline.now + round(self.value * 1e6), self.stop)
        return named(self.hit)

    def stop(self) -> None:
        for server in self.hit:
            server.kill()
            self.world.list(server, ServerState.GONE)

    def end(self) -> None:
        for server in self.hit:
            server.start()
            self.world.list(server)
