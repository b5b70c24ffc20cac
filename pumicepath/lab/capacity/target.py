"""The operators' target, and what it leaves open with the figure taken."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Target:
    """In the letter's words; `bytes_s`, `mb` and `core` are what a sidecar may spend on control."""

    servers: int = 20_000
    services: int = 1_900
    calls_s: float = 3e6
    depth: int = 13
    added_ms: float = 1.8
    regions: int = 10
    zones: int = 34
    changes_day: int = 61_000
    in_force_s: float = 6.0
    core: float = 0.02
    mb: float = 32.0
    bytes_s: float = 7_000.0
    machines: int = 20
    failed_day: int = 40
    replaced_day: int = 1_600

    @property
    def changes_s(self) -> float:
        return self.changes_day / 86_400

    @property
    def zone(self) -> int:
        """Servers, and sidecars, of one zone: 588 in the mean, the issue's 590."""
        return 590


@dataclass(frozen=True)
class Assumed:
    """Where the target is silent.  Machines: the control machines, each."""

    calls_each: float = 150.0  # a second and sidecar: 3 million by 20,000
    called: int = 8  # services that a sidecar calls
    mean: float = 10.5  # servers of a service: 20,000 by 1,900
    largest: int = 2_500  # servers of the largest service
    peak: float = 10.0  # changes, over their mean, for ten minutes
    renewal_s: float = 15.0  # between two calls of a watch on which nothing comes: 20 s, half to all
    steps: int = 3  # changes of the list for a server that is replaced: leaving, left, active
    rack: int = 40  # servers of a rack
    relayed_s: float = 2.25  # the same at a relay, and of a relay: 3 s, half to all
    relays: int = 2  # in each region: 20 machines, 10 regions
    batch_s: float = 0.05  # a relay's, for changes of a short while
    whole_bytes_s: float = 64e6  # that a relay gives to whole lists, by its default
    history: int = 10_000  # changes that a relay keeps, by its default
    silent_s: float = 3.4  # until a sidecar leaves a relay that is silent: 3 s and 0.4
    calling_largest: float = 0.1  # of the sidecars call the largest service
    release_s: float = 3_600.0  # in which all servers are replaced once
    cut_s: float = 3_600.0  # that a region is cut off
    region_bytes: float = 36.0  # of an answer for each further region: its name, version and live-ness
    head_bytes: float = 260.0  # of a sidecar's call with the names of 8 services
    cores: int = 8  # of a control machine,
    network: float = 1.25e9  # bytes a second: 10 Gbit
    machine_mb: float = 16_000.0

    @property
    def followers(self) -> float:
        """Of a relay, when all relays run."""
        return TARGET.servers / TARGET.regions / self.relays

    @property
    def listed(self) -> float:
        """Servers that a usual sidecar calls."""
        return self.called * self.mean

    @property
    def listed_most(self) -> float:
        """Those of one that calls the largest service, too."""
        return self.listed + self.largest


TARGET = Target()
ASSUMED = Assumed()
