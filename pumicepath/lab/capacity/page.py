"""Renders the generated tables of the capacity page between their markers; the other text is left as it is.

`render_page(text, capacity)` returns the page with current tables.  It raises ValueError for a marker that is
missing, occurs twice or names no table.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from functools import partial

from . import roles, scenarios
from .measurements import Capacity
from .ranking import ranked_rows
from .rows import format_number, markdown_table, row_cells
from .sensitivity import assumptions_table
from .target import ASSUMPTIONS, TARGET

MARKED_TABLE = re.compile(r"<!-- begin ([a-z-]+) -->\n(.*?)<!-- end \1 -->\n", re.S)
ROW_HEADINGS = [
    "at the target",
    "figure",
    "budget",
    "over budget",
    "how known",
    "formula [slopes]",
    "mechanism",
]


def ranking_table(capacity: Capacity) -> str:
    """Format the ranking of the direct form's rows."""
    lines = [[row.role, *row_cells(row, capacity)] for row in ranked_rows(capacity, TARGET, ASSUMPTIONS)]
    return markdown_table(["role", *ROW_HEADINGS], lines)


def role_table(name: str, capacity: Capacity) -> str:
    """Format the rows of one role, named as in ROLE_ROWS."""
    return markdown_table(
        ROW_HEADINGS,
        [row_cells(row, capacity) for row in roles.ROLE_ROWS[name](capacity, TARGET, ASSUMPTIONS)],
    )


def scenarios_table(capacity: Capacity) -> str:
    """Format the scenarios, one line for each of their peaks."""
    lines = [
        line
        for scenario in scenarios.build_scenarios(capacity, TARGET, ASSUMPTIONS)
        for line in scenarios.scenario_cells(scenario, capacity)
    ]
    return markdown_table(
        [
            "day",
            "peak",
            "budget",
            "over budget",
            "how known",
            "formula [slopes]",
            "until all is in force",
            "what is stale meanwhile, and why that breaks no rule",
        ],
        lines,
    )


def series_table(capacity: Capacity) -> str:
    """Format the measured series with their linear fits."""
    lines = []
    for series in capacity.series.values():
        fit, medians = series.fit, series.medians
        lines.append(
            [
                f"`{series.name}`",
                f"{series.description}, {series.unit}, by {series.size_name}",
                ", ".join(f"{size:,g}: {format_number(value)}" for size, value in medians),
                f"{format_number(fit.intercept)} + {format_number(fit.slope)} n"
                if fit.is_linear
                else "not linear",
                f"{100 * fit.residual:.0f}%",
                f"{100 * series.relative_spread:.0f}%",
                str(len(series.points[0][1])),
                series.form,
                f"{series.run['date']}, {series.run['commit']}, load {series.run['load']:g}",
            ]
        )
    return markdown_table(
        [
            "slope",
            "what, unit, by what",
            "size: middle of the repeats",
            "line",
            "residual",
            "spread",
            "repeats",
            "form",
            "run",
        ],
        lines,
    )


def machine_text(capacity: Capacity) -> str:
    """Describe the machine on which the series were measured."""
    machine = capacity.machine
    return (
        f"{machine['processor']}, {machine['cores']} cores, {machine['memory_gb']:g} GB, "
        f"{machine['system']}; Python {machine['python']}, "
        f"numpy {machine['numpy']}, orjson {machine['orjson']}."
    )


TABLES: dict[str, Callable[[Capacity], str]] = {
    "ranking": ranking_table,
    "slopes": series_table,
    "machine": machine_text,
    "days": scenarios_table,
    "assumptions": lambda capacity: assumptions_table(capacity, TARGET, ASSUMPTIONS),
    **{name: partial(role_table, name) for name in roles.ROLE_ROWS},
}


def render_page(text: str, capacity: Capacity) -> str:
    """Return the page with all tables rendered again.  Raises ValueError for a wrong set of markers."""
    markers = [match[1] for match in MARKED_TABLE.finditer(text)]
    for name in TABLES:
        if markers.count(name) != 1:
            raise ValueError(f"the page has {markers.count(name)} tables {name}")
    for name in re.findall(r"<!-- begin (.*?) -->", text):
        if name not in TABLES:
            raise ValueError(f"the page has a table {name} that nothing writes")
    return MARKED_TABLE.sub(
        lambda match: f"<!-- begin {match[1]} -->\n{TABLES[match[1]](capacity)}\n<!-- end {match[1]} -->\n",
        text,
    )
