"""Measures how late the sidecar's own threads run on a busy core, by the delay of a periodic timer.

Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

from .admission_gate import AdmissionGate
from .exchange import ExchangeOwner

BUSY_INTERVAL_US = 25_000  # between measurements
IDLE_INTERVAL_US = 100_000  # while no requests arrive, as many idle sidecars may share a machine
DECAY = 7 / 8  # of the delay, from one measurement to the next


class DelayMonitor:
    """Keeps `delay`, which rises at once to the latest measurement and then falls slowly.

    Also lets the admission queue adjust its mode at the same intervals.
    """

    def __init__(self, owner: ExchangeOwner, admission_gate: AdmissionGate) -> None:
        self.owner = owner
        self.admission_gate = admission_gate
        self.due_at = 0
        self.delay = 0
        self.requests_seen = 0

    def on_timer(self, now: int) -> None:
        """Measure the delay of this timer, update the admission queue, and set the next timer."""
        late = now - self.due_at if self.due_at else 0
        self.delay = max(late, int(self.delay * DECAY))
        change = self.admission_gate.queue.update_pause(now)
        if change:
            self.owner.log(change)
        requests_seen = self.admission_gate.queue.admitted + self.admission_gate.queue.rejected
        self.due_at = now + (
            BUSY_INTERVAL_US
            if requests_seen != self.requests_seen or self.delay > BUSY_INTERVAL_US
            else IDLE_INTERVAL_US
        )
        self.requests_seen = requests_seen
        self.owner.set_timer(self.due_at, self)
