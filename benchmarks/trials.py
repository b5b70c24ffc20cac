"""Trials of sick servers, each sidecar alone against together, in pairs by seed.

    .venv/bin/python benchmarks/trials.py virtual [--sizes 10 100 1000] [--seeds 10] [--restart]
    .venv/bin/python benchmarks/trials.py real [--count 20] [--runs 3]

Three servers fail everything for 45 s and serve again; with `--restart` seven in ten sidecars are killed in
the middle of it and come back a second later, with nothing remembered.  `virtual` plays the real decisions
and datagrams on simulated servers and links, `real` starts that many sidecars on loopback; there, too,
servers are the lab's.  Sidecars speak with each other in both, so that the difference is that of the trials.
"""

from __future__ import annotations

import argparse
import os
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).parent.parent))

from pumicepath.lab.experiments.figures import difference  # noqa: E402
from pumicepath.lab.faults.history import read  # noqa: E402
from pumicepath.lab.loopback.world import play  # noqa: E402
from pumicepath.lab.model.result import Result  # noqa: E402
from pumicepath.lab.spec import FaultSpec, Fleet, Load, Plan, Sidecars  # noqa: E402
from pumicepath.lab.virtual.run import VirtualWorld  # noqa: E402

BEGINS, LASTS, ENDS = 15, 45, 100
SICK = 3
BACK = 0.05  # of the open breakers, below which servers count as in use again


def plan(count: int, together: bool, restart: bool, servers: int, load: Load) -> Plan:
    troubles = [FaultSpec(kind="fail-quickly", at_s=BEGINS, for_s=LASTS, count=SICK, value=1.0)]
    if restart:
        troubles.append(FaultSpec(kind="sidecars-killed", at_s=BEGINS + LASTS / 2, for_s=1, value=0.7))
    return Plan(
        lasts_s=ENDS,
        fleet=Fleet(halls=2, servers=servers, work_ms=20),
        load=load,
        sidecars=Sidecars(count=count, peers=True, trials=together),
        troubles=tuple(troubles),
    )


def back(result: Result) -> float:
    """Seconds from the end of the trouble until nearly nobody refuses the servers; what is left if never."""
    rows = [sum(row) / SICK for row in result.open_breakers]
    return float(
        next(
            (second - BEGINS - LASTS for second in range(BEGINS + LASTS, len(rows)) if rows[second] < BACK),
            ENDS - BEGINS - LASTS,
        )
    )


def virtual(count: int, seed: int, together: bool, restart: bool) -> dict[str, float]:
    servers = 100 if count >= 1000 else 20
    world = VirtualWorld(
        plan(count, together, restart, servers, Load(part=0.4)), seed, trace_lines=10_000_000
    )
    result = world.run()
    assert world.links is not None
    return {
        "service": result.service,
        "wasted": result.failed_hops,
        "back": back(result),
        "failed": sum("trial failed" in line for line in world.log),
        "messages": world.links.sent.total() / count / ENDS,
        "busiest": max(world.links.sent.values()) / ENDS,
        "broken": sum(result.violations.values()),
    }


def real(count: int, seed: int, together: bool, restart: bool) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        history = Path(folder) / "history"
        made = plan(count, together, restart, 12, Load(rate=15 * count))
        result = play(made, seed, history=history)
        lines = read(history)
    carried = [line for line in lines if line["what"] == "carried"][-1]
    return {
        "service": result.service,
        "wasted": result.failed_hops,
        "back": back(result),
        "failed": sum("trial failed" in line.get("text", "") for line in lines if line["what"] == "log"),
        "messages": carried["messages"] / count / ENDS,
        "busiest": max(by[0] for by in carried["by"].values()) / ENDS,
        "broken": sum(result.violations.values()),
    }


ROWS = (
    ("failed", "trials that failed"),
    ("wasted", "hops that servers failed"),
    ("back", "servers in use again after, s"),
    ("service", "service"),
    ("messages", "messages a second and sidecar"),
    ("busiest", "the busiest one's"),
    ("broken", "rules broken"),
)


def told(name: str, found: dict[tuple[int, bool], dict[str, float]], seeds: list[int]) -> None:
    print(f"\n| {name}, {len(seeds)} pairs | alone | together | difference, 95% |\n| --- | --- | --- | --- |")
    for key, text in ROWS:
        cells = []
        for together in (False, True):
            values = sorted(found[seed, together][key] for seed in seeds)
            cells.append(f"{median(values):.4g} ({values[0]:.4g} to {values[-1]:.4g})")
        pair = difference(
            {seed: found[seed, True][key] for seed in seeds},
            {seed: found[seed, False][key] for seed in seeds},
        )
        print(f"| {text} | {cells[0]} | {cells[1]} | {pair.mean:.4g} ({pair.low:.4g} to {pair.high:.4g}) |")


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("virtual", "real"))
    parser.add_argument("--sizes", type=int, nargs="+", default=[10, 100, 1000])
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--restart", action="store_true")
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) - 1))
    given = parser.parse_args()
    if given.what == "real":
        seeds = list(range(1, given.runs + 1))
        told(
            f"{given.count} real sidecars",
            {
                (seed, together): real(given.count, seed, together, given.restart)
                for seed in seeds
                for together in (False, True)
            },
            seeds,
        )
        return
    seeds = list(range(1, given.seeds + 1))
    with ProcessPoolExecutor(given.jobs) as pool:
        jobs = {
            (count, seed, together): pool.submit(virtual, count, seed, together, given.restart)
            for count in sorted(given.sizes, reverse=True)
            for seed in seeds
            for together in (False, True)
        }
        for count in given.sizes:
            told(
                f"{count:,} sidecars, virtual time",
                {
                    (seed, together): jobs[count, seed, together].result()
                    for seed in seeds
                    for together in (False, True)
                },
                seeds,
            )


if __name__ == "__main__":
    main()
