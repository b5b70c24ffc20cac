"""How far behind the sidecar is: the delay with which its threads get their turn on a crowded core."""

from __future__ import annotations

from ..interface import Wakeable
from .exchange import Owner

BEAT = 50_000
KEPT = 7 / 8                # of the delay, from one beat to the next


class Pace(Wakeable):
    def __init__(self, owner: Owner) -> None:
        self.owner = owner
        self.due = 0
        self.behind = 0

    def woke(self, now: int) -> None:
        late = now - self.due if self.due else 0
        self.behind = max(late, int(self.behind * KEPT))
        self.due = now + BEAT
        self.owner.wake(self.due, self)
