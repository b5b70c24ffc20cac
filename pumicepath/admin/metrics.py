"""What is counted and how it is written: `count` from any thread, `written` for whoever asks."""

from __future__ import annotations

import re
import threading
from collections import Counter, deque
from collections.abc import Iterable

PREFIX = "edge_gw"
MAX_METRICS = 1000  # of figures kept, those of classes that are gone among them
OUTCOMES = ("answered", "deferred", "errored")
UNSAFE_CHARACTERS = re.compile(r"[^!-<>-~]")  # what would break a line of the form


def outcome(status: int) -> str:
    """What an answer counts as."""
    return "answered" if status == 200 else "deferred" if status in (429, 503) else "errored"


class Metrics:
    """Counts from the start of the process.  Counting is an append: it needs no lock, and nobody waits."""

    def __init__(self) -> None:
        self.pending: deque[str] = deque()
        self.counts: Counter[str] = Counter()
        self.lock = threading.Lock()

    def count(self, name: str) -> None:
        self.pending.append(name)

    def submission_finished(self, request_class: str, status: int) -> None:
        """A submission of this class has its final answer."""
        self.pending.append(f"{outcome(status)}.{request_class}")

    def apply_pending(self) -> None:
        """Now and then, so that little waits."""
        with self.lock:
            came = self.pending
            for name in [came.popleft() for _ in range(len(came))]:
                # Guards the memory against classes that come and go for as long as the process runs.
                if name in self.counts or len(self.counts) < MAX_METRICS:
                    self.counts[name] += 1

    def render(self, request_classes: Iterable[str], current_values: dict[str, int]) -> str:
        """One line each: what was counted, the classes in force from 0 on, and what is so now."""
        self.apply_pending()
        counted = {"sends": 0, **{f"{each}.{group}": 0 for group in request_classes for each in OUTCOMES}}
        counted.update(self.counts)
        lines = {**counted, **current_values}.items()
        return "".join(f"{PREFIX}.{UNSAFE_CHARACTERS.sub('_', name)}={value}\n" for name, value in lines)
