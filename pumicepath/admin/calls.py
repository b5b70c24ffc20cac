"""The calls of the operators' address: `parse_call` maps a request to a call and its target."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple
from urllib.parse import unquote, urlsplit

from ..http1.messages import MalformedMessageError, Request


class AdminCall(Enum):
    """What an operator can ask of a sidecar; the values are the words in the paths."""

    HEALTH_CHECK = "check"
    STATS = "stats"
    PEERS = "peers"
    TAKE_OUT = "maint"
    PUT_BACK = "ready"
    FAIL_HEALTH_CHECK = "fail"
    PASS_HEALTH_CHECK = "ok"
    RESIGN = "resign"


class ParsedCall(NamedTuple):
    """A call and, for some, the name that the path gives."""

    call: AdminCall
    target: str = ""  # a server or a duty


# Calls by path; state is changed by PUT and read by GET or HEAD.
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
    """Return the call that a request makes.

    Raises Malformed with status 404 for an unknown path, 405 for a method that the path does not allow.
    """
    allowed: tuple[str, ...] = ("PUT",)
    path = tuple(urlsplit(request.target).path.split("/")[1:])
    if path in READ_CALLS:
        allowed, parsed = ("GET", "HEAD"), ParsedCall(READ_CALLS[path])
    elif path in CHANGE_CALLS:
        parsed = ParsedCall(CHANGE_CALLS[path])
    elif len(path) == 3 and path[0] == "servers" and path[1] and path[2] in SERVER_CALLS:
        parsed = ParsedCall(SERVER_CALLS[path[2]], unquote(path[1]))
    elif len(path) == 4 and path[:2] == ("peers", "duties") and path[2] and path[3] == "resign":
        parsed = ParsedCall(AdminCall.RESIGN, unquote(path[2]))
    else:
        raise MalformedMessageError(404, "no such call")
    if request.method not in allowed:
        raise MalformedMessageError(405, f"{request.method} is not {' or '.join(allowed)}")
    return parsed
