"""One fleet with its halls, list, network and judge, put together from a plan and a seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from ...interface import Entry, Phase, Settings
from ...settings import decode
from ..spec import Plan, sidecar_settings, to_microseconds
from .clients import ClientBehavior, Clients, KeyDistribution, LoadOverrides, Tally
from .links import Links
from .network import Network
from .registry import ListTiming, Registry
from .rule_checker import ANSWER_SLACK_US, RuleChecker
from .servers import Server, ServerParameters, SharedLimit
from .timeline import SECOND, Timeline, random_source


class SidecarInstance:
    """A sidecar as troubles meet it; what only a real process can do, only a real one does."""

    number: int
    zone: int
    up: bool

    def start(self, state: str = "old") -> None:
        """Begin anew, with its own state, none, or another's."""

    def kill(self) -> None: ...

    def stop(self) -> None:
        """In the middle of whatever it does, until told to go on."""
        raise NotImplementedError

    def resume(self) -> None:
        raise NotImplementedError

    def terminate(self) -> None:
        """Ask it to end, as a release does."""
        raise NotImplementedError

    def replace(self) -> None:
        """Start another process in its place, then ask it to end."""
        raise NotImplementedError

    def set_core_contention(self, contended: bool) -> None:
        """Something else keeps its core busy."""
        raise NotImplementedError

    def adjust_clock(self, rate: float | None, step: int) -> None:
        """Its clock runs at another rate; its wall clock is set by microseconds."""
        raise NotImplementedError

    def damage_disk(self, damage: str, rng: Random) -> int:
        """Befall its folder: `full`, `free`, `torn`, `lost`, `kept`, `old`; how many files were met."""
        raise NotImplementedError

    def impair_disk(self, read_only: bool, slow_ms: float) -> None:
        """Its disk takes no changes, or each step on it takes so long."""
        raise NotImplementedError


class SidecarFleet(Protocol):
    """The fleet that sidecars are of, where the host has a model of it."""

    def start(self, number: int) -> None: ...

    def attach_balancer(self, number: int, balancer: Any) -> None: ...

    def kill(self, number: int) -> None: ...


@dataclass
class TimelineMark:
    """Something to be seen in a report: when, until when, and what."""

    started_at: int
    ends_at: int
    text: str


class World:
    """What hosts add: the sidecars.  `make` may give servers of another host's."""

    def __init__(
        self,
        plan: Plan,
        seed: int,
        timeline: Timeline,
        make_server: Callable[..., Server] = Server,
        answer_slack: int = ANSWER_SLACK_US,
        make_rule_checker: Callable[..., RuleChecker] = RuleChecker,
    ) -> None:
        fleet = plan.fleet
        self.plan = plan
        self.seed = seed
        self.timeline = timeline
        self.make_server = make_server
        self.duration = to_microseconds(plan.lasts_s)
        self.rng = random_source(seed, "world")
        self.server_parameters = ServerParameters(
            cores=fleet.cores,
            queue_limit=fleet.queue,
            cache_size=fleet.cache,
            miss_factor=fleet.miss,
            cold_fraction=fleet.cold_from,
            cold_duration=to_microseconds(fleet.cold_s),
            overload_multiple=fleet.fall_multiple,
            overload_window=to_microseconds(fleet.fall_s),
            congestion_threshold=fleet.jam_at,
            congestion_speed=fleet.jam_speed,
            stops_cancelled=fleet.stops,
        )
        self.registry = Registry(
            timeline,
            ListTiming(
                to_microseconds(plan.list.lag_from_ms / 1e3),
                to_microseconds(plan.list.lag_to_ms / 1e3),
                to_microseconds(plan.list.ask_every_s),
                to_microseconds(plan.list.grace_s),
            ),
            seed,
        )
        self.network = Network(
            timeline,
            fleet.halls,
            to_microseconds(fleet.near_ms / 1e3),
            to_microseconds(fleet.far_ms / 1e3),
            seed,
        )
        self.settings: list[Settings] = [
            decode(sidecar_settings(plan, 0, hall)) for hall in range(fleet.halls)
        ]
        self.request_classes = self.settings[0].tariffs
        self.rule_checker = make_rule_checker(
            timeline, self.request_classes, self.registry, to_microseconds(plan.list.grace_s), answer_slack
        )
        self.load_overrides = LoadOverrides()
        self.tally = Tally(
            self.duration // SECOND + 1, len(self.request_classes), to_microseconds(plan.warm_s)
        )
        self.limits = [SharedLimit(fleet.limit) if fleet.limit else None for _ in range(fleet.halls)]
        self.servers: dict[int, Server] = {}
        self.server_ids: list[int] = []  # the id of the server at each place; a new one takes one over
        self.marks: list[TimelineMark] = []
        self.links: Links | None = None  # between sidecars, where they speak with each other
        self.sidecar_fleet: SidecarFleet | None = None
        self.instances: list[SidecarInstance] = []
        for place in range(fleet.servers):
            self.server_ids.append(-1)
            self.add_server(place)

    def add_server(self, slot: int, cold: bool = False) -> Server:
        """A new server with an id of its own at a place, listed as ready."""
        fleet, number = self.plan.fleet, len(self.servers)
        hall = slot * fleet.halls // fleet.servers
        server = self.make_server(
            self.timeline,
            self.rule_checker,
            self.server_parameters,
            number,
            hall,
            hall * fleet.cells + slot % fleet.cells,
            1.0,
            self.limits[hall],
            random_source(self.seed, "server", number).random,
        )
        if cold:
            server.start()
        self.servers[number] = server
        self.server_ids[slot] = number
        self.publish_server(server)
        return server

    def publish_server(self, server: Server, state: Phase = Phase.READY) -> None:
        self.registry.update(Entry(server.number, server.zone, server.cell, state, 1.0, server.started_at))

    def server_at(self, slot: int) -> Server:
        return self.servers[self.server_ids[slot]]

    def mark(self, text: str, duration: int = 0) -> None:
        self.marks.append(TimelineMark(self.timeline.now, self.timeline.now + duration, text))

    def work(self, submission_id: int) -> int:
        """Core-microseconds of a submission, by its number: the same at any server and time."""
        fleet = self.plan.fleet
        scattered = (submission_id * 0x9E3779B97F4A7C15 + self.seed * 0xD1B54A32D192ED03) & 0xFFFFFFFF
        return max(1, int(fleet.work_ms * 1000 * (1.0 + fleet.spread * (scattered / 0x80000000 - 1.0))))

    def make_clients(self, instance: SidecarInstance, target: object) -> Clients:
        """The clients of one sidecar; they begin when told."""
        load, plan = self.plan.load, self.plan
        habits = ClientBehavior(
            rate=plan.rate() / plan.sidecars.count,
            pattern=load.pattern,
            rate_steps=tuple((to_microseconds(at), times) for at, times in load.steps),
            arrival_trace=tuple(
                to_microseconds(at) for at in load.trace_s[instance.number :: plan.sidecars.count]
            ),
            class_weights=tuple(tariff.share for tariff in load.tariffs),
            key_count=load.keys,
            zipf_exponent=load.zipf,
            drift_period=to_microseconds(load.drift_s),
            leave_probability=load.leaves,
            max_retries=load.retries,
            backoff=to_microseconds(load.back_off_ms / 1e3),
            honors_retry_after=load.heeds,
        )
        if not hasattr(self, "keys"):
            self.keys = KeyDistribution(load.keys, load.zipf, habits.drift_period)
        return Clients(
            self.timeline,
            habits,
            self.request_classes,
            self.keys,
            self.load_overrides,
            self.rule_checker,
            self.tally,
            target,  # type: ignore[arg-type]
            instance.number,
            self.seed,
            self.duration,
        )
