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
from relay import Follower  # noqa: E402

from pumicepath.compiled import FORM  # noqa: E402
from pumicepath.lab.hollow.plan import Plan, RunOptions  # noqa: E402
from tests.relay_rig import Origin, RelayProcess, list_line, wait_until  # noqa: E402

MAX_WAIT_MS = 3000
CHANGE_INTERVAL_S = 0.05  # between two changes
ALONE_S = 8.0
MAX_PHASE_S = 60.0


def services_of_follower(plan: Plan, number: int) -> str:
    return ",".join(sorted(plan.service_name(service) for service in plan.called_services[number]))


def run_newcomers(address: tuple[str, int], plan: Plan, numbers: range, pipe: Connection) -> None:
    """Connect; when told, ask for whole lists all at once; then how long each took, and how many were 503."""
    selector, rng = selectors.DefaultSelector(), random.Random(1)
    followers = [Follower(address, services_of_follower(plan, number)) for number in numbers]
    for asker in followers:
        selector.register(asker.sock, selectors.EVENT_READ, asker)
    pipe.send("there")
    pipe.recv()
    began = time.monotonic()
    for asker in followers:
        asker.send_request(1)
    took, refused, size, served = [], 0, 0, set[Follower]()
    retries: list[tuple[float, Follower]] = []
    while len(took) < len(followers) and time.monotonic() - began < MAX_PHASE_S:
        for key, _ in selector.select(0.01):
            response = key.data.hear()
            if response is None:
                continue
            if response[0] == 200:
                if key.data not in served:
                    served.add(key.data)
                    took.append(time.monotonic() - began)
                    size += len(response[1])
                key.data.ask(rng.uniform(MAX_WAIT_MS / 2, MAX_WAIT_MS))  # it follows from now on
            else:
                refused += 1
                retries.append((time.monotonic() + rng.uniform(0.25, 0.5), key.data))
        for at, asker in [one for one in retries if one[0] <= time.monotonic()]:
            asker.send_request(1)
            retries.remove((at, asker))
    pipe.send(
        {
            "served": len(took),
            "of": len(followers),
            "last_s": round(max(took, default=0.0), 2),
            "p50_s": round(float(numpy.median(took)), 2),
            "told_503": refused,
            "mb": round(size / 1e6, 1),
        }
    )
    time.sleep(MAX_PHASE_S)


class RelayLoad:
    def __init__(self, options: argparse.Namespace, rate_limit: int) -> None:
        self.plan = Plan(RunOptions(20_000, 1_900, 10, 34, calls=8, popular=0.5))
        plan = self.plan
        self.rng = random.Random(options.seed)
        self.service_names = [plan.service_name(service) for service in plan.service_of]
        self.origin = Origin(
            [list_line(plan.server_name(at), self.service_names[at]) for at in range(20_000)]
        )
        self.relay = RelayProcess(
            Path(tempfile.mkdtemp()), {"eu": self.origin}, mostFollowers=100_000, wholeBytesPerS=rate_limit
        )
        wait_until(lambda: self.relay.stats()["servers"] == 20_000, 60)
        self.selector = selectors.DefaultSelector()
        self.followers_by_service: dict[str, set[Follower]] = {}
        for first in range(0, options.rest, 50):
            self.add_followers(range(first, min(options.rest, first + 50)))
        self.follow_until(time.monotonic() + 1.2, set())  # the region's being in touch is told

    def random_wait_ms(self) -> float:
        return MAX_WAIT_MS * (0.5 + 0.5 * self.rng.random())

    def add_followers(self, numbers: range) -> None:
        """Some more, up to their first list; those that are there wait and ask anew."""
        new_followers = set()
        for number in numbers:
            follower = Follower(self.relay.socket_address, services_of_follower(self.plan, number))
            self.selector.register(follower.sock, selectors.EVENT_READ, follower)
            for name in follower.services.split(","):
                self.followers_by_service.setdefault(name, set()).add(follower)
            follower.send_request(1)
            new_followers.add(follower)
        self.follow_until(time.monotonic() + MAX_PHASE_S, new_followers)

    def follow_until(self, until_s: float, waiting_for_list: set[Follower]) -> None:
        """Until all of `fresh` have a list, or with none until that time."""
        timed = not waiting_for_list
        while time.monotonic() < until_s and (timed or waiting_for_list):
            for key, _ in self.selector.select(0.05):
                response = key.data.hear()
                if response is not None:
                    waiting_for_list.difference_update([key.data] if response[0] == 200 else [])
                    key.data.ask(self.random_wait_ms() if response[0] == 200 else 1)

    def measure_changes(self, stop_pipe: Connection | None, seconds: float) -> dict[str, float]:
        """Make changes until `over` has something to say: ms until followers concerned had them."""
        began = time.monotonic()
        next_change_at, delays_ms, outstanding = (
            began,
            list[float](),
            dict[str, tuple[float, set[Follower], bytes]](),
        )
        cpu, answers, longest_turn_s = self.cpu_s(), 0, 0.0
        while time.monotonic() - began < seconds and not (stop_pipe is not None and stop_pipe.poll()):
            now = time.monotonic()
            if now >= next_change_at:
                next_change_at = now + CHANGE_INTERVAL_S
                at = self.rng.randrange(20_000)
                one = {**self.origin.lines[self.plan.server_name(at)], "block": int(1e6 * (now - began))}
                wanted = self.followers_by_service.get(self.service_names[at], set())
                if wanted and one["host"] not in outstanding:
                    mark = b'"host":"%b"' % str(one["host"]).encode()
                    outstanding[str(one["host"])] = (now, set(wanted), mark)
                self.origin.put(one)
            for key, _ in self.selector.select(0.005):
                response = key.data.hear()
                if response is None:
                    continue
                answers += 1
                for name, (at_s, waiting, mark) in list(outstanding.items()):
                    if key.data in waiting and mark in response[1]:
                        delays_ms.append(1000 * (time.monotonic() - at_s))
                        waiting.discard(key.data)
                        if not waiting:
                            del outstanding[name]
                key.data.ask(self.random_wait_ms())
            longest_turn_s = max(longest_turn_s, time.monotonic() - now)
        elapsed_s = time.monotonic() - began
        outstanding_ms = [
            1000 * (time.monotonic() - at_s) for at_s, waiting, _ in outstanding.values() for _ in waiting
        ]
        return {
            "told": len(delays_ms),
            "p50_ms": round(float(numpy.quantile(delays_ms, 0.5)), 1),
            "p99_ms": round(float(numpy.quantile(delays_ms, 0.99)), 1),
            "max_ms": round(max(delays_ms), 1),
            "open": len(outstanding_ms),
            "open_max_ms": round(max(outstanding_ms, default=0.0), 1),
            "core": round((self.cpu_s() - cpu) / elapsed_s, 3),
            "answers_s": round(answers / elapsed_s),
            "rig_late_ms": round(1000 * longest_turn_s, 1),
        }

    def cpu_s(self) -> float:
        with open(f"/proc/{self.relay.process.pid}/schedstat") as file:
            return int(file.read().split()[0]) / 1e9


def measure(options: argparse.Namespace, rate_limit: int) -> dict[str, object]:
    load = RelayLoad(options, rate_limit)
    alone = load.measure_changes(None, ALONE_S)
    near, far = multiprocessing.Pipe()
    numbers = range(options.rest, options.rest + options.coming)
    newcomer_process = multiprocessing.Process(
        target=run_newcomers, args=(load.relay.socket_address, load.plan, numbers, far)
    )
    newcomer_process.start()
    near.recv()
    near.send("go")
    meanwhile = load.measure_changes(near, MAX_PHASE_S)
    newcomers = near.recv() if near.poll(MAX_PHASE_S) else {}
    newcomer_process.kill()
    newcomer_process.join()
    load.relay.kill()
    return {
        "pace": rate_limit,
        "form": FORM,
        "rest": options.rest,
        "alone": alone,
        "meanwhile": meanwhile,
        "came": newcomers,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--paces", type=int, nargs="+", default=[4_000_000, 16_000_000, 64_000_000])
    parser.add_argument("--rest", type=int, default=1000)
    parser.add_argument("--coming", type=int, default=1000)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for _ in range(options.runs):
        for pace in options.paces:
            print(json.dumps(measure(options, pace)), flush=True)


if __name__ == "__main__":
    main()
