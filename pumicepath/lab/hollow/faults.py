"""What may go wrong in a run of hollow sidecars, by name; each tells when origins were out of reach.

    begun = FAULTS["control-killed"](run); ...; windows = begun.end()

A fault begins when it is made, and ends when `end` is called `fault_s` later.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from .plan import Ask, BadAsk
from .truth import now
from .verdict import Window

if TYPE_CHECKING:
    from .run import Run


class Fault:
    lasts = True  # until `fault_s` have passed; else over once it has begun

    def __init__(self, run: Run) -> None:
        self.run = run
        self.began = now()
        self.begin()

    def begin(self) -> None:
        raise NotImplementedError

    def end(self) -> list[Window]:
        return []

    def alone(self, control: int) -> list[Window]:
        """A relay that is out leaves its followers nowhere to go only where it is its region's only one."""
        ask = self.run.plan.ask
        if ask.form == "direct":
            return [Window(self.began, now())]
        if ask.relays_per_region > 1:
            return []
        return [Window(self.began, now(), there=self.run.region_of_relay(control))]


class ControlKilled(Fault):
    """One relay, or the origin where there are none, dies and comes back."""

    def begin(self) -> None:
        self.run.control[0].kill()

    def end(self) -> list[Window]:
        self.run.restart([0])
        return self.alone(0)


class ControlStopped(Fault):
    """The same stands still, with all its connections open."""

    def begin(self) -> None:
        self.run.control[0].signal(signal.SIGSTOP)

    def end(self) -> list[Window]:
        self.run.control[0].signal(signal.SIGCONT)
        return self.alone(0)


class ControlRestarted(Fault):
    """All relays, or the origin, at once."""

    lasts = False

    def begin(self) -> None:
        for child in self.run.control:
            child.kill()
        self.run.restart(range(len(self.run.control)))

    def end(self) -> list[Window]:
        return [Window(self.began, now())]


class ZoneLost(Fault):
    """All servers of a zone are gone at once, and back."""

    def begin(self) -> None:
        self.run.tell_origins({"do": "lose", "zone": 0})

    def end(self) -> list[Window]:
        self.run.tell_origins({"do": "back", "zone": 0})
        return []


class RegionCut(Fault):
    """The first region's origin is out of reach for the other regions' relays."""

    def begin(self) -> None:
        assert self.run.forwarder is not None
        self.run.forwarder.ask({"do": "cut"}, "cut")

    def end(self) -> list[Window]:
        assert self.run.forwarder is not None
        self.run.forwarder.ask({"do": "heal"}, "heal")
        return [Window(self.began, now(), region=0, there=0, but=True)]


class Release(Fault):
    """Every server drains, goes, and comes back as a new process, one after the other."""

    def begin(self) -> None:
        self.run.tell_origins({"do": "release", "seconds": max(0.1, self.run.plan.ask.fault_s - 2.0)})


FAULTS: dict[str, type[Fault]] = {
    "control-killed": ControlKilled,
    "control-stopped": ControlStopped,
    "control-restarted": ControlRestarted,
    "zone-lost": ZoneLost,
    "region-cut": RegionCut,
    "release": Release,
}


def check(ask: Ask) -> None:
    """Raises BadAsk for a fault that there is not, or that this form of run can't have."""
    for name in ask.faults:
        if name not in FAULTS:
            raise BadAsk(f"--fault: {name!r} is none of {', '.join(FAULTS)}")
    if "region-cut" in ask.faults and (ask.form == "direct" or ask.regions < 2):
        raise BadAsk("--fault: region-cut needs --form relayed and 2 regions at least")
