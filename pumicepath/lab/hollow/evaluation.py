"""Evaluates the findings of all processes of a run: propagation delays of changes, and rule violations.

    evaluation = Evaluation(plan, changes, windows, rig_delay_us)
    evaluation.add_findings(findings); evaluation.metrics()

A change is late if a sidecar that calls the service applied it more than 6 s after its origin had it and was
reachable.  `windows` are the times in which an origin was not.  The module uses no sockets, files or clocks.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from .ground_truth import LEAVING, LEFT, Change
from .plan import Plan

MAX_PROPAGATION_US = 6_000_000  # a rule set by the operators
RIG_SLACK_US = 500_000  # the rig's own delay: its tick, and waiting for a core


class OutageWindow(NamedTuple):
    """A period in which an origin was unreachable.

    It concerns the origin of `origin_region` (-1: every origin) and the sidecars of `sidecar_region` (-1: all
    regions) or, with `other_regions`, those of all regions but that one.
    """

    begin: int
    end: int
    origin_region: int = -1
    sidecar_region: int = -1
    other_regions: bool = False

    def affects(self, origin_region: int, sidecar_region: int) -> bool:
        return self.origin_region in (-1, origin_region) and (
            self.sidecar_region == -1 or (self.sidecar_region == sidecar_region) != self.other_regions
        )


def reachable_delay(at: int, applied_at: int, windows: Iterable[OutageWindow]) -> tuple[int, int]:
    """Return when a change made at `at` was reachable, and the delay from then until it was applied.

    Outage windows that begin within the time allowed for propagation postpone the start of that time.
    """
    since = at
    for window in sorted(windows):
        if window.end > since and window.begin < since + MAX_PROPAGATION_US and applied_at > window.begin:
            since = window.end
    return since, max(0, applied_at - since)


def quantile(ordered: Sequence[float], fraction: float) -> float:
    """The `fraction` quantile of sorted values by nearest rank; 0 without values."""
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


class Evaluation:
    """Collects findings; `rig_delay_us` is the rig's own maximum delay, which is allowed on top."""

    def __init__(
        self, plan: Plan, changes: Iterable[Change], windows: Sequence[OutageWindow], rig_delay_us: int
    ) -> None:
        self.plan, self.windows = plan, windows
        self.changes = {(change.server, change.state): change for change in changes}
        self.max_delay_us = MAX_PROPAGATION_US + RIG_SLACK_US + rig_delay_us
        self.delays_us: list[int] = []
        self.applied: list[tuple[int, int]] = []  # (change made at, applied at)
        self.never_applied: list[int] = []  # times of changes that some sidecar never applied
        self.late: set[tuple[int, int]] = set()
        self.violations: dict[str, int] = {}
        self.violation_texts: list[str] = []

    def windows_for(self, server: int, sidecar_region: int) -> list[OutageWindow]:
        region = self.plan.region_of(server)
        return [window for window in self.windows if window.affects(region, sidecar_region)]

    def add_findings(self, findings: dict[str, Any]) -> None:
        """Add the findings of one process of hollow sidecars (see `ViewChecker.findings`)."""
        for server, state, sidecar_region, delays in findings["took"]:
            change, windows = self.changes[server, state], self.windows_for(server, sidecar_region)
            for delay in delays:
                _, reachable = reachable_delay(change.at, change.at + delay, windows)
                self.delays_us.append(reachable)
                self.applied.append((change.at, change.at + delay))
                if reachable > self.max_delay_us:
                    self.record_late(change, 1)
        for server, state, sidecar_region, count in findings["missing"]:
            change = self.changes[server, state]
            since, _ = reachable_delay(change.at, findings["at"], self.windows_for(server, sidecar_region))
            self.never_applied.append(change.at)
            if findings["at"] - since > self.max_delay_us:
                self.record_late(change, count)
        for kind, count in findings["bad"].items():
            self.violations[kind] = self.violations.get(kind, 0) + count
        self.violation_texts += findings["named"]

    def record_late(self, change: Change, count: int) -> None:
        """Record that `count` sidecars used an older state for too long.

        If the server was draining or had left, a hop to it would have violated the rule on drains.
        """
        self.late.add((change.server, change.state))
        if change.health in (LEAVING, LEFT):
            self.violations["used_too_late"] = self.violations.get("used_too_late", 0) + count

    def recovery_s(self, end: int, poked: int) -> float | None:
        """Seconds from a fault's end until all changes made up to `poked`, just after it, were applied.

        None if a change was never applied.
        """
        if any(at <= poked for at in self.never_applied):
            return None
        return max([0.0, *((applied_at - end) / 1e6 for at, applied_at in self.applied if at <= poked)])

    def metrics(self) -> dict[str, Any]:
        ordered = sorted(delay / 1e6 for delay in self.delays_us)
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
