"""The metrics of a sidecar: `Metrics.count` counts from any thread, `Metrics.render` formats all of them."""

from __future__ import annotations

import re
import threading
from collections import Counter, deque
from collections.abc import Iterable

PREFIX = "edge_gw"
MAX_METRICS = 1000  # that are kept, including those of request classes that no longer exist
OUTCOMES = ("answered", "deferred", "errored")
UNSAFE_CHARACTERS = re.compile(r"[^!-<>-~]")  # would break a line `name=value`


def outcome(status: int) -> str:
    """Return the one of `OUTCOMES` that a final answer with this status counts as."""
    return "answered" if status == 200 else "deferred" if status in (429, 503) else "errored"


class Metrics:
    """Counters since the start of the process.

    Counting is an append to a queue: it takes no lock, and nobody waits.
    """

    def __init__(self) -> None:
        self.pending: deque[str] = deque()
        self.counts: Counter[str] = Counter()
        self.lock = threading.Lock()

    def count(self, name: str) -> None:
        """Count one event, from any thread."""
        self.pending.append(name)

    def submission_finished(self, request_class: str, status: int) -> None:
        """Count a submission of this class by the status of its final answer."""
        self.pending.append(f"{outcome(status)}.{request_class}")

    def apply_pending(self) -> None:
        """Add what is queued to the counters; called now and then so that the queue stays short."""
        with self.lock:
            pending = self.pending
            for name in [pending.popleft() for _ in range(len(pending))]:
                # Reloads can bring ever new request classes: their number is limited, so that memory is, too.
                if name in self.counts or len(self.counts) < MAX_METRICS:
                    self.counts[name] += 1

    def render(self, request_classes: Iterable[str], current_values: dict[str, int]) -> str:
        """Format all metrics, one line each.

        Counters of the classes in force are present from the start, at 0. `current_values` are gauges.
        """
        self.apply_pending()
        counters = {
            "sends": 0,
            **{f"{each}.{request_class}": 0 for request_class in request_classes for each in OUTCOMES},
        }
        counters.update(self.counts)
        lines = {**counters, **current_values}.items()
        return "".join(f"{PREFIX}.{UNSAFE_CHARACTERS.sub('_', name)}={value}\n" for name, value in lines)
