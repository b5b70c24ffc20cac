"""A test harness: the sidecar's parts in the test's own process, and barriers that order their steps."""

from __future__ import annotations

import ctypes
import os
import signal
import socket
import struct
import subprocess
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from pumicepath.discovery.server_list import ServerList
from pumicepath.http1 import writing
from pumicepath.http1.parsing import ResponseParser
from pumicepath.interface import ListKind
from pumicepath.lab.loopback.scripted import Deployment, ScriptedServer, read_message
from pumicepath.sidecar import config
from pumicepath.sidecar.arrival import TCP_ESTABLISHED
from pumicepath.sidecar.client import Client
from pumicepath.sidecar.clients import Clients
from pumicepath.sidecar.dispatch import Dispatcher
from pumicepath.sidecar.servers import start_thread

SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27  # asm-generic/socket.h; the socket module lacks them
BPF_RETURN = 0x06  # BPF_RET | BPF_K (linux/bpf_common.h): accept as many bytes of the packet as its constant

socket.setdefaulttimeout(20)  # a test must fail, not hang, if something does not arrive


class NullLog:
    """A log that drops all events."""

    def event(self, event: str, **figures: object) -> None: ...

    def flush(self) -> None: ...


class BlockingClients(Clients):
    """Client connections whose sockets block, as in production, although tests set a default time-out.

    They are made so before their threads read: `settimeout` beside a read has the read fail with EAGAIN.
    """

    def add_client(self, sock: socket.socket) -> Client:
        sock.settimeout(None)
        return super().add_client(sock)


class Rig:
    """The sidecar's parts in this process, so that a test can run code between any two of their steps."""

    def __init__(self, folder: Path, servers: int = 1, **settings: Any) -> None:
        self.deployment = Deployment(folder, servers)
        configuration = self.deployment.configuration
        for key, value in settings.items():
            configuration["settings"][key] = value
        self.config = config.decode_config(configuration)
        self.dispatcher = Dispatcher(self.config, NullLog(), lambda: None)  # type: ignore[arg-type]
        self.clients = BlockingClients(self.dispatcher)
        self.clients.listener.settimeout(20)
        update = ServerList(["a"], lambda born: 0).apply(self.deployment.list_document(1, True, "active"))
        self.dispatcher.update_servers(ListKind.FULL, update)
        start_thread(self.dispatcher.run_timers)

    def connect(self) -> tuple[socket.socket, Client]:
        """Connect a client; returns its socket and the sidecar's connection, whose thread isn't started."""
        client_socket = socket.create_connection(self.clients.listener.getsockname())
        client = self.clients.accept()
        assert client is not None
        return client_socket, client

    def request(self, name: str, request_class: str = "once", expires: int = 5000) -> bytes:
        """Return the bytes of a request."""
        headers = [
            ("Host", "api"),
            ("X-Qos", request_class),
            ("X-Trace-Id", name),
            ("X-Expires-In-Ms", str(expires)),
        ]
        return writing.request("GET", f"/{name}", headers)


def wait_until(condition: Callable[[], object]) -> None:
    """Wait up to 20 s for a condition, as the machine may be slow."""
    end = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < end, "the condition did not become true"
        time.sleep(0.001)


def tcp_states() -> dict[tuple[tuple[str, int], tuple[str, int]], int]:
    """Return the state of each TCP socket (tcp_states.h) by its own and its remote address (proc(5))."""

    def address(field: str) -> tuple[str, int]:
        host, _, port = field.partition(":")
        return socket.inet_ntoa(struct.pack("=I", int(host, 16))), int(port, 16)

    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return {(address(row[1]), address(row[2])): int(row[3], 16) for row in rows}


def closes_have_arrived(servers: list[ScriptedServer]) -> bool:
    """Whether no connection that these servers have closed or reset is still established at its client."""
    states = tcp_states()
    addresses = [server.listener.getsockname() for server in servers]
    return all(
        states.get((remote, local)) == TCP_ESTABLISHED
        for (local, remote), state in states.items()
        if remote in addresses and state == TCP_ESTABLISHED
    )


def stop_process(process: subprocess.Popen) -> None:
    """Stop a process, and wait until none of its threads runs; busy machines take milliseconds."""
    process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED)


def waited_for_core_s(pid: int) -> float:
    """Return how long this thread and those of a process were ready to run and had no core, in seconds."""
    tasks = [Path(f"/proc/self/task/{threading.get_native_id()}"), *Path(f"/proc/{pid}/task").iterdir()]
    waited = 0
    for task in tasks:
        with suppress(FileNotFoundError, ProcessLookupError):  # the thread has just ended
            waited += int((task / "schedstat").read_text().split()[1])
    return waited / 1e9


@contextmanager
def paused(
    monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, before: bool = True
) -> Iterator[tuple[threading.Semaphore, threading.Semaphore]]:
    """Pause each call of an attribute of `owner` at its start, or at its end with `before` False.

    Yields two semaphores: `reached` is released by each call that is paused, `resume` lets one of them go on.
    """
    reached, resume, original = threading.Semaphore(0), threading.Semaphore(0), getattr(owner, name)

    def pausing(*args: Any, **kwargs: Any) -> Any:
        result = None if before else original(*args, **kwargs)
        reached.release()
        assert resume.acquire(timeout=20)
        return original(*args, **kwargs) if before else result

    with monkeypatch.context() as patch:
        patch.setattr(owner, name, pausing)
        yield reached, resume
        resume.release(100)


def read_status(sock: socket.socket) -> int:
    """Return the status of the next response, or 0 if there is none."""
    response = read_message(sock, ResponseParser())
    return response.status if response is not None else 0


def server_that_ignores_connects(deployment: Deployment) -> socket.socket:
    """Make a server that ignores all attempts to connect the only one; returns its listener.

    Connecting to it hangs until `let_arrive` is called for its listener, when the kernel tries again, a
    second or more after the first attempt.
    """
    listener = socket.create_server(("127.0.0.1", 0))
    drop_arrivals(listener)
    peer = ScriptedServer.__new__(ScriptedServer)
    peer.name, peer.address = "late", f"127.0.0.1:{listener.getsockname()[1]}"
    deployment.servers = [peer]
    deployment.configuration["known"] = deployment.list_document(1, True, "active")
    return listener


def drop_arrivals(sock: socket.socket) -> None:
    """Have a socket filter drop whatever arrives at a socket, as a network that loses it."""
    drop_all = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(drop_all))  # struct sock_fprog
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def let_arrive(sock: socket.socket) -> None:
    """Drop nothing any more; what was lost comes again a fifth of a second later, or more."""
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
