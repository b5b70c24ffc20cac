"""How far behind the sidecar is: the delay with which its threads get their turn on a crowded core."""

from __future__ import annotations

from .admission_gate import AdmissionGate
from .exchange import ExchangeOwner

BUSY_INTERVAL_US = 25_000
IDLE_INTERVAL_US = 100_000  # between two beats while nothing comes: many sidecars at rest share a machine
DECAY = 7 / 8  # of the delay, from one beat to the next


class DelayMonitor:
    def __init__(self, owner: ExchangeOwner, admission_gate: AdmissionGate) -> None:
        self.owner = owner
        self.admission_gate = admission_gate
        self.due_at = 0
        self.delay = 0
        self.requests_seen = 0

    def on_timer(self, now: int) -> None:
        late = now - self.due_at if self.due_at else 0
        self.delay = max(late, int(self.delay * DECAY))
        change = self.admission_gate.queue.update_pause(now)
        if change:
            self.owner.log(change)
        met = self.admission_gate.queue.admitted + self.admission_gate.queue.rejected
        self.due_at = now + (
            BUSY_INTERVAL_US
            if met != self.requests_seen or self.delay > BUSY_INTERVAL_US
            else IDLE_INTERVAL_US
        )
        self.requests_seen = met
        self.owner.set_timer(self.due_at, self)
