"""Clients that stop within a request, and slow but honest ones: who gets an answer, who is ended, when."""

import queue
import socket
from pathlib import Path

import pytest

from pumicepath.admin.metrics import Metrics
from pumicepath.http1 import writing
from pumicepath.http1.parsing import ResponseParser
from pumicepath.lab.loopback.scripted import Deployment, read_message
from pumicepath.sidecar import clock, config
from pumicepath.sidecar.bulkhead import Bulkheads
from pumicepath.sidecar.client import BUSY, CLOSING, DISCARDING, DRAINING, IDLE, PARTIAL, Client
from pumicepath.sidecar.clients import Clients
from pumicepath.sidecar.decision_log import DecisionLog
from pumicepath.sidecar.memory_account import MemoryAccount
from pumicepath.sidecar.sending_rate import MIN_BYTES_PER_US, SendingRate
from pumicepath.sidecar.servers import start_thread
from pumicepath.sidecar.socket_writer import SocketWriter

from .rig import Rig, read_status, wait_until
from .test_size import BodyEcho, deployment_of, digest

SECOND_US = 1_000_000
BAD_CLIENT_LIMIT_S = 3.0  # from the stop until an error or a close, by the operators' pages
EXPIRES_MS = 1500
LATE_ANSWER_S = 0.55  # past its time, until a request that has no answer counts as lost
HONEST_BYTES_PER_S = 64_000  # the slowest body that has to get through
HEADERS = [("Host", "api"), ("X-Qos", "read"), ("X-Expires-In-Ms", str(EXPIRES_MS))]


def stopped_client(address: tuple[str, int], name: str, announced: int, sent: int) -> socket.socket:
    """Connect, announce a body and send a part of it; reads fail after BAD_CLIENT_LIMIT_S."""
    sock = socket.create_connection(address)
    sock.settimeout(BAD_CLIENT_LIMIT_S)
    sock.sendall(writing.request("POST", "/api", [*HEADERS, ("X-Trace-Id", name)], b"", announced))
    sock.sendall(bytes(sent))
    return sock


@pytest.mark.parametrize(("announced", "sent"), [(4_000_000, 300_000), (60_000, 50_000)])
def test_clients_that_stop_within_a_body_neither_stay_nor_keep_answers_from_others(
    announced: int, sent: int, tmp_path: Path
) -> None:
    """Bad clients that had sent much of a body were waited for as long as that would have taken at the least
    rate, and their connections counted as busy: no other client was accepted."""
    deployment = deployment_of(tmp_path, BodyEcho("r", queue.SimpleQueue(), []))
    deployment.configuration["limits"] = {"memory_mb": 192, "sockets": 60}
    deployment.write_configuration()
    with deployment.running():
        bad = [stopped_client(deployment.address, f"bad{at}", announced, sent) for at in range(50)]
        with socket.create_connection(deployment.address) as usual:
            usual.sendall(writing.request("GET", "/api", [*HEADERS, ("X-Trace-Id", "usual")]))
            usual.settimeout(EXPIRES_MS / 1000 + LATE_ANSWER_S)
            assert read_status(usual) in (200, 503)
        statuses = [read_message(sock, ResponseParser()) for sock in bad]
    # None of them timed out: each got an error, or the close of a connection without one.
    assert {answer.status for answer in statuses if answer is not None} <= {408, 503}


def test_a_client_that_stops_within_a_long_body_is_told_so(tmp_path: Path) -> None:
    """It got a close without an error, and that only a second after it was given up."""
    rig = Rig(tmp_path)
    client_sock, client = rig.connect()
    head = writing.request("POST", "/api", [*HEADERS, ("X-Trace-Id", "stops")], b"", 200_000)
    start_thread(client.run)
    client_sock.sendall(head + bytes(100_000))
    wait_until(
        lambda: client.upload is not None and client.upload.started and client.has_stalled(clock.now())
    )
    assert client.evict_stalled(clock.now()) and not client.evict_stalled(clock.now())
    assert read_status(client_sock) == 408 and client_sock.recv(1) == b""


def test_a_client_at_the_slowest_honest_rate_is_never_too_slow() -> None:
    """A head may take 2 s, and a body of 32 MB may come at 64 kB a second in pieces of any size."""
    for pause_us in (1_000, 250_000, 1_500_000, 2 * SECOND_US):
        now = SECOND_US
        rate = SendingRate(now)
        left = 32 << 20
        while left > 0:
            now += pause_us
            assert not rate.is_too_slow(now)
            count = HONEST_BYTES_PER_S * pause_us // SECOND_US
            rate.received(now, count)
            left -= count


def test_what_was_sent_early_does_not_pay_for_silence() -> None:
    now = SECOND_US
    rate = SendingRate(now)
    rate.received(now, 1_000_000)
    assert not rate.is_too_slow(now + 2 * SECOND_US)
    assert rate.is_too_slow(now + int(2.5 * SECOND_US))
    for _ in range(8):  # a byte now and then does not either
        now += SECOND_US // 3
        rate.received(now, 1)
    assert rate.is_too_slow(now) and rate.waited > 2 * SECOND_US - 9 / MIN_BYTES_PER_US


def clients_in_one_state(folder: Path, states: list[tuple[int, int, int]]) -> Clients:
    """Open connections: state, silence and longest earlier pause of each, in microseconds."""
    rig_clients = Clients(FakeDispatcher(folder))
    rig_clients.listener.close()
    now = clock.now()
    for state, silence, longest_pause in states:
        client = Client(socket.socketpair()[0], rig_clients, now - silence)
        client.state = state
        client.upload = object() if state == BUSY else None
        client.sending_rate.longest_pause = longest_pause
        rig_clients.open[client] = None
    return rig_clients


class FakeDispatcher:
    """What `Clients` reads of the dispatcher."""

    out_of_service = False
    memory = MemoryAccount(1 << 20)
    bulkheads = Bulkheads()
    decisions = DecisionLog(Metrics())

    def __init__(self, folder: Path) -> None:
        limits = {"memory_mb": 192, "sockets": 60}
        raw = {**Deployment(folder, 0).configuration, "limits": limits}
        self.active_config = (config.decode_config(raw), ())

    def closes_connections(self) -> bool:
        return False


@pytest.mark.usefixtures("still_clock")
def test_where_places_are_scarce_clients_that_stopped_make_way_and_slow_ones_stay(tmp_path: Path) -> None:
    slow = [(PARTIAL, 100_000, 0), (PARTIAL, 900_000, 500_000), (BUSY, 900_000, 500_000), (BUSY, 250_000, 0)]
    stopped = [
        (PARTIAL, 900_000, 0),
        (BUSY, 900_000, 0),
        (BUSY, 1_100_000, 500_000),
        (DISCARDING, 150_000, 0),
    ]
    clients = clients_in_one_state(tmp_path, slow + stopped)
    clients.connection_limit = 0
    clients.evict_idle()
    ended = [client.evicted or client.state == CLOSING for client in clients.open]
    assert ended == [False] * len(slow) + [True] * len(stopped)


@pytest.mark.usefixtures("still_clock")
def test_no_more_stopped_clients_are_ended_than_are_in_the_way(tmp_path: Path) -> None:
    """Those already on their way out make place as well; the next search must not end as many again."""
    clients = clients_in_one_state(tmp_path, [(PARTIAL, 900_000 + at, 0) for at in range(40)])
    clients.connection_limit = 30
    for _ in range(3):
        clients.last_eviction_at = 0
        clients.evict_idle()
    ended = [client.state == CLOSING for client in clients.open]
    assert ended == [False] * 22 + [True] * 18  # ten above the limit and eight more, the longest silent ones


@pytest.mark.usefixtures("still_clock")
def test_resting_connections_make_way_at_once_whatever_else_is_ending(tmp_path: Path) -> None:
    """They were spared for connections that were closing already, and new clients waited to be accepted."""
    clients = clients_in_one_state(tmp_path, [(CLOSING, 10_000, 0)] * 20 + [(IDLE, 200_000, 0)] * 20)
    clients.connection_limit = 30
    clients.evict_idle()
    assert [client.state for client in clients.open] == [CLOSING] * 20 + [DRAINING] * 18 + [IDLE] * 2


@pytest.mark.usefixtures("still_clock")
def test_stalled_uploads_give_up_connections_to_servers_that_others_wait_for(tmp_path: Path) -> None:
    clients = clients_in_one_state(
        tmp_path, [(BUSY, 900_000, 0), (BUSY, 100_000, 0), (BUSY, 900_000, 500_000)]
    )
    clients.sweep()
    assert not any(client.evicted for client in clients.open)
    clients.server_connections_used_up = True
    clients.sweep()
    assert [client.evicted for client in clients.open] == [True, False, False]


@pytest.mark.usefixtures("still_clock")
def test_stalled_clients_of_a_replaced_process_leave_its_part_of_the_limits_to_the_new_one(
    tmp_path: Path,
) -> None:
    """Beside them: slow ones go on, and as long as connections are few nobody is ended."""
    states = [(PARTIAL, 900_000, 0), (BUSY, 900_000, 0), (PARTIAL, 900_000, 500_000), (IDLE, 10_000, 0)]
    clients = clients_in_one_state(tmp_path, states)
    clients.pause_accepting(True)
    clients.connection_limit = 30
    clients.sweep()
    assert not any(client.evicted or client.state == CLOSING for client in clients.open)
    clients.connection_limit = 9
    clients.sweep()
    assert [client.evicted or client.state == CLOSING for client in clients.open] == [
        True,
        True,
        False,
        False,
    ]


@pytest.mark.usefixtures("still_clock")
def test_a_reader_that_stops_makes_way_after_seconds(tmp_path: Path) -> None:
    clients = clients_in_one_state(tmp_path, [(BUSY, 0, 0), (BUSY, 0, 0)])
    for client, blocked_us in zip(clients.open, (2 * SECOND_US, 4 * SECOND_US)):
        client.writer.blocked_since = clock.now() - blocked_us
    clients.connection_limit = 0
    clients.evict_idle()
    assert [client.evicted for client in clients.open] == [False, True]


def test_a_slow_client_among_stopped_ones_is_served(tmp_path: Path) -> None:
    """Beside the limit: it goes on sending while those that stopped make way for it and for others."""
    deployment = deployment_of(tmp_path, BodyEcho("r", queue.SimpleQueue(), []))
    deployment.configuration["limits"] = {"memory_mb": 192, "sockets": 60}
    deployment.write_configuration()
    body, stopped = bytes(range(256)) * 1000, []
    with deployment.running(), socket.create_connection(deployment.address) as slow:
        slow.sendall(writing.request("POST", "/api", [*HEADERS, ("X-Trace-Id", "slow")], b"", len(body)))
        slow.sendall(body[:100_000])
        for at in range(50):
            stopped.append(stopped_client(deployment.address, f"bad{at}", 4_000_000, 100_000))
            slow.sendall(body[100_000 + at * 1000 : 101_000 + at * 1000])
        slow.sendall(body[150_000:])
        answer = read_message(slow, ResponseParser())
    assert answer is not None and (answer.status, answer.body.decode()) == (200, digest(body))


def test_a_reader_that_takes_a_little_now_and_then_makes_way_like_one_that_takes_nothing() -> None:
    """Each byte that it took had it counted as new, so that it kept its place for as long as it liked."""
    near, far = socket.socketpair()
    near.settimeout(None)
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    writer = SocketWriter(near)
    writer.waited = 2.0 * SECOND_US  # by earlier writes
    start_thread(lambda: writer.write((bytes(200_000),), lambda: None))
    wait_until(lambda: writer.blocked_since)
    assert writer.blocked_for(clock.now()) >= 2 * SECOND_US
    far.settimeout(20)
    left = 200_000
    while left:
        left -= len(far.recv(left))
    wait_until(lambda: not writer.blocked_since and writer.waited < 2 * SECOND_US)
    assert writer.blocked_for(clock.now()) == 0
