"""The model's judge, writing down all that it is told: `Recorded` in place of `Judge`.

`replayed` judges a history again, without the run: the same code on what was seen then.
"""

from __future__ import annotations

from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

from ...interface import RequestClass
from ...settings import decode_settings
from ..model.judge import Judge
from ..model.listing import Registry
from ..model.servers import Job, Server
from ..model.timeline import Timeline, Virtual
from ..spec import Plan, micros, told
from .history import History, Line


class RecordingRuleChecker(Judge):
    def __init__(
        self,
        timeline: Timeline,
        tariffs: tuple[RequestClass, ...],
        registry: Registry,
        grace: int,
        slack: int,
        history: History,
    ) -> None:
        super().__init__(timeline, tariffs, registry, grace, slack)
        self.history = history

    def tried(self, ask: int, tariff: int, until: int) -> None:
        self.history.write("clients", "tried", ask=ask, tariff=tariff, until=until)
        super().tried(ask, tariff, until)

    def answered(self, ask: int, what: str) -> None:
        self.history.write("clients", "answered", ask=ask, end=what)
        super().answered(ask, what)

    def gone(self, ask: int, why: str = "left") -> None:
        self.history.write("clients", "gone", ask=ask, why=why)
        super().gone(ask, why)

    def patience_over(self, ask: int) -> None:
        self.history.write("clients", "patience_over", ask=ask)
        super().patience_over(ask)

    def closed(self, ask: int) -> None:
        self.history.write("clients", "closed", ask=ask)
        super().closed(ask)

    def sent(self, sidecar: int, server: int, ask: int, answered: bool = False) -> None:
        self.history.write(
            f"server-{server}",
            "sent",
            ask=ask,
            sidecar=sidecar,
            server=server,
            told=self.registry.knows_since(sidecar, server),
        )
        super().sent(sidecar, server, ask, answered)

    def returned(self, ask: int) -> None:
        self.history.write("servers", "returned", ask=ask)
        super().returned(ask)

    def ran(self, now: int, job: Job, server: Server) -> bool:
        self.history.write(
            f"server-{server.number}",
            "ran",
            ask=job.ask,
            server=server.number,
            hall=server.hall,
            cell=server.cell,
        )
        return super().ran(now, job, server)

    def pushed_over(self, now: int, server: Server, senders: dict[int, int]) -> None:
        self.history.write(
            f"server-{server.number}",
            "pushed_over",
            server=server.number,
            knowing=sum(senders.values()),
            sidecars=len(senders),
            work=sum(job[1] for job in server.arrivals),
        )
        super().pushed_over(now, server, senders)

    def stop(self, sidecar: int, stopped: bool) -> None:
        self.history.write("rig", "stopped" if stopped else "going_on", sidecar=sidecar)
        super().stop(sidecar, stopped)


class ReplayedRegistry:
    """A registry that knows what was written beside each hop."""

    def __init__(self) -> None:
        self.known_since: int | None = None

    def knows_since(self, sidecar: int, server: int) -> int | None:
        return self.known_since


def replay(lines: Sequence[Line]) -> Judge:
    """The judge as it stood at the end of a history, by what clients and servers saw in it."""
    head = lines[0]
    plan = Plan(**head["plan"])
    tariffs = decode_settings(told(plan, 0, 0)).request_classes
    timeline, registry = Virtual(), ReplayedRegistry()
    judge = Judge(timeline, tariffs, registry, micros(plan.list.grace_s), head["slack"])  # type: ignore[arg-type]
    for line in lines:
        timeline.run(line["at"])
        replay_line(judge, registry, line)
    return judge


def replay_line(judge: Judge, registry: ReplayedRegistry, line: Line) -> None:
    what: Any = line["what"]
    if what == "tried":
        judge.tried(line["ask"], line["tariff"], line["until"])
    elif what == "answered":
        judge.answered(line["ask"], line["end"])
    elif what == "gone":
        judge.gone(line["ask"], line["why"])
    elif what == "patience_over":
        judge.patience_over(line["ask"])
    elif what == "closed":
        judge.closed(line["ask"])
    elif what == "sent":
        registry.known_since = line["told"]
        judge.sent(line["sidecar"], line["server"], line["ask"])
    elif what == "returned":
        judge.returned(line["ask"])
    elif what == "ran":
        at: Any = SimpleNamespace(number=line["server"], hall=line["hall"], cell=line["cell"])
        work: Any = SimpleNamespace(ask=line["ask"])
        judge.ran(line["at"], work, at)
    elif what == "pushed_over":
        fallen: Any = SimpleNamespace(number=line["server"], arrivals=[(0, line["work"])])
        judge.pushed_over(
            line["at"], fallen, {each: 0 for each in range(1, line["sidecars"])} | {0: line["knowing"]}
        )
    elif what in ("stopped", "going_on"):
        judge.stop(line["sidecar"], what == "stopped")
