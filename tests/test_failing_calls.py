"""System calls that fail for a moment: no request is lost, no server blamed for what this machine lacks."""

from __future__ import annotations

import errno
import os
import socket
import threading
from pathlib import Path
from typing import Any

import pytest

from pumicepath.http1.parsing import ResponseParser
from pumicepath.lab.loopback.scripted import http_response, read_message
from pumicepath.sidecar import eviction
from pumicepath.sidecar.client import IDLE
from pumicepath.sidecar.servers import start_thread

from .rig import Rig

FAILURES_IN_A_ROW = 5
SERVED = b"served"
NEVER_US = 3_600_000_000


class FailingCalls:
    """Has the next calls of a socket's method fail, in threads other than the test's own."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, code: int, count: int) -> None:
        self.left = count
        original = getattr(owner, name)
        test_thread = threading.get_ident()

        def failing(*args: Any, **kwargs: Any) -> Any:
            if self.left and threading.get_ident() != test_thread and self.concerns(*args):
                self.left -= 1
                raise OSError(code, os.strerror(code))
            return original(*args, **kwargs)

        monkeypatch.setattr(owner, name, failing)

    def concerns(self, *args: Any) -> bool:
        """Whether a call is one of those that fail."""
        return True


def exchange(rig: Rig, client_sock: socket.socket, name: str, request_class: str = "once") -> int:
    rig.deployment.script.put(http_response(200, "served"))
    client_sock.sendall(rig.request(name, request_class, 2000))
    response = read_message(client_sock, ResponseParser())
    assert response is not None
    return response.status


def breaker_failures(rig: Rig) -> list[str]:
    """Lines of the metrics that count attempts as failed."""
    rig.dispatcher.metrics.apply_pending()
    return [name for name in rig.dispatcher.metrics.counts if name.startswith("ended.")]


@pytest.mark.parametrize("call", ["send", "recvmsg_into"])
@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.ENOMEM])
def test_a_read_or_write_that_lacks_memory_for_a_moment_loses_nothing(
    call: str, code: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Rig(tmp_path)
    client_sock, client = rig.connect()
    failing = FailingCalls(monkeypatch, socket.socket, call, code, FAILURES_IN_A_ROW)
    start_thread(client.run)
    assert exchange(rig, client_sock, "first") == 200 and not failing.left
    assert exchange(rig, client_sock, "second") == 200
    assert not breaker_failures(rig)


@pytest.mark.parametrize(
    "code", [errno.ENOBUFS, errno.ENOMEM, errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.ENETUNREACH]
)
def test_a_connect_that_fails_for_a_moment_is_made_again_and_blames_no_server(
    code: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Rig(tmp_path)
    client_sock, client = rig.connect()
    failing = FailingCalls(monkeypatch, socket.socket, "connect", code, FAILURES_IN_A_ROW)
    start_thread(client.run)
    assert exchange(rig, client_sock, "first") == 200 and not failing.left
    assert not breaker_failures(rig)


def test_a_connect_that_fails_for_long_is_refused_as_nothing_was_sent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Rig(tmp_path)
    client_sock, client = rig.connect()
    FailingCalls(monkeypatch, socket.socket, "connect", errno.ENFILE, 10_000)
    start_thread(client.run)
    assert exchange(rig, client_sock, "first") == 503
    assert breaker_failures(rig) == ["ended.moot"]


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_a_broken_connection_is_a_reset_by_whatever_error_it_shows(
    code: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    rig = Rig(tmp_path, servers=2)
    client_sock, client = rig.connect()

    class ServerReads(FailingCalls):
        def concerns(self, *args: Any) -> bool:
            return args[0] is not client.sock

    ServerReads(monkeypatch, socket.socket, "recvmsg_into", code, 1)
    start_thread(client.run)
    rig.deployment.script.put(http_response(200, "served"))
    assert exchange(rig, client_sock, "safe", "read") == 200
    assert breaker_failures(rig) == ["ended.reset"]


@pytest.mark.parametrize(
    "code", [errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO]
)
def test_an_accept_that_fails_for_a_moment_ends_nothing(
    code: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Connections that have been idle for a while make place where accept fails: not by a busy machine here.
    monkeypatch.setitem(eviction.EVICTABLE_AFTER_US, IDLE, NEVER_US)
    rig = Rig(tmp_path)
    resting_sock, resting = rig.connect()
    start_thread(resting.run)
    assert exchange(rig, resting_sock, "before") == 200
    failing = FailingCalls(monkeypatch, socket.socket, "accept", code, FAILURES_IN_A_ROW)
    start_thread(rig.clients.run)
    # Others may connect as well: the port may have been that of another test's server before.
    socket.create_connection(rig.clients.listener.getsockname()).close()
    with socket.create_connection(rig.clients.listener.getsockname()) as client_sock:
        assert exchange(rig, client_sock, "after") == 200 and not failing.left
    assert exchange(rig, resting_sock, "again") == 200
