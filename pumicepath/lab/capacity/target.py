"""The operators' target, and the values assumed where the target does not specify one."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Target:
    """The size and the limits that the operators asked for.

    `max_bytes_per_s`, `max_memory_mb` and `max_core_fraction` limit what a sidecar may use for control, as
    opposed to the requests of its application.
    """

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
        """Servers, and sidecars, of one zone: 588 on average, rounded up to 590 as in the requirement."""
        return 590


@dataclass(frozen=True)
class Assumptions:
    """Values where the target does not specify one; `cores` to `machine_mb` describe a control machine."""

    calls_per_sidecar_s: float = 150.0  # 3 million calls a second by 20,000 sidecars
    called_services: int = 8  # services that a sidecar calls
    mean_service_servers: float = 10.5  # servers of a service: 20,000 by 1,900
    largest_service_servers: int = 2_500  # servers of the largest service
    peak_factor: float = 10.0  # rate of changes over the mean rate, for ten minutes
    # Mean interval between two requests of a watch without changes, which waits 10 to 20 s for an answer.
    direct_renewal_interval_s: float = 15.0
    changes_per_replacement: int = 3  # list changes for a server that is replaced: leaving, left, active
    rack_servers: int = 40
    # The same interval at a relay, and between a relay and discovery: 1.5 to 3 s.
    relay_renewal_interval_s: float = 2.25
    relays_per_region: int = 2  # 20 machines, 10 regions
    batch_interval_s: float = 0.05  # for which a relay collects changes before it sends them
    full_list_bytes_per_s: float = 64e6  # a relay's default limit for full lists
    retained_changes: int = 10_000  # a relay's default
    silence_timeout_s: float = 3.4  # until a sidecar leaves a silent relay: 3 s and 0.4 s
    largest_service_caller_fraction: float = 0.1  # of the sidecars
    release_duration_s: float = 3_600.0  # in which all servers are replaced once
    partition_duration_s: float = 3_600.0  # for which a region is cut off
    region_bytes: float = 36.0  # of an answer for each further region: its name, version and liveness
    request_bytes: float = 260.0  # of a sidecar's watch request with the names of 8 services
    cores: int = 8
    network_bytes_per_s: float = 1.25e9  # 10 Gbit/s
    machine_mb: float = 16_000.0

    @property
    def followers_per_relay(self) -> float:
        """Sidecars that follow one relay while all relays run."""
        return TARGET.servers / TARGET.regions / self.relays_per_region

    @property
    def typical_listed_servers(self) -> float:
        """Servers in the list of a typical sidecar."""
        return self.called_services * self.mean_service_servers

    @property
    def max_listed_servers(self) -> float:
        """Servers in the list of a sidecar that also calls the largest service."""
        return self.typical_listed_servers + self.largest_service_servers


TARGET = Target()
ASSUMPTIONS = Assumptions()
