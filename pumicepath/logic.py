"""All decisions of one sidecar.

A host makes one `Balancer` for each sidecar it runs, tells it of lists, and calls `take` for
each submission.  The `Submission` that comes back is the handle: outcomes of its hops, its wakes and its
client's leaving are calls on it.  Answers go to the `Outlet`.  All types are in `interface`.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import replace
from heapq import heapify, heappop, nsmallest

from .interface import Companions, Effect, Entry, Group, Listing, Outcome, Outlet, Phase, Settings, Tariff

CLOSED, OPEN, HALF_OPEN = range(3)
MASK = (1 << 64) - 1

FAILURE_THRESHOLD = 3
COOLDOWN = 5_000_000
LONGEST_COOLDOWN = 20_000_000
TRIAL_PART = 0.25  # trials as a part of the hops that a server would get in calm
HALF_OPEN_TRIALS = 1
PASS_OVER_MARGIN = 1.25  # times a server's fair part of all that is out
QUEUED = 3.0  # usual times from which a hop has met a queue, and
QUEUED_PART = 0.3  # the part of its agreed time that it must have taken too
BROKEN_OFF = 0.25  # part of the agreed time within which an answer that has begun must be whole
STALL = 1.0  # usual times from which a hop still out marks its server as stalled, and
STALL_PART = 0.1  # the part of its agreed time that it must be out too
DOUBT = 3.0  # usual times from which an answer may be lost, and
DOUBT_PART = 0.25  # the part of its agreed time that it must have taken too
LOST = 0.3  # the part of them that never came from which copies go out
TARDY = 0.7  # part of the agreed time from which a hop is tardy
RETRY_PART = 0.2  # of its value that counts of a submission that its client sends again
JAM = 0.4  # share of tardy or queued hops that cuts what may be out
SOME = 0.05  # share of tardy hops from which the middle server's queue counts
GROWTH = 0.12  # how fast the limit rises, as a part of it for each usual time
ILL = 0.25  # share of failures that opens a breaker, and
ILL_ABOVE = 2.0  # so many times the middle server's on top of that
UNLIKELY = 0.00002  # chance of failures in a row that are still the middle server's share by accident
COLD_PART = 0.55  # of what the rules let all sidecars together send to a cold server
ANSWERED_SLACK = 1.1  # times what is answered here that counts of what is taken, for cold servers,
SOME_TAKEN = 10  # once so many are known
GOLDEN = 0.6180339887498949  # its multiples fill the unit interval evenly, however many are taken
SILVER = 0.41421356237309515  # so do these; no sum of multiples of both comes twice
FULL_PART = 0.05  # share of hops that find servers full above which less is taken on, and
FULL_STEP = 0.25  # what each hop counts in that share, and
FULL_MEMORY = 1.5e6  # how fast it is forgotten
HASTY_PART = 0.3  # of its value that counts of one whose client will hardly wait for the answer
FULL_GAIN = 3.0  # how much less, for each time of that share
SPREAD = 0.025  # worth of choice against the price of connections, for how many servers one uses
FEWEST = 4  # servers that a sidecar uses at least, where connections cost
NEAR_ENOUGH = 0.08  # crossing price from which other zones count least
RECENT = 64  # submissions among which a key is judged popular
HOT = 2.0  # times a server's fair part from which a key is spread
MEMORY = 3_000_000  # how fast a server's lag is forgotten without new samples
SHORT = 17  # rests under 2 to the power of this, in microseconds, are one length
RESTS = 8  # lengths of rests that are told apart, each twice the one before
REST_LOST = 0.55  # part of them in vain, above the usual, that tells of dropped connections, and
REST_LOSSES = 3.0  # how many in vain at least
REST_MEMORY = 2e6  # how fast it is forgotten what rests did, and
REST_HELD = 15_000_000  # how long connections are freed for it, until that is tried anew
PEERS = 6  # other sidecars that are told of it, and
TELL_EVERY = 1_000_000  # how often at most
HELD_STEP = 1_000_000  # between two steps of a server that the list has dropped, or has again, and
HELD_LEAST = 1 / 16  # the part of its weight at which they end
HELD_LONGEST = 30_000_000  # without an answer, until a dropped server is gone
MOST_DRAINED = 4096  # servers of which it is kept that they have drained
MOST_BY_HAND = 1000  # servers out by hand at once
VERSION = 1  # of the messages: this, then how often each length was used, how often in vain
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
NEUTRAL = (Outcome.FULL, Outcome.CANCELLED, Outcome.MOOT)
Place = tuple[tuple[int, ...] | None, tuple[int, ...] | None]  # zones and kinds of servers; None: any


class Chance:
    """A linear congruential generator; only its high bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & MASK

    def bits(self) -> int:
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & MASK
        return self.state >> 33

    def share(self) -> float:
        return self.bits() / (1 << 31)


def mix(value: int) -> int:
    """Scatter 64 bits, so that near keys and ids get unrelated ranks."""
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & MASK
    return value ^ (value >> 31)


class Rests:
    """How many hops bring nothing that are the first on a connection after a rest, by how long that was.

    Guards hops, unrepeatable ones above all, against whatever drops resting connections and says nothing, and
    the breakers of healthy servers against being opened by it.
    """

    def __init__(self) -> None:
        self.used = [0.0] * RESTS
        self.lost = [0.0] * RESTS
        self.seen = bytearray(2 * RESTS)  # here, since others were told
        self.at = self.until = 0
        self.limit = MASK  # from which rest on a connection is not to be used

    def note(self, now: int, rest: int, lost: bool) -> None:
        length = min(RESTS - 1, max(0, rest.bit_length() - SHORT))
        for at in (length, length + RESTS)[: 1 + lost]:
            self.seen[at] = min(255, self.seen[at] + 1)
        self.count(now, length, 1, int(lost))

    def count(self, now: int, length: int, used: int, lost: int) -> None:
        fading = math.exp((self.at - now) / REST_MEMORY)
        self.at = now
        for each in range(RESTS):
            self.used[each] *= fading
            self.lost[each] *= fading
        self.used[length] += used
        self.lost[length] += lost
        usual = REST_LOST + self.lost[0] / (1.0 + self.used[0])
        limit = next(
            (
                1 << SHORT + each - 1
                for each in range(1, RESTS)
                if self.lost[each] > max(REST_LOSSES, usual * self.used[each])
            ),
            MASK,
        )
        if limit < self.limit or now > self.until:
            self.limit = limit
            self.until = now + REST_HELD

    def told(self, now: int, data: bytes) -> bool:
        """What another sidecar has seen; False if that can't be read."""
        if len(data) != 1 + 2 * RESTS or data[0] != VERSION:
            return False
        for length in range(RESTS):
            used, lost = data[1 + length], data[1 + RESTS + length]
            if 0 < used >= lost:
                self.count(now, length, used, lost)
        return True


class Hop:
    """A hop; `server` means something while it is out, its zone and cell stay those that it was sent to."""

    __slots__ = (
        "at",
        "due",
        "server",
        "zone",
        "cell",
        "generation",
        "trial",
        "level",
        "out",
        "may_have_run",
        "judged",
        "begun",
        "rest",
        "doubted",
    )

    def __init__(
        self, at: int, due: int, server: int, zone: int, cell: int, generation: int, trial: bool, level: float
    ) -> None:
        self.at, self.due = at, due
        self.server, self.zone, self.cell = server, zone, cell
        self.generation = generation
        self.trial = trial
        self.out = self.may_have_run = True
        self.judged = self.begun = self.doubted = False
        self.level = level
        self.rest = 0


class Reach:
    """The servers open to some tariffs, those of them that this sidecar uses, and keys' draws of these."""

    __slots__ = ("ready", "near", "draws")

    def __init__(self, ready: list[int], near: list[int]) -> None:
        self.ready, self.near = ready, near
        self.draws: dict[int, list[float]] = {}


class Terms:
    """What a tariff says, and how long its submissions take; they end under what they were taken by."""

    __slots__ = ("tariff", "place", "agreed", "usual", "calm", "samples")

    def __init__(self, tariff: Tariff, before: Terms | None = None) -> None:
        self.tariff = tariff
        self.place: Place = (tariff.zones, tariff.kinds)
        self.agreed = tariff.agreed
        self.usual: float = before.usual if before else max(1.0, tariff.agreed / 4)
        self.calm: float = before.calm if before else self.usual
        self.samples: int = before.samples if before else 0


class Submission:
    """One submission from its taking to its final answer, and its hops until the last has ended."""

    __slots__ = (
        "balancer",
        "name",
        "terms",
        "key",
        "until",
        "retry",
        "hops",
        "out",
        "done",
        "coming",
        "spent",
    )

    def __init__(
        self, balancer: Balancer, name: int, terms: Terms, key: int, retry: bool, until: int
    ) -> None:
        self.balancer = balancer
        self.name = name
        self.terms = terms
        self.key = key
        self.until = until
        self.retry = retry
        self.hops: list[Hop] = []
        self.out = 0
        self.done = False
        self.coming = False  # whether its body still comes, and goes on as it does
        self.spent = False  # whether part of its body was let go, so that no other hop can have it

    def whole(self, now: int, number: int, until: int) -> None:
        """The last of a body has come: patience and the time of the hop that carries it begin."""
        hop = self.hops[number]
        self.coming = False
        self.until = until
        if hop.out:
            hop.at = now
            hop.due = now + int(max(STALL * self.terms.usual, STALL_PART * self.terms.agreed))
            self.balancer.outlet.wake(now + self.terms.agreed, self)

    def over(self) -> bool:
        return self.done and self.out == 0

    def started(self, now: int, number: int) -> None:
        """The answer of a hop has begun: the verdict of a trial; a break later still counts as failure.

        Called again as more of it comes, but not all.
        """
        hop = self.hops[number]
        if hop.out and hop.begun:
            hop.due = now + int(BROKEN_OFF * self.terms.agreed)
        elif hop.out:
            self.balancer.answered(now, self.terms, hop, now - hop.at)
            hop.begun = True
            hop.trial = hop.judged = False
            hop.due = now + int(BROKEN_OFF * self.terms.agreed)
            if hop.due < self.until and not self.terms.tariff.stream:
                self.balancer.outlet.wake(hop.due, self)

    def ended(self, now: int, number: int, outcome: Outcome, spent: int, finished: bool) -> None:
        hop = self.hops[number]
        if not hop.out:
            return
        hop.out = False
        self.out -= 1
        hop.may_have_run = outcome not in NEVER_RAN or (
            outcome == Outcome.FULL and self.balancer.settings.full_unproven
        )
        if outcome not in (Outcome.CANCELLED, Outcome.MOOT):
            self.balancer.found(outcome == Outcome.FULL)
        self.balancer.hop_ended(now, self.terms, hop, outcome, spent)
        if self.done:
            return
        if finished:
            self.done = True
            for other, rest in enumerate(self.hops):
                if rest.out:
                    self.balancer.outlet.cancel(self.name, other)
        elif self.out == 0:
            self.go_on(now)

    def left(self, now: int) -> None:
        """The client is gone; hops still out bring their outcomes, but nothing is owed."""
        self.done = True

    def woke(self, now: int) -> None:
        """A hop has been out for the agreed time: hold that against its server, but let it go on."""
        balancer, agreed = self.balancer, self.terms.agreed
        for number, hop in enumerate(self.hops):
            if not hop.out or hop.judged:
                continue
            if not hop.begun and now - hop.at >= agreed:
                balancer.overdue(now, self.terms, hop)
            elif not hop.begun and not hop.doubted and now - hop.at >= self.doubted_after():
                hop.doubted = True
                self.copy(now)
            elif hop.begun and now < hop.due < self.until:
                balancer.outlet.wake(hop.due, self)
            elif hop.begun and not self.terms.tariff.stream:
                # Guards against answers that begin and never end: where it may run again, it does elsewhere.
                balancer.verdict(now, hop, True, "answer broken off")
                if not self.done and self.may_repeat(now):
                    balancer.outlet.cancel(self.name, number)

    def doubted_after(self) -> int:
        """How long a hop is out until its answer may be lost, where the servers of a group drop a copy."""
        if not self.balancer.settings.copies or self.terms.tariff.effect != Effect.DEDUPLICATED:
            return self.terms.agreed
        return int(max(DOUBT * self.terms.usual, DOUBT_PART * self.terms.agreed))

    def copy(self, now: int) -> None:
        """Guards against answers lost on their way: the work was done, and costs its group nothing again."""
        balancer = self.balancer
        if (
            self.out == 1
            and not self.done
            and not self.spent
            and now < self.until
            and balancer.lost > LOST
            and balancer.level < balancer.room
            and balancer.may_retry(self)
            and (server := balancer.pick(now, self)) >= 0
        ):
            self.send(now, server)

    def may_repeat(self, now: int) -> bool:
        try:
            self.bound(now)
        except PermissionError:
            return False
        return (
            not self.spent
            and len(self.hops) < self.balancer.settings.most_hops
            and self.balancer.retries_left >= 1.0
        )

    def bound(self, now: int) -> Hop | None:
        """Where a further hop may go: any server, or only the group of the first hop that may have run.

        Raises PermissionError where no further hop is allowed at all.
        """
        tariff = self.terms.tariff
        for hop in self.hops:
            if hop.may_have_run:
                if tariff.effect == Effect.IDEMPOTENT:
                    return None
                if tariff.effect == Effect.UNREPEATABLE or now > hop.at + tariff.window:
                    raise PermissionError
                return hop if tariff.group != Group.ALL else None
        return None

    def harmless(self) -> bool:
        """Whether a deferral's promise, that trying again does no harm, would be true."""
        tariff = self.terms.tariff
        if tariff.effect == Effect.IDEMPOTENT or not any(hop.may_have_run for hop in self.hops):
            return True
        return tariff.effect == Effect.DEDUPLICATED and tariff.group == Group.ALL

    def go_on(self, now: int) -> None:
        """Send the next hop, or give the final answer at once."""
        server = -1
        if now < self.until and not self.spent and self.balancer.may_retry(self):
            server = self.balancer.pick(now, self)
        if server >= 0:
            self.send(now, server)
        else:
            self.give_up(now)

    def give_up(self, now: int) -> None:
        self.done = True
        if self.harmless():
            self.balancer.outlet.defer(self.name, self.balancer.retry_in(self.terms))
        else:
            self.balancer.outlet.forfeit(self.name)

    def send(self, now: int, server: int) -> None:
        balancer = self.balancer
        self.hops.append(balancer.admit(now, self.terms, server))
        self.out += 1
        balancer.outlet.send(self.name, balancer.ids[server], 0)
        agreed = self.terms.agreed
        if self.coming:
            # Guards the server, which can't begin yet, against being judged by how fast its client sends.
            self.hops[-1].at = self.hops[-1].due = self.until
        elif now + agreed < self.until:
            balancer.outlet.wake(now + agreed, self)
        if not self.coming and (doubted := self.doubted_after()) < agreed:
            balancer.outlet.wake(now + doubted, self)


class Settling:
    """Ends the stricter figures that hold while settings change."""

    def __init__(self, balancer: Balancer, settings: Settings) -> None:
        self.balancer = balancer
        self.settings = settings

    def woke(self, now: int) -> None:
        if self.balancer.settling is self:
            self.balancer.settling, self.balancer.settings = None, self.settings
            self.balancer.learn(self.settings)


class Balancer:
    def __init__(self, settings: Settings, seed: int, outlet: Outlet) -> None:
        self.settings = settings
        self.outlet = outlet
        self.companions: Companions | None = None
        self.chance = Chance(seed)
        # The list, under a small dense index that a server keeps while it is listed or a hop to it is out.
        self.index: dict[int, int] = {}
        self.free: list[int] = []
        self.ids: list[int] = []
        self.names: list[str] = []
        self.zone: list[int] = []
        self.cell: list[int] = []
        self.kind: list[int] = []
        self.phase: list[Phase] = []
        self.scale: list[float] = []
        self.tokens: list[float] = []  # what may be sent to a cold server at once
        self.tokens_at: list[int] = []
        self.sizes: dict[int, float] = {}  # the largest scale listed of each kind of server
        self.came_up: list[int] = []
        self.told_up: list[int] = []
        self.salt: list[int] = []
        self.ready: list[int] = []
        self.reaches: dict[Place, Reach] = {}  # by where tariffs may go
        self.by_hand: dict[int, int] = {}  # ids that operators have taken out, and since when
        self.drained: dict[int, int] = {}  # the starts of servers that drain, where that alone binds
        self.returned: dict[int, int] = {}  # when those came back that may still be cold
        self.settling: Settling | None = None
        self.quota = 0.0
        self.learn(settings)
        # The breakers.
        self.state: list[int] = []
        self.fails: list[int] = []
        self.since: list[int] = []
        self.cooldown: list[int] = []
        self.ill: list[float] = []
        self.generation: list[int] = []
        self.trials: list[int] = []
        # What this sidecar has seen.
        self.out: list[list[Hop]] = []
        self.dropped: list[int] = []  # since when the list lacks a server that is still used, 0 if it has it
        self.held: list[float] = []  # the part of its weight that counts, since when, and its last answer
        self.held_at: list[int] = []
        self.heard: list[int] = []
        self.rested: list[int] = []  # since when the connections to a server rest, 0 if there are none
        self.rests = Rests()
        self.told_at = self.ignored = 0
        self.lost = 0.0  # the part of doubted hops whose answers never came
        self.lag: list[float] = []
        self.queued: list[float] = []
        self.late: list[bool] = []
        self.lag_at: list[int] = []
        self.sent_cold: list[deque[int]] = []
        self.all_in_flight = 0
        self.terms = tuple(Terms(tariff) for tariff in settings.tariffs)
        self.retries_left = 10.0
        # The turns at fresh servers begin at a point of this sidecar's own, however many others there are.
        # Guards a cold server against sidecars in step: were it a multiple of GOLDEN, each would come to the
        # same points that others do, some submissions later, and so all of them to one server in one window.
        self.turn = settings.me * SILVER % 1.0
        self.gap = 0.0
        self.taken = self.taken_at = 0
        # The keys of the last submissions, and how often each is among them.
        self.recent: deque[int] = deque()
        self.met: dict[int, int] = {}
        # How much may be out, how much could after the last cut, when that was, and the share of tardy hops.
        self.level = 0.0
        self.level_at = 0
        self.room = self.calm_room = math.inf
        self.shrunk = 0
        self.tardy = 0.0
        self.full = 0.0
        self.full_at = 0
        self.answers, self.began, self.answers_at = 0.0, -1, -1  # of late, since when, and when last counted
        # Asking for the list.
        self.following = not settings.must_ask
        self.asking = False

    # -- the list

    def listed(self, now: int, kind: Listing, entries: Sequence[Entry], spent: int = 0) -> None:
        if kind == Listing.FAILED:
            self.following = self.asking = False
            # Guards the roster against all sidecars asking again together, and stays well inside the time
            # after which a list not asked for is deemed known, or a change since that call began (`spent`).
            pause = (1_000_000 + self.chance.bits() % 3_000_000) * max(1_000, 4_000 - spent // 1000) // 4_000
            self.outlet.wake(now + min(self.settings.ask_every // 2, pause), self)
            return
        if kind == Listing.CACHED:
            if self.settings.must_ask:
                self.woke(now)
        else:
            self.asking = False
            self.following = True
        changed = kind != Listing.CHANGES
        if changed:
            named = {entry.server for entry in entries}
            for server, at in self.index.items():
                if server not in named:
                    self.drop(now, at)
        for entry in entries:
            at = self.index.get(entry.server, -1)
            if self.settings.drain_alone:
                entry = self.as_told(now, entry)
            if at >= 0 and entry.phase == Phase.GONE:
                self.drop(now, at)
                changed = True
            elif at >= 0 and (entry.phase, entry.came_up, entry.zone, entry.cell, entry.kind) == (
                self.phase[at],
                self.told_up[at],
                self.zone[at],
                self.cell[at],
                self.kind[at],
            ):
                self.weigh(at, entry)  # all that a renewal of live scales costs
            elif entry.phase != Phase.GONE or at >= 0:
                self.note(now, entry)
                changed = True
        if changed:
            for at in [at for at in self.index.values() if self.phase[at] == Phase.GONE]:
                self.forget(at)
            self.choose_ready()

    def as_told(self, now: int, entry: Entry) -> Entry:
        """Where only draining binds: what has drained stays bound, whatever an old list that returns says."""
        if entry.phase == Phase.DRAINING:
            self.drained[entry.server] = max(entry.came_up, self.drained.pop(entry.server, 0))
            if len(self.drained) > MOST_DRAINED:
                del self.drained[next(iter(self.drained))]
        elif entry.phase == Phase.READY:
            if entry.came_up <= self.drained.get(entry.server, -1):
                return entry._replace(phase=Phase.DRAINING)
            at = self.index.get(entry.server, -1)
            if at >= 0 and self.dropped[at]:
                self.dropped[at], self.held_at[at] = 0, now
        return entry

    def drop(self, now: int, at: int) -> None:
        """The list no longer has a server.  Where only draining binds that proves nothing: it stays in use.

        Guards against lists that call servers gone that serve.  It costs trials of servers that are gone.
        """
        if not self.settings.drain_alone or self.phase[at] != Phase.READY:
            self.phase[at] = Phase.GONE
        elif not self.dropped[at]:
            self.dropped[at] = self.held_at[at] = now
        elif now - max(self.dropped[at], self.heard[at]) > HELD_LONGEST:
            self.phase[at] = Phase.GONE

    def part_held(self, now: int, at: int) -> float:
        """The part of its weight that counts of a server that the list dropped, or has again: by steps."""
        since = self.held_at[at]
        if now - since >= HELD_STEP and (self.dropped[at] or self.held[at] < 1.0):
            self.held_at[at] = now
            up = not self.dropped[at] or self.heard[at] >= since
            self.held[at] = min(1.0, 2 * self.held[at]) if up else max(HELD_LEAST, self.held[at] / 2)
        return self.held[at]

    def choose_ready(self) -> None:
        self.ready = [
            at
            for at, phase in enumerate(self.phase)
            if phase == Phase.READY and self.ids[at] not in self.by_hand
        ]
        self.choose_reaches()

    def choose_reaches(self) -> None:
        """What is open to each tariff changes with the list and with the tariffs, not from hop to hop."""
        self.reaches.clear()
        for terms in self.terms:
            self.reach_of(terms.place)

    def reach_of(self, place: Place) -> Reach:
        """The servers of some zones and kinds; those of terms of before are worked out when asked for."""
        reach = self.reaches.get(place)
        if reach is None:
            zones, kinds = place
            ready = [
                at
                for at in self.ready
                if (zones is None or self.zone[at] in zones) and (kinds is None or self.kind[at] in kinds)
            ]
            reach = self.reaches[place] = Reach(ready, self.nearest(ready))
        return reach

    def hand(self, now: int, server: int, out: bool, certain: bool = False) -> bool:
        """Take a server out by hand, or let it serve again; False for an id that nobody has.

        Guards a server that operators work on: no list, breaker or trial brings it back.  It returns cold, as
        of a start listed since, else as of now.  `certain`: another process has found the id.
        """
        at = self.index.get(server, -1)
        known = server in self.by_hand
        lacks = (at < 0 or self.phase[at] == Phase.GONE) and not certain
        if not known and (lacks or out and len(self.by_hand) >= MOST_BY_HAND):
            return False
        if out:
            self.by_hand.setdefault(server, now)
        elif known:
            longest = max(self.settings.cold_for, self.settings.fall_window)
            self.returned = {one: then for one, then in self.returned.items() if now - then < longest}
            if self.by_hand.pop(server) >= (self.came_up[at] if at >= 0 else 0):
                self.returned[server] = now
            if at >= 0:
                self.begin(now, at, max(self.came_up[at], self.returned.get(server, 0)))
        self.choose_ready()
        if out != known:
            name = self.names[at] if at >= 0 else str(server)
            self.outlet.log(f"server {name} {'out' if out else 'back'} by hand")
        return True

    def standing(self) -> tuple[int, int]:
        """How many servers are listed, and how many of these are avoided, by hand or by their breakers."""
        listed = [at for at in self.index.values() if self.phase[at] != Phase.GONE]
        return len(listed), sum(self.state[at] != CLOSED or self.ids[at] in self.by_hand for at in listed)

    def choose_near(self) -> None:
        """A breaker has opened or closed."""
        for reach in self.reaches.values():
            near = self.nearest(reach.ready)
            if near != reach.near:
                reach.draws.clear()
            reach.near = near

    def nearest(self, ready: list[int]) -> list[int]:
        """The servers that this sidecar uses: all, or, where connections cost, the first of its own order.

        Guards servers that take few connections, each of which costs, against hundreds of sidecars.  One
        whose breaker is not closed stays among them for its trials; the next in the order stands in for it.
        """
        price = self.settings.connection_price * self.settings.fleet
        most = len(ready)
        if price > 0:
            most = max(FEWEST, math.ceil(math.sqrt(SPREAD * 100 * len(ready) / price)))
        if most >= len(ready):
            return ready
        mine = mix(self.settings.me + 1)
        near = []
        for _, at in sorted((mix(mine ^ self.salt[at]), at) for at in ready):
            near.append(at)
            most -= self.state[at] == CLOSED
            if most <= 0:
                break
        return sorted(near)

    def told(self, now: int, data: bytes) -> None:
        """A message of another sidecar: a hint, which may be late, garbled or from another build."""
        if not self.rests.told(now, data):
            self.ignored += 1

    def adopt(self, now: int, settings: Settings) -> None:
        """Go by other settings from now on; what has been taken ends under the terms it was taken under.

        Breakers, samples and hops out stay.  Until the longer window has passed the rules' figures are the
        stricter of both: guards budgets that were half spent, and sends that count as told by the old ones.
        """
        before, known = self.settings, {terms.tariff.name: terms for terms in self.terms}
        self.terms = tuple(Terms(tariff, known.get(tariff.name)) for tariff in settings.tariffs)
        if not any(terms.tariff.name in known for terms in self.terms):
            # What may be out was learnt from other submissions.
            self.room = self.calm_room = math.inf
            self.tardy = self.full = 0.0
        quota = self.quota
        self.learn(settings)
        if not self.quota or 0.0 < quota < self.quota:
            self.quota = quota
        self.tokens = [min(0.0, tokens) for tokens in self.tokens]
        self.tokens_at = [now] * len(self.tokens)
        self.settings = replace(
            settings,
            cold_from=min(before.cold_from, settings.cold_from),
            cold_for=max(before.cold_for, settings.cold_for),
            most_hops=min(before.most_hops, settings.most_hops),
            fall_multiple=min(before.fall_multiple, settings.fall_multiple),
            fall_window=min(before.fall_window, settings.fall_window),
            full_unproven=before.full_unproven or settings.full_unproven,
            ask_every=min(before.ask_every, settings.ask_every),
        )
        self.settling = Settling(self, settings)
        longest = max(self.settings.cold_for, before.fall_window, settings.fall_window)
        self.outlet.wake(now + longest, self.settling)
        self.choose_reaches()
        if settings.must_ask:
            self.woke(now)

    def learn(self, settings: Settings) -> None:
        """What follows from settings."""
        self.span = sum(tariff.agreed for tariff in settings.tariffs) / max(1, len(settings.tariffs))
        self.quota = sum(settings.quotas) / 1e6
        self.place = settings.me * GOLDEN % 1.0

    def tell(self, now: int) -> None:
        """Tell some others what was seen here, never what they told: no hint feeds itself."""
        if now - self.told_at < TELL_EVERY or not self.settings.may_tell or self.settings.fleet < 2:
            return
        self.told_at = now
        if any(self.rests.seen[1:RESTS]):
            hint = bytes([VERSION]) + bytes(self.rests.seen)
            for _ in range(min(PEERS, self.settings.fleet - 1)):
                peer = self.chance.bits() % (self.settings.fleet - 1)
                self.outlet.tell(peer + (peer >= self.settings.me), hint)
            self.rests.seen = bytearray(2 * RESTS)

    def forget(self, at: int) -> None:
        """Nothing is kept of a server that is gone once no hop to it is out: new ones come for ever."""
        if self.phase[at] == Phase.GONE and not self.out[at] and self.index.get(self.ids[at]) == at:
            del self.index[self.ids[at]]
            self.generation[at] += 1
            self.free.append(at)

    def note(self, now: int, entry: Entry) -> None:
        at = self.index.get(entry.server)
        if at is None:
            if self.free:
                at = self.free.pop()
            else:
                at = len(self.ids)
                for column in (
                    self.ids,
                    self.salt,
                    self.zone,
                    self.cell,
                    self.kind,
                    self.state,
                    self.fails,
                    self.since,
                    self.generation,
                    self.trials,
                    self.lag_at,
                    self.came_up,
                    self.told_up,
                    self.cooldown,
                    self.tokens_at,
                    self.rested,
                    self.dropped,
                    self.held_at,
                    self.heard,
                ):
                    column.append(0)
                for shares in (self.scale, self.tokens, self.ill, self.queued, self.lag, self.held):
                    shares.append(0.0)
                self.phase.append(Phase.GONE)
                self.names.append("")
                self.late.append(False)
                self.sent_cold.append(deque())
                self.out.append([])
            self.index[entry.server] = at
            self.ids[at] = entry.server
            self.names[at] = entry.name or str(entry.server)
            self.salt[at] = mix(entry.server + 1)
            self.since[at] = self.lag_at[at] = self.rested[at] = 0
            self.scale[at] = self.queued[at] = 0.0
            self.dropped[at], self.held[at] = 0, 1.0
            # Each sidecar begins elsewhere: guards a fresh server against all first hops coming together.
            self.tokens[at] = (self.place + self.salt[at] / MASK) % 1.0
            self.late[at] = False
            self.sent_cold[at].clear()
            self.told_up[at] = entry.came_up
            self.begin(now, at, self.started(now, entry))
        if entry.came_up > self.told_up[at]:
            # Guards a fresh process against the verdicts on the one before it.
            self.told_up[at] = entry.came_up
            self.begin(now, at, self.started(now, entry))
        self.zone[at] = entry.zone
        self.cell[at] = entry.cell
        self.kind[at] = entry.kind
        self.phase[at] = entry.phase
        self.weigh(at, entry)

    def begin(self, now: int, at: int, came_up: int) -> None:
        """A new process of a known server."""
        self.came_up[at] = came_up
        self.state[at] = CLOSED
        self.fails[at] = self.trials[at] = self.cooldown[at] = 0
        self.generation[at] += 1
        self.ill[at], self.lag[at], self.tokens_at[at] = 0.0, 1.0, now

    def weigh(self, at: int, entry: Entry) -> None:
        """Take a listed scale for a size, or, where it falls with what is held, the largest of its kind.

        Guards keys against moving with each renewal, and cold servers, empty still, against looking large.
        """
        scale = entry.scale if 0.0 < entry.scale < math.inf else 1.0
        if not self.settings.live:
            self.scale[at] = scale
            return
        if entry.kind < 0:
            self.scale[at] = max(self.scale[at], scale)
            return
        if scale > self.sizes.get(entry.kind, 0.0):
            self.sizes[entry.kind] = scale
        self.scale[at] = self.sizes[entry.kind]

    def found(self, full: bool) -> None:
        """Whether a hop has found its server full.

        Guards servers against choking before a list can tell: this is known at once.
        """
        self.full += FULL_STEP * (full - self.full)

    def started(self, now: int, entry: Entry) -> int:
        """When a listed server came up, as far as that can be.

        Guards against clocks that differ: what is listed is there, so a start in the future was one by now,
        and a server must not count as cold until then.  It is no earlier than the true one: no budget grows.
        """
        back = self.returned.get(entry.server, 0)
        return max(1, back, min(now, entry.came_up)) if entry.came_up else back

    def woke(self, now: int) -> None:
        """Ask for the list, unless it is being followed."""
        if not self.following and not self.asking:
            self.asking = True
            self.outlet.follow()

    # -- taking

    def take(self, now: int, name: int, tariff: int, key: int, retry: bool, until: int) -> Submission:
        """Take a submission; `until` is when its client gives up, a key of 0 means none."""
        return self.take_under(now, name, self.terms[tariff], key, retry, until)

    def take_under(
        self, now: int, name: int, terms: Terms, key: int, retry: bool, until: int, coming: bool = False
    ) -> Submission:
        """Take one under the terms that were in force when it was read, though others may be by now."""
        one = Submission(self, name, terms, key, retry, until)
        one.coming = coming
        if key:
            self.meet(key)
        self.retries_left = min(10.0, self.retries_left + 0.2)
        self.turn = (self.turn + GOLDEN) % 1.0
        if not self.taken:
            self.began = now
        else:
            self.gap += max(0.1, 1.0 / self.taken) * (now - self.taken_at - self.gap)
        self.taken += 1
        self.taken_at = now
        self.tell(now)
        if not self.turned_away(now, one):
            one.go_on(now)
        elif (server := self.pick(now, one, True)) >= 0:
            one.send(now, server)
        else:
            one.give_up(now)
        return one

    def meet(self, key: int) -> None:
        self.recent.append(key)
        self.met[key] = self.met.get(key, 0) + 1
        if len(self.recent) > RECENT:
            oldest = self.recent.popleft()
            self.met[oldest] -= 1
            if not self.met[oldest]:
                del self.met[oldest]
                for reach in self.reaches.values():
                    reach.draws.pop(oldest, None)

    def turned_away(self, now: int, one: Submission) -> bool:
        """Close to the limit of what may be out, submissions are turned away by chance, cheap ones sooner."""
        if self.settings.live:
            self.full *= math.exp((self.full_at - now) / FULL_MEMORY)
            self.full_at = now
        if self.room == math.inf and self.full <= FULL_PART:
            return False
        values = [terms.tariff.gain / terms.usual for terms in self.terms]
        value = one.terms.tariff.gain / one.terms.usual * len(values) / max(1e-9, sum(values))
        value = min(2.0, max(0.5, value))
        if one.retry:
            # Guards the room against submissions that come back when most of their agreed time has passed.
            value *= RETRY_PART
        if self.settings.live:
            if one.until - now < one.terms.usual:
                value *= HASTY_PART
            if self.chance.share() < min(0.97, FULL_GAIN * (self.full - FULL_PART) / value):
                return True
            if self.room == math.inf:
                return False
        load = (min(self.level_now(now), self.all_in_flight) + one.terms.usual / self.span) / self.room
        return self.chance.share() < (load - 1.0) / 0.25 + min(4.0, 1.0 / value)

    def level_now(self, now: int) -> float:
        """How much is out, in the mean of about an agreed time.

        Guards sidecars with little traffic, which have one hop out or none, against a limit in whole hops.
        """
        self.level += (self.all_in_flight - self.level) * (1.0 - math.exp((self.level_at - now) / self.span))
        self.level_at = now
        return self.level

    def judge_room(self, now: int, terms: Terms, hop: Hop, spent: int) -> None:
        """Let less be out while too many hops take long, more again while they do not.

        Guards against a jam that feeds itself: servers go on with work nobody waits for any more, so that at
        an unchanged rate of sends nothing is ever answered in time again.  Looks at the middle server too, as
        queues can harm servers long before hops are late, while a few slow servers are the breakers' matter.
        """
        if hop.at <= self.shrunk or hop.server not in self.ready:
            return
        level = self.level_now(now)
        agreed = terms.agreed
        tardy = spent > TARDY * agreed
        # Guards against taking keys new to a server for queues where work is short for its agreed time.
        queued = spent > max(QUEUED * terms.usual, QUEUED_PART * agreed)
        # The fewer submissions, the more each hop counts: guards idle sidecars against learning too late.
        self.tardy += min(0.2, max(0.06, self.gap / MEMORY)) * (tardy - self.tardy)
        self.queued[hop.server] += 0.2 * (queued - self.queued[hop.server])
        middle = sorted(self.queued[at] for at in self.ready)[len(self.ready) // 2]
        # Some must be tardy too: guards against taking a release, whose new servers know no key, for a jam.
        if self.tardy > JAM or middle > JAM and self.tardy > SOME:
            self.shrunk = now
            self.calm_room = 0.7 * min(self.room, max(level, hop.level))
            if self.room == math.inf:
                self.outlet.log(
                    f"limit on: {self.tardy:.2f} of hops tardy, {middle:.2f} of those at the "
                    f"middle server queued, {self.calm_room:.1f} may be out"
                )
            self.room = self.calm_room = max(1.5 * terms.usual / self.span, self.calm_room)
            self.tardy = min(self.tardy, JAM / 2)
            self.queued = [share / 2 for share in self.queued]
        elif not tardy and level > self.room / 2:
            self.room += min(0.25 * self.room, GROWTH * self.calm_room / self.room)
        elif self.room < math.inf and self.tardy < 0.02 and level * 4 < self.room:
            self.outlet.log(f"limit off: {self.tardy:.2f} of hops tardy, {level:.1f} out")
            self.room = math.inf

    def retry_in(self, terms: Terms) -> int:
        return min(self.settings.most_retry_in, int(terms.agreed * (0.5 + self.chance.share())))

    def bound_retry_in(self, terms: Terms) -> int:
        """For a host at the bound of its connections; it changes nothing, and needs no lock."""
        return min(self.settings.most_retry_in, terms.agreed)

    def may_retry(self, one: Submission) -> bool:
        if not one.hops:
            return True
        if len(one.hops) >= self.settings.most_hops or self.retries_left < 1.0:
            return False
        self.retries_left -= 1.0
        return True

    # -- choosing a server

    def pick(self, now: int, one: Submission, jam: bool = False) -> int:
        """The first in the key's order that admits and is not passed over, else the first that admits.

        In a jam only a cold server whose turn it is: they have room, and would be given little of so little.
        """
        try:
            bound = one.bound(now)
        except PermissionError:
            return -1
        tried = [hop.server for hop in one.hops]
        tariff = one.terms.tariff
        total = sum(self.scale[at] for at in self.ready) or 1.0
        order = []
        cold = []
        foreign = self.foreign()
        reach = self.reach_of(one.terms.place)
        for at, draw in zip(reach.near, self.draws_of(one.key, reach)):
            if at in tried or bound is not None and not self.same_group(tariff.group, bound, at):
                continue
            if self.came_up[at] and self.warmth(now, at) < 1.0:
                cold.append(at)
                continue
            weight = self.scale[at] * self.part_held(now, at)
            if self.zone[at] != self.settings.zone:
                weight *= foreign
            order.append((draw / weight, at))
        heapify(order)  # most hops need no more than the first
        if one.key and len(order) > 1 and not tried:
            # Guards the first server of a popular key: a key that is more than one server's part of what this
            # sidecar takes goes, by chance, to as many of the first in its order as it makes up for.
            part = (self.met[one.key] - 1) / max(RECENT // 2, len(self.recent))
            spread = math.ceil(part * len(order) * HOT)
            if spread > 1:
                chosen = nsmallest(spread, order)[self.chance.bits() % min(spread, len(order))]
                order[order.index(chosen)] = (0.0, chosen[1])
                heapify(order)
        order = [] if jam else order
        if one.retry:
            cold = []  # guards cold servers against what clients repeat: it stands for nothing they could do
        turns = [] if tried else [at for at in cold if self.cold_turn(now, at, total, reach)]
        fallback = first = -1
        while turns or order:
            at = turns.pop(0) if turns else heappop(order)[1]
            first = at if first < 0 and at not in cold else first
            if not self.admits(now, at, tariff.effect == Effect.UNREPEATABLE):
                continue
            fair = self.all_in_flight * self.scale[at] / total
            lag = self.lag_now(now, at)
            crowded = len(self.out[at]) >= 2 and len(self.out[at]) > PASS_OVER_MARGIN * fair
            stalled = len(self.out[at]) > 0 and now > self.out[at][0].due
            slow = lag > 2.0 and one.terms.usual * lag > tariff.agreed / 2
            if not crowded and not slow and not stalled:
                return at
            if fallback < 0 and not jam:
                # Guards warm keys while all servers are slow: scattered, they would cost the fleet more work.
                fallback = at
        if fallback < 0 and not jam:
            # Guards against all breakers refusing at once: no server's sickness, so the key's order holds.
            rest = [at for at in cold if self.cold_turn(now, at, total, reach, 1.4)]
            fallback = rest[0] if rest else first
        return fallback

    def draws_of(self, key: int, reach: Reach) -> list[float]:
        """The key's draw of each server in reach, to be held against its weight; the least comes first."""
        draws = reach.draws.get(key)
        if draws is None:
            seed = mix(key) if key else self.chance.bits() << 20
            draws = [-math.log((mix(seed ^ self.salt[at]) + 1) / (MASK + 2)) for at in reach.near]
            if key in self.met:
                reach.draws[key] = draws
        return draws

    def foreign(self) -> float:
        """What a server of another zone counts for: little, until lateness costs more than crossing does."""
        price = self.settings.crossing_price
        if price <= 0.0:
            return 1.0
        return min(1.0, max(0.05, 1.0 - price / NEAR_ENOUGH, 0.5 * self.tardy / price))

    def same_group(self, group: Group, first: Hop, at: int) -> bool:
        return self.zone[at] == first.zone if group == Group.ZONE else self.cell[at] == first.cell

    def warmth(self, now: int, at: int) -> float:
        """The share of its capacity that a server has at least, by the time since its start."""
        if not self.came_up[at]:
            return 1.0
        start = self.settings.cold_from
        age = max(0, now - self.came_up[at])
        return min(1.0, max(0.01, start + (1.0 - start) * age / max(1, self.settings.cold_for)))

    def cold_turn(self, now: int, at: int, total: float, reach: Reach, times: float = 1.0) -> bool:
        """Whether it is this submission's turn at a cold server.

        Guards a cold server against popular keys and against many sidecars at once, whatever their number and
        traffic: it is not in the order, and each sidecar sends it an even part of all that it takes.
        """
        limit = COLD_PART * self.settings.fall_multiple * self.warmth(now, at) * times
        part = self.scale[at] / total
        fewer = len(reach.near) / len(reach.ready)  # of the sidecars use it, each for as many others
        if (self.turn + self.salt[at] / MASK) % 1.0 >= limit * part / fewer * self.earnest(now):
            return False
        if self.quota > 0.0:
            # What tenants may ask for tells what the fleet can do: guards a cold server against what clients
            # repeat, and against a sidecar that carries far more than others.
            rate = limit * part * self.quota / (fewer * self.settings.fleet)
            self.tokens[at] = min(1.0, self.tokens[at] + rate * (now - self.tokens_at[at]))
            self.tokens_at[at] = now
            if self.tokens[at] < 1.0 or self.settling is None:
                return self.tokens[at] >= 1.0
        # In the times of calm: in a jam usual times are mostly waiting, and would hold warmed servers back.
        usual = sum(terms.calm for terms in self.terms) / len(self.terms)
        return len(self.sent_lately(now, at)) < max(1, int(limit * self.settings.fall_window / usual))

    def earnest(self, now: int) -> float:
        """The part of what is taken now that the fleet could serve, told by what it has answered here lately.

        Guards a cold server against what clients repeat, which multiplies what all take, where no quota tells
        what they may ask for and no mark what they repeat.  Servers can do half a core's work at least.
        """
        if self.quota > 0.0 or self.settings.marked:
            return 1.0
        memory = max(1, self.settings.cold_for, self.settings.fall_window)
        self.answers, self.answers_at = self.answers * math.exp((self.answers_at - now) / memory), now
        rate = self.answers / memory / (1.0 - math.exp((self.began - now - 1) / memory))
        usual = sum(terms.calm for terms in self.terms) / len(self.terms) * self.settings.fleet
        least = len(self.ready) / (2 * usual)
        return 1.0 if self.taken < SOME_TAKEN else min(1.0, self.gap * max(ANSWERED_SLACK * rate, least))

    def sent_lately(self, now: int, at: int) -> deque[int]:
        """When a cold server was sent something, within the rules' window."""
        sent = self.sent_cold[at]
        while sent and sent[0] <= now - self.settings.fall_window:
            sent.popleft()
        return sent

    # -- breakers

    def admits(self, now: int, at: int, unrepeatable: bool) -> bool:
        if self.state[at] == CLOSED:
            return True
        if self.state[at] == OPEN:
            waited = now - self.since[at] - self.cooldown[at]
            if self.companions is not None and 0 <= waited < self.cooldown[at] and self.often():
                # Another may have its trial in hand; after a Cooldown without word this one tries alone.
                return not unrepeatable and self.companions.turn(self.names[at])
            # Trials are hops that may be sent again, unless none has come for another Cooldown.
            return waited >= (self.cooldown[at] if unrepeatable else 0)
        if self.trials[at] < HALF_OPEN_TRIALS:
            return True
        if now - self.since[at] >= self.cooldown[at]:
            self.trip(now, at, "trial without verdict")
        return False

    def admit(self, now: int, terms: Terms, at: int) -> Hop:
        """Count a send, which makes an open breaker half-open and is then its trial."""
        if self.state[at] == OPEN and now - self.since[at] >= self.cooldown[at]:
            self.state[at] = HALF_OPEN
            self.trials[at] = 0
        trial = self.state[at] == HALF_OPEN
        if trial:
            # The deadline runs from the trial itself: guards against a fresh trial, sent after earlier ones
            # ended without a verdict, being taken for one that has been out since half-open began.
            self.since[at] = now
            self.trials[at] += 1
        level = self.level_now(now) + terms.usual / self.span
        self.all_in_flight += 1
        if self.warmth(now, at) < 1.0:
            self.sent_lately(now, at).append(now)
            if self.quota > 0.0:
                self.tokens[at] -= 1.0
        due = now + int(max(STALL * terms.usual, STALL_PART * terms.agreed))
        hop = Hop(now, due, at, self.zone[at], self.cell[at], self.generation[at], trial, level)
        if not self.out[at] and self.rested[at]:
            hop.rest = now - self.rested[at]
            if hop.rest >= self.rests.limit:
                hop.rest = 0
                self.outlet.free_links(self.ids[at])
        self.out[at].append(hop)
        return hop

    def trip(self, now: int, at: int, cause: str) -> None:
        # Guards a sick server against the trials of many sidecars that each have little for it in calm: they
        # wait as long as their few submissions make up for it, and each somewhat longer by its number.
        wait = max(COOLDOWN, self.gap * len(self.ready) / TRIAL_PART) * (2 if self.cooldown[at] else 1)
        if self.companions is not None and self.often():
            wait = float(COOLDOWN)  # one trial of all, so that nobody need wait longer for many
        apart = 1.0 + (self.place + self.salt[at] / MASK) % 1.0 / 2
        self.cooldown[at] = int(min(LONGEST_COOLDOWN, wait) * apart)
        self.state[at] = OPEN
        self.since[at] = now
        self.choose_near()
        self.generation[at] += 1
        self.trials[at] = self.fails[at] = 0
        self.outlet.log(f"server {self.names[at]} open for {self.cooldown[at] / 1e6:.1f} s: {cause}")
        if self.companions is not None:
            self.companions.opened(self.names[at], self.cooldown[at], self.often())

    def often(self) -> bool:
        """Whether each server would get a hop of this sidecar's within a Cooldown, so that it finds out."""
        return self.gap * len(self.ready) < COOLDOWN

    def put_off(self, now: int, server: int, wait: int) -> None:
        """Others' word on an open breaker: its trial is put off by as long, or with 0 may be made at once."""
        at = self.index.get(server, -1)
        if at >= 0 and self.state[at] == OPEN:
            self.since[at] = (
                max(self.since[at], now + wait - self.cooldown[at]) if wait else (now - 2 * self.cooldown[at])
            )

    def verdict(self, now: int, hop: Hop, failed: bool, cause: str) -> None:
        at = hop.server
        if hop.generation != self.generation[at] or hop.judged:
            return
        hop.judged = True
        if cause not in ("late", "overdue"):
            self.ill[at] += 0.1 * (failed - self.ill[at])
        if hop.trial and self.state[at] == HALF_OPEN:
            self.trials[at] -= 1
            if self.companions is not None:
                self.companions.tried(self.names[at], failed)
            if failed:
                self.trip(now, at, f"trial failed, {cause}")
            else:
                self.state[at] = CLOSED
                self.fails[at] = 0
                self.choose_near()
                self.outlet.log(f"server {self.names[at]} closed after a trial")
        elif failed:
            self.fails[at] += 1
            if self.state[at] != CLOSED:
                return
            usual = self.usual_illness(at)
            threshold = FAILURE_THRESHOLD
            if usual > 0.0:
                # Guards against what breaks hops to all servers alike, which by chance come in a row.
                threshold = max(threshold, math.ceil(math.log(UNLIKELY) / math.log(min(0.9, usual))))
            if self.fails[at] >= threshold:
                self.trip(now, at, f"{self.fails[at]} failures, {cause}")
            elif self.ill[at] > ILL + ILL_ABOVE * usual:
                # Guards against a server that fails part of its hops, so that they seldom come in a row.
                self.trip(now, at, f"{self.ill[at]:.2f} of hops failed, {cause}")
        elif self.state[at] == CLOSED:  # a hop sent while all refused must not shorten an open breaker's wait
            self.fails[at] = 0
            if self.ill[at] < ILL / 2:
                self.cooldown[at] = 0

    def hop_ended(self, now: int, terms: Terms, hop: Hop, outcome: Outcome, spent: int) -> None:
        self.out[hop.server].remove(hop)
        self.rested[hop.server] = now
        self.forget(hop.server)
        self.level_now(now)
        self.all_in_flight -= 1
        if hop.doubted and outcome in (Outcome.OK, Outcome.TIMEOUT):
            self.lost += min(0.2, max(0.06, self.gap / MEMORY)) * ((outcome == Outcome.TIMEOUT) - self.lost)
        if hop.begun:
            self.verdict(now, hop, outcome in (Outcome.ERROR, Outcome.RESET), "broken stream")
        elif outcome == Outcome.OK:
            self.heard[hop.server] = now
            self.earnest(now)
            self.answers += 1.0
            self.answered(now, terms, hop, spent)
        elif outcome == Outcome.TIMEOUT and spent >= terms.agreed:
            self.overdue(now, terms, hop)
        elif outcome in NEUTRAL or outcome == Outcome.TIMEOUT:
            self.freed(hop)
        else:
            self.verdict(now, hop, True, outcome.name.lower())

    def freed(self, hop: Hop) -> None:
        if hop.trial and hop.generation == self.generation[hop.server] and not hop.judged:
            self.trials[hop.server] -= 1

    def answered(self, now: int, terms: Terms, hop: Hop, spent: int) -> None:
        if not hop.judged:
            self.judge_room(now, terms, hop, spent)
        if not hop.judged:
            self.rests.note(now, hop.rest, False)
        self.sample(now, terms, hop.server, spent)
        late = spent > terms.agreed and not self.all_late(hop.server)
        self.verdict(now, hop, late, "late" if late else "answered")

    def overdue(self, now: int, terms: Terms, hop: Hop) -> None:
        if hop.judged:
            return
        self.rests.note(now, hop.rest, True)
        self.judge_room(now, terms, hop, now - hop.at)
        self.sample(now, terms, hop.server, max(now - hop.at, terms.agreed + 1))
        if not self.all_late(hop.server):
            self.verdict(now, hop, True, "overdue")
        elif hop.trial and hop.generation == self.generation[hop.server]:
            self.trials[hop.server] -= 1
        hop.judged = True

    def usual_illness(self, but: int) -> float:
        """The share of failures of the middle one of the other servers: no one server's sickness."""
        others = sorted(self.ill[at] for at in self.ready if at != but)
        return others[len(others) // 2] if others else 0.0

    def all_late(self, but: int) -> bool:
        """Whether the last hops to half of the other servers were late too: no one server's sickness."""
        others = [
            self.late[at] or self.state[at] != CLOSED for at in self.ready if at != but and self.lag_at[at]
        ]
        return len(others) > 0 and 2 * sum(others) >= len(others)

    # -- what is seen

    def sample(self, now: int, terms: Terms, at: int, spent: int) -> None:
        ratio = spent / terms.usual
        # The longer ago the last one, the more a sample counts: guards sidecars that seldom meet a server.
        part = max(0.3, 1.0 - math.exp((self.lag_at[at] - now) / MEMORY)) if self.lag_at[at] else 1.0
        self.lag[at] = self.lag_now(now, at) * (1.0 - part) + min(ratio, 20.0) * part
        self.lag_at[at] = now
        self.late[at] = spent > terms.agreed
        # A quantile, moved a little by each answer: guards against a few stuck hops making all look late.
        terms.samples += 1
        step = max(0.01 if self.room == math.inf else 0.001, 0.3 / terms.samples)
        terms.usual *= 1.0 + step if spent > terms.usual else 1.0 - step
        if terms.samples < 30 or terms.usual < terms.calm:
            terms.calm = terms.usual

    def lag_now(self, now: int, at: int) -> float:
        """How much longer than usual this server takes; fades to 1 when nothing is heard of it."""
        memory = min(LONGEST_COOLDOWN, max(MEMORY, self.gap * len(self.ready)))
        return 1.0 + (self.lag[at] - 1.0) * math.exp((self.lag_at[at] - now) / memory)
