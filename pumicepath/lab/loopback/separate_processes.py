"""A sidecar, its servers and its clients in separate processes, for benchmarks that give each a core.

`run_servers` runs the model's servers in the calling process and yields the configuration of the sidecar;
`run_clients` plays the clients of a plan and returns their results.  The benchmark starts the sidecar.
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
    """Counts how often each submission ran on the servers; the clients' process checks everything else."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.run_counts = Counter[int]()

    def hop_sent(self, sidecar: int, server: int, ask: int, answered: bool = False) -> None: ...

    def hop_returned(self, ask: int) -> None: ...

    def work_started(self, now: int, job: Job, server: Server) -> bool:
        self.run_counts[job.submission_id] += 1
        return True


class ServerSide:
    """The servers and the discovery server of one sidecar, with the sidecar's configuration."""

    def __init__(
        self, world: LoopbackWorld, execution_counter: ExecutionCounter, configuration: dict[str, Any]
    ) -> None:
        self.world = world
        self.execution_counter = execution_counter
        self.configuration = configuration

    def set_speed(self, factor: float) -> None:
        """Makes all servers work at this fraction of their normal speed."""
        for server in self.world.servers.values():
            server.set_speed_factor(factor)

    def run_counts(self) -> Counter[int]:
        """Returns how often each submission ran, by the numbers that clients give them."""
        return self.execution_counter.run_counts


@asynccontextmanager
async def run_servers(plan: Plan, seed: int, folder: Path) -> AsyncIterator[ServerSide]:
    """Runs the servers of a plan for its only sidecar, which the caller starts."""
    counters: list[ExecutionCounter] = []

    def make_counter(*args: Any) -> ExecutionCounter:
        counters.append(ExecutionCounter(*args))
        return counters[0]

    world = LoopbackWorld(plan, seed, folder, make_rule_checker=make_counter)
    try:
        sidecar = world.sidecars[0]
        await sidecar.discovery.open()
        configuration = sidecar.configuration()
        world.registry.register(sidecar.number, sidecar.discovery)
        yield ServerSide(world, counters[0], configuration)
    finally:
        await world.close()


@dataclass
class ClientResults:
    """Results of clients; each column has a count per second in which submissions were due."""

    columns: dict[str, list[int]]
    latencies_us: list[int]
    rejection_times_us: list[int]
    tick_delay_ms: float  # 99th percentile of the event loop's delay
    non_idempotent: set[int] = field(default_factory=set)  # numbers of non-idempotent submissions
    violations: dict[str, int] = field(default_factory=dict)

    def merge(self, other: ClientResults) -> None:
        """Adds the results of other clients in the same seconds."""
        for name, column in other.columns.items():
            self.columns[name] = [a + b for a, b in zip(self.columns[name], column)]
        self.latencies_us += other.latencies_us
        self.rejection_times_us += other.rejection_times_us
        self.tick_delay_ms = max(self.tick_delay_ms, other.tick_delay_ms)
        self.non_idempotent |= other.non_idempotent
        self.violations = {cause: count + other.violations[cause] for cause, count in self.violations.items()}


class ClientRuleChecker(RuleChecker):
    """Checks what clients see and collects non-idempotent submissions; hops at servers are unknown here."""

    def __init__(self, non_idempotent: set[int], *args: Any) -> None:
        super().__init__(*args)
        self.non_idempotent = non_idempotent

    def try_admitted(self, submission_id: int, class_index: int, deadline_at: int) -> None:
        if self.request_classes[class_index].effect != 0:
            self.non_idempotent.add(submission_id)
        super().try_admitted(submission_id, class_index, deadline_at)


class ClientWorld(World):
    """A world of which only the clients are used."""

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
            make_rule_checker=lambda *args: ClientRuleChecker(self.non_idempotent, *args),
        )

    def start_task(self, work: Coroutine[Any, Any, Any]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def note(self, text: str) -> None:
        """Ignores the line: unexpected events show in the columns."""


class RemoteSidecar(ClientConnections):
    """The connections to the sidecar under test; `number` is that of this group of clients."""

    def __init__(
        self, world: ClientWorld, number: int, address: tuple[str, int], max_connections: int
    ) -> None:
        super().__init__(world, max_connections)
        self.number = number
        self.address = address
        self.up = True
        self.start_count = 1


async def play_clients(
    plan: Plan, seed: int, address: tuple[str, int], number: int, max_connections: int
) -> ClientResults:
    """Plays one group of clients in the running event loop, until the last deadline is over."""
    world = ClientWorld(plan, seed)
    sidecar = RemoteSidecar(world, number, address, max_connections)
    world.timeline.started_at = world.loop.time()
    world.start_task(world.timeline.measure_ticks())
    world.make_clients(sidecar, sidecar).start()  # type: ignore[arg-type]
    deadline_s = max(request_class.deadline for request_class in world.request_classes) / 1e6
    await asyncio.sleep(plan.lasts_s + deadline_s + 0.3)
    for task in list(world.tasks):
        task.cancel()
    await asyncio.gather(*world.tasks, return_exceptions=True)
    tally = world.tally
    return ClientResults(
        {name: list(getattr(tally, name)) for name in TALLY_COLUMNS},
        [latency for latencies in tally.latencies for latency in latencies],
        list(sidecar.rejection_times_us),
        world.timeline.p99_tick_delay_ms(),
        world.non_idempotent,
        dict(world.rule_checker.violations),
    )


def run_clients(
    plan: Plan, seed: int, address: tuple[str, int], number: int, max_connections: int
) -> ClientResults:
    """Plays one group of clients in this process, on at most `max_connections` connections."""
    return asyncio.run(play_clients(plan, seed, address, number, max_connections))
