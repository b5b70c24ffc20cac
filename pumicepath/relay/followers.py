"""One connection of a follower, or of an operator: what it asks and what is still to be written to it.

    follower = Follower(number, sock, loop, now); follower.ready(mask, now); follower.tell(200, body, now)
A connection carries one call at a time: the next is taken up once the answer is written.  Of an answer that
its socket does not take only a view, which others share, is held, for so long and no longer.
"""

from __future__ import annotations

import selectors
import socket
from typing import TYPE_CHECKING, NamedTuple
from urllib.parse import unquote

from ..distribution.interests import PLAIN, Interest, interest_of
from ..http1 import writing
from ..http1.messages import MalformedMessageError, Request
from ..http1.parsing import RequestParser

if TYPE_CHECKING:
    from .loop import Relay

LONGEST_WAIT_MS = 60_000
MOST_AHEAD = 16 * 1024  # bytes that may come while a call is out
JSON = [("Content-Type", "application/json")]
TEXT = [("Content-Type", "text/plain; charset=utf-8")]
READING, OUT, WRITING, CLOSED = range(4)


class Call(NamedTuple):
    since: int  # -1 for the whole list
    wait: int  # microseconds
    interest: Interest


class Follower:
    __slots__ = (
        "number",
        "sock",
        "relay",
        "admin",
        "parser",
        "state",
        "at",
        "unsent",
        "interest",
        "keep",
        "ahead",
    )

    def __init__(self, number: int, sock: socket.socket, relay: Relay, now: int, admin: bool = False) -> None:
        self.number = number
        self.sock = sock
        self.relay = relay
        self.admin = admin
        self.parser = RequestParser(0)
        self.state = READING
        self.at = now  # when its state began
        self.unsent: memoryview | None = None
        self.interest: Interest = PLAIN
        self.keep = True
        self.ahead = 0

    def ready(self, mask: int, now: int) -> None:
        """What its socket allows, and with no mask the next call that has come already."""
        try:
            if mask & selectors.EVENT_WRITE and self.unsent is not None:
                self.write(now)
            if mask & selectors.EVENT_READ and self.state in (READING, OUT):
                self.read(now)
            if not mask and self.state == READING:
                self.next(now)
        except MalformedMessageError as trouble:
            self.keep = False
            self.tell(trouble.status, f"{trouble}\n".encode(), now, TEXT)
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def read(self, now: int) -> None:
        data = self.sock.recv(4096)
        if not data:
            self.close()
            return
        if self.state == OUT:
            self.ahead += len(data)
            if self.ahead > MOST_AHEAD:
                self.close()
                return
        self.parser.feed(data)
        if self.state == READING:
            self.next(now)

    def next(self, now: int) -> None:
        request = self.parser.next()
        if request is not None:
            self.state = OUT
            self.at = now
            self.ahead = 0
            self.keep = request.keeps_alive()
            self.relay.called(self, request, now)

    def tell(self, status: int, body: bytes, now: int, headers: list[tuple[str, str]] = JSON) -> None:
        """The whole answer to the call that is out."""
        head = writing.response(status, headers, b"", self.keep, len(body))
        self.state = WRITING
        self.at = now
        sent = 0
        try:
            sent = self.sock.sendmsg((head, body))
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            return
        if sent == len(head) + len(body):
            self.written(now)
            return
        whole, done = (head + body, sent) if sent < len(head) else (body, sent - len(head))
        self.unsent = memoryview(whole)[done:]
        self.relay.slow(self, len(self.unsent))
        self.relay.selector.modify(self.sock, selectors.EVENT_WRITE, self)

    def write(self, now: int) -> None:
        assert self.unsent is not None
        sent = self.sock.send(self.unsent)
        self.relay.unsent -= sent
        self.unsent = self.unsent[sent:]
        if not self.unsent:
            self.unsent = None
            self.relay.slowed.pop(self.number, None)
            self.relay.selector.modify(self.sock, selectors.EVENT_READ, self)
            self.written(now)

    def written(self, now: int) -> None:
        if not self.keep:
            self.close()
            return
        self.state = READING
        self.at = now
        if not self.parser.is_idle():
            # Guards the stack, and the others, against a follower that sends many calls ahead.
            self.relay.again.append(self)

    def close(self) -> None:
        if self.state != CLOSED:
            self.state = CLOSED
            self.relay.gone(self)
            self.sock.close()


def call_of(request: Request) -> Call:
    """Raises Malformed for what is no call of discovery's protocol."""
    path, _, query = request.target.partition("?")
    if path != "/discovery/hosts":
        raise MalformedMessageError(404, "no such call")
    if request.method != "GET":
        raise MalformedMessageError(400, f"{request.method} is not GET")
    since, wait, services = -1, 0, None
    try:
        for part in query.split("&") if query else ():
            name, _, value = part.partition("=")
            if "%" in value:
                value = unquote(value)
            if name == "since":
                since = int(value)
            elif name == "timeout_ms":
                wait = max(0, min(LONGEST_WAIT_MS, int(value)))
            elif name == "services":
                services = value
        return Call(since, wait * 1000, interest_of(services))
    except ValueError as trouble:
        raise MalformedMessageError(400, str(trouble)) from trouble
