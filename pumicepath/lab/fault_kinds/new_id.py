"""Servers go for good, and new ones with new ids come up at their old addresses."""

from ...interface import Phase
from .base import Fault, server_names


class NewId(Fault):
    """The list tells of both at once, with its usual lag: nothing may be inherited."""

    has_end = False

    def inject(self) -> str:
        places = self.server_slots()
        old = [self.world.server_at(place) for place in places]
        for place, server in zip(places, old):
            server.kill()
            self.world.publish_server(server, Phase.GONE)
            self.world.add_server(place, cold=True)
        return f"{server_names(old)} replaced"
