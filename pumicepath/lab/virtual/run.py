"""Runs a plan in virtual time."""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Callable

from ...balancer import Balancer
from ...fleet.settings import TIMEOUT_FRACTION, Voting
from ...interface import Settings
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
END_MARGIN_US = 2 * SECOND  # after the longest deadline, for what is still in flight to end
VOTER_COUNT = 3
MAX_SAMPLED_SIDECARS = 50  # whose breakers and views of the fleet are sampled each second


class VirtualWorld(World):
    """A world whose sidecars run in virtual time; `trace_lines` of their log are kept."""

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
            probe_interval = to_microseconds(plan.sidecars.peers_every_s)
            self.sidecar_fleet = VirtualFleet(
                self.timeline,
                self.links,
                seed,
                plan.sidecars.count,
                probe_interval,
                round(probe_interval * TIMEOUT_FRACTION),
                voting=self.voting(),
                zone_count=plan.fleet.halls,
            )
        zone_count = plan.fleet.halls
        for number in range(plan.sidecars.count):
            zone = number % zone_count
            sidecar = Sidecar(
                self,
                number,
                zone,
                self.settings_of(number, zone),
                seed * 1_000_003 + number,
                self.make_balancer,
                to_microseconds(plan.sidecars.dial_ms / 1e3),
                self.trace,
            )
            self.instances.append(sidecar)  # type: ignore[arg-type]
            self.make_clients(sidecar, sidecar).start()  # type: ignore[arg-type]
        for number, spec in enumerate(plan.troubles):
            KINDS[spec.kind](self, spec, number).schedule()

    def settings_of(self, number: int, zone: int) -> Settings:
        """The settings of one sidecar."""
        return dataclasses.replace(self.settings[zone], sidecar_index=number)

    def voting(self) -> Voting | None:
        """The first sidecars vote on duties, if trials are agreed on; None without them."""
        sidecars = self.plan.sidecars
        if not sidecars.trials:
            return None
        lease = to_microseconds(sidecars.lease_s)
        return Voting(
            (tuple(address(each) for each in range(VOTER_COUNT if sidecars.count >= VOTER_COUNT else 1)),),
            lease,
            lease,
            shared_trials=True,
        )

    def balancer_factory(self, policy: str) -> BalancerFactory:
        """The balancer of a policy in `POLICIES`; raises KeyError for others."""
        if policy == PUMICEPATH:
            return Balancer
        if policy == ORACLE:
            return make_oracle(self.expected_latency)
        return TEXTBOOK_BALANCERS[policy]

    def expected_latency(self, server: int, key: int, asker: TextbookBalancer) -> float:
        """Microseconds that a mean hop would take now, for the oracle."""
        target = self.servers[server]
        if not self.network.is_connected(asker.settings.zone, target.zone):
            return 1e12
        return target.expected_latency(round(self.plan.fleet.work_ms * 1000), key)

    def trace(self, sidecar: int, text: str) -> None:
        """Keep a line of a sidecar's log, if a trace is wanted."""
        if self.log.maxlen:
            self.log.append(f"{self.timeline.now / SECOND:9.3f}  sidecar {sidecar}: {text}")

    def sample(self) -> None:
        """Record hops at servers, the fraction of sidecars whose breakers are open, and wrong fleet views."""
        if isinstance(self.sidecar_fleet, VirtualFleet):
            self.wrong_views.append(len(self.sidecar_fleet.sidecars_with_wrong_view(MAX_SAMPLED_SIDECARS)))
        self.hops_at_servers.append([self.servers[number].hop_count for number in self.server_ids])
        open_counts = [0] * len(self.server_ids)
        step = max(1, len(self.instances) // MAX_SAMPLED_SIDECARS)
        sampled = [each.balancer for each in self.instances[::step] if each.up]  # type: ignore[attr-defined]
        for balancer in sampled:
            if isinstance(balancer, Balancer):
                for slot, number in enumerate(self.server_ids):
                    index = balancer.index_by_id.get(number)
                    open_counts[slot] += index is not None and balancer.breaker_states[index] != 0
        self.open_breakers.append([count / max(1, len(sampled)) for count in open_counts])

    def run(self, on_progress: Callable[[float], None] | None = None) -> Result:
        """Run the plan to its end; `on_progress` gets the fraction done after each second of it."""
        second = SECOND
        while second <= self.duration:
            self.timeline.run(second)
            self.sample()
            if on_progress is not None:
                on_progress(second / self.duration)
            second += SECOND
        self.timeline.run(self.duration + max(each.deadline for each in self.request_classes) + END_MARGIN_US)
        return collect_result(
            self,
            self.policy if isinstance(self.policy, str) else "other",
            self.timeline.events,
            self.hops_at_servers,
            self.open_breakers,
            list(self.log),
            self.wrong_views,
        )
