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
from .member_table import Member, MemberTable, record_hash
from .messages import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECTED,
    Ack,
    IndirectAck,
    Page,
    PageRequest,
    Ping,
    PingRequest,
    Record,
    Updates,
)
from .settings import PeerSettings
from .updates import UpdateQueue

INDIRECT_PROBES = 3  # asked to try a peer that did not answer (SWIM's k)
SUSPICION_CONFIRMATIONS = 3  # suspicions of others after which a suspicion is at its shortest (Lifeguard's K)
MIN_SUSPICION_FACTOR, MAX_SUSPICION_FACTOR = (
    4,
    6,
)  # of a suspicion: periods times the fleet's magnitude, and how much longer alone
MAX_HEALTH_SCORE = 8  # how slow a sidecar may take itself to be
PUSHES_PER_INTERVAL = 5  # times a period that news goes out by itself, to
PUSH_FANOUT = 2  # others
SILENCE_INTERVALS = 3  # periods without a word of anybody, who probes and is probed in each
DEAD_RETRY_INTERVALS = 5  # periods between two tries of one that is thought dead
SEED_RETRY_INTERVALS = 10  # periods between two tries of a seed that is not among those known
COMPARE_INTERVALS = 5  # periods between two comparisons of whole views
DEAD_RETENTION_INTERVALS = 600  # periods that a dead one's record is kept
MAX_INDIRECT_PINGS = 64  # pings on behalf of others
MAX_PAGES_PER_INTERVAL = 100  # pages given out a period, so that a restart of all is no flood
LEAVE_FANOUT = 8  # others that a goodbye goes to
RECENT_INTERVALS = 30  # periods within which somebody heard counts as seen
MAX_INCARNATION = 1 << 31  # past which a life that was lied about begins anew


class Callbacks(Protocol):
    def send_message(self, address: str, message: messages.AnyMessage) -> None:
        """Send it; it may be lost."""

    def peer_changed(self, record: Record, by: str) -> None:
        """A peer is held for something else now; `by` told so, "" for itself or this sidecar's own eyes."""

    def duplicate_name(self, record: Record) -> None:
        """Another process goes by this one's name, and stays."""


class PeerView(NamedTuple):
    """A peer as this sidecar sees it; ages are microseconds, `heard_ago` is -1 if it never spoke to it."""

    name: str
    instance_id: int
    address: str
    zone: str
    state: int
    incarnation: int
    state_age: int
    last_contact_age: int
    reported_by: str


class FleetSizeBounds(NamedTuple):
    """Of the number of sidecars, this one with them.

    `least` spoke to this one within the last `RECENT` periods, and are not known to have ended since.
    `likely` are those thought to be there.  `most` has those with it that are thought dead and never said
    goodbye: they may be cut off and at work.  Nothing bounds the number of those nobody here ever heard of.
    """

    minimum: int
    likely: int
    maximum: int


class Probe:
    """The peer whose turn it is, from the ping to the end of the period."""

    __slots__ = ("number", "member", "indirect_sent", "started_at", "ends_at")

    def __init__(self, number: int, member: Member, began: int, until: int) -> None:
        self.number = number
        self.member = member
        self.indirect_sent = False
        self.started_at = began
        self.ends_at = until


class Membership:
    def __init__(self, me: Record, settings: PeerSettings, seed: int, outlet: Callbacks, now: int) -> None:
        self.own_record = me
        self.settings = settings
        self.callbacks = outlet
        self.rng = Random(seed)
        self.member_table = MemberTable(settings.max_peers, self.rng)
        self.update_queue = UpdateQueue(self.member_table)
        self.own_hash = record_hash(me)
        self.local_health_score = 0  # how slow this sidecar takes itself to be
        self.last_sequence = 0
        self.probe: Probe | None = None
        self.next_probe_at = now + self.jitter(settings.probe_interval)
        self.probe_step_at = self.next_probe_at
        self.next_push_at = 0  # 0: there is nothing to tell
        self.next_dead_retry_at = self.next_seed_at = now
        self.last_compared_at = now - COMPARE_INTERVALS * settings.probe_interval
        self.suspicion_timers: list[tuple[int, int, int]] = []  # until when, of whom, which suspicion
        self.indirect_pings: dict[
            int, tuple[str, int, int]
        ] = {}  # for others: to whom, its number, until when
        self.same_name_since: dict[int, int] = {}  # other lives of this one's name, since when
        self.last_received_at = now  # when anything at all came last
        self.instance_renewed_at = 0  # when a life was begun anew that was lied about
        self.page_window_start = now
        self.pages_in_window = 0
        self.started_at = now
        self.joining = True  # until its view is that of another
        self.has_left = self.suppress_updates = False
        self.expected_timer_at = now

    # -- what others ask of it

    def members(self, now: int) -> list[PeerView]:
        return [
            PeerView(
                one.record.name,
                one.record.instance_id,
                one.record.address,
                one.record.zone,
                one.record.state,
                one.record.incarnation,
                now - one.state_since,
                now - one.last_contact if one.last_contact else -1,
                one.reported_by,
            )
            for one in self.member_table
        ]

    def fleet_size_bounds(self, now: int) -> FleetSizeBounds:
        counts, since = self.member_table.state_counts, now - RECENT_INTERVALS * self.settings.probe_interval
        likely = 1 + counts[ALIVE] + counts[SUSPECTED]
        least = 1 + sum(
            one.last_contact > max(0, since) and one.record.state in (ALIVE, SUSPECTED)
            for one in self.member_table
        )
        return FleetSizeBounds(least, likely, likely + counts[DEAD])

    def digest(self) -> int:
        return self.member_table.digest ^ self.own_hash

    # -- time

    def next_timer(self) -> int:
        """When to call `woke` next."""
        times = [self.probe_step_at, self.next_seed_at]
        if self.next_push_at:
            times.append(self.next_push_at)
        if self.suspicion_timers:
            times.append(self.suspicion_timers[0][0])
        return min(times)

    def on_timer(self, now: int) -> None:
        self.detect_pause(now)
        if not self.has_left:
            self.advance_probe(now)
            self.expire_suspicions(now)
            if self.next_push_at and now >= self.next_push_at:
                self.push_updates(now)
            if now >= self.next_seed_at:
                self.contact_seeds(now)
        self.expected_timer_at = self.next_timer()

    def detect_pause(self, now: int) -> None:
        """Guards others against being suspected by a process that was stopped, or has no core.

        What should have happened meanwhile says nothing of them: all its waits begin anew.
        """
        late = now - self.expected_timer_at
        if late <= self.settings.probe_timeout:
            return
        self.local_health_score = min(MAX_HEALTH_SCORE, self.local_health_score + 1)
        self.probe = None
        self.next_probe_at = self.probe_step_at = now + self.jitter(self.settings.probe_interval)
        self.extend_suspicions(late)
        self.indirect_pings.clear()
        self.next_seed_at = max(self.next_seed_at, now)
        self.expected_timer_at = now

    def extend_suspicions(self, span: int) -> None:
        """Suspicions last longer by a time in which nothing could have refuted them."""
        self.suspicion_timers = [(until + span, born, which) for until, born, which in self.suspicion_timers]

    def jitter(self, span: int) -> int:
        return self.rng.randrange(max(1, span))

    # -- probes

    def advance_probe(self, now: int) -> None:
        if now < self.probe_step_at:
            return
        probe = self.probe
        if probe is not None and not probe.indirect_sent:
            probe.indirect_sent = True
            self.probe_step_at = probe.ends_at
            whom = probe.member.record
            for helper in self.member_table.sample(INDIRECT_PROBES, (whom.instance_id,)):
                self.send(
                    helper,
                    PingRequest(
                        self.own_record,
                        self.digest(),
                        probe.number,
                        whom.instance_id,
                        whom.address,
                        self.take_updates(),
                    ),
                )
            if now < probe.ends_at:
                return
        if probe is not None:
            self.probe_failed(now, probe)
        self.start_probe(now)

    def start_probe(self, now: int) -> None:
        # A sidecar that has failed of late probes more slowly, and waits longer (Lifeguard's local health).
        slower = 1 + self.local_health_score
        self.probe = None
        self.next_probe_at = self.probe_step_at = now + self.settings.probe_interval * slower
        self.member_table.expire_dead(now - DEAD_RETENTION_INTERVALS * self.settings.probe_interval)
        self.check_duplicate_names(now)
        for number in [number for number, (_, _, until) in self.indirect_pings.items() if now >= until]:
            del self.indirect_pings[number]
        if now >= self.next_dead_retry_at:
            self.retry_dead(now)
        member = self.member_table.next_probe_target()
        if member is None:
            return
        self.last_sequence += 1
        self.probe = Probe(self.last_sequence, member, now, self.next_probe_at)
        self.probe_step_at = now + self.settings.probe_timeout * slower
        self.send_ping(member.record, self.last_sequence)

    def send_ping(self, record: Record, number: int) -> None:
        doubted = (record.instance_id,) if record.state in (SUSPECTED, DEAD) else ()  # it hears of that first
        self.callbacks.send_message(
            record.address,
            Ping(self.own_record, self.digest(), number, record.instance_id, self.take_updates(doubted)),
        )

    def probe_failed(self, now: int, probe: Probe) -> None:
        """Nobody had an answer of it in a whole period; if nobody had a word for us, we may be the sick one.

        Lifeguard counts the helpers' missing refusals instead: after a mass restart these are dead, too, and
        all that are left would slow down just when much is to be found out.
        """
        if self.last_received_at < probe.started_at:
            self.local_health_score = min(MAX_HEALTH_SCORE, self.local_health_score + 1)
        member = probe.member
        held = member.record
        if self.member_table.members.get(held.instance_id) is member and held.state in (ALIVE, SUSPECTED):
            self.apply_record(
                now, with_state(held, SUSPECTED, held.incarnation, self.own_record.instance_id), ""
            )

    def probe_answered(self, now: int, number: int, sender: Record, address: str) -> bool:
        probe = self.probe
        if probe is None or probe.number != number:
            return False
        if sender.instance_id == probe.member.record.instance_id:
            self.probe = None
            self.probe_step_at = self.next_probe_at
            self.local_health_score = max(0, self.local_health_score - 1)
        elif address == probe.member.record.address:
            self.mark_replaced(now, probe.member, sender)
            self.probe = None
            self.probe_step_at = self.next_probe_at
        return True

    def mark_replaced(self, now: int, member: Member, by: Record) -> None:
        """Another process answers at its address: that life is over, whatever else is told of it."""
        held = member.record
        if by.instance_id != held.instance_id and held.state in (ALIVE, SUSPECTED):
            self.accept_record(
                now, member, with_state(held, DEAD, held.incarnation, self.own_record.instance_id), ""
            )

    def retry_dead(self, now: int) -> None:
        """Now and then one that is thought dead is tried: halves that were apart find each other again."""
        dead = [
            born
            for born in self.member_table.dead_ids
            if self.member_table.members[born].record.state == DEAD
        ]
        alone = not self.member_table.probe_ring
        self.next_dead_retry_at = now + self.settings.probe_interval * (1 if alone else DEAD_RETRY_INTERVALS)
        if dead:
            self.last_sequence += 1
            self.send_ping(self.member_table.members[self.rng.choice(dead)].record, self.last_sequence)

    def contact_seeds(self, now: int) -> None:
        """Until somebody is known all seeds in turn and soon, then now and then one that is not known."""
        known = bool(self.member_table.probe_ring)
        unknown = [
            seed
            for seed in self.settings.seeds
            if seed != self.own_record.address and not self.is_present(seed)
        ]
        self.next_seed_at = now + (
            SEED_RETRY_INTERVALS * self.settings.probe_interval
            if known
            else self.settings.probe_interval // 2 + self.jitter(self.settings.probe_interval // 2)
        )
        for seed in self.rng.sample(unknown, min(len(unknown), 1 if known else INDIRECT_PROBES)):
            self.last_sequence += 1
            self.callbacks.send_message(
                seed, Ping(self.own_record, self.digest(), self.last_sequence, 0, self.take_updates())
            )

    def is_present(self, address: str) -> bool:
        born = self.member_table.id_by_address.get(address)
        return born is not None and self.member_table.members[born].record.state in (ALIVE, SUSPECTED)

    # -- suspicion

    def add_suspicion(self, now: int, member: Member, by: int) -> None:
        """A suspicion begins, or one more shares it: the more do, the sooner it ends."""
        first = not member.suspectors
        if by in member.suspectors or len(member.suspectors) > SUSPICION_CONFIRMATIONS:
            return
        member.suspectors += (by,)
        member.suspicion_count += first
        confirmed = len(member.suspectors) - 1
        possible = min(SUSPICION_CONFIRMATIONS, len(self.member_table.probe_ring) - 2)
        part = 0.0 if possible < 1 else 1.0 - log(min(confirmed, possible) + 1) / log(possible + 1)
        until = member.state_since + round(self.min_suspicion() * (1.0 + (MAX_SUSPICION_FACTOR - 1) * part))
        heappush(self.suspicion_timers, (max(now, until), member.record.instance_id, member.suspicion_count))
        if not first:
            # Told on with who shares it: only different witnesses make it shorter.
            member.record = with_state(member.record, SUSPECTED, member.record.incarnation, by)
            self.queue_update(now, member.record.instance_id)

    def min_suspicion(self) -> int:
        return round(
            MIN_SUSPICION_FACTOR
            * max(1.0, log10(len(self.member_table.probe_ring) + 1))
            * self.settings.probe_interval
        )

    def expire_suspicions(self, now: int) -> None:
        while self.suspicion_timers and self.suspicion_timers[0][0] <= now:
            _, born, which = heappop(self.suspicion_timers)
            member = self.member_table.members.get(born)
            if member is not None and member.record.state == SUSPECTED and member.suspicion_count == which:
                held = member.record
                longest = member.state_since + MAX_SUSPICION_FACTOR * self.min_suspicion()
                if self.last_received_at < member.state_since and now < longest:
                    # Guards all others against being taken for dead by one that has become deaf.
                    heappush(self.suspicion_timers, (longest, born, which))
                    continue
                self.accept_record(
                    now, member, with_state(held, DEAD, held.incarnation, self.own_record.instance_id), ""
                )

    # -- what is heard

    def receive(self, now: int, address: str, message: messages.AnyMessage) -> None:
        self.detect_pause(now)
        sender = message.sender
        if (
            self.has_left
            or sender.instance_id == self.own_record.instance_id
            or sender.state in (SUSPECTED, DEAD)
        ):
            return
        if now - self.last_received_at > SILENCE_INTERVALS * self.settings.probe_interval:
            self.extend_suspicions(now - self.last_received_at)
        self.last_received_at = now
        member = self.apply_sender(now, address, sender)
        match message:
            case Ping() | Ack() | PingRequest() | Updates():
                for record in message.updates:
                    self.apply_record(now, record, sender.name)
            case Page():
                # Who joins learns what others know: that is no news for them.
                self.suppress_updates = self.joining
                for record in message.records:
                    self.apply_record(now, record, sender.name)
                self.suppress_updates = False
        doubted = (
            (sender.instance_id,) if member is not None and member.record.state in (SUSPECTED, DEAD) else ()
        )
        match message:
            case Ping():
                self.callbacks.send_message(
                    address, Ack(self.own_record, self.digest(), message.number, self.take_updates(doubted))
                )
            case PingRequest():
                self.start_indirect_ping(now, address, message)
            case Ack():
                if not self.probe_answered(now, message.number, sender, address):
                    self.forward_ack(message.number, sender)
            case IndirectAck():
                self.apply_record(now, message.responder, sender.name)
                self.probe_answered(now, message.number, message.responder, message.responder.address)
            case PageRequest():
                self.send_page(now, address, message.after)
            case Page():
                if message.more and message.records:
                    self.request_page(address, max(record.instance_id for record in message.records))
        if message.digest == self.digest():
            self.joining = False
        elif not isinstance(message, (Page, PageRequest)):
            self.compare_views(now, address)
        self.expected_timer_at = self.next_timer()

    def apply_sender(self, now: int, address: str, sender: Record) -> Member | None:
        """It speaks, so it is there; only what it says of itself can undo what others say of it."""
        self.apply_record(now, sender, "")
        member = self.member_table.members.get(sender.instance_id)
        if member is not None:
            member.last_contact = now
            if address == sender.address:
                before = self.member_table.members.get(self.member_table.id_by_address.get(address, 0))
                if member.record.state in (DEAD, LEFT):
                    return member  # a late word of a life that is over proves nothing of who is there
                if before is not None and before is not member:
                    self.mark_replaced(now, before, sender)
                self.member_table.id_by_address[address] = sender.instance_id
        return member

    def apply_record(self, now: int, record: Record, by: str) -> None:
        if record.instance_id == self.own_record.instance_id:
            self.refute(now, record)
            return
        member = self.member_table.members.get(record.instance_id)
        if member is None:
            if record.state in (DEAD, LEFT):
                return  # a dead one that is new here would be remembered, and told of, without end
            member = self.member_table.add(record, now, by)
            if member is not None:
                self.queue_update(now, record.instance_id)
                self.notify_change(now, record, by)
                if record.state == SUSPECTED:
                    self.add_suspicion(now, member, record.suspected_by)
        elif self.member_table.supersedes(member, record):
            self.accept_record(now, member, record, by)
        elif (
            record.state == SUSPECTED == member.record.state
            and record.incarnation == member.record.incarnation
        ):
            self.add_suspicion(now, member, record.suspected_by)

    def accept_record(self, now: int, member: Member, record: Record, by: str) -> None:
        was = member.record.state
        self.member_table.update(member, record, now, by)
        self.queue_update(now, record.instance_id)
        if record.state == SUSPECTED:
            member.suspectors, member.state_since = (), now
            self.add_suspicion(now, member, record.suspected_by)
        if record.state != was:
            self.notify_change(now, record, by)

    def notify_change(self, now: int, record: Record, by: str) -> None:
        self.callbacks.peer_changed(record, by)
        if record.name == self.own_record.name:
            if record.state == ALIVE:
                self.same_name_since.setdefault(record.instance_id, now)
            else:
                self.same_name_since.pop(record.instance_id, None)

    def refute(self, now: int, record: Record) -> None:
        """Somebody holds this life for suspected, dead or gone: say no, by a higher incarnation."""
        if record.state == ALIVE and record.incarnation <= self.own_record.incarnation:
            return
        if record.incarnation < self.own_record.incarnation and record.state != LEFT:
            return
        if record.state != ALIVE:
            self.local_health_score = min(MAX_HEALTH_SCORE, self.local_health_score + 1)
        if record.state == LEFT or record.incarnation >= MAX_INCARNATION:
            # Only a lie says that, and nobody could be told otherwise: this process begins another life.
            if now - self.instance_renewed_at < self.settings.probe_interval:
                return
            self.instance_renewed_at = now
            self.own_record = with_new_instance(self.own_record, self.rng.getrandbits(63) | 1)
        else:
            self.own_record = with_state(self.own_record, ALIVE, record.incarnation + 1, 0)
        self.own_hash = record_hash(self.own_record)
        self.queue_update(now, self.own_record.instance_id)

    def check_duplicate_names(self, now: int) -> None:
        """Guards whoever reads logs: two processes with one name, for longer than a restart takes."""
        for born, since in self.same_name_since.items():
            if since and now - since > RECENT_INTERVALS * self.settings.probe_interval:
                self.same_name_since[born] = 0  # said once
                self.callbacks.duplicate_name(self.member_table.members[born].record)

    # -- for others

    def start_indirect_ping(self, now: int, address: str, message: PingRequest) -> None:
        if len(self.indirect_pings) >= MAX_INDIRECT_PINGS or message.target_id == self.own_record.instance_id:
            return
        self.last_sequence += 1
        self.indirect_pings[self.last_sequence] = (
            address,
            message.number,
            now + 2 * self.settings.probe_interval,
        )
        self.callbacks.send_message(
            message.address, Ping(self.own_record, self.digest(), self.last_sequence, message.target_id, [])
        )

    def forward_ack(self, number: int, sender: Record) -> None:
        """What a peer answered to a ping on behalf of another."""
        found = self.indirect_pings.pop(number, None)
        if found is not None:
            self.callbacks.send_message(
                found[0], IndirectAck(self.own_record, self.digest(), found[1], sender)
            )

    def send_page(self, now: int, address: str, after: int) -> None:
        if now - self.page_window_start >= self.settings.probe_interval:
            self.page_window_start, self.pages_in_window = now, 0
        self.pages_in_window += 1
        if self.pages_in_window <= MAX_PAGES_PER_INTERVAL:
            records, more = self.member_table.page(after)
            self.callbacks.send_message(address, Page(self.own_record, self.digest(), after, records, more))

    def compare_views(self, now: int, address: str) -> None:
        """Views differ though there is nothing new: ask for the whole of theirs, a page at a time."""
        if now - self.started_at > RECENT_INTERVALS * self.settings.probe_interval:
            self.joining = False  # in a fleet that always changes no two views may be the same
        wait = (
            1 if self.joining else COMPARE_INTERVALS if not len(self.update_queue) else 2 * COMPARE_INTERVALS
        )
        if now - self.last_compared_at >= wait * self.settings.probe_interval:
            self.last_compared_at = now
            self.request_page(address, 0)

    def request_page(self, address: str, after: int) -> None:
        self.callbacks.send_message(address, PageRequest(self.own_record, self.digest(), after))

    # -- what is told on

    def queue_update(self, now: int, born: int) -> None:
        if self.suppress_updates:
            return
        self.update_queue.add(born)
        if not self.next_push_at:
            self.next_push_at = now + self.jitter(self.settings.probe_interval // PUSHES_PER_INTERVAL)

    def push_updates(self, now: int) -> None:
        """What is new goes out by itself, for as long as there is something."""
        for member in self.member_table.sample(PUSH_FANOUT):
            if not len(self.update_queue):
                break
            self.send(member, Updates(self.own_record, self.digest(), self.take_updates()))
        self.next_push_at = (
            now + self.settings.probe_interval // PUSHES_PER_INTERVAL
            if len(self.update_queue) and self.member_table.probe_ring
            else 0
        )

    def take_updates(self, first: tuple[int, ...] = ()) -> list[Record]:
        return self.update_queue.take(self.own_record.instance_id, first)

    def send(self, member: Member, message: messages.AnyMessage) -> None:
        self.callbacks.send_message(member.record.address, message)

    def leave(self, now: int) -> None:
        """Say goodbye to some, who tell it on; nothing is sent afterwards."""
        if not self.has_left:
            last = with_state(self.own_record, LEFT, self.own_record.incarnation, 0)
            for member in self.member_table.sample(LEAVE_FANOUT):
                self.send(member, Updates(last, self.digest(), []))
            self.has_left = True


def with_state(record: Record, state: int, incarnation: int, by: int) -> Record:
    return Record(record.name, record.instance_id, record.address, record.zone, incarnation, state, by)


def with_new_instance(record: Record, born: int) -> Record:
    return Record(record.name, born, record.address, record.zone)
