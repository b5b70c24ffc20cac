"""Nothing enters or leaves a hall, and nobody is told."""

from .trouble import Trouble


class HallCutOff(Trouble):
    """Where sidecars speak with each other, those inside hear nobody outside, nor the list."""

    def begin(self) -> str:
        world = self.world
        world.network.cut.add(self.spec.hall)
        if world.links is not None:
            every = {one.number for one in world.instances}
            self.inside = {one.number for one in world.instances if one.hall == self.spec.hall}
            self.undo = world.links.cut(self.inside, every - self.inside)
            world.registry.break_off(self.inside)
        return f"hall {self.spec.hall}"

    def end(self) -> None:
        self.world.network.cut.discard(self.spec.hall)
        if self.world.links is not None:
            self.undo()
            self.world.registry.come_back(self.inside)
