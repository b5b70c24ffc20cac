"""Clients: open-loop arrivals, keys, patience, retries, leaving; timed from when each should go out."""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from random import Random
from typing import Protocol

from ...interface import RequestClass
from .judge import Judge
from .timeline import SECOND, Timeline, chance


@dataclass(frozen=True)
class Habits:
    """What clients do; rates are submissions a second for each sidecar, times microseconds."""

    rate: float
    pattern: str  # poisson, bursty, even
    steps: tuple[tuple[int, float], ...]  # from when, times the rate
    trace: tuple[int, ...]  # due times, instead of a rate
    shares: tuple[float, ...]  # of the tariffs
    keys: int
    zipf: float
    drift: int  # after so long the ranks have moved on by a tenth of all keys
    leaves: float  # share of clients that leave before patience is over
    retries: int
    back_off: int
    heeds: bool  # the advice when to come back


@dataclass
class Moods:
    """What troubles change while a run goes on."""

    times: float = 1.0  # the rate
    hot: float = 0.0  # share of submissions with one and the same key
    hot_key: int = 0


class Taker(Protocol):
    """A sidecar, as its clients meet it."""

    def take(self, ask: Ask) -> bool:
        """Whether it took it; a sidecar that is down does not."""

    def left(self, ask: Ask) -> None: ...


class Ask:
    """One submission of a client with all its tries."""

    __slots__ = ("clients", "number", "tariff", "key", "due", "until", "tries", "turn", "over")

    def __init__(self, clients: Clients, number: int, tariff: int, key: int, due: int, until: int) -> None:
        self.clients = clients
        self.number = number
        self.tariff = tariff
        self.key = key
        self.due = due
        self.until = until
        self.tries = 0
        self.turn = 0  # counts tries; older answers do not count
        self.over = False


class Tally:
    """Ends of submissions by the second in which each should have gone out."""

    def __init__(self, seconds: int, tariffs: int, warm: int) -> None:
        self.warm = warm  # microseconds at the start whose gains do not count
        self.offered, self.good, self.late, self.deferred = ([0] * seconds for _ in range(4))
        self.forfeited, self.left, self.lost, self.refused = ([0] * seconds for _ in range(4))
        self.times: list[list[int]] = [[] for _ in range(tariffs)]
        self.gained = self.could = 0.0
        self.wanted, self.earned = [0.0] * seconds, [0.0] * seconds  # gain offered, and served in time
        self.retries = 0


class Keys:
    """Keys by Zipf's law, the most popular ones changing as time goes on; 0 stands for none."""

    def __init__(self, count: int, power: float, drift: int) -> None:
        self.count = count
        self.drift = drift
        self.sums = list(accumulate((rank + 1) ** -power for rank in range(count)))

    def draw(self, now: int, by: Random) -> int:
        rank = bisect.bisect_left(self.sums, by.random() * self.sums[-1])
        moved = now * self.count // (10 * self.drift) if self.drift else 0
        return (rank + moved) % self.count + 1


@dataclass
class Clients:
    """All clients of one sidecar; they know nothing of others."""

    timeline: Timeline
    habits: Habits
    tariffs: Sequence[RequestClass]
    keys: Keys
    moods: Moods
    judge: Judge
    tally: Tally
    taker: Taker
    number: int
    seed: int
    lasts: int
    open: dict[int, Ask] = field(default_factory=dict)

    def begin(self) -> None:
        # Streams apart, so that the load is the same whatever becomes of it.
        self.chance = chance(self.seed, "clients", self.number)
        self.pauses = chance(self.seed, "pauses", self.number)
        self.sums = list(accumulate(self.habits.shares))
        self.count = 0
        self.dues = self.arrivals()
        self.next()

    def next(self) -> None:
        due = next(self.dues, -1)
        if 0 <= due < self.lasts:
            self.timeline.at(due, self.arrive, due)

    def arrivals(self) -> Iterator[int]:
        """When submissions are due; a rate that changes takes effect with the next one."""
        habits, by = self.habits, self.chance
        if habits.trace:
            yield from habits.trace
            return
        at, burst, ends = by.random() * SECOND / max(habits.rate, 1e-9), 1.0, 0.0
        at = self.resumed(at)
        while at < self.lasts:
            yield int(at)
            at = self.resumed(at)
            rate = habits.rate * self.moods.times * self.stepped(at)
            if habits.pattern == "bursty":
                # Two states (Markov-modulated Poisson): a fifth of the time at three times the rate.
                while at >= ends:
                    burst = 3.0 if burst < 1.0 else 0.5
                    ends = max(at, ends) + by.expovariate(1.0) * (0.4 if burst > 1.0 else 1.6) * SECOND
                rate *= burst
            if rate <= 0.0:
                return
            at += SECOND / rate if habits.pattern == "even" else by.expovariate(rate) * SECOND

    def resumed(self, at: float) -> float:
        """The first time from then on, in steps of a tenth of a second, at which anything may be due."""
        while at < self.lasts and self.habits.rate * self.stepped(at) <= 0.0:
            at += SECOND / 10
        return at

    def stepped(self, at: float) -> float:
        times = 1.0
        for begins, step in self.habits.steps:
            if begins > at:
                break
            times = step
        return times

    def arrive(self, due: int) -> None:
        self.next()
        by = self.chance
        tariff = bisect.bisect_left(self.sums, by.random() * self.sums[-1])
        key = self.keys.draw(due, by)
        if self.moods.hot > 0.0 and self.pauses.random() < self.moods.hot:
            key = self.moods.hot_key
        self.count += 1
        until = due + self.tariffs[tariff].deadline
        ask = Ask(self, (self.number << 32) + self.count, tariff, key, due, until)
        self.open[ask.number] = ask
        second = due // SECOND
        self.tally.offered[second] += 1
        if due >= self.tally.warm:
            self.tally.could += self.tariffs[tariff].value
        if by.random() < self.habits.leaves:
            self.timeline.at(due + int(by.random() * (ask.until - due)), self.leave, ask)
        self.timeline.at(ask.until, self.patience_over, ask)
        self.go_out(ask)

    def go_out(self, ask: Ask) -> None:
        if ask.over:
            return
        ask.tries += 1
        ask.turn += 1
        if ask.tries > 1:
            self.tally.retries += 1
        if not self.taker.take(ask):
            self.tally.refused[ask.due // SECOND] += 1
            self.again(ask, 0)

    def unreached(self, ask: Ask) -> None:
        """Its sidecar was not to be reached, which shows only after the try."""
        if not ask.over:
            self.tally.refused[ask.due // SECOND] += 1
            self.again(ask, 0)

    def again(self, ask: Ask, advice: int) -> bool:
        """Try once more after the advice or a growing pause, if there is time left for it."""
        pause = self.habits.back_off * 2 ** (ask.tries - 1) * (0.5 + self.pauses.random())
        wait = max(advice if self.habits.heeds else 0, int(pause))
        if ask.tries > self.habits.retries or self.timeline.now + wait >= ask.until:
            return False
        self.timeline.at(self.timeline.now + wait, self.go_out, ask)
        return True

    # -- answers of the sidecar

    def succeeded(self, ask: Ask, turn: int) -> None:
        self.judge.answered(ask.number, "succeeded")
        if ask.over or turn != ask.turn:
            return
        now, tariff = self.timeline.now, self.tariffs[ask.tariff]
        spent = now - ask.due
        in_time = spent <= tariff.latency_target
        if ask.due >= self.tally.warm:
            self.tally.times[ask.tariff].append(spent)
            self.tally.gained += tariff.value if in_time else tariff.late_value
        self.end(ask, self.tally.good if in_time else self.tally.late)

    def deferred(self, ask: Ask, turn: int, advice: int) -> None:
        self.judge.answered(ask.number, "deferred")
        if not ask.over and turn == ask.turn and not self.again(ask, advice):
            self.end(ask, self.tally.deferred)

    def forfeited(self, ask: Ask, turn: int) -> None:
        self.judge.answered(ask.number, "forfeited")
        if not ask.over and turn == ask.turn:
            self.end(ask, self.tally.forfeited)

    def cut(self, ask: Ask, may_run: bool) -> None:
        """Its sidecar died: what may be repeated is tried again, by the client's own choice."""
        self.judge.gone(ask.number, "cut")
        if not ask.over and (may_run or not self.again(ask, 0)):
            self.end(ask, self.tally.forfeited)

    # -- its end

    def leave(self, ask: Ask) -> None:
        if not ask.over:
            self.judge.gone(ask.number)
            self.taker.left(ask)
            self.end(ask, self.tally.left)

    def patience_over(self, ask: Ask) -> None:
        if not ask.over:
            self.timeline.at(ask.until + self.judge.slack, self.given_up, ask)

    def given_up(self, ask: Ask) -> None:
        if ask.over:
            return
        case = self.judge.cases.get(ask.number)
        lost = case is not None and case.open
        self.judge.patience_over(ask.number)
        self.taker.left(ask)
        self.end(ask, self.tally.lost if lost else self.tally.deferred)

    def end(self, ask: Ask, column: list[int]) -> None:
        ask.over = True
        second, gain = ask.due // SECOND, self.tariffs[ask.tariff].value
        column[second] += 1
        self.tally.wanted[second] += gain
        if column is self.tally.good:
            self.tally.earned[second] += gain
        del self.open[ask.number]
        self.judge.closed(ask.number)


def percentile(times: list[int], part: float) -> float:
    """Of times in microseconds, in milliseconds; NaN where there are none."""
    ordered = sorted(times)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] / 1000 if ordered else math.nan
