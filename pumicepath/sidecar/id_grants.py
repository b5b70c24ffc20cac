"""Asks the newest process of a hot restart for the use of an id, and answers older processes.

Two processes that are sent one id at the same moment must not both run its request.  The newest process uses
ids without asking; an older one asks it before it sends anything that must not run twice.  What the newest
one has claimed before it answers is refused, and what it has granted is refused to its own clients.
Processes between the two pass questions and answers on.  Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from enum import Enum, auto
from typing import Any, NamedTuple

from . import clock

# Asked again after so long, as the process that has to answer may have ended since, beyond another one.
REPEAT_AFTER_US = 100_000


class Grant(Enum):
    """Whether an id may be used."""

    GRANTED = auto()
    IN_USE = auto()
    UNANSWERED = auto()  # until the request had to be given up
    UNASKED = auto()  # another process has begun to serve, which is to be asked first


class IdQuestion(NamedTuple):
    """A question of a process, by its name, for an id that is held for it until then if that is granted."""

    process: str
    number: int
    trace_id: str
    until: int


class IdAnswer(NamedTuple):
    """What becomes of the questions of a process, by their numbers."""

    process: str
    granted: list[int]
    refused: list[int]


def encode_questions(questions: list[IdQuestion]) -> dict[str, Any]:
    """Return the message for questions of one process, with times of the machine's monotonic clock."""
    return {
        "process": questions[0].process,
        "questions": [[each.number, each.trace_id, clock.to_monotonic(each.until)] for each in questions],
    }


def decode_questions(message: dict[str, Any]) -> list[IdQuestion]:
    """Decode what `encode_questions` has made; raises ValueError, TypeError or KeyError."""
    process = str(message["process"])
    return [
        IdQuestion(process, int(number), str(trace_id), clock.from_monotonic(int(until)))
        for number, trace_id, until in message["questions"]
    ]


def encode_answer(answer: IdAnswer) -> dict[str, Any]:
    """Return the message for an answer."""
    return answer._asdict()


def decode_answer(message: dict[str, Any]) -> IdAnswer:
    """Decode what `encode_answer` has made; raises ValueError, TypeError or KeyError."""
    return IdAnswer(
        str(message["process"]),
        [int(number) for number in message["granted"]],
        [int(number) for number in message["refused"]],
    )


class PendingQuestion:
    """A question whose answer a client's thread waits for."""

    def __init__(self, question: IdQuestion) -> None:
        self.question = question
        self.is_answered = threading.Event()
        self.grant = Grant.UNANSWERED

    def answer(self, grant: Grant) -> None:
        """Have the waiting thread go on."""
        self.grant = grant
        self.is_answered.set()


class IdGrants:
    """The questions of this process to one newer process; `ask` may be called by many threads.

    `send` queues a question and must not block.
    """

    def __init__(self, process: str, send: Callable[[IdQuestion], None]) -> None:
        self.process = process
        self.send = send
        self.lock = threading.Lock()
        self.last_number = 0
        self.pending: dict[int, PendingQuestion] = {}
        self.has_ended = False

    def ask(self, trace_id: str, until: int) -> Grant:
        """Ask for the use of an id until then, and wait for the answer no longer than that."""
        with self.lock:
            if self.has_ended:
                return Grant.GRANTED
            self.last_number += 1
            number = self.last_number
            pending = PendingQuestion(IdQuestion(self.process, number, trace_id, until))
            self.pending[number] = pending
        while not pending.is_answered.is_set():
            left = until - clock.now()
            if left <= 0:
                break
            self.send(pending.question)
            pending.is_answered.wait(min(left, REPEAT_AFTER_US) / 1e6)
        with self.lock:
            self.pending.pop(number, None)
        return pending.grant

    def note_answer(self, answer: IdAnswer) -> None:
        """Have the threads go on whose questions are answered."""
        self.settle(answer.refused, Grant.IN_USE)
        self.settle(answer.granted, Grant.GRANTED)

    def end(self) -> None:
        """Note that the newer process has ended: all that it had claimed is known here by now."""
        with self.lock:
            self.has_ended = True
            numbers = list(self.pending)
        self.settle(numbers, Grant.GRANTED)

    def settle(self, numbers: Iterable[int], grant: Grant) -> None:
        """Answer these questions, of which some may have been answered before."""
        with self.lock:
            settled = [self.pending.pop(number) for number in numbers if number in self.pending]
        for each in settled:
            each.answer(grant)
