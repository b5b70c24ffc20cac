"""An id that reaches both processes of a hot restart before they have told each other of it runs once."""

from __future__ import annotations

import json
import queue
import signal
import socket
import subprocess
import threading
import time
from pathlib import Path

import pytest

from pumicepath.http1 import writing
from pumicepath.http1.parsing import RequestParser
from pumicepath.lab.loopback.scripted import ScriptedServer, http_response, read_message
from pumicepath.sidecar import clock
from pumicepath.sidecar.id_grants import (
    Grant,
    IdAnswer,
    IdGrants,
    IdQuestion,
    decode_answer,
    decode_questions,
    encode_answer,
    encode_questions,
)
from pumicepath.sidecar.trace_ids import RemoteProcess, TraceIds

from .rig import read_status, stop_process, wait_until, waited_for_core_s
from .test_shared_ids import SharedIdsRig, headers, kill

CONNECTIONS = 12
ROUNDS = 25
DEADLINE_S = 2.0  # a busy machine must not decide
MAX_HOLD = 1000


class ContendedIdsRig(SharedIdsRig):
    """Processes of one sidecar, and connections to each, in the order in which they were started."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder, DEADLINE_S)
        self.connections: list[list[socket.socket]] = []

    def connect_all(self) -> None:
        """Connect to the newest process."""
        self.connections.append([self.connect_to_newest() for _ in range(CONNECTIONS)])

    def replace_connected(self) -> subprocess.Popen:
        """Connect to the process that serves, and to the one that replaces it then; returns the first."""
        if not self.connections:
            self.connect_all()
        old = self.replace()
        self.connect_all()
        return old

    def send(self, name: str, sockets: list[socket.socket]) -> None:
        """Send a request on each of the connections, the id of which depends on its position."""
        for at, sock in enumerate(sockets):
            sock.sendall(writing.request("POST", "/short", headers(f"{name} {at}"), b""))

    def check_run_once(self, name: str) -> None:
        """Read all answers, and check that each id ran once and was refused to all others that had it."""
        for at, sockets in enumerate(zip(*self.connections, strict=True)):
            answers = sorted(read_status(sock) for sock in sockets)
            assert answers == [200] + [409] * (len(sockets) - 1)
            self.check_runs(f"{name} {at}", 1)

    def keep_alive(self) -> None:
        """Have a request served on each connection, as several refusals in a row close it."""
        for sockets in self.connections:
            for sock in sockets:
                self.served += 1
                assert self.ask(f"served {self.served}", sock) == 200

    def ask_in_thread(self, trace_id: str, sock: socket.socket) -> list[int]:
        """Send a request; the status of its answer is added to the result once it comes."""
        statuses: list[int] = []
        sock.sendall(writing.request("POST", "/short", headers(trace_id), b""))
        threading.Thread(target=lambda: statuses.append(read_status(sock)), daemon=True).start()
        return statuses


# Each process told the other of its claim, and sent the request without an answer to that.
@pytest.mark.parametrize("processes", [2, 3])
def test_an_id_that_is_sent_to_all_processes_at_once_runs_once(processes: int, tmp_path: Path) -> None:
    rig = ContendedIdsRig(tmp_path)
    with rig.deployment.running():
        for _ in range(processes - 1):
            rig.replace_connected()
        for each in range(ROUNDS):
            senders = [
                threading.Thread(target=rig.send, args=(f"round {each}", sockets))
                for sockets in rig.connections
            ]
            for sender in senders:
                sender.start()
            for sender in senders:
                sender.join()
            rig.check_run_once(f"round {each}")
            rig.keep_alive()


# A process that was stopped goes on with what its clients have sent, beside what it is told of meanwhile.
@pytest.mark.parametrize("stopped", ["old", "new"])
def test_an_id_that_is_sent_to_both_processes_while_one_is_stopped_runs_once(
    stopped: str, tmp_path: Path
) -> None:
    rig = ContendedIdsRig(tmp_path)
    with rig.deployment.running():
        old = rig.replace_connected()
        process = old if stopped == "old" else rig.deployment.process
        for each in range(ROUNDS):
            stop_process(process)
            for sockets in rig.connections:
                rig.send(f"round {each}", sockets)
            process.send_signal(signal.SIGCONT)
            rig.check_run_once(f"round {each}")
            rig.keep_alive()


class HeldDiscovery(ScriptedServer):
    """Answers the first process that calls, and any other one once `may_answer` is set."""

    def __init__(self, document: dict) -> None:
        self.document = document
        self.callers = 0
        self.may_answer = threading.Event()
        super().__init__("discovery", queue.SimpleQueue(), [])

    def serve(self, sock: socket.socket) -> None:
        parser = RequestParser()
        self.callers += 1
        if self.callers > 1:
            self.may_answer.wait(20)
        while read_message(sock, parser) is not None:
            sock.sendall(http_response(200, json.dumps(self.document)))
            read_message(sock, parser)  # waits for a change that never comes


def replace_while_stopped(rig: ContendedIdsRig, discovery: HeldDiscovery) -> subprocess.Popen:
    """Start a new process, and stop the old one between its hand-over and its notice that it is replaced."""
    old = rig.deployment.process
    rig.deployment.process = rig.deployment.start_process()
    wait_until(lambda: discovery.callers == 2)  # the new process has the hand-over, and waits for its list
    stop_process(old)
    discovery.may_answer.set()
    rig.deployment.next_event("succeeding")
    return old


@pytest.fixture
def held_discovery(tmp_path: Path) -> tuple[ContendedIdsRig, HeldDiscovery]:
    rig = ContendedIdsRig(tmp_path)
    discovery = HeldDiscovery(rig.deployment.list_document(1, True, "active"))
    rig.deployment.configuration["discovery"] = discovery.address
    rig.deployment.configuration["settings"]["membershipMode"] = "pushed"
    rig.deployment.write_configuration()
    return rig, discovery


# The new process began to use ids after 0.5 s, though the old one did not know yet that it had to ask.
def test_an_id_sent_to_both_processes_while_the_old_one_is_stopped_at_the_takeover_runs_once(
    held_discovery: tuple[ContendedIdsRig, HeldDiscovery],
) -> None:
    rig, discovery = held_discovery
    with rig.deployment.running():
        rig.connect_all()
        old = replace_while_stopped(rig, discovery)
        rig.connections.append([rig.connect() for _ in range(CONNECTIONS)])
        for sockets in rig.connections:
            rig.send("both", sockets)
        old.send_signal(signal.SIGCONT)
        rig.check_run_once("both")


@pytest.mark.parametrize("processes", [2, 3])
@pytest.mark.parametrize("ends", ["killed", "goes on"])
def test_the_newest_process_uses_ids_once_one_that_was_stopped_has_ended_or_learnt_of_it(
    ends: str, processes: int, held_discovery: tuple[ContendedIdsRig, HeldDiscovery]
) -> None:
    rig, discovery = held_discovery
    with rig.deployment.running():
        old = replace_while_stopped(rig, discovery)
        if processes == 3:
            rig.replace()
        sock = rig.connect()
        assert rig.ask("refused", sock) == 503
        rig.check_runs("refused", 0)
        statuses = rig.ask_in_thread("waiting", sock)
        if ends == "killed":
            kill(old)
        else:
            old.send_signal(signal.SIGCONT)
        wait_until(lambda: statuses)
        assert statuses == [200]
        rig.check_runs("waiting", 1)


# Without an answer from the new process nothing may go out, and the client must not wait beyond its deadline.
def test_a_request_is_refused_in_time_while_the_new_process_does_not_answer(tmp_path: Path) -> None:
    rig = ContendedIdsRig(tmp_path)
    with rig.deployment.running() as deployment:
        old = rig.replace_connected()
        sock = rig.connections[0][0]
        stop_process(deployment.process)
        waited_before, begun_at = waited_for_core_s(old.pid), time.monotonic()
        assert rig.ask("stopped", sock) == 503
        elapsed = time.monotonic() - begun_at
        waited = waited_for_core_s(old.pid) - waited_before
        assert elapsed < DEADLINE_S, f"{elapsed:.3f} s, of which threads waited {waited:.3f} s for a core"
        rig.check_runs("stopped", 0)
        read = writing.request("GET", "/short", [*headers("read")[:2], ("X-Qos", "read")])
        sock.sendall(read)
        assert read_status(sock) == 200  # it may run twice, and waits for nobody
        deployment.process.send_signal(signal.SIGCONT)
        assert rig.ask("goes on", sock) == 200


# Its questions would have stayed open, also at the process between, which had granted nothing itself.
@pytest.mark.parametrize("processes", [2, 3])
def test_a_request_goes_on_once_the_newest_process_has_been_killed(processes: int, tmp_path: Path) -> None:
    rig = ContendedIdsRig(tmp_path)
    with rig.deployment.running() as deployment:
        for _ in range(processes - 1):
            rig.replace_connected()
        stop_process(deployment.process)
        statuses = rig.ask_in_thread("waiting", rig.connections[0][0])
        kill(deployment.process)
        wait_until(lambda: statuses)
        assert statuses == [200]
        rig.check_runs("waiting", 1)


def test_an_id_is_reserved_only_for_the_process_that_asked_first_and_for_its_time() -> None:
    ids = TraceIds(lambda number: False)
    first, second = RemoteProcess("first"), RemoteProcess("second")
    assert ids.claim(0, "own", 1, 50, MAX_HOLD)
    assert not ids.reserve(0, "own", 100, MAX_HOLD, first)
    assert ids.reserve(0, "asked", 100, MAX_HOLD, first)
    assert ids.reserve(10, "asked", 200, MAX_HOLD, first)  # asked again, as the answer was late
    assert not ids.reserve(10, "asked", 200, MAX_HOLD, second)
    assert not ids.claim(199, "asked", 2, 300, MAX_HOLD)
    assert ids.claim(200, "asked", 2, 300, MAX_HOLD)  # the first never claimed it


def test_an_id_that_is_asked_for_here_is_used_by_one_request_of_this_process_only() -> None:
    ids = TraceIds(lambda number: False)
    other = RemoteProcess("other")
    assert ids.reserve(0, "asked", 100, MAX_HOLD, ids.own)
    assert ids.reserve(0, "asked", 100, MAX_HOLD, ids.own)  # by another client
    assert not ids.reserve(0, "asked", 100, MAX_HOLD, other)
    assert ids.claim(10, "asked", 1, 110, MAX_HOLD)
    assert not ids.claim(10, "asked", 2, 110, MAX_HOLD)
    assert ids.reserve(10, "lost", 100, MAX_HOLD, ids.own)
    ids.hold(10, "lost", 100, MAX_HOLD, other)  # the other process was first
    assert not ids.claim(20, "lost", 3, 120, MAX_HOLD)


def test_questions_are_repeated_until_they_are_answered() -> None:
    sent: list[IdQuestion] = []
    id_grants = IdGrants("old", sent.append)
    grants: list[Grant] = []
    until = clock.now() + 20_000_000
    thread = threading.Thread(target=lambda: grants.append(id_grants.ask("id", until)), daemon=True)
    thread.start()
    wait_until(lambda: len(sent) > 1)
    assert set(sent) == {IdQuestion("old", 1, "id", until)}
    id_grants.note_answer(IdAnswer("old", [], [1]))
    thread.join(20)
    id_grants.note_answer(IdAnswer("old", [1], []))  # to the question that was repeated
    assert grants == [Grant.IN_USE] and not id_grants.pending


def test_a_question_without_an_answer_is_given_up_in_time() -> None:
    id_grants = IdGrants("old", lambda question: None)
    assert id_grants.ask("id", clock.now() + 1000) == Grant.UNANSWERED
    assert not id_grants.pending
    id_grants.end()
    assert id_grants.ask("id", clock.now() + 1000) == Grant.GRANTED


def test_questions_and_answers_are_decoded_as_they_were_encoded() -> None:
    questions = [IdQuestion("old", 1, "id", 5000), IdQuestion("old", 2, "other", 7000)]
    assert decode_questions(encode_questions(questions)) == questions
    answer = IdAnswer("old", [1], [2])
    assert decode_answer(encode_answer(answer)) == answer
