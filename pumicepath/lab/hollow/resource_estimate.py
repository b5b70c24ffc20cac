"""What a run will take, said before it begins: processes, and MB by a formula of measured slopes.

needed = needs(plan, processes); refuse(needed)
"""

from __future__ import annotations

from dataclasses import dataclass

from .plan import Plan, RunOptionsError

MAX_MEMORY_MB = 11_000
MAX_PROCESSES = 300
MAX_DESCRIPTORS = 20_000
# Measured with `lab scale` at 250 to 14,000 sidecars (docs/lab.md), Python 3.11, with a little to spare: a
# process of hollow sidecars before the first, a sidecar that holds nothing, a server that one holds; a relay
# or origin, what it has of each server that it lists, and of each sidecar's machine in the plan.
HOST_MB = 40.0
SIDECAR_KB = 25.0
SERVER_KB = 3.0
CONTROL_MB = 25.0
LISTED_SERVER_KB = 6.0
PLANNED_SIDECAR_KB = 1.0
RUN_MB = 60.0


@dataclass(frozen=True)
class ResourceEstimate:
    processes: int
    memory_mb: float
    held_servers: int  # servers that all sidecars hold, together
    max_connections: int  # of one process

    def summary(self) -> str:
        return (
            f"{self.processes} processes, about {self.memory_mb:.0f} MB, {self.held_servers} held servers, up to "
            f"{self.max_connections} connections a process"
        )


def host_process_count(plan: Plan, cores: int) -> int:
    """Processes of hollow sidecars: as asked, else half of the cores and at least 25 sidecars in each."""
    count = len(plan.played_sidecars())
    wanted = plan.options.processes or max(1, min(cores // 2, count // 25))
    return min(wanted, count)


def estimate_resources(plan: Plan, hosts: int) -> ResourceEstimate:
    ask = plan.options
    direct = ask.form == "direct"
    played = plan.played_sidecars()
    held = ask.sidecars**2 if direct else sum(map(plan.held_servers, played))
    relays = 0 if direct else plan.played_region_count() * ask.relays_per_region
    origins = 1 if direct else ask.regions
    forwarders = int("region-cut" in ask.faults)
    control = relays * (CONTROL_MB + ask.sidecars * LISTED_SERVER_KB / 1000) + origins * (
        CONTROL_MB + ask.sidecars * (LISTED_SERVER_KB / origins + PLANNED_SIDECAR_KB) / 1000
    )
    mb = RUN_MB + hosts * HOST_MB + len(played) * SIDECAR_KB / 1000 + held * SERVER_KB / 1000 + control
    # All of a region's sidecars may come to one of its relays, while the others are down.
    most = ask.sidecars if direct else -(-ask.sidecars // ask.regions)
    return ResourceEstimate(
        1 + hosts + origins + relays + forwarders, mb, held, max(most, -(-len(played) // hosts))
    )


def check_limits(found: ResourceEstimate) -> None:
    """Raises BadAsk for a run that is too large for the machine."""
    if found.processes > MAX_PROCESSES:
        raise RunOptionsError(
            f"--relays-per-region: takes {found.processes} processes, more than {MAX_PROCESSES}"
        )
    if found.memory_mb > MAX_MEMORY_MB:
        raise RunOptionsError(
            f"--sidecars: takes about {found.memory_mb:.0f} MB, more than {MAX_MEMORY_MB} "
            f"({found.held_servers} held servers of {SERVER_KB:g} kB)"
        )
    if found.max_connections + 100 > MAX_DESCRIPTORS:
        raise RunOptionsError(
            f"--sidecars: {found.max_connections} connections in one process, more than "
            f"{MAX_DESCRIPTORS - 100}"
        )
