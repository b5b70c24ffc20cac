"""Summarizes results: values of each arm, and paired differences between arms and between reports."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .statistics import Interval, bootstrap_interval, latency_percentiles, merge_histograms, paired_difference

LOSS_CAUSES = ("late", "deferred", "forfeited", "left", "lost")


@dataclass(frozen=True)
class ArmSummary:
    """Summary of one arm at one point of a sweep, over all its seeds."""

    point: str
    arm: str
    service: Interval
    latency: dict[str, float]
    losses: dict[str, float]  # by cause, as fractions of the offered submissions
    violations: dict[str, int]
    first_violations: dict[str, str]
    baseline_difference: Interval | None  # to the first arm at this point; None for that arm


def summarize_arms(head: dict[str, Any], runs: Sequence[dict[str, Any]]) -> list[ArmSummary]:
    """Summarize the runs of each arm at each point of the sweep, in the order of the results' header."""
    summaries = []
    for point in head["points"]:
        baseline: dict[int, float] = {}
        for arm in head["arms"]:
            arm_runs = [run for run in runs if run["point"] == point and run["arm"] == arm]
            if not arm_runs:
                continue
            service = {run["seed"]: run["service"] for run in arm_runs}
            baseline = baseline or service
            offered = max(1, sum(run["offered"] for run in arm_runs))
            violations = {rule: sum(run["rules"][rule] for run in arm_runs) for rule in arm_runs[0]["rules"]}
            first_violations: dict[str, str] = {}
            for run in arm_runs:
                for rule, text in run["first"].items():
                    first_violations.setdefault(rule, f"seed {run['seed']}, {text}")
            summaries.append(
                ArmSummary(
                    point,
                    arm,
                    bootstrap_interval(list(service.values())),
                    latency_percentiles(merge_histograms([run["latency"] for run in arm_runs])),
                    {cause: sum(run[cause] for run in arm_runs) / offered for cause in LOSS_CAUSES},
                    {rule: count for rule, count in violations.items() if count},
                    first_violations,
                    None if service is baseline else paired_difference(service, baseline),
                )
            )
    return summaries


def describe_difference(difference: Interval) -> str:
    """Say in words whether a paired difference shows that an arm is better or worse."""
    if difference.count < 2:
        return "one pair says nothing"
    if difference.is_inconclusive():
        return "no difference"
    return "better" if difference.mean > 0 else "worse"


def terminal_table(head: dict[str, Any], summaries: Sequence[ArmSummary]) -> list[str]:
    """Format the summaries as lines for a terminal."""
    lines = [f"{head['title']} ({head['experiment']}; servers simulated)"]
    for row in summaries:
        name = f"{row.point}: {row.arm}" if row.point else row.arm
        lines.append(
            f"  {name:<34} service {row.service!s:<26} p50 {row.latency['p50']:7.1f} ms  "
            f"p99 {row.latency['p99']:7.1f} ms  rules "
            + (", ".join(f"{rule} {count}" for rule, count in row.violations.items()) or "kept")
        )
        if row.baseline_difference is not None:
            lines.append(
                f"  {'':<34} against {head['arms'][0]}: {row.baseline_difference}, "
                f"{describe_difference(row.baseline_difference)}"
            )
    return lines


def compare_reports(
    one: tuple[dict[str, Any], list[dict[str, Any]]], other: tuple[dict[str, Any], list[dict[str, Any]]]
) -> list[str]:
    """Compare the arms that two reports share: the second report with the first, paired by seed."""
    lines = []
    if one[0]["plan"] != other[0]["plan"]:
        lines.append("the plans differ: what follows compares plans, too")
    for point in one[0]["points"]:
        for arm in one[0]["arms"]:
            service = [
                {run["seed"]: run["service"] for run in runs if run["point"] == point and run["arm"] == arm}
                for _, runs in (one, other)
            ]
            if not service[0].keys() & service[1].keys():
                continue
            change = paired_difference(service[1], service[0])
            name = f"{point}: {arm}" if point else arm
            lines.append(
                f"{name}: {bootstrap_interval(list(service[0].values()))} to "
                f"{bootstrap_interval(list(service[1].values()))}, {change.mean:+.3f} [{change.low:+.3f}, "
                f"{change.high:+.3f}] in {change.count} pairs: {describe_difference(change)}"
            )
    return lines or ["they share no arm, point and seed"]
