"""Budgets, by what those saw on whom they were spent."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from ..history import Line

PROPERTY = "In no window is more spent of a budget than its sum, all sidecars together."


def check(lines: Sequence[Line]) -> list[str]:
    """Lines `budget` have budget, sum and window_us; lines `spent` have budget and amount."""
    sums: dict[str, tuple[float, int]] = {}
    spent: dict[str, deque[tuple[int, float]]] = {}
    total: dict[str, float] = {}
    worst: dict[str, tuple[float, int]] = {}
    for line in lines:
        if line["what"] == "budget":
            sums[line["budget"]] = line["sum"], line["window_us"]
        elif line["what"] == "spent":
            name, at = line["budget"], line["at"]
            if name not in sums:
                worst.setdefault(name, (line["amount"], at))
                continue
            sum_, window = sums[name]
            recent = spent.setdefault(name, deque())
            recent.append((at, line["amount"]))
            total[name] = total.get(name, 0.0) + line["amount"]
            while recent[0][0] <= at - window:
                total[name] -= recent.popleft()[1]
            if total[name] > sum_ + 1e-9 and total[name] > worst.get(name, (0.0, 0))[0]:
                worst[name] = total[name], at
    return [
        f"{name}: {much:g} of {sums[name][0]:g} within {sums[name][1] / 1e6:g} s, at {at / 1e6:.3f} s"
        if name in sums
        else f"{name}: spent at {at / 1e6:.3f} s, and no sum is known of it"
        for name, (much, at) in sorted(worst.items())
    ]
