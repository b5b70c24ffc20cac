"""One sidecar's participation in the fleet: membership, duties, votes on duties, shared trials.

Pass each received message to `receive` with the sender's address, and call `on_timer` at `next_timer()` or
earlier; outgoing messages and notifications go to the callbacks. Times are whole microseconds of a monotonic
clock; `wall_ms` is the wall clock in milliseconds.
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

LATE_LEASE_DIVISOR = 4  # a timer later than this fraction of a lease makes the sidecar unfit to hold duties
TRIAL_REPORT_BYTES = 24  # encoded size of a trial report without the server's name
RESIGNED_BY_OPERATOR = "taken away by hand"


class Callbacks(membership.Callbacks, trials.Callbacks, Protocol):
    """What a fleet node asks of its host."""

    def duty_changed(self, duty: str, number: int, why: str) -> None:
        """Log that the duty is now held under `number`, or no longer held if `number` is 0."""


class FleetNode:
    """Membership, duties, voter and trials of one sidecar, connected to each other."""

    def __init__(
        self, own_record: Record, settings: PeerSettings, seed: int, callbacks: Callbacks, now: int
    ) -> None:
        self.own_record = own_record
        self.seed = seed
        self.callbacks = callbacks
        self.membership = Membership(own_record, settings, seed, callbacks, now)
        self.voting: Voting | None = None
        self.duties: Duties | None = None
        self.voter: Voter | None = None
        self.trials: Trials | None = None
        # By duty granted here: rank and address of the highest-ranked refused claimant, notified on release.
        self.refused_claimants: dict[str, tuple[bytes, str]] = {}
        self.local_claims: list[Claims] = []  # claims to this sidecar's own voter
        self.is_stopping = False
        self.last_late_at = 0
        self.expected_timer_at = 0
        self.apply_voting(now, settings.voting)

    def apply_voting(self, now: int, voting: Voting | None) -> None:
        """Apply the settings on duties, at the start and at each reload; None turns duties off."""
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
        lease_settings = LeaseSettings(voting.voter_sets, voting.lease, voting.drift)
        set_ids = sorted(lease_settings.voter_set_ids())
        if self.duties is None:
            self.duties = Duties(self.own_record.instance_id, lease_settings, self.seed ^ 1, self, now)
        else:
            self.duties.apply_settings(now, lease_settings)
        if self.own_record.address not in lease_settings.voters():
            self.voter = None
            self.refused_claimants.clear()
        elif self.voter is None:
            self.voter = Voter(set_ids, voting.max_lease, voting.drift, now)
        else:
            self.voter.apply_voter_sets(set_ids)
            self.voter.max_lease = voting.max_lease
        if voting.shared_trials and self.trials is None:
            self.trials = Trials(self.own_record.zone, self.duties, self.seed ^ 2, self.callbacks)

    # -- timers

    def next_timer(self) -> int:
        """When to call `on_timer` next."""
        times = [self.membership.next_timer()]
        if self.duties is not None and (at := self.duties.next_timer()) is not None:
            times.append(at)
        if self.trials is not None and (at := self.trials.next_timer()) is not None:
            times.append(at)
        return min(times)

    def on_timer(self, now: int, wall_ms: int) -> None:
        """Do everything that is due."""
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
        """Suspend duties while this process runs late.

        A holder that was stopped, or gets no CPU, would keep its leases without acting on them in time.
        """
        if self.duties is None or self.voting is None or self.is_stopping:
            return
        late = now - self.expected_timer_at if self.expected_timer_at else 0
        if late > self.voting.lease // LATE_LEASE_DIVISOR:
            self.last_late_at = now
            self.duties.suspend(now, f"late by {late / 1e6:.1f} s")
        elif not self.duties.eligible and now - self.last_late_at > self.voting.lease:
            self.duties.resume()

    def send_trial_reports(self, now: int, own_trials: Trials) -> None:
        """Send pending trial reports to a random sample of the live peers in the own zone."""
        reports = list(own_trials.take_reports(now))
        if not reports:
            return
        zone = [
            member.record.address
            for member in self.membership.member_table
            if member.record.state == ALIVE and member.record.zone == self.own_record.zone
        ]
        count = min(len(zone), trials.fanout(len(zone)))
        recipients = own_trials.rng.sample(zone, count)
        for batch in messages.batches(reports, lambda report: report.server, TRIAL_REPORT_BYTES):
            for address in recipients:
                self.callbacks.send_message(
                    address, TrialReports(self.membership.own_record, self.membership.digest(), batch)
                )

    # -- messages

    def receive(self, now: int, address: str, message: messages.AnyMessage) -> None:
        """Handle one message that arrived from `address`."""
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
                for report in message.reports:
                    self.trials.receive_report(now, report)
        self.expected_timer_at = self.next_timer()

    def answer_claims(self, now: int, message: Claims) -> Grants | None:
        """This voter's answers to the claims in a message; None if it only releases duties."""
        voter = self.voter
        assert voter is not None
        answers = []
        for claim in message.claims:
            if claim.release:
                if voter.release(claim.duty, message.sender.instance_id, claim.number):
                    self.notify_released(now, claim.duty, voter.highest_numbers.get(claim.duty, 0))
                continue
            answer = voter.answer_claim(
                now,
                claim.duty,
                message.sender.instance_id,
                claim.number,
                message.lease,
                frozenset(message.voter_set_ids),
            )
            if answer.result == ClaimResult.GRANTED:
                if self.refused_claimants.get(claim.duty, (b"", ""))[1] == message.sender.address:
                    del self.refused_claimants[claim.duty]
            elif answer.result == ClaimResult.HELD:
                claimant = (rank(claim.duty, message.sender.address), message.sender.address)
                self.refused_claimants[claim.duty] = max(
                    claimant, self.refused_claimants.pop(claim.duty, claimant)
                )
                if len(self.refused_claimants) > voter.max_duties:
                    del self.refused_claimants[next(iter(self.refused_claimants))]
            answers.append(
                GrantEntry(claim.duty, claim.number, answer.result, answer.wait, answer.highest_number)
            )
        if not answers:
            return None
        return Grants(self.membership.own_record, self.membership.digest(), message.round, answers)

    def notify_released(self, now: int, duty: str, highest: int) -> None:
        """Notify the highest-ranked refused claimant that a duty was released.

        Without this the duty would have no holder until the former lease would have ended.
        """
        _, address = self.refused_claimants.pop(duty, (b"", ""))
        notice = Grants(
            self.membership.own_record,
            self.membership.digest(),
            0,
            [GrantEntry(duty, 0, ClaimResult.RELEASED, 0, highest)],
        )
        if address == self.own_record.address:
            self.receive_grants(now, notice)
        elif address:
            self.callbacks.send_message(address, notice)

    def receive_grants(self, now: int, message: Grants) -> None:
        """Pass a voter's answers to the duties."""
        if self.duties is not None:
            for grant in message.grants:
                self.duties.receive_answer(
                    now,
                    message.sender.address,
                    message.round,
                    grant.duty,
                    grant.number,
                    ClaimAnswer(ClaimResult(grant.result), grant.wait, grant.highest_number),
                )

    def deliver_local_claims(self, now: int) -> None:
        """Deliver claims to this sidecar's own voter directly, without the socket."""
        while self.local_claims:
            message = self.local_claims.pop(0)
            if self.voter is not None and (answer := self.answer_claims(now, message)) is not None:
                self.receive_grants(now, answer)

    # -- callbacks of the duties

    def send_claims(self, voter: str, round_: int, claims: Sequence[Claim]) -> None:
        """Send claims to a voter, or queue them if this sidecar is that voter."""
        assert self.voting is not None and self.duties is not None
        entries = [ClaimEntry(claim.duty, claim.number, claim.release) for claim in claims]
        message = Claims(
            self.membership.own_record,
            self.membership.digest(),
            round_,
            self.voting.lease,
            sorted(self.duties.settings.voter_set_ids()),
            entries,
        )
        if voter == self.own_record.address:
            self.local_claims.append(message)
        else:
            self.callbacks.send_message(voter, message)

    def duty_changed(self, duty: str, number: int, why: str) -> None:
        """Forward a change of a duty to the host."""
        self.callbacks.duty_changed(duty, number, why)

    # -- shutdown and operators

    def stop(self, now: int) -> None:
        """The process is about to exit: release every duty at once and claim none."""
        self.is_stopping = True
        if self.duties is not None:
            self.duties.suspend(now, "ends")
            self.deliver_local_claims(now)

    def leave(self, now: int) -> None:
        """Leave the fleet."""
        self.membership.leave(now)

    def resign_duty(self, now: int, duty: str) -> bool:
        """Give up a duty at an operator's request; return whether this sidecar held it."""
        if self.duties is None or not self.duties.fencing_number(now, duty):
            return False
        self.duties.resign(now, duty, RESIGNED_BY_OPERATOR)
        self.deliver_local_claims(now)
        if self.trials is not None:
            self.trials.duty_resigned(now, duty)
        return True
