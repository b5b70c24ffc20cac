"""One sidecar's whole part in the fleet: membership, duties, what it grants as a voter, trials.

Give `heard` each message with its address, and call `woke` at `due()`, or before; what is to be sent and told
goes to the outlet.  Times are whole microseconds of a clock that does not run backwards, and milliseconds of
the wall clock's.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from . import membership, messages, trials
from .duties import Claim, Duties, LeaseSettings, rank
from .leases import ClaimAnswer, ClaimResult, Voter
from .membership import Membership
from .messages import ALIVE, ClaimEntry, Claims, GrantEntry, Grants, Record, TrialReports
from .settings import PeerSettings, Voting
from .trials import Trials

LATE_LEASE_DIVISOR = 4  # of a lease: who wakes so late is not fit to hold anything
TRIAL_REPORT_BYTES = 24  # bytes of one besides the name
RESIGNED_BY_OPERATOR = "taken away by hand"


class Callbacks(membership.Callbacks, trials.Callbacks, Protocol):
    def duty_changed(self, duty: str, number: int, why: str) -> None:
        """Held from now on, or, with number 0, no longer: a change for the log."""


class FleetNode:
    def __init__(self, me: Record, settings: PeerSettings, seed: int, outlet: Callbacks, now: int) -> None:
        self.own_record = me
        self.seed = seed
        self.callbacks = outlet
        self.membership = Membership(me, settings, seed, outlet, now)
        self.voting: Voting | None = None
        self.duties: Duties | None = None
        self.voter: Voter | None = None
        self.trials: Trials | None = None
        # Of each duty granted here, who was refused it and has the highest rank: told when it is free.
        self.refused_claimants: dict[str, tuple[bytes, str]] = {}
        self.local_claims: list[Claims] = []  # what this sidecar says to the voter that it is itself
        self.is_stopping = False
        self.last_late_at = 0
        self.expected_timer_at = 0
        self.apply_voting(now, settings.voting)

    def apply_voting(self, now: int, voting: Voting | None) -> None:
        """What the file says of duties, at the start or later."""
        if (
            self.voting is not None
            and voting != self.voting
            and self.duties is not None
            and (voting is None or not voting.shared_trials)
        ):
            self.duties.resign_all(now, list(self.duties.duties.values()), "the file says so")
            self.trials = None
            self.duties.set_wanted(now, [])
        self.voting = voting
        if voting is None:
            self.duties, self.voter = None, None
            self.refused_claimants.clear()
            return
        given = LeaseSettings(voting.voter_sets, voting.lease, voting.drift)
        names = sorted(given.voter_set_ids())
        if self.duties is None:
            self.duties = Duties(self.own_record.instance_id, given, self.seed ^ 1, self, now)
        else:
            self.duties.apply_settings(now, given)
        if self.own_record.address not in given.voters():
            self.voter = None
            self.refused_claimants.clear()
        elif self.voter is None:
            self.voter = Voter(names, voting.max_lease, voting.drift, now)
        else:
            self.voter.apply_voter_sets(names)
            self.voter.max_lease = voting.max_lease
        if voting.shared_trials and self.trials is None:
            self.trials = Trials(self.own_record.zone, self.duties, self.seed ^ 2, self.callbacks)

    # -- time

    def next_timer(self) -> int:
        times = [self.membership.next_timer()]
        if self.duties is not None and (at := self.duties.next_timer()) is not None:
            times.append(at)
        if self.trials is not None and (at := self.trials.next_timer()) is not None:
            times.append(at)
        return min(times)

    def on_timer(self, now: int, wall_ms: int) -> None:
        self.check_delay(now)
        self.membership.on_timer(now)
        if self.duties is not None:
            if self.trials is not None:
                self.trials.check_duties(now, wall_ms)
                self.duties.set_wanted(now, self.trials.wanted_duties(now))
                self.send_trial_reports(now, self.trials)
            self.duties.on_timer(now, wall_ms)
            self.deliver_local_claims(now)
            if self.trials is not None:
                self.trials.check_duties(now, wall_ms)
        self.expected_timer_at = self.next_timer()

    def check_delay(self, now: int) -> None:
        """Guards duties against a holder that was stopped, or has no core to act with in time."""
        if self.duties is None or self.voting is None or self.is_stopping:
            return
        late = now - self.expected_timer_at if self.expected_timer_at else 0
        if late > self.voting.lease // LATE_LEASE_DIVISOR:
            self.last_late_at = now
            self.duties.suspend(now, f"late by {late / 1e6:.1f} s")
        elif not self.duties.eligible and now - self.last_late_at > self.voting.lease:
            self.duties.resume()

    def send_trial_reports(self, now: int, own: Trials) -> None:
        verdicts = list(own.take_reports(now))
        if not verdicts:
            return
        zone = [
            one.record.address
            for one in self.membership.member_table
            if one.record.state == ALIVE and one.record.zone == self.own_record.zone
        ]
        count = min(len(zone), trials.fanout(len(zone)))
        some = own.rng.sample(zone, count)
        for batch in messages.batches(verdicts, lambda one: one.server, TRIAL_REPORT_BYTES):
            for address in some:
                self.callbacks.send_message(
                    address, TrialReports(self.membership.own_record, self.membership.digest(), batch)
                )

    # -- messages

    def receive(self, now: int, address: str, message: messages.AnyMessage) -> None:
        self.check_delay(now)
        self.membership.receive(now, address, message)
        match message:
            case Claims() if self.voter is not None:
                answer = self.answer_claims(now, message)
                if answer is not None:
                    self.callbacks.send_message(address, answer)
            case Grants():
                self.receive_grants(now, message)
            case TrialReports() if self.trials is not None and message.sender.zone == self.own_record.zone:
                for verdict in message.reports:
                    self.trials.receive_report(now, verdict)
        self.expected_timer_at = self.next_timer()

    def answer_claims(self, now: int, message: Claims) -> Grants | None:
        voter = self.voter
        assert voter is not None
        answers = []
        for one in message.claims:
            if one.release:
                if voter.release(one.duty, message.sender.instance_id, one.number):
                    self.notify_released(now, one.duty, voter.highest_numbers.get(one.duty, 0))
                continue
            told = voter.answer_claim(
                now,
                one.duty,
                message.sender.instance_id,
                one.number,
                message.lease,
                frozenset(message.voter_set_ids),
            )
            if told.result == ClaimResult.GRANTED:
                if self.refused_claimants.get(one.duty, (b"", ""))[1] == message.sender.address:
                    del self.refused_claimants[one.duty]
            elif told.result == ClaimResult.HELD:
                mine = (rank(one.duty, message.sender.address), message.sender.address)
                self.refused_claimants[one.duty] = max(mine, self.refused_claimants.pop(one.duty, mine))
                if len(self.refused_claimants) > voter.max_duties:
                    del self.refused_claimants[next(iter(self.refused_claimants))]
            answers.append(GrantEntry(one.duty, one.number, told.result, told.wait, told.highest_number))
        if not answers:
            return None
        return Grants(self.membership.own_record, self.membership.digest(), message.round, answers)

    def notify_released(self, now: int, duty: str, highest: int) -> None:
        """Tell the first of those that were refused: guards a duty that was given up against lying idle."""
        _, address = self.refused_claimants.pop(duty, (b"", ""))
        told = Grants(
            self.membership.own_record,
            self.membership.digest(),
            0,
            [GrantEntry(duty, 0, ClaimResult.RELEASED, 0, highest)],
        )
        if address == self.own_record.address:
            self.receive_grants(now, told)
        elif address:
            self.callbacks.send_message(address, told)

    def receive_grants(self, now: int, message: Grants) -> None:
        if self.duties is not None:
            for each in message.grants:
                self.duties.receive_answer(
                    now,
                    message.sender.address,
                    message.round,
                    each.duty,
                    each.number,
                    ClaimAnswer(ClaimResult(each.result), each.wait, each.highest_number),
                )

    def deliver_local_claims(self, now: int) -> None:
        """What was said to the voter that this sidecar is itself, without the socket."""
        while self.local_claims:
            message = self.local_claims.pop(0)
            if self.voter is not None and (answer := self.answer_claims(now, message)) is not None:
                self.receive_grants(now, answer)

    # -- the outlet of the duties

    def send_claims(self, voter: str, round_: int, claims: Sequence[Claim]) -> None:
        assert self.voting is not None and self.duties is not None
        told = [ClaimEntry(one.duty, one.number, one.release) for one in claims]
        message = Claims(
            self.membership.own_record,
            self.membership.digest(),
            round_,
            self.voting.lease,
            sorted(self.duties.settings.voter_set_ids()),
            told,
        )
        if voter == self.own_record.address:
            self.local_claims.append(message)
        else:
            self.callbacks.send_message(voter, message)

    def duty_changed(self, duty: str, number: int, why: str) -> None:
        self.callbacks.duty_changed(duty, number, why)

    # -- the end, and hands

    def stop(self, now: int) -> None:
        """The process ends: what it holds goes to others at once, and it claims nothing more."""
        self.is_stopping = True
        if self.duties is not None:
            self.duties.suspend(now, "ends")
            self.deliver_local_claims(now)

    def leave(self, now: int) -> None:
        self.membership.leave(now)

    def resign_duty(self, now: int, duty: str) -> bool:
        """By hand: whether this sidecar held it."""
        if self.duties is None or not self.duties.fencing_number(now, duty):
            return False
        self.duties.resign(now, duty, RESIGNED_BY_OPERATOR)
        self.deliver_local_claims(now)
        if self.trials is not None:
            self.trials.duty_resigned(now, duty)
        return True
