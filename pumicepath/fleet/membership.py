"""Who is there: probes, suspicion, and what is told on (SWIM, Das et al. 2002; Lifeguard, Dadgar 2018).

Give `heard` each message with the address that it came from, and call `woke` at `due()`; what is to be
sent goes to the outlet.  `members()` and `bounds()` say what came of it.  Times are whole microseconds of a
clock that does not run backwards; it need not agree with any other sidecar's.

Nothing here is needed for a decision: a sidecar that hears nothing, or lies, has another view and no more.
"""

from __future__ import annotations

from heapq import heappop, heappush
from math import log, log10
from random import Random
from typing import NamedTuple, Protocol

from . import messages
from .messages import ALIVE, DEAD, LEFT, SUSPECTED, Ack, News, Page, Passed, Ping, Reach, Record, Want
from .news import NewsList
from .roll import Member, Roll, mark
from .settings import PeerSettings

HELPERS = 3  # asked to try a peer that did not answer (SWIM's k)
CONFIRMED = 3  # suspicions of others after which a suspicion is at its shortest (Lifeguard's K)
SHORTEST, STRETCH = 4, 6  # of a suspicion: periods times the fleet's magnitude, and how much longer alone
SICKEST = 8  # how slow a sidecar may take itself to be
TELLINGS = 5  # times a period that news goes out by itself, to
TOLD_AT_ONCE = 2  # others
DEAF = 3  # periods without a word of anybody, who probes and is probed in each
RETRY_DEAD = 5  # periods between two tries of one that is thought dead
RETRY_SEED = 10  # periods between two tries of a seed that is not among those known
COMPARE = 5  # periods between two comparisons of whole views
KEEP_DEAD = 600  # periods that a dead one's record is kept
ASKED_AT_ONCE = 64  # pings on behalf of others
PAGES = 100  # pages given out a period, so that a restart of all is no flood
TIMES_LEFT = 8  # others that a goodbye goes to
RECENT = 30  # periods within which somebody heard counts as seen
MOST_INCARNATIONS = 1 << 31  # past which a life that was lied about begins anew


class Outlet(Protocol):
    def post(self, address: str, message: messages.Any) -> None:
        """Send it; it may be lost."""

    def changed(self, record: Record, by: str) -> None:
        """A peer is held for something else now; `by` told so, "" for itself or this sidecar's own eyes."""

    def twice(self, record: Record) -> None:
        """Another process goes by this one's name, and stays."""


class Seen(NamedTuple):
    """A peer as this sidecar sees it; ages are microseconds, `heard_ago` is -1 if it never spoke to it."""

    name: str
    born: int
    address: str
    zone: str
    state: int
    incarnation: int
    for_: int
    heard_ago: int
    by: str


class Bounds(NamedTuple):
    """Of the number of sidecars, this one with them.

    `least` spoke to this one within the last `RECENT` periods, and are not known to have ended since.
    `likely` are those thought to be there.  `most` has those with it that are thought dead and never said
    goodbye: they may be cut off and at work.  Nothing bounds the number of those nobody here ever heard of.
    """

    least: int
    likely: int
    most: int


class Probe:
    """The peer whose turn it is, from the ping to the end of the period."""

    __slots__ = ("number", "member", "asked", "began", "until")

    def __init__(self, number: int, member: Member, began: int, until: int) -> None:
        self.number = number
        self.member = member
        self.asked = False
        self.began = began
        self.until = until


class Membership:
    def __init__(self, me: Record, settings: PeerSettings, seed: int, outlet: Outlet, now: int) -> None:
        self.me = me
        self.settings = settings
        self.outlet = outlet
        self.chance = Random(seed)
        self.roll = Roll(settings.most, self.chance)
        self.news = NewsList(self.roll)
        self.mark = mark(me)
        self.sick = 0  # how slow this sidecar takes itself to be
        self.numbers = 0
        self.probe: Probe | None = None
        self.next_probe = now + self.jitter(settings.every)
        self.probe_step = self.next_probe
        self.next_telling = 0  # 0: there is nothing to tell
        self.next_dead = self.next_seed = now
        self.compared = now - COMPARE * settings.every
        self.doubts: list[tuple[int, int, int]] = []  # until when, of whom, which suspicion
        self.asked: dict[int, tuple[str, int, int]] = {}  # for others: to whom, its number, until when
        self.others: dict[int, int] = {}  # other lives of this one's name, since when
        self.last_heard = now  # when anything at all came last
        self.reborn = 0  # when a life was begun anew that was lied about
        self.paged_from = now
        self.pages = 0
        self.began = now
        self.joining = True  # until its view is that of another
        self.gone = self.silent = False
        self.expected = now

    # -- what others ask of it

    def members(self, now: int) -> list[Seen]:
        return [
            Seen(
                one.record.name,
                one.record.born,
                one.record.address,
                one.record.zone,
                one.record.state,
                one.record.incarnation,
                now - one.since,
                now - one.heard if one.heard else -1,
                one.by,
            )
            for one in self.roll
        ]

    def bounds(self, now: int) -> Bounds:
        counts, since = self.roll.counts, now - RECENT * self.settings.every
        likely = 1 + counts[ALIVE] + counts[SUSPECTED]
        least = 1 + sum(
            one.heard > max(0, since) and one.record.state in (ALIVE, SUSPECTED) for one in self.roll
        )
        return Bounds(least, likely, likely + counts[DEAD])

    def digest(self) -> int:
        return self.roll.digest ^ self.mark

    # -- time

    def due(self) -> int:
        """When to call `woke` next."""
        times = [self.probe_step, self.next_seed]
        if self.next_telling:
            times.append(self.next_telling)
        if self.doubts:
            times.append(self.doubts[0][0])
        return min(times)

    def woke(self, now: int) -> None:
        self.awake(now)
        if not self.gone:
            self.step_probe(now)
            self.end_doubts(now)
            if self.next_telling and now >= self.next_telling:
                self.tell_on(now)
            if now >= self.next_seed:
                self.call_seed(now)
        self.expected = self.due()

    def awake(self, now: int) -> None:
        """Guards others against being suspected by a process that was stopped, or has no core.

        What should have happened meanwhile says nothing of them: all its waits begin anew.
        """
        late = now - self.expected
        if late <= self.settings.timeout:
            return
        self.sick = min(SICKEST, self.sick + 1)
        self.probe = None
        self.next_probe = self.probe_step = now + self.jitter(self.settings.every)
        self.put_off(late)
        self.asked.clear()
        self.next_seed = max(self.next_seed, now)
        self.expected = now

    def put_off(self, span: int) -> None:
        """Suspicions last longer by a time in which nothing could have refuted them."""
        self.doubts = [(until + span, born, which) for until, born, which in self.doubts]

    def jitter(self, span: int) -> int:
        return self.chance.randrange(max(1, span))

    # -- probes

    def step_probe(self, now: int) -> None:
        if now < self.probe_step:
            return
        probe = self.probe
        if probe is not None and not probe.asked:
            probe.asked = True
            self.probe_step = probe.until
            whom = probe.member.record
            for helper in self.roll.pick(HELPERS, (whom.born,)):
                self.post(
                    helper,
                    Reach(self.me, self.digest(), probe.number, whom.born, whom.address, self.take_news()),
                )
            if now < probe.until:
                return
        if probe is not None:
            self.unanswered(now, probe)
        self.begin_probe(now)

    def begin_probe(self, now: int) -> None:
        # A sidecar that has failed of late probes more slowly, and waits longer (Lifeguard's local health).
        slower = 1 + self.sick
        self.probe = None
        self.next_probe = self.probe_step = now + self.settings.every * slower
        self.roll.forget(now - KEEP_DEAD * self.settings.every)
        self.mind_names(now)
        for number in [number for number, (_, _, until) in self.asked.items() if now >= until]:
            del self.asked[number]
        if now >= self.next_dead:
            self.call_dead(now)
        member = self.roll.next()
        if member is None:
            return
        self.numbers += 1
        self.probe = Probe(self.numbers, member, now, self.next_probe)
        self.probe_step = now + self.settings.timeout * slower
        self.ping(member.record, self.numbers)

    def ping(self, record: Record, number: int) -> None:
        doubted = (record.born,) if record.state in (SUSPECTED, DEAD) else ()  # it hears of that first
        self.outlet.post(
            record.address, Ping(self.me, self.digest(), number, record.born, self.take_news(doubted))
        )

    def unanswered(self, now: int, probe: Probe) -> None:
        """Nobody had an answer of it in a whole period; if nobody had a word for us, we may be the sick one.

        Lifeguard counts the helpers' missing refusals instead: after a mass restart these are dead, too, and
        all that are left would slow down just when much is to be found out.
        """
        if self.last_heard < probe.began:
            self.sick = min(SICKEST, self.sick + 1)
        member = probe.member
        held = member.record
        if self.roll.members.get(held.born) is member and held.state in (ALIVE, SUSPECTED):
            self.told(now, with_state(held, SUSPECTED, held.incarnation, self.me.born), "")

    def answered(self, now: int, number: int, sender: Record, address: str) -> bool:
        probe = self.probe
        if probe is None or probe.number != number:
            return False
        if sender.born == probe.member.record.born:
            self.probe = None
            self.probe_step = self.next_probe
            self.sick = max(0, self.sick - 1)
        elif address == probe.member.record.address:
            self.replaced(now, probe.member, sender)
            self.probe = None
            self.probe_step = self.next_probe
        return True

    def replaced(self, now: int, member: Member, by: Record) -> None:
        """Another process answers at its address: that life is over, whatever else is told of it."""
        held = member.record
        if by.born != held.born and held.state in (ALIVE, SUSPECTED):
            self.accept(now, member, with_state(held, DEAD, held.incarnation, self.me.born), "")

    def call_dead(self, now: int) -> None:
        """Now and then one that is thought dead is tried: halves that were apart find each other again."""
        dead = [born for born in self.roll.dead if self.roll.members[born].record.state == DEAD]
        alone = not self.roll.ring
        self.next_dead = now + self.settings.every * (1 if alone else RETRY_DEAD)
        if dead:
            self.numbers += 1
            self.ping(self.roll.members[self.chance.choice(dead)].record, self.numbers)

    def call_seed(self, now: int) -> None:
        """Until somebody is known all seeds in turn and soon, then now and then one that is not known."""
        known = bool(self.roll.ring)
        unknown = [seed for seed in self.settings.seeds if seed != self.me.address and not self.present(seed)]
        self.next_seed = now + (
            RETRY_SEED * self.settings.every
            if known
            else self.settings.every // 2 + self.jitter(self.settings.every // 2)
        )
        for seed in self.chance.sample(unknown, min(len(unknown), 1 if known else HELPERS)):
            self.numbers += 1
            self.outlet.post(seed, Ping(self.me, self.digest(), self.numbers, 0, self.take_news()))

    def present(self, address: str) -> bool:
        born = self.roll.places.get(address)
        return born is not None and self.roll.members[born].record.state in (ALIVE, SUSPECTED)

    # -- suspicion

    def doubt(self, now: int, member: Member, by: int) -> None:
        """A suspicion begins, or one more shares it: the more do, the sooner it ends."""
        first = not member.accusers
        if by in member.accusers or len(member.accusers) > CONFIRMED:
            return
        member.accusers += (by,)
        member.doubted += first
        confirmed = len(member.accusers) - 1
        possible = min(CONFIRMED, len(self.roll.ring) - 2)
        part = 0.0 if possible < 1 else 1.0 - log(min(confirmed, possible) + 1) / log(possible + 1)
        until = member.since + round(self.shortest() * (1.0 + (STRETCH - 1) * part))
        heappush(self.doubts, (max(now, until), member.record.born, member.doubted))
        if not first:
            # Told on with who shares it: only different witnesses make it shorter.
            member.record = with_state(member.record, SUSPECTED, member.record.incarnation, by)
            self.tell(now, member.record.born)

    def shortest(self) -> int:
        return round(SHORTEST * max(1.0, log10(len(self.roll.ring) + 1)) * self.settings.every)

    def end_doubts(self, now: int) -> None:
        while self.doubts and self.doubts[0][0] <= now:
            _, born, which = heappop(self.doubts)
            member = self.roll.members.get(born)
            if member is not None and member.record.state == SUSPECTED and member.doubted == which:
                held = member.record
                longest = member.since + STRETCH * self.shortest()
                if self.last_heard < member.since and now < longest:
                    # Guards all others against being taken for dead by one that has become deaf.
                    heappush(self.doubts, (longest, born, which))
                    continue
                self.accept(now, member, with_state(held, DEAD, held.incarnation, self.me.born), "")

    # -- what is heard

    def heard(self, now: int, address: str, message: messages.Any) -> None:
        self.awake(now)
        sender = message.sender
        if self.gone or sender.born == self.me.born or sender.state in (SUSPECTED, DEAD):
            return
        if now - self.last_heard > DEAF * self.settings.every:
            self.put_off(now - self.last_heard)
        self.last_heard = now
        member = self.first_hand(now, address, sender)
        match message:
            case Ping() | Ack() | Reach() | News():
                for record in message.news:
                    self.told(now, record, sender.name)
            case Page():
                # Who joins learns what others know: that is no news for them.
                self.silent = self.joining
                for record in message.records:
                    self.told(now, record, sender.name)
                self.silent = False
        doubted = (sender.born,) if member is not None and member.record.state in (SUSPECTED, DEAD) else ()
        match message:
            case Ping():
                self.outlet.post(
                    address, Ack(self.me, self.digest(), message.number, self.take_news(doubted))
                )
            case Reach():
                self.ask_for(now, address, message)
            case Ack():
                if not self.answered(now, message.number, sender, address):
                    self.pass_on(message.number, sender)
            case Passed():
                self.told(now, message.of, sender.name)
                self.answered(now, message.number, message.of, message.of.address)
            case Want():
                self.give_page(now, address, message.after)
            case Page():
                if message.more and message.records:
                    self.want(address, max(record.born for record in message.records))
        if message.digest == self.digest():
            self.joining = False
        elif not isinstance(message, (Page, Want)):
            self.compare(now, address)
        self.expected = self.due()

    def first_hand(self, now: int, address: str, sender: Record) -> Member | None:
        """It speaks, so it is there; only what it says of itself can undo what others say of it."""
        self.told(now, sender, "")
        member = self.roll.members.get(sender.born)
        if member is not None:
            member.heard = now
            if address == sender.address:
                before = self.roll.members.get(self.roll.places.get(address, 0))
                if member.record.state in (DEAD, LEFT):
                    return member  # a late word of a life that is over proves nothing of who is there
                if before is not None and before is not member:
                    self.replaced(now, before, sender)
                self.roll.places[address] = sender.born
        return member

    def told(self, now: int, record: Record, by: str) -> None:
        if record.born == self.me.born:
            self.told_of_me(now, record)
            return
        member = self.roll.members.get(record.born)
        if member is None:
            if record.state in (DEAD, LEFT):
                return  # a dead one that is new here would be remembered, and told of, without end
            member = self.roll.add(record, now, by)
            if member is not None:
                self.tell(now, record.born)
                self.noted(now, record, by)
                if record.state == SUSPECTED:
                    self.doubt(now, member, record.by)
        elif self.roll.newer(member, record):
            self.accept(now, member, record, by)
        elif (
            record.state == SUSPECTED == member.record.state
            and record.incarnation == member.record.incarnation
        ):
            self.doubt(now, member, record.by)

    def accept(self, now: int, member: Member, record: Record, by: str) -> None:
        was = member.record.state
        self.roll.change(member, record, now, by)
        self.tell(now, record.born)
        if record.state == SUSPECTED:
            member.accusers, member.since = (), now
            self.doubt(now, member, record.by)
        if record.state != was:
            self.noted(now, record, by)

    def noted(self, now: int, record: Record, by: str) -> None:
        self.outlet.changed(record, by)
        if record.name == self.me.name:
            if record.state == ALIVE:
                self.others.setdefault(record.born, now)
            else:
                self.others.pop(record.born, None)

    def told_of_me(self, now: int, record: Record) -> None:
        """Somebody holds this life for suspected, dead or gone: say no, by a higher incarnation."""
        if record.state == ALIVE and record.incarnation <= self.me.incarnation:
            return
        if record.incarnation < self.me.incarnation and record.state != LEFT:
            return
        if record.state != ALIVE:
            self.sick = min(SICKEST, self.sick + 1)
        if record.state == LEFT or record.incarnation >= MOST_INCARNATIONS:
            # Only a lie says that, and nobody could be told otherwise: this process begins another life.
            if now - self.reborn < self.settings.every:
                return
            self.reborn = now
            self.me = with_life(self.me, self.chance.getrandbits(63) | 1)
        else:
            self.me = with_state(self.me, ALIVE, record.incarnation + 1, 0)
        self.mark = mark(self.me)
        self.tell(now, self.me.born)

    def mind_names(self, now: int) -> None:
        """Guards whoever reads logs: two processes with one name, for longer than a restart takes."""
        for born, since in self.others.items():
            if since and now - since > RECENT * self.settings.every:
                self.others[born] = 0  # said once
                self.outlet.twice(self.roll.members[born].record)

    # -- for others

    def ask_for(self, now: int, address: str, message: Reach) -> None:
        if len(self.asked) >= ASKED_AT_ONCE or message.to == self.me.born:
            return
        self.numbers += 1
        self.asked[self.numbers] = (address, message.number, now + 2 * self.settings.every)
        self.outlet.post(message.address, Ping(self.me, self.digest(), self.numbers, message.to, []))

    def pass_on(self, number: int, sender: Record) -> None:
        """What a peer answered to a ping on behalf of another."""
        found = self.asked.pop(number, None)
        if found is not None:
            self.outlet.post(found[0], Passed(self.me, self.digest(), found[1], sender))

    def give_page(self, now: int, address: str, after: int) -> None:
        if now - self.paged_from >= self.settings.every:
            self.paged_from, self.pages = now, 0
        self.pages += 1
        if self.pages <= PAGES:
            records, more = self.roll.page(after)
            self.outlet.post(address, Page(self.me, self.digest(), after, records, more))

    def compare(self, now: int, address: str) -> None:
        """Views differ though there is nothing new: ask for the whole of theirs, a page at a time."""
        if now - self.began > RECENT * self.settings.every:
            self.joining = False  # in a fleet that always changes no two views may be the same
        wait = 1 if self.joining else COMPARE if not len(self.news) else 2 * COMPARE
        if now - self.compared >= wait * self.settings.every:
            self.compared = now
            self.want(address, 0)

    def want(self, address: str, after: int) -> None:
        self.outlet.post(address, Want(self.me, self.digest(), after))

    # -- what is told on

    def tell(self, now: int, born: int) -> None:
        if self.silent:
            return
        self.news.tell(born)
        if not self.next_telling:
            self.next_telling = now + self.jitter(self.settings.every // TELLINGS)

    def tell_on(self, now: int) -> None:
        """What is new goes out by itself, for as long as there is something."""
        for member in self.roll.pick(TOLD_AT_ONCE):
            if not len(self.news):
                break
            self.post(member, News(self.me, self.digest(), self.take_news()))
        self.next_telling = now + self.settings.every // TELLINGS if len(self.news) and self.roll.ring else 0

    def take_news(self, first: tuple[int, ...] = ()) -> list[Record]:
        return self.news.take(self.me.born, first)

    def post(self, member: Member, message: messages.Any) -> None:
        self.outlet.post(member.record.address, message)

    def leave(self, now: int) -> None:
        """Say goodbye to some, who tell it on; nothing is sent afterwards."""
        if not self.gone:
            last = with_state(self.me, LEFT, self.me.incarnation, 0)
            for member in self.roll.pick(TIMES_LEFT):
                self.post(member, News(last, self.digest(), []))
            self.gone = True


def with_state(record: Record, state: int, incarnation: int, by: int) -> Record:
    return Record(record.name, record.born, record.address, record.zone, incarnation, state, by)


def with_life(record: Record, born: int) -> Record:
    return Record(record.name, born, record.address, record.zone)
