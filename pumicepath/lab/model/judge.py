"""The four rules, counted from what servers, clients and the network saw; no sidecar is asked.

A submission is its client's, with all its tries: an effect that a client's retry brings about again counts as
much as one of the sidecar's.
"""

from __future__ import annotations

from ...interface import DedupGroup, Effect, RequestClass
from .listing import Registry
from .servers import Job, Server
from .timeline import Timeline

SLACK = 20_000  # microseconds after patience within which a final answer is still taken
CAUSES = (
    "unanswered",
    "answered_twice",
    "answered_late",
    "sent_after_answer",
    "ran_twice",
    "deferred_may_run",
    "late_sends",
    "pushed_over",
)


class Case:
    """What is known of one submission of a client while any part of it is still out."""

    __slots__ = (
        "tariff",
        "until",
        "ended_at",
        "tries",
        "open",
        "jobs",
        "effects",
        "may_run",
        "over",
        "began",
    )

    def __init__(self, tariff: RequestClass) -> None:
        self.tariff = tariff
        self.until = 0
        self.ended_at = 0  # when the present try had its final answer
        self.tries = 0
        self.open = False  # a try is with a sidecar, and no final answer has come
        self.jobs = 0  # hops on the way to a server or there
        self.effects: list[tuple[int, int, int]] = []  # when, hall, cell
        self.may_run = False  # whether a hop of the present or an earlier try may have run
        self.over = False
        self.began = 0  # when the present try went to its sidecar


class Judge:
    """Keeps a case as long as its client or a server has to do with it: memory grows with what is out."""

    def __init__(
        self,
        timeline: Timeline,
        tariffs: tuple[RequestClass, ...],
        registry: Registry,
        grace: int,
        slack: int = SLACK,
    ) -> None:
        self.timeline = timeline
        self.tariffs = tariffs
        self.registry = registry
        self.grace = grace
        self.slack = slack  # what the host's own clocks and queues may be late by
        self.cases: dict[int, Case] = {}
        self.prompt = slack <= SLACK
        self.broken = dict.fromkeys(CAUSES, 0)
        self.first: dict[str, str] = {}
        self.taken = 0
        self.finals = dict.fromkeys(("succeeded", "deferred", "forfeited", "left", "cut"), 0)
        self.halted: dict[int, tuple[int, int | None]] = {}  # sidecars that were stopped last, until when

    def breach(self, cause: str, text: str) -> None:
        self.broken[cause] += 1
        self.first.setdefault(cause, f"at {self.timeline.now / 1e6:.3f} s: {text}")

    def whole(self) -> bool:
        return not any(self.broken.values())

    # -- told by clients

    def tried(self, ask: int, tariff: int, until: int) -> None:
        """A sidecar has taken a try of a submission."""
        case = self.cases.get(ask)
        if case is None:
            case = self.cases[ask] = Case(self.tariffs[tariff])
        case.tries += 1
        case.began = self.timeline.now
        case.until = until
        case.open = True
        self.taken += 1

    def answered(self, ask: int, what: str) -> None:
        """A final answer reached the client: succeeded, deferred or forfeited."""
        case = self.cases.get(ask)
        if case is None or not case.open:
            self.breach("answered_twice", f"submission {ask} {what} once more")
            return
        self.shut(case)
        self.finals[what] += 1
        if self.timeline.now > case.until + self.slack and not self.stood_still(ask, case):
            self.breach("answered_late", f"submission {ask} {what} after its patience")
        # A hop that is still on its way or in a queue may run yet.
        if (
            what == "deferred"
            and (case.may_run or case.jobs > 0)
            and (
                case.tariff.effect == Effect.NON_IDEMPOTENT
                or case.tariff.effect == Effect.DEDUPLICATED
                and case.tariff.dedup_group != DedupGroup.ALL
            )
        ):
            self.breach("deferred_may_run", f"submission {ask} deferred, and may have run")

    def gone(self, ask: int, why: str = "left") -> None:
        """The client went away (`left`) or its sidecar died (`cut`): nothing is owed any more."""
        case = self.cases.get(ask)
        if case is not None and case.open:
            self.shut(case)
            self.finals[why] += 1

    def patience_over(self, ask: int) -> None:
        case = self.cases.get(ask)
        if case is not None and case.open:
            self.shut(case)
            if self.stood_still(ask, case):
                self.finals["cut"] += 1
                return
            self.breach("unanswered", f"submission {ask} without an answer when patience ended")

    def stop(self, sidecar: int, stopped: bool) -> None:
        """Its process was stopped, or let go on: what it had then, it could not answer in time."""
        since = self.halted.get(sidecar, (0, None))[0]
        self.halted[sidecar] = (self.timeline.now, None) if stopped else (since, self.timeline.now)

    def stood_still(self, ask: int, case: Case) -> bool:
        """Whether a submission's sidecar was stopped while it had it; the upper half of an ask names it."""
        halt = self.halted.get(ask >> 32)
        return halt is not None and (halt[1] is None or halt[1] >= case.began - self.slack)

    def shut(self, case: Case) -> None:
        case.open = False
        case.ended_at = self.timeline.now

    def closed(self, ask: int) -> None:
        """Its client will not try again."""
        case = self.cases.get(ask)
        if case is not None:
            case.over = True
            self.forget(ask, case)

    def forget(self, ask: int, case: Case) -> None:
        if case.over and case.jobs <= 0 and not case.open:
            if self.prompt:
                del self.cases[ask]
            else:
                self.timeline.at(self.timeline.now + self.slack, self.drop, ask)

    def drop(self, ask: int) -> None:
        """On real sockets, where a hop sent before the end may be seen after it."""
        case = self.cases.get(ask)
        if case is not None and case.over and case.jobs <= 0 and not case.open:
            del self.cases[ask]

    # -- told by the network

    def sent(self, sidecar: int, server: int, ask: int, answered: bool = False) -> None:
        """A hop goes out; `answered` if the final answer has gone out, though it is still on its way."""
        now = self.timeline.now
        case = self.cases.get(ask)
        if case is None or answered or not case.open and (self.prompt or now > case.ended_at + self.slack):
            self.breach("sent_after_answer", f"submission {ask} to server {server} after its final answer")
        if case is not None:
            case.jobs += 1
        told = self.registry.knows_since(sidecar, server)
        if told is not None and now > told + self.grace + (0 if self.prompt else self.slack):
            self.breach(
                "late_sends",
                f"sidecar {sidecar} to server {server}, {(now - told) / 1e6:.3f} s after it was told",
            )

    def returned(self, ask: int) -> None:
        """The hop has ended at its server, or can't reach one any more."""
        case = self.cases.get(ask)
        if case is not None:
            case.jobs -= 1
            self.forget(ask, case)

    # -- told by servers

    def ran(self, now: int, job: Job, server: Server) -> bool:
        """Whether the work has an effect; its group drops the repeat of a deduplicated submission."""
        case = self.cases.get(job.ask)
        if case is None:
            return True
        tariff = case.tariff
        case.may_run = True
        if tariff.effect == Effect.IDEMPOTENT:
            return True
        for at, hall, cell in case.effects:
            if (
                tariff.effect == Effect.DEDUPLICATED
                and now <= at + tariff.dedup_window
                and (
                    tariff.dedup_group == DedupGroup.ALL
                    or tariff.dedup_group == DedupGroup.ZONE
                    and hall == server.hall
                    or tariff.dedup_group == DedupGroup.CELL
                    and cell == server.cell
                )
            ):
                return False
        if case.effects:
            self.breach("ran_twice", f"submission {job.ask} at server {server.number} again")
        case.effects.append((now, server.hall, server.cell))
        return True

    def pushed_over(self, now: int, server: Server, senders: dict[int, int]) -> None:
        """Held against the sidecars if two thirds of the work came from those that knew of the start."""
        sent = sum(job[1] for job in server.arrivals)
        if 3 * sum(senders.values()) >= 2 * sent:
            self.breach("pushed_over", f"server {server.number}, by {len(senders)} sidecars that knew")
