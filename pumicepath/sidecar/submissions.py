"""Parses the headers that make a request a submission."""

from __future__ import annotations

from typing import NamedTuple

from ..discovery.server_list import stable_id
from ..http1.fields import find_fields, names_pattern
from ..http1.messages import MalformedMessageError, Request
from ..interface import RequestClass

MAX_EXPIRES_DIGITS = 9  # of a deadline in milliseconds
MAX_TRACE_ID_BYTES = 256
TRACE_ID_HEADER, CLASS_HEADER, EXPIRES_HEADER = "x-trace-id", "x-qos", "x-expires-in-ms"
KEY_HEADER, RETRY_HEADER = "x-object", "x-second-try"
SINGLE_HEADERS = (TRACE_ID_HEADER, CLASS_HEADER, EXPIRES_HEADER)
SUBMISSION_FIELDS = names_pattern(*SINGLE_HEADERS, KEY_HEADER, RETRY_HEADER)


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
    values: dict[str, str] = {}
    for name, value in find_fields(request.fields, SUBMISSION_FIELDS):
        if name in values and name in SINGLE_HEADERS:
            raise MalformedMessageError(400, f"more than one {name}")
        values.setdefault(name, value)
    trace_id = values.get(TRACE_ID_HEADER, "")
    if not trace_id or len(trace_id) > MAX_TRACE_ID_BYTES:
        raise MalformedMessageError(400, "no id" if not trace_id else "id too long")
    request_class = class_numbers.get(values.get(CLASS_HEADER, ""))
    if request_class is None:
        raise MalformedMessageError(400, "no such class")
    deadline = request_classes[request_class].deadline
    expires = values.get(EXPIRES_HEADER)
    if expires is not None:
        is_number = expires.isascii() and expires.isdigit() and len(expires) <= MAX_EXPIRES_DIGITS
        if not is_number or not int(expires):
            raise MalformedMessageError(400, "deadline is no number of milliseconds")
        deadline = min(deadline, int(expires) * 1000)
    key = values.get(KEY_HEADER, "")
    return SubmissionParams(
        trace_id,
        request_class,
        stable_id(key) if key else 0,
        values.get(RETRY_HEADER) == "1",
        deadline,
    )
