"""A server that does what the query of each request says, so that clients choose how their answers come.

    GET /api?size=200000&framing=chunked&piece=8000&pause_ms=80&first_ms=20

The keys are those of `Command`.  A thread serves each connection.
"""

from __future__ import annotations

import hashlib
import socket
import threading
import time
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Literal, get_args
from urllib.parse import parse_qsl, urlsplit

from ...http1.messages import MalformedMessageError, Request
from ...http1.parsing import RequestParser

Framing = Literal["length", "chunked", "close"]
MAX_BODY_BYTES = 40 << 20
RECEIVE_BYTES = 64 * 1024


class CommandError(ValueError):
    """A request's query has a key or a value that no command has."""


@dataclass(frozen=True)
class Command:
    """How a request is read and answered; sizes in bytes, times in milliseconds.

    `size`, `framing`: of the answer's body; `piece`, `pause_ms`: how much is written at a time, and the pause
    after it; `first_ms`: before the head; `stop_at`: after so many bytes of the body nothing more is written
    (-1: never); `break_at`: after so many the connection is reset (-1: never).
    """

    size: int = 2
    framing: Framing = "length"
    piece: int = RECEIVE_BYTES
    pause_ms: int = 0
    first_ms: int = 0
    stop_at: int = -1
    break_at: int = -1

    @classmethod
    def parse(cls, target: str) -> Command:
        """Read a command from a request's target; raises CommandError."""
        values: dict[str, int | str] = {}
        for key, text in parse_qsl(urlsplit(target).query):
            if key == "framing" and text in get_args(Framing):
                values[key] = text
            elif key != "framing" and key in cls.__dataclass_fields__ and text.lstrip("-").isdigit():
                values[key] = int(text)
            else:
                raise CommandError(f"{key}={text}")
        return cls(**values)  # type: ignore[arg-type]


def answer_body(trace_id: str, size: int) -> bytes:
    """Return the body that a request with this id gets: another one for each id."""
    seed = hashlib.sha256(trace_id.encode()).digest()
    return (seed * (size // len(seed) + 1))[:size]


@dataclass(frozen=True)
class Run:
    """One execution of a request: `began_at` and `ended_at` in seconds of the monotonic clock."""

    trace_id: str
    server: str
    began_at: float
    ended_at: float
    whole: bool  # its answer was written to the end


@dataclass
class RunLog:
    """What the servers have done, for the rules on requests that must not run twice."""

    runs: list[Run] = field(default_factory=list)

    def times_run(self) -> dict[str, int]:
        """How often each id has run."""
        counts: dict[str, int] = {}
        for run in self.runs:
            counts[run.trace_id] = counts.get(run.trace_id, 0) + 1
        return counts


class CommandedServer:
    """A server on a port of its own; `read_pause_s` is the pause after each read of a long body."""

    def __init__(self, name: str, log: RunLog, read_pause_s: float = 0.0) -> None:
        self.name = name
        self.log = log
        self.read_pause_s = read_pause_s
        self.hung = threading.Event()  # while set, nothing is read or written
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.listener.settimeout(None)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections until the listener is closed, with a thread for each."""
        while True:
            try:
                sock = self.listener.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def close(self) -> None:
        """Accept no more connections."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def serve(self, sock: socket.socket) -> None:
        """Serve one connection to its end."""
        with sock, suppress(OSError, MalformedMessageError):
            sock.settimeout(None)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            parser = RequestParser(MAX_BODY_BYTES)
            while (request := self.read_request(sock, parser)) is not None:
                if not self.answer(sock, request):
                    return

    def read_request(self, sock: socket.socket, parser: RequestParser) -> Request | None:
        """Read the next request, dropping the pieces of a long body; None at the end of the connection."""
        while (request := parser.next()) is None:
            if parser.is_long():
                parser.take_body()
                time.sleep(self.read_pause_s)
            self.wait_while_hung()
            data = sock.recv(RECEIVE_BYTES)
            if not data:
                return None
            parser.feed(data)
        return request

    def wait_while_hung(self) -> None:
        """Do nothing while the server hangs."""
        while self.hung.is_set():
            time.sleep(0.01)

    def answer(self, sock: socket.socket, request: Request) -> bool:
        """Answer one request as its command says; returns whether the connection can be used again."""
        began_at = time.monotonic()
        trace_id = request.header("X-Trace-Id")
        whole = False
        try:
            command = Command.parse(request.target)
            time.sleep(command.first_ms / 1000)
            whole = self.write_answer(sock, command, answer_body(trace_id, command.size))
        finally:
            self.log.runs.append(Run(trace_id, self.name, began_at, time.monotonic(), whole))
        return whole and command.framing != "close"

    def write_answer(self, sock: socket.socket, command: Command, body: bytes) -> bool:
        """Write head and body; returns whether the body was written to its end."""
        framing = {
            "length": f"Content-Length: {len(body)}",
            "chunked": "Transfer-Encoding: chunked",
            "close": "Connection: close",
        }[command.framing]
        sock.sendall(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode())
        written = 0
        for piece in pieces(body, command.piece):
            self.wait_while_hung()
            if 0 <= command.break_at <= written:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                return False
            if 0 <= command.stop_at <= written:
                sock.recv(1)  # until the other side ends the connection
                return False
            sock.sendall(b"%x\r\n%b\r\n" % (len(piece), piece) if command.framing == "chunked" else piece)
            written += len(piece)
            time.sleep(command.pause_ms / 1000)
        if command.framing == "chunked":
            sock.sendall(b"0\r\n\r\n")
        return True


def pieces(body: bytes, size: int) -> Iterator[bytes]:
    """Split a body into pieces of a size."""
    for at in range(0, len(body), size):
        yield body[at : at + size]
