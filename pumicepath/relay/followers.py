"""One connection of a follower (a sidecar that polls the relay) or of an operator.

    follower = Follower(number, sock, relay, now)
    follower.handle_io(mask, now)
    follower.respond(200, body, now)

A connection handles one request at a time; the next is taken up once the answer is written. If the socket
does not take all of an answer, the rest is kept as a view of the body, which other followers share, until it
is written or its time limit is over.
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
MAX_PIPELINED_BYTES = 16 * 1024  # received while a request is pending
JSON_HEADERS = [("Content-Type", "application/json")]
TEXT_HEADERS = [("Content-Type", "text/plain; charset=utf-8")]
READING, PENDING, WRITING, CLOSED = range(4)  # states of a Follower


class ListRequest(NamedTuple):
    """A request for the changes after version `since`, with the services of interest."""

    since: int  # -1 for the whole list
    wait_us: int  # for the first change
    interest: Interest


class Follower:
    """One connection, driven by the relay's loop; `admin` marks those of operators.

    All times are microseconds of the relay's clock.
    """

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
        self.state_since = now
        self.unsent: memoryview | None = None  # rest of an answer that the socket has not taken
        self.interest: Interest = ALL_PLAIN
        self.keep_alive = True
        self.pipelined_bytes = 0

    def handle_io(self, mask: int, now: int) -> None:
        """Read and write as far as the socket is ready; mask 0: take up a pipelined request."""
        try:
            if mask & selectors.EVENT_WRITE and self.unsent is not None:
                self.write(now)
            if mask & selectors.EVENT_READ and self.state in (READING, PENDING):
                self.read(now)
            if not mask and self.state == READING:
                self.next_request(now)
        except MalformedMessageError as error:
            self.keep_alive = False
            self.respond(error.status, f"{error}\n".encode(), now, TEXT_HEADERS)
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def read(self, now: int) -> None:
        """Read what has been received; closes the connection at its end or if too much is pipelined."""
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
        """Pass the next complete request, if there is one, to the relay; raises MalformedMessageError."""
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
        """Answer the pending request."""
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
        """Go on with an answer that the socket did not take at once; raises OSError."""
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
        """Wait for the next request, or close the connection if it is not to be kept."""
        if not self.keep_alive:
            self.close()
            return
        self.state = READING
        self.state_since = now
        if not self.parser.is_idle():
            # Handled in a later iteration: a follower that pipelines many requests must neither cause
            # deep recursion nor hold up the others.
            self.relay.resume_queue.append(self)

    def close(self) -> None:
        """Close the connection and have the relay forget it; a second call does nothing."""
        if self.state != CLOSED:
            self.state = CLOSED
            self.relay.remove_connection(self)
            self.sock.close()


def parse_list_request(request: Request) -> ListRequest:
    """Parse a request of discovery's protocol; raises MalformedMessageError for any other."""
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
    except ValueError as error:
        raise MalformedMessageError(400, str(error)) from error
