"""Memory and cost of duties and membership by size of the fleet: the real decisions on simulated links."""

from __future__ import annotations

import multiprocessing
import os
import time
from collections.abc import Callable
from multiprocessing.connection import Connection
from pathlib import Path
from random import Random
from typing import Any

from duties import DutyFleet

from pumicepath.lab.model.links import Links
from pumicepath.lab.model.timeline import SECOND, VirtualTimeline
from pumicepath.lab.virtual.peers import VirtualFleet, VirtualNode

VOTERS = 3
LEASE_S = 10.0


def count_cpu(node: VirtualNode, cpu_s: dict[int, float]) -> None:
    """Count the CPU seconds of one sidecar's membership and duties in `cpu_s`, by its number."""

    def wrapped(call: Callable[..., None]) -> Callable[..., None]:
        def timing(*arguments: Any) -> None:
            began = time.thread_time()
            call(*arguments)
            cpu_s[node.number] += time.thread_time() - began

        return timing

    node.receive, node.timer_fired = wrapped(node.receive), wrapped(node.timer_fired)  # type: ignore[method-assign]


def fleet_with_duties(count: int, duties: int, seed: int) -> DutyFleet:
    """A fleet 60 virtual seconds after its start; its duties have been asked for since second 40."""
    fleet = DutyFleet(count, LEASE_S, [], seed)
    rng = Random(seed)
    wanted_duties: dict[int, list[str]] = {}
    for number in range(duties):
        wanted_duties.setdefault(rng.randrange(count), []).append(f"trial a s-{number}")
    fleet.time.run(40 * SECOND)

    def want_duties() -> None:
        for node in fleet.peering.nodes:
            if node.fleet_node is not None and node.fleet_node.duties is not None:
                node.fleet_node.duties.set_wanted(node.clock(), wanted_duties.get(node.number, []))
                node.schedule_timer()

    fleet.want_duties = want_duties  # type: ignore[method-assign]
    want_duties()
    fleet.time.run(fleet.time.now + 20 * SECOND)
    return fleet


def measure_voters(count: int, duties: int, seed: int) -> dict[str, float]:
    """Messages, bytes and microseconds of CPU a second of the busiest voter, each duty wanted by one sidecar.

    Raises RuntimeError if a duty is without a holder at the end.
    """
    fleet = fleet_with_duties(count, duties, seed)
    fleet.links.sent.clear()
    fleet.links.bytes.clear()
    cpu_s = dict.fromkeys(range(VOTERS), 0.0)
    for each in cpu_s:
        count_cpu(fleet.peering.nodes[each], cpu_s)
    fleet.time.run(fleet.time.now + 20 * SECOND)
    held_duties = sum(
        len(node.fleet_node.duties.held(node.clock()))
        for node in fleet.peering.nodes
        if node.fleet_node is not None and node.fleet_node.duties is not None
    )
    if held_duties != duties:
        raise RuntimeError(f"{held_duties} of {duties} duties have a holder")
    return {
        "voter_messages": max(fleet.links.sent[each] for each in range(VOTERS)) / 20,
        "voter_bytes": max(fleet.links.bytes[each] for each in range(VOTERS)) / 20,
        "voter_cpu_us": max(cpu_s.values()) / 20 * 1e6,
    }


def resident_kb() -> float:
    """Resident memory of this process."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1000


def send_member_kb(pipe: Connection, count: int) -> None:
    """Send the growth of resident memory for each member of a simulated fleet."""
    time_ = VirtualTimeline()
    peering = VirtualFleet(time_, Links(time_, 1, 300), 1, count)
    before = resident_kb()
    for number in range(count):
        peering.start(number)
    time_.run(30 * SECOND)
    pipe.send((resident_kb() - before) / count)


def send_fleet_kb(pipe: Connection, count: int, duties: int, seed: int) -> None:
    """Send the resident memory of a simulated fleet with duties."""
    fleet = fleet_with_duties(count, duties, seed)
    pipe.send(resident_kb())
    del fleet


def run_in_own_process(run: Callable[..., None], *arguments: Any) -> float:
    """Run a function in a new process and return the value that it sends."""
    context = multiprocessing.get_context("spawn")
    pipe, child_pipe = context.Pipe()
    process = context.Process(target=run, args=(child_pipe, *arguments))
    process.start()
    result: float = pipe.recv()
    process.join()
    return result


def member_kb(count: int) -> float:
    """Memory of one sidecar's membership once all members know each other."""
    return run_in_own_process(send_member_kb, count)


def voter_kb(count: int, duties: int, seed: int) -> float:
    """Memory of the duties of a fleet divided by its voters: an upper bound on what one voter holds."""
    return (
        run_in_own_process(send_fleet_kb, count, duties, seed)
        - run_in_own_process(send_fleet_kb, count, 0, seed)
    ) / VOTERS
