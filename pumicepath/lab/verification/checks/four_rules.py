"""Checks the four rules: the model's rule checker, run again on what clients and servers recorded."""

from __future__ import annotations

from collections.abc import Sequence

from ..history import Line
from ..recording import replay

PROPERTY = (
    "Each submission gets one final answer before its deadline, and no hop is sent afterwards; no effect "
    "happens twice; no hop goes to a draining server once the grace period after the sidecar's "
    "notification is over; no cold server is overloaded by sidecars that know that it is cold."
)


def check(lines: Sequence[Line]) -> list[str]:
    """Returns, per violated rule, the number of violations and the first of them."""
    checker = replay(lines)
    return [
        f"{rule}: {count}, first {checker.first_violations[rule]}"
        for rule, count in checker.violations.items()
        if count
    ]
