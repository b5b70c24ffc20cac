"""How often connections to servers prove to be reset after a rest, by how long they rested."""

from __future__ import annotations

MIN_SAMPLES = 5  # uses after idle times of similar length, below which resets are not judged
DECAY = 0.99  # of those counts, each time the idle connections are checked


class IdleResetTracker:
    """Counts how often the first hop on an idle connection is reset, by idle time.

    Servers, and devices in front of them, may silently drop idle connections earlier than configured.  A hop
    on such a connection is reset, and a non-idempotent one can't be retried.  Idle times are grouped by
    powers of two of microseconds, and old counts decay.
    """

    def __init__(self) -> None:
        self.uses = [0.0] * 64
        self.resets = [0.0] * 64

    def record(self, idle_us: int, reset: bool) -> None:
        """Count a use after an idle time, and whether it was reset."""
        bucket = idle_us.bit_length()
        self.uses[bucket] += 1
        self.resets[bucket] += reset

    def is_safe(self, idle_us: int) -> bool:
        """Whether a connection idle for so long is reset about as rarely as others, or little is known."""
        bucket = idle_us.bit_length()
        mean_rate = sum(self.resets) / max(1.0, sum(self.uses))
        return (
            self.uses[bucket] < MIN_SAMPLES or self.resets[bucket] < (2 * mean_rate + 0.1) * self.uses[bucket]
        )

    def decay(self) -> None:
        """Reduce the weight of all counts so far."""
        self.uses = [count * DECAY for count in self.uses]
        self.resets = [count * DECAY for count in self.resets]
