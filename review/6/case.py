"""Clients get the answers that servers made for other requests, one after the other on a connection."""

import random
import select
import threading
import time
from pathlib import Path

from rig import (BROKEN, HELD, SETTINGS_LAGER, TROUBLE, Client, Discovery, Link, NotRun, Record, Server, Sidecar,
                 request_bytes, result_of, run_case, start_thread, status_of)

ONE_WAY_S = 0.002  # between the halls: 1.4 to 2.6 ms one way
SECOND_AFTER_S = 0.003  # a second answer may come some milliseconds late
SECOND_SHARE = 0.02  # of the answers get one
CLIENTS, SECONDS, WORK_S = 10, 20.0, 0.035


def case(record: Record, to_end: list) -> int:
    chance = random.Random(6)
    discovery = Discovery(record)

    def second_copy(sock, reader, answer):
        """Send the answer once more, some milliseconds late, if nothing else waits on the connection."""
        if not TROUBLE or chance.random() >= SECOND_SHARE:
            return
        time.sleep(SECOND_AFTER_S)
        if not reader.buffer and not select.select([sock], [], [], 0)[0]:
            sock.sendall(answer)
            record.note(f"{answer.partition(b'result of ')[2].split()[0].decode()}: second copy sent")

    for number in range(4):
        server = Server(record, f"s{number}", WORK_S)
        server.after = second_copy
        discovery.put(f"s{number}", Link(server.address, ONE_WAY_S).address, site="elverum-b", kind="vanleg")
    settings = {**SETTINGS_LAGER}
    sidecar = Sidecar(record, discovery.address, settings, discovery.whole())
    to_end.append(sidecar)
    sidecar.start()
    end = sidecar.wait_ready() + SECONDS
    counts = {"sent": 0, "200": 0, "other": 0, "no answer": 0, "foreign": 0}
    lock = threading.Lock()

    def count(what: str) -> None:
        with lock:
            counts[what] += 1

    def run_client(number: int) -> None:
        client, own = Client(sidecar.port), random.Random(number)
        asked = 0
        while time.monotonic() < end:
            asked += 1
            unsafe = own.random() < 0.47
            trace_id = f"{'reserve' if unsafe else 'read'}-c{number}-{asked:05d}"
            data = request_bytes(trace_id, "reserve" if unsafe else "stock-read",
                                 "POST" if unsafe else "GET", f"lot-{own.randrange(1500)}",
                                 1500 if unsafe else 2500, b"one lot" if unsafe else b"")
            count("sent")
            record.note(f"client {number}: asks {trace_id}")
            try:
                answer = client.ask(data, 4.0)
            except (OSError, ConnectionError, ValueError) as error:
                count("no answer")
                record.note(f"client {number}: {trace_id} without answer: {type(error).__name__}")
                continue
            status = status_of(answer)
            count("200" if status == 200 else "other")
            record.note(f"client {number}: {trace_id} answered {status} {answer.body[:60]!r}")
            if status == 200 and answer.body != result_of(trace_id, b"one lot" if unsafe else b""):
                count("foreign")
                record.note(f"BROKEN: {trace_id} was answered with {answer.body!r}")

    for number in range(CLIENTS):
        start_thread(run_client, number)
    time.sleep(SECONDS + 4.5)
    record.note(f"counts: {counts}")
    print(counts)
    if not counts["200"]:
        raise NotRun("nothing was served")
    return BROKEN if counts["foreign"] else HELD


run_case(Path(__file__).parent, case)
