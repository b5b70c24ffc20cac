"""Mean service of the balancer, of its older revisions and of textbook policies over the lab's scenarios.

    .venv/bin/python benchmarks/ranking.py [--revisions REV ...] [--seeds N] [--workers N]

The module of each revision is read from git and runs interpreted beside the present one, with the same seeds.
Servers are simulated.
"""

from __future__ import annotations

import argparse
import importlib.util
import os
import subprocess
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from pumicepath.lab.experiments import files, statistics  # noqa: E402
from pumicepath.lab.virtual.baselines import TEXTBOOK_BALANCERS  # noqa: E402
from pumicepath.lab.virtual.run import VirtualWorld  # noqa: E402

SCENARIOS = (
    "short-work",
    "die",
    "vanish",
    "slow",
    "fail-quickly",
    "new-id",
    "hall",
    "list",
    "burst",
    "effects",
)


def load_balancer(revision: str) -> Any:
    """The balancer class of a revision, loaded as a module beside the present one."""
    text = subprocess.run(
        ["git", "show", f"{revision}:pumicepath/balancer.py"],
        cwd=ROOT,
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    spec = importlib.util.spec_from_loader(f"pumicepath.balancer_{revision}", None)
    assert spec is not None
    module = importlib.util.module_from_spec(spec)
    module.__package__ = "pumicepath"
    sys.modules[spec.name] = module
    exec(compile(text, f"{revision}:balancer.py", "exec"), module.__dict__)
    return module.Balancer


def run_job(job: tuple[str, str, int]) -> float:
    """Service of one policy in one scenario with one seed."""
    arm, scenario, seed = job
    plan = files.load_experiment(ROOT / "experiments" / f"{scenario}.toml", 1).plan
    policy = arm if arm in TEXTBOOK_BALANCERS or arm in ("pumicepath", "oracle") else load_balancer(arm)
    return VirtualWorld(plan, seed, policy).run().service


def main() -> None:
    """Run all combinations and print a table of mean services."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--revisions", nargs="*", default=[])
    parser.add_argument("--days", nargs="+", default=list(SCENARIOS))
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--workers", type=int, default=os.cpu_count())
    options = parser.parse_args()
    arms = ["pumicepath", *options.revisions, *TEXTBOOK_BALANCERS, "oracle"]
    jobs = [(arm, day, seed) for arm in arms for day in options.days for seed in range(1, options.seeds + 1)]
    with ProcessPoolExecutor(options.workers) as pool:
        service = dict(zip(jobs, pool.map(run_job, jobs)))
    print(f"{'':<18}" + "".join(f"{day:>13}" for day in options.days) + "   mean of all scenarios by seed")
    for arm in arms:
        seeds = range(1, options.seeds + 1)
        means = [sum(service[arm, day, seed] for seed in seeds) / options.seeds for day in options.days]
        means_by_seed = [
            sum(service[arm, day, seed] for day in options.days) / len(options.days) for seed in seeds
        ]
        spread = statistics.bootstrap_interval(means_by_seed)
        print(f"{arm:<18}" + "".join(f"{mean:13.3f}" for mean in means) + f"   {spread}")


if __name__ == "__main__":
    main()
