"""The page's tables, written between its markers; all else in it is by hand.

`written(text, capacity)` gives the page with its tables as the figures have them; ValueError for a marker
that is missing, twice, or of no table.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from functools import partial

from . import days, roles
from .doubled import assumptions
from .ranking import ranked
from .rows import cells, short, table
from .slopes import Capacity
from .target import ASSUMED, TARGET

MARKED = re.compile(r"<!-- begin ([a-z-]+) -->\n(.*?)<!-- end \1 -->\n", re.S)
HEAD = ["at the target", "figure", "budget", "over budget", "how known", "formula [slopes]", "mechanism"]


def ranking(capacity: Capacity) -> str:
    lines = [[row.role, *cells(row, capacity)] for row in ranked(capacity, TARGET, ASSUMED)]
    return table(["role", *HEAD], lines)


def role(name: str, capacity: Capacity) -> str:
    return table(HEAD, [cells(row, capacity) for row in roles.ROLES[name](capacity, TARGET, ASSUMED)])


def of_days(capacity: Capacity) -> str:
    lines = [line for day in days.days(capacity, TARGET, ASSUMED) for line in days.cells(day, capacity)]
    return table(
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


def slopes(capacity: Capacity) -> str:
    lines = []
    for one in capacity.series.values():
        line, middles = one.line, one.middles
        lines.append(
            [
                f"`{one.name}`",
                f"{one.what}, {one.unit}, by {one.by}",
                ", ".join(f"{size:,g}: {short(value)}" for size, value in middles),
                f"{short(line.base)} + {short(line.slope)} n" if line.linear else "not linear",
                f"{100 * line.residual:.0f}%",
                f"{100 * one.spread:.0f}%",
                str(len(one.points[0][1])),
                one.form,
                f"{one.run['date']}, {one.run['commit']}, load {one.run['load']:g}",
            ]
        )
    return table(
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


def machine(capacity: Capacity) -> str:
    told = capacity.machine
    return (
        f"{told['processor']}, {told['cores']} cores, {told['memory_gb']:g} GB, {told['system']}; Python "
        f"{told['python']}, numpy {told['numpy']}, orjson {told['orjson']}."
    )


TABLES: dict[str, Callable[[Capacity], str]] = {
    "ranking": ranking,
    "slopes": slopes,
    "machine": machine,
    "days": of_days,
    "assumptions": lambda capacity: assumptions(capacity, TARGET, ASSUMED),
    **{name: partial(role, name) for name in roles.ROLES},
}


def written(text: str, capacity: Capacity) -> str:
    found = [each[1] for each in MARKED.finditer(text)]
    for name in TABLES:
        if found.count(name) != 1:
            raise ValueError(f"the page has {found.count(name)} tables {name}")
    for name in re.findall(r"<!-- begin (.*?) -->", text):
        if name not in TABLES:
            raise ValueError(f"the page has a table {name} that nothing writes")
    return MARKED.sub(
        lambda each: f"<!-- begin {each[1]} -->\n{TABLES[each[1]](capacity)}\n<!-- end {each[1]} -->\n", text
    )
