"""One line of a table: a figure at the target against its budget, with formula, slopes and mechanism."""

from __future__ import annotations

from dataclasses import dataclass

from .measurements import FAR_EXTRAPOLATION_RATIO, Capacity, Estimate

MISSING = "*missing*"
NOT_MEASURED = "*not measured*"


@dataclass(frozen=True)
class Row:
    """`budget` is None where the target sets none; `series` are the slopes that the formula uses.

    `value` is None where those were not measured.
    """

    role: str
    quantity: str
    value: Estimate | None
    unit: str
    budget: float | None
    formula: str
    series: tuple[str, ...]
    mechanism: str

    @property
    def budget_ratio(self) -> float:
        """Over its budget; 0 where there is none."""
        return self.value.value / self.budget if self.budget and self.value is not None else 0.0


def format_number(value: float) -> str:
    """Three digits that count, with thousands apart."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        digits = len(str(int(abs(value)))) - 3
        return f"{round(value / 10**digits) * 10**digits:,}"
    return f"{float(f'{value:.3g}'):g}"


def provenance(figure: Estimate, series: tuple[str, ...] = ()) -> str:
    """How it is known, and from how far."""
    told = "reckoned from slopes" if figure.kind == "reckoned" and series else figure.kind
    if figure.size_ratio <= 1:
        return told
    return f"{told}, extrapolated x {format_number(figure.size_ratio)}".replace("extrapolated, ", "", 1) + (
        f" (**more than {FAR_EXTRAPOLATION_RATIO:g} times the largest measured size**)"
        if figure.size_ratio > FAR_EXTRAPOLATION_RATIO
        else ""
    )


def build_forms(row: Row, capacity: Capacity) -> str:
    found = sorted({capacity[name].form for name in row.series} - {"neither"})
    return " and ".join(found)


def budget_text(row: Row) -> str:
    """The factor over the budget, in bold where it is missed."""
    if not row.budget:
        return "no budget"
    if row.value is None:
        return NOT_MEASURED
    return (
        f"**{format_number(row.budget_ratio)}**" if row.budget_ratio > 1 else format_number(row.budget_ratio)
    )


def row_cells(row: Row, capacity: Capacity) -> list[str]:
    if row.value is None:
        figure = how = NOT_MEASURED
    else:
        figure, form = f"{format_number(row.value.value)} {row.unit}".strip(), build_forms(row, capacity)
        how = provenance(row.value, row.series) + (f", {form}" if form else "")
    return [
        row.quantity,
        figure,
        f"{format_number(row.budget)} {row.unit}" if row.budget else "none",
        budget_text(row),
        how,
        row.formula + (f" [{', '.join(row.series)}]" if row.series else ""),
        row.mechanism,
    ]


def markdown_table(head: list[str], lines: list[list[str]]) -> str:
    return "\n".join("| " + " | ".join(line) + " |" for line in [head, ["---"] * len(head), *lines])
