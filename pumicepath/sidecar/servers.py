"""Connections to servers: each has a thread that reads; whoever sends a hop writes."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from contextlib import suppress

from ..http1 import writing
from ..http1.messages import Malformed, Response
from ..http1.parsing import MOST_BODY, MOST_HEAD, ResponseParser
from ..http1.ring import Ring
from ..interface import Outcome
from ..invariants import must
from . import clock
from .config import Config
from .exchange import Carrier, Hop, Owner
from .log import Log

DEADLINE = "X-Expires-In-Ms"
NEVER_RAN = "X-Never-Ran"


class Link:
    """One connection; `hop` and `dead` change under the dispatcher's lock only."""

    def __init__(self, pool: Pool, hop: Hop, host: str, port: int) -> None:
        self.pool = pool
        self.server = hop.server
        self.where = (host, port)
        self.hop: Hop | None = hop
        self.sock: socket.socket | None = None
        self.writing = threading.Lock()
        self.outgoing = Ring(MOST_HEAD + MOST_BODY + 1024)
        self.written = False
        self.dead = False
        self.idle_since = 0

    def kill(self) -> None:
        """Nothing goes out on it any more, and its reader wakes up; it is closed by its own thread."""
        if not self.dead:
            self.dead = True
            self.pool.gone(self)
            self.shut()  # if it is not connected yet, its thread looks at `dead` before it writes

    def send(self, hop: Hop) -> None:
        with self.writing:
            if self.dead or hop.ended or self.sock is None:
                return
            data = request(hop)
            try:
                self.outgoing.put(data)
                while len(self.outgoing):
                    self.outgoing.drop(self.sock.send(self.outgoing.data()))
                self.written = True
            except OSError:
                self.shut()

    def shut(self) -> None:
        with suppress(OSError):  # already broken, which is what the reader will find
            if self.sock is not None:
                self.sock.shutdown(socket.SHUT_RDWR)

    def run(self) -> None:
        hop = self.hop
        outcome = Outcome.RESET
        try:
            sock = self.connect()
            if sock is not None and hop is not None:
                self.send(hop)
                outcome = self.read(sock)
        except Exception as trouble:  # ends this connection only
            self.pool.log.event("fault", text=f"{type(trouble).__name__}: {trouble}")
        finally:
            # First no hop can be given to it any more: guards against `written` being that of the hop before.
            self.pool.owner.retire(self)
            with self.writing:
                never = outcome == Outcome.RESET and not self.written
            self.pool.owner.returned(self, Outcome.CONNECT_FAILED if never else outcome, None, False)
            if self.sock is not None:
                self.sock.close()

    def connect(self) -> socket.socket | None:
        try:
            self.sock = sock = socket.socket(socket.AF_INET6 if ":" in self.where[0] else socket.AF_INET)
            sock.settimeout(self.pool.dial / 1e6)
            sock.connect(self.where)
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            return None
        return sock

    def read(self, sock: socket.socket) -> Outcome:
        """Read until the connection ends; the outcome is that of a hop still out then."""
        parser = ResponseParser()
        while True:
            try:
                count = sock.recv_into(parser.ring.room())
            except OSError:
                return Outcome.RESET
            parser.ring.wrote(count)
            if not count:
                parser.end()
            hop = self.hop
            if hop is None:
                return Outcome.RESET  # closed by the server while idle, or bytes nobody asked for
            parser.method = hop.exchange.request.method
            try:
                response = parser.next()
            except Malformed:
                return Outcome.ERROR
            if response is not None:
                with self.writing:
                    reuse = (self.written and response.keeps() and not response.until_close and parser.idle()
                             and count > 0)
                self.pool.owner.returned(self, outcome_of(response), response, reuse)
                if not reuse:
                    return Outcome.RESET
            elif not count:
                return Outcome.RESET


def request(hop: Hop) -> bytes:
    exchange = hop.exchange
    left = max(1, (exchange.until - clock.now()) // 1000)
    came = exchange.request
    headers = [(name, value) for name, value in came.passed_on() if name.lower() != DEADLINE.lower()]
    return writing.request(came.method, came.target, [*headers, (DEADLINE, str(left))], came.body)


def outcome_of(response: Response) -> Outcome:
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.header(NEVER_RAN) == "1":
        return Outcome.FULL
    return Outcome.ERROR


class Pool:
    """All connections to servers; everything here is called under the dispatcher's lock."""

    def __init__(self, owner: Owner, config: Config, log: Log) -> None:
        self.owner = owner
        self.log = log
        self.most = config.to_servers
        self.dial = config.dial
        # Well ahead of the server, whose closing would cross a hop that is being written.
        self.retire = max(config.idle // 2, min(config.idle * 9 // 10, config.idle - 1_000_000))
        self.idle: dict[int, list[Link]] = {}
        self.open = 0
        self.addresses: dict[int, tuple[str, int]] = {}

    def send(self, now: int, hop: Hop) -> Callable[[], None]:
        """Find a connection for the hop; the act that comes back writes it."""
        host, port = self.addresses[hop.server]
        idle = self.idle.get(hop.server, [])
        while idle:
            link = idle.pop()
            if not link.dead and now - link.idle_since < self.retire and link.where == (host, port):
                hop.link = link
                link.hop = hop
                link.written = False
                return lambda: link.send(hop)
            link.kill()
        if self.open >= self.most:
            self.drop_oldest()
        hop.link = fresh = Link(self, hop, host, port)
        self.open += 1
        if self.open > self.most:
            return lambda: self.owner.returned(fresh, Outcome.MOOT, None, False)
        return lambda: self.dial_for(fresh)

    def dial_for(self, link: Link) -> None:
        try:
            start(link.run)
        except RuntimeError:  # no thread to be had: nothing went out
            self.owner.returned(link, Outcome.MOOT, None, False)

    def put(self, now: int, link: Carrier) -> None:
        if must(isinstance(link, Link), "a link of another pool") and isinstance(link, Link):
            link.idle_since = now
            self.idle.setdefault(link.server, []).append(link)

    def gone(self, link: Link) -> None:
        self.open -= 1
        idle = self.idle.get(link.server, [])
        if link in idle:
            idle.remove(link)

    def close(self, server: int) -> None:
        for link in list(self.idle.get(server, [])):
            link.kill()

    def drop_oldest(self) -> None:
        oldest = min((idle[0] for idle in self.idle.values() if idle), key=lambda link: link.idle_since,
                     default=None)
        if oldest is not None:
            oldest.kill()

    def woke(self, now: int) -> None:
        """Retire what has stood idle for long."""
        for idle in list(self.idle.values()):
            for link in [link for link in idle if now - link.idle_since >= self.retire]:
                link.kill()
        # Never at once again: guards the timers where servers keep no idle connections at all.
        self.owner.wake(now + max(100_000, self.retire // 10), self)


def start(run: Callable[[], None]) -> None:
    threading.Thread(target=run, daemon=True).start()
