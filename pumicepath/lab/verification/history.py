"""The recorded history of a run: JSON lines in the order of one clock, written by the test harness.

Each line has `at` (microseconds since the start of the run, by the harness's clock), `who` observed the
event (`rig`, a sidecar, a server, `clients`, `links`) and `what` it was, and further fields by event.  No
sidecar writes to it.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

VERSION = 1
Line = dict[str, Any]


class HistoryError(Exception):
    """The file is not a history; the text names the file and the line."""


class History:
    """Writes a history line by line, so that an interrupted run leaves its events; None as path discards
    all.
    """

    def __init__(self, path: Path | None, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.out = path.open("wb") if path is not None else None

    def write(self, who: str, what: str, **fields: Any) -> None:
        """Writes one event at the current time; does nothing once the history is closed."""
        if self.out is not None:
            line = {"at": self.clock(), "who": who, "what": what, **fields}
            self.out.write(orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE, default=str))

    def close(self) -> None:
        """Closes the file; may be called again."""
        if self.out is not None:
            self.out.close()
            self.out = None


def read(path: Path) -> list[Line]:
    """Returns the lines of a history.  Raises HistoryError if it is unreadable, malformed or out of order."""
    lines: list[Line] = []
    latest = 0
    try:
        data = path.read_bytes()
    except OSError as error:
        raise HistoryError(f"{path}: {error.strerror}") from error
    for number, text in enumerate(data.splitlines(), 1):
        try:
            line = orjson.loads(text)
            at = int(line["at"])
            line["who"], line["what"]
        except (ValueError, TypeError, KeyError) as error:
            raise HistoryError(f"{path}:{number}: no line of a history") from error
        if at < latest:
            raise HistoryError(f"{path}:{number}: earlier than the line before it")
        latest = at
        lines.append(line)
    if not lines or lines[0]["what"] != "run" or lines[0].get("version") != VERSION:
        raise HistoryError(f"{path}:1: no head of a history of version {VERSION}")
    return lines
