"""Connections to servers and their pool.

Connecting, writing and reading block, and are done by the client's thread that runs a hop.  Times are whole
microseconds of `clock.now()`.
"""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections import Counter
from collections.abc import Callable, Container
from contextlib import suppress
from typing import NamedTuple

from ..discovery.server_list import Address, ServerListUpdate
from ..http1 import writing
from ..http1.messages import MalformedMessageError, Response
from ..http1.parsing import START, ResponseParser
from ..interface import Outcome, ServerState
from . import arrival, clock
from .config import Config
from .exchange import ExchangeOwner, Hop, Upload, UploadError
from .idle_resets import IdleResetTracker
from .log import Log
from .response_stream import SUCCESS, ResponseStream, can_stream
from .socket_writer import send_all
from .transient import LACK_OF_RESOURCES, retry

DEADLINE_HEADER = "x-expires-in-ms"
NEVER_RAN_HEADER = "X-Never-Ran"
MAX_RESPONSE_BYTES = 40 << 20  # larger responses count as malformed
DIAL_GRACE_US = 5_000  # how long a connect may outlast its hop, which the timers have ended by then
STALL_TIMEOUT = struct.pack("ll", 10, 0)  # 10 s, as a struct timeval: a server takes nothing of a body
STREAM_LEAD_US = 10_000  # before the deadline, at which an answer that goes on is passed on
NO_TIMEOUT = struct.pack("ll", 0, 0)
MEMORY_POLL_S = 0.005  # between checks whether more of a response can be held


class ServerInstance(NamedTuple):
    """One run of a server's process at an address; connections to it can't be used for the next run."""

    address: Address
    started_at: int


class ServerConnection:
    """One connection to a server; `hop` and `closed` change under the dispatcher's lock only.

    Without an instance there was no capacity for another connection, and a hop on it fails at once.
    """

    def __init__(self, pool: Pool, server: int, instance: ServerInstance | None) -> None:
        self.pool = pool
        self.server = server
        self.instance = instance
        self.hop: Hop | None = None
        self.sock: socket.socket | None = None
        self.parser = ResponseParser(MAX_RESPONSE_BYTES)
        self.closed = False
        self.idle_since = 0
        self.bytes_read = 0  # in total
        self.receive_timeout = NO_TIMEOUT

    def close(self) -> None:
        """Make sure that nothing more is sent; a thread that runs a hop on it is woken by an error.

        Called with the lock held.  The socket is shut down only after the lock is released, before other
        queued work: a call that may block gives up the interpreter lock, and with hundreds of threads it
        would take long to get it back while all others wait for the dispatcher's lock.
        """
        if not self.closed:
            self.closed = True
            self.pool.remove(self)
            if self.sock is not None:  # else not connected yet; `closed` is checked before the first write
                self.pool.owner.close_after_unlock(self.shutdown)
        if self.hop is None and self.sock is not None:
            self.pool.owner.close_after_unlock(self.sock.close)

    def shutdown(self) -> None:
        """Shut the socket down, which wakes a thread that blocks on it."""
        sock = self.sock  # the connection's thread may replace it at any time
        with suppress(OSError):  # already closed by the server
            if sock is not None:
                sock.shutdown(socket.SHUT_RDWR)

    def is_reusable(self) -> bool:
        """Whether an idle connection is still open and has no unread bytes.

        The server may have closed it, and bytes that followed the last response would be taken for the
        response to the next request.
        """
        return self.sock is not None and arrival.is_quiet(self.sock, self.bytes_read)

    def run_hop(self, hop: Hop) -> tuple[Outcome, Response | None, bool]:
        """Send a hop's request and read the response; also returns whether the connection can be reused."""
        if self.instance is None:
            return Outcome.MOOT, None, False  # no capacity for a connection: nothing was sent
        try:
            if self.sock is not None and not self.is_reusable():
                self.discard_socket()
            if self.sock is None:
                self.connect(self.instance.address, hop)
            if not hop.exchange.may_write(hop):
                return Outcome.MOOT, None, not hop.ended  # nothing was sent on the connection
            self.send_request(hop)
        except UploadError:
            return Outcome.CANCELLED, None, False
        except OSError as error:
            # Where this machine lacked something, no server has failed; either way nothing was sent whole.
            is_local = error.errno in LACK_OF_RESOURCES
            return Outcome.MOOT if is_local else Outcome.CONNECT_FAILED, None, False
        try:
            outcome, response, reuse = self.read_response(hop)
        except MalformedMessageError as error:
            self.pool.bad_answers[str(error)] += 1
            outcome, response, reuse = Outcome.ERROR, None, False
        except OSError:
            outcome, response, reuse = Outcome.RESET, None, False
        if self.idle_since:
            self.pool.idle_resets.record(hop.started_at - self.idle_since, outcome == Outcome.RESET)
        return outcome, response, reuse

    def discard_socket(self) -> None:
        """Drop the socket of an idle connection that became unusable after it was chosen for a hop.

        The server has closed it, or sent unexpected bytes.  Nothing has been written yet, so the hop can go
        out on a new socket.
        """
        stale, self.sock = self.sock, None
        if stale is not None:
            stale.close()
        self.parser = ResponseParser(MAX_RESPONSE_BYTES)
        self.idle_since = self.bytes_read = 0
        self.receive_timeout = NO_TIMEOUT

    def connect(self, address: Address, hop: Hop) -> None:
        """Connect, for little longer than the hop may last; raises OSError.

        Not every platform wakes a blocked connect when another thread shuts the socket down.  Without the
        limit, the client's next request would wait for this thread although this hop has long been answered.
        The grace time lets the timers report the end of the hop first.
        """
        end = min(clock.now() + self.pool.connect_timeout, hop.ends_at + DIAL_GRACE_US)
        sock = retry(lambda: self.connect_once(address, end), LACK_OF_RESOURCES)
        sock.settimeout(None)
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        arrival.enable_timestamps(sock)

    def connect_once(self, address: Address, end: int) -> socket.socket:
        """Connect with a new socket, until `end` at the latest; raises OSError."""
        timeout = end - clock.now()
        if timeout <= 0:
            raise TimeoutError
        sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET)
        self.sock, replaced = sock, self.sock
        if replaced is not None:
            replaced.close()
        sock.settimeout(timeout / 1e6)
        sock.connect(address)
        return sock

    def send_request(self, hop: Hop) -> None:
        """Write the request; raises OSError if that fails, UploadError if the client's body fails."""
        if self.closed or hop.ended or self.sock is None or self.pool.instance(self.server) != self.instance:
            # While this thread was connecting, the server may have been drained or taken out of service.
            raise ConnectionAbortedError
        head = request_head(hop, self.instance.address if self.instance else Address("", 0))
        send_all(self.sock, (head, hop.exchange.request.body), hop.exchange.client.transfers.leave)
        if hop.exchange.upload is not None:
            self.stream_body(hop, hop.exchange.upload)
        self.pool.owner.hop_sent()

    def stream_body(self, hop: Hop, upload: Upload) -> None:
        """Pass on a body as it arrives, as it is too long to be buffered within the memory limit."""
        assert self.sock is not None
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, STALL_TIMEOUT)
        submission = hop.exchange.submission
        for piece, last in upload.pieces():
            if submission is not None:
                submission.body_discarded = True
            if last:
                self.pool.owner.upload_received(hop)
            if self.closed or hop.ended:
                raise ConnectionAbortedError
            parts = writing.chunk(piece, last) if upload.length == writing.CHUNKED else (piece,)
            send_all(self.sock, parts, hop.exchange.client.transfers.leave)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, NO_TIMEOUT)

    def read_response(self, hop: Hop) -> tuple[Outcome, Response | None, bool]:
        """Read the response.

        One that is too large for the memory limit, or that its server goes on giving at the deadline, is
        streamed to the client as it arrives.  Raises MalformedMessageError and OSError.
        """
        assert self.sock is not None
        parser, client = self.parser, hop.exchange.client
        parser.method = hop.exchange.request.method
        stream = ResponseStream(self, self.pool.owner, hop)
        try:
            while True:
                count = self.receive(hop, stream)
                if self.closed:
                    # Closed by this process: the end of the data must not be taken for the end of a response.
                    return Outcome.RESET, None, False
                if not count:
                    parser.end_input()
                if parser.state != START:
                    client.transfers.enter()
                response = parser.next()
                if response is not None:
                    # Unexpected bytes after a valid response make only the connection unusable.
                    reuse = (
                        response.keeps_alive() and not response.until_close and parser.is_idle() and count > 0
                    )
                    self.set_receive_timeout(NO_TIMEOUT)
                    stream.finish(response)
                    return outcome_of(response), response, reuse
                if not count:
                    return Outcome.RESET, None, False
                if not stream.started:
                    self.pool.owner.response_started(hop)
                    hop.body_begun = can_stream(parser)
                    if parser.is_long() and not stream.start():
                        raise MalformedMessageError(502, "answer too large to be held")
                if not stream.pass_on():
                    return Outcome.CANCELLED, None, False
                client.transfers.leave()
        finally:
            client.transfers.leave()
            stream.abort()

    def receive(self, hop: Hop, stream: ResponseStream) -> int:
        """Read more of a response; raises OSError.

        Where the deadline comes first and the answer goes on, it is streamed from then on.
        """
        assert self.sock is not None
        parser = self.parser
        wanted = parser.wanted_bytes()
        if not hop.memory.resize(parser.held_bytes(wanted)):
            wanted = 0  # less at a time
            if not stream.start():
                self.wait_for_memory(hop)
        while True:
            if hop.body_begun and not stream.started:
                self.wait_until_deadline(hop, stream)
            space = parser.ring.writable(wanted)
            try:
                count, received_at = arrival.receive(self.sock, space, hop.started_at)
            except BlockingIOError:
                if stream.started:
                    raise TimeoutError from None  # it has stopped
                continue
            hop.received_at = received_at
            parser.ring.commit(count)
            self.bytes_read += count
            return count

    def wait_until_deadline(self, hop: Hop, stream: ResponseStream) -> None:
        """Have the next read end at the deadline, or stream the answer if that has come."""
        now = clock.now()
        left = hop.exchange.deadline_at - STREAM_LEAD_US - now
        if left > 0:
            self.set_receive_timeout(timeval(left))
        elif not hop.goes_on(now) or not stream.start():
            hop.body_begun = False  # it is ended at the deadline
            self.set_receive_timeout(NO_TIMEOUT)

    def set_receive_timeout(self, value: bytes) -> None:
        """Set for how long a read may block, unless it already is."""
        if self.sock is not None and value != self.receive_timeout:
            self.receive_timeout = value
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, value)

    def wait_for_memory(self, hop: Hop) -> None:
        """Wait until more of a response can be held; raises OSError once the hop has been ended."""
        while not hop.memory.resize(self.parser.held_bytes()):
            if self.closed or hop.ended:
                raise ConnectionAbortedError
            time.sleep(MEMORY_POLL_S)


def timeval(duration_us: int) -> bytes:
    """Return a struct timeval; never 0, which would be no limit."""
    return struct.pack("ll", duration_us // 1_000_000, max(1, duration_us % 1_000_000))


def request_head(hop: Hop, address: Address) -> bytes:
    """Return the head of a hop's request."""
    exchange = hop.exchange
    expires_in_ms = max(1, (exchange.deadline_at - clock.now()) // 1000)
    original = exchange.request
    upload = exchange.upload
    if upload is not None:
        expires_in_ms = max(1, exchange.deadline // 1000)
    headers = [
        (name, value) for name, value in original.end_to_end_headers() if name.lower() != DEADLINE_HEADER
    ]
    if not original.header_values("host"):
        headers.insert(0, ("Host", f"{address.host}:{address.port}"))  # HTTP/1.0 needs none, HTTP/1.1 does
    headers.append((DEADLINE_HEADER, str(expires_in_ms)))
    return writing.request_head(
        original.method,
        original.target,
        headers,
        upload.length if upload is not None else len(original.body),
    )


def outcome_of(response: Response) -> Outcome:
    """Classify a response; a server marks a rejected request that did not run with X-Never-Ran."""
    if response.status == SUCCESS:
        return Outcome.OK
    if response.status in (503, 504) and response.header(NEVER_RAN_HEADER) == "1":
        return Outcome.FULL
    return Outcome.ERROR


class Pool:
    """All connections to servers; methods need the dispatcher's lock unless they say otherwise."""

    def __init__(self, owner: ExchangeOwner, config: Config, log: Log) -> None:
        self.owner = owner
        self.log = log
        self.max_connections = self.connection_limit = config.max_server_connections
        self.apply_config(config)
        self.idle: dict[int, list[ServerConnection]] = {}
        self.open_count = 0
        self.instances: dict[int, ServerInstance] = {}
        self.out_of_service: set[int] = set()  # servers, by an operator
        self.bad_answers: Counter[str] = Counter()
        self.idle_resets = IdleResetTracker()

    def apply_config(self, config: Config) -> None:
        """Use the time limits of another configuration from now on."""
        self.connect_timeout = config.connect_timeout_us
        # Well before the server's own limit, as its close could cross a request that is being written.
        self.max_idle = max(
            config.idle_timeout_us // 2,
            min(config.idle_timeout_us * 9 // 10, config.idle_timeout_us - 1_000_000),
        )

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        for connection in self.idle.pop(server, []):
            connection.close()

    def instance(self, server: int) -> ServerInstance | None:
        """The instance that hops to a server go to, or None; may be called from any thread."""
        return None if server in self.out_of_service else self.instances.get(server)

    def set_out_of_service(self, server: int, out: bool) -> None:
        """Stop writing to a server (`out`), whatever the list says, or use it again."""
        if out:
            self.out_of_service.add(server)
            self.close_idle(server)
        else:
            self.out_of_service.discard(server)

    def update_servers(self, update: ServerListUpdate, only_draining_removes: bool = False) -> None:
        """Forget servers that are draining or gone, and connections to instances that have ended.

        With `only_draining_removes`, servers missing from the list are kept until `keep_only` tells which are
        in use.
        """
        instances = {} if update.whole and not only_draining_removes else dict(self.instances)
        for entry, address in zip(update.entries, update.addresses):
            if (
                entry.state == ServerState.DRAINING
                or entry.state == ServerState.GONE
                and not only_draining_removes
            ):
                instances.pop(entry.server, None)
            elif entry.state == ServerState.READY:
                instances[entry.server] = ServerInstance(address, entry.started_at)
        self.drop_replaced(instances, {entry.server for entry in update.entries})
        self.set_instances(instances)

    def drop_replaced(self, instances: dict[int, ServerInstance], named: Container[int]) -> None:
        """Forget servers at whose address another one has come, though the update does not name them.

        What was sent to such a server would reach the other, which may be in another zone or group and knows
        nothing of what the first has done.
        """
        taken = {
            instance.address
            for server, instance in instances.items()
            if server in named and self.address_of(server) != instance.address
        }
        for server, instance in list(instances.items()):
            if server not in named and instance.address in taken:
                del instances[server]

    def address_of(self, server: int) -> Address | None:
        """Return the address at which a server was known so far."""
        instance = self.instances.get(server)
        return instance.address if instance is not None else None

    def keep_only(self, used: Container[int]) -> None:
        """Forget all servers except those in `used`."""
        self.set_instances(
            {server: instance for server, instance in self.instances.items() if server in used}
        )

    def set_instances(self, instances: dict[int, ServerInstance]) -> None:
        """Replace the instances and close the idle connections to those that are gone."""
        before, self.instances = self.instances, instances
        for server, instance in before.items():
            if instances.get(server) != instance:
                for connection in self.idle.pop(server, []):
                    connection.close()

    def connection_for(self, now: int, hop: Hop) -> ServerConnection:
        """Return a connection for the hop: the idle one used last, or a new one.

        At the limit the oldest idle connection makes place; if there is none, the new one has no instance.
        """
        idle = self.idle.get(hop.server, [])
        while idle:
            connection = idle.pop()
            idle_us = now - connection.idle_since
            if idle_us < self.max_idle and self.idle_resets.is_safe(idle_us) and connection.is_reusable():
                connection.hop = hop
                return connection
            connection.close()
        if self.open_count >= self.connection_limit:
            self.close_oldest_idle()
        fresh = ServerConnection(
            self, hop.server, self.instance(hop.server) if self.open_count < self.connection_limit else None
        )
        self.open_count += 1
        fresh.hop = hop
        return fresh

    def release(self, now: int, connection: ServerConnection) -> None:
        """Put a connection back among the idle ones, or close it if it can't be used again."""
        if connection.closed or self.instance(connection.server) != connection.instance:
            connection.close()
        else:
            connection.idle_since = now
            self.idle.setdefault(connection.server, []).append(connection)

    def remove(self, connection: ServerConnection) -> None:
        """Forget a connection that is being closed."""
        self.open_count -= 1
        idle = self.idle.get(connection.server, [])
        if connection in idle:
            idle.remove(connection)

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest; False if none is idle."""
        oldest = min(
            (idle[0] for idle in self.idle.values() if idle),
            key=lambda connection: connection.idle_since,
            default=None,
        )
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def is_full(self) -> bool:
        """Whether all connections that the limit allows are open, none of them idle."""
        return self.open_count >= self.connection_limit and not any(self.idle.values())

    def scale_limit(self, numerator: int, denominator: int) -> None:
        """Use only a fraction of the connections: during a hot restart two processes share the limits."""
        self.connection_limit = self.max_connections * numerator // denominator
        while self.open_count > self.connection_limit and self.close_oldest_idle():
            pass

    def on_timer(self, now: int) -> None:
        """Close connections that have been idle for too long or are unusable, and set the next timer."""
        self.idle_resets.decay()
        for idle in list(self.idle.values()):
            for connection in list(idle):
                if now - connection.idle_since >= self.max_idle or not connection.is_reusable():
                    connection.close()
        # At least 0.1 s: where servers keep no idle connections the interval would be 0 and the timer always
        # due.
        self.owner.set_timer(now + max(100_000, min(1_000_000, self.max_idle // 10)), self)


def start_thread(run: Callable[[], None]) -> None:
    """Run a function in a new daemon thread; raises RuntimeError if none can be started."""
    threading.Thread(target=run, daemon=True).start()
