"""Shared trials of unhealthy servers: one sidecar of a zone at a time tries, the others receive its report.

The host reports its breakers with `breaker_opened` and `trial_finished`. `wanted_duties` returns the duties
to claim, `allowed_trials` the servers that this sidecar may try now, and `receive_report` takes reports of
others, which reach the breakers through the callbacks. Times are whole microseconds.

Reports of others only postpone a trial or bring it forward; no breaker opens or closes by them. A sidecar
that receives none tries by itself after waiting for one more cooldown. One that is postponed again and
again does so a minute after the last result of its own, and later each time its own trial fails as well.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import log
from random import Random
from typing import Protocol

from .duties import INSTANCE_BITS, WALL_MS_MASK, Duties
from .messages import TrialReport

DUTY_PREFIX = "trial"
MAX_DUTY_NAME_BYTES = 64  # servers whose duties would have longer names are tried by each sidecar
MAX_WAIT_US = 30_000_000  # that a report may ask for at once
# A sidecar accepts being postponed for this long after the last result of its own, and for twice as long
# after each failed trial of its own, up to this many times.
MAX_POSTPONED_US = 60_000_000
MAX_DOUBLINGS = 4
RETENTION_US = 120_000_000  # of an open breaker without any activity, and of the newest report on a server
MAX_SERVERS = 4096  # with a known report
VERSION_MASK = (1 << 63) - 1
INSTANCE_MASK = (1 << INSTANCE_BITS) - 1  # bits of a version that tell whose report it is
REPORT_BATCH_US = 100_000  # reports within this time go out together


class Callbacks(Protocol):
    """What trials ask of their host."""

    def postpone_trial(self, server: str, wait: int) -> None:
        """Postpone this sidecar's trial of a server by `wait`; 0: a trial elsewhere succeeded, so try now."""


class OpenBreaker:
    """A server whose breaker is open in this sidecar."""

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
        self.trial_at = 0  # when this sidecar's own trial may begin
        self.claim_at = 0
        self.opened_at = now  # last result of this sidecar's own
        self.failed_trials = -1  # own trials that failed in a row
        self.may_claim = False  # whether this sidecar sends there often enough to try on behalf of others
        self.announced_number = 0  # fencing number under which the trial was announced to others
        self.held_since = 0  # when the duty was won
        self.last_activity = now
        self.postponed_by = -1  # the instance whose report postponed the trial last
        # A trial elsewhere succeeded: this sidecar's own trial is next, whatever is reported afterwards.
        self.own_trial_next = False


class Trials:
    """This sidecar's open breakers, its duties to try servers, and the reports that it knows."""

    def __init__(self, zone: str, duties: Duties, seed: int, callbacks: Callbacks) -> None:
        self.zone = zone
        self.duties = duties
        self.rng = Random(seed)
        self.callbacks = callbacks
        self.open_breakers: dict[str, OpenBreaker] = {}
        self.latest_reports: dict[str, tuple[int, int]] = {}  # version, and when it was received
        self.pending_reports: dict[str, TrialReport] = {}  # to be sent to others
        self.send_at = 0
        self.checked_at = 0
        self.wall_clock = (0, 0)  # the wall clock in milliseconds, and when it was read

    def duty_name(self, server: str) -> str:
        """Name of the duty to try a server for this zone."""
        return f"{DUTY_PREFIX} {self.zone} {server}"

    def is_shared(self, server: str) -> bool:
        """Whether trials of this server are shared: the name of the duty must fit."""
        return len(self.duty_name(server).encode()) <= MAX_DUTY_NAME_BYTES

    # -- this sidecar's breakers

    def breaker_opened(self, now: int, server: str, cooldown: int, sends_often: bool) -> None:
        """A breaker opened by this sidecar's own observation, at first or after a failed trial.

        `sends_often`: this sidecar would send there within a cooldown.
        """
        breaker = self.open_breakers.get(server)
        if breaker is None:
            if len(self.open_breakers) >= MAX_SERVERS:
                return
            breaker = self.open_breakers[server] = OpenBreaker(now)
        breaker.failed_trials, breaker.postponed_by, breaker.own_trial_next = (
            min(MAX_DOUBLINGS, breaker.failed_trials + 1),
            -1,
            False,
        )
        breaker.may_claim = sends_often
        breaker.cooldown, breaker.trial_at, breaker.opened_at, breaker.last_activity = (
            cooldown,
            now + cooldown,
            now,
            now,
        )
        # Claimed before the first cooldown ends, so that the holder is known by then; at a random time, so
        # that not every sidecar claims at once.
        breaker.claim_at = now + self.rng.randrange(max(1, cooldown // 2))
        if breaker.failed_trials > 0:
            self.report(now, server, cooldown, True)
            if self.duties.fencing_number(now, self.duty_name(server)):
                # The trial may have failed through this sidecar's own fault: let another one make the next.
                self.duties.resign(now, self.duty_name(server), "its trial has failed")
                breaker.claim_at = now + cooldown

    def trial_finished(self, now: int, server: str, failed: bool) -> None:
        """An own trial has a result; if it failed, `breaker_opened` follows."""
        if server in self.open_breakers and not failed:
            self.report(now, server, 0, True)
            del self.open_breakers[server]
            self.duties.resign(now, self.duty_name(server), "the server serves")

    def report(self, now: int, server: str, wait: int, finished: bool) -> None:
        """Report a trial to the zone; a result counts whether or not this sidecar held the duty.

        Its version is above every known one and near the wall clock, as fencing numbers are.
        """
        if self.is_shared(server):
            wall_ms = self.wall_clock[0] + (now - self.wall_clock[1]) // 1000
            above = (
                max(self.latest_reports.get(server, (0, 0))[0] >> INSTANCE_BITS, wall_ms & WALL_MS_MASK) + 1
            )
            version = above << INSTANCE_BITS | self.duties.own_id & INSTANCE_MASK
            self.store_report(
                now, TrialReport(server, version & VERSION_MASK, min(MAX_WAIT_US, wait), finished)
            )

    # -- reports of others

    def receive_report(self, now: int, report: TrialReport) -> None:
        """Apply a report of another sidecar, if it is new."""
        server = report.server
        latest = self.latest_reports.get(server)
        if latest is not None and now - latest[1] < RETENTION_US and report.version <= latest[0]:
            return  # older than the known one, or a duplicate
        self.store_report(now, report)
        breaker = self.open_breakers.get(server)
        if breaker is None:
            return
        wait = min(MAX_WAIT_US, report.wait)
        if not report.finished:
            breaker.claim_at = max(breaker.claim_at, now + wait)
            return
        reporter = report.version & INSTANCE_MASK
        if (
            now - breaker.opened_at > MAX_POSTPONED_US << max(0, breaker.failed_trials)
            or breaker.own_trial_next
            or wait
            and reporter == breaker.postponed_by
        ):
            # The server may work for this sidecar. Ignore reports that keep it out of use for too long,
            # after a trial elsewhere succeeded, or twice in a row from one instance, which may be unhealthy
            # itself.
            return
        breaker.postponed_by, breaker.own_trial_next = reporter, not wait
        breaker.last_activity, breaker.trial_at = now, now + wait
        # Before the wait ends, so that the next holder is known by then; at a random time, not all at once.
        breaker.claim_at = now + wait // 2 + self.rng.randrange(max(1, wait // 4))
        self.callbacks.postpone_trial(server, wait)

    def store_report(self, now: int, report: TrialReport) -> None:
        """Remember a report as the newest on its server, and queue it for others."""
        self.latest_reports.pop(report.server, None)
        if len(self.latest_reports) >= MAX_SERVERS:
            del self.latest_reports[next(iter(self.latest_reports))]
        self.latest_reports[report.server] = (report.version, now)
        if not self.pending_reports:
            self.send_at = now + REPORT_BATCH_US
        self.pending_reports[report.server] = report

    # -- timers

    def next_timer(self) -> int | None:
        """When the node has to act on trials next; None if nothing is due."""
        times = [
            breaker.claim_at for breaker in self.open_breakers.values() if breaker.claim_at > self.checked_at
        ]
        if self.pending_reports:
            times.append(self.send_at)
        return min(times, default=None)

    def check_duties(self, now: int, wall_ms: int) -> None:
        """Announce duties that were won, and release those of no further use."""
        self.checked_at = now
        self.wall_clock = (wall_ms, now)
        for server, breaker in list(self.open_breakers.items()):
            number = self.duties.fencing_number(now, self.duty_name(server))
            if now - breaker.last_activity > RETENTION_US:
                del self.open_breakers[server]
                self.duties.resign(now, self.duty_name(server), "no breaker is open")
            elif number and number != breaker.announced_number:
                breaker.announced_number, breaker.held_since = number, now
                self.report(now, server, max(0, breaker.trial_at - now) + breaker.cooldown, False)
            elif number and now > max(breaker.trial_at, breaker.held_since) + breaker.cooldown:
                # The holder has sent nothing there: release the duty to a sidecar with more requests for
                # the server.
                breaker.claim_at = now + 2 * breaker.cooldown
                self.duties.resign(now, self.duty_name(server), "no verdict in time")

    def wanted_duties(self, now: int) -> list[str]:
        """The duties that this sidecar should claim now."""
        return [
            self.duty_name(server)
            for server, breaker in self.open_breakers.items()
            if breaker.may_claim and now >= breaker.claim_at and self.is_shared(server)
        ]

    def allowed_trials(self, now: int) -> dict[str, int]:
        """The servers that this sidecar may try, each with the time until which it may."""
        held = {duty: remaining for duty, _, remaining in self.duties.held(now)}
        return {
            server: now + held.get(self.duty_name(server), RETENTION_US)
            for server in self.open_breakers
            if self.duty_name(server) in held or not self.is_shared(server)
        }

    def take_reports(self, now: int) -> Iterator[TrialReport]:
        """The reports to send now; each sidecar sends each report on once."""
        if self.pending_reports and now >= self.send_at:
            yield from self.pending_reports.values()
            self.pending_reports = {}

    def duty_resigned(self, now: int, duty: str) -> None:
        """An operator took the duty away: don't claim it here for two cooldowns."""
        for server, breaker in self.open_breakers.items():
            if self.duty_name(server) == duty:
                breaker.claim_at = now + 2 * breaker.cooldown


def fanout(members: int) -> int:
    """Number of members that each one sends a report to once, so that with high probability all receive it.

    A fanout of ln n + c reaches all of n members with a probability of exp(-exp(-c)) (Kermarrec et al. 2003).
    """
    return round(log(max(1, members))) + 2
