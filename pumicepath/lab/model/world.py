"""One fleet with its halls, list, network and judge, put together from a plan and a seed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from ...interface import ServerEntry, ServerState, Settings
from ...settings import decode_settings
from ..spec import Plan, micros, told
from .clients import Clients, Habits, Keys, Moods, Tally
from .judge import SLACK, Judge
from .links import Links
from .listing import Manner, Registry
from .network import Network
from .servers import Build, Limit, Server
from .timeline import SECOND, Timeline, chance


class Instance:
    """A sidecar as troubles meet it; what only a real process can do, only a real one does."""

    number: int
    hall: int
    up: bool

    def start(self, state: str = "old") -> None:
        """Begin anew, with its own state, none, or another's."""

    def kill(self) -> None: ...

    def stop(self) -> None:
        """In the middle of whatever it does, until told to go on."""
        raise NotImplementedError

    def go_on(self) -> None:
        raise NotImplementedError

    def end(self) -> None:
        """Ask it to end, as a release does."""
        raise NotImplementedError

    def replace(self) -> None:
        """Start another process in its place, then ask it to end."""
        raise NotImplementedError

    def crowd(self, on: bool) -> None:
        """Something else keeps its core busy."""
        raise NotImplementedError

    def bend(self, rate: float | None, step: int) -> None:
        """Its clock runs at another rate; its wall clock is set by microseconds."""
        raise NotImplementedError

    def disk(self, what: str, chance: Random) -> int:
        """Befall its folder: `full`, `free`, `torn`, `lost`, `kept`, `old`; how many files were met."""
        raise NotImplementedError

    def burden(self, read_only: bool, slow_ms: float) -> None:
        """Its disk takes no changes, or each step on it takes so long."""
        raise NotImplementedError


class Fellows(Protocol):
    """The fleet that sidecars are of, where the host has a model of it."""

    def start(self, number: int) -> None: ...

    def accompany(self, number: int, decisions: Any) -> None: ...

    def kill(self, number: int) -> None: ...


@dataclass
class Mark:
    """Something to be seen in a report: when, until when, and what."""

    at: int
    until: int
    text: str


class World:
    """What hosts add: the sidecars.  `make` may give servers of another host's."""

    def __init__(
        self,
        plan: Plan,
        seed: int,
        timeline: Timeline,
        make: Callable[..., Server] = Server,
        slack: int = SLACK,
        judging: Callable[..., Judge] = Judge,
    ) -> None:
        fleet = plan.fleet
        self.plan = plan
        self.seed = seed
        self.timeline = timeline
        self.make = make
        self.lasts = micros(plan.lasts_s)
        self.chance = chance(seed, "world")
        self.build = Build(
            cores=fleet.cores,
            queue=fleet.queue,
            cache=fleet.cache,
            miss=fleet.miss,
            cold_from=fleet.cold_from,
            cold_for=micros(fleet.cold_s),
            fall_multiple=fleet.fall_multiple,
            fall_window=micros(fleet.fall_s),
            jam_at=fleet.jam_at,
            jam_speed=fleet.jam_speed,
            stops=fleet.stops,
        )
        self.registry = Registry(
            timeline,
            Manner(
                micros(plan.list.lag_from_ms / 1e3),
                micros(plan.list.lag_to_ms / 1e3),
                micros(plan.list.ask_every_s),
                micros(plan.list.grace_s),
            ),
            seed,
        )
        self.network = Network(
            timeline, fleet.halls, micros(fleet.near_ms / 1e3), micros(fleet.far_ms / 1e3), seed
        )
        self.settings: list[Settings] = [decode_settings(told(plan, 0, hall)) for hall in range(fleet.halls)]
        self.tariffs = self.settings[0].request_classes
        self.judge = judging(timeline, self.tariffs, self.registry, micros(plan.list.grace_s), slack)
        self.moods = Moods()
        self.tally = Tally(self.lasts // SECOND + 1, len(self.tariffs), micros(plan.warm_s))
        self.limits = [Limit(fleet.limit) if fleet.limit else None for _ in range(fleet.halls)]
        self.servers: dict[int, Server] = {}
        self.places: list[int] = []  # the id of the server at each place; a new one takes one over
        self.marks: list[Mark] = []
        self.links: Links | None = None  # between sidecars, where they speak with each other
        self.peering: Fellows | None = None
        self.instances: list[Instance] = []
        for place in range(fleet.servers):
            self.places.append(-1)
            self.begin(place)

    def begin(self, place: int, cold: bool = False) -> Server:
        """A new server with an id of its own at a place, listed as ready."""
        fleet, number = self.plan.fleet, len(self.servers)
        hall = place * fleet.halls // fleet.servers
        server = self.make(
            self.timeline,
            self.judge,
            self.build,
            number,
            hall,
            hall * fleet.cells + place % fleet.cells,
            1.0,
            self.limits[hall],
            chance(self.seed, "server", number).random,
        )
        if cold:
            server.start()
        self.servers[number] = server
        self.places[place] = number
        self.list(server)
        return server

    def list(self, server: Server, phase: ServerState = ServerState.READY) -> None:
        self.registry.put(ServerEntry(server.number, server.hall, server.cell, phase, 1.0, server.came_up))

    def at_place(self, place: int) -> Server:
        return self.servers[self.places[place]]

    def mark(self, text: str, lasts: int = 0) -> None:
        self.marks.append(Mark(self.timeline.now, self.timeline.now + lasts, text))

    def work(self, ask: int) -> int:
        """Core-microseconds of a submission, by its number: the same at any server and time."""
        fleet = self.plan.fleet
        scattered = (ask * 0x9E3779B97F4A7C15 + self.seed * 0xD1B54A32D192ED03) & 0xFFFFFFFF
        return max(1, int(fleet.work_ms * 1000 * (1.0 + fleet.spread * (scattered / 0x80000000 - 1.0))))

    def clients(self, instance: Instance, taker: object) -> Clients:
        """The clients of one sidecar; they begin when told."""
        load, plan = self.plan.load, self.plan
        habits = Habits(
            rate=plan.rate() / plan.sidecars.count,
            pattern=load.pattern,
            steps=tuple((micros(at), times) for at, times in load.steps),
            trace=tuple(micros(at) for at in load.trace_s[instance.number :: plan.sidecars.count]),
            shares=tuple(tariff.share for tariff in load.tariffs),
            keys=load.keys,
            zipf=load.zipf,
            drift=micros(load.drift_s),
            leaves=load.leaves,
            retries=load.retries,
            back_off=micros(load.back_off_ms / 1e3),
            heeds=load.heeds,
        )
        if not hasattr(self, "keys"):
            self.keys = Keys(load.keys, load.zipf, habits.drift)
        return Clients(
            self.timeline,
            habits,
            self.tariffs,
            self.keys,
            self.moods,
            self.judge,
            self.tally,
            taker,  # type: ignore[arg-type]
            instance.number,
            self.seed,
            self.lasts,
        )
