"""Serializes all access to the balancer under one lock and runs its timers.

The balancer's callbacks are called while the lock is held.  They only queue I/O (answers, socket shutdowns,
log events), which the calling thread does after the lock is released, so that nothing blocks under the lock.
Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

from collections.abc import Callable

from ..admin.metrics import Metrics
from ..balancer import Balancer, ClassState, Submission
from ..discovery.server_list import ServerListUpdate, stable_id
from ..http1 import writing
from ..http1.messages import Response
from ..http1.parsing import ResponseParser
from ..interface import Effect, ListKind, Outcome, PeerTrials, TimerHandler
from ..invariants import check_invariant
from . import answers, clock
from .admission_gate import AdmissionGate
from .bulkhead import Bulkheads
from .combining_lock import CombiningLock
from .config import ACCEPT_HEADROOM, BASE_MEMORY_BYTES, Config
from .decision_log import Decision, DecisionLog, RefusalReason
from .delay_monitor import DelayMonitor
from .exchange import Exchange, Hop, UploadDeadline
from .first_list import FirstList
from .id_grants import Grant, IdGrants
from .id_registry import IdRegistry
from .log import Log
from .memory_account import MemoryAccount, MemoryBudget, resident_bytes
from .servers import Pool, ServerConnection
from .timers import PostponedTimer, TimerQueue

NO_DEADLINE_US = (1 << 63) - 1
MAX_THREAD_DELAY_US = 10_000  # above this scheduling delay of our own threads, latency timers are postponed

# The configuration and the terms of its request classes, in the order of the configuration.
ActiveConfig = tuple[Config, tuple[ClassState, ...]]


def must_ask(class_state: ClassState) -> bool:
    """Whether a request of this class must not run in two processes."""
    return class_state.request_class.effect != Effect.IDEMPOTENT


class Dispatcher:
    """Owns the balancer, the open exchanges and the timers, and is the balancer's host.

    Public methods may be called from any thread unless their docstring says that the lock must be held.
    """

    def __init__(self, config: Config, log: Log, on_list_request: Callable[[], None]) -> None:
        self.events = log
        self.on_list_request = on_list_request
        self.combining_lock = CombiningLock(self.log_fault)
        self.timers = TimerQueue()
        self.exchanges: dict[int, Exchange] = {}
        self.admitted = 0
        self.draining = False  # since SIGTERM
        self.shutdown_at = NO_DEADLINE_US  # when all admitted requests must be answered, set on SIGTERM
        self.out_of_service = False  # this sidecar, by an operator
        self.metrics = Metrics()
        self.decisions = DecisionLog(self.metrics)
        self.config_loads = self.config_failures = 0
        self.memory_budget = MemoryBudget(
            config.usable_memory,
            BASE_MEMORY_BYTES,
            config.max_client_connections + ACCEPT_HEADROOM,
            config.max_server_connections,
            config.overflow_connections,
        )
        self.bulkheads = Bulkheads()
        self.memory = MemoryAccount(self.memory_budget.for_messages(1))
        self.pool = Pool(self, config, log)
        self.streaming: set[int] = set()  # exchanges whose answer is being streamed, by number
        self.ids = IdRegistry(self.run_locked, self.is_open, lambda: self.max_deadline)
        self.balancer = Balancer(config.settings, config.seed, self)
        # Not by the configured seed alone, which sidecars may share.
        self.first_list = FirstList(self, config.seed ^ stable_id(config.name))
        # Replaced as a whole: a thread reads it once per request and uses that one until the answer.
        self.active_config: ActiveConfig = (config, self.balancer.class_states)
        self.max_deadline = max(each.deadline for each in config.settings.request_classes)
        self.admission_gate = AdmissionGate(config)
        self.delay_monitor = DelayMonitor(self, self.admission_gate)

    # -- the lock and the timers

    def run_locked(self, call: Callable[[int], None]) -> None:
        """Run a call under the lock, then the work that it queued; re-raise the call's exception."""
        self.combining_lock.run(call)

    def do_after_unlock(self, action: Callable[[], None]) -> None:
        """Queue work to be done once the lock is released; called with the lock held."""
        self.combining_lock.after_unlock.append(action)

    def close_after_unlock(self, action: Callable[[], None]) -> None:
        """Queue a socket shutdown, done after the lock is released and before all other queued work."""
        self.combining_lock.closes.append(action)

    def log_fault(self, error: Exception) -> None:
        """Log an exception that must not end the thread it was raised in."""
        self.events.event("fault", text=f"{type(error).__name__}: {error}")

    def run_timers(self) -> None:
        """Run due timers for as long as the process lives; the body of the timer thread."""
        while True:
            self.run_locked(self.fire_timers)
            self.timers.wait()

    def fire_timers(self, now: int) -> None:
        """Run all timers that are due; called with the lock held."""
        while (handler := self.timers.pop_due(now)) is not None:
            if (
                type(handler) is Submission
                and self.delay_monitor.delay > MAX_THREAD_DELAY_US
                and not handler.is_finished()
            ):
                # Our own threads are late, so the response may already be in the socket's buffer, unread.
                # Running the timer now would count our delay as the server's latency.
                self.set_timer(now + self.delay_monitor.delay, PostponedTimer(handler))
                continue
            try:
                handler.on_timer(now)
            except Exception as error:  # this thread ends all timed-out submissions and must go on
                self.log_fault(error)
        self.timers.settle(now)

    # -- configuration and submissions

    def apply_config(self, config: Config) -> None:
        """Switch to another configuration atomically; requests that were read before keep the old one."""

        def call(now: int) -> None:
            self.balancer.apply_settings(now, config.settings)
            self.pool.apply_config(config)
            self.active_config = (config, self.balancer.class_states)
            self.max_deadline = max(
                self.max_deadline, *(each.deadline for each in config.settings.request_classes)
            )

        self.admission_gate.apply_config(config)
        self.run_locked(call)

    def submit(self, exchange: Exchange, class_state: ClassState, key: int, retry: bool) -> Grant:
        """Submit an exchange to the balancer, unless its trace id may not be used; returns whether it may.

        A trace id stays in use until the submission's deadline, even when it has been answered, and for as
        long as its body or answer is being streamed.
        """
        if must_ask(class_state) and not self.ids.decides.is_set() and not self.wait_to_decide(exchange):
            return Grant.UNANSWERED
        while True:
            asked = self.ids.grants if must_ask(class_state) else None
            if asked is not None:
                grant = self.ask_for_id(exchange, asked)
                if grant != Grant.GRANTED:
                    return grant
            grant = self.submit_granted(exchange, class_state, key, retry, asked)
            if grant != Grant.UNASKED:
                return grant

    def wait_to_decide(self, exchange: Exchange) -> bool:
        """Wait until this process decides which ids may be used, for as long as the exchange has time."""
        exchange.client.before_blocking()
        try:
            return self.ids.wait_to_decide(self.ids.held_until(clock.now(), exchange.deadline_at))
        finally:
            exchange.client.acquire_slot()

    def ask_for_id(self, exchange: Exchange, id_grants: IdGrants) -> Grant:
        """Ask another process for the use of an exchange's id; the client's thread waits for the answer.

        Meanwhile the id is refused to older processes.
        """
        until = self.ids.held_until(clock.now(), exchange.deadline_at)
        if not self.ids.reserve_own(exchange.trace_id, until):
            return Grant.IN_USE
        exchange.client.before_blocking()
        try:
            return id_grants.ask(exchange.trace_id, until)
        finally:
            exchange.client.acquire_slot()

    def submit_granted(
        self, exchange: Exchange, class_state: ClassState, key: int, retry: bool, asked: IdGrants | None
    ) -> Grant:
        """Submit an exchange after `asked` has granted its id, unless that is in use in this process."""
        grant = Grant.IN_USE

        def call(now: int) -> None:
            nonlocal grant
            if self.ids.grants not in (None, asked) and must_ask(class_state):
                grant = Grant.UNASKED
                return
            number = self.admitted + 1
            if not self.ids.claim(now, exchange.trace_id, number, exchange.deadline_at):
                return
            grant = Grant.GRANTED
            self.admitted = number
            exchange.number = self.admitted
            self.exchanges[exchange.number] = exchange
            exchange.submission = self.balancer.submit_with(
                now,
                exchange.number,
                class_state,
                key,
                retry,
                exchange.deadline_at,
                exchange.upload is not None,
            )
            if exchange.upload is not None:
                self.set_timer(now + exchange.deadline, UploadDeadline(exchange, exchange.upload))
            elif not exchange.answered:
                self.set_timer(exchange.deadline_at, exchange)
            self.remove_if_finished(exchange)

        self.run_locked(call)
        return grant

    def run_hops(self, exchange: Exchange) -> None:
        """Run the exchange's hops one after the other until no further one is pending.

        Called by the client's thread, which does the I/O of the hops.
        """
        while exchange.pending_hops:
            hop = exchange.pending_hops.popleft()
            connection = hop.connection
            assert isinstance(connection, ServerConnection)
            try:
                outcome, response, reuse = connection.run_hop(hop)
            except Exception:
                self.run_locked(lambda now, failed=connection: self.discard_connection(failed))  # type: ignore[misc]
                hop.memory.release()
                raise
            exchange.client.acquire_slot()
            try:
                self.complete_hop(hop, connection, outcome, response, reuse)
            finally:
                hop.memory.release()
                exchange.client.release_slot(clock.now() - hop.received_at if hop.received_at else 0)

    def discard_connection(self, connection: ServerConnection) -> None:
        """Close a connection whose hop ended with an exception; called with the lock held."""
        connection.hop = None
        connection.close()

    def upload_received(self, hop: Hop) -> None:
        """Start the deadline of a submission whose body was streamed, now that its last byte has been read.

        That may be long after it was written, if the server was slow to take what came before it.
        """
        exchange, upload = hop.exchange, hop.exchange.upload

        def call(now: int) -> None:
            if exchange.answered or exchange.submission is None or upload is None:
                return
            exchange.deadline_at = min(upload.last_byte_at + exchange.deadline, self.shutdown_at)
            if exchange.deadline_at <= now:
                exchange.end_upload(now)
                return
            exchange.submission.body_complete(now, hop.number, exchange.deadline_at)
            # From here on a server may run it, and may do so up to the deadline, whatever becomes of the hop.
            self.ids.prolong(now, exchange.trace_id, exchange.deadline_at)
            self.set_timer(exchange.deadline_at, exchange)

        self.run_locked(call)

    def complete_hop(
        self, hop: Hop, connection: ServerConnection, outcome: Outcome, response: Response | None, reuse: bool
    ) -> None:
        """Report the outcome of a hop, and return its connection to the pool if `reuse`, else close it."""
        exchange = hop.exchange
        client_left = outcome != Outcome.OK and not exchange.answered and exchange.client.has_left()

        def call(now: int) -> None:
            connection.hop = None
            self.end_streaming(exchange)
            if reuse:
                self.pool.release(now, connection)
            else:
                connection.close()
            if client_left and not exchange.answered and exchange.submission is not None:
                # No further hop is needed: the client has closed its connection.
                exchange.answered = exchange.client_left = True
                exchange.submission.client_left(now)
            if hop.ended:
                return
            if outcome == Outcome.OK and response is not None and not exchange.answered:
                self.answer(exchange, answers.succeeded(response))
            self.end_hop(now, hop, Outcome.CANCELLED if hop.cancelled else outcome)

        self.run_locked(call)

    def response_started(self, hop: Hop) -> None:
        """Tell the balancer that the first bytes of a response have arrived."""

        def call(now: int) -> None:
            if not hop.ended and hop.exchange.submission is not None:
                hop.exchange.submission.response_started(now, hop.number)

        self.run_locked(call)

    def stream_response(self, hop: Hop, parser: ResponseParser) -> bool:
        """Start to stream a response that is too large to buffer; False if it can't be the final answer.

        Holding it until it is complete would exceed the memory limit.

        The hop ends here for the balancer, as the rest may be slowed down by the client as well as by the
        server, and no timer ends it.
        """
        exchange, incoming = hop.exchange, parser.incoming()
        if incoming is None:
            return False
        head, length = incoming
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
                self.streaming.add(exchange.number)
                exchange.submission.hop_finished(
                    now, hop.number, Outcome.OK, max(hop.started_at, hop.received_at) - hop.started_at, True
                )
                self.remove_if_finished(exchange)
                accepted.append(True)

        accepted: list[bool] = []
        self.run_locked(call)
        if accepted:
            exchange.client.start_response(answers.succeeded(head), length, not self.closes_connections())
        return bool(accepted)

    def abort_exchange(self, exchange: Exchange) -> None:
        """Close the hops of an exchange and answer 502, after an exception in the client's thread."""

        def call(now: int) -> None:
            for hop in exchange.hops:
                hop.ended = True
                hop.connection.hop = None
                hop.connection.close()
            if not exchange.answered:
                self.answer(exchange, answers.FAILED)
            self.remove(exchange)
            self.end_streaming(exchange)

        self.run_locked(call)

    def end_hop(self, now: int, hop: Hop, outcome: Outcome) -> None:
        """Report a hop's outcome to the balancer once; called with the lock held."""
        if hop.ended:
            return
        hop.ended = True
        hop.outcome = outcome
        if hop.connection.hop is hop:
            hop.connection.close()
        exchange = hop.exchange
        if outcome != Outcome.OK:
            self.note_attempt(Decision.ENDED, outcome, exchange, hop.server)
        if exchange.submission is not None:
            # Measured up to when the kernel received the last bytes: the server is not charged for the time
            # that our threads took to read them.
            end = max(hop.started_at, hop.received_at) if outcome == Outcome.OK and hop.received_at else now
            exchange.submission.hop_finished(
                now, hop.number, outcome, end - hop.started_at, exchange.answered
            )
        self.remove_if_finished(exchange)

    def answer(self, exchange: Exchange, answer: answers.Answer) -> None:
        """Queue the final answer of an exchange, of which there is exactly one; called with the lock held."""
        if check_invariant(not exchange.answered, "second final answer"):
            exchange.answered = True
            client = exchange.client
            self.do_after_unlock(lambda: client.answer(answer, not self.closes_connections()))

    def remove_if_finished(self, exchange: Exchange) -> None:
        """Forget an exchange that has its final answer and no hop in flight; called with the lock held."""
        if exchange.is_finished():
            self.remove(exchange)
            exchange.hops.clear()  # breaks the reference cycle, so that both are freed at once

    def remove(self, exchange: Exchange) -> None:
        """Forget an exchange; called with the lock held."""
        if self.exchanges.pop(exchange.number, None) is not None and not self.is_open(exchange.number):
            self.ids.on_ended(exchange.trace_id)

    def end_streaming(self, exchange: Exchange) -> None:
        """Note that the answer of an exchange is not being streamed any more; called with the lock held."""
        if exchange.number in self.streaming:
            self.streaming.discard(exchange.number)
            if not self.is_open(exchange.number):
                self.ids.on_ended(exchange.trace_id)

    def is_open(self, number: int) -> bool:
        """Whether the exchange with a number is open or its answer is being streamed; needs the lock."""
        return number in self.exchanges or number in self.streaming

    def readiness(self) -> answers.Answer:
        """Return the answer to whoever asks whether this process serves."""
        if self.first_list.is_awaited:
            return answers.AWAITING_LIST
        return answers.READY if self.balancer.ready else answers.NOT_READY

    def closes_connections(self) -> bool:
        """Whether every response closes its connection, because this sidecar drains or is out of service."""
        return self.draining or self.out_of_service

    def set_out_of_service(self, name: str, out: bool, certain: bool = False) -> bool:
        """Take a server out of service (`out`) or back into it; False if it is unknown or too many are out.

        Once this has returned, no request is written to a server that is out of service.  `certain`: the
        other process of a hot restart knows the server, so it is accepted even if this one's list lacks it.
        """

        def call(now: int) -> None:
            if self.balancer.set_out_of_service(now, stable_id(name), out, certain):
                self.pool.set_out_of_service(stable_id(name), out)
                accepted.append(True)

        accepted: list[bool] = []
        self.run_locked(call)
        return bool(accepted)

    def set_peer_trials(self, peer_trials: PeerTrials | None) -> None:
        """Coordinate half-open trials of unhealthy servers with other sidecars, or with none of them."""

        def call(now: int) -> None:
            self.balancer.peer_trials = peer_trials

        self.run_locked(call)

    def postpone_trial(self, server: int, wait: int) -> None:
        """Postpone the half-open trial of a server by `wait`, or allow it now if 0, as others report."""
        self.run_locked(lambda now: self.balancer.postpone_trial(now, server, wait))

    def operator_state(self) -> tuple[dict[int, int], dict[int, int]]:
        """Servers that an operator took out of service, and those put back, with the times of the changes."""

        def call(now: int) -> None:
            states.append((dict(self.balancer.out_of_service), dict(self.balancer.returned_at)))

        states: list[tuple[dict[int, int], dict[int, int]]] = []
        self.run_locked(call)
        return states[0]

    def inherit_operator_state(self, out_of_service: dict[int, int], back_in_service: dict[int, int]) -> None:
        """Take over what operators told the old process; must be called before the first server list."""
        self.balancer.out_of_service, self.balancer.returned_at = out_of_service, back_in_service
        self.pool.out_of_service = set(out_of_service)

    def scale_connection_limit(self, numerator: int, denominator: int) -> None:
        """Limit the pool to a fraction of its connections.

        During a hot restart two processes share the limits of memory and descriptors.
        """
        self.run_locked(lambda now: self.pool.scale_limit(numerator, denominator))
        self.share_memory(denominator // numerator)

    def measure_memory(self) -> None:
        """Set what messages may take by what the process takes now; called before the first connection."""
        self.memory_budget.base = resident_bytes(BASE_MEMORY_BYTES)
        self.memory.set_limit(self.memory_budget.for_messages(1))

    def share_memory(self, processes: int) -> None:
        """Share the memory limit among so many processes, two of them during a hot restart."""
        self.memory.set_limit(self.memory_budget.for_messages(processes))

    def server_counts(self) -> tuple[int, int]:
        """The number of listed servers, and how many of them are avoided."""

        def call(now: int) -> None:
            counts.append(self.balancer.server_counts())

        counts: list[tuple[int, int]] = []
        self.run_locked(call)
        return counts[0]

    def update_servers(self, kind: ListKind, update: ServerListUpdate, elapsed: int = 0) -> None:
        """Apply a server list, or note that fetching one failed (kind FAILED) after `elapsed` us."""

        def call(now: int) -> None:
            only_draining_removes = self.balancer.settings.only_draining_removes
            if kind != ListKind.FAILED:
                self.pool.update_servers(update, only_draining_removes)
            self.balancer.update_servers(now, kind, update.entries, elapsed)
            if only_draining_removes:
                self.pool.keep_only(self.balancer.index_by_id)

        self.run_locked(call)

    # -- callbacks of the balancer and of connections; called with the lock held, except `hop_sent`

    def send(self, submission: int, server: int, timeout: int) -> None:
        """Choose a connection for the next hop and queue it for the client's thread."""
        exchange = self.exchanges[submission]
        now = clock.now()
        ends_at = min(exchange.deadline_at, now + timeout) if timeout > 0 else exchange.deadline_at
        if exchange.hops:
            self.note_attempt(Decision.RETRIED, exchange.hops[-1].outcome, exchange, server)
        hop = Hop(exchange, len(exchange.hops), server, now, ends_at)
        exchange.hops.append(hop)
        hop.connection = self.pool.connection_for(now, hop)
        exchange.pending_hops.append(hop)
        if timeout > 0:
            self.set_timer(now + timeout, hop)

    def reject(self, submission: int, retry_in: int) -> None:
        """Answer 503 with the time after which the client may retry, in microseconds."""
        exchange = self.exchanges[submission]
        if exchange.hops:
            self.note_attempt(Decision.REFUSED, exchange.hops[-1].outcome, exchange, exchange.hops[-1].server)
        else:
            reason = RefusalReason.NO_LIST if self.first_list.is_awaited else RefusalReason.NO_SERVER
            self.decisions.note(Decision.REFUSED, reason, exchange.trace_id)
        self.answer(exchange, answers.rejected(retry_in))

    def note_attempt(self, what: Decision, outcome: Outcome | None, exchange: Exchange, server: int) -> None:
        """Note a decision on an attempt; `outcome`: of the last one, None if that is still in flight."""
        why = outcome.name.lower() if outcome is not None else "in_flight"
        self.decisions.note(what, why, exchange.trace_id, self.balancer.server_name(server))

    def fail(self, submission: int) -> None:
        """Answer 502: the submission may have run at a server, and no further hop is allowed."""
        self.answer(self.exchanges[submission], answers.FAILED)

    def hop_sent(self) -> None:
        """Count a request that was written completely."""
        self.metrics.count("sends")

    def cancel(self, submission: int, hop: int) -> None:
        """Abort a hop by closing its connection."""
        cancelled_hop = self.exchanges[submission].hops[hop]
        cancelled_hop.cancelled = True
        cancelled_hop.connection.close()

    def probe(self, server: int) -> None:
        """Do nothing: the balancer does not request probes yet."""

    def close_idle_connections(self, server: int) -> None:
        """Close the idle connections to a server."""
        self.pool.close_idle(server)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Drop the message: the platform has no channel for hints between sidecars, and hints may be lost."""

    def request_server_list(self) -> None:
        """Request the server list once the lock is released."""
        self.do_after_unlock(self.on_list_request)

    def set_timer(self, at: int, handler: TimerHandler) -> None:
        """Set a timer; it is dropped early only if its submission has ended."""
        self.timers.set(at, handler)

    def log(self, text: str) -> None:
        """Queue a log event with a text of the balancer."""
        self.do_after_unlock(lambda: self.events.event("mode", text=text))
