"""Duties in virtual time: real decisions and datagrams, clocks that differ, and a place that is acted on.

`Holders` is a small fleet in which everybody wants every duty; `schedule` plays a seeded day of faults on it.
What is acted on writes a history, which the lab's checks judge: acts that are checked in the moment, and,
under another name, acts that are late on their way and meet a fence.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from ...fleet import messages
from ...fleet.duties import Claim, Duties, LeaseSettings
from ...fleet.leases import ClaimAnswer, ClaimResult, Fence, Voter
from ...fleet.messages import ClaimEntry, Claims, GrantEntry, Grants, Record
from ..model.links import Links, Noise
from ..model.timeline import SECOND, Virtual, chance
from .peers import address

ACT_EVERY = 50_000
TICK = 40_000  # of each member's thread
DRIFT = 0.01
LEASE = 2 * SECOND
CALM = 12 * SECOND  # at the end, without faults: within it somebody must hold each duty


@dataclass
class Planted:
    """Faults put into the program, each of which the checks must catch; none by default."""

    held_for: Callable[[int], int] | None = None  # how long a holder counts on a lease
    silent: bool = True  # whether a voter that begins anew waits
    remembers: bool = True  # whether a voter knows what it granted
    fenced: bool = True  # whether the place looks at numbers
    checked_late: bool = True  # whether the check comes with the act, not before it
    both: bool = True  # whether a change of voters goes by a file with both sets


@dataclass
class Found:
    """The history, and how long each duty had no holder, in microseconds at a time."""

    history: list[dict[str, Any]] = field(default_factory=list)
    gaps: list[int] = field(default_factory=list)
    hand_overs: int = 0
    messages: int = 0
    held_at_end: int = 0


class Member:
    """One sidecar; its clock has a rate and an origin of its own."""

    def __init__(self, holders: Holders, number: int, rate: float) -> None:
        self.holders = holders
        self.number = number
        self.address = address(number)
        self.rate = rate
        self.origin = (number + 1) * 1_000 * SECOND
        self.off_ms = number * 37 % 100
        self.file = self.given_file = 0  # what its process goes by, and what the file on its disk says
        self.starts = 0
        self.up = self.stopped = False
        self.queue: list[tuple[int, bytes]] = []
        self.duties: Duties
        self.voter: Voter | None = None

    def clock(self) -> int:
        return self.origin + int(self.holders.time.now * self.rate)

    def wall(self) -> int:
        """Milliseconds, near the truth unless the clock was set."""
        return 1_800_000_000_000 + self.holders.time.now // 1000 + self.off_ms

    def start(self) -> None:
        holders, now = self.holders, self.clock()
        self.starts += 1
        self.up, self.stopped, self.queue = True, False, []
        self.life = Record(f"n{self.number}", (self.number + 1) * 1_000_000 + self.starts, self.address, "")
        self.file = self.given_file
        self.duties = Duties(
            self.life.instance_id,
            self.given(),
            holders.seed * 1000 + self.number * 10 + self.starts,
            self,
            now,
        )
        self.duties.set_wanted(now, holders.names)
        self.voter = None
        self.vote(now)
        if self.voter is not None and self.starts == 1:
            self.voter.silent_until = now
        holders.time.at(holders.time.now, self.tick, self.starts)

    def given(self) -> LeaseSettings:
        return self.holders.files[self.file]

    def vote(self, now: int) -> None:
        """Be a voter if the file says so; one that becomes it knows nothing of what was granted."""
        names = sorted(self.given().voter_set_ids())
        if self.address not in self.given().voters():
            self.voter = None
        elif self.voter is None:
            self.voter = Voter(names, LEASE, DRIFT, now)
            if not self.holders.planted.silent:
                self.voter.silent_until = now
        else:
            self.voter.apply_voter_sets(names)

    def hang_up(self) -> None:
        """SIGHUP, or what of it was pending."""
        if self.up and not self.stopped and self.file != self.given_file:
            self.file = self.given_file
            self.duties.apply_settings(self.clock(), self.given())
            self.vote(self.clock())

    def kill(self) -> None:
        self.up = False

    def tick(self, starts: int) -> None:
        """What its thread does, every few milliseconds; nothing while it is stopped."""
        if not self.up or starts != self.starts:
            return
        if not self.stopped:
            self.duties.on_timer(self.clock(), self.wall())
        self.holders.time.at(self.holders.time.now + TICK, self.tick, starts)

    def go_on(self) -> None:
        self.stopped = False
        self.hang_up()
        queue, self.queue = self.queue, []
        for source, data in queue:
            self.came(source, data)

    # -- the outlet of its duties

    def send_claims(self, voter: str, round_: int, claims: Sequence[Claim]) -> None:
        given = self.given()
        told = [ClaimEntry(one.duty, one.number, one.release) for one in claims]
        self.holders.send(
            self, voter, Claims(self.life, 0, round_, given.lease, sorted(given.voter_set_ids()), told)
        )

    def duty_changed(self, duty: str, number: int, why: str) -> None:
        self.holders.changed(self, duty, number)

    # -- what comes

    def came(self, source: int, data: bytes) -> None:
        if not self.up:
            return
        if self.stopped:
            self.queue.append((source, data))
            return
        try:
            message = messages.decode_message(data, 0)
        except (messages.MalformedMessageError, messages.VersionMismatchError):
            return
        now, sender = self.clock(), message.sender
        match message:
            case Claims() if self.voter is not None:
                answers = []
                for one in message.claims:
                    if one.release:
                        self.voter.release(one.duty, sender.instance_id, one.number)
                        continue
                    if not self.holders.planted.remembers:
                        self.voter.grants.pop(one.duty, None)
                    told = self.voter.answer_claim(
                        now,
                        one.duty,
                        sender.instance_id,
                        one.number,
                        message.lease,
                        frozenset(message.voter_set_ids),
                    )
                    answers.append(
                        GrantEntry(one.duty, one.number, told.result, told.wait, told.highest_number)
                    )
                if answers:
                    self.holders.send(self, address(source), Grants(self.life, 0, message.round, answers))
            case Grants():
                for each in message.grants:
                    self.duties.receive_answer(
                        now,
                        sender.address,
                        message.round,
                        each.duty,
                        each.number,
                        ClaimAnswer(ClaimResult(each.result), each.wait, each.highest_number),
                    )


class Holders:
    def __init__(
        self, seed: int, count: int, voters: int, names: Sequence[str], planted: Planted, worst: float = DRIFT
    ) -> None:
        self.seed = seed
        self.time = Virtual()
        self.links = Links(self.time, seed, 300)
        self.chance = chance(seed, "duties")
        self.voters = voters
        self.names = list(names)
        self.planted = planted
        before = tuple(address(number) for number in range(voters))
        after = tuple(address(number) for number in range(count - voters, count))
        both = (before, after) if planted.both else (after,)
        self.files = [LeaseSettings(sets, LEASE, DRIFT) for sets in ((before,), both, (after,))]
        self.members = [
            Member(self, number, 1.0 + self.chance.choice((-worst, 0.0, worst))) for number in range(count)
        ]
        self.by_address = {one.address: one for one in self.members}
        self.fences = [Fence() for _ in range(2)]
        self.found = Found()
        self.since: dict[str, int] = {}  # since when nobody has held each duty
        self.latest: dict[str, int] = {}
        for one in self.members:
            one.start()
        self.time.at(0, self.act)

    def send(self, one: Member, to: str, message: messages.AnyMessage) -> None:
        other = self.by_address[to]
        self.found.messages += 1
        self.links.carry(
            one.number,
            other.number,
            messages.encode_message(message, 0),
            lambda data: other.came(one.number, data),
        )

    def changed(self, one: Member, duty: str, number: int) -> None:
        if number:
            self.found.hand_overs += self.latest.get(duty, number) != number
            self.latest[duty] = number

    # -- what is acted on

    def may(self, one: Member, duty: str) -> int:
        if self.planted.held_for is not None:
            mine = one.duties.duties[duty]
            until = mine.claimed_at + self.planted.held_for(LEASE)
            if mine.expires_at and one.duties.has_majority(mine) and one.clock() < until:
                return mine.number
        return one.duties.fencing_number(one.clock(), duty)

    def act(self) -> None:
        """Each that may act does at once; some acts come late as well, to a place with a fence."""
        now = self.time.now
        for duty in self.names:
            acting = 0
            for one in self.members:
                if not one.up or one.stopped:
                    continue
                number = self.may(one, duty)
                if not number:
                    continue
                acting += 1
                self.note(one.life.instance_id, "place", duty, number, True)
                if self.chance.random() < 0.05:
                    self.time.at(
                        now + round(3 * SECOND * self.chance.random()),
                        self.late,
                        one,
                        duty,
                        number,
                        one.life.instance_id,
                    )
            if acting and duty in self.since:
                self.found.gaps.append(now - self.since.pop(duty))
            elif not acting:
                self.since.setdefault(duty, now)
        self.time.at(now + ACT_EVERY, self.act)

    def late(self, one: Member, duty: str, number: int, holder: int) -> None:
        """An act that was checked a while ago: its process was stopped, or the way was slow."""
        if not self.planted.checked_late:
            self.note(holder, "place", duty, number, True)
        at = self.chance.randrange(len(self.fences))
        accepted = self.fences[at].accept(duty, number) or not self.planted.fenced
        if not accepted and one.up:
            one.duties.reclaim_above(one.clock(), duty, self.fences[at].highest_numbers[duty])
        self.note(holder, f"fence-{at}", f"{duty} at fence {at}", number, accepted)

    def note(self, holder: int, who: str, duty: str, number: int, accepted: bool) -> None:
        self.found.history.append(
            {
                "at": self.time.now,
                "who": who,
                "what": "acted",
                "duty": duty,
                "holder": f"{holder}",
                "fence": number,
                "accepted": accepted,
            }
        )


def schedule(seed: int, planted: Planted | None = None, lasts_s: float = 25.0, worst: float = DRIFT) -> Found:
    """A seeded day: kills, stops, cuts both ways and one, bad links; then calm until the end."""
    by = chance(seed, "schedule")
    count, voters = by.randint(4, 8), by.choice((3, 5))
    made = Holders(seed, max(count, voters), voters, ["d0", "d1"], planted or Planted(), worst)
    every = [one.number for one in made.members]

    def at_some_time(call: Callable[[], None], lasts: float, undo: Callable[[], None] | None = None) -> None:
        at = round(by.uniform(1.0, lasts_s) * SECOND)
        made.time.at(at, call)
        if undo is not None:
            made.time.at(min(at + round(lasts * SECOND), round(lasts_s * SECOND)), undo)

    def with_undo(begin: Callable[[], Callable[[], None]], lasts: float) -> None:
        undone: list[Callable[[], None]] = []
        at_some_time(lambda: undone.append(begin()), lasts, lambda: undone.pop()())

    for _ in range(by.randint(6, 14)):
        some = by.sample(every, by.randint(1, max(1, len(every) // 2)))
        others = [number for number in every if number not in some]
        lasts = by.choice((0.01, 0.5, 2.0, 5.0))
        match by.randrange(6):
            case 0:

                def kill(some: list[int] = some) -> None:
                    for number in some:
                        made.members[number].kill()

                def start(some: list[int] = some) -> None:
                    for number in some:
                        if not made.members[number].up:
                            made.members[number].start()

                at_some_time(kill, lasts, start)
            case 1:

                def stop(some: list[int] = some) -> None:
                    for number in some:
                        made.members[number].stopped = True

                def go_on(some: list[int] = some) -> None:
                    for number in some:
                        if made.members[number].up and made.members[number].stopped:
                            made.members[number].go_on()

                at_some_time(stop, lasts, go_on)
            case 2:
                with_undo(
                    lambda some=some, others=others: (  # type: ignore[misc]
                        made.links.cut(some, others)
                    ),
                    lasts,
                )
            case 3:
                with_undo(
                    lambda some=some, others=others: (  # type: ignore[misc]
                        made.links.cut(some, others, both=False)
                    ),
                    lasts,
                )
            case 4:

                def set_clock(some: list[int] = some, step: int = by.choice((-3_600_000, 3_600_000))) -> None:
                    for number in some:
                        made.members[number].off_ms += step

                at_some_time(set_clock, lasts)
            case _:
                noise = Noise(
                    by.uniform(0, 0.5),
                    by.uniform(0, 0.3),
                    by.uniform(0, 0.1),
                    0,
                    by.choice((1_000, 300_000, 20 * SECOND)),
                )
                with_undo(lambda noise=noise: made.links.disturb(every, noise), lasts)  # type: ignore[misc]
    if by.random() < 0.5:
        # The voters change: the file with both sets comes to all in any order, then that with the new ones.
        def change(file: int) -> None:
            for number in by.sample(every, len(every)):
                made.time.at(made.time.now + round(by.uniform(0.0, 4.0) * SECOND), lay, number, file)
            if file == 1:
                made.time.at(made.time.now + 4 * SECOND, go_on_to)

        def lay(number: int, file: int) -> None:
            made.members[number].given_file = file
            made.members[number].hang_up()

        def go_on_to() -> None:
            if any(one.up and one.file < 1 for one in made.members):
                made.time.at(made.time.now + SECOND, go_on_to)  # one that is stopped goes by the old file
            else:
                change(2)

        at_some_time(lambda: change(1), 0)
    made.time.run(round(lasts_s * SECOND))
    for one in made.members:
        if not one.up:
            one.start()
        elif one.stopped:
            one.go_on()
    made.time.run(made.time.now + CALM)
    made.found.held_at_end = sum(any(made.may(one, duty) for one in made.members) for duty in made.names)
    return made.found
