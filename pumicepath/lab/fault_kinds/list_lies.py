"""A server list that reports wrong states of healthy servers."""

from ...interface import ServerState
from .base import Fault, server_names


class ListLies(Fault):
    """They are listed as draining, or with a value of 2 as gone."""

    def inject(self) -> str:
        self.targets = self.target_servers()
        for server in self.targets:
            self.world.registry.override_state(
                server.number, ServerState.GONE if self.value == 2 else ServerState.DRAINING
            )
        return server_names(self.targets)

    def revert(self) -> None:
        for server in self.targets:
            self.world.registry.override_state(server.number, None)
