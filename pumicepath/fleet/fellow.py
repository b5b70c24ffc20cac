"""One sidecar's whole part in the fleet: membership, duties, what it grants as a voter, trials.

Give `heard` each message with its address, and call `woke` at `due()`, or before; what is to be sent and told
goes to the outlet.  Times are whole microseconds of a clock that does not run backwards, and milliseconds of
the wall clock's.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from . import membership, messages, trials
from .duties import Claim, Duties, Given, rank
from .leases import Answer, Verdict, Voter
from .membership import Membership
from .messages import ALIVE, Claimed, Claims, Granted, Grants, Record, Tried
from .settings import PeerSettings, Voting
from .trials import Trials

LATE_PART = 4  # of a lease: who wakes so late is not fit to hold anything
OF_VERDICT = 24  # bytes of one besides the name
LEFT_BY = "taken away by hand"


class Outlet(membership.Outlet, trials.Outlet, Protocol):
    def holds(self, duty: str, number: int, why: str) -> None:
        """Held from now on, or, with number 0, no longer: a change for the log."""


class Fellow:
    def __init__(self, me: Record, settings: PeerSettings, seed: int, outlet: Outlet, now: int) -> None:
        self.me = me
        self.seed = seed
        self.outlet = outlet
        self.membership = Membership(me, settings, seed, outlet, now)
        self.voting: Voting | None = None
        self.duties: Duties | None = None
        self.voter: Voter | None = None
        self.trials: Trials | None = None
        # Of each duty granted here, who was refused it and has the highest rank: told when it is free.
        self.waiting: dict[str, tuple[bytes, str]] = {}
        self.own: list[Claims] = []  # what this sidecar says to the voter that it is itself
        self.ending = False
        self.late_at = 0
        self.expected = 0
        self.adopt(now, settings.voting)

    def adopt(self, now: int, voting: Voting | None) -> None:
        """What the file says of duties, at the start or later."""
        if (
            self.voting is not None
            and voting != self.voting
            and self.duties is not None
            and (voting is None or not voting.trials)
        ):
            self.duties.resign_all(now, list(self.duties.duties.values()), "the file says so")
            self.trials = None
            self.duties.want(now, [])
        self.voting = voting
        if voting is None:
            self.duties, self.voter = None, None
            self.waiting.clear()
            return
        given = Given(voting.sets, voting.lease, voting.drift)
        names = sorted(given.names())
        if self.duties is None:
            self.duties = Duties(self.me.born, given, self.seed ^ 1, self, now)
        else:
            self.duties.adopt(now, given)
        if self.me.address not in given.voters():
            self.voter = None
            self.waiting.clear()
        elif self.voter is None:
            self.voter = Voter(names, voting.longest, voting.drift, now)
        else:
            self.voter.adopt(names)
            self.voter.longest = voting.longest
        if voting.trials and self.trials is None:
            self.trials = Trials(self.me.zone, self.duties, self.seed ^ 2, self.outlet)

    # -- time

    def due(self) -> int:
        times = [self.membership.due()]
        if self.duties is not None and (at := self.duties.due()) is not None:
            times.append(at)
        if self.trials is not None and (at := self.trials.due()) is not None:
            times.append(at)
        return min(times)

    def woke(self, now: int, wall_ms: int) -> None:
        self.fitness(now)
        self.membership.woke(now)
        if self.duties is not None:
            if self.trials is not None:
                self.trials.looked(now, wall_ms)
                self.duties.want(now, self.trials.wanted(now))
                self.tell_on(now, self.trials)
            self.duties.woke(now, wall_ms)
            self.hear_itself(now)
            if self.trials is not None:
                self.trials.looked(now, wall_ms)
        self.expected = self.due()

    def fitness(self, now: int) -> None:
        """Guards duties against a holder that was stopped, or has no core to act with in time."""
        if self.duties is None or self.voting is None or self.ending:
            return
        late = now - self.expected if self.expected else 0
        if late > self.voting.lease // LATE_PART:
            self.late_at = now
            self.duties.unfit(now, f"late by {late / 1e6:.1f} s")
        elif not self.duties.fit and now - self.late_at > self.voting.lease:
            self.duties.recovered()

    def tell_on(self, now: int, own: Trials) -> None:
        verdicts = list(own.told_on(now))
        if not verdicts:
            return
        zone = [
            one.record.address
            for one in self.membership.roll
            if one.record.state == ALIVE and one.record.zone == self.me.zone
        ]
        count = min(len(zone), trials.audience(len(zone)))
        some = own.chance.sample(zone, count)
        for batch in messages.batches(verdicts, lambda one: one.server, OF_VERDICT):
            for address in some:
                self.outlet.post(address, Tried(self.membership.me, self.membership.digest(), batch))

    # -- messages

    def heard(self, now: int, address: str, message: messages.Any) -> None:
        self.fitness(now)
        self.membership.heard(now, address, message)
        match message:
            case Claims() if self.voter is not None:
                answer = self.voted(now, message)
                if answer is not None:
                    self.outlet.post(address, answer)
            case Grants():
                self.granted(now, message)
            case Tried() if self.trials is not None and message.sender.zone == self.me.zone:
                for verdict in message.verdicts:
                    self.trials.heard(now, verdict)
        self.expected = self.due()

    def voted(self, now: int, message: Claims) -> Grants | None:
        voter = self.voter
        assert voter is not None
        answers = []
        for one in message.claims:
            if one.release:
                if voter.released(one.duty, message.sender.born, one.number):
                    self.free(now, one.duty, voter.highest.get(one.duty, 0))
                continue
            told = voter.asked(
                now, one.duty, message.sender.born, one.number, message.lease, frozenset(message.sets)
            )
            if told.verdict == Verdict.GRANTED:
                if self.waiting.get(one.duty, (b"", ""))[1] == message.sender.address:
                    del self.waiting[one.duty]
            elif told.verdict == Verdict.TAKEN:
                mine = (rank(one.duty, message.sender.address), message.sender.address)
                self.waiting[one.duty] = max(mine, self.waiting.pop(one.duty, mine))
                if len(self.waiting) > voter.most:
                    del self.waiting[next(iter(self.waiting))]
            answers.append(Granted(one.duty, one.number, told.verdict, told.wait, told.highest))
        if not answers:
            return None
        return Grants(self.membership.me, self.membership.digest(), message.round, answers)

    def free(self, now: int, duty: str, highest: int) -> None:
        """Tell the first of those that were refused: guards a duty that was given up against lying idle."""
        _, address = self.waiting.pop(duty, (b"", ""))
        told = Grants(
            self.membership.me, self.membership.digest(), 0, [Granted(duty, 0, Verdict.FREE, 0, highest)]
        )
        if address == self.me.address:
            self.granted(now, told)
        elif address:
            self.outlet.post(address, told)

    def granted(self, now: int, message: Grants) -> None:
        if self.duties is not None:
            for each in message.grants:
                self.duties.answered(
                    now,
                    message.sender.address,
                    message.round,
                    each.duty,
                    each.number,
                    Answer(Verdict(each.verdict), each.wait, each.highest),
                )

    def hear_itself(self, now: int) -> None:
        """What was said to the voter that this sidecar is itself, without the socket."""
        while self.own:
            message = self.own.pop(0)
            if self.voter is not None and (answer := self.voted(now, message)) is not None:
                self.granted(now, answer)

    # -- the outlet of the duties

    def claim(self, voter: str, round_: int, claims: Sequence[Claim]) -> None:
        assert self.voting is not None and self.duties is not None
        told = [Claimed(one.duty, one.number, one.release) for one in claims]
        message = Claims(
            self.membership.me,
            self.membership.digest(),
            round_,
            self.voting.lease,
            sorted(self.duties.given.names()),
            told,
        )
        if voter == self.me.address:
            self.own.append(message)
        else:
            self.outlet.post(voter, message)

    def holds(self, duty: str, number: int, why: str) -> None:
        self.outlet.holds(duty, number, why)

    # -- the end, and hands

    def end(self, now: int) -> None:
        """The process ends: what it holds goes to others at once, and it claims nothing more."""
        self.ending = True
        if self.duties is not None:
            self.duties.unfit(now, "ends")
            self.hear_itself(now)

    def leave(self, now: int) -> None:
        self.membership.leave(now)

    def take_away(self, now: int, duty: str) -> bool:
        """By hand: whether this sidecar held it."""
        if self.duties is None or not self.duties.number(now, duty):
            return False
        self.duties.resign(now, duty, LEFT_BY)
        self.hear_itself(now)
        if self.trials is not None:
            self.trials.resigned(now, duty)
        return True
