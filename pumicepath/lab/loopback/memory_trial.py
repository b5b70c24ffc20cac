"""One sidecar process with many clients that misuse it: its peak memory, and what honest clients got."""

from __future__ import annotations

import subprocess
import sys
import threading
import time
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple

from ...sidecar.memory_account import MemoryKind
from .honest_clients import HonestClient, HonestRequest, Served
from .scripted import Deployment
from .server_process import ServerProcess

SERVERS = 4
HONEST_CLIENTS = 4
HONEST_PAUSE_S = 0.1
SLOW_SERVER_PAUSE_S = 0.1
SETTLE_S = 1.0
REST_S = 30.0  # longer than any deadline, and than a busy machine takes for what had arrived
METRICS_POLL_S = 0.05
BEGIN_S = 20.0  # until the crowd's memory must show, however busy the machine is
UNTIL_INPUT_ENDS = "0"  # seconds for which the bad clients run
KB_PER_MB = 1024


@dataclass(frozen=True)
class MemoryTrial:
    """What is run; `form` names a behaviour of `hostile_clients`, `expires_ms` is for honest requests.

    The bad clients run for so many `seconds` from when memory of that `kind` has been held for one of them:
    on a busy machine their first connections may be closed before they have sent anything.  Without a `kind`
    the time begins at once.
    """

    form: str
    memory_mb: int = 64
    clients: int = 250
    seconds: float = 6.0
    seed: int = 1
    expires_ms: int = 1000
    descriptors: int = 1024
    interpreted: bool = False  # the sidecar runs without its compiled modules
    kind: MemoryKind | None = None


@dataclass
class MemoryTrialResult:
    """Memory in MB (`peak_mb` is infinite if the process ended), connections made, and honest requests.

    `metrics` are those of the sidecar after the last client has gone.
    """

    start_mb: float
    peak_mb: float
    connections: int
    served: Served
    metrics: dict[str, int]


def peak_mb(pid: int) -> float:
    """Return the highest resident memory of a process so far."""
    status = Path(f"/proc/{pid}/status").read_text()
    peak_kb = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
    return peak_kb / KB_PER_MB


class ServerAddress(NamedTuple):
    """A server of a deployment that runs elsewhere."""

    name: str
    address: str


def deployment_with_servers(folder: Path, servers: ServerProcess) -> Deployment:
    """Return a deployment of these servers; its file is not written yet."""
    deployment = Deployment(folder, 0)
    addresses = [ServerAddress(f"s-{at}", address) for at, address in enumerate(servers.addresses)]
    deployment.servers = addresses  # type: ignore[assignment]
    deployment.configuration["known"] = deployment.list_document(1, True, "active")
    deployment.write_configuration()
    return deployment


def honest_requests(expires_ms: int) -> list[HonestRequest]:
    """What the honest clients send."""
    return [
        HonestRequest("read", expires_ms, 0, 100),
        HonestRequest("once", expires_ms, 500, 2000),
        HonestRequest("read", expires_ms, 0, 20_000),
    ]


def run_hostile_clients(trial: MemoryTrial, deployment: Deployment) -> int:
    """Run the bad clients in a process of their own; returns how many connections they made."""
    host, port = deployment.address
    command = [sys.executable, "-m", "pumicepath.lab.loopback.hostile_clients", f"{host}:{port}"]
    command += [trial.form, str(trial.clients), UNTIL_INPUT_ENDS, str(trial.seed)]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True) as process:
        wait_for_memory(trial, deployment)
        time.sleep(trial.seconds)
        output, _ = process.communicate()
    return int(output)


def wait_for_memory(trial: MemoryTrial, deployment: Deployment) -> None:
    """Wait until memory of the trial's kind has been held, for a bounded time."""
    end = time.monotonic() + BEGIN_S
    while trial.kind is not None and time.monotonic() < end and deployment.process.poll() is None:
        if deployment.metrics().get(f"edge_gw.memory_peak.{trial.kind}"):
            return
        time.sleep(METRICS_POLL_S)


def run_memory_trial(trial: MemoryTrial, folder: Path) -> MemoryTrialResult:
    """Run a new sidecar against one form of misuse."""
    with ServerProcess(SERVERS, SLOW_SERVER_PAUSE_S if "uploads" in trial.form else 0.0) as servers:
        return run_against_servers(trial, deployment_with_servers(folder, servers))


def metrics_at_rest(deployment: Deployment) -> dict[str, int]:
    """Return the metrics once no memory is held, or after the time in which all requests have ended."""
    end = time.monotonic() + REST_S
    while (metrics := deployment.metrics())["edge_gw.memory_held"] and time.monotonic() < end:
        time.sleep(METRICS_POLL_S)
    return metrics


def run_against_servers(trial: MemoryTrial, deployment: Deployment) -> MemoryTrialResult:
    """Run the sidecar of a deployment against one form of misuse."""
    deployment.configuration["limits"] = {"memory_mb": trial.memory_mb, "sockets": trial.descriptors}
    deployment.environment["GW_ADMIN_ADDR"] = "127.0.0.1:0"
    if trial.interpreted:
        deployment.environment["PUMICEPATH_INTERPRETED"] = "1"
    deployment.write_configuration()
    with deployment.running():
        pid = deployment.process.pid
        start = peak_mb(pid)
        served, stop = Served(), threading.Event()
        requests = honest_requests(trial.expires_ms)
        honest = [
            HonestClient(deployment.address, requests, HONEST_PAUSE_S, f"{trial.seed}/{at}", stop, served)
            for at in range(HONEST_CLIENTS)
        ]
        connections = run_hostile_clients(trial, deployment)
        time.sleep(SETTLE_S)
        stop.set()
        for client in honest:
            client.thread.join()
        is_running = deployment.process.poll() is None
        peak = peak_mb(pid) if is_running else float("inf")
        metrics = metrics_at_rest(deployment) if is_running else {}
    return MemoryTrialResult(start, peak, connections, served, metrics)
