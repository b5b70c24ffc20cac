"""What may go wrong in a run of hollow sidecars, by name; each tells when origins were out of reach.

    begun = FAULTS["control-killed"](run); ...; windows = begun.end()

A fault begins when it is made, and ends when `end` is called `fault_s` later.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from .evaluation import OutageWindow
from .ground_truth import now_us
from .plan import RunOptions, RunOptionsError

if TYPE_CHECKING:
    from .run import HollowRun


class Fault:
    has_duration = True  # until `fault_s` have passed; else over once it has begun

    def __init__(self, run: HollowRun) -> None:
        self.run = run
        self.began_at = now_us()
        self.begin()

    def begin(self) -> None:
        raise NotImplementedError

    def end(self) -> list[OutageWindow]:
        return []

    def outage_windows(self, control: int) -> list[OutageWindow]:
        """A relay that is out leaves its followers nowhere to go only where it is its region's only one."""
        ask = self.run.plan.options
        if ask.form == "direct":
            return [OutageWindow(self.began_at, now_us())]
        if ask.relays_per_region > 1:
            return []
        return [OutageWindow(self.began_at, now_us(), sidecar_region=self.run.region_of_relay(control))]


class ControlKilled(Fault):
    """One relay, or the origin where there are none, dies and comes back."""

    def begin(self) -> None:
        self.run.control[0].kill()

    def end(self) -> list[OutageWindow]:
        self.run.restart([0])
        return self.outage_windows(0)


class ControlStopped(Fault):
    """The same stands still, with all its connections open."""

    def begin(self) -> None:
        self.run.control[0].send_signal(signal.SIGSTOP)

    def end(self) -> list[OutageWindow]:
        self.run.control[0].send_signal(signal.SIGCONT)
        return self.outage_windows(0)


class ControlRestarted(Fault):
    """All relays, or the origin, at once."""

    has_duration = False

    def begin(self) -> None:
        for child in self.run.control:
            child.kill()
        self.run.restart(range(len(self.run.control)))

    def end(self) -> list[OutageWindow]:
        return [OutageWindow(self.began_at, now_us())]


class ZoneLost(Fault):
    """All servers of a zone are gone at once, and back."""

    def begin(self) -> None:
        self.run.send_to_origins({"do": "lose", "zone": 0})

    def end(self) -> list[OutageWindow]:
        self.run.send_to_origins({"do": "back", "zone": 0})
        return []


class RegionCut(Fault):
    """The first region's origin is out of reach for the other regions' relays."""

    def begin(self) -> None:
        assert self.run.forwarder is not None
        self.run.forwarder.request({"do": "cut"}, "cut")

    def end(self) -> list[OutageWindow]:
        assert self.run.forwarder is not None
        self.run.forwarder.request({"do": "heal"}, "heal")
        return [OutageWindow(self.began_at, now_us(), origin_region=0, sidecar_region=0, other_regions=True)]


class Release(Fault):
    """Every server drains, goes, and comes back as a new process, one after the other."""

    def begin(self) -> None:
        self.run.send_to_origins({"do": "release", "seconds": max(0.1, self.run.plan.options.fault_s - 2.0)})


FAULT_TYPES: dict[str, type[Fault]] = {
    "control-killed": ControlKilled,
    "control-stopped": ControlStopped,
    "control-restarted": ControlRestarted,
    "zone-lost": ZoneLost,
    "region-cut": RegionCut,
    "release": Release,
}


def check_faults(ask: RunOptions) -> None:
    """Raises BadAsk for a fault that there is not, or that this form of run can't have."""
    for name in ask.faults:
        if name not in FAULT_TYPES:
            raise RunOptionsError(f"--fault: {name!r} is none of {', '.join(FAULT_TYPES)}")
    if "region-cut" in ask.faults and (ask.form == "direct" or ask.regions < 2):
        raise RunOptionsError("--fault: region-cut needs --form relayed and 2 regions at least")
