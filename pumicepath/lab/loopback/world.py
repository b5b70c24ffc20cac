"""The model behind real sockets: one event loop for servers, list and clients; sidecars are processes."""

from __future__ import annotations

import asyncio
import functools
import tempfile
from collections import deque
from collections.abc import Callable, Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

from ..fault_kinds import KINDS
from ..faults.history import VERSION, History
from ..faults.recording import Recorded
from ..model.links import Links
from ..model.result import Result, collect_result
from ..model.rule_checker import RuleChecker
from ..model.timeline import SECOND
from ..model.world import World
from ..spec import Plan
from .clock import Live
from .relays import Relays
from .servers import Door, LiveServer
from .sidecars import READY_S, LiveSidecar

SLACK = 60_000  # microseconds that the loop and the kernel may take between an act and its sight
MOST_BEHIND_MS = 25.0  # ticks later than this mean that the stand-ins, not the sidecars, were too slow
KEPT_LINES = 2000
LOOK_S = 0.5  # between two looks at what sidecars see of each other,
LOOK_AT_DUTIES_S = 0.1  # and at what each of them holds, where there are few of them,
MOST_LOOKS = 100.0  # a second, of all: the rig must not be what is slow
SEEDS = VOTERS = 3


class Void(Exception):
    """The run says nothing; the text says why."""


class LiveWorld(World):
    """Ports and descriptors: one listener a server and a list for each sidecar; all of it on 127.0.0.1."""

    timeline: Live

    def __init__(
        self,
        plan: Plan,
        seed: int,
        folder: Path,
        history: Path | None = None,
        judging: Callable[..., RuleChecker] | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        timeline = Live(self.loop)
        self.playing = False
        self.history = History(history, lambda: timeline.now if self.playing else 0)
        self.history.write("rig", "run", version=VERSION, seed=seed, slack=SLACK, plan=plan.model_dump())
        self.tasks: set[asyncio.Task[Any]] = set()
        self.processes: list[asyncio.subprocess.Process] = []
        self.doors: dict[int, Door] = {}
        self.log: deque[str] = deque(maxlen=KEPT_LINES)
        self.over = False
        self.faults: list[str] = []  # of the stand-ins themselves
        self.loop.set_exception_handler(self.fault)
        self.at_servers: list[list[int]] = []
        self.breakers: list[list[float]] = []
        super().__init__(
            plan,
            seed,
            timeline,
            LiveServer,
            SLACK,
            judging or functools.partial(Recorded, history=self.history),
        )
        if plan.sidecars.peers:
            self.links = Links(timeline, seed)
            self.links.observer = self.carried
            self.relays = Relays(self.links)
        self.sidecars = [
            LiveSidecar(self, number, self.hall_of(number), folder) for number in range(plan.sidecars.count)
        ]
        self.instances.extend(self.sidecars)

    def add_server(self, place: int, cold: bool = False) -> LiveServer:
        server = super().add_server(place, cold)
        assert isinstance(server, LiveServer)
        if place not in self.doors:
            self.doors[place] = Door(self)
        server.door = self.doors[place]
        server.door.open(server)
        return server

    def hall_of(self, sidecar: int) -> int:
        return sidecar % self.plan.fleet.halls

    def address_of(self, server: int) -> str:
        door = self.servers[server].door  # type: ignore[attr-defined]
        return str(door.address)

    def keep(self, work: Coroutine[Any, Any, Any]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def peers_of(self, sidecar: int) -> list[str]:
        return [self.front(each) for each in range(min(SEEDS, self.plan.sidecars.count)) if each != sidecar]

    def voters(self) -> list[str]:
        """The first sidecars vote, where there are duties."""
        return [self.front(each) for each in range(VOTERS if self.plan.sidecars.count >= VOTERS else 1)]

    def front(self, sidecar: int) -> str:
        return self.relays.addresses[sidecar]

    def speaks(self, sidecar: int, where: tuple[str, int]) -> None:
        if self.links is not None:
            self.relays.bind(sidecar, where)

    def carried(self, one: int, other: int, size: int, copies: int, why: str) -> None:
        """What the relays saw of each datagram, once the run counts."""
        if self.playing:
            self.history.write(
                "links",
                "datagram",
                sender=one,
                to=other,
                bytes=size,
                **({"copies": copies} if copies else {"dropped": why}),
            )

    def mark(self, text: str, lasts: int = 0) -> None:
        super().mark(text, lasts)
        self.history.write(
            "rig", "fault", kind=text.partition(":")[0], text=text, until=self.timeline.now + lasts
        )

    def note(self, text: str) -> None:
        self.log.append(f"{self.timeline.now / SECOND:8.3f}  {text}")

    def fault(self, loop: asyncio.AbstractEventLoop, told: dict[str, Any]) -> None:
        """Something of our own broke in a callback: the run says nothing."""
        trouble = told.get("exception")
        self.faults.append(f"{told.get('message', '')}: {type(trouble).__name__} {trouble}")

    async def run(self, told: Callable[[LiveWorld], None] | None = None) -> Result:
        """Start the sidecars, play the plan, end everything.  Raises Void where that can't be done."""
        try:
            if self.links is not None:
                await self.relays.open(len(self.sidecars))
            for sidecar in self.sidecars:
                sidecar.start()
            for sidecar in self.sidecars:
                try:
                    await asyncio.wait_for(sidecar.ready.wait(), READY_S)
                except TimeoutError:
                    raise Void(f"sidecar {sidecar.number} did not come up: {' '.join(self.log)}") from None
            return await self.play(told)
        finally:
            await self.end()

    async def play(self, told: Callable[[LiveWorld], None] | None) -> Result:
        self.timeline.began = self.loop.time()  # from here on seconds count
        self.playing = True
        self.history.write("rig", "begun")
        if self.links is not None:
            self.keep(self.look_at_views())
            if self.plan.sidecars.trials:
                for sidecar in self.sidecars:
                    self.keep(self.look_at_duties(sidecar))
        self.keep(self.timeline.tick())
        for sidecar in self.sidecars:
            self.make_clients(sidecar, sidecar).start()
        for number, trouble in enumerate(self.plan.troubles):
            KINDS[trouble.kind](self, trouble, number).schedule()
        patience = max(tariff.patience for tariff in self.request_classes)
        second = SECOND
        while second <= self.duration + patience + SECOND:
            await asyncio.sleep(max(0.0, (second - self.timeline.now) / 1e6))
            if self.faults:
                raise Void(self.faults[0])
            if second <= self.duration:
                self.look()
            if told is not None:
                told(self)
            second += SECOND
        return self.result()

    async def look_at_views(self) -> None:
        """What each sidecar sees of the others, again and again; those that are stopped are not asked."""
        while not self.over:  # wait_for may swallow that this task is cancelled
            asked = [sidecar for sidecar in self.sidecars if sidecar.up and not sidecar.stopped]
            told = await asyncio.gather(*(sidecar.asked("/peers") for sidecar in asked))
            self.views = {
                sidecar.name: [(one["name"], one["state"]) for one in view["peers"]]
                for sidecar, view in zip(asked, told)
                if view is not None
            }
            self.history.write(
                "rig", "views", sees=self.views, running=[one.name for one in self.sidecars if one.up]
            )
            links = self.links
            assert links is not None
            self.history.write(
                "links",
                "carried",
                messages=links.sent.total(),
                bytes=links.bytes.total(),
                dropped=links.dropped,
                by={one.name: [links.sent[one.number], links.bytes[one.number]] for one in self.sidecars},
            )
            await asyncio.sleep(LOOK_S)

    async def look_at_duties(self, sidecar: LiveSidecar) -> None:
        """What one sidecar says that it holds, again and again: it might act on each under that number."""
        while not self.over:  # wait_for may swallow that this task is cancelled
            asked = self.timeline.now
            view = await sidecar.asked("/peers") if sidecar.up else None
            for held in view.get("holds", []) if view is not None else []:
                self.history.write(
                    "rig",
                    "acted",
                    duty=held["duty"],
                    holder=view["born"] if view else "",
                    fence=int(held["number"], 16),
                    accepted=True,
                    asked=asked,
                )
            await asyncio.sleep(max(LOOK_AT_DUTIES_S, len(self.sidecars) / MOST_LOOKS))

    def look(self) -> None:
        self.at_servers.append([self.servers[number].hop_count for number in self.server_ids])
        self.breakers.append(
            [
                sum(f"s-{number}" in sidecar.refused for sidecar in self.sidecars) / len(self.sidecars)
                for number in self.server_ids
            ]
        )

    def result(self) -> Result:
        for second, (wanted, earned) in enumerate(
            zip(self.tally.offered_value_per_second, self.tally.earned_value_per_second)
        ):
            self.history.write("clients", "second", second=second, wanted=wanted, earned=earned)
        return collect_result(
            self, "pumicepath", self.timeline.events, self.at_servers, self.breakers, list(self.log)
        )

    def check(self) -> None:
        """Raises Void if what was measured is the stand-ins' own slowness."""
        behind = self.timeline.behind()
        if behind > MOST_BEHIND_MS:
            raise Void(f"the stand-ins were {behind:.0f} ms behind: too much load for this machine")

    async def end(self) -> None:
        """No process, listener or task stays behind."""
        self.over = True
        for process in self.processes:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()
        for process in self.processes:
            await process.wait()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for sidecar in self.sidecars:
            if sidecar.desk.address:
                sidecar.desk.close()
        for door in self.doors.values():
            door.close()
        if self.links is not None:
            self.relays.close()
        self.history.close()


def play(
    plan: Plan, seed: int, told: Callable[[LiveWorld], None] | None = None, history: Path | None = None
) -> Result:
    """Play a plan on loopback, its history into a file.  Raises Void, and OSError without ports or files."""

    async def playing() -> Result:
        with tempfile.TemporaryDirectory(prefix="pumicepath-lab-") as folder:
            world = LiveWorld(plan, seed, Path(folder), history)
            found = await world.run(told)
            world.check()
            return found

    return asyncio.run(playing())
