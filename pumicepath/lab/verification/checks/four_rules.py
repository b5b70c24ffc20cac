"""The four rules, by the model's judge on what clients and servers saw."""

from __future__ import annotations

from collections.abc import Sequence

from ..history import Line
from ..recording import replay

PROPERTY = (
    "Each submission gets one final answer in time and nothing goes out afterwards; no effect comes "
    "twice; no hop goes to a server past the grace after the sidecar was told; no cold server is "
    "pushed over."
)


def check(lines: Sequence[Line]) -> list[str]:
    judge = replay(lines)
    return [
        f"{rule}: {count}, first {judge.first_violations[rule]}"
        for rule, count in judge.violations.items()
        if count
    ]
