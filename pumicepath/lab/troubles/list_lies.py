"""The server list leaves out servers that are well."""

from ...interface import ServerState
from .trouble import Trouble, named


class ListLies(Trouble):
    """By default they are shown as draining, with a value of 2 as gone."""

    def begin(self) -> str:
        self.hit = self.servers()
        for server in self.hit:
            self.world.registry.lie(
                server.number, ServerState.GONE if self.value == 2 else ServerState.DRAINING
            )
        return named(self.hit)

    def end(self) -> None:
        for server in self.hit:
            self.world.registry.lie(server.number, None)
