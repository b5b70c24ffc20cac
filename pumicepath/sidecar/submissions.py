"""Parses the headers that make a request a submission."""

from __future__ import annotations

from typing import NamedTuple

from ..discovery.server_list import stable_id
from ..http1.messages import MalformedMessageError, Request
from ..interface import RequestClass

MAX_EXPIRES_DIGITS = 9  # of a deadline in milliseconds
MAX_TRACE_ID_BYTES = 256
TRACE_ID_HEADER, CLASS_HEADER, EXPIRES_HEADER = "x-trace-id", "x-qos", "x-expires-in-ms"


class SubmissionParams(NamedTuple):
    """What a request's headers say.

    `request_class` is the number of its class, `key` the hash of its object or 0, `retry` whether the client
    marks it as a retry, `deadline` a duration in microseconds.
    """

    trace_id: str
    request_class: int
    key: int
    retry: bool
    deadline: int


def parse_submission(
    request: Request, class_numbers: dict[str, int], request_classes: tuple[RequestClass, ...]
) -> SubmissionParams:
    """Read the headers of a submission.

    Raises MalformedMessageError where they are missing or invalid: servers rely on the trace id and the
    deadline.
    """
    for name in (TRACE_ID_HEADER, CLASS_HEADER, EXPIRES_HEADER):
        if len(request.header_values(name)) > 1:
            raise MalformedMessageError(400, f"more than one {name}")
    trace_id = request.header(TRACE_ID_HEADER)
    if not trace_id or len(trace_id) > MAX_TRACE_ID_BYTES:
        raise MalformedMessageError(400, "no id" if not trace_id else "id too long")
    request_class = class_numbers.get(request.header(CLASS_HEADER))
    if request_class is None:
        raise MalformedMessageError(400, "no such class")
    deadline = request_classes[request_class].deadline
    if request.header_values(EXPIRES_HEADER):
        expires = request.header(EXPIRES_HEADER)
        if (
            not expires.isascii()
            or not expires.isdigit()
            or len(expires) > MAX_EXPIRES_DIGITS
            or not int(expires)
        ):
            raise MalformedMessageError(400, "deadline is no number of milliseconds")
        deadline = min(deadline, int(expires) * 1000)
    key = request.header("x-object")
    return SubmissionParams(
        trace_id, request_class, stable_id(key) if key else 0, request.header("x-second-try") == "1", deadline
    )
