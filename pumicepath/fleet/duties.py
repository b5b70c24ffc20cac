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

from .leases import Answer, Verdict, held_for, named
from .messages import batches

RENEW_AT = 3  # of a lease's time: renewed after a third, so that two renewals may be lost
OF_GRANT = 30  # bytes of an answer besides the name; a claim takes fewer
OWN_BITS = 16  # of a number, by which lives differ
WALL = (1 << 45) - 1  # milliseconds that fit above them, for a thousand years


class Claim(NamedTuple):
    """`number` 0 is no claim; `release` gives up what is held under the number."""

    duty: str
    number: int
    release: bool = False


class Outlet(Protocol):
    def claim(self, voter: str, round_: int, claims: Sequence[Claim]) -> None:
        """Ask a voter, by its address; the answers come to `answered` with the round."""

    def holds(self, duty: str, number: int, why: str) -> None:
        """Held from now on, or, with number 0, no longer: a change for the log."""


class Given(NamedTuple):
    """What the settings say: sets of voters by address, a claim needs a majority of each; times and drift."""

    sets: tuple[tuple[str, ...], ...]
    lease: int = 5_000_000
    drift: float = 0.01

    def voters(self) -> tuple[str, ...]:
        return tuple(dict.fromkeys(voter for each in self.sets for voter in each))

    def names(self) -> frozenset[int]:
        return frozenset(named(each) for each in self.sets)


class Duty:
    """One duty as this sidecar stands to it."""

    __slots__ = (
        "name",
        "number",
        "until",
        "asked_at",
        "round",
        "granted",
        "refused",
        "next",
        "highest",
        "wanted",
    )

    def __init__(self, name: str, now: int) -> None:
        self.name = name
        self.number = 0  # that this sidecar claims or holds it under
        self.until = 0  # held until then, as far as this sidecar may count on it
        self.asked_at = 0
        self.round = 0
        self.granted: set[str] = set()
        self.refused: set[str] = set()
        self.next = now  # when to claim or renew next
        self.highest = 0  # number heard of
        self.wanted = True


def rank(duty: str, member: str) -> bytes:
    """Highest random weight: whose turn it is moves as little as can be when members come and go."""
    return blake2b(f"{duty}\n{member}".encode(), digest_size=8).digest()


def falls_to(duty: str, members: Sequence[str]) -> str:
    return max(members, key=lambda member: rank(duty, member))


class Duties:
    def __init__(self, me: int, given: Given, seed: int, outlet: Outlet, now: int) -> None:
        self.me = me
        self.given = given
        self.outlet = outlet
        self.chance = Random(seed)
        self.duties: dict[str, Duty] = {}
        self.rounds = 0
        self.fit = True

    # -- what others ask of it

    def number(self, now: int, duty: str) -> int:
        """The number to act under, right now; 0: this sidecar may not."""
        one = self.duties.get(duty)
        return one.number if one is not None and now < one.until else 0

    def held(self, now: int) -> list[tuple[str, int, int]]:
        """Name, number and microseconds left of each."""
        return [(one.name, one.number, one.until - now) for one in self.duties.values() if now < one.until]

    def want(self, now: int, names: Sequence[str]) -> None:
        """The duties that fall to this sidecar; what it holds besides it keeps to the end of its time."""
        wanted = set(names)
        for name in names:
            if name not in self.duties:
                self.duties[name] = Duty(name, now + self.chance.randrange(max(1, self.given.lease // 20)))
        for one in self.duties.values():
            one.wanted = one.name in wanted
        for name in [one.name for one in self.duties.values() if not one.wanted and now >= one.until]:
            del self.duties[name]

    def due(self) -> int | None:
        times = [one.until for one in self.duties.values() if one.until]
        if self.fit:
            times += [one.next for one in self.duties.values() if one.wanted or one.until]
        return min(times, default=None)

    # -- claims

    def woke(self, now: int, wall_ms: int) -> None:
        """Send what is due: claims and renewals, many to a message; `wall_ms` is the wall clock's time."""
        ready = []
        for one in self.duties.values():
            if one.until and now >= one.until:
                one.until = 0
                self.outlet.holds(one.name, 0, "its time is over")
            if now >= one.next and self.fit and (one.wanted or one.until):
                ready.append(one)
        for batch in batches(ready, lambda one: one.name, OF_GRANT):
            self.ask(now, wall_ms, batch)

    def ask(self, now: int, wall_ms: int, ready: Sequence[Duty]) -> None:
        self.rounds += 1
        lease = self.given.lease
        for one in ready:
            if not one.until:
                # Another number for each claim: grants of an earlier one that failed must not add up with it.
                above = max(max(one.number, one.highest) >> OWN_BITS, wall_ms & WALL) + 1
                one.number = above << OWN_BITS | self.me & ((1 << OWN_BITS) - 1)
            one.round, one.asked_at = self.rounds, now
            one.granted, one.refused = set(), set()
            one.next = now + lease // RENEW_AT + self.chance.randrange(max(1, lease // 20))
        claims = [Claim(one.name, one.number) for one in ready]
        for voter in self.given.voters():
            self.outlet.claim(voter, self.rounds, claims)

    def answered(self, now: int, voter: str, round_: int, duty: str, number: int, answer: Answer) -> None:
        """What a voter says to the claim of that round."""
        one = self.duties.get(duty)
        if one is None:
            return
        one.highest = max(one.highest, answer.highest)
        if answer.verdict == Verdict.FREE:
            if not one.until and not one.round:
                one.next = now  # given up: no need to wait for what was the end of its lease
            return
        if one.round != round_ or not round_ or one.number != number or voter not in self.given.voters():
            return  # of an earlier round, whose grants count for nothing
        if answer.verdict == Verdict.GRANTED:
            one.granted.add(voter)
            if self.won(one):
                # From when the claim was sent: the voter's time began after that, before the answer came.
                until = one.asked_at + held_for(self.given.lease, self.given.drift)
                new = not one.until
                if until > max(now, one.until):
                    one.until = until
                    if new:
                        self.outlet.holds(one.name, one.number, f"{len(one.granted)} voters")
            return
        one.refused.add(voter)
        if one.until or self.may_win(one):
            return
        self.give_up(now, one, answer)

    def give_up(self, now: int, one: Duty, answer: Answer) -> None:
        """This claim can't win any more: what it was granted goes back, and another is made later, by chance.

        Guards against claims of several that each have a part of the voters, again and again.
        """
        self.tell_voters([one])
        lease = self.given.lease
        later = answer.wait if answer.verdict in (Verdict.TAKEN, Verdict.SILENT) else 0
        one.next = now + min(later, 2 * lease) + self.chance.randrange(max(1, lease // 10))
        one.round = 0

    def won(self, one: Duty) -> bool:
        return all(2 * len(one.granted & set(each)) > len(each) for each in self.given.sets)

    def may_win(self, one: Duty) -> bool:
        return all(2 * (len(each) - len(one.refused & set(each))) > len(each) for each in self.given.sets)

    # -- giving up

    def resign(self, now: int, name: str, why: str) -> None:
        """Another may have it at once; not claimed again here for a lease."""
        one = self.duties.get(name)
        if one is not None:
            self.resign_all(now, [one], why)

    def resign_all(self, now: int, given_up: Sequence[Duty], why: str) -> None:
        self.tell_voters(given_up)
        for one in given_up:
            held, one.until = now < one.until, 0
            one.number, one.round = max(one.number, one.highest), 0
            one.next = now + self.given.lease
            if held:
                self.outlet.holds(one.name, 0, why)

    def outbid(self, now: int, name: str, highest: int) -> None:
        """Whoever is acted on knows a higher number: this one is of no use, and another is claimed."""
        one = self.duties.get(name)
        if one is not None and highest > one.number:
            one.highest = max(one.highest, highest)
            self.resign(now, name, "a higher number is known")
            one.next = now

    def tell_voters(self, given_up: Sequence[Duty]) -> None:
        claims = [Claim(one.name, one.number, True) for one in given_up if one.number]
        for batch in batches(claims, lambda one: one.duty, OF_GRANT):
            for voter in self.given.voters():
                self.outlet.claim(voter, 0, batch)

    def unfit(self, now: int, why: str) -> None:
        """This sidecar is late, ends, or can't do what duties ask: all are given up, none is claimed."""
        if self.fit:
            self.fit = False
            self.resign_all(now, list(self.duties.values()), why)

    def recovered(self) -> None:
        self.fit = True

    def adopt(self, now: int, given: Given) -> None:
        """Another file.  With other sets of voters, what is held is given up, and claimed of all of them.

        Guards the step after it: who goes by a later file, without the old set, must not meet a lease that
        the old set alone has granted.  Claims under way were made to the old ones, and count for nothing.
        """
        if given.names() != self.given.names():
            self.resign_all(now, list(self.duties.values()), "the voters change")
        if given != self.given:
            self.given = given
            for one in self.duties.values():
                one.round, one.next = 0, now
