"""What a run of hollow sidecars consists of: services, servers, zones, and who calls what, all from one seed.

    plan = Plan(Ask(sidecars=1000, services=95, regions=2, zones=6))
    plan.service_of[17], plan.zone_of[17], plan.calls[17]

Server i and sidecar i share a machine, thus a zone.  Each process of a run makes the same plan for itself
from the same `Ask`: nothing but that is handed from one to the other.
"""

from __future__ import annotations

import random
from dataclasses import asdict, dataclass, field
from typing import Any

TAIL = 0.9  # size of the r-th service ~ r ** -TAIL: 1,000 to 2,500 in the largest of 20,000
SPREAD = (0.75, 1.3)  # and a part drawn for each
MOST_SIDECARS = 100_000
LEAST_PACE, MOST_PACE = 10_000, 10**10  # as `relay/config.py` has them
STEP = 1024  # a server's share is 1 + k / STEP: k tells which of its states is held somewhere


class BadAsk(Exception):
    """What was asked for can't be run; the text names the option."""


@dataclass(frozen=True)
class Ask:
    """Options of one run; times in seconds."""

    sidecars: int
    services: int
    regions: int = 1
    zones: int = 1
    changes_per_s: float = 1.0
    seconds: float = 30.0
    seed: int = 1
    form: str = "direct"
    relays_per_region: int = 2
    calls: int = 5
    popular: float = 0.0
    played: int = 0  # regions whose sidecars and relays are started; 0: all
    whole_bytes_per_s: int = 0  # of each relay, as its file would say; 0: its default
    processes: int = 0
    fault_s: float = 6.0
    faults: tuple[str, ...] = ()
    planted: tuple[str, ...] = field(default=())  # faults in the rig itself, by which its judge is tested

    def told(self) -> dict[str, Any]:
        return asdict(self)

    @classmethod
    def from_told(cls, told: dict[str, Any]) -> Ask:
        return cls(**{**told, "faults": tuple(told["faults"]), "planted": tuple(told["planted"])})


def checked(ask: Ask) -> Ask:
    """Raises BadAsk for what can't be meant, naming the option."""
    for option, value, least, most in (
        ("--sidecars", ask.sidecars, 1, MOST_SIDECARS),
        ("--services", ask.services, 1, ask.sidecars),
        ("--regions", ask.regions, 1, 64),
        ("--zones", ask.zones, ask.regions, 1024),
        ("--changes-per-s", ask.changes_per_s, 0.0, 10_000.0),
        ("--for", ask.seconds, 1.0, 86_400.0),
        ("--relays-per-region", ask.relays_per_region, 1, 16),
        ("--calls", ask.calls, 1, 256),
        ("--popular", ask.popular, 0.0, 2.0),
        ("--play-regions", ask.played, 0, ask.regions),
        ("--processes", ask.processes, 0, 64),
        ("--fault-for", ask.fault_s, 0.5, 3600.0),
    ):
        if not least <= value <= most:
            raise BadAsk(f"{option}: {value} is not from {least} to {most}")
    if ask.form == "direct" and (ask.played or ask.whole_bytes_per_s):
        raise BadAsk("--form: only with relays can regions or a relay's pace be chosen")
    if ask.whole_bytes_per_s and not LEAST_PACE <= ask.whole_bytes_per_s <= MOST_PACE:
        raise BadAsk(f"--whole-bytes-per-s: {ask.whole_bytes_per_s} is not from {LEAST_PACE} to {MOST_PACE}")
    if ask.faults and ask.fault_s * len(ask.faults) > ask.seconds:
        raise BadAsk(f"--for: {len(ask.faults)} faults of {ask.fault_s:g} s do not fit in {ask.seconds:g} s")
    return ask


class Plan:
    """The fleet as it is before any change."""

    def __init__(self, ask: Ask) -> None:
        self.ask = ask
        chance = random.Random(f"fleet {ask.seed}")
        self.sizes = sizes(ask.sidecars, ask.services, chance)
        self.service_of = [service for service, size in enumerate(self.sizes) for _ in range(size)]
        chance.shuffle(self.service_of)
        self.zone_of = [at % ask.zones for at in range(ask.sidecars)]
        chance.shuffle(self.zone_of)
        self.servers_of: list[list[int]] = [[] for _ in self.sizes]
        for server, service in enumerate(self.service_of):
            self.servers_of[service].append(server)
        weights = [size**ask.popular for size in self.sizes]
        even = min(weights) == max(weights)
        self.calls = [drawn(weights, even, min(ask.calls, ask.services), chance) for _ in range(ask.sidecars)]

    def region_of_zone(self, zone: int) -> int:
        return zone % self.ask.regions

    def region_of(self, server: int) -> int:
        return self.zone_of[server] % self.ask.regions

    def regions_played(self) -> int:
        return self.ask.played or self.ask.regions

    def played(self) -> list[int]:
        """The sidecars that are started: all of some regions, as many for a relay as it will have."""
        return [
            number for number in range(self.ask.sidecars) if self.region_of(number) < self.regions_played()
        ]

    def zone_name(self, zone: int) -> str:
        return f"{self.region_name(zone % self.ask.regions)}-z{zone}"

    def region_name(self, region: int) -> str:
        return f"r{region}"

    def service_name(self, service: int) -> str:
        return f"v{service:04d}"

    def server_name(self, server: int) -> str:
        return f"s-{server:05d}"

    def dial(self, server: int) -> str:
        """Where it would be dialled, which nobody does: all over 127.0.0.0/8, as real ones over machines."""
        return f"127.{64 + (server >> 16)}.{server >> 8 & 255}.{server & 255}:9000"

    def held(self, sidecar: int) -> int:
        """Servers that a sidecar holds that is sent only what concerns the services it calls."""
        return sum(self.sizes[service] for service in self.calls[sidecar])


def sizes(servers: int, services: int, chance: random.Random) -> list[int]:
    """Servers of each service: a long tail, each at least 1, together exactly as many as asked for."""
    weights = [(rank + 1) ** -TAIL * chance.uniform(*SPREAD) for rank in range(services)]
    rest = servers - services
    total = sum(weights)
    exact = [rest * weight / total for weight in weights]
    found = [1 + int(part) for part in exact]
    most_left = sorted(range(services), key=lambda at: (int(exact[at]) - exact[at], at))
    for at in most_left[: servers - sum(found)]:
        found[at] += 1
    return found


def drawn(weights: list[float], even: bool, count: int, chance: random.Random) -> tuple[int, ...]:
    """Different services, the heavier the likelier."""
    if count >= len(weights):
        return tuple(range(len(weights)))
    if even:
        return tuple(sorted(chance.sample(range(len(weights)), count)))
    found: set[int] = set()
    while len(found) < count:
        found.update(chance.choices(range(len(weights)), weights, k=count - len(found)))
    return tuple(sorted(found))
