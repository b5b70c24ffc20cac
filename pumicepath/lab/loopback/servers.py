"""The model's servers behind real sockets: they refuse, reset, go silent and stall as their model does."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from typing import Any

from ...http1 import writing
from ...http1.messages import Malformed, Request
from ...interface import Outcome
from ...sidecar.servers import NEVER_RAN
from ..model.servers import Job, Server
from .ends import ServerEnd
from .ground import Ground

BODY = b"s" * 200
ANSWERS = {
    Outcome.OK: writing.response(200, [], BODY, True),
    Outcome.ERROR: writing.response(500, [], b"failed", True),
    Outcome.FULL: writing.response(503, [(NEVER_RAN, "1")], b"full", True),
}
FILLED = 2  # connections that fill the queue of a listener with no backlog
AT_ONCE = struct.pack("ii", 1, 0)


class Door:
    """One address for good, whoever listens behind it: open, shut (refuses), or silent (drops)."""

    def __init__(self, world: Ground) -> None:
        self.world = world
        self.port = 0
        self.sock: socket.socket
        self.fillers: list[socket.socket] = []
        self.behind: LiveServer | None = None
        self.bind()
        self.port = self.sock.getsockname()[1]

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def bind(self) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            self.sock.bind(("127.0.0.1", self.port))
        except OSError as trouble:
            self.sock.close()
            raise OSError(trouble.errno, f"port {self.port} was taken by another program") from trouble
        self.sock.setblocking(False)

    def close(self) -> None:
        self.world.loop.remove_reader(self.sock.fileno())
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.sock.close()

    def shut(self) -> None:
        """Connections are refused: the port is held, and nobody listens."""
        self.close()
        self.bind()

    def open(self, server: LiveServer) -> None:
        self.shut()
        self.behind = server
        self.sock.listen(1024)
        self.world.loop.add_reader(self.sock.fileno(), self.accept)

    def silence(self) -> None:
        """The kernel drops what would connect: nobody accepts, and the queue is full."""
        self.shut()
        self.sock.listen(0)
        for _ in range(FILLED):
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
                self.world.keep(
                    self.world.loop.connect_accepted_socket(lambda: Connection(self.world, self.behind), sock)
                )


class LiveServer(Server):
    """A server of the model with connections; `door` is given once it has a place."""

    door: Door | None = None

    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self.connections: set[Connection] = set()

    def kill(self) -> None:
        super().kill()
        if self.door is not None and self.door.behind is self:
            self.door.shut()
        for connection in list(self.connections):
            connection.reset()

    def start(self, cold: bool = True) -> None:
        super().start(cold)
        if self.door is not None:
            self.door.open(self)

    def silence(self) -> None:
        super().silence()
        if self.door is not None:
            self.door.silence()


class Connection(ServerEnd):
    """One connection to a server: a request at a time, answered when the model says so."""

    def __init__(self, world: Ground, server: LiveServer | None) -> None:
        super().__init__()
        self.world = world
        self.server = server
        self.job: Job | None = None
        self.ask = -1

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        if self.server is None:
            transport.abort()
        else:
            self.server.connections.add(self)

    def connection_lost(self, trouble: Exception | None) -> None:
        if self.server is None:
            return
        self.server.connections.discard(self)
        ask, self.ask = self.ask, -1
        if ask < 0:
            return
        if self.job is None:  # on its way, or lost where nothing answers
            self.world.rule_checker.hop_returned(ask)
        elif not self.job.finished:
            self.server.cancel(self.job)

    def malformed(self, trouble: Malformed) -> None:
        self.world.note(f"server got {trouble}")
        self.reset()

    def came(self, request: Request) -> None:
        world, server = self.world, self.server
        if server is None:
            return
        self.ask = int(request.header("x-trace-id").partition("-")[0], 16)
        sidecar = self.ask >> 32
        hall = world.hall_of(sidecar)
        world.rule_checker.hop_sent(sidecar, server.number, self.ask)
        world.network.carry(hall, server.zone, self.arrive, self.ask, sidecar, request.header("x-object"))

    def arrive(self, ask: int, sidecar: int, key: str) -> None:
        world, server = self.world, self.server
        if self.ask != ask or server is None:
            return  # given up on the way

        def reply(outcome: Outcome) -> None:
            world.rule_checker.hop_returned(ask)
            self.job = None
            if self.ask == ask:
                self.ask = -1
                if not server.silent:
                    world.network.carry(server.zone, world.hall_of(sidecar), self.answer, outcome)

        job = Job(
            ask,
            int(key or "0", 16),
            sidecar,
            world.work(ask),
            reply,
            world.registry.start_is_known(sidecar, server.number, server.started_at),
        )
        if server.receive(job) and not job.finished:
            self.job = job

    def answer(self, outcome: Outcome) -> None:
        if self.transport.is_closing():
            return
        if outcome not in ANSWERS:
            self.reset()
        elif outcome == Outcome.OK and self.server is not None and self.server.draw_stall():
            self.transport.write(ANSWERS[outcome][: -len(BODY) // 2])  # and no more
        else:
            self.transport.write(ANSWERS[outcome])

    def reset(self) -> None:
        sock = self.transport.get_extra_info("socket")
        if sock is not None:
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, AT_ONCE)
        self.transport.abort()
