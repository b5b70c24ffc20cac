"""The one lock that owns the balancer; its answers become acts that are done once the lock is free."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush

from ..admin.metrics import Metrics
from ..balancer import Balancer, ClassState, Submission
from ..discovery.server_list import ServerListUpdate, stable_id
from ..http1 import writing
from ..http1.messages import Response
from ..http1.parsing import ResponseParser
from ..interface import ListKind, Outcome, PeerTrials, TimerHandler
from ..invariants import check_invariant
from . import answers, clock
from .admission_gate import AdmissionGate
from .config import Config
from .delay_monitor import DelayMonitor
from .exchange import Exchange, Hop
from .log import Log
from .servers import Pool, ServerConnection

NO_DEADLINE_US = (1 << 63) - 1
MAX_THREAD_DELAY_US = 10_000  # from when our own threads' delay tells on what servers are judged by


ActiveConfig = tuple[Config, tuple[ClassState, ...]]


class PendingCall:
    """A call on the balancer, and what it led to."""

    __slots__ = ("call", "after", "fault", "done")

    def __init__(self, call: Callable[[int], None]) -> None:
        self.call = call
        self.after_unlock: list[Callable[[], None]] = []
        self.error: Exception | None = None
        self.done: threading.Lock | None = None


class PostponedTimer:
    """A submission's alarm, put off once."""

    __slots__ = ("handler",)

    def __init__(self, handler: Submission) -> None:
        self.handler = handler

    def is_finished(self) -> bool:
        return self.handler.is_finished()

    def on_timer(self, now: int) -> None:
        self.handler.on_timer(now)


class Dispatcher:
    def __init__(self, config: Config, log: Log, on_list_request: Callable[[], None]) -> None:
        self.events = log
        self.on_list_request = on_list_request
        self.lock = threading.Lock()
        self.pending_calls: deque[PendingCall] = deque()
        self.timers_changed = threading.Event()
        self.timer_wait_s: float | None = None
        self.timers: list[tuple[int, int, TimerHandler]] = []
        self.timer_sequence = 0
        self.pending_closes: list[Callable[[], None]] = []
        self.after_unlock: list[Callable[[], None]] = []
        self.exchanges: dict[int, Exchange] = {}
        self.admitted = 0
        self.draining = False  # since SIGTERM
        self.shutdown_at = NO_DEADLINE_US  # by when all that is taken has to be answered, known from then on
        self.out_of_service = False  # by an operator, until it is called back
        self.metrics = Metrics()
        self.config_loads = self.config_failures = 0
        self.pool = Pool(self, config, log)
        self.trace_ids: set[str] = set()
        self.trace_expiries: deque[tuple[int, str]] = deque()
        self.balancer = Balancer(config.settings, config.seed, self)
        # What requests are read by, replaced as one: whoever reads one takes it once and keeps to it.
        self.active_config: ActiveConfig = (config, self.balancer.class_states)
        self.max_deadline = max(tariff.deadline for tariff in config.settings.request_classes)
        self.admission_gate = AdmissionGate(config)
        self.delay_monitor = DelayMonitor(self, self.admission_gate)

    # -- the lock and the timers

    def run_locked(self, call: Callable[[int], None]) -> None:
        """Run a call on the balancer under the lock, then what it led to without it.

        Guards against a convoy: with hundreds of threads at the lock, each would have to wait for the
        interpreter while it owns it.  Whoever has the lock runs the calls of those that wait, and wakes them.
        """
        turn = PendingCall(call)
        if self.lock.acquire(False):
            self.run_call(turn)
            self.run_pending_calls()
        else:
            turn.done = threading.Lock()
            turn.done.acquire()
            self.pending_calls.append(turn)
            if self.lock.acquire(False):  # let go just before
                self.run_pending_calls()
            turn.done.acquire()
        self.run_actions(turn.after_unlock)
        if turn.error is not None:
            raise turn.error

    def run_call(self, pending: PendingCall) -> None:
        try:
            pending.call(clock.now())
        except Exception as trouble:  # told to the caller once what was decided before it is done
            pending.error = trouble
        pending.after_unlock, self.after_unlock = self.pending_closes + self.after_unlock, []
        self.pending_closes = []

    def run_pending_calls(self) -> None:
        """With the lock, which is free afterwards; what waits then has found it free or is run here."""
        while True:
            while self.pending_calls:
                turn = self.pending_calls.popleft()
                self.run_call(turn)
                if turn.done is not None:
                    turn.done.release()
            self.lock.release()
            if not self.pending_calls or not self.lock.acquire(False):
                return

    def run_actions(self, actions: list[Callable[[], None]]) -> None:
        for each in actions:
            try:
                each()
            except Exception as trouble:  # one connection's fault must not keep others from their answers
                self.events.event("fault", text=f"{type(trouble).__name__}: {trouble}")

    def run_timers(self) -> None:
        while True:
            self.run_locked(self.fire_timers)
            self.timers_changed.wait(self.timer_wait_s)
            self.timers_changed.clear()

    def fire_timers(self, now: int) -> None:
        while self.timers and self.timers[0][0] <= now:
            whom = heappop(self.timers)[2]
            if (
                type(whom) is Submission
                and self.delay_monitor.delay > MAX_THREAD_DELAY_US
                and not whom.over()
            ):
                # Guards servers against being judged by how late our own threads are: the answer may have
                # come, and wait to be read.
                self.set_timer(now + self.delay_monitor.delay, PostponedTimer(whom))
                continue
            try:
                whom.on_timer(now)
            except Exception as trouble:  # the thread answers for all silent servers and must go on
                self.events.event("fault", text=f"{type(trouble).__name__}: {trouble}")
        self.drop_finished_timers()
        self.timer_wait_s = max(0.0, (self.timers[0][0] - now) / 1e6) if self.timers else None

    def drop_finished_timers(self) -> None:
        """Guards the core against being woken for each submission that has ended long before its alarms."""
        while self.timers:
            whom = self.timers[0][2]
            if not isinstance(whom, (Submission, Exchange, PostponedTimer)) or not whom.is_finished():
                return
            heappop(self.timers)

    # -- what happens to submissions

    def apply_config(self, config: Config) -> None:
        """Go by another configuration, in one step; what has been read ends under what it was read by."""

        def call(now: int) -> None:
            self.balancer.apply_settings(now, config.settings)
            self.pool.apply_config(config)
            self.active_config = (config, self.balancer.class_states)
            self.max_deadline = max(
                self.max_deadline, *(tariff.deadline for tariff in config.settings.request_classes)
            )

        self.admission_gate.apply_config(config)
        self.run_locked(call)

    def submit(self, exchange: Exchange, terms: ClassState, key: int, retry: bool) -> bool:
        """Whether it was taken.

        Guards a submission that may still run against another one under its id, until its patience is over.
        """

        def call(now: int) -> None:
            while self.trace_expiries and self.trace_expiries[0][0] <= now:
                self.trace_ids.discard(self.trace_expiries.popleft()[1])
            if exchange.trace_id in self.trace_ids:
                return
            self.trace_ids.add(exchange.trace_id)
            self.trace_expiries.append(
                (min(exchange.deadline_at, now + self.max_deadline), exchange.trace_id)
            )
            self.admitted += 1
            exchange.number = self.admitted
            self.exchanges[exchange.number] = exchange
            exchange.submission = self.balancer.submit_with(
                now, exchange.number, terms, key, retry, exchange.deadline_at, exchange.upload is not None
            )
            if not exchange.answered and exchange.upload is None:
                self.set_timer(exchange.deadline_at, exchange)
            self.remove_if_finished(exchange)

        self.run_locked(call)
        return exchange.number > 0

    def run_hops(self, exchange: Exchange) -> None:
        """By the client's thread: carry out the hops, one after the other, until none follows."""
        while exchange.pending_hops:
            hop = exchange.pending_hops.popleft()
            link = hop.connection
            assert isinstance(link, ServerConnection)
            try:
                outcome, response, reuse = link.run_hop(hop)
            except Exception:
                self.run_locked(lambda now, link=link: self.discard_connection(link))  # type: ignore[misc]
                raise
            exchange.client.acquire_slot()
            try:
                self.complete_hop(hop, link, outcome, response, reuse)
            finally:
                exchange.client.release_slot(clock.now() - hop.received_at if hop.received_at else 0)

    def discard_connection(self, connection: ServerConnection) -> None:
        connection.hop = None
        connection.close()

    def upload_received(self, hop: Hop) -> None:
        exchange = hop.exchange

        def call(now: int) -> None:
            if exchange.answered or exchange.submission is None:
                return
            exchange.deadline_at = min(now + exchange.deadline, self.shutdown_at)
            exchange.submission.body_complete(now, hop.number, exchange.deadline_at)
            self.set_timer(exchange.deadline_at, exchange)

        self.run_locked(call)

    def complete_hop(
        self, hop: Hop, connection: ServerConnection, outcome: Outcome, response: Response | None, reuse: bool
    ) -> None:
        """A hop has ended; its connection is ready for another, or it is closed."""
        exchange = hop.exchange
        left = outcome != Outcome.OK and not exchange.answered and exchange.client.has_left()

        def call(now: int) -> None:
            connection.hop = None
            if reuse:
                self.pool.release(now, connection)
            else:
                connection.close()
            if left and not exchange.answered and exchange.submission is not None:
                # Nobody waits for a further hop.
                exchange.answered = exchange.client_left = True
                exchange.submission.client_left(now)
            if hop.ended:
                return
            if outcome == Outcome.OK and response is not None and not exchange.answered:
                self.answer(exchange, answers.succeeded(response))
            self.end_hop(now, hop, Outcome.CANCELLED if hop.cancelled else outcome)

        self.run_locked(call)

    def response_started(self, hop: Hop) -> None:
        def call(now: int) -> None:
            if not hop.ended and hop.exchange.submission is not None:
                hop.exchange.submission.response_started(now, hop.number)

        self.run_locked(call)

    def stream_response(self, hop: Hop, parser: ResponseParser) -> bool:
        """Guards the memory limit: an answer too long to be held is passed on as it comes.

        For the balancer the hop has ended: what slows the rest may be the client, and nothing cuts it.
        """
        exchange, begun = hop.exchange, parser.incoming()
        if begun is None:
            return False
        head, length = begun
        if not isinstance(head, Response) or head.status != 200:
            return False
        if length == writing.CHUNKED and not exchange.request.minor:
            length = writing.UNTIL_CLOSE

        def call(now: int) -> None:
            if (
                not exchange.answered
                and not hop.ended
                and not hop.cancelled
                and exchange.submission is not None
            ):
                exchange.answered = hop.ended = True
                exchange.submission.hop_finished(
                    now, hop.number, Outcome.OK, max(hop.started_at, hop.received_at) - hop.started_at, True
                )
                self.remove_if_finished(exchange)
                passed.append(True)

        passed: list[bool] = []
        self.run_locked(call)
        if passed:
            exchange.client.start_response(answers.succeeded(head), length, not self.closes_connections())
        return bool(passed)

    def abort_exchange(self, exchange: Exchange) -> None:
        """A fault of our own on the client's side: hops are called off and the client is told."""

        def call(now: int) -> None:
            for hop in exchange.hops:
                hop.ended = True
                hop.connection.hop = None
                hop.connection.close()
            if not exchange.answered:
                self.answer(exchange, answers.FAILED)
            self.exchanges.pop(exchange.number, None)

        self.run_locked(call)

    def end_hop(self, now: int, hop: Hop, outcome: Outcome) -> None:
        if hop.ended:
            return
        hop.ended = True
        if hop.connection.hop is hop:
            hop.connection.close()
        exchange = hop.exchange
        if exchange.submission is not None:
            # By when it reached this machine: what our threads took to read it is not the server's.
            came = max(hop.started_at, hop.received_at) if outcome == Outcome.OK and hop.received_at else now
            exchange.submission.hop_finished(
                now, hop.number, outcome, came - hop.started_at, exchange.answered
            )
        self.remove_if_finished(exchange)

    def answer(self, exchange: Exchange, answer: answers.Answer) -> None:
        if check_invariant(not exchange.answered, "second final answer"):
            exchange.answered = True
            client = exchange.client
            self.after_unlock.append(lambda: client.answer(answer, not self.closes_connections()))

    def remove_if_finished(self, exchange: Exchange) -> None:
        if exchange.is_finished():
            self.exchanges.pop(exchange.number, None)
            exchange.hops.clear()  # they know it, and would keep each other until the next collection

    def closes_connections(self) -> bool:
        """Whether clients are sent away: every answer ends its connection."""
        return self.draining or self.out_of_service

    def set_out_of_service(self, name: str, out: bool, certain: bool = False) -> bool:
        """Take a server out, or let it serve again; nothing more goes to it from the return on."""

        def call(now: int) -> None:
            if self.balancer.set_out_of_service(now, stable_id(name), out, certain):
                self.pool.set_out_of_service(stable_id(name), out)
                done.append(True)

        done: list[bool] = []
        self.run_locked(call)
        return bool(done)

    def set_peer_trials(self, peer_trials: PeerTrials | None) -> None:
        """Have trials of sick servers agreed on with other sidecars, or each one's own again."""

        def call(now: int) -> None:
            self.balancer.peer_trials = peer_trials

        self.run_locked(call)

    def postpone_trial(self, server: int, wait: int) -> None:
        """What another sidecar says of a server whose breaker may be open here."""
        self.run_locked(lambda now: self.balancer.postpone_trial(now, server, wait))

    def operator_state(self) -> tuple[dict[int, int], dict[int, int]]:
        """The servers out by hand and those back that may be cold, with the times since when."""

        def call(now: int) -> None:
            told.append((dict(self.balancer.out_of_service), dict(self.balancer.returned_at)))

        told: list[tuple[dict[int, int], dict[int, int]]] = []
        self.run_locked(call)
        return told[0]

    def inherit_operator_state(self, out_of_service: dict[int, int], back_in_service: dict[int, int]) -> None:
        """Before the first list: what the process before this one was told by hand."""
        self.balancer.out_of_service, self.balancer.returned_at = out_of_service, back_in_service
        self.pool.out_of_service = set(out_of_service)

    def scale_connection_limit(self, numerator: int, denominator: int) -> None:
        """Hold only so many connections to servers: guards the limits while two processes share them."""
        self.run_locked(lambda now: self.pool.scale_limit(numerator, denominator))

    def server_counts(self) -> tuple[int, int]:
        """How many servers are listed, and how many of them avoided."""

        def call(now: int) -> None:
            told.append(self.balancer.server_counts())

        told: list[tuple[int, int]] = []
        self.run_locked(call)
        return told[0]

    def update_servers(self, kind: ListKind, update: ServerListUpdate, elapsed: int = 0) -> None:
        def call(now: int) -> None:
            alone = self.balancer.settings.only_draining_removes
            if kind != ListKind.FAILED:
                self.pool.update_servers(update, alone)
            self.balancer.update_servers(now, kind, update.entries, elapsed)
            if alone:
                self.pool.keep_only(self.balancer.index_by_id)

        self.run_locked(call)

    # -- the outlet of the balancer, called under the lock

    def send(self, submission: int, server: int, timeout: int) -> None:
        exchange = self.exchanges[submission]
        now = clock.now()
        ends = min(exchange.deadline_at, now + timeout) if timeout > 0 else exchange.deadline_at
        hop = Hop(exchange, len(exchange.hops), server, now, ends)
        exchange.hops.append(hop)
        hop.connection = self.pool.connection_for(now, hop)
        exchange.pending_hops.append(hop)
        if timeout > 0:
            self.set_timer(now + timeout, hop)

    def reject(self, submission: int, retry_in: int) -> None:
        self.answer(self.exchanges[submission], answers.rejected(retry_in))

    def fail(self, submission: int) -> None:
        self.answer(self.exchanges[submission], answers.FAILED)

    def hop_sent(self) -> None:
        self.metrics.count("sends")

    def cancel(self, submission: int, hop: int) -> None:
        given_up = self.exchanges[submission].hops[hop]
        given_up.cancelled = True
        given_up.connection.close()

    def probe(self, server: int) -> None:
        """No decision asks for probes yet."""

    def close_idle_connections(self, server: int) -> None:
        self.pool.close_idle(server)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """The platform says nothing of messages between sidecars: the hint is lost, as hints may be."""

    def request_server_list(self) -> None:
        self.after_unlock.append(self.on_list_request)

    def close_after_unlock(self, action: Callable[[], None]) -> None:
        self.pending_closes.append(action)

    def set_timer(self, at: int, whom: TimerHandler) -> None:
        self.timer_sequence += 1
        heappush(self.timers, (at, self.timer_sequence, whom))
        if self.timers[0][1] == self.timer_sequence:
            self.timers_changed.set()

    def log(self, text: str) -> None:
        self.after_unlock.append(lambda: self.events.event("mode", text=text))
