"""Latency and CPU that a real `serve` adds to a call, by servers in its list, under a light open-loop load.

`measure_calls(servers)` gives p50 and p99 through the sidecar minus those of the same direct calls, in ms,
and the CPU of a call in the sidecar.  All listed servers are one process at one address; the sidecar treats
them as different servers and keeps separate connections to each.

The same calls also go through a plain byte forwarder.  What it adds is the share of the test rig and the
machine in the cost of any process between client and server.  The three paths are measured in alternating
slices of `SLICE_S` seconds, because the speed of a virtual machine varies from minute to minute.
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
from list_source import ListSource, full_list
from list_updates import sidecar_config
from worktrees import ROOT

from pumicepath.interface import Outcome
from pumicepath.lab.loopback.client_connections import encode_request
from pumicepath.lab.loopback.process import SidecarProcess
from pumicepath.lab.loopback.servers import RESPONSES

CALLS_PER_S = 150.0
KEYS = 1500
WARM_S = 3.0
DEADLINE_S = 2.0
SLICE_S = 2.0


def run_servers(pipe: Connection) -> None:
    """Entry point of the process that stands for all servers: answers each request at once."""
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
                sock.send(answer)  # the clients' requests are short enough to arrive in one piece
            else:
                selector.unregister(sock)
                sock.close()


def run_forwarder(pipe: Connection, server_address: tuple[str, int]) -> None:
    """Entry point of a plain byte forwarder, which opens a server connection for each client connection."""
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
                continue  # closed together with its other side, in this same round
            data = sock.recv(65_536)
            if data:
                others[sock].send(data)
                continue
            for end in (others.pop(others[sock]), others.pop(sock)):
                selector.unregister(end)
                end.close()


class OpenLoopClient:
    """An open-loop client: calls start at random times, on an idle connection or a new one."""

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
        """Make calls for that long; those without a response 3 s later count as failed."""
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
        """Send one request."""
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
        """Record a response; keep the connection for later calls unless it closes."""
        data = sock.recv(65_536)
        began = self.started_at.pop(sock, None)
        if not data.startswith(b"HTTP/1.1 200"):
            self.failed += began is not None
        elif began is not None:
            self.latencies_s.append(time.perf_counter() - began)
        if data and b"onnection: close" not in data:
            self.idle.append(sock)
        else:
            if sock in self.idle:  # closed by the other side while idle
                self.idle.remove(sock)
            self.selector.unregister(sock)
            sock.close()


def run_calls(address: tuple[str, int], seconds: float, seed: int) -> OpenLoopClient:
    """Make calls to one address for that long."""
    calls = OpenLoopClient(address, seed)
    calls.run(seconds)
    return calls


def start_process(
    context: BaseContext, run: Callable[..., None], *arguments: object
) -> tuple[BaseProcess, tuple[str, int]]:
    """Start a process; return it and the address that it listens on."""
    pipe, child_pipe = context.Pipe()
    started = context.Process(target=run, args=(child_pipe, *arguments), daemon=True)  # type: ignore[attr-defined]
    started.start()
    return started, pipe.recv()


def measure_calls(servers: int, seconds: float = 8.0, seed: int = 1) -> dict[str, float]:
    """Latencies (ms), CPU of a call (ms) and memory (MB) of a sidecar with that many servers in its list."""
    context = multiprocessing.get_context("spawn")
    servers_process, (host, port) = start_process(context, run_servers)
    forwarder, forwarder_address = start_process(context, run_forwarder, (host, port))
    server_address = f"{host}:{port}"
    source = ListSource(servers, server_address)
    with tempfile.TemporaryDirectory() as folder:
        config = {**sidecar_config(servers, source.address), "known": full_list(servers, 1, server_address)}
        sidecar = SidecarProcess(config, Path(folder), ROOT, os.sched_getaffinity(0))
        try:
            while (sidecar_address := sidecar.address()) is None:
                time.sleep(0.02)
            time.sleep(1.0)
            run_calls(sidecar_address, WARM_S, seed)
            direct, forwarded, through_sidecar = (
                OpenLoopClient(each, seed) for each in ((host, port), forwarder_address, sidecar_address)
            )
            cpu_s = 0.0
            for _ in range(round(seconds / SLICE_S)):
                direct.run(SLICE_S)
                forwarded.run(SLICE_S)
                before = sum(sidecar.cpu_seconds())
                through_sidecar.run(SLICE_S)
                cpu_s += sum(sidecar.cpu_seconds()) - before
            count = len(through_sidecar.latencies_s) + through_sidecar.failed
            # A call that was rejected or never answered counts with its whole deadline.
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
