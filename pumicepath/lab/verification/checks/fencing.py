"""Checks the order of the fencing numbers that each target of a duty accepts."""

from __future__ import annotations

from collections.abc import Sequence

from ..history import Line

PROPERTY = "The target of a duty never accepts a lower fencing number after a higher one."


def check(lines: Sequence[Line]) -> list[str]:
    """Returns each accepted act whose fencing number is below one that the same target accepted before."""
    highest: dict[tuple[str, str], int] = {}
    violations = []
    for line in lines:
        if line["what"] != "acted" or not line["accepted"] or "asked" in line:
            continue  # the reply to a poll is no act, and may arrive after a newer one
        target = (line["who"], line["duty"])
        before = highest.get(target, line["fence"])
        if line["fence"] < before:
            violations.append(
                f"{line['duty']} at {line['who']}: number {line['fence']} of {line['holder']} "
                f"accepted at {line['at'] / 1e6:.3f} s, after {before}"
            )
        highest[target] = max(before, line["fence"])
    return violations
