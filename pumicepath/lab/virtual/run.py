"""One run of a plan in virtual time, and what came of it."""

from __future__ import annotations

import dataclasses
from collections import deque
from collections.abc import Callable

from ...balancer import Balancer
from ...fleet.settings import TIMEOUT_FRACTION, Voting
from ...interface import Settings
from ..model.links import Links
from ..model.result import Result, result
from ..model.timeline import SECOND, Virtual
from ..model.world import World
from ..spec import Plan, micros
from ..troubles import KINDS
from .baselines import TEXTBOOK, Plain, oracle
from .peers import Peering, address
from .sidecar import Maker, Sidecar

OURS = "pumicepath"
ORACLE = "oracle"
POLICIES = (OURS, ORACLE, *TEXTBOOK)
LAST_WORDS = 2 * SECOND  # after the longest patience: what is still out then ends
VOTERS = 3
LOOKED_AT = 50  # sidecars whose breakers are sampled for the picture


class VirtualWorld(World):
    """A world whose sidecars live in virtual time."""

    timeline: Virtual

    def __init__(self, plan: Plan, seed: int, policy: str | Maker = OURS, trace: int = 0) -> None:
        super().__init__(plan, seed, Virtual())
        self.policy = policy
        self.maker = self.decisions(policy) if isinstance(policy, str) else policy
        self.log: deque[str] = deque(maxlen=trace)
        self.at_servers: list[list[int]] = []
        self.breakers: list[list[float]] = []
        self.views_wrong: list[int] = []
        if plan.sidecars.peers:
            self.links = Links(self.timeline, seed, self.network.near)
            every = micros(plan.sidecars.peers_every_s)
            self.peering = Peering(
                self.timeline,
                self.links,
                seed,
                plan.sidecars.count,
                every,
                round(every * TIMEOUT_FRACTION),
                voting=self.voting(),
                zones=plan.fleet.halls,
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
                self.maker,
                micros(plan.sidecars.dial_ms / 1e3),
                self.note,
            )
            self.instances.append(sidecar)  # type: ignore[arg-type]
            self.clients(sidecar, sidecar).begin()  # type: ignore[arg-type]
        for number, trouble in enumerate(plan.troubles):
            KINDS[trouble.kind](self, trouble, number).plan()

    def settings_of(self, number: int, hall: int) -> Settings:
        return dataclasses.replace(self.settings[hall], me=number)

    def voting(self) -> Voting | None:
        """The first sidecars vote, where there are duties."""
        asked = self.plan.sidecars
        if not asked.trials:
            return None
        lease = micros(asked.lease_s)
        return Voting(
            (tuple(address(each) for each in range(VOTERS if asked.count >= VOTERS else 1)),),
            lease,
            lease,
            shared_trials=True,
        )

    def decisions(self, policy: str) -> Maker:
        if policy == OURS:
            return Balancer
        if policy == ORACLE:
            return oracle(self.expected)
        return TEXTBOOK[policy]

    def expected(self, server: int, key: int, asker: Plain) -> float:
        one = self.servers[server]
        if not self.network.passes(asker.settings.zone, one.hall):
            return 1e12
        return one.expected(round(self.plan.fleet.work_ms * 1000), key)

    def note(self, sidecar: int, text: str) -> None:
        if self.log.maxlen:
            self.log.append(f"{self.timeline.now / SECOND:9.3f}  sidecar {sidecar}: {text}")

    def look(self) -> None:
        """What servers have at them, the share of sidecars that refuse them, and who sees the fleet wrong."""
        if isinstance(self.peering, Peering):
            self.views_wrong.append(len(self.peering.wrong(LOOKED_AT)))
        self.at_servers.append([self.servers[number].at_it for number in self.places])
        refused = [0] * len(self.places)
        step = max(1, len(self.instances) // LOOKED_AT)
        looked = [one.decisions for one in self.instances[::step] if one.up]  # type: ignore[attr-defined]
        for decisions in looked:
            if isinstance(decisions, Balancer):
                for place, number in enumerate(self.places):
                    at = decisions.index_by_id.get(number)
                    refused[place] += at is not None and decisions.breaker_states[at] != 0
        self.breakers.append([count / max(1, len(looked)) for count in refused])

    def run(self, told: Callable[[float], None] | None = None) -> Result:
        """Play the plan to its end; `told` hears of each second played."""
        second = SECOND
        while second <= self.lasts:
            self.timeline.run(second)
            self.look()
            if told is not None:
                told(second / self.lasts)
            second += SECOND
        self.timeline.run(self.lasts + max(tariff.deadline for tariff in self.tariffs) + LAST_WORDS)
        return result(
            self,
            self.policy if isinstance(self.policy, str) else "other",
            self.timeline.events,
            self.at_servers,
            self.breakers,
            list(self.log),
            self.views_wrong,
        )
