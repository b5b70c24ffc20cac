"""What a client is told at the end of its submission."""

from __future__ import annotations

from typing import NamedTuple

from ..http1.messages import Response


class Answer(NamedTuple):
    status: int
    headers: list[tuple[str, str]]
    body: bytes


def plain(status: int, text: str) -> Answer:
    return Answer(status, [("Content-Type", "text/plain; charset=utf-8")], text.encode() + b"\n")


FORFEITED = plain(502, "forfeited")
READY = plain(200, "ready")
NOT_READY = plain(503, "no server known that may be used")
SENT_AWAY = plain(503, "clients are sent away")


def deferred(retry_in: int) -> Answer:
    status, headers, body = plain(503, "deferred")
    if retry_in > 0:
        headers = [*headers, ("Retry-After", f"{retry_in / 1e6:.3f}")]
    return Answer(status, headers, body)


def succeeded(response: Response) -> Answer:
    return Answer(200, response.passed_on(), response.body)
