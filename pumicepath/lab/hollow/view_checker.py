"""Compares what the balancers of some sidecars hold with the ground truth that the origins wrote.

    checker = ViewChecker(plan, sidecars, read_changes)
    checker.tick(now); checker.list_updated(sidecar, whole); checker.check_final_views(); checker.findings()

It does not rely on the watches under test but examines which servers a balancer would send to.  Each state
of a server has its own share (1 + state / STATES_PER_SHARE_UNIT), so that the share in a balancer identifies
the state.  For each sidecar it checks the servers of the services that the sidecar calls.
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
MAX_CHECKS_PER_UPDATE = 64  # if a sidecar has more servers, only full lists and ticks check them
MAX_CHECKS_PER_TICK = 2000  # servers of all sidecars, round-robin
MAX_VIOLATION_TEXTS = 20  # violations that are reported one by one; others are only counted


class CheckedSidecar(Protocol):
    """What the checker needs of a sidecar; `updated_at` is the time of its last list update."""

    number: int
    updated_at: int

    @property
    def balancer(self) -> Balancer: ...


class ServerView(NamedTuple):
    """A balancer's view of a server: the server's state, and whether the balancer would send to it."""

    state: int
    phase: ServerState
    selectable: bool


def server_view(balancer: Balancer, server: int) -> ServerView | None:
    """The balancer's view of a server, None if it does not list the server."""
    slot = balancer.index_by_id.get(server, -1)
    if slot < 0 or balancer.listed_states[slot] == ServerState.GONE:
        return None
    state = round((balancer.weights[slot] - 1.0) * STATES_PER_SHARE_UNIT)
    return ServerView(
        state,
        balancer.listed_states[slot],
        balancer.listed_states[slot] == ServerState.READY and slot in balancer.ready,
    )


def is_applied(view: ServerView | None, change: Change, latest: Change) -> bool:
    """Whether a balancer has applied a change, or a later one of the same server."""
    if view is None:
        return change.health != ACTIVE or latest.health == LEFT
    if view.state != change.state:
        return view.state > change.state
    return view.phase == PHASES.get(change.health) and view.selectable == (change.health == ACTIVE)


class ViewChecker:
    """Records for each change when each sidecar applied it, and counts violations.

    The kinds of violations are "lost" (a server disappeared), "back" (it returned to an older state) and, at
    the end, "missing_at_end" and "old_at_end".
    """

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
        self.with_pending: dict[int, CheckedSidecar] = {}  # sidecars that have not applied a change yet
        self.with_applied: list[CheckedSidecar] = []  # sidecars that have applied one
        # Last state seen, by sidecar and server; -1 if the server was lost.
        self.seen_states: dict[int, dict[int, int]] = {sidecar.number: {} for sidecar in sidecars}
        # Delays until sidecars applied a change, by the change and the sidecars' region.
        self.delays_us: dict[tuple[int, int], dict[int, list[int]]] = {}
        self.violations: dict[str, int] = {}
        self.violation_texts: list[str] = []
        self.next_index = 0

    def record_violation(self, kind: str, sidecar: CheckedSidecar, server: int) -> None:
        """Count a violation, and describe it if there are few so far."""
        self.violations[kind] = self.violations.get(kind, 0) + 1
        if len(self.violation_texts) < MAX_VIOLATION_TEXTS:
            self.violation_texts.append(f"{kind}: sidecar {sidecar.number}, {self.plan.server_name(server)}")

    # -- during the run

    def tick(self, now: int) -> None:
        """Check all pending changes, and some of the applied ones in turn."""
        self.read_ledgers()
        for sidecar in list(self.with_pending.values()):
            self.check_pending(sidecar, now)
        checked = 0
        for _ in range(len(self.with_applied)):
            if checked >= MAX_CHECKS_PER_TICK:
                break
            self.next_index = (self.next_index + 1) % len(self.with_applied)
            checked += 1 + self.check_applied(self.with_applied[self.next_index])

    def read_ledgers(self) -> None:
        """Add new changes of the origins to the pending ones of the sidecars that call the service."""
        for change in self.read_changes():
            self.latest[change.server] = change
            for sidecar in self.callers.get(self.plan.service_of[change.server], ()):
                self.pending[sidecar.number].append(change)
                self.with_pending[sidecar.number] = sidecar

    def list_updated(self, sidecar: CheckedSidecar, whole: bool) -> None:
        """Check a sidecar whose list has just been updated."""
        if sidecar.number in self.with_pending:
            self.check_pending(sidecar, sidecar.updated_at)
        if whole or len(self.seen_states[sidecar.number]) <= MAX_CHECKS_PER_UPDATE:
            self.check_applied(sidecar)

    def check_pending(self, sidecar: CheckedSidecar, now: int) -> None:
        """Record which pending changes the sidecar has applied: with its last update, at the earliest."""
        remaining = []
        region = self.plan.region_of(sidecar.number)
        states = self.seen_states[sidecar.number]
        for change in self.pending[sidecar.number]:
            if is_applied(
                server_view(sidecar.balancer, self.server_ids[change.server]),
                change,
                self.latest[change.server],
            ):
                applied_at = min(now, max(change.at, sidecar.updated_at))
                delays = self.delays_us.setdefault((change.server, change.state), {})
                delays.setdefault(region, []).append(max(0, applied_at - change.at))
                if not states:
                    self.with_applied.append(sidecar)
                states[change.server] = max(change.state, states.get(change.server, 0))
            else:
                remaining.append(change)
        self.pending[sidecar.number] = remaining
        if not remaining:
            del self.with_pending[sidecar.number]

    def check_applied(self, sidecar: CheckedSidecar) -> int:
        """Check that no server of the sidecar is missing or in an older state than before.

        Returns the number of servers checked.
        """
        states = self.seen_states[sidecar.number]
        for server, state in states.items():
            view = server_view(sidecar.balancer, self.server_ids[server])
            if view is None:
                if state < 0 or self.latest[server].health != ACTIVE or self.latest[server].state > state:
                    continue
                self.read_ledgers()  # the sidecar may be ahead of the changes read so far
                if self.latest[server].state == state:
                    self.record_violation("lost", sidecar, server)
                    states[server] = -1  # report it once
            elif view.state < state:
                self.record_violation("back", sidecar, server)
                states[server] = view.state
            elif view.state > state:
                states[server] = view.state
        return len(states)

    def pending_count(self) -> int:
        """The number of pairs of a sidecar and a change that it has not applied."""
        return sum(len(self.pending[number]) for number in self.with_pending)

    # -- at the end

    def check_final_views(self) -> None:
        """Compare all views with the ground truth after all changes have been sent."""
        self.read_ledgers()
        for sidecar in self.sidecars:
            for service in self.plan.called_services[sidecar.number]:
                for server in self.plan.servers_of[service]:
                    self.check_final_view(sidecar, server)

    def check_final_view(self, sidecar: CheckedSidecar, server: int) -> None:
        """Compare one sidecar's view of a server with the ground truth."""
        latest = self.latest.get(server) or Change(0, server, 0, ACTIVE, 0)
        view = server_view(sidecar.balancer, self.server_ids[server])
        if view is None:
            if latest.health != LEFT:
                self.record_violation("missing_at_end", sidecar, server)
        elif latest.health == LEFT or not is_applied(view, latest, latest):
            self.record_violation("old_at_end", sidecar, server)

    def findings(self) -> dict[str, Any]:
        """Return the findings for `Evaluation.add_findings`, with times in microseconds."""
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
