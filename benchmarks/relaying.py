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

from hearing import configuration
from telling import Followers, Origin
from trees import ROOT

from pumicepath.lab.loopback.process import SidecarProcess

SERVERS, SERVICES, CALLED = 20_000, 1_900, 8
WAIT_MS = 2250  # a sidecar's at a relay: 3 s, half to all
CHANGES_S = 50.0
TICKS, PAGE = os.sysconf("SC_CLK_TCK"), os.sysconf("SC_PAGE_SIZE")


class Relay:
    def __init__(self, folder: Path, origin: Origin) -> None:
        path = folder / "relay.json"
        path.write_text(
            json.dumps(
                {
                    "name": "r1",
                    "listen": "127.0.0.1:0",
                    "admin": "127.0.0.1:0",
                    "wholeBytesPerS": 10**9,
                    "sources": {"eu": f"{origin.where[0]}:{origin.where[1]}"},
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

    def started(self) -> tuple[str, int]:
        """Raises TimeoutError after 20 s."""
        end = time.monotonic() + 20
        while not self.events("started"):
            if time.monotonic() > end or self.process.poll() is not None:
                raise TimeoutError("the relay has not started")
            time.sleep(0.02)
        host, _, port = self.events("started")[0]["listen"].rpartition(":")
        return host, int(port)

    def cpu(self) -> float:
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def mb(self) -> float:
        return int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE / 1e6

    def end(self) -> None:
        self.process.kill()
        self.process.wait()


def for_a_while(followers: Followers, seconds: float) -> tuple[int, int]:
    """Answers and their bytes meanwhile."""
    answers, size, end = followers.answers, followers.bytes, time.monotonic() + seconds
    followers.run(lambda: time.monotonic() > end)
    return followers.answers - answers, followers.bytes - size


def chosen(number: int) -> str:
    picked = Random(number).sample(range(SERVICES), CALLED)
    return ",".join(f"service-{service:04d}" for service in sorted(picked))


def await_list(where: tuple[str, int]) -> None:
    """Until the relay has the list; before, it answers 503."""
    end = time.monotonic() + 20
    while time.monotonic() < end:
        one = Followers(where, 1, WAIT_MS, 0, chosen)
        one.ask(one.socks[0], 0)
        one.run(lambda one=one: one.replies > 0, again=False)  # type: ignore[misc]
        one.close()
        if one.newest or one.missing:
            return
        time.sleep(0.1)
    raise TimeoutError("the relay has no list")


def relayed(count: int) -> dict[str, float]:
    origin = Origin(SERVERS, services=SERVICES)
    with tempfile.TemporaryDirectory() as folder:
        relay = Relay(Path(folder), origin)
        try:
            where = relay.started()
            await_list(where)
            time.sleep(0.5)
            before = relay.cpu()
            followers = Followers(where, count, WAIT_MS, 0, chosen)
            for sock in followers.socks:
                followers.ask(sock, 0)
            followers.run(lambda: followers.answers >= count, again=False)
            wholes, whole_bytes = relay.cpu() - before, followers.bytes / count
            for sock in followers.socks:
                followers.ask(sock, followers.seq)
            for_a_while(followers, 3.0)  # until their waits no longer end together
            before, began = relay.cpu(), time.monotonic()
            answers, size = for_a_while(followers, 6.0)
            resting = (relay.cpu() - before) / (time.monotonic() - began)
            origin.changes(10**9, 1 / CHANGES_S)
            for_a_while(followers, 1.0)
            before, began, seq = relay.cpu(), time.monotonic(), origin.figures()["seq"]
            for_a_while(followers, 6.0)
            changes = origin.figures()["seq"] - seq
            spent = relay.cpu() - before - resting * (time.monotonic() - began)
            memory = relay.mb()
            followers.close()
            return {
                "relay_mb": memory,
                "relay_whole_us": wholes / count * 1e6,
                "relay_whole_bytes": whole_bytes,
                "relay_renewed_us": resting * 6.0 / answers * 1e6,
                "relay_renewed_bytes": size / answers,
                "relay_change_us": spent / changes * 1e6,
            }
        finally:
            relay.end()
            origin.end()


def followed(sizes: Sequence[int], seconds: float = 10.0) -> dict[int, tuple[float, float]]:
    """Real `serve` processes without calls, each at its own relay: MB and CPU ms a second, by servers listed.

    The servers are of no service, so each sidecar has all of them, as if it called that many.
    """
    origins = [Origin(size) for size in sizes]
    relays: list[Relay] = []
    sidecars: list[SidecarProcess] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for size, origin in zip(sizes, origins):
                place = Path(folder) / str(size)
                place.mkdir()
                relays.append(Relay(place, origin))
            for size, relay in zip(sizes, relays):
                host, port = relay.started()
                await_list((host, port))
                told = {
                    **configuration(size, ("127.0.0.1", 9)),
                    "relays": [f"{host}:{port}"],
                    "services": chosen(1).split(","),
                }
                sidecars.append(
                    SidecarProcess(told, Path(folder) / f"s{size}", ROOT, os.sched_getaffinity(0))
                )
            for each in sidecars:
                while each.address() is None:
                    time.sleep(0.02)
            time.sleep(3.0)
            before, began = [sum(each.cpu_seconds()) for each in sidecars], time.monotonic()
            time.sleep(seconds)
            lasted = time.monotonic() - began
            return {
                size: (each.memory_mb(), (sum(each.cpu_seconds()) - spent) / lasted * 1000)
                for size, each, spent in zip(sizes, sidecars, before)
            }
        finally:
            for sidecar in sidecars:
                sidecar.kill()
            for one in [*relays, *origins]:
                one.end()
