"""Leases by majority, without a disk: what a voter grants, and how long a holder may count on it.

`Voter.asked` answers one claim.  A voter grants each duty to one life at a time, under a number above all
that it has granted before; who has a majority of grants holds the duty.  Two majorities share a voter, so
that there is one holder, and numbers rise from one holder to the next (after PaxosLease, Trencsenyi et al.
2009, in one round: who claims under a number that is too low is told the highest, and claims again).  A voter
that begins with nothing keeps silent for the longest lease: what it may have granted before has ended then.

Clocks may run fast or slow by `drift`, a share; none needs to agree with another.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple


class ClaimResult(IntEnum):
    GRANTED = 0
    HELD = 1  # by another life, for a while
    NUMBER_TOO_LOW = 2  # a number as high has been granted before
    SILENT = 3  # this voter may have granted what it no longer knows
    INELIGIBLE = 4  # other voters are meant, a lease too long, or no room
    RELEASED = 5  # no answer to a claim: it was given up just now, so claim it


class ClaimAnswer(NamedTuple):
    """`wait` is microseconds until a claim may find it free; `highest` the highest number known here."""

    result: ClaimResult
    wait: int
    highest_number: int


def holder_lease(lease: int, drift: float) -> int:
    """How long a holder counts on a lease from when it sent its claim, by its own clock, in microseconds.

    The holder's clock may be slow and the voter's fast: shorter by both.
    """
    return int(lease * (1.0 - drift) / (1.0 + drift))


def voter_silence(longest: int, drift: float) -> int:
    """How long a voter that remembers nothing waits by its clock, which may be fast, the former one slow."""
    return -int(-longest * (1.0 + drift) // (1.0 - drift))


def voter_set_id(voters: Sequence[str]) -> int:
    """A number for a set of voters, whatever their order."""
    return int.from_bytes(blake2b("\n".join(sorted(set(voters))).encode(), digest_size=8).digest()) >> 1


class Grant:
    __slots__ = ("holder", "number", "expires_at")

    def __init__(self, holder: int, number: int, until: int) -> None:
        self.holder = holder
        self.number = number
        self.expires_at = until


class Voter:
    """One voter's grants; `sets` are the sets of voters that its file knows, by `named`.

    A claim must win a majority of each of them, and says so: who goes by a file with fewer sets is granted
    nothing here, so that a change of the voters never leaves two majorities that share nobody.
    """

    def __init__(
        self, sets: Sequence[int], longest: int, drift: float, now: int, max_duties: int = 4096
    ) -> None:
        self.voter_set_ids = frozenset(sets)
        self.max_lease = longest
        self.silent_until = now + voter_silence(longest, drift)
        self.max_duties = max_duties
        self.grants: dict[str, Grant] = {}
        self.highest_numbers: dict[str, int] = {}
        self.forgotten_floor = 0  # the highest number of duties that were forgotten for room

    def apply_voter_sets(self, sets: Sequence[int]) -> None:
        """Another file; grants stand as they are."""
        self.voter_set_ids = frozenset(sets)

    def answer_claim(
        self, now: int, duty: str, holder: int, number: int, lease: int, sets: frozenset[int]
    ) -> ClaimAnswer:
        """A claim, or a renewal under the number that the holder has."""
        if now < self.silent_until:
            return ClaimAnswer(ClaimResult.SILENT, self.silent_until - now, 0)
        highest = self.highest_numbers.get(duty, self.forgotten_floor)
        if not self.voter_set_ids <= sets or lease > self.max_lease:
            return ClaimAnswer(ClaimResult.INELIGIBLE, self.max_lease, highest)
        grant = self.grants.get(duty)
        if grant is not None and now < grant.expires_at and (grant.holder, grant.number) != (holder, number):
            return ClaimAnswer(ClaimResult.HELD, grant.expires_at - now, highest)
        if grant is None and len(self.grants) >= self.max_duties and not self.evict_expired(now):
            return ClaimAnswer(ClaimResult.INELIGIBLE, self.max_lease, highest)
        highest = self.highest_numbers.get(duty, self.forgotten_floor)
        same = grant is not None and (grant.holder, grant.number) == (holder, number)
        if number < highest or number == highest and not same:
            return ClaimAnswer(ClaimResult.NUMBER_TOO_LOW, 0, highest)
        until = now + lease
        if same and grant is not None:
            until = max(until, grant.expires_at)  # an old claim that comes late shortens nothing
        self.grants[duty] = Grant(holder, number, until)
        self.highest_numbers[duty] = number
        return ClaimAnswer(ClaimResult.GRANTED, 0, number)

    def release(self, duty: str, holder: int, number: int) -> bool:
        """The holder has done with it: another may have it at once, under a higher number alone."""
        grant = self.grants.get(duty)
        if grant is None or (grant.holder, grant.number) != (holder, number):
            return False
        del self.grants[duty]
        return True

    def active_grants(self, now: int) -> list[tuple[str, int, int, int]]:
        """Duty, holder, number and microseconds left of what is granted."""
        return [
            (duty, one.holder, one.number, one.expires_at - now)
            for duty, one in self.grants.items()
            if now < one.expires_at
        ]

    def evict_expired(self, now: int) -> bool:
        """Room for another duty: that of one whose grant has ended; its number then holds for all."""
        for duty, grant in self.grants.items():
            if grant.expires_at <= now:
                del self.grants[duty]
                self.forgotten_floor = max(self.forgotten_floor, self.highest_numbers.pop(duty))
                return True
        return False


class Fence:
    """At whoever is acted on: acts under a lower number than one that came before are refused."""

    def __init__(self, max_duties: int = 4096) -> None:
        self.max_duties = max_duties
        self.highest_numbers: dict[str, int] = {}

    def accept(self, duty: str, number: int) -> bool:
        if (
            number < self.highest_numbers.get(duty, 0)
            or duty not in self.highest_numbers
            and len(self.highest_numbers) >= self.max_duties
        ):
            return False
        self.highest_numbers[duty] = number
        return True
