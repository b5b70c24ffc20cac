"""All servers are renewed one after the other: each drains, ends, and comes back cold."""

from ...interface import ServerState
from ..model.servers import Server
from ..model.timeline import SECOND
from .trouble import Trouble


class RollingRelease(Trouble):
    """So that all are done when it ends; the value is how many go at a time, by default one."""

    usual = 1.0

    def begin(self) -> str:
        places = range(len(self.world.places))
        together = max(1, int(self.value))
        turns = [places[at : at + together] for at in range(0, len(places), together)]
        for at, turn in enumerate(turns):
            when = self.world.timeline.now + at * self.lasts // len(turns)
            for place in turn:
                self.world.timeline.at(when, self.renew, place)
        return f"{len(places)} servers, {together} at a time"

    def renew(self, place: int) -> None:
        server = self.world.at_place(place)
        self.world.list(server, ServerState.DRAINING)
        self.world.timeline.at(self.world.timeline.now + SECOND, self.stop, server)

    def stop(self, server: Server) -> None:
        server.kill()
        server.start()
        self.world.list(server)
