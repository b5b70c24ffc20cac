"""A new process's wait for its first server list: until that is over, nothing is sent to servers.

The list in the configuration file may be old in all that it says: servers may drain by now, have restarted,
have moved, or have given their name to another.  So it is used only once discovery or a relay has answered,
whatever the calls until then fail of.  As an outage of discovery must not keep a service down, the wait is
bounded by FIRST_LIST_TIMEOUT_US.  Requests are refused at once meanwhile.

Times ending in _US are whole microseconds of `clock.now()`, those ending in _S are seconds.
"""

from __future__ import annotations

import threading
from enum import StrEnum
from typing import TYPE_CHECKING

from ..balancer import SeededRandom
from . import clock

if TYPE_CHECKING:
    from .dispatch import Dispatcher

# From the process's start.  Nine in ten restarted processes have to be ready within 10 s, of which a crowded
# core takes a part for the start itself.
FIRST_LIST_TIMEOUT_US = 8_000_000
LOG_INTERVAL_US = 1_000_000  # between two `list_awaited` events
# Between two calls.  Nothing is sent meanwhile, so there is no need to call as often as a serving process
# does, and most of a fleet may be waiting.
MIN_RETRY_INTERVAL_S = 0.2
MAX_RETRY_INTERVAL_S = 1.0
MAX_RETRY_DOUBLINGS = 3  # with which the interval is past its bound
MIN_RETRY_FRACTION = 0.5  # of the interval; the rest is random, so that processes do not call in step


class ListSource(StrEnum):
    """What the first list in use is; the values are written to the log."""

    DISCOVERY = "discovery"  # or a relay
    HANDOVER = "handover"  # the process that this one replaces
    FILE = "file"  # the wait was given up


class FirstList:
    """Whether a list may be used, and what is waited for until then; for any thread.

    Without a call of `begin` there is nothing to wait for.
    """

    def __init__(self, dispatcher: Dispatcher, seed: int) -> None:
        self.dispatcher = dispatcher
        self.rng = SeededRandom(seed)
        self.usable = threading.Event()
        self.usable.set()
        self.source = ListSource.HANDOVER
        self.began_at = 0
        self.ends_at = 0
        self.ended_at = 0
        self.failures = 0  # calls that failed meanwhile
        self.last_error = ""

    @property
    def is_awaited(self) -> bool:
        """Whether the wait goes on."""
        return not self.usable.is_set()

    def begin(self, began_at: int, ends_at: int) -> None:
        """Use no list until `received` is called or `ends_at` has passed; called before the first list."""
        self.began_at = began_at
        self.ends_at = ends_at
        self.usable.clear()

        def call(now: int) -> None:
            self.dispatcher.balancer.set_list_usable(False)
            self.set_timer(now)

        self.dispatcher.run_locked(call)

    def received(self) -> None:
        """End the wait, after a list of discovery or of a relay has been applied."""
        if self.is_awaited:
            self.dispatcher.run_locked(lambda now: self.end(now, ListSource.DISCOVERY))

    def call_failed(self, error: str) -> None:
        """Note why the last call failed."""
        self.failures += 1
        self.last_error = error

    def retry_interval_s(self) -> float:
        """Return for how long to wait before the next call; it doubles with each failure up to a bound."""
        doublings = min(self.failures - 1, MAX_RETRY_DOUBLINGS)
        interval: float = min(MAX_RETRY_INTERVAL_S, MIN_RETRY_INTERVAL_S * 2.0**doublings)
        return interval * (MIN_RETRY_FRACTION + (1.0 - MIN_RETRY_FRACTION) * self.rng.next_float())

    def waited_us(self) -> int:
        """Return how long the wait has lasted; 0 if there was none."""
        return (clock.now() if self.is_awaited else self.ended_at) - self.began_at

    def on_timer(self, now: int) -> None:
        """Log what is waited for, and give up at the end of the time; called with the lock held."""
        if not self.is_awaited:
            return
        if now >= self.ends_at:
            self.end(now, ListSource.FILE)
            return
        self.dispatcher.do_after_unlock(self.log)
        self.set_timer(now)

    def set_timer(self, now: int) -> None:
        """Set the timer for the next line of the log, or for the end; called with the lock held."""
        self.dispatcher.set_timer(min(self.ends_at, now + LOG_INTERVAL_US), self)

    def end(self, now: int, source: ListSource) -> None:
        """Use the list from now on; called with the lock held."""
        if self.is_awaited:
            self.source = source
            self.ended_at = now
            self.dispatcher.balancer.set_list_usable(True)
            self.usable.set()

    def log(self) -> None:
        """Log that the list is awaited, since when, and why the last call failed."""
        now = clock.now()
        self.dispatcher.events.event(
            "list_awaited",
            since_s=round((now - self.began_at) / 1e6, 3),
            until_s=round((self.ends_at - self.began_at) / 1e6, 3),
            failures=self.failures,
            text=self.last_error or "no answer yet",
        )
