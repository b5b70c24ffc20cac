"""What results come to: figures of each arm, differences of pairs, and whether there are any."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .statistics import Interval, bootstrap_interval, latency_percentiles, merge_histograms, paired_difference

LOSS_CAUSES = ("late", "deferred", "forfeited", "left", "lost")


@dataclass(frozen=True)
class ArmSummary:
    """One arm at one point of a sweep."""

    point: str
    arm: str
    service: Interval
    latency: dict[str, float]
    losses: dict[str, float]  # by cause, as shares of what was offered
    violations: dict[str, int]
    first_violations: dict[str, str]
    baseline_difference: Interval | None  # the first arm at this point


def summarize_arms(head: dict[str, Any], runs: Sequence[dict[str, Any]]) -> list[ArmSummary]:
    made = []
    for point in head["points"]:
        reference: dict[int, float] = {}
        for arm in head["arms"]:
            mine = [run for run in runs if run["point"] == point and run["arm"] == arm]
            if not mine:
                continue
            service = {run["seed"]: run["service"] for run in mine}
            reference = reference or service
            offered = max(1, sum(run["offered"] for run in mine))
            broken = {rule: sum(run["rules"][rule] for run in mine) for rule in mine[0]["rules"]}
            first: dict[str, str] = {}
            for run in mine:
                for rule, text in run["first"].items():
                    first.setdefault(rule, f"seed {run['seed']}, {text}")
            made.append(
                ArmSummary(
                    point,
                    arm,
                    bootstrap_interval(list(service.values())),
                    latency_percentiles(merge_histograms([run["latency"] for run in mine])),
                    {cause: sum(run[cause] for run in mine) / offered for cause in LOSS_CAUSES},
                    {rule: count for rule, count in broken.items() if count},
                    first,
                    None if service is reference else paired_difference(service, reference),
                )
            )
    return made


def describe_difference(against: Interval) -> str:
    if against.count < 2:
        return "one pair says nothing"
    if against.is_inconclusive():
        return "no difference"
    return "better" if against.mean > 0 else "worse"


def terminal_table(head: dict[str, Any], made: Sequence[ArmSummary]) -> list[str]:
    """As lines for a terminal."""
    lines = [f"{head['title']} ({head['experiment']}; servers simulated)"]
    for row in made:
        name = f"{row.point}: {row.arm}" if row.point else row.arm
        lines.append(
            f"  {name:<34} service {row.service!s:<26} p50 {row.latency['p50']:7.1f} ms  "
            f"p99 {row.latency['p99']:7.1f} ms  rules "
            + (", ".join(f"{rule} {count}" for rule, count in row.violations.items()) or "kept")
        )
        if row.baseline_difference is not None:
            lines.append(
                f"  {'':<34} against {head['arms'][0]}: {row.baseline_difference}, {describe_difference(row.baseline_difference)}"
            )
    return lines


def compare_reports(
    one: tuple[dict[str, Any], list[dict[str, Any]]], other: tuple[dict[str, Any], list[dict[str, Any]]]
) -> list[str]:
    """Arms that two reports share, the second against the first, in pairs with the same seed."""
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
