"""Overload of the sidecar itself: who is taken up, who waits, and who is turned away before it costs.

A queue in front of the decisions, first come first served, whose length is a time: a request is turned away
as it comes if it could not be answered in time behind those that wait, and one that waits once it can't.
As in DAGOR (Zhou et al., "Overload Control for Scaling WeChat Microservices", 2018) waiting is the signal,
not rates or CPU, and cheaper work has less of it; as in CoDel (Nichols and Jacobson, 2012) time is the bound.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import Generic, TypeVar

from ..balancer import SeededRandom
from ..interface import RequestClass

Whom = TypeVar("Whom")

PLACES = 4  # that may be taken up at once: more would wait for the interpreter in no order
SPARE_PART = 0.1  # of the agreed time kept for what is not foreseen
FLOOR_PART = 0.25  # of the agreed time that may be waited where servers leave less
CHEAP_PART = 0.8  # of that time for what gains nothing beside the dearest
RETRY_PART = 0.5  # of it at least for a client's retry
MOST_BACK = 4.0  # agreed times, at the most, after which clients are asked to come back
PAUSE = 4_000  # the first, before a connection is read again on which one was turned away
PAUSE_PART = 0.1  # of the shortest patience, the longest
REFUSED_PART = 1.0  # of what is taken up, how much may be turned away before the pause grows
CALM = 1_000_000  # without a request turned away, until the mode is over
STEP = 1 / 16  # of a sample in the means


class Verdict(IntEnum):
    AWAY = 0
    GO = 1
    WAIT = 2


class Intake(Generic[Whom]):
    """One for a sidecar; the host calls it under a lock of its own.

    Times are whole microseconds.  What a call costs grows with nothing, but for those that `left` turns away.
    """

    def __init__(
        self, tariffs: tuple[RequestClass, ...], most_back: int, most_waiting: int, seed: int
    ) -> None:
        self.most_waiting = most_waiting
        self.chance = SeededRandom(seed)
        self.adopt(tariffs, most_back)
        self.waiting: deque[tuple[int, Whom]] = deque()
        self.returning: deque[Whom] = deque()
        self.active = 0
        self.interval = 300.0  # between two that are taken up while others wait
        self.last = 0  # when one was, if others waited then
        self.wait = 0.0  # that requests have had before they were read
        self.out = 0.0  # that answers have had before they were passed on
        self.turned = 0
        self.pause = 0  # before a connection is read again on which one was turned away
        self.taken = 0
        self.beaten = (0, 0)
        self.told = False
        self.told_turned = 0
        self.turned_at = 0

    def adopt(self, tariffs: tuple[RequestClass, ...], most_back: int) -> None:
        """Judge by other tariffs from now on; what waits keeps the limit that it was given."""
        self.tariffs = tariffs
        self.most_back = most_back
        dearest = max(one.value for one in tariffs)
        self.part = [
            CHEAP_PART + (1.0 - CHEAP_PART) * (one.value / dearest if dearest > 0 else 1.0) for one in tariffs
        ]
        self.late_part = [min(1.0, one.late_value / one.value) if one.value > 0 else 0.0 for one in tariffs]
        self.longest_pause = int(PAUSE_PART * min(one.deadline for one in tariffs))

    def full(self) -> bool:
        """Whether the next one would have to wait."""
        return self.active >= PLACES

    def limit(self, tariff: int, retry: bool, arrived: int, until: int, usual: float) -> int:
        """By when a request must be taken up to be worth it, if it then takes `usual` at the servers."""
        # Guards a request that was read just before these tariffs came: any of them does for its wait.
        tariff = min(tariff, len(self.tariffs) - 1)
        one = self.tariffs[tariff]
        rest = usual + self.out
        agreed = max(FLOOR_PART * one.latency_target, (1.0 - SPARE_PART) * one.latency_target - rest)
        late = self.late_part[tariff]
        part = self.part[tariff] * (max(RETRY_PART, late) if retry else 1.0)
        span = agreed * part + late * max(0.0, one.deadline - one.latency_target - rest)
        return min(arrived + int(span), until - int(rest))

    def came(
        self, now: int, arrived: int, until: int, tariff: int, retry: bool, usual: float, whom: Whom
    ) -> Verdict:
        """A request was read that came at `arrived`; one that is to go or wait is followed by `left`.

        Guards the core against work for clients that will have gone, and against more threads that run at
        once than it can bring to an end in time: each would wait for all others, over and over.
        """
        self.wait += STEP * (now - arrived - self.wait)
        if self.active < PLACES:
            if now + usual >= until:
                return self.away(now)
            self.active += 1
            self.taken += 1
            return Verdict.GO
        limit = self.limit(tariff, retry, arrived, until, usual)
        if len(self.waiting) >= self.most_waiting or now + (len(self.waiting) + 1) * self.interval > limit:
            return self.away(now)
        self.waiting.append((limit, whom))
        return Verdict.WAIT

    def answered(self, out: int) -> None:
        """An answer was passed on, so long after it reached this machine."""
        self.out += STEP * (out - self.out)

    def again(self, whom: Whom) -> bool:
        """One that was taken up goes on after a wait elsewhere; False if it waits until `left` names it.

        Before all that are not taken up yet: guards what has cost already against what has not.
        """
        if self.active < PLACES:
            self.active += 1
            return True
        self.returning.append(whom)
        return False

    def away(self, now: int) -> Verdict:
        self.turned += 1
        self.turned_at = now
        return Verdict.AWAY

    def left(self, now: int) -> tuple[Whom | None, list[Whom]]:
        """A place is free: who has it next, if any, and who is turned away, since its time is over."""
        if self.waiting and self.last and not self.returning:
            # Bounded, so that one long pause is not taken for what each costs.
            self.interval += STEP * (min(now - self.last, 10.0 * self.interval) - self.interval)
        turned: list[Whom] = []
        if self.returning:
            return self.returning.popleft(), turned
        while self.waiting:
            limit, whom = self.waiting.popleft()
            if now <= limit:
                self.last = now
                self.taken += 1
                return whom, turned
            self.away(now)
            turned.append(whom)
        self.last = 0
        self.active -= 1
        return None, turned

    def back(self, tariff: int) -> int:
        """When a client that is turned away should come back: spread, and later the longer others wait."""
        agreed = self.tariffs[min(tariff, len(self.tariffs) - 1)].latency_target
        times = min(MOST_BACK, 1.0 + 2.0 * len(self.waiting) * self.interval / max(1, agreed))
        return min(self.most_back, int(agreed * times * (0.5 + self.chance.next_float())))

    def beat(self, now: int) -> str:
        """At even times: sets the pause, and tells what has changed of the mode, if anything.

        Guards the core against clients that come back at once: about as many are turned away as are taken up.
        A client that comes back when it was told to finds the pause over.
        """
        taken, turned = self.taken - self.beaten[0], self.turned - self.beaten[1]
        self.beaten = (self.taken, self.turned)
        if turned > REFUSED_PART * taken:
            self.pause = min(self.longest_pause, max(PAUSE, self.pause * 3 // 2))
        else:
            self.pause = self.pause * 3 // 4 if self.pause > PAUSE else 0
        if not self.told and self.turned > self.told_turned:
            self.told = True
            return (
                f"intake on: requests waited {self.wait / 1e3:.1f} ms to be read, {len(self.waiting)} "
                f"wait to be taken up, one each {self.interval / 1e3:.2f} ms"
            )
        if self.told and now - self.turned_at > CALM:
            turned, self.told_turned, self.told = self.turned - self.told_turned, self.turned, False
            return f"intake off: {turned} were turned away, requests wait {self.wait / 1e3:.1f} ms to be read"
        return ""
