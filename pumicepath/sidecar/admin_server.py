"""The operators' address: HTTP calls, one per connection, served by threads of their own."""

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

MAX_CALLS = 16  # at once; one more ends the oldest
CALL_TIMEOUT_US = 5_000_000  # for a whole request to arrive
SOCKET_TIMEOUT = struct.pack("ll", 5, 0)  # struct timeval: 5 s
MAX_BODY_BYTES = 4096
DONE = answers.text_answer(200, "done")
SERVING = answers.text_answer(200, "serving")
NOT_YET_SERVING = answers.text_answer(503, "the process that is replaced serves")
NO_SERVER = answers.text_answer(404, "no such server")
NOT_HELD = answers.text_answer(404, "this sidecar does not hold that duty")
NO_PEERS = answers.text_answer(404, "no peers in the configuration")


class AdminServer:
    """The listening socket for operators and the calls in progress."""

    def __init__(
        self,
        where: Address,
        dispatcher: Dispatcher,
        clients: Clients,
        hot_restart: HotRestart,
        peers: Peers | None = None,
    ) -> None:
        """Raise OSError if the address cannot be listened on."""
        self.peers = peers
        self.dispatcher = dispatcher
        self.clients = clients
        self.hot_restart = hot_restart
        self.lock = threading.Lock()
        self.connections: dict[socket.socket, None] = {}
        self.idle_threads = 1
        family = socket.AF_INET6 if ":" in where.host else socket.AF_INET
        self.listener = socket.socket(family, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(where)
        self.listener.listen(64)
        host, port = self.listener.getsockname()[:2]
        self.address = f"{host}:{port}"

    def run(self) -> None:
        """Serve one call after the other; while one is served another thread waits for the next."""
        while True:
            try:
                sock = self.listener.accept()[0]
            except OSError as error:
                if self.listener.fileno() < 0:
                    return
                self.dispatcher.events.event("accept_failed", text=str(error), whose="operators")
                threading.Event().wait(0.05)  # out of file descriptors: other connections must end first
                continue
            with self.lock:
                self.connections[sock] = None
                oldest = next(iter(self.connections)) if len(self.connections) > MAX_CALLS else None
                self.idle_threads -= 1
                needs_thread = self.idle_threads < 1
                self.idle_threads += needs_thread
                if oldest is not None:
                    # Callers that connect and never finish a request must not keep others out.
                    with suppress(OSError):
                        oldest.shutdown(socket.SHUT_RDWR)
            if needs_thread:
                try:
                    start_thread(self.run)
                except RuntimeError:  # no thread can be started: this one accepts again after this call
                    with self.lock:
                        self.idle_threads -= 1
            try:
                self.serve_connection(sock)
            except OSError:
                pass  # the caller has gone
            except Exception as error:  # no call may end the sidecar
                self.dispatcher.events.event("fault", text=f"{type(error).__name__}: {error}")
            finally:
                with self.lock:
                    self.connections.pop(sock, None)
                sock.close()
            with self.lock:
                if self.idle_threads >= 2:
                    return
                self.idle_threads += 1

    def serve_connection(self, sock: socket.socket) -> None:
        """Read one request and answer it."""
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, SOCKET_TIMEOUT)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, SOCKET_TIMEOUT)
        deadline = clock.now() + CALL_TIMEOUT_US
        parser = RequestParser(MAX_BODY_BYTES)
        continue_sent = False
        try:
            while (request := parser.next()) is None:
                if not continue_sent and parser.awaits_continue():
                    continue_sent = True
                    sock.sendall(writing.CONTINUE)
                data = sock.recv(4096)
                if not data or clock.now() > deadline:
                    return
                parser.feed(data)
            answer = self.answer(request)
        except MalformedMessageError as error:
            request = None
            answer = answers.text_answer(error.status, str(error))
        if request is not None and request.method == "HEAD":
            head = writing.response(answer.status, answer.headers, b"", False, len(answer.body))
            sock.sendall(head)
        else:
            sock.sendall(writing.response(*answer, False))
        sock.shutdown(socket.SHUT_WR)
        while request is None and clock.now() < deadline and sock.recv(4096):
            pass  # closing with unread bytes would reset the connection, and the answer could be lost

    def answer(self, request: Request) -> answers.Answer:
        """Carry a call out and return its answer.

        Raises MalformedMessageError if the request is not a known call.
        """
        parsed = parse_call(request)
        dispatcher = self.dispatcher
        match parsed.call:
            case AdminCall.HEALTH_CHECK:
                if dispatcher.first_list.is_awaited:
                    return answers.AWAITING_LIST
                return SERVING if self.clients.is_open else NOT_YET_SERVING
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
                if not self.peers.resign_duty(parsed.target):
                    return NOT_HELD
            case AdminCall.TAKE_OUT | AdminCall.PUT_BACK:
                out = parsed.call == AdminCall.TAKE_OUT
                if not dispatcher.set_out_of_service(parsed.target, out):
                    return NO_SERVER
                self.hot_restart.propagate({"server": parsed.target, "out": out})
            case AdminCall.FAIL_HEALTH_CHECK | AdminCall.PASS_HEALTH_CHECK:
                self.clients.set_out_of_service(parsed.call == AdminCall.FAIL_HEALTH_CHECK)
                self.hot_restart.propagate({"emptied": parsed.call == AdminCall.FAIL_HEALTH_CHECK})
        return DONE

    def metrics(self) -> str:
        """Return all metrics, one line each."""
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
                "list_awaited_ms": dispatcher.first_list.waited_us() // 1000,
                **dispatcher.memory.metrics(),
                **(self.peers.metrics() if self.peers is not None else {}),
            },
        )
