"""The record of a run: JSON lines in the order of one clock, written by the rig and by no sidecar.

Each line has `at` (microseconds of the rig's clock from the run's start), `who` saw it (`rig`, a sidecar, a
server, `clients`, `links`) and `what` it was; `read` gives the lines back, or raises BadHistory.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

VERSION = 1
Line = dict[str, Any]


class HistoryError(Exception):
    """No history; the text names the file and the line."""


class History:
    """Written line by line, so that a run that is broken off leaves what it has seen; None keeps nothing."""

    def __init__(self, path: Path | None, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.out = path.open("wb") if path is not None else None

    def write(self, who: str, what: str, **fields: Any) -> None:
        if self.out is not None:
            line = {"at": self.clock(), "who": who, "what": what, **fields}
            self.out.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE, default=str))

    def close(self) -> None:
        if self.out is not None:
            self.out.close()
            self.out = None


def read(path: Path) -> list[Line]:
    lines: list[Line] = []
    latest = 0
    try:
        data = path.read_bytes()
    except OSError as trouble:
        raise HistoryError(f"{path}: {trouble.strerror}") from trouble
    for number, text in enumerate(data.splitlines(), 1):
        try:
            line = orjson.loads(text)
            at = int(line["at"])
            line["who"], line["what"]
        except (ValueError, TypeError, KeyError) as trouble:
            raise HistoryError(f"{path}:{number}: no line of a history") from trouble
        if at < latest:
            raise HistoryError(f"{path}:{number}: earlier than the line before it")
        latest = at
        lines.append(line)
    if not lines or lines[0]["what"] != "run" or lines[0].get("version") != VERSION:
        raise HistoryError(f"{path}:1: no head of a history of version {VERSION}")
    return lines
