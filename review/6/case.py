"""While a process is replaced, the id of an open request is taken again by the new one: a reserve runs twice."""

import json
import signal
import threading
import time
from pathlib import Path

from rig import (BROKEN, HELD, SETTINGS_LAGER, TROUBLE, Client, Discovery, NotRun, Record, Server, Sidecar,
                 free_port, request_bytes, run_case, start_thread, status_of)

ANSWER_BYTES, RATE = 640_000, 80_000  # a long answer, at 80 kB a second: open for 8 s
REPLACED_AT_S = 3.0  # after the requests were sent
TRIES_AT_S = (0.5, 2.0, 3.0, 4.6, 5.2, 5.5, 5.8)  # when the bad client sends their ids
KILL_AFTER_S = 2.5 + 0.7 + 0.1  # the longest deadline and 0.7 s more, and a little
IDS = 4


def case(record: Record, to_end: list) -> int:
    discovery = Discovery(record)

    def write_slowly(server: Server):
        def after(sock, reader, answer):
            if not answer.startswith(b"HTTP/1.1 200 X\r\nContent-Length: 640000"):
                return
            for _ in range(ANSWER_BYTES // (RATE // 10)):
                sock.sendall(b"x" * (RATE // 10))
                time.sleep(0.1)

        def handle(request):
            if request.headers.get("x-trace-id", "").startswith("open-"):
                return f"HTTP/1.1 200 X\r\nContent-Length: {ANSWER_BYTES}\r\n\r\n".encode()
            return server.serve_request(request)
        server.handle, server.after = handle, after

    servers = [Server(record, f"s{number}", 0.03) for number in range(4)]
    for server in servers:
        write_slowly(server)
        discovery.put(server.name, server.address, site="hamar-a", kind="vanleg")
    sidecar = Sidecar(record, discovery.address, SETTINGS_LAGER, discovery.whole())
    sidecar.config["admin_addr"] = f"127.0.0.1:{free_port()}"
    to_end.append(sidecar)
    sidecar.start()
    sidecar.wait_ready()
    over = threading.Event()
    served: list[int] = []

    def run_usual_client(number: int) -> None:
        client, asked = Client(sidecar.port), 0
        while not over.is_set():
            asked += 1
            trace_id = f"c{number}-{asked:04d}"
            try:
                served.append(status_of(client.ask(request_bytes(trace_id, "stock-read", "GET", f"lot-{asked}", 2500),
                                                   3.2)))
            except (OSError, ConnectionError, ValueError) as error:
                record.note(f"client {number}: {trace_id} {type(error).__name__}")
            time.sleep(0.05)

    def run_long(number: int) -> None:
        client = Client(sidecar.port)
        client.connect()
        assert client.sock is not None
        client.sock.settimeout(4.0)
        client.sock.sendall(request_bytes(f"open-{number}", "reserve", "POST", f"yard-{number}", 1500, b"one lot"))
        got = 0
        try:
            while data := client.sock.recv(1 << 16):
                got += len(data)
                if got >= ANSWER_BYTES:
                    break
        except OSError as error:
            record.note(f"open-{number}: {type(error).__name__}")
        record.note(f"open-{number}: got {got} bytes of its answer")

    broken = 0
    lock = threading.Lock()
    tried: dict[str, int] = {}

    def try_again(number: int, at: float) -> None:
        client = Client(sidecar.port)
        try:
            what = str(status_of(client.ask_once(request_bytes(f"open-{number}", "reserve", "POST", f"yard-{number}",
                                                               1500, b"one lot"), 3.0)))
        except (OSError, ConnectionError, ValueError) as error:
            what = f"no whole answer, {type(error).__name__}"
        client.close()
        record.note(f"bad client: open-{number}, {at} s after it was sent first: {what}")
        with lock:
            tried[what] = tried.get(what, 0) + 1

    def runs_of(trace_id: str) -> int:
        return sum(run[0] == trace_id for server in servers for run in server.runs)

    for number in range(6):
        start_thread(run_usual_client, number)
    time.sleep(1.0)
    began_at = time.monotonic()
    for number in range(IDS):
        start_thread(run_long, number)
    old = sidecar

    def replace() -> None:
        time.sleep(max(0.0, began_at + REPLACED_AT_S - time.monotonic()))
        new = Sidecar(record, discovery.address, SETTINGS_LAGER, json.loads(json.dumps(discovery.whole())),
                      replaces=old)
        new.config["admin_addr"] = f"127.0.0.1:{free_port()}"
        to_end.insert(0, new)
        new.start()
        try:
            new.wait_serving()
        except NotRun as error:
            record.note(f"new process: {error}")
            return
        old.signal(signal.SIGTERM)
        asked_at = time.monotonic()
        while old.process.poll() is None and time.monotonic() < asked_at + KILL_AFTER_S:
            time.sleep(0.01)
        if old.process.poll() is None:
            old.signal(signal.SIGKILL)
        record.note(f"old process ended {time.monotonic() - began_at:.3f} s after the requests")

    if TROUBLE:
        start_thread(replace)
    for at in TRIES_AT_S:
        time.sleep(max(0.0, began_at + at - time.monotonic()))
        for number in range(IDS):
            start_thread(try_again, number, at)
    time.sleep(3.3)
    over.set()
    time.sleep(0.3)
    for number in range(IDS):
        runs = [(server.name, round(run[2] - began_at, 3)) for server in servers for run in server.runs
                if run[0] == f"open-{number}"]
        if len(runs) > 1:
            broken += 1
            record.note(f"BROKEN: open-{number}, a reserve that must never run twice, has run {runs}")
    if any(not runs_of(f"open-{number}") for number in range(IDS)) or served.count(200) < 100:
        raise NotRun("the usual requests were not served")
    record.note(f"bad client was answered {tried}, usual clients {served.count(200)} of {len(served)} served")
    print(f"ids that ran twice: {broken} of {IDS}, bad client was answered {tried}")
    return BROKEN if broken else HELD


run_case(Path(__file__).parent, case)
