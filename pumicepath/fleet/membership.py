"""Fleet membership: probes, suspicion, dissemination (SWIM, Das et al. 2002; Lifeguard, Dadgar et al. 2018).

Pass each message to `receive` with its source address and call `on_timer` at `next_timer()`; outgoing
messages go to the callbacks. `members()` and `fleet_size_bounds()` return the resulting view. Times are whole
microseconds of a monotonic clock, which need not agree with that of any other sidecar.

No routing decision depends on membership: a sidecar that receives nothing, or false records, has a different
view and no other harm.
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

# "Intervals" are multiples of `PeerSettings.probe_interval`.
INDIRECT_PROBES = 3  # peers asked to ping one that did not answer (SWIM's k)
SUSPICION_CONFIRMATIONS = 3  # further suspectors after which a suspicion is at its shortest (Lifeguard's K)
# The shortest suspicion lasts the first number of intervals times log10 of the fleet size; one that nobody
# confirms lasts longer by the second.
MIN_SUSPICION_FACTOR, MAX_SUSPICION_FACTOR = 4, 6
MAX_HEALTH_SCORE = 8  # upper bound of the local health score, which slows probes down
PUSHES_PER_INTERVAL = 5  # of pending updates
PUSH_FANOUT = 2  # recipients of each push
SILENCE_INTERVALS = 3  # without any message, though every sidecar probes and is probed once in each
DEAD_RETRY_INTERVALS = 5  # between two pings to dead members
SEED_RETRY_INTERVALS = 10  # between two pings to seeds that are not in the member table
COMPARE_INTERVALS = 5  # between two comparisons of whole views
DEAD_RETENTION_INTERVALS = 600  # for which the record of a dead member is kept
MAX_INDIRECT_PINGS = 64  # outstanding pings on behalf of others
MAX_PAGES_PER_INTERVAL = 100  # bounds the traffic when the whole fleet restarts at once
LEAVE_FANOUT = 8  # recipients of the message on leaving
RECENT_INTERVALS = 30  # within which a message of a member counts as recent
MAX_INCARNATION = 1 << 31  # above it, false records have used up the numbers: take a new instance id


class Callbacks(Protocol):
    """What membership asks of its host."""

    def send_message(self, address: str, message: messages.AnyMessage) -> None:
        """Send a datagram, which may be lost."""

    def peer_changed(self, record: Record, by: str) -> None:
        """The state of a peer changed.

        `by` is the name of the peer that reported it, "" if the peer itself or this sidecar did.
        """

    def duplicate_name(self, record: Record) -> None:
        """Another process has been using this sidecar's name for longer than a restart takes."""


class PeerView(NamedTuple):
    """A peer as this sidecar sees it.

    Ages are in microseconds; `last_contact_age` is -1 if the peer never sent a message to this sidecar.
    """

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
    """Bounds of the number of sidecars, including this one.

    `minimum` counts those that sent this one a message within `RECENT_INTERVALS` and are not known to have
    ended since. `likely` counts those thought to be present. `maximum` adds those thought to be dead that did
    not leave: they may be partitioned and working. Sidecars that no member ever heard of can't be counted.
    """

    minimum: int
    likely: int
    maximum: int


class Probe:
    """The probe of one peer, from the ping to the end of the interval."""

    __slots__ = ("number", "member", "indirect_sent", "started_at", "ends_at")

    def __init__(self, number: int, member: Member, started_at: int, ends_at: int) -> None:
        self.number = number
        self.member = member
        self.indirect_sent = False
        self.started_at = started_at
        self.ends_at = ends_at


class Membership:
    """The membership protocol of one sidecar."""

    def __init__(
        self, own_record: Record, settings: PeerSettings, seed: int, callbacks: Callbacks, now: int
    ) -> None:
        self.own_record = own_record
        self.settings = settings
        self.callbacks = callbacks
        self.rng = Random(seed)
        self.member_table = MemberTable(settings.max_peers, self.rng)
        self.update_queue = UpdateQueue(self.member_table)
        self.own_hash = record_hash(own_record)
        self.local_health_score = 0  # Lifeguard's local health: 0 is healthy, more slows the probes down
        self.last_sequence = 0
        self.probe: Probe | None = None
        self.next_probe_at = now + self.jitter(settings.probe_interval)
        self.probe_step_at = self.next_probe_at
        self.next_push_at = 0  # 0: no updates to push
        self.next_dead_retry_at = self.next_seed_at = now
        self.last_compared_at = now - COMPARE_INTERVALS * settings.probe_interval
        self.suspicion_timers: list[tuple[int, int, int]] = []  # heap: end, instance, number of the suspicion
        # Pings on behalf of others by own sequence number: requester's address, its number, expiry.
        self.indirect_pings: dict[int, tuple[str, int, int]] = {}
        self.same_name_since: dict[int, int] = {}  # other instances with the own name; 0 once reported
        self.last_received_at = now  # when the last message of any peer arrived
        self.instance_renewed_at = 0  # when false records last forced a new instance id
        self.page_window_start = now
        self.pages_in_window = 0
        self.started_at = now
        self.joining = True  # until the own view equals that of another member
        self.has_left = self.suppress_updates = False
        self.expected_timer_at = now

    # -- the view

    def members(self, now: int) -> list[PeerView]:
        """All known peers, ordered by instance id."""
        return [
            PeerView(
                member.record.name,
                member.record.instance_id,
                member.record.address,
                member.record.zone,
                member.record.state,
                member.record.incarnation,
                now - member.state_since,
                now - member.last_contact if member.last_contact else -1,
                member.reported_by,
            )
            for member in self.member_table
        ]

    def fleet_size_bounds(self, now: int) -> FleetSizeBounds:
        """Bounds of the number of sidecars in the fleet."""
        counts, since = self.member_table.state_counts, now - RECENT_INTERVALS * self.settings.probe_interval
        likely = 1 + counts[ALIVE] + counts[SUSPECTED]
        minimum = 1 + sum(
            member.last_contact > max(0, since) and member.record.state in (ALIVE, SUSPECTED)
            for member in self.member_table
        )
        return FleetSizeBounds(minimum, likely, likely + counts[DEAD])

    def digest(self) -> int:
        """Digest of the whole view with the own record; equal views have equal digests."""
        return self.member_table.digest ^ self.own_hash

    # -- timers

    def next_timer(self) -> int:
        """When to call `on_timer` next."""
        times = [self.probe_step_at, self.next_seed_at]
        if self.next_push_at:
            times.append(self.next_push_at)
        if self.suspicion_timers:
            times.append(self.suspicion_timers[0][0])
        return min(times)

    def on_timer(self, now: int) -> None:
        """Do everything that is due."""
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
        """Restart every wait if this process was stopped or got no CPU.

        Answers that were missed meanwhile say nothing about the peers, which would be suspected otherwise.
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

    def extend_suspicions(self, duration: int) -> None:
        """Extend every suspicion by a time in which no refutation could have arrived."""
        self.suspicion_timers = [
            (ends_at + duration, instance_id, number)
            for ends_at, instance_id, number in self.suspicion_timers
        ]

    def jitter(self, duration: int) -> int:
        """A random time below the duration."""
        return self.rng.randrange(max(1, duration))

    # -- probes

    def advance_probe(self, now: int) -> None:
        """Ask others to ping an unanswering peer, or end the interval and begin the next probe."""
        if now < self.probe_step_at:
            return
        probe = self.probe
        if probe is not None and not probe.indirect_sent:
            probe.indirect_sent = True
            self.probe_step_at = probe.ends_at
            target = probe.member.record
            for helper in self.member_table.sample(INDIRECT_PROBES, (target.instance_id,)):
                self.send(
                    helper,
                    PingRequest(
                        self.own_record,
                        self.digest(),
                        probe.number,
                        target.instance_id,
                        target.address,
                        self.take_updates(),
                    ),
                )
            if now < probe.ends_at:
                return
        if probe is not None:
            self.probe_failed(now, probe)
        self.start_probe(now)

    def start_probe(self, now: int) -> None:
        """Begin an interval: expire old state, then ping the next member."""
        # After failures of its own a sidecar probes less often and waits longer (Lifeguard's local health).
        slowdown = 1 + self.local_health_score
        self.probe = None
        self.next_probe_at = self.probe_step_at = now + self.settings.probe_interval * slowdown
        self.member_table.expire_dead(now - DEAD_RETENTION_INTERVALS * self.settings.probe_interval)
        self.check_duplicate_names(now)
        for number in [number for number, (_, _, ends_at) in self.indirect_pings.items() if now >= ends_at]:
            del self.indirect_pings[number]
        if now >= self.next_dead_retry_at:
            self.retry_dead(now)
        member = self.member_table.next_probe_target()
        if member is None:
            return
        self.last_sequence += 1
        self.probe = Probe(self.last_sequence, member, now, self.next_probe_at)
        self.probe_step_at = now + self.settings.probe_timeout * slowdown
        self.send_ping(member.record, self.last_sequence)

    def send_ping(self, record: Record, number: int) -> None:
        """Ping a member; a suspected or dead one gets its own record first, so that it can refute it."""
        priority = (record.instance_id,) if record.state in (SUSPECTED, DEAD) else ()
        self.callbacks.send_message(
            record.address,
            Ping(self.own_record, self.digest(), number, record.instance_id, self.take_updates(priority)),
        )

    def probe_failed(self, now: int, probe: Probe) -> None:
        """Suspect a peer that was not heard of for a whole interval.

        If no message of anybody arrived in that time, this sidecar may be the unhealthy one. Lifeguard counts
        the helpers' missing refusals instead; after a mass restart the helpers are dead as well, and every
        sidecar that is left would slow down just when there is much to find out.
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
        """Handle an answer; return whether it is to the current probe."""
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
        """Another process answers at the member's address: that instance is dead, whatever others report."""
        held = member.record
        if by.instance_id != held.instance_id and held.state in (ALIVE, SUSPECTED):
            self.accept_record(
                now, member, with_state(held, DEAD, held.incarnation, self.own_record.instance_id), ""
            )

    def retry_dead(self, now: int) -> None:
        """Ping a dead member from time to time, so that two halves of a partition find each other again."""
        dead_ids = [
            instance_id
            for instance_id in self.member_table.dead_ids
            if self.member_table.members[instance_id].record.state == DEAD
        ]
        alone = not self.member_table.probe_ring
        self.next_dead_retry_at = now + self.settings.probe_interval * (1 if alone else DEAD_RETRY_INTERVALS)
        if dead_ids:
            self.last_sequence += 1
            self.send_ping(self.member_table.members[self.rng.choice(dead_ids)].record, self.last_sequence)

    def contact_seeds(self, now: int) -> None:
        """Ping some seeds soon while no member is known, and later now and then one that is not present."""
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
        """Whether the instance that answered last at an address is thought to be present."""
        instance_id = self.member_table.id_by_address.get(address)
        return instance_id is not None and self.member_table.members[instance_id].record.state in (
            ALIVE,
            SUSPECTED,
        )

    # -- suspicion

    def add_suspicion(self, now: int, member: Member, by: int) -> None:
        """Begin a suspicion, or confirm the current one: each different suspector shortens it (Lifeguard)."""
        first = not member.suspectors
        if by in member.suspectors or len(member.suspectors) > SUSPICION_CONFIRMATIONS:
            return
        member.suspectors += (by,)
        member.suspicion_count += first
        confirmed = len(member.suspectors) - 1
        possible = min(SUSPICION_CONFIRMATIONS, len(self.member_table.probe_ring) - 2)
        fraction = 0.0 if possible < 1 else 1.0 - log(min(confirmed, possible) + 1) / log(possible + 1)
        ends_at = member.state_since + round(
            self.min_suspicion() * (1.0 + (MAX_SUSPICION_FACTOR - 1) * fraction)
        )
        heappush(
            self.suspicion_timers, (max(now, ends_at), member.record.instance_id, member.suspicion_count)
        )
        if not first:
            # Sent on with the new suspector's id: only different suspectors make the suspicion shorter.
            member.record = with_state(member.record, SUSPECTED, member.record.incarnation, by)
            self.queue_update(now, member.record.instance_id)

    def min_suspicion(self) -> int:
        """Duration of a fully confirmed suspicion in microseconds."""
        return round(
            MIN_SUSPICION_FACTOR
            * max(1.0, log10(len(self.member_table.probe_ring) + 1))
            * self.settings.probe_interval
        )

    def expire_suspicions(self, now: int) -> None:
        """Mark members dead whose suspicion has ended without a refutation."""
        while self.suspicion_timers and self.suspicion_timers[0][0] <= now:
            _, instance_id, number = heappop(self.suspicion_timers)
            member = self.member_table.members.get(instance_id)
            if member is not None and member.record.state == SUSPECTED and member.suspicion_count == number:
                held = member.record
                longest = member.state_since + MAX_SUSPICION_FACTOR * self.min_suspicion()
                if self.last_received_at < member.state_since and now < longest:
                    # No message of anybody since: this sidecar may receive nothing. Wait the longest time
                    # before it declares its peers dead.
                    heappush(self.suspicion_timers, (longest, instance_id, number))
                    continue
                self.accept_record(
                    now, member, with_state(held, DEAD, held.incarnation, self.own_record.instance_id), ""
                )

    # -- received messages

    def receive(self, now: int, address: str, message: messages.AnyMessage) -> None:
        """Handle one message that arrived from `address`."""
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
                # A joining sidecar learns what the others already know: nothing to send on.
                self.suppress_updates = self.joining
                for record in message.records:
                    self.apply_record(now, record, sender.name)
                self.suppress_updates = False
        priority = (
            (sender.instance_id,) if member is not None and member.record.state in (SUSPECTED, DEAD) else ()
        )
        match message:
            case Ping():
                self.callbacks.send_message(
                    address,
                    Ack(self.own_record, self.digest(), message.number, self.take_updates(priority)),
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
        """Apply the sender's own record: only a member itself can refute what others report of it."""
        self.apply_record(now, sender, "")
        member = self.member_table.members.get(sender.instance_id)
        if member is not None:
            member.last_contact = now
            if address == sender.address:
                before = self.member_table.members.get(self.member_table.id_by_address.get(address, 0))
                if member.record.state in (DEAD, LEFT):
                    return member  # a delayed message of an ended instance does not show who is there now
                if before is not None and before is not member:
                    self.mark_replaced(now, before, sender)
                self.member_table.id_by_address[address] = sender.instance_id
        return member

    def apply_record(self, now: int, record: Record, reported_by: str) -> None:
        """Merge a record into the member table, if it is newer than the known one."""
        if record.instance_id == self.own_record.instance_id:
            self.refute(now, record)
            return
        member = self.member_table.members.get(record.instance_id)
        if member is None:
            if record.state in (DEAD, LEFT):
                return  # unknown dead instances would be stored and disseminated without end
            member = self.member_table.add(record, now, reported_by)
            if member is not None:
                self.queue_update(now, record.instance_id)
                self.notify_change(now, record, reported_by)
                if record.state == SUSPECTED:
                    self.add_suspicion(now, member, record.suspected_by)
        elif self.member_table.supersedes(member, record):
            self.accept_record(now, member, record, reported_by)
        elif (
            record.state == SUSPECTED == member.record.state
            and record.incarnation == member.record.incarnation
        ):
            self.add_suspicion(now, member, record.suspected_by)

    def accept_record(self, now: int, member: Member, record: Record, reported_by: str) -> None:
        """Store a newer record of a known member and disseminate it."""
        old_state = member.record.state
        self.member_table.update(member, record, now, reported_by)
        self.queue_update(now, record.instance_id)
        if record.state == SUSPECTED:
            member.suspectors, member.state_since = (), now
            self.add_suspicion(now, member, record.suspected_by)
        if record.state != old_state:
            self.notify_change(now, record, reported_by)

    def notify_change(self, now: int, record: Record, reported_by: str) -> None:
        """Notify the host of a state change, and track other instances with the own name."""
        self.callbacks.peer_changed(record, reported_by)
        if record.name == self.own_record.name:
            if record.state == ALIVE:
                self.same_name_since.setdefault(record.instance_id, now)
            else:
                self.same_name_since.pop(record.instance_id, None)

    def refute(self, now: int, record: Record) -> None:
        """Refute a record that has this instance as suspected, dead or left, with a higher incarnation."""
        if record.state == ALIVE and record.incarnation <= self.own_record.incarnation:
            return
        if record.incarnation < self.own_record.incarnation and record.state != LEFT:
            return
        if record.state != ALIVE:
            self.local_health_score = min(MAX_HEALTH_SCORE, self.local_health_score + 1)
        if record.state == LEFT or record.incarnation >= MAX_INCARNATION:
            # Only a false record says so, and no incarnation can refute it: continue under a new instance id.
            if now - self.instance_renewed_at < self.settings.probe_interval:
                return
            self.instance_renewed_at = now
            self.own_record = with_new_instance(self.own_record, self.rng.getrandbits(63) | 1)
        else:
            self.own_record = with_state(self.own_record, ALIVE, record.incarnation + 1, 0)
        self.own_hash = record_hash(self.own_record)
        self.queue_update(now, self.own_record.instance_id)

    def check_duplicate_names(self, now: int) -> None:
        """Report another process with the own name once, if it stays for longer than a restart takes.

        With two processes of one name the logs would be misread.
        """
        for instance_id, since in self.same_name_since.items():
            if since and now - since > RECENT_INTERVALS * self.settings.probe_interval:
                self.same_name_since[instance_id] = 0  # reported
                self.callbacks.duplicate_name(self.member_table.members[instance_id].record)

    # -- requests of others

    def start_indirect_ping(self, now: int, address: str, message: PingRequest) -> None:
        """Ping a target on behalf of another sidecar."""
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
        """Forward the answer to an indirect ping to the sidecar that asked for it."""
        found = self.indirect_pings.pop(number, None)
        if found is not None:
            self.callbacks.send_message(
                found[0], IndirectAck(self.own_record, self.digest(), found[1], sender)
            )

    def send_page(self, now: int, address: str, after: int) -> None:
        """Answer a page request, within the limit of pages per interval."""
        if now - self.page_window_start >= self.settings.probe_interval:
            self.page_window_start, self.pages_in_window = now, 0
        self.pages_in_window += 1
        if self.pages_in_window <= MAX_PAGES_PER_INTERVAL:
            records, more = self.member_table.page(after)
            self.callbacks.send_message(address, Page(self.own_record, self.digest(), after, records, more))

    def compare_views(self, now: int, address: str) -> None:
        """The sender's view differs: request all of it by pages, less often while updates are pending."""
        if now - self.started_at > RECENT_INTERVALS * self.settings.probe_interval:
            self.joining = False  # in a fleet that changes all the time no two views may ever be equal
        wait = (
            1 if self.joining else COMPARE_INTERVALS if not len(self.update_queue) else 2 * COMPARE_INTERVALS
        )
        if now - self.last_compared_at >= wait * self.settings.probe_interval:
            self.last_compared_at = now
            self.request_page(address, 0)

    def request_page(self, address: str, after: int) -> None:
        """Request the page of a peer's view above instance id `after`."""
        self.callbacks.send_message(address, PageRequest(self.own_record, self.digest(), after))

    # -- dissemination

    def queue_update(self, now: int, instance_id: int) -> None:
        """Queue the record of an instance for dissemination."""
        if self.suppress_updates:
            return
        self.update_queue.add(instance_id)
        if not self.next_push_at:
            self.next_push_at = now + self.jitter(self.settings.probe_interval // PUSHES_PER_INTERVAL)

    def push_updates(self, now: int) -> None:
        """Send pending updates in messages of their own, for as long as there are any."""
        for member in self.member_table.sample(PUSH_FANOUT):
            if not len(self.update_queue):
                break
            self.send(member, Updates(self.own_record, self.digest(), self.take_updates()))
        self.next_push_at = (
            now + self.settings.probe_interval // PUSHES_PER_INTERVAL
            if len(self.update_queue) and self.member_table.probe_ring
            else 0
        )

    def take_updates(self, priority: tuple[int, ...] = ()) -> list[Record]:
        """Updates for one message, with the records of `priority` first."""
        return self.update_queue.take(self.own_record.instance_id, priority)

    def send(self, member: Member, message: messages.AnyMessage) -> None:
        """Send a message to a member."""
        self.callbacks.send_message(member.record.address, message)

    def leave(self, now: int) -> None:
        """Announce the departure to a sample of members, which disseminate it; send nothing afterwards."""
        if not self.has_left:
            last_record = with_state(self.own_record, LEFT, self.own_record.incarnation, 0)
            for member in self.member_table.sample(LEAVE_FANOUT):
                self.send(member, Updates(last_record, self.digest(), []))
            self.has_left = True


def with_state(record: Record, state: int, incarnation: int, suspected_by: int) -> Record:
    """The same instance with another state and incarnation."""
    return Record(
        record.name, record.instance_id, record.address, record.zone, incarnation, state, suspected_by
    )


def with_new_instance(record: Record, instance_id: int) -> Record:
    """A fresh record of the same sidecar under another instance id."""
    return Record(record.name, instance_id, record.address, record.zone)
