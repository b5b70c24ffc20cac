"""Clients that behave, beside others that don't: what became of each of their requests.

Each client is a thread that sends one request at a time, with an id of its own, and checks the answer.
"""

from __future__ import annotations

import random
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from ...http1 import writing
from ...http1.messages import MalformedMessageError
from ...http1.parsing import ResponseParser
from .commanded_server import answer_body

MAX_BODY_BYTES = 40 << 20
RECEIVE_BYTES = 64 * 1024
LATE_ANSWER_S = 0.5  # past its time, until a request that has no answer counts as lost
READ_TIMEOUT_S = 5.0  # between two pieces of an answer


@dataclass(frozen=True)
class HonestRequest:
    """What a client sends; sizes in bytes, `expires_ms` is how long it waits."""

    request_class: str = "read"
    expires_ms: int = 1000
    body_bytes: int = 0
    answer_bytes: int = 100
    more_query: str = ""


@dataclass
class Served:
    """What became of the requests: counts by outcome, and the slowest answer in seconds.

    Outcomes: `served`, `refused` and `failed` by status, `late` past its time by LATE_ANSWER_S or more,
    `no answer`, `not whole`, `wrong body`, `not connected`.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    slowest_s: float = 0.0
    trace_ids: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    @property
    def lost(self) -> int:
        """Requests without a final answer in time."""
        return sum(self.outcomes[name] for name in ("late", "no answer", "not whole", "wrong body"))

    @property
    def total(self) -> int:
        """All requests."""
        return sum(self.outcomes.values())


class HonestClient:
    """One client; `run` sends requests until `stop` is set."""

    def __init__(
        self,
        address: tuple[str, int],
        requests: list[HonestRequest],
        pause_s: float,
        seed: str,
        stop: threading.Event,
        served: Served,
    ) -> None:
        self.address = address
        self.requests = requests
        self.pause_s = pause_s
        self.rng = random.Random(seed)
        self.stop = stop
        self.served = served
        self.sock: socket.socket | None = None
        self.reused = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        """Send one request after the other."""
        while not self.stop.is_set():
            request = self.rng.choice(self.requests)
            trace_id = f"c{self.rng.getrandbits(64):016x}"
            began = time.monotonic()
            outcome = self.send(request, trace_id)
            elapsed = time.monotonic() - began
            self.served.outcomes[outcome] += 1
            self.served.slowest_s = max(self.served.slowest_s, elapsed)
            self.served.trace_ids.append(trace_id)
            if outcome not in ("served", "refused"):
                self.served.notes.append(f"{trace_id} {request}: {outcome} after {elapsed:.3f} s")
            if outcome != "served":
                self.disconnect()
            self.stop.wait(self.pause_s * self.rng.uniform(0.5, 1.5))
        self.disconnect()

    def disconnect(self) -> None:
        """Close the connection; the next request opens another."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None

    def connect(self) -> socket.socket:
        """Return the connection, made if there is none; raises OSError."""
        self.reused = self.sock is not None
        if self.sock is None:
            self.sock = socket.create_connection(self.address, timeout=READ_TIMEOUT_S)
        return self.sock

    def send(self, request: HonestRequest, trace_id: str) -> str:
        """Send a request, once more on a new connection if the old one ended before; returns the outcome."""
        for _ in range(2):
            try:
                sock = self.connect()
            except OSError:
                return "not connected"
            outcome = self.exchange(sock, request, trace_id)
            if outcome == "closed" and self.reused:
                self.disconnect()
                continue
            return "no answer" if outcome == "closed" else outcome
        return "no answer"

    def exchange(self, sock: socket.socket, request: HonestRequest, trace_id: str) -> str:
        """Write a request and read its answer; `closed` if the connection ended without a byte of one."""
        headers = [
            ("Host", "api"),
            ("X-Trace-Id", trace_id),
            ("X-Qos", request.request_class),
            ("X-Expires-In-Ms", str(request.expires_ms)),
        ]
        query = f"?size={request.answer_bytes}{request.more_query}"
        method = "POST" if request.body_bytes else "GET"
        parser = ResponseParser(MAX_BODY_BYTES)
        body: list[bytes] = []
        began = time.monotonic()
        first_byte_at = 0.0
        try:
            sock.sendall(writing.request(method, f"/api{query}", headers, bytes(request.body_bytes)))
            while (response := parser.next()) is None:
                body.append(parser.take_body() if parser.is_long() else b"")
                data = sock.recv(RECEIVE_BYTES)
                if not data:
                    parser.end_input()
                    response = parser.next()
                    if response is None:
                        return "not whole" if first_byte_at else "closed"
                    break
                first_byte_at = first_byte_at or time.monotonic()
                parser.feed(data)
        except (OSError, MalformedMessageError):
            return "not whole" if first_byte_at else "closed"
        if not response.keeps_alive():
            self.disconnect()
        if first_byte_at - began > request.expires_ms / 1000 + LATE_ANSWER_S:
            return "late"
        if response.status in (429, 503):
            return "refused"
        if response.status != 200:
            return "failed"
        whole = b"".join(body) + response.body
        return "served" if whole == answer_body(trace_id, request.answer_bytes) else "wrong body"
