"""What a list costs the sidecar that hears of it: its CPU by part, a real `serve`'s memory and CPU at rest.

`heard(servers)` and `decided(servers)` are the real parser, `Watch`, `Roster` and `Balancer` in this process;
`rested(...)` are real processes behind the stand-in of `telling.py`.
"""

from __future__ import annotations

import os
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from parts import PLAN, Nowhere
from telling import Origin, answer, change, whole
from trees import ROOT

from pumicepath.discovery.roster import Roster
from pumicepath.discovery.watch import Watch
from pumicepath.interface import Listing, Outcome
from pumicepath.lab.loopback.process import Sidecar
from pumicepath.lab.spec import sidecar_settings as settings_of
from pumicepath.logic import Balancer
from pumicepath.settings import decode

NEAR = "zone-00"


class Hearing:
    """One sidecar's parts from an answer's bytes to what its balancer knows."""

    def __init__(self) -> None:
        self.roster = Roster([NEAR], lambda born: max(0, born))
        self.watch = Watch(self.roster, "127.0.0.1:1", -1, 20_000_000)
        self.balancer = Balancer(decode(settings_of(PLAN, 0, 0)), 1, Nowhere())
        self.now = 10**9

    def hear(self, data: bytes) -> None:
        parser = self.watch.parser
        while data:
            room = parser.ring.room()
            some = data[: len(room)]
            room[: len(some)] = some
            parser.ring.wrote(len(some))
            data = data[len(some) :]
            response = parser.next()
        assert response is not None
        update = self.watch.update(response)
        self.now += 1_000
        self.balancer.listed(self.now, Listing.FULL if update.whole else Listing.CHANGES, update.entries)


def heard(servers: int) -> dict[str, float]:
    """Microseconds for a whole list of that many at the start, the same again, and one change; and bytes."""
    hearing = Hearing()
    first = answer(whole(servers, 1))
    began = time.process_time()
    hearing.hear(first)
    start = time.process_time() - began
    times = max(2, 2000 // servers)
    data = [answer(whole(servers, 2 + at)) for at in range(times)]
    began = time.process_time()
    for each in data:
        hearing.hear(each)
    again = (time.process_time() - began) / times
    changes = max(20, min(500, 200_000 // servers))
    data = [answer(change(2 + times + at, at % servers)) for at in range(changes)]
    began = time.process_time()
    for each in data:
        hearing.hear(each)
    one = (time.process_time() - began) / changes
    return {
        "first_us": start * 1e6,
        "whole_us": again * 1e6,
        "change_us": one * 1e6,
        "list_bytes": len(first),
        "change_bytes": len(data[-1]),
    }


def decided(servers: int, new: bool) -> float:
    """Microseconds for one call's decision and its end, all servers in the sidecar's own zone.

    The keys are `new`, or 50 that were all met before: what is drawn for a key is kept while it is met.
    """
    hearing = Hearing()
    told = whole(servers, 1)
    for each in told["hosts"]:
        each["site"] = NEAR
    hearing.hear(answer(told))
    balancer, state = hearing.balancer, [hearing.now, 0]

    def decide() -> None:
        state[0] += 6_667  # microseconds: 150 calls a second
        state[1] += 1
        key = 10**6 + state[1] if new else 1 + state[1] % 50
        one = balancer.take(state[0], state[1], 0, key, False, state[0] + 2_000_000)
        one.ended(state[0] + 5000, 0, Outcome.OK, 5000, True)

    times = max(50, min(5000, 400_000 // servers))
    for _ in range(50):
        decide()
    began = time.process_time()
    for _ in range(times):
        decide()
    return (time.process_time() - began) / times * 1e6


def configuration(servers: int, where: tuple[str, int]) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"{where[0]}:{where[1]}",
        "seed": "1f",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": whole(servers),
        "settings": settings_of(PLAN, 0, 0),
    }


def rested(servers: int, changes_per_s: Sequence[float], seconds: float) -> list[dict[str, float]]:
    """A real `serve` for each rate of changes, side by side: MB at rest, then CPU ms and bytes a second."""
    origins = [Origin(servers) for _ in changes_per_s]
    sidecars: list[Sidecar] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            sidecars = [
                Sidecar(
                    configuration(servers, origin.where),
                    Path(folder) / str(at),
                    ROOT,
                    os.sched_getaffinity(0),
                )
                for at, origin in enumerate(origins)
            ]
            for each in sidecars:
                while each.address() is None:
                    time.sleep(0.02)
            time.sleep(2.0)
            resting = [each.memory_mb() for each in sidecars]
            for rate, origin in zip(changes_per_s, origins):
                if rate:
                    origin.changes(10**9, 1 / rate)
            time.sleep(1.0)
            before = [(sum(each.cpu()), origin.figures()) for each, origin in zip(sidecars, origins)]
            began = time.monotonic()
            time.sleep(seconds)
            after = [(sum(each.cpu()), origin.figures()) for each, origin in zip(sidecars, origins)]
            lasted = time.monotonic() - began
            return [
                {
                    "mb": mb,
                    "cpu_ms": (then[0] - first[0]) / lasted * 1000,
                    "bytes": (then[1]["bytes"] - first[1]["bytes"]) / lasted,
                    "changes": (then[1]["seq"] - first[1]["seq"]) / lasted,
                }
                for mb, first, then in zip(resting, before, after)
            ]
        finally:
            for each in sidecars:
                each.end()
            for origin in origins:
                origin.end()
