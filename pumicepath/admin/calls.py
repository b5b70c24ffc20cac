"""Which call of the operators a request is: `understood` gives the call, and the server that it names."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple
from urllib.parse import unquote, urlsplit

from ..http1.messages import MalformedMessageError, Request


class AdminCall(Enum):
    HEALTH_CHECK = "check"
    STATS = "stats"
    PEERS = "peers"
    TAKE_OUT = "maint"
    PUT_BACK = "ready"
    FAIL_HEALTH_CHECK = "fail"
    PASS_HEALTH_CHECK = "ok"
    RESIGN = "resign"


class ParsedCall(NamedTuple):
    call: AdminCall
    target: str = ""  # or duty


# By path; what stands there is changed by PUT, and read by GET or HEAD.
READ_CALLS: dict[tuple[str, ...], AdminCall] = {
    ("healthcheck",): AdminCall.HEALTH_CHECK,
    ("stats",): AdminCall.STATS,
    ("peers",): AdminCall.PEERS,
}
CHANGE_CALLS: dict[tuple[str, ...], AdminCall] = {
    ("healthcheck", "fail"): AdminCall.FAIL_HEALTH_CHECK,
    ("healthcheck", "ok"): AdminCall.PASS_HEALTH_CHECK,
}
SERVER_CALLS = {"maint": AdminCall.TAKE_OUT, "ready": AdminCall.PUT_BACK}


def parse_call(request: Request) -> ParsedCall:
    """Raises Malformed for what is no call."""
    allowed: tuple[str, ...] = ("PUT",)
    path = tuple(urlsplit(request.target).path.split("/")[1:])
    if path in READ_CALLS:
        allowed, asked = ("GET", "HEAD"), ParsedCall(READ_CALLS[path])
    elif path in CHANGE_CALLS:
        asked = ParsedCall(CHANGE_CALLS[path])
    elif len(path) == 3 and path[0] == "servers" and path[1] and path[2] in SERVER_CALLS:
        asked = ParsedCall(SERVER_CALLS[path[2]], unquote(path[1]))
    elif len(path) == 4 and path[:2] == ("peers", "duties") and path[2] and path[3] == "resign":
        asked = ParsedCall(AdminCall.RESIGN, unquote(path[2]))
    else:
        raise MalformedMessageError(404, "no such call")
    if request.method not in allowed:
        raise MalformedMessageError(405, f"{request.method} is not {' or '.join(allowed)}")
    return asked
