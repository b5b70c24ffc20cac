"""The sidecar's parts when threads come late: nothing taken is lost, nobody is judged by our own delay."""

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
from pumicepath.sidecar.dispatch import Dispatcher, PostponedTimer
from pumicepath.sidecar.log import Log

from .helpers import check_trace, make_entry

UP_REQUEST = writing.request("GET", "/up", [("Host", "a")])


def connected_sockets() -> tuple[socket.socket, socket.socket]:
    """Two ends of one connection over TCP; the near one blocks."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.create_connection(listener.getsockname())
        near = listener.accept()[0]
        near.settimeout(None)
        return near, far


class ClientOwner:
    """All connections of the application, with a dispatcher that has no servers."""

    def __init__(self, folder: Path) -> None:
        self.config = config.decode_config(Deployment(folder, 0).configuration)
        self.dispatcher = Dispatcher(self.config, Log("n0"), None)
        self.fresh: dict = {}
        self.refused: Counter[str] = Counter()
        self.ended = self.fresh.pop
        self.crowded = lambda: False


def test_what_crossed_the_end_of_a_connection_is_served_however_late_its_thread(tmp_path: Path) -> None:
    lines = []
    for name, state, sent in (
        ("rests", IDLE, UP_REQUEST),
        ("fresh", FRESH, UP_REQUEST),
        ("rests, nothing came", IDLE, b""),
    ):
        owner = ClientOwner(tmp_path)
        owner.ended = lambda client, *_: None
        near, far = connected_sockets()
        client = Client(near, owner, clock.now())
        client.state = state
        far.sendall(sent)
        # Its thread has not run since: the request waits to be read.
        assert client.expire(state) and client.state == DRAINING
        thread = threading.Thread(target=client.run)
        thread.start()
        response = read_message(far, ResponseParser())
        lines.append(
            f"{name}: {response.status if response else 'closed'}"
            f"{', closed' if response and not response.keeps() else ''}"
        )
        thread.join(5)
    check_trace("crossed", lines)


def test_client_that_does_not_read_has_no_place(tmp_path: Path) -> None:
    owner = ClientOwner(tmp_path)
    near, far = connected_sockets()
    client = Client(near, owner, clock.now())
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, struct.pack("ll", 0, 50_000))
    entrance, left = owner.dispatcher.admission_gate, []
    client.acquire_slot()
    assert entrance.queue.active == 1
    entrance.leave = lambda out: left.append(out) or AdmissionGate.leave(entrance, out)
    written = client.write(b"x" * 30_000_000)
    # The place was free before the write blocked, and once only.
    client.release_slot()
    assert not written and left == [0] and entrance.queue.active == 0
    far.close()


def test_places_are_handed_on_and_those_turned_away_are_told(tmp_path: Path) -> None:
    entrance = AdmissionGate(config.decode_config(Deployment(tmp_path, 0).configuration))
    now = clock.now()
    assert all(entrance.enter(now, now + 2_000_000, 0, False, 5000.0) for _ in range(MAX_ACTIVE))
    told: deque = deque()

    def come() -> None:
        told.append(entrance.enter(now, now + 2_000_000, 0, False, 5000.0))

    threads = [threading.Thread(target=come) for _ in range(2)]
    for at, thread in enumerate(threads):
        thread.start()
        while len(entrance.queue.waiting) <= at:
            pass
    # The first of the two has waited too long by the time that a place is free.
    _, first = entrance.queue.waiting[0]
    entrance.queue.waiting[0] = (clock.now() - 1, first)
    entrance.leave()
    for thread in threads:
        thread.join(5)
    assert sorted(told) == [False, True] and entrance.queue.active == MAX_ACTIVE


def test_servers_are_not_judged_while_our_own_threads_are_late(tmp_path: Path) -> None:
    dispatcher = ClientOwner(tmp_path).dispatcher
    dispatcher.balancer.update_servers(0, ListKind.FULL, [make_entry(10)])
    for behind in (0, 300_000):
        dispatcher.timers.clear()
        dispatcher.send = lambda *_: None
        one = dispatcher.balancer.submit(0, 1, 0, 1, False, 2_500_000)
        dispatcher.delay_monitor.delay = behind
        dispatcher.fire_timers(600_000)
        judged = one.hops[0].outcome_recorded
        later = [at for at, _, whom in dispatcher.timers if isinstance(whom, PostponedTimer)]
        assert (judged, later) == ((True, []) if not behind else (False, [900_000]))
    dispatcher.fire_timers(900_000)
    assert one.hops[0].outcome_recorded


def enable_kernel_timestamps() -> tuple[socket.socket, socket.socket]:
    """A pair that keeps the kernel stamping, which it begins only some time after the first socket asked."""
    near, far = connected_sockets()
    arrival.enable_timestamps(near)
    room = memoryview(bytearray(1))
    give_up = clock.now() + 20_000_000
    late = 0
    while late < 5_000 and clock.now() < give_up:
        far.sendall(b"x")
        read_at = clock.now() + 10_000
        while clock.now() < read_at:
            pass
        late = clock.now() - arrival.receive(near, room, 0)[1]
    return near, far


def test_arrival_is_when_the_kernel_had_the_bytes_and_quiet_is_what_it_knows() -> None:
    near, far = connected_sockets()
    kept = enable_kernel_timestamps()
    arrival.enable_timestamps(near)
    far.sendall(b"one")
    while not near.recv(3, socket.MSG_PEEK):
        pass
    read_at = clock.now() + 200_000
    while clock.now() < read_at:
        pass
    room = memoryview(bytearray(10))
    count, came = arrival.receive(near, room, 0)
    late = clock.now() - came
    bounded = arrival.receive(near, room, clock.now())[1] if far.send(b"two") else 0
    assert count == 3 and late > 190_000 and bounded <= clock.now()
    looks = [arrival.is_quiet(near, 6), arrival.is_closed(near)]
    far.sendall(b"unasked")
    while not near.recv(1, socket.MSG_PEEK):
        pass
    looks += [arrival.is_quiet(near, 6), arrival.is_closed(near)]
    near.recv(7)
    far.close()
    while near.recv(1):
        pass
    looks += [arrival.is_quiet(near, 13), arrival.is_closed(near)]
    assert looks == [True, False, False, False, False, True]
    for sock in kept:
        sock.close()


def test_glance_tells_plain_requests_and_leaves_all_others_to_the_parser() -> None:
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


def test_advice_is_given_only_where_the_settings_allow_it(tmp_path: Path) -> None:
    heads = []
    for allowed in (True, False):
        around = Deployment(tmp_path, 0)
        around.configuration["settings"]["policyLimits"]["retryAfter"] = allowed
        owner = ClientOwner(tmp_path)
        owner.dispatcher = Dispatcher(config.decode_config(around.configuration), Log("n0"), None)
        owner.dispatcher.admission_gate.queue.offer = lambda *_: AdmissionResult.REJECTED
        near, far = connected_sockets()
        client, parser = Client(near, owner, clock.now()), RequestParser()
        parser.feed(b"GET /api HTTP/1.1\r\nHost: a\r\nX-Qos: read\r\n\r\n")
        assert client.reject_early(parser, clock.now()) and parser.is_idle()
        response = read_message(far, ResponseParser())
        heads.append((response.status, bool(response.header("Retry-After")), response.keeps()))
    assert heads == [(503, True, True), (503, False, True)]


def test_busy_connections_are_left_alone(tmp_path: Path) -> None:
    client = Client(connected_sockets()[0], ClientOwner(tmp_path), 0)
    client.set_state(BUSY)
    assert not client.expire(IDLE) and not client.expire(FRESH) and client.state == BUSY


def test_what_piled_up_while_no_thread_ran_is_answered_once_each_in_the_whole_sidecar(tmp_path: Path) -> None:
    around = Deployment(tmp_path, 3)
    with around.running():
        clients = [socket.create_connection(around.address) for _ in range(40)]
        for sock in clients:
            around.script.put(http_response(200, "first"))
            around.send("once", sock=sock, body="lot")
            around.receive(sock, ResponseParser())
        around.process.send_signal(signal.SIGSTOP)
        for sock in clients:
            around.script.put(http_response(200, "second"))
            around.send("once", sock=sock, body="lot")
        around.process.send_signal(signal.SIGCONT)
        for sock in clients:
            around.receive(sock, ResponseParser())
        around.process.send_signal(signal.SIGTERM)
        stopped = around.next_event("stopped")
    ends = Counter(line.split(" ", 1)[1] for line in around.transcript if line.startswith("client"))
    runs = Counter(line.split()[3] for line in around.transcript if not line.startswith("client"))
    # More at once than there are places: every one had its turn, none ran twice, and nothing is left.
    assert ends == {"200 first": 40, "200 second": 40} and set(runs.values()) == {1} and len(runs) == 80
    assert (stopped["clients"], stopped["taken"], stopped["broken"]) == (0, 80, {})
