"""Which call of the operators a request is: `understood` gives the call, and the server that it names."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple
from urllib.parse import unquote, urlsplit

from ..http1.messages import MalformedMessageError, Request


class Call(Enum):
    CHECK = "check"
    STATS = "stats"
    PEERS = "peers"
    OUT = "maint"
    IN = "ready"
    FAIL = "fail"
    OK = "ok"
    RESIGN = "resign"


class Asked(NamedTuple):
    call: Call
    server: str = ""  # or duty


# By path; what stands there is changed by PUT, and read by GET or HEAD.
READ: dict[tuple[str, ...], Call] = {
    ("healthcheck",): Call.CHECK,
    ("stats",): Call.STATS,
    ("peers",): Call.PEERS,
}
CHANGE: dict[tuple[str, ...], Call] = {("healthcheck", "fail"): Call.FAIL, ("healthcheck", "ok"): Call.OK}
SERVER = {"maint": Call.OUT, "ready": Call.IN}


def understood(request: Request) -> Asked:
    """Raises Malformed for what is no call."""
    allowed: tuple[str, ...] = ("PUT",)
    path = tuple(urlsplit(request.target).path.split("/")[1:])
    if path in READ:
        allowed, asked = ("GET", "HEAD"), Asked(READ[path])
    elif path in CHANGE:
        asked = Asked(CHANGE[path])
    elif len(path) == 3 and path[0] == "servers" and path[1] and path[2] in SERVER:
        asked = Asked(SERVER[path[2]], unquote(path[1]))
    elif len(path) == 4 and path[:2] == ("peers", "duties") and path[2] and path[3] == "resign":
        asked = Asked(Call.RESIGN, unquote(path[2]))
    else:
        raise MalformedMessageError(404, "no such call")
    if request.method not in allowed:
        raise MalformedMessageError(405, f"{request.method} is not {' or '.join(allowed)}")
    return asked
