"""Servers that are replaced by new ones with new ids at the same addresses."""

from ...interface import ServerState
from .base import Fault, server_names


class NewId(Fault):
    """The list reports both at once; a new server must not inherit state of the old one."""

    has_end = False

    def inject(self) -> str:
        slots = self.server_slots()
        old_servers = [self.world.server_at(slot) for slot in slots]
        for slot, server in zip(slots, old_servers):
            server.kill()
            self.world.publish_server(server, ServerState.GONE)
            self.world.add_server(slot, cold=True)
        return f"{server_names(old_servers)} replaced"
