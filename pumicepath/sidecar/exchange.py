"""A submission with its request and hops, and the interfaces between the parts of the sidecar."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol

from ..balancer import Submission
from ..http1.messages import Request
from ..http1.parsing import ResponseParser
from ..interface import RESPONSE_STALL_US, Effect, Outcome, TimerHandler
from ..invariants import check_invariant
from . import answers, clock
from .bulkhead import BulkheadEntry
from .memory_account import MemoryAccount, MemoryKind, Reservation

STREAM_START_GRACE_US = 100_000  # past the deadline, for the thread of an answer that goes on to pass it on


class ExchangeClient(Protocol):
    """The client's connection, as seen by its exchange."""

    transfers: BulkheadEntry

    def answer(self, answer: answers.Answer, keep_alive: bool) -> None:
        """Write the final answer."""

    def start_response(self, answer: answers.Answer, length: int, keep_alive: bool) -> None:
        """Write the head of a streamed response; `length` as in `writing.response`."""

    def write_body(self, piece: bytes, last: bool) -> bool:
        """Write a piece of a streamed body; False if the client does not receive it."""

    def abort_response(self) -> None:
        """End a streamed response whose rest will not come."""

    def has_left(self) -> bool:
        """Whether the client is known to have closed its connection."""

    def is_there(self) -> bool:
        """Whether something may be sent for the client; False also where that can't be known."""

    def before_blocking(self) -> None:
        """Give up what others wait for, as the thread is about to wait."""

    def acquire_slot(self) -> None:
        """Wait for a slot of the admission gate."""

    def release_slot(self, delay: int) -> None:
        """Release the slot; `delay` is how long a received response waited to be passed on, or 0."""


class HopConnection(Protocol):
    """A connection to a server, as seen by the hop on it."""

    hop: Hop | None
    closed: bool

    def close(self) -> None:
        """Make sure that nothing is sent on it from now on."""


class Upload(Protocol):
    """A request body that is too long to be buffered."""

    length: int
    started: bool

    @property
    def last_byte_at(self) -> int:
        """When the bytes read last were written, or a lower bound."""

    def unfinished_since(self, now: int) -> int:
        """Return the latest time at which the client can't have written its last byte yet."""

    def pieces(self) -> Iterator[tuple[bytes, bool]]:
        """Yield pieces of the body as they arrive, and whether each is the last.

        Raises UploadError if the client breaks the body off or sends too slowly.
        """


class UploadFailure(NamedTuple):
    """Why a body will not be complete: the status owed to its client, 0 if it has gone, and the reason."""

    status: int
    reason: str


class UploadError(Exception):
    """The client has broken off its body, or sends it too slowly."""

    def __init__(self, failure: UploadFailure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


class ExchangeOwner(Protocol):
    """The dispatcher, as seen by exchanges, hops and connections."""

    shutdown_at: int
    memory: MemoryAccount

    def response_started(self, hop: Hop) -> None:
        """Note that part of a hop's response has arrived."""

    def upload_received(self, hop: Hop) -> None:
        """Note that the last byte of the body that a hop streams has arrived."""

    def hop_sent(self) -> None:
        """Note that a request has been written completely."""

    def stream_response(self, hop: Hop, parser: ResponseParser) -> bool:
        """Make an incomplete response the final answer, if possible, and write its head; whether it was."""

    def end_hop(self, now: int, hop: Hop, outcome: Outcome) -> None:
        """Report the outcome of a hop; called with the lock held."""

    def answer(self, exchange: Exchange, answer: answers.Answer) -> None:
        """Queue the final answer of an exchange; called with the lock held."""

    def set_timer(self, at: int, handler: TimerHandler) -> None:
        """Set a timer; called with the lock held."""

    def run_locked(self, call: Callable[[int], None]) -> None:
        """Run a call under the lock."""

    def do_after_unlock(self, action: Callable[[], None]) -> None:
        """Queue work to be done once the lock is released; called with the lock held."""

    def close_after_unlock(self, action: Callable[[], None]) -> None:
        """Queue an action to be done after the lock is released, before all other queued work."""

    def log(self, text: str) -> None:
        """Queue a log event; called with the lock held."""


class Exchange:
    """A submission with its request, its client and its hops.

    The client's thread does the I/O: a hop that the balancer starts is in `pending_hops` until that thread
    runs it.  `deadline_at` is when the final answer is due; `number` is 0 until the submission is accepted.
    """

    __slots__ = (
        "number",
        "client",
        "trace_id",
        "request",
        "deadline_at",
        "owner",
        "submission",
        "hops",
        "pending_hops",
        "answered",
        "client_left",
        "upload",
        "deadline",
    )

    def __init__(
        self,
        client: ExchangeClient,
        trace_id: str,
        request: Request,
        deadline_at: int,
        owner: ExchangeOwner,
        upload: Upload | None = None,
        deadline: int = 0,
    ) -> None:
        self.number = 0
        self.client = client
        self.trace_id = trace_id
        self.request = request
        self.deadline_at = deadline_at
        self.owner = owner
        self.submission: Submission | None = None
        self.hops: list[Hop] = []
        self.pending_hops: deque[Hop] = deque()
        self.answered = False
        self.client_left = False
        self.upload = upload
        self.deadline = deadline  # a duration, counted from the last byte of an upload

    def is_finished(self) -> bool:
        """Whether it has its final answer and no hop in flight."""
        return self.submission is not None and self.submission.is_finished()

    def may_write(self, hop: Hop) -> bool:
        """Whether a hop may still be sent, checked just before its request is written.

        Connecting may have taken long and the thread may have waited, so what held when the hop was chosen
        may hold no longer: the client may have left or been answered, and the servers that deduplicate it may
        have forgotten an earlier hop, so that its work would be done twice.  To look for the client may take
        long as well.
        """
        return (
            self.is_wanted(clock.now(), hop) and self.client.is_there() and self.is_wanted(clock.now(), hop)
        )

    def is_wanted(self, now: int, hop: Hop) -> bool:
        """Whether a hop may still be sent if its client is there."""
        if hop.ended or self.answered or now >= self.deadline_at:
            return False
        if hop.number and self.submission is not None:
            request_class, earlier = (
                self.submission.class_state.request_class,
                self.submission.hops[: hop.number],
            )
            if request_class.effect == Effect.DEDUPLICATED and any(
                other.may_have_run and now > other.sent_at + request_class.dedup_window for other in earlier
            ):
                return False
        return True

    def end_upload(self, now: int) -> None:
        """End all hops at the deadline, before the body's last byte was sent; called with the lock held.

        No server has had the last byte, so none has run it, and the client may try again.
        """
        self.deadline_at = now
        if self.submission is not None:
            self.submission.deadline_at = now
        for hop in list(self.hops):
            self.owner.end_hop(now, hop, Outcome.CONNECT_FAILED)
        if not check_invariant(self.answered, "no final answer when patience ended"):
            self.owner.answer(self, answers.FAILED)

    def on_timer(self, now: int) -> None:
        """End all hops at the deadline: this answers for servers that have not responded."""
        start_by = self.deadline_at + STREAM_START_GRACE_US
        if now < start_by and any(hop.goes_on(now) for hop in self.hops):
            self.owner.set_timer(start_by, self)  # its thread passes the answer on from now on
            return
        for hop in list(self.hops):
            self.owner.end_hop(now, hop, Outcome.TIMEOUT)
        if not check_invariant(self.answered, "no final answer when patience ended"):
            self.owner.answer(self, answers.FAILED)


class UploadDeadline:
    """Ends a submission whose time is over before its body has been read to the end.

    A request's time counts from its last byte, which may wait in a buffer while the server takes nothing.
    """

    __slots__ = ("exchange", "upload")

    def __init__(self, exchange: Exchange, upload: Upload) -> None:
        self.exchange = exchange
        self.upload = upload

    def is_finished(self) -> bool:
        """Whether the timer can be dropped: the body was read, or its submission has ended."""
        submission = self.exchange.submission
        return self.exchange.answered or submission is not None and not submission.uploading

    def on_timer(self, now: int) -> None:
        """Look at the client's connection once the lock is released, as that asks the kernel."""
        if not self.is_finished():
            self.exchange.owner.do_after_unlock(lambda: self.examine(now))

    def examine(self, now: int) -> None:
        """Find when the submission's time is over at the earliest, without the lock."""
        due_at = self.upload.unfinished_since(now) + self.exchange.deadline
        self.exchange.owner.run_locked(lambda now: self.decide(now, due_at))

    def decide(self, now: int, due_at: int) -> None:
        """End the submission if its time is over, else wait until it may be; called with the lock held."""
        if self.is_finished():
            return
        due_at = min(due_at, self.exchange.owner.shutdown_at)
        if due_at > now:
            self.exchange.owner.set_timer(due_at, self)
        else:
            self.exchange.end_upload(now)


class Hop:
    """One attempt at a server; `ends_at` is its time-out or the deadline, whichever comes first."""

    __slots__ = (
        "exchange",
        "number",
        "server",
        "started_at",
        "ends_at",
        "received_at",
        "connection",
        "ended",
        "cancelled",
        "outcome",
        "memory",
        "body_begun",
    )

    def __init__(self, exchange: Exchange, number: int, server: int, started_at: int, ends_at: int) -> None:
        self.exchange = exchange
        self.number = number
        self.server = server
        self.started_at = started_at
        self.ends_at = ends_at
        self.received_at = 0  # when the kernel received the latest bytes of its response; 0 before
        self.connection: HopConnection
        self.ended = False
        self.cancelled = False
        self.body_begun = False  # the head of a success has come, and its body has not ended
        self.outcome: Outcome | None = None  # once it has ended
        self.memory = Reservation(exchange.owner.memory, MemoryKind.ANSWERS)

    def goes_on(self, now: int) -> bool:
        """Whether the server is giving an answer that could be passed on as it comes."""
        return self.body_begun and not self.ended and now - self.received_at < RESPONSE_STALL_US

    def on_timer(self, now: int) -> None:
        """End the hop at its time-out, where the balancer sets one."""
        self.exchange.owner.end_hop(now, self, Outcome.TIMEOUT)
