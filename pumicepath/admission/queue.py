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

Waiter = TypeVar("Whom")

MAX_ACTIVE = 4  # that may be taken up at once: more would wait for the interpreter in no order
RESERVE_FRACTION = 0.1  # of the agreed time kept for what is not foreseen
MIN_WAIT_FRACTION = 0.25  # of the agreed time that may be waited where servers leave less
LOW_VALUE_FRACTION = 0.8  # of that time for what gains nothing beside the dearest
RETRY_FRACTION = 0.5  # of it at least for a client's retry
MAX_RETRY_AFTER_TARGETS = 4.0  # agreed times, at the most, after which clients are asked to come back
MIN_PAUSE_US = 4_000  # the first, before a connection is read again on which one was turned away
MAX_PAUSE_FRACTION = 0.1  # of the shortest patience, the longest
MAX_REJECTED_RATIO = 1.0  # of what is taken up, how much may be turned away before the pause grows
QUIET_PERIOD_US = 1_000_000  # without a request turned away, until the mode is over
EWMA_WEIGHT = 1 / 16  # of a sample in the means


class AdmissionResult(IntEnum):
    REJECTED = 0
    ADMITTED = 1
    QUEUED = 2


class AdmissionQueue(Generic[Waiter]):
    """One for a sidecar; the host calls it under a lock of its own.

    Times are whole microseconds.  What a call costs grows with nothing, but for those that `left` turns away.
    """

    def __init__(
        self, request_classes: tuple[RequestClass, ...], max_retry_after: int, max_waiting: int, seed: int
    ) -> None:
        self.most_waiting = max_waiting
        self.rng = SeededRandom(seed)
        self.apply_settings(request_classes, max_retry_after)
        self.waiting: deque[tuple[int, Waiter]] = deque()
        self.resuming: deque[Waiter] = deque()
        self.active = 0
        self.admission_interval = 300.0  # between two that are taken up while others wait
        self.last_admitted_at = 0  # when one was, if others waited then
        self.read_delay = 0.0  # that requests have had before they were read
        self.response_delay = 0.0  # that answers have had before they were passed on
        self.rejected = 0
        self.read_pause = 0  # before a connection is read again on which one was turned away
        self.admitted = 0
        self.previous_counts = (0, 0)
        self.overload_logged = False
        self.rejected_when_over = 0
        self.last_rejected_at = 0

    def apply_settings(self, request_classes: tuple[RequestClass, ...], max_retry_after: int) -> None:
        """Judge by other tariffs from now on; what waits keeps the limit that it was given."""
        self.tariffs = request_classes
        self.most_back = max_retry_after
        dearest = max(one.value for one in request_classes)
        self.wait_fractions = [
            LOW_VALUE_FRACTION + (1.0 - LOW_VALUE_FRACTION) * (one.value / dearest if dearest > 0 else 1.0)
            for one in request_classes
        ]
        self.late_fractions = [
            min(1.0, one.late_value / one.value) if one.value > 0 else 0.0 for one in request_classes
        ]
        self.max_pause = int(MAX_PAUSE_FRACTION * min(one.deadline for one in request_classes))

    def is_full(self) -> bool:
        """Whether the next one would have to wait."""
        return self.active >= MAX_ACTIVE

    def admit_by(
        self, class_index: int, is_retry: bool, received_at: int, deadline_at: int, typical_latency: float
    ) -> int:
        """By when a request must be taken up to be worth it, if it then takes `usual` at the servers."""
        # Guards a request that was read just before these tariffs came: any of them does for its wait.
        class_index = min(class_index, len(self.tariffs) - 1)
        one = self.tariffs[class_index]
        rest = typical_latency + self.response_delay
        agreed = max(
            MIN_WAIT_FRACTION * one.latency_target, (1.0 - RESERVE_FRACTION) * one.latency_target - rest
        )
        late = self.late_fractions[class_index]
        part = self.wait_fractions[class_index] * (max(RETRY_FRACTION, late) if is_retry else 1.0)
        span = agreed * part + late * max(0.0, one.deadline - one.latency_target - rest)
        return min(received_at + int(span), deadline_at - int(rest))

    def offer(
        self,
        now: int,
        received_at: int,
        deadline_at: int,
        class_index: int,
        is_retry: bool,
        typical_latency: float,
        waiter: Waiter,
    ) -> AdmissionResult:
        """A request was read that came at `arrived`; one that is to go or wait is followed by `left`.

        Guards the core against work for clients that will have gone, and against more threads that run at
        once than it can bring to an end in time: each would wait for all others, over and over.
        """
        self.read_delay += EWMA_WEIGHT * (now - received_at - self.read_delay)
        if self.active < MAX_ACTIVE:
            if now + typical_latency >= deadline_at:
                return self.reject(now)
            self.active += 1
            self.admitted += 1
            return AdmissionResult.ADMITTED
        limit = self.admit_by(class_index, is_retry, received_at, deadline_at, typical_latency)
        if (
            len(self.waiting) >= self.most_waiting
            or now + (len(self.waiting) + 1) * self.admission_interval > limit
        ):
            return self.reject(now)
        self.waiting.append((limit, waiter))
        return AdmissionResult.QUEUED

    def record_response_delay(self, delay: int) -> None:
        """An answer was passed on, so long after it reached this machine."""
        self.response_delay += EWMA_WEIGHT * (delay - self.response_delay)

    def resume(self, waiter: Waiter) -> bool:
        """One that was taken up goes on after a wait elsewhere; False if it waits until `left` names it.

        Before all that are not taken up yet: guards what has cost already against what has not.
        """
        if self.active < MAX_ACTIVE:
            self.active += 1
            return True
        self.resuming.append(waiter)
        return False

    def reject(self, now: int) -> AdmissionResult:
        self.rejected += 1
        self.last_rejected_at = now
        return AdmissionResult.REJECTED

    def release(self, now: int) -> tuple[Waiter | None, list[Waiter]]:
        """A place is free: who has it next, if any, and who is turned away, since its time is over."""
        if self.waiting and self.last_admitted_at and not self.resuming:
            # Bounded, so that one long pause is not taken for what each costs.
            self.admission_interval += EWMA_WEIGHT * (
                min(now - self.last_admitted_at, 10.0 * self.admission_interval) - self.admission_interval
            )
        turned: list[Waiter] = []
        if self.resuming:
            return self.resuming.popleft(), turned
        while self.waiting:
            limit, whom = self.waiting.popleft()
            if now <= limit:
                self.last_admitted_at = now
                self.admitted += 1
                return whom, turned
            self.reject(now)
            turned.append(whom)
        self.last_admitted_at = 0
        self.active -= 1
        return None, turned

    def retry_after(self, class_index: int) -> int:
        """When a client that is turned away should come back: spread, and later the longer others wait."""
        agreed = self.tariffs[min(class_index, len(self.tariffs) - 1)].latency_target
        times = min(
            MAX_RETRY_AFTER_TARGETS, 1.0 + 2.0 * len(self.waiting) * self.admission_interval / max(1, agreed)
        )
        return min(self.most_back, int(agreed * times * (0.5 + self.rng.next_float())))

    def update_pause(self, now: int) -> str:
        """At even times: sets the pause, and tells what has changed of the mode, if anything.

        Guards the core against clients that come back at once: about as many are turned away as are taken up.
        A client that comes back when it was told to finds the pause over.
        """
        taken, turned = self.admitted - self.previous_counts[0], self.rejected - self.previous_counts[1]
        self.previous_counts = (self.admitted, self.rejected)
        if turned > MAX_REJECTED_RATIO * taken:
            self.read_pause = min(self.max_pause, max(MIN_PAUSE_US, self.read_pause * 3 // 2))
        else:
            self.read_pause = self.read_pause * 3 // 4 if self.read_pause > MIN_PAUSE_US else 0
        if not self.overload_logged and self.rejected > self.rejected_when_over:
            self.overload_logged = True
            return (
                f"intake on: requests waited {self.read_delay / 1e3:.1f} ms to be read, {len(self.waiting)} "
                f"wait to be taken up, one each {self.admission_interval / 1e3:.2f} ms"
            )
        if self.overload_logged and now - self.last_rejected_at > QUIET_PERIOD_US:
            turned, self.rejected_when_over, self.overload_logged = (
                self.rejected - self.rejected_when_over,
                self.rejected,
                False,
            )
            return f"intake off: {turned} were turned away, requests wait {self.read_delay / 1e3:.1f} ms to be read"
        return ""
