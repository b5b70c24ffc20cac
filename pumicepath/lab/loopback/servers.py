"""The model's servers behind real sockets: they refuse, reset, go silent and stall as the model does."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from typing import Any

from ...http1 import writing
from ...http1.messages import MalformedMessageError, Request
from ...interface import Outcome
from ...sidecar.servers import NEVER_RAN_HEADER
from ..model.servers import Job, Server
from .host import LoopbackHost
from .protocols import HttpServerProtocol

BODY = b"s" * 200
RESPONSES = {
    Outcome.OK: writing.response(200, [], BODY, True),
    Outcome.ERROR: writing.response(500, [], b"failed", True),
    Outcome.FULL: writing.response(503, [(NEVER_RAN_HEADER, "1")], b"full", True),
}
BACKLOG_FILLERS = 2  # connections that fill the accept queue of a listener with backlog 0
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with timeout 0: close sends a reset


class ServerListener:
    """A fixed address whose server may change; it accepts, refuses or drops connections."""

    def __init__(self, world: LoopbackHost) -> None:
        self.world = world
        self.port = 0
        self.sock: socket.socket
        self.fillers: list[socket.socket] = []
        self.server: LoopbackServer | None = None
        self.bind()
        self.port = self.sock.getsockname()[1]

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def bind(self) -> None:
        """Binds a new socket to the port.  Raises OSError if another program has taken it meanwhile."""
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(("127.0.0.1", self.port))
        except OSError as error:
            self.sock.close()
            raise OSError(error.errno, f"port {self.port} was taken by another program") from error
        self.sock.setblocking(False)

    def close(self) -> None:
        """Closes the socket; open connections are left alone."""
        self.world.loop.remove_reader(self.sock.fileno())
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.sock.close()

    def refuse_connections(self) -> None:
        """Refuses connections: the port stays bound, and nothing listens on it."""
        self.close()
        self.bind()

    def open(self, server: LoopbackServer) -> None:
        """Accepts connections for a server."""
        self.refuse_connections()
        self.server = server
        self.sock.listen(1024)
        self.world.loop.add_reader(self.sock.fileno(), self.accept)

    def drop_connections(self) -> None:
        """Makes the kernel drop connection attempts: nothing accepts, and the accept queue is full."""
        self.refuse_connections()
        self.sock.listen(0)
        for _ in range(BACKLOG_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def accept(self) -> None:
        with suppress(BlockingIOError, ConnectionError):
            while True:
                sock, _ = self.sock.accept()
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.world.start_task(
                    self.world.loop.connect_accepted_socket(
                        lambda: ServerConnection(self.world, self.server), sock
                    )
                )


class LoopbackServer(Server):
    """A server of the model with real connections; its listener is set when it is given an address."""

    listener: ServerListener | None = None

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.connections: set[ServerConnection] = set()

    def kill(self) -> None:
        super().kill()
        if self.listener is not None and self.listener.server is self:
            self.listener.refuse_connections()
        for connection in list(self.connections):
            connection.reset()

    def start(self, cold: bool = True) -> None:
        super().start(cold)
        if self.listener is not None:
            self.listener.open(self)

    def silence(self) -> None:
        super().silence()
        if self.listener is not None:
            self.listener.drop_connections()


class ServerConnection(HttpServerProtocol):
    """One connection to a server, with one request at a time, answered when the model decides."""

    def __init__(self, world: LoopbackHost, server: LoopbackServer | None) -> None:
        super().__init__()
        self.world = world
        self.server = server
        self.job: Job | None = None
        self.submission = -1

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        if self.server is None:
            transport.abort()
        else:
            self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        if self.server is None:
            return
        self.server.connections.discard(self)
        submission, self.submission = self.submission, -1
        if submission < 0:
            return
        if self.job is None:  # still on the way, or lost at a silent server
            self.world.rule_checker.hop_returned(submission)
        elif not self.job.finished:
            self.server.cancel(self.job)

    def malformed_message(self, error: MalformedMessageError) -> None:
        self.world.note(f"server received {error}")
        self.reset()

    def request_received(self, request: Request) -> None:
        world, server = self.world, self.server
        if server is None:
            return
        self.submission = int(request.header("x-trace-id").partition("-")[0], 16)
        sidecar = self.submission >> 32
        zone = world.zone_of(sidecar)
        world.rule_checker.hop_sent(sidecar, server.number, self.submission)
        world.network.carry(
            zone, server.zone, self.hop_arrived, self.submission, sidecar, request.header("x-object")
        )

    def hop_arrived(self, submission: int, sidecar: int, key: str) -> None:
        world, server = self.world, self.server
        if self.submission != submission or server is None:
            return  # the sidecar gave it up on the way

        def reply(outcome: Outcome) -> None:
            world.rule_checker.hop_returned(submission)
            self.job = None
            if self.submission == submission:
                self.submission = -1
                if not server.silent:
                    world.network.carry(server.zone, world.zone_of(sidecar), self.send_response, outcome)

        job = Job(
            submission,
            int(key or "0", 16),
            sidecar,
            world.work(submission),
            reply,
            world.registry.start_is_known(sidecar, server.number, server.started_at),
        )
        if server.receive(job) and not job.finished:
            self.job = job

    def send_response(self, outcome: Outcome) -> None:
        if self.transport.is_closing():
            return
        if outcome not in RESPONSES:
            self.reset()
        elif outcome == Outcome.OK and self.server is not None and self.server.draw_stall():
            self.transport.write(RESPONSES[outcome][: -len(BODY) // 2])  # the rest never follows
        else:
            self.transport.write(RESPONSES[outcome])

    def reset(self) -> None:
        """Ends the connection with a TCP reset."""
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()
