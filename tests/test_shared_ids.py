"""An id is in use in all processes of a hot restart, for as long as its request is open in one of them."""

from __future__ import annotations

import queue
import signal
import socket
import subprocess
import threading
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import pytest

from pumicepath.discovery.server_list import Address
from pumicepath.http1 import writing
from pumicepath.http1.messages import Request
from pumicepath.http1.parsing import RequestParser, ResponseParser
from pumicepath.lab.loopback.scripted import ScriptedServer, http_response, read_message
from pumicepath.sidecar import clock
from pumicepath.sidecar.handover import request_handover
from pumicepath.sidecar.hot_restart import HotRestart
from pumicepath.sidecar.id_registry import IdRegistry
from pumicepath.sidecar.id_sharing import IdUpdate, encode_update

from .rig import Rig, paused, read_status, stop_process, wait_until
from .test_hot_restart import restartable_deployment, start_replacement

DEADLINE_S = 0.3  # the longest of the deployment: for so long an id is held at a time
LONG_BYTES = 200_000
LONG_BODY_BYTES = 8_000_000
SLOW_PIECE_BYTES = 8000  # every PAUSE_S: three times the least rate
PAUSE_S = 0.05  # between bytes of an answer: without any for seconds it would be broken off
SEVERAL_HOLDS_S = 5 * DEADLINE_S
# Answers to requests that were taken, the second where DEADLINE_S was too short for a busy machine, and to
# those for which the other process was asked, and did not answer in that time.
TAKEN = (200, 502)
LATE = 503


class HalfAnswerServer(ScriptedServer):
    """Records the ids of requests that have begun or come whole; answers those for /long with a long body.

    The second half of that comes slowly, and all of its rest once `goes_on` is set.
    """

    goes_on: threading.Event
    begun: set[str]

    def serve(self, sock: socket.socket) -> None:
        parser = RequestParser(2 * LONG_BODY_BYTES)
        with sock, suppress(OSError):
            while (request := self.read_request(sock, parser)) is not None:
                self.transcript.append(request.header("X-Trace-Id"))
                answer = http_response(200, "x" * LONG_BYTES if request.target == "/long" else "short")
                sock.sendall(answer[: LONG_BYTES // 2])
                sent = LONG_BYTES // 2
                while request.target == "/long" and not self.goes_on.wait(PAUSE_S):
                    sock.sendall(answer[sent : sent + 1])
                    sent += 1
                sock.sendall(answer[sent:])

    def read_request(self, sock: socket.socket, parser: RequestParser) -> Request | None:
        while (request := parser.next()) is None:
            if (incoming := parser.incoming()) is not None:
                self.begun.add(incoming[0].header("X-Trace-Id"))
            if not (data := sock.recv(65536)):
                return None
            parser.feed(data)
        assert isinstance(request, Request)
        return request


class SharedIdsRig:
    """Processes of one sidecar, and requests that are open at one of them."""

    def __init__(self, folder: Path, deadline_s: float = DEADLINE_S) -> None:
        self.deployment = restartable_deployment(folder, 0)
        self.runs: list[str] = []
        self.goes_on = threading.Event()
        self.served = 0
        server = HalfAnswerServer("s-0", queue.SimpleQueue(), self.runs)
        server.goes_on, server.begun = self.goes_on, set()
        self.server = server
        self.deployment.servers = [server]
        self.deployment.configuration["known"] = self.deployment.list_document(1, True, "active")
        for request_class in self.deployment.configuration["settings"]["tariffs"]:
            request_class.update(patienceS=deadline_s, agreedTimeS=deadline_s / 2)
        self.deployment.write_configuration()

    def replace(self) -> subprocess.Popen:
        """Start a new process, and return the old one."""
        old, _ = start_replacement(self.deployment)
        return old

    def connect_to_newest(self) -> socket.socket:
        """Connect to the newest process; the one before may still accept connections for a moment."""
        while True:
            sock, before = self.connect(), self.deployment.metrics()["edge_gw.answered.once"]
            self.served += 1
            assert self.ask(f"served {self.served}", sock) == 200
            if self.deployment.metrics()["edge_gw.answered.once"] > before:
                return sock
            sock.close()

    def connect(self) -> socket.socket:
        """Connect to one of the processes that accept clients."""
        return socket.create_connection(self.deployment.address)

    def ask(self, trace_id: str, sock: socket.socket | None = None) -> int:
        """Send a short request with this id, on a new connection unless one is given; return its status."""
        with sock.dup() if sock is not None else self.connect() as used:
            used.sendall(writing.request("POST", "/short", headers(trace_id), b""))
            return read_status(used)

    def open_answer(self, trace_id: str, sock: socket.socket) -> Callable[[], bool]:
        """Send a request whose answer is long and stops half-way; the result ends it, whether it is whole."""
        sock.sendall(writing.request("POST", "/long", headers(trace_id), b""))
        assert sock.recv(1, socket.MSG_PEEK)

        def finish() -> bool:
            self.goes_on.set()
            answer = read_message(sock, ResponseParser(1 << 20))
            return answer is not None and len(answer.body) == LONG_BYTES

        return finish

    def open_body(self, trace_id: str, sock: socket.socket) -> Callable[[], bool]:
        """Send a request whose long body comes slowly; the result ends it, whether it was served.

        It comes at more than the least rate, as one that stops is given up after 2.4 s, and its id freed.
        """
        sock.sendall(writing.request("POST", "/short", headers(trace_id), b"", LONG_BODY_BYTES))
        is_ending = threading.Event()
        written = 0

        def write_slowly() -> None:
            nonlocal written
            while not is_ending.wait(PAUSE_S):
                sock.sendall(bytes(SLOW_PIECE_BYTES))
                written += SLOW_PIECE_BYTES

        writer = threading.Thread(target=write_slowly, daemon=True)
        writer.start()
        wait_until(lambda: trace_id in self.server.begun)

        def finish() -> bool:
            is_ending.set()
            writer.join()
            sock.sendall(bytes(LONG_BODY_BYTES - written))
            return read_status(sock) == 200

        return finish

    def check_refused(self, trace_id: str, sock: socket.socket | None = None) -> None:
        """Check that an id is refused for longer than any process holds it at a time."""
        end = time.monotonic() + SEVERAL_HOLDS_S
        while time.monotonic() < end:
            assert self.ask_again(trace_id, sock) == 409

    def ask_again(self, trace_id: str, sock: socket.socket | None = None) -> int:
        """Send a request with this id, after one that is taken, which keeps the connection open."""
        status = 0
        while status not in TAKEN:
            self.served += 1
            status = self.ask(f"served {self.served}", sock)
            assert status in (*TAKEN, LATE)
        return self.ask(trace_id, sock)

    def is_free(self, trace_id: str, sock: socket.socket | None = None) -> bool:
        """Whether a request with this id is taken."""
        status = self.ask_again(trace_id, sock)
        assert status in (*TAKEN, LATE, 409)
        return status in TAKEN

    def check_runs(self, trace_id: str, count: int) -> None:
        """Check how often a request has run."""
        assert Counter(self.runs)[trace_id] == count, self.runs


def headers(trace_id: str) -> list[tuple[str, str]]:
    return [("Host", "api"), ("X-Trace-Id", trace_id), ("X-Qos", "once")]


def kill(process: subprocess.Popen) -> None:
    process.kill()
    process.wait()


# A reserve ran twice: the new process freed its id, of which it knew the time at the hand-over (review/6).
@pytest.mark.parametrize("what", ["answer", "body"])
@pytest.mark.parametrize("opened", ["before", "during"])
def test_an_id_open_at_the_old_process_stays_refused_at_the_new_one(
    opened: str, what: str, tmp_path: Path
) -> None:
    rig = SharedIdsRig(tmp_path)
    start = rig.open_answer if what == "answer" else rig.open_body
    with rig.deployment.running() as deployment:
        kept = deployment.client_socket
        assert rig.ask("kept", kept) == 200
        if opened == "before":
            finish = start("open", kept)
        old = rig.replace()
        if opened == "during":
            finish = start("open", kept)
        rig.check_refused("open")
        assert finish()
        rig.check_runs("open", 1)
        wait_until(lambda: rig.is_free("open"))  # free again
        kill(old)


# The same the other way round: the old process forgot ids of the new one, which its own clients used again.
@pytest.mark.parametrize("what", ["answer", "body"])
def test_an_id_open_at_the_new_process_stays_refused_at_the_old_one(what: str, tmp_path: Path) -> None:
    rig = SharedIdsRig(tmp_path)
    with rig.deployment.running() as deployment:
        kept = deployment.client_socket
        assert rig.ask("kept", kept) == 200
        old = rig.replace()
        finish = (rig.open_answer if what == "answer" else rig.open_body)("open", rig.connect_to_newest())
        rig.check_refused("open", kept)
        assert finish()
        rig.check_runs("open", 1)
        wait_until(lambda: rig.is_free("open", kept))
        kill(old)


# An id that had been open for long was not handed over at all if no request had come meanwhile.
def test_an_id_open_for_long_without_other_requests_is_handed_over(tmp_path: Path) -> None:
    rig = SharedIdsRig(tmp_path)
    with rig.deployment.running() as deployment:
        finish = rig.open_answer("open", deployment.client_socket)
        opened_at = time.monotonic()
        wait_until(lambda: time.monotonic() - opened_at > SEVERAL_HOLDS_S)
        old = rig.replace()
        rig.check_refused("open")
        assert finish()
        kill(old)


# A third process knew nothing of the first one's requests, nor the first one of the third's.
def test_ids_are_told_past_a_process_that_is_replaced_itself(tmp_path: Path) -> None:
    rig = SharedIdsRig(tmp_path)
    with rig.deployment.running() as deployment:
        of_first = [deployment.client_socket, rig.connect()]
        assert [rig.ask(f"kept {at}", sock) for at, sock in enumerate(of_first)] == [200, 200]
        finish = rig.open_answer("first", of_first[0])
        first = rig.replace()
        second = rig.replace()
        finish_third = rig.open_answer("third", rig.connect_to_newest())
        rig.check_refused("first")
        rig.check_refused("third", of_first[1])
        second.send_signal(signal.SIGTERM)
        assert second.wait(timeout=20) == 0
        rig.check_runs("first", 1)
        rig.check_runs("third", 1)
        assert finish() and finish_third()
        wait_until(lambda: rig.is_free("first"))
        kill(first)


# Ids that were never freed would fill the memory; freed too early, their requests could run twice.
def test_ids_of_a_process_that_was_killed_are_freed_after_one_hold(tmp_path: Path) -> None:
    rig = SharedIdsRig(tmp_path)
    with rig.deployment.running() as deployment:
        rig.open_answer("open", deployment.client_socket)
        old = rig.replace()
        sock = rig.connect_to_newest()
        rig.check_refused("open", sock)
        killed_at = time.monotonic()
        kill(old)
        wait_until(lambda: rig.is_free("open", sock))
        assert time.monotonic() - killed_at >= DEADLINE_S


def test_ids_of_a_process_that_is_stopped_stay_refused(tmp_path: Path) -> None:
    """It can tell nothing then, and goes on with its requests later."""
    rig = SharedIdsRig(tmp_path)
    with rig.deployment.running() as deployment:
        finish = rig.open_answer("open", deployment.client_socket)
        old = rig.replace()
        sock = rig.connect_to_newest()
        stop_process(old)
        rig.check_refused("open", sock)
        old.send_signal(signal.SIGCONT)
        assert finish()
        wait_until(lambda: rig.is_free("open", sock))
        kill(old)


def test_ids_of_a_process_that_drains_stay_refused_until_it_ends(tmp_path: Path) -> None:
    rig = SharedIdsRig(tmp_path)
    with rig.deployment.running() as deployment:
        rig.open_answer("open", deployment.client_socket)
        old = rig.replace()
        sock = rig.connect_to_newest()
        old.send_signal(signal.SIGTERM)
        while old.poll() is None:
            assert rig.ask_again("open", sock) == 409
        wait_until(lambda: rig.is_free("open", sock))


# What the old process told between the hand-over and the first client was read only after that client.
def test_what_was_told_since_the_handover_is_applied_before_clients_are_accepted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    (tmp_path / "old").mkdir()
    (tmp_path / "new").mkdir()
    old_rig, new_rig = Rig(tmp_path / "old"), Rig(tmp_path / "new")
    listen = Address(*old_rig.clients.listener.getsockname())
    old = HotRestart(old_rig.dispatcher, old_rig.clients, dict, listen)
    old.open_socket()
    new = HotRestart(new_rig.dispatcher, new_rig.clients, dict, listen)
    handover = request_handover(listen, new.process)
    assert handover is not None
    with paused(monkeypatch, IdRegistry, "hold") as (reached, resume):
        threading.Thread(target=new.follow, args=(handover,), daemon=True).start()
        resume.release()  # what was handed over
        update = IdUpdate(old.process, [("open", clock.now() + 1_000_000)], [])
        old.broadcast(encode_update(update))
        assert reached.acquire(timeout=20) and reached.acquire(timeout=20)
        catching_up = threading.Thread(target=new.take_over, args=(handover.channel,), daemon=True)
        catching_up.start()
        wait_until(lambda: handover.channel.last_sent)
        resume.release()
        catching_up.join(20)
        assert "open" in new_rig.dispatcher.ids.trace_ids.held
