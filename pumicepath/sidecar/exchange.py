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

LATE = 5_000  # from when a client that waits may have gone


class Answerer(Protocol):
    def answer(self, answer: answers.Answer, keep: bool) -> None: ...

    def begin(self, answer: answers.Answer, length: int, keep: bool) -> None: ...

    def more(self, piece: bytes, last: bool) -> bool: ...

    def cut(self) -> None: ...

    def gone(self) -> bool: ...

    def resume(self) -> None: ...

    def leave(self, out: int) -> None: ...


class Carrier(Protocol):
    hop: Hop | None
    dead: bool

    def kill(self) -> None:
        """Nothing goes out on it from now on."""


class Upload(Protocol):
    """A body that is too long to be held."""

    length: int
    begun: bool

    def pieces(self) -> Iterator[tuple[bytes, bool]]:
        """What comes of it, and whether that is the last; raises Abandoned if its client ends it."""


class Abandoned(Exception):
    """The client has broken its body off, or sends too slowly."""


class Owner(Protocol):
    def started(self, hop: Hop) -> None:
        """More of a hop's answer has come, but not all of it."""

    def whole(self, hop: Hop) -> None:
        """The last of the body that a hop carries has come."""

    def sent(self) -> None:
        """A hop has been written whole."""

    def pass_on(self, hop: Hop, parser: ResponseParser) -> bool:
        """Whether a hop's answer becomes the final one before it is whole; its head is written then."""

    def end(self, now: int, hop: Hop, outcome: Outcome) -> None: ...

    def answer(self, exchange: Exchange, answer: answers.Answer) -> None: ...

    def set_timer(self, at: int, whom: TimerHandler) -> None: ...

    def close(self, act: Callable[[], None]) -> None:
        """Do it once the lock is free, before whatever else was decided under it."""

    def log(self, text: str) -> None: ...


class Exchange:
    """Its client's thread carries it: what is sent is `pending` until that thread takes it up."""

    __slots__ = (
        "number",
        "client",
        "trace",
        "request",
        "until",
        "owner",
        "handle",
        "hops",
        "pending",
        "answered",
        "left",
        "upload",
        "patience",
        "arrived",
    )

    def __init__(
        self,
        client: Answerer,
        trace: str,
        request: Request,
        until: int,
        owner: Owner,
        upload: Upload | None = None,
        patience: int = 0,
        arrived: int = 0,
    ) -> None:
        self.number = 0
        self.client = client
        self.trace = trace
        self.request = request
        self.until = until
        self.owner = owner
        self.handle: Submission | None = None
        self.hops: list[Hop] = []
        self.pending: deque[Hop] = deque()
        self.answered = False
        self.left = False
        self.upload = upload
        self.patience = patience  # from the last byte of such a body on
        self.arrived = arrived

    def is_finished(self) -> bool:
        return self.handle is not None and self.handle.is_finished()

    def begins(self, now: int, hop: Hop) -> bool:
        """Whether a hop may still be written: the last moment at which that can be known.

        Guards what was true when it was chosen against a dial that took long and a thread that waited: its
        client may have gone or have been answered, and the servers that would have dropped a copy of what an
        earlier hop did may not know of it any more.
        """
        if hop.ended or self.answered or now >= self.until:
            return False
        if hop.number and self.handle is not None:
            tariff, before = self.handle.class_state.request_class, self.handle.hops[: hop.number]
            if tariff.effect == Effect.DEDUPLICATED and any(
                one.may_have_run and now > one.sent_at + tariff.dedup_window for one in before
            ):
                return False
        return now - self.arrived <= LATE or not self.client.gone()

    def on_timer(self, now: int) -> None:
        """Its patience is over: answers for servers that say nothing."""
        for hop in list(self.hops):
            self.owner.end(now, hop, Outcome.TIMEOUT)
        if not check_invariant(self.answered, "no final answer when patience ended"):
            self.owner.answer(self, answers.FORFEITED)


class Hop:
    """`ends` is when it is over at the latest: its time-out or the deadline, whichever comes first."""

    __slots__ = ("exchange", "number", "server", "at", "ends", "came", "link", "ended", "cancelled")

    def __init__(self, exchange: Exchange, number: int, server: int, at: int, ends: int) -> None:
        self.exchange = exchange
        self.number = number
        self.server = server
        self.at = at
        self.ends = ends
        self.came = 0  # when the last bytes of its answer reached this machine
        self.link: Carrier
        self.ended = False
        self.cancelled = False

    def on_timer(self, now: int) -> None:
        """Its time-out has come, where the balancer sets one."""
        self.exchange.owner.end(now, self, Outcome.TIMEOUT)
