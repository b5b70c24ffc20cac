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

from .duties import OWN_BITS, WALL, Duties
from .messages import Verdict

PREFIX = "trial"
LONGEST_DUTY = 64  # bytes of a duty's name; servers with longer ones are tried by each sidecar
LONGEST_WAIT = 30_000_000  # that others may ask for at once
OWN_EYES = 60_000_000  # after its own last verdict, that a sidecar lets itself be put off,
DOUBLED = 4  # twice as long each time that its own trial has failed, as often as this
KEPT = 120_000_000  # a breaker that nothing is heard of any more, nor any word of it
NEWEST = 4096  # servers whose last word is known
HIGHEST = (1 << 63) - 1  # version,
OWN = (1 << OWN_BITS) - 1  # of which these tell whose life's word it is
APART = 100_000  # between two tellings: what comes within goes out together


class Outlet(Protocol):
    def put_off(self, server: str, wait: int) -> None:
        """Nobody here need try it for so long; 0: it has served another, so try it now."""


class Open:
    """A server whose breaker is open here."""

    __slots__ = (
        "cooldown",
        "until",
        "claim_at",
        "opened",
        "failed",
        "claims",
        "said",
        "since",
        "last",
        "by",
        "free",
    )

    def __init__(self, now: int) -> None:
        self.cooldown = 0
        self.until = 0  # when the own trial may begin
        self.claim_at = 0
        self.opened = now  # by this sidecar's own eyes
        self.failed = -1  # trials of its own, one after the other
        self.claims = False  # whether it sends there often enough to find out for others
        self.said = 0  # the number of the duty that others have been told of
        self.since = 0  # when the duty came
        self.last = now
        self.by = -1  # which life's word put the trial off last
        self.free = False  # another was served: this sidecar's own trial is next, whatever is said since


class Trials:
    def __init__(self, zone: str, duties: Duties, seed: int, outlet: Outlet) -> None:
        self.zone = zone
        self.duties = duties
        self.chance = Random(seed)
        self.outlet = outlet
        self.open: dict[str, Open] = {}
        self.newest: dict[str, tuple[int, int]] = {}  # version, and when it was heard
        self.fresh: dict[str, Verdict] = {}  # to be told on
        self.tell_at = 0
        self.looked_at = 0
        self.wall = (0, 0)  # the wall clock's milliseconds, and when it was read

    def duty(self, server: str) -> str:
        return f"{PREFIX} {self.zone} {server}"

    def shared(self, server: str) -> bool:
        return len(self.duty(server).encode()) <= LONGEST_DUTY

    # -- this sidecar's breakers

    def breaker_opened(self, now: int, server: str, cooldown: int, often: bool) -> None:
        """By its own eyes, at first or after a trial; `often`: it would send there within a Cooldown."""
        one = self.open.get(server)
        if one is None:
            if len(self.open) >= NEWEST:
                return
            one = self.open[server] = Open(now)
        one.failed, one.by, one.free = min(DOUBLED, one.failed + 1), -1, False
        one.claims = often
        one.cooldown, one.until, one.opened, one.last = cooldown, now + cooldown, now, now
        # Claimed early, so that it is settled who tries when the first Cooldown is over; not by all at once.
        one.claim_at = now + self.chance.randrange(max(1, cooldown // 2))
        if one.failed > 0:
            self.say(now, server, cooldown, True)
            if self.duties.number(now, self.duty(server)):
                # Guards the others against an observer that is sick itself: somebody else looks next.
                self.duties.resign(now, self.duty(server), "its trial has failed")
                one.claim_at = now + cooldown

    def trial_finished(self, now: int, server: str, failed: bool) -> None:
        """The verdict of an own trial; when it has failed, `opened` follows."""
        if server in self.open and not failed:
            self.say(now, server, 0, True)
            del self.open[server]
            self.duties.resign(now, self.duty(server), "the server serves")

    def say(self, now: int, server: str, wait: int, tried: bool) -> None:
        """Tell the zone, whoever's turn it was: a verdict is one.

        Its version is above all that are known, and near the wall clock's time, as a duty's number is.
        """
        if self.shared(server):
            wall_ms = self.wall[0] + (now - self.wall[1]) // 1000
            above = max(self.newest.get(server, (0, 0))[0] >> OWN_BITS, wall_ms & WALL) + 1
            version = above << OWN_BITS | self.duties.me & OWN
            self.note(now, Verdict(server, version & HIGHEST, min(LONGEST_WAIT, wait), tried))

    # -- words of others

    def heard(self, now: int, verdict: Verdict) -> None:
        server = verdict.server
        newest = self.newest.get(server)
        if newest is not None and now - newest[1] < KEPT and verdict.version <= newest[0]:
            return  # older than what is known, or the same once more
        self.note(now, verdict)
        one = self.open.get(server)
        if one is None:
            return
        wait = min(LONGEST_WAIT, verdict.wait)
        if not verdict.tried:
            one.claim_at = max(one.claim_at, now + wait)
            return
        by = verdict.version & OWN
        if now - one.opened > OWN_EYES << max(0, one.failed) or one.free or wait and by == one.by:
            # Guards against words that keep a server out that may serve this sidecar: for long, after another
            # was served, or from one life twice in a row, which may be sick itself.
            return
        one.by, one.free = by, not wait
        one.last, one.until = now, now + wait
        # Before the wait is over, so that it is settled then who tries next; not by all at once.
        one.claim_at = now + wait // 2 + self.chance.randrange(max(1, wait // 4))
        self.outlet.put_off(server, wait)

    def note(self, now: int, verdict: Verdict) -> None:
        self.newest.pop(verdict.server, None)
        if len(self.newest) >= NEWEST:
            del self.newest[next(iter(self.newest))]
        self.newest[verdict.server] = (verdict.version, now)
        if not self.fresh:
            self.tell_at = now + APART
        self.fresh[verdict.server] = verdict

    # -- time

    def due(self) -> int | None:
        times = [one.claim_at for one in self.open.values() if one.claim_at > self.looked_at]
        if self.fresh:
            times.append(self.tell_at)
        return min(times, default=None)

    def looked(self, now: int, wall_ms: int) -> None:
        """What has changed with the duties: those won are told of, those of no use are given up."""
        self.looked_at = now
        self.wall = (wall_ms, now)
        for server, one in list(self.open.items()):
            number = self.duties.number(now, self.duty(server))
            if now - one.last > KEPT:
                del self.open[server]
                self.duties.resign(now, self.duty(server), "no breaker is open")
            elif number and number != one.said:
                one.said, one.since = number, now
                self.say(now, server, max(0, one.until - now) + one.cooldown, False)
            elif number and now > max(one.until, one.since) + one.cooldown:
                # Guards against a holder that sends nothing there: another, with more to send, finds out.
                one.claim_at = now + 2 * one.cooldown
                self.duties.resign(now, self.duty(server), "no verdict in time")

    def wanted(self, now: int) -> list[str]:
        return [
            self.duty(server)
            for server, one in self.open.items()
            if one.claims and now >= one.claim_at and self.shared(server)
        ]

    def turns(self, now: int) -> dict[str, int]:
        """The servers that are this sidecar's to try, and until when."""
        held = {duty: left for duty, _, left in self.duties.held(now)}
        return {
            server: now + held.get(self.duty(server), KEPT)
            for server in self.open
            if self.duty(server) in held or not self.shared(server)
        }

    def told_on(self, now: int) -> Iterator[Verdict]:
        """What goes to some others of the zone now: each word once from each sidecar."""
        if self.fresh and now >= self.tell_at:
            yield from self.fresh.values()
            self.fresh = {}

    def resigned(self, now: int, duty: str) -> None:
        """Taken away by hand: not claimed here for two Cooldowns."""
        for server, one in self.open.items():
            if self.duty(server) == duty:
                one.claim_at = now + 2 * one.cooldown


def audience(members: int) -> int:
    """To how many each tells a word once, so that nearly always all hear it.

    ln n + c reaches all with a probability of exp(-exp(-c)) (Kermarrec et al. 2003).
    """
    return round(log(max(1, members))) + 2
