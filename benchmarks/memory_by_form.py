"""Peak memory of one sidecar against its limit, by what many clients put on their connections at once.

    .venv/bin/python benchmarks/memory_by_form.py --memory 32 64 192 --clients 250

Beside them a few honest clients send short requests; the last columns say what became of those.  One process
each for the sidecar, the bad clients, and servers with honest clients.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from pumicepath.compiled import FORM  # noqa: E402
from pumicepath.lab.loopback.hostile_clients import BEHAVIOURS  # noqa: E402
from pumicepath.lab.loopback.memory_trial import MemoryTrial, run_memory_trial  # noqa: E402

COLUMNS = (
    "limit",
    "bad",
    "start",
    "peak",
    "account",
    "made",
    "total",
    "served",
    "refused",
    "lost",
    "slow",
    "took",
)
KIB = 1024


def measure(trial: MemoryTrial) -> None:
    """Run one form against a new sidecar and print a line."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        result = run_memory_trial(trial, Path(folder))
    served = result.served
    print(
        f"{trial.form:<31}{trial.memory_mb:>8}{trial.clients:>8}{result.start_mb:>8.1f}{result.peak_mb:>8.1f}"
        f"{result.metrics.get('edge_gw.memory_peak', 0) / KIB / KIB:>8.1f}"
        f"{result.connections:>8}{served.total:>8}{served.outcomes['served']:>8}"
        f"{served.outcomes['refused']:>8}{served.lost:>8}{served.slowest_s:>8.2f}"
        f"{time.monotonic() - began:>8.0f}{'  OVER' if result.peak_mb > trial.memory_mb else ''}",
        flush=True,
    )
    for note in served.notes[:3]:
        print(f"    {note}", flush=True)
    if served.lost:
        reasons = {name: count for name, count in result.metrics.items() if ".closed." in name}
        print(f"    {reasons}", flush=True)


def main() -> None:
    """Measure the forms that the arguments name, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--memory", type=int, nargs="*", default=[64], help="limits in MB")
    parser.add_argument("--clients", type=int, default=250)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", nargs="*", default=list(BEHAVIOURS))
    options = parser.parse_args()
    print(f"{FORM}; MB, honest requests, the slowest of these in s")
    print(f"{'form':<31}" + "".join(f"{column:>8}" for column in COLUMNS))
    for memory_mb in options.memory:
        for name in options.only:
            measure(MemoryTrial(name, memory_mb, options.clients, options.seconds, options.seed))


if __name__ == "__main__":
    main()
