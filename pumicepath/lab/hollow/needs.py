"""What a run will take, said before it begins: processes, and MB by a formula of measured slopes.

needed = needs(plan, processes); refuse(needed)
"""

from __future__ import annotations

from dataclasses import dataclass

from .plan import BadAsk, Plan

MOST_MB = 11_000
MOST_PROCESSES = 300
MOST_DESCRIPTORS = 20_000
# Measured with `lab scale` at 250 to 14,000 sidecars (docs/lab.md), Python 3.11, with a little to spare: a
# process of hollow sidecars before the first, a sidecar that holds nothing, a server that one holds; a relay
# or origin, what it has of each server that it lists, and of each sidecar's machine in the plan.
HOST_MB = 40.0
SIDECAR_KB = 25.0
SERVER_KB = 3.0
CONTROL_MB = 25.0
LISTED_KB = 6.0
PLANNED_KB = 1.0
RUN_MB = 60.0


@dataclass(frozen=True)
class Needs:
    processes: int
    mb: float
    held: int  # servers that all sidecars hold, together
    most_connections: int  # of one process

    def line(self) -> str:
        return (
            f"{self.processes} processes, about {self.mb:.0f} MB, {self.held} held servers, up to "
            f"{self.most_connections} connections a process"
        )


def hosts_of(plan: Plan, cores: int) -> int:
    """Processes of hollow sidecars: as asked, else half of the cores and at least 25 sidecars in each."""
    count = len(plan.played())
    wanted = plan.ask.processes or max(1, min(cores // 2, count // 25))
    return min(wanted, count)


def needs(plan: Plan, hosts: int) -> Needs:
    ask = plan.ask
    direct = ask.form == "direct"
    played = plan.played()
    held = ask.sidecars**2 if direct else sum(map(plan.held, played))
    relays = 0 if direct else plan.regions_played() * ask.relays_per_region
    origins = 1 if direct else ask.regions
    forwarders = int("region-cut" in ask.faults)
    control = relays * (CONTROL_MB + ask.sidecars * LISTED_KB / 1000) + origins * (
        CONTROL_MB + ask.sidecars * (LISTED_KB / origins + PLANNED_KB) / 1000
    )
    mb = RUN_MB + hosts * HOST_MB + len(played) * SIDECAR_KB / 1000 + held * SERVER_KB / 1000 + control
    # All of a region's sidecars may come to one of its relays, while the others are down.
    most = ask.sidecars if direct else -(-ask.sidecars // ask.regions)
    return Needs(1 + hosts + origins + relays + forwarders, mb, held, max(most, -(-len(played) // hosts)))


def refuse(found: Needs) -> None:
    """Raises BadAsk for a run that is too large for the machine."""
    if found.processes > MOST_PROCESSES:
        raise BadAsk(f"--relays-per-region: takes {found.processes} processes, more than {MOST_PROCESSES}")
    if found.mb > MOST_MB:
        raise BadAsk(
            f"--sidecars: takes about {found.mb:.0f} MB, more than {MOST_MB} "
            f"({found.held} held servers of {SERVER_KB:g} kB)"
        )
    if found.most_connections + 100 > MOST_DESCRIPTORS:
        raise BadAsk(
            f"--sidecars: {found.most_connections} connections in one process, more than "
            f"{MOST_DESCRIPTORS - 100}"
        )
