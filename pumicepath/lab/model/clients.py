"""Clients: open-loop arrivals, keys, deadlines, retries and clients that leave early.

Latency is measured from the time at which a submission was due, so that a slow system can't hide delays by
slowing its clients down (coordinated omission).
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random
from typing import Protocol

from ...interface import RequestClass
from .rule_checker import RuleChecker
from .timeline import SECOND, Timeline, random_source


@dataclass(frozen=True)
class ClientBehavior:
    """How clients behave; rates are submissions per second and sidecar, times are microseconds."""

    rate: float
    pattern: str  # poisson, bursty, even
    rate_steps: tuple[tuple[int, float], ...]  # from this time on, this multiple of the rate
    arrival_trace: tuple[int, ...]  # times at which submissions are due, instead of a rate
    class_weights: tuple[float, ...]  # relative frequencies of the request classes
    key_count: int
    zipf_exponent: float
    drift_period: int  # in this time the ranks move on by a tenth of all keys; 0: never
    leave_probability: float  # of leaving before the deadline
    max_retries: int
    backoff: int
    honors_retry_after: bool  # whether they wait as long as a rejection advises


@dataclass
class LoadOverrides:
    """Changes to the load that injected faults make during a run."""

    rate_factor: float = 1.0  # multiplies the rate
    hot_key_fraction: float = 0.0  # fraction of submissions that use `hot_key`
    hot_key: int = 0


class SubmissionTarget(Protocol):
    """A sidecar as its clients see it."""

    def submit(self, submission: ClientSubmission) -> bool:
        """Hand over a submission; False if the sidecar refuses it or is down."""

    def client_left(self, submission: ClientSubmission) -> None:
        """The client does not wait for the answer any more."""


class ClientSubmission:
    """One submission of a client with all its tries; times are in microseconds."""

    __slots__ = (
        "clients",
        "number",
        "class_index",
        "key",
        "due_at",
        "deadline_at",
        "tries",
        "current_try",
        "finished",
    )

    def __init__(
        self, clients: Clients, number: int, class_index: int, key: int, due_at: int, deadline_at: int
    ) -> None:
        self.clients = clients
        self.number = number
        self.class_index = class_index
        self.key = key
        self.due_at = due_at
        self.deadline_at = deadline_at
        self.tries = 0
        self.current_try = 0  # answers to earlier tries are ignored
        self.finished = False


class Tally:
    """Counts of submissions by outcome and by the second in which each was due; times in microseconds."""

    def __init__(self, seconds: int, request_classes: int, warm_up: int) -> None:
        self.warm_up = warm_up  # values and latencies before this time do not count
        self.offered, self.good, self.late, self.deferred = ([0] * seconds for _ in range(4))
        self.forfeited, self.left, self.lost, self.refused = ([0] * seconds for _ in range(4))
        self.latencies: list[list[int]] = [[] for _ in range(request_classes)]
        self.earned_value = self.offered_value = 0.0
        # Value of all submissions, and of those answered within their latency target.
        self.offered_value_per_second, self.earned_value_per_second = [0.0] * seconds, [0.0] * seconds
        self.retries = 0


class KeyDistribution:
    """Keys 1 to `count` by Zipf's law, whose most popular ones change over time; 0 stands for no key."""

    def __init__(self, count: int, exponent: float, drift_period: int) -> None:
        self.count = count
        self.drift_period = drift_period
        self.cumulative_weights = list(accumulate((rank + 1) ** -exponent for rank in range(count)))

    def draw(self, now: int, rng: Random) -> int:
        """A random key at this time."""
        rank = bisect.bisect_left(self.cumulative_weights, rng.random() * self.cumulative_weights[-1])
        moved = now * self.count // (10 * self.drift_period) if self.drift_period else 0
        return (rank + moved) % self.count + 1


@dataclass
class Clients:
    """All clients of one sidecar, independent of those of other sidecars."""

    timeline: Timeline
    behavior: ClientBehavior
    request_classes: Sequence[RequestClass]
    keys: KeyDistribution
    load_overrides: LoadOverrides
    rule_checker: RuleChecker
    tally: Tally
    target: SubmissionTarget
    number: int
    seed: int
    duration: int
    open_submissions: dict[int, ClientSubmission] = field(default_factory=dict)

    def start(self) -> None:
        """Schedule the first arrival."""
        # Separate random streams, so that the arrivals do not depend on what happens to submissions.
        self.rng = random_source(self.seed, "clients", self.number)
        self.retry_rng = random_source(self.seed, "pauses", self.number)
        self.cumulative_weights = list(accumulate(self.behavior.class_weights))
        self.count = 0
        self.arrival_times = self.arrivals()
        self.schedule_next_arrival()

    def schedule_next_arrival(self) -> None:
        """Schedule the next arrival within the run."""
        due_at = next(self.arrival_times, -1)
        if 0 <= due_at < self.duration:
            self.timeline.at(due_at, self.arrive, due_at)

    def arrivals(self) -> Iterator[int]:
        """Times at which submissions are due; a change of the rate takes effect with the next one."""
        behavior, rng = self.behavior, self.rng
        if behavior.arrival_trace:
            yield from behavior.arrival_trace
            return
        at, burst, ends = rng.random() * SECOND / max(behavior.rate, 1e-9), 1.0, 0.0
        at = self.next_active_time(at)
        while at < self.duration:
            yield int(at)
            at = self.next_active_time(at)
            rate = behavior.rate * self.load_overrides.rate_factor * self.rate_factor_at(at)
            if behavior.pattern == "bursty":
                # Markov-modulated Poisson process: three times the rate for a fifth of the time, else half.
                while at >= ends:
                    burst = 3.0 if burst < 1.0 else 0.5
                    ends = max(at, ends) + rng.expovariate(1.0) * (0.4 if burst > 1.0 else 1.6) * SECOND
                rate *= burst
            if rate <= 0.0:
                return
            at += SECOND / rate if behavior.pattern == "even" else rng.expovariate(rate) * SECOND

    def next_active_time(self, at: float) -> float:
        """The first time from `at` on, in steps of 0.1 s, at which the rate is not zero."""
        while at < self.duration and self.behavior.rate * self.rate_factor_at(at) <= 0.0:
            at += SECOND / 10
        return at

    def rate_factor_at(self, at: float) -> float:
        """The multiple of the rate that the steps set at a time."""
        factor = 1.0
        for starts_at, step in self.behavior.rate_steps:
            if starts_at > at:
                break
            factor = step
        return factor

    def arrive(self, due_at: int) -> None:
        """A submission is due: draw its class and key and send it."""
        self.schedule_next_arrival()
        rng = self.rng
        class_index = bisect.bisect_left(self.cumulative_weights, rng.random() * self.cumulative_weights[-1])
        key = self.keys.draw(due_at, rng)
        if (
            self.load_overrides.hot_key_fraction > 0.0
            and self.retry_rng.random() < self.load_overrides.hot_key_fraction
        ):
            key = self.load_overrides.hot_key
        self.count += 1
        deadline_at = due_at + self.request_classes[class_index].deadline
        submission = ClientSubmission(
            self, (self.number << 32) + self.count, class_index, key, due_at, deadline_at
        )
        self.open_submissions[submission.number] = submission
        second = due_at // SECOND
        self.tally.offered[second] += 1
        if due_at >= self.tally.warm_up:
            self.tally.offered_value += self.request_classes[class_index].value
        if rng.random() < self.behavior.leave_probability:
            self.timeline.at(
                due_at + int(rng.random() * (submission.deadline_at - due_at)), self.leave, submission
            )
        self.timeline.at(submission.deadline_at, self.deadline_passed, submission)
        self.send(submission)

    def send(self, submission: ClientSubmission) -> None:
        """Make the next try of a submission, unless it is finished."""
        if submission.finished:
            return
        submission.tries += 1
        submission.current_try += 1
        if submission.tries > 1:
            self.tally.retries += 1
        if not self.target.submit(submission):
            self.tally.refused[submission.due_at // SECOND] += 1
            self.schedule_retry(submission, 0)

    def target_unreachable(self, submission: ClientSubmission) -> None:
        """The sidecar could not be reached, which became known only after the try began."""
        if not submission.finished:
            self.tally.refused[submission.due_at // SECOND] += 1
            self.schedule_retry(submission, 0)

    def schedule_retry(self, submission: ClientSubmission, retry_after: int) -> bool:
        """Retry after the advised time or a growing backoff, whichever is longer; False if out of time."""
        pause = self.behavior.backoff * 2 ** (submission.tries - 1) * (0.5 + self.retry_rng.random())
        wait = max(retry_after if self.behavior.honors_retry_after else 0, int(pause))
        if submission.tries > self.behavior.max_retries or self.timeline.now + wait >= submission.deadline_at:
            return False
        self.timeline.at(self.timeline.now + wait, self.send, submission)
        return True

    # -- answers of the sidecar

    def succeeded(self, submission: ClientSubmission, try_number: int) -> None:
        """A try was answered; the submission counts as good within the latency target, else as late."""
        self.rule_checker.answer_received(submission.number, "succeeded")
        if submission.finished or try_number != submission.current_try:
            return
        now, request_class = self.timeline.now, self.request_classes[submission.class_index]
        latency = now - submission.due_at
        in_time = latency <= request_class.latency_target
        if submission.due_at >= self.tally.warm_up:
            self.tally.latencies[submission.class_index].append(latency)
            self.tally.earned_value += request_class.value if in_time else request_class.late_value
        self.finish(submission, self.tally.good if in_time else self.tally.late)

    def rejected(self, submission: ClientSubmission, try_number: int, retry_after: int) -> None:
        """A try was rejected; the client retries while it can."""
        self.rule_checker.answer_received(submission.number, "deferred")
        if (
            not submission.finished
            and try_number == submission.current_try
            and not self.schedule_retry(submission, retry_after)
        ):
            self.finish(submission, self.tally.deferred)

    def failed(self, submission: ClientSubmission, try_number: int) -> None:
        """A try failed and may have run, so the client does not retry."""
        self.rule_checker.answer_received(submission.number, "forfeited")
        if not submission.finished and try_number == submission.current_try:
            self.finish(submission, self.tally.forfeited)

    def target_died(self, submission: ClientSubmission, may_run: bool) -> None:
        """The sidecar died; the client retries unless the try may have run with an effect."""
        self.rule_checker.abandoned(submission.number, "cut")
        if not submission.finished and (may_run or not self.schedule_retry(submission, 0)):
            self.finish(submission, self.tally.forfeited)

    # -- the end of a submission

    def leave(self, submission: ClientSubmission) -> None:
        """The client leaves before the deadline."""
        if not submission.finished:
            self.rule_checker.abandoned(submission.number)
            self.target.client_left(submission)
            self.finish(submission, self.tally.left)

    def deadline_passed(self, submission: ClientSubmission) -> None:
        """Give up after the slack that the rule checker allows for the final answer."""
        if not submission.finished:
            self.timeline.at(
                submission.deadline_at + self.rule_checker.answer_slack, self.give_up, submission
            )

    def give_up(self, submission: ClientSubmission) -> None:
        """Stop waiting; counts as lost if a sidecar still owes an answer, else as rejected."""
        if submission.finished:
            return
        record = self.rule_checker.records.get(submission.number)
        lost = record is not None and record.awaiting_answer
        self.rule_checker.deadline_passed(submission.number)
        self.target.client_left(submission)
        self.finish(submission, self.tally.lost if lost else self.tally.deferred)

    def finish(self, submission: ClientSubmission, column: list[int]) -> None:
        """Count the outcome in a column of the tally and forget the submission."""
        submission.finished = True
        second, value = submission.due_at // SECOND, self.request_classes[submission.class_index].value
        column[second] += 1
        self.tally.offered_value_per_second[second] += value
        if column is self.tally.good:
            self.tally.earned_value_per_second[second] += value
        del self.open_submissions[submission.number]
        self.rule_checker.client_finished(submission.number)


def percentile(latencies: list[int], fraction: float) -> float:
    """A percentile, in milliseconds, of latencies in microseconds; NaN without any."""
    ordered = sorted(latencies)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] / 1000 if ordered else math.nan
