"""The time of a request with a long body counts from its last byte, even while a server takes none of it."""

import signal
import socket
import threading
from collections.abc import Callable
from pathlib import Path

import pytest

from pumicepath.http1 import writing
from pumicepath.http1.parsing import RequestParser, ResponseParser
from pumicepath.lab.loopback.scripted import Deployment, ScriptedServer, http_response, read_message
from pumicepath.sidecar import body_arrival, clock
from pumicepath.sidecar.body_arrival import BodyArrival, max_send_buffer
from pumicepath.sidecar.exchange import Exchange, UploadDeadline
from pumicepath.sidecar.servers import start_thread

from .rig import Rig, read_status, wait_until
from .test_crowded import connected_sockets
from .test_size import deployment_of

SECOND_US = 1_000_000
EXPIRES_MS = 1000
LATE_ANSWER_S = 0.55  # past its time, until a request that has no answer counts as lost
# More than the kernel holds between sidecar and server, and less than it holds on both sides of the sidecar.
LONG_BODY_BYTES = max_send_buffer() + (1 << 20)


class HungServer(ScriptedServer):
    """Accepts connections and never reads; `connected` tells that one has come."""

    def __init__(self) -> None:
        self.connected = threading.Semaphore(0)
        super().__init__("hangs", None, [])  # type: ignore[arg-type]
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)

    def serve(self, sock: socket.socket) -> None:
        self.connected.release()
        threading.Event().wait()


def send_long_body(deployment: Deployment, request_class: str, expires_ms: int) -> socket.socket:
    """Write a whole request with a long body; returns the client's socket."""
    sock = socket.create_connection(deployment.address)
    headers = [("Host", "api"), ("X-Qos", request_class), ("X-Trace-Id", "long")]
    headers.append(("X-Expires-In-Ms", str(expires_ms)))
    sock.sendall(writing.request("POST", "/api", headers, b"", LONG_BODY_BYTES))
    sock.sendall(bytes(LONG_BODY_BYTES))
    return sock


@pytest.mark.parametrize("request_class", ["read", "once"])
def test_a_long_body_that_a_hung_server_does_not_take_is_answered_in_its_time(
    request_class: str, tmp_path: Path
) -> None:
    """Nothing timed it until the sidecar had read the last byte, which waited behind what the server did not
    take: the client had its answer half a minute late.  It never ran, so a repeat is harmless."""
    deployment = deployment_of(tmp_path, HungServer())
    with deployment.running(), send_long_body(deployment, request_class, EXPIRES_MS) as sock:
        sock.settimeout(EXPIRES_MS / 1000 + LATE_ANSWER_S)
        assert read_status(sock) == 503


def test_a_long_body_that_a_hung_server_does_not_take_is_answered_before_the_process_ends(
    tmp_path: Path,
) -> None:
    server = HungServer()
    deployment = deployment_of(tmp_path, server)
    with deployment.running(), send_long_body(deployment, "once", 60_000) as sock:
        assert server.connected.acquire(timeout=20)
        deployment.process.send_signal(signal.SIGTERM)
        answer = read_message(sock, ResponseParser())
        assert answer is not None and answer.status == 503
        assert deployment.next_event("stopped")["broken"] == {}


def test_a_body_read_to_its_end_only_after_its_time_is_refused_and_not_sent_whole(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its time was counted from when the sidecar read the last byte, however long that had waited."""
    monkeypatch.setattr("pumicepath.lab.loopback.scripted.RequestParser", lambda: RequestParser(1 << 20))
    rig = Rig(tmp_path)
    client_sock, client = rig.connect()
    add_read = BodyArrival.add_read

    def add_old_read(self: BodyArrival, wait_began_at: int, received_at: int, count: int) -> None:
        add_read(self, wait_began_at, received_at, count)
        self.last_byte_at -= 60 * SECOND_US

    monkeypatch.setattr(BodyArrival, "add_read", add_old_read)
    start_thread(client.run)
    headers = [("Host", "api"), ("X-Qos", "once"), ("X-Trace-Id", "late")]
    client_sock.sendall(writing.request("POST", "/api", headers, b"x" * 200_000))
    assert read_status(client_sock) == 503 and rig.deployment.transcript == []
    monkeypatch.undo()
    rig.deployment.script.put(http_response(200, "next"))
    client_sock.sendall(rig.request("next"))
    assert read_status(client_sock) == 200


class SlowUpload:
    """An upload whose client goes on writing until `unfinished_until`."""

    unfinished_until = 0

    def unfinished_since(self, now: int) -> int:
        return min(now, self.unfinished_until)


class RecordedExchange(Exchange):
    """Records when its upload was ended."""

    def __init__(self, owner: "TimerOwner", upload: SlowUpload) -> None:
        super().__init__(None, "t", None, 900 * SECOND_US, owner, upload, 2 * SECOND_US)  # type: ignore[arg-type]
        self.ended: list[int] = []

    def end_upload(self, now: int) -> None:
        self.ended.append(now)


class TimerOwner:
    """Records the timers that are set."""

    shutdown_at = 1 << 62

    def __init__(self) -> None:
        self.timers: list[int] = []
        self.now = 0

    def do_after_unlock(self, action: Callable[[], None]) -> None:
        action()

    def run_locked(self, call: Callable[[int], None]) -> None:
        call(self.now)

    def fire(self, deadline: UploadDeadline, now: int) -> None:
        self.now = now
        deadline.on_timer(now)

    def set_timer(self, at: int, handler: UploadDeadline) -> None:
        self.timers.append(at)


def test_the_time_of_a_client_that_goes_on_sending_does_not_begin() -> None:
    """Beside the limit: a body of 32 MB at 64 kB a second takes over 8 minutes, its class allows 2 s."""
    owner, upload = TimerOwner(), SlowUpload()
    exchange = RecordedExchange(owner, upload)
    deadline = UploadDeadline(exchange, upload)  # type: ignore[arg-type]
    upload.unfinished_until = 500 * SECOND_US
    for now in range(2 * SECOND_US, 500 * SECOND_US, 2 * SECOND_US):
        owner.fire(deadline, now)
        assert owner.timers.pop() == now + 2 * SECOND_US
    owner.fire(deadline, 501 * SECOND_US)
    assert owner.timers == [502 * SECOND_US] and not exchange.ended
    owner.fire(deadline, 502 * SECOND_US)
    assert exchange.ended == [502 * SECOND_US]


def test_an_upload_ends_with_the_process_whatever_time_its_client_has() -> None:
    owner, upload = TimerOwner(), SlowUpload()
    exchange = RecordedExchange(owner, upload)
    upload.unfinished_until = 500 * SECOND_US
    owner.shutdown_at = 11 * SECOND_US
    owner.fire(UploadDeadline(exchange, upload), 10 * SECOND_US)  # type: ignore[arg-type]
    assert owner.timers == [11 * SECOND_US]


def test_what_the_buffers_show_of_the_last_byte(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(body_arrival, "max_send_buffer", lambda: 1000)
    near, far = connected_sockets()
    arrival = BodyArrival(near, 1)
    # More is missing than the client's buffer can hold: it has not written the last byte yet.
    arrival.examine_buffers(5, 1001)
    assert arrival.unfinished_at == 5
    arrival.examine_buffers(6, 1000)
    assert arrival.unfinished_at == 5
    # What waits unread is not missing.
    far.sendall(bytes(500))
    near.recv(500, socket.MSG_PEEK | socket.MSG_WAITALL)
    arrival.examine_buffers(7, 1500)
    assert arrival.unfinished_at == 5
    # Without a length: more has arrived since 1 than the client's buffer held then.
    arrival.add_read(8, 8, 700)
    arrival.examine_buffers(9, None)
    assert arrival.unfinished_at == 5 and arrival.mark_at == 9
    arrival.add_read(10, 10, 600)
    arrival.examine_buffers(11, None)
    assert (arrival.unfinished_at, arrival.mark_at) == (5, 9)
    arrival.add_read(12, 12, 500)
    arrival.examine_buffers(13, None)
    assert (arrival.unfinished_at, arrival.mark_at) == (9, 13)
    # Bytes that came while they were waited for were written then; others may have been since long before.
    arrival.add_read(20, 25, 10)
    assert arrival.last_byte_at == 25
    arrival.add_read(30, 30, 10)
    assert arrival.last_byte_at == 9


def test_the_deadline_of_a_body_that_is_waited_for_is_not_in_sight(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    client_sock, client = rig.connect()
    start_thread(client.run)
    headers = [("Host", "api"), ("X-Qos", "once"), ("X-Trace-Id", "waits")]
    client_sock.sendall(writing.request("POST", "/api", headers, b"", 200_000) + bytes(100_000))
    wait_until(lambda: client.upload is not None and client.upload.parser.remaining == 100_000)
    wait_until(lambda: client.sending_rate.waiting_since)
    now = clock.now()
    assert client.upload.unfinished_since(now) == now
    client_sock.close()
