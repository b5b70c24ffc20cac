"""One sidecar in virtual time: a host of the real decisions with connections, but no threads and no bytes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from ...interface import Callbacks, ListKind, Outcome, ServerEntry, Settings, TimerHandler
from ..model.clients import Ask
from ..model.judge import Judge
from ..model.listing import Registry
from ..model.network import Network
from ..model.servers import Job, Server
from ..model.timeline import Timeline
from ..model.world import Fellows

MARGIN = 5_000  # microseconds before patience ends in which the last word is said
LONGEST_IDLE = 8  # idle connections kept to a server


class Handle(Protocol):
    """What decisions give back for a submission; `logic.Submission` is one."""

    def hop_finished(self, now: int, number: int, outcome: Outcome, spent: int, finished: bool) -> None: ...

    def response_started(self, now: int, number: int) -> None: ...

    def client_left(self, now: int) -> None: ...

    def is_finished(self) -> bool: ...


class Decisions(Protocol):
    """What decides in a sidecar; `logic.Balancer` is one, baselines are others."""

    def update_servers(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None: ...

    def submit(self, now: int, name: int, tariff: int, key: int, retry: bool, until: int) -> Handle: ...


Maker = Callable[[Settings, int, Callbacks], Any]


class Hop:
    __slots__ = ("open", "number", "server", "process", "at", "job", "ended", "fresh")

    def __init__(self, open_: Open, number: int, server: Server, at: int) -> None:
        self.open = open_
        self.number = number
        self.server = server
        self.process = server.process
        self.at = at
        self.job: Job | None = None
        self.ended = False
        self.fresh = False


class Open:
    """A submission while a sidecar has to do with it."""

    __slots__ = ("ask", "turn", "until", "hops", "handle", "answered")

    def __init__(self, ask: Ask, until: int) -> None:
        self.ask = ask
        self.turn = ask.turn
        self.until = until
        self.hops: list[Hop] = []
        self.handle: Handle | None = None
        self.answered = False


class World(Protocol):
    """What a sidecar can reach."""

    network: Network
    registry: Registry
    judge: Judge
    servers: dict[int, Server]
    peering: Fellows | None

    @property
    def timeline(self) -> Timeline: ...

    def work(self, ask: int) -> int:
        """Core-microseconds that the submission of this number takes on a warm server that knows its key."""


class Sidecar:
    """Work for a submission grows with its hops; what is kept ends with the submission or its server."""

    def __init__(
        self,
        world: World,
        number: int,
        hall: int,
        settings: Settings,
        seed: int,
        maker: Maker,
        dial: int,
        note: Callable[[int, str], None],
    ) -> None:
        self.world = world
        self.number = number
        self.hall = hall
        self.settings = settings
        self.seed = seed
        self.maker = maker
        self.dial = dial
        self.note = note
        self.up = False
        self.starts = 0
        self.start()

    # -- its process

    def start(self, state: str = "old") -> None:
        """A new process that knows nothing but a copy of the list."""
        self.up = True
        self.starts += 1
        self.opens: dict[int, Open] = {}
        self.names: dict[int, int] = {}  # of the latest try of each ask that is open
        self.idle: dict[int, tuple[int, int]] = {}  # by server: its process, and connections to it
        self.taken = 0
        life = self.starts
        self.decisions: Decisions = self.maker(self.settings, self.seed + life - 1, Alive(self, life))
        self.world.registry.join(self.number, self)
        if self.world.peering is not None:
            self.world.peering.start(self.number)
            self.world.peering.accompany(self.number, self.decisions)

    def kill(self) -> None:
        """Killed at once: its clients and servers see connections end."""
        self.up = False
        self.world.registry.leave(self.number)
        if self.world.peering is not None:
            self.world.peering.kill(self.number)
        opens, self.opens, self.names = self.opens, {}, {}
        for one in opens.values():
            for hop in one.hops:
                self.give_up(hop)
            if not one.answered:
                one.answered = True
                one.ask.clients.cut(one.ask, self.settings.request_classes[one.ask.tariff].effect != 0)

    def listed(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        self.decisions.update_servers(self.world.timeline.now, kind, entries)

    # -- clients

    def take(self, ask: Ask) -> bool:
        if not self.up:
            return False
        timeline = self.world.timeline
        now = timeline.now
        self.world.judge.tried(ask.number, ask.tariff, ask.until)
        self.taken += 1
        name = self.names[ask.number] = self.taken
        one = self.opens[name] = Open(ask, ask.until)
        until = ask.until - MARGIN
        timeline.at(until, self.patience_over, name, one)
        handle = self.decisions.submit(now, name, ask.tariff, ask.key, ask.tries > 1, until)
        one.handle = handle
        self.forget(name, one)
        return True

    def left(self, ask: Ask) -> None:
        """The client has gone; hops still out bring their outcomes."""
        name = self.names.get(ask.number, 0)
        one = self.opens.get(name)
        if one is not None and not one.answered:
            one.answered = True
            if one.handle is not None:
                one.handle.client_left(self.world.timeline.now)
            self.forget(name, one)

    def patience_over(self, name: int, one: Open) -> None:
        """As `sidecar.exchange.Exchange.woke`: hops time out, which answers what has no answer yet."""
        if self.opens.get(name) is not one:
            return
        for hop in list(one.hops):
            self.end(name, hop, Outcome.TIMEOUT)
        if not one.answered:
            self.answer(one, "forfeited", 0)

    def say(self, name: int, what: str, advice: int = 0) -> None:
        """What the decisions answer; one that is over already can only be a second answer."""
        one = self.opens.get(name)
        if one is None:
            self.world.judge.breach("answered_twice", f"sidecar {self.number} {what} {name}, which was over")
        else:
            self.answer(one, what, advice)

    def answer(self, one: Open, what: str, advice: int) -> None:
        ask = one.ask
        again = one.answered
        one.answered = True
        # Said once this call on the decisions is over; a second answer goes out too, for the judge to see.
        at, now = self.world.timeline.at, self.world.timeline.now
        if what == "succeeded":
            at(now, ask.clients.succeeded, ask, one.turn)
        elif what == "deferred":
            at(now, ask.clients.deferred, ask, one.turn, advice)
        else:
            at(now, ask.clients.forfeited, ask, one.turn)
        if again:
            self.note(self.number, f"submission {ask.number} answered again")

    def forget(self, name: int, one: Open) -> None:
        if one.handle is not None and one.handle.is_finished() and one.answered:
            self.opens.pop(name, None)
            if self.names.get(one.ask.number) == name:
                del self.names[one.ask.number]

    # -- servers

    def send(self, name: int, number: int) -> None:
        one, world = self.opens.get(name), self.world
        now = world.timeline.now
        if one is None:
            world.judge.breach("sent_after_answer", f"sidecar {self.number} sent {name}, which was over")
            return
        server = world.servers[number]
        hop = Hop(one, len(one.hops), server, now)
        one.hops.append(hop)
        world.judge.sent(self.number, number, one.ask.number, one.answered)
        process, kept = self.idle.get(number, (0, 0))
        if kept and process == server.process:
            self.idle[number] = process, kept - 1
            world.network.carry(self.hall, server.hall, self.arrive, name, hop)
            return
        # A new connection first: one trip there and back, or nothing until the time for dialling is over.
        hop.fresh = True
        there = world.network.passes(self.hall, server.hall) and not server.silent
        trip = world.network.delay(self.hall, server.hall) + world.network.delay(server.hall, self.hall)
        if there and server.up and trip < self.dial:
            world.timeline.at(now + trip, self.dialled, name, hop)
        elif there and trip < self.dial:
            world.timeline.at(now + trip, self.no_way, name, hop)
        else:
            world.timeline.at(now + self.dial, self.no_way, name, hop)

    def dialled(self, name: int, hop: Hop) -> None:
        if not hop.ended:
            self.world.network.carry(self.hall, hop.server.hall, self.arrive, name, hop)

    def no_way(self, name: int, hop: Hop) -> None:
        if not hop.ended:
            self.world.judge.returned(hop.open.ask.number)
            hop.job = None
            self.finish(name, hop, Outcome.CONNECT_FAILED)

    def arrive(self, name: int, hop: Hop) -> None:
        if hop.ended:
            return
        server, world = hop.server, self.world
        if not server.up or hop.process != server.process:
            world.judge.returned(hop.open.ask.number)
            world.network.carry(server.hall, self.hall, self.finish, name, hop, Outcome.RESET)
            return
        ask = hop.open.ask
        told = world.registry.knows_start(self.number, server.number, server.came_up)

        def reply(outcome: Outcome) -> None:
            world.judge.returned(ask.number)
            if not server.silent:
                stalls = outcome == Outcome.OK and server.stalls()
                world.network.carry(
                    server.hall, self.hall, self.begun if stalls else self.finish, name, hop, outcome
                )

        job = Job(ask.number, ask.key, self.number, world.work(ask.number), reply, told)
        if server.came(job):
            hop.job = job

    def begun(self, name: int, hop: Hop, outcome: Outcome) -> None:
        """Part of its answer has come, and no more will."""
        if not hop.ended and hop.open.handle is not None:
            hop.open.handle.response_started(self.world.timeline.now, hop.number)

    def finish(self, name: int, hop: Hop, outcome: Outcome) -> None:
        """What its server said of a hop has come here."""
        if hop.ended:
            return
        one = hop.open
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL) and hop.process == hop.server.process:
            process, kept = self.idle.get(hop.server.number, (0, 0))
            kept = kept if process == hop.process else 0
            self.idle[hop.server.number] = hop.process, min(LONGEST_IDLE, kept + 1)
        if outcome == Outcome.OK and not one.answered:
            self.answer(one, "succeeded", 0)
        self.end(name, hop, outcome)

    def end(self, name: int, hop: Hop, outcome: Outcome) -> None:
        if hop.ended:
            return
        if outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            self.give_up(hop)
        hop.ended = True
        one, now = hop.open, self.world.timeline.now
        if one.handle is not None:
            one.handle.hop_finished(now, hop.number, outcome, now - hop.at, one.answered)
        self.forget(name, one)

    def give_up(self, hop: Hop) -> None:
        """Its connection is closed, which the server learns after a while, if it learns anything."""
        if hop.ended:
            return
        hop.ended = True
        job, world = hop.job, self.world
        if job is None:
            world.judge.returned(hop.open.ask.number)
        elif not job.gone:
            world.network.carry(self.hall, hop.server.hall, hop.server.cancelled, job)

    def cancel(self, name: int, number: int) -> None:
        one = self.opens[name]
        hop = one.hops[number]
        self.world.timeline.at(self.world.timeline.now, self.end_cancelled, name, hop)

    def end_cancelled(self, name: int, hop: Hop) -> None:
        self.end(name, hop, Outcome.CANCELLED)


class Alive:
    """The outlet of one process of a sidecar; what a dead one asks for does not happen."""

    def __init__(self, sidecar: Sidecar, life: int) -> None:
        self.sidecar = sidecar
        self.life = life

    def alive(self) -> bool:
        return self.sidecar.up and self.sidecar.starts == self.life

    def send(self, submission: int, server: int, timeout: int) -> None:
        self.sidecar.send(submission, server)

    def reject(self, submission: int, retry_in: int) -> None:
        self.sidecar.say(submission, "deferred", retry_in)

    def fail(self, submission: int) -> None:
        self.sidecar.say(submission, "forfeited")

    def cancel(self, submission: int, hop: int) -> None:
        self.sidecar.cancel(submission, hop)

    def probe(self, server: int) -> None:
        """No decision asks for probes."""

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Sidecars of this model don't hear each other."""

    def close_idle_connections(self, server: int) -> None:
        """Connections of this model rest unharmed, so that nothing is to be gained here."""

    def request_server_list(self) -> None:
        if self.alive():
            self.sidecar.world.registry.follow(self.sidecar.number)

    def set_timer(self, at: int, whom: TimerHandler) -> None:
        self.sidecar.world.timeline.at(at, self.ring, whom)

    def ring(self, whom: TimerHandler) -> None:
        if self.alive():
            whom.on_timer(self.sidecar.world.timeline.now)

    def log(self, text: str) -> None:
        self.sidecar.note(self.sidecar.number, text)
