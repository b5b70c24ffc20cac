"""The one lock that owns the balancer; its answers become acts that are done once the lock is free."""

from __future__ import annotations

import threading
from collections.abc import Callable
from heapq import heappop, heappush

from ..http1.messages import Response
from ..interface import Entry, Listing, Outcome, Phase, Wakeable
from ..invariants import must
from ..logic import Balancer, Submission
from . import answers, clock
from .config import Config
from .exchange import Carrier, Exchange, Hop
from .log import Log
from .pace import Pace
from .servers import Pool


class Dispatcher:
    def __init__(self, config: Config, log: Log, follow: Callable[[], None]) -> None:
        self.config = config
        self.events = log
        self.on_follow = follow
        self.lock = threading.Lock()
        self.due = threading.Condition(self.lock)
        self.alarms: list[tuple[int, int, Wakeable]] = []
        self.set_alarms = 0
        self.after: list[Callable[[], None]] = []
        self.exchanges: dict[int, Exchange] = {}
        self.taken = 0
        self.draining = False
        self.pool = Pool(self, config, log)
        self.pace = Pace(self)
        self.starts: dict[int, int] = {}
        self.balancer = Balancer(config.settings, config.seed, self)

    # -- the lock and the timers

    def decide(self, call: Callable[[int], None]) -> None:
        """Run a call on the balancer under the lock, then what it led to without it."""
        fault: Exception | None = None
        with self.lock:
            try:
                call(clock.now())
            except Exception as trouble:  # told to the caller once what was decided before it is done
                fault = trouble
            after, self.after = self.after, []
        self.act(after)
        if fault is not None:
            raise fault

    def act(self, after: list[Callable[[], None]]) -> None:
        for each in after:
            try:
                each()
            except Exception as trouble:  # one connection's fault must not keep others from their answers
                self.events.event("fault", text=f"{type(trouble).__name__}: {trouble}")

    def run_timers(self) -> None:
        while True:
            with self.due:
                now = clock.now()
                while self.alarms and self.alarms[0][0] <= now:
                    whom = heappop(self.alarms)[2]
                    try:
                        whom.woke(now)
                    except Exception as trouble:  # the thread answers for all silent servers and must go on
                        self.events.event("fault", text=f"{type(trouble).__name__}: {trouble}")
                after, self.after = self.after, []
                if not after:
                    self.drop_idle_alarms()
                    self.due.wait((self.alarms[0][0] - now) / 1e6 if self.alarms else None)
            self.act(after)

    def drop_idle_alarms(self) -> None:
        """Guards the core against being woken for each submission that has ended long before its alarms."""
        while self.alarms:
            whom = self.alarms[0][2]
            if not isinstance(whom, (Submission, Exchange)) or not whom.over():
                return
            heappop(self.alarms)

    # -- what happens to submissions

    def take(self, exchange: Exchange, tariff: int, key: int, retry: bool) -> None:
        def call(now: int) -> None:
            self.taken += 1
            exchange.number = self.taken
            self.exchanges[exchange.number] = exchange
            exchange.handle = self.balancer.take(now, exchange.number, tariff, key, retry, exchange.until)
            if not exchange.answered:
                self.wake(exchange.until, exchange)
            self.forget(exchange)
        self.decide(call)

    def left(self, exchange: Exchange) -> None:
        """The client closed its connection; hops that are out go on, but nobody waits for them."""
        def call(now: int) -> None:
            if not exchange.answered and exchange.handle is not None:
                exchange.answered = True
                exchange.handle.left(now)
                self.forget(exchange)
        self.decide(call)

    def failed(self, exchange: Exchange) -> None:
        """A fault of our own on the client's side: hops are called off and the client is told."""
        def call(now: int) -> None:
            for hop in exchange.hops:
                hop.ended = True
                hop.link.kill()
            if not exchange.answered:
                self.answer(exchange, answers.FORFEITED)
            self.exchanges.pop(exchange.number, None)
        self.decide(call)

    def returned(self, link: Carrier, outcome: Outcome, response: Response | None, reuse: bool) -> None:
        """A link's hop has ended; the link is ready for another, or it has broken."""
        def call(now: int) -> None:
            hop, link.hop = link.hop, None
            if reuse and not link.dead:
                self.pool.put(now, link)
            else:
                link.kill()
            if hop is None or hop.ended:
                return
            exchange = hop.exchange
            if outcome == Outcome.OK and response is not None and not exchange.answered:
                self.answer(exchange, answers.succeeded(response))
            self.end(now, hop, Outcome.CANCELLED if hop.cancelled else outcome)
        self.decide(call)

    def retire(self, link: Carrier) -> None:
        self.decide(lambda now: link.kill())

    def end(self, now: int, hop: Hop, outcome: Outcome) -> None:
        if hop.ended:
            return
        hop.ended = True
        if hop.link.hop is hop:
            hop.link.kill()
        exchange = hop.exchange
        if exchange.handle is not None:
            exchange.handle.ended(now, hop.number, outcome, now - hop.at, exchange.answered)
        self.forget(exchange)

    def answer(self, exchange: Exchange, answer: answers.Answer) -> None:
        if must(not exchange.answered, "second final answer"):
            exchange.answered = True
            client = exchange.client
            self.after.append(lambda: client.answer(answer, not self.draining))

    def forget(self, exchange: Exchange) -> None:
        if exchange.over():
            self.exchanges.pop(exchange.number, None)

    def listed(self, kind: Listing, entries: list[Entry]) -> None:
        def call(now: int) -> None:
            for entry in entries:
                # A process that has ended or started anew does not know the connections of the one before.
                if entry.phase == Phase.GONE or self.starts.get(entry.server, entry.came_up) != entry.came_up:
                    self.pool.close(entry.server)
                self.starts[entry.server] = entry.came_up
            self.balancer.listed(now, kind, entries)
        self.decide(call)

    # -- the outlet of the balancer, called under the lock

    def send(self, submission: int, server: int, timeout: int) -> None:
        exchange = self.exchanges[submission]
        now = clock.now()
        hop = Hop(exchange, len(exchange.hops), server, now)
        exchange.hops.append(hop)
        self.after.append(self.pool.send(now, hop))
        if timeout > 0:
            self.wake(now + timeout, hop)

    def defer(self, submission: int, retry_in: int) -> None:
        self.answer(self.exchanges[submission], answers.deferred(retry_in))

    def forfeit(self, submission: int) -> None:
        self.answer(self.exchanges[submission], answers.FORFEITED)

    def cancel(self, submission: int, hop: int) -> None:
        given_up = self.exchanges[submission].hops[hop]
        given_up.cancelled = True
        given_up.link.kill()

    def probe(self, server: int) -> None:
        """No decision asks for probes yet."""

    def follow(self) -> None:
        self.after.append(self.on_follow)

    def wake(self, at: int, whom: Wakeable) -> None:
        self.set_alarms += 1
        heappush(self.alarms, (at, self.set_alarms, whom))
        if self.alarms[0][1] == self.set_alarms:
            self.due.notify()

    def log(self, text: str) -> None:
        self.after.append(lambda: self.events.event("mode", text=text))
