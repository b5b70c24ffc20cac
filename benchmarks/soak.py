"""Seeded runs of one sidecar among misuse, restarts and hanging servers; prints what was broken.

.venv/bin/python benchmarks/soak.py --seeds 50 --side-by-side 3
"""

from __future__ import annotations

import argparse
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from pumicepath.lab.loopback.soak import SoakPlan, SoakResult, run_soak  # noqa: E402


def play(seed: int, seconds: float) -> SoakResult:
    """Play one seed in a folder of its own."""
    with tempfile.TemporaryDirectory() as folder:
        return run_soak(SoakPlan.draw(seed, seconds), Path(folder))


def main() -> None:
    """Play the seeds and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--side-by-side", type=int, default=3)
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    broken = requests = 0
    with ProcessPoolExecutor(options.side_by_side) as pool:
        for result in pool.map(play, seeds, [options.seconds] * len(seeds)):
            plan, outcomes = result.plan, result.served.outcomes + result.unsafe.outcomes
            broken += bool(result.problems)
            requests += sum(outcomes.values())
            events = ", ".join(name for _, name in plan.events)
            crowd = f"{plan.crowd_size} {plan.crowd}" if plan.crowd else "no crowd"
            print(
                f"{plan.seed:4} {'BROKEN' if result.problems else 'held'} {result.peak_mb:.0f} of "
                f"{plan.memory_mb} MB; {crowd}; {events}; {dict(outcomes)}",
                flush=True,
            )
            for problem in result.problems[:5]:
                print(f"       {problem}", flush=True)
    print(f"{broken} of {len(seeds)} seeds broken, {requests} honest requests")


if __name__ == "__main__":
    main()
