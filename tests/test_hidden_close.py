"""A client's close behind what nobody has read yet: nothing is sent for it, and who stays is served."""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path

import pytest

from pumicepath.http1 import writing
from pumicepath.http1.parsing import RequestParser, ResponseParser
from pumicepath.lab.loopback.scripted import http_response, read_message
from pumicepath.sidecar import client_presence, clock
from pumicepath.sidecar.body_arrival import max_send_buffer
from pumicepath.sidecar.client_input import ClientInput, InputState
from pumicepath.sidecar.memory_account import MemoryAccount, MemoryShare
from pumicepath.sidecar.servers import ServerConnection, start_thread

from .rig import Rig, wait_until
from .test_crowded import connected_sockets

RESET = struct.pack("ii", 1, 0)  # struct linger: close() resets the connection
MAX_TEST_BODY = 16 << 20
LENGTHS = [40_000, 65_535, 65_537, 80_000, 131_072, 400_000, 2_000_000, 3_900_000]
CHUNK_SIZES = [7, 1000, 65_536, 400_000]
LONG_BYTES = 400_000


def request_with_body(name: str, length: int, request_class: str = "once") -> bytes:
    headers = [("Host", "api"), ("X-Qos", request_class), ("X-Trace-Id", name)]
    return writing.request("POST", f"/{name}", headers, b"x" * length)


def chunked_request(name: str, length: int, chunk_size: int) -> bytes:
    headers = [("Host", "api"), ("X-Qos", "once"), ("X-Trace-Id", name)]
    head = writing.request_head("POST", f"/{name}", headers, writing.CHUNKED)
    pieces = [b"x" * min(chunk_size, length - at) for at in range(0, length, chunk_size)]
    return head + b"".join(part for piece in pieces for part in writing.chunk(piece, False)) + b"0\r\n\r\n"


def close(sock: socket.socket) -> None:
    sock.close()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    sock.close()


class FailingConnects:
    """The first connect hangs until `fail` is called, and fails then; all others are made."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.begun, self.may_fail = threading.Event(), threading.Event()
        connect = ServerConnection.connect

        def connect_or_fail(connection: ServerConnection, *args: object) -> None:
            if not self.begun.is_set():
                self.begun.set()
                assert self.may_fail.wait(20)
                raise TimeoutError
            connect(connection, *args)  # type: ignore[arg-type]

        monkeypatch.setattr(ServerConnection, "connect", connect_or_fail)

    def fail(self) -> None:
        self.may_fail.set()


class HiddenCloseRig(Rig):
    """A sidecar whose first connect to a server hangs while a client writes, and perhaps leaves."""

    def __init__(self, folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
        monkeypatch.setattr(
            "pumicepath.lab.loopback.scripted.RequestParser", lambda: RequestParser(MAX_TEST_BODY)
        )
        # The request is as old at once as one whose client can have left 0.1 s ago.
        monkeypatch.setattr(client_presence, "CHECK_AFTER_US", -1)
        monkeypatch.setattr(client_presence, "HIDDEN_END_AFTER_US", -1)
        super().__init__(folder, servers=2)
        self.connects = FailingConnects(monkeypatch)
        self.client_sock, self.client = self.connect()
        start_thread(self.client.run)

    def write(self, data: bytes) -> threading.Thread:
        """Write in a thread, as much as the buffers take at once."""

        def write_all() -> None:
            with suppress(OSError):
                self.client_sock.sendall(data)

        writer = threading.Thread(target=write_all, daemon=True)
        writer.start()
        assert self.connects.begun.wait(20)
        return writer

    def check_nothing_sent(self) -> None:
        """Let the connect fail, and check that no server gets anything."""
        self.connects.fail()
        wait_until(lambda: self.client not in self.clients.open and not self.dispatcher.exchanges)
        assert not self.deployment.transcript
        assert self.dispatcher.read_ahead.held == self.dispatcher.memory.total == 0

    def check_served(self, *bodies: int) -> None:
        """Let the connect fail, and check that servers get requests with bodies of these lengths."""
        for at in range(len(bodies)):
            self.deployment.script.put(http_response(200, f"answer {at}"))
        self.connects.fail()
        parser = ResponseParser()
        for at in range(len(bodies)):
            response = read_message(self.client_sock, parser)
            assert response is not None
            assert (response.status, response.body.decode()) == (200, f"answer {at}")
        received = [len(line.split()[-1]) if "x" * 9 in line else 0 for line in self.deployment.transcript]
        assert received == list(bodies)
        self.client_sock.close()
        wait_until(lambda: self.client not in self.clients.open)
        assert self.dispatcher.read_ahead.held == self.dispatcher.memory.total == 0


@pytest.fixture
def rig(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[HiddenCloseRig]:
    rig = HiddenCloseRig(tmp_path, monkeypatch)
    yield rig
    rig.client_sock.close()


# A reserve was made for a client that had closed 0.25 s before, behind a body that nobody read (review/8).
@pytest.mark.parametrize("request_class", ["once", "read"])
@pytest.mark.parametrize("length", LENGTHS)
def test_nothing_is_sent_for_a_client_that_closed_behind_its_body(
    length: int, request_class: str, rig: HiddenCloseRig
) -> None:
    rig.write(request_with_body("leaves", length, request_class)).join()
    rig.client_sock.close()
    rig.check_nothing_sent()


@pytest.mark.parametrize("chunk_size", CHUNK_SIZES)
def test_nothing_is_sent_for_a_client_that_closed_behind_its_chunks(
    chunk_size: int, rig: HiddenCloseRig
) -> None:
    rig.write(chunked_request("leaves", LONG_BYTES, chunk_size)).join()
    rig.client_sock.close()
    rig.check_nothing_sent()


@pytest.mark.parametrize("leave", [close, reset])
@pytest.mark.parametrize("written", ["half", "more"])
def test_nothing_is_sent_for_a_client_that_closed_within_or_far_behind_its_body(
    written: str, leave: Callable[[socket.socket], None], rig: HiddenCloseRig
) -> None:
    data = request_with_body("leaves", LONG_BYTES)
    behind = request_with_body("next", 50_000) * 5
    rig.write(data[: LONG_BYTES // 2] if written == "half" else data + behind).join()
    leave(rig.client_sock)
    rig.check_nothing_sent()


@pytest.mark.parametrize("length", [*LENGTHS, max_send_buffer() + (6 << 20)])
def test_a_client_that_stays_is_served_whatever_it_writes(length: int, rig: HiddenCloseRig) -> None:
    rig.write(request_with_body("stays", length))
    rig.check_served(length)


@pytest.mark.parametrize("chunk_size", CHUNK_SIZES)
def test_a_client_that_stays_is_served_whatever_its_chunks(chunk_size: int, rig: HiddenCloseRig) -> None:
    rig.write(chunked_request("stays", LONG_BYTES, chunk_size))
    rig.check_served(LONG_BYTES)


@pytest.mark.parametrize("length", [0, 40_000, LONG_BYTES])
def test_a_client_that_only_ends_its_sending_is_served(length: int, rig: HiddenCloseRig) -> None:
    rig.write(request_with_body("stays", length)).join()
    rig.client_sock.shutdown(socket.SHUT_WR)
    rig.check_served(length)


def test_a_client_that_writes_more_requests_behind_a_long_body_is_served(rig: HiddenCloseRig) -> None:
    rig.write(request_with_body("stays", LONG_BYTES) + request_with_body("behind", 50_000) * 1)
    rig.check_served(LONG_BYTES, 50_000)


def test_a_client_that_writes_its_body_slowly_is_served(rig: HiddenCloseRig) -> None:
    data = request_with_body("stays", LONG_BYTES)
    rig.write(data[: LONG_BYTES // 2]).join()
    rig.connects.fail()
    wait_until(lambda: rig.client.upload is not None and rig.client.upload.started)
    rig.write(data[LONG_BYTES // 2 :])
    rig.check_served(LONG_BYTES)


def test_where_memory_for_what_is_read_ahead_is_short_the_request_is_refused(rig: HiddenCloseRig) -> None:
    """Whether its client is there can't be known then, and nothing has been sent."""
    rig.write(request_with_body("refused", LONG_BYTES))
    rig.dispatcher.memory.set_limit(LONG_BYTES)
    rig.connects.fail()
    response = read_message(rig.client_sock, ResponseParser())
    assert response is not None and response.status == 503
    assert not rig.deployment.transcript
    rig.client_sock.close()
    wait_until(lambda: rig.client not in rig.clients.open)
    assert rig.dispatcher.read_ahead.held == rig.dispatcher.memory.total == 0


# What a client had written behind a request could be received only after that, and looked as if it was new.
@pytest.mark.parametrize("stays", [True, False])
@pytest.mark.parametrize("length", [0, 50_000, LONG_BYTES])
def test_a_request_written_behind_a_long_one_is_not_sent_once_its_client_has_closed(
    length: int, stays: bool, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("pumicepath.lab.loopback.scripted.RequestParser", lambda: RequestParser(1 << 20))
    rig = Rig(tmp_path)
    client_sock, client = rig.connect()
    start_thread(client.run)
    client_sock.sendall(request_with_body("first", LONG_BYTES))
    wait_until(lambda: rig.deployment.transcript)
    client_sock.sendall(request_with_body("second", length) + request_with_body("third", LONG_BYTES))
    if not stays:
        client_sock.close()
    left_at = clock.now()
    wait_until(lambda: clock.now() - left_at > 100_000)
    for _ in range(3):
        rig.deployment.script.put(http_response(200, "served"))
    if stays:
        parser = ResponseParser()
        responses = [read_message(client_sock, parser) for _ in range(3)]
        assert [response.status for response in responses] == [200, 200, 200]
        client_sock.close()
    wait_until(lambda: client not in rig.clients.open and not rig.dispatcher.exchanges)
    assert len(rig.deployment.transcript) == (3 if stays else 1)


def look_for_end(sock: socket.socket, limit: int = MAX_TEST_BODY) -> tuple[InputState, ClientInput]:
    client_input = ClientInput(sock, MemoryShare(MemoryAccount(limit), 1))
    return client_input.look_for_end(), client_input


def test_what_was_read_ahead_is_received_first_and_in_order() -> None:
    near, far = connected_sockets()
    far.sendall(bytes(range(200)) * 300)
    state, client_input = look_for_end(near)
    assert state == InputState.OPEN and client_input.unread_bytes() == 60_000
    far.sendall(b"behind")
    received = bytearray()
    while len(received) < 60_006:
        space = bytearray(7_000)
        count, received_at = client_input.receive(memoryview(space), 5)
        received += space[:count]
        assert count and received_at >= 5
    assert bytes(received) == bytes(range(200)) * 300 + b"behind"
    assert client_input.memory.size == client_input.share.held == 0


def test_no_more_is_read_ahead_than_tells_that_the_client_was_there() -> None:
    near, far = connected_sockets()
    far.settimeout(20)
    data = bytes(3 * max_send_buffer())

    def write_until_reset() -> None:
        with suppress(OSError):
            far.sendall(data)

    threading.Thread(target=write_until_reset, daemon=True).start()
    wait_until(lambda: ClientInput(near, MemoryShare(MemoryAccount(1), 1)).may_hide_end())
    state, client_input = look_for_end(near, 64 << 20)
    assert state == InputState.OPEN
    assert len(client_input.backlog) < 2 * max_send_buffer()
    near.close()
    far.close()


def test_an_end_is_found_at_once_and_a_share_of_the_memory_is_not_exceeded() -> None:
    near, far = connected_sockets()
    far.sendall(bytes(100_000))
    far.close()
    assert look_for_end(near)[0] == InputState.ENDED
    near, far = connected_sockets()
    far.sendall(bytes(100_000))
    assert look_for_end(near, 1000)[0] == InputState.UNKNOWN
