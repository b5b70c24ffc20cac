"""Stand-ins and helpers of the cases 6 to 10: discovery, servers, clients, and the sidecar as a process.

All of it stands on loopback, on free ports, and on the real clock.  Nothing here comes from the project: the
stand-ins speak the protocol of the operators' pages, and behave like a sound server, client or platform
wherever a case does not say otherwise.
"""

from __future__ import annotations

import json
import os
import queue
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be run."""


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.file = (folder / "record.txt").open("w")
        self.note(f"TROUBLE={int(TROUBLE)}")

    def note(self, text: str) -> None:
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{time.monotonic() - self.began:9.4f} {text}\n")

    def close(self) -> None:
        with self.lock:
            self.file.close()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def listen(backlog: int = 512) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    sock.listen(backlog)
    return sock


def start_thread(run: Callable, *args: object) -> None:
    threading.Thread(target=run, args=args, daemon=True).start()


class Message:
    """A request or an answer: first line, headers by lower-case name, body, and when its bytes came."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes, first_at: float, last_at: float):
        self.line, self.headers, self.body = line, headers, body
        self.first_at, self.last_at = first_at, last_at


class Reader:
    """Reads messages with Content-Length or chunked bodies from a socket."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""
        self.first_at = 0.0

    def fill(self) -> None:
        data = self.sock.recv(1 << 16)
        if not data:
            raise ConnectionError("ended")
        if not self.buffer and not self.first_at:
            self.first_at = time.monotonic()
        self.buffer += data

    def line(self) -> bytes:
        while b"\n" not in self.buffer:
            self.fill()
        line, _, self.buffer = self.buffer.partition(b"\n")
        return line.rstrip(b"\r")

    def exactly(self, count: int) -> bytes:
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def message(self, on_head: Callable[[str, dict[str, str], float], None] | None = None) -> Message:
        self.first_at = time.monotonic() if self.buffer else 0.0
        first = self.line().decode("latin-1")
        headers: dict[str, str] = {}
        while line := self.line():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        if on_head is not None:
            on_head(first, headers, self.first_at)
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int(self.line().split(b";")[0], 16):
                body += self.exactly(size)
                self.line()
            while self.line():
                pass
        else:
            body = self.exactly(int(headers.get("content-length", "0")))
        return Message(first, headers, body, self.first_at, time.monotonic())


def answer_bytes(status: int, body: bytes, headers: tuple[str, ...] = ()) -> bytes:
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


class Discovery:
    """The list of servers, and the watch on it, as the protocol page has it.

    `told` has, by version, when that version was first written to a sidecar.  With `crowded_until` in the
    future every call is answered 503, as by a discovery that has too many callers.
    """

    def __init__(self, record: Record, seq: int = 41) -> None:
        self.record = record
        self.seq = seq
        self.hosts: dict[str, dict] = {}
        self.changed_in: dict[str, int] = {}
        self.changed = threading.Condition()
        self.told: dict[int, float] = {}
        self.crowded_until = 0.0
        self.calls = 0
        self.listener = listen()
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        start_thread(self.accept)

    def put(self, host: str, dial: str, health: str = "active", site: str = "a", block: int = 1,
            kind: str = "", born_ms: int = 0) -> int:
        with self.changed:
            self.seq += 1
            self.hosts[host] = {"host": host, "dial": dial, "site": site, "class": kind, "block": block,
                                "health": health, "share": 1.0, "born_ms": born_ms}
            self.changed_in[host] = self.seq
            self.record.note(f"discovery: version {self.seq}: {host} {health}")
            self.changed.notify_all()
            return self.seq

    def set_health(self, host: str, health: str) -> int:
        with self.changed:
            self.seq += 1
            self.hosts[host] = {**self.hosts[host], "health": health}
            self.changed_in[host] = self.seq
            self.record.note(f"discovery: version {self.seq}: {host} {health}")
            self.changed.notify_all()
            return self.seq

    def whole(self) -> dict:
        with self.changed:
            return {"seq": self.seq, "whole": True,
                    "hosts": [dict(each) for each in self.hosts.values() if each["health"] != "left"]}

    def accept(self) -> None:
        while True:
            try:
                sock = self.listener.accept()[0]
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            start_thread(self.serve, sock)

    def serve(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        try:
            while True:
                request = reader.message()
                self.calls += 1
                target = request.line.split(" ")[1]
                query = dict(each.split("=") for each in target.partition("?")[2].split("&") if each)
                if time.monotonic() < self.crowded_until:
                    self.record.note(f"discovery: {target} answered 503")
                    sock.sendall(answer_bytes(503, b""))
                    continue
                since = int(query.get("since", -1))
                wait_until = time.monotonic() + int(query.get("timeout_ms", 0)) / 1000
                with self.changed:
                    while "since" in query and self.seq <= since and time.monotonic() < wait_until:
                        self.changed.wait(wait_until - time.monotonic())
                    seq = self.seq
                    if "since" in query and since <= seq:
                        data = {"seq": seq, "whole": False,
                                "hosts": [dict(self.hosts[host]) for host, at in self.changed_in.items()
                                          if at > since]}
                    else:
                        data = self.whole()
                sock.sendall(answer_bytes(200, json.dumps(data).encode()))
                now = time.monotonic()
                for version in range(since + 1 if since >= 0 else seq, seq + 1):
                    self.told.setdefault(version, now)
                named = [f"{each['host']} {each['health']}" for each in data["hosts"]]
                self.record.note(f"discovery: {target} answered with version {seq}, {named}")
        except (OSError, ConnectionError, ValueError):
            sock.close()


class Server:
    """A server.  `handle(request, sock)` gives the answer's bytes; None: it answers nothing.

    `runs` has each request that came whole: its id, when its first and its last byte came; `begun` has the
    ids with the time of the first byte as soon as the head has come.
    """

    def __init__(self, record: Record, name: str, work_s: float = 0.03) -> None:
        self.record, self.name, self.work_s = record, name, work_s
        self.begun: list[tuple[str, float]] = []
        self.runs: list[tuple[str, float, float]] = []
        self.handle: Callable[[Message], bytes | None] = self.serve_request
        self.after: Callable[[socket.socket, Reader, bytes], None] = lambda sock, reader, answer: None
        self.listener = listen()
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        start_thread(self.accept)

    def serve_request(self, request: Message) -> bytes | None:
        time.sleep(self.work_s)
        return answer_bytes(200, result_of(request.headers.get("x-trace-id", ""), request.body))

    def note_head(self, line: str, headers: dict[str, str], first_at: float) -> None:
        self.begun.append((headers.get("x-trace-id", ""), first_at))

    def accept(self) -> None:
        while True:
            try:
                sock = self.listener.accept()[0]
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            start_thread(self.serve, sock)

    def serve(self, sock: socket.socket) -> None:
        reader = Reader(sock)
        try:
            while True:
                request = reader.message(self.note_head)
                trace_id = request.headers.get("x-trace-id", "")
                self.runs.append((trace_id, request.first_at, request.last_at))
                self.record.note(
                    f"{self.name}: runs {trace_id} ({len(request.body)} bytes, first byte "
                    f"{request.first_at - self.record.began:.4f})"
                )
                answer = self.handle(request)
                if answer is not None:
                    sock.sendall(answer)
                    self.record.note(f"{self.name}: answered {trace_id}")
                    self.after(sock, reader, answer)
        except (OSError, ConnectionError, ValueError):
            sock.close()


class Link:
    """A network between a sidecar and a server: each byte arrives `delay_s` after it was sent, in order."""

    def __init__(self, to: str, delay_s: float) -> None:
        host, _, port = to.rpartition(":")
        self.to, self.delay_s = (host, int(port)), delay_s
        self.listener = listen()
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        start_thread(self.accept)

    def accept(self) -> None:
        while True:
            try:
                near = self.listener.accept()[0]
                far = socket.create_connection(self.to)
            except OSError:
                return
            for sock in (near, far):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for source, target in ((near, far), (far, near)):
                chunks: queue.SimpleQueue = queue.SimpleQueue()
                start_thread(self.read, source, chunks)
                start_thread(self.write, target, chunks)

    def read(self, source: socket.socket, chunks: queue.SimpleQueue) -> None:
        data = b"x"
        while data:
            try:
                data = source.recv(1 << 16)
            except OSError:
                data = b""
            chunks.put((time.monotonic() + self.delay_s, data))

    def write(self, target: socket.socket, chunks: queue.SimpleQueue) -> None:
        with suppress(OSError):
            while True:
                due_at, data = chunks.get()
                time.sleep(max(0.0, due_at - time.monotonic()))
                if not data:
                    break
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)


def result_of(trace_id: str, body: bytes = b"") -> bytes:
    """The body of a server's answer to a request: it names the request."""
    return f"result of {trace_id} ({len(body)} bytes)".encode()


class Sidecar:
    """A sidecar as the operators start it, by the line `run` of the deploy file."""

    def __init__(self, record: Record, discovery: str, settings: dict, known: dict | None = None,
                 name: str = "n0", replaces: Sidecar | None = None) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.private = replaces.private if replaces is not None else self.folder / "tmp"  # $TMPDIR, common to both
        self.port = replaces.port if replaces is not None else free_port()
        self.config = {"name": name, "listen": f"127.0.0.1:{self.port}", "discovery": discovery, "seed": "1f",
                       "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings}
        if known is not None:
            self.config["known"] = known
        self.process: subprocess.Popen | None = None
        self.started_at = 0.0

    def start(self) -> None:
        if not (ROOT / ".venv/bin/python").exists():
            raise NotRun("the build of the deploy file has not been run")
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.config))
        self.private.mkdir(exist_ok=True)
        environment = {**os.environ, "GW_CONFIG": str(path), "TMPDIR": str(self.private)}
        for key in ("GW_ADMIN_ADDR", "GW_PEERS_LISTEN", "PUMICEPATH_INTERPRETED"):
            environment.pop(key, None)
        self.started_at = time.monotonic()
        log = (self.folder / "log").open("ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log,
                                        stderr=subprocess.STDOUT)
        self.record.note(f"sidecar started, process {self.process.pid}")

    def wait_ready(self, timeout: float = 30.0) -> float:
        """Ask `GET /up` until it says 200; returns when it did."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.process is None or self.process.poll() is not None:
                raise NotRun("the sidecar has ended: " + self.log()[-500:])
            with suppress(OSError, ConnectionError, ValueError):
                with socket.create_connection(("127.0.0.1", self.port), 1.0) as sock:
                    sock.sendall(b"GET /up HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n")
                    if " 200 " in Reader(sock).message().line + " ":
                        self.record.note("sidecar ready")
                        return time.monotonic()
            time.sleep(0.02)
        raise NotRun("the sidecar did not get ready")

    def wait_serving(self, timeout: float = 6.0) -> float:
        """Ask the operators' address until it says yes to `GET /healthcheck`; returns when it did."""
        host, _, port = str(self.config["admin_addr"]).rpartition(":")
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            with suppress(OSError, ConnectionError, ValueError):
                with socket.create_connection((host, int(port)), 1.0) as sock:
                    sock.sendall(b"GET /healthcheck HTTP/1.1\r\nHost: operators\r\n\r\n")
                    if " 200 " in Reader(sock).message().line + " ":
                        self.record.note("yes from the operators' address")
                        return time.monotonic()
            time.sleep(0.02)
        raise NotRun("no yes from the operators' address")

    def signal(self, number: int) -> None:
        assert self.process is not None
        with suppress(ProcessLookupError):
            self.process.send_signal(number)
        self.record.note(f"sidecar gets {signal.Signals(number).name}")

    def log(self) -> str:
        with suppress(OSError):
            return (self.folder / "log").read_text(errors="replace")
        return ""

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        for line in self.log().splitlines()[-60:]:
            self.record.note("log: " + line)
        shutil.rmtree(self.folder, ignore_errors=True)


def request_bytes(trace_id: str, qos: str, method: str, key: str = "", expires_ms: int = 0,
                  body: bytes = b"") -> bytes:
    lines = [f"{method} /api HTTP/1.1", "Host: api.internal", f"X-Trace-Id: {trace_id}", f"X-Qos: {qos}"]
    if key:
        lines.append(f"X-Object: {key}")
    if expires_ms:
        lines.append(f"X-Expires-In-Ms: {expires_ms}")
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Client:
    """One connection of the application; opens a new one when the sidecar has closed it."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.sock: socket.socket | None = None
        self.reader: Reader

    def connect(self) -> None:
        self.sock = socket.create_connection(("127.0.0.1", self.port), 2.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.sock)

    def ask(self, data: bytes, timeout: float) -> Message:
        """Send a request and read its answer; raises OSError without one.

        A request that crosses the end of a connection used before is sent once more on a new one.
        """
        fresh = self.sock is None
        try:
            return self.ask_once(data, timeout)
        except TimeoutError:
            raise
        except (OSError, ConnectionError):
            if fresh:
                raise
            return self.ask_once(data, timeout)

    def ask_once(self, data: bytes, timeout: float) -> Message:
        if self.sock is None:
            self.connect()
        assert self.sock is not None
        try:
            self.sock.settimeout(timeout)
            self.sock.sendall(data)
            answer = self.reader.message()
        except (OSError, ConnectionError, ValueError):
            self.close()
            raise
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        if self.sock is not None:
            self.sock.close()
            self.sock = None


def status_of(answer: Message) -> int:
    return int(answer.line.split(" ")[1])


def run_case(folder: Path, case: Callable[[Record, list], int]) -> None:
    """Run a case: `case(record, to_end)` returns HELD or BROKEN; whatever is in `to_end` is ended."""
    record = Record(folder)
    to_end: list = []
    code = NOT_RUN
    try:
        code = case(record, to_end)
    except NotRun as error:
        record.note(f"not run: {error}")
        print("not run:", error)
    except Exception as error:
        record.note(f"not run: {type(error).__name__}: {error}")
        print(f"not run: {type(error).__name__}: {error}")
    finally:
        for each in to_end:
            with suppress(Exception):
                each.end()
        word = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[code]
        record.note(f"result: {word}")
        record.close()
        print("result:", word)
        sys.stdout.flush()
        os._exit(code)


SETTINGS_LAGER = {
    "dcs": ["hamar-a", "elverum-b"], "zone": 0, "fleetSize": 4, "me": 0, "membershipMode": "on_request",
    "kinds": ["rask", "vanleg", "eldre"], "weights": "nominal",
    "clientHabits": {"marksRetry": True},
    "policyLimits": {"cancel": True, "connIdleS": 30.0, "dialTimeoutS": 0.25, "maxRetryAfterS": 2.0,
                     "mayTell": False, "mostHops": 4, "probing": True, "retryAfter": True,
                     "secondCopies": True, "streamsPerConn": 1},
    "prices": {"connection": 0.0, "crossZone": 0.082, "handshake": 0.0},
    "report": {"how": "off", "names": []},
    "rules": {"askEveryS": 10.0, "coldFrom": 0.15, "coldS": 24.0, "fallMultiple": 2.5,
              "graceToAnswerS": 0.02, "overloadForS": 3.0, "stopSendingWithinS": 0.5},
    "tariffs": [
        {"name": "stock-read", "agreedTimeS": 0.6, "patienceS": 2.5, "effect": "idempotent", "gain": 3.0,
         "lateGain": 0.0, "group": "all", "windowS": 5.0, "stream": False},
        {"name": "reserve", "agreedTimeS": 0.6, "patienceS": 1.5, "effect": "at_most_once", "gain": 5.0,
         "lateGain": 0.0, "group": "all", "windowS": 5.0, "stream": False}],
    "tenants": [],
}
