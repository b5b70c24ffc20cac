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

SIZE_EXPONENT = 0.9  # size of the r-th service ~ r ** -TAIL: 1,000 to 2,500 in the largest of 20,000
SIZE_VARIATION = (0.75, 1.3)  # and a part drawn for each
MAX_SIDECARS = 100_000
MIN_FULL_LIST_BYTES_PER_S, MAX_FULL_LIST_BYTES_PER_S = 10_000, 10**10  # as `relay/config.py` has them
STATES_PER_SHARE_UNIT = (
    1024  # a server's share is 1 + k / STEP: k tells which of its states is held somewhere
)


class RunOptionsError(Exception):
    """What was asked for can't be run; the text names the option."""


@dataclass(frozen=True)
class RunOptions:
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

    def as_dict(self) -> dict[str, Any]:
        return asdict(self)

    @classmethod
    def from_dict(cls, told: dict[str, Any]) -> RunOptions:
        return cls(**{**told, "faults": tuple(told["faults"]), "planted": tuple(told["planted"])})


def check_options(ask: RunOptions) -> RunOptions:
    """Raises BadAsk for what can't be meant, naming the option."""
    for option, value, least, most in (
        ("--sidecars", ask.sidecars, 1, MAX_SIDECARS),
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
            raise RunOptionsError(f"{option}: {value} is not from {least} to {most}")
    if ask.form == "direct" and (ask.played or ask.whole_bytes_per_s):
        raise RunOptionsError("--form: only with relays can regions or a relay's pace be chosen")
    if (
        ask.whole_bytes_per_s
        and not MIN_FULL_LIST_BYTES_PER_S <= ask.whole_bytes_per_s <= MAX_FULL_LIST_BYTES_PER_S
    ):
        raise RunOptionsError(
            f"--whole-bytes-per-s: {ask.whole_bytes_per_s} is not from {MIN_FULL_LIST_BYTES_PER_S} to {MAX_FULL_LIST_BYTES_PER_S}"
        )
    if ask.faults and ask.fault_s * len(ask.faults) > ask.seconds:
        raise RunOptionsError(
            f"--for: {len(ask.faults)} faults of {ask.fault_s:g} s do not fit in {ask.seconds:g} s"
        )
    return ask


class Plan:
    """The fleet as it is before any change."""

    def __init__(self, options: RunOptions) -> None:
        self.options = options
        chance = random.Random(f"fleet {options.seed}")
        self.service_sizes = draw_service_sizes(options.sidecars, options.services, chance)
        self.service_of = [service for service, size in enumerate(self.service_sizes) for _ in range(size)]
        chance.shuffle(self.service_of)
        self.zone_of = [at % options.zones for at in range(options.sidecars)]
        chance.shuffle(self.zone_of)
        self.servers_of: list[list[int]] = [[] for _ in self.service_sizes]
        for server, service in enumerate(self.service_of):
            self.servers_of[service].append(server)
        weights = [size**options.popular for size in self.service_sizes]
        even = min(weights) == max(weights)
        self.called_services = [
            draw_services(weights, even, min(options.calls, options.services), chance)
            for _ in range(options.sidecars)
        ]

    def region_of_zone(self, zone: int) -> int:
        return zone % self.options.regions

    def region_of(self, server: int) -> int:
        return self.zone_of[server] % self.options.regions

    def played_region_count(self) -> int:
        return self.options.played or self.options.regions

    def played_sidecars(self) -> list[int]:
        """The sidecars that are started: all of some regions, as many for a relay as it will have."""
        return [
            number
            for number in range(self.options.sidecars)
            if self.region_of(number) < self.played_region_count()
        ]

    def zone_name(self, zone: int) -> str:
        return f"{self.region_name(zone % self.options.regions)}-z{zone}"

    def region_name(self, region: int) -> str:
        return f"r{region}"

    def service_name(self, service: int) -> str:
        return f"v{service:04d}"

    def server_name(self, server: int) -> str:
        return f"s-{server:05d}"

    def server_address(self, server: int) -> str:
        """Where it would be dialled, which nobody does: all over 127.0.0.0/8, as real ones over machines."""
        return f"127.{64 + (server >> 16)}.{server >> 8 & 255}.{server & 255}:9000"

    def held_servers(self, sidecar: int) -> int:
        """Servers that a sidecar holds that is sent only what concerns the services it calls."""
        return sum(self.service_sizes[service] for service in self.called_services[sidecar])


def draw_service_sizes(servers: int, services: int, chance: random.Random) -> list[int]:
    """Servers of each service: a long tail, each at least 1, together exactly as many as asked for."""
    weights = [(rank + 1) ** -SIZE_EXPONENT * chance.uniform(*SIZE_VARIATION) for rank in range(services)]
    rest = servers - services
    total = sum(weights)
    exact = [rest * weight / total for weight in weights]
    found = [1 + int(part) for part in exact]
    most_left = sorted(range(services), key=lambda at: (int(exact[at]) - exact[at], at))
    for at in most_left[: servers - sum(found)]:
        found[at] += 1
    return found


def draw_services(weights: list[float], even: bool, count: int, chance: random.Random) -> tuple[int, ...]:
    """Different services, the heavier the likelier."""
    if count >= len(weights):
        return tuple(range(len(weights)))
    if even:
        return tuple(sorted(chance.sample(range(len(weights)), count)))
    found: set[int] = set()
    while len(found) < count:
        found.update(chance.choices(range(len(weights)), weights, k=count - len(found)))
    return tuple(sorted(found))
