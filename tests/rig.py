"""The sidecar's parts in the test's own process, and barriers that force the order of what they do."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from pumicepath.discovery.server_list import ServerList
from pumicepath.http1 import writing
from pumicepath.http1.parsing import ResponseParser
from pumicepath.interface import ListKind
from pumicepath.lab.loopback.scripted import Deployment, ScriptedServer, read_message
from pumicepath.sidecar import config
from pumicepath.sidecar.client import Client
from pumicepath.sidecar.clients import Clients
from pumicepath.sidecar.dispatch import Dispatcher
from pumicepath.sidecar.servers import start_thread

socket.setdefaulttimeout(20)  # what should come and does not must fail a test, not hold it up


class NullLog:
    """In the place of the log."""

    def event(self, event: str, **figures: object) -> None: ...


class Rig:
    """The sidecar's parts in this process, so that a test can stand between any two steps of theirs."""

    def __init__(self, folder: Path, servers: int = 1, **settings: Any) -> None:
        self.deployment = Deployment(folder, servers)
        told = self.deployment.configuration
        for key, value in settings.items():
            told["settings"][key] = value
        self.config = config.decode_config(told)
        self.dispatcher = Dispatcher(self.config, NullLog(), lambda: None)  # type: ignore[arg-type]
        self.clients = Clients(self.dispatcher)
        self.clients.listener.settimeout(20)
        update = ServerList(["a"], lambda born: 0).apply(self.deployment.list_document(1, True, "active"))
        self.dispatcher.update_servers(ListKind.FULL, update)
        start_thread(self.dispatcher.run_timers)

    def connect(self) -> tuple[socket.socket, Client]:
        """A client's end, and what the sidecar has of it; nobody reads there yet."""
        far = socket.create_connection(self.clients.listener.getsockname())
        client = self.clients.accept()
        assert client is not None
        client.sock.settimeout(None)  # as in the program, whatever tests have for a default
        return far, client

    def request(self, name: str, request_class: str = "once", expires: int = 5000) -> bytes:
        headers = [
            ("Host", "api"),
            ("X-Qos", request_class),
            ("X-Trace-Id", name),
            ("X-Expires-In-Ms", str(expires)),
        ]
        return writing.request("GET", f"/{name}", headers)


def wait_until(condition: Callable[[], object]) -> None:
    """Wait for what must come, however slow the machine is."""
    end = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < end, "it did not come"
        time.sleep(0.001)


@contextmanager
def paused(
    monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, before: bool = True
) -> Iterator[tuple[threading.Semaphore, threading.Semaphore]]:
    """Stop each call of something at its begin, or at its end: `came` tells of one, `go` lets one go on."""
    came, go, real = threading.Semaphore(0), threading.Semaphore(0), getattr(owner, name)

    def instead(*given: Any, **named: Any) -> Any:
        result = None if before else real(*given, **named)
        came.release()
        assert go.acquire(timeout=20)
        return real(*given, **named) if before else result

    with monkeypatch.context() as patch:
        patch.setattr(owner, name, instead)
        yield came, go
        go.release(100)


def read_status(sock: socket.socket) -> int:
    response = read_message(sock, ResponseParser())
    return response.status if response is not None else 0


def server_with_full_backlog(around: Deployment) -> tuple[socket.socket, list[socket.socket]]:
    """The only server there is: dials to it come up once one is taken out of its full queue.

    That is when the kernel tries again; until then they hang.
    """
    late = socket.create_server(("127.0.0.1", 0), backlog=0)
    full = [socket.socket() for _ in range(2)]
    for sock in full:
        sock.setblocking(False)
        sock.connect_ex(late.getsockname())
    peer = ScriptedServer.__new__(ScriptedServer)
    peer.name, peer.address = "late", f"127.0.0.1:{late.getsockname()[1]}"
    around.servers = [peer]
    around.configuration["known"] = around.list_document(1, True, "active")
    return late, full
