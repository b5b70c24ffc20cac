"""Nothing enters or leaves a hall, and nobody is told."""

from .base import Fault


class HallCutOff(Fault):
    """Where sidecars speak with each other, those inside hear nobody outside, nor the list."""

    def inject(self) -> str:
        world = self.world
        world.network.cut_zones.add(self.spec.hall)
        if world.links is not None:
            every = {one.number for one in world.instances}
            self.inside = {one.number for one in world.instances if one.zone == self.spec.hall}
            self.undo = world.links.cut(self.inside, every - self.inside)
            world.registry.disconnect(self.inside)
        return f"hall {self.spec.hall}"

    def revert(self) -> None:
        self.world.network.cut_zones.discard(self.spec.hall)
        if self.world.links is not None:
            self.undo()
            self.world.registry.reconnect(self.inside)
