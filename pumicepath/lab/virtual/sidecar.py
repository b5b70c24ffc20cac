"""A sidecar in virtual time: hosts the real balancer and models connections, without threads or bytes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from ...interface import Callbacks, ListKind, Outcome, ServerEntry, Settings, TimerHandler
from ..model.clients import ClientSubmission
from ..model.network import Network
from ..model.registry import Registry
from ..model.rule_checker import RuleChecker
from ..model.servers import Job, Server
from ..model.timeline import Timeline
from ..model.world import SidecarFleet

ANSWER_MARGIN_US = 5_000  # before the deadline, in which the final answer is sent
MAX_IDLE_CONNECTIONS = 8  # kept per server


class SubmissionHandle(Protocol):
    """A balancer's object for a submission, such as `Submission` of the real balancer."""

    def hop_finished(self, now: int, number: int, outcome: Outcome, elapsed: int, is_final: bool) -> None: ...

    def response_started(self, now: int, number: int) -> None: ...

    def client_left(self, now: int) -> None: ...

    def is_finished(self) -> bool: ...


class BalancerLike(Protocol):
    """A balancer that a sidecar can host, the real one or a textbook one."""

    def update_servers(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None: ...

    def submit(
        self, now: int, name: int, class_index: int, key: int, is_retry: bool, deadline_at: int
    ) -> SubmissionHandle: ...


BalancerFactory = Callable[[Settings, int, Callbacks], Any]


class Hop:
    """One attempt at a server, and its connection."""

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
    """A submission that a sidecar has admitted and not finished; times in microseconds."""

    __slots__ = ("client_submission", "try_number", "deadline_at", "hops", "handle", "answered")

    def __init__(self, client_submission: ClientSubmission, deadline_at: int) -> None:
        self.client_submission = client_submission
        self.try_number = client_submission.current_try
        self.deadline_at = deadline_at
        self.hops: list[Hop] = []
        self.handle: SubmissionHandle | None = None
        self.answered = False


class SidecarEnvironment(Protocol):
    """What a sidecar needs of the world around it."""

    network: Network
    registry: Registry
    rule_checker: RuleChecker
    servers: dict[int, Server]
    sidecar_fleet: SidecarFleet | None

    @property
    def timeline(self) -> Timeline:
        """The clock and scheduler."""

    def work(self, submission_id: int) -> int:
        """Core-microseconds of a submission on a warm server with its key in the cache."""


class Sidecar:
    """Hosts a balancer: admits submissions, sends hops and answers clients; times in microseconds.

    The work per submission is linear in its hops; no state outlives the submission or its server.
    """

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

    # -- the process

    def start(self, state: str = "old") -> None:
        """Start a new process, with a cached copy of the list and no other state."""
        self.up = True
        self.starts += 1
        self.open_submissions: dict[int, OpenSubmission] = {}
        self.latest_names: dict[int, int] = {}  # by submission of a client, the name of its latest try
        self.idle: dict[int, tuple[int, int]] = {}  # by server: its process, and the idle connections to it
        self.admitted = 0
        process_number = self.starts
        self.balancer: BalancerLike = self.make_balancer(
            self.settings, self.seed + process_number - 1, ProcessCallbacks(self, process_number)
        )
        self.world.registry.register(self.number, self)
        if self.world.sidecar_fleet is not None:
            self.world.sidecar_fleet.start(self.number)
            self.world.sidecar_fleet.attach_balancer(self.number, self.balancer)

    def kill(self) -> None:
        """Kill the process: its clients and servers see their connections end."""
        self.up = False
        self.world.registry.unregister(self.number)
        if self.world.sidecar_fleet is not None:
            self.world.sidecar_fleet.kill(self.number)
        open_submissions, self.open_submissions, self.latest_names = self.open_submissions, {}, {}
        for submission in open_submissions.values():
            for hop in submission.hops:
                self.give_up(hop)
            if not submission.answered:
                submission.answered = True
                submission.client_submission.clients.target_died(
                    submission.client_submission,
                    self.settings.request_classes[submission.client_submission.class_index].effect != 0,
                )

    def receive_list(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        """Pass entries of the server list on to the balancer."""
        self.balancer.update_servers(self.world.timeline.now, kind, entries)

    # -- clients

    def submit(self, client_submission: ClientSubmission) -> bool:
        """Admit a try of a client's submission; False while the process is down."""
        if not self.up:
            return False
        timeline = self.world.timeline
        now = timeline.now
        self.world.rule_checker.try_admitted(
            client_submission.number, client_submission.class_index, client_submission.deadline_at
        )
        self.admitted += 1
        name = self.latest_names[client_submission.number] = self.admitted
        submission = self.open_submissions[name] = OpenSubmission(
            client_submission, client_submission.deadline_at
        )
        answer_by = client_submission.deadline_at - ANSWER_MARGIN_US
        timeline.at(answer_by, self.deadline_passed, name, submission)
        handle = self.balancer.submit(
            now,
            name,
            client_submission.class_index,
            client_submission.key,
            client_submission.tries > 1,
            answer_by,
        )
        submission.handle = handle
        self.discard_if_done(name, submission)
        return True

    def client_left(self, client_submission: ClientSubmission) -> None:
        """The client does not wait any more; outcomes of running hops are still reported."""
        name = self.latest_names.get(client_submission.number, 0)
        submission = self.open_submissions.get(name)
        if submission is not None and not submission.answered:
            submission.answered = True
            if submission.handle is not None:
                submission.handle.client_left(self.world.timeline.now)
            self.discard_if_done(name, submission)

    def deadline_passed(self, name: int, submission: OpenSubmission) -> None:
        """Time remaining hops out, as `sidecar.exchange` does, and answer what has no answer yet."""
        if self.open_submissions.get(name) is not submission:
            return
        for hop in list(submission.hops):
            self.finish_hop(name, hop, Outcome.TIMEOUT)
        if not submission.answered:
            self.answer(submission, "forfeited", 0)

    def report_answer(self, name: int, answer: str, retry_after: int = 0) -> None:
        """Answer as the balancer says; a finished submission was answered before, which is a violation."""
        submission = self.open_submissions.get(name)
        if submission is None:
            self.world.rule_checker.report_violation(
                "answered_twice", f"sidecar {self.number} {answer} {name}, which was finished"
            )
        else:
            self.answer(submission, answer, retry_after)

    def answer(self, submission: OpenSubmission, answer: str, retry_after: int) -> None:
        """Send a final answer to the client."""
        client_submission = submission.client_submission
        answered_before = submission.answered
        submission.answered = True
        # Sent once the balancer has returned; a second answer is sent too, for the rule checker to see.
        at, now = self.world.timeline.at, self.world.timeline.now
        if answer == "succeeded":
            at(now, client_submission.clients.succeeded, client_submission, submission.try_number)
        elif answer == "deferred":
            at(now, client_submission.clients.rejected, client_submission, submission.try_number, retry_after)
        else:
            at(now, client_submission.clients.failed, client_submission, submission.try_number)
        if answered_before:
            self.trace(self.number, f"submission {client_submission.number} answered again")

    def discard_if_done(self, name: int, submission: OpenSubmission) -> None:
        """Forget a submission that is answered and has no more hops."""
        if submission.handle is not None and submission.handle.is_finished() and submission.answered:
            self.open_submissions.pop(name, None)
            if self.latest_names.get(submission.client_submission.number) == name:
                del self.latest_names[submission.client_submission.number]

    # -- servers

    def send(self, name: int, number: int) -> None:
        """Send a hop of a submission to a server, on an idle connection or a new one."""
        submission, world = self.open_submissions.get(name), self.world
        now = world.timeline.now
        if submission is None:
            world.rule_checker.report_violation(
                "sent_after_answer", f"sidecar {self.number} sent {name}, which was finished"
            )
            return
        server = world.servers[number]
        hop = Hop(submission, len(submission.hops), server, now)
        submission.hops.append(hop)
        world.rule_checker.hop_sent(
            self.number, number, submission.client_submission.number, submission.answered
        )
        process, idle_count = self.idle.get(number, (0, 0))
        if idle_count and process == server.process:
            self.idle[number] = process, idle_count - 1
            world.network.carry(self.zone, server.zone, self.arrive, name, hop)
            return
        # A new connection takes one round trip, or fails when the dial timeout is over.
        hop.new_connection = True
        reachable = world.network.is_connected(self.zone, server.zone) and not server.silent
        round_trip = world.network.delay(self.zone, server.zone) + world.network.delay(server.zone, self.zone)
        if reachable and server.up and round_trip < self.dial_timeout:
            world.timeline.at(now + round_trip, self.connected, name, hop)
        elif reachable and round_trip < self.dial_timeout:
            world.timeline.at(now + round_trip, self.connect_failed, name, hop)
        else:
            world.timeline.at(now + self.dial_timeout, self.connect_failed, name, hop)

    def connected(self, name: int, hop: Hop) -> None:
        """The new connection is established."""
        if not hop.finished:
            self.world.network.carry(self.zone, hop.server.zone, self.arrive, name, hop)

    def connect_failed(self, name: int, hop: Hop) -> None:
        """The new connection was refused or timed out."""
        if not hop.finished:
            self.world.rule_checker.hop_returned(hop.submission.client_submission.number)
            hop.job = None
            self.response_arrived(name, hop, Outcome.CONNECT_FAILED)

    def arrive(self, name: int, hop: Hop) -> None:
        """A hop reaches its server, which resets it if the process of the connection is gone."""
        if hop.finished:
            return
        server, world = hop.server, self.world
        if not server.up or hop.process != server.process:
            world.rule_checker.hop_returned(hop.submission.client_submission.number)
            world.network.carry(server.zone, self.zone, self.response_arrived, name, hop, Outcome.RESET)
            return
        client_submission = hop.submission.client_submission
        knew_start = world.registry.start_is_known(self.number, server.number, server.started_at)

        def reply(outcome: Outcome) -> None:
            world.rule_checker.hop_returned(client_submission.number)
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

        job = Job(
            client_submission.number,
            client_submission.key,
            self.number,
            world.work(client_submission.number),
            reply,
            knew_start,
        )
        if server.receive(job):
            hop.job = job

    def response_stalled(self, name: int, hop: Hop, outcome: Outcome) -> None:
        """The beginning of a response has arrived; the rest never will."""
        if not hop.finished and hop.submission.handle is not None:
            hop.submission.handle.response_started(self.world.timeline.now, hop.number)

    def response_arrived(self, name: int, hop: Hop, outcome: Outcome) -> None:
        """The outcome of a hop has arrived from its server."""
        if hop.finished:
            return
        submission = hop.submission
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.FULL) and hop.process == hop.server.process:
            process, idle_count = self.idle.get(hop.server.number, (0, 0))
            idle_count = idle_count if process == hop.process else 0
            self.idle[hop.server.number] = hop.process, min(MAX_IDLE_CONNECTIONS, idle_count + 1)
        if outcome == Outcome.OK and not submission.answered:
            self.answer(submission, "succeeded", 0)
        self.finish_hop(name, hop, outcome)

    def finish_hop(self, name: int, hop: Hop, outcome: Outcome) -> None:
        """Report the outcome of a hop to the balancer, once."""
        if hop.finished:
            return
        if outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            self.give_up(hop)
        hop.finished = True
        submission, now = hop.submission, self.world.timeline.now
        if submission.handle is not None:
            submission.handle.hop_finished(
                now, hop.number, outcome, now - hop.started_at, submission.answered
            )
        self.discard_if_done(name, submission)

    def give_up(self, hop: Hop) -> None:
        """Close the connection of a hop; the server notices after the network delay, if it is reachable."""
        if hop.finished:
            return
        hop.finished = True
        job, world = hop.job, self.world
        if job is None:
            world.rule_checker.hop_returned(hop.submission.client_submission.number)
        elif not job.finished:
            world.network.carry(self.zone, hop.server.zone, hop.server.cancel, job)

    def cancel(self, name: int, number: int) -> None:
        """Cancel a hop once the balancer has returned."""
        submission = self.open_submissions[name]
        hop = submission.hops[number]
        self.world.timeline.at(self.world.timeline.now, self.finish_cancelled, name, hop)

    def finish_cancelled(self, name: int, hop: Hop) -> None:
        """Report a cancelled hop."""
        self.finish_hop(name, hop, Outcome.CANCELLED)


class ProcessCallbacks:
    """Callbacks of the balancer of one process; a dead process sets no timer and asks for no list."""

    def __init__(self, sidecar: Sidecar, process_number: int) -> None:
        self.sidecar = sidecar
        self.process_number = process_number

    def is_alive(self) -> bool:
        """Whether this process still runs."""
        return self.sidecar.up and self.sidecar.starts == self.process_number

    def send(self, submission: int, server: int, timeout: int) -> None:
        """Send a hop."""
        self.sidecar.send(submission, server)

    def reject(self, submission: int, retry_in: int) -> None:
        """Reject a submission, with the time after which to retry."""
        self.sidecar.report_answer(submission, "deferred", retry_in)

    def fail(self, submission: int) -> None:
        """Answer that a submission has failed and may have run."""
        self.sidecar.report_answer(submission, "forfeited")

    def cancel(self, submission: int, hop: int) -> None:
        """Cancel a hop."""
        self.sidecar.cancel(submission, hop)

    def probe(self, server: int) -> None:
        """Unused: no balancer asks for probes."""

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Ignored: sidecars exchange no messages of their balancers here."""

    def close_idle_connections(self, server: int) -> None:
        """Ignored: idle connections are never lost in this model, so closing them has no use."""

    def request_server_list(self) -> None:
        """Subscribe to the server list."""
        if self.is_alive():
            self.sidecar.world.registry.subscribe(self.sidecar.number)

    def set_timer(self, at: int, handler: TimerHandler) -> None:
        """Set a timer."""
        self.sidecar.world.timeline.at(at, self.fire_timer, handler)

    def fire_timer(self, handler: TimerHandler) -> None:
        """A timer is due."""
        if self.is_alive():
            handler.on_timer(self.sidecar.world.timeline.now)

    def log(self, text: str) -> None:
        """Trace a line of the balancer's log."""
        self.sidecar.trace(self.sidecar.number, text)
