"""The second address: operators' calls, one to a connection, by threads of their own."""

from __future__ import annotations

import socket
import struct
import threading
from contextlib import suppress
from typing import TYPE_CHECKING

import orjson

from ..admin.calls import Call, understood
from ..discovery.roster import Address
from ..http1 import writing
from ..http1.messages import MalformedMessageError, Request
from ..http1.parsing import RequestParser
from . import answers, clock
from .clients import Clients
from .dispatch import Dispatcher
from .servers import start_thread
from .succession import Succession

if TYPE_CHECKING:
    from .peers import Peers

MOST = 16  # calls at once; one more takes the place of the oldest
LONGEST = 5_000_000  # that a call may take to come whole
LONGEST_WAIT = struct.pack("ll", 5, 0)
MOST_BODY = 4096
DONE = answers.text_answer(200, "done")
SERVING = answers.text_answer(200, "serving")
NO_SERVER = answers.text_answer(404, "no such server")
NOT_HELD = answers.text_answer(404, "this sidecar does not hold that duty")
NO_PEERS = answers.text_answer(404, "no peers in the configuration")


class Operators:
    """The listener for operators and the calls under way."""

    def __init__(
        self,
        where: Address,
        dispatcher: Dispatcher,
        clients: Clients,
        succession: Succession,
        peers: Peers | None = None,
    ) -> None:
        self.peers = peers
        self.dispatcher = dispatcher
        self.clients = clients
        self.succession = succession
        self.gate = threading.Lock()
        self.open: dict[socket.socket, None] = {}
        self.ready = 1
        family = socket.AF_INET6 if ":" in where.host else socket.AF_INET
        self.listener = socket.socket(family, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(where)
        self.listener.listen(64)
        host, port = self.listener.getsockname()[:2]
        self.where = f"{host}:{port}"

    def run(self) -> None:
        """Take a call, see it through, and take the next; another thread waits for the next meanwhile."""
        while True:
            try:
                sock = self.listener.accept()[0]
            except OSError as trouble:
                if self.listener.fileno() < 0:
                    return
                self.dispatcher.events.event("accept_failed", text=str(trouble), whose="operators")
                threading.Event().wait(0.05)  # out of descriptors: others must end first
                continue
            with self.gate:
                self.open[sock] = None
                oldest = next(iter(self.open)) if len(self.open) > MOST else None
                self.ready -= 1
                more = self.ready < 1
                self.ready += more
                if oldest is not None:
                    # Guards calls against callers that connect and finish none.
                    with suppress(OSError):
                        oldest.shutdown(socket.SHUT_RDWR)
            if more:
                try:
                    start_thread(self.run)
                except RuntimeError:  # no thread: this one takes the next call when it is done with this
                    with self.gate:
                        self.ready -= 1
            try:
                self.call(sock)
            except OSError:
                pass  # the caller has gone
            except Exception as trouble:  # nothing said here may end the sidecar
                self.dispatcher.events.event("fault", text=f"{type(trouble).__name__}: {trouble}")
            finally:
                with self.gate:
                    self.open.pop(sock, None)
                sock.close()
            with self.gate:
                if self.ready >= 2:
                    return
                self.ready += 1

    def call(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, LONGEST_WAIT)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, LONGEST_WAIT)
        until = clock.now() + LONGEST
        parser = RequestParser(MOST_BODY)
        told = False
        try:
            while (request := parser.next()) is None:
                if not told and parser.awaits_continue():
                    told = True
                    sock.sendall(writing.CONTINUE)
                data = sock.recv(4096)
                if not data or clock.now() > until:
                    return
                parser.feed(data)
            answer = self.answered(request)
        except MalformedMessageError as trouble:
            request = None
            answer = answers.text_answer(trouble.status, str(trouble))
        if request is not None and request.method == "HEAD":
            head = writing.response(answer.status, answer.headers, b"", False, len(answer.body))
            sock.sendall(head)
        else:
            sock.sendall(writing.response(*answer, False))
        sock.shutdown(socket.SHUT_WR)
        while request is None and clock.now() < until and sock.recv(4096):
            pass  # guards the answer: closed with bytes unread, it would be lost on its way

    def answered(self, request: Request) -> answers.Answer:
        asked = understood(request)
        dispatcher = self.dispatcher
        match asked.call:
            case Call.CHECK:
                return SERVING
            case Call.STATS:
                return answers.text_answer(200, self.figures().rstrip("\n"))
            case Call.PEERS:
                if self.peers is None:
                    return NO_PEERS
                return answers.Answer(
                    200,
                    [("Content-Type", "application/json")],
                    orjson.dumps(self.peers.view(), option=orjson.OPT_APPEND_NEWLINE),
                )
            case Call.RESIGN:
                if self.peers is None:
                    return NO_PEERS
                if not self.peers.take_away(asked.server):
                    return NOT_HELD
            case Call.OUT | Call.IN:
                out = asked.call == Call.OUT
                if not dispatcher.set_out_of_service(asked.server, out):
                    return NO_SERVER
                self.succession.agree({"server": asked.server, "out": out})
            case Call.FAIL | Call.OK:
                self.clients.set_out_of_service(asked.call == Call.FAIL)
                self.succession.agree({"emptied": asked.call == Call.FAIL})
        return DONE

    def figures(self) -> str:
        dispatcher = self.dispatcher
        listed, avoided = dispatcher.server_counts()
        return dispatcher.metrics.written(
            dispatcher.active_config[0].tariffs,
            {
                "current": self.clients.active_submissions(),
                "cluster_size": listed,
                "cluster_unhealthy": avoided,
                "conf_loaded": dispatcher.config_loads,
                "conf_invalid": dispatcher.config_failures,
                **(self.peers.figures() if self.peers is not None else {}),
            },
        )
