"""Base classes of injected faults: when they start and end, and which servers or sidecars they affect."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.servers import Server
from ..model.timeline import random_source

if TYPE_CHECKING:
    from ..model.world import SidecarInstance, World
    from ..spec import FaultSpec


class Fault:
    """A fault that is injected once, and reverted after its duration; times are in microseconds."""

    default_value = 0.0  # if the plan gives none
    has_end = True  # whether it is reverted after its duration
    needs_processes = False  # whether it affects only real processes
    needs_call_hooks = False  # whether it needs hooks in the clock or file calls of sidecars
    needs_peers = False  # whether sidecars must form a fleet

    def __init__(self, world: World, spec: FaultSpec, number: int) -> None:
        self.world = world
        self.spec = spec
        self.value = spec.value or self.default_value
        self.duration = round(spec.for_s * 1e6)
        self.rng = random_source(world.seed, "trouble", number, spec.kind)

    def schedule(self) -> None:
        """Schedule the fault on the timeline."""
        at = round(self.spec.at_s * 1e6)
        self.world.timeline.at(at, self.start, at)

    def start(self, at: int) -> None:
        """Inject the fault, mark it for reports and schedule its end."""
        text = self.inject()
        self.world.mark(f"{self.spec.kind}: {text}", self.duration if self.has_end else 0)
        if self.has_end:
            self.world.timeline.at(at + self.duration, self.revert)

    def inject(self) -> str:
        """Inject the fault; returns a short text about what it affects."""
        raise NotImplementedError

    def revert(self) -> None:
        """End the fault."""

    def server_slots(self) -> list[int]:
        """Slots of the affected servers, as the plan names them or at random."""
        if self.spec.servers:
            return list(self.spec.servers)
        return sorted(self.rng.sample(range(len(self.world.server_ids)), self.spec.count))

    def sidecar_numbers(self) -> list[int]:
        """The affected sidecars, as the plan names them or a random fraction, the value."""
        count = len(self.world.instances)
        if self.spec.sidecars:
            return sorted(self.spec.sidecars)
        return sorted(self.rng.sample(range(count), max(1, round(self.value * count))))

    def target_servers(self) -> list[Server]:
        """The affected servers."""
        return [self.world.server_at(slot) for slot in self.server_slots()]


class SidecarFault(Fault):
    """A fault of single sidecars, injected into each of them and reverted on each."""

    all_by_default = False  # if none is named, all are affected, not a random fraction

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
            return [each.number for each in self.world.instances]
        return super().sidecar_numbers()

    def inject_into(self, sidecar: SidecarInstance) -> None:
        """Inject the fault into one sidecar."""
        raise NotImplementedError

    def revert_on(self, sidecar: SidecarInstance) -> None:
        """End the fault on one sidecar."""

    def detail(self) -> str:
        """What to add to the names of the sidecars in reports."""
        return ""


def sidecar_names(sidecars: list[int]) -> str:
    """The numbers of a few sidecars, or how many they are."""
    return "sidecar " + ", ".join(map(str, sidecars)) if len(sidecars) < 9 else f"{len(sidecars)} sidecars"


def server_names(servers: list[Server]) -> str:
    """The ids of servers."""
    return "server " + ", ".join(str(server.number) for server in servers)
