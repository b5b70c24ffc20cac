"""All servers are renewed one after the other: each drains, ends, and comes back cold."""

from ...interface import Phase
from ..model.servers import Server
from ..model.timeline import SECOND
from .base import Fault


class RollingRelease(Fault):
    """So that all are done when it ends; the value is how many go at a time, by default one."""

    default_value = 1.0

    def inject(self) -> str:
        places = range(len(self.world.server_ids))
        together = max(1, int(self.value))
        turns = [places[at : at + together] for at in range(0, len(places), together)]
        for at, turn in enumerate(turns):
            when = self.world.timeline.now + at * self.duration // len(turns)
            for place in turn:
                self.world.timeline.at(when, self.renew, place)
        return f"{len(places)} servers, {together} at a time"

    def renew(self, place: int) -> None:
        server = self.world.server_at(place)
        self.world.publish_server(server, Phase.DRAINING)
        self.world.timeline.at(self.world.timeline.now + SECOND, self.stop, server)

    def stop(self, server: Server) -> None:
        server.kill()
        server.start()
        self.world.publish_server(server)
