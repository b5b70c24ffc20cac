"""A seeded run of one sidecar among misuse, restarts and hanging servers, judged by what its clients see.

    result = run_soak(SoakPlan.draw(seed=7, seconds=12.0), folder)
    result.problems          # one line for each rule that was broken

Sidecar, servers and bad clients are processes of their own; honest clients are threads of this one.
"""

from __future__ import annotations

import random
import signal
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from .honest_clients import HonestClient, HonestRequest, Served
from .hostile_clients import BEHAVIOURS
from .memory_trial import deployment_with_servers, peak_mb
from .scripted import Deployment
from .server_process import ServerProcess

LONGEST_DEADLINE_S = 2.5  # of the deployment's request classes
KILL_AFTER_S = LONGEST_DEADLINE_S + 0.7  # past SIGTERM, the earliest that the operators' page allows
MEMORY_LIMITS_MB = (48, 64, 192)
EVENTS = ("hot restart", "restart", "restart", "reload", "reload", "server hangs")
CROWD_FORMS = tuple(name for name in BEHAVIOURS if name != "answers in small chunks")
CROWDED_FRACTION = 0.6  # of the runs
HANG_S = 1.5
HONEST_PAUSE_S = 0.15
CLIENTS_OF_A_KIND = 3
START_TIMEOUT_S = 20.0
UNSAFE_CLASS = "once"
FATAL_EVENTS = ("fault", "invariant_broken")


@dataclass(frozen=True)
class SoakPlan:
    """What a run consists of, all drawn from its seed."""

    seed: int
    seconds: float
    memory_mb: int
    servers: int
    crowd: str  # a form of misuse, or nothing
    crowd_size: int
    events: tuple[tuple[float, str], ...]  # seconds from the start, and what happens then

    @classmethod
    def draw(cls, seed: int, seconds: float) -> SoakPlan:
        """Draw a plan."""
        rng = random.Random(f"soak/{seed}")
        crowded = rng.random() < CROWDED_FRACTION
        times = sorted(rng.uniform(0.2, 0.8) * seconds for _ in range(rng.randrange(1, 4)))
        return cls(
            seed,
            seconds,
            rng.choice(MEMORY_LIMITS_MB),
            rng.randrange(3, 7),
            rng.choice(CROWD_FORMS) if crowded else "",
            rng.randrange(20, 120) if crowded else 0,
            tuple((at, rng.choice(EVENTS)) for at in times),
        )


@dataclass
class SoakResult:
    """What came of a run: problems, what became of the requests, and the highest memory of a process."""

    plan: SoakPlan
    problems: list[str] = field(default_factory=list)
    served: Served = field(default_factory=Served)
    unsafe: Served = field(default_factory=Served)
    peak_mb: float = 0.0


def safe_requests(rng: random.Random) -> list[HonestRequest]:
    """Requests that may run again: short ones, long bodies, and answers that go on past their deadline."""
    deadline = rng.randrange(600, 1500)
    return [
        HonestRequest("read", deadline, 0, 200),
        HonestRequest("read", deadline, 30_000, 20_000),
        HonestRequest("read", deadline, 0, 90_000, "&framing=chunked&piece=9000&pause_ms=100&first_ms=20"),
        HonestRequest("read", deadline, 0, 40_000, "&framing=close&piece=10000&pause_ms=300"),
    ]


def unsafe_requests(rng: random.Random) -> list[HonestRequest]:
    """Requests that must not run twice."""
    deadline = rng.randrange(600, 1500)
    return [
        HonestRequest(UNSAFE_CLASS, deadline, 500, 200),
        HonestRequest(UNSAFE_CLASS, deadline, 100_000, 500),
        HonestRequest(UNSAFE_CLASS, deadline, 0, 60_000, "&framing=chunked&piece=6000&pause_ms=120"),
    ]


class SoakRun:
    """One run; `run` returns its result."""

    def __init__(self, plan: SoakPlan, deployment: Deployment, servers: ServerProcess) -> None:
        self.plan = plan
        self.deployment = deployment
        self.servers = servers
        self.result = SoakResult(plan)
        self.rng = random.Random(f"events/{plan.seed}")
        self.stop = threading.Event()
        self.process: subprocess.Popen[bytes]

    def start(self) -> subprocess.Popen[bytes]:
        """Start a sidecar process and wait until it serves; returns it."""
        process = self.deployment.start_process()
        self.deployment.next_event("started", process=process)
        return process

    def run(self) -> SoakResult:
        """Play the plan."""
        self.process = self.start()
        logged = self.deployment.logs[self.process].all_events
        started = next(event for event in logged if event["event"] == "started")
        host, _, port = str(started["listen"]).rpartition(":")
        self.deployment.configuration["listen"] = str(started["listen"])
        self.deployment.write_configuration()
        clients = self.start_clients((host, int(port)))
        crowd = self.start_crowd(f"{host}:{port}")
        try:
            self.play_events()
        finally:
            self.stop.set()
            for client in clients:
                client.thread.join()
            if crowd is not None:
                crowd.wait()
            self.check_process(self.process)
            self.process.kill()
            self.process.wait()
        return self.result

    def start_clients(self, address: tuple[str, int]) -> list[HonestClient]:
        """Start the honest clients."""
        kinds = ((safe_requests, self.result.served), (unsafe_requests, self.result.unsafe))
        return [
            HonestClient(
                address,
                requests(self.rng),
                HONEST_PAUSE_S,
                f"{self.plan.seed}/{at}/{kind}",
                self.stop,
                served,
            )
            for kind, (requests, served) in enumerate(kinds)
            for at in range(3)
        ]

    def start_crowd(self, address: str) -> subprocess.Popen[bytes] | None:
        """Start the bad clients of the plan, if there are any."""
        if not self.plan.crowd:
            return None
        command = [sys.executable, "-m", "pumicepath.lab.loopback.hostile_clients", address, self.plan.crowd]
        command += [str(self.plan.crowd_size), str(self.plan.seconds * 0.8), str(self.plan.seed)]
        return subprocess.Popen(command, stdout=subprocess.DEVNULL)

    def play_events(self) -> None:
        """Have each event happen at its time, or as soon as the one before it is over."""
        began = time.monotonic()
        actions = {
            "hot restart": self.hot_restart,
            "restart": self.restart,
            "reload": self.reload,
            "server hangs": self.hang_server,
        }
        for at, name in self.plan.events:
            time.sleep(max(0.0, at - (time.monotonic() - began)))
            actions[name]()
        time.sleep(max(0.0, self.plan.seconds - (time.monotonic() - began)))

    def reload(self) -> None:
        """Send SIGHUP."""
        self.process.send_signal(signal.SIGHUP)

    def hang_server(self) -> None:
        """Have one server do nothing for a while."""
        self.servers.hang(self.rng.randrange(self.plan.servers), HANG_S)

    def restart(self) -> None:
        """Have the process end, kill it when that is allowed, and start another."""
        self.end(self.process)
        self.process = self.start()

    def hot_restart(self) -> None:
        """Start a process beside the one that serves, and have that one end."""
        old, self.process = self.process, self.start()
        self.end(old)

    def end(self, process: subprocess.Popen[bytes]) -> None:
        """Ask a process to end; kill it at the earliest time allowed if it has not."""
        self.check_process(process)
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(KILL_AFTER_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    def check_process(self, process: subprocess.Popen[bytes]) -> None:
        """Note a process that has ended by itself, used too much memory, or logged an error of its own."""
        if process.poll() is not None:
            self.result.problems.append(f"a process ended by itself: {process.returncode}")
            return
        peak = peak_mb(process.pid)
        self.result.peak_mb = max(self.result.peak_mb, peak)
        if peak > self.plan.memory_mb:
            self.result.problems.append(f"peak {peak:.1f} MB of {self.plan.memory_mb}")
        logged: list[dict[str, Any]] = self.deployment.logs[process].all_events
        self.result.problems += [str(event) for event in logged if event["event"] in FATAL_EVENTS]


def run_soak(plan: SoakPlan, folder: Path) -> SoakResult:
    """Play a plan and judge it."""
    with ServerProcess(plan.servers) as servers:
        deployment = deployment_with_servers(folder, servers)
        deployment.configuration["limits"] = {"memory_mb": plan.memory_mb, "sockets": 1024}
        deployment.environment = {"GW_ADMIN_ADDR": "127.0.0.1:0", "TMPDIR": str(folder)}
        deployment.write_configuration()
        result = SoakRun(plan, deployment, servers).run()
    for served in (result.served, result.unsafe):
        if served.lost:
            result.problems += [note for note in served.notes if ": failed after" not in note]
    unsafe_ids = set(result.unsafe.trace_ids)
    twice = {name: count for name, count in servers.times_run().items() if count > 1 and name in unsafe_ids}
    if twice:
        result.problems.append(f"unsafe requests that ran more than once: {twice}")
    return result
