"""Cost of a server list in a sidecar: CPU of lists, changes and decisions; memory and CPU of an idle `serve`.

`measure_list_updates` and `measure_decision` run the real parser, `Watch`, `Roster` and `Balancer` in this
process; `measure_idle_sidecars` runs real processes that follow the source of `list_source.py`.
"""

from __future__ import annotations

import os
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from list_source import ListSource, full_list, http_response, list_change
from parts import PLAN, NullCallbacks
from worktrees import ROOT

from pumicepath.balancer import Balancer
from pumicepath.discovery.server_list import ServerList
from pumicepath.discovery.watch import Watch
from pumicepath.interface import ListKind, Outcome
from pumicepath.lab.loopback.process import SidecarProcess
from pumicepath.lab.spec import sidecar_settings as settings_of
from pumicepath.settings import decode_settings

OWN_ZONE = "zone-00"


class ListReceiver:
    """The parts of a sidecar from the bytes of a response to the state of its balancer."""

    def __init__(self) -> None:
        self.server_list = ServerList([OWN_ZONE], lambda born: max(0, born))
        self.watch = Watch(self.server_list, "127.0.0.1:1", -1, 20_000_000)
        self.balancer = Balancer(decode_settings(settings_of(PLAN, 0, 0)), 1, NullCallbacks())
        self.now = 10**9

    def receive(self, data: bytes) -> None:
        """Parse one response and apply it to the balancer."""
        parser = self.watch.parser
        while data:
            free_space = parser.ring.writable()
            chunk = data[: len(free_space)]
            free_space[: len(chunk)] = chunk
            parser.ring.commit(len(chunk))
            data = data[len(chunk) :]
            response = parser.next()
        assert response is not None
        update = self.watch.handle_response(response)
        self.now += 1_000
        self.balancer.update_servers(
            self.now, ListKind.FULL if update.whole else ListKind.CHANGES, update.entries
        )


def measure_list_updates(servers: int) -> dict[str, float]:
    """Microseconds for a first full list of that size, for a repeated one and for one change; their bytes."""
    receiver = ListReceiver()
    first = http_response(full_list(servers, 1))
    began = time.process_time()
    receiver.receive(first)
    first_s = time.process_time() - began
    repeats = max(2, 2000 // servers)
    responses = [http_response(full_list(servers, 2 + at)) for at in range(repeats)]
    began = time.process_time()
    for each in responses:
        receiver.receive(each)
    repeated_s = (time.process_time() - began) / repeats
    changes = max(20, min(500, 200_000 // servers))
    responses = [http_response(list_change(2 + repeats + at, at % servers)) for at in range(changes)]
    began = time.process_time()
    for each in responses:
        receiver.receive(each)
    change_s = (time.process_time() - began) / changes
    return {
        "first_us": first_s * 1e6,
        "whole_us": repeated_s * 1e6,
        "change_us": change_s * 1e6,
        "list_bytes": len(first),
        "change_bytes": len(responses[-1]),
    }


def measure_decision(servers: int, new_keys: bool) -> float:
    """Microseconds to decide on one submission and record its end, all servers in the sidecar's own zone.

    Each key is new if `new_keys`; else 50 known keys recur, whose random draws the balancer has cached.
    """
    receiver = ListReceiver()
    message = full_list(servers, 1)
    for each in message["hosts"]:
        each["site"] = OWN_ZONE
    receiver.receive(http_response(message))
    balancer, state = receiver.balancer, [receiver.now, 0]

    def decide() -> None:
        state[0] += 6_667  # microseconds: 150 calls a second
        state[1] += 1
        key = 10**6 + state[1] if new_keys else 1 + state[1] % 50
        submission = balancer.submit(state[0], state[1], 0, key, False, state[0] + 2_000_000)
        submission.hop_finished(state[0] + 5000, 0, Outcome.OK, 5000, True)

    repeats = max(50, min(5000, 400_000 // servers))
    for _ in range(50):
        decide()
    began = time.process_time()
    for _ in range(repeats):
        decide()
    return (time.process_time() - began) / repeats * 1e6


def sidecar_config(servers: int, source_address: tuple[str, int]) -> dict[str, Any]:
    """Configuration of a `serve` that follows the source and knows its list from the start."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"{source_address[0]}:{source_address[1]}",
        "seed": "1f",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": full_list(servers),
        "settings": settings_of(PLAN, 0, 0),
    }


def measure_idle_sidecars(
    servers: int, changes_per_s: Sequence[float], seconds: float
) -> list[dict[str, float]]:
    """A real `serve` for each rate of changes, side by side: MB when idle, then CPU ms and bytes a second."""
    sources = [ListSource(servers) for _ in changes_per_s]
    sidecars: list[SidecarProcess] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            sidecars = [
                SidecarProcess(
                    sidecar_config(servers, source.address),
                    Path(folder) / str(at),
                    ROOT,
                    os.sched_getaffinity(0),
                )
                for at, source in enumerate(sources)
            ]
            for sidecar in sidecars:
                while sidecar.address() is None:
                    time.sleep(0.02)
            time.sleep(2.0)
            idle_mb = [sidecar.memory_mb() for sidecar in sidecars]
            for rate, source in zip(changes_per_s, sources):
                if rate:
                    source.make_changes(10**9, 1 / rate)
            time.sleep(1.0)
            before = [
                (sum(sidecar.cpu_seconds()), source.read_counters())
                for sidecar, source in zip(sidecars, sources)
            ]
            began = time.monotonic()
            time.sleep(seconds)
            after = [
                (sum(sidecar.cpu_seconds()), source.read_counters())
                for sidecar, source in zip(sidecars, sources)
            ]
            elapsed_s = time.monotonic() - began
            return [
                {
                    "mb": mb,
                    "cpu_ms": (end[0] - start[0]) / elapsed_s * 1000,
                    "bytes": (end[1]["bytes"] - start[1]["bytes"]) / elapsed_s,
                    "changes": (end[1]["seq"] - start[1]["seq"]) / elapsed_s,
                }
                for mb, start, end in zip(idle_mb, before, after)
            ]
        finally:
            for sidecar in sidecars:
                sidecar.kill()
            for source in sources:
                source.end()
