"""The sidecar as a process of its own among stand-ins on loopback; traces tell what each of them saw."""

import json
import queue
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from pumicepath.discovery.roster import Roster, address
from pumicepath.discovery.watch import Watch
from pumicepath.http1 import writing
from pumicepath.http1.parsing import ResponseParser
from pumicepath.interface import Outcome
from pumicepath.sidecar import config
from pumicepath.sidecar.exchange import Exchange, Hop
from pumicepath.sidecar.pace import Pace
from pumicepath.sidecar.servers import Link, Pool
from pumicepath.sidecar.watching import Watcher

from .helpers import Deployment, Peer, answer, compare

KNOWN = json.dumps({
    "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": {"tariffs": [{"name": "a"}]},
    "known": {"seq": 1, "whole": True, "hosts": [{"host": "s", "dial": 5, "health": "active"}]}})
NEVER = ("X-Never-Ran", "1")


def test_answers_follow_the_table_of_outcomes(tmp_path: Path) -> None:
    steps = {
        "served": [answer(200, "stock")],
        "error": [answer(500)],
        "may have run": [answer(503)],
        "never ran": [answer(503, "", NEVER), answer(504, "", NEVER), answer(200, "stock")],
        "reset": ["reset"],
        "ended": ["end"],
        "half a body": [(answer(200, "stock")[:-2], "end")],
        "no HTTP": [(b"SMTP\r\n\r\n", "wait")],
        "too long": [(b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n", "wait")],
    }
    with Deployment(tmp_path, 3).running() as around:
        for name, script in steps.items():
            around.lines.append(f"-- {name}")
            around.ask("once", *script, body="lot 7")
    compare("outcomes", around.lines)


def test_idempotent_goes_on_elsewhere_and_chunked_answers_are_passed_on_whole(tmp_path: Path) -> None:
    chunked = (
        b"HTTP/1.1 200 OK\r\nX-Store: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    with Deployment(tmp_path, 3).running() as around:
        response = around.ask("read", "reset", answer(500), chunked)
        assert response is not None and response.header("X-Store") == "s"
    compare("elsewhere", around.lines)


def test_silent_servers_are_answered_for_before_patience_ends(tmp_path: Path) -> None:
    with Deployment(tmp_path, 1).running() as around:
        for tariff in ("read", "once"):
            began = time.monotonic()
            around.ask(tariff, "wait", expires=800)
            assert 0.7 < time.monotonic() - began < 0.85
            # Its connection is closed, so that nothing of it can run later and no answer of it be taken.
            around.servers[0].closed.acquire(timeout=5)
        around.ask("read", answer(200, "late ones are not mixed up"))
    compare("silent", around.lines)


def test_refused_connections_never_ran_and_a_closed_idle_one_is_not_used(tmp_path: Path) -> None:
    around = Deployment(tmp_path, 2)
    with around.running():
        around.ask("once", (answer(200, "first"), "end"))
        assert [peer.closed.acquire(timeout=1) for peer in around.servers].count(True) == 1
        around.ask("once", answer(200, "on a new connection"))
        first = around.lines[0].split(":")[0]
        gone = next(peer for peer in around.servers if peer.name == first)
        gone.listener.shutdown(socket.SHUT_RDWR)
        gone.listener.close()
        around.ask("once", "reset")
        around.ask("once", answer(200, "elsewhere"))
    compare("refused", around.lines)


def test_requests_that_come_together_are_answered_in_turn(tmp_path: Path) -> None:
    with Deployment(tmp_path, 1).running() as around:
        headers = [("Host", "api"), ("X-Qos", "read")]
        both = [writing.request("GET", f"/{name}", headers) for name in ("one", "two")]
        around.client.sendall(both[0] + both[1] + both[0][:9])
        for name in ("one", "two", "three"):
            around.script.put(answer(200, name))
            around.hear()
            if name == "two":
                around.client.sendall(both[0][9:])
    compare("together", around.lines)


def test_client_that_leaves_gets_nothing_and_others_go_on(tmp_path: Path) -> None:
    with Deployment(tmp_path, 1).running() as around:
        other = socket.create_connection(around.where)
        around.send("read", sock=other)
        assert around.servers[0].met.acquire(timeout=5)
        other.close()
        around.script.put(answer(200, "for nobody"))
        around.client.sendall(b"BAD\r\n\r\n")
        around.hear()
        assert around.client.recv(1) == b""
        around.client, around.parser = socket.create_connection(around.where), ResponseParser()
        around.ask("read", answer(200, "for the next"))
        around.ask("no such")
    compare("left", around.lines)


def test_sigterm_answers_what_is_taken_and_what_still_comes(tmp_path: Path) -> None:
    with Deployment(tmp_path, 1).running() as around:
        idle = socket.create_connection(around.where)
        around.send("read")
        assert around.servers[0].met.acquire(timeout=5)
        around.process.send_signal(signal.SIGTERM)
        around.event("draining")
        around.script.put(answer(200, "taken before"))
        around.hear()
        late = socket.create_connection(around.where)
        around.script.put(answer(200, "came later"))
        around.send("once", sock=late)
        around.hear(late, ResponseParser())
        assert idle.recv(1) == b""
        idle.close()
        for sock in (around.client, late):
            assert sock.recv(1) == b""
            sock.close()
        assert around.event("stopped")["broken"] == {} and around.process.wait() == 0
    compare("drain", around.lines)


def test_watch_survives_failures_and_what_it_tells_counts_at_once(tmp_path: Path) -> None:
    around = Deployment(tmp_path, 1)
    around.lists.put((b"", "reset"))
    around.lists.put(answer(200, json.dumps(around.listing(7, False, "active"))))
    with around.running():
        around.ask("read", answer(200, "active"))
        around.lists.put(answer(200, json.dumps(around.listing(8, False, "leaving"))))
        for _ in range(4):
            assert around.discovery.met.acquire(timeout=5)
        around.ask("read")
    compare("watched", around.discovery.lines + around.lines)


def test_sighup_follows_the_new_discovery_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    around = Deployment(tmp_path, 1)
    elsewhere = Peer("elsewhere", queue.SimpleQueue(), around.discovery.lines)
    around.discovery.lines.append("-- the file is replaced")
    with around.running():
        assert around.discovery.met.acquire(timeout=5)
        around.send("read")
        assert around.servers[0].met.acquire(timeout=5)
        for text in ("{", json.dumps({**around.told, "discovery": elsewhere.address, "seed": "2f"})):
            around.config.write_text(text)
            around.process.send_signal(signal.SIGHUP)
            around.lines.append(str(around.event("reload_failed" if text == "{" else "reloaded").get("text")))
        elsewhere.script.put((b"", "reset"))
        elsewhere.script.put(answer(200, json.dumps(around.listing(1, True, "leaving"))))
        for _ in range(3):
            assert elsewhere.met.acquire(timeout=5)
        around.script.put(answer(200, "taken before"))
        around.hear()
        around.ask("read")
    lines = [line.replace(str(tmp_path), "") for line in around.discovery.lines + around.lines]
    compare("reload", [line for line in lines if not line.startswith("discovery")])


def test_delay_of_the_own_threads_is_noticed_at_once_and_forgotten_slowly() -> None:
    owner = Owner()
    pace = Pace(owner)
    behind = []
    for late in (0, 0, 80_000, 0, 0, 100_000):
        pace.woke(pace.due + late)
        behind.append(pace.behind)
    assert behind == [0, 0, 80_000, 70_000, 61_250, 100_000] and owner.told[-1] == pace.due


def test_broken_invariants_are_counted_in_release_builds_and_told() -> None:
    script = """if True:
        from pumicepath import invariants
        from pumicepath.sidecar.running import Watchman
        class Dispatcher:
            events = property(lambda self: self)
            def event(self, event, **figures): print(event, figures)
            def wake(self, at, whom): print("again at", at)
        watchman = Watchman(Dispatcher())
        for holds in (True, False, False):
            invariants.must(holds, "x")
            watchman.woke(0)
    """
    counted = "{'counts': {'x': 2}}\nagain at 1000000\n"
    for level, says in (("-O", counted), ("-B", "AssertionError: x")):
        command = [sys.executable, level, "-c", script]
        result = subprocess.run(command, capture_output=True, text=True, timeout=30)
        assert says in result.stdout + result.stderr


class Owner:
    """Takes the place of the dispatcher, and notes what it is told."""

    def __init__(self) -> None:
        self.told: list = []
        self.some = threading.Semaphore(0)
        self.events = self.pool = self
        self.addresses: dict = {}

    def listed(self, kind, entries) -> None:
        self.told.append((kind.name, len(entries)))
        self.some.release()

    def returned(self, link, outcome, response, reuse) -> None:
        self.told.append((link.hop.number if link.hop else None, outcome.name))

    def retire(self, link) -> None:
        link.kill()

    def wake(self, at, whom) -> None:
        self.told.append(at)

    def event(self, event, **figures) -> None:
        self.told.append(event)


def test_silent_watch_is_begun_again_at_once(tmp_path: Path) -> None:
    around = Deployment(tmp_path, 1)
    for step in (around.listing(7, False, "active"), None, around.listing(8, False, "leaving")):
        around.lists.put("wait" if step is None else answer(200, json.dumps(step)))
    where = address(around.discovery.address)
    watcher = Watcher(Watch(Roster(["a"], lambda born: 1), "d", 1, 1000), where)
    watcher.dispatcher = Owner()
    watcher.follow()
    threading.Thread(target=watcher.run, daemon=True).start()
    for _ in range(2):
        assert watcher.dispatcher.some.acquire(timeout=5)
    assert watcher.dispatcher.told == [("CHANGES", 1), ("CHANGES", 1)]


def test_no_hop_is_given_to_a_breaking_connection_once_its_outcome_is_known(tmp_path: Path) -> None:
    class Breaking(Link):
        """Its server closes it while it is idle; another thread looks for a connection at the worst time."""

        def connect(self):
            self.writing = self
            return self

        def send(self, hop) -> None:
            self.written = True

        def read(self, sock) -> Outcome:
            self.hop = None
            return Outcome.RESET

        def __enter__(self) -> None: ...

        def __exit__(self, *trouble) -> None:
            if not self.dead:
                self.hop, self.written = hops[1], False

    owner = Owner()
    hops = [Hop(Exchange(None, None, 0, owner), number, 10, 0) for number in range(2)]
    Breaking(Pool(owner, config.config(Deployment(tmp_path, 0).told), None), hops[0], "127.0.0.1", 1).run()
    assert owner.told == [(None, "RESET")]


def test_list_nested_too_deep_for_a_small_stack_is_only_a_failed_call(tmp_path: Path) -> None:
    around = Deployment(tmp_path, 1)
    around.lists.put(answer(200, "[" * 30_000 + "]" * 30_000))
    with around.running():
        assert "depth limit" in around.event("watch_failed")["text"]
        around.ask("read", answer(200, "still there"))
    assert around.lines[-1] == "client: 200 still there"


def test_servers_that_keep_no_connections_do_not_hold_up_the_timers(tmp_path: Path) -> None:
    around = Deployment(tmp_path, 1)
    around.told["settings"]["policyLimits"]["connIdleS"] = 0
    around.config.write_text(json.dumps(around.told))
    with around.running():
        for name in ("one", "two"):
            around.ask("read", answer(200, name))
    assert around.lines[1::2] == ["client: 200 one", "client: 200 two"]


def test_at_the_bound_of_connections_submissions_are_deferred_at_once_and_none_is_lost(
    tmp_path: Path,
) -> None:
    around = Deployment(tmp_path, 1, limits={"memory_mb": 192, "sockets": 74})
    with around.running():
        others = [socket.create_connection(around.where) for _ in range(3)]
        for sock in (around.client, *others):
            around.send("read", sock=sock)
            assert around.servers[0].met.acquire(timeout=5)
        # Both were accepted beyond the bound, and the first has not been used when the second comes.
        beyond = [socket.create_connection(around.where) for _ in range(2)]
        for sock in reversed(beyond):
            around.send("read", sock=sock)
            around.hear(sock, ResponseParser())
        for _ in range(4):
            around.script.put(answer(200, "room"))
        for sock in (around.client, *others):
            around.hear(sock, ResponseParser())
    compare("bound", [line for line in around.lines if line.startswith("client")])


@pytest.mark.parametrize(
    ("told", "says"),
    [
        ("{", "Expecting"),
        ("[]", "list"),
        ("{}", "'settings' is missing"),
        ('{"settings": {"tariffs": []}}', "no tariffs"),
        (KNOWN, "no address"),
        (None, "No such file"),
    ],
)
def test_invalid_configuration_ends_with_one_line(tmp_path: Path, told: str | None, says: str) -> None:
    config = tmp_path / "config.json"
    if told is not None:
        config.write_text(told)
    command = [sys.executable, "-m", "pumicepath", "serve", "--config", str(config)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert (result.returncode, result.stdout) == (2, "") and says in result.stderr
    assert result.stderr.count("\n") == 1
