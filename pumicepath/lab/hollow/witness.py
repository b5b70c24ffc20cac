"""Judges from outside what the balancers of some sidecars hold, against the truth that the origins wrote.

    witness = Witness(plan, sidecars, truth)
    witness.tick(now); witness.updated(sidecar, whole); witness.compare(); witness.found()

It asks no watch: it looks at which servers a balancer would send to.  Each state of a server has a share of
its own (1 + state / STEP), so that the share that a balancer holds tells which state of the server that is.
Of each sidecar it looks at the servers of the services that the sidecar calls.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple, Protocol

from ...balancer import Balancer
from ...discovery.server_list import stable_id
from ...interface import ServerState
from .plan import STEP, Plan
from .truth import ACTIVE, LEFT, Change, now

PHASES = {"active": ServerState.READY, "leaving": ServerState.DRAINING}
AT_ONCE = 64  # settled servers of a sidecar that are looked at after each of its updates
A_TICK = 2000  # and in each tick, of all sidecars in turn
MOST_NAMED = 20  # violations that are told one by one


class Sidecar(Protocol):
    number: int
    updated_at: int

    @property
    def balancer(self) -> Balancer: ...


class View(NamedTuple):
    """What a balancer holds of a server: its state, and whether it would send there."""

    state: int
    phase: ServerState
    used: bool


def view(balancer: Balancer, server: int) -> View | None:
    at = balancer.index_by_id.get(server, -1)
    if at < 0 or balancer.listed_states[at] == ServerState.GONE:
        return None
    state = round((balancer.weights[at] - 1.0) * STEP)
    return View(
        state,
        balancer.listed_states[at],
        balancer.listed_states[at] == ServerState.READY and at in balancer.ready,
    )


def in_force(seen: View | None, change: Change, latest: Change) -> bool:
    """Whether a balancer goes by a change, or by a later one of the same server."""
    if seen is None:
        return change.health != ACTIVE or latest.health == LEFT
    if seen.state != change.state:
        return seen.state > change.state
    return seen.phase == PHASES.get(change.health) and seen.used == (change.health == ACTIVE)


class Witness:
    def __init__(
        self, plan: Plan, sidecars: Sequence[Sidecar], truth: Callable[[], Iterable[Change]]
    ) -> None:
        self.plan, self.sidecars, self.truth = plan, sidecars, truth
        self.ids = [stable_id(plan.server_name(server)) for server in range(plan.ask.sidecars)]
        self.callers: dict[int, list[Sidecar]] = {}
        for sidecar in sidecars:
            for service in plan.calls[sidecar.number]:
                self.callers.setdefault(service, []).append(sidecar)
        self.latest: dict[int, Change] = {}
        self.pending: dict[int, list[Change]] = {sidecar.number: [] for sidecar in sidecars}
        self.behind: dict[int, Sidecar] = {}  # those with something pending
        self.settled: list[Sidecar] = []  # those with something held
        self.held: dict[int, dict[int, int]] = {sidecar.number: {} for sidecar in sidecars}  # highest state
        # By change and the sidecar's region: how long each took, in microseconds.
        self.took: dict[tuple[int, int], dict[int, list[int]]] = {}
        self.bad: dict[str, int] = {}
        self.named: list[str] = []
        self.turn = 0

    def violation(self, kind: str, sidecar: Sidecar, server: int) -> None:
        self.bad[kind] = self.bad.get(kind, 0) + 1
        if len(self.named) < MOST_NAMED:
            self.named.append(f"{kind}: sidecar {sidecar.number}, {self.plan.server_name(server)}")

    # -- while it runs

    def tick(self, at: int) -> None:
        self.learn()
        for sidecar in list(self.behind.values()):
            self.look(sidecar, at)
        done = 0
        for _ in range(len(self.settled)):
            if done >= A_TICK:
                break
            self.turn = (self.turn + 1) % len(self.settled)
            done += 1 + self.look_back(self.settled[self.turn])

    def learn(self) -> None:
        for change in self.truth():
            self.latest[change.server] = change
            for sidecar in self.callers.get(self.plan.service_of[change.server], ()):
                self.pending[sidecar.number].append(change)
                self.behind[sidecar.number] = sidecar

    def updated(self, sidecar: Sidecar, whole: bool) -> None:
        if sidecar.number in self.behind:
            self.look(sidecar, sidecar.updated_at)
        if whole or len(self.held[sidecar.number]) <= AT_ONCE:
            self.look_back(sidecar)

    def look(self, sidecar: Sidecar, at: int) -> None:
        """Which of the changes that it had not are in force now: since its last update at the earliest."""
        left = []
        region = self.plan.region_of(sidecar.number)
        held = self.held[sidecar.number]
        for change in self.pending[sidecar.number]:
            if in_force(view(sidecar.balancer, self.ids[change.server]), change, self.latest[change.server]):
                since = min(at, max(change.at, sidecar.updated_at))
                took = self.took.setdefault((change.server, change.state), {})
                took.setdefault(region, []).append(max(0, since - change.at))
                if not held:
                    self.settled.append(sidecar)
                held[change.server] = max(change.state, held.get(change.server, 0))
            else:
                left.append(change)
        self.pending[sidecar.number] = left
        if not left:
            del self.behind[sidecar.number]

    def look_back(self, sidecar: Sidecar) -> int:
        """Whether one of its servers is in an older state than before, or missing.  Tells how many it saw."""
        held = self.held[sidecar.number]
        for server, state in held.items():
            seen = view(sidecar.balancer, self.ids[server])
            if seen is None:
                if state < 0 or self.latest[server].health != ACTIVE or self.latest[server].state > state:
                    continue
                self.learn()  # it may be ahead of what has been read of the truth
                if self.latest[server].state == state:
                    self.violation("lost", sidecar, server)
                    held[server] = -1  # told once
            elif seen.state < state:
                self.violation("back", sidecar, server)
                held[server] = seen.state
            elif seen.state > state:
                held[server] = seen.state
        return len(held)

    def waiting(self) -> int:
        return sum(len(self.pending[number]) for number in self.behind)

    # -- at the end

    def compare(self) -> None:
        """Everything that each sidecar holds against the truth, once all is told."""
        self.learn()
        for sidecar in self.sidecars:
            for service in self.plan.calls[sidecar.number]:
                for server in self.plan.servers_of[service]:
                    self.compare_one(sidecar, server)

    def compare_one(self, sidecar: Sidecar, server: int) -> None:
        latest = self.latest.get(server) or Change(0, server, 0, ACTIVE, 0)
        seen = view(sidecar.balancer, self.ids[server])
        if seen is None:
            if latest.health != LEFT:
                self.violation("missing_at_end", sidecar, server)
        elif latest.health == LEFT or not in_force(seen, latest, latest):
            self.violation("old_at_end", sidecar, server)

    def found(self) -> dict[str, Any]:
        """All that was seen, as told to the run: times in microseconds."""
        missing: dict[tuple[int, int], dict[int, int]] = {}
        for sidecar in self.sidecars:
            for change in self.pending[sidecar.number]:
                regions = missing.setdefault((change.server, change.state), {})
                region = self.plan.region_of(sidecar.number)
                regions[region] = regions.get(region, 0) + 1
        return {
            "took": [
                [server, state, region, times]
                for (server, state), regions in self.took.items()
                for region, times in regions.items()
            ],
            "missing": [
                [server, state, region, count]
                for (server, state), regions in missing.items()
                for region, count in regions.items()
            ],
            "bad": self.bad,
            "named": self.named,
            "at": now(),
        }
