"""Rate limit for whole lists: one token bucket of bytes for all followers, which queue for their turns.

    limiter = ListRateLimiter(bytes_per_s)
    limiter.admit(number, size, now)    # False: it would wait too long, so reject it at once
    limiter.take_next(now)              # the follower to serve now, or None; then limiter.charge(bytes)
    limiter.take_overdue(now)           # those that have waited too long after all

A queued follower costs only its entry here. When a relay fails, its followers move to the others and each
wants the whole list; without the limit this would delay changes for those that follow already.
"""

from __future__ import annotations

MAX_QUEUE_US = 2_000_000  # in the queue: a caller takes 3 s of silence for a failure
BURST_S = 0.25  # seconds of the rate that may go out at once after an idle time
NEVER = 1 << 62


class ListRateLimiter:
    """The token bucket and the queue of followers that wait for a whole list."""

    def __init__(self, bytes_per_s: int) -> None:
        self.rate = bytes_per_s
        self.burst_bytes = bytes_per_s * BURST_S
        self.tokens = self.burst_bytes
        self.refilled_at = 0
        self.queue: dict[int, tuple[int, int]] = {}  # by follower, in order: size in bytes, time of arrival
        self.queued_bytes = 0

    def refill(self, now: int) -> None:
        """Add the tokens of the time since the last call."""
        self.tokens = min(self.burst_bytes, self.tokens + max(0, now - self.refilled_at) * self.rate / 1e6)
        self.refilled_at = now

    def admit(self, number: int, size: int, now: int) -> bool:
        """Queue a follower for a list of `size` bytes; False if it would wait too long."""
        self.refill(now)
        if (self.queued_bytes - self.tokens) * 1e6 / self.rate > MAX_QUEUE_US:
            return False
        self.leave(number)
        self.queue[number] = (size, now)
        self.queued_bytes += size
        return True

    def leave(self, number: int) -> None:
        """Remove a follower from the queue, if it is there."""
        size, _ = self.queue.pop(number, (0, 0))
        self.queued_bytes -= size

    def take_next(self, now: int) -> int | None:
        """The next follower, once there are tokens for what went out before; None if there is none."""
        if not self.queue:
            return None
        self.refill(now)
        if self.tokens < 0:
            return None
        number = next(iter(self.queue))
        self.leave(number)
        return number

    def charge(self, size: int) -> None:
        """Take the tokens of a list that goes out; the bucket may become negative."""
        self.tokens -= size

    def take_overdue(self, now: int) -> list[int]:
        """Remove those that have waited too long, as the lists before them grew after they were admitted."""
        overdue = []
        for number, (_, arrived_at) in self.queue.items():
            if now - arrived_at <= MAX_QUEUE_US:
                break
            overdue.append(number)
        for number in overdue:
            self.leave(number)
        return overdue

    def is_idle(self, now: int) -> bool:
        """Whether the queue is empty and there are tokens for what went out."""
        self.refill(now)
        return not self.queue and self.tokens >= 0

    def next_timer(self, now: int) -> int:
        """When `take_next` may return a follower."""
        if not self.queue:
            return NEVER
        self.refill(now)
        return now + 1 + int(max(0.0, -self.tokens) * 1e6 / self.rate)
