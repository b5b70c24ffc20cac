"""The final answers that clients get."""

from __future__ import annotations

from typing import NamedTuple

from ..http1.messages import Response


class Answer(NamedTuple):
    """Status, headers and body of a response, without its framing."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


def text_answer(status: int, text: str) -> Answer:
    """Return a plain-text answer of one line."""
    return Answer(status, [("Content-Type", "text/plain; charset=utf-8")], text.encode() + b"\n")


FAILED = text_answer(502, "forfeited")
READY = text_answer(200, "ready")
NOT_READY = text_answer(503, "no server known that may be used")
AWAITING_LIST = text_answer(503, "waiting for the list of servers")
OUT_OF_SERVICE = text_answer(503, "clients are sent away")


def rejected(retry_after: int) -> Answer:
    """Return a 503 with the time after which to retry, in microseconds; 0 gives no advice."""
    status, headers, body = text_answer(503, "deferred")
    if retry_after > 0:
        headers = [*headers, ("Retry-After", f"{retry_after / 1e6:.3f}")]
    return Answer(status, headers, body)


def succeeded(response: Response) -> Answer:
    """Return a server's response as the answer, without the headers of that connection."""
    return Answer(200, response.end_to_end_headers(), response.body)
