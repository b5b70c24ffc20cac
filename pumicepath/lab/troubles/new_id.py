"""Servers go for good, and new ones with new ids come up at their old addresses."""

from ...interface import ServerState
from .trouble import Trouble, named


class NewId(Trouble):
    """The list tells of both at once, with its usual lag: nothing may be inherited."""

    lasting = False

    def begin(self) -> str:
        places = self.places()
        old = [self.world.at_place(place) for place in places]
        for place, server in zip(places, old):
            server.kill()
            self.world.list(server, ServerState.GONE)
            self.world.begin(place, cold=True)
        return f"{named(old)} replaced"
