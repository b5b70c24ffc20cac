"""A table row: an estimate at the target compared with its budget, with its formula, series and mechanism."""

from __future__ import annotations

from dataclasses import dataclass

from .measurements import FAR_EXTRAPOLATION_RATIO, Capacity, Estimate

MISSING = "*missing*"
NOT_MEASURED = "*not measured*"


@dataclass(frozen=True)
class Row:
    """One estimate of a role; `series` names the measured series that the formula uses.

    `value` is None if one of them was not measured; `budget` is None if the target sets none.
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
        """The value over its budget; 0 without a budget or a value."""
        return self.value.value / self.budget if self.budget and self.value is not None else 0.0


def format_number(value: float) -> str:
    """Format with three significant digits and thousands separators."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        digits = len(str(int(abs(value)))) - 3
        return f"{round(value / 10**digits) * 10**digits:,}"
    return f"{float(f'{value:.3g}'):g}"


def provenance(estimate: Estimate, series: tuple[str, ...] = ()) -> str:
    """Say how the estimate is known, and how far beyond the measured sizes it lies."""
    kind = "reckoned from slopes" if estimate.kind == "reckoned" and series else estimate.kind
    if estimate.size_ratio <= 1:
        return kind
    return f"{kind}, extrapolated x {format_number(estimate.size_ratio)}".replace("extrapolated, ", "", 1) + (
        f" (**more than {FAR_EXTRAPOLATION_RATIO:g} times the largest measured size**)"
        if estimate.size_ratio > FAR_EXTRAPOLATION_RATIO
        else ""
    )


def build_forms(row: Row, capacity: Capacity) -> str:
    """Name the forms of the program (compiled, interpreted) in which the row's series were measured."""
    forms = sorted({capacity[name].form for name in row.series} - {"neither"})
    return " and ".join(forms)


def budget_text(row: Row) -> str:
    """The ratio to the budget, in bold where the budget is exceeded."""
    if not row.budget:
        return "no budget"
    if row.value is None:
        return NOT_MEASURED
    return (
        f"**{format_number(row.budget_ratio)}**" if row.budget_ratio > 1 else format_number(row.budget_ratio)
    )


def row_cells(row: Row, capacity: Capacity) -> list[str]:
    """Format the row's cells, without its role."""
    if row.value is None:
        value = source = NOT_MEASURED
    else:
        value, form = f"{format_number(row.value.value)} {row.unit}".strip(), build_forms(row, capacity)
        source = provenance(row.value, row.series) + (f", {form}" if form else "")
    return [
        row.quantity,
        value,
        f"{format_number(row.budget)} {row.unit}" if row.budget else "none",
        budget_text(row),
        source,
        row.formula + (f" [{', '.join(row.series)}]" if row.series else ""),
        row.mechanism,
    ]


def markdown_table(head: list[str], lines: list[list[str]]) -> str:
    """Format a Markdown table."""
    return "\n".join("| " + " | ".join(line) + " |" for line in [head, ["---"] * len(head), *lines])
