"""How far behind the sidecar is: the delay with which its threads get their turn on a crowded core."""

from __future__ import annotations

from .entrance import Entrance
from .exchange import Owner

BEAT = 25_000
REST = 100_000  # between two beats while nothing comes: many sidecars at rest share a machine
KEPT = 7 / 8  # of the delay, from one beat to the next


class Pace:
    def __init__(self, owner: Owner, entrance: Entrance) -> None:
        self.owner = owner
        self.entrance = entrance
        self.due = 0
        self.behind = 0
        self.met = 0

    def on_timer(self, now: int) -> None:
        late = now - self.due if self.due else 0
        self.behind = max(late, int(self.behind * KEPT))
        change = self.entrance.intake.update_pause(now)
        if change:
            self.owner.log(change)
        met = self.entrance.intake.admitted + self.entrance.intake.rejected
        self.due = now + (BEAT if met != self.met or self.behind > BEAT else REST)
        self.met = met
        self.owner.set_timer(self.due, self)
