"""CPU time of a submission on real sockets: two versions in alternation, in total and by system call.

    python benchmarks/cost.py --old HEAD~1 --runs 5 --cores 1,2,3

The sidecar has the first core to itself, the simulated servers the second, the clients the third.  Clients
are closed loops on 8 connections; one submission in four has a body.  Servers are the lab's, and answer at
once.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import re
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import click
from worktrees import ROOT, checked_out_trees

sys.path.insert(0, str(ROOT))

from pumicepath.lab.loopback.client_connections import encode_request  # noqa: E402
from pumicepath.lab.loopback.process import SidecarProcess  # noqa: E402
from pumicepath.lab.loopback.separate_processes import run_servers  # noqa: E402
from pumicepath.lab.spec import Fleet, Load, Plan, RequestClassSpec, Sidecars  # noqa: E402


def plan(servers: int) -> Plan:
    """A plan whose servers always have a free core and answer within a tenth of a millisecond."""
    durations = {"agreed_ms": 600, "patience_ms": 2500}
    return Plan(
        lasts_s=3600,
        fleet=Fleet(halls=1, servers=servers, cores=1000, work_ms=0.01, near_ms=0.01, miss=1.0),
        sidecars=Sidecars(count=1),
        load=Load(
            tariffs=(
                RequestClassSpec(name="read", **durations),
                RequestClassSpec(name="once", effect="at_most_once", gain=3.0, **durations),
            )
        ),
    )


def servers_process(pipe, core: int, servers: int, folder: str) -> None:
    """Serve on one core until terminated; sends the sidecar's configuration through `pipe` first."""
    os.sched_setaffinity(0, {core})

    async def run() -> None:
        async with run_servers(plan(servers), 7, Path(folder)) as fleet:
            pipe.send(fleet.configuration)
            await asyncio.Event().wait()

    asyncio.run(run())


class ClosedLoopClient(asyncio.Protocol):
    """One connection that sends the next request as soon as it has the response.

    `tally` counts responses by status.
    """

    def __init__(self, number: int, tally: dict[int, int]) -> None:
        self.number, self.tally = number << 32, tally

    def connection_made(self, transport) -> None:
        self.transport = transport
        self.send_request()

    def send_request(self) -> None:
        self.number += 1
        non_idempotent = self.number % 4 == 0
        key = hash(self.number * 2654435761) % 2000 + 1
        self.transport.write(
            encode_request(
                "once" if non_idempotent else "read",
                not non_idempotent,
                f"{self.number:x}-1",
                key,
                2000,
                False,
                200,
            )
        )

    def data_received(self, data: bytes) -> None:
        status = int(data[9:12])
        self.tally[status] = self.tally.get(status, 0) + 1
        self.send_request()


def clients_process(address: tuple[str, int], core: int, connections: int, pipe) -> None:
    """Run the clients on one core; each message on `pipe` is answered with the responses so far by status."""
    os.sched_setaffinity(0, {core})
    tally: dict[int, int] = {}

    async def run() -> None:
        loop = asyncio.get_running_loop()
        for number in range(connections):
            await loop.create_connection(lambda number=number: ClosedLoopClient(number + 1, tally), *address)
        while True:
            await asyncio.sleep(0.02)
            while pipe.poll():
                pipe.recv()
                pipe.send(dict(tally))

    asyncio.run(run())


def context_switches(pid: int) -> int:
    """Voluntary and involuntary context switches of all threads of a process."""
    total = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total += sum(map(int, re.findall(r"ctxt_switches:\s+(\d+)", (task / "status").read_text())))
    return total


def measure(root: Path, cores: list[int], connections: int, seconds: float, trace: bool) -> dict:
    """Costs of one submission over `seconds`, for a sidecar of the tree at `root`; times in milliseconds."""
    context = multiprocessing.get_context("spawn")
    fleet_pipe, fleet_child_pipe = context.Pipe()
    with tempfile.TemporaryDirectory() as folder:
        fleet = context.Process(
            target=servers_process, args=(fleet_child_pipe, cores[1], 4, folder), daemon=True
        )
        fleet.start()
        config = fleet_pipe.recv()
        sidecar = SidecarProcess(config, Path(folder), root, {cores[0]})
        try:
            while (address := sidecar.address()) is None:
                time.sleep(0.02)
            time.sleep(0.3)
            parent_pipe, child_pipe = context.Pipe()
            clients = context.Process(
                target=clients_process, args=(address, cores[2], connections, child_pipe), daemon=True
            )
            clients.start()

            def served() -> dict[int, int]:
                parent_pipe.send(None)
                return parent_pipe.recv()

            time.sleep(1.5)
            before, (own, system) = served(), sidecar.cpu_seconds()
            switches_before = context_switches(sidecar.process.pid)
            trace_output = ""
            if trace:
                command = f"timeout -s INT {seconds} strace -c -f -p {sidecar.process.pid}"
                trace_output = subprocess.run(command.split(), capture_output=True, text=True).stderr
            else:
                time.sleep(seconds)
            after, (own_then, system_then) = served(), sidecar.cpu_seconds()
            count = after.get(200, 0) - before.get(200, 0)
            result = {
                "submissions": count,
                "not_200": sum(after.values()) - after.get(200, 0),
                "ms": (own_then + system_then - own - system) * 1e3 / count,
                "own_ms": (own_then - own) * 1e3 / count,
                "system_ms": (system_then - system) * 1e3 / count,
                "switches": (context_switches(sidecar.process.pid) - switches_before) / count,
                "per_s": count / seconds,
                "memory_mb": sidecar.memory_mb(),
                "threads": sidecar.thread_count(),
            }
            if trace:
                lines = re.findall(r"^ *[\d.]+ +[\d.]+ +\d+ +(\d+) +(?:\d+ +)?(\w+)$", trace_output, re.M)
                result["calls"] = {
                    name: round(int(calls) / count, 2) for calls, name in lines if int(calls) > count / 50
                }
            clients.terminate()
            return result
        finally:
            sidecar.kill()
            fleet.terminate()


@click.command()
@click.option(
    "--old", default="", help="A commit to compare with, measured in alternation with the working tree."
)
@click.option("--runs", default=5, show_default=True)
@click.option("--seconds", default=4.0, show_default=True)
@click.option("--connections", default=8, show_default=True)
@click.option(
    "--cores", default="1,2,3", show_default=True, help="Cores of the sidecar, the servers and the clients."
)
@click.option(
    "--trace", is_flag=True, help="Count system calls with strace, which makes the times meaningless."
)
def main(old: str, runs: int, seconds: float, connections: int, cores: str, trace: bool) -> None:
    """Measure the CPU time of a submission in the sidecar."""
    core_numbers = [int(core) for core in cores.split(",")]
    results: dict[str, list[dict]] = {}
    with checked_out_trees(old) as roots:
        for _ in range(runs):
            for name, root in roots.items():
                result = measure(root, core_numbers, connections, seconds, trace)
                results.setdefault(name, []).append(result)
                print(
                    name,
                    json.dumps(
                        {
                            key: round(value, 3) if isinstance(value, float) else value
                            for key, value in result.items()
                        }
                    ),
                    flush=True,
                )
    for name, runs_of in results.items():
        values = sorted(result["ms"] for result in runs_of)
        print(
            f"{name}: {statistics.median(values):.3f} ms a submission, median "
            f"({values[0]:.3f} to {values[-1]:.3f}, {len(values)} runs), "
            f"{statistics.median(result['switches'] for result in runs_of):.1f} context switches"
        )
    if old:
        ratio = [b["ms"] / a["ms"] for a, b in zip(results["old"], results["new"])]
        print(f"new / old: {statistics.median(ratio):.2f} ({min(ratio):.2f} to {max(ratio):.2f})")


if __name__ == "__main__":
    main()
