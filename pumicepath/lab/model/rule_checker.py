"""The four rules, counted from what servers, clients and the network saw; no sidecar is asked.

A submission is its client's, with all its tries: an effect that a client's retry brings about again counts as
much as one of the sidecar's.
"""

from __future__ import annotations

from ...interface import Effect, Group, Tariff
from .registry import Registry
from .servers import Job, Server
from .timeline import Timeline

ANSWER_SLACK_US = 20_000  # microseconds after patience within which a final answer is still taken
RULES = (
    "unanswered",
    "answered_twice",
    "answered_late",
    "sent_after_answer",
    "ran_twice",
    "deferred_may_run",
    "late_sends",
    "pushed_over",
)


class SubmissionRecord:
    """What is known of one submission of a client while any part of it is still out."""

    __slots__ = (
        "request_class",
        "deadline_at",
        "answered_at",
        "tries",
        "awaiting_answer",
        "hops_in_flight",
        "effects",
        "may_run",
        "client_finished",
        "admitted_at",
    )

    def __init__(self, request_class: Tariff) -> None:
        self.request_class = request_class
        self.deadline_at = 0
        self.answered_at = 0  # when the present try had its final answer
        self.tries = 0
        self.awaiting_answer = False  # a try is with a sidecar, and no final answer has come
        self.hops_in_flight = 0  # hops on the way to a server or there
        self.effects: list[tuple[int, int, int]] = []  # when, hall, cell
        self.may_run = False  # whether a hop of the present or an earlier try may have run
        self.client_finished = False
        self.admitted_at = 0  # when the present try went to its sidecar


class RuleChecker:
    """Keeps a case as long as its client or a server has to do with it: memory grows with what is out."""

    def __init__(
        self,
        timeline: Timeline,
        request_classes: tuple[Tariff, ...],
        registry: Registry,
        drain_grace: int,
        answer_slack: int = ANSWER_SLACK_US,
    ) -> None:
        self.timeline = timeline
        self.request_classes = request_classes
        self.registry = registry
        self.drain_grace = drain_grace
        self.answer_slack = answer_slack  # what the host's own clocks and queues may be late by
        self.records: dict[int, SubmissionRecord] = {}
        self.exact_timing = answer_slack <= ANSWER_SLACK_US
        self.violations = dict.fromkeys(RULES, 0)
        self.first_violations: dict[str, str] = {}
        self.admitted = 0
        self.final_answers = dict.fromkeys(("succeeded", "deferred", "forfeited", "left", "cut"), 0)
        self.stopped_sidecars: dict[
            int, tuple[int, int | None]
        ] = {}  # sidecars that were stopped last, until when

    def report_violation(self, rule: str, text: str) -> None:
        self.violations[rule] += 1
        self.first_violations.setdefault(rule, f"at {self.timeline.now / 1e6:.3f} s: {text}")

    def passed(self) -> bool:
        return not any(self.violations.values())

    # -- told by clients

    def try_admitted(self, submission_id: int, class_index: int, deadline_at: int) -> None:
        """A sidecar has taken a try of a submission."""
        case = self.records.get(submission_id)
        if case is None:
            case = self.records[submission_id] = SubmissionRecord(self.request_classes[class_index])
        case.tries += 1
        case.admitted_at = self.timeline.now
        case.deadline_at = deadline_at
        case.awaiting_answer = True
        self.admitted += 1

    def answer_received(self, submission_id: int, answer: str) -> None:
        """A final answer reached the client: succeeded, deferred or forfeited."""
        case = self.records.get(submission_id)
        if case is None or not case.awaiting_answer:
            self.report_violation("answered_twice", f"submission {submission_id} {answer} once more")
            return
        self.close_try(case)
        self.final_answers[answer] += 1
        if self.timeline.now > case.deadline_at + self.answer_slack and not self.sidecar_was_stopped(
            submission_id, case
        ):
            self.report_violation("answered_late", f"submission {submission_id} {answer} after its patience")
        # A hop that is still on its way or in a queue may run yet.
        if (
            answer == "deferred"
            and (case.may_run or case.hops_in_flight > 0)
            and (
                case.request_class.effect == Effect.UNREPEATABLE
                or case.request_class.effect == Effect.DEDUPLICATED
                and case.request_class.group != Group.ALL
            )
        ):
            self.report_violation(
                "deferred_may_run", f"submission {submission_id} deferred, and may have run"
            )

    def abandoned(self, submission_id: int, why: str = "left") -> None:
        """The client went away (`left`) or its sidecar died (`cut`): nothing is owed any more."""
        case = self.records.get(submission_id)
        if case is not None and case.awaiting_answer:
            self.close_try(case)
            self.final_answers[why] += 1

    def deadline_passed(self, submission_id: int) -> None:
        case = self.records.get(submission_id)
        if case is not None and case.awaiting_answer:
            self.close_try(case)
            if self.sidecar_was_stopped(submission_id, case):
                self.final_answers["cut"] += 1
                return
            self.report_violation(
                "unanswered", f"submission {submission_id} without an answer when patience ended"
            )

    def set_sidecar_stopped(self, sidecar: int, stopped: bool) -> None:
        """Its process was stopped, or let go on: what it had then, it could not answer in time."""
        since = self.stopped_sidecars.get(sidecar, (0, None))[0]
        self.stopped_sidecars[sidecar] = (self.timeline.now, None) if stopped else (since, self.timeline.now)

    def sidecar_was_stopped(self, submission_id: int, case: SubmissionRecord) -> bool:
        """Whether a submission's sidecar was stopped while it had it; the upper half of an ask names it."""
        halt = self.stopped_sidecars.get(submission_id >> 32)
        return halt is not None and (halt[1] is None or halt[1] >= case.admitted_at - self.answer_slack)

    def close_try(self, case: SubmissionRecord) -> None:
        case.awaiting_answer = False
        case.answered_at = self.timeline.now

    def client_finished(self, submission_id: int) -> None:
        """Its client will not try again."""
        case = self.records.get(submission_id)
        if case is not None:
            case.client_finished = True
            self.discard_if_done(submission_id, case)

    def discard_if_done(self, submission_id: int, case: SubmissionRecord) -> None:
        if case.client_finished and case.hops_in_flight <= 0 and not case.awaiting_answer:
            if self.exact_timing:
                del self.records[submission_id]
            else:
                self.timeline.at(self.timeline.now + self.answer_slack, self.discard, submission_id)

    def discard(self, submission_id: int) -> None:
        """On real sockets, where a hop sent before the end may be seen after it."""
        case = self.records.get(submission_id)
        if (
            case is not None
            and case.client_finished
            and case.hops_in_flight <= 0
            and not case.awaiting_answer
        ):
            del self.records[submission_id]

    # -- told by the network

    def hop_sent(self, sidecar: int, server: int, submission_id: int, answered: bool = False) -> None:
        """A hop goes out; `answered` if the final answer has gone out, though it is still on its way."""
        now = self.timeline.now
        case = self.records.get(submission_id)
        if (
            case is None
            or answered
            or not case.awaiting_answer
            and (self.exact_timing or now > case.answered_at + self.answer_slack)
        ):
            self.report_violation(
                "sent_after_answer", f"submission {submission_id} to server {server} after its final answer"
            )
        if case is not None:
            case.hops_in_flight += 1
        told = self.registry.off_known_since(sidecar, server)
        if told is not None and now > told + self.drain_grace + (
            0 if self.exact_timing else self.answer_slack
        ):
            self.report_violation(
                "late_sends",
                f"sidecar {sidecar} to server {server}, {(now - told) / 1e6:.3f} s after it was told",
            )

    def hop_returned(self, submission_id: int) -> None:
        """The hop has ended at its server, or can't reach one any more."""
        case = self.records.get(submission_id)
        if case is not None:
            case.hops_in_flight -= 1
            self.discard_if_done(submission_id, case)

    # -- told by servers

    def work_started(self, now: int, job: Job, server: Server) -> bool:
        """Whether the work has an effect; its group drops the repeat of a deduplicated submission."""
        case = self.records.get(job.submission_id)
        if case is None:
            return True
        tariff = case.request_class
        case.may_run = True
        if tariff.effect == Effect.IDEMPOTENT:
            return True
        for at, hall, cell in case.effects:
            if (
                tariff.effect == Effect.DEDUPLICATED
                and now <= at + tariff.window
                and (
                    tariff.group == Group.ALL
                    or tariff.group == Group.ZONE
                    and hall == server.zone
                    or tariff.group == Group.CELL
                    and cell == server.cell
                )
            ):
                return False
        if case.effects:
            self.report_violation(
                "ran_twice", f"submission {job.submission_id} at server {server.number} again"
            )
        case.effects.append((now, server.zone, server.cell))
        return True

    def cold_server_overloaded(self, now: int, server: Server, senders: dict[int, int]) -> None:
        """Held against the sidecars if two thirds of the work came from those that knew of the start."""
        sent = sum(job[1] for job in server.arrivals)
        if 3 * sum(senders.values()) >= 2 * sent:
            self.report_violation(
                "pushed_over", f"server {server.number}, by {len(senders)} sidecars that knew"
            )
