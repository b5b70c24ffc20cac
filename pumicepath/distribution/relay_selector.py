"""Choice of the relay that a sidecar follows: its order of relays, failover and the return to the first.

Make a `RelaySelector` with the sidecar's name and the relays; `current` is the relay to call. Pass it each
failed call or dial (`call_failed`, which returns the wait before the next dial) and each answer
(`call_answered`, which returns whether to move to another `current` now). Times are whole microseconds of
any monotonic clock; `uniform` draws from 0 to 1.

Each sidecar has its own order (rendezvous hashing, Thaler and Ravishankar 1998), so the followers of a failed
relay spread evenly over all others, and no other sidecar moves.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from hashlib import blake2b

FIRST_WAIT_US = 500_000  # within which the followers of a failed relay move to others
# Longest wait between failures in a row. A change has to reach sidecars within 6 s once a relay is
# reachable again: this wait, a dial and an answer have to fit into that time.
MAX_WAIT_US = 4_000_000
HOME_RETRY_US = 60_000_000  # until the first relay is tried again; randomised from half to 1.5 times
# With a region out of touch: until another relay is tried; randomised from half to the whole.
SEARCH_INTERVAL_US = 10_000_000
SEARCH_SPEEDUP = 20  # if all regions are out of touch: the relay itself may be cut off
MAX_RETRY_US = 300_000_000  # both intervals are doubled after each vain try, up to this
HEALTHY_RESET_US = 60_000_000  # with all regions in touch, until the search interval is the shortest again


def weight(relay: str, name: str) -> int:
    """Rendezvous weight, the same at every start; the relay with the highest one is a sidecar's first."""
    return int.from_bytes(blake2b(f"{relay} {name}".encode("utf-8", "replace"), digest_size=8).digest())


class RelaySelector:
    """The order of relays of one sidecar, and which of them it follows."""

    def __init__(self, name: str, relays: Sequence[str], uniform: Callable[[], float]) -> None:
        """Raises ValueError if there are no relays."""
        if not relays:
            raise ValueError("no relays")
        self.order = sorted(set(relays), key=lambda relay: (-weight(relay, name), relay))
        self.uniform = uniform
        self.index = 0
        self.failures = 0  # in a row, of relays that can be dialled
        self.unreachable = 0  # in a row, of relays that can't be dialled
        self.change_reason = ""  # of the last change of `current`
        # While another relay is tried: the former index, and how many regions were live there.
        self.previous: tuple[int, int] | None = None
        self.home_retry_at = 0  # when the first relay is tried again; 0 while it is followed
        self.home_retry_interval = HOME_RETRY_US
        self.search_at = 0  # when another relay is tried; 0 while all regions are in touch here
        self.search_interval = SEARCH_INTERVAL_US
        self.searched_index = 0  # of the relay that was tried last
        self.healthy_since = -1

    @property
    def current(self) -> str:
        """The relay to call."""
        return self.order[self.index]

    def call_failed(self, now: int, unreachable: bool = False) -> int:
        """Move on after a failed call; return the microseconds to wait before the new `current` is dialled.

        `unreachable`: the relay could not even be dialled.
        """
        self.search_at, self.healthy_since = 0, -1
        if self.previous is not None:
            # It was only tried while another one answered: return to that one, without counting a failure.
            self.return_to_previous(now, "tried in vain")
            return 0
        self.switch_to(now, (self.index + 1) % len(self.order), "failed")
        if unreachable and 0 < self.failures + self.unreachable < len(self.order):
            # Some relays may have failed together. Dials of relays that are down cost the others nothing, so
            # one round through the order is quick; otherwise changes of the list would arrive late.
            self.unreachable += 1
            return self.jittered(FIRST_WAIT_US)
        self.failures += 1
        if self.failures == 1:
            return int(FIRST_WAIT_US * self.uniform())
        # Backs off: relays that return must not be called by all sidecars at once, and dials take CPU here.
        return self.jittered(min(MAX_WAIT_US, FIRST_WAIT_US << min(self.failures - 1, 10)))

    def call_answered(self, now: int, live: int, disconnected: int) -> bool:
        """Handle an answer of `current`, which has `live` regions in touch and `disconnected` ones not.

        Returns whether `current` is another relay now, to be dialled at once.
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

    def search(self, now: int, live: int, disconnected: int) -> bool:
        """Try another relay, once a region has been out of touch here for long enough; whether it did."""
        if not disconnected:
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
            # This relay receives nothing from any origin, others may. Changes count as delivered after 6 s:
            # it takes the relay 2.4 s to notice and 1 s to notify its followers, so search soon. This also
            # holds if it reported one region out of touch before the others.
            soon = now + (
                self.jittered(self.search_interval // SEARCH_SPEEDUP)
                if self.search_interval > SEARCH_INTERVAL_US
                else 0
            )
            self.search_at = min(self.search_at or soon, soon)
        if now < self.search_at or len(self.order) < 2:
            return False
        # Doubles: while a region is cut off from all relays, sidecars must not move around all the time.
        self.search_interval = min(MAX_RETRY_US, 2 * self.search_interval)
        self.searched_index = (self.searched_index + 1) % len(self.order)
        if self.searched_index == self.index:
            self.searched_index = (self.searched_index + 1) % len(self.order)
        self.try_relay(now, self.searched_index, live, "a region is out of touch")
        return True

    def try_relay(self, now: int, index: int, live: int, reason: str) -> None:
        """Move to another relay, and remember the present one, which answers, in case that is worse."""
        self.previous = self.index, live
        self.search_at = 0
        self.switch_to(now, index, reason)

    def return_to_previous(self, now: int, reason: str) -> None:
        """Return to the relay that was followed before the one that was tried."""
        assert self.previous is not None
        index, self.previous = self.previous[0], None
        if self.index == 0:
            # Doubles: a first relay that stays down or cut off must not be tried once a minute for ever.
            self.home_retry_interval = min(MAX_RETRY_US, 2 * self.home_retry_interval)
            self.home_retry_at = 0
        self.search_at = 0
        self.switch_to(now, index, reason)

    def switch_to(self, now: int, index: int, reason: str) -> None:
        """Make another relay `current`; away from the first one, set the time to try that again."""
        if index != self.index:
            self.change_reason = reason
        self.index = index
        if index and not self.home_retry_at:
            self.home_retry_at = (
                now + self.home_retry_interval // 2 + int(self.home_retry_interval * self.uniform())
            )

    def jittered(self, duration: int) -> int:
        """A random time from half of the duration to all of it."""
        return duration // 2 + int(duration * self.uniform() / 2)
