"""One sidecar in virtual time: a host of the real decisions with connections, but no threads and no bytes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from ...interface import Entry, Listing, Outcome, Outlet, Settings, Wakeable
from ..model.clients import ClientSubmission
from ..model.network import Network
from ..model.registry import Registry
from ..model.rule_checker import RuleChecker
from ..model.servers import Job, Server
from ..model.timeline import Timeline
from ..model.world import SidecarFleet

ANSWER_MARGIN_US = 5_000  # microseconds before patience ends in which the last word is said
MAX_IDLE_CONNECTIONS = 8  # idle connections kept to a server


class SubmissionHandle(Protocol):
    """What decisions give back for a submission; `logic.Submission` is one."""

    def ended(self, now: int, number: int, outcome: Outcome, spent: int, finished: bool) -> None: ...

    def started(self, now: int, number: int) -> None: ...

    def left(self, now: int) -> None: ...

    def over(self) -> bool: ...


class Decisions(Protocol):
    """What decides in a sidecar; `logic.Balancer` is one, baselines are others."""

    def listed(self, now: int, kind: Listing, entries: Sequence[Entry]) -> None: ...

    def take(
        self, now: int, name: int, tariff: int, key: int, retry: bool, until: int
    ) -> SubmissionHandle: ...


BalancerFactory = Callable[[Settings, int, Outlet], Any]


class Hop:
    __slots__ = (
        "submission",
        "number",
        "server",
        "process",
        "started_at",
        "job",
        "finished",
        "new_connection",
    )

    def __init__(self, submission: OpenSubmission, number: int, server: Server, started_at: int) -> None:
        self.submission = submission
        self.number = number
        self.server = server
        self.process = server.process
        self.started_at = started_at
        self.job: Job | None = None
        self.finished = False
        self.new_connection = False


class OpenSubmission:
    """A submission while a sidecar has to do with it."""

    __slots__ = ("client_submission", "try_number", "deadline_at", "hops", "handle", "answered")

    def __init__(self, client_submission: ClientSubmission, deadline_at: int) -> None:
        self.client_submission = client_submission
        self.try_number = client_submission.current_try
        self.deadline_at = deadline_at
        self.hops: list[Hop] = []
        self.handle: SubmissionHandle | None = None
        self.answered = False


class SidecarEnvironment(Protocol):
    """What a sidecar can reach."""

    network: Network
    registry: Registry
    rule_checker: RuleChecker
    servers: dict[int, Server]
    sidecar_fleet: SidecarFleet | None

    @property
    def timeline(self) -> Timeline: ...

    def work(self, submission_id: int) -> int:
        """Core-microseconds that the submission of this number takes on a warm server that knows its key."""


class Sidecar:
    """Work for a submission grows with its hops; what is kept ends with the submission or its server."""

    def __init__(
        self,
        world: SidecarEnvironment,
        number: int,
        zone: int,
        settings: Settings,
        seed: int,
        make_balancer: BalancerFactory,
        dial_timeout: int,
        trace: Callable[[int, str], None],
    ) -> None:
        self.world = world
        self.number = number
        self.zone = zone
        self.settings = settings
        self.seed = seed
        self.make_balancer = make_balancer
        self.dial_timeout = dial_timeout
        self.trace = trace
        self.up = False
        self.starts = 0
        self.start()

    # -- its process

    def start(self, state: str = "old") -> None:
        """A new process that knows nothing but a copy of the list."""
        self.up = True
        self.starts += 1
        self.open_submissions: dict[int, OpenSubmission] = {}
        self.latest_names: dict[int, int] = {}  # of the latest try of each ask that is open
        self.idle: dict[int, tuple[int, int]] = {}  # by server: its process, and connections to it
        self.admitted = 0
        life = self.starts
        self.balancer: Decisions = self.make_balancer(
            self.settings, self.seed + life - 1, ProcessCallbacks(self, life)
        )
        self.world.registry.register(self.number, self)
        if self.world.sidecar_fleet is not None:
            self.world.sidecar_fleet.start(self.number)
            self.world.sidecar_fleet.attach_balancer(self.number, self.balancer)

    def kill(self) -> None:
        """Killed at once: its clients and servers see connections end."""
        self.up = False
        self.world.registry.unregister(self.number)
        if self.world.sidecar_fleet is not None:
            self.world.sidecar_fleet.kill(self.number)
        opens, self.open_submissions, self.latest_names = self.open_submissions, {}, {}
        for one in opens.values():
            for hop in one.hops:
                self.give_up(hop)
            if not one.answered:
                one.answered = True
                one.client_submission.clients.target_died(
                    one.client_submission,
                    self.settings.tariffs[one.client_submission.class_index].effect != 0,
                )

    def receive_list(self, kind: Listing, entries: list[Entry]) -> None:
        self.balancer.listed(self.world.timeline.now, kind, entries)

    # -- clients

    def submit(self, submission: ClientSubmission) -> bool:
        if not self.up:
            return False
        timeline = self.world.timeline
        now = timeline.now
        self.world.rule_checker.try_admitted(
            submission.number, submission.class_index, submission.deadline_at
        )
        self.admitted += 1
        name = self.latest_names[submission.number] = self.admitted
        one = self.open_submissions[name] = OpenSubmission(submission, submission.deadline_at)
        until = submission.deadline_at - ANSWER_MARGIN_US
        timeline.at(until, self.deadline_passed, name, one)
        handle = self.balancer.take(
            now, name, submission.class_index, submission.key, submission.tries > 1, until
        )
        one.handle = handle
        self.discard_if_done(name, one)
        return True

    def client_left(self, submission: ClientSubmission) -> None:
        """The client has gone; hops still out bring their outcomes."""
        name = self.latest_names.get(submission.number, 0)
        one = self.open_submissions.get(name)
        if one is not None and not one.answered:
            one.answered = True
            if one.handle is not None:
                one.handle.left(self.world.timeline.now)
            self.discard_if_done(name, one)

    def deadline_passed(self, name: int, one: OpenSubmission) -> None:
        """As `sidecar.exchange.Exchange.woke`: hops time out, which answers what has no answer yet."""
        if self.open_submissions.get(name) is not one:
            return
        for hop in list(one.hops):
            self.finish_hop(name, hop, Outcome.TIMEOUT)
        if not one.answered:
            self.answer(one, "forfeited", 0)

    def report_answer(self, name: int, answer: str, retry_after: int = 0) -> None:
        """What the decisions answer; one that is over already can only be a second answer."""
        one = self.open_submissions.get(name)
        if one is None:
            self.world.rule_checker.report_violation(
                "answered_twice", f"sidecar {self.number} {answer} {name}, which was over"
            )
        else:
            self.answer(one, answer, retry_after)

    def answer(self, one: OpenSubmission, answer: str, retry_after: int) -> None:
        ask = one.client_submission
        again = one.answered
        one.answered = True
        # Said once this call on the decisions is over; a second answer goes out too, for the judge to see.
        at, now = self.world.timeline.at, self.world.timeline.now
        if answer == "succeeded":
            at(now, ask.clients.succeeded, ask, one.try_number)
        elif answer == "deferred":
            at(now, ask.clients.rejected, ask, one.try_number, retry_after)
        else:
            at(now, ask.clients.failed, ask, one.try_number)
        if again:
            self.trace(self.number, f"submission {ask.number} answered again")

    def discard_if_done(self, name: int, one: OpenSubmission) -> None:
        if one.handle is not None and one.handle.over() and one.answered:
            self.open_submissions.pop(name, None)
            if self.latest_names.get(one.client_submission.number) == name:
                del self.latest_names[one.client_submission.number]

    # -- servers

    def send(self, name: int, number: int) -> None:
        one, world = self.open_submissions.get(name), self.world
        now = world.timeline.now
        if one is None:
            world.rule_checker.report_violation(
                "sent_after_answer", f"sidecar {self.number} sent {name}, which was over"
            )
            return
        server = world.servers[number]
        hop = Hop(one, len(one.hops), server, now)
        one.hops.append(hop)
        world.rule_checker.hop_sent(self.number, number, one.client_submission.number, one.answered)
        process, kept = self.idle.get(number, (0, 0))
        if kept and process == server.process:
            self.idle[number] = process, kept - 1
            world.network.carry(self.zone, server.zone, self.arrive, name, hop)
            return
        # A new connection first: one trip there and back, or nothing until the time for dialling is over.
        hop.new_connection = True
        there = world.network.is_connected(self.zone, server.zone) and not server.silent
        trip = world.network.delay(self.zone, server.zone) + world.network.delay(server.zone, self.zone)
        if there and server.up and trip < self.dial_timeout:
            world.timeline.at(now + trip, self.connected, name, hop)
        elif there and trip < self.dial_timeout:
            world.timeline.at(now + trip, self.connect_failed, name, hop)
        else:
            world.timeline.at(now + self.dial_timeout, self.connect_failed, name, hop)

    def connected(self, name: int, hop: Hop) -> None:
        if not hop.finished:
            self.world.network.carry(self.zone, hop.server.zone, self.arrive, name, hop)

    def connect_failed(self, name: int, hop: Hop) -> None:
        if not hop.finished:
            self.world.rule_checker.hop_returned(hop.submission.client_submission.number)
            hop.job = None
            self.response_arrived(name, hop, Outcome.CONNECT_FAILED)

    def arrive(self, name: int, hop: Hop) -> None:
        if hop.finished:
            return
        server, world = hop.server, self.world
        if not server.up or hop.process != server.process:
            world.rule_checker.hop_returned(hop.submission.client_submission.number)
            world.network.carry(server.zone, self.zone, self.response_arrived, name, hop, Outcome.RESET)
            return
        ask = hop.submission.client_submission
        told = world.registry.start_is_known(self.number, server.number, server.started_at)

        def reply(outcome: Outcome) -> None:
            world.rule_checker.hop_returned(ask.number)
            if not server.silent:
                stalls = outcome == Outcome.OK and server.draw_stall()
                world.network.carry(
                    server.zone,
                    self.zone,
                    self.response_stalled if stalls else self.response_arrived,
                    name,
                    hop,
                    outcome,
                )

        job = Job(ask.number, ask.key, self.number, world.work(ask.number), reply, told)
        if server.receive(job):
            hop.job = job

    def response_stalled(self, name: int, hop: Hop, outcome: Outcome) -> None:
        """Part of its answer has come, and no more will."""
        if not hop.finished and hop.submission.handle is not None:
            hop.submission.handle.started(self.world.timeline.now, hop.number)

    def response_arrived(self, name: int, hop: Hop, outcome: Outcome) -> None:
        """What its server said of a hop has come here."""
        if hop.finished:
            return
        one = hop.submission
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL) and hop.process == hop.server.process:
            process, kept = self.idle.get(hop.server.number, (0, 0))
            kept = kept if process == hop.process else 0
            self.idle[hop.server.number] = hop.process, min(MAX_IDLE_CONNECTIONS, kept + 1)
        if outcome == Outcome.OK and not one.answered:
            self.answer(one, "succeeded", 0)
        self.finish_hop(name, hop, outcome)

    def finish_hop(self, name: int, hop: Hop, outcome: Outcome) -> None:
        if hop.finished:
            return
        if outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            self.give_up(hop)
        hop.finished = True
        one, now = hop.submission, self.world.timeline.now
        if one.handle is not None:
            one.handle.ended(now, hop.number, outcome, now - hop.started_at, one.answered)
        self.discard_if_done(name, one)

    def give_up(self, hop: Hop) -> None:
        """Its connection is closed, which the server learns after a while, if it learns anything."""
        if hop.finished:
            return
        hop.finished = True
        job, world = hop.job, self.world
        if job is None:
            world.rule_checker.hop_returned(hop.submission.client_submission.number)
        elif not job.finished:
            world.network.carry(self.zone, hop.server.zone, hop.server.cancel, job)

    def cancel(self, name: int, number: int) -> None:
        one = self.open_submissions[name]
        hop = one.hops[number]
        self.world.timeline.at(self.world.timeline.now, self.finish_cancelled, name, hop)

    def finish_cancelled(self, name: int, hop: Hop) -> None:
        self.finish_hop(name, hop, Outcome.CANCELLED)


class ProcessCallbacks:
    """The outlet of one process of a sidecar; what a dead one asks for does not happen."""

    def __init__(self, sidecar: Sidecar, life: int) -> None:
        self.sidecar = sidecar
        self.life = life

    def is_alive(self) -> bool:
        return self.sidecar.up and self.sidecar.starts == self.life

    def send(self, submission: int, server: int, timeout: int) -> None:
        self.sidecar.send(submission, server)

    def defer(self, submission: int, retry_in: int) -> None:
        self.sidecar.report_answer(submission, "deferred", retry_in)

    def forfeit(self, submission: int) -> None:
        self.sidecar.report_answer(submission, "forfeited")

    def cancel(self, submission: int, hop: int) -> None:
        self.sidecar.cancel(submission, hop)

    def probe(self, server: int) -> None:
        """No decision asks for probes."""

    def tell(self, peer: int, data: bytes) -> None:
        """Sidecars of this model don't hear each other."""

    def free_links(self, server: int) -> None:
        """Connections of this model rest unharmed, so that nothing is to be gained here."""

    def follow(self) -> None:
        if self.is_alive():
            self.sidecar.world.registry.subscribe(self.sidecar.number)

    def wake(self, at: int, whom: Wakeable) -> None:
        self.sidecar.world.timeline.at(at, self.fire_timer, whom)

    def fire_timer(self, whom: Wakeable) -> None:
        if self.is_alive():
            whom.woke(self.sidecar.world.timeline.now)

    def log(self, text: str) -> None:
        self.sidecar.trace(self.sidecar.number, text)
