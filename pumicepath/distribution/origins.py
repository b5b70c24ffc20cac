"""The watch on one region's discovery: what to ask next, what is believed, when to ask again after a failure.

    origin = Origin("eu", share)
    target = origin.target()            # then an answer within origin.silent() microseconds, or it is silent
    origin.believed(seq, whole, servers); origin.answered(seq)
    wait = origin.failed(silent=True)   # microseconds until the next dial

As `discovery/watch.py` for one sidecar.  The first call after any doubt does not wait, so that its answer
comes at once; the others wait no longer than 2 s, so that a silent origin is known within 2.4 s, and who
follows a relay that is deaf has gone to another within 6.
"""

from __future__ import annotations

from collections.abc import Callable

MAX_WAIT_MS = 2000
MIN_WAIT_FRACTION = 0.5  # of the wait: guards an origin against all relays' waits ending together
NO_WAIT_MS = 1
SLACK_US = 400_000  # past a wait
ANSWER_TIMEOUT_US = 3_000_000  # for a call that does not wait
LIVE_TIMEOUT_US = MAX_WAIT_MS * 1000 + SLACK_US  # after its last answer, until a region is out of touch
BACKOFF_STEP_US = 100_000  # before the second further dial; doubled up to
MAX_BACKOFF_US = 1_000_000
OLDER_LISTS_TO_ACCEPT = 3  # whole lists in a row older than the one in force, until one is believed
FAILURES_TO_DISCONNECT = 2  # in a row, from which on a region is out of touch; silence alone is enough
BACKOFF_JITTER = 0.5


class ListRejectedError(Exception):
    """An answer that can't be meant; what is held of that region stays."""


class Origin:
    """`share` draws from 0 to 1, seeded."""

    def __init__(self, region: str, share: Callable[[], float]) -> None:
        self.region = region
        self.uniform = share
        self.seq = -1
        self.skip_wait = True  # whether the next call is not to wait
        self.fetch_whole = False  # whether it asks for the whole list
        self.older_lists = 0
        self.wait_ms = 0
        self.failures = 0  # in a row
        self.live = False

    def request_target(self) -> str:
        self.wait_ms = 0
        if self.seq < 0 or self.fetch_whole:
            return "/discovery/hosts?services=*"
        part = MIN_WAIT_FRACTION + (1.0 - MIN_WAIT_FRACTION) * self.uniform()
        self.wait_ms = NO_WAIT_MS if self.skip_wait else int(MAX_WAIT_MS * part)
        return f"/discovery/hosts?since={self.seq}&timeout_ms={self.wait_ms}&services=*"

    def silence_limit(self) -> int:
        """For how long the call that is out may bring nothing."""
        return self.wait_ms * 1000 + SLACK_US if self.wait_ms > NO_WAIT_MS else ANSWER_TIMEOUT_US

    def validate(self, seq: int, whole: bool, servers: int) -> bool:
        """Raises Refused for what would undo the list in force; whether its versions have begun anew.

        Guards servers that drain against an older list, which has them ready, and all of them against an
        empty one.  A list that has halved at once is believed: what left counts as told whether or not we
        believe it, and a zone that goes takes as much; sidecars' own guard knows no more either.
        """
        if whole and not servers:
            raise ListRejectedError("an empty list")
        if not whole and (self.seq < 0 or self.fetch_whole):
            raise ListRejectedError("changes in place of the whole list")
        if seq >= self.seq:
            self.older_lists = 0
            return False
        self.older_lists += 1
        if not whole or self.older_lists < OLDER_LISTS_TO_ACCEPT:
            raise ListRejectedError(f"version {seq} after {self.seq}")
        self.older_lists = 0
        return True

    def answer_accepted(self, seq: int) -> None:
        """It has answered within its bound, and is believed."""
        self.seq = seq
        self.skip_wait = self.fetch_whole = False
        self.failures = 0
        self.live = True

    def check_age(self, spent: int) -> bool:
        """So long after its last answer: whether it is out of touch by that, and was not before.

        Guards followers, who take a relay in touch that is behind for an origin that has begun anew, against
        word as old as a dial and a call that does not wait may make it, before these have failed.
        """
        if not self.live or spent <= LIVE_TIMEOUT_US:
            return False
        self.live = False
        return True

    def call_failed(self, silent: bool = False, refused: bool = False) -> int:
        """Microseconds until it is dialled anew: at once after a first failure, then more and more, drawn."""
        self.skip_wait = True
        self.fetch_whole = refused
        self.failures += 1
        if silent or self.failures >= FAILURES_TO_DISCONNECT:
            self.live = False
        if self.failures < FAILURES_TO_DISCONNECT:
            return 0
        step = min(MAX_BACKOFF_US, BACKOFF_STEP_US << min(self.failures - FAILURES_TO_DISCONNECT, 10))
        return int(step * (BACKOFF_JITTER + BACKOFF_JITTER * self.uniform()))
