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
from .config import Config
from .entrance import Entrance
from .exchange import Exchange, Hop
from .log import Log
from .pace import Pace
from .servers import Link, Pool

FOREVER = (1 << 63) - 1
TOO_LATE = 10_000  # from when our own threads' delay tells on what servers are judged by


Serving = tuple[Config, tuple[ClassState, ...]]


class Turn:
    """A call on the balancer, and what it led to."""

    __slots__ = ("call", "after", "fault", "done")

    def __init__(self, call: Callable[[int], None]) -> None:
        self.call = call
        self.after: list[Callable[[], None]] = []
        self.fault: Exception | None = None
        self.done: threading.Lock | None = None


class Later:
    """A submission's alarm, put off once."""

    __slots__ = ("whom",)

    def __init__(self, whom: Submission) -> None:
        self.whom = whom

    def is_finished(self) -> bool:
        return self.whom.is_finished()

    def on_timer(self, now: int) -> None:
        self.whom.on_timer(now)


class Dispatcher:
    def __init__(self, config: Config, log: Log, follow: Callable[[], None]) -> None:
        self.events = log
        self.on_follow = follow
        self.lock = threading.Lock()
        self.waiting: deque[Turn] = deque()
        self.due = threading.Event()
        self.rest: float | None = None
        self.alarms: list[tuple[int, int, TimerHandler]] = []
        self.set_alarms = 0
        self.closing: list[Callable[[], None]] = []
        self.after: list[Callable[[], None]] = []
        self.exchanges: dict[int, Exchange] = {}
        self.taken = 0
        self.draining = False  # since SIGTERM
        self.ends = FOREVER  # by when all that is taken has to be answered, known from then on
        self.emptied = False  # by an operator, until it is called back
        self.figures = Metrics()
        self.loaded = self.invalid = 0
        self.pool = Pool(self, config, log)
        self.traces: set[str] = set()
        self.expiring: deque[tuple[int, str]] = deque()
        self.balancer = Balancer(config.settings, config.seed, self)
        # What requests are read by, replaced as one: whoever reads one takes it once and keeps to it.
        self.serving: Serving = (config, self.balancer.class_states)
        self.longest = max(tariff.deadline for tariff in config.settings.request_classes)
        self.entrance = Entrance(config)
        self.pace = Pace(self, self.entrance)

    # -- the lock and the timers

    def decide(self, call: Callable[[int], None]) -> None:
        """Run a call on the balancer under the lock, then what it led to without it.

        Guards against a convoy: with hundreds of threads at the lock, each would have to wait for the
        interpreter while it owns it.  Whoever has the lock runs the calls of those that wait, and wakes them.
        """
        turn = Turn(call)
        if self.lock.acquire(False):
            self.run(turn)
            self.run_waiting()
        else:
            turn.done = threading.Lock()
            turn.done.acquire()
            self.waiting.append(turn)
            if self.lock.acquire(False):  # let go just before
                self.run_waiting()
            turn.done.acquire()
        self.act(turn.after)
        if turn.fault is not None:
            raise turn.fault

    def run(self, turn: Turn) -> None:
        try:
            turn.call(clock.now())
        except Exception as trouble:  # told to the caller once what was decided before it is done
            turn.fault = trouble
        turn.after, self.after = self.closing + self.after, []
        self.closing = []

    def run_waiting(self) -> None:
        """With the lock, which is free afterwards; what waits then has found it free or is run here."""
        while True:
            while self.waiting:
                turn = self.waiting.popleft()
                self.run(turn)
                if turn.done is not None:
                    turn.done.release()
            self.lock.release()
            if not self.waiting or not self.lock.acquire(False):
                return

    def act(self, after: list[Callable[[], None]]) -> None:
        for each in after:
            try:
                each()
            except Exception as trouble:  # one connection's fault must not keep others from their answers
                self.events.event("fault", text=f"{type(trouble).__name__}: {trouble}")

    def run_timers(self) -> None:
        while True:
            self.decide(self.ring)
            self.due.wait(self.rest)
            self.due.clear()

    def ring(self, now: int) -> None:
        while self.alarms and self.alarms[0][0] <= now:
            whom = heappop(self.alarms)[2]
            if type(whom) is Submission and self.pace.behind > TOO_LATE and not whom.over():
                # Guards servers against being judged by how late our own threads are: the answer may have
                # come, and wait to be read.
                self.set_timer(now + self.pace.behind, Later(whom))
                continue
            try:
                whom.on_timer(now)
            except Exception as trouble:  # the thread answers for all silent servers and must go on
                self.events.event("fault", text=f"{type(trouble).__name__}: {trouble}")
        self.drop_idle_alarms()
        self.rest = max(0.0, (self.alarms[0][0] - now) / 1e6) if self.alarms else None

    def drop_idle_alarms(self) -> None:
        """Guards the core against being woken for each submission that has ended long before its alarms."""
        while self.alarms:
            whom = self.alarms[0][2]
            if not isinstance(whom, (Submission, Exchange, Later)) or not whom.is_finished():
                return
            heappop(self.alarms)

    # -- what happens to submissions

    def adopt(self, config: Config) -> None:
        """Go by another configuration, in one step; what has been read ends under what it was read by."""

        def call(now: int) -> None:
            self.balancer.apply_settings(now, config.settings)
            self.pool.adopt(config)
            self.serving = (config, self.balancer.class_states)
            self.longest = max(self.longest, *(tariff.deadline for tariff in config.settings.request_classes))

        self.entrance.adopt(config)
        self.decide(call)

    def take(self, exchange: Exchange, terms: ClassState, key: int, retry: bool) -> bool:
        """Whether it was taken.

        Guards a submission that may still run against another one under its id, until its patience is over.
        """

        def call(now: int) -> None:
            while self.expiring and self.expiring[0][0] <= now:
                self.traces.discard(self.expiring.popleft()[1])
            if exchange.trace in self.traces:
                return
            self.traces.add(exchange.trace)
            self.expiring.append((min(exchange.until, now + self.longest), exchange.trace))
            self.taken += 1
            exchange.number = self.taken
            self.exchanges[exchange.number] = exchange
            exchange.handle = self.balancer.submit_with(
                now, exchange.number, terms, key, retry, exchange.until, exchange.upload is not None
            )
            if not exchange.answered and exchange.upload is None:
                self.set_timer(exchange.until, exchange)
            self.forget(exchange)

        self.decide(call)
        return exchange.number > 0

    def carry(self, exchange: Exchange) -> None:
        """By the client's thread: carry out the hops, one after the other, until none follows."""
        while exchange.pending:
            hop = exchange.pending.popleft()
            link = hop.link
            assert isinstance(link, Link)
            try:
                outcome, response, reuse = link.carry(hop)
            except Exception:
                self.decide(lambda now, link=link: self.dropped(link))  # type: ignore[misc]
                raise
            exchange.client.resume()
            try:
                self.returned(hop, link, outcome, response, reuse)
            finally:
                exchange.client.leave(clock.now() - hop.came if hop.came else 0)

    def dropped(self, link: Link) -> None:
        link.hop = None
        link.kill()

    def whole(self, hop: Hop) -> None:
        exchange = hop.exchange

        def call(now: int) -> None:
            if exchange.answered or exchange.handle is None:
                return
            exchange.until = min(now + exchange.patience, self.ends)
            exchange.handle.body_complete(now, hop.number, exchange.until)
            self.set_timer(exchange.until, exchange)

        self.decide(call)

    def returned(
        self, hop: Hop, link: Link, outcome: Outcome, response: Response | None, reuse: bool
    ) -> None:
        """A hop has ended; its connection is ready for another, or it is closed."""
        exchange = hop.exchange
        left = outcome != Outcome.OK and not exchange.answered and exchange.client.gone()

        def call(now: int) -> None:
            link.hop = None
            if reuse:
                self.pool.put(now, link)
            else:
                link.kill()
            if left and not exchange.answered and exchange.handle is not None:
                # Nobody waits for a further hop.
                exchange.answered = exchange.left = True
                exchange.handle.client_left(now)
            if hop.ended:
                return
            if outcome == Outcome.OK and response is not None and not exchange.answered:
                self.answer(exchange, answers.succeeded(response))
            self.end(now, hop, Outcome.CANCELLED if hop.cancelled else outcome)

        self.decide(call)

    def started(self, hop: Hop) -> None:
        def call(now: int) -> None:
            if not hop.ended and hop.exchange.handle is not None:
                hop.exchange.handle.response_started(now, hop.number)

        self.decide(call)

    def pass_on(self, hop: Hop, parser: ResponseParser) -> bool:
        """Guards the memory limit: an answer too long to be held is passed on as it comes.

        For the balancer the hop has ended: what slows the rest may be the client, and nothing cuts it.
        """
        exchange, begun = hop.exchange, parser.begun()
        if begun is None:
            return False
        head, length = begun
        if not isinstance(head, Response) or head.status != 200:
            return False
        if length == writing.CHUNKED and not exchange.request.minor:
            length = writing.NO_LENGTH

        def call(now: int) -> None:
            if not exchange.answered and not hop.ended and not hop.cancelled and exchange.handle is not None:
                exchange.answered = hop.ended = True
                exchange.handle.hop_finished(
                    now, hop.number, Outcome.OK, max(hop.at, hop.came) - hop.at, True
                )
                self.forget(exchange)
                passed.append(True)

        passed: list[bool] = []
        self.decide(call)
        if passed:
            exchange.client.begin(answers.succeeded(head), length, not self.leaving())
        return bool(passed)

    def failed(self, exchange: Exchange) -> None:
        """A fault of our own on the client's side: hops are called off and the client is told."""

        def call(now: int) -> None:
            for hop in exchange.hops:
                hop.ended = True
                hop.link.hop = None
                hop.link.kill()
            if not exchange.answered:
                self.answer(exchange, answers.FORFEITED)
            self.exchanges.pop(exchange.number, None)

        self.decide(call)

    def end(self, now: int, hop: Hop, outcome: Outcome) -> None:
        if hop.ended:
            return
        hop.ended = True
        if hop.link.hop is hop:
            hop.link.kill()
        exchange = hop.exchange
        if exchange.handle is not None:
            # By when it reached this machine: what our threads took to read it is not the server's.
            came = max(hop.at, hop.came) if outcome == Outcome.OK and hop.came else now
            exchange.handle.hop_finished(now, hop.number, outcome, came - hop.at, exchange.answered)
        self.forget(exchange)

    def answer(self, exchange: Exchange, answer: answers.Answer) -> None:
        if check_invariant(not exchange.answered, "second final answer"):
            exchange.answered = True
            client = exchange.client
            self.after.append(lambda: client.answer(answer, not self.leaving()))

    def forget(self, exchange: Exchange) -> None:
        if exchange.is_finished():
            self.exchanges.pop(exchange.number, None)
            exchange.hops.clear()  # they know it, and would keep each other until the next collection

    def leaving(self) -> bool:
        """Whether clients are sent away: every answer ends its connection."""
        return self.draining or self.emptied

    def by_hand(self, name: str, out: bool, certain: bool = False) -> bool:
        """Take a server out, or let it serve again; nothing more goes to it from the return on."""

        def call(now: int) -> None:
            if self.balancer.set_out_of_service(now, stable_id(name), out, certain):
                self.pool.by_hand(stable_id(name), out)
                done.append(True)

        done: list[bool] = []
        self.decide(call)
        return bool(done)

    def accompany(self, companions: PeerTrials | None) -> None:
        """Have trials of sick servers agreed on with other sidecars, or each one's own again."""

        def call(now: int) -> None:
            self.balancer.peer_trials = companions

        self.decide(call)

    def put_off(self, server: int, wait: int) -> None:
        """What another sidecar says of a server whose breaker may be open here."""
        self.decide(lambda now: self.balancer.postpone_trial(now, server, wait))

    def handed(self) -> tuple[dict[int, int], dict[int, int]]:
        """The servers out by hand and those back that may be cold, with the times since when."""

        def call(now: int) -> None:
            told.append((dict(self.balancer.out_of_service), dict(self.balancer.returned_at)))

        told: list[tuple[dict[int, int], dict[int, int]]] = []
        self.decide(call)
        return told[0]

    def inherit(self, by_hand: dict[int, int], returned: dict[int, int]) -> None:
        """Before the first list: what the process before this one was told by hand."""
        self.balancer.out_of_service, self.balancer.returned_at = by_hand, returned
        self.pool.barred = set(by_hand)

    def share(self, part: int, parts: int) -> None:
        """Hold only so many connections to servers: guards the limits while two processes share them."""
        self.decide(lambda now: self.pool.share(part, parts))

    def standing(self) -> tuple[int, int]:
        """How many servers are listed, and how many of them avoided."""

        def call(now: int) -> None:
            told.append(self.balancer.server_counts())

        told: list[tuple[int, int]] = []
        self.decide(call)
        return told[0]

    def listed(self, kind: ListKind, update: ServerListUpdate, spent: int = 0) -> None:
        def call(now: int) -> None:
            alone = self.balancer.settings.only_draining_removes
            if kind != ListKind.FAILED:
                self.pool.listed(update, alone)
            self.balancer.update_servers(now, kind, update.entries, spent)
            if alone:
                self.pool.prune(self.balancer.index_by_id)

        self.decide(call)

    # -- the outlet of the balancer, called under the lock

    def send(self, submission: int, server: int, timeout: int) -> None:
        exchange = self.exchanges[submission]
        now = clock.now()
        ends = min(exchange.until, now + timeout) if timeout > 0 else exchange.until
        hop = Hop(exchange, len(exchange.hops), server, now, ends)
        exchange.hops.append(hop)
        hop.link = self.pool.link_for(now, hop)
        exchange.pending.append(hop)
        if timeout > 0:
            self.set_timer(now + timeout, hop)

    def reject(self, submission: int, retry_in: int) -> None:
        self.answer(self.exchanges[submission], answers.deferred(retry_in))

    def fail(self, submission: int) -> None:
        self.answer(self.exchanges[submission], answers.FORFEITED)

    def sent(self) -> None:
        self.figures.count("sends")

    def cancel(self, submission: int, hop: int) -> None:
        given_up = self.exchanges[submission].hops[hop]
        given_up.cancelled = True
        given_up.link.kill()

    def probe(self, server: int) -> None:
        """No decision asks for probes yet."""

    def close_idle_connections(self, server: int) -> None:
        self.pool.free(server)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """The platform says nothing of messages between sidecars: the hint is lost, as hints may be."""

    def request_server_list(self) -> None:
        self.after.append(self.on_follow)

    def close(self, act: Callable[[], None]) -> None:
        self.closing.append(act)

    def set_timer(self, at: int, whom: TimerHandler) -> None:
        self.set_alarms += 1
        heappush(self.alarms, (at, self.set_alarms, whom))
        if self.alarms[0][1] == self.set_alarms:
            self.due.set()

    def log(self, text: str) -> None:
        self.after.append(lambda: self.events.event("mode", text=text))
