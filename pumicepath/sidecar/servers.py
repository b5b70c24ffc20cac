"""Connections to servers: the thread that carries a submission dials, writes and reads them."""

from __future__ import annotations

import socket
import struct
import threading
from collections import Counter
from collections.abc import Callable, Container
from contextlib import suppress
from typing import NamedTuple

from ..discovery.server_list import Address, ServerListUpdate
from ..http1 import writing
from ..http1.messages import Malformed, Response
from ..http1.parsing import MOST_BODY, MOST_HEAD, ResponseParser
from ..http1.ring import Ring
from ..interface import Outcome, ServerState
from . import arrival, clock
from .config import Config
from .exchange import Abandoned, Hop, Owner, Upload
from .log import Log

DEADLINE = "x-expires-in-ms"
NEVER_RAN = "X-Never-Ran"
ENOUGH = 5  # rests of about one length, from which their resets tell something
KEPT = 0.99  # of what is known about rests, from one look at the connections to the next
MOST_ANSWER = 40 << 20  # what says that it is larger is taken for spoilt
PAST = 5_000  # of a dial past the end of its hop, which has timed out by then
UNMOVED = struct.pack("ll", 10, 0)  # for how long nothing may move of what goes through as it comes
UNBOUND = struct.pack("ll", 0, 0)


class Origin(NamedTuple):
    """One run of a server's process at its address; connections to it are of no use to the next."""

    where: Address
    came_up: int


class Link:
    """One connection; `hop` and `dead` change under the dispatcher's lock only."""

    def __init__(self, pool: Pool, server: int, origin: Origin | None) -> None:
        self.pool = pool
        self.server = server
        self.origin = origin
        self.hop: Hop | None = None
        self.sock: socket.socket | None = None
        self.outgoing = Ring(MOST_HEAD + MOST_BODY + 1024)
        self.parser = ResponseParser(MOST_ANSWER)
        self.dead = False
        self.idle_since = 0
        self.got = 0  # bytes read so far

    def kill(self) -> None:
        """Nothing goes out on it any more; whoever carries a hop on it wakes up and finds it broken.

        It is shut once the lock is free, ahead of all else that was decided: guards the lock, whose owner
        would lose the interpreter to hundreds of threads in any call that may block.
        """
        if not self.dead:
            self.dead = True
            self.pool.gone(self)
            if self.sock is not None:  # else not connected yet: `dead` is looked at before a byte is written
                self.pool.owner.close(self.shut)
        if self.hop is None and self.sock is not None:
            self.pool.owner.close(self.sock.close)

    def shut(self) -> None:
        sock = self.sock  # its own thread may be about to take another
        with suppress(OSError):  # the server was first
            if sock is not None:
                sock.shutdown(socket.SHUT_RDWR)

    def quiet(self) -> bool:
        """Whether an idle connection is still open, and nothing came on it that nobody asked for.

        Guards a hop against a connection that its server has closed, or on which bytes that followed the
        last answer would be taken for its own.
        """
        return self.sock is not None and arrival.quiet(self.sock, self.got)

    def carry(self, hop: Hop) -> tuple[Outcome, Response | None, bool]:
        """Send a hop and wait for its answer; also tells whether the connection can be used again."""
        if self.origin is None:
            return Outcome.MOOT, None, False  # no room for a connection: nothing went out
        try:
            if self.sock is not None and not self.quiet():
                self.renew()
            if self.sock is None:
                self.connect(self.origin.where, hop)
            if not hop.exchange.begins(clock.now(), hop):
                return Outcome.MOOT, None, not hop.ended  # the connection has carried nothing
            self.write(hop)
        except Abandoned:
            return Outcome.CANCELLED, None, False
        except OSError:
            return Outcome.CONNECT_FAILED, None, False
        try:
            outcome, response, reuse = self.read(hop)
        except Malformed as trouble:
            self.pool.spoilt[str(trouble)] += 1
            outcome, response, reuse = Outcome.ERROR, None, False
        except OSError:
            outcome, response, reuse = Outcome.RESET, None, False
        if self.idle_since:
            self.pool.rests.note(hop.at - self.idle_since, outcome == Outcome.RESET)
        return outcome, response, reuse

    def renew(self) -> None:
        """Guards a hop against what came on a resting connection after it was chosen.

        Its server has closed it, or sent more than an answer: nothing has been written, so a new one will do.
        """
        old, self.sock = self.sock, None
        if old is not None:
            old.close()
        self.parser = ResponseParser(MOST_ANSWER)
        self.idle_since = self.got = 0

    def connect(self, where: Address, hop: Hop) -> None:
        """Dial for no longer than the hop may last; that it is over then is for the timers to say, before.

        Guards what the client sends next against a thread that still dials for what has been answered: not
        every platform wakes a dial that is shut by another thread.
        """
        left = min(self.pool.dial, hop.ends + PAST - clock.now())
        if left <= 0:
            raise TimeoutError
        self.sock = sock = socket.socket(socket.AF_INET6 if ":" in where.host else socket.AF_INET)
        sock.settimeout(left / 1e6)
        sock.connect(where)
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        arrival.mark(sock)

    def write(self, hop: Hop) -> None:
        """Raises OSError if the last byte is not written."""
        if self.dead or hop.ended or self.sock is None or self.pool.origin(self.server) != self.origin:
            # Guards a server that was taken out, or drains, since the hop was chosen: dialling takes time.
            raise ConnectionAbortedError
        self.outgoing.put(request(hop, self.origin.where if self.origin else Address("", 0)))
        self.flush()
        if hop.exchange.upload is not None:
            self.pass_body(hop, hop.exchange.upload)
        self.outgoing.rest()
        self.pool.owner.sent()

    def flush(self) -> None:
        while len(self.outgoing) and self.sock is not None:
            self.outgoing.drop(self.sock.send(self.outgoing.data()))

    def pass_body(self, hop: Hop, upload: Upload) -> None:
        """Guards the memory limit: a body too long to be held goes on as it comes."""
        assert self.sock is not None
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, UNMOVED)
        handle = hop.exchange.handle
        for piece, last in upload.pieces():
            if handle is not None:
                handle.body_discarded = True
            if last:
                self.pool.owner.whole(hop)
            if self.dead or hop.ended:
                raise ConnectionAbortedError
            data = memoryview(writing.chunk(piece, last) if upload.length == writing.CHUNKED else piece)
            while data:
                data = data[self.outgoing.put(data) :]
                self.flush()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, UNBOUND)

    def read(self, hop: Hop) -> tuple[Outcome, Response | None, bool]:
        """Read the answer; what is too large to be held until it is whole is passed on as it comes."""
        sock, parser, owner = self.sock, self.parser, self.pool.owner
        assert sock is not None
        parser.method = hop.exchange.request.method
        client = hop.exchange.client
        passing = False
        try:
            while True:
                count, hop.came = arrival.receive(sock, parser.ring.room(min(parser.left, MOST_BODY)), hop.at)
                parser.ring.wrote(count)
                self.got += count
                if self.dead:
                    # Guards against what we broke off ourselves being taken for an answer that ends there.
                    return Outcome.RESET, None, False
                if not count:
                    parser.end()
                response = parser.next()
                if response is not None:
                    # What follows a good answer unasked is the connection's trouble, not the answer's.
                    reuse = response.keeps() and not response.until_close and parser.idle() and count > 0
                    if passing:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, UNBOUND)
                    if passing and client.more(response.body, True):
                        passing = False
                    return outcome_of(response), response, reuse
                if not count:
                    return Outcome.RESET, None, False
                if not passing:
                    owner.started(hop)
                    if parser.long():
                        if not (passing := owner.pass_on(hop, parser)):
                            raise Malformed(502, "answer too large to be held")
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, UNMOVED)
                if passing and not client.more(parser.taken(), False):
                    return Outcome.CANCELLED, None, False
        finally:
            if passing:
                client.cut()


def request(hop: Hop, where: Address) -> bytes:
    exchange = hop.exchange
    left = max(1, (exchange.until - clock.now()) // 1000)
    came = exchange.request
    upload = exchange.upload
    if upload is not None:
        left = max(1, exchange.patience // 1000)
    headers = [(name, value) for name, value in came.passed_on() if name.lower() != DEADLINE]
    if not came.all("host"):
        headers.insert(0, ("Host", f"{where.host}:{where.port}"))  # HTTP/1.0 needs none, HTTP/1.1 does
    return writing.request(
        came.method,
        came.target,
        [*headers, (DEADLINE, str(left))],
        came.body,
        upload.length if upload is not None else writing.WHOLE,
    )


def outcome_of(response: Response) -> Outcome:
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.header(NEVER_RAN) == "1":
        return Outcome.FULL
    return Outcome.ERROR


class Rests:
    """How often a hop is reset that is the first after a rest of its connection, by how long that was.

    Guards hops, unrepeatable ones above all, against servers and what lies before them that drop connections
    sooner than the settings say, and say nothing.
    """

    def __init__(self) -> None:
        self.used = [0.0] * 64
        self.reset = [0.0] * 64

    def note(self, rest: int, reset: bool) -> None:
        at = rest.bit_length()
        self.used[at] += 1
        self.reset[at] += reset

    def fit(self, rest: int) -> bool:
        """Whether a connection that has rested so long is about as good as others."""
        at = rest.bit_length()
        usual = sum(self.reset) / max(1.0, sum(self.used))
        return self.used[at] < ENOUGH or self.reset[at] < (2 * usual + 0.1) * self.used[at]

    def forget(self) -> None:
        self.used = [count * KEPT for count in self.used]
        self.reset = [count * KEPT for count in self.reset]


class Pool:
    """All connections to servers; everything here is called under the dispatcher's lock."""

    def __init__(self, owner: Owner, config: Config, log: Log) -> None:
        self.owner = owner
        self.log = log
        self.all = self.most = config.max_server_connections
        self.adopt(config)
        self.idle: dict[int, list[Link]] = {}
        self.open = 0
        self.origins: dict[int, Origin] = {}
        self.barred: set[int] = set()  # servers out by hand
        self.spoilt: Counter[str] = Counter()
        self.rests = Rests()

    def adopt(self, config: Config) -> None:
        """Go by other settings from now on."""
        self.dial = config.connect_timeout_us
        # Well ahead of the server, whose closing would cross a hop that is being written.
        self.retire = max(
            config.idle_timeout_us // 2,
            min(config.idle_timeout_us * 9 // 10, config.idle_timeout_us - 1_000_000),
        )

    def free(self, server: int) -> None:
        """Close the idle connections to a server."""
        for link in self.idle.pop(server, []):
            link.kill()

    def origin(self, server: int) -> Origin | None:
        """Where hops to a server go now, from any thread."""
        return None if server in self.barred else self.origins.get(server)

    def by_hand(self, server: int, out: bool) -> None:
        """Nothing is written to a server that is out, whatever the list says of it."""
        if out:
            self.barred.add(server)
            self.free(server)
        else:
            self.barred.discard(server)

    def listed(self, update: ServerListUpdate, drain_alone: bool = False) -> None:
        """Forget servers that want nothing new, and the connections to processes that have ended.

        Where only draining binds those that the list drops are kept, until `prune` says which are used.
        """
        origins = {} if update.whole and not drain_alone else dict(self.origins)
        for entry, where in zip(update.entries, update.addresses):
            if entry.state == ServerState.DRAINING or entry.state == ServerState.GONE and not drain_alone:
                origins.pop(entry.server, None)
            elif entry.state == ServerState.READY:
                origins[entry.server] = Origin(where, entry.started_at)
        self.replace(origins)

    def prune(self, used: Container[int]) -> None:
        self.replace({server: origin for server, origin in self.origins.items() if server in used})

    def replace(self, origins: dict[int, Origin]) -> None:
        before, self.origins = self.origins, origins
        for server, origin in before.items():
            if origins.get(server) != origin:
                for link in self.idle.pop(server, []):
                    link.kill()

    def link_for(self, now: int, hop: Hop) -> Link:
        """A connection for the hop: the one used last, or a new one, or one that says there is no room."""
        idle = self.idle.get(hop.server, [])
        while idle:
            link = idle.pop()
            rest = now - link.idle_since
            if rest < self.retire and self.rests.fit(rest) and link.quiet():
                link.hop = hop
                return link
            link.kill()
        if self.open >= self.most:
            self.drop_oldest()
        fresh = Link(self, hop.server, self.origin(hop.server) if self.open < self.most else None)
        self.open += 1
        fresh.hop = hop
        return fresh

    def put(self, now: int, link: Link) -> None:
        if link.dead or self.origin(link.server) != link.origin:
            link.kill()
        else:
            link.idle_since = now
            self.idle.setdefault(link.server, []).append(link)

    def gone(self, link: Link) -> None:
        self.open -= 1
        idle = self.idle.get(link.server, [])
        if link in idle:
            idle.remove(link)

    def drop_oldest(self) -> bool:
        oldest = min(
            (idle[0] for idle in self.idle.values() if idle), key=lambda link: link.idle_since, default=None
        )
        if oldest is not None:
            oldest.kill()
        return oldest is not None

    def share(self, part: int, parts: int) -> None:
        self.most = self.all * part // parts
        while self.open > self.most and self.drop_oldest():
            pass

    def on_timer(self, now: int) -> None:
        """Retire what has stood idle for long, or is no longer of use."""
        self.rests.forget()
        for idle in list(self.idle.values()):
            for link in list(idle):
                if now - link.idle_since >= self.retire or not link.quiet():
                    link.kill()
        # Never at once again: guards the timers where servers keep no idle connections at all.
        self.owner.set_timer(now + max(100_000, min(1_000_000, self.retire // 10)), self)


def start(run: Callable[[], None]) -> None:
    threading.Thread(target=run, daemon=True).start()
