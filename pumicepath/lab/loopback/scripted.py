"""Scripted servers and one real sidecar between them, for tests that compare a transcript with a trace."""

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

from ...discovery.watch import IMMEDIATE_WAIT_MS
from ...http1 import writing
from ...http1.messages import Request, Response
from ...http1.parsing import RequestParser, ResponseParser

EVENT_TIMEOUT_S = 60.0  # generous, as a slow machine may take long to log an expected event


def http_response(status: int, body: str = "", *headers: tuple[str, str]) -> bytes:
    """Returns an HTTP response in bytes."""
    return writing.response(status, list(headers), body.encode(), True)


def read_message(sock: socket.socket, parser: RequestParser | ResponseParser) -> Any:
    """Returns the next message, or None once the other side has closed or reset the connection."""
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


class ScriptedServer:
    """A server on a port of its own that takes the next step of a script for each request.

    A step is bytes to send, or a pair of bytes and an action, or an action: `end` closes the connection,
    `reset` resets it, and `wait` leaves it silent until the sidecar closes it.
    """

    def __init__(self, name: str, script: queue.SimpleQueue, transcript: list[str]) -> None:
        self.name, self.script, self.transcript = name, script, transcript
        # Bound but not listening, so that nobody else gets the port while the listener is closed.
        self.reserved_port = socket.socket()
        self.reserved_port.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reserved_port.bind(("127.0.0.1", 0))
        self.listener = socket.create_server(self.reserved_port.getsockname())
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.closed_connections, self.received_requests = threading.Semaphore(0), threading.Semaphore(0)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accepts connections until the listener is closed, with a thread for each."""
        while True:
            try:
                sock = self.listener.accept()[0]
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Serves one connection."""
        parser = RequestParser()
        while (request := read_message(sock, parser)) is not None:
            parts = (request.method, request.target, request.header("X-Trace-Id"), request.body.decode())
            self.transcript.append(f"{self.name}: {' '.join(parts)}".rstrip())
            self.received_requests.release()
            step = self.next_step(request)
            if not isinstance(step, tuple):
                step = (step, "") if isinstance(step, bytes) else (b"", step)
            data, action = step
            sock.sendall(data)
            if action == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            if action in ("end", "reset"):
                break
        sock.close()
        self.closed_connections.release()

    def next_step(self, request: Request) -> Any:
        """Returns what to do with a request, once that is known."""
        return self.script.get()


class ScriptedDiscovery(ScriptedServer):
    """Discovery that has a script, and without a further step answers calls that do not wait.

    A process that starts waits for such an answer.  `answers_starts` False leaves all calls to the script.
    """

    answers_starts = True

    def next_step(self, request: Request) -> Any:
        query = dict(part.split("=") for part in request.target.partition("?")[2].split("&") if part)
        does_not_wait = "since" in query and int(query["timeout_ms"]) <= IMMEDIATE_WAIT_MS
        if self.answers_starts and does_not_wait and self.script.empty():
            unchanged = {"seq": int(query["since"]), "whole": False, "hosts": []}
            return http_response(200, json.dumps(unchanged))
        return self.script.get()


class EventLog:
    """The log events of one process, read in a thread: a full pipe never blocks the process.

    A test that waits for an event that never comes fails after `EVENT_TIMEOUT_S` instead of hanging.
    """

    def __init__(self, process: subprocess.Popen) -> None:
        self.process = process
        self.all_events: list[dict[str, Any]] = []  # so far, whether or not they have been waited for
        self.unread_events: queue.SimpleQueue[dict[str, Any] | None] = queue.SimpleQueue()
        self.reader_thread = threading.Thread(target=self.read, daemon=True)
        self.reader_thread.start()

    def read(self) -> None:
        """Reads events until the process closes its output; None marks the end."""
        for line in self.process.stdout or ():
            self.all_events.append(json.loads(line))
            self.unread_events.put(self.all_events[-1])
        self.unread_events.put(None)

    def next_event(self, names: tuple[str, ...]) -> dict[str, Any]:
        """Returns the next event of one of these names.  Raises AssertionError if there is none in time."""
        end = time.monotonic() + EVENT_TIMEOUT_S
        while True:
            try:
                event = self.unread_events.get(timeout=max(0.0, end - time.monotonic()))
            except queue.Empty:
                raise AssertionError(f"no event {' or '.join(names)} within {EVENT_TIMEOUT_S:g} s") from None
            if event is None:
                self.unread_events.put(None)
                raise AssertionError(f"the log ended before {' or '.join(names)}")
            if event["event"] in names:
                return event


class Deployment:
    """One sidecar process with scripted servers, scripted discovery and one client connection."""

    def __init__(self, folder: Path, servers: int, **overrides: object) -> None:
        self.transcript: list[str] = []
        self.script: queue.SimpleQueue = queue.SimpleQueue()
        self.discovery_script: queue.SimpleQueue = queue.SimpleQueue()
        self.discovery = ScriptedDiscovery("discovery", self.discovery_script, [])
        self.servers = [
            ScriptedServer(f"s-{number}", self.script, self.transcript) for number in range(servers)
        ]
        request_classes = [
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
        self.configuration = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.address,
            "seed": "1f",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": self.list_document(1, True, "active"),
            "settings": {
                "membershipMode": "on_request",
                "dcs": ["a"],
                "me": 0,
                "fleetSize": 1,
                "zone": 0,
                "rules": {"askEveryS": 10.0, "coldFrom": 1.0, "coldS": 0.0},
                "policyLimits": limits,
                "tariffs": request_classes,
            },
            **overrides,
        }
        self.config_path = folder / "config.json"
        self.write_configuration()
        self.last_submission = 0
        self.environment: dict[str, str] = {}
        self.logs: dict[subprocess.Popen, EventLog] = {}
        self.reserved_ports: list[socket.socket] = []

    def reserve_address(self) -> str:
        """Returns an address for a sidecar whose port nobody else gets while this object lives.

        The socket is bound and does not listen.  Sidecars with an admin address share their port
        (SO_REUSEPORT), others can't use it.
        """
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        reserved.bind(("127.0.0.1", 0))
        self.reserved_ports.append(reserved)
        return f"127.0.0.1:{reserved.getsockname()[1]}"

    def write_configuration(self) -> None:
        """Writes the current configuration to the file that the next process reads."""
        self.config_path.write_text(json.dumps(self.configuration))

    def list_document(self, seq: int, whole: bool, health: str) -> dict:
        """Returns a list of all servers, or a change of all, in discovery's JSON format."""
        return {
            "seq": seq,
            "whole": whole,
            "hosts": [
                {
                    "host": server.name,
                    "dial": server.address,
                    "site": "a",
                    "class": "m",
                    "block": 0,
                    "health": health,
                    "share": 1.0,
                    "born_ms": 0,
                }
                for server in self.servers
            ],
        }

    @contextmanager
    def running(self) -> Iterator[Deployment]:
        """Runs the sidecar and connects a client; kills all processes that were started at the end.

        One that was left over would go on calling its discovery, at a port that other tests get.
        """
        self.process = self.start_process()
        try:
            started = self.next_event("started")
            host, port = started["listen"].rsplit(":", 1)
            self.address = (host, int(port))
            host, _, port = started["operators"].rpartition(":")
            self.admin_address = (host, int(port or 0))
            self.client_socket = socket.create_connection(self.address)
            self.client_parser = ResponseParser()
            yield self
        finally:
            for process in self.logs:
                process.kill()
                process.wait()

    def start_process(self) -> subprocess.Popen:
        """Starts a sidecar process with the current configuration file and reads its log."""
        command = [sys.executable, "-m", "pumicepath", "serve"]
        environment = {**os.environ, **self.environment, "GW_CONFIG": str(self.config_path)}
        process = subprocess.Popen(command, stdout=subprocess.PIPE, env=environment)
        self.logs[process] = EventLog(process)
        return process

    def send(
        self,
        request_class: str,
        expires_in_ms: int = 2000,
        method: str = "POST",
        body: str = "",
        sock: socket.socket | None = None,
    ) -> None:
        """Sends the request of the next submission, on the client's connection unless `sock` is given."""
        self.last_submission += 1
        headers = [
            ("Host", "api"),
            ("X-Trace-Id", f"t{self.last_submission}"),
            ("X-Qos", request_class),
            ("X-Expires-In-Ms", str(expires_in_ms)),
            ("X-Object", "lot"),
        ]
        (sock or self.client_socket).sendall(writing.request(method, "/api?x=1", headers, body.encode()))

    def receive(
        self, sock: socket.socket | None = None, parser: ResponseParser | None = None
    ) -> Response | None:
        """Reads a response and adds it to the transcript; None if the connection ended."""
        response: Response | None = read_message(sock or self.client_socket, parser or self.client_parser)
        self.transcript.append(
            "client: nothing"
            if response is None
            else f"client: {response.status} {response.body.decode().strip()}"
            f"{'' if response.keeps_alive() else ', closed'}"
        )
        return response

    def submit(
        self, request_class: str, *steps: object, expires_in_ms: int = 2000, body: str = ""
    ) -> Response | None:
        """Sends one submission and returns its response; the servers it reaches take these steps in order."""
        for step in steps:
            self.script.put(step)
        self.send(request_class, expires_in_ms, "POST" if body else "GET", body)
        return self.receive()

    def call_admin(self, method: str, path: str, address: tuple[str, int] | None = None) -> Response | None:
        """Sends one request to the admin server."""
        with socket.create_connection(address or self.admin_address) as sock:
            sock.sendall(writing.request(method, path, [("Host", "operators")]))
            response: Response | None = read_message(sock, ResponseParser())
            return response

    def metrics(self) -> dict[str, int]:
        """Returns the metrics of the admin server by name."""
        response = self.call_admin("GET", "/stats")
        lines = response.body.decode().split() if response is not None else []
        return {name: int(value) for name, _, value in (line.partition("=") for line in lines)}

    def next_event(self, *names: str, process: subprocess.Popen | None = None) -> dict[str, Any]:
        """Returns the next event of one of these names; see `EventLog.next_event`."""
        return self.logs[process or self.process].next_event(names)
