"""A discovery that fails in one way after another until it is told to recover."""

from __future__ import annotations

import json
import socket
import struct
import threading
import time
from collections.abc import Iterable
from contextlib import suppress
from itertools import cycle

from pumicepath.http1.parsing import RequestParser
from pumicepath.lab.loopback.scripted import http_response, read_message

from .rig import drop_arrivals, let_arrive

LATE_S = 1.0  # of answers that come late
LIST_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n"
# How a call fails; `refused` and `unheard` concern the connects.
TROUBLES = (
    "503",
    "503 late",
    "reset",
    "ended",
    "silent",
    "in part, then cut",
    "no JSON",
    "no list",
    "404",
    "an older change",
    "refused",
    "unheard",
)


class TroubledDiscovery:
    """Discovery that answers with its list, or fails as the next one of `troubles` says while there are any.

    `calls` has the time and the target of each call that was read.
    """

    def __init__(self, document: dict, troubles: Iterable[str] = ()) -> None:
        self.document = document  # the whole list, of which each change is answered whole
        self.changed = threading.Condition()
        self.calls: list[tuple[float, str]] = []
        self.reserved = socket.socket()
        self.reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.reserved.bind(("127.0.0.1", 0))
        self.where = self.reserved.getsockname()
        self.address = f"127.0.0.1:{self.where[1]}"
        self.listener: socket.socket | None = None
        self.sockets: list[socket.socket] = []
        self.set_troubles(*troubles)

    def set_troubles(self, *troubles: str) -> None:
        """Fail new calls in these ways in turn from now on; without any, answer."""
        self.troubles = cycle(troubles) if troubles else None
        if "refused" in troubles:
            self.stop_listening()
            return
        if self.listener is None:
            self.listener = socket.create_server(self.where)
            self.listener.settimeout(None)
            threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()
        if "unheard" in troubles:
            drop_arrivals(self.listener)
        else:
            let_arrive_if_dropped(self.listener)

    def recover(self, document: dict | None = None) -> None:
        """Answer all calls from now on, with another list if one is given."""
        if document is not None:
            self.publish(document)
        self.set_troubles()

    def publish(self, document: dict) -> None:
        """Change the list; calls that wait for a change are answered."""
        with self.changed:
            self.document = document
            self.changed.notify_all()

    def stop_listening(self) -> None:
        if self.listener is not None:
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            self.listener = None
        self.reset_connections()

    def reset_connections(self) -> None:
        """End all connections, and thereby the calls that wait."""
        for sock in self.sockets:
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def accept(self, listener: socket.socket) -> None:
        while True:
            try:
                sock = listener.accept()[0]
            except OSError:
                return
            sock.settimeout(None)
            self.sockets.append(sock)
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        parser = RequestParser()
        with suppress(OSError):
            while (request := read_message(sock, parser)) is not None:
                self.calls.append((time.monotonic(), request.target))
                troubles = self.troubles
                if troubles is None:
                    self.answer(sock, request.target)
                elif not self.fail(sock, next(troubles)):
                    break
        sock.close()

    def fail(self, sock: socket.socket, trouble: str) -> bool:
        """Fail one call; whether the connection stays open."""
        if trouble == "503 late":
            time.sleep(LATE_S)
        if trouble == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        answers = {
            "503": http_response(503),
            "503 late": http_response(503),
            "404": http_response(404),
            "in part, then cut": LIST_HEAD + b'{"seq":',
            "no JSON": http_response(200, "{"),
            "no list": http_response(200, "[]"),
            "an older change": http_response(200, json.dumps({"seq": 0, "whole": False, "hosts": []})),
        }
        sock.sendall(answers.get(trouble, b""))
        return trouble not in ("reset", "ended", "in part, then cut")

    def answer(self, sock: socket.socket, target: str) -> None:
        """Answer one call with the list, once there is something newer than what the caller has."""
        query = dict(part.split("=") for part in target.partition("?")[2].split("&") if part)
        with self.changed:
            self.changed.wait_for(
                lambda: self.document["seq"] != int(query.get("since", -1)),
                int(query.get("timeout_ms", 0)) / 1000,
            )
            is_new = self.document["seq"] != int(query.get("since", -1))
            document = self.document if is_new else {**self.document, "whole": False, "hosts": []}
        sock.sendall(http_response(200, json.dumps(document)))


def let_arrive_if_dropped(listener: socket.socket) -> None:
    """Let connects arrive, whether or not they were dropped."""
    with suppress(OSError):
        let_arrive(listener)
