"""Fleet membership in virtual time: the real membership code and datagrams on the links of the model.

`VirtualFleet` starts, kills and stops nodes by number, and says which of them have a wrong view of the fleet.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from ...balancer import Balancer
from ...fleet import messages
from ...fleet.membership import Membership
from ...fleet.messages import STATES, Record
from ...fleet.node import FleetNode
from ...fleet.settings import PeerSettings, Voting
from ..model.links import Links
from ..model.timeline import Timeline, random_source
from ..model.views import is_view_correct

SEED_COUNT = 3  # nodes that others know at their start
CLOCK_ORIGIN_US = 86_400_000_000  # what the clocks of nodes show at the start of a run
SOCKET_QUEUE_LIMIT = 200  # datagrams kept for a stopped node, as in its socket's buffer


def address(number: int) -> str:
    """The address of a node."""
    return f"127.{1 + (number >> 16)}.{number >> 8 & 255}.{number & 255}:7946"


class VirtualNode:
    """One sidecar as a node of the fleet; `starts` counts its instances."""

    def __init__(self, fleet: VirtualFleet, number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.name = f"sidecar-{number}"
        self.address = address(number)
        self.starts = 0
        self.fleet_node: FleetNode | None = None
        self.stopped = False
        self.queue: list[tuple[str, bytes]] = []
        self.timer_at = -1
        self.on_postponed: Callable[[int, int], None] = lambda server, wait: None

    @property
    def membership(self) -> Membership | None:
        """Its membership state; None while it is down."""
        return self.fleet_node.membership if self.fleet_node is not None else None

    def start(self) -> None:
        """Start a new instance, which knows only the seeds."""
        fleet = self.fleet
        self.starts += 1
        rng = random_source(fleet.seed, "peer", self.number, self.starts)
        seeds = tuple(address(each) for each in fleet.seeds if each != self.number)
        settings = PeerSettings(
            self.address,
            seeds,
            probe_interval=fleet.probe_interval,
            probe_timeout=fleet.timeout,
            max_peers=fleet.max_members,
            voting=fleet.voting,
        )
        record = Record(self.name, rng.getrandbits(62) | 1, self.address, fleet.zone_name(self.number))
        self.fleet_node = FleetNode(record, settings, rng.getrandbits(63), self, self.clock())
        self.schedule_timer()

    def clock(self) -> int:
        """Monotonic time, in microseconds."""
        return self.fleet.timeline.now + CLOCK_ORIGIN_US

    def send_message(self, address: str, message: messages.AnyMessage) -> None:
        """Send a message to another node."""
        self.fleet.send(self, address, messages.encode_message(message, 0))

    def peer_changed(self, record: Record, by: str) -> None:
        """The state of a member has changed in this node's view."""
        self.fleet.changed(self, record)

    def duplicate_name(self, record: Record) -> None:
        """Two instances use the same name."""
        self.fleet.counts["name twice"] += 1

    def receive(self, source: str, data: bytes) -> None:
        """A datagram arrives; it is kept while the node is stopped, and lost while it is down."""
        if self.stopped:
            if len(self.queue) < SOCKET_QUEUE_LIMIT:
                self.queue.append((source, data))
        elif self.fleet_node is not None:
            try:
                message = messages.decode_message(data, 0)
            except (messages.VersionMismatchError, messages.MalformedMessageError):
                self.fleet.counts["noise"] += 1
                return
            self.fleet_node.receive(self.clock(), source, message)
            self.schedule_timer()

    def schedule_timer(self) -> None:
        """Schedule one timer for when the node next has something to do."""
        if self.fleet_node is None:
            return
        due_at = self.fleet_node.next_timer() - CLOCK_ORIGIN_US
        if self.timer_at < 0 or due_at < self.timer_at:
            self.timer_at = due_at
            self.fleet.timeline.at(due_at, self.timer_fired, self.starts, due_at)

    def timer_fired(self, starts: int, due_at: int) -> None:
        """A timer is due, unless it was replaced or set by an earlier instance."""
        if starts != self.starts or due_at != self.timer_at or self.fleet_node is None:
            return
        self.timer_at = -1
        if not self.stopped:
            self.fleet_node.on_timer(self.clock(), self.wall_ms())
            self.schedule_timer()

    def resume(self) -> None:
        """Go on after a stop, first with the datagrams kept meanwhile."""
        self.stopped = False
        queue, self.queue = self.queue, []
        for source, data in queue:
            self.receive(source, data)
        if self.fleet_node is not None:
            self.fleet_node.on_timer(self.clock(), self.wall_ms())
            self.timer_at = -1
            self.schedule_timer()

    # -- trials agreed on with other nodes

    def wall_ms(self) -> int:
        """Wall-clock time in milliseconds."""
        return 1_800_000_000_000 + self.fleet.timeline.now // 1000

    def duty_changed(self, duty: str, number: int, why: str) -> None:
        """Count a duty won or lost."""
        self.fleet.counts["duties won" if number else "duties lost"] += 1

    def postpone_trial(self, server: str, wait: int) -> None:
        """Pass on to the balancer that its trial of a server is postponed, or due now."""
        self.fleet.counts["put off" if wait else "brought forward"] += 1
        self.on_postponed(int(server), wait)

    def may_try(self, name: str) -> bool:
        """Whether the trial of a server is this node's duty."""
        node = self.fleet_node
        return (
            node is not None
            and node.trials is not None
            and node.duties is not None
            and bool(node.duties.fencing_number(self.clock(), node.trials.duty_name(name)))
        )

    def breaker_opened(self, name: str, cooldown: int, often: bool) -> None:
        """The balancer's breaker for a server has opened."""
        if self.fleet_node is not None and self.fleet_node.trials is not None:
            self.fleet_node.trials.breaker_opened(self.clock(), name, cooldown, often)
            self.schedule_timer()

    def trial_finished(self, name: str, failed: bool) -> None:
        """The balancer has finished a trial of a server."""
        self.fleet.counts["trials failed" if failed else "trials served"] += 1
        if self.fleet_node is not None and self.fleet_node.trials is not None:
            self.fleet_node.trials.trial_finished(self.clock(), name, failed)
            self.schedule_timer()


class VirtualFleet:
    """All nodes of a fleet, and counts of what happens to them; times in microseconds."""

    def __init__(
        self,
        timeline: Timeline,
        links: Links,
        seed: int,
        count: int,
        probe_interval: int = 1_000_000,
        timeout: int = 300_000,
        max_members: int = 4096,
        voting: Voting | None = None,
        zone_count: int = 1,
    ) -> None:
        self.timeline = timeline
        self.links = links
        self.seed = seed
        self.probe_interval, self.timeout, self.max_members = probe_interval, timeout, max_members
        self.voting = voting
        self.zone_count = zone_count
        self.seeds = tuple(range(min(SEED_COUNT, count)))
        self.nodes = [VirtualNode(self, number) for number in range(count)]
        self.by_address = {node.address: node for node in self.nodes}
        self.counts: Counter[str] = Counter()

    def zone_name(self, number: int) -> str:
        """The zone of a node, one of `a`, `b`, ..."""
        return chr(ord("a") + number % self.zone_count)

    def send(self, node: VirtualNode, address: str, data: bytes) -> None:
        """Send a datagram; lost if nobody has the address."""
        other = self.by_address.get(address)
        if other is not None:
            self.links.carry(node.number, other.number, data, lambda data: other.receive(node.address, data))

    def changed(self, node: VirtualNode, record: Record) -> None:
        """Count a changed state in a node's view; a death is false if that instance still runs."""
        state = STATES[record.state]
        self.counts[state] += 1
        other = self.by_address[record.address].membership
        if state == "dead" and other is not None and other.own_record.instance_id == record.instance_id:
            self.counts["false deaths"] += 1

    def start(self, number: int) -> None:
        """Start a node."""
        self.nodes[number].start()

    def attach_balancer(self, number: int, balancer: Any) -> None:
        """Connect a balancer to its node, if the fleet agrees on trials."""
        if self.voting is not None and self.voting.shared_trials and isinstance(balancer, Balancer):
            node = self.nodes[number]
            balancer.peer_trials = node
            node.on_postponed = lambda server, wait: balancer.postpone_trial(self.timeline.now, server, wait)

    def kill(self, number: int) -> None:
        """Kill a node at once."""
        node = self.nodes[number]
        node.fleet_node, node.stopped, node.queue, node.timer_at = None, False, [], -1

    def stop(self, number: int) -> None:
        """Suspend a node."""
        self.nodes[number].stopped = True

    def resume(self, number: int) -> None:
        """Let a suspended node go on."""
        if self.nodes[number].stopped:
            self.nodes[number].resume()

    def sidecars_with_wrong_view(self, max_sampled: int = 0) -> list[str]:
        """Names of running nodes with a wrong view, of all or of an even sample of about `max_sampled`."""
        running = [node for node in self.nodes if node.membership is not None]
        names = [node.name for node in running]
        sampled = running[:: max(1, len(running) // max_sampled)] if max_sampled else running
        views = {
            node.name: [(member.name, STATES[member.state]) for member in node.membership.members(0)]
            for node in sampled
            if node.membership is not None
        }
        return [name for name, view in views.items() if not is_view_correct(name, view, names)]
