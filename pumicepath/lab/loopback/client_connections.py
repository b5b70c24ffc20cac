"""Connections of clients to a sidecar, each with one submission at a time: what the model's clients meet.

`Wires.take` is given a submission; its end goes to the submission's clients.  `asked` is the request itself.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Coroutine
from typing import Any, Protocol

from ...http1 import writing
from ...http1.messages import MalformedMessageError, Response
from ...interface import RequestClass
from ..model.clients import ClientSubmission
from ..model.rule_checker import RuleChecker
from ..spec import Plan
from .clock import EventLoopTimeline
from .protocols import HttpClientProtocol

MAX_REJECTION_TIMES = 100_000


class ClientHost(Protocol):
    """What the connections need of the world that they are in."""

    plan: Plan
    rule_checker: RuleChecker
    loop: asyncio.AbstractEventLoop
    timeline: EventLoopTimeline
    request_classes: tuple[RequestClass, ...]

    def start_task(self, work: Coroutine[Any, Any, Any]) -> None: ...

    def note(self, text: str) -> None: ...


class ClientConnections:
    """A sidecar's address, and the connections to it: at most so many, any number if that is 0."""

    def __init__(self, host: ClientHost, max_connections: int = 0) -> None:
        self.host = host
        self.max_connections = max_connections
        self.up = False
        self.start_count = 0
        self.ending = False  # asked to end, and not begun again
        self.address = ("127.0.0.1", 0)
        self.open_count = 0
        self.idle: list[ClientConnection] = []
        self.connection_by_submission: dict[
            int, ClientConnection
        ] = {}  # by the number of the submission on it
        self.rejection_times_us: deque[int] = deque(
            maxlen=MAX_REJECTION_TIMES
        )  # microseconds from a try to its deferral

    def submit(self, ask: ClientSubmission) -> bool:
        if not self.up:
            return False
        while self.idle:
            wire = self.idle.pop()
            if not wire.transport.is_closing():
                wire.send(ask)
                return True
        if self.max_connections and self.open_count >= self.max_connections:
            return False
        self.open_count += 1
        self.host.start_task(self.connect(ask))
        return True

    async def connect(self, ask: ClientSubmission) -> None:
        turn = ask.current_try
        try:
            wire = (await self.host.loop.create_connection(lambda: ClientConnection(self), *self.address))[1]
        except OSError:
            self.open_count -= 1
            if turn == ask.current_try:
                ask.clients.target_unreachable(ask)
            return
        if ask.finished or turn != ask.current_try:
            self.idle.append(wire)
        else:
            wire.send(ask)

    def client_left(self, ask: ClientSubmission) -> None:
        wire = self.connection_by_submission.pop(ask.number, None)
        if wire is not None:
            wire.submission = None
            wire.transport.abort()


def encode_request(
    request_class: str,
    idempotent: bool,
    trace_id: str,
    key: int,
    expires_in_ms: int,
    is_retry: bool,
    body_bytes: int,
) -> bytes:
    """A client's request; `body` bytes go with what may not be repeated at will."""
    headers = [
        ("Host", "api"),
        ("X-Trace-Id", trace_id),
        ("X-Qos", request_class),
        ("X-Expires-In-Ms", str(expires_in_ms)),
        ("X-Object", f"{key:x}"),
    ]
    if is_retry:
        headers.append(("X-Second-Try", "1"))
    return writing.request(
        "GET" if idempotent else "POST", "/lab", headers, b"" if idempotent else b"b" * body_bytes
    )


class ClientConnection(HttpClientProtocol):
    """One connection of a client, a submission at a time."""

    def __init__(self, pool: ClientConnections) -> None:
        super().__init__()
        self.pool = pool
        self.start_count = pool.start_count
        self.submission: ClientSubmission | None = None
        self.turn = self.sent_at = 0
        self.used = False

    def send(self, ask: ClientSubmission) -> None:
        around = self.pool.host
        self.submission, self.turn, self.sent_at = ask, ask.current_try, around.timeline.now
        self.pool.connection_by_submission[ask.number] = self
        tariff = around.plan.load.tariffs[ask.class_index]
        left = max(1, (ask.deadline_at - self.sent_at) // 1000)
        around.rule_checker.try_admitted(ask.number, ask.class_index, ask.deadline_at)
        self.transport.write(
            encode_request(
                tariff.name,
                tariff.effect == "idempotent",
                f"{ask.number:x}-{ask.tries}",
                ask.key,
                left,
                ask.tries > 1,
                around.plan.load.body,
            )
        )

    def malformed_message(self, trouble: MalformedMessageError) -> None:
        self.pool.host.note(f"client got {trouble}")
        self.transport.abort()

    def response_received(self, response: Response) -> None:
        ask, self.submission = self.submission, None
        self.used = True
        if response.keeps_alive():
            self.pool.idle.append(self)
        else:
            self.transport.close()
        if ask is None:
            self.pool.host.note("an answer that nobody asked for")
            return
        self.pool.connection_by_submission.pop(ask.number, None)
        if response.status == 200:
            ask.clients.succeeded(ask, self.turn)
        elif response.status == 503:
            self.pool.rejection_times_us.append(self.pool.host.timeline.now - self.sent_at)
            advice = float(response.header("retry-after") or 0.0)
            ask.clients.rejected(ask, self.turn, round(advice * 1e6))
        else:
            ask.clients.failed(ask, self.turn)

    def connection_lost(self, trouble: Exception | None) -> None:
        among = self.pool
        among.open_count -= 1
        if self in among.idle:
            among.idle.remove(self)
        ask, self.submission = self.submission, None
        if ask is None:
            return
        among.connection_by_submission.pop(ask.number, None)
        if not among.up or among.start_count != self.start_count or among.ending and not self.used:
            # With its process, or, as that ended, before it was accepted.
            ask.clients.target_died(ask, among.host.request_classes[ask.class_index].effect != 0)
        elif self.used and not ask.finished:
            # It crossed the end of a connection that had stood idle: once more, on a new one, under the same
            # id, so that a sidecar that had taken it would refuse it.
            among.host.rule_checker.abandoned(ask.number)
            among.open_count += 1
            among.host.start_task(among.connect(ask))
