"""What a request asks for: a submission, or an answer that says why it is none."""

from __future__ import annotations

from typing import NamedTuple

from ..discovery.server_list import stable_id
from ..http1.messages import Malformed, Request
from ..interface import RequestClass

MOST_DIGITS = 9  # of milliseconds
MOST_ID = 256
TRACE_ID, TARIFF, EXPIRES = "x-trace-id", "x-qos", "x-expires-in-ms"


class Asked(NamedTuple):
    trace: str
    tariff: int
    key: int
    retry: bool
    patience: int


def asked(request: Request, names: dict[str, int], tariffs: tuple[RequestClass, ...]) -> Asked:
    """Raises Malformed for what no server may be asked: servers count on ids and deadlines."""
    for name in (TRACE_ID, TARIFF, EXPIRES):
        if len(request.all(name)) > 1:
            raise Malformed(400, f"more than one {name}")
    trace = request.header(TRACE_ID)
    if not trace or len(trace) > MOST_ID:
        raise Malformed(400, "no id" if not trace else "id too long")
    tariff = names.get(request.header(TARIFF))
    if tariff is None:
        raise Malformed(400, "no such class")
    patience = tariffs[tariff].deadline
    if request.all(EXPIRES):
        expires = request.header(EXPIRES)
        if not expires.isascii() or not expires.isdigit() or len(expires) > MOST_DIGITS or not int(expires):
            raise Malformed(400, "deadline is no number of milliseconds")
        patience = min(patience, int(expires) * 1000)
    key = request.header("x-object")
    return Asked(trace, tariff, stable_id(key) if key else 0, request.header("x-second-try") == "1", patience)
