"""Estimates the processes and the memory of a run before it starts, from measured sizes per item.

estimate = estimate_resources(plan, host_processes); check_limits(estimate)
"""

from __future__ import annotations

from dataclasses import dataclass

from .plan import Plan, RunOptionsError

MAX_MEMORY_MB = 11_000
MAX_PROCESSES = 300
MAX_DESCRIPTORS = 20_000
# Measured with `lab scale` at 250 to 14,000 sidecars (docs/lab.md) on Python 3.11, with a small margin.
HOST_MB = 40.0  # a process of hollow sidecars before its first sidecar
SIDECAR_KB = 25.0  # a sidecar with an empty list
SERVER_KB = 3.0  # a server in a sidecar's list
CONTROL_MB = 25.0  # a relay or origin
LISTED_SERVER_KB = 6.0  # a server that a relay or origin lists
PLANNED_SIDECAR_KB = 1.0  # a sidecar's machine in an origin's plan
RUN_MB = 60.0


@dataclass(frozen=True)
class ResourceEstimate:
    """Estimated resources of a whole run."""

    processes: int
    memory_mb: float
    held_servers: int  # in the lists of all sidecars together
    max_connections: int  # in one process

    def summary(self) -> str:
        return (
            f"{self.processes} processes, about {self.memory_mb:.0f} MB, {self.held_servers} held servers, "
            f"up to {self.max_connections} connections a process"
        )


def host_process_count(plan: Plan, cores: int) -> int:
    """The number of host processes: from the options, else half the cores, with at least 25 sidecars each."""
    sidecar_count = len(plan.played_sidecars())
    process_count = plan.options.processes or max(1, min(cores // 2, sidecar_count // 25))
    return min(process_count, sidecar_count)


def estimate_resources(plan: Plan, hosts: int) -> ResourceEstimate:
    """Estimate the resources of a run with `hosts` processes of hollow sidecars."""
    options = plan.options
    direct = options.form == "direct"
    played = plan.played_sidecars()
    held_servers = options.sidecars**2 if direct else sum(map(plan.held_servers, played))
    relays = 0 if direct else plan.played_region_count() * options.relays_per_region
    origins = 1 if direct else options.regions
    forwarders = int("region-cut" in options.faults)
    control_mb = relays * (CONTROL_MB + options.sidecars * LISTED_SERVER_KB / 1000) + origins * (
        CONTROL_MB + options.sidecars * (LISTED_SERVER_KB / origins + PLANNED_SIDECAR_KB) / 1000
    )
    memory_mb = (
        RUN_MB
        + hosts * HOST_MB
        + len(played) * SIDECAR_KB / 1000
        + held_servers * SERVER_KB / 1000
        + control_mb
    )
    # While a region's other relays are down, all its sidecars connect to the remaining one.
    relay_connections = options.sidecars if direct else -(-options.sidecars // options.regions)
    return ResourceEstimate(
        1 + hosts + origins + relays + forwarders,
        memory_mb,
        held_servers,
        max(relay_connections, -(-len(played) // hosts)),
    )


def check_limits(estimate: ResourceEstimate) -> None:
    """Raises RunOptionsError for a run that is too large for the machine."""
    if estimate.processes > MAX_PROCESSES:
        raise RunOptionsError(
            f"--relays-per-region: takes {estimate.processes} processes, more than {MAX_PROCESSES}"
        )
    if estimate.memory_mb > MAX_MEMORY_MB:
        raise RunOptionsError(
            f"--sidecars: takes about {estimate.memory_mb:.0f} MB, more than {MAX_MEMORY_MB} "
            f"({estimate.held_servers} held servers of {SERVER_KB:g} kB)"
        )
    if estimate.max_connections + 100 > MAX_DESCRIPTORS:
        raise RunOptionsError(
            f"--sidecars: {estimate.max_connections} connections in one process, more than "
            f"{MAX_DESCRIPTORS - 100}"
        )
