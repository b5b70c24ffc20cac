"""Sensitivity to the assumptions: which rows change, and by how much, if an assumed value is doubled."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from .measurements import Capacity
from .roles import ROLE_ROWS
from .rows import Row, format_number, markdown_table
from .scenarios import build_scenarios
from .target import Assumptions, Target

ASSUMPTION_TEXTS = {
    "calls_per_sidecar_s": "calls a second of a sidecar, 3 million by 20,000",
    "called_services": "services that a sidecar calls",
    "mean_service_servers": "servers of a usual service, 20,000 by 1,900",
    "largest_service_servers": "servers of the largest service, from a long tail",
    "largest_service_caller_fraction": "part of the sidecars that call the largest service",
    "peak_factor": "changes over their mean, for ten minutes",
    "changes_per_replacement": "changes of the list for a server that is replaced",
    "rack_servers": "servers of a rack",
    "relay_renewal_interval_s": "seconds between two calls of a sidecar's watch",
    "relays_per_region": "relays in a region: 20 machines, 10 regions",
    "full_list_bytes_per_s": "bytes a second that a relay gives to whole lists",
    "release_duration_s": "seconds in which a release replaces all servers",
    "partition_duration_s": "seconds that a region is cut off",
}
MAX_ROWS_SHOWN = 2


def all_rows(capacity: Capacity, target: Target, assumed: Assumptions) -> Iterator[tuple[str, Row]]:
    """Yield every row of the roles and scenarios, with a key that stays the same when assumptions change."""
    for name, rows in ROLE_ROWS.items():
        for index, row in enumerate(rows(capacity, target, assumed)):
            yield f"{name} {index}", row
    for scenario in build_scenarios(capacity, target, assumed):
        for index, row in enumerate(scenario.peaks):
            yield f"{scenario.name} {index}", row


def changed_rows(
    capacity: Capacity, target: Target, assumed: Assumptions, name: str
) -> list[tuple[float, str, str]]:
    """List the rows that change by more than half a percent if the assumption `name` is doubled.

    Each is (ratio to its budget, row key, text), the highest ratio first; rows without a budget are left out.
    """
    before = dict(all_rows(capacity, target, assumed))
    doubled = replace(assumed, **{name: type(getattr(assumed, name))(2 * getattr(assumed, name))})
    changed = []
    for key, row in all_rows(capacity, target, doubled):
        old = before[key]
        if row.value is None or old.value is None or not row.budget:
            continue
        if abs(row.value.value - old.value.value) > 0.005 * abs(old.value.value):
            changed.append(
                (
                    row.budget_ratio,
                    key,
                    f"{row_prefix(key)}{row.quantity}: {format_number(old.value.value)} to "
                    f"{format_number(row.value.value)} of {format_number(row.budget)} {row.unit}",
                )
            )
    return sorted(changed, reverse=True)


def row_prefix(key: str) -> str:
    """The role or scenario of a row's key, as a prefix of its text."""
    return f"{key.rpartition(' ')[0]}: "


def assumptions_table(capacity: Capacity, target: Target, assumed: Assumptions) -> str:
    """Format the table of all assumptions with the rows that react most to a doubled value."""
    lines = []
    for name, text in ASSUMPTION_TEXTS.items():
        rows = changed_rows(capacity, target, assumed, name)
        shown = "; ".join(line for _, _, line in rows[:MAX_ROWS_SHOWN])
        lines.append(
            [text, format_number(getattr(assumed, name)), shown or "no row with a budget by half a percent"]
        )
    return markdown_table(
        ["open", "taken", "if twice that, the rows that it changes and that come nearest to their budgets"],
        lines,
    )
