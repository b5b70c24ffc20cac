"""The operators' target, and what it leaves open with the figure taken."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Target:
    """In the letter's words; `bytes_s`, `mb` and `core` are what a sidecar may spend on control."""

    servers: int = 20_000
    services: int = 1_900
    calls_per_s: float = 3e6
    call_depth: int = 13
    max_added_latency_ms: float = 1.8
    regions: int = 10
    zones: int = 34
    changes_per_day: int = 61_000
    max_propagation_s: float = 6.0
    max_core_fraction: float = 0.02
    max_memory_mb: float = 32.0
    max_bytes_per_s: float = 7_000.0
    machines: int = 20
    failures_per_day: int = 40
    replacements_per_day: int = 1_600

    @property
    def changes_per_s(self) -> float:
        return self.changes_per_day / 86_400

    @property
    def zone_servers(self) -> int:
        """Servers, and sidecars, of one zone: 588 in the mean, the issue's 590."""
        return 590


@dataclass(frozen=True)
class Assumptions:
    """Where the target is silent.  Machines: the control machines, each."""

    calls_per_sidecar_s: float = 150.0  # a second and sidecar: 3 million by 20,000
    called_services: int = 8  # services that a sidecar calls
    mean_service_servers: float = 10.5  # servers of a service: 20,000 by 1,900
    largest_service_servers: int = 2_500  # servers of the largest service
    peak_factor: float = 10.0  # changes, over their mean, for ten minutes
    direct_renewal_interval_s: float = (
        15.0  # between two calls of a watch on which nothing comes: 20 s, half to all
    )
    changes_per_replacement: int = (
        3  # changes of the list for a server that is replaced: leaving, left, active
    )
    rack_servers: int = 40  # servers of a rack
    relay_renewal_interval_s: float = 2.25  # the same at a relay, and of a relay: 3 s, half to all
    relays_per_region: int = 2  # in each region: 20 machines, 10 regions
    batch_interval_s: float = 0.05  # a relay's, for changes of a short while
    full_list_bytes_per_s: float = 64e6  # that a relay gives to whole lists, by its default
    retained_changes: int = 10_000  # changes that a relay keeps, by its default
    silence_timeout_s: float = 3.4  # until a sidecar leaves a relay that is silent: 3 s and 0.4
    largest_service_caller_fraction: float = 0.1  # of the sidecars call the largest service
    release_duration_s: float = 3_600.0  # in which all servers are replaced once
    partition_duration_s: float = 3_600.0  # that a region is cut off
    region_bytes: float = 36.0  # of an answer for each further region: its name, version and live-ness
    request_bytes: float = 260.0  # of a sidecar's call with the names of 8 services
    cores: int = 8  # of a control machine,
    network_bytes_per_s: float = 1.25e9  # bytes a second: 10 Gbit
    machine_mb: float = 16_000.0

    @property
    def followers_per_relay(self) -> float:
        """Of a relay, when all relays run."""
        return TARGET.servers / TARGET.regions / self.relays_per_region

    @property
    def typical_listed_servers(self) -> float:
        """Servers that a usual sidecar calls."""
        return self.called_services * self.mean_service_servers

    @property
    def max_listed_servers(self) -> float:
        """Those of one that calls the largest service, too."""
        return self.typical_listed_servers + self.largest_service_servers


TARGET = Target()
ASSUMPTIONS = Assumptions()
