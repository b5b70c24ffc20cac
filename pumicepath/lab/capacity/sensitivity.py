"""What the target leaves open: the figure taken, and what changes if it is twice that."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from .measurements import Capacity
from .roles import ROLE_ROWS
from .rows import Row, format_number, markdown_table
from .scenarios import build_scenarios
from .target import Assumptions, Target

ASSUMPTION_TEXTS = {
    "calls_each": "calls a second of a sidecar, 3 million by 20,000",
    "called": "services that a sidecar calls",
    "mean": "servers of a usual service, 20,000 by 1,900",
    "largest": "servers of the largest service, from a long tail",
    "calling_largest": "part of the sidecars that call the largest service",
    "peak": "changes over their mean, for ten minutes",
    "steps": "changes of the list for a server that is replaced",
    "rack": "servers of a rack",
    "relayed_s": "seconds between two calls of a sidecar's watch",
    "relays": "relays in a region: 20 machines, 10 regions",
    "whole_bytes_s": "bytes a second that a relay gives to whole lists",
    "release_s": "seconds in which a release replaces all servers",
    "cut_s": "seconds that a region is cut off",
}
MAX_ROWS_SHOWN = 2


def all_rows(capacity: Capacity, target: Target, assumed: Assumptions) -> Iterator[tuple[str, Row]]:
    for name, rows in ROLE_ROWS.items():
        for at, row in enumerate(rows(capacity, target, assumed)):
            yield f"{name} {at}", row
    for day in build_scenarios(capacity, target, assumed):
        for at, row in enumerate(day.peaks):
            yield f"{day.name} {at}", row


def changed_rows(
    capacity: Capacity, target: Target, assumed: Assumptions, name: str
) -> list[tuple[float, str, str]]:
    """What comes closest to its budget, or farthest over it, of all that differs: factor, which row, text."""
    before = dict(all_rows(capacity, target, assumed))
    twice = replace(assumed, **{name: type(getattr(assumed, name))(2 * getattr(assumed, name))})
    found = []
    for key, row in all_rows(capacity, target, twice):
        old = before[key]
        if row.value is None or old.value is None or not row.budget:
            continue
        if abs(row.value.value - old.value.value) > 0.005 * abs(old.value.value):
            found.append(
                (
                    row.budget_ratio,
                    key,
                    f"{row_prefix(key)}{row.quantity}: {format_number(old.value.value)} to "
                    f"{format_number(row.value.value)} of {format_number(row.budget)} {row.unit}",
                )
            )
    return sorted(found, reverse=True)


def row_prefix(key: str) -> str:
    return f"{key.rpartition(' ')[0]}: "


def assumptions_table(capacity: Capacity, target: Target, assumed: Assumptions) -> str:
    lines = []
    for name, text in ASSUMPTION_TEXTS.items():
        found = changed_rows(capacity, target, assumed, name)
        told = "; ".join(line for _, _, line in found[:MAX_ROWS_SHOWN])
        lines.append(
            [text, format_number(getattr(assumed, name)), told or "no row with a budget by half a percent"]
        )
    return markdown_table(
        ["open", "taken", "if twice that, the rows that it changes and that come nearest to their budgets"],
        lines,
    )
