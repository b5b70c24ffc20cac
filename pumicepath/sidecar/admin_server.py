"""The second address: operators' calls, one to a connection, by threads of their own."""

from __future__ import annotations

import socket
import struct
import threading
from contextlib import suppress
from typing import TYPE_CHECKING

import orjson

from ..admin.calls import AdminCall, parse_call
from ..discovery.server_list import Address
from ..http1 import writing
from ..http1.messages import MalformedMessageError, Request
from ..http1.parsing import RequestParser
from . import answers, clock
from .clients import Clients
from .dispatch import Dispatcher
from .hot_restart import HotRestart
from .servers import start_thread

if TYPE_CHECKING:
    from .peers import Peers

MAX_CALLS = 16  # calls at once; one more takes the place of the oldest
CALL_TIMEOUT_US = 5_000_000  # that a call may take to come whole
SOCKET_TIMEOUT = struct.pack("ll", 5, 0)
MAX_BODY_BYTES = 4096
DONE = answers.text_answer(200, "done")
SERVING = answers.text_answer(200, "serving")
NO_SERVER = answers.text_answer(404, "no such server")
NOT_HELD = answers.text_answer(404, "this sidecar does not hold that duty")
NO_PEERS = answers.text_answer(404, "no peers in the configuration")


class AdminServer:
    """The listener for operators and the calls under way."""

    def __init__(
        self,
        where: Address,
        dispatcher: Dispatcher,
        clients: Clients,
        succession: HotRestart,
        peers: Peers | None = None,
    ) -> None:
        self.peers = peers
        self.dispatcher = dispatcher
        self.clients = clients
        self.succession = succession
        self.lock = threading.Lock()
        self.connections: dict[socket.socket, None] = {}
        self.idle_threads = 1
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
            with self.lock:
                self.connections[sock] = None
                oldest = next(iter(self.connections)) if len(self.connections) > MAX_CALLS else None
                self.idle_threads -= 1
                more = self.idle_threads < 1
                self.idle_threads += more
                if oldest is not None:
                    # Guards calls against callers that connect and finish none.
                    with suppress(OSError):
                        oldest.shutdown(socket.SHUT_RDWR)
            if more:
                try:
                    start_thread(self.run)
                except RuntimeError:  # no thread: this one takes the next call when it is done with this
                    with self.lock:
                        self.idle_threads -= 1
            try:
                self.serve_connection(sock)
            except OSError:
                pass  # the caller has gone
            except Exception as trouble:  # nothing said here may end the sidecar
                self.dispatcher.events.event("fault", text=f"{type(trouble).__name__}: {trouble}")
            finally:
                with self.lock:
                    self.connections.pop(sock, None)
                sock.close()
            with self.lock:
                if self.idle_threads >= 2:
                    return
                self.idle_threads += 1

    def serve_connection(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, SOCKET_TIMEOUT)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, SOCKET_TIMEOUT)
        until = clock.now() + CALL_TIMEOUT_US
        parser = RequestParser(MAX_BODY_BYTES)
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
            answer = self.answer(request)
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

    def answer(self, request: Request) -> answers.Answer:
        asked = parse_call(request)
        dispatcher = self.dispatcher
        match asked.call:
            case AdminCall.HEALTH_CHECK:
                return SERVING
            case AdminCall.STATS:
                return answers.text_answer(200, self.metrics().rstrip("\n"))
            case AdminCall.PEERS:
                if self.peers is None:
                    return NO_PEERS
                return answers.Answer(
                    200,
                    [("Content-Type", "application/json")],
                    orjson.dumps(self.peers.view(), option=orjson.OPT_APPEND_NEWLINE),
                )
            case AdminCall.RESIGN:
                if self.peers is None:
                    return NO_PEERS
                if not self.peers.resign_duty(asked.target):
                    return NOT_HELD
            case AdminCall.TAKE_OUT | AdminCall.PUT_BACK:
                out = asked.call == AdminCall.TAKE_OUT
                if not dispatcher.set_out_of_service(asked.target, out):
                    return NO_SERVER
                self.succession.propagate({"server": asked.target, "out": out})
            case AdminCall.FAIL_HEALTH_CHECK | AdminCall.PASS_HEALTH_CHECK:
                self.clients.set_out_of_service(asked.call == AdminCall.FAIL_HEALTH_CHECK)
                self.succession.propagate({"emptied": asked.call == AdminCall.FAIL_HEALTH_CHECK})
        return DONE

    def metrics(self) -> str:
        dispatcher = self.dispatcher
        listed, avoided = dispatcher.server_counts()
        return dispatcher.metrics.render(
            dispatcher.active_config[0].request_classes,
            {
                "current": self.clients.active_submissions(),
                "cluster_size": listed,
                "cluster_unhealthy": avoided,
                "conf_loaded": dispatcher.config_loads,
                "conf_invalid": dispatcher.config_failures,
                **(self.peers.metrics() if self.peers is not None else {}),
            },
        )
