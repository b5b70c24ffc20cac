"""Clients for which there is no place are refused in time, and do not wait for one unheard."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from pumicepath.http1.parsing import ResponseParser
from pumicepath.lab.loopback.scripted import http_response, read_message
from pumicepath.sidecar.config import ACCEPT_HEADROOM, MAX_OVERFLOW, MIN_OVERFLOW, overflow_connections
from pumicepath.sidecar.servers import start_thread

from .rig import Rig, wait_until


def full_rig(folder: Path) -> tuple[Rig, socket.socket]:
    """A rig all of whose places are taken, by one client whose request is out."""
    rig = Rig(folder)
    busy_sock, busy = rig.connect()
    start_thread(busy.run)
    busy_sock.sendall(rig.request("busy", "once", 9000))
    wait_until(lambda: rig.deployment.transcript)
    rig.clients.connection_limit = 1 - ACCEPT_HEADROOM
    start_thread(rig.clients.overflow.run)
    start_thread(rig.clients.run)
    return rig, busy_sock


# Honest clients waited in the backlog for a place until their time was over.
@pytest.mark.parametrize("sent", ["whole", "half", "long", "malformed"])
def test_a_client_without_a_place_is_refused(sent: str, tmp_path: Path) -> None:
    rig, busy_sock = full_rig(tmp_path)
    data = {
        "whole": rig.request("waits"),
        "half": rig.request("waits")[:30],
        "long": b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n" + bytes(20_000),
        "malformed": b"no request\r\n\r\n",
    }[sent]
    with socket.create_connection(rig.clients.listener.getsockname()) as client_sock:
        client_sock.sendall(data)
        response = read_message(client_sock, ResponseParser())
        assert response is not None and response.status == 503 and not response.keeps_alive()
    wait_until(lambda: not rig.clients.overflow.connections)
    rig.deployment.script.put(http_response(200, "served"))
    response = read_message(busy_sock, ResponseParser())
    assert response is not None and response.body == b"served"


def test_a_client_without_a_place_that_sends_nothing_is_closed(tmp_path: Path) -> None:
    rig, _ = full_rig(tmp_path)
    with socket.create_connection(rig.clients.listener.getsockname()) as client_sock:
        assert client_sock.recv(1) == b""


def test_a_place_that_becomes_free_is_given_to_the_next_client(tmp_path: Path) -> None:
    rig, _ = full_rig(tmp_path)
    rig.clients.connection_limit = 10
    rig.deployment.script.put(http_response(200, "served"))
    rig.deployment.script.put(http_response(200, "served"))
    with socket.create_connection(rig.clients.listener.getsockname()) as client_sock:
        wait_until(lambda: len(rig.clients.open) == 2)
        client_sock.sendall(rig.request("next"))
        response = read_message(client_sock, ResponseParser())
    assert response is not None and response.status == 200


def test_what_may_be_refused_at_a_time_is_bounded_by_the_descriptors() -> None:
    assert overflow_connections({"memory_mb": 64, "sockets": 1024}) == MAX_OVERFLOW
    assert overflow_connections({"memory_mb": 192, "sockets": 100}) == MIN_OVERFLOW
