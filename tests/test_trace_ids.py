"""The id of a request is in use for as long as the request is open, however long its body or answer takes."""

import socket
import threading
from pathlib import Path

import pytest

from pumicepath.http1 import writing
from pumicepath.http1.parsing import RequestParser, ResponseParser
from pumicepath.lab.loopback.scripted import ScriptedServer, http_response, read_message
from pumicepath.sidecar.client import Client
from pumicepath.sidecar.servers import start_thread
from pumicepath.sidecar.trace_ids import TraceIds

from .rig import Rig, read_status, wait_until

HEADERS = [("Host", "api"), ("X-Qos", "once"), ("X-Trace-Id", "same")]
LONG_BODY_BYTES = 200_000


def start_client(rig: Rig) -> tuple[socket.socket, Client]:
    """Connect a client and start its thread; returns its socket and the sidecar's connection."""
    client_sock, client = rig.connect()
    start_thread(client.run)
    return client_sock, client


def ask_again(rig: Rig) -> int:
    """Send a short request with the same id; returns the status of its answer."""
    other, _ = start_client(rig)
    other.sendall(writing.request("POST", "/short", HEADERS, b"again"))
    return read_status(other)


def answer_in_two_parts(server: ScriptedServer, goes_on: threading.Event) -> None:
    """Have a server answer with a long body, whose second half it sends once `goes_on` is set."""
    serve_scripted = server.serve
    whole = http_response(200, "x" * LONG_BODY_BYTES)

    def serve(sock: socket.socket) -> None:
        server.serve = serve_scripted  # type: ignore[method-assign]
        read_message(sock, RequestParser())
        sock.sendall(whole[: LONG_BODY_BYTES // 2])
        goes_on.wait(20)
        sock.sendall(whole[LONG_BODY_BYTES // 2 :])
        serve_scripted(sock)

    server.serve = serve  # type: ignore[method-assign]


def test_an_id_is_freed_when_its_time_is_over_and_its_exchange_has_ended() -> None:
    open_numbers = {1}
    ids = TraceIds(open_numbers.__contains__)
    assert ids.claim(0, "a", 1, 100, 100) and not ids.claim(50, "a", 2, 150, 100)
    assert not ids.claim(100, "a", 2, 200, 100)  # open: held on for as long again
    open_numbers.clear()
    assert not ids.claim(199, "a", 2, 299, 100)
    assert ids.claim(200, "a", 2, 300, 100)
    assert not ids.claim(299, "a", 3, 399, 100) and ids.claim(300, "a", 3, 400, 100)
    ids.expire(1000, 100)
    assert not ids.held and not ids.queue


def test_the_id_of_a_request_whose_body_is_still_coming_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was freed after the longest patience, counted from the head: reserves ran twice under one id."""
    monkeypatch.setattr("pumicepath.lab.loopback.scripted.RequestParser", lambda: RequestParser(1 << 20))
    rig = Rig(tmp_path)
    rig.dispatcher.max_deadline = 1  # us: over at once
    sender, client = start_client(rig)
    head = writing.request("POST", "/long", HEADERS, b"", LONG_BODY_BYTES)
    sender.sendall(head + bytes(LONG_BODY_BYTES // 2))
    wait_until(lambda: client.upload is not None and client.upload.started)
    assert ask_again(rig) == 409
    rig.deployment.script.put(http_response(200, "served"))
    sender.sendall(bytes(LONG_BODY_BYTES // 2))
    assert read_status(sender) == 200
    rig.deployment.script.put(http_response(200, "served"))
    assert ask_again(rig) == 200  # its time is over, and it has ended


def test_the_id_of_a_request_whose_answer_is_being_streamed_is_refused(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.dispatcher.max_deadline = 1  # us: over at once
    goes_on = threading.Event()
    answer_in_two_parts(rig.deployment.servers[0], goes_on)
    reader, client = start_client(rig)
    reader.sendall(writing.request("POST", "/long", HEADERS, b"lot"))
    wait_until(lambda: client.status == 200)
    assert ask_again(rig) == 409
    goes_on.set()
    answer = read_message(reader, ResponseParser(1 << 20))
    assert answer is not None and len(answer.body) == LONG_BODY_BYTES
    wait_until(lambda: not rig.dispatcher.streaming)
    rig.deployment.script.put(http_response(200, "served"))
    assert ask_again(rig) == 200
