"""What a sidecar adds to a call when many servers are listed: a real `serve`, a light open loop, stand-ins.

`called(servers)` gives p50 and p99 through the sidecar less those of the same calls without it, in ms, and
the CPU of a call in the sidecar.  All listed servers are one stand-in process, behind one address; the
sidecar takes each for its own and keeps connections to each apart.

The same calls go through a plain process as well, which hands on bytes and does nothing else: what that adds
is the rig's and the machine's part of what anything in the way costs.  All three are measured in turns of
`SLICE_S`, as a machine that is itself a guest is not the same from one minute to the next.
"""

from __future__ import annotations

import multiprocessing
import os
import random
import selectors
import socket
import tempfile
import time
from collections.abc import Callable
from multiprocessing.connection import Connection
from multiprocessing.context import BaseContext
from multiprocessing.process import BaseProcess
from pathlib import Path

import numpy
from hearing import configuration
from telling import Origin, whole
from trees import ROOT

from pumicepath.interface import Outcome
from pumicepath.lab.loopback.client_connections import encode_request
from pumicepath.lab.loopback.process import SidecarProcess
from pumicepath.lab.loopback.servers import RESPONSES

RATE = 150.0  # calls a second
KEYS = 1500
WARM_S = 3.0
PATIENCE_S = 2.0
SLICE_S = 2.0


def serve(pipe: Connection) -> None:
    """All servers: answer each request at once."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    listener.setblocking(False)
    selector = selectors.EpollSelector()
    selector.register(listener, selectors.EVENT_READ)
    pipe.send(listener.getsockname())
    answer = RESPONSES[Outcome.OK]
    while True:
        for key, _ in selector.select():
            sock = key.fileobj
            if sock is listener:
                fresh, _ = listener.accept()
                fresh.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                selector.register(fresh, selectors.EVENT_READ)
                continue
            assert isinstance(sock, socket.socket)
            try:
                data = sock.recv(65_536)
            except OSError:
                data = b""
            if data:
                sock.send(answer)  # no request of this loop comes in two parts
            else:
                selector.unregister(sock)
                sock.close()


def forward(pipe: Connection, where: tuple[str, int]) -> None:
    """A plain process in the way: bytes both ways, a connection to the server for each of a client."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    listener.setblocking(False)
    selector = selectors.EpollSelector()
    selector.register(listener, selectors.EVENT_READ)
    pipe.send(listener.getsockname())
    others: dict[socket.socket, socket.socket] = {}
    while True:
        for key, _ in selector.select():
            sock = key.fileobj
            if sock is listener:
                ends = listener.accept()[0], socket.create_connection(where)
                for end, other in zip(ends, reversed(ends)):
                    end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    selector.register(end, selectors.EVENT_READ)
                    others[end] = other
                continue
            assert isinstance(sock, socket.socket)
            if sock not in others:
                continue  # ended with the other one, in this very turn
            data = sock.recv(65_536)
            if data:
                others[sock].send(data)
                continue
            for end in (others.pop(others[sock]), others.pop(sock)):
                selector.unregister(end)
                end.close()


class Calls:
    """An open loop: calls begin when they are due, on an idle connection or a new one."""

    def __init__(self, where: tuple[str, int], seed: int) -> None:
        self.where = where
        self.chance = random.Random(seed)
        self.selector = selectors.EpollSelector()
        self.idle: list[socket.socket] = []
        self.began: dict[socket.socket, float] = {}
        self.times: list[float] = []
        self.failed = 0
        self.number = 0

    def run(self, seconds: float) -> None:
        due, end = time.perf_counter(), time.perf_counter() + seconds
        while due < end or self.began:
            now = time.perf_counter()
            while due <= now and due < end:
                self.begin()
                due += self.chance.expovariate(RATE)
            if now > end + 3.0:
                self.failed += len(self.began)
                return
            for key, _ in self.selector.select(max(0.0, min(due, end + 3.0) - now) if due < end else 0.01):
                self.read(key.fileobj)  # type: ignore[arg-type]

    def begin(self) -> None:
        if self.idle:
            sock = self.idle.pop()
        else:
            sock = socket.create_connection(self.where)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.selector.register(sock, selectors.EVENT_READ)
        self.number += 1
        data = encode_request(
            "read",
            True,
            f"{self.number:x}-1",
            self.chance.randrange(1, KEYS),
            round(PATIENCE_S * 1000),
            False,
            0,
        )
        self.began[sock] = time.perf_counter()
        sock.send(data)

    def read(self, sock: socket.socket) -> None:
        data = sock.recv(65_536)
        began = self.began.pop(sock, None)
        if not data.startswith(b"HTTP/1.1 200"):
            self.failed += began is not None
        elif began is not None:
            self.times.append(time.perf_counter() - began)
        if data and b"onnection: close" not in data:
            self.idle.append(sock)
        else:
            if sock in self.idle:  # ended by the other side while nothing was asked on it
                self.idle.remove(sock)
            self.selector.unregister(sock)
            sock.close()


def direct(where: tuple[str, int], seconds: float, seed: int) -> Calls:
    calls = Calls(where, seed)
    calls.run(seconds)
    return calls


def process(
    context: BaseContext, run: Callable[..., None], *given: object
) -> tuple[BaseProcess, tuple[str, int]]:
    """It, and where it listens."""
    pipe, theirs = context.Pipe()
    started = context.Process(target=run, args=(theirs, *given), daemon=True)  # type: ignore[attr-defined]
    started.start()
    return started, pipe.recv()


def called(servers: int, seconds: float = 8.0, seed: int = 1) -> dict[str, float]:
    context = multiprocessing.get_context("spawn")
    stand, (host, port) = process(context, serve)
    plain, passing = process(context, forward, (host, port))
    dial = f"{host}:{port}"
    origin = Origin(servers, dial)
    with tempfile.TemporaryDirectory() as folder:
        told = {**configuration(servers, origin.where), "known": whole(servers, 1, dial)}
        sidecar = SidecarProcess(told, Path(folder), ROOT, os.sched_getaffinity(0))
        try:
            while (where := sidecar.address()) is None:
                time.sleep(0.02)
            time.sleep(1.0)
            direct(where, WARM_S, seed)
            without, passed, through = (Calls(each, seed) for each in ((host, port), passing, where))
            spent = 0.0
            for _ in range(round(seconds / SLICE_S)):
                without.run(SLICE_S)
                passed.run(SLICE_S)
                before = sum(sidecar.cpu_seconds())
                through.run(SLICE_S)
                spent += sum(sidecar.cpu_seconds()) - before
            count = len(through.times) + through.failed
            # One that was refused, or never answered, took all the time that it had.
            through.times += [PATIENCE_S] * through.failed

            def at(calls: Calls, part: float) -> float:
                return float(numpy.quantile(calls.times, part)) * 1000

            return {
                "added_p50_ms": at(through, 0.5) - at(without, 0.5),
                "added_p99_ms": at(through, 0.99) - at(without, 0.99),
                "passed_p50_ms": at(passed, 0.5) - at(without, 0.5),
                "passed_p99_ms": at(passed, 0.99) - at(without, 0.99),
                "plain_p99_ms": at(without, 0.99),
                "call_cpu_ms": spent / count * 1000,
                "calling_mb": sidecar.memory_mb(),
            }
        finally:
            sidecar.kill()
            origin.end()
            for each in (stand, plain):
                each.terminate()
                each.join(10)
