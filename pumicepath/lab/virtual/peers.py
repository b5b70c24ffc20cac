"""Sidecars' membership in virtual time: the real decisions and the real datagrams, on links of the model's.

`Peering` starts, kills and stops members by number; `views()` says what each running one sees.
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
from ..model.timeline import Timeline, chance
from ..model.views import right

SEEDS = 3
ORIGIN = 86_400_000_000  # of the sidecars' clocks
QUEUE = 200  # datagrams that a stopped one's socket holds


def address(number: int) -> str:
    return f"127.{1 + (number >> 16)}.{number >> 8 & 255}.{number & 255}:7946"


class Node:
    """One sidecar's part of the fleet; `starts` counts its lives."""

    def __init__(self, peering: Peering, number: int) -> None:
        self.peering = peering
        self.number = number
        self.name = f"sidecar-{number}"
        self.address = address(number)
        self.starts = 0
        self.fellow: FleetNode | None = None
        self.stopped = False
        self.queue: list[tuple[str, bytes]] = []
        self.wake_at = -1
        self.told: Callable[[int, int], None] = lambda server, wait: None

    @property
    def membership(self) -> Membership | None:
        return self.fellow.membership if self.fellow is not None else None

    def start(self) -> None:
        peering = self.peering
        self.starts += 1
        own = chance(peering.seed, "peer", self.number, self.starts)
        seeds = tuple(address(each) for each in peering.seeds if each != self.number)
        settings = PeerSettings(
            self.address,
            seeds,
            probe_interval=peering.every,
            probe_timeout=peering.timeout,
            max_peers=peering.most,
            voting=peering.voting,
        )
        me = Record(self.name, own.getrandbits(62) | 1, self.address, peering.zone(self.number))
        self.fellow = FleetNode(me, settings, own.getrandbits(63), self, self.clock())
        self.wake()

    def clock(self) -> int:
        return self.peering.timeline.now + ORIGIN

    def send_message(self, address: str, message: messages.AnyMessage) -> None:
        self.peering.send(self, address, messages.encode_message(message, 0))

    def peer_changed(self, record: Record, by: str) -> None:
        self.peering.changed(self, record)

    def duplicate_name(self, record: Record) -> None:
        self.peering.counts["name twice"] += 1

    def came(self, source: str, data: bytes) -> None:
        if self.stopped:
            if len(self.queue) < QUEUE:
                self.queue.append((source, data))
        elif self.fellow is not None:
            try:
                message = messages.decode_message(data, 0)
            except (messages.VersionMismatchError, messages.MalformedMessageError):
                self.peering.counts["noise"] += 1
                return
            self.fellow.receive(self.clock(), source, message)
            self.wake()

    def wake(self) -> None:
        """Have `woke` called when it is due, once."""
        if self.fellow is None:
            return
        due = self.fellow.next_timer() - ORIGIN
        if self.wake_at < 0 or due < self.wake_at:
            self.wake_at = due
            self.peering.timeline.at(due, self.woke, self.starts, due)

    def woke(self, starts: int, due: int) -> None:
        if starts != self.starts or due != self.wake_at or self.fellow is None:
            return
        self.wake_at = -1
        if not self.stopped:
            self.fellow.on_timer(self.clock(), self.wall_ms())
            self.wake()

    def go_on(self) -> None:
        self.stopped = False
        queue, self.queue = self.queue, []
        for source, data in queue:
            self.came(source, data)
        if self.fellow is not None:
            self.fellow.on_timer(self.clock(), self.wall_ms())
            self.wake_at = -1
            self.wake()

    # -- trials: the balancer's companions, and what others say to it

    def wall_ms(self) -> int:
        return 1_800_000_000_000 + self.peering.timeline.now // 1000

    def duty_changed(self, duty: str, number: int, why: str) -> None:
        self.peering.counts["duties won" if number else "duties lost"] += 1

    def postpone_trial(self, server: str, wait: int) -> None:
        self.peering.counts["put off" if wait else "brought forward"] += 1
        self.told(int(server), wait)

    def may_try(self, name: str) -> bool:
        fellow = self.fellow
        return (
            fellow is not None
            and fellow.trials is not None
            and fellow.duties is not None
            and bool(fellow.duties.fencing_number(self.clock(), fellow.trials.duty_name(name)))
        )

    def breaker_opened(self, name: str, cooldown: int, often: bool) -> None:
        if self.fellow is not None and self.fellow.trials is not None:
            self.fellow.trials.breaker_opened(self.clock(), name, cooldown, often)
            self.wake()

    def trial_finished(self, name: str, failed: bool) -> None:
        self.peering.counts["trials failed" if failed else "trials served"] += 1
        if self.fellow is not None and self.fellow.trials is not None:
            self.fellow.trials.trial_finished(self.clock(), name, failed)
            self.wake()


class Peering:
    def __init__(
        self,
        timeline: Timeline,
        links: Links,
        seed: int,
        count: int,
        every: int = 1_000_000,
        timeout: int = 300_000,
        most: int = 4096,
        voting: Voting | None = None,
        zones: int = 1,
    ) -> None:
        self.timeline = timeline
        self.links = links
        self.seed = seed
        self.every, self.timeout, self.most = every, timeout, most
        self.voting = voting
        self.zones = zones
        self.seeds = tuple(range(min(SEEDS, count)))
        self.nodes = [Node(self, number) for number in range(count)]
        self.by_address = {node.address: node for node in self.nodes}
        self.counts: Counter[str] = Counter()

    def zone(self, number: int) -> str:
        return chr(ord("a") + number % self.zones)

    def send(self, node: Node, address: str, data: bytes) -> None:
        other = self.by_address.get(address)
        if other is not None:
            self.links.carry(node.number, other.number, data, lambda data: other.came(node.address, data))

    def changed(self, node: Node, record: Record) -> None:
        what = STATES[record.state]
        self.counts[what] += 1
        other = self.by_address[record.address].membership
        if what == "dead" and other is not None and other.own_record.instance_id == record.instance_id:
            self.counts["false deaths"] += 1

    def start(self, number: int) -> None:
        self.nodes[number].start()

    def accompany(self, number: int, decisions: Any) -> None:
        """Have the trials of these decisions agreed on, where the fleet does so."""
        if self.voting is not None and self.voting.shared_trials and isinstance(decisions, Balancer):
            node = self.nodes[number]
            decisions.peer_trials = node
            node.told = lambda server, wait: decisions.postpone_trial(self.timeline.now, server, wait)

    def kill(self, number: int) -> None:
        node = self.nodes[number]
        node.fellow, node.stopped, node.queue, node.wake_at = None, False, [], -1

    def stop(self, number: int) -> None:
        self.nodes[number].stopped = True

    def go_on(self, number: int) -> None:
        if self.nodes[number].stopped:
            self.nodes[number].go_on()

    def wrong(self, most: int = 0) -> list[str]:
        """Names of those whose view is not what is so, of all that run or of some evenly among them."""
        running = [node for node in self.nodes if node.membership is not None]
        names = [node.name for node in running]
        looked = running[:: max(1, len(running) // most)] if most else running
        views = {
            node.name: [(seen.name, STATES[seen.state]) for seen in node.membership.members(0)]
            for node in looked
            if node.membership is not None
        }
        return [name for name, view in views.items() if not right(name, view, names)]
