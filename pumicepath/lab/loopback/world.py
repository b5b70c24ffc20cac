"""The model behind real sockets: servers, discovery and clients in one event loop, sidecars as processes."""

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
from ..model.links import Links
from ..model.result import Result, collect_result
from ..model.rule_checker import RuleChecker
from ..model.timeline import SECOND
from ..model.world import World
from ..spec import Plan
from ..verification.history import VERSION, History
from ..verification.recording import RecordingRuleChecker
from .clock import EventLoopTimeline
from .datagram_proxies import DatagramProxies
from .servers import LoopbackServer, ServerListener
from .sidecars import READY_TIMEOUT_S, LoopbackSidecar

SLACK_US = 60_000  # that the event loop and the kernel may take between an event and its observation
MAX_TICK_DELAY_MS = 25.0  # beyond this the simulated parts, not the sidecars, were too slow
MAX_LOG_LINES = 2000
VIEW_POLL_INTERVAL_S = 0.5  # between polls of what sidecars see of each other
MIN_DUTY_POLL_INTERVAL_S = 0.1  # between polls of the duties of one sidecar; longer in a large fleet
MAX_DUTY_POLLS_PER_S = 100.0  # of all sidecars together: the harness must not slow the run
SEED_COUNT = VOTER_COUNT = 3


class InvalidRunError(Exception):
    """The run has no valid result; the text names the reason."""


class LoopbackWorld(World):
    """A world on 127.0.0.1, with one listener per server and one discovery server per sidecar."""

    timeline: EventLoopTimeline

    def __init__(
        self,
        plan: Plan,
        seed: int,
        folder: Path,
        history: Path | None = None,
        make_rule_checker: Callable[..., RuleChecker] | None = None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        timeline = EventLoopTimeline(self.loop)
        self.playing = False
        self.history = History(history, lambda: timeline.now if self.playing else 0)
        self.history.write("rig", "run", version=VERSION, seed=seed, slack=SLACK_US, plan=plan.model_dump())
        self.tasks: set[asyncio.Task[Any]] = set()
        self.processes: list[asyncio.subprocess.Process] = []
        self.listeners: dict[int, ServerListener] = {}
        self.log: deque[str] = deque(maxlen=MAX_LOG_LINES)
        self.is_closed = False
        self.internal_errors: list[str] = []  # exceptions in callbacks of the simulated parts
        self.loop.set_exception_handler(self.record_internal_error)
        self.at_servers: list[list[int]] = []
        self.breakers: list[list[float]] = []
        super().__init__(
            plan,
            seed,
            timeline,
            LoopbackServer,
            SLACK_US,
            make_rule_checker or functools.partial(RecordingRuleChecker, history=self.history),
        )
        if plan.sidecars.peers:
            self.links = Links(timeline, seed)
            self.links.observer = self.record_datagram
            self.datagram_proxies = DatagramProxies(self.links)
        self.sidecars = [
            LoopbackSidecar(self, number, self.zone_of(number), folder)
            for number in range(plan.sidecars.count)
        ]
        self.instances.extend(self.sidecars)

    def add_server(self, place: int, cold: bool = False) -> LoopbackServer:
        server = super().add_server(place, cold)
        assert isinstance(server, LoopbackServer)
        if place not in self.listeners:
            self.listeners[place] = ServerListener(self)
        server.listener = self.listeners[place]
        server.listener.open(server)
        return server

    def zone_of(self, sidecar: int) -> int:
        return sidecar % self.plan.fleet.halls

    def server_address(self, server: int) -> str:
        listener = self.servers[server].listener  # type: ignore[attr-defined]
        return str(listener.address)

    def start_task(self, work: Coroutine[Any, Any, Any]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def seed_addresses(self, sidecar: int) -> list[str]:
        return [
            self.peer_address(peer)
            for peer in range(min(SEED_COUNT, self.plan.sidecars.count))
            if peer != sidecar
        ]

    def voter_addresses(self) -> list[str]:
        """Returns the peer addresses of the first sidecars, which vote where there are duties."""
        return [
            self.peer_address(voter)
            for voter in range(VOTER_COUNT if self.plan.sidecars.count >= VOTER_COUNT else 1)
        ]

    def peer_address(self, sidecar: int) -> str:
        return self.datagram_proxies.addresses[sidecar]

    def set_peer_socket(self, sidecar: int, address: tuple[str, int]) -> None:
        if self.links is not None:
            self.datagram_proxies.set_sidecar_socket(sidecar, address)

    def record_datagram(self, sender: int, recipient: int, size: int, copies: int, drop_reason: str) -> None:
        """Records a datagram between sidecars in the history, once the run has begun."""
        if self.playing:
            self.history.write(
                "links",
                "datagram",
                sender=sender,
                to=recipient,
                bytes=size,
                **({"copies": copies} if copies else {"dropped": drop_reason}),
            )

    def mark(self, text: str, lasts: int = 0) -> None:
        super().mark(text, lasts)
        self.history.write(
            "rig", "fault", kind=text.partition(":")[0], text=text, until=self.timeline.now + lasts
        )

    def note(self, text: str) -> None:
        self.log.append(f"{self.timeline.now / SECOND:8.3f}  {text}")

    def record_internal_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Exception handler of the event loop: an exception in a callback makes the run invalid."""
        error = context.get("exception")
        self.internal_errors.append(f"{context.get('message', '')}: {type(error).__name__} {error}")

    async def run(self, on_second: Callable[[LoopbackWorld], None] | None = None) -> Result:
        """Starts the sidecars, plays the plan and closes the world.  Raises InvalidRunError if that fails."""
        try:
            if self.links is not None:
                await self.datagram_proxies.open(len(self.sidecars))
            for sidecar in self.sidecars:
                sidecar.start()
            for sidecar in self.sidecars:
                try:
                    await asyncio.wait_for(sidecar.ready.wait(), READY_TIMEOUT_S)
                except TimeoutError:
                    raise InvalidRunError(
                        f"sidecar {sidecar.number} did not start in time: {' '.join(self.log)}"
                    ) from None
            return await self.play(on_second)
        finally:
            await self.close()

    async def play(self, on_second: Callable[[LoopbackWorld], None] | None) -> Result:
        self.timeline.started_at = self.loop.time()  # time 0 of the run
        self.playing = True
        self.history.write("rig", "begun")
        if self.links is not None:
            self.start_task(self.poll_views())
            if self.plan.sidecars.trials:
                for sidecar in self.sidecars:
                    self.start_task(self.poll_duties(sidecar))
        self.start_task(self.timeline.measure_ticks())
        for sidecar in self.sidecars:
            self.make_clients(sidecar, sidecar).start()
        for number, fault in enumerate(self.plan.troubles):
            KINDS[fault.kind](self, fault, number).schedule()
        deadline = max(request_class.deadline for request_class in self.request_classes)
        second = SECOND
        while second <= self.duration + deadline + SECOND:
            await asyncio.sleep(max(0.0, (second - self.timeline.now) / 1e6))
            if self.internal_errors:
                raise InvalidRunError(self.internal_errors[0])
            if second <= self.duration:
                self.sample_servers()
            if on_second is not None:
                on_second(self)
            second += SECOND
        return self.result()

    async def poll_views(self) -> None:
        """Polls what each sidecar sees of the others and records it; stopped sidecars are not polled."""
        while not self.is_closed:  # wait_for may swallow the cancellation of this task
            polled = [sidecar for sidecar in self.sidecars if sidecar.up and not sidecar.stopped]
            answers = await asyncio.gather(*(sidecar.query_admin("/peers") for sidecar in polled))
            self.views = {
                sidecar.name: [(peer["name"], peer["state"]) for peer in view["peers"]]
                for sidecar, view in zip(polled, answers)
                if view is not None
            }
            self.history.write(
                "rig",
                "views",
                sees=self.views,
                running=[sidecar.name for sidecar in self.sidecars if sidecar.up],
            )
            links = self.links
            assert links is not None
            self.history.write(
                "links",
                "carried",
                messages=links.sent.total(),
                bytes=links.bytes.total(),
                dropped=links.dropped,
                by={
                    sidecar.name: [links.sent[sidecar.number], links.bytes[sidecar.number]]
                    for sidecar in self.sidecars
                },
            )
            await asyncio.sleep(VIEW_POLL_INTERVAL_S)

    async def poll_duties(self, sidecar: LoopbackSidecar) -> None:
        """Polls the duties that a sidecar holds; records each as an act under its fencing number."""
        while not self.is_closed:  # wait_for may swallow the cancellation of this task
            asked_at = self.timeline.now
            view = await sidecar.query_admin("/peers") if sidecar.up else None
            for duty in view.get("holds", []) if view is not None else []:
                self.history.write(
                    "rig",
                    "acted",
                    duty=duty["duty"],
                    holder=view["born"] if view else "",
                    fence=int(duty["number"], 16),
                    accepted=True,
                    asked=asked_at,
                )
            await asyncio.sleep(max(MIN_DUTY_POLL_INTERVAL_S, len(self.sidecars) / MAX_DUTY_POLLS_PER_S))

    def sample_servers(self) -> None:
        self.at_servers.append([self.servers[number].hop_count for number in self.server_ids])
        self.breakers.append(
            [
                sum(f"s-{number}" in sidecar.open_breakers for sidecar in self.sidecars) / len(self.sidecars)
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

    def check_tick_delay(self) -> None:
        """Raises InvalidRunError if the simulated parts were so slow that the run measured their delay."""
        delay_ms = self.timeline.p99_tick_delay_ms()
        if delay_ms > MAX_TICK_DELAY_MS:
            raise InvalidRunError(
                f"the simulated parts were {delay_ms:.0f} ms behind: too much load for this machine"
            )

    async def close(self) -> None:
        """Ends all processes, tasks and listeners."""
        self.is_closed = True
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
            if sidecar.discovery.address:
                sidecar.discovery.close()
        for listener in self.listeners.values():
            listener.close()
        if self.links is not None:
            self.datagram_proxies.close()
        self.history.close()


def play(
    plan: Plan,
    seed: int,
    on_second: Callable[[LoopbackWorld], None] | None = None,
    history: Path | None = None,
) -> Result:
    """Plays a plan on loopback, with its history in a file; calls `on_second` each second.

    Raises InvalidRunError, and OSError if ports or files can't be had.
    """

    async def play_in_folder() -> Result:
        with tempfile.TemporaryDirectory(prefix="pumicepath-lab-") as folder:
            world = LoopbackWorld(plan, seed, Path(folder), history)
            run_result = await world.run(on_second)
            world.check_tick_delay()
            return run_result

    return asyncio.run(play_in_folder())
