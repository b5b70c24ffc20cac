"""Whole lists at a pace for all together: a token bucket of bytes, those that want one in turn.

    pace = Pace(bytes_per_s)
    pace.admit(number, size, now)       # False: it would wait too long; told so at once
    pace.turn(now)                      # who is served now, or None; then pace.spent(bytes)
    pace.overdue(now)                   # those that waited too long after all

Of a follower that waits nothing is held but its place.  Guards those that follow already against those that
come: when a relay dies its followers go to the others, and each wants the whole list.
"""

from __future__ import annotations

MAX_QUEUE_US = 2_000_000  # microseconds in the queue: the caller takes 3 s of silence for a failure
BURST_S = 0.25  # seconds of the rate that may go out at once after a rest
NEVER = 1 << 62


class ListRateLimiter:
    def __init__(self, bytes_per_s: int) -> None:
        self.rate = bytes_per_s
        self.burst_bytes = bytes_per_s * BURST_S
        self.tokens = self.burst_bytes
        self.refilled_at = 0
        self.queue: dict[int, tuple[int, int]] = {}  # number: size, and when it came; in turn
        self.queued_bytes = 0

    def refill(self, now: int) -> None:
        self.tokens = min(self.burst_bytes, self.tokens + max(0, now - self.refilled_at) * self.rate / 1e6)
        self.refilled_at = now

    def admit(self, number: int, size: int, now: int) -> bool:
        self.refill(now)
        if (self.queued_bytes - self.tokens) * 1e6 / self.rate > MAX_QUEUE_US:
            return False
        self.leave(number)
        self.queue[number] = (size, now)
        self.queued_bytes += size
        return True

    def leave(self, number: int) -> None:
        size, _ = self.queue.pop(number, (0, 0))
        self.queued_bytes -= size

    def take_next(self, now: int) -> int | None:
        """Whose turn it is, once what went out before is paid for."""
        if not self.queue:
            return None
        self.refill(now)
        if self.tokens < 0:
            return None
        number = next(iter(self.queue))
        self.leave(number)
        return number

    def charge(self, size: int) -> None:
        self.tokens -= size

    def take_overdue(self, now: int) -> list[int]:
        """Guards against a queue that got longer in bytes than it was when they came."""
        found = []
        for number, (_, came) in self.queue.items():
            if now - came <= MAX_QUEUE_US:
                break
            found.append(number)
        for number in found:
            self.leave(number)
        return found

    def is_idle(self, now: int) -> bool:
        """Whether nobody waits, and what went out is paid for."""
        self.refill(now)
        return not self.queue and self.tokens >= 0

    def next_timer(self, now: int) -> int:
        if not self.queue:
            return NEVER
        self.refill(now)
        return now + 1 + int(max(0.0, -self.tokens) * 1e6 / self.rate)
