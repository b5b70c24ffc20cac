"""What a relay costs by its followers: a real `pumicepath relay` behind the stand-in for discovery.

`relayed(count)`: microseconds of its CPU for each renewal, each change and each whole list, its memory, and
the bytes of its answers.  Each follower asks for 8 of 1,900 services; 20,000 servers are held.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any

from hearing import sidecar_config
from telling import Followers, ListSource
from trees import ROOT

from pumicepath.lab.loopback.process import SidecarProcess

SERVERS, SERVICES, SERVICES_PER_FOLLOWER = 20_000, 1_900, 8
WAIT_MS = 2250  # a sidecar's at a relay: 3 s, half to all
CHANGES_PER_S = 50.0
TICKS_PER_S, PAGE_BYTES = os.sysconf("SC_CLK_TCK"), os.sysconf("SC_PAGE_SIZE")


class RelayProcess:
    def __init__(self, folder: Path, source: ListSource) -> None:
        path = folder / "relay.json"
        path.write_text(
            json.dumps(
                {
                    "name": "r1",
                    "listen": "127.0.0.1:0",
                    "admin": "127.0.0.1:0",
                    "wholeBytesPerS": 10**9,
                    "sources": {"eu": f"{source.address[0]}:{source.address[1]}"},
                }
            )
        )
        self.log = folder / "relay.log"
        with self.log.open("wb") as log:
            command = [sys.executable, "-O", "-m", "pumicepath", "relay", "--config", str(path)]
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log)

    def events(self, name: str) -> list[dict[str, Any]]:
        lines = self.log.read_bytes().split(b"\n")[:-1]
        return [event for event in map(json.loads, lines) if event["event"] == name]

    def wait_for_address(self) -> tuple[str, int]:
        """Raises TimeoutError after 20 s."""
        end = time.monotonic() + 20
        while not self.events("started"):
            if time.monotonic() > end or self.process.poll() is not None:
                raise TimeoutError("the relay has not started")
            time.sleep(0.02)
        host, _, port = self.events("started")[0]["listen"].rpartition(":")
        return host, int(port)

    def cpu_s(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def memory_mb(self) -> float:
        return int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6

    def end(self) -> None:
        self.process.kill()
        self.process.wait()


def follow_for(followers: Followers, seconds: float) -> tuple[int, int]:
    """Answers and their bytes meanwhile."""
    answers, size, end = followers.answers, followers.bytes, time.monotonic() + seconds
    followers.run(lambda: time.monotonic() > end)
    return followers.answers - answers, followers.bytes - size


def services_of_follower(number: int) -> str:
    picked = Random(number).sample(range(SERVICES), SERVICES_PER_FOLLOWER)
    return ",".join(f"service-{service:04d}" for service in sorted(picked))


def wait_for_list(address: tuple[str, int]) -> None:
    """Until the relay has the list; before, it answers 503."""
    end = time.monotonic() + 20
    while time.monotonic() < end:
        followers = Followers(address, 1, WAIT_MS, 0, services_of_follower)
        followers.send_request(followers.socks[0], 0)
        followers.run(lambda one=followers: one.replies > 0, watch_again=False)  # type: ignore[misc]
        followers.close()
        if followers.answers_by_version or followers.missing_bytes:
            return
        time.sleep(0.1)
    raise TimeoutError("the relay has no list")


def measure_relay(count: int) -> dict[str, float]:
    source = ListSource(SERVERS, services=SERVICES)
    with tempfile.TemporaryDirectory() as folder:
        relay = RelayProcess(Path(folder), source)
        try:
            address = relay.wait_for_address()
            wait_for_list(address)
            time.sleep(0.5)
            before = relay.cpu_s()
            followers = Followers(address, count, WAIT_MS, 0, services_of_follower)
            for sock in followers.socks:
                followers.send_request(sock, 0)
            followers.run(lambda: followers.answers >= count, watch_again=False)
            full_lists_cpu_s, whole_bytes = relay.cpu_s() - before, followers.bytes / count
            for sock in followers.socks:
                followers.send_request(sock, followers.seq)
            follow_for(followers, 3.0)  # until their waits no longer end together
            before, began = relay.cpu_s(), time.monotonic()
            answers, size = follow_for(followers, 6.0)
            idle_cpu_per_s = (relay.cpu_s() - before) / (time.monotonic() - began)
            source.make_changes(10**9, 1 / CHANGES_PER_S)
            follow_for(followers, 1.0)
            before, began, seq = relay.cpu_s(), time.monotonic(), source.read_counters()["seq"]
            follow_for(followers, 6.0)
            changes = source.read_counters()["seq"] - seq
            changes_cpu_s = relay.cpu_s() - before - idle_cpu_per_s * (time.monotonic() - began)
            memory = relay.memory_mb()
            followers.close()
            return {
                "relay_mb": memory,
                "relay_whole_us": full_lists_cpu_s / count * 1e6,
                "relay_whole_bytes": whole_bytes,
                "relay_renewed_us": idle_cpu_per_s * 6.0 / answers * 1e6,
                "relay_renewed_bytes": size / answers,
                "relay_change_us": changes_cpu_s / changes * 1e6,
            }
        finally:
            relay.end()
            source.end()


def measure_followers(sizes: Sequence[int], seconds: float = 10.0) -> dict[int, tuple[float, float]]:
    """Real `serve` processes without calls, each at its own relay: MB and CPU ms a second, by servers listed.

    The servers are of no service, so each sidecar has all of them, as if it called that many.
    """
    sources = [ListSource(size) for size in sizes]
    relays: list[RelayProcess] = []
    sidecars: list[SidecarProcess] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for size, origin in zip(sizes, sources):
                relay_folder = Path(folder) / str(size)
                relay_folder.mkdir()
                relays.append(RelayProcess(relay_folder, origin))
            for size, relay in zip(sizes, relays):
                host, port = relay.wait_for_address()
                wait_for_list((host, port))
                config = {
                    **sidecar_config(size, ("127.0.0.1", 9)),
                    "relays": [f"{host}:{port}"],
                    "services": services_of_follower(1).split(","),
                }
                sidecars.append(
                    SidecarProcess(config, Path(folder) / f"s{size}", ROOT, os.sched_getaffinity(0))
                )
            for each in sidecars:
                while each.address() is None:
                    time.sleep(0.02)
            time.sleep(3.0)
            before, began = [sum(each.cpu_seconds()) for each in sidecars], time.monotonic()
            time.sleep(seconds)
            elapsed_s = time.monotonic() - began
            return {
                size: (each.memory_mb(), (sum(each.cpu_seconds()) - spent) / elapsed_s * 1000)
                for size, each, spent in zip(sizes, sidecars, before)
            }
        finally:
            for one in [*sidecars, *relays, *sources]:
                one.end()
