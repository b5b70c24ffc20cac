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
from pumicepath.http1.writing import STATUS_LINE_START
from pumicepath.lab.loopback.scripted import http_response, read_message
from pumicepath.sidecar import arrival, client_presence, clock
from pumicepath.sidecar.arrival import unread_bytes
from pumicepath.sidecar.body_arrival import max_send_buffer
from pumicepath.sidecar.client_presence import ClientPresence, Presence
from pumicepath.sidecar.servers import ServerConnection, start_thread

from .rig import Rig, drop_arrivals, let_arrive, wait_until
from .test_crowded import connected_sockets

RESET = struct.pack("ii", 1, 0)  # struct linger: close() resets the connection
MAX_TEST_BODY = 16 << 20
LENGTHS = [40_000, 65_535, 65_537, 80_000, 131_072, 400_000, 2_000_000, 3_900_000]
CHUNK_SIZES = [7, 1000, 65_536, 400_000]
LONG_BYTES = 400_000
TCP_CLOSE_WAIT = 8  # a TCP state (tcp_states.h)


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
        assert not self.dispatcher.memory.total

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
        assert not self.dispatcher.memory.total


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


def test_a_client_that_stays_is_served_where_memory_is_short(rig: HiddenCloseRig) -> None:
    rig.write(request_with_body("stays", LONG_BYTES))
    rig.dispatcher.memory.set_limit(LONG_BYTES // 2)
    rig.check_served(LONG_BYTES)


# The network, or a full receive buffer, had lost the close, so that nothing followed what could be read.
@pytest.mark.parametrize("arrived", [1000, 16_000, 100_000])
@pytest.mark.parametrize("leaves", [True, False])
def test_a_client_whose_last_segments_were_lost_gets_something_sent_only_if_it_stays(
    leaves: bool, arrived: int, rig: HiddenCloseRig
) -> None:
    data = request_with_body("client", LONG_BYTES)
    sent = len(data) - LONG_BYTES  # the head, with which the first hop begins
    rig.write(data[:sent]).join()
    wait_until(lambda: not unread_bytes(rig.client.sock))
    rig.client_sock.sendall(data[sent : sent + arrived])
    wait_until(lambda: unread_bytes(rig.client.sock) == arrived)
    drop_arrivals(rig.client.sock)
    rig.client_sock.sendall(data[sent + arrived :])
    if leaves:
        rig.client_sock.close()
    let_arrive(rig.client.sock)
    if leaves:
        rig.check_nothing_sent()
    else:
        rig.check_served(LONG_BYTES)


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


# It was taken for there each time, up to 80 ms after the time before, however long it had been gone.
def test_a_client_that_was_not_seen_again_does_not_count_as_there_for_longer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    near, far = connected_sockets()
    presence = ClientPresence(near)
    started_at = clock.now()
    presence.request_begins(started_at)
    far.sendall(b"behind")
    wait_until(lambda: unread_bytes(near))
    drop_arrivals(near)
    far.close()
    let_arrive(near)
    monkeypatch.setattr(clock, "now", lambda: started_at + 60_000)
    assert presence.is_there()
    monkeypatch.setattr(clock, "now", lambda: started_at + 120_000)
    assert not presence.is_there()


def test_each_probe_tells_a_client_that_stays_from_one_that_has_gone() -> None:
    near, far = connected_sockets()
    presence = ClientPresence(near)
    far.shutdown(socket.SHUT_WR)
    for _ in range(len(STATUS_LINE_START) - 1):
        assert presence.probe() == Presence.THERE
    far.close()
    assert presence.probe() == Presence.GONE
    assert presence.probe() == Presence.GONE


# The operators' bench: a closed client was taken for there, as the state of a connection stays what it was.
@pytest.mark.parametrize("closes", [True, False])
def test_a_reset_is_seen_where_the_platform_tells_only_the_state_before_it(
    closes: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(arrival, "tcp_state", lambda sock: TCP_CLOSE_WAIT)
    monkeypatch.setattr(arrival, "tells_acknowledgements", lambda sock: False)
    monkeypatch.setattr(arrival, "unacknowledged_bytes", lambda sock: 0)
    near, far = connected_sockets()
    presence = ClientPresence(near)
    far.shutdown(socket.SHUT_WR)
    if closes:
        start_thread(lambda: far.recv(1, socket.MSG_PEEK) and far.close())
    assert presence.probe() == (Presence.GONE if closes else Presence.THERE)


def test_without_a_reaction_or_a_byte_to_write_a_clients_presence_is_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    near, far = connected_sockets()
    presence = ClientPresence(near)
    for _ in STATUS_LINE_START:
        assert presence.probe() == Presence.THERE
    assert presence.probe() == Presence.UNKNOWN
    assert far.recv(99) == STATUS_LINE_START
    presence.request_begins(0)
    monkeypatch.setattr(client_presence, "PROBE_TIMEOUT_US", 1)
    drop_arrivals(near)
    assert presence.probe() == Presence.UNKNOWN


def test_a_client_that_has_not_read_for_long_is_there_until_its_close_resets_the_connection(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    near, far = connected_sockets()
    presence = ClientPresence(near)
    near.setblocking(False)
    with suppress(BlockingIOError):
        while True:
            near.send(bytes(1 << 20))
    monkeypatch.setattr(client_presence, "PROBE_TIMEOUT_US", 1)
    assert presence.probe() == Presence.THERE
    far.close()
    assert presence.probe() == Presence.GONE
