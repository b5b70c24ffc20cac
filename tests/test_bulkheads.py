"""Clients that keep a process busy, or do not read, delay nobody else (report 000ac8)."""

from __future__ import annotations

import socket
import time
from contextlib import suppress
from pathlib import Path

import pytest

from pumicepath.http1 import writing
from pumicepath.http1.parsing import ResponseParser
from pumicepath.lab.loopback.scripted import http_response, read_message
from pumicepath.sidecar.client import FREE_LOCAL_ANSWERS
from pumicepath.sidecar.config import ACCEPT_HEADROOM
from pumicepath.sidecar.servers import start_thread

from .rig import Rig, read_status, wait_until

UP = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"


def connect(rig: Rig) -> socket.socket:
    """Connect a client, and start the sidecar's thread for it."""
    client_sock, client = rig.connect()
    start_thread(client.run)
    return client_sock


def fill_buffers(sock: socket.socket) -> None:
    """Write until neither this side's buffer nor the other's takes any more."""
    sock.setblocking(False)
    full_checks = 0
    while full_checks < 20:
        full_checks += 1
        with suppress(BlockingIOError):
            while sock.send(bytes(4096)):
                full_checks = 0
        time.sleep(0.005)
    sock.setblocking(True)


def assert_served(rig: Rig, client_sock: socket.socket, name: str) -> None:
    rig.deployment.script.put(http_response(200, name))
    client_sock.sendall(rig.request(name))
    response = read_message(client_sock, ResponseParser())
    assert response is not None and response.body.decode() == name


# Crowds that sent long bodies at full speed kept answers from clients with short requests.
def test_short_requests_do_not_wait_for_bodies_that_are_being_read(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    sender, other = connect(rig), connect(rig)
    body = b"x" * 20_000
    headers = [("Host", "api"), ("X-Qos", "once"), ("X-Trace-Id", "body"), ("X-Expires-In-Ms", "9000")]
    with rig.dispatcher.bulkheads.transfers:
        sender.sendall(writing.request("POST", "/body", headers, body))
        assert_served(rig, other, "short")
        assert not any("POST" in line for line in rig.deployment.transcript)
    rig.deployment.script.put(http_response(200, "taken"))
    response = read_message(sender, ResponseParser())
    assert response is not None and response.body == b"taken"


# One connection with small requests at full speed, as fast as they can be answered.
def test_requests_that_need_no_server_do_not_delay_those_that_do(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    flood, other = connect(rig), connect(rig)
    parser = ResponseParser()
    with rig.dispatcher.bulkheads.local_answers:
        flood.sendall(UP * (FREE_LOCAL_ANSWERS + 3))
        for _ in range(FREE_LOCAL_ANSWERS):
            assert read_message(flood, parser).status == 200
        assert_served(rig, other, "short")
        flood.setblocking(False)
        assert parser.is_idle()
        with pytest.raises(BlockingIOError):
            flood.recv(1)
    flood.settimeout(20)
    for _ in range(3):
        assert read_message(flood, parser).status == 200
    assert_served(rig, flood, "after")


# Hundreds of clients that wrote a hundred requests each without reading kept the core for themselves.
def test_requests_written_ahead_do_not_delay_those_of_other_clients(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    flood, other = connect(rig), connect(rig)
    parser = ResponseParser()
    names = [f"ahead{at}" for at in range(FREE_LOCAL_ANSWERS + 3)]
    with rig.dispatcher.bulkheads.local_answers:
        for name in names[:FREE_LOCAL_ANSWERS]:
            rig.deployment.script.put(http_response(200, name))
        flood.sendall(b"".join(rig.request(name) for name in names))
        for name in names[:FREE_LOCAL_ANSWERS]:
            assert read_message(flood, parser).body.decode() == name
        assert_served(rig, other, "short")
        assert len(rig.deployment.transcript) == FREE_LOCAL_ANSWERS + 1
    for name in names[FREE_LOCAL_ANSWERS:]:
        rig.deployment.script.put(http_response(200, name))
        assert read_message(flood, parser).body.decode() == name


# The thread of the timers wrote final answers itself, and waited for clients that did not read theirs.
def test_a_client_that_does_not_read_delays_no_other_clients_final_answer(tmp_path: Path) -> None:
    rig = Rig(tmp_path, servers=2)
    deaf_sock, deaf = rig.connect()
    fill_buffers(deaf.sock)
    start_thread(deaf.run)
    other = connect(rig)
    for _ in range(2):
        rig.deployment.script.put("wait")
    deaf_sock.sendall(rig.request("deaf", "once", 300))
    wait_until(lambda: len(rig.deployment.transcript) == 1)
    other.sendall(rig.request("other", "once", 600))
    other.settimeout(0.6 + 0.5)  # its time, and what an answer may be late
    assert read_status(other) == 502
    assert deaf.answered.is_set() and (deaf.unsent or deaf.writer.blocked_since)


# Clients that only asked /up held all places for as long as they went on, and others were not accepted.
def test_where_places_are_scarce_a_client_that_needs_no_server_gives_up_its_place(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    flood = connect(rig)
    parser = ResponseParser()
    flood.sendall(UP * (FREE_LOCAL_ANSWERS + 1))
    answers = [read_message(flood, parser) for _ in range(FREE_LOCAL_ANSWERS + 1)]
    assert all(answer.keeps_alive() for answer in answers)
    rig.clients.connection_limit = 1 - ACCEPT_HEADROOM
    flood.sendall(UP)
    assert not read_message(flood, parser).keeps_alive() and flood.recv(1) == b""
