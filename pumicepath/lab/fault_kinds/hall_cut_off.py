"""A network partition around a zone, without any notice."""

from .base import Fault


class HallCutOff(Fault):
    """No message enters or leaves the zone.

    Where sidecars form a fleet, those inside lose contact with the others and with the list.
    """

    def inject(self) -> str:
        world = self.world
        world.network.cut_zones.add(self.spec.hall)
        if world.links is not None:
            all_sidecars = {each.number for each in world.instances}
            self.inside = {each.number for each in world.instances if each.zone == self.spec.hall}
            self.undo = world.links.cut(self.inside, all_sidecars - self.inside)
            world.registry.disconnect(self.inside)
        return f"hall {self.spec.hall}"

    def revert(self) -> None:
        self.world.network.cut_zones.discard(self.spec.hall)
        if self.world.links is not None:
            self.undo()
            self.world.registry.reconnect(self.inside)
