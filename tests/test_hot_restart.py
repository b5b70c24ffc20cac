"""Replacing the process among stand-ins on loopback: under load, by hand, and with one that is broken."""

import json
import os
import queue
import signal
import socket
import subprocess
import threading
from collections import Counter
from pathlib import Path

import pytest

from pumicepath.discovery.server_list import Address
from pumicepath.http1 import writing
from pumicepath.http1.parsing import RequestParser, ResponseParser
from pumicepath.lab.loopback.scripted import Deployment, Peer, answer, next_of
from pumicepath.sidecar.hot_restart import SOCKET_NAME, Channel, HotRestart, ShortPath, request_handover

from .helpers import check_trace
from .rig import Rig, paused, wait_until


class EchoServer(Peer):
    """Counts hops, and answers each with its id."""

    def serve(self, sock: socket.socket) -> None:
        parser = RequestParser()
        with sock:
            while (request := next_of(sock, parser)) is not None:
                self.lines.append(request.header("X-Trace-Id"))
                sock.sendall(answer(200, request.header("X-Trace-Id")))


def restartable_deployment(folder: Path, servers: int) -> Deployment:
    around = Deployment(folder, servers, admin_addr="127.0.0.1:0")
    with socket.create_server(("127.0.0.1", 0)) as free:
        around.told["listen"] = f"127.0.0.1:{free.getsockname()[1]}"
    around.config.write_text(json.dumps(around.told))
    around.environment = {"TMPDIR": str(folder)}
    return around


def start_replacement(around: Deployment) -> tuple[subprocess.Popen, tuple[str, int]]:
    """The old process, still serving, with its second address; the new one stands in its place."""
    old = around.process, around.operators
    around.process = around.begun()
    started = around.event("started")
    host, port = started["operators"].rsplit(":", 1)
    around.operators = (host, int(port))
    around.event("succeeding")
    return old


def test_ten_replacements_under_load_turn_nothing_back(tmp_path: Path) -> None:
    around, hops, heard, again = restartable_deployment(tmp_path, 0), [], [], []  # type: ignore[var-annotated]
    around.servers = [EchoServer(f"c-{at}", queue.SimpleQueue(), hops) for at in range(3)]
    around.told["known"] = around.listing(1, True, "active")
    around.config.write_text(json.dumps(around.told))
    done = threading.Event()

    def client(first: int, keeps: bool) -> None:
        """Its connection is kept until the sidecar ends it, or is new each time."""
        sock, parser, number = socket.create_connection(around.where), ResponseParser(), first
        while not done.is_set():
            number += 1
            sending = writing.request(
                "POST" if number % 2 else "GET",
                "/api",
                [
                    ("Host", "api"),
                    ("X-Trace-Id", str(number)),
                    ("X-Object", f"lot {number % 40}"),
                    ("X-Qos", "once" if number % 2 else "read"),
                ],
                b"",
            )
            try:
                sock.sendall(sending)
            except OSError:
                again.append(number)
            response = next_of(sock, parser)
            if response is None:  # the sidecar's end of the connection crossed it: once more, on a new one
                again.append(number)
                sock, parser = socket.create_connection(around.where), ResponseParser()
                sock.sendall(sending)
                response = next_of(sock, parser)
            heard.append(response is not None and response.status == 200 and int(response.body) == number)
            if response is None or not response.keeps_alive() or not keeps:
                sock.close()
                sock, parser = socket.create_connection(around.where), ResponseParser()
        sock.close()

    with around.running():
        threads = [
            threading.Thread(target=client, args=(100_000 * at, at % 2 > 0), daemon=True)
            for at in range(1, 7)
        ]
        for thread in threads:
            thread.start()
        for _ in range(10):
            old, _ = start_replacement(around)
            old.send_signal(signal.SIGTERM)
            assert old.wait(timeout=6) == 0
        done.set()
        for thread in threads:
            thread.join()
    assert len(heard) > 1000 and all(heard)
    assert not [trace for trace, count in Counter(hops).items() if int(trace) % 2 and count > 1]
    assert len(again) <= 2, f"{len(again)} turned back of {len(heard)}"


def test_what_is_changed_by_hand_binds_both_and_outlives_the_old_process(tmp_path: Path) -> None:
    around = restartable_deployment(tmp_path, 2)
    with around.running():

        def say(path: str, where: tuple[str, int] | None = None) -> None:
            around.lines.append(f"{path}: {around.call('PUT', path, where).status}")

        def see(what: str, *where: tuple[str, int]) -> None:
            for one, at in zip(("old", "new"), where):
                response = around.call("GET", "/stats", at)
                avoided = [line for line in response.body.decode().split() if "unhealthy" in line]
                around.lines.append(f"{what}, {one}: {avoided[0]}")

        say("/servers/s-0/maint")
        old, first = start_replacement(around)
        see("out before", first, around.operators)
        say("/servers/s-1/maint", first)
        see("out at the old", first, around.operators)
        say("/servers/s-0/ready")
        see("back at the new", first, around.operators)
        say("/healthcheck/fail")
        around.event("emptied", process=old)
        old.send_signal(signal.SIGTERM)
        assert old.wait(timeout=6) == 0
        last, _ = start_replacement(around)
        last.kill()
        last.wait()
        around.event("alone")
        for path in ("/servers/s-1/ready", "/healthcheck/ok"):
            say(path)
        around.client, around.parser = socket.create_connection(around.where), ResponseParser()
        around.ask("read", answer(200, "served by the third"))
    check_trace(
        "succession",
        [line.replace("s-0: GET", "s: GET").replace("s-1: GET", "s: GET") for line in around.lines],
    )


def test_a_new_process_that_ends_leaves_the_old_one_as_it_was(tmp_path: Path) -> None:
    around = restartable_deployment(tmp_path, 1)
    with around.running():
        old, where = start_replacement(around)
        around.process.kill()
        around.process.wait()
        around.process, around.operators = old, where
        around.event("alone")
        around.config.write_text("{")
        refusing = around.begun()
        assert refusing.wait(timeout=20) == 2
        around.client, around.parser = socket.create_connection(around.where), ResponseParser()
        around.ask("read", answer(200, "by the old one"))
    assert around.lines[-1] == "client: 200 by the old one"


def test_the_one_before_is_told_before_the_log_says_that_it_is_followed(tmp_path: Path) -> None:
    """Whoever reads the log may end the new process there: the old one has to know by then."""
    rig, (here, there) = Rig(tmp_path), socket.socketpair()
    there.settimeout(0)
    told = []

    class Dies:
        def event(self, event: str, **figures: object) -> None:
            if event == "succeeding":
                told.append(Channel(there).receive()[0])

    rig.dispatcher.events = Dies()  # type: ignore[assignment]
    HotRestart(rig.dispatcher, rig.clients, dict, Address("127.0.0.1", 1)).take_over(Channel(here))
    there.close()
    assert told == [{"taking": True}]


def test_of_two_new_processes_at_once_either_may_end_and_the_other_serves(tmp_path: Path) -> None:
    around = restartable_deployment(tmp_path, 1)
    with around.running():
        old = around.process
        first, second = around.begun(), around.begun()
        for process in (first, second):
            around.event("succeeding", process=process)  # none of them has started from nothing
        around.client, around.parser = socket.create_connection(around.where), ResponseParser()
        around.ask("read", answer(200, "by one of them"))
        first.kill()
        first.wait()
        old.send_signal(signal.SIGTERM)
        assert old.wait(timeout=20) == 0
        around.process = second
        around.client, around.parser = socket.create_connection(around.where), ResponseParser()
        around.ask("read", answer(200, "by the one that is left"))
    assert [line for line in around.lines if line.startswith("client")] == [
        "client: 200 by one of them",
        "client: 200 by the one that is left",
    ]


def test_a_new_process_that_dies_with_the_socket_in_its_hands_stops_nobody(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    around = restartable_deployment(tmp_path, 1)
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    with around.running():
        met = request_handover(Address(*around.where))
        assert met is not None and met.listener is not None
        met.listener.close()
        met.channel.close()
        around.client, around.parser = socket.create_connection(around.where), ResponseParser()
        around.ask("read", answer(200, "by the old one"))
    assert around.lines[-1] == "client: 200 by the old one"


def test_there_is_always_a_process_to_be_met(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    with socket.socket(socket.AF_UNIX) as before:
        with ShortPath(tmp_path / SOCKET_NAME) as short:
            before.bind(short)
        before.listen()
        after = HotRestart(None, None, dict, Address("127.0.0.1", 1))
        with paused(monkeypatch, os, "replace") as (came, go):
            threading.Thread(target=after.open_socket, daemon=True).start()
            assert came.acquire(timeout=20)
            with socket.socket(socket.AF_UNIX) as met, ShortPath(tmp_path / SOCKET_NAME) as short:
                met.connect(short)
            go.release()
            wait_until(lambda: not (tmp_path / f"{SOCKET_NAME}.{os.getpid()}").exists())
        with socket.socket(socket.AF_UNIX) as met, ShortPath(tmp_path / SOCKET_NAME) as short:
            met.connect(short)
            before.setblocking(False)
            before.accept()
            with pytest.raises(BlockingIOError):
                before.accept()


@pytest.mark.parametrize("says", [b"", b"{", b"[1]\n", b'{"version": 9}\n', b'{"version": 1}\n', None])
def test_what_stands_there_and_says_nothing_of_use_is_started_without(
    says: bytes | None, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    assert request_handover(Address("127.0.0.1", 1)) is None
    with socket.socket(socket.AF_UNIX) as listener, ShortPath(tmp_path / SOCKET_NAME) as short:
        listener.bind(short)
        if says is None:
            assert request_handover(Address("127.0.0.1", 1)) is None  # of a process long dead
            return
        listener.listen()

        def speak() -> None:
            with listener.accept()[0] as sock:
                sock.sendall(says)
                sock.recv(999)

        threading.Thread(target=speak, daemon=True).start()
        before = len(os.listdir("/proc/self/fd"))
        assert request_handover(Address("127.0.0.1", 1)) is None
        assert len(os.listdir("/proc/self/fd")) <= before + 1


def test_a_socket_whose_port_the_file_does_not_name_goes_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Found by the lab: the files of both differ, and the kernel spread clients over two queues."""
    around = Deployment(tmp_path, 1, admin_addr="127.0.0.1:0")
    around.environment = {"TMPDIR": str(tmp_path)}
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    with around.running():
        met = request_handover(Address(*around.where))
        assert met is not None and met.listener is not None
        assert met.listener.getsockname() == around.where
        met.listener.close()
        met.channel.close()
