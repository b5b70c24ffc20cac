"""Stand-ins that follow a script to the byte, and one real sidecar among them: what traces are made of."""

from __future__ import annotations

import json
import os
import queue
import socket
import struct
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from ...http1 import writing
from ...http1.messages import Response
from ...http1.parsing import RequestParser, ResponseParser

EVENT_S = 60.0  # that a sidecar may take to log what it must, however slow the machine is


def answer(status: int, body: str = "", *headers: tuple[str, str]) -> bytes:
    return writing.response(status, list(headers), body.encode(), True)


def next_of(sock: socket.socket, parser: RequestParser | ResponseParser) -> Any:
    """The next message, or None once the peer has ended or broken the connection."""
    while (message := parser.next()) is None:
        try:
            data = sock.recv(65536)
        except OSError:
            return None
        parser.feed(data)
        if not data:
            parser.end_input()
            return parser.next()
    return message


class Peer:
    """A stand-in on a port of its own: for each request the next thing of its script.

    Bytes are sent; `end`, `reset` and `wait` end the connection, reset it, or leave it silent until the
    sidecar closes it; a pair is bytes and one of these.
    """

    def __init__(self, name: str, script: queue.SimpleQueue, lines: list[str]) -> None:
        self.name, self.script, self.lines = name, script, lines
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.closed, self.met = threading.Semaphore(0), threading.Semaphore(0)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                sock = self.listener.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        parser = RequestParser()
        while (request := next_of(sock, parser)) is not None:
            what = (request.method, request.target, request.header("X-Trace-Id"), request.body.decode())
            self.lines.append(f"{self.name}: {' '.join(what)}".rstrip())
            self.met.release()
            step = self.script.get()
            if not isinstance(step, tuple):
                step = (step, "") if isinstance(step, bytes) else (b"", step)
            data, then = step
            sock.sendall(data)
            if then == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            if then in ("end", "reset"):
                break
        sock.close()
        self.closed.release()


class Log:
    """The events of one process, read as they come: no full pipe holds it up, nor it a test."""

    def __init__(self, process: subprocess.Popen) -> None:
        self.process = process
        self.seen: list[dict[str, Any]] = []  # all of them so far, whoever asked for which
        self.events: queue.SimpleQueue[dict[str, Any] | None] = queue.SimpleQueue()
        self.reader = threading.Thread(target=self.read, daemon=True)
        self.reader.start()

    def read(self) -> None:
        for line in self.process.stdout or ():
            self.seen.append(json.loads(line))
            self.events.put(self.seen[-1])
        self.events.put(None)

    def next(self, names: tuple[str, ...]) -> dict[str, Any]:
        """The next event of one of these names; raises AssertionError if it does not come."""
        end = time.monotonic() + EVENT_S
        while True:
            try:
                event = self.events.get(timeout=max(0.0, end - time.monotonic()))
            except queue.Empty:
                raise AssertionError(f"no event {' or '.join(names)} within {EVENT_S:g} s") from None
            if event is None:
                self.events.put(None)
                raise AssertionError(f"the log ended before {' or '.join(names)}")
            if event["event"] in names:
                return event


class Deployment:
    """One sidecar as a process of its own, with the stand-ins around it and one connection of its client."""

    def __init__(self, folder: Path, servers: int, **changed: object) -> None:
        self.lines: list[str] = []
        self.script: queue.SimpleQueue = queue.SimpleQueue()
        self.lists: queue.SimpleQueue = queue.SimpleQueue()
        self.discovery = Peer("discovery", self.lists, [])
        self.servers = [Peer(f"s-{at}", self.script, self.lines) for at in range(servers)]
        tariffs = [
            {"name": name, "effect": effect, "gain": 1.0, "agreedTimeS": 0.6, "patienceS": 2.5}
            for name, effect in (("read", "idempotent"), ("once", "at_most_once"))
        ]
        limits = {
            "mostHops": 4,
            "connIdleS": 30.0,
            "dialTimeoutS": 0.25,
            "retryAfter": True,
            "maxRetryAfterS": 2.0,
        }
        self.told = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "seed": "1f",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": self.listing(1, True, "active"),
            "settings": {
                "membershipMode": "on_request",
                "dcs": ["a"],
                "me": 0,
                "fleetSize": 1,
                "zone": 0,
                "rules": {"askEveryS": 10.0, "coldFrom": 1.0, "coldS": 0.0},
                "policyLimits": limits,
                "tariffs": tariffs,
            },
            **changed,
        }
        self.config = folder / "config.json"
        self.config.write_text(json.dumps(self.told))
        self.number = 0
        self.environment: dict[str, str] = {}
        self.logs: dict[subprocess.Popen, Log] = {}

    def listing(self, seq: int, whole: bool, health: str) -> dict:
        return {
            "seq": seq,
            "whole": whole,
            "hosts": [
                {
                    "host": peer.name,
                    "dial": peer.address,
                    "site": "a",
                    "class": "m",
                    "block": 0,
                    "health": health,
                    "share": 1.0,
                    "born_ms": 0,
                }
                for peer in self.servers
            ],
        }

    @contextmanager
    def running(self) -> Iterator[Deployment]:
        self.process = self.begun()
        try:
            started = self.event("started")
            host, port = started["listen"].rsplit(":", 1)
            self.where = (host, int(port))
            host, _, port = started["operators"].rpartition(":")
            self.operators = (host, int(port or 0))
            self.client = socket.create_connection(self.where)
            self.parser = ResponseParser()
            yield self
        finally:
            self.process.kill()
            self.process.wait()

    def begun(self) -> subprocess.Popen:
        command = [sys.executable, "-m", "pumicepath", "serve"]
        environment = {**os.environ, **self.environment, "GW_CONFIG": str(self.config)}
        process = subprocess.Popen(command, stdout=subprocess.PIPE, env=environment)
        self.logs[process] = Log(process)
        return process

    def send(
        self,
        tariff: str,
        expires: int = 2000,
        method: str = "POST",
        body: str = "",
        sock: socket.socket | None = None,
    ) -> None:
        self.number += 1
        headers = [
            ("Host", "api"),
            ("X-Trace-Id", f"t{self.number}"),
            ("X-Qos", tariff),
            ("X-Expires-In-Ms", str(expires)),
            ("X-Object", "lot"),
        ]
        (sock or self.client).sendall(writing.request(method, "/api?x=1", headers, body.encode()))

    def hear(
        self, sock: socket.socket | None = None, parser: ResponseParser | None = None
    ) -> Response | None:
        response: Response | None = next_of(sock or self.client, parser or self.parser)
        self.lines.append(
            "client: nothing"
            if response is None
            else f"client: {response.status} {response.body.decode().strip()}"
            f"{'' if response.keeps_alive() else ', closed'}"
        )
        return response

    def ask(self, tariff: str, *steps: object, expires: int = 2000, body: str = "") -> Response | None:
        """One submission; the servers do these steps, whichever of them it meets."""
        for step in steps:
            self.script.put(step)
        self.send(tariff, expires, "POST" if body else "GET", body)
        return self.hear()

    def call(self, method: str, path: str, where: tuple[str, int] | None = None) -> Response | None:
        """One call of the operators."""
        with socket.create_connection(where or self.operators) as sock:
            sock.sendall(writing.request(method, path, [("Host", "operators")]))
            response: Response | None = next_of(sock, ResponseParser())
            return response

    def figures(self) -> dict[str, int]:
        response = self.call("GET", "/stats")
        lines = response.body.decode().split() if response is not None else []
        return {name: int(value) for name, _, value in (line.partition("=") for line in lines)}

    def event(self, *names: str, process: subprocess.Popen | None = None) -> dict[str, Any]:
        """The next such event of the log."""
        return self.logs[process or self.process].next(names)
