"""Streaming of requests and responses that are larger than the memory limit, also with slow peers."""

import hashlib
import queue
import random
import socket
import threading
import time
from pathlib import Path

import pytest

from pumicepath.balancer import Submission
from pumicepath.http1 import writing
from pumicepath.http1.messages import MalformedMessageError
from pumicepath.http1.parsing import RequestParser, ResponseParser
from pumicepath.interface import Effect, Outcome, RequestClass
from pumicepath.lab.loopback.scripted import Deployment, ScriptedServer, http_response, read_message
from pumicepath.sidecar import clock, upload
from pumicepath.sidecar.bulkhead import BulkheadEntry, Bulkheads
from pumicepath.sidecar.exchange import UploadError
from pumicepath.sidecar.memory_account import MemoryAccount, MemoryKind, Reservation
from pumicepath.sidecar.sending_rate import MAX_WAITING_US, SendingRate

from .helpers import (
    ONCE_CLASS,
    SECOND,
    ScriptedHost,
    check_host_trace,
    check_trace,
    make_entry,
    make_settings,
)

LONG_BODY = random.Random(5).randbytes(6_000_000)


def chunked(data: bytes, size: int, ending: bytes = b"0\r\n\r\n") -> bytes:
    parts = [data[at : at + size] for at in range(0, len(data), size)]
    return b"".join(b"%x;note=1\r\n%b\r\n" % (len(part), part) for part in parts) + ending


def deployment_of(folder: Path, *peers: ScriptedServer) -> Deployment:
    """A deployment whose servers are these peers; they write to the deployment's lines."""
    deployment = Deployment(folder, 0)
    deployment.servers = list(peers)
    deployment.configuration["known"] = deployment.list_document(1, True, "active")
    deployment.write_configuration()
    for peer in peers:
        peer.transcript = deployment.transcript
    return deployment


def digest(data: bytes) -> str:
    return f"{len(data)} bytes {hashlib.sha256(data).hexdigest()[:12]}"


def read_all(sock: socket.socket, parser: ResponseParser, pause: float = 0.0) -> str:
    """Read a response, with a pause after each receive; describe it, or how it ended if incomplete."""
    while (message := parser.next()) is None:
        try:
            data = sock.recv(200_000 if pause else 65536)
        except OSError:
            return "reset"
        time.sleep(pause)
        for at in range(0, len(data), 65536):
            parser.feed(data[at : at + 65536])
            if (message := parser.next()) is not None:
                return f"{message.status} {digest(message.body)}"
        if not data:
            parser.end_input()
            message = parser.next()
            return f"{message.status} {digest(message.body)} at close" if message else "its end is missing"
    return f"{message.status} {digest(message.body)}"


def test_large_responses_are_streamed_in_all_framings(tmp_path: Path) -> None:
    head = b"HTTP/1.1 200 OK\r\n"
    steps = {
        "with a length": [http_response(200, "x" * 3_000_000)],
        "in chunks, with extensions and trailers": [
            b"HTTP/1.1 100 Continue\r\n\r\n"
            + head
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + chunked(LONG_BODY, 70_001, b"0\r\nX-Sum: 1\r\n\r\n")
        ],
        "until the connection ends": [(head + b"Connection: close\r\n\r\n" + LONG_BODY, "end")],
        "broken off": [(http_response(200, "x" * 3_000_000)[:-9], "end")],
        "of an error": [
            (b"HTTP/1.1 500 No\r\nContent-Length: 3000000\r\n\r\n" + LONG_BODY[:3_000_000], "end")
        ],
        "of more than any may have": [(head + b"Content-Length: 99999999\r\n\r\nabc", "wait")],
    }
    with Deployment(tmp_path, 2).running() as deployment:
        for name, script in steps.items():
            for step in script:
                deployment.script.put(step)
            with socket.create_connection(deployment.address) as sock:
                deployment.send("once", method="GET", sock=sock)
                deployment.transcript.append(f"-- {name}: {read_all(sock, ResponseParser(9_000_000))}")
        deployment.script.put((head + b"Connection: close\r\n\r\n" + LONG_BODY, "end"))
        with socket.create_connection(deployment.address) as sock:
            sock.sendall(b"GET /api HTTP/1.0\r\nX-Trace-Id: old\r\nX-Qos: once\r\n\r\n")
            deployment.transcript.append(f"-- to HTTP/1.0: {read_all(sock, ResponseParser(9_000_000))}")
    check_trace("long_answers", [line for line in deployment.transcript if line.startswith("--")])


def test_response_in_progress_is_not_cut_off_at_the_deadline(tmp_path: Path) -> None:
    resume = threading.Event()

    class Pausing(ScriptedServer):
        def serve(self, sock: socket.socket) -> None:
            with sock:
                sock.recv(9999)
                data, first = http_response(200, "x" * 3_000_000), not self.transcript
                self.transcript.append("met")
                self.received_requests.release()
                if first:
                    sock.sendall(data[:2_000_000])
                resume.wait(10)
                sock.sendall(data[2_000_000:])

    deployment = deployment_of(tmp_path, Pausing("h", queue.SimpleQueue(), []))
    with deployment.running(), socket.create_connection(deployment.address) as sock:
        deployment.send("read", expires_in_ms=400, method="GET", sock=sock)
        assert sock.recv(99).startswith(b"HTTP/1.1 200")
        # By the end of this one, the deadline of the other has passed.
        deployment.send("read", expires_in_ms=500, method="GET")
        deployment.receive()
        resume.set()
        count = 0
        while count < 2_999_000 and (got := len(sock.recv(65536))):
            count += got
        assert count >= 2_999_000


class BodyEcho(ScriptedServer):
    """Reads whole request bodies and answers with the length and hash of each."""

    def serve(self, sock: socket.socket) -> None:
        parser = RequestParser(9_000_000)
        with sock:
            while (request := read_message(sock, parser)) is not None:
                self.transcript.append(f"{request.header('X-Trace-Id')}: {digest(request.body)}")
                self.received_requests.release()
                sock.sendall(http_response(200, digest(request.body)))


def read_head(sock: socket.socket) -> bytes:
    """Read a head, and nothing of what follows it."""
    head = b""
    while not head.endswith(b"\r\n\r\n") and (byte := sock.recv(1)):
        head += byte
    return head


def test_large_bodies_are_streamed_in_all_framings_and_the_connection_is_kept(tmp_path: Path) -> None:
    deployment = deployment_of(tmp_path, BodyEcho("r", queue.SimpleQueue(), []))
    headers = [("Host", "api"), ("X-Qos", "once"), ("X-Expires-In-Ms", "2000")]

    def send(name: str, *more: tuple[str, str], body: bytes, length: int) -> None:
        all_headers = [*headers, ("X-Trace-Id", name), *more]
        head = writing.request("POST", "http://api/up?x", all_headers, b"", length)
        deployment.client_socket.sendall(head)
        if more:
            assert read_head(deployment.client_socket).startswith(b"HTTP/1.1 100")
        for at in range(0, len(body), 300_000):
            deployment.client_socket.sendall(body[at : at + 300_000])
        deployment.receive()

    with deployment.running():
        send("length", body=LONG_BODY, length=len(LONG_BODY))
        send("chunks", body=chunked(LONG_BODY, 99_999), length=writing.CHUNKED)
        send("awaited", ("Expect", "100-continue"), body=LONG_BODY, length=len(LONG_BODY))
        send("short", body=b"lot", length=3)
        partial_head = writing.request("POST", "/up", [*headers, ("X-Trace-Id", "cut")], b"", len(LONG_BODY))
        with socket.create_connection(deployment.address) as sock:
            sock.sendall(partial_head + LONG_BODY[:900_000])
        deployment.client_socket.sendall(
            partial_head.replace(b"cut", b"odd").replace(b"X-Qos: once", b"X-Qos: gold") + LONG_BODY
        )
        deployment.receive()
        send("after", body=b"", length=writing.COMPLETE)
    check_trace("long_bodies", deployment.transcript)


def test_body_cut_off_by_the_server_never_ran_and_the_client_may_retry(tmp_path: Path) -> None:
    class Breaking(ScriptedServer):
        def serve(self, sock: socket.socket) -> None:
            sock.recv(100_000)
            sock.close()

    deployment = deployment_of(tmp_path, *(Breaking(f"b-{at}", queue.SimpleQueue(), []) for at in range(2)))
    with deployment.running():
        headers = [("Host", "a"), ("X-Qos", "once"), ("X-Trace-Id", "1")]
        head = writing.request("POST", "/up", headers, b"", len(LONG_BODY))
        deployment.client_socket.sendall(head + LONG_BODY)
        assert deployment.receive().header("Retry-After")
    check_trace("broken_body", deployment.transcript)


def test_memory_stays_bounded_with_many_large_responses_and_slow_readers(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 2, limits={"memory_mb": 48, "sockets": 256})
    responses: list[str] = []

    def client(name: str) -> None:
        with socket.create_connection(deployment.address) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            sock.sendall(
                writing.request(
                    "GET",
                    "/api",
                    [("Host", "api"), ("X-Trace-Id", name), ("X-Qos", "read"), ("X-Expires-In-Ms", "900")],
                )
            )
            responses.append(read_all(sock, ResponseParser(9_000_000), 0.05))

    with deployment.running():
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for _ in range(20):
            deployment.script.put(head + chunked(LONG_BODY, 500_000))
        threads = [threading.Thread(target=client, args=(f"c{at}",), daemon=True) for at in range(20)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        status = Path(f"/proc/{deployment.process.pid}/status").read_text()
        peak = next(int(line.split()[1]) // 1024 for line in status.splitlines() if line.startswith("VmHWM"))
    assert responses == [f"200 {digest(LONG_BODY)}"] * 20
    assert peak < 48, f"{peak} MB for 120 MB under way"


@pytest.mark.usefixtures("still_clock")
def test_uploads_slower_than_the_minimum_rate_are_aborted() -> None:
    class Sender:
        evicted = False
        sending_rate = SendingRate(clock.now())
        memory = Reservation(MemoryAccount(1 << 20), MemoryKind.REQUESTS)
        transfers = BulkheadEntry(Bulkheads().transfers)
        sock, far = socket.socketpair()

        def release_slot(self) -> None: ...

    parser = RequestParser(upload.MAX_UPLOAD_US)
    parser.feed(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n")
    assert parser.next() is None and parser.is_long()
    body = upload.Upload(Sender(), parser)
    Sender.far.sendall(b"x" * 4_800)
    Sender.sending_rate.waited = MAX_WAITING_US + 90_000  # these bytes are worth 100,000 us
    body.read_more()
    assert body.arrival.bytes_read == 4_800 and Sender.sending_rate.waited < MAX_WAITING_US
    Sender.far.sendall(b"x")
    Sender.sending_rate.waited = MAX_WAITING_US + 1_000
    with pytest.raises(UploadError) as raised:
        body.read_more()
    assert raised.value.failure.status == 408


def test_deadline_and_hop_time_start_with_the_last_byte_and_a_sent_body_is_not_retried() -> None:
    bench = ScriptedHost(
        make_settings(
            RequestClass(600_000, 2_500_000, 3.0, 0.0, Effect.IDEMPOTENT, ONCE_CLASS.dedup_group, 0)
        ),
        [make_entry(1), make_entry(2)],
    )

    def upload_started(name: int) -> Submission:
        balancer, deadline_at = bench.balancer, bench.now + 900 * SECOND
        return balancer.submit_with(bench.now, name, balancer.class_states[0], 1, False, deadline_at, True)

    bench.note("a body comes for 20 s, and nothing is held against the server meanwhile")
    one = upload_started(1)
    bench.advance_to(20)
    one.body_discarded = True
    one.body_complete(bench.now, 0, bench.now + 2 * SECOND)
    bench.advance_to(20.3).finish_hop(one, Outcome.OK)
    bench.note("a refused connection before a piece was let go: another hop")
    two = upload_started(2)
    bench.finish_hop(two, Outcome.CONNECT_FAILED)
    bench.note("a break after that: none, and the client is told that it may try again")
    two.body_discarded = True
    bench.finish_hop(two, Outcome.CONNECT_FAILED)
    bench.note("after the last byte the server is judged as ever, and nothing goes again")
    three = upload_started(3)
    bench.advance_to(21)
    three.body_discarded = True
    three.body_complete(bench.now, 0, bench.now + 2 * SECOND)
    bench.advance_to(22).finish_hop(three, Outcome.RESET)
    check_host_trace("body_coming", bench)


@pytest.mark.parametrize(
    ("target", "head", "expected"),
    [
        ("/a", "Content-Length: 5\r\nContent-Length: 6", None),
        ("/a", "Content-Length: +5", None),
        ("/a", "Content-Length: 5\r\nTransfer-Encoding: chunked", None),
        ("/a", "Transfer-Encoding: gzip", None),
        ("/a", "Transfer-Encoding: chunked, chunked", None),
        ("/a", "Content-Length: 60000000", None),
        ("/a", "Transfer-Encoding: chunked\r\n\r\nfffffffff", None),
        ("HTTP://a:1/b/c?d=/e", "Accept: x", "/b/c?d=/e"),
        ("http://a", "Accept: x", "/"),
    ],
)
def test_ambiguous_or_oversized_bodies_are_rejected_and_absolute_targets_become_paths(
    target: str, head: str, expected: str | None
) -> None:
    parser = RequestParser(40 << 20)
    parser.feed(f"POST {target} HTTP/1.1\r\nHost: a\r\n{head}\r\n\r\n".encode())
    if expected is None:
        with pytest.raises(MalformedMessageError):
            parser.next()
    else:
        assert parser.next().target == expected
