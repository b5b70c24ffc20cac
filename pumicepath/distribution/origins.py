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

LONGEST_WAIT_MS = 2000
SHORTEST_PART = 0.5  # of the wait: guards an origin against all relays' waits ending together
AT_ONCE_MS = 1
SLACK = 400_000  # past a wait
ANSWER = 3_000_000  # for a call that does not wait
LIVE = LONGEST_WAIT_MS * 1000 + SLACK  # after its last answer, until a region is out of touch
STEP = 100_000  # before the second further dial; doubled up to
LONGEST_STEP = 1_000_000
MOST_BACK = 3  # whole lists in a row older than the one in force, until one is believed
FAILURES = 2  # in a row, from which on a region is out of touch; silence alone is enough
HALF = 0.5


class Refused(Exception):
    """An answer that can't be meant; what is held of that region stays."""


class Origin:
    """`share` draws from 0 to 1, seeded."""

    def __init__(self, region: str, share: Callable[[], float]) -> None:
        self.region = region
        self.share = share
        self.seq = -1
        self.doubted = True  # whether the next call is not to wait
        self.afresh = False  # whether it asks for the whole list
        self.back = 0
        self.wait_ms = 0
        self.failures = 0  # in a row
        self.live = False

    def target(self) -> str:
        self.wait_ms = 0
        if self.seq < 0 or self.afresh:
            return "/discovery/hosts?services=*"
        part = SHORTEST_PART + (1.0 - SHORTEST_PART) * self.share()
        self.wait_ms = AT_ONCE_MS if self.doubted else int(LONGEST_WAIT_MS * part)
        return f"/discovery/hosts?since={self.seq}&timeout_ms={self.wait_ms}&services=*"

    def silent(self) -> int:
        """For how long the call that is out may bring nothing."""
        return self.wait_ms * 1000 + SLACK if self.wait_ms > AT_ONCE_MS else ANSWER

    def believed(self, seq: int, whole: bool, servers: int) -> bool:
        """Raises Refused for what would undo the list in force; whether its versions have begun anew.

        Guards servers that drain against an older list, which has them ready, and all of them against an
        empty one.  A list that has halved at once is believed: what left counts as told whether or not we
        believe it, and a zone that goes takes as much; sidecars' own guard knows no more either.
        """
        if whole and not servers:
            raise Refused("an empty list")
        if not whole and (self.seq < 0 or self.afresh):
            raise Refused("changes in place of the whole list")
        if seq >= self.seq:
            self.back = 0
            return False
        self.back += 1
        if not whole or self.back < MOST_BACK:
            raise Refused(f"version {seq} after {self.seq}")
        self.back = 0
        return True

    def answered(self, seq: int) -> None:
        """It has answered within its bound, and is believed."""
        self.seq = seq
        self.doubted = self.afresh = False
        self.failures = 0
        self.live = True

    def aged(self, spent: int) -> bool:
        """So long after its last answer: whether it is out of touch by that, and was not before.

        Guards followers, who take a relay in touch that is behind for an origin that has begun anew, against
        word as old as a dial and a call that does not wait may make it, before these have failed.
        """
        if not self.live or spent <= LIVE:
            return False
        self.live = False
        return True

    def failed(self, silent: bool = False, refused: bool = False) -> int:
        """Microseconds until it is dialled anew: at once after a first failure, then more and more, drawn."""
        self.doubted = True
        self.afresh = refused
        self.failures += 1
        if silent or self.failures >= FAILURES:
            self.live = False
        if self.failures < FAILURES:
            return 0
        step = min(LONGEST_STEP, STEP << min(self.failures - FAILURES, 10))
        return int(step * (HALF + HALF * self.share()))
