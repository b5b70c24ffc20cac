"""A submission as its client sent it, and its hops; what each part of the sidecar may ask of the others."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import Protocol

from ..balancer import Submission
from ..http1.messages import Request
from ..http1.parsing import ResponseParser
from ..interface import Effect, Outcome, TimerHandler
from ..invariants import check_invariant
from . import answers

CLIENT_CHECK_AFTER_US = 5_000  # from when a client that waits may have gone


class ExchangeClient(Protocol):
    def answer(self, answer: answers.Answer, keep_alive: bool) -> None: ...

    def start_response(self, answer: answers.Answer, length: int, keep_alive: bool) -> None: ...

    def write_body(self, piece: bytes, last: bool) -> bool: ...

    def abort_response(self) -> None: ...

    def has_left(self) -> bool: ...

    def acquire_slot(self) -> None: ...

    def release_slot(self, delay: int) -> None: ...


class HopConnection(Protocol):
    hop: Hop | None
    closed: bool

    def close(self) -> None:
        """Nothing goes out on it from now on."""


class Upload(Protocol):
    """A body that is too long to be held."""

    length: int
    started: bool

    def pieces(self) -> Iterator[tuple[bytes, bool]]:
        """What comes of it, and whether that is the last; raises Abandoned if its client ends it."""


class UploadError(Exception):
    """The client has broken its body off, or sends too slowly."""


class ExchangeOwner(Protocol):
    def response_started(self, hop: Hop) -> None:
        """More of a hop's answer has come, but not all of it."""

    def upload_received(self, hop: Hop) -> None:
        """The last of the body that a hop carries has come."""

    def hop_sent(self) -> None:
        """A hop has been written whole."""

    def stream_response(self, hop: Hop, parser: ResponseParser) -> bool:
        """Whether a hop's answer becomes the final one before it is whole; its head is written then."""

    def end_hop(self, now: int, hop: Hop, outcome: Outcome) -> None: ...

    def answer(self, exchange: Exchange, answer: answers.Answer) -> None: ...

    def set_timer(self, at: int, whom: TimerHandler) -> None: ...

    def close_after_unlock(self, action: Callable[[], None]) -> None:
        """Do it once the lock is free, before whatever else was decided under it."""

    def log(self, text: str) -> None: ...


class Exchange:
    """Its client's thread carries it: what is sent is `pending` until that thread takes it up."""

    __slots__ = (
        "number",
        "client",
        "trace_id",
        "request",
        "deadline_at",
        "owner",
        "handle",
        "hops",
        "pending",
        "answered",
        "client_left",
        "upload",
        "deadline",
        "received_at",
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
        received_at: int = 0,
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
        self.deadline = deadline  # from the last byte of such a body on
        self.received_at = received_at

    def is_finished(self) -> bool:
        return self.submission is not None and self.submission.is_finished()

    def may_write(self, now: int, hop: Hop) -> bool:
        """Whether a hop may still be written: the last moment at which that can be known.

        Guards what was true when it was chosen against a dial that took long and a thread that waited: its
        client may have gone or have been answered, and the servers that would have dropped a copy of what an
        earlier hop did may not know of it any more.
        """
        if hop.ended or self.answered or now >= self.deadline_at:
            return False
        if hop.number and self.submission is not None:
            tariff, before = self.submission.class_state.request_class, self.submission.hops[: hop.number]
            if tariff.effect == Effect.DEDUPLICATED and any(
                one.may_have_run and now > one.sent_at + tariff.dedup_window for one in before
            ):
                return False
        return now - self.received_at <= CLIENT_CHECK_AFTER_US or not self.client.has_left()

    def on_timer(self, now: int) -> None:
        """Its patience is over: answers for servers that say nothing."""
        for hop in list(self.hops):
            self.owner.end_hop(now, hop, Outcome.TIMEOUT)
        if not check_invariant(self.answered, "no final answer when patience ended"):
            self.owner.answer(self, answers.FAILED)


class Hop:
    """`ends` is when it is over at the latest: its time-out or the deadline, whichever comes first."""

    __slots__ = (
        "exchange",
        "number",
        "server",
        "started_at",
        "ends_at",
        "received_at",
        "link",
        "ended",
        "cancelled",
    )

    def __init__(self, exchange: Exchange, number: int, server: int, started_at: int, ends_at: int) -> None:
        self.exchange = exchange
        self.number = number
        self.server = server
        self.started_at = started_at
        self.ends_at = ends_at
        self.received_at = 0  # when the last bytes of its answer reached this machine
        self.connection: HopConnection
        self.ended = False
        self.cancelled = False

    def on_timer(self, now: int) -> None:
        """Its time-out has come, where the balancer sets one."""
        self.exchange.owner.end_hop(now, self, Outcome.TIMEOUT)
