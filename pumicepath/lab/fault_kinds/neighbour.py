"""A noisy neighbour, which slows servers down at intervals."""

from ..model.timeline import SECOND
from .base import Fault, server_names


class Neighbour(Fault):
    """In half of each second the speed falls to a fraction, the value, by default a third."""

    default_value = 0.33

    def inject(self) -> str:
        self.targets = self.target_servers()
        self.ended = False
        self.switch(True)
        return server_names(self.targets)

    def switch(self, slow: bool) -> None:
        for server in self.targets:
            server.set_speed_factor(self.value if slow and not self.ended else 1.0)
        if not self.ended:
            self.world.timeline.at(self.world.timeline.now + SECOND // 2, self.switch, not slow)

    def revert(self) -> None:
        self.ended = True
        for server in self.targets:
            server.set_speed_factor(1.0)
