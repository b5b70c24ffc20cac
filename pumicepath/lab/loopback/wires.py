"""Connections of clients to a sidecar, each with one submission at a time: what the model's clients meet.

`Wires.take` is given a submission; its end goes to the submission's clients.  `asked` is the request itself.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Coroutine
from typing import Any, Protocol

from ...http1 import writing
from ...http1.messages import Malformed, Response
from ...interface import Tariff
from ..model.clients import ClientSubmission
from ..model.rule_checker import RuleChecker
from ..spec import Plan
from .clock import Live
from .ends import ClientEnd

KEPT_TIMES = 100_000


class Around(Protocol):
    """What the connections need of the world that they are in."""

    plan: Plan
    rule_checker: RuleChecker
    loop: asyncio.AbstractEventLoop
    timeline: Live
    request_classes: tuple[Tariff, ...]

    def keep(self, work: Coroutine[Any, Any, Any]) -> None: ...

    def note(self, text: str) -> None: ...


class Wires:
    """A sidecar's address, and the connections to it: at most so many, any number if that is 0."""

    def __init__(self, around: Around, most: int = 0) -> None:
        self.around = around
        self.most = most
        self.up = False
        self.starts = 0
        self.ending = False  # asked to end, and not begun again
        self.where = ("127.0.0.1", 0)
        self.open = 0
        self.idle: list[Wire] = []
        self.wires: dict[int, Wire] = {}  # by the number of the submission on it
        self.deferrals: deque[int] = deque(maxlen=KEPT_TIMES)  # microseconds from a try to its deferral

    def submit(self, ask: ClientSubmission) -> bool:
        if not self.up:
            return False
        while self.idle:
            wire = self.idle.pop()
            if not wire.transport.is_closing():
                wire.send(ask)
                return True
        if self.most and self.open >= self.most:
            return False
        self.open += 1
        self.around.keep(self.dial(ask))
        return True

    async def dial(self, ask: ClientSubmission) -> None:
        turn = ask.current_try
        try:
            wire = (await self.around.loop.create_connection(lambda: Wire(self), *self.where))[1]
        except OSError:
            self.open -= 1
            if turn == ask.current_try:
                ask.clients.target_unreachable(ask)
            return
        if ask.finished or turn != ask.current_try:
            self.idle.append(wire)
        else:
            wire.send(ask)

    def client_left(self, ask: ClientSubmission) -> None:
        wire = self.wires.pop(ask.number, None)
        if wire is not None:
            wire.ask = None
            wire.transport.abort()


def asked(tariff: str, safe: bool, trace: str, key: int, left_ms: int, again: bool, body: int) -> bytes:
    """A client's request; `body` bytes go with what may not be repeated at will."""
    headers = [
        ("Host", "api"),
        ("X-Trace-Id", trace),
        ("X-Qos", tariff),
        ("X-Expires-In-Ms", str(left_ms)),
        ("X-Object", f"{key:x}"),
    ]
    if again:
        headers.append(("X-Second-Try", "1"))
    return writing.request("GET" if safe else "POST", "/lab", headers, b"" if safe else b"b" * body)


class Wire(ClientEnd):
    """One connection of a client, a submission at a time."""

    def __init__(self, wires: Wires) -> None:
        super().__init__()
        self.among = wires
        self.starts = wires.starts
        self.ask: ClientSubmission | None = None
        self.turn = self.sent = 0
        self.used = False

    def send(self, ask: ClientSubmission) -> None:
        around = self.among.around
        self.ask, self.turn, self.sent = ask, ask.current_try, around.timeline.now
        self.among.wires[ask.number] = self
        tariff = around.plan.load.tariffs[ask.class_index]
        left = max(1, (ask.deadline_at - self.sent) // 1000)
        around.rule_checker.try_admitted(ask.number, ask.class_index, ask.deadline_at)
        self.transport.write(
            asked(
                tariff.name,
                tariff.effect == "idempotent",
                f"{ask.number:x}-{ask.tries}",
                ask.key,
                left,
                ask.tries > 1,
                around.plan.load.body,
            )
        )

    def malformed(self, trouble: Malformed) -> None:
        self.among.around.note(f"client got {trouble}")
        self.transport.abort()

    def answered(self, response: Response) -> None:
        ask, self.ask = self.ask, None
        self.used = True
        if response.keeps():
            self.among.idle.append(self)
        else:
            self.transport.close()
        if ask is None:
            self.among.around.note("an answer that nobody asked for")
            return
        self.among.wires.pop(ask.number, None)
        if response.status == 200:
            ask.clients.succeeded(ask, self.turn)
        elif response.status == 503:
            self.among.deferrals.append(self.among.around.timeline.now - self.sent)
            advice = float(response.header("retry-after") or 0.0)
            ask.clients.rejected(ask, self.turn, round(advice * 1e6))
        else:
            ask.clients.failed(ask, self.turn)

    def connection_lost(self, trouble: Exception | None) -> None:
        among = self.among
        among.open -= 1
        if self in among.idle:
            among.idle.remove(self)
        ask, self.ask = self.ask, None
        if ask is None:
            return
        among.wires.pop(ask.number, None)
        if not among.up or among.starts != self.starts or among.ending and not self.used:
            # With its process, or, as that ended, before it was accepted.
            ask.clients.target_died(ask, among.around.request_classes[ask.class_index].effect != 0)
        elif self.used and not ask.finished:
            # It crossed the end of a connection that had stood idle: once more, on a new one, under the same
            # id, so that a sidecar that had taken it would refuse it.
            among.around.rule_checker.abandoned(ask.number)
            among.open += 1
            among.around.keep(among.dial(ask))
