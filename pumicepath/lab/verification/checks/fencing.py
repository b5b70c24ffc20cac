"""Fencing numbers, at each place that is acted on."""

from __future__ import annotations

from collections.abc import Sequence

from ..history import Line

PROPERTY = "Who is acted on for a duty never accepts a lower number after a higher one."


def check(lines: Sequence[Line]) -> list[str]:
    highest: dict[tuple[str, str], int] = {}
    found = []
    for line in lines:
        if line["what"] != "acted" or not line["accepted"] or "asked" in line:
            continue  # an answer to a question may be late on its way: it is no act
        at = (line["who"], line["duty"])
        before = highest.get(at, line["fence"])
        if line["fence"] < before:
            found.append(
                f"{line['duty']} at {line['who']}: number {line['fence']} of {line['holder']} "
                f"accepted at {line['at'] / 1e6:.3f} s, after {before}"
            )
        highest[at] = max(before, line["fence"])
    return found
