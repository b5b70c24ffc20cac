"""Whether a client goes on sending a request that it has begun: a leaky bucket of the time spent waiting.

    rate = SendingRate(now)
    rate.received(now, 4096)
    if rate.is_too_slow(now): ...

Waiting fills the bucket and received bytes drain it, at MIN_BYTES_PER_US.  It is never less than empty: what
a client sent early, however quickly, does not pay for silence later on.  Written by the connection's own
thread; other threads may read it.  Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

MIN_BYTES_PER_US = 0.048  # 48 kB/s, on average over the time spent waiting
MAX_WAITING_US = 2_400_000  # in the bucket; with the interval between checks within the 3 s of bad clients
STALLED_AFTER_US = 300_000  # of silence, where places are scarce
STALLED_PAUSE_RATIO = 2  # times the longest pause that the client has ended by sending on


class SendingRate:
    """The bucket of one connection; `waiting_since` is 0 while nothing is expected of the client."""

    __slots__ = ("waiting_since", "waited", "longest_pause")

    def __init__(self, now: int) -> None:
        self.restart(now)

    def restart(self, now: int) -> None:
        """Begin with an empty bucket, as a new request has begun."""
        self.waited = 0.0
        self.longest_pause = 0
        self.waiting_since = now

    def wait(self, now: int) -> None:
        """Note that more is expected of the client from now on, unless it already was."""
        if not self.waiting_since:
            self.waiting_since = now

    def pause(self) -> None:
        """Note that nothing is expected of the client, as what it sent is still being passed on."""
        self.waiting_since = 0

    def received(self, now: int, count: int) -> None:
        """Note that `count` bytes arrived at `now`, and that more are expected."""
        pause = self.silence(now)
        # Before the sum: another thread that reads in between must not count this pause twice.
        self.waiting_since = now
        self.waited = max(0.0, self.waited + pause - count / MIN_BYTES_PER_US)
        self.longest_pause = max(self.longest_pause, pause)

    def silence(self, now: int) -> int:
        """For how long nothing has come that is expected."""
        since = self.waiting_since
        return max(0, now - since) if since else 0

    def is_too_slow(self, now: int) -> bool:
        """Whether the client has been silent, or slower than the least rate, for too long."""
        return self.waited + self.silence(now) >= MAX_WAITING_US

    def has_stalled(self, now: int) -> bool:
        """Whether the client may have stopped: its silence is unlike its earlier pauses."""
        return self.silence(now) >= max(STALLED_AFTER_US, STALLED_PAUSE_RATIO * self.longest_pause)
