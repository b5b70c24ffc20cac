"""What the processes of a run saw, judged together: how long changes took, and what may never happen.

    found = Verdict(plan, changes, windows, lag); found.add(host's findings); found.figures()

A change is late where some sidecar that calls the service went by it later than 6 s after its origin had it
and could be reached.  `windows` are the times in which it could not.  No sockets, files or clocks.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from .ground_truth import LEAVING, LEFT, Change
from .plan import Plan

MAX_PROPAGATION_US = 6_000_000  # the operators' rule
RIG_SLACK_US = 500_000  # of the rig: its tick, and the processes' turns at the cores


class OutageWindow(NamedTuple):
    """From `begin` to `end` the origin of `region` (-1: every) was out of reach for sidecars of `there` (-1:
    all regions) or, with `but`, for those of all other regions."""

    begin: int
    end: int
    origin_region: int = -1
    sidecar_region: int = -1
    other_regions: bool = False

    def affects(self, region: int, there: int) -> bool:
        return self.origin_region in (-1, region) and (
            self.sidecar_region == -1 or (self.sidecar_region == there) != self.other_regions
        )


def reachable_delay(at: int, in_force: int, windows: Iterable[OutageWindow]) -> tuple[int, int]:
    """From when a change counts as having been in reach, and how long it took from then on."""
    since = at
    for window in sorted(windows):
        if window.end > since and window.begin < since + MAX_PROPAGATION_US and in_force > window.begin:
            since = window.end
    return since, max(0, in_force - since)


def quantile(ordered: Sequence[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0


class Evaluation:
    def __init__(
        self, plan: Plan, changes: Iterable[Change], windows: Sequence[OutageWindow], lag: int
    ) -> None:
        self.plan, self.windows = plan, windows
        self.changes = {(change.server, change.state): change for change in changes}
        self.max_delay_us = MAX_PROPAGATION_US + RIG_SLACK_US + lag
        self.delays_us: list[int] = []
        self.applied: list[tuple[int, int]] = []  # (change had at, in force at)
        self.never_applied: list[int] = []  # when the changes were made that some sidecar has not
        self.late: set[tuple[int, int]] = set()
        self.violations: dict[str, int] = {}
        self.violation_texts: list[str] = []

    def windows_for(self, server: int, there: int) -> list[OutageWindow]:
        region = self.plan.region_of(server)
        return [window for window in self.windows if window.affects(region, there)]

    def add_findings(self, found: dict[str, Any]) -> None:
        """What one process of hollow sidecars has seen (see `Witness.found`)."""
        for server, state, there, times in found["took"]:
            change, windows = self.changes[server, state], self.windows_for(server, there)
            for took in times:
                _, spent = reachable_delay(change.at, change.at + took, windows)
                self.delays_us.append(spent)
                self.applied.append((change.at, change.at + took))
                if spent > self.max_delay_us:
                    self.record_late(change, 1)
        for server, state, there, count in found["missing"]:
            change = self.changes[server, state]
            since, _ = reachable_delay(change.at, found["at"], self.windows_for(server, there))
            self.never_applied.append(change.at)
            if found["at"] - since > self.max_delay_us:
                self.record_late(change, count)
        for kind, count in found["bad"].items():
            self.violations[kind] = self.violations.get(kind, 0) + count
        self.violation_texts += found["named"]

    def record_late(self, change: Change, count: int) -> None:
        """Some sidecars went by the older state for too long; a send there would break the rule on drains."""
        self.late.add((change.server, change.state))
        if change.health in (LEAVING, LEFT):
            self.violations["used_too_late"] = self.violations.get("used_too_late", 0) + count

    def recovery_s(self, end: int, poked: int) -> float | None:
        """From the end of a fault until all that the origins had by `poked`, just after it, was in force.

        None: some of it never was.
        """
        if any(at <= poked for at in self.never_applied):
            return None
        return max([0.0, *((in_force - end) / 1e6 for at, in_force in self.applied if at <= poked)])

    def metrics(self) -> dict[str, Any]:
        ordered = sorted(took / 1e6 for took in self.delays_us)
        return {
            "changes": len(self.changes),
            "observed": len(ordered),
            "in_force_s": {
                "p50": round(quantile(ordered, 0.5), 3),
                "p99": round(quantile(ordered, 0.99), 3),
                "max": round(ordered[-1], 3) if ordered else 0.0,
            },
            "not_in_force": len(self.late),
            "violations": dict(sorted(self.violations.items())),
        }
