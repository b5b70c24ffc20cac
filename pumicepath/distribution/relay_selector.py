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

FIRST_WAIT_US = 500_000  # within which followers of a relay that has failed go elsewhere
# Between two failures in a row.  Guards the 6 s after which a change counts as told, once a relay can be
# reached again: this wait, a dial and an answer have to fit.
MAX_WAIT_US = 4_000_000
HOME_RETRY_US = 60_000_000  # away from the first, until it is tried again; drawn, from half to 1.5 times
SEARCH_INTERVAL_US = (
    10_000_000  # with a region out of touch, until the next is looked at; drawn from half to all
)
SEARCH_SPEEDUP = 20  # where none is in touch: the relay itself may be what is cut off
MAX_RETRY_US = 300_000_000  # what both are doubled to where that was in vain
HEALTHY_RESET_US = 60_000_000  # with all regions in touch, until looking begins anew with the shortest wait


def weight(relay: str, name: str) -> int:
    """The same at every start; of all relays the one with the most is a sidecar's first."""
    return int.from_bytes(blake2b(f"{relay} {name}".encode("utf-8", "replace"), digest_size=8).digest())


class RelaySelector:
    """The order of relays of one sidecar, and its place in it."""

    def __init__(self, name: str, relays: Sequence[str], share: Callable[[], float]) -> None:
        """Raises ValueError where no relay is named."""
        if not relays:
            raise ValueError("no relays")
        self.order = sorted(set(relays), key=lambda relay: (-weight(relay, name), relay))
        self.uniform = share
        self.index = 0
        self.failures = 0  # in a row, by relays that are there
        self.unreachable = 0  # in a row, by such as can't be dialled
        self.change_reason = ""  # of the last change of `at`
        self.previous: tuple[int, int] | None = (
            None  # while another is tried: the place left, its live regions
        )
        self.home_retry_at = 0  # when the first is tried again; 0: it is the one followed
        self.home_retry_interval = HOME_RETRY_US
        self.search_at = 0  # when another is looked at; 0: all regions are in touch here
        self.search_interval = SEARCH_INTERVAL_US
        self.searched_index = 0  # the place that was looked at last
        self.healthy_since = -1

    @property
    def current(self) -> str:
        return self.order[self.index]

    def call_failed(self, now: int, unreachable: bool = False) -> int:
        """A call to `at` failed: the microseconds to wait before `at`, now another, is dialled.

        `absent`: it could not even be dialled.
        """
        self.search_at, self.healthy_since = 0, -1
        if self.previous is not None:
            # Only tried, beside one that answers: that is the one to go back to, and no failure of it.
            self.return_to_previous(now, "tried in vain")
            return 0
        self.switch_to(now, (self.index + 1) % len(self.order), "failed")
        if unreachable and 0 < self.failures + self.unreachable < len(self.order):
            # Guards what has changed meanwhile against a part of the relays that are lost together: those
            # that are not there cost the others nothing, so one round of them is quick.
            self.unreachable += 1
            return self.jittered(FIRST_WAIT_US)
        self.failures += 1
        if self.failures == 1:
            return int(FIRST_WAIT_US * self.uniform())
        # Guards relays that come back against all sidecars at once, and this sidecar's core.
        return self.jittered(min(MAX_WAIT_US, FIRST_WAIT_US << min(self.failures - 1, 10)))

    def call_answered(self, now: int, live: int, disconnected: int) -> bool:
        """An answer of `at` came, by which so many regions are in touch, and so many not.

        True: `at` is another from now on, to be dialled at once.
        """
        self.failures = self.unreachable = 0
        if self.previous is not None:
            if live < self.previous[1]:
                self.return_to_previous(now, "fewer regions in touch")
                return True
            self.previous = None
        if self.index == 0:
            self.home_retry_at, self.home_retry_interval = 0, HOME_RETRY_US
        elif now >= self.home_retry_at:
            self.try_relay(now, 0, live, "back to the first")
            return True
        return self.search(now, live, disconnected)

    def search(self, now: int, live: int, out: int) -> bool:
        """Whether another relay is looked at, as a region has been out of touch here for long enough."""
        if not out:
            self.search_at = 0
            if self.healthy_since < 0:
                self.healthy_since = now
            elif now - self.healthy_since >= HEALTHY_RESET_US:
                self.search_interval = SEARCH_INTERVAL_US
            return False
        self.healthy_since = -1
        if not self.search_at and live:
            self.search_at = now + self.jittered(self.search_interval)
        elif not live:
            # Guards what changes meanwhile, told as of 6 s later, against a relay that hears nothing
            # of any origin where others do: after 2.4 s it knows, and tells its followers over a second.
            # Also where it has told of one region before the others.
            soon = now + (
                self.jittered(self.search_interval // SEARCH_SPEEDUP)
                if self.search_interval > SEARCH_INTERVAL_US
                else 0
            )
            self.search_at = min(self.search_at or soon, soon)
        if now < self.search_at or len(self.order) < 2:
            return False
        # Guards relays against sidecars that look about for as long as a region is cut off from all.
        self.search_interval = min(MAX_RETRY_US, 2 * self.search_interval)
        self.searched_index = (self.searched_index + 1) % len(self.order)
        if self.searched_index == self.index:
            self.searched_index = (self.searched_index + 1) % len(self.order)
        self.try_relay(now, self.searched_index, live, "a region is out of touch")
        return True

    def try_relay(self, now: int, place: int, live: int, why: str) -> None:
        self.previous = self.index, live
        self.search_at = 0
        self.switch_to(now, place, why)

    def return_to_previous(self, now: int, why: str) -> None:
        assert self.previous is not None
        place, self.previous = self.previous[0], None
        if self.index == 0:
            # Guards a first that stays away or is cut off against being tried for ever each minute.
            self.home_retry_interval = min(MAX_RETRY_US, 2 * self.home_retry_interval)
            self.home_retry_at = 0
        self.search_at = 0
        self.switch_to(now, place, why)

    def switch_to(self, now: int, place: int, why: str) -> None:
        if place != self.index:
            self.change_reason = why
        self.index = place
        if place and not self.home_retry_at:
            self.home_retry_at = (
                now + self.home_retry_interval // 2 + int(self.home_retry_interval * self.uniform())
            )

    def jittered(self, span: int) -> int:
        """From half to all of it."""
        return span // 2 + int(span * self.uniform() / 2)
