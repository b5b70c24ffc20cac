"""What all troubles share: when they begin and end, and whom they meet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.servers import Server
from ..model.timeline import chance

if TYPE_CHECKING:
    from ..model.world import Instance, World
    from ..spec import Trouble as Spec


class Trouble:
    """Begins and ends once.  `usual` is its value where the plan gives none."""

    usual = 0.0
    lasting = True  # whether it has an end of its own to be told
    real = False  # whether only real processes can have it
    bends = False  # whether clocks of sidecars are bent by it
    needs_peers = False  # whether sidecars must speak with each other for it

    def __init__(self, world: World, spec: Spec, number: int) -> None:
        self.world = world
        self.spec = spec
        self.value = spec.value or self.usual
        self.lasts = round(spec.for_s * 1e6)
        self.chance = chance(world.seed, "trouble", number, spec.kind)

    def plan(self) -> None:
        """Set it on the timeline."""
        at = round(self.spec.at_s * 1e6)
        self.world.timeline.at(at, self.run, at)

    def run(self, at: int) -> None:
        text = self.begin()
        self.world.mark(f"{self.spec.kind}: {text}", self.lasts if self.lasting else 0)
        if self.lasting:
            self.world.timeline.at(at + self.lasts, self.end)

    def begin(self) -> str:
        """Do it, and say in a few words to whom."""
        raise NotImplementedError

    def end(self) -> None:
        """Take it back."""

    def places(self) -> list[int]:
        """The places of servers that it meets, as named or by chance."""
        if self.spec.servers:
            return list(self.spec.servers)
        return sorted(self.chance.sample(range(len(self.world.places)), self.spec.count))

    def sidecars(self) -> list[int]:
        """The sidecars that it meets, as named or a share by chance."""
        count = len(self.world.instances)
        if self.spec.sidecars:
            return sorted(self.spec.sidecars)
        return sorted(self.chance.sample(range(count), max(1, round(self.value * count))))

    def servers(self) -> list[Server]:
        return [self.world.at_place(place) for place in self.places()]


class OfSidecars(Trouble):
    """Something that befalls each sidecar that it meets, and is taken back at the end."""

    everyone = False  # who is met where none is named: all, or the share that is the value

    def begin(self) -> str:
        self.hit = self.sidecars()
        for number in self.hit:
            self.befall(self.world.instances[number])
        return numbered(self.hit) + self.remark()

    def end(self) -> None:
        for number in self.hit:
            self.relieve(self.world.instances[number])

    def sidecars(self) -> list[int]:
        if self.everyone and not self.spec.sidecars:
            return [one.number for one in self.world.instances]
        return super().sidecars()

    def befall(self, one: Instance) -> None:
        raise NotImplementedError

    def relieve(self, one: Instance) -> None:
        """Take it back."""

    def remark(self) -> str:
        return ""


def numbered(sidecars: list[int]) -> str:
    return "sidecar " + ", ".join(map(str, sidecars)) if len(sidecars) < 9 else f"{len(sidecars)} sidecars"


def named(servers: list[Server]) -> str:
    return "server " + ", ".join(str(server.number) for server in servers)
