"""Why connections were closed, attempts ended or repeated, and requests refused: counters and log lines.

    decision_log.note(Decision.REFUSED, "memory", trace_id)

Every decision is counted in the metrics as `DECISION.REASON`.  Once a second `report` logs the counts of that
second with a few examples, in one line.  `note` does no I/O, so that it may be called with a lock held.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from ..admin.metrics import Metrics

MAX_SAMPLES = 8  # examples in one line of the log


class Decision(StrEnum):
    """What was done; the values are written to the log and to the metrics."""

    CLOSED = "closed"  # a client's connection
    ENDED = "ended"  # an attempt that was no success
    RETRIED = "retried"  # a further attempt
    REFUSED = "refused"  # an answer that promises that nothing was done


class CloseReason(StrEnum):
    """Why a client's connection has ended."""

    CLIENT_CLOSED = "client_closed"
    BROKEN = "broken"  # reset, or another error of the connection
    IDLE = "idle"  # no request for too long, or its place was needed
    SILENT = "silent"  # no byte on a new connection
    UNFINISHED = "unfinished"  # the client stopped within a request, or sent too slowly
    STALLED = "stalled"  # the same, and its place was needed
    LINGERING = "lingering"  # the client did not close after this side had
    DRAINING = "draining"  # this process ends, or an operator sends clients away
    ANSWERED = "answered"  # the final answer announced the close
    BAD_REQUEST = "bad_request"
    NOT_READ = "not_read"  # the client did not take its answer
    ANSWER_BROKEN_OFF = "answer_broken_off"  # by the server
    MEMORY = "memory"  # the memory limit left no room for the request
    FAULT = "fault"


class RefusalReason(StrEnum):
    """Why a request was refused before any attempt; after one, its outcome is the reason."""

    ADMISSION = "admission"  # it could not have been answered in time
    NO_ROOM = "no_room"  # more connections than the limits allow
    MEMORY = "memory"
    ID_UNANSWERED = "id_unanswered"  # another process of a hot restart did not tell whether its id is in use
    NO_LIST = "no_list"  # a new process has no current list of servers yet
    NO_SERVER = "no_server"  # none may be used now, or load is shed


# Nothing that an operator would look for: they are counted, and logged only beside others.
ROUTINE = frozenset(
    (
        (Decision.CLOSED, CloseReason.CLIENT_CLOSED),
        (Decision.CLOSED, CloseReason.IDLE),
        (Decision.CLOSED, CloseReason.ANSWERED),
    )
)


class Sample(NamedTuple):
    """One decision, as an example."""

    what: Decision
    why: str
    trace_id: str
    server: str


class DecisionLog:
    """Counts decisions by reason; `note` may be called from any thread."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.counts: Counter[tuple[Decision, str]] = Counter()
        self.samples: list[Sample] = []

    def note(self, what: Decision, why: str, trace_id: str = "", server: str = "") -> None:
        """Count a decision, and keep it as an example if there is room."""
        self.metrics.count(f"{what}.{why}")
        self.counts[what, why] += 1
        if len(self.samples) < MAX_SAMPLES and (what, why) not in ROUTINE:
            self.samples.append(Sample(what, why, trace_id, server))

    def report(self, log_event: Callable[..., None]) -> None:
        """Log what has been noted since the last call, unless all of it is routine."""
        counts, self.counts = self.counts, Counter()
        samples, self.samples = self.samples, []
        if all(key in ROUTINE for key in counts):
            return
        by_decision: dict[str, dict[str, int]] = {}
        for (what, why), count in sorted(counts.items()):
            by_decision.setdefault(str(what), {})[str(why)] = count
        log_event("decisions", **by_decision, samples=[format_sample(sample) for sample in samples])


def format_sample(sample: Sample) -> dict[str, str]:
    """Return an example with the fields that it has."""
    fields = {
        "what": str(sample.what),
        "why": str(sample.why),
        "id": sample.trace_id,
        "server": sample.server,
    }
    return {key: value for key, value in fields.items() if value}
