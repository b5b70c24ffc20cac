"""The model's rule checker with a recorded history.

`RecordingRuleChecker` writes every event that it is given to the history before it checks it; `replay`
feeds a history to the same checks again, without the run.
"""

from __future__ import annotations

from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

from ...interface import RequestClass
from ...settings import decode_settings
from ..model.registry import Registry
from ..model.rule_checker import RuleChecker
from ..model.servers import Job, Server
from ..model.timeline import Timeline, VirtualTimeline
from ..spec import Plan, sidecar_settings, to_microseconds
from .history import History, Line


class RecordingRuleChecker(RuleChecker):
    """A rule checker that records each event of clients, servers and processes in a history."""

    def __init__(
        self,
        timeline: Timeline,
        request_classes: tuple[RequestClass, ...],
        registry: Registry,
        grace: int,
        slack: int,
        history: History,
    ) -> None:
        super().__init__(timeline, request_classes, registry, grace, slack)
        self.history = history

    def try_admitted(self, submission_id: int, class_index: int, deadline_at: int) -> None:
        self.history.write("clients", "tried", ask=submission_id, tariff=class_index, until=deadline_at)
        super().try_admitted(submission_id, class_index, deadline_at)

    def answer_received(self, ask: int, what: str) -> None:
        self.history.write("clients", "answered", ask=ask, end=what)
        super().answer_received(ask, what)

    def abandoned(self, ask: int, why: str = "left") -> None:
        self.history.write("clients", "gone", ask=ask, why=why)
        super().abandoned(ask, why)

    def deadline_passed(self, ask: int) -> None:
        self.history.write("clients", "patience_over", ask=ask)
        super().deadline_passed(ask)

    def client_finished(self, ask: int) -> None:
        self.history.write("clients", "closed", ask=ask)
        super().client_finished(ask)

    def hop_sent(self, sidecar: int, server: int, ask: int, answered: bool = False) -> None:
        self.history.write(
            f"server-{server}",
            "sent",
            ask=ask,
            sidecar=sidecar,
            server=server,
            told=self.registry.off_known_since(sidecar, server),
        )
        super().hop_sent(sidecar, server, ask, answered)

    def hop_returned(self, ask: int) -> None:
        self.history.write("servers", "returned", ask=ask)
        super().hop_returned(ask)

    def work_started(self, now: int, job: Job, server: Server) -> bool:
        self.history.write(
            f"server-{server.number}",
            "ran",
            ask=job.submission_id,
            server=server.number,
            hall=server.zone,
            cell=server.cell,
        )
        return super().work_started(now, job, server)

    def cold_server_overloaded(self, now: int, server: Server, senders: dict[int, int]) -> None:
        self.history.write(
            f"server-{server.number}",
            "pushed_over",
            server=server.number,
            knowing=sum(senders.values()),
            sidecars=len(senders),
            work=sum(job[1] for job in server.arrivals),
        )
        super().cold_server_overloaded(now, server, senders)

    def set_sidecar_stopped(self, sidecar: int, stopped: bool) -> None:
        self.history.write("rig", "stopped" if stopped else "going_on", sidecar=sidecar)
        super().set_sidecar_stopped(sidecar, stopped)


class ReplayedRegistry:
    """Stands in for the registry in a replay: it answers with what the history says of the current hop."""

    def __init__(self) -> None:
        self.known_since: int | None = None

    def off_known_since(self, sidecar: int, server: int) -> int | None:
        return self.known_since


def replay(lines: Sequence[Line]) -> RuleChecker:
    """Returns the rule checker in its state after all events of a history."""
    head = lines[0]
    plan = Plan(**head["plan"])
    request_classes = decode_settings(sidecar_settings(plan, 0, 0)).request_classes
    timeline, registry = VirtualTimeline(), ReplayedRegistry()
    checker = RuleChecker(
        timeline,
        request_classes,
        registry,  # type: ignore[arg-type]
        to_microseconds(plan.list.grace_s),
        head["slack"],
    )
    for line in lines:
        timeline.run(line["at"])
        replay_line(checker, registry, line)
    return checker


def replay_line(checker: RuleChecker, registry: ReplayedRegistry, line: Line) -> None:
    """Feeds one line of a history to a rule checker; lines of other kinds are ignored."""
    what: Any = line["what"]
    if what == "tried":
        checker.try_admitted(line["ask"], line["tariff"], line["until"])
    elif what == "answered":
        checker.answer_received(line["ask"], line["end"])
    elif what == "gone":
        checker.abandoned(line["ask"], line["why"])
    elif what == "patience_over":
        checker.deadline_passed(line["ask"])
    elif what == "closed":
        checker.client_finished(line["ask"])
    elif what == "sent":
        registry.known_since = line["told"]
        checker.hop_sent(line["sidecar"], line["server"], line["ask"])
    elif what == "returned":
        checker.hop_returned(line["ask"])
    elif what == "ran":
        server: Any = SimpleNamespace(number=line["server"], zone=line["hall"], cell=line["cell"])
        job: Any = SimpleNamespace(submission_id=line["ask"])
        checker.work_started(line["at"], job, server)
    elif what == "pushed_over":
        cold_server: Any = SimpleNamespace(number=line["server"], arrivals=[(0, line["work"])])
        checker.cold_server_overloaded(
            line["at"],
            cold_server,
            {sender: 0 for sender in range(1, line["sidecars"])} | {0: line["knowing"]},
        )
    elif what in ("stopped", "going_on"):
        checker.set_sidecar_stopped(line["sidecar"], what == "stopped")
