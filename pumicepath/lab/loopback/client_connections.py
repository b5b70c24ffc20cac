"""HTTP connections of the model's clients to a real sidecar, each with one submission at a time.

`ClientConnections.take` sends a submission; its outcome is reported to the clients that it belongs to.
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
    """The part of a world that the connections use."""

    plan: Plan
    rule_checker: RuleChecker
    loop: asyncio.AbstractEventLoop
    timeline: EventLoopTimeline
    request_classes: tuple[RequestClass, ...]

    def start_task(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine as a task that ends with the world at the latest."""

    def note(self, text: str) -> None:
        """Adds a line to the log of the run."""


class ClientConnections:
    """A sidecar's address and the connections to it, at most `max_connections`; 0 means no limit."""

    def __init__(self, host: ClientHost, max_connections: int = 0) -> None:
        self.host = host
        self.max_connections = max_connections
        self.up = False
        self.start_count = 0
        self.ending = False  # asked to end, and not started again since
        self.address = ("127.0.0.1", 0)
        self.open_count = 0
        self.idle: list[ClientConnection] = []
        self.connection_by_submission: dict[int, ClientConnection] = {}
        # From sending a submission to its rejection.
        self.rejection_times_us: deque[int] = deque(maxlen=MAX_REJECTION_TIMES)

    def submit(self, ask: ClientSubmission) -> bool:
        """Sends a submission; returns False if the sidecar is down or the connection limit is reached."""
        if not self.up:
            return False
        while self.idle:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                connection.send(ask)
                return True
        if self.max_connections and self.open_count >= self.max_connections:
            return False
        self.open_count += 1
        self.host.start_task(self.connect(ask))
        return True

    async def connect(self, submission: ClientSubmission) -> None:
        """Opens a connection and sends the submission on it, if its client still waits for this try."""
        turn = submission.current_try
        try:
            connection = (
                await self.host.loop.create_connection(lambda: ClientConnection(self), *self.address)
            )[1]
        except OSError:
            self.open_count -= 1
            if turn == submission.current_try:
                submission.clients.target_unreachable(submission)
            return
        if submission.finished or turn != submission.current_try:
            self.idle.append(connection)
        else:
            connection.send(submission)

    def client_left(self, ask: ClientSubmission) -> None:
        """Aborts the connection of a submission whose client has left."""
        connection = self.connection_by_submission.pop(ask.number, None)
        if connection is not None:
            connection.submission = None
            connection.transport.abort()


def encode_request(
    request_class: str,
    idempotent: bool,
    trace_id: str,
    key: int,
    expires_in_ms: int,
    is_retry: bool,
    body_bytes: int,
) -> bytes:
    """Returns a client's request in bytes; only a non-idempotent one has a body."""
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
    """One connection of a client, with one submission at a time."""

    def __init__(self, pool: ClientConnections) -> None:
        super().__init__()
        self.pool = pool
        self.start_count = pool.start_count
        self.submission: ClientSubmission | None = None
        self.turn = self.sent_at = 0
        self.used = False

    def send(self, submission: ClientSubmission) -> None:
        """Sends the request of a submission."""
        host = self.pool.host
        self.submission, self.turn, self.sent_at = submission, submission.current_try, host.timeline.now
        self.pool.connection_by_submission[submission.number] = self
        request_class = host.plan.load.tariffs[submission.class_index]
        left_ms = max(1, (submission.deadline_at - self.sent_at) // 1000)
        host.rule_checker.try_admitted(submission.number, submission.class_index, submission.deadline_at)
        self.transport.write(
            encode_request(
                request_class.name,
                request_class.effect == "idempotent",
                f"{submission.number:x}-{submission.tries}",
                submission.key,
                left_ms,
                submission.tries > 1,
                host.plan.load.body,
            )
        )

    def malformed_message(self, error: MalformedMessageError) -> None:
        self.pool.host.note(f"client received {error}")
        self.transport.abort()

    def response_received(self, response: Response) -> None:
        submission, self.submission = self.submission, None
        self.used = True
        if response.keeps_alive():
            self.pool.idle.append(self)
        else:
            self.transport.close()
        if submission is None:
            self.pool.host.note("a response without a request")
            return
        self.pool.connection_by_submission.pop(submission.number, None)
        if response.status == 200:
            submission.clients.succeeded(submission, self.turn)
        elif response.status == 503:
            self.pool.rejection_times_us.append(self.pool.host.timeline.now - self.sent_at)
            retry_after_s = float(response.header("retry-after") or 0.0)
            submission.clients.rejected(submission, self.turn, round(retry_after_s * 1e6))
        else:
            submission.clients.failed(submission, self.turn)

    def connection_lost(self, error: Exception | None) -> None:
        pool = self.pool
        pool.open_count -= 1
        if self in pool.idle:
            pool.idle.remove(self)
        submission, self.submission = self.submission, None
        if submission is None:
            return
        pool.connection_by_submission.pop(submission.number, None)
        if not pool.up or pool.start_count != self.start_count or pool.ending and not self.used:
            # The sidecar process has ended, or ended before it accepted the connection.
            submission.clients.target_died(
                submission, pool.host.request_classes[submission.class_index].effect != 0
            )
        elif self.used and not submission.finished:
            # The request crossed the sidecar's close of an idle connection.  It is sent again on a new
            # connection under the same id, so that a sidecar that had admitted it would refuse it.
            pool.host.rule_checker.abandoned(submission.number)
            pool.open_count += 1
            pool.host.start_task(pool.connect(submission))
