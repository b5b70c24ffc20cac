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
from .ground_truth import ACTIVE, LEFT, Change, now_us
from .plan import STATES_PER_SHARE_UNIT, Plan

PHASES = {"active": ServerState.READY, "leaving": ServerState.DRAINING}
MAX_CHECKS_PER_UPDATE = 64  # settled servers of a sidecar that are looked at after each of its updates
MAX_CHECKS_PER_TICK = 2000  # and in each tick, of all sidecars in turn
MAX_VIOLATION_TEXTS = 20  # violations that are told one by one


class CheckedSidecar(Protocol):
    number: int
    updated_at: int

    @property
    def balancer(self) -> Balancer: ...


class ServerView(NamedTuple):
    """What a balancer holds of a server: its state, and whether it would send there."""

    state: int
    phase: ServerState
    selectable: bool


def server_view(balancer: Balancer, server: int) -> ServerView | None:
    at = balancer.index_by_id.get(server, -1)
    if at < 0 or balancer.listed_states[at] == ServerState.GONE:
        return None
    state = round((balancer.weights[at] - 1.0) * STATES_PER_SHARE_UNIT)
    return ServerView(
        state,
        balancer.listed_states[at],
        balancer.listed_states[at] == ServerState.READY and at in balancer.ready,
    )


def is_applied(seen: ServerView | None, change: Change, latest: Change) -> bool:
    """Whether a balancer goes by a change, or by a later one of the same server."""
    if seen is None:
        return change.health != ACTIVE or latest.health == LEFT
    if seen.state != change.state:
        return seen.state > change.state
    return seen.phase == PHASES.get(change.health) and seen.selectable == (change.health == ACTIVE)


class ViewChecker:
    def __init__(
        self, plan: Plan, sidecars: Sequence[CheckedSidecar], read_changes: Callable[[], Iterable[Change]]
    ) -> None:
        self.plan, self.sidecars, self.read_changes = plan, sidecars, read_changes
        self.server_ids = [stable_id(plan.server_name(server)) for server in range(plan.options.sidecars)]
        self.callers: dict[int, list[CheckedSidecar]] = {}
        for sidecar in sidecars:
            for service in plan.called_services[sidecar.number]:
                self.callers.setdefault(service, []).append(sidecar)
        self.latest: dict[int, Change] = {}
        self.pending: dict[int, list[Change]] = {sidecar.number: [] for sidecar in sidecars}
        self.with_pending: dict[int, CheckedSidecar] = {}  # those with something pending
        self.with_applied: list[CheckedSidecar] = []  # those with something held
        self.seen_states: dict[int, dict[int, int]] = {
            sidecar.number: {} for sidecar in sidecars
        }  # highest state
        # By change and the sidecar's region: how long each took, in microseconds.
        self.delays_us: dict[tuple[int, int], dict[int, list[int]]] = {}
        self.violations: dict[str, int] = {}
        self.violation_texts: list[str] = []
        self.next_index = 0

    def record_violation(self, kind: str, sidecar: CheckedSidecar, server: int) -> None:
        self.violations[kind] = self.violations.get(kind, 0) + 1
        if len(self.violation_texts) < MAX_VIOLATION_TEXTS:
            self.violation_texts.append(f"{kind}: sidecar {sidecar.number}, {self.plan.server_name(server)}")

    # -- while it runs

    def tick(self, at: int) -> None:
        self.read_ledgers()
        for sidecar in list(self.with_pending.values()):
            self.check_pending(sidecar, at)
        done = 0
        for _ in range(len(self.with_applied)):
            if done >= MAX_CHECKS_PER_TICK:
                break
            self.next_index = (self.next_index + 1) % len(self.with_applied)
            done += 1 + self.check_applied(self.with_applied[self.next_index])

    def read_ledgers(self) -> None:
        for change in self.read_changes():
            self.latest[change.server] = change
            for sidecar in self.callers.get(self.plan.service_of[change.server], ()):
                self.pending[sidecar.number].append(change)
                self.with_pending[sidecar.number] = sidecar

    def list_updated(self, sidecar: CheckedSidecar, whole: bool) -> None:
        if sidecar.number in self.with_pending:
            self.check_pending(sidecar, sidecar.updated_at)
        if whole or len(self.seen_states[sidecar.number]) <= MAX_CHECKS_PER_UPDATE:
            self.check_applied(sidecar)

    def check_pending(self, sidecar: CheckedSidecar, at: int) -> None:
        """Which of the changes that it had not are in force now: since its last update at the earliest."""
        left = []
        region = self.plan.region_of(sidecar.number)
        held = self.seen_states[sidecar.number]
        for change in self.pending[sidecar.number]:
            if is_applied(
                server_view(sidecar.balancer, self.server_ids[change.server]),
                change,
                self.latest[change.server],
            ):
                since = min(at, max(change.at, sidecar.updated_at))
                took = self.delays_us.setdefault((change.server, change.state), {})
                took.setdefault(region, []).append(max(0, since - change.at))
                if not held:
                    self.with_applied.append(sidecar)
                held[change.server] = max(change.state, held.get(change.server, 0))
            else:
                left.append(change)
        self.pending[sidecar.number] = left
        if not left:
            del self.with_pending[sidecar.number]

    def check_applied(self, sidecar: CheckedSidecar) -> int:
        """Whether one of its servers is in an older state than before, or missing.  Tells how many it saw."""
        held = self.seen_states[sidecar.number]
        for server, state in held.items():
            seen = server_view(sidecar.balancer, self.server_ids[server])
            if seen is None:
                if state < 0 or self.latest[server].health != ACTIVE or self.latest[server].state > state:
                    continue
                self.read_ledgers()  # it may be ahead of what has been read of the truth
                if self.latest[server].state == state:
                    self.record_violation("lost", sidecar, server)
                    held[server] = -1  # told once
            elif seen.state < state:
                self.record_violation("back", sidecar, server)
                held[server] = seen.state
            elif seen.state > state:
                held[server] = seen.state
        return len(held)

    def pending_count(self) -> int:
        return sum(len(self.pending[number]) for number in self.with_pending)

    # -- at the end

    def check_final_views(self) -> None:
        """Everything that each sidecar holds against the truth, once all is told."""
        self.read_ledgers()
        for sidecar in self.sidecars:
            for service in self.plan.called_services[sidecar.number]:
                for server in self.plan.servers_of[service]:
                    self.check_final_view(sidecar, server)

    def check_final_view(self, sidecar: CheckedSidecar, server: int) -> None:
        latest = self.latest.get(server) or Change(0, server, 0, ACTIVE, 0)
        seen = server_view(sidecar.balancer, self.server_ids[server])
        if seen is None:
            if latest.health != LEFT:
                self.record_violation("missing_at_end", sidecar, server)
        elif latest.health == LEFT or not is_applied(seen, latest, latest):
            self.record_violation("old_at_end", sidecar, server)

    def findings(self) -> dict[str, Any]:
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
                for (server, state), regions in self.delays_us.items()
                for region, times in regions.items()
            ],
            "missing": [
                [server, state, region, count]
                for (server, state), regions in missing.items()
                for region, count in regions.items()
            ],
            "bad": self.violations,
            "named": self.violation_texts,
            "at": now_us(),
        }
