"""Peak memory of one sidecar against its limit, by what many clients put on their connections at once.

    .venv/bin/python benchmarks/memory_by_form.py --memory 64 --clients 250

Beside them a few honest clients send short requests; the last columns say what became of those.  One process
each for the sidecar, the bad clients, and servers with honest clients.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from pumicepath.compiled import FORM  # noqa: E402
from pumicepath.lab.loopback.commanded_server import CommandedServer, RunLog  # noqa: E402
from pumicepath.lab.loopback.honest_clients import HonestClient, HonestRequest, Served  # noqa: E402
from pumicepath.lab.loopback.hostile_clients import BEHAVIOURS  # noqa: E402
from pumicepath.lab.loopback.scripted import Deployment  # noqa: E402

SERVERS = 4
HONEST_CLIENTS = 4
HONEST_PAUSE_S = 0.1
SLOW_SERVER_PAUSE_S = 0.1
SETTLE_S = 1.0
HONEST_REQUESTS = [
    HonestRequest("read", 1000, 0, 100),
    HonestRequest("once", 1000, 500, 2000),
    HonestRequest("read", 1000, 0, 20_000),
]


def peak_kb(pid: int) -> int:
    """Return the highest resident memory of a process so far, in KB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))


def measure(name: str, memory_mb: int, clients: int, seconds: float, seed: int) -> None:
    """Run one form against a new sidecar and print a line."""
    with tempfile.TemporaryDirectory() as folder:
        log = RunLog()
        deployment = Deployment(Path(folder), 0)
        deployment.configuration["limits"] = {"memory_mb": memory_mb, "sockets": 1024}
        pause = SLOW_SERVER_PAUSE_S if "uploads" in name else 0.0
        deployment.servers = [CommandedServer(f"s-{at}", log, pause) for at in range(SERVERS)]  # type: ignore[misc]
        deployment.configuration["known"] = deployment.list_document(1, True, "active")
        deployment.write_configuration()
        with deployment.running():
            start_kb = peak_kb(deployment.process.pid)
            served, stop = Served(), threading.Event()
            honest = [
                HonestClient(
                    deployment.address, HONEST_REQUESTS, HONEST_PAUSE_S, f"{seed}/{at}", stop, served
                )
                for at in range(HONEST_CLIENTS)
            ]
            command = [
                sys.executable,
                "-m",
                "pumicepath.lab.loopback.hostile_clients",
                f"{deployment.address[0]}:{deployment.address[1]}",
                name,
                str(clients),
                str(seconds),
                str(seed),
            ]
            began = time.monotonic()
            made = subprocess.run(command, cwd=ROOT, capture_output=True, text=True).stdout.strip()
            time.sleep(SETTLE_S)
            stop.set()
            for client in honest:
                client.thread.join()
            ended = deployment.process.poll()
            peak = peak_kb(deployment.process.pid) if ended is None else 0
        mark = "  OVER" if peak > memory_mb * 1024 or ended is not None else ""
        print(
            f"{name:<31}{memory_mb:>5}{clients:>6}{start_kb / 1024:>7.1f}{peak / 1024:>7.1f}{made:>7}"
            f"{served.total:>7}{served.outcomes['served']:>7}{served.outcomes['refused']:>7}{served.lost:>6}"
            f"{served.slowest_s:>7.2f}{time.monotonic() - began:>6.0f}{mark}",
            flush=True,
        )
        for note in served.notes[:3]:
            print(f"    {note}", flush=True)


def main() -> None:
    """Measure the forms that the arguments name, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--memory", type=int, nargs="*", default=[64], help="limits in MB")
    parser.add_argument("--clients", type=int, default=250)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", nargs="*", default=list(BEHAVIOURS))
    options = parser.parse_args()
    print(f"{FORM}; MB; honest requests: total, served, refused, lost, slowest in s")
    print(
        f"{'form':<31}{'limit':>5}{'bad':>6}{'start':>7}{'peak':>7}{'made':>7}{'total':>7}{'served':>7}",
        end="",
    )
    print(f"{'refus':>7}{'lost':>6}{'slow':>7}{'took':>6}")
    for memory_mb in options.memory:
        for name in options.only:
            measure(name, memory_mb, options.clients, options.seconds, options.seed)


if __name__ == "__main__":
    main()
