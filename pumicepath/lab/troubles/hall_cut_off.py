"""Nothing enters or leaves a hall, and nobody is told."""

from .trouble import Trouble


class HallCutOff(Trouble):
    def begin(self) -> str:
        self.world.network.cut.add(self.spec.hall)
        self.undo = None
        if self.world.links is not None:
            inside = {one.number for one in self.world.instances if one.hall == self.spec.hall}
            self.undo = self.world.links.cut(
                inside, {one.number for one in self.world.instances} - inside)
        return f"hall {self.spec.hall}"

    def end(self) -> None:
        self.world.network.cut.discard(self.spec.hall)
        if self.undo is not None:
            self.undo()
