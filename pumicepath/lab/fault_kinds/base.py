"""What all troubles share: when they begin and end, and whom they meet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.servers import Server
from ..model.timeline import random_source

if TYPE_CHECKING:
    from ..model.world import SidecarInstance, World
    from ..spec import FaultSpec as Spec


class Fault:
    """Begins and ends once.  `usual` is its value where the plan gives none."""

    default_value = 0.0
    has_end = True  # whether it has an end of its own to be told
    needs_processes = False  # whether only real processes can have it
    needs_call_hooks = False  # whether clocks of sidecars are bent by it
    needs_peers = False  # whether sidecars must speak with each other for it

    def __init__(self, world: World, spec: Spec, number: int) -> None:
        self.world = world
        self.spec = spec
        self.value = spec.value or self.default_value
        self.duration = round(spec.for_s * 1e6)
        self.rng = random_source(world.seed, "trouble", number, spec.kind)

    def schedule(self) -> None:
        """Set it on the timeline."""
        at = round(self.spec.at_s * 1e6)
        self.world.timeline.at(at, self.start, at)

    def start(self, at: int) -> None:
        text = self.inject()
        self.world.mark(f"{self.spec.kind}: {text}", self.duration if self.has_end else 0)
        if self.has_end:
            self.world.timeline.at(at + self.duration, self.revert)

    def inject(self) -> str:
        """Do it, and say in a few words to whom."""
        raise NotImplementedError

    def revert(self) -> None:
        """Take it back."""

    def server_slots(self) -> list[int]:
        """The places of servers that it meets, as named or by chance."""
        if self.spec.servers:
            return list(self.spec.servers)
        return sorted(self.rng.sample(range(len(self.world.server_ids)), self.spec.count))

    def sidecar_numbers(self) -> list[int]:
        """The sidecars that it meets, as named or a share by chance."""
        count = len(self.world.instances)
        if self.spec.sidecars:
            return sorted(self.spec.sidecars)
        return sorted(self.rng.sample(range(count), max(1, round(self.value * count))))

    def target_servers(self) -> list[Server]:
        return [self.world.server_at(place) for place in self.server_slots()]


class SidecarFault(Fault):
    """Something that befalls each sidecar that it meets, and is taken back at the end."""

    all_by_default = False  # who is met where none is named: all, or the share that is the value

    def inject(self) -> str:
        self.targets = self.sidecar_numbers()
        for number in self.targets:
            self.inject_into(self.world.instances[number])
        return sidecar_names(self.targets) + self.detail()

    def revert(self) -> None:
        for number in self.targets:
            self.revert_on(self.world.instances[number])

    def sidecar_numbers(self) -> list[int]:
        if self.all_by_default and not self.spec.sidecars:
            return [one.number for one in self.world.instances]
        return super().sidecar_numbers()

    def inject_into(self, sidecar: SidecarInstance) -> None:
        raise NotImplementedError

    def revert_on(self, sidecar: SidecarInstance) -> None:
        """Take it back."""

    def detail(self) -> str:
        return ""


def sidecar_names(sidecars: list[int]) -> str:
    return "sidecar " + ", ".join(map(str, sidecars)) if len(sidecars) < 9 else f"{len(sidecars)} sidecars"


def server_names(servers: list[Server]) -> str:
    return "server " + ", ".join(str(server.number) for server in servers)
