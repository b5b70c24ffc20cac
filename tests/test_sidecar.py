"""The sidecar as a process among scripted stand-ins on loopback; traces record what each of them saw."""

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

from pumicepath.admin.metrics import Metrics
from pumicepath.discovery.server_list import Address, ServerList, ServerListUpdate, parse_address
from pumicepath.discovery.watch import Watch
from pumicepath.http1 import writing
from pumicepath.http1.parsing import ResponseParser
from pumicepath.lab.loopback.scripted import Deployment, ScriptedServer, http_response
from pumicepath.sidecar import clock, config
from pumicepath.sidecar.admission_gate import AdmissionGate
from pumicepath.sidecar.bulkhead import Bulkheads
from pumicepath.sidecar.clients import BUSY, CLOSING, DRAINING, FRESH, IDLE, PARTIAL, Client, Clients
from pumicepath.sidecar.decision_log import DecisionLog
from pumicepath.sidecar.delay_monitor import DelayMonitor
from pumicepath.sidecar.dispatch import Dispatcher
from pumicepath.sidecar.exchange import Exchange, Hop
from pumicepath.sidecar.idle_resets import IdleResetTracker
from pumicepath.sidecar.log import Log
from pumicepath.sidecar.memory_account import MemoryAccount
from pumicepath.sidecar.servers import Pool
from pumicepath.sidecar.watching import Watcher

from .helpers import check_trace, make_entry
from .rig import stop_process, wait_until, waited_for_core_s

BAD_KNOWN_LIST = json.dumps(
    {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "settings": {"tariffs": [{"name": "a"}]},
        "known": {"seq": 1, "whole": True, "hosts": [{"host": "s", "dial": 5, "health": "active"}]},
    }
)
NEVER = ("X-Never-Ran", "1")


def config_with(**changed: object) -> str:
    return json.dumps({**json.loads(BAD_KNOWN_LIST), "known": None, **changed})


def test_each_outcome_of_a_hop_gives_its_answer(tmp_path: Path) -> None:
    steps = {
        "served": [http_response(200, "stock")],
        "error": [http_response(500)],
        "may have run": [http_response(503)],
        "never ran": [
            http_response(503, "", NEVER),
            http_response(504, "", NEVER),
            http_response(200, "stock"),
        ],
        "reset": ["reset"],
        "ended": ["end"],
        "half a body": [(http_response(200, "stock")[:-2], "end")],
        "no HTTP": [(b"SMTP\r\n\r\n", "wait")],
        "too long": [(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "wait")],
    }
    with Deployment(tmp_path, 3).running() as deployment:
        for name, script in steps.items():
            deployment.transcript.append(f"-- {name}")
            deployment.submit("once", *script, body="lot 7")
    check_trace("outcomes", deployment.transcript)


def test_idempotent_requests_are_retried_elsewhere_and_chunked_responses_are_forwarded(
    tmp_path: Path,
) -> None:
    chunked = (
        b"HTTP/1.1 200 OK\r\nX-Store: s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    with Deployment(tmp_path, 3).running() as deployment:
        response = deployment.submit("read", "reset", http_response(500), chunked)
        assert response is not None and response.header("X-Store") == "s"
    check_trace("elsewhere", deployment.transcript)


def test_requests_to_silent_servers_are_answered_before_the_deadline(tmp_path: Path) -> None:
    with Deployment(tmp_path, 1).running() as deployment:
        for request_class in ("read", "once"):
            waited_before = waited_for_core_s(deployment.process.pid)
            started_at = time.monotonic()
            deployment.submit(request_class, "wait", expires_in_ms=800)
            elapsed = time.monotonic() - started_at
            waited = waited_for_core_s(deployment.process.pid) - waited_before
            assert 0.7 < elapsed < 0.85, f"{elapsed:.3f} s, of which threads waited {waited:.3f} s for a core"
            # Its connection is closed, so that the request can't run later and no late response is used.
            deployment.servers[0].closed_connections.acquire(timeout=5)
        deployment.submit("read", http_response(200, "late ones are not mixed up"))
    check_trace("silent", deployment.transcript)


def test_refused_connections_never_ran_and_a_closed_idle_one_is_not_used(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 2)
    with deployment.running():
        deployment.submit("once", (http_response(200, "first"), "end"))
        assert [peer.closed_connections.acquire(timeout=1) for peer in deployment.servers].count(True) == 1
        deployment.submit("once", http_response(200, "on a new connection"))
        first = deployment.transcript[0].split(":")[0]
        closed_peer = next(peer for peer in deployment.servers if peer.name == first)
        closed_peer.listener.shutdown(socket.SHUT_RDWR)
        closed_peer.listener.close()
        deployment.submit("once", "reset")
        deployment.submit("once", http_response(200, "elsewhere"))
    check_trace("refused", deployment.transcript)


def test_pipelined_requests_are_answered_in_order(tmp_path: Path) -> None:
    with Deployment(tmp_path, 1).running() as deployment:
        headers = [("Host", "api"), ("X-Qos", "read")]
        requests = [
            writing.request("GET", f"/{name}", [*headers, ("X-Trace-Id", name)])
            for name in ("one", "two", "three")
        ]
        deployment.client_socket.sendall(requests[0] + requests[1] + requests[2][:9])
        for name in ("one", "two", "three"):
            deployment.script.put(http_response(200, name))
            deployment.receive()
            if name == "two":
                deployment.client_socket.sendall(requests[2][9:])
    # Sorted by observer: the server may get the next request before the client has read the previous answer.
    check_trace("together", sorted(deployment.transcript, key=lambda line: line.startswith("client")))


def test_malformed_requests_get_an_error_or_a_close_and_are_not_forwarded(tmp_path: Path) -> None:
    good = {"Host": "api", "X-Trace-Id": "t9", "X-Qos": "read", "X-Expires-In-Ms": "900"}
    odd = {
        "no id": {"X-Trace-Id": None},
        "no class": {"X-Qos": None},
        "unknown class": {"X-Qos": "gold"},
        "no number": {"X-Expires-In-Ms": "soon"},
        "negative": {"X-Expires-In-Ms": "-5"},
        "no time": {"X-Expires-In-Ms": "0"},
        "open id": {"X-Trace-Id": "t1"},
        "two ends": {"Content-Length": "3", "Transfer-Encoding": "chunked"},
        "negative length": {"Content-Length": "-1"},
        "two lengths": {"Content-Length": "3, 3"},
        "60 MB": {"Content-Length": "60000000"},
    }
    with Deployment(tmp_path, 1).running() as deployment:
        silent, half = (socket.create_connection(deployment.address) for _ in range(2))
        half.sendall(b"POST /api HTTP/1.1\r\nHost: a")
        deployment.send("read")
        assert deployment.servers[0].received_requests.acquire(timeout=5)
        for name, changed in odd.items():
            deployment.transcript.append(f"-- {name}")
            with socket.create_connection(deployment.address) as sock:
                headers = [(name, value) for name, value in {**good, **changed}.items() if value is not None]
                sock.sendall(writing.message("POST /api HTTP/1.1", headers, b""))
                deployment.receive(sock, ResponseParser())
        deployment.transcript.append("-- the open one")
        deployment.script.put(http_response(200, "still waited for"))
        deployment.receive()
        deployment.last_submission = 0
        deployment.submit("read")
        deployment.transcript.append("-- three errors in a row")
        with socket.create_connection(deployment.address) as sock:
            parser = ResponseParser()
            for _ in range(3):
                sock.sendall(writing.message("GET / HTTP/1.1", [("Host", "a")], b""))
                deployment.receive(sock, parser)
        deployment.transcript.append("-- half a request, and silence")
        deployment.receive(half, ResponseParser())
        assert silent.recv(1) == b""
    check_trace("bad_clients", deployment.transcript)


def test_silent_connections_are_closed_for_new_ones(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 1, limits={"memory_mb": 192, "sockets": 60})
    with deployment.running():
        silent = [socket.create_connection(deployment.address) for _ in range(40)]
        deployment.submit("read", http_response(200, "served among them"))
        assert [sock.recv(1) for sock in silent[:20]] == [b""] * 20
        fresh = socket.create_connection(deployment.address)
        deployment.script.put(http_response(200, "and a new one"))
        deployment.send("read", sock=fresh)
        deployment.receive(fresh, ResponseParser())
    assert deployment.transcript[1::2] == ["client: 200 served among them", "client: 200 and a new one"]


def test_at_the_limit_idle_connections_are_closed_and_busy_ones_are_not(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    owner = FakeDispatcher()
    limits = {"memory_mb": 192, "sockets": 60}
    owner.active_config = (
        config.decode_config({**Deployment(tmp_path, 0).configuration, "limits": limits}),
        (),
    )
    owner.dispatcher = owner
    all_clients = Clients(owner)
    states = [IDLE, FRESH, BUSY, IDLE, PARTIAL, IDLE, FRESH, BUSY, IDLE, IDLE, IDLE, PARTIAL, IDLE]
    now = clock.now()
    monkeypatch.setattr(clock, "now", lambda: now)  # a busy machine must not make connections older
    for age, state in enumerate(states):
        client = Client(socket.socketpair()[0], all_clients, now - (len(states) - age) * 100_000)
        client.state = state
        all_clients.open[client] = None
        if age == 5:
            all_clients.evict_idle()
    all_clients.listener.close()
    few, many = Clients(owner), Clients(owner)
    for clients, count in ((few, 2), (many, 3)):
        clients.listener.close()
        for _ in range(count):
            client = Client(socket.socketpair()[0], clients, now - 400_000)
            client.state = IDLE
            clients.open[client] = None
        clients.sweep()
    used = Clients(owner)
    used.listener.close()
    for served in (1, 2, 2):
        client = Client(socket.socketpair()[0], used, now - 100_000)
        client.state, client.requests_served = IDLE, served
        used.open[client] = None
    used.sweep()
    assert [client.state for client in used.open] == [DRAINING, IDLE, IDLE]
    assert [client.state for client in [*few.open, *many.open]] == [IDLE] * 2 + [DRAINING] * 3
    # Six are below the limit; some are closed all the same, since new connections come in bursts.
    # The request that has been incomplete for 0.9 s is one of them: its client has sent nothing more since.
    closed = [client.state in (CLOSING, DRAINING) for client in all_clients.open]
    assert closed == [True, True, False, True, True, True] + [False] * 7
    all_clients.connection_limit = all_clients.last_eviction_at = 0
    all_clients.evict_idle()
    remaining = [at for at, client in enumerate(all_clients.open) if client.state not in (CLOSING, DRAINING)]
    assert remaining == [2, 7, 11]


def test_a_client_that_leaves_gets_nothing_and_others_are_served(tmp_path: Path) -> None:
    with Deployment(tmp_path, 1).running() as deployment:
        other = socket.create_connection(deployment.address)
        deployment.send("read", sock=other)
        assert deployment.servers[0].received_requests.acquire(timeout=5)
        other.close()
        deployment.script.put(http_response(200, "for nobody"))
        wait_until(deployment.script.empty)  # else the thread that serves the next request could take it
        deployment.client_socket.sendall(b"BAD\r\n\r\n")
        deployment.receive()
        assert deployment.client_socket.recv(1) == b""
        deployment.client_socket, deployment.client_parser = (
            socket.create_connection(deployment.address),
            ResponseParser(),
        )
        deployment.submit("read", http_response(200, "for the next"))
        deployment.submit("no such")
    check_trace("left", deployment.transcript)


def test_a_client_that_leaves_before_its_hop_fails_gets_no_further_hop_and_no_thread_stays(
    tmp_path: Path,
) -> None:
    with Deployment(tmp_path, 2).running() as deployment:
        others = [socket.create_connection(deployment.address) for _ in range(3)]
        for sock in others:
            deployment.send("read", sock=sock)
        for peer in deployment.servers:
            peer.received_requests.acquire(timeout=0.5) and peer.received_requests.acquire(
                timeout=0.5
            ) and peer.received_requests.acquire(timeout=0.5)
        for sock in others:
            sock.close()
        for _ in others:
            deployment.script.put("reset")
        deployment.process.send_signal(signal.SIGTERM)
        deployment.client_socket.close()
        stopped = deployment.next_event("stopped")
    assert stopped["clients"] == 0 and len(deployment.transcript) == 3, "no second hop, nobody left"


def test_after_sigterm_admitted_and_still_arriving_requests_are_answered(tmp_path: Path) -> None:
    with Deployment(tmp_path, 1).running() as deployment:
        idle = socket.create_connection(deployment.address)
        deployment.send("read")
        assert deployment.servers[0].received_requests.acquire(timeout=5)
        deployment.process.send_signal(signal.SIGTERM)
        deployment.next_event("draining")
        deployment.script.put(http_response(200, "taken before"))
        deployment.receive()
        late = socket.create_connection(deployment.address)
        deployment.script.put(http_response(200, "came later"))
        deployment.send("once", sock=late)
        deployment.receive(late, ResponseParser())
        assert idle.recv(1) == b""
        idle.close()
        for sock in (deployment.client_socket, late):
            assert sock.recv(1) == b""
            sock.close()
        assert deployment.next_event("stopped")["broken"] == {} and deployment.process.wait() == 0
    check_trace("drain", deployment.transcript)


def test_the_watch_survives_failures_and_its_updates_apply_at_once(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 1)
    deployment.discovery_script.put((b"", "reset"))
    deployment.discovery_script.put(
        http_response(200, json.dumps(deployment.list_document(7, False, "active")))
    )
    with deployment.running():
        deployment.submit("read", http_response(200, "active"))
        deployment.discovery_script.put(
            http_response(200, json.dumps(deployment.list_document(8, False, "leaving")))
        )
        for _ in range(4):
            assert deployment.discovery.received_requests.acquire(timeout=5)
        deployment.submit("read")
    check_trace("watched", deployment.discovery.transcript + deployment.transcript)


def test_sighup_switches_to_the_new_discovery_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 1)
    elsewhere = ScriptedServer("elsewhere", queue.SimpleQueue(), deployment.discovery.transcript)
    deployment.discovery.transcript.append("-- the file is replaced")
    with deployment.running():
        assert deployment.discovery.received_requests.acquire(timeout=5)
        deployment.send("read")
        assert deployment.servers[0].received_requests.acquire(timeout=5)
        for text in (
            "{",
            json.dumps({**deployment.configuration, "discovery": elsewhere.address, "seed": "2f"}),
        ):
            deployment.config_path.write_text(text)
            deployment.process.send_signal(signal.SIGHUP)
            deployment.transcript.append(
                str(deployment.next_event("reload_failed" if text == "{" else "reloaded").get("text"))
            )
        elsewhere.script.put((b"", "reset"))
        elsewhere.script.put(http_response(200, json.dumps(deployment.list_document(1, True, "leaving"))))
        for _ in range(3):
            assert elsewhere.received_requests.acquire(timeout=5)
        deployment.script.put(http_response(200, "taken before"))
        deployment.receive()
        deployment.submit("read")
    lines = [
        line.replace(str(tmp_path), "") for line in deployment.discovery.transcript + deployment.transcript
    ]
    check_trace("reload", [line for line in lines if not line.startswith("discovery")])


def test_the_delay_of_own_threads_rises_at_once_and_falls_slowly(tmp_path: Path) -> None:
    owner = FakeDispatcher()
    monitor = DelayMonitor(owner, AdmissionGate(config.decode_config(Deployment(tmp_path, 0).configuration)))
    delays = []
    for late in (0, 0, 80_000, 0, 0, 100_000):
        monitor.on_timer(monitor.due_at + late)
        delays.append(monitor.delay)
    assert delays == [0, 0, 80_000, 70_000, 61_250, 100_000] and owner.calls[-1] == monitor.due_at
    intervals = []
    for admitted in (0, 5, 5, 5):  # still late, new requests, none, none
        monitor.admission_gate.queue.admitted = admitted
        due_at = monitor.due_at
        monitor.delay = 60_000 if not admitted else 0
        monitor.on_timer(due_at)
        intervals.append(monitor.due_at - due_at)
    assert intervals == [25_000, 25_000, 100_000, 100_000]


def test_broken_invariants_are_counted_in_release_builds_and_logged() -> None:
    script = """if True:
        from pumicepath import invariants
        from pumicepath.sidecar.running import ProblemReporter
        class Clients: bad_requests = bad_answers = {}
        class Dispatcher:
            events = property(lambda self: self)
            pool = Clients
            metrics = events
            decisions = events
            def apply_pending(self): pass
            def report(self, log_event): pass
            def event(self, event, **figures): print(event, figures)
            def set_timer(self, at, handler): print("again at", at)
        reporter = ProblemReporter(Dispatcher(), Clients())
        for holds in (True, False, False):
            invariants.check_invariant(holds, "x")
            reporter.on_timer(0)
    """
    counted = "{'counts': {'x': 2}}\nagain at 1000000\n"
    for level, expected in (("-O", counted), ("-B", "AssertionError: x")):
        command = [sys.executable, level, "-c", script]
        result = subprocess.run(command, capture_output=True, text=True, timeout=30)
        assert expected in result.stdout + result.stderr


class FakeDispatcher:
    """A stand-in for the dispatcher that records calls."""

    def __init__(self) -> None:
        self.calls: list = []
        self.listed_event = threading.Semaphore(0)
        self.out_of_service = False
        self.events = self.pool = self
        self.addresses: dict = {}
        self.memory = MemoryAccount(1 << 20)
        self.bulkheads = Bulkheads()
        self.decisions = DecisionLog(Metrics())

    def closes_connections(self) -> bool:
        return False

    def update_servers(self, kind, update, elapsed=0) -> None:
        self.calls.append((kind.name, len(update.entries)))
        self.listed_event.release()

    def set_timer(self, at, handler) -> None:
        self.calls.append(at)

    def event(self, event, **figures) -> None:
        self.calls.append(event)

    def close_after_unlock(self, action) -> None:
        action()


def test_a_silent_watch_is_restarted_at_once(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 1)
    for step in (
        deployment.list_document(7, False, "active"),
        None,
        deployment.list_document(8, False, "leaving"),
    ):
        deployment.discovery_script.put("wait" if step is None else http_response(200, json.dumps(step)))
    discovery_address = parse_address(deployment.discovery.address)
    watcher = Watcher(Watch(ServerList(["a"], lambda born: 1), "d", 1, 1000), discovery_address)
    watcher.dispatcher = FakeDispatcher()
    watcher.request_list()
    threading.Thread(target=watcher.run, daemon=True).start()
    for _ in range(2):
        assert watcher.dispatcher.listed_event.acquire(timeout=5)
    assert watcher.dispatcher.calls == [("CHANGES", 1), "watch_failed", ("CHANGES", 1)]


def connected_sockets() -> tuple[socket.socket, socket.socket]:
    """Two ends of a TCP connection."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        return listener.accept()[0], peer


def test_an_idle_connection_that_is_closed_or_has_unexpected_bytes_is_not_used(tmp_path: Path) -> None:
    owner = FakeDispatcher()
    pool = Pool(owner, config.decode_config(Deployment(tmp_path, 0).configuration), None)
    pool.update_servers(ServerListUpdate(1, True, [make_entry(10)], [Address("127.0.0.1", 1)]))
    hop = Hop(Exchange(None, "t", None, 0, owner), 0, 10, 0, 0)
    used = []
    for event in (b"", b"HTTP/1.1 200 OK\r\n\r\n", None, "gone"):
        connection = pool.connection_for(0, hop)
        connection.sock, peer = connected_sockets()
        connection.sock.settimeout(None)
        connection.hop = None
        pool.release(0, connection)
        if event is None:
            peer.close()
        elif event == "gone":
            pool.update_servers(
                ServerListUpdate(2, True, [make_entry(10, started_at=7)], [Address("127.0.0.1", 1)])
            )
        else:
            peer.sendall(event)
        used.append(pool.connection_for(0, hop) is connection)
    assert used == [True, False, False, False] and pool.open_count == 4


# A process that had come up at the address of one that had gone got what was meant for that (report 000ac8).
@pytest.mark.parametrize("whole", [True, False])
def test_a_server_whose_address_another_has_taken_gets_nothing_more(whole: bool, tmp_path: Path) -> None:
    pool = Pool(FakeDispatcher(), config.decode_config(Deployment(tmp_path, 0).configuration), None)
    first, second = Address("127.0.0.1", 1), Address("127.0.0.1", 2)
    pool.update_servers(ServerListUpdate(1, True, [make_entry(10), make_entry(11)], [first, second]), True)
    pool.update_servers(ServerListUpdate(2, whole, [make_entry(12)], [first]), True)
    assert pool.instance(10) is None and pool.instance(11) is not None
    assert pool.instance(12).address == first
    # Servers that share an address from the start stay: nobody has come in another's place.
    pool.update_servers(ServerListUpdate(3, False, [make_entry(13), make_entry(14)], [second, second]), True)
    pool.update_servers(ServerListUpdate(4, False, [make_entry(13)], [second]), True)
    assert pool.instance(14) is not None and pool.instance(11) is None


def test_idle_times_after_which_hops_are_reset_are_learnt_and_forgotten(tmp_path: Path) -> None:
    tracker = IdleResetTracker()
    for step in range(200):
        tracker.record(1000, step % 10 == 0)
        if step < 20:
            tracker.record(300_000, step % 2 == 0)
    safe = [[tracker.is_safe(idle_us) for idle_us in (1000, 300_000, 5_000_000)]]
    for _ in range(200):
        tracker.decay()
    safe.append([tracker.is_safe(300_000)])
    assert safe == [[True, False, True], [True]]


def test_calls_made_while_the_lock_is_held_are_run_by_its_owner_and_followed_up_by_their_callers(
    tmp_path: Path,
) -> None:
    dispatcher = Dispatcher(config.decode_config(Deployment(tmp_path, 0).configuration), Log("n0"), None)
    order: list = []

    def run(name: str) -> None:
        def call(now: int) -> None:
            order.append(f"{name} run by {threading.current_thread().name}")
            dispatcher.do_after_unlock(lambda: order.append(f"act of {threading.current_thread().name}"))
            if name == "fault":
                raise ValueError(name)

        try:
            dispatcher.run_locked(call)
        except ValueError as error:
            order.append(f"{error} told to {threading.current_thread().name}")

    threads = [threading.Thread(target=run, args=(name,), name=name) for name in ("one", "fault")]

    def owner(now: int) -> None:
        for at, thread in enumerate(threads, 1):
            thread.start()
            while len(dispatcher.combining_lock.pending_calls) < at:
                pass

    dispatcher.run_locked(owner)
    for thread in threads:
        thread.join()
    assert order[:2] == ["one run by MainThread", "fault run by MainThread"]
    assert sorted(order[2:]) == ["act of fault", "act of one", "fault told to fault"]
    lock = dispatcher.combining_lock
    assert lock.lock.acquire(False) and not lock.pending_calls


def test_a_list_nested_too_deeply_for_a_small_stack_is_only_a_failed_call(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 1)
    with deployment.running():
        # Only after the start: otherwise the event could precede `started` and be skipped.
        deployment.discovery_script.put(http_response(200, "[" * 30_000 + "]" * 30_000))
        assert "depth limit" in deployment.next_event("watch_failed")["text"]
        deployment.submit("read", http_response(200, "still there"))
    assert deployment.transcript[-1] == "client: 200 still there"


def test_servers_that_keep_no_idle_connections_do_not_block_the_timers(tmp_path: Path) -> None:
    deployment = Deployment(tmp_path, 1)
    deployment.configuration["settings"]["policyLimits"]["connIdleS"] = 0
    deployment.config_path.write_text(json.dumps(deployment.configuration))
    with deployment.running():
        for name in ("one", "two"):
            deployment.submit("read", http_response(200, name))
    assert deployment.transcript[1::2] == ["client: 200 one", "client: 200 two"]


def test_at_the_connection_limit_requests_are_rejected_at_once_and_none_is_lost(
    tmp_path: Path,
) -> None:
    deployment = Deployment(tmp_path, 1, limits={"memory_mb": 192, "sockets": 57})
    with deployment.running():
        idle = [socket.create_connection(deployment.address) for _ in range(4)]
        for sock in idle:
            deployment.send("no such", sock=sock)
            deployment.receive(sock, ResponseParser())
        deployment.send("read")
        assert deployment.servers[0].received_requests.acquire(timeout=5)
        # Both are accepted beyond the limit, and the first is unused when the second sends its request.
        beyond = [socket.create_connection(deployment.address) for _ in range(2)]
        for sock in reversed(beyond):
            deployment.send("read", sock=sock)
            deployment.receive(sock, ResponseParser())
        deployment.script.put(http_response(200, "room"))
        deployment.receive()
    check_trace("bound", [line for line in deployment.transcript if line.startswith("client")])


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("{", "Expecting"),
        ("[]", "list"),
        ("{}", "'settings' is missing"),
        ('{"settings": {"tariffs": []}}', "no tariffs"),
        (BAD_KNOWN_LIST, "known: '5' is no address"),
        (config_with(listen="here"), "listen: 'here' is no address"),
        (config_with(discovery=5), "discovery: "),
        (config_with(seed="z"), "seed: "),
        (config_with(limits=[]), "limits is no object"),
        (config_with(limits={"sockets": 50}), "limits.sockets: 50 leaves no room"),
        (config_with(limits={"memory_mb": 24, "sockets": 500}), "limits.memory_mb: 24 leaves no room"),
        (config_with(limits={"memory_mb": "192"}), "limits.memory_mb: '192' is not from"),
        (config_with(known={"hosts": [{"host": "s", "dial": "127.0.0.1:1"}]}), "known: KeyError: 'health'"),
        (None, "No such file"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, text: str | None, expected: str
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    command = [sys.executable, "-m", "pumicepath", "serve", "--config", str(path)]
    result = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert (result.returncode, result.stdout) == (2, "") and expected in result.stderr, result.stderr
    assert str(path) in result.stderr
    assert result.stderr.count("\n") == 1


def test_a_request_that_waited_to_be_accepted_past_its_deadline_is_not_sent(tmp_path: Path) -> None:
    """In the lab, after sidecars had been stopped, 74 submissions were sent and ran 2 s past the deadline."""
    deployment = Deployment(tmp_path, 1)
    with deployment.running():
        deployment.submit("once", http_response(200, "before"))
        stop_process(deployment.process)
        with socket.create_connection(deployment.address) as late:
            started_at = time.monotonic()
            deployment.send("once", 200, sock=late)
            while time.monotonic() - started_at < 0.6:  # until well after the deadline
                time.sleep(0.05)
            deployment.process.send_signal(signal.SIGCONT)
            response = deployment.receive(late, ResponseParser())
        assert response is not None and response.status != 200, deployment.transcript
        assert deployment.submit("once", http_response(200, "after")) is not None
    assert [line for line in deployment.transcript if line.startswith("s-0")] == [
        "s-0: GET /api?x=1 t1",
        "s-0: GET /api?x=1 t3",
    ], deployment.transcript
