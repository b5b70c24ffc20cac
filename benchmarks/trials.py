"""Trials of failing servers: by each sidecar on its own against shared by all, in pairs with the same seed.

    .venv/bin/python benchmarks/trials.py virtual [--sizes 10 100 1000] [--seeds 10] [--restart]
    .venv/bin/python benchmarks/trials.py real [--count 20] [--runs 3]

Three servers fail all requests for 45 s and then recover.  With `--restart` seven in ten sidecars are killed
halfway through and restarted a second later without stored state.  `virtual` runs the real decisions and
datagrams on simulated servers and links; `real` starts that many sidecars on loopback, with the lab's
servers.  The sidecars exchange membership messages in both arms, so that the arms differ in the trials alone.
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

from pumicepath.lab.experiments.statistics import paired_difference  # noqa: E402
from pumicepath.lab.loopback.world import play  # noqa: E402
from pumicepath.lab.model.result import Result  # noqa: E402
from pumicepath.lab.spec import FaultSpec, Fleet, Load, Plan, Sidecars  # noqa: E402
from pumicepath.lab.verification.history import read  # noqa: E402
from pumicepath.lab.virtual.run import VirtualWorld  # noqa: E402

FAULT_START_S, FAULT_DURATION_S, RUN_DURATION_S = 15, 45, 100
FAILING_SERVERS = 3
RECOVERED_FRACTION = 0.05  # of breakers open, below which servers count as in use again


def plan(count: int, shared_trials: bool, restart: bool, servers: int, load: Load) -> Plan:
    """A run with failing servers, and a mass restart of sidecars if `restart` is set."""
    faults = [
        FaultSpec(
            kind="fail-quickly", at_s=FAULT_START_S, for_s=FAULT_DURATION_S, count=FAILING_SERVERS, value=1.0
        )
    ]
    if restart:
        faults.append(
            FaultSpec(kind="sidecars-killed", at_s=FAULT_START_S + FAULT_DURATION_S / 2, for_s=1, value=0.7)
        )
    return Plan(
        lasts_s=RUN_DURATION_S,
        fleet=Fleet(halls=2, servers=servers, work_ms=20),
        load=load,
        sidecars=Sidecars(count=count, peers=True, trials=shared_trials),
        troubles=tuple(faults),
    )


def recovery_s(result: Result) -> float:
    """Seconds from the end of the fault until few breakers are open; all the rest of the run if never."""
    rows = [sum(row) / FAILING_SERVERS for row in result.open_breakers]
    return float(
        next(
            (
                second - FAULT_START_S - FAULT_DURATION_S
                for second in range(FAULT_START_S + FAULT_DURATION_S, len(rows))
                if rows[second] < RECOVERED_FRACTION
            ),
            RUN_DURATION_S - FAULT_START_S - FAULT_DURATION_S,
        )
    )


def measure_virtual(count: int, seed: int, shared_trials: bool, restart: bool) -> dict[str, float]:
    """One run in virtual time, by the keys of ROWS."""
    servers = 100 if count >= 1000 else 20
    world = VirtualWorld(
        plan(count, shared_trials, restart, servers, Load(part=0.4)), seed, trace_lines=10_000_000
    )
    result = world.run()
    assert world.links is not None
    return {
        "service": result.service,
        "wasted": result.failed_hops,
        "back": recovery_s(result),
        "failed": sum("trial failed" in line for line in world.log),
        "messages": world.links.sent.total() / count / RUN_DURATION_S,
        "busiest": max(world.links.sent.values()) / RUN_DURATION_S,
        "broken": sum(result.violations.values()),
    }


def measure_real(count: int, seed: int, shared_trials: bool, restart: bool) -> dict[str, float]:
    """One run with real sidecars, by the keys of ROWS."""
    with tempfile.TemporaryDirectory() as folder:
        history = Path(folder) / "history"
        scenario = plan(count, shared_trials, restart, 12, Load(rate=15 * count))
        result = play(scenario, seed, history=history)
        lines = read(history)
    carried = [line for line in lines if line["what"] == "carried"][-1]
    return {
        "service": result.service,
        "wasted": result.failed_hops,
        "back": recovery_s(result),
        "failed": sum("trial failed" in line.get("text", "") for line in lines if line["what"] == "log"),
        "messages": carried["messages"] / count / RUN_DURATION_S,
        "busiest": max(by[0] for by in carried["by"].values()) / RUN_DURATION_S,
        "broken": sum(result.violations.values()),
    }


ROWS = (
    ("failed", "trials that failed"),
    ("wasted", "hops that servers failed"),
    ("back", "servers in use again after, s"),
    ("service", "service"),
    ("messages", "messages a second for each sidecar"),
    ("busiest", "the same for the busiest sidecar"),
    ("broken", "rules violated"),
)


def print_table(name: str, results: dict[tuple[int, bool], dict[str, float]], seeds: list[int]) -> None:
    """Print medians of both arms and the difference of the pairs as a Markdown table."""
    print(f"\n| {name}, {len(seeds)} pairs | alone | together | difference, 95% |\n| --- | --- | --- | --- |")
    for key, text in ROWS:
        cells = []
        for together in (False, True):
            values = sorted(results[seed, together][key] for seed in seeds)
            cells.append(f"{median(values):.4g} ({values[0]:.4g} to {values[-1]:.4g})")
        pair = paired_difference(
            {seed: results[seed, True][key] for seed in seeds},
            {seed: results[seed, False][key] for seed in seeds},
        )
        print(f"| {text} | {cells[0]} | {cells[1]} | {pair.mean:.4g} ({pair.low:.4g} to {pair.high:.4g}) |")


def main() -> None:
    """Run all pairs and print a table for each size."""
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
    options = parser.parse_args()
    if options.what == "real":
        seeds = list(range(1, options.runs + 1))
        print_table(
            f"{options.count} real sidecars",
            {
                (seed, together): measure_real(options.count, seed, together, options.restart)
                for seed in seeds
                for together in (False, True)
            },
            seeds,
        )
        return
    seeds = list(range(1, options.seeds + 1))
    with ProcessPoolExecutor(options.jobs) as pool:
        jobs = {
            (count, seed, together): pool.submit(measure_virtual, count, seed, together, options.restart)
            for count in sorted(options.sizes, reverse=True)
            for seed in seeds
            for together in (False, True)
        }
        for count in options.sizes:
            print_table(
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
