"""Which relay a sidecar follows: its order of them, what follows a failure, and the way back; pure.

Make one with the sidecar's name and the relays; `at` is the relay to be called.  Tell it of each call or dial
that failed (`failed`, which says how long to wait before the next dial) and of each answer (`answered`, which
says whether to leave for another `at` now).  Times are whole microseconds of any clock that does not run
backwards, `share` draws from 0 to 1.

Each sidecar has an order of its own (rendezvous hashing: Thaler and Ravishankar, 1998), so the followers of a
relay that dies go to all others alike, and nobody else moves.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from hashlib import blake2b

FIRST_US = 500_000  # within which followers of a relay that has failed go elsewhere
# Between two failures in a row.  Guards the 6 s after which a change counts as told, once a relay can be
# reached again: this wait, a dial and an answer have to fit.
LONGEST_US = 4_000_000
HOME_US = 60_000_000  # away from the first, until it is tried again; drawn, from half to 1.5 times
LOOK_US = 10_000_000  # with a region out of touch, until the next is looked at; drawn from half to all
SOONER = 20  # where none is in touch: the relay itself may be what is cut off
RARELY_US = 300_000_000  # what both are doubled to where that was in vain
WELL_US = 60_000_000  # with all regions in touch, until looking begins anew with the shortest wait


def weight(relay: str, name: str) -> int:
    """The same at every start; of all relays the one with the most is a sidecar's first."""
    return int.from_bytes(blake2b(f"{relay} {name}".encode("utf-8", "replace"), digest_size=8).digest())


class Homes:
    """The order of relays of one sidecar, and its place in it."""

    def __init__(self, name: str, relays: Sequence[str], share: Callable[[], float]) -> None:
        """Raises ValueError where no relay is named."""
        if not relays:
            raise ValueError("no relays")
        self.order = sorted(set(relays), key=lambda relay: (-weight(relay, name), relay))
        self.share = share
        self.place = 0
        self.failures = 0  # in a row, by relays that are there
        self.absent = 0  # in a row, by such as can't be dialled
        self.why = ""  # of the last change of `at`
        self.before: tuple[int, int] | None = None  # while another is tried: the place left, its live regions
        self.home_at = 0  # when the first is tried again; 0: it is the one followed
        self.home_span = HOME_US
        self.look_at = 0  # when another is looked at; 0: all regions are in touch here
        self.look_span = LOOK_US
        self.looked = 0  # the place that was looked at last
        self.well_since = -1

    @property
    def at(self) -> str:
        return self.order[self.place]

    def failed(self, now: int, absent: bool = False) -> int:
        """A call to `at` failed: the microseconds to wait before `at`, now another, is dialled.

        `absent`: it could not even be dialled.
        """
        self.look_at, self.well_since = 0, -1
        if self.before is not None:
            # Only tried, beside one that answers: that is the one to go back to, and no failure of it.
            self.turn_back(now, "tried in vain")
            return 0
        self.go(now, (self.place + 1) % len(self.order), "failed")
        if absent and 0 < self.failures + self.absent < len(self.order):
            # Guards what has changed meanwhile against a part of the relays that are lost together: those
            # that are not there cost the others nothing, so one round of them is quick.
            self.absent += 1
            return self.drawn(FIRST_US)
        self.failures += 1
        if self.failures == 1:
            return int(FIRST_US * self.share())
        # Guards relays that come back against all sidecars at once, and this sidecar's core.
        return self.drawn(min(LONGEST_US, FIRST_US << min(self.failures - 1, 10)))

    def answered(self, now: int, live: int, out: int) -> bool:
        """An answer of `at` came, by which so many regions are in touch, and so many not.

        True: `at` is another from now on, to be dialled at once.
        """
        self.failures = self.absent = 0
        if self.before is not None:
            if live < self.before[1]:
                self.turn_back(now, "fewer regions in touch")
                return True
            self.before = None
        if self.place == 0:
            self.home_at, self.home_span = 0, HOME_US
        elif now >= self.home_at:
            self.attempt(now, 0, live, "back to the first")
            return True
        return self.looks(now, live, out)

    def looks(self, now: int, live: int, out: int) -> bool:
        """Whether another relay is looked at, as a region has been out of touch here for long enough."""
        if not out:
            self.look_at = 0
            if self.well_since < 0:
                self.well_since = now
            elif now - self.well_since >= WELL_US:
                self.look_span = LOOK_US
            return False
        self.well_since = -1
        if not self.look_at and live:
            self.look_at = now + self.drawn(self.look_span)
        elif not live:
            # Guards what changes meanwhile, told as of 6 s later, against a relay that hears nothing
            # of any origin where others do: after 2.4 s it knows, and tells its followers over a second.
            # Also where it has told of one region before the others.
            soon = now + (self.drawn(self.look_span // SOONER) if self.look_span > LOOK_US else 0)
            self.look_at = min(self.look_at or soon, soon)
        if now < self.look_at or len(self.order) < 2:
            return False
        # Guards relays against sidecars that look about for as long as a region is cut off from all.
        self.look_span = min(RARELY_US, 2 * self.look_span)
        self.looked = (self.looked + 1) % len(self.order)
        if self.looked == self.place:
            self.looked = (self.looked + 1) % len(self.order)
        self.attempt(now, self.looked, live, "a region is out of touch")
        return True

    def attempt(self, now: int, place: int, live: int, why: str) -> None:
        self.before = self.place, live
        self.look_at = 0
        self.go(now, place, why)

    def turn_back(self, now: int, why: str) -> None:
        assert self.before is not None
        place, self.before = self.before[0], None
        if self.place == 0:
            # Guards a first that stays away or is cut off against being tried for ever each minute.
            self.home_span = min(RARELY_US, 2 * self.home_span)
            self.home_at = 0
        self.look_at = 0
        self.go(now, place, why)

    def go(self, now: int, place: int, why: str) -> None:
        if place != self.place:
            self.why = why
        self.place = place
        if place and not self.home_at:
            self.home_at = now + self.home_span // 2 + int(self.home_span * self.share())

    def drawn(self, span: int) -> int:
        """From half to all of it."""
        return span // 2 + int(span * self.share() / 2)
