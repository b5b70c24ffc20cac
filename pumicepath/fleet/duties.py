"""Duties that one sidecar holds at a time: claiming, renewing and releasing their leases.

`Duties` claims the duties that are wanted of this sidecar and renews those that it holds.
`fencing_number(now, duty)` returns the number to act under, or 0; call it when the action is taken, not
when it is queued. Claims for many duties go to a voter in one message. Times are whole microseconds of the
local clock.

A fencing number is above every number that voters report, and at least the wall clock in milliseconds, so
that voters that lost all state do not bring old numbers back unless the wall clock was set back as well. In
that case the resource that is acted on rejects the low number, and `reclaim_above` claims the duty under a
higher one. The low bits of a number come from the instance id, so that no two instances that run at once
act under the same number.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from random import Random
from typing import NamedTuple, Protocol

from .leases import ClaimAnswer, ClaimResult, holder_lease, voter_set_id
from .messages import batches

RENEWALS_PER_LEASE = 3  # renewed after a third of the lease, so that two renewals may be lost
GRANT_ENTRY_BYTES = 30  # encoded size of an answer without the duty's name; a claim takes less
INSTANCE_BITS = 16  # low bits of a number that distinguish instances
WALL_MS_MASK = (1 << 45) - 1  # milliseconds that fit above them, enough for a thousand years


class Claim(NamedTuple):
    """A claim for a duty, or with `release` its release; `number` 0 is no claim."""

    duty: str
    number: int
    release: bool = False


class Callbacks(Protocol):
    """What duties ask of their host."""

    def send_claims(self, voter: str, round_: int, claims: Sequence[Claim]) -> None:
        """Send claims to the voter at an address; answers go to `receive_answer` with the round."""

    def duty_changed(self, duty: str, number: int, why: str) -> None:
        """Log that the duty is now held under `number`, or no longer held if `number` is 0."""


class LeaseSettings(NamedTuple):
    """Settings of leases: a claim needs a majority of each set of voters (addresses).

    `lease` is in microseconds, `drift` the fraction by which clocks may run fast or slow.
    """

    voter_sets: tuple[tuple[str, ...], ...]
    lease: int = 5_000_000
    drift: float = 0.01

    def voters(self) -> tuple[str, ...]:
        """The addresses of all voters, each once."""
        return tuple(dict.fromkeys(voter for voters in self.voter_sets for voter in voters))

    def voter_set_ids(self) -> frozenset[int]:
        """The ids of the sets of voters."""
        return frozenset(voter_set_id(voters) for voters in self.voter_sets)


class DutyState:
    """One duty from this sidecar's point of view."""

    __slots__ = (
        "name",
        "number",
        "expires_at",
        "claimed_at",
        "round",
        "granted_by",
        "refused_by",
        "next_claim_at",
        "highest_number",
        "wanted",
    )

    def __init__(self, name: str, now: int) -> None:
        self.name = name
        self.number = 0  # under which this sidecar claims or holds it
        self.expires_at = 0  # until when this sidecar may rely on holding it; 0 if it does not hold it
        self.claimed_at = 0
        self.round = 0
        self.granted_by: set[str] = set()
        self.refused_by: set[str] = set()
        self.next_claim_at = now  # time of the next claim or renewal
        self.highest_number = 0  # reported by any voter
        self.wanted = True


def rank(duty: str, member: str) -> bytes:
    """Rendezvous weight of a member for a duty: few duties move when members join or leave."""
    return blake2b(f"{duty}\n{member}".encode(), digest_size=8).digest()


def preferred_member(duty: str, members: Sequence[str]) -> str:
    """The member with the highest rank for a duty."""
    return max(members, key=lambda member: rank(duty, member))


class Duties:
    """The duties that one instance wants or holds, and its claims to the voters."""

    def __init__(
        self, own_id: int, settings: LeaseSettings, seed: int, callbacks: Callbacks, now: int
    ) -> None:
        self.own_id = own_id
        self.settings = settings
        self.callbacks = callbacks
        self.rng = Random(seed)
        self.duties: dict[str, DutyState] = {}
        self.last_round = 0
        self.eligible = True

    # -- queries

    def fencing_number(self, now: int, duty: str) -> int:
        """The number to act under right now, or 0 if this sidecar does not hold the duty."""
        state = self.duties.get(duty)
        return state.number if state is not None and now < state.expires_at else 0

    def held(self, now: int) -> list[tuple[str, int, int]]:
        """Name, number and remaining microseconds of each duty that is held."""
        return [
            (state.name, state.number, state.expires_at - now)
            for state in self.duties.values()
            if now < state.expires_at
        ]

    def set_wanted(self, now: int, names: Sequence[str]) -> None:
        """Set the duties to claim; others that are held stay until their leases end."""
        wanted = set(names)
        for name in names:
            if name not in self.duties:
                self.duties[name] = DutyState(
                    name, now + self.rng.randrange(max(1, self.settings.lease // 20))
                )
        for state in self.duties.values():
            state.wanted = state.name in wanted
        for name in [
            state.name for state in self.duties.values() if not state.wanted and now >= state.expires_at
        ]:
            del self.duties[name]

    def next_timer(self) -> int | None:
        """When to call `on_timer` next; None if nothing is due."""
        times = [state.expires_at for state in self.duties.values() if state.expires_at]
        if self.eligible:
            times += [
                state.next_claim_at for state in self.duties.values() if state.wanted or state.expires_at
            ]
        return min(times, default=None)

    # -- claims

    def on_timer(self, now: int, wall_ms: int) -> None:
        """Send due claims and renewals, many per message; `wall_ms` is the wall clock in milliseconds."""
        ready = []
        for state in self.duties.values():
            if state.expires_at and now >= state.expires_at:
                state.expires_at = 0
                self.callbacks.duty_changed(state.name, 0, "its time is over")
            if now >= state.next_claim_at and self.eligible and (state.wanted or state.expires_at):
                ready.append(state)
        for batch in batches(ready, lambda state: state.name, GRANT_ENTRY_BYTES):
            self.send_round(now, wall_ms, batch)

    def send_round(self, now: int, wall_ms: int, ready: Sequence[DutyState]) -> None:
        """Send one round of claims to every voter."""
        self.last_round += 1
        lease = self.settings.lease
        for state in ready:
            if not state.expires_at:
                # A new number for each claim: grants of a failed one must not add up with those of the next.
                above = (
                    max(max(state.number, state.highest_number) >> INSTANCE_BITS, wall_ms & WALL_MS_MASK) + 1
                )
                state.number = above << INSTANCE_BITS | self.own_id & ((1 << INSTANCE_BITS) - 1)
            state.round, state.claimed_at = self.last_round, now
            state.granted_by, state.refused_by = set(), set()
            state.next_claim_at = now + lease // RENEWALS_PER_LEASE + self.rng.randrange(max(1, lease // 20))
        claims = [Claim(state.name, state.number) for state in ready]
        for voter in self.settings.voters():
            self.callbacks.send_claims(voter, self.last_round, claims)

    def receive_answer(
        self, now: int, voter: str, round_: int, duty: str, number: int, answer: ClaimAnswer
    ) -> None:
        """Handle a voter's answer to a claim of that round."""
        state = self.duties.get(duty)
        if state is None:
            return
        state.highest_number = max(state.highest_number, answer.highest_number)
        if answer.result == ClaimResult.RELEASED:
            if not state.expires_at and not state.round:
                state.next_claim_at = now  # no need to wait until its lease would have ended
            return
        if (
            state.round != round_
            or not round_
            or state.number != number
            or voter not in self.settings.voters()
        ):
            return  # of an earlier round, whose grants do not count
        if answer.result == ClaimResult.GRANTED:
            state.granted_by.add(voter)
            if self.has_majority(state):
                # Counted from the sending of the claim, which is before the voter's lease began.
                expires_at = state.claimed_at + holder_lease(self.settings.lease, self.settings.drift)
                is_new = not state.expires_at
                if expires_at > max(now, state.expires_at):
                    state.expires_at = expires_at
                    if is_new:
                        self.callbacks.duty_changed(
                            state.name, state.number, f"{len(state.granted_by)} voters"
                        )
            return
        state.refused_by.add(voter)
        if state.expires_at or self.can_win(state):
            return
        self.abandon_claim(now, state, answer)

    def abandon_claim(self, now: int, state: DutyState, answer: ClaimAnswer) -> None:
        """Release the grants of a claim that can no longer win, and claim again after a random wait.

        Otherwise several claimants could each keep some of the voters, again and again, and none would win.
        """
        self.send_releases([state])
        lease = self.settings.lease
        wait = answer.wait if answer.result in (ClaimResult.HELD, ClaimResult.SILENT) else 0
        state.next_claim_at = now + min(wait, 2 * lease) + self.rng.randrange(max(1, lease // 10))
        state.round = 0

    def has_majority(self, state: DutyState) -> bool:
        """Whether a majority of each set of voters has granted the present claim."""
        return all(
            2 * len(state.granted_by & set(voters)) > len(voters) for voters in self.settings.voter_sets
        )

    def can_win(self, state: DutyState) -> bool:
        """Whether the present claim can still win a majority of each set of voters."""
        return all(
            2 * (len(voters) - len(state.refused_by & set(voters))) > len(voters)
            for voters in self.settings.voter_sets
        )

    # -- releasing

    def resign(self, now: int, name: str, why: str) -> None:
        """Release a duty, which another sidecar may claim at once; not claimed here for one lease."""
        state = self.duties.get(name)
        if state is not None:
            self.resign_all(now, [state], why)

    def resign_all(self, now: int, resigned: Sequence[DutyState], why: str) -> None:
        """Release several duties, see `resign`."""
        self.send_releases(resigned)
        for state in resigned:
            was_held, state.expires_at = now < state.expires_at, 0
            state.number, state.round = max(state.number, state.highest_number), 0
            state.next_claim_at = now + self.settings.lease
            if was_held:
                self.callbacks.duty_changed(state.name, 0, why)

    def reclaim_above(self, now: int, name: str, highest: int) -> None:
        """The resource that is acted on knows a higher number: release the duty and claim it above that."""
        state = self.duties.get(name)
        if state is not None and highest > state.number:
            state.highest_number = max(state.highest_number, highest)
            self.resign(now, name, "a higher number is known")
            state.next_claim_at = now

    def send_releases(self, resigned: Sequence[DutyState]) -> None:
        """Notify every voter that duties are released."""
        claims = [Claim(state.name, state.number, True) for state in resigned if state.number]
        for batch in batches(claims, lambda claim: claim.duty, GRANT_ENTRY_BYTES):
            for voter in self.settings.voters():
                self.callbacks.send_claims(voter, 0, batch)

    def suspend(self, now: int, why: str) -> None:
        """Release all duties and claim none: this process runs late, exits, or can't do what they require."""
        if self.eligible:
            self.eligible = False
            self.resign_all(now, list(self.duties.values()), why)

    def resume(self) -> None:
        """Claim duties again."""
        self.eligible = True

    def apply_settings(self, now: int, settings: LeaseSettings) -> None:
        """Apply reloaded settings; with other sets of voters every duty is released and claimed of all.

        A later file may no longer name the old set of voters. A sidecar that goes by it must not win a duty
        while a lease exists that the old set alone has granted. Claims in progress were made to the old
        voters and no longer count.
        """
        if settings.voter_set_ids() != self.settings.voter_set_ids():
            self.resign_all(now, list(self.duties.values()), "the voters change")
        if settings != self.settings:
            self.settings = settings
            for state in self.duties.values():
                state.round, state.next_claim_at = 0, now
