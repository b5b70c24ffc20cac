"""What a request asks for: a submission, or an answer that says why it is none."""

from __future__ import annotations

from typing import NamedTuple

from ..discovery.server_list import stable_id
from ..http1.messages import MalformedMessageError, Request
from ..interface import RequestClass

MAX_EXPIRES_DIGITS = 9  # of milliseconds
MAX_TRACE_ID_BYTES = 256
TRACE_ID_HEADER, CLASS_HEADER, EXPIRES_HEADER = "x-trace-id", "x-qos", "x-expires-in-ms"


class SubmissionParams(NamedTuple):
    trace_id: str
    request_class: int
    key: int
    retry: bool
    deadline: int


def parse_submission(
    request: Request, class_numbers: dict[str, int], request_classes: tuple[RequestClass, ...]
) -> SubmissionParams:
    """Raises Malformed for what no server may be asked: servers count on ids and deadlines."""
    for name in (TRACE_ID_HEADER, CLASS_HEADER, EXPIRES_HEADER):
        if len(request.header_values(name)) > 1:
            raise MalformedMessageError(400, f"more than one {name}")
    trace = request.header(TRACE_ID_HEADER)
    if not trace or len(trace) > MAX_TRACE_ID_BYTES:
        raise MalformedMessageError(400, "no id" if not trace else "id too long")
    tariff = class_numbers.get(request.header(CLASS_HEADER))
    if tariff is None:
        raise MalformedMessageError(400, "no such class")
    patience = request_classes[tariff].deadline
    if request.header_values(EXPIRES_HEADER):
        expires = request.header(EXPIRES_HEADER)
        if (
            not expires.isascii()
            or not expires.isdigit()
            or len(expires) > MAX_EXPIRES_DIGITS
            or not int(expires)
        ):
            raise MalformedMessageError(400, "deadline is no number of milliseconds")
        patience = min(patience, int(expires) * 1000)
    key = request.header("x-object")
    return SubmissionParams(
        trace, tariff, stable_id(key) if key else 0, request.header("x-second-try") == "1", patience
    )
