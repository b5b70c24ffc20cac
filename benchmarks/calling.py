"""What a sidecar adds to a call when many servers are listed: a real `serve`, a light open loop, stand-ins.

`called(servers)` gives p50 and p99 through the sidecar less those of the same calls without it, in ms, and
the CPU of a call in the sidecar.  All listed servers are one stand-in process, behind one address; the
sidecar takes each for its own and keeps connections to each apart.
"""

from __future__ import annotations

import multiprocessing
import os
import random
import selectors
import socket
import tempfile
import time
from multiprocessing.connection import Connection
from pathlib import Path

import numpy
from hearing import configuration
from telling import Origin, whole
from trees import ROOT

from pumicepath.interface import Outcome
from pumicepath.lab.loopback.process import Sidecar
from pumicepath.lab.loopback.servers import ANSWERS
from pumicepath.lab.loopback.wires import asked

RATE = 150.0                # calls a second
KEYS = 1500
WARM_S = 3.0
PATIENCE_S = 2.0


def serve(pipe: Connection) -> None:
    """All servers: answer each request at once."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    listener.setblocking(False)
    selector = selectors.EpollSelector()
    selector.register(listener, selectors.EVENT_READ)
    pipe.send(listener.getsockname())
    answer = ANSWERS[Outcome.OK]
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
                sock.send(answer)       # no request of this loop comes in two parts
            else:
                selector.unregister(sock)
                sock.close()


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
                self.read(key.fileobj)      # type: ignore[arg-type]

    def begin(self) -> None:
        if self.idle:
            sock = self.idle.pop()
        else:
            sock = socket.create_connection(self.where)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.selector.register(sock, selectors.EVENT_READ)
        self.number += 1
        data = asked("read", True, f"{self.number:x}-1", self.chance.randrange(1, KEYS),
                     round(PATIENCE_S * 1000), False, 0)
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
            self.selector.unregister(sock)
            sock.close()


def direct(where: tuple[str, int], seconds: float, seed: int) -> Calls:
    calls = Calls(where, seed)
    calls.run(seconds)
    return calls


def called(servers: int, seconds: float = 8.0, seed: int = 1) -> dict[str, float]:
    context = multiprocessing.get_context("spawn")
    pipe, theirs = context.Pipe()
    stand = context.Process(target=serve, args=(theirs,), daemon=True)
    stand.start()
    host, port = pipe.recv()
    dial = f"{host}:{port}"
    origin = Origin(servers, dial)
    with tempfile.TemporaryDirectory() as folder:
        told = {**configuration(servers, origin.where), "known": whole(servers, 1, dial)}
        sidecar = Sidecar(told, Path(folder), ROOT, os.sched_getaffinity(0))
        try:
            while (where := sidecar.address()) is None:
                time.sleep(0.02)
            time.sleep(1.0)
            direct(where, WARM_S, seed)
            without = direct((host, port), seconds / 2, seed)
            before = sum(sidecar.cpu())
            through = direct(where, seconds, seed)
            spent = sum(sidecar.cpu()) - before
            without.run(seconds / 2)
            count = len(through.times) + through.failed
            # One that was refused, or never answered, took all the time that it had.
            times = through.times + [PATIENCE_S] * through.failed
            add = [float(numpy.quantile(times, part) - numpy.quantile(without.times, part)) * 1000
                   for part in (0.5, 0.99)]
            return {"added_p50_ms": add[0], "added_p99_ms": add[1], "call_cpu_ms": spent / count * 1000,
                    "calling_mb": sidecar.memory_mb()}
        finally:
            sidecar.end()
            origin.end()
            stand.terminate()
            stand.join(10)
