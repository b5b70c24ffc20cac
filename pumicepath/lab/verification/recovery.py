"""How long a fleet took to recover from faults, by its history: correct views and full service."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from ..model.views import sidecars_with_wrong_view
from .history import Line

FULL_SERVICE_FRACTION = 0.99  # of the fraction that was served in time in the second before the first fault
FULL_SERVICE_SECONDS = 3  # for which full service has to last
SECOND = 1_000_000


def handover_count(lines: Sequence[Line]) -> int:
    """Returns how often a duty went to another holder, by the terms that were observed."""
    terms = {(line["duty"], line["holder"], line["fence"]) for line in lines if line["what"] == "acted"}
    return len(terms) - len({duty for duty, _, _ in terms})


def fault_counts(lines: Sequence[Line]) -> Counter[str]:
    """Returns the number of faults by kind."""
    return Counter(line["kind"] for line in lines if line["what"] == "fault")


def fault_period(lines: Sequence[Line]) -> tuple[int, int] | None:
    """Returns the start of the first fault and the end of the last one in microseconds."""
    faults = [line for line in lines if line["what"] == "fault"]
    return (faults[0]["at"], max(max(line["at"], line["until"]) for line in faults)) if faults else None


def view_recovery_s(lines: Sequence[Line]) -> float | None:
    """Returns the seconds from the last fault's end until all running sidecars see exactly each other."""
    period = fault_period(lines)
    end = period[1] if period else 0
    for line in lines:
        if line["what"] == "views" and line["at"] >= end and not view_errors(line):
            return round((int(line["at"]) - end) / 1e6, 3)
    return None


def view_errors(line: Line) -> list[str]:
    """Returns the running sidecars whose view in a line `views` is wrong."""
    views = {name: [(peer, state) for peer, state in view] for name, view in line["sees"].items()}
    return sidecars_with_wrong_view(views, line["running"])


def service_recovery_s(lines: Sequence[Line]) -> float | None:
    """Returns the seconds from the last fault's end until service is lastingly as good as before.

    The fraction of the offered value that is served in time has to reach 0.99 of that in the second before
    the first fault, for three seconds.  None if that never happened, or if no second precedes the first
    fault.
    """
    period = fault_period(lines)
    if period is None:
        return None
    fractions = {
        line["second"]: line["earned"] / line["wanted"]
        for line in lines
        if line["what"] == "second" and line["wanted"] > 0
    }
    before = fractions.get(period[0] // SECOND - 1)
    if before is None:
        return None
    for second in sorted(map(int, fractions)):
        if second * SECOND >= period[1] and all(
            fractions.get(later, 0.0) >= FULL_SERVICE_FRACTION * before
            for later in range(second, second + FULL_SERVICE_SECONDS)
        ):
            return round(float(second) - period[1] / 1e6, 3)
    return None
