"""Overload control of the sidecar itself: which requests are admitted, queued or rejected.

A first-come-first-served queue in front of the decisions, bounded by time rather than by length: a request is
rejected on arrival if it could not be answered in time behind those that wait already, and a waiting one is
rejected when its turn comes too late to answer it in time.  As in DAGOR (Zhou et al., "Overload Control for
Scaling WeChat Microservices", 2018) the signal of overload is queueing delay, not request rate or CPU usage,
and requests of lower value may wait for less time; as in CoDel (Nichols and Jacobson, 2012) the bound is a
delay.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import Generic, TypeVar

from ..balancer import SeededRandom
from ..interface import RequestClass

Waiter = TypeVar("Waiter")

# Requests processed at the same time; more threads would compete for the interpreter in no defined order.
MAX_ACTIVE = 4
RESERVE_FRACTION = 0.1  # of the latency target, kept as a reserve for unforeseen delay
MIN_WAIT_FRACTION = 0.25  # of the latency target that a request may wait even if its servers need the rest
LOW_VALUE_FRACTION = 0.8  # of the allowed wait, for a class whose value is zero beside the most valuable one
RETRY_FRACTION = 0.5  # of the allowed wait, for a client's retry; more if late answers still have a value
MAX_RETRY_AFTER_TARGETS = 4.0  # upper bound of retry_after, in latency targets
# Shortest pause before reading again from a connection on which a request was rejected.
MIN_PAUSE_US = 4_000
MAX_PAUSE_FRACTION = 0.1  # longest such pause, as a fraction of the shortest deadline of a request class
MAX_REJECTED_RATIO = 1.0  # rejected to admitted requests; above it the pause grows
QUIET_PERIOD_US = 1_000_000  # without a rejected request, after which the overload is over
EWMA_WEIGHT = 1 / 16  # of a new sample in the moving averages


class AdmissionResult(IntEnum):
    """What became of a request that was offered to the queue."""

    REJECTED = 0
    ADMITTED = 1
    QUEUED = 2


class AdmissionQueue(Generic[Waiter]):
    """The admission queue of one sidecar; the host serializes calls with a lock of its own.

    A waiter is the host's handle of a queued request.  Times and durations are whole microseconds.  Every
    call takes constant time, except that `release` takes time for each request that it rejects.
    """

    def __init__(
        self, request_classes: tuple[RequestClass, ...], max_retry_after: int, max_waiting: int, seed: int
    ) -> None:
        self.max_waiting = max_waiting
        self.rng = SeededRandom(seed)
        self.apply_settings(request_classes, max_retry_after)
        self.waiting: deque[tuple[int, Waiter]] = deque()  # with the latest time of admission
        self.resuming: deque[Waiter] = deque()  # admitted before, waiting for a slot to continue
        self.active = 0
        self.admission_interval = 300.0  # mean time between admissions while others wait
        self.last_admitted_at = 0  # from the queue; 0 once it has run empty
        self.read_delay = 0.0  # mean time from a request's arrival until it is read
        self.response_delay = 0.0  # mean time from a response's arrival until it is passed on
        self.rejected = 0  # since the start, as is `admitted`
        self.read_pause = 0  # before reading on from a connection whose request was rejected
        self.admitted = 0
        self.previous_counts = (0, 0)  # admitted and rejected at the last update of the pause
        self.overload_logged = False
        self.rejected_when_over = 0  # value of `rejected` when the last overload ended
        self.last_rejected_at = 0

    def apply_settings(self, request_classes: tuple[RequestClass, ...], max_retry_after: int) -> None:
        """Replace the request classes; requests that wait already keep the time limit they were given."""
        self.request_classes = request_classes
        self.max_retry_after = max_retry_after
        max_value = max(each.value for each in request_classes)
        self.wait_fractions = [
            LOW_VALUE_FRACTION
            + (1.0 - LOW_VALUE_FRACTION) * (each.value / max_value if max_value > 0 else 1.0)
            for each in request_classes
        ]
        self.late_fractions = [
            min(1.0, each.late_value / each.value) if each.value > 0 else 0.0 for each in request_classes
        ]
        self.max_pause = int(MAX_PAUSE_FRACTION * min(each.deadline for each in request_classes))

    def is_full(self) -> bool:
        """Return whether the next request would have to wait."""
        return self.active >= MAX_ACTIVE

    def admit_by(
        self, class_index: int, is_retry: bool, received_at: int, deadline_at: int, typical_latency: float
    ) -> int:
        """Return the latest time at which admitting a request still lets it be answered in time.

        `typical_latency` is the time that its servers usually need.  The wait that the latency target allows
        is scaled down for classes of lower value and for retries; a class whose late answers have a value
        may also use a fraction of the time between its latency target and its deadline.
        """
        # The request may have been read just before classes were removed; for its wait any class will do.
        class_index = min(class_index, len(self.request_classes) - 1)
        request_class = self.request_classes[class_index]
        remaining = typical_latency + self.response_delay
        on_time = max(
            MIN_WAIT_FRACTION * request_class.latency_target,
            (1.0 - RESERVE_FRACTION) * request_class.latency_target - remaining,
        )
        late = self.late_fractions[class_index]
        fraction = self.wait_fractions[class_index] * (max(RETRY_FRACTION, late) if is_retry else 1.0)
        max_wait = on_time * fraction + late * max(
            0.0, request_class.deadline - request_class.latency_target - remaining
        )
        return min(received_at + int(max_wait), deadline_at - int(remaining))

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
        """Decide on a request that was received at `received_at` and has just been read.

        A call of `release` must follow for a request that is admitted, now or later from the queue.

        Rejecting early saves the CPU from work for clients that would have gone by the time of the answer.
        The bound on active requests keeps too many threads from running at once: each would repeatedly wait
        for all others, and none would finish in time.
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
            len(self.waiting) >= self.max_waiting
            or now + (len(self.waiting) + 1) * self.admission_interval > limit
        ):
            return self.reject(now)
        self.waiting.append((limit, waiter))
        return AdmissionResult.QUEUED

    def record_response_delay(self, delay: int) -> None:
        """Record that a response was passed on to its client `delay` after it reached this machine."""
        self.response_delay += EWMA_WEIGHT * (delay - self.response_delay)

    def resume(self, waiter: Waiter) -> bool:
        """Ask for a slot for an admitted request that continues after waiting elsewhere, e.g. for its server.

        Returns False if it has to wait until `release` returns it.  It goes before all requests that are not
        admitted yet, since rejecting or delaying it would waste the work already done for it.
        """
        if self.active < MAX_ACTIVE:
            self.active += 1
            return True
        self.resuming.append(waiter)
        return False

    def reject(self, now: int) -> AdmissionResult:
        """Count a rejected request."""
        self.rejected += 1
        self.last_rejected_at = now
        return AdmissionResult.REJECTED

    def release(self, now: int) -> tuple[Waiter | None, list[Waiter]]:
        """Free a slot; return the waiter that has it next, if any, and those whose time limit has passed.

        The latter are rejected.
        """
        if self.waiting and self.last_admitted_at and not self.resuming:
            # Bounded, so that one long stall is not mistaken for the time that each request takes.
            self.admission_interval += EWMA_WEIGHT * (
                min(now - self.last_admitted_at, 10.0 * self.admission_interval) - self.admission_interval
            )
        expired: list[Waiter] = []
        if self.resuming:
            return self.resuming.popleft(), expired
        while self.waiting:
            limit, waiter = self.waiting.popleft()
            if now <= limit:
                self.last_admitted_at = now
                self.admitted += 1
                return waiter, expired
            self.reject(now)
            expired.append(waiter)
        self.last_admitted_at = 0
        self.active -= 1
        return None, expired

    def retry_after(self, class_index: int) -> int:
        """Return the time after which a rejected client should retry.

        It grows with the queueing delay and is randomized, so that rejected clients don't return all at once.
        """
        latency_target = self.request_classes[min(class_index, len(self.request_classes) - 1)].latency_target
        targets = min(
            MAX_RETRY_AFTER_TARGETS,
            1.0 + 2.0 * len(self.waiting) * self.admission_interval / max(1, latency_target),
        )
        return min(self.max_retry_after, int(latency_target * targets * (0.5 + self.rng.next_float())))

    def update_pause(self, now: int) -> str:
        """Adapt the pause; return a log line if an overload has begun or ended, else an empty string.

        Called periodically.  The pause keeps clients that retry at once from using up the CPU with
        rejections: it is adapted until about as many requests are rejected as are admitted.  A client that
        waits for the retry_after it was given finds the pause over.
        """
        admitted, rejected = self.admitted - self.previous_counts[0], self.rejected - self.previous_counts[1]
        self.previous_counts = (self.admitted, self.rejected)
        if rejected > MAX_REJECTED_RATIO * admitted:
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
            rejected, self.rejected_when_over, self.overload_logged = (
                self.rejected - self.rejected_when_over,
                self.rejected,
                False,
            )
            return (
                f"intake off: {rejected} were turned away, requests wait {self.read_delay / 1e3:.1f} ms "
                "to be read"
            )
        return ""
