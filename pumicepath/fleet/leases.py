"""Leases by majority vote without a disk: what a voter grants, and how long a holder may rely on it.

`Voter.answer_claim` answers one claim. A voter grants each duty to one instance at a time, under a fencing
number above all that it granted before; the instance with a majority of grants holds the duty. Any two
majorities share a voter, so there is one holder, and numbers rise from one holder to the next. This follows
PaxosLease (Trencsenyi et al. 2009) in one round: a claim under too low a number is answered with the
highest known one and repeated. A voter that starts without state stays silent for the longest lease, until
whatever it may have granted has ended.

Clocks may run fast or slow by the fraction `drift`; they need not agree with each other.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from hashlib import blake2b
from typing import NamedTuple


class ClaimResult(IntEnum):
    """A voter's answer to a claim; the numbers are sent in messages."""

    GRANTED = 0
    HELD = 1  # granted to another instance at present
    NUMBER_TOO_LOW = 2  # a number as high has been granted before
    SILENT = 3  # this voter started recently and may have granted what it no longer knows
    INELIGIBLE = 4  # the claim names other sets of voters or too long a lease, or the voter has no capacity
    RELEASED = 5  # not an answer: the duty was released just now and may be claimed


class ClaimAnswer(NamedTuple):
    """A result, the microseconds until a claim may succeed, and the highest number known to the voter."""

    result: ClaimResult
    wait: int
    highest_number: int


def holder_lease(lease: int, drift: float) -> int:
    """Microseconds by its own clock that a holder may rely on a lease, from the sending of its claim.

    Shorter than the lease, as the holder's clock may be slow and the voter's fast.
    """
    return int(lease * (1.0 - drift) / (1.0 + drift))


def voter_silence(max_lease: int, drift: float) -> int:
    """Microseconds by its own clock that a voter without state stays silent.

    Longer than the lease, as its clock may be fast now and may have been slow before the restart.
    """
    return -int(-max_lease * (1.0 + drift) // (1.0 - drift))


def voter_set_id(voters: Sequence[str]) -> int:
    """Identifies a set of voters, whatever their order."""
    return int.from_bytes(blake2b("\n".join(sorted(set(voters))).encode(), digest_size=8).digest()) >> 1


class Grant:
    """One duty granted to a holder under a number."""

    __slots__ = ("holder", "number", "expires_at")

    def __init__(self, holder: int, number: int, expires_at: int) -> None:
        self.holder = holder
        self.number = number
        self.expires_at = expires_at


class Voter:
    """The grants of one voter; `voter_set_ids` are the sets of voters in its configuration.

    A claim has to win a majority of each of these sets, and says which sets it goes by. A claimant whose file
    has fewer sets is granted nothing here, so a change of the voters never leaves two majorities that have no
    voter in common.
    """

    def __init__(
        self, voter_set_ids: Sequence[int], max_lease: int, drift: float, now: int, max_duties: int = 4096
    ) -> None:
        self.voter_set_ids = frozenset(voter_set_ids)
        self.max_lease = max_lease
        self.silent_until = now + voter_silence(max_lease, drift)
        self.max_duties = max_duties
        self.grants: dict[str, Grant] = {}
        self.highest_numbers: dict[str, int] = {}
        self.forgotten_floor = 0  # the highest number of the duties that were evicted

    def apply_voter_sets(self, voter_set_ids: Sequence[int]) -> None:
        """Apply a reloaded configuration; existing grants stay."""
        self.voter_set_ids = frozenset(voter_set_ids)

    def answer_claim(
        self, now: int, duty: str, holder: int, number: int, lease: int, voter_set_ids: frozenset[int]
    ) -> ClaimAnswer:
        """Answer a claim, or a renewal under the number that the holder already has."""
        if now < self.silent_until:
            return ClaimAnswer(ClaimResult.SILENT, self.silent_until - now, 0)
        highest = self.highest_numbers.get(duty, self.forgotten_floor)
        if not self.voter_set_ids <= voter_set_ids or lease > self.max_lease:
            return ClaimAnswer(ClaimResult.INELIGIBLE, self.max_lease, highest)
        grant = self.grants.get(duty)
        if grant is not None and now < grant.expires_at and (grant.holder, grant.number) != (holder, number):
            return ClaimAnswer(ClaimResult.HELD, grant.expires_at - now, highest)
        if grant is None and len(self.grants) >= self.max_duties and not self.evict_expired(now):
            return ClaimAnswer(ClaimResult.INELIGIBLE, self.max_lease, highest)
        highest = self.highest_numbers.get(duty, self.forgotten_floor)
        is_renewal = grant is not None and (grant.holder, grant.number) == (holder, number)
        if number < highest or number == highest and not is_renewal:
            return ClaimAnswer(ClaimResult.NUMBER_TOO_LOW, 0, highest)
        expires_at = now + lease
        if is_renewal and grant is not None:
            expires_at = max(expires_at, grant.expires_at)  # a delayed claim does not shorten the lease
        self.grants[duty] = Grant(holder, number, expires_at)
        self.highest_numbers[duty] = number
        return ClaimAnswer(ClaimResult.GRANTED, 0, number)

    def release(self, duty: str, holder: int, number: int) -> bool:
        """Release a duty, so that another may claim it under a higher number; return whether it was held."""
        grant = self.grants.get(duty)
        if grant is None or (grant.holder, grant.number) != (holder, number):
            return False
        del self.grants[duty]
        return True

    def active_grants(self, now: int) -> list[tuple[str, int, int, int]]:
        """Duty, holder, number and remaining microseconds of each grant."""
        return [
            (duty, grant.holder, grant.number, grant.expires_at - now)
            for duty, grant in self.grants.items()
            if now < grant.expires_at
        ]

    def evict_expired(self, now: int) -> bool:
        """Free the capacity of one expired grant; its number then bounds those of all unknown duties."""
        for duty, grant in self.grants.items():
            if grant.expires_at <= now:
                del self.grants[duty]
                self.forgotten_floor = max(self.forgotten_floor, self.highest_numbers.pop(duty))
                return True
        return False


class Fence:
    """For the resource that is acted on: rejects actions under a lower fencing number than an earlier one."""

    def __init__(self, max_duties: int = 4096) -> None:
        self.max_duties = max_duties
        self.highest_numbers: dict[str, int] = {}

    def accept(self, duty: str, number: int) -> bool:
        """Whether an action under this number may go ahead."""
        if (
            number < self.highest_numbers.get(duty, 0)
            or duty not in self.highest_numbers
            and len(self.highest_numbers) >= self.max_duties
        ):
            return False
        self.highest_numbers[duty] = number
        return True
