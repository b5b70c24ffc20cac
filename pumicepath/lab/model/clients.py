"""Clients: open-loop arrivals, keys, patience, retries, leaving; timed from when each should go out."""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random
from typing import Protocol

from ...interface import Tariff
from .rule_checker import RuleChecker
from .timeline import SECOND, Timeline, random_source


@dataclass(frozen=True)
class ClientBehavior:
    """What clients do; rates are submissions a second for each sidecar, times microseconds."""

    rate: float
    pattern: str  # poisson, bursty, even
    rate_steps: tuple[tuple[int, float], ...]  # from when, times the rate
    arrival_trace: tuple[int, ...]  # due times, instead of a rate
    class_weights: tuple[float, ...]  # of the tariffs
    key_count: int
    zipf_exponent: float
    drift_period: int  # after so long the ranks have moved on by a tenth of all keys
    leave_probability: float  # share of clients that leave before patience is over
    max_retries: int
    backoff: int
    honors_retry_after: bool  # the advice when to come back


@dataclass
class LoadOverrides:
    """What troubles change while a run goes on."""

    rate_factor: float = 1.0  # the rate
    hot_key_fraction: float = 0.0  # share of submissions with one and the same key
    hot_key: int = 0


class SubmissionTarget(Protocol):
    """A sidecar, as its clients meet it."""

    def submit(self, submission: ClientSubmission) -> bool:
        """Whether it took it; a sidecar that is down does not."""

    def client_left(self, submission: ClientSubmission) -> None: ...


class ClientSubmission:
    """One submission of a client with all its tries."""

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
        self.current_try = 0  # counts tries; older answers do not count
        self.finished = False


class Tally:
    """Ends of submissions by the second in which each should have gone out."""

    def __init__(self, seconds: int, request_classes: int, warm_up: int) -> None:
        self.warm_up = warm_up  # microseconds at the start whose gains do not count
        self.offered, self.good, self.late, self.deferred = ([0] * seconds for _ in range(4))
        self.forfeited, self.left, self.lost, self.refused = ([0] * seconds for _ in range(4))
        self.latencies: list[list[int]] = [[] for _ in range(request_classes)]
        self.earned_value = self.offered_value = 0.0
        self.offered_value_per_second, self.earned_value_per_second = (
            [0.0] * seconds,
            [0.0] * seconds,
        )  # gain offered, and served in time
        self.retries = 0


class KeyDistribution:
    """Keys by Zipf's law, the most popular ones changing as time goes on; 0 stands for none."""

    def __init__(self, count: int, exponent: float, drift_period: int) -> None:
        self.count = count
        self.drift_period = drift_period
        self.cumulative_weights = list(accumulate((rank + 1) ** -exponent for rank in range(count)))

    def draw(self, now: int, rng: Random) -> int:
        rank = bisect.bisect_left(self.cumulative_weights, rng.random() * self.cumulative_weights[-1])
        moved = now * self.count // (10 * self.drift_period) if self.drift_period else 0
        return (rank + moved) % self.count + 1


@dataclass
class Clients:
    """All clients of one sidecar; they know nothing of others."""

    timeline: Timeline
    behavior: ClientBehavior
    request_classes: Sequence[Tariff]
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
        # Streams apart, so that the load is the same whatever becomes of it.
        self.rng = random_source(self.seed, "clients", self.number)
        self.retry_rng = random_source(self.seed, "pauses", self.number)
        self.cumulative_weights = list(accumulate(self.behavior.class_weights))
        self.count = 0
        self.arrival_times = self.arrivals()
        self.schedule_next_arrival()

    def schedule_next_arrival(self) -> None:
        due = next(self.arrival_times, -1)
        if 0 <= due < self.duration:
            self.timeline.at(due, self.arrive, due)

    def arrivals(self) -> Iterator[int]:
        """When submissions are due; a rate that changes takes effect with the next one."""
        habits, by = self.behavior, self.rng
        if habits.arrival_trace:
            yield from habits.arrival_trace
            return
        at, burst, ends = by.random() * SECOND / max(habits.rate, 1e-9), 1.0, 0.0
        at = self.next_active_time(at)
        while at < self.duration:
            yield int(at)
            at = self.next_active_time(at)
            rate = habits.rate * self.load_overrides.rate_factor * self.rate_factor_at(at)
            if habits.pattern == "bursty":
                # Two states (Markov-modulated Poisson): a fifth of the time at three times the rate.
                while at >= ends:
                    burst = 3.0 if burst < 1.0 else 0.5
                    ends = max(at, ends) + by.expovariate(1.0) * (0.4 if burst > 1.0 else 1.6) * SECOND
                rate *= burst
            if rate <= 0.0:
                return
            at += SECOND / rate if habits.pattern == "even" else by.expovariate(rate) * SECOND

    def next_active_time(self, at: float) -> float:
        """The first time from then on, in steps of a tenth of a second, at which anything may be due."""
        while at < self.duration and self.behavior.rate * self.rate_factor_at(at) <= 0.0:
            at += SECOND / 10
        return at

    def rate_factor_at(self, at: float) -> float:
        times = 1.0
        for begins, step in self.behavior.rate_steps:
            if begins > at:
                break
            times = step
        return times

    def arrive(self, due_at: int) -> None:
        self.schedule_next_arrival()
        by = self.rng
        tariff = bisect.bisect_left(self.cumulative_weights, by.random() * self.cumulative_weights[-1])
        key = self.keys.draw(due_at, by)
        if (
            self.load_overrides.hot_key_fraction > 0.0
            and self.retry_rng.random() < self.load_overrides.hot_key_fraction
        ):
            key = self.load_overrides.hot_key
        self.count += 1
        until = due_at + self.request_classes[tariff].patience
        ask = ClientSubmission(self, (self.number << 32) + self.count, tariff, key, due_at, until)
        self.open_submissions[ask.number] = ask
        second = due_at // SECOND
        self.tally.offered[second] += 1
        if due_at >= self.tally.warm_up:
            self.tally.offered_value += self.request_classes[tariff].gain
        if by.random() < self.behavior.leave_probability:
            self.timeline.at(due_at + int(by.random() * (ask.deadline_at - due_at)), self.leave, ask)
        self.timeline.at(ask.deadline_at, self.deadline_passed, ask)
        self.send(ask)

    def send(self, submission: ClientSubmission) -> None:
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
        """Its sidecar was not to be reached, which shows only after the try."""
        if not submission.finished:
            self.tally.refused[submission.due_at // SECOND] += 1
            self.schedule_retry(submission, 0)

    def schedule_retry(self, submission: ClientSubmission, retry_after: int) -> bool:
        """Try once more after the advice or a growing pause, if there is time left for it."""
        pause = self.behavior.backoff * 2 ** (submission.tries - 1) * (0.5 + self.retry_rng.random())
        wait = max(retry_after if self.behavior.honors_retry_after else 0, int(pause))
        if submission.tries > self.behavior.max_retries or self.timeline.now + wait >= submission.deadline_at:
            return False
        self.timeline.at(self.timeline.now + wait, self.send, submission)
        return True

    # -- answers of the sidecar

    def succeeded(self, submission: ClientSubmission, try_number: int) -> None:
        self.rule_checker.answer_received(submission.number, "succeeded")
        if submission.finished or try_number != submission.current_try:
            return
        now, tariff = self.timeline.now, self.request_classes[submission.class_index]
        spent = now - submission.due_at
        in_time = spent <= tariff.agreed
        if submission.due_at >= self.tally.warm_up:
            self.tally.latencies[submission.class_index].append(spent)
            self.tally.earned_value += tariff.gain if in_time else tariff.late_gain
        self.finish(submission, self.tally.good if in_time else self.tally.late)

    def rejected(self, submission: ClientSubmission, try_number: int, retry_after: int) -> None:
        self.rule_checker.answer_received(submission.number, "deferred")
        if (
            not submission.finished
            and try_number == submission.current_try
            and not self.schedule_retry(submission, retry_after)
        ):
            self.finish(submission, self.tally.deferred)

    def failed(self, submission: ClientSubmission, try_number: int) -> None:
        self.rule_checker.answer_received(submission.number, "forfeited")
        if not submission.finished and try_number == submission.current_try:
            self.finish(submission, self.tally.forfeited)

    def target_died(self, submission: ClientSubmission, may_run: bool) -> None:
        """Its sidecar died: what may be repeated is tried again, by the client's own choice."""
        self.rule_checker.abandoned(submission.number, "cut")
        if not submission.finished and (may_run or not self.schedule_retry(submission, 0)):
            self.finish(submission, self.tally.forfeited)

    # -- its end

    def leave(self, submission: ClientSubmission) -> None:
        if not submission.finished:
            self.rule_checker.abandoned(submission.number)
            self.target.client_left(submission)
            self.finish(submission, self.tally.left)

    def deadline_passed(self, submission: ClientSubmission) -> None:
        if not submission.finished:
            self.timeline.at(
                submission.deadline_at + self.rule_checker.answer_slack, self.give_up, submission
            )

    def give_up(self, submission: ClientSubmission) -> None:
        if submission.finished:
            return
        case = self.rule_checker.records.get(submission.number)
        lost = case is not None and case.awaiting_answer
        self.rule_checker.deadline_passed(submission.number)
        self.target.client_left(submission)
        self.finish(submission, self.tally.lost if lost else self.tally.deferred)

    def finish(self, submission: ClientSubmission, column: list[int]) -> None:
        submission.finished = True
        second, gain = submission.due_at // SECOND, self.request_classes[submission.class_index].gain
        column[second] += 1
        self.tally.offered_value_per_second[second] += gain
        if column is self.tally.good:
            self.tally.earned_value_per_second[second] += gain
        del self.open_submissions[submission.number]
        self.rule_checker.client_finished(submission.number)


def percentile(latencies: list[int], fraction: float) -> float:
    """Of times in microseconds, in milliseconds; NaN where there are none."""
    ordered = sorted(latencies)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] / 1000 if ordered else math.nan
