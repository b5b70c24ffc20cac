"""Sidecars' membership in virtual time: the real decisions and the real datagrams, on links of the model's.

`Peering` starts, kills and stops members by number; `views()` says what each running one sees.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from ...fleet import messages
from ...fleet.fellow import Fellow
from ...fleet.membership import Membership
from ...fleet.messages import STATES, Record
from ...fleet.settings import PeerSettings, Voting
from ...logic import Balancer
from ..model.links import Links
from ..model.timeline import Timeline, random_source
from ..model.views import is_view_correct

SEED_COUNT = 3
CLOCK_ORIGIN_US = 86_400_000_000  # of the sidecars' clocks
SOCKET_QUEUE_LIMIT = 200  # datagrams that a stopped one's socket holds


def address(number: int) -> str:
    return f"127.{1 + (number >> 16)}.{number >> 8 & 255}.{number & 255}:7946"


class VirtualNode:
    """One sidecar's part of the fleet; `starts` counts its lives."""

    def __init__(self, fleet: VirtualFleet, number: int) -> None:
        self.fleet = fleet
        self.number = number
        self.name = f"sidecar-{number}"
        self.address = address(number)
        self.starts = 0
        self.fleet_node: Fellow | None = None
        self.stopped = False
        self.queue: list[tuple[str, bytes]] = []
        self.timer_at = -1
        self.on_postponed: Callable[[int, int], None] = lambda server, wait: None

    @property
    def membership(self) -> Membership | None:
        return self.fleet_node.membership if self.fleet_node is not None else None

    def start(self) -> None:
        peering = self.fleet
        self.starts += 1
        own = random_source(peering.seed, "peer", self.number, self.starts)
        seeds = tuple(address(each) for each in peering.seeds if each != self.number)
        settings = PeerSettings(
            self.address,
            seeds,
            every=peering.probe_interval,
            timeout=peering.timeout,
            most=peering.max_members,
            voting=peering.voting,
        )
        me = Record(self.name, own.getrandbits(62) | 1, self.address, peering.zone_name(self.number))
        self.fleet_node = Fellow(me, settings, own.getrandbits(63), self, self.clock())
        self.schedule_timer()

    def clock(self) -> int:
        return self.fleet.timeline.now + CLOCK_ORIGIN_US

    def post(self, address: str, message: messages.Any) -> None:
        self.fleet.send(self, address, messages.packed(message, 0))

    def changed(self, record: Record, by: str) -> None:
        self.fleet.changed(self, record)

    def twice(self, record: Record) -> None:
        self.fleet.counts["name twice"] += 1

    def receive(self, source: str, data: bytes) -> None:
        if self.stopped:
            if len(self.queue) < SOCKET_QUEUE_LIMIT:
                self.queue.append((source, data))
        elif self.fleet_node is not None:
            try:
                message = messages.unpacked(data, 0)
            except (messages.Foreign, messages.Noise):
                self.fleet.counts["noise"] += 1
                return
            self.fleet_node.heard(self.clock(), source, message)
            self.schedule_timer()

    def schedule_timer(self) -> None:
        """Have `woke` called when it is due, once."""
        if self.fleet_node is None:
            return
        due = self.fleet_node.due() - CLOCK_ORIGIN_US
        if self.timer_at < 0 or due < self.timer_at:
            self.timer_at = due
            self.fleet.timeline.at(due, self.timer_fired, self.starts, due)

    def timer_fired(self, starts: int, due: int) -> None:
        if starts != self.starts or due != self.timer_at or self.fleet_node is None:
            return
        self.timer_at = -1
        if not self.stopped:
            self.fleet_node.woke(self.clock(), self.wall_ms())
            self.schedule_timer()

    def resume(self) -> None:
        self.stopped = False
        queue, self.queue = self.queue, []
        for source, data in queue:
            self.receive(source, data)
        if self.fleet_node is not None:
            self.fleet_node.woke(self.clock(), self.wall_ms())
            self.timer_at = -1
            self.schedule_timer()

    # -- trials: the balancer's companions, and what others say to it

    def wall_ms(self) -> int:
        return 1_800_000_000_000 + self.fleet.timeline.now // 1000

    def holds(self, duty: str, number: int, why: str) -> None:
        self.fleet.counts["duties won" if number else "duties lost"] += 1

    def put_off(self, server: str, wait: int) -> None:
        self.fleet.counts["put off" if wait else "brought forward"] += 1
        self.on_postponed(int(server), wait)

    def turn(self, name: str) -> bool:
        fellow = self.fleet_node
        return (
            fellow is not None
            and fellow.trials is not None
            and fellow.duties is not None
            and bool(fellow.duties.number(self.clock(), fellow.trials.duty(name)))
        )

    def opened(self, name: str, cooldown: int, often: bool) -> None:
        if self.fleet_node is not None and self.fleet_node.trials is not None:
            self.fleet_node.trials.opened(self.clock(), name, cooldown, often)
            self.schedule_timer()

    def tried(self, name: str, failed: bool) -> None:
        self.fleet.counts["trials failed" if failed else "trials served"] += 1
        if self.fleet_node is not None and self.fleet_node.trials is not None:
            self.fleet_node.trials.tried(self.clock(), name, failed)
            self.schedule_timer()


class VirtualFleet:
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
        return chr(ord("a") + number % self.zone_count)

    def send(self, node: VirtualNode, address: str, data: bytes) -> None:
        other = self.by_address.get(address)
        if other is not None:
            self.links.carry(node.number, other.number, data, lambda data: other.receive(node.address, data))

    def changed(self, node: VirtualNode, record: Record) -> None:
        what = STATES[record.state]
        self.counts[what] += 1
        other = self.by_address[record.address].membership
        if what == "dead" and other is not None and other.me.born == record.born:
            self.counts["false deaths"] += 1

    def start(self, number: int) -> None:
        self.nodes[number].start()

    def attach_balancer(self, number: int, balancer: Any) -> None:
        """Have the trials of these decisions agreed on, where the fleet does so."""
        if self.voting is not None and self.voting.trials and isinstance(balancer, Balancer):
            node = self.nodes[number]
            balancer.companions = node
            node.on_postponed = lambda server, wait: balancer.put_off(self.timeline.now, server, wait)

    def kill(self, number: int) -> None:
        node = self.nodes[number]
        node.fleet_node, node.stopped, node.queue, node.timer_at = None, False, [], -1

    def stop(self, number: int) -> None:
        self.nodes[number].stopped = True

    def resume(self, number: int) -> None:
        if self.nodes[number].stopped:
            self.nodes[number].resume()

    def sidecars_with_wrong_view(self, max_sampled: int = 0) -> list[str]:
        """Names of those whose view is not what is so, of all that run or of some evenly among them."""
        running = [node for node in self.nodes if node.membership is not None]
        names = [node.name for node in running]
        looked = running[:: max(1, len(running) // max_sampled)] if max_sampled else running
        views = {
            node.name: [(seen.name, STATES[seen.state]) for seen in node.membership.members(0)]
            for node in looked
            if node.membership is not None
        }
        return [name for name, view in views.items() if not is_view_correct(name, view, names)]
