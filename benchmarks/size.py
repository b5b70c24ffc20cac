"""Cost of the lab's virtual time: CPU for an event and a submission, memory, and speed against real time.

    .venv/bin/python benchmarks/size.py [--runs N]

Each size runs 20 virtual seconds at 1,000 submissions a second in a process of its own, with the balancer and
with random choices; the difference is the cost of the decisions.  The last size is a minute of 1,000 sidecars
and 100 servers.
"""

from __future__ import annotations

import argparse
import resource
import subprocess
import sys
import time
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).parent.parent))

SIZES = ((10, 12, 20), (100, 12, 20), (1000, 12, 20), (10, 100, 20), (100, 100, 20), (1000, 100, 60))


def run_size(sidecars: int, servers: int, duration_s: int, policy: str) -> None:
    """Run one size here; print events, submissions, CPU seconds, MB, and 1 if a rule was violated."""
    from pumicepath.lab.spec import FaultSpec, Fleet, Load, Plan, Sidecars
    from pumicepath.lab.virtual.run import VirtualWorld

    plan = Plan(
        lasts_s=duration_s,
        fleet=Fleet(halls=2, servers=servers),
        sidecars=Sidecars(count=sidecars),
        load=Load(rate=1000),
        troubles=(FaultSpec(kind="die", at_s=duration_s / 3, for_s=5, count=2),),
    )
    began = time.process_time()
    result = VirtualWorld(plan, 1, policy).run()
    cpu_s = time.process_time() - began
    print(
        result.events,
        sum(result.columns["offered"]),
        cpu_s,
        resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        int(any(result.violations.values())),
    )


def main() -> None:
    """Run each size in processes of their own and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--play", nargs=4)
    options = parser.parse_args()
    if options.play:
        run_size(*map(int, options.play[:3]), options.play[3])
        return
    print("sidecars servers  policy       events/s   us/event  us/submission  times real time     MB")
    for sidecars, servers, duration_s in SIZES:
        for policy in ("pumicepath", "random"):
            runs = [
                list(
                    map(
                        float,
                        subprocess.run(
                            [
                                sys.executable,
                                __file__,
                                "--play",
                                str(sidecars),
                                str(servers),
                                str(duration_s),
                                policy,
                            ],
                            check=True,
                            capture_output=True,
                            text=True,
                        ).stdout.split(),
                    )
                )
                for _ in range(options.runs)
            ]
            events, offered, cpu = runs[0][0], runs[0][1], median(each[2] for each in runs)
            times = sorted(duration_s / each[2] for each in runs)
            print(
                f"{sidecars:8d} {servers:7d}  {policy:<11} {events / cpu:9.0f} {1e6 * cpu / events:10.1f} "
                f"{1e6 * cpu / offered:14.1f}  {duration_s / cpu:5.1f} ({times[0]:.1f} to {times[-1]:.1f})  "
                f"{max(each[3] for each in runs):6.0f}"
                + ("  a rule was violated" if any(each[4] for each in runs) else ""),
                flush=True,
            )


if __name__ == "__main__":
    main()
