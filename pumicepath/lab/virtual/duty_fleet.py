"""Duties in virtual time: the real duty and lease code with its datagrams, and clocks that drift.

`DutyFleet` is a small fleet in which every member wants every duty; `run_schedule` runs a seeded schedule of
faults on it.  All acts of holders go into a history, which the checks of the lab examine: acts that are
checked when they happen, and, under other names, acts that arrive late and that a fence accepts or refuses.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from ...fleet import messages
from ...fleet.duties import Claim, Duties, LeaseSettings
from ...fleet.leases import ClaimAnswer, ClaimResult, Fence, Voter
from ...fleet.messages import ClaimEntry, Claims, GrantEntry, Grants, Record
from ..model.links import Impairment, Links
from ..model.timeline import SECOND, VirtualTimeline, random_source
from .peers import address

ACT_INTERVAL_US = 50_000  # between acts of a holder
TICK_US = 40_000  # between rounds of a member's thread
DRIFT = 0.01  # maximum deviation of a clock's rate that leases allow for
LEASE_US = 2 * SECOND
RECOVERY_US = 12 * SECOND  # without faults at the end, in which each duty must find a holder


@dataclass
class InjectedBugs:
    """Bugs injected into the program, each of which the checks must find; none by default."""

    holder_lease: Callable[[int], int] | None = None  # how long a holder relies on a lease
    waits_after_restart: bool = True  # whether a restarted voter first waits for old leases to end
    remembers_grants: bool = True  # whether a voter remembers its grants
    checks_fence: bool = True  # whether a fence compares fencing numbers
    checks_when_acting: bool = True  # whether a duty is checked when acting, not some time before
    joint_voter_sets: bool = True  # whether a change of voters passes through both sets together


@dataclass
class DutyRun:
    """The history and counts of a run; `gaps` are times without a holder of a duty, in microseconds."""

    history: list[dict[str, Any]] = field(default_factory=list)
    gaps: list[int] = field(default_factory=list)
    handovers: int = 0
    messages: int = 0
    held_at_end: int = 0


class Member:
    """One sidecar, whose clock has a rate and an origin of its own; times in microseconds."""

    def __init__(self, fleet: DutyFleet, number: int, rate: float) -> None:
        self.fleet = fleet
        self.number = number
        self.address = address(number)
        self.rate = rate
        self.clock_origin = (number + 1) * 1_000 * SECOND
        self.wall_offset_ms = number * 37 % 100
        # What the process has loaded, and what its file says.
        self.config_index = self.pending_config_index = 0
        self.starts = 0
        self.up = self.stopped = False
        self.queue: list[tuple[int, bytes]] = []
        self.duties: Duties
        self.voter: Voter | None = None

    def clock(self) -> int:
        """Its monotonic time."""
        return self.clock_origin + int(self.fleet.timeline.now * self.rate)

    def wall(self) -> int:
        """Its wall-clock time in milliseconds, nearly right unless the clock was stepped."""
        return 1_800_000_000_000 + self.fleet.timeline.now // 1000 + self.wall_offset_ms

    def start(self) -> None:
        """Start a new instance; it has the configuration of its file and no other state."""
        fleet, now = self.fleet, self.clock()
        self.starts += 1
        self.up, self.stopped, self.queue = True, False, []
        self.life = Record(f"n{self.number}", (self.number + 1) * 1_000_000 + self.starts, self.address, "")
        self.config_index = self.pending_config_index
        self.duties = Duties(
            self.life.instance_id,
            self.config(),
            fleet.seed * 1000 + self.number * 10 + self.starts,
            self,
            now,
        )
        self.duties.set_wanted(now, fleet.names)
        self.voter = None
        self.update_voter(now)
        if self.voter is not None and self.starts == 1:
            self.voter.silent_until = now
        fleet.timeline.at(fleet.timeline.now, self.tick, self.starts)

    def config(self) -> LeaseSettings:
        """The configuration that the process has loaded."""
        return self.fleet.configs[self.config_index]

    def update_voter(self, now: int) -> None:
        """Become a voter, without knowledge of earlier grants, or cease to be one, as configured."""
        names = sorted(self.config().voter_set_ids())
        if self.address not in self.config().voters():
            self.voter = None
        elif self.voter is None:
            self.voter = Voter(names, LEASE_US, DRIFT, now)
            if not self.fleet.bugs.waits_after_restart:
                self.voter.silent_until = now
        else:
            self.voter.apply_voter_sets(names)

    def reload(self) -> None:
        """Load a changed configuration, as on SIGHUP; a stopped member does so when it is resumed."""
        if self.up and not self.stopped and self.config_index != self.pending_config_index:
            self.config_index = self.pending_config_index
            self.duties.apply_settings(self.clock(), self.config())
            self.update_voter(self.clock())

    def kill(self) -> None:
        """End the process at once."""
        self.up = False

    def tick(self, starts: int) -> None:
        """A round of the member's thread; nothing happens while it is stopped."""
        if not self.up or starts != self.starts:
            return
        if not self.stopped:
            self.duties.on_timer(self.clock(), self.wall())
        self.fleet.timeline.at(self.fleet.timeline.now + TICK_US, self.tick, starts)

    def resume(self) -> None:
        """Go on after a stop, first with the datagrams received meanwhile."""
        self.stopped = False
        self.reload()
        queue, self.queue = self.queue, []
        for source, data in queue:
            self.receive(source, data)

    # -- callbacks of its duties

    def send_claims(self, voter: str, round_: int, claims: Sequence[Claim]) -> None:
        """Send claims to a voter."""
        config = self.config()
        claimed = [ClaimEntry(claim.duty, claim.number, claim.release) for claim in claims]
        self.fleet.send(
            self, voter, Claims(self.life, 0, round_, config.lease, sorted(config.voter_set_ids()), claimed)
        )

    def duty_changed(self, duty: str, number: int, why: str) -> None:
        """A duty was won or lost."""
        self.fleet.changed(self, duty, number)

    # -- datagrams

    def receive(self, source: int, data: bytes) -> None:
        """A datagram arrives; it is kept while the member is stopped, and lost while it is down."""
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
                for claim in message.claims:
                    if claim.release:
                        self.voter.release(claim.duty, sender.instance_id, claim.number)
                        continue
                    if not self.fleet.bugs.remembers_grants:
                        self.voter.grants.pop(claim.duty, None)
                    answer = self.voter.answer_claim(
                        now,
                        claim.duty,
                        sender.instance_id,
                        claim.number,
                        message.lease,
                        frozenset(message.voter_set_ids),
                    )
                    answers.append(
                        GrantEntry(
                            claim.duty, claim.number, answer.result, answer.wait, answer.highest_number
                        )
                    )
                if answers:
                    self.fleet.send(self, address(source), Grants(self.life, 0, message.round, answers))
            case Grants():
                for grant in message.grants:
                    self.duties.receive_answer(
                        now,
                        sender.address,
                        message.round,
                        grant.duty,
                        grant.number,
                        ClaimAnswer(ClaimResult(grant.result), grant.wait, grant.highest_number),
                    )


class DutyFleet:
    """The members, the places where holders act, and the history of their acts; times in microseconds."""

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
        joint = (before, after) if bugs.joint_voter_sets else (after,)
        self.configs = [LeaseSettings(sets, LEASE_US, DRIFT) for sets in ((before,), joint, (after,))]
        self.members = [
            Member(self, number, 1.0 + self.rng.choice((-max_drift, 0.0, max_drift)))
            for number in range(count)
        ]
        self.by_address = {member.address: member for member in self.members}
        self.fences = [Fence() for _ in range(2)]
        self.run_record = DutyRun()
        self.unheld_since: dict[str, int] = {}  # since when a duty has no holder
        self.latest_numbers: dict[str, int] = {}
        for member in self.members:
            member.start()
        self.timeline.at(0, self.act)

    def send(self, member: Member, to: str, message: messages.AnyMessage) -> None:
        """Send a message from a member to an address."""
        recipient = self.by_address[to]
        self.run_record.messages += 1
        self.links.carry(
            member.number,
            recipient.number,
            messages.encode_message(message, 0),
            lambda data: recipient.receive(member.number, data),
        )

    def changed(self, member: Member, duty: str, number: int) -> None:
        """Count handovers: a duty was won under a number other than the last one."""
        if number:
            self.run_record.handovers += self.latest_numbers.get(duty, number) != number
            self.latest_numbers[duty] = number

    # -- acts of holders

    def acting_number(self, member: Member, duty: str) -> int:
        """The fencing number under which a member may act on a duty now; 0: it may not."""
        if self.bugs.holder_lease is not None:
            own = member.duties.duties[duty]
            expires_at = own.claimed_at + self.bugs.holder_lease(LEASE_US)
            if own.expires_at and member.duties.has_majority(own) and member.clock() < expires_at:
                return own.number
        return member.duties.fencing_number(member.clock(), duty)

    def act(self) -> None:
        """All holders act at once at a place; some acts also reach a place with a fence, late."""
        now = self.timeline.now
        for duty in self.names:
            acting_count = 0
            for member in self.members:
                if not member.up or member.stopped:
                    continue
                number = self.acting_number(member, duty)
                if not number:
                    continue
                acting_count += 1
                self.record_act(member.life.instance_id, "place", duty, number, True)
                if self.rng.random() < 0.05:
                    self.timeline.at(
                        now + round(3 * SECOND * self.rng.random()),
                        self.act_late,
                        member,
                        duty,
                        number,
                        member.life.instance_id,
                    )
            if acting_count and duty in self.unheld_since:
                self.run_record.gaps.append(now - self.unheld_since.pop(duty))
            elif not acting_count:
                self.unheld_since.setdefault(duty, now)
        self.timeline.at(now + ACT_INTERVAL_US, self.act)

    def act_late(self, member: Member, duty: str, number: int, holder: int) -> None:
        """An act that was checked a while ago, by a process stopped meanwhile or over a slow network."""
        if not self.bugs.checks_when_acting:
            self.record_act(holder, "place", duty, number, True)
        fence = self.rng.randrange(len(self.fences))
        accepted = self.fences[fence].accept(duty, number) or not self.bugs.checks_fence
        if not accepted and member.up:
            member.duties.reclaim_above(member.clock(), duty, self.fences[fence].highest_numbers[duty])
        self.record_act(holder, f"fence-{fence}", f"{duty} at fence {fence}", number, accepted)

    def record_act(self, holder: int, who: str, duty: str, number: int, accepted: bool) -> None:
        """Add an act to the history."""
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
    """Run a seeded schedule: kills, stops, cuts, bad links, clock steps; then no faults until the end."""
    rng = random_source(seed, "schedule")
    count, voters = rng.randint(4, 8), rng.choice((3, 5))
    fleet = DutyFleet(seed, max(count, voters), voters, ["d0", "d1"], bugs or InjectedBugs(), max_drift)
    everyone = [member.number for member in fleet.members]

    def at_some_time(
        call: Callable[[], None], duration: float, undo: Callable[[], None] | None = None
    ) -> None:
        at = round(rng.uniform(1.0, duration_s) * SECOND)
        fleet.timeline.at(at, call)
        if undo is not None:
            fleet.timeline.at(min(at + round(duration * SECOND), round(duration_s * SECOND)), undo)

    def with_undo(begin: Callable[[], Callable[[], None]], duration: float) -> None:
        undone: list[Callable[[], None]] = []
        at_some_time(lambda: undone.append(begin()), duration, lambda: undone.pop()())

    for _ in range(rng.randint(6, 14)):
        chosen = rng.sample(everyone, rng.randint(1, max(1, len(everyone) // 2)))
        others = [number for number in everyone if number not in chosen]
        duration = rng.choice((0.01, 0.5, 2.0, 5.0))
        match rng.randrange(6):
            case 0:

                def kill(chosen: list[int] = chosen) -> None:
                    for number in chosen:
                        fleet.members[number].kill()

                def start(chosen: list[int] = chosen) -> None:
                    for number in chosen:
                        if not fleet.members[number].up:
                            fleet.members[number].start()

                at_some_time(kill, duration, start)
            case 1:

                def stop(chosen: list[int] = chosen) -> None:
                    for number in chosen:
                        fleet.members[number].stopped = True

                def resume(chosen: list[int] = chosen) -> None:
                    for number in chosen:
                        if fleet.members[number].up and fleet.members[number].stopped:
                            fleet.members[number].resume()

                at_some_time(stop, duration, resume)
            case 2:
                with_undo(
                    lambda chosen=chosen, others=others: (  # type: ignore[misc]
                        fleet.links.cut(chosen, others)
                    ),
                    duration,
                )
            case 3:
                with_undo(
                    lambda chosen=chosen, others=others: (  # type: ignore[misc]
                        fleet.links.cut(chosen, others, both_ways=False)
                    ),
                    duration,
                )
            case 4:

                def set_clock(
                    chosen: list[int] = chosen, step: int = rng.choice((-3_600_000, 3_600_000))
                ) -> None:
                    for number in chosen:
                        fleet.members[number].wall_offset_ms += step

                at_some_time(set_clock, duration)
            case _:
                impairment = Impairment(
                    rng.uniform(0, 0.5),
                    rng.uniform(0, 0.3),
                    rng.uniform(0, 0.1),
                    0,
                    rng.choice((1_000, 300_000, 20 * SECOND)),
                )
                with_undo(lambda impairment=impairment: fleet.links.impair(everyone, impairment), duration)  # type: ignore[misc]
    if rng.random() < 0.5:
        # The voters change: members get the configuration with both sets, in any order, then the new one.
        def change(config_index: int) -> None:
            for number in rng.sample(everyone, len(everyone)):
                fleet.timeline.at(
                    fleet.timeline.now + round(rng.uniform(0.0, 4.0) * SECOND),
                    write_config,
                    number,
                    config_index,
                )
            if config_index == 1:
                fleet.timeline.at(fleet.timeline.now + 4 * SECOND, finish_change)

        def write_config(number: int, config_index: int) -> None:
            fleet.members[number].pending_config_index = config_index
            fleet.members[number].reload()

        def finish_change() -> None:
            if any(member.up and member.config_index < 1 for member in fleet.members):
                # A stopped member still has the old configuration.
                fleet.timeline.at(fleet.timeline.now + SECOND, finish_change)
            else:
                change(2)

        at_some_time(lambda: change(1), 0)
    fleet.timeline.run(round(duration_s * SECOND))
    for member in fleet.members:
        if not member.up:
            member.start()
        elif member.stopped:
            member.resume()
    fleet.timeline.run(fleet.timeline.now + RECOVERY_US)
    fleet.run_record.held_at_end = sum(
        any(fleet.acting_number(member, duty) for member in fleet.members) for duty in fleet.names
    )
    return fleet.run_record
