"""Checks the four rules of a run from what servers, clients and the network observed.

Nothing is reported by sidecars.  A submission belongs to its client and includes all the client's tries, so
an effect that a client's retry causes a second time counts as much as one caused by a sidecar's retry.
"""

from __future__ import annotations

from ...interface import DedupGroup, Effect, RequestClass
from .registry import Registry
from .servers import Job, Server
from .timeline import Timeline

ANSWER_SLACK_US = 20_000  # a final answer is still accepted for so long after the deadline
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
    """State of one client submission while its client, its sidecar or a hop is still active."""

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

    def __init__(self, request_class: RequestClass) -> None:
        self.request_class = request_class
        self.deadline_at = 0
        self.answered_at = 0  # when the current try was answered
        self.tries = 0
        self.awaiting_answer = False  # a sidecar has admitted a try and has not answered it
        self.hops_in_flight = 0  # hops travelling to a server or at one
        self.effects: list[tuple[int, int, int]] = []  # time, zone, cell
        self.may_run = False  # a hop of this or an earlier try may have run
        self.client_finished = False
        self.admitted_at = 0  # when the sidecar admitted the current try


class RuleChecker:
    """Counts violations of each rule in `RULES`, and keeps the text of the first one.

    A record is kept while its client or a server is busy with the submission, so memory grows with the number
    of submissions in flight.  All times are in microseconds.
    """

    def __init__(
        self,
        timeline: Timeline,
        request_classes: tuple[RequestClass, ...],
        registry: Registry,
        drain_grace: int,
        answer_slack: int = ANSWER_SLACK_US,
    ) -> None:
        self.timeline = timeline
        self.request_classes = request_classes
        self.registry = registry
        self.drain_grace = drain_grace
        self.answer_slack = answer_slack  # how late the host's own clocks and queues may be
        self.records: dict[int, SubmissionRecord] = {}
        self.exact_timing = answer_slack <= ANSWER_SLACK_US
        self.violations = dict.fromkeys(RULES, 0)
        self.first_violations: dict[str, str] = {}
        self.admitted = 0
        self.final_answers = dict.fromkeys(("succeeded", "deferred", "forfeited", "left", "cut"), 0)
        # By sidecar, its latest stop: when it began and when it ended, None while it lasts.
        self.stopped_sidecars: dict[int, tuple[int, int | None]] = {}

    def report_violation(self, rule: str, text: str) -> None:
        """Count a violation of a rule and keep its text if it is the first."""
        self.violations[rule] += 1
        self.first_violations.setdefault(rule, f"at {self.timeline.now / 1e6:.3f} s: {text}")

    def passed(self) -> bool:
        """Whether no rule was violated so far."""
        return not any(self.violations.values())

    # -- events at clients

    def try_admitted(self, submission_id: int, class_index: int, deadline_at: int) -> None:
        """A sidecar has admitted a try of a submission."""
        record = self.records.get(submission_id)
        if record is None:
            record = self.records[submission_id] = SubmissionRecord(self.request_classes[class_index])
        record.tries += 1
        record.admitted_at = self.timeline.now
        record.deadline_at = deadline_at
        record.awaiting_answer = True
        self.admitted += 1

    def answer_received(self, submission_id: int, answer: str) -> None:
        """A final answer reached the client: `succeeded`, `deferred` (rejected) or `forfeited` (failed)."""
        record = self.records.get(submission_id)
        if record is None or not record.awaiting_answer:
            self.report_violation("answered_twice", f"submission {submission_id} {answer} once more")
            return
        self.close_try(record)
        self.final_answers[answer] += 1
        if self.timeline.now > record.deadline_at + self.answer_slack and not self.sidecar_was_stopped(
            submission_id, record
        ):
            self.report_violation("answered_late", f"submission {submission_id} {answer} after its patience")
        # The client may retry what is rejected, so no hop of it may have run; one that still travels or is
        # queued may run later.
        if (
            answer == "deferred"
            and (record.may_run or record.hops_in_flight > 0)
            and (
                record.request_class.effect == Effect.NON_IDEMPOTENT
                or record.request_class.effect == Effect.DEDUPLICATED
                and record.request_class.dedup_group != DedupGroup.ALL
            )
        ):
            self.report_violation(
                "deferred_may_run", f"submission {submission_id} deferred, and may have run"
            )

    def abandoned(self, submission_id: int, why: str = "left") -> None:
        """The client left (`left`) or its sidecar died (`cut`): no answer is required any more."""
        record = self.records.get(submission_id)
        if record is not None and record.awaiting_answer:
            self.close_try(record)
            self.final_answers[why] += 1

    def deadline_passed(self, submission_id: int) -> None:
        """The deadline and its slack are over; a try without an answer violates a rule.

        A try whose sidecar was stopped meanwhile is counted as `cut` instead, as it could not be answered.
        """
        record = self.records.get(submission_id)
        if record is not None and record.awaiting_answer:
            self.close_try(record)
            if self.sidecar_was_stopped(submission_id, record):
                self.final_answers["cut"] += 1
                return
            self.report_violation(
                "unanswered", f"submission {submission_id} without an answer when patience ended"
            )

    def set_sidecar_stopped(self, sidecar: int, stopped: bool) -> None:
        """Its process was stopped or resumed; what it held meanwhile could not be answered in time."""
        since = self.stopped_sidecars.get(sidecar, (0, None))[0]
        self.stopped_sidecars[sidecar] = (self.timeline.now, None) if stopped else (since, self.timeline.now)

    def sidecar_was_stopped(self, submission_id: int, record: SubmissionRecord) -> bool:
        """Whether its sidecar, the upper 32 bits of the id, was stopped while it held the submission."""
        stopped = self.stopped_sidecars.get(submission_id >> 32)
        return stopped is not None and (
            stopped[1] is None or stopped[1] >= record.admitted_at - self.answer_slack
        )

    def close_try(self, record: SubmissionRecord) -> None:
        """The current try is over; further hops of it violate a rule."""
        record.awaiting_answer = False
        record.answered_at = self.timeline.now

    def client_finished(self, submission_id: int) -> None:
        """The client will not try again."""
        record = self.records.get(submission_id)
        if record is not None:
            record.client_finished = True
            self.discard_if_done(submission_id, record)

    def discard_if_done(self, submission_id: int, record: SubmissionRecord) -> None:
        """Drop the record once client, sidecar and servers are done with the submission."""
        if record.client_finished and record.hops_in_flight <= 0 and not record.awaiting_answer:
            if self.exact_timing:
                del self.records[submission_id]
            else:
                self.timeline.at(self.timeline.now + self.answer_slack, self.discard, submission_id)

    def discard(self, submission_id: int) -> None:
        """Drop the record later, as on real sockets a hop sent before the end may be observed after it."""
        record = self.records.get(submission_id)
        if (
            record is not None
            and record.client_finished
            and record.hops_in_flight <= 0
            and not record.awaiting_answer
        ):
            del self.records[submission_id]

    # -- events in the network

    def hop_sent(self, sidecar: int, server: int, submission_id: int, answered: bool = False) -> None:
        """A sidecar sends a hop; `answered`: it has sent the final answer, which may not have arrived yet."""
        now = self.timeline.now
        record = self.records.get(submission_id)
        if (
            record is None
            or answered
            or not record.awaiting_answer
            and (self.exact_timing or now > record.answered_at + self.answer_slack)
        ):
            self.report_violation(
                "sent_after_answer", f"submission {submission_id} to server {server} after its final answer"
            )
        if record is not None:
            record.hops_in_flight += 1
        known_since = self.registry.off_known_since(sidecar, server)
        if known_since is not None and now > known_since + self.drain_grace + (
            0 if self.exact_timing else self.answer_slack
        ):
            self.report_violation(
                "late_sends",
                f"sidecar {sidecar} to server {server}, {(now - known_since) / 1e6:.3f} s after it was told",
            )

    def hop_returned(self, submission_id: int) -> None:
        """A hop has ended at its server, or can't reach it any more."""
        record = self.records.get(submission_id)
        if record is not None:
            record.hops_in_flight -= 1
            self.discard_if_done(submission_id, record)

    # -- events at servers

    def work_started(self, now: int, job: Job, server: Server) -> bool:
        """A server starts a hop; False if its deduplication group drops it as a repeat, without effect."""
        record = self.records.get(job.submission_id)
        if record is None:
            return True
        request_class = record.request_class
        record.may_run = True
        if request_class.effect == Effect.IDEMPOTENT:
            return True
        for at, zone, cell in record.effects:
            if (
                request_class.effect == Effect.DEDUPLICATED
                and now <= at + request_class.dedup_window
                and (
                    request_class.dedup_group == DedupGroup.ALL
                    or request_class.dedup_group == DedupGroup.ZONE
                    and zone == server.zone
                    or request_class.dedup_group == DedupGroup.CELL
                    and cell == server.cell
                )
            ):
                return False
        if record.effects:
            self.report_violation(
                "ran_twice", f"submission {job.submission_id} at server {server.number} again"
            )
        record.effects.append((now, server.zone, server.cell))
        return True

    def cold_server_overloaded(self, now: int, server: Server, senders: dict[int, int]) -> None:
        """A cold server collapsed under load; `senders` is the work by sidecar that knew of its start.

        It is a violation if at least two thirds of the work came from sidecars that knew.
        """
        total_work = sum(job[1] for job in server.arrivals)
        if 3 * sum(senders.values()) >= 2 * total_work:
            self.report_violation(
                "pushed_over", f"server {server.number}, by {len(senders)} sidecars that knew"
            )
