"""Checks that no budget is overspent, by what the receiving side of the spending recorded."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from ..history import Line

PROPERTY = "Within any window, all sidecars together spend no more than the sum of a budget."


def check(lines: Sequence[Line]) -> list[str]:
    """Returns, per budget, its worst overspending within one window.

    Lines `budget` have budget, sum and window_us; lines `spent` have budget and amount.  Spending on a
    budget that no line has announced is a violation, too.
    """
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
            sum_, window_us = sums[name]
            recent = spent.setdefault(name, deque())
            recent.append((at, line["amount"]))
            total[name] = total.get(name, 0.0) + line["amount"]
            while recent[0][0] <= at - window_us:
                total[name] -= recent.popleft()[1]
            if total[name] > sum_ + 1e-9 and total[name] > worst.get(name, (0.0, 0))[0]:
                worst[name] = total[name], at
    return [
        f"{name}: {amount:g} of {sums[name][0]:g} within {sums[name][1] / 1e6:g} s, at {at / 1e6:.3f} s"
        if name in sums
        else f"{name}: spent at {at / 1e6:.3f} s, and no sum is known of it"
        for name, (amount, at) in sorted(worst.items())
    ]
