"""The id of a request is in use for as long as the request is open, however long its body or answer takes."""

import queue
import socket
import threading
from pathlib import Path

import orjson
import pytest

from pumicepath.http1 import writing
from pumicepath.http1.parsing import RequestParser, ResponseParser
from pumicepath.lab.loopback.scripted import ScriptedServer, http_response, read_message
from pumicepath.sidecar import clock, id_sharing
from pumicepath.sidecar.client import Client
from pumicepath.sidecar.id_sharing import (
    MAX_SHARED_IDS,
    IdSharing,
    IdUpdate,
    decode_in_use,
    decode_update,
    encode_ids,
    encode_in_use,
)
from pumicepath.sidecar.servers import start_thread
from pumicepath.sidecar.trace_ids import IdInUse, RemoteProcess, TraceIds

from .rig import Rig, read_status, wait_until

HEADERS = [("Host", "api"), ("X-Qos", "once"), ("X-Trace-Id", "same")]
LONG_BODY_BYTES = 200_000


def start_client(rig: Rig) -> tuple[socket.socket, Client]:
    """Connect a client and start its thread; returns its socket and the sidecar's connection."""
    client_sock, client = rig.connect()
    start_thread(client.run)
    return client_sock, client


def ask_again(rig: Rig) -> int:
    """Send a short request with the same id; returns the status of its answer."""
    other, _ = start_client(rig)
    other.sendall(writing.request("POST", "/short", HEADERS, b"again"))
    return read_status(other)


def answer_in_two_parts(server: ScriptedServer, goes_on: threading.Event) -> None:
    """Have a server answer with a long body, whose second half it sends once `goes_on` is set."""
    serve_scripted = server.serve
    whole = http_response(200, "x" * LONG_BODY_BYTES)

    def serve(sock: socket.socket) -> None:
        server.serve = serve_scripted  # type: ignore[method-assign]
        read_message(sock, RequestParser())
        sock.sendall(whole[: LONG_BODY_BYTES // 2])
        goes_on.wait(20)
        sock.sendall(whole[LONG_BODY_BYTES // 2 :])
        serve_scripted(sock)

    server.serve = serve  # type: ignore[method-assign]


def test_an_id_is_freed_when_its_time_is_over_and_its_exchange_has_ended() -> None:
    open_numbers = {1}
    ids = TraceIds(open_numbers.__contains__)
    assert ids.claim(0, "a", 1, 100, 100) and not ids.claim(50, "a", 2, 150, 100)
    assert not ids.claim(100, "a", 2, 200, 100)  # open: held on for as long again
    open_numbers.clear()
    assert not ids.claim(199, "a", 2, 299, 100)
    assert ids.claim(200, "a", 2, 300, 100)
    assert not ids.claim(299, "a", 3, 399, 100) and ids.claim(300, "a", 3, 400, 100)
    ids.expire(1000, 100)
    assert not ids.held and not ids.queue


def test_the_id_of_a_request_whose_body_is_still_coming_is_refused(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was freed after the longest patience, counted from the head: reserves ran twice under one id."""
    monkeypatch.setattr("pumicepath.lab.loopback.scripted.RequestParser", lambda: RequestParser(1 << 20))
    rig = Rig(tmp_path)
    rig.dispatcher.max_deadline = 1  # us: over at once
    sender, client = start_client(rig)
    head = writing.request("POST", "/long", HEADERS, b"", LONG_BODY_BYTES)
    sender.sendall(head + bytes(LONG_BODY_BYTES // 2))
    wait_until(lambda: client.upload is not None and client.upload.started)
    assert ask_again(rig) == 409
    rig.deployment.script.put(http_response(200, "served"))
    sender.sendall(bytes(LONG_BODY_BYTES // 2))
    assert read_status(sender) == 200
    rig.deployment.script.put(http_response(200, "served"))
    assert ask_again(rig) == 200  # its time is over, and it has ended


# A server that had the whole body may run it after its connection has broken; the id was free at once.
def test_the_id_of_a_long_body_is_held_for_its_deadline_from_the_last_byte_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("pumicepath.lab.loopback.scripted.RequestParser", lambda: RequestParser(1 << 20))
    rig = Rig(tmp_path)
    longest_deadline, rig.dispatcher.max_deadline = rig.dispatcher.max_deadline, 1  # us: over at once
    sender, client = start_client(rig)
    sender.sendall(writing.request("POST", "/long", HEADERS, b"", LONG_BODY_BYTES))
    sender.sendall(bytes(LONG_BODY_BYTES // 2))
    wait_until(lambda: client.upload is not None and client.upload.started)
    rig.dispatcher.max_deadline = longest_deadline
    rig.deployment.script.put("reset")
    sender.sendall(bytes(LONG_BODY_BYTES // 2))
    assert read_status(sender) == 502
    assert ask_again(rig) == 409


def test_the_id_of_a_request_whose_answer_is_being_streamed_is_refused(tmp_path: Path) -> None:
    rig = Rig(tmp_path)
    rig.dispatcher.max_deadline = 1  # us: over at once
    goes_on = threading.Event()
    answer_in_two_parts(rig.deployment.servers[0], goes_on)
    reader, client = start_client(rig)
    reader.sendall(writing.request("POST", "/long", HEADERS, b"lot"))
    wait_until(lambda: client.status == 200)
    assert ask_again(rig) == 409
    goes_on.set()
    answer = read_message(reader, ResponseParser(1 << 20))
    assert answer is not None and len(answer.body) == LONG_BODY_BYTES
    wait_until(lambda: not rig.dispatcher.streaming)
    rig.deployment.script.put(http_response(200, "served"))
    assert ask_again(rig) == 200


# The time at the hand-over alone counted, so that ids of open requests were free at the other process.
def test_an_id_of_another_process_is_held_until_its_exchange_has_ended_there() -> None:
    ids, other = TraceIds(set().__contains__), RemoteProcess("other")
    ids.hold(0, "a", 100, 100, other)
    assert not ids.claim(150, "a", 1, 250, 100) and not ids.claim(500, "a", 1, 600, 100)
    other.open_ids.discard("a")
    assert not ids.claim(599, "a", 1, 699, 100)  # held on at 500 for as long again
    assert ids.claim(600, "a", 1, 700, 100)


def test_an_id_that_has_ended_at_another_process_is_held_for_its_time() -> None:
    ids, other = TraceIds(set().__contains__), RemoteProcess("other")
    ids.hold(0, "a", 100, 100, other)
    other.open_ids.discard("a")
    assert not ids.claim(99, "a", 1, 199, 100)
    assert ids.claim(100, "a", 1, 200, 100)


def test_ids_of_a_process_that_has_ended_are_freed_one_hold_later() -> None:
    ids, other = TraceIds(set().__contains__), RemoteProcess("other")
    ids.hold(0, "a", 100, 100, other)
    other.ended_at = 150
    assert not ids.claim(249, "a", 1, 349, 100)
    assert ids.claim(250, "a", 1, 350, 100)
    ids.expire(1000, 100)
    assert not ids.held and not ids.queue and not other.open_ids


# A claim that came while the id's last time here was not over yet was ignored, and the id was free then.
def test_an_id_claimed_anew_at_another_process_is_held_for_the_new_request() -> None:
    ids, other = TraceIds({7}.__contains__), RemoteProcess("other")
    assert ids.claim(0, "a", 1, 100, 100)  # its exchange has ended at once
    ids.hold(90, "a", 190, 100, other)
    assert not ids.claim(150, "a", 2, 250, 100) and not ids.claim(1000, "a", 2, 1100, 100)
    assert ids.claim(1000, "b", 7, 1100, 100)
    ids.hold(1010, "b", 1110, 100, other)  # that of an open exchange stays this process's own
    assert ids.held["b"].number == 7


def test_a_handover_of_too_many_ids_has_those_of_open_requests() -> None:
    ids = [IdInUse(f"{number}", 100, False, None) for number in range(MAX_SHARED_IDS)]
    own, foreign = IdInUse("own", 50, True, None), IdInUse("foreign", 60, True, RemoteProcess("old"))
    message = orjson.loads(orjson.dumps(encode_in_use([*ids, own, foreign], "new")))
    times, of_new, of_old = decode_in_use(message)
    assert len(times.claimed) == MAX_SHARED_IDS and times.process == ""
    assert of_new == IdUpdate("new", [("own", 50)], []) and of_old == IdUpdate("old", [("foreign", 60)], [])


def test_a_handover_of_an_older_release_has_times_only() -> None:
    assert decode_in_use({"ids": encode_ids([("a", 50)])}) == [IdUpdate("", [("a", 50)], [])]
    assert decode_update({"ids": encode_ids([("a", 50)])}) == IdUpdate("", [("a", 50)], [])


def test_once_events_were_lost_all_open_ids_are_told(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The other process would hold those whose end was lost for as long as this one lives."""
    monkeypatch.setattr(id_sharing, "MAX_SHARED_IDS", 3)
    rig = Rig(tmp_path)
    told: queue.SimpleQueue[dict] = queue.SimpleQueue()
    sharing = IdSharing(rig.dispatcher, "here", lambda: True, told.put, told.put)
    for number in range(4):
        sharing.note_ended(f"{number}")
    rig.dispatcher.exchanges[1] = object()  # type: ignore[assignment]
    rig.dispatcher.ids.trace_ids.claim(clock.now(), "open", 1, clock.now() + 1_000_000, 1_000_000)
    sharing.start()
    assert decode_update(told.get(timeout=20)).ended == ["1", "2", "3"]
    whole = decode_update(told.get(timeout=20))
    assert whole.is_whole and [trace_id for trace_id, _ in whole.claimed] == ["open"]
