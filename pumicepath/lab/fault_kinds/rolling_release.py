"""A rolling release of all servers: each drains, ends and restarts cold."""

from ...interface import ServerState
from ..model.servers import Server
from ..model.timeline import SECOND
from .base import Fault


class RollingRelease(Fault):
    """It is spread over the duration; the value is the number of servers replaced at a time, by default 1."""

    default_value = 1.0

    def inject(self) -> str:
        slots = range(len(self.world.server_ids))
        batch_size = max(1, int(self.value))
        batches = [slots[first : first + batch_size] for first in range(0, len(slots), batch_size)]
        for index, batch in enumerate(batches):
            at = self.world.timeline.now + index * self.duration // len(batches)
            for slot in batch:
                self.world.timeline.at(at, self.drain, slot)
        return f"{len(slots)} servers, {batch_size} at a time"

    def drain(self, slot: int) -> None:
        server = self.world.server_at(slot)
        self.world.publish_server(server, ServerState.DRAINING)
        self.world.timeline.at(self.world.timeline.now + SECOND, self.restart, server)

    def restart(self, server: Server) -> None:
        server.kill()
        server.start()
        self.world.publish_server(server)
