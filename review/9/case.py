"""A sidecar that starts anew while discovery is crowded sends to servers that drain, by its old list."""

import signal
import threading
import time
from pathlib import Path

from rig import (BROKEN, HELD, TROUBLE, Client, Discovery, NotRun, Record, Server, Sidecar, request_bytes,
                 run_case, start_thread, status_of)

CROWDED_S = 3.0
GRACE_S = 0.5 + 0.05  # perth-main: nothing new later than 500 ms after; each time limit is 50 ms longer
SETTINGS = {
    "dcs": ["perth-dc1"], "zone": 0, "fleetSize": 4, "me": 0, "membershipMode": "pushed",
    "kinds": [], "weights": "nominal", "clientHabits": {"marksRetry": False},
    "policyLimits": {"cancel": True, "connIdleS": 30.0, "dialTimeoutS": 0.25, "maxRetryAfterS": 2.0,
                     "mayTell": False, "mostHops": 3, "probing": True, "retryAfter": True,
                     "secondCopies": False, "streamsPerConn": 1},
    "prices": {"connection": 0.0, "crossZone": 0.0, "handshake": 0.03},
    "report": {"how": "off", "names": []},
    "rules": {"askEveryS": 10.0, "coldFrom": 0.32, "coldS": 8.8, "fallMultiple": 3.0,
              "graceToAnswerS": 0.02, "overloadForS": 2.0, "stopSendingWithinS": 0.5},
    "tariffs": [
        {"name": "sheet-view", "agreedTimeS": 0.2, "patienceS": 0.5, "effect": "idempotent", "gain": 1.0,
         "lateGain": 0.0, "group": "all", "windowS": 5.0, "stream": False},
        {"name": "sheet-signoff", "agreedTimeS": 0.2, "patienceS": 0.4, "effect": "at_most_once", "gain": 5.0,
         "lateGain": 0.0, "group": "all", "windowS": 5.0, "stream": False},
        {"name": "pay-export", "agreedTimeS": 0.2, "patienceS": 0.5, "effect": "deduplicated", "gain": 8.0,
         "lateGain": 0.0, "group": "all", "windowS": 2.5, "stream": False}],
    "tenants": [],
}


def case(record: Record, to_end: list) -> int:
    discovery = Discovery(record)
    servers = [Server(record, f"s{number}", 0.02) for number in range(6)]
    for server in servers:
        discovery.put(server.name, server.address, site="perth-dc1")
    sidecar = Sidecar(record, discovery.address, SETTINGS, discovery.whole())
    to_end.append(sidecar)
    sidecar.start()
    sidecar.wait_ready()
    counts: dict[str, int] = {}
    lock = threading.Lock()

    def run_client(number: int, until: float) -> None:
        client, asked = Client(sidecar.port), 0
        while time.monotonic() < until:
            asked += 1
            trace_id = f"c{number}-{until:.0f}-{asked:04d}"
            try:
                answer = client.ask(request_bytes(trace_id, "sheet-view", "GET", f"crew-{number}-{asked}", 500), 1.0)
                what = str(status_of(answer))
            except (OSError, ConnectionError, ValueError) as error:
                what = type(error).__name__
            record.note(f"client {number}: {trace_id} answered {what}")
            with lock:
                counts[what] = counts.get(what, 0) + 1
            time.sleep(0.05)

    def load(seconds: float) -> None:
        until = time.monotonic() + seconds
        for number in range(4):
            start_thread(run_client, number, until)
        time.sleep(seconds + 0.6)

    load(1.0)
    # Two servers drain; the sidecar is told so by its watch.
    drained = servers[:2]
    for server in drained:
        version = discovery.set_health(server.name, "leaving")
    told_by = time.monotonic() + 3.0
    while version not in discovery.told and time.monotonic() < told_by:
        time.sleep(0.01)
    if version not in discovery.told:
        raise NotRun("the sidecar has not been told")
    load(1.5)
    # It is killed, and starts again under its name and address with the list of its file, which is old.
    sidecar.signal(signal.SIGKILL)
    sidecar.process.wait()
    time.sleep(0.3)
    if TROUBLE:
        discovery.crowded_until = time.monotonic() + CROWDED_S
        record.note(f"discovery is crowded for {CROWDED_S} s")
    sidecar.start()
    started_at = sidecar.started_at
    ready_at = sidecar.wait_ready()
    record.note(f"ready {ready_at - started_at:.3f} s after its start")
    load(max(1.0, started_at + CROWDED_S + 1.0 - time.monotonic()))
    broken = 0
    for server in drained:
        for trace_id, first_at in server.begun:
            if first_at > started_at + GRACE_S:
                broken += 1
                record.note(f"BROKEN: {server.name}, which drains, was sent {trace_id} "
                            f"{first_at - started_at:.3f} s after the first moment of the process")
    if not counts.get("200"):
        raise NotRun("nothing was served")
    record.note(f"counts {counts}, broken {broken}")
    print(f"ready after {ready_at - started_at:.2f} s, {counts}, broken {broken}")
    return BROKEN if broken else HELD


run_case(Path(__file__).parent, case)
