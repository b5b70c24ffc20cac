"""The page's tables, written between its markers; all else in it is by hand.

`written(text, capacity)` gives the page with its tables as the figures have them; ValueError for a marker
that is missing, twice, or of no table.
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
    lines = [[row.role, *row_cells(row, capacity)] for row in ranked_rows(capacity, TARGET, ASSUMPTIONS)]
    return markdown_table(["role", *ROW_HEADINGS], lines)


def role_table(name: str, capacity: Capacity) -> str:
    return markdown_table(
        ROW_HEADINGS,
        [row_cells(row, capacity) for row in roles.ROLE_ROWS[name](capacity, TARGET, ASSUMPTIONS)],
    )


def scenarios_table(capacity: Capacity) -> str:
    lines = [
        line
        for day in scenarios.build_scenarios(capacity, TARGET, ASSUMPTIONS)
        for line in scenarios.scenario_cells(day, capacity)
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
    lines = []
    for one in capacity.series.values():
        line, middles = one.fit, one.medians
        lines.append(
            [
                f"`{one.name}`",
                f"{one.description}, {one.unit}, by {one.size_name}",
                ", ".join(f"{size:,g}: {format_number(value)}" for size, value in middles),
                f"{format_number(line.intercept)} + {format_number(line.slope)} n"
                if line.is_linear
                else "not linear",
                f"{100 * line.residual:.0f}%",
                f"{100 * one.relative_spread:.0f}%",
                str(len(one.points[0][1])),
                one.form,
                f"{one.run['date']}, {one.run['commit']}, load {one.run['load']:g}",
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
    told = capacity.machine
    return (
        f"{told['processor']}, {told['cores']} cores, {told['memory_gb']:g} GB, {told['system']}; Python "
        f"{told['python']}, numpy {told['numpy']}, orjson {told['orjson']}."
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
    found = [each[1] for each in MARKED_TABLE.finditer(text)]
    for name in TABLES:
        if found.count(name) != 1:
            raise ValueError(f"the page has {found.count(name)} tables {name}")
    for name in re.findall(r"<!-- begin (.*?) -->", text):
        if name not in TABLES:
            raise ValueError(f"the page has a table {name} that nothing writes")
    return MARKED_TABLE.sub(
        lambda each: f"<!-- begin {each[1]} -->\n{TABLES[each[1]](capacity)}\n<!-- end {each[1]} -->\n", text
    )
