"""What a client is told at the end of its submission."""

from __future__ import annotations

from typing import NamedTuple

from ..http1.messages import Response


class Answer(NamedTuple):
    status: int
    headers: list[tuple[str, str]]
    body: bytes


def text_answer(status: int, text: str) -> Answer:
    return Answer(status, [("Content-Type", "text/plain; charset=utf-8")], text.encode() + b"\n")


FAILED = text_answer(502, "forfeited")
READY = text_answer(200, "ready")
NOT_READY = text_answer(503, "no server known that may be used")
OUT_OF_SERVICE = text_answer(503, "clients are sent away")


def rejected(retry_after: int) -> Answer:
    status, headers, body = text_answer(503, "deferred")
    if retry_after > 0:
        headers = [*headers, ("Retry-After", f"{retry_after / 1e6:.3f}")]
    return Answer(status, headers, body)


def succeeded(response: Response) -> Answer:
    return Answer(200, response.end_to_end_headers(), response.body)
