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
from ...fleet.duties import Claim, Duties, Given
from ...fleet.leases import Answer, Fence, Verdict, Voter
from ...fleet.messages import Claimed, Claims, Granted, Grants, Record
from ..model.links import Impairment, Links
from ..model.timeline import SECOND, VirtualTimeline, random_source
from .peers import address

ACT_INTERVAL_US = 50_000
TICK_US = 40_000  # of each member's thread
DRIFT = 0.01
LEASE_US = 2 * SECOND
RECOVERY_US = 12 * SECOND  # at the end, without faults: within it somebody must hold each duty


@dataclass
class InjectedBugs:
    """Faults put into the program, each of which the checks must catch; none by default."""

    holder_lease: Callable[[int], int] | None = None  # how long a holder counts on a lease
    waits_after_restart: bool = True  # whether a voter that begins anew waits
    remembers_grants: bool = True  # whether a voter knows what it granted
    checks_fence: bool = True  # whether the place looks at numbers
    checks_when_acting: bool = True  # whether the check comes with the act, not before it
    joint_voter_sets: bool = True  # whether a change of voters goes by a file with both sets


@dataclass
class DutyRun:
    """The history, and how long each duty had no holder, in microseconds at a time."""

    history: list[dict[str, Any]] = field(default_factory=list)
    gaps: list[int] = field(default_factory=list)
    handovers: int = 0
    messages: int = 0
    held_at_end: int = 0


class Member:
    """One sidecar; its clock has a rate and an origin of its own."""

    def __init__(self, fleet: DutyFleet, number: int, rate: float) -> None:
        self.fleet = fleet
        self.number = number
        self.address = address(number)
        self.rate = rate
        self.clock_origin = (number + 1) * 1_000 * SECOND
        self.wall_offset_ms = number * 37 % 100
        self.config_index = self.pending_config_index = (
            0  # what its process goes by, and what the file on its disk says
        )
        self.starts = 0
        self.up = self.stopped = False
        self.queue: list[tuple[int, bytes]] = []
        self.duties: Duties
        self.voter: Voter | None = None

    def clock(self) -> int:
        return self.clock_origin + int(self.fleet.timeline.now * self.rate)

    def wall(self) -> int:
        """Milliseconds, near the truth unless the clock was set."""
        return 1_800_000_000_000 + self.fleet.timeline.now // 1000 + self.wall_offset_ms

    def start(self) -> None:
        holders, now = self.fleet, self.clock()
        self.starts += 1
        self.up, self.stopped, self.queue = True, False, []
        self.life = Record(f"n{self.number}", (self.number + 1) * 1_000_000 + self.starts, self.address, "")
        self.config_index = self.pending_config_index
        self.duties = Duties(
            self.life.born, self.config(), holders.seed * 1000 + self.number * 10 + self.starts, self, now
        )
        self.duties.want(now, holders.names)
        self.voter = None
        self.update_voter(now)
        if self.voter is not None and self.starts == 1:
            self.voter.silent_until = now
        holders.timeline.at(holders.timeline.now, self.tick, self.starts)

    def config(self) -> Given:
        return self.fleet.configs[self.config_index]

    def update_voter(self, now: int) -> None:
        """Be a voter if the file says so; one that becomes it knows nothing of what was granted."""
        names = sorted(self.config().names())
        if self.address not in self.config().voters():
            self.voter = None
        elif self.voter is None:
            self.voter = Voter(names, LEASE_US, DRIFT, now)
            if not self.fleet.bugs.waits_after_restart:
                self.voter.silent_until = now
        else:
            self.voter.adopt(names)

    def reload(self) -> None:
        """SIGHUP, or what of it was pending."""
        if self.up and not self.stopped and self.config_index != self.pending_config_index:
            self.config_index = self.pending_config_index
            self.duties.adopt(self.clock(), self.config())
            self.update_voter(self.clock())

    def kill(self) -> None:
        self.up = False

    def tick(self, starts: int) -> None:
        """What its thread does, every few milliseconds; nothing while it is stopped."""
        if not self.up or starts != self.starts:
            return
        if not self.stopped:
            self.duties.woke(self.clock(), self.wall())
        self.fleet.timeline.at(self.fleet.timeline.now + TICK_US, self.tick, starts)

    def resume(self) -> None:
        self.stopped = False
        self.reload()
        queue, self.queue = self.queue, []
        for source, data in queue:
            self.receive(source, data)

    # -- the outlet of its duties

    def claim(self, voter: str, round_: int, claims: Sequence[Claim]) -> None:
        given = self.config()
        told = [Claimed(one.duty, one.number, one.release) for one in claims]
        self.fleet.send(self, voter, Claims(self.life, 0, round_, given.lease, sorted(given.names()), told))

    def holds(self, duty: str, number: int, why: str) -> None:
        self.fleet.changed(self, duty, number)

    # -- what comes

    def receive(self, source: int, data: bytes) -> None:
        if not self.up:
            return
        if self.stopped:
            self.queue.append((source, data))
            return
        try:
            message = messages.unpacked(data, 0)
        except (messages.Noise, messages.Foreign):
            return
        now, sender = self.clock(), message.sender
        match message:
            case Claims() if self.voter is not None:
                answers = []
                for one in message.claims:
                    if one.release:
                        self.voter.released(one.duty, sender.born, one.number)
                        continue
                    if not self.fleet.bugs.remembers_grants:
                        self.voter.grants.pop(one.duty, None)
                    told = self.voter.asked(
                        now, one.duty, sender.born, one.number, message.lease, frozenset(message.sets)
                    )
                    answers.append(Granted(one.duty, one.number, told.verdict, told.wait, told.highest))
                if answers:
                    self.fleet.send(self, address(source), Grants(self.life, 0, message.round, answers))
            case Grants():
                for each in message.grants:
                    self.duties.answered(
                        now,
                        sender.address,
                        message.round,
                        each.duty,
                        each.number,
                        Answer(Verdict(each.verdict), each.wait, each.highest),
                    )


class DutyFleet:
    def __init__(
        self,
        seed: int,
        count: int,
        voters: int,
        names: Sequence[str],
        bugs: InjectedBugs,
        max_drift: float = DRIFT,
    ) -> None:
        self.seed = seed
        self.timeline = VirtualTimeline()
        self.links = Links(self.timeline, seed, 300)
        self.rng = random_source(seed, "duties")
        self.voters = voters
        self.names = list(names)
        self.bugs = bugs
        before = tuple(address(number) for number in range(voters))
        after = tuple(address(number) for number in range(count - voters, count))
        both = (before, after) if bugs.joint_voter_sets else (after,)
        self.configs = [Given(sets, LEASE_US, DRIFT) for sets in ((before,), both, (after,))]
        self.members = [
            Member(self, number, 1.0 + self.rng.choice((-max_drift, 0.0, max_drift)))
            for number in range(count)
        ]
        self.by_address = {one.address: one for one in self.members}
        self.fences = [Fence() for _ in range(2)]
        self.run_record = DutyRun()
        self.unheld_since: dict[str, int] = {}  # since when nobody has held each duty
        self.latest_numbers: dict[str, int] = {}
        for one in self.members:
            one.start()
        self.timeline.at(0, self.act)

    def send(self, one: Member, to: str, message: messages.Any) -> None:
        other = self.by_address[to]
        self.run_record.messages += 1
        self.links.carry(
            one.number,
            other.number,
            messages.packed(message, 0),
            lambda data: other.receive(one.number, data),
        )

    def changed(self, one: Member, duty: str, number: int) -> None:
        if number:
            self.run_record.handovers += self.latest_numbers.get(duty, number) != number
            self.latest_numbers[duty] = number

    # -- what is acted on

    def acting_number(self, one: Member, duty: str) -> int:
        if self.bugs.holder_lease is not None:
            mine = one.duties.duties[duty]
            until = mine.asked_at + self.bugs.holder_lease(LEASE_US)
            if mine.until and one.duties.won(mine) and one.clock() < until:
                return mine.number
        return one.duties.number(one.clock(), duty)

    def act(self) -> None:
        """Each that may act does at once; some acts come late as well, to a place with a fence."""
        now = self.timeline.now
        for duty in self.names:
            acting = 0
            for one in self.members:
                if not one.up or one.stopped:
                    continue
                number = self.acting_number(one, duty)
                if not number:
                    continue
                acting += 1
                self.record_act(one.life.born, "place", duty, number, True)
                if self.rng.random() < 0.05:
                    self.timeline.at(
                        now + round(3 * SECOND * self.rng.random()),
                        self.act_late,
                        one,
                        duty,
                        number,
                        one.life.born,
                    )
            if acting and duty in self.unheld_since:
                self.run_record.gaps.append(now - self.unheld_since.pop(duty))
            elif not acting:
                self.unheld_since.setdefault(duty, now)
        self.timeline.at(now + ACT_INTERVAL_US, self.act)

    def act_late(self, one: Member, duty: str, number: int, holder: int) -> None:
        """An act that was checked a while ago: its process was stopped, or the way was slow."""
        if not self.bugs.checks_when_acting:
            self.record_act(holder, "place", duty, number, True)
        at = self.rng.randrange(len(self.fences))
        accepted = self.fences[at].admits(duty, number) or not self.bugs.checks_fence
        if not accepted and one.up:
            one.duties.outbid(one.clock(), duty, self.fences[at].highest[duty])
        self.record_act(holder, f"fence-{at}", f"{duty} at fence {at}", number, accepted)

    def record_act(self, holder: int, who: str, duty: str, number: int, accepted: bool) -> None:
        self.run_record.history.append(
            {
                "at": self.timeline.now,
                "who": who,
                "what": "acted",
                "duty": duty,
                "holder": f"{holder}",
                "fence": number,
                "accepted": accepted,
            }
        )


def run_schedule(
    seed: int, bugs: InjectedBugs | None = None, duration_s: float = 25.0, max_drift: float = DRIFT
) -> DutyRun:
    """A seeded day: kills, stops, cuts both ways and one, bad links; then calm until the end."""
    by = random_source(seed, "schedule")
    count, voters = by.randint(4, 8), by.choice((3, 5))
    made = DutyFleet(seed, max(count, voters), voters, ["d0", "d1"], bugs or InjectedBugs(), max_drift)
    every = [one.number for one in made.members]

    def at_some_time(call: Callable[[], None], lasts: float, undo: Callable[[], None] | None = None) -> None:
        at = round(by.uniform(1.0, duration_s) * SECOND)
        made.timeline.at(at, call)
        if undo is not None:
            made.timeline.at(min(at + round(lasts * SECOND), round(duration_s * SECOND)), undo)

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
                            made.members[number].resume()

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
                        made.links.cut(some, others, both_ways=False)
                    ),
                    lasts,
                )
            case 4:

                def set_clock(some: list[int] = some, step: int = by.choice((-3_600_000, 3_600_000))) -> None:
                    for number in some:
                        made.members[number].wall_offset_ms += step

                at_some_time(set_clock, lasts)
            case _:
                noise = Impairment(
                    by.uniform(0, 0.5),
                    by.uniform(0, 0.3),
                    by.uniform(0, 0.1),
                    0,
                    by.choice((1_000, 300_000, 20 * SECOND)),
                )
                with_undo(lambda noise=noise: made.links.impair(every, noise), lasts)  # type: ignore[misc]
    if by.random() < 0.5:
        # The voters change: the file with both sets comes to all in any order, then that with the new ones.
        def change(file: int) -> None:
            for number in by.sample(every, len(every)):
                made.timeline.at(made.timeline.now + round(by.uniform(0.0, 4.0) * SECOND), lay, number, file)
            if file == 1:
                made.timeline.at(made.timeline.now + 4 * SECOND, go_on_to)

        def lay(number: int, file: int) -> None:
            made.members[number].pending_config_index = file
            made.members[number].reload()

        def go_on_to() -> None:
            if any(one.up and one.config_index < 1 for one in made.members):
                made.timeline.at(
                    made.timeline.now + SECOND, go_on_to
                )  # one that is stopped goes by the old file
            else:
                change(2)

        at_some_time(lambda: change(1), 0)
    made.timeline.run(round(duration_s * SECOND))
    for one in made.members:
        if not one.up:
            one.start()
        elif one.stopped:
            one.resume()
    made.timeline.run(made.timeline.now + RECOVERY_US)
    made.run_record.held_at_end = sum(
        any(made.acting_number(one, duty) for one in made.members) for duty in made.names
    )
    return made.run_record
