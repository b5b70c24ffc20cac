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
from ..http1.messages import MalformedMessageError, Response
from ..http1.parsing import MAX_BODY_BYTES, MAX_HEAD_BYTES, ResponseParser
from ..http1.ring import Ring
from ..interface import Outcome, ServerState
from . import arrival, clock
from .config import Config
from .exchange import ExchangeOwner, Hop, Upload, UploadError
from .log import Log

DEADLINE_HEADER = "x-expires-in-ms"
NEVER_RAN_HEADER = "X-Never-Ran"
MIN_SAMPLES = 5  # rests of about one length, from which their resets tell something
DECAY = 0.99  # of what is known about rests, from one look at the connections to the next
MAX_RESPONSE_BYTES = 40 << 20  # what says that it is larger is taken for spoilt
DIAL_GRACE_US = 5_000  # of a dial past the end of its hop, which has timed out by then
STALL_TIMEOUT = struct.pack("ll", 10, 0)  # for how long nothing may move of what goes through as it comes
NO_TIMEOUT = struct.pack("ll", 0, 0)


class ServerInstance(NamedTuple):
    """One run of a server's process at its address; connections to it are of no use to the next."""

    address: Address
    started_at: int


class ServerConnection:
    """One connection; `hop` and `dead` change under the dispatcher's lock only."""

    def __init__(self, pool: Pool, server: int, instance: ServerInstance | None) -> None:
        self.pool = pool
        self.server = server
        self.instance = instance
        self.hop: Hop | None = None
        self.sock: socket.socket | None = None
        self.write_buffer = Ring(MAX_HEAD_BYTES + MAX_BODY_BYTES + 1024)
        self.parser = ResponseParser(MAX_RESPONSE_BYTES)
        self.closed = False
        self.idle_since = 0
        self.bytes_read = 0  # bytes read so far

    def close(self) -> None:
        """Nothing goes out on it any more; whoever carries a hop on it wakes up and finds it broken.

        It is shut once the lock is free, ahead of all else that was decided: guards the lock, whose owner
        would lose the interpreter to hundreds of threads in any call that may block.
        """
        if not self.closed:
            self.closed = True
            self.pool.remove(self)
            if self.sock is not None:  # else not connected yet: `dead` is looked at before a byte is written
                self.pool.owner.close_after_unlock(self.shutdown)
        if self.hop is None and self.sock is not None:
            self.pool.owner.close_after_unlock(self.sock.close)

    def shutdown(self) -> None:
        sock = self.sock  # its own thread may be about to take another
        with suppress(OSError):  # the server was first
            if sock is not None:
                sock.shutdown(socket.SHUT_RDWR)

    def is_reusable(self) -> bool:
        """Whether an idle connection is still open, and nothing came on it that nobody asked for.

        Guards a hop against a connection that its server has closed, or on which bytes that followed the
        last answer would be taken for its own.
        """
        return self.sock is not None and arrival.is_quiet(self.sock, self.bytes_read)

    def run_hop(self, hop: Hop) -> tuple[Outcome, Response | None, bool]:
        """Send a hop and wait for its answer; also tells whether the connection can be used again."""
        if self.instance is None:
            return Outcome.MOOT, None, False  # no room for a connection: nothing went out
        try:
            if self.sock is not None and not self.is_reusable():
                self.discard_socket()
            if self.sock is None:
                self.connect(self.instance.address, hop)
            if not hop.exchange.may_write(clock.now(), hop):
                return Outcome.MOOT, None, not hop.ended  # the connection has carried nothing
            self.send_request(hop)
        except UploadError:
            return Outcome.CANCELLED, None, False
        except OSError:
            return Outcome.CONNECT_FAILED, None, False
        try:
            outcome, response, reuse = self.read_response(hop)
        except MalformedMessageError as trouble:
            self.pool.bad_answers[str(trouble)] += 1
            outcome, response, reuse = Outcome.ERROR, None, False
        except OSError:
            outcome, response, reuse = Outcome.RESET, None, False
        if self.idle_since:
            self.pool.idle_resets.record(hop.started_at - self.idle_since, outcome == Outcome.RESET)
        return outcome, response, reuse

    def discard_socket(self) -> None:
        """Guards a hop against what came on a resting connection after it was chosen.

        Its server has closed it, or sent more than an answer: nothing has been written, so a new one will do.
        """
        old, self.sock = self.sock, None
        if old is not None:
            old.close()
        self.parser = ResponseParser(MAX_RESPONSE_BYTES)
        self.idle_since = self.bytes_read = 0

    def connect(self, address: Address, hop: Hop) -> None:
        """Dial for no longer than the hop may last; that it is over then is for the timers to say, before.

        Guards what the client sends next against a thread that still dials for what has been answered: not
        every platform wakes a dial that is shut by another thread.
        """
        left = min(self.pool.connect_timeout, hop.ends_at + DIAL_GRACE_US - clock.now())
        if left <= 0:
            raise TimeoutError
        self.sock = sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET)
        sock.settimeout(left / 1e6)
        sock.connect(address)
        sock.settimeout(None)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        arrival.enable_timestamps(sock)

    def send_request(self, hop: Hop) -> None:
        """Raises OSError if the last byte is not written."""
        if self.closed or hop.ended or self.sock is None or self.pool.instance(self.server) != self.instance:
            # Guards a server that was taken out, or drains, since the hop was chosen: dialling takes time.
            raise ConnectionAbortedError
        self.write_buffer.write(
            build_request(hop, self.instance.address if self.instance else Address("", 0))
        )
        self.flush()
        if hop.exchange.upload is not None:
            self.stream_body(hop, hop.exchange.upload)
        self.write_buffer.shrink()
        self.pool.owner.hop_sent()

    def flush(self) -> None:
        while len(self.write_buffer) and self.sock is not None:
            self.write_buffer.consume(self.sock.send(self.write_buffer.readable()))

    def stream_body(self, hop: Hop, upload: Upload) -> None:
        """Guards the memory limit: a body too long to be held goes on as it comes."""
        assert self.sock is not None
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, STALL_TIMEOUT)
        handle = hop.exchange.submission
        for piece, last in upload.pieces():
            if handle is not None:
                handle.body_discarded = True
            if last:
                self.pool.owner.upload_received(hop)
            if self.closed or hop.ended:
                raise ConnectionAbortedError
            data = memoryview(writing.chunk(piece, last) if upload.length == writing.CHUNKED else piece)
            while data:
                data = data[self.write_buffer.write(data) :]
                self.flush()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, NO_TIMEOUT)

    def read_response(self, hop: Hop) -> tuple[Outcome, Response | None, bool]:
        """Read the answer; what is too large to be held until it is whole is passed on as it comes."""
        sock, parser, owner = self.sock, self.parser, self.pool.owner
        assert sock is not None
        parser.method = hop.exchange.request.method
        client = hop.exchange.client
        passing = False
        try:
            while True:
                count, hop.received_at = arrival.receive(
                    sock, parser.ring.writable(min(parser.remaining, MAX_BODY_BYTES)), hop.started_at
                )
                parser.ring.commit(count)
                self.bytes_read += count
                if self.closed:
                    # Guards against what we broke off ourselves being taken for an answer that ends there.
                    return Outcome.RESET, None, False
                if not count:
                    parser.end_input()
                response = parser.next()
                if response is not None:
                    # What follows a good answer unasked is the connection's trouble, not the answer's.
                    reuse = (
                        response.keeps_alive() and not response.until_close and parser.is_idle() and count > 0
                    )
                    if passing:
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, NO_TIMEOUT)
                    if passing and client.write_body(response.body, True):
                        passing = False
                    return outcome_of(response), response, reuse
                if not count:
                    return Outcome.RESET, None, False
                if not passing:
                    owner.response_started(hop)
                    if parser.is_long():
                        if not (passing := owner.stream_response(hop, parser)):
                            raise MalformedMessageError(502, "answer too large to be held")
                        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, STALL_TIMEOUT)
                if passing and not client.write_body(parser.take_body(), False):
                    return Outcome.CANCELLED, None, False
        finally:
            if passing:
                client.abort_response()


def build_request(hop: Hop, address: Address) -> bytes:
    exchange = hop.exchange
    left = max(1, (exchange.deadline_at - clock.now()) // 1000)
    came = exchange.request
    upload = exchange.upload
    if upload is not None:
        left = max(1, exchange.deadline // 1000)
    headers = [(name, value) for name, value in came.end_to_end_headers() if name.lower() != DEADLINE_HEADER]
    if not came.header_values("host"):
        headers.insert(0, ("Host", f"{address.host}:{address.port}"))  # HTTP/1.0 needs none, HTTP/1.1 does
    return writing.request(
        came.method,
        came.target,
        [*headers, (DEADLINE_HEADER, str(left))],
        came.body,
        upload.length if upload is not None else writing.COMPLETE,
    )


def outcome_of(response: Response) -> Outcome:
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.header(NEVER_RAN_HEADER) == "1":
        return Outcome.FULL
    return Outcome.ERROR


class IdleResetTracker:
    """How often a hop is reset that is the first after a rest of its connection, by how long that was.

    Guards hops, unrepeatable ones above all, against servers and what lies before them that drop connections
    sooner than the settings say, and say nothing.
    """

    def __init__(self) -> None:
        self.uses = [0.0] * 64
        self.resets = [0.0] * 64

    def record(self, idle_us: int, reset: bool) -> None:
        at = idle_us.bit_length()
        self.uses[at] += 1
        self.resets[at] += reset

    def is_safe(self, idle_us: int) -> bool:
        """Whether a connection that has rested so long is about as good as others."""
        at = idle_us.bit_length()
        usual = sum(self.resets) / max(1.0, sum(self.uses))
        return self.uses[at] < MIN_SAMPLES or self.resets[at] < (2 * usual + 0.1) * self.uses[at]

    def decay(self) -> None:
        self.uses = [count * DECAY for count in self.uses]
        self.resets = [count * DECAY for count in self.resets]


class Pool:
    """All connections to servers; everything here is called under the dispatcher's lock."""

    def __init__(self, owner: ExchangeOwner, config: Config, log: Log) -> None:
        self.owner = owner
        self.log = log
        self.max_connections = self.connection_limit = config.max_server_connections
        self.apply_config(config)
        self.idle: dict[int, list[ServerConnection]] = {}
        self.open_count = 0
        self.instances: dict[int, ServerInstance] = {}
        self.out_of_service: set[int] = set()  # servers out by hand
        self.bad_answers: Counter[str] = Counter()
        self.idle_resets = IdleResetTracker()

    def apply_config(self, config: Config) -> None:
        """Go by other settings from now on."""
        self.connect_timeout = config.connect_timeout_us
        # Well ahead of the server, whose closing would cross a hop that is being written.
        self.max_idle = max(
            config.idle_timeout_us // 2,
            min(config.idle_timeout_us * 9 // 10, config.idle_timeout_us - 1_000_000),
        )

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        for link in self.idle.pop(server, []):
            link.close()

    def instance(self, server: int) -> ServerInstance | None:
        """Where hops to a server go now, from any thread."""
        return None if server in self.out_of_service else self.instances.get(server)

    def set_out_of_service(self, server: int, out: bool) -> None:
        """Nothing is written to a server that is out, whatever the list says of it."""
        if out:
            self.out_of_service.add(server)
            self.close_idle(server)
        else:
            self.out_of_service.discard(server)

    def update_servers(self, update: ServerListUpdate, drain_alone: bool = False) -> None:
        """Forget servers that want nothing new, and the connections to processes that have ended.

        Where only draining binds those that the list drops are kept, until `prune` says which are used.
        """
        origins = {} if update.whole and not drain_alone else dict(self.instances)
        for entry, where in zip(update.entries, update.addresses):
            if entry.state == ServerState.DRAINING or entry.state == ServerState.GONE and not drain_alone:
                origins.pop(entry.server, None)
            elif entry.state == ServerState.READY:
                origins[entry.server] = ServerInstance(where, entry.started_at)
        self.set_instances(origins)

    def keep_only(self, used: Container[int]) -> None:
        self.set_instances({server: origin for server, origin in self.instances.items() if server in used})

    def set_instances(self, instances: dict[int, ServerInstance]) -> None:
        before, self.instances = self.instances, instances
        for server, origin in before.items():
            if instances.get(server) != origin:
                for link in self.idle.pop(server, []):
                    link.close()

    def connection_for(self, now: int, hop: Hop) -> ServerConnection:
        """A connection for the hop: the one used last, or a new one, or one that says there is no room."""
        idle = self.idle.get(hop.server, [])
        while idle:
            link = idle.pop()
            rest = now - link.idle_since
            if rest < self.max_idle and self.idle_resets.is_safe(rest) and link.is_reusable():
                link.hop = hop
                return link
            link.close()
        if self.open_count >= self.connection_limit:
            self.close_oldest_idle()
        fresh = ServerConnection(
            self, hop.server, self.instance(hop.server) if self.open_count < self.connection_limit else None
        )
        self.open_count += 1
        fresh.hop = hop
        return fresh

    def release(self, now: int, connection: ServerConnection) -> None:
        if connection.closed or self.instance(connection.server) != connection.instance:
            connection.close()
        else:
            connection.idle_since = now
            self.idle.setdefault(connection.server, []).append(connection)

    def remove(self, connection: ServerConnection) -> None:
        self.open_count -= 1
        idle = self.idle.get(connection.server, [])
        if connection in idle:
            idle.remove(connection)

    def close_oldest_idle(self) -> bool:
        oldest = min(
            (idle[0] for idle in self.idle.values() if idle), key=lambda link: link.idle_since, default=None
        )
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def scale_limit(self, numerator: int, denominator: int) -> None:
        self.connection_limit = self.max_connections * numerator // denominator
        while self.open_count > self.connection_limit and self.close_oldest_idle():
            pass

    def on_timer(self, now: int) -> None:
        """Retire what has stood idle for long, or is no longer of use."""
        self.idle_resets.decay()
        for idle in list(self.idle.values()):
            for link in list(idle):
                if now - link.idle_since >= self.max_idle or not link.is_reusable():
                    link.close()
        # Never at once again: guards the timers where servers keep no idle connections at all.
        self.owner.set_timer(now + max(100_000, min(1_000_000, self.max_idle // 10)), self)


def start_thread(run: Callable[[], None]) -> None:
    threading.Thread(target=run, daemon=True).start()
