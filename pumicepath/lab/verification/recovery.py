"""When a fleet was whole again, by a history: views that are right, and full service."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from ..model.views import sidecars_with_wrong_view
from .history import Line

FULL_SERVICE_FRACTION = 0.99  # of the share that was served in time in the second before the first fault,
FULL_SERVICE_SECONDS = 3  # for so many seconds
SECOND = 1_000_000


def handover_count(lines: Sequence[Line]) -> int:
    """How often a duty went to another holder, by the terms that were seen."""
    terms = {(line["duty"], line["holder"], line["fence"]) for line in lines if line["what"] == "acted"}
    return len(terms) - len({duty for duty, _, _ in terms})


def fault_counts(lines: Sequence[Line]) -> Counter[str]:
    """How many of each kind were done."""
    return Counter(line["kind"] for line in lines if line["what"] == "fault")


def fault_period(lines: Sequence[Line]) -> tuple[int, int] | None:
    """From the first fault's beginning to the last one's end, in microseconds."""
    met = [line for line in lines if line["what"] == "fault"]
    return (met[0]["at"], max(max(line["at"], line["until"]) for line in met)) if met else None


def view_recovery_s(lines: Sequence[Line]) -> float | None:
    """Seconds after the last fault's end until every running sidecar sees those that run, and no other."""
    met = fault_period(lines)
    end = met[1] if met else 0
    for line in lines:
        if line["what"] == "views" and line["at"] >= end and not view_errors(line):
            return round((int(line["at"]) - end) / 1e6, 3)
    return None


def view_errors(line: Line) -> list[str]:
    seen = {name: [(other, state) for other, state in view] for name, view in line["sees"].items()}
    return sidecars_with_wrong_view(seen, line["running"])


def service_recovery_s(lines: Sequence[Line]) -> float | None:
    """Seconds after the last fault's end until as much is served in time as before the first one, and stays.

    The share of the offered gain that is served in time has to be 0.99 of that of the second before the
    fault, for three seconds; None if that never came, or there was no second before it.
    """
    met = fault_period(lines)
    if met is None:
        return None
    shares = {
        line["second"]: line["earned"] / line["wanted"]
        for line in lines
        if line["what"] == "second" and line["wanted"] > 0
    }
    before = shares.get(met[0] // SECOND - 1)
    if before is None:
        return None
    for second in sorted(map(int, shares)):
        if second * SECOND >= met[1] and all(
            shares.get(each, 0.0) >= FULL_SERVICE_FRACTION * before
            for each in range(second, second + FULL_SERVICE_SECONDS)
        ):
            return round(float(second) - met[1] / 1e6, 3)
    return None
