"""One sidecar that another process runs, its servers in a process of their own and clients in others.

For benchmarks, which give each of them a core: `serving` stands the model's servers up and gives the
sidecar's configuration; `clients` plays the plan's clients and gives what they met.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..model.rule_checker import RuleChecker
from ..model.servers import Job, Server
from ..model.world import World
from ..spec import Plan
from .client_connections import ClientConnections
from .clock import EventLoopTimeline
from .world import SLACK_US, LoopbackWorld

TALLY_COLUMNS = ("offered", "good", "late", "deferred", "forfeited", "left", "lost", "refused")


class ExecutionCounter(RuleChecker):
    """Beside servers whose clients are elsewhere: how often each submission ran; the rest is judged there."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.run_counts = Counter[int]()

    def hop_sent(self, sidecar: int, server: int, ask: int, answered: bool = False) -> None: ...

    def hop_returned(self, ask: int) -> None: ...

    def work_started(self, now: int, job: Job, server: Server) -> bool:
        self.run_counts[job.submission_id] += 1
        return True


class ServerSide:
    """The servers and the list of one sidecar; `told` is its configuration."""

    def __init__(
        self, world: LoopbackWorld, execution_counter: ExecutionCounter, configuration: dict[str, Any]
    ) -> None:
        self.world = world
        self.execution_counter = execution_counter
        self.configuration = configuration

    def set_speed(self, factor: float) -> None:
        for server in self.world.servers.values():
            server.set_speed_factor(factor)

    def run_counts(self) -> Counter[int]:
        """How often each submission ran, by the numbers that clients give them."""
        return self.execution_counter.run_counts


@asynccontextmanager
async def run_servers(plan: Plan, seed: int, folder: Path) -> AsyncIterator[ServerSide]:
    made: list[ExecutionCounter] = []

    def counting(*given: Any) -> ExecutionCounter:
        made.append(ExecutionCounter(*given))
        return made[0]

    world = LoopbackWorld(plan, seed, folder, make_rule_checker=counting)
    try:
        sidecar = world.sidecars[0]
        await sidecar.discovery.open()
        told = sidecar.configuration()
        world.registry.register(sidecar.number, sidecar.discovery)
        yield ServerSide(world, made[0], told)
    finally:
        await world.close()


@dataclass
class ClientResults:
    """What clients met, by the seconds in which submissions should have gone out; times in microseconds."""

    columns: dict[str, list[int]]
    latencies_us: list[int]
    rejection_times_us: list[int]
    tick_delay_ms: float  # by which one of a hundred ticks was late
    non_idempotent: set[int] = field(default_factory=set)  # submissions that may not be repeated
    violations: dict[str, int] = field(default_factory=dict)

    def merge(self, other: ClientResults) -> None:
        """Add what other clients met in the same seconds."""
        for name, column in other.columns.items():
            self.columns[name] = [a + b for a, b in zip(self.columns[name], column)]
        self.latencies_us += other.latencies_us
        self.rejection_times_us += other.rejection_times_us
        self.tick_delay_ms = max(self.tick_delay_ms, other.tick_delay_ms)
        self.non_idempotent |= other.non_idempotent
        self.violations = {cause: count + other.violations[cause] for cause, count in self.violations.items()}


class ClientRuleChecker(RuleChecker):
    """Of the clients; what reached servers is not known here."""

    def __init__(self, non_idempotent: set[int], *given: Any) -> None:
        super().__init__(*given)
        self.non_idempotent = non_idempotent

    def try_admitted(self, ask: int, tariff: int, until: int) -> None:
        if self.request_classes[tariff].effect != 0:
            self.non_idempotent.add(ask)
        super().try_admitted(ask, tariff, until)


class ClientWorld(World):
    timeline: EventLoopTimeline

    def __init__(self, plan: Plan, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.non_idempotent: set[int] = set()
        super().__init__(
            plan,
            seed,
            EventLoopTimeline(self.loop),
            answer_slack=SLACK_US,
            make_rule_checker=lambda *given: ClientRuleChecker(self.non_idempotent, *given),
        )

    def start_task(self, work: Coroutine[Any, Any, Any]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def note(self, text: str) -> None:
        """What is odd shows in the columns."""


class RemoteSidecar(ClientConnections):
    """The one that is asked; `number` is that of this group of clients."""

    def __init__(self, crowd: ClientWorld, number: int, where: tuple[str, int], most: int) -> None:
        super().__init__(crowd, most)
        self.number = number
        self.where = where
        self.up = True
        self.starts = 1


async def play_clients(
    plan: Plan, seed: int, address: tuple[str, int], number: int, max_connections: int
) -> ClientResults:
    crowd = ClientWorld(plan, seed)
    sidecar = RemoteSidecar(crowd, number, address, max_connections)
    crowd.timeline.started_at = crowd.loop.time()
    crowd.start_task(crowd.timeline.measure_ticks())
    crowd.make_clients(sidecar, sidecar).start()  # type: ignore[arg-type]
    patience = max(tariff.deadline for tariff in crowd.request_classes) / 1e6
    await asyncio.sleep(plan.lasts_s + patience + 0.3)
    for task in list(crowd.tasks):
        task.cancel()
    await asyncio.gather(*crowd.tasks, return_exceptions=True)
    tally = crowd.tally
    return ClientResults(
        {name: list(getattr(tally, name)) for name in TALLY_COLUMNS},
        [spent for each in tally.latencies for spent in each],
        list(sidecar.rejection_times_us),
        crowd.timeline.p99_tick_delay_ms(),
        crowd.non_idempotent,
        dict(crowd.rule_checker.violations),
    )


def run_clients(
    plan: Plan, seed: int, address: tuple[str, int], number: int, max_connections: int
) -> ClientResults:
    """Play one group of clients, on at most so many connections, in this process."""
    return asyncio.run(play_clients(plan, seed, address, number, max_connections))
