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
from hearing import sidecar_config
from telling import ListSource, full_list
from trees import ROOT

from pumicepath.interface import Outcome
from pumicepath.lab.loopback.client_connections import encode_request
from pumicepath.lab.loopback.process import SidecarProcess
from pumicepath.lab.loopback.servers import RESPONSES

CALLS_PER_S = 150.0  # calls a second
KEYS = 1500
WARM_S = 3.0
DEADLINE_S = 2.0
SLICE_S = 2.0


def run_servers(pipe: Connection) -> None:
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
                accepted, _ = listener.accept()
                accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                selector.register(accepted, selectors.EVENT_READ)
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


def run_forwarder(pipe: Connection, server_address: tuple[str, int]) -> None:
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
                ends = listener.accept()[0], socket.create_connection(server_address)
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


class OpenLoopClient:
    """An open loop: calls begin when they are due, on an idle connection or a new one."""

    def __init__(self, address: tuple[str, int], seed: int) -> None:
        self.address = address
        self.rng = random.Random(seed)
        self.selector = selectors.EpollSelector()
        self.idle: list[socket.socket] = []
        self.started_at: dict[socket.socket, float] = {}
        self.latencies_s: list[float] = []
        self.failed = 0
        self.number = 0

    def run(self, seconds: float) -> None:
        next_call_at, end = time.perf_counter(), time.perf_counter() + seconds
        while next_call_at < end or self.started_at:
            now = time.perf_counter()
            while next_call_at <= now and next_call_at < end:
                self.start_call()
                next_call_at += self.rng.expovariate(CALLS_PER_S)
            if now > end + 3.0:
                self.failed += len(self.started_at)
                return
            for key, _ in self.selector.select(
                max(0.0, min(next_call_at, end + 3.0) - now) if next_call_at < end else 0.01
            ):
                self.on_readable(key.fileobj)  # type: ignore[arg-type]

    def start_call(self) -> None:
        if self.idle:
            sock = self.idle.pop()
        else:
            sock = socket.create_connection(self.address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.selector.register(sock, selectors.EVENT_READ)
        self.number += 1
        data = encode_request(
            "read",
            True,
            f"{self.number:x}-1",
            self.rng.randrange(1, KEYS),
            round(DEADLINE_S * 1000),
            False,
            0,
        )
        self.started_at[sock] = time.perf_counter()
        sock.send(data)

    def on_readable(self, sock: socket.socket) -> None:
        data = sock.recv(65_536)
        began = self.started_at.pop(sock, None)
        if not data.startswith(b"HTTP/1.1 200"):
            self.failed += began is not None
        elif began is not None:
            self.latencies_s.append(time.perf_counter() - began)
        if data and b"onnection: close" not in data:
            self.idle.append(sock)
        else:
            if sock in self.idle:  # ended by the other side while nothing was asked on it
                self.idle.remove(sock)
            self.selector.unregister(sock)
            sock.close()


def run_calls(address: tuple[str, int], seconds: float, seed: int) -> OpenLoopClient:
    calls = OpenLoopClient(address, seed)
    calls.run(seconds)
    return calls


def start_process(
    context: BaseContext, run: Callable[..., None], *given: object
) -> tuple[BaseProcess, tuple[str, int]]:
    """It, and where it listens."""
    pipe, theirs = context.Pipe()
    started = context.Process(target=run, args=(theirs, *given), daemon=True)  # type: ignore[attr-defined]
    started.start()
    return started, pipe.recv()


def measure_calls(servers: int, seconds: float = 8.0, seed: int = 1) -> dict[str, float]:
    context = multiprocessing.get_context("spawn")
    servers_process, (host, port) = start_process(context, run_servers)
    forwarder, forwarder_address = start_process(context, run_forwarder, (host, port))
    server_address = f"{host}:{port}"
    source = ListSource(servers, server_address)
    with tempfile.TemporaryDirectory() as folder:
        config = {**sidecar_config(servers, source.address), "known": full_list(servers, 1, server_address)}
        sidecar = SidecarProcess(config, Path(folder), ROOT, os.sched_getaffinity(0))
        try:
            while (where := sidecar.address()) is None:
                time.sleep(0.02)
            time.sleep(1.0)
            run_calls(where, WARM_S, seed)
            direct, forwarded, through_sidecar = (
                OpenLoopClient(each, seed) for each in ((host, port), forwarder_address, where)
            )
            cpu_s = 0.0
            for _ in range(round(seconds / SLICE_S)):
                direct.run(SLICE_S)
                forwarded.run(SLICE_S)
                before = sum(sidecar.cpu_seconds())
                through_sidecar.run(SLICE_S)
                cpu_s += sum(sidecar.cpu_seconds()) - before
            count = len(through_sidecar.latencies_s) + through_sidecar.failed
            # One that was refused, or never answered, took all the time that it had.
            through_sidecar.latencies_s += [DEADLINE_S] * through_sidecar.failed

            def quantile_ms(calls: OpenLoopClient, fraction: float) -> float:
                return float(numpy.quantile(calls.latencies_s, fraction)) * 1000

            return {
                "added_p50_ms": quantile_ms(through_sidecar, 0.5) - quantile_ms(direct, 0.5),
                "added_p99_ms": quantile_ms(through_sidecar, 0.99) - quantile_ms(direct, 0.99),
                "passed_p50_ms": quantile_ms(forwarded, 0.5) - quantile_ms(direct, 0.5),
                "passed_p99_ms": quantile_ms(forwarded, 0.99) - quantile_ms(direct, 0.99),
                "plain_p99_ms": quantile_ms(direct, 0.99),
                "call_cpu_ms": cpu_s / count * 1000,
                "calling_mb": sidecar.memory_mb(),
            }
        finally:
            sidecar.kill()
            source.end()
            for each in (servers_process, forwarder):
                each.terminate()
                each.join(10)
