"""An answer that its server goes on giving is passed on whole; one that stops is ended."""

from __future__ import annotations

import random
import signal
import socket
import threading
import time
from contextlib import suppress
from pathlib import Path

import pytest

from pumicepath.http1 import writing
from pumicepath.http1.parsing import ResponseParser
from pumicepath.lab.loopback.commanded_server import answer_body
from pumicepath.lab.loopback.honest_clients import HonestClient, HonestRequest, Served
from pumicepath.lab.loopback.memory_trial import deployment_with_servers
from pumicepath.lab.loopback.scripted import Deployment, read_message
from pumicepath.lab.loopback.server_process import ServerProcess

from .rig import read_status

SEED = 5
SERVERS = 4
FRAMINGS = ("length", "chunked", "close")
REQUESTS_EACH = 6  # of each framing and class
START_INTERVAL_S = 0.05
STREAM_STALL_S = 3.0  # from the last byte of an answer that has stopped until it is ended
LATE_S = 0.5  # past its time, until an answer counts as lost


def long_request(rng: random.Random, request_class: str, framing: str) -> HonestRequest:
    """A request whose answer goes on for seconds after its first bytes, past the deadline."""
    size = rng.randrange(20_000, 230_000)
    bytes_per_s = size / rng.uniform(1.5, 2.5)
    piece = max(1, int(bytes_per_s * rng.choice((0.03, 0.25))))
    pause_ms = int(1000 * piece / bytes_per_s)
    query = f"&framing={framing}&piece={piece}&pause_ms={pause_ms}&first_ms=20"
    return HonestRequest(request_class, rng.randrange(600, 850), 0, size, query)


# Answers that servers were still writing at the deadline were cut off in most framings (report 000ac8).
def test_an_answer_that_its_server_goes_on_giving_is_passed_on_whole_in_every_framing(tmp_path: Path) -> None:
    rng, served = random.Random(SEED), Served()
    requests = [
        long_request(rng, request_class, framing)
        for framing in FRAMINGS
        for request_class in ("read", "once")
        for _ in range(REQUESTS_EACH)
    ]
    clients = []
    with ServerProcess(SERVERS) as servers, deployment_with_servers(tmp_path, servers).running() as running:
        for number, request in enumerate(requests):
            stop = threading.Event()
            clients.append(HonestClient(running.address, [request], 0.0, f"{number}", stop, served))
            time.sleep(START_INTERVAL_S)
            stop.set()
        for client in clients:
            client.thread.join()
    assert served.outcomes == {"served": len(requests)}, served.notes
    assert set(servers.times_run().values()) == {1}


def ask(deployment: Deployment, name: str, query: str, request_class: str, expires_ms: int) -> socket.socket:
    """Send a request on a new connection."""
    sock = socket.create_connection(deployment.address)
    headers = [
        ("Host", "api"),
        ("X-Trace-Id", name),
        ("X-Qos", request_class),
        ("X-Expires-In-Ms", str(expires_ms)),
    ]
    sock.sendall(writing.request("GET", f"/api?{query}", headers))
    return sock


@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_answer_that_stops_after_the_deadline_is_ended_in_seconds_and_its_client_can_tell(
    framing: str, tmp_path: Path
) -> None:
    query = f"size=90000&framing={framing}&piece=9000&pause_ms=100&stop_at=72000"
    with (
        ServerProcess(1) as servers,
        deployment_with_servers(tmp_path, servers).running() as running,
        ask(running, "stops", query, "once", 500) as sock,
    ):
        sock.settimeout(STREAM_STALL_S + LATE_S)
        parser, received = ResponseParser(1 << 20), b""
        with suppress(ConnectionResetError):
            while data := sock.recv(65536):
                received += data
        parser.feed(received)
        assert received.startswith(b"HTTP/1.1 200") and parser.next() is None


@pytest.mark.parametrize(("request_class", "status"), [("once", 502), ("read", 503)])
def test_an_answer_that_had_stopped_before_the_deadline_is_not_begun(
    request_class: str, status: int, tmp_path: Path
) -> None:
    query = "size=90000&framing=chunked&piece=9000&stop_at=9000"
    with (
        ServerProcess(1) as servers,
        deployment_with_servers(tmp_path, servers).running() as running,
        ask(running, "stops", query, request_class, 1500) as sock,
    ):
        sock.settimeout(1.5 + LATE_S)
        assert read_status(sock) == status


@pytest.mark.parametrize("framing", FRAMINGS)
def test_answers_that_go_on_when_the_process_is_told_to_end_are_passed_on_whole(
    framing: str, tmp_path: Path
) -> None:
    """They end within the longest deadline, after which the process may be killed."""
    query = f"size=90000&framing={framing}&piece=9000&pause_ms=200"
    with ServerProcess(1) as servers, deployment_with_servers(tmp_path, servers).running() as running:
        socks = {name: ask(running, name, query, name, 700) for name in ("read", "once")}
        for sock in socks.values():
            assert sock.recv(1, socket.MSG_PEEK)  # the answer is being passed on
        running.process.send_signal(signal.SIGTERM)
        for name, sock in socks.items():
            parser = ResponseParser(1 << 20)
            response = read_message(sock, parser)
            assert response is not None and response.body == answer_body(name, 90_000)
            sock.close()
        assert running.process.wait(20) == 0
