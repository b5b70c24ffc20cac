"""A relay's watch on one region's discovery: what to request next, what is accepted, when to retry.

    origin = Origin("eu", uniform)
    target = origin.request_target()    # an answer is due within origin.silence_limit() microseconds
    origin.validate(seq, whole); origin.answer_accepted(seq)
    wait = origin.call_failed(silent=True)      # microseconds until the next dial

This is for a relay what `discovery/watch.py` is for one sidecar. The first call after a failure asks for an
answer without waiting for a change; the others wait for 2 s at most, so that a silent origin is noticed
within 2.4 s, and followers of a relay that receives nothing have moved to another one within 6 s.
"""

from __future__ import annotations

from collections.abc import Callable

MAX_WAIT_MS = 2000
MIN_WAIT_FRACTION = 0.5  # waits are randomised from here to the whole, so that not all relays call at once
NO_WAIT_MS = 1
SLACK_US = 400_000  # past the wait of a call
ANSWER_TIMEOUT_US = 3_000_000  # for a call that does not wait
LIVE_TIMEOUT_US = MAX_WAIT_MS * 1000 + SLACK_US  # after its last answer, until a region is out of touch
BACKOFF_STEP_US = 100_000  # before the second retry; doubled for each further one up to MAX_BACKOFF_US
MAX_BACKOFF_US = 1_000_000
OLDER_LISTS_TO_ACCEPT = 3  # whole lists in a row that are older than the stored one, until one is accepted
FAILURES_TO_DISCONNECT = 2  # in a row, until a region is out of touch; one silence is enough
BACKOFF_JITTER = 0.5


class ListRejectedError(Exception):
    """An answer that can't be right; the stored list of that region stays."""


class Origin:
    """State of the watch on one region; `uniform` draws from 0 to 1, from a seed."""

    def __init__(self, region: str, uniform: Callable[[], float]) -> None:
        self.region = region
        self.uniform = uniform
        self.seq = -1
        self.skip_wait = True  # whether the next call is answered at once
        self.fetch_whole = False  # whether the next call requests the whole list
        self.older_lists = 0
        self.wait_ms = 0
        self.failures = 0  # in a row
        self.live = False

    def request_target(self) -> str:
        """The target of the next call."""
        self.wait_ms = 0
        if self.seq < 0 or self.fetch_whole:
            return "/discovery/hosts?services=*"
        fraction = MIN_WAIT_FRACTION + (1.0 - MIN_WAIT_FRACTION) * self.uniform()
        self.wait_ms = NO_WAIT_MS if self.skip_wait else int(MAX_WAIT_MS * fraction)
        return f"/discovery/hosts?since={self.seq}&timeout_ms={self.wait_ms}&services=*"

    def silence_limit(self) -> int:
        """Microseconds that the present call may take without any bytes."""
        return self.wait_ms * 1000 + SLACK_US if self.wait_ms > NO_WAIT_MS else ANSWER_TIMEOUT_US

    def validate(self, seq: int, whole: bool) -> bool:
        """Check an answer against the stored list; return whether the origin restarted its versions.

        Raises ListRejectedError for an older list, in which draining servers are still ready. A list that has
        halved at once, or is empty, is accepted: servers that left count as removed whether or not it is
        believed, the loss of a zone takes as much, and the sidecars' own check knows no more.
        """
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
        """The origin answered in time, and the answer is valid."""
        self.seq = seq
        self.skip_wait = self.fetch_whole = False
        self.failures = 0
        self.live = True

    def check_age(self, elapsed: int) -> bool:
        """Whether the region has just gone out of touch, `elapsed` after its last answer.

        A dial and a call that does not wait may take longer than this before they fail. Followers would take
        a relay that claims to be in touch, but has older versions, for evidence that the origin restarted.
        """
        if not self.live or elapsed <= LIVE_TIMEOUT_US:
            return False
        self.live = False
        return True

    def call_failed(self, silent: bool = False, refused: bool = False) -> int:
        """Microseconds until the next dial: none after a first failure, then a randomised backoff.

        `silent`: the call got no bytes in time. `refused`: its answer was rejected.
        """
        self.skip_wait = True
        self.fetch_whole = refused
        self.failures += 1
        if silent or self.failures >= FAILURES_TO_DISCONNECT:
            self.live = False
        if self.failures < FAILURES_TO_DISCONNECT:
            return 0
        step = min(MAX_BACKOFF_US, BACKOFF_STEP_US << min(self.failures - FAILURES_TO_DISCONNECT, 10))
        return int(step * (BACKOFF_JITTER + BACKOFF_JITTER * self.uniform()))
