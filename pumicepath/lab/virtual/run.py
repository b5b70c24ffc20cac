"""One run of a plan in virtual time, and what came of it."""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Callable

from ...fleet.settings import TIMEOUT_PART, Voting
from ...interface import Settings
from ...logic import Balancer
from ..fault_kinds import KINDS
from ..model.links import Links
from ..model.result import Result, collect_result
from ..model.timeline import SECOND, VirtualTimeline
from ..model.world import World
from ..spec import Plan, to_microseconds
from .baselines import TEXTBOOK_BALANCERS, TextbookBalancer, make_oracle
from .peers import VirtualFleet, address
from .sidecar import BalancerFactory, Sidecar

PUMICEPATH = "pumicepath"
ORACLE = "oracle"
POLICIES = (PUMICEPATH, ORACLE, *TEXTBOOK_BALANCERS)
END_MARGIN_US = 2 * SECOND  # after the longest patience: what is still out then ends
VOTER_COUNT = 3
MAX_SAMPLED_SIDECARS = 50  # sidecars whose breakers are sampled for the picture


class VirtualWorld(World):
    """A world whose sidecars live in virtual time."""

    timeline: VirtualTimeline

    def __init__(
        self, plan: Plan, seed: int, policy: str | BalancerFactory = PUMICEPATH, trace_lines: int = 0
    ) -> None:
        super().__init__(plan, seed, VirtualTimeline())
        self.policy = policy
        self.make_balancer = self.balancer_factory(policy) if isinstance(policy, str) else policy
        self.log: deque[str] = deque(maxlen=trace_lines)
        self.hops_at_servers: list[list[int]] = []
        self.open_breakers: list[list[float]] = []
        self.wrong_views: list[int] = []
        if plan.sidecars.peers:
            self.links = Links(self.timeline, seed, self.network.same_zone_delay)
            every = to_microseconds(plan.sidecars.peers_every_s)
            self.sidecar_fleet = VirtualFleet(
                self.timeline,
                self.links,
                seed,
                plan.sidecars.count,
                every,
                round(every * TIMEOUT_PART),
                voting=self.voting(),
                zone_count=plan.fleet.halls,
            )
        halls = plan.fleet.halls
        for number in range(plan.sidecars.count):
            hall = number % halls
            sidecar = Sidecar(
                self,
                number,
                hall,
                self.settings_of(number, hall),
                seed * 1_000_003 + number,
                self.make_balancer,
                to_microseconds(plan.sidecars.dial_ms / 1e3),
                self.trace,
            )
            self.instances.append(sidecar)  # type: ignore[arg-type]
            self.make_clients(sidecar, sidecar).start()  # type: ignore[arg-type]
        for number, trouble in enumerate(plan.troubles):
            KINDS[trouble.kind](self, trouble, number).schedule()

    def settings_of(self, number: int, zone: int) -> Settings:
        return dataclasses.replace(self.settings[zone], me=number)

    def voting(self) -> Voting | None:
        """The first sidecars vote, where there are duties."""
        asked = self.plan.sidecars
        if not asked.trials:
            return None
        lease = to_microseconds(asked.lease_s)
        return Voting(
            (tuple(address(each) for each in range(VOTER_COUNT if asked.count >= VOTER_COUNT else 1)),),
            lease,
            lease,
            trials=True,
        )

    def balancer_factory(self, policy: str) -> BalancerFactory:
        if policy == PUMICEPATH:
            return Balancer
        if policy == ORACLE:
            return make_oracle(self.expected_latency)
        return TEXTBOOK_BALANCERS[policy]

    def expected_latency(self, server: int, key: int, asker: TextbookBalancer) -> float:
        one = self.servers[server]
        if not self.network.is_connected(asker.settings.zone, one.zone):
            return 1e12
        return one.expected_latency(round(self.plan.fleet.work_ms * 1000), key)

    def trace(self, sidecar: int, text: str) -> None:
        if self.log.maxlen:
            self.log.append(f"{self.timeline.now / SECOND:9.3f}  sidecar {sidecar}: {text}")

    def sample(self) -> None:
        """What servers have at them, the share of sidecars that refuse them, and who sees the fleet wrong."""
        if isinstance(self.sidecar_fleet, VirtualFleet):
            self.wrong_views.append(len(self.sidecar_fleet.sidecars_with_wrong_view(MAX_SAMPLED_SIDECARS)))
        self.hops_at_servers.append([self.servers[number].hop_count for number in self.server_ids])
        refused = [0] * len(self.server_ids)
        step = max(1, len(self.instances) // MAX_SAMPLED_SIDECARS)
        looked = [one.balancer for one in self.instances[::step] if one.up]  # type: ignore[attr-defined]
        for decisions in looked:
            if isinstance(decisions, Balancer):
                for place, number in enumerate(self.server_ids):
                    at = decisions.index.get(number)
                    refused[place] += at is not None and decisions.state[at] != 0
        self.open_breakers.append([count / max(1, len(looked)) for count in refused])

    def run(self, on_progress: Callable[[float], None] | None = None) -> Result:
        """Play the plan to its end; `told` hears of each second played."""
        second = SECOND
        while second <= self.duration:
            self.timeline.run(second)
            self.sample()
            if on_progress is not None:
                on_progress(second / self.duration)
            second += SECOND
        self.timeline.run(
            self.duration + max(tariff.patience for tariff in self.request_classes) + END_MARGIN_US
        )
        return collect_result(
            self,
            self.policy if isinstance(self.policy, str) else "other",
            self.timeline.events,
            self.hops_at_servers,
            self.open_breakers,
            list(self.log),
            self.wrong_views,
        )
