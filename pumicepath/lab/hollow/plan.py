"""The plan of a run: services, servers, zones, and the services that each sidecar calls, all from one seed.

    plan = Plan(RunOptions(sidecars=1000, services=95, regions=2, zones=6))
    plan.service_of[17], plan.zone_of[17], plan.called_services[17]

Server i and sidecar i share a machine and therefore a zone.  Only the `RunOptions` are passed between the
processes of a run: each process derives the same plan from them.
"""

from __future__ import annotations

import random
from dataclasses import asdict, dataclass, field
from typing import Any

SIZE_EXPONENT = 0.9  # r-th size ~ r ** -0.9: the largest service has 1,000 to 2,500 of 20,000 servers
SIZE_VARIATION = (0.75, 1.3)  # times a uniformly drawn factor
MAX_SIDECARS = 100_000
MIN_FULL_LIST_BYTES_PER_S, MAX_FULL_LIST_BYTES_PER_S = 10_000, 10**10  # limits of `relay/config.py`
# The k-th state of a server has the share 1 + k / 1024: the share in a balancer identifies the state.
STATES_PER_SHARE_UNIT = 1024


class RunOptionsError(Exception):
    """The options are invalid or too large; the message names the option."""


@dataclass(frozen=True)
class RunOptions:
    """Options of one run; times in seconds.

    The fields are written to the run's `ask.json` under their names.
    """

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
    whole_bytes_per_s: int = 0  # limit of each relay for full lists; 0: its default
    processes: int = 0
    fault_s: float = 6.0
    faults: tuple[str, ...] = ()
    planted: tuple[str, ...] = field(default=())  # bugs injected into the rig to test the checker

    def as_dict(self) -> dict[str, Any]:
        return asdict(self)

    @classmethod
    def from_dict(cls, data: dict[str, Any]) -> RunOptions:
        return cls(**{**data, "faults": tuple(data["faults"]), "planted": tuple(data["planted"])})


def check_options(options: RunOptions) -> RunOptions:
    """Return the options if they are valid.  Raises RunOptionsError, which names the option."""
    for option, value, minimum, maximum in (
        ("--sidecars", options.sidecars, 1, MAX_SIDECARS),
        ("--services", options.services, 1, options.sidecars),
        ("--regions", options.regions, 1, 64),
        ("--zones", options.zones, options.regions, 1024),
        ("--changes-per-s", options.changes_per_s, 0.0, 10_000.0),
        ("--for", options.seconds, 1.0, 86_400.0),
        ("--relays-per-region", options.relays_per_region, 1, 16),
        ("--calls", options.calls, 1, 256),
        ("--popular", options.popular, 0.0, 2.0),
        ("--play-regions", options.played, 0, options.regions),
        ("--processes", options.processes, 0, 64),
        ("--fault-for", options.fault_s, 0.5, 3600.0),
    ):
        if not minimum <= value <= maximum:
            raise RunOptionsError(f"{option}: {value} is not from {minimum} to {maximum}")
    if options.form == "direct" and (options.played or options.whole_bytes_per_s):
        raise RunOptionsError("--form: --play-regions and --whole-bytes-per-s need --form relayed")
    if (
        options.whole_bytes_per_s
        and not MIN_FULL_LIST_BYTES_PER_S <= options.whole_bytes_per_s <= MAX_FULL_LIST_BYTES_PER_S
    ):
        raise RunOptionsError(
            f"--whole-bytes-per-s: {options.whole_bytes_per_s} is not from {MIN_FULL_LIST_BYTES_PER_S} "
            f"to {MAX_FULL_LIST_BYTES_PER_S}"
        )
    if options.faults and options.fault_s * len(options.faults) > options.seconds:
        raise RunOptionsError(
            f"--for: {len(options.faults)} faults of {options.fault_s:g} s "
            f"do not fit in {options.seconds:g} s"
        )
    return options


class Plan:
    """The fleet before any change."""

    def __init__(self, options: RunOptions) -> None:
        self.options = options
        rng = random.Random(f"fleet {options.seed}")
        self.service_sizes = draw_service_sizes(options.sidecars, options.services, rng)
        self.service_of = [service for service, size in enumerate(self.service_sizes) for _ in range(size)]
        rng.shuffle(self.service_of)
        self.zone_of = [number % options.zones for number in range(options.sidecars)]
        rng.shuffle(self.zone_of)
        self.servers_of: list[list[int]] = [[] for _ in self.service_sizes]
        for server, service in enumerate(self.service_of):
            self.servers_of[service].append(server)
        weights = [size**options.popular for size in self.service_sizes]
        even = min(weights) == max(weights)
        self.called_services = [
            draw_services(weights, even, min(options.calls, options.services), rng)
            for _ in range(options.sidecars)
        ]

    def region_of_zone(self, zone: int) -> int:
        return zone % self.options.regions

    def region_of(self, server: int) -> int:
        return self.zone_of[server] % self.options.regions

    def played_region_count(self) -> int:
        return self.options.played or self.options.regions

    def played_sidecars(self) -> list[int]:
        """The sidecars that are started: all of the played regions, so that relays have their full load."""
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
        """A distinct address in 127.0.0.0/8, as real servers have; nothing connects to it."""
        return f"127.{64 + (server >> 16)}.{server >> 8 & 255}.{server & 255}:9000"

    def held_servers(self, sidecar: int) -> int:
        """Servers in a sidecar's list if it receives only the services that it calls."""
        return sum(self.service_sizes[service] for service in self.called_services[sidecar])


def draw_service_sizes(servers: int, services: int, rng: random.Random) -> list[int]:
    """Draw the number of servers of each service: long-tailed, at least 1 each, `servers` in total."""
    weights = [(rank + 1) ** -SIZE_EXPONENT * rng.uniform(*SIZE_VARIATION) for rank in range(services)]
    remaining = servers - services
    total = sum(weights)
    exact = [remaining * weight / total for weight in weights]
    sizes = [1 + int(value) for value in exact]
    by_remainder = sorted(range(services), key=lambda index: (int(exact[index]) - exact[index], index))
    for index in by_remainder[: servers - sum(sizes)]:
        sizes[index] += 1
    return sizes


def draw_services(
    weights: list[float], equal_weights: bool, count: int, rng: random.Random
) -> tuple[int, ...]:
    """Draw `count` different services, with probabilities by weight."""
    if count >= len(weights):
        return tuple(range(len(weights)))
    if equal_weights:
        return tuple(sorted(rng.sample(range(len(weights)), count)))
    drawn: set[int] = set()
    while len(drawn) < count:
        drawn.update(rng.choices(range(len(weights)), weights, k=count - len(drawn)))
    return tuple(sorted(drawn))
