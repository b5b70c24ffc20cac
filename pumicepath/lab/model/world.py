"""The world of a run: servers, list, network, clients and rule checker, from a plan and a seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from ...interface import ServerEntry, ServerState, Settings
from ...settings import decode_settings
from ..spec import Plan, sidecar_settings, to_microseconds
from .clients import ClientBehavior, Clients, KeyDistribution, LoadOverrides, Tally
from .links import Links
from .network import Network
from .registry import ListTiming, Registry
from .rule_checker import ANSWER_SLACK_US, RuleChecker
from .servers import Server, ServerParameters, SharedLimit
from .timeline import SECOND, Timeline, random_source


class SidecarInstance:
    """A sidecar as injected faults see it; only real processes implement the methods that raise here."""

    number: int
    zone: int
    up: bool

    def start(self, state: str = "old") -> None:
        """Start a process whose disk holds its own `old` state, `none`, or that of an `other` sidecar."""

    def kill(self) -> None:
        """End the process at once."""

    def stop(self) -> None:
        """Suspend the process wherever it is, until `resume`."""
        raise NotImplementedError

    def resume(self) -> None:
        """Let a suspended process go on."""
        raise NotImplementedError

    def terminate(self) -> None:
        """Ask the process to end, as a release does."""
        raise NotImplementedError

    def replace(self) -> None:
        """Start a new process beside it, then ask the old one to end."""
        raise NotImplementedError

    def set_core_contention(self, contended: bool) -> None:
        """Whether another process keeps its core busy."""
        raise NotImplementedError

    def adjust_clock(self, rate: float | None, step: int) -> None:
        """Run its clock at another rate, and step its wall clock by microseconds."""
        raise NotImplementedError

    def damage_disk(self, damage: str, rng: Random) -> int:
        """Act on its folder: `full`, `free`, `torn`, `lost`, `kept` or `old`; returns the number of files."""
        raise NotImplementedError

    def impair_disk(self, read_only: bool, slow_ms: float) -> None:
        """Make its disk read-only, or each operation on it take so long."""
        raise NotImplementedError


class SidecarFleet(Protocol):
    """The membership of sidecars in a fleet, where the host models it."""

    def start(self, number: int) -> None:
        """A sidecar has started."""

    def attach_balancer(self, number: int, balancer: Any) -> None:
        """Connect the balancer of a sidecar that has started."""

    def kill(self, number: int) -> None:
        """A sidecar was killed."""


@dataclass
class TimelineMark:
    """An event to show in reports; times in microseconds."""

    started_at: int
    ends_at: int
    text: str


class World:
    """All of a run but the sidecars, which hosts add; times in microseconds.

    `make_server` lets a host use servers of its own, and `make_rule_checker` a rule checker of its own.
    """

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
            decode_settings(sidecar_settings(plan, 0, zone)) for zone in range(fleet.halls)
        ]
        self.request_classes = self.settings[0].request_classes
        self.rule_checker = make_rule_checker(
            timeline, self.request_classes, self.registry, to_microseconds(plan.list.grace_s), answer_slack
        )
        self.load_overrides = LoadOverrides()
        self.tally = Tally(
            self.duration // SECOND + 1, len(self.request_classes), to_microseconds(plan.warm_s)
        )
        self.limits = [SharedLimit(fleet.limit) if fleet.limit else None for _ in range(fleet.halls)]
        self.servers: dict[int, Server] = {}
        self.server_ids: list[int] = []  # by slot, the id of its server; a replacement takes the slot over
        self.marks: list[TimelineMark] = []
        self.links: Links | None = None  # between sidecars, if they form a fleet
        self.sidecar_fleet: SidecarFleet | None = None
        self.instances: list[SidecarInstance] = []
        for slot in range(fleet.servers):
            self.server_ids.append(-1)
            self.add_server(slot)

    def add_server(self, slot: int, cold: bool = False) -> Server:
        """Start a server with a new id in a slot and list it as ready."""
        fleet, number = self.plan.fleet, len(self.servers)
        zone = slot * fleet.halls // fleet.servers
        server = self.make_server(
            self.timeline,
            self.rule_checker,
            self.server_parameters,
            number,
            zone,
            zone * fleet.cells + slot % fleet.cells,
            1.0,
            self.limits[zone],
            random_source(self.seed, "server", number).random,
        )
        if cold:
            server.start()
        self.servers[number] = server
        self.server_ids[slot] = number
        self.publish_server(server)
        return server

    def publish_server(self, server: Server, state: ServerState = ServerState.READY) -> None:
        """Put a server on the list in a state."""
        self.registry.update(
            ServerEntry(server.number, server.zone, server.cell, state, 1.0, server.started_at)
        )

    def server_at(self, slot: int) -> Server:
        """The present server of a slot."""
        return self.servers[self.server_ids[slot]]

    def mark(self, text: str, duration: int = 0) -> None:
        """Note an event that begins now, for reports."""
        self.marks.append(TimelineMark(self.timeline.now, self.timeline.now + duration, text))

    def work(self, submission_id: int) -> int:
        """Core-microseconds of a submission, a function of its id, so the same at any server and time."""
        fleet = self.plan.fleet
        scattered = (submission_id * 0x9E3779B97F4A7C15 + self.seed * 0xD1B54A32D192ED03) & 0xFFFFFFFF
        return max(1, int(fleet.work_ms * 1000 * (1.0 + fleet.spread * (scattered / 0x80000000 - 1.0))))

    def make_clients(self, instance: SidecarInstance, target: object) -> Clients:
        """The clients of one sidecar, not started yet."""
        load, plan = self.plan.load, self.plan
        behavior = ClientBehavior(
            rate=plan.rate() / plan.sidecars.count,
            pattern=load.pattern,
            rate_steps=tuple((to_microseconds(at), factor) for at, factor in load.steps),
            arrival_trace=tuple(
                to_microseconds(at) for at in load.trace_s[instance.number :: plan.sidecars.count]
            ),
            class_weights=tuple(spec.share for spec in load.tariffs),
            key_count=load.keys,
            zipf_exponent=load.zipf,
            drift_period=to_microseconds(load.drift_s),
            leave_probability=load.leaves,
            max_retries=load.retries,
            backoff=to_microseconds(load.back_off_ms / 1e3),
            honors_retry_after=load.heeds,
        )
        if not hasattr(self, "keys"):
            self.keys = KeyDistribution(load.keys, load.zipf, behavior.drift_period)
        return Clients(
            self.timeline,
            behavior,
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
