"""The sidecar's parts on a busy core, when threads run late: no request is lost, no server is blamed."""

import signal
import socket
import struct
import threading
from collections import Counter, deque
from pathlib import Path

from pumicepath.admission.queue import MAX_ACTIVE, AdmissionResult
from pumicepath.http1 import writing
from pumicepath.http1.parsing import RequestParser, ResponseParser
from pumicepath.interface import ListKind
from pumicepath.lab.loopback.scripted import Deployment, http_response, read_message
from pumicepath.sidecar import arrival, clock, config
from pumicepath.sidecar.admission_gate import AdmissionGate
from pumicepath.sidecar.client import BUSY, DRAINING, FRESH, IDLE, Client
from pumicepath.sidecar.dispatch import Dispatcher
from pumicepath.sidecar.log import Log
from pumicepath.sidecar.timers import PostponedTimer

from .helpers import check_trace, make_entry
from .rig import stop_process

UP_REQUEST = writing.request("GET", "/up", [("Host", "a")])


def connected_sockets() -> tuple[socket.socket, socket.socket]:
    """Two ends of a TCP connection; the first one is blocking."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        client_socket = socket.create_connection(listener.getsockname())
        server_socket = listener.accept()[0]
        server_socket.settimeout(None)
        return server_socket, client_socket


class ClientOwner:
    """A stand-in for the set of client connections, with a dispatcher that has no servers."""

    def __init__(self, folder: Path) -> None:
        self.config = config.decode_config(Deployment(folder, 0).configuration)
        self.dispatcher = Dispatcher(self.config, Log("n0"), None)
        self.fresh: dict = {}
        self.bad_requests: Counter[str] = Counter()
        self.remove = self.fresh.pop
        self.is_over_limit = lambda: False


def test_a_request_that_crosses_an_idle_close_is_served_even_if_its_thread_is_late(tmp_path: Path) -> None:
    lines = []
    for name, state, sent in (
        ("rests", IDLE, UP_REQUEST),
        ("fresh", FRESH, UP_REQUEST),
        ("rests, nothing came", IDLE, b""),
    ):
        owner = ClientOwner(tmp_path)
        owner.remove = lambda client, *_: None
        server_socket, client_socket = connected_sockets()
        client = Client(server_socket, owner, clock.now())
        client.state = state
        client_socket.sendall(sent)
        # The connection's thread has not run yet: the request is still unread.
        assert client.expire(state) and client.state == DRAINING
        thread = threading.Thread(target=client.run)
        thread.start()
        response = read_message(client_socket, ResponseParser())
        lines.append(
            f"{name}: {response.status if response else 'closed'}"
            f"{', closed' if response and not response.keeps_alive() else ''}"
        )
        thread.join(5)
    check_trace("crossed", lines)


def test_a_client_that_does_not_read_holds_no_slot(tmp_path: Path) -> None:
    owner = ClientOwner(tmp_path)
    server_socket, client_socket = connected_sockets()
    client = Client(server_socket, owner, clock.now())
    server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, struct.pack("ll", 0, 50_000))
    gate, released = owner.dispatcher.admission_gate, []
    client.acquire_slot()
    assert gate.queue.active == 1
    gate.leave = lambda out: released.append(out) or AdmissionGate.leave(gate, out)
    written = client.write((b"x" * 30_000_000,))
    # The slot was released before the write blocked, and only once.
    client.release_slot()
    assert not written and released == [0] and gate.queue.active == 0
    client_socket.close()


def test_slots_are_passed_on_and_rejected_waiters_are_woken(tmp_path: Path) -> None:
    gate = AdmissionGate(config.decode_config(Deployment(tmp_path, 0).configuration))
    now = clock.now()
    assert all(gate.enter(now, now + 2_000_000, 0, False, 5000.0) for _ in range(MAX_ACTIVE))
    results: deque = deque()

    def enter() -> None:
        results.append(gate.enter(now, now + 2_000_000, 0, False, 5000.0))

    threads = [threading.Thread(target=enter) for _ in range(2)]
    for at, thread in enumerate(threads):
        thread.start()
        while len(gate.queue.waiting) <= at:
            pass
    # The first of the two has waited too long when a slot becomes free.
    _, first = gate.queue.waiting[0]
    gate.queue.waiting[0] = (clock.now() - 1, first)
    gate.leave()
    for thread in threads:
        thread.join(5)
    assert sorted(results) == [False, True] and gate.queue.active == MAX_ACTIVE


def test_latency_timers_are_postponed_while_our_own_threads_are_late(tmp_path: Path) -> None:
    dispatcher = ClientOwner(tmp_path).dispatcher
    dispatcher.balancer.update_servers(0, ListKind.FULL, [make_entry(10)])
    for delay in (0, 300_000):
        dispatcher.timers.heap.clear()
        dispatcher.send = lambda *_: None
        one = dispatcher.balancer.submit(0, 1, 0, 1, False, 2_500_000)
        dispatcher.delay_monitor.delay = delay
        dispatcher.fire_timers(600_000)
        checked = one.hops[0].outcome_recorded
        postponed = [at for at, _, handler in dispatcher.timers.heap if isinstance(handler, PostponedTimer)]
        assert (checked, postponed) == ((True, []) if not delay else (False, [900_000]))
    dispatcher.fire_timers(900_000)
    assert one.hops[0].outcome_recorded


def enable_kernel_timestamps() -> tuple[socket.socket, socket.socket]:
    """Two ends of a connection that keep kernel timestamps on.

    The kernel starts to add them only some time after the first socket has asked for them.
    """
    server_socket, client_socket = connected_sockets()
    arrival.enable_timestamps(server_socket)
    buffer = memoryview(bytearray(1))
    give_up = clock.now() + 20_000_000
    delay = 0
    while delay < 5_000 and clock.now() < give_up:
        client_socket.sendall(b"x")
        read_at = clock.now() + 10_000
        while clock.now() < read_at:
            pass
        delay = clock.now() - arrival.receive(server_socket, buffer, 0)[1]
    return server_socket, client_socket


def test_arrival_times_and_connection_state_are_those_of_the_kernel() -> None:
    server_socket, client_socket = connected_sockets()
    stamped = enable_kernel_timestamps()
    arrival.enable_timestamps(server_socket)
    client_socket.sendall(b"one")
    while not server_socket.recv(3, socket.MSG_PEEK):
        pass
    read_at = clock.now() + 200_000
    while clock.now() < read_at:
        pass
    buffer = memoryview(bytearray(10))
    count, received_at = arrival.receive(server_socket, buffer, 0)
    delay = clock.now() - received_at
    bounded = arrival.receive(server_socket, buffer, clock.now())[1] if client_socket.send(b"two") else 0
    assert count == 3 and delay > 190_000 and bounded <= clock.now()
    states = [arrival.is_quiet(server_socket, 6), arrival.is_closed(server_socket)]
    client_socket.sendall(b"unasked")
    while not server_socket.recv(1, socket.MSG_PEEK):
        pass
    states += [arrival.is_quiet(server_socket, 6), arrival.is_closed(server_socket)]
    server_socket.recv(7)
    client_socket.close()
    while server_socket.recv(1):
        pass
    states += [arrival.is_quiet(server_socket, 13), arrival.is_closed(server_socket)]
    assert states == [True, False, False, False, False, True]
    for sock in stamped:
        sock.close()


def test_peek_accepts_plain_requests_and_leaves_all_others_to_the_parser() -> None:
    head = "POST /api HTTP/1.1\r\nHost: a\r\nx-qos:  read \r\n"
    cases = {
        "no body": head + "X-Expires-In-Ms: 480\r\n\r\n",
        "a body and a retry": head + "X-Second-Try: 1\r\nContent-Length: 3\r\n\r\nabc",
        "half a body": head + "Content-Length: 3\r\n\r\nab",
        "two together": head + "\r\n" + head + "\r\n",
        "two lengths": head + "Content-Length: 3\r\ncontent-length: 3\r\n\r\nabc",
        "no number": head + "Content-Length: -3\r\n\r\nabc",
        "half a number": head + "Content-Length: 0x30\r\n\r\n",
        "a space ahead of the colon": head + "Content-Length : 30\r\n\r\n",
        "a line that ends in LF": head + "X-A: 1\nContent-Length: 30\r\n\r\n",
        "HTTP/1.0": head.replace("1.1", "1.0") + "\r\n",
        "chunks": head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "to be closed": head + "Connection: close\r\n\r\n",
        "no class": "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "half a head": head,
        "a line ahead": "\r\n\r\n" + head + "\r\n",
    }
    lines = []
    for name, text in cases.items():
        parser = RequestParser()
        parser.feed(text.encode())
        lines.append(f"{name}: {parser.peek_request()}")
    check_trace("glance", lines)


def test_retry_after_is_sent_only_where_the_settings_allow_it(tmp_path: Path) -> None:
    heads = []
    for allowed in (True, False):
        deployment = Deployment(tmp_path, 0)
        deployment.configuration["settings"]["policyLimits"]["retryAfter"] = allowed
        owner = ClientOwner(tmp_path)
        owner.dispatcher = Dispatcher(config.decode_config(deployment.configuration), Log("n0"), None)
        owner.dispatcher.admission_gate.queue.offer = lambda *_: AdmissionResult.REJECTED
        server_socket, client_socket = connected_sockets()
        client, parser = Client(server_socket, owner, clock.now()), RequestParser()
        parser.feed(b"GET /api HTTP/1.1\r\nHost: a\r\nX-Qos: read\r\n\r\n")
        assert client.reject_early(parser, clock.now()) and parser.is_idle()
        response = read_message(client_socket, ResponseParser())
        heads.append((response.status, bool(response.header("Retry-After")), response.keeps_alive()))
    assert heads == [(503, True, True), (503, False, True)]


def test_busy_connections_are_not_expired(tmp_path: Path) -> None:
    client = Client(connected_sockets()[0], ClientOwner(tmp_path), 0)
    client.set_state(BUSY)
    assert not client.expire(IDLE) and not client.expire(FRESH) and client.state == BUSY


def test_requests_that_piled_up_while_the_sidecar_was_stopped_are_answered_once_each(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 3)
    with deployment.running():
        clients = [socket.create_connection(deployment.address) for _ in range(40)]
        for sock in clients:
            deployment.script.put(http_response(200, "first"))
            deployment.send("once", sock=sock, body="lot")
            deployment.receive(sock, ResponseParser())
        stop_process(deployment.process)
        for sock in clients:
            deployment.script.put(http_response(200, "second"))
            deployment.send("once", sock=sock, body="lot")
        deployment.process.send_signal(signal.SIGCONT)
        for sock in clients:
            deployment.receive(sock, ResponseParser())
        deployment.process.send_signal(signal.SIGTERM)
        stopped = deployment.next_event("stopped")
    ends = Counter(line.split(" ", 1)[1] for line in deployment.transcript if line.startswith("client"))
    runs = Counter(line.split()[3] for line in deployment.transcript if not line.startswith("client"))
    # More requests at once than slots: each was served, none ran twice, and nothing is left.
    assert ends == {"200 first": 40, "200 second": 40} and set(runs.values()) == {1} and len(runs) == 80
    assert (stopped["clients"], stopped["taken"], stopped["broken"]) == (0, 80, {})
