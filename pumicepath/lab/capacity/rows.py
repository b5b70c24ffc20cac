"""One line of a table: a figure at the target against its budget, with formula, slopes and mechanism."""

from __future__ import annotations

from dataclasses import dataclass

from .slopes import FAR, Capacity, Figure

MISSING = "*missing*"
UNMEASURED = "*not measured*"


@dataclass(frozen=True)
class Row:
    """`budget` is None where the target sets none; `series` are the slopes that the formula uses.

    `value` is None where those were not measured.
    """

    role: str
    what: str
    value: Figure | None
    unit: str
    budget: float | None
    formula: str
    series: tuple[str, ...]
    mechanism: str

    @property
    def factor(self) -> float:
        """Over its budget; 0 where there is none."""
        return self.value.value / self.budget if self.budget and self.value is not None else 0.0


def short(value: float) -> str:
    """Three digits that count, with thousands apart."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        digits = len(str(int(abs(value)))) - 3
        return f"{round(value / 10**digits) * 10**digits:,}"
    return f"{float(f'{value:.3g}'):g}"


def known(figure: Figure, series: tuple[str, ...] = ()) -> str:
    """How it is known, and from how far."""
    told = "reckoned from slopes" if figure.kind == "reckoned" and series else figure.kind
    if figure.beyond <= 1:
        return told
    return f"{told}, extrapolated x {short(figure.beyond)}".replace("extrapolated, ", "", 1) + (
        f" (**more than {FAR:g} times the largest measured size**)" if figure.beyond > FAR else ""
    )


def forms(row: Row, capacity: Capacity) -> str:
    found = sorted({capacity[name].form for name in row.series} - {"neither"})
    return " and ".join(found)


def against(row: Row) -> str:
    """The factor over the budget, in bold where it is missed."""
    if not row.budget:
        return "no budget"
    if row.value is None:
        return UNMEASURED
    return f"**{short(row.factor)}**" if row.factor > 1 else short(row.factor)


def cells(row: Row, capacity: Capacity) -> list[str]:
    if row.value is None:
        figure = how = UNMEASURED
    else:
        figure, form = f"{short(row.value.value)} {row.unit}".strip(), forms(row, capacity)
        how = known(row.value, row.series) + (f", {form}" if form else "")
    return [
        row.what,
        figure,
        f"{short(row.budget)} {row.unit}" if row.budget else "none",
        against(row),
        how,
        row.formula + (f" [{', '.join(row.series)}]" if row.series else ""),
        row.mechanism,
    ]


def table(head: list[str], lines: list[list[str]]) -> str:
    return "\n".join("| " + " | ".join(line) + " |" for line in [head, ["---"] * len(head), *lines])
