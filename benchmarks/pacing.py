"""What the pace of whole lists does to followers at rest: a relay's others come, as when their relay died.

    .venv/bin/python benchmarks/pacing.py [--paces 4000000 16000000 64000000] [--runs 3]
                                          [--rest 1000] [--coming 1000]

One relay as loaded as at the target: 20,000 servers in 1,900 services with a long tail, each follower calls
8, drawn so that about one in ten calls the largest.  Followers at rest wait for changes; 20 changes a second
are made, each timed until each follower that it concerns has it: alone, and while as many others come from a
process of their own, ask for whole lists all at once, and again 0.25 to 0.5 s after each 503.  All is real
time on loopback.  One JSON line a play.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import random
import selectors
import sys
import tempfile
import time
from multiprocessing.connection import Connection
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

import numpy  # noqa: E402
from relay import Asker  # noqa: E402

from pumicepath.compiled import FORM  # noqa: E402
from pumicepath.lab.hollow.plan import Plan, RunOptions  # noqa: E402
from tests.relay_rig import Origin, RelayProcess, list_line, wait_until  # noqa: E402

LONGEST_MS = 3000
EVERY_S = 0.05  # between two changes
ALONE_S = 8.0
MOST_S = 60.0


def services(plan: Plan, number: int) -> str:
    return ",".join(sorted(plan.service_name(service) for service in plan.called_services[number]))


def come(where: tuple[str, int], plan: Plan, numbers: range, pipe: Connection) -> None:
    """Connect; when told, ask for whole lists all at once; then how long each took, and how many were 503."""
    selector, draw = selectors.DefaultSelector(), random.Random(1)
    askers = [Asker(where, services(plan, number)) for number in numbers]
    for asker in askers:
        selector.register(asker.sock, selectors.EVENT_READ, asker)
    pipe.send("there")
    pipe.recv()
    began = time.monotonic()
    for asker in askers:
        asker.ask(1)
    took, refused, size, there = [], 0, 0, set[Asker]()
    again: list[tuple[float, Asker]] = []
    while len(took) < len(askers) and time.monotonic() - began < MOST_S:
        for key, _ in selector.select(0.01):
            found = key.data.hear()
            if found is None:
                continue
            if found[0] == 200:
                if key.data not in there:
                    there.add(key.data)
                    took.append(time.monotonic() - began)
                    size += len(found[1])
                key.data.ask(draw.uniform(LONGEST_MS / 2, LONGEST_MS))  # it follows from now on
            else:
                refused += 1
                again.append((time.monotonic() + draw.uniform(0.25, 0.5), key.data))
        for at, asker in [one for one in again if one[0] <= time.monotonic()]:
            asker.ask(1)
            again.remove((at, asker))
    pipe.send(
        {
            "served": len(took),
            "of": len(askers),
            "last_s": round(max(took, default=0.0), 2),
            "p50_s": round(float(numpy.median(took)), 2),
            "told_503": refused,
            "mb": round(size / 1e6, 1),
        }
    )
    time.sleep(MOST_S)


class Bench:
    def __init__(self, told: argparse.Namespace, pace: int) -> None:
        self.plan = Plan(RunOptions(20_000, 1_900, 10, 34, calls=8, popular=0.5))
        plan = self.plan
        self.draw = random.Random(told.seed)
        self.names = [plan.service_name(service) for service in plan.service_of]
        self.origin = Origin([list_line(plan.server_name(at), self.names[at]) for at in range(20_000)])
        self.relay = RelayProcess(
            Path(tempfile.mkdtemp()), {"eu": self.origin}, mostFollowers=100_000, wholeBytesPerS=pace
        )
        wait_until(lambda: self.relay.stats()["servers"] == 20_000, 60)
        self.selector = selectors.DefaultSelector()
        self.concerned: dict[str, set[Asker]] = {}
        for first in range(0, told.rest, 50):
            self.first(range(first, min(told.rest, first + 50)))
        self.settle(time.monotonic() + 1.2, set())  # the region's being in touch is told

    def drawn_ms(self) -> float:
        return LONGEST_MS * (0.5 + 0.5 * self.draw.random())

    def first(self, numbers: range) -> None:
        """Some more, up to their first list; those that are there wait and ask anew."""
        fresh = set()
        for number in numbers:
            asker = Asker(self.relay.socket_address, services(self.plan, number))
            self.selector.register(asker.sock, selectors.EVENT_READ, asker)
            for name in asker.services.split(","):
                self.concerned.setdefault(name, set()).add(asker)
            asker.ask(1)
            fresh.add(asker)
        self.settle(time.monotonic() + MOST_S, fresh)

    def settle(self, until_s: float, fresh: set[Asker]) -> None:
        """Until all of `fresh` have a list, or with none until that time."""
        timed = not fresh
        while time.monotonic() < until_s and (timed or fresh):
            for key, _ in self.selector.select(0.05):
                found = key.data.hear()
                if found is not None:
                    fresh.difference_update([key.data] if found[0] == 200 else [])
                    key.data.ask(self.drawn_ms() if found[0] == 200 else 1)

    def follow(self, over: Connection | None, seconds: float) -> dict[str, float]:
        """Make changes until `over` has something to say: ms until followers concerned had them."""
        began = time.monotonic()
        then, took, left = began, list[float](), dict[str, tuple[float, set[Asker], bytes]]()
        cpu, answers, slow = self.cpu_s(), 0, 0.0
        while time.monotonic() - began < seconds and not (over is not None and over.poll()):
            now = time.monotonic()
            if now >= then:
                then = now + EVERY_S
                at = self.draw.randrange(20_000)
                one = {**self.origin.lines[self.plan.server_name(at)], "block": int(1e6 * (now - began))}
                wanted = self.concerned.get(self.names[at], set())
                if wanted and one["host"] not in left:
                    mark = b'"host":"%b"' % str(one["host"]).encode()
                    left[str(one["host"])] = (now, set(wanted), mark)
                self.origin.put(one)
            for key, _ in self.selector.select(0.005):
                found = key.data.hear()
                if found is None:
                    continue
                answers += 1
                for name, (at_s, waiting, mark) in list(left.items()):
                    if key.data in waiting and mark in found[1]:
                        took.append(1000 * (time.monotonic() - at_s))
                        waiting.discard(key.data)
                        if not waiting:
                            del left[name]
                key.data.ask(self.drawn_ms())
            slow = max(slow, time.monotonic() - now)
        spent = time.monotonic() - began
        late = [1000 * (time.monotonic() - at_s) for at_s, waiting, _ in left.values() for _ in waiting]
        return {
            "told": len(took),
            "p50_ms": round(float(numpy.quantile(took, 0.5)), 1),
            "p99_ms": round(float(numpy.quantile(took, 0.99)), 1),
            "max_ms": round(max(took), 1),
            "open": len(late),
            "open_max_ms": round(max(late, default=0.0), 1),
            "core": round((self.cpu_s() - cpu) / spent, 3),
            "answers_s": round(answers / spent),
            "rig_late_ms": round(1000 * slow, 1),
        }

    def cpu_s(self) -> float:
        with open(f"/proc/{self.relay.process.pid}/schedstat") as file:
            return int(file.read().split()[0]) / 1e9


def measured(told: argparse.Namespace, pace: int) -> dict[str, object]:
    bench = Bench(told, pace)
    alone = bench.follow(None, ALONE_S)
    near, far = multiprocessing.Pipe()
    numbers = range(told.rest, told.rest + told.coming)
    others = multiprocessing.Process(target=come, args=(bench.relay.socket_address, bench.plan, numbers, far))
    others.start()
    near.recv()
    near.send("go")
    meanwhile = bench.follow(near, MOST_S)
    came = near.recv() if near.poll(MOST_S) else {}
    others.kill()
    others.join()
    bench.relay.kill()
    return {
        "pace": pace,
        "form": FORM,
        "rest": told.rest,
        "alone": alone,
        "meanwhile": meanwhile,
        "came": came,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--paces", type=int, nargs="+", default=[4_000_000, 16_000_000, 64_000_000])
    parser.add_argument("--rest", type=int, default=1000)
    parser.add_argument("--coming", type=int, default=1000)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    for _ in range(told.runs):
        for pace in told.paces:
            print(json.dumps(measured(told, pace)), flush=True)


if __name__ == "__main__":
    main()
