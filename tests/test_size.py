"""What is longer than memory: answers and bodies that go through as they come, with slow peers."""

import hashlib
import json
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
from pumicepath.sidecar import upload

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
    """A sidecar among servers of the test's own; what they note stands in its lines."""
    around = Deployment(folder, 0)
    around.servers = list(peers)
    around.configuration["known"] = around.list_document(1, True, "active")
    around.config_path.write_text(json.dumps(around.configuration))
    for peer in peers:
        peer.transcript = around.transcript
    return around


def digest(data: bytes) -> str:
    return f"{len(data)} bytes {hashlib.sha256(data).hexdigest()[:12]}"


def read_all(sock: socket.socket, parser: ResponseParser, pause: float = 0.0) -> str:
    """The answer, read slowly if asked to; says whether its end came."""
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


def test_long_answers_go_through_as_they_come_in_all_forms(tmp_path: Path) -> None:
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
    with Deployment(tmp_path, 2).running() as around:
        for name, script in steps.items():
            for step in script:
                around.script.put(step)
            with socket.create_connection(around.address) as sock:
                around.send("once", method="GET", sock=sock)
                around.transcript.append(f"-- {name}: {read_all(sock, ResponseParser(9_000_000))}")
        around.script.put((head + b"Connection: close\r\n\r\n" + LONG_BODY, "end"))
        with socket.create_connection(around.address) as sock:
            sock.sendall(b"GET /api HTTP/1.0\r\nX-Trace-Id: old\r\nX-Qos: once\r\n\r\n")
            around.transcript.append(f"-- to HTTP/1.0: {read_all(sock, ResponseParser(9_000_000))}")
    check_trace("long_answers", [line for line in around.transcript if line.startswith("--")])


def test_what_the_server_still_gives_is_not_cut_when_patience_ends(tmp_path: Path) -> None:
    going = threading.Event()

    class Halting(ScriptedServer):
        def serve(self, sock: socket.socket) -> None:
            with sock:
                sock.recv(9999)
                data, first = http_response(200, "x" * 3_000_000), not self.transcript
                self.transcript.append("met")
                self.received_requests.release()
                if first:
                    sock.sendall(data[:2_000_000])
                going.wait(10)
                sock.sendall(data[2_000_000:])

    around = deployment_of(tmp_path, Halting("h", queue.SimpleQueue(), []))
    with around.running(), socket.create_connection(around.address) as sock:
        around.send("read", expires_in_ms=400, method="GET", sock=sock)
        assert sock.recv(99).startswith(b"HTTP/1.1 200")
        around.send(
            "read", expires_in_ms=500, method="GET"
        )  # as long as this takes, the other's patience is over
        around.receive()
        going.set()
        count = 0
        while count < 2_999_000 and (got := len(sock.recv(65536))):
            count += got
        assert count >= 2_999_000


class BodyEcho(ScriptedServer):
    """Reads bodies slowly, and answers with what it got."""

    def serve(self, sock: socket.socket) -> None:
        parser = RequestParser(9_000_000)
        with sock:
            while (request := read_message(sock, parser)) is not None:
                self.transcript.append(f"{request.header('X-Trace-Id')}: {digest(request.body)}")
                self.received_requests.release()
                sock.sendall(http_response(200, digest(request.body)))


def test_long_bodies_go_through_in_all_forms_and_the_connection_is_kept(tmp_path: Path) -> None:
    around = deployment_of(tmp_path, BodyEcho("r", queue.SimpleQueue(), []))
    headers = [("Host", "api"), ("X-Qos", "once"), ("X-Expires-In-Ms", "2000")]

    def send(name: str, *more: tuple[str, str], body: bytes, length: int) -> None:
        named = [*headers, ("X-Trace-Id", name), *more]
        head = writing.request("POST", "http://api/up?x", named, b"", length)
        around.client_socket.sendall(head)
        if more:
            assert around.client_socket.recv(99).startswith(b"HTTP/1.1 100")
        for at in range(0, len(body), 300_000):
            around.client_socket.sendall(body[at : at + 300_000])
        around.receive()

    with around.running():
        send("length", body=LONG_BODY, length=len(LONG_BODY))
        send("chunks", body=chunked(LONG_BODY, 99_999), length=writing.CHUNKED)
        send("awaited", ("Expect", "100-continue"), body=LONG_BODY, length=len(LONG_BODY))
        send("short", body=b"lot", length=3)
        begun = writing.request("POST", "/up", [*headers, ("X-Trace-Id", "cut")], b"", len(LONG_BODY))
        with socket.create_connection(around.address) as sock:
            sock.sendall(begun + LONG_BODY[:900_000])
        around.client_socket.sendall(
            begun.replace(b"cut", b"odd").replace(b"X-Qos: once", b"X-Qos: gold") + LONG_BODY
        )
        around.receive()
        send("after", body=b"", length=writing.COMPLETE)
    check_trace("long_bodies", around.transcript)


def test_a_server_that_breaks_off_in_a_body_never_ran_it_and_its_client_is_told(tmp_path: Path) -> None:
    class Breaking(ScriptedServer):
        def serve(self, sock: socket.socket) -> None:
            sock.recv(100_000)
            sock.close()

    around = deployment_of(tmp_path, *(Breaking(f"b-{at}", queue.SimpleQueue(), []) for at in range(2)))
    with around.running():
        headers = [("Host", "a"), ("X-Qos", "once"), ("X-Trace-Id", "1")]
        head = writing.request("POST", "/up", headers, b"", len(LONG_BODY))
        around.client_socket.sendall(head + LONG_BODY)
        assert around.receive().header("Retry-After")
    check_trace("broken_body", around.transcript)


def test_more_at_once_than_memory_holds_with_slow_readers(tmp_path: Path) -> None:
    around = Deployment(tmp_path, 2, limits={"memory_mb": 48, "sockets": 256})
    got: list[str] = []

    def client(name: str) -> None:
        with socket.create_connection(around.address) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            sock.sendall(
                writing.request(
                    "GET",
                    "/api",
                    [("Host", "api"), ("X-Trace-Id", name), ("X-Qos", "read"), ("X-Expires-In-Ms", "900")],
                )
            )
            got.append(read_all(sock, ResponseParser(9_000_000), 0.05))

    with around.running():
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for _ in range(20):
            around.script.put(head + chunked(LONG_BODY, 500_000))
        threads = [threading.Thread(target=client, args=(f"c{at}",), daemon=True) for at in range(20)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        status = Path(f"/proc/{around.process.pid}/status").read_text()
        peak = next(int(line.split()[1]) // 1024 for line in status.splitlines() if line.startswith("VmHWM"))
    assert got == [f"200 {digest(LONG_BODY)}"] * 20
    assert peak < 48, f"{peak} MB for 120 MB under way"


def test_slow_clients_are_waited_for_at_the_lowest_rate_and_no_longer() -> None:
    class Sender:
        broken = False
        sock, far = socket.socketpair()

        def leave(self) -> None: ...

    parser = RequestParser(upload.MAX_UPLOAD_US)
    parser.feed(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n")
    assert parser.next() is None and parser.is_long()
    body = upload.Upload(Sender(), parser)
    Sender.far.sendall(b"x" * 4_800)
    body.waited = upload.INITIAL_ALLOWANCE_US + 90_000  # of 100,000 that these bytes are worth
    body.read_more()
    assert body.bytes_read == 4_800
    Sender.far.sendall(b"x")
    body.waited = upload.INITIAL_ALLOWANCE_US + 101_000
    with pytest.raises(ConnectionAbortedError, match="too slow"):
        body.read_more()


def test_patience_and_the_hop_begin_with_the_last_byte_and_no_second_hop_has_the_body() -> None:
    bench = ScriptedHost(
        make_settings(
            RequestClass(600_000, 2_500_000, 3.0, 0.0, Effect.IDEMPOTENT, ONCE_CLASS.dedup_group, 0)
        ),
        [make_entry(1), make_entry(2)],
    )

    def taken(name: int) -> Submission:
        balancer, until = bench.balancer, bench.now + 900 * SECOND
        return balancer.submit_with(bench.now, name, balancer.class_states[0], 1, False, until, True)

    bench.note("a body comes for 20 s, and nothing is held against the server meanwhile")
    one = taken(1)
    bench.advance_to(20)
    one.body_discarded = True
    one.body_complete(bench.now, 0, bench.now + 2 * SECOND)
    bench.advance_to(20.3).finish_hop(one, Outcome.OK)
    bench.note("a refused connection before a piece was let go: another hop")
    two = taken(2)
    bench.finish_hop(two, Outcome.CONNECT_FAILED)
    bench.note("a break after that: none, and the client is told that it may try again")
    two.body_discarded = True
    bench.finish_hop(two, Outcome.CONNECT_FAILED)
    bench.note("after the last byte the server is judged as ever, and nothing goes again")
    three = taken(3)
    bench.advance_to(21)
    three.body_discarded = True
    three.body_complete(bench.now, 0, bench.now + 2 * SECOND)
    bench.advance_to(22).finish_hop(three, Outcome.RESET)
    check_host_trace("body_coming", bench)


@pytest.mark.parametrize(
    ("target", "head", "becomes"),
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
def test_forms_that_hide_or_never_end_are_refused_and_absolute_targets_become_plain(
    target: str, head: str, becomes: str | None
) -> None:
    parser = RequestParser(40 << 20)
    parser.feed(f"POST {target} HTTP/1.1\r\nHost: a\r\n{head}\r\n\r\n".encode())
    if becomes is None:
        with pytest.raises(MalformedMessageError):
            parser.next()
    else:
        assert parser.next().target == becomes
