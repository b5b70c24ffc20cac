"""A scripted sidecar and a trace of what it decided; and one on sockets among stand-ins."""

from __future__ import annotations

import heapq
import json
import os
import queue
import socket
import struct
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from pumicepath.http1 import writing
from pumicepath.http1.messages import Request, Response
from pumicepath.http1.parsing import RequestParser, ResponseParser
from pumicepath.interface import Effect, Entry, Group, Listing, Outcome, Phase, Settings, Tariff
from pumicepath.logic import Balancer, Submission

socket.setdefaulttimeout(20)  # what should come and does not must fail a test, not hold it up
TRACES = Path(__file__).parent / "traces"
SECOND = 1_000_000
READ = Tariff(600_000, 2_500_000, 3.0, 0.0, Effect.IDEMPOTENT, Group.ALL, 0)
ONCE = Tariff(600_000, 1_500_000, 5.0, 0.0, Effect.UNREPEATABLE, Group.ALL, 0)


def marked(group: Group) -> Tariff:
    return Tariff(1_000_000, 5_000_000, 3.0, 0.2, Effect.DEDUPLICATED, group, 2 * SECOND)


def settings(*tariffs: Tariff, **changed: object) -> Settings:
    values: dict = {
        "me": 0, "fleet": 3, "zone": 0, "tariffs": tariffs or (READ, ONCE),
        "crossing_price": 0.0, "must_ask": False, "ask_every": 10 * SECOND,
        "most_hops": 4, "most_retry_in": 2 * SECOND, "cold_from": 0.2, "cold_for": 20 * SECOND,
        "fall_multiple": 2.5, "fall_window": 3 * SECOND,
    }
    return Settings(**{**values, **changed})


def entry(server: int, zone: int = 0, cell: int = 0, phase: Phase = Phase.READY, came_up: int = 0) -> Entry:
    return Entry(server, zone, cell, phase, 1.0, came_up)


class Bench:
    """An outlet that notes every decision; `at` moves the clock and delivers the wakes that are due."""

    def __init__(self, given: Settings, servers: list[Entry], seed: int = 7) -> None:
        self.given, self.servers = given, servers
        self.now = 0
        self.lines: list[str] = []
        self.wakes: list[tuple[int, int, object]] = []
        self.sent: list[int] = []
        self.balancer = Balancer(given, seed, self)
        self.balancer.listed(0, Listing.CACHED, servers)

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now / SECOND:8.3f}  {text}")

    def send(self, submission: int, server: int, timeout: int) -> None:
        self.sent.append(server)
        self.note(f"submission {submission}: hop to {server}")

    def defer(self, submission: int, retry_in: int) -> None:
        self.note(f"submission {submission}: deferred")

    def forfeit(self, submission: int) -> None:
        self.note(f"submission {submission}: forfeited")

    def cancel(self, submission: int, hop: int) -> None:
        self.note(f"submission {submission}: hop {hop} cancelled")

    def probe(self, server: int) -> None:
        self.note(f"probe of {server}")

    def follow(self) -> None:
        self.note("asks to follow the list")

    def wake(self, at: int, whom: object) -> None:
        heapq.heappush(self.wakes, (at, len(self.wakes), whom))

    def log(self, text: str) -> None:
        self.note(f"log: {text}")

    def at(self, seconds: float) -> Bench:
        until = int(seconds * SECOND)
        while self.wakes and self.wakes[0][0] <= until:
            self.now, _, whom = heapq.heappop(self.wakes)
            whom.woke(self.now)
        self.now = until
        return self

    def take(self, name: int, key: int = 1, tariff: int = 0, patience: float = 2.0) -> Submission:
        return self.balancer.take(self.now, name, tariff, key, False, self.now + int(patience * SECOND))

    def end(self, one: Submission, outcome: Outcome, hop: int = -1) -> None:
        """One hop, the last unless named, ends; only a success finishes the submission."""
        if not one.hops:
            return
        number = hop % len(one.hops)
        one.ended(self.now, number, outcome, self.now - one.hops[number].at, outcome == Outcome.OK)

    def alike(self, key: int, count: int) -> list[int]:
        """Keys that go where the key goes, so that none of them is popular."""
        fresh = Bench(self.given, self.servers)
        for other in range(1, 100 * count):
            fresh.end(fresh.at(other).take(other, other), Outcome.OK)
        return [other + 1 for other, server in enumerate(fresh.sent) if server == fresh.sent[key - 1]][:count]

    def quick(self, first: int, count: int, key: int, outcome: Outcome, every: float = 0.1) -> None:
        """Submissions one after the other, each ended 10 ms after its first hop, later hops answered."""
        start = self.now / SECOND
        for step in range(count):
            one = self.at(start + step * every).take(first + step, key)
            self.at(start + step * every + 0.01).end(one, outcome)
            if not one.over():
                self.end(one, Outcome.OK)


def check(name: str, bench: Bench, *more: str) -> None:
    compare(name, [*bench.lines, *more])


def compare(name: str, lines: list[str]) -> None:
    """The trace must be the one kept in the repository."""
    got = "\n".join(lines) + "\n"
    kept = TRACES / f"{name}.txt"
    assert got == (kept.read_text() if kept.exists() else ""), got


def answer(status: int, body: str = "", *headers: tuple[str, str]) -> bytes:
    return writing.response(status, list(headers), body.encode(), True)


def next_of(sock: socket.socket, parser: RequestParser | ResponseParser) -> Request | Response | None:
    """The next message, or None once the peer has ended or broken the connection."""
    while (message := parser.next()) is None:
        try:
            data = sock.recv(65536)
        except OSError:
            return None
        parser.feed(data)
        if not data:
            parser.end()
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


class Deployment:
    """One sidecar as a process of its own, with the stand-ins around it and one connection of its client."""

    def __init__(self, folder: Path, servers: int, **changed: object) -> None:
        self.lines: list[str] = []
        self.script: queue.SimpleQueue = queue.SimpleQueue()
        self.lists: queue.SimpleQueue = queue.SimpleQueue()
        self.discovery = Peer("discovery", self.lists, [])
        self.servers = [Peer(f"s-{at}", self.script, self.lines) for at in range(servers)]
        tariffs = [{"name": name, "effect": effect, "gain": 1.0, "agreedTimeS": 0.6, "patienceS": 2.5}
                   for name, effect in (("read", "idempotent"), ("once", "at_most_once"))]
        limits = {"mostHops": 4, "connIdleS": 30.0, "dialTimeoutS": 0.25, "retryAfter": True,
                  "maxRetryAfterS": 2.0}
        self.told = {
            "name": "n0", "listen": "127.0.0.1:0", "discovery": self.discovery.address, "seed": "1f",
            "limits": {"memory_mb": 192, "sockets": 1024}, "known": self.listing(1, True, "active"),
            "settings": {"membershipMode": "on_request", "dcs": ["a"], "rules": {"askEveryS": 10.0},
                         "policyLimits": limits, "tariffs": tariffs}, **changed}
        self.config = folder / "config.json"
        self.config.write_text(json.dumps(self.told))
        self.number = 0

    def listing(self, seq: int, whole: bool, health: str) -> dict:
        return {"seq": seq, "whole": whole, "hosts": [
            {"host": peer.name, "dial": peer.address, "site": "a", "class": "m", "block": 0, "health": health,
             "share": 1.0, "born_ms": 0} for peer in self.servers]}

    @contextmanager
    def running(self) -> Iterator[Deployment]:
        command = [sys.executable, "-m", "pumicepath", "serve"]
        environment = {**os.environ, "GW_CONFIG": str(self.config)}
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE, env=environment)
        try:
            host, port = self.event("started")["listen"].rsplit(":", 1)
            self.where = (host, int(port))
            self.client = socket.create_connection(self.where)
            self.parser = ResponseParser()
            yield self
        finally:
            self.process.kill()
            self.process.wait()

    def send(self, tariff: str, expires: int = 2000, method: str = "POST", body: str = "", sock=None) -> None:
        self.number += 1
        headers = [("Host", "api"), ("X-Trace-Id", f"t{self.number}"), ("X-Qos", tariff),
                   ("X-Expires-In-Ms", str(expires)), ("X-Object", "lot")]
        (sock or self.client).sendall(writing.request(method, "/api?x=1", headers, body.encode()))

    def hear(self, sock=None, parser=None) -> Response | None:
        response = next_of(sock or self.client, parser or self.parser)
        self.lines.append("client: nothing" if response is None else
                          f"client: {response.status} {response.body.decode().strip()}"
                          f"{'' if response.keeps() else ', closed'}")
        return response

    def ask(self, tariff: str, *steps: object, expires: int = 2000, body: str = "") -> Response | None:
        """One submission; the servers do these steps, whichever of them it meets."""
        for step in steps:
            self.script.put(step)
        self.send(tariff, expires, "POST" if body else "GET", body)
        return self.hear()

    def event(self, name: str) -> dict:
        """The next such event of the log."""
        return next(event for event in map(json.loads, self.process.stdout) if event["event"] == name)
