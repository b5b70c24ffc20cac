"""Trials of sick servers, made by one sidecar of a zone at a time, and what the others hear of them.

The host tells of its breakers by `opened` and `tried`; `wanted` gives the duties to claim, `turns` the
servers that this sidecar may try now, and `heard` takes the words of others, which go on to the breakers by
the outlet.  Times are whole microseconds.

Verdicts of others put a trial off or bring it forward, no more: no breaker opens or closes by them.  A
sidecar that hears none tries by itself once it has waited for a Cooldown more, and one that is put off again
and again does so a minute after its own last verdict, later each time that its own trial fails as well.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import log
from random import Random
from typing import Protocol

from .duties import INSTANCE_BITS, WALL_MS_MASK, Duties
from .messages import TrialReport

DUTY_PREFIX = "trial"
MAX_DUTY_NAME_BYTES = 64  # bytes of a duty's name; servers with longer ones are tried by each sidecar
MAX_WAIT_US = 30_000_000  # that others may ask for at once
MAX_POSTPONED_US = 60_000_000  # after its own last verdict, that a sidecar lets itself be put off,
MAX_DOUBLINGS = 4  # twice as long each time that its own trial has failed, as often as this
RETENTION_US = 120_000_000  # a breaker that nothing is heard of any more, nor any word of it
MAX_SERVERS = 4096  # servers whose last word is known
VERSION_MASK = (1 << 63) - 1  # version,
INSTANCE_MASK = (1 << INSTANCE_BITS) - 1  # of which these tell whose life's word it is
REPORT_BATCH_US = 100_000  # between two tellings: what comes within goes out together


class Callbacks(Protocol):
    def postpone_trial(self, server: str, wait: int) -> None:
        """Nobody here need try it for so long; 0: it has served another, so try it now."""


class OpenBreaker:
    """A server whose breaker is open here."""

    __slots__ = (
        "cooldown",
        "trial_at",
        "claim_at",
        "opened_at",
        "failed_trials",
        "may_claim",
        "announced_number",
        "held_since",
        "last_activity",
        "postponed_by",
        "own_trial_next",
    )

    def __init__(self, now: int) -> None:
        self.cooldown = 0
        self.trial_at = 0  # when the own trial may begin
        self.claim_at = 0
        self.opened_at = now  # by this sidecar's own eyes
        self.failed_trials = -1  # trials of its own, one after the other
        self.may_claim = False  # whether it sends there often enough to find out for others
        self.announced_number = 0  # the number of the duty that others have been told of
        self.held_since = 0  # when the duty came
        self.last_activity = now
        self.postponed_by = -1  # which life's word put the trial off last
        self.own_trial_next = (
            False  # another was served: this sidecar's own trial is next, whatever is said since
        )


class Trials:
    def __init__(self, zone: str, duties: Duties, seed: int, outlet: Callbacks) -> None:
        self.zone = zone
        self.duties = duties
        self.rng = Random(seed)
        self.callbacks = outlet
        self.open_breakers: dict[str, OpenBreaker] = {}
        self.latest_reports: dict[str, tuple[int, int]] = {}  # version, and when it was heard
        self.pending_reports: dict[str, TrialReport] = {}  # to be told on
        self.send_at = 0
        self.checked_at = 0
        self.wall_clock = (0, 0)  # the wall clock's milliseconds, and when it was read

    def duty_name(self, server: str) -> str:
        return f"{DUTY_PREFIX} {self.zone} {server}"

    def is_shared(self, server: str) -> bool:
        return len(self.duty_name(server).encode()) <= MAX_DUTY_NAME_BYTES

    # -- this sidecar's breakers

    def breaker_opened(self, now: int, server: str, cooldown: int, often: bool) -> None:
        """By its own eyes, at first or after a trial; `often`: it would send there within a Cooldown."""
        one = self.open_breakers.get(server)
        if one is None:
            if len(self.open_breakers) >= MAX_SERVERS:
                return
            one = self.open_breakers[server] = OpenBreaker(now)
        one.failed_trials, one.postponed_by, one.own_trial_next = (
            min(MAX_DOUBLINGS, one.failed_trials + 1),
            -1,
            False,
        )
        one.may_claim = often
        one.cooldown, one.trial_at, one.opened_at, one.last_activity = cooldown, now + cooldown, now, now
        # Claimed early, so that it is settled who tries when the first Cooldown is over; not by all at once.
        one.claim_at = now + self.rng.randrange(max(1, cooldown // 2))
        if one.failed_trials > 0:
            self.report(now, server, cooldown, True)
            if self.duties.fencing_number(now, self.duty_name(server)):
                # Guards the others against an observer that is sick itself: somebody else looks next.
                self.duties.resign(now, self.duty_name(server), "its trial has failed")
                one.claim_at = now + cooldown

    def trial_finished(self, now: int, server: str, failed: bool) -> None:
        """The verdict of an own trial; when it has failed, `opened` follows."""
        if server in self.open_breakers and not failed:
            self.report(now, server, 0, True)
            del self.open_breakers[server]
            self.duties.resign(now, self.duty_name(server), "the server serves")

    def report(self, now: int, server: str, wait: int, tried: bool) -> None:
        """Tell the zone, whoever's turn it was: a verdict is one.

        Its version is above all that are known, and near the wall clock's time, as a duty's number is.
        """
        if self.is_shared(server):
            wall_ms = self.wall_clock[0] + (now - self.wall_clock[1]) // 1000
            above = (
                max(self.latest_reports.get(server, (0, 0))[0] >> INSTANCE_BITS, wall_ms & WALL_MS_MASK) + 1
            )
            version = above << INSTANCE_BITS | self.duties.own_id & INSTANCE_MASK
            self.store_report(now, TrialReport(server, version & VERSION_MASK, min(MAX_WAIT_US, wait), tried))

    # -- words of others

    def receive_report(self, now: int, verdict: TrialReport) -> None:
        server = verdict.server
        newest = self.latest_reports.get(server)
        if newest is not None and now - newest[1] < RETENTION_US and verdict.version <= newest[0]:
            return  # older than what is known, or the same once more
        self.store_report(now, verdict)
        one = self.open_breakers.get(server)
        if one is None:
            return
        wait = min(MAX_WAIT_US, verdict.wait)
        if not verdict.finished:
            one.claim_at = max(one.claim_at, now + wait)
            return
        by = verdict.version & INSTANCE_MASK
        if (
            now - one.opened_at > MAX_POSTPONED_US << max(0, one.failed_trials)
            or one.own_trial_next
            or wait
            and by == one.postponed_by
        ):
            # Guards against words that keep a server out that may serve this sidecar: for long, after another
            # was served, or from one life twice in a row, which may be sick itself.
            return
        one.postponed_by, one.own_trial_next = by, not wait
        one.last_activity, one.trial_at = now, now + wait
        # Before the wait is over, so that it is settled then who tries next; not by all at once.
        one.claim_at = now + wait // 2 + self.rng.randrange(max(1, wait // 4))
        self.callbacks.postpone_trial(server, wait)

    def store_report(self, now: int, verdict: TrialReport) -> None:
        self.latest_reports.pop(verdict.server, None)
        if len(self.latest_reports) >= MAX_SERVERS:
            del self.latest_reports[next(iter(self.latest_reports))]
        self.latest_reports[verdict.server] = (verdict.version, now)
        if not self.pending_reports:
            self.send_at = now + REPORT_BATCH_US
        self.pending_reports[verdict.server] = verdict

    # -- time

    def next_timer(self) -> int | None:
        times = [one.claim_at for one in self.open_breakers.values() if one.claim_at > self.checked_at]
        if self.pending_reports:
            times.append(self.send_at)
        return min(times, default=None)

    def check_duties(self, now: int, wall_ms: int) -> None:
        """What has changed with the duties: those won are told of, those of no use are given up."""
        self.checked_at = now
        self.wall_clock = (wall_ms, now)
        for server, one in list(self.open_breakers.items()):
            number = self.duties.fencing_number(now, self.duty_name(server))
            if now - one.last_activity > RETENTION_US:
                del self.open_breakers[server]
                self.duties.resign(now, self.duty_name(server), "no breaker is open")
            elif number and number != one.announced_number:
                one.announced_number, one.held_since = number, now
                self.report(now, server, max(0, one.trial_at - now) + one.cooldown, False)
            elif number and now > max(one.trial_at, one.held_since) + one.cooldown:
                # Guards against a holder that sends nothing there: another, with more to send, finds out.
                one.claim_at = now + 2 * one.cooldown
                self.duties.resign(now, self.duty_name(server), "no verdict in time")

    def wanted_duties(self, now: int) -> list[str]:
        return [
            self.duty_name(server)
            for server, one in self.open_breakers.items()
            if one.may_claim and now >= one.claim_at and self.is_shared(server)
        ]

    def allowed_trials(self, now: int) -> dict[str, int]:
        """The servers that are this sidecar's to try, and until when."""
        held = {duty: left for duty, _, left in self.duties.held(now)}
        return {
            server: now + held.get(self.duty_name(server), RETENTION_US)
            for server in self.open_breakers
            if self.duty_name(server) in held or not self.is_shared(server)
        }

    def take_reports(self, now: int) -> Iterator[TrialReport]:
        """What goes to some others of the zone now: each word once from each sidecar."""
        if self.pending_reports and now >= self.send_at:
            yield from self.pending_reports.values()
            self.pending_reports = {}

    def duty_resigned(self, now: int, duty: str) -> None:
        """Taken away by hand: not claimed here for two Cooldowns."""
        for server, one in self.open_breakers.items():
            if self.duty_name(server) == duty:
                one.claim_at = now + 2 * one.cooldown


def fanout(members: int) -> int:
    """To how many each tells a word once, so that nearly always all hear it.

    ln n + c reaches all with a probability of exp(-exp(-c)) (Kermarrec et al. 2003).
    """
    return round(log(max(1, members))) + 2
