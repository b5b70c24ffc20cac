"""Duties that one sidecar holds at a time: who claims them, keeps them, and gives them up.

`Duties` claims what falls to this sidecar, renews what it holds, and answers `number(now, duty)`: the number
to act under, or 0; to be asked at the moment of acting, not when the act was queued.  Claims for many duties
go to a voter in one message.  Times are whole microseconds by this sidecar's own clock.

A number is above all that voters tell of, and at least the milliseconds of the wall clock: voters that forgot
all do not bring old numbers back, unless the wall clock was set back as well.  Then whoever is acted on
refuses what is low, and `outbid` has the duty claimed under a higher one.  Its last bits are the life's own,
so that no two lives that live together act under one.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from random import Random
from typing import NamedTuple, Protocol

from .leases import ClaimAnswer, ClaimResult, holder_lease, voter_set_id
from .messages import batches

RENEWALS_PER_LEASE = 3  # of a lease's time: renewed after a third, so that two renewals may be lost
GRANT_ENTRY_BYTES = 30  # bytes of an answer besides the name; a claim takes fewer
INSTANCE_BITS = 16  # of a number, by which lives differ
WALL_MS_MASK = (1 << 45) - 1  # milliseconds that fit above them, for a thousand years


class Claim(NamedTuple):
    """`number` 0 is no claim; `release` gives up what is held under the number."""

    duty: str
    number: int
    release: bool = False


class Callbacks(Protocol):
    def send_claims(self, voter: str, round_: int, claims: Sequence[Claim]) -> None:
        """Ask a voter, by its address; the answers come to `answered` with the round."""

    def duty_changed(self, duty: str, number: int, why: str) -> None:
        """Held from now on, or, with number 0, no longer: a change for the log."""


class LeaseSettings(NamedTuple):
    """What the settings say: sets of voters by address, a claim needs a majority of each; times and drift."""

    voter_sets: tuple[tuple[str, ...], ...]
    lease: int = 5_000_000
    drift: float = 0.01

    def voters(self) -> tuple[str, ...]:
        return tuple(dict.fromkeys(voter for each in self.voter_sets for voter in each))

    def voter_set_ids(self) -> frozenset[int]:
        return frozenset(voter_set_id(each) for each in self.voter_sets)


class DutyState:
    """One duty as this sidecar stands to it."""

    __slots__ = (
        "name",
        "number",
        "expires_at",
        "claimed_at",
        "round",
        "granted",
        "refused",
        "next_claim_at",
        "highest_number",
        "wanted",
    )

    def __init__(self, name: str, now: int) -> None:
        self.name = name
        self.number = 0  # that this sidecar claims or holds it under
        self.expires_at = 0  # held until then, as far as this sidecar may count on it
        self.claimed_at = 0
        self.round = 0
        self.granted_by: set[str] = set()
        self.refused_by: set[str] = set()
        self.next_claim_at = now  # when to claim or renew next
        self.highest_number = 0  # number heard of
        self.wanted = True


def rank(duty: str, member: str) -> bytes:
    """Highest random weight: whose turn it is moves as little as can be when members come and go."""
    return blake2b(f"{duty}\n{member}".encode(), digest_size=8).digest()


def preferred_member(duty: str, members: Sequence[str]) -> str:
    return max(members, key=lambda member: rank(duty, member))


class Duties:
    def __init__(self, me: int, given: LeaseSettings, seed: int, outlet: Callbacks, now: int) -> None:
        self.own_id = me
        self.settings = given
        self.callbacks = outlet
        self.rng = Random(seed)
        self.duties: dict[str, DutyState] = {}
        self.last_round = 0
        self.eligible = True

    # -- what others ask of it

    def fencing_number(self, now: int, duty: str) -> int:
        """The number to act under, right now; 0: this sidecar may not."""
        one = self.duties.get(duty)
        return one.number if one is not None and now < one.expires_at else 0

    def held(self, now: int) -> list[tuple[str, int, int]]:
        """Name, number and microseconds left of each."""
        return [
            (one.name, one.number, one.expires_at - now)
            for one in self.duties.values()
            if now < one.expires_at
        ]

    def set_wanted(self, now: int, names: Sequence[str]) -> None:
        """The duties that fall to this sidecar; what it holds besides it keeps to the end of its time."""
        wanted = set(names)
        for name in names:
            if name not in self.duties:
                self.duties[name] = DutyState(
                    name, now + self.rng.randrange(max(1, self.settings.lease // 20))
                )
        for one in self.duties.values():
            one.wanted = one.name in wanted
        for name in [one.name for one in self.duties.values() if not one.wanted and now >= one.expires_at]:
            del self.duties[name]

    def next_timer(self) -> int | None:
        times = [one.expires_at for one in self.duties.values() if one.expires_at]
        if self.eligible:
            times += [one.next_claim_at for one in self.duties.values() if one.wanted or one.expires_at]
        return min(times, default=None)

    # -- claims

    def on_timer(self, now: int, wall_ms: int) -> None:
        """Send what is due: claims and renewals, many to a message; `wall_ms` is the wall clock's time."""
        ready = []
        for one in self.duties.values():
            if one.expires_at and now >= one.expires_at:
                one.expires_at = 0
                self.callbacks.duty_changed(one.name, 0, "its time is over")
            if now >= one.next_claim_at and self.eligible and (one.wanted or one.expires_at):
                ready.append(one)
        for batch in batches(ready, lambda one: one.name, GRANT_ENTRY_BYTES):
            self.send_round(now, wall_ms, batch)

    def send_round(self, now: int, wall_ms: int, ready: Sequence[DutyState]) -> None:
        self.last_round += 1
        lease = self.settings.lease
        for one in ready:
            if not one.expires_at:
                # Another number for each claim: grants of an earlier one that failed must not add up with it.
                above = max(max(one.number, one.highest_number) >> INSTANCE_BITS, wall_ms & WALL_MS_MASK) + 1
                one.number = above << INSTANCE_BITS | self.own_id & ((1 << INSTANCE_BITS) - 1)
            one.round, one.claimed_at = self.last_round, now
            one.granted_by, one.refused_by = set(), set()
            one.next_claim_at = now + lease // RENEWALS_PER_LEASE + self.rng.randrange(max(1, lease // 20))
        claims = [Claim(one.name, one.number) for one in ready]
        for voter in self.settings.voters():
            self.callbacks.send_claims(voter, self.last_round, claims)

    def receive_answer(
        self, now: int, voter: str, round_: int, duty: str, number: int, answer: ClaimAnswer
    ) -> None:
        """What a voter says to the claim of that round."""
        one = self.duties.get(duty)
        if one is None:
            return
        one.highest_number = max(one.highest_number, answer.highest_number)
        if answer.result == ClaimResult.RELEASED:
            if not one.expires_at and not one.round:
                one.next_claim_at = now  # given up: no need to wait for what was the end of its lease
            return
        if one.round != round_ or not round_ or one.number != number or voter not in self.settings.voters():
            return  # of an earlier round, whose grants count for nothing
        if answer.result == ClaimResult.GRANTED:
            one.granted_by.add(voter)
            if self.has_majority(one):
                # From when the claim was sent: the voter's time began after that, before the answer came.
                until = one.claimed_at + holder_lease(self.settings.lease, self.settings.drift)
                new = not one.expires_at
                if until > max(now, one.expires_at):
                    one.expires_at = until
                    if new:
                        self.callbacks.duty_changed(one.name, one.number, f"{len(one.granted_by)} voters")
            return
        one.refused_by.add(voter)
        if one.expires_at or self.can_win(one):
            return
        self.abandon_claim(now, one, answer)

    def abandon_claim(self, now: int, one: DutyState, answer: ClaimAnswer) -> None:
        """This claim can't win any more: what it was granted goes back, and another is made later, by chance.

        Guards against claims of several that each have a part of the voters, again and again.
        """
        self.send_releases([one])
        lease = self.settings.lease
        later = answer.wait if answer.result in (ClaimResult.HELD, ClaimResult.SILENT) else 0
        one.next_claim_at = now + min(later, 2 * lease) + self.rng.randrange(max(1, lease // 10))
        one.round = 0

    def has_majority(self, one: DutyState) -> bool:
        return all(2 * len(one.granted_by & set(each)) > len(each) for each in self.settings.voter_sets)

    def can_win(self, one: DutyState) -> bool:
        return all(
            2 * (len(each) - len(one.refused_by & set(each))) > len(each) for each in self.settings.voter_sets
        )

    # -- giving up

    def resign(self, now: int, name: str, why: str) -> None:
        """Another may have it at once; not claimed again here for a lease."""
        one = self.duties.get(name)
        if one is not None:
            self.resign_all(now, [one], why)

    def resign_all(self, now: int, given_up: Sequence[DutyState], why: str) -> None:
        self.send_releases(given_up)
        for one in given_up:
            held, one.expires_at = now < one.expires_at, 0
            one.number, one.round = max(one.number, one.highest_number), 0
            one.next_claim_at = now + self.settings.lease
            if held:
                self.callbacks.duty_changed(one.name, 0, why)

    def reclaim_above(self, now: int, name: str, highest: int) -> None:
        """Whoever is acted on knows a higher number: this one is of no use, and another is claimed."""
        one = self.duties.get(name)
        if one is not None and highest > one.number:
            one.highest_number = max(one.highest_number, highest)
            self.resign(now, name, "a higher number is known")
            one.next_claim_at = now

    def send_releases(self, given_up: Sequence[DutyState]) -> None:
        claims = [Claim(one.name, one.number, True) for one in given_up if one.number]
        for batch in batches(claims, lambda one: one.duty, GRANT_ENTRY_BYTES):
            for voter in self.settings.voters():
                self.callbacks.send_claims(voter, 0, batch)

    def suspend(self, now: int, why: str) -> None:
        """This sidecar is late, ends, or can't do what duties ask: all are given up, none is claimed."""
        if self.eligible:
            self.eligible = False
            self.resign_all(now, list(self.duties.values()), why)

    def resume(self) -> None:
        self.eligible = True

    def apply_settings(self, now: int, given: LeaseSettings) -> None:
        """Another file.  With other sets of voters, what is held is given up, and claimed of all of them.

        Guards the step after it: who goes by a later file, without the old set, must not meet a lease that
        the old set alone has granted.  Claims under way were made to the old ones, and count for nothing.
        """
        if given.voter_set_ids() != self.settings.voter_set_ids():
            self.resign_all(now, list(self.duties.values()), "the voters change")
        if given != self.settings:
            self.settings = given
            for one in self.duties.values():
                one.round, one.next_claim_at = 0, now
