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

from ..distribution.interests import ALL_PLAIN, Interest, parse_interest
from ..http1 import writing
from ..http1.messages import MalformedMessageError, Request
from ..http1.parsing import RequestParser

if TYPE_CHECKING:
    from .loop import Relay

MAX_WAIT_MS = 60_000
MAX_PIPELINED_BYTES = 16 * 1024  # bytes that may come while a call is out
JSON_HEADERS = [("Content-Type", "application/json")]
TEXT_HEADERS = [("Content-Type", "text/plain; charset=utf-8")]
READING, PENDING, WRITING, CLOSED = range(4)


class ListRequest(NamedTuple):
    since: int  # -1 for the whole list
    wait_us: int  # microseconds
    interest: Interest


class Follower:
    __slots__ = (
        "number",
        "sock",
        "relay",
        "admin",
        "parser",
        "state",
        "state_since",
        "unsent",
        "interest",
        "keep_alive",
        "pipelined_bytes",
    )

    def __init__(self, number: int, sock: socket.socket, relay: Relay, now: int, admin: bool = False) -> None:
        self.number = number
        self.sock = sock
        self.relay = relay
        self.admin = admin
        self.parser = RequestParser(0)
        self.state = READING
        self.state_since = now  # when its state began
        self.unsent: memoryview | None = None
        self.interest: Interest = ALL_PLAIN
        self.keep_alive = True
        self.pipelined_bytes = 0

    def handle_io(self, mask: int, now: int) -> None:
        """What its socket allows, and with no mask the next call that has come already."""
        try:
            if mask & selectors.EVENT_WRITE and self.unsent is not None:
                self.write(now)
            if mask & selectors.EVENT_READ and self.state in (READING, PENDING):
                self.read(now)
            if not mask and self.state == READING:
                self.next_request(now)
        except MalformedMessageError as trouble:
            self.keep_alive = False
            self.respond(trouble.status, f"{trouble}\n".encode(), now, TEXT_HEADERS)
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def read(self, now: int) -> None:
        data = self.sock.recv(4096)
        if not data:
            self.close()
            return
        if self.state == PENDING:
            self.pipelined_bytes += len(data)
            if self.pipelined_bytes > MAX_PIPELINED_BYTES:
                self.close()
                return
        self.parser.feed(data)
        if self.state == READING:
            self.next_request(now)

    def next_request(self, now: int) -> None:
        request = self.parser.next()
        if request is not None:
            self.state = PENDING
            self.state_since = now
            self.pipelined_bytes = 0
            self.keep_alive = request.keeps_alive()
            self.relay.handle_request(self, request, now)

    def respond(
        self, status: int, body: bytes, now: int, headers: list[tuple[str, str]] = JSON_HEADERS
    ) -> None:
        """The whole answer to the call that is out."""
        head = writing.response(status, headers, b"", self.keep_alive, len(body))
        self.state = WRITING
        self.state_since = now
        sent = 0
        try:
            sent = self.sock.sendmsg((head, body))
        except BlockingIOError:
            pass
        except OSError:
            self.close()
            return
        if sent == len(head) + len(body):
            self.response_written(now)
            return
        whole, done = (head + body, sent) if sent < len(head) else (body, sent - len(head))
        self.unsent = memoryview(whole)[done:]
        self.relay.add_slow(self, len(self.unsent))
        self.relay.selector.modify(self.sock, selectors.EVENT_WRITE, self)

    def write(self, now: int) -> None:
        assert self.unsent is not None
        sent = self.sock.send(self.unsent)
        self.relay.unsent_bytes -= sent
        self.unsent = self.unsent[sent:]
        if not self.unsent:
            self.unsent = None
            self.relay.slow_followers.pop(self.number, None)
            self.relay.selector.modify(self.sock, selectors.EVENT_READ, self)
            self.response_written(now)

    def response_written(self, now: int) -> None:
        if not self.keep_alive:
            self.close()
            return
        self.state = READING
        self.state_since = now
        if not self.parser.is_idle():
            # Guards the stack, and the others, against a follower that sends many calls ahead.
            self.relay.resume_queue.append(self)

    def close(self) -> None:
        if self.state != CLOSED:
            self.state = CLOSED
            self.relay.remove_connection(self)
            self.sock.close()


def parse_list_request(request: Request) -> ListRequest:
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
                wait = max(0, min(MAX_WAIT_MS, int(value)))
            elif name == "services":
                services = value
        return ListRequest(since, wait * 1000, parse_interest(services))
    except ValueError as trouble:
        raise MalformedMessageError(400, str(trouble)) from trouble
