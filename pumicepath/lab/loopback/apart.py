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
from .clock import Live
from .wires import Wires
from .world import SLACK, LiveWorld

COLUMNS = ("offered", "good", "late", "deferred", "forfeited", "left", "lost", "refused")


class Counting(RuleChecker):
    """Beside servers whose clients are elsewhere: how often each submission ran; the rest is judged there."""

    def __init__(self, *given: Any) -> None:
        super().__init__(*given)
        self.times = Counter[int]()

    def hop_sent(self, sidecar: int, server: int, ask: int, answered: bool = False) -> None: ...

    def hop_returned(self, ask: int) -> None: ...

    def work_started(self, now: int, job: Job, server: Server) -> bool:
        self.times[job.submission_id] += 1
        return True


class Serving:
    """The servers and the list of one sidecar; `told` is its configuration."""

    def __init__(self, world: LiveWorld, counting: Counting, told: dict[str, Any]) -> None:
        self.world = world
        self.counting = counting
        self.told = told

    def slowed(self, factor: float) -> None:
        for server in self.world.servers.values():
            server.set_speed_factor(factor)

    def ran(self) -> Counter[int]:
        """How often each submission ran, by the numbers that clients give them."""
        return self.counting.times


@asynccontextmanager
async def serving(plan: Plan, seed: int, folder: Path) -> AsyncIterator[Serving]:
    made: list[Counting] = []

    def counting(*given: Any) -> Counting:
        made.append(Counting(*given))
        return made[0]

    world = LiveWorld(plan, seed, folder, judging=counting)
    try:
        sidecar = world.sidecars[0]
        await sidecar.desk.open()
        told = sidecar.configuration()
        world.registry.register(sidecar.number, sidecar.desk)
        yield Serving(world, made[0], told)
    finally:
        await world.end()


@dataclass
class Met:
    """What clients met, by the seconds in which submissions should have gone out; times in microseconds."""

    columns: dict[str, list[int]]
    times: list[int]
    deferrals: list[int]
    behind_ms: float  # by which one of a hundred ticks was late
    once: set[int] = field(default_factory=set)  # submissions that may not be repeated
    broken: dict[str, int] = field(default_factory=dict)

    def merge(self, other: Met) -> None:
        """Add what other clients met in the same seconds."""
        for name, column in other.columns.items():
            self.columns[name] = [a + b for a, b in zip(self.columns[name], column)]
        self.times += other.times
        self.deferrals += other.deferrals
        self.behind_ms = max(self.behind_ms, other.behind_ms)
        self.once |= other.once
        self.broken = {cause: count + other.broken[cause] for cause, count in self.broken.items()}


class Noting(RuleChecker):
    """Of the clients; what reached servers is not known here."""

    def __init__(self, once: set[int], *given: Any) -> None:
        super().__init__(*given)
        self.once = once

    def try_admitted(self, ask: int, tariff: int, until: int) -> None:
        if self.request_classes[tariff].effect != 0:
            self.once.add(ask)
        super().try_admitted(ask, tariff, until)


class Crowd(World):
    timeline: Live

    def __init__(self, plan: Plan, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.tasks: set[asyncio.Task[Any]] = set()
        self.once: set[int] = set()
        super().__init__(
            plan,
            seed,
            Live(self.loop),
            answer_slack=SLACK,
            make_rule_checker=lambda *given: Noting(self.once, *given),
        )

    def keep(self, work: Coroutine[Any, Any, Any]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def note(self, text: str) -> None:
        """What is odd shows in the columns."""


class Sidecar(Wires):
    """The one that is asked; `number` is that of this group of clients."""

    def __init__(self, crowd: Crowd, number: int, where: tuple[str, int], most: int) -> None:
        super().__init__(crowd, most)
        self.number = number
        self.where = where
        self.up = True
        self.starts = 1


async def meet(plan: Plan, seed: int, where: tuple[str, int], number: int, most: int) -> Met:
    crowd = Crowd(plan, seed)
    sidecar = Sidecar(crowd, number, where, most)
    crowd.timeline.began = crowd.loop.time()
    crowd.keep(crowd.timeline.tick())
    crowd.make_clients(sidecar, sidecar).start()  # type: ignore[arg-type]
    patience = max(tariff.patience for tariff in crowd.request_classes) / 1e6
    await asyncio.sleep(plan.lasts_s + patience + 0.3)
    for task in list(crowd.tasks):
        task.cancel()
    await asyncio.gather(*crowd.tasks, return_exceptions=True)
    tally = crowd.tally
    return Met(
        {name: list(getattr(tally, name)) for name in COLUMNS},
        [spent for each in tally.latencies for spent in each],
        list(sidecar.deferrals),
        crowd.timeline.behind(),
        crowd.once,
        dict(crowd.rule_checker.violations),
    )


def clients(plan: Plan, seed: int, where: tuple[str, int], number: int, most: int) -> Met:
    """Play one group of clients, on at most so many connections, in this process."""
    return asyncio.run(meet(plan, seed, where, number, most))
