"""The same scenarios in virtual time and on loopback: service, latency and rule violations side by side.

    .venv/bin/python benchmarks/agreement.py [--seeds 1 2] [--only NAME]

Eight scenarios of 12 s on one plan (two zones, eight simulated servers, three sidecars).  On loopback the
sidecars are real processes, and a scenario takes about one and a half cores.  A scenario during which the
simulated servers or clients were too slow is reported as void.  Exits with 1 if the services of any pair
differ by more than MAX_SERVICE_DIFFERENCE.
"""

from __future__ import annotations

import argparse
import os
import platform
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from pumicepath.lab.loopback.world import InvalidRunError, play  # noqa: E402
from pumicepath.lab.model.result import Result, summarize  # noqa: E402
from pumicepath.lab.spec import FaultSpec, Fleet, Load, Plan  # noqa: E402
from pumicepath.lab.virtual.run import VirtualWorld  # noqa: E402

SCENARIOS: dict[str, tuple[dict[str, Any], ...]] = {
    "calm": (),
    "die": ({"kind": "die"},),
    "vanish and stall": ({"kind": "vanish"}, {"kind": "stall", "at_s": 6}),
    "drain and new id": ({"kind": "drain"}, {"kind": "new-id", "at_s": 6}),
    "hall cut off": ({"kind": "hall-cut-off"},),
    "burst and failures": ({"kind": "burst"}, {"kind": "fail-quickly", "at_s": 6}),
    "slow and release": ({"kind": "slow"}, {"kind": "rolling-release", "at_s": 6}),
    "sidecars and list": ({"kind": "sidecars-restarted"}, {"kind": "list-down", "at_s": 6}),
}
MAX_SERVICE_DIFFERENCE = 0.05


def plan(faults: tuple[dict[str, Any], ...]) -> Plan:
    """A run with the given faults, which start after 3 s and last 3 s unless they say otherwise."""
    return Plan(
        lasts_s=12,
        fleet=Fleet(halls=2, servers=8, work_ms=20, cold_s=5),
        load=Load(rate=300),
        troubles=tuple(FaultSpec(**{"at_s": 3, "for_s": 3, **each}) for each in faults),
    )


def summary_line(result: Result) -> str:
    """Service and latency of a run, and the rules that it violated."""
    values = summarize(result)
    violated = [rule for rule, count in result.violations.items() if count]
    return f"service {values['service']:.3f}  p50 {values['p50_ms']:5.1f}  p99 {values['p99_ms']:6.1f} ms" + (
        f"  VIOLATED {violated}" if violated else ""
    )


def main() -> int:
    """Run the scenarios in pairs; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--only", choices=list(SCENARIOS))
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {platform.python_version()}; servers are simulated in both")
    max_difference = 0.0
    for name, faults in SCENARIOS.items():
        if options.only not in (None, name):
            continue
        for seed in options.seeds:
            virtual = VirtualWorld(plan(faults), seed).run()
            try:
                live = play(plan(faults), seed)
            except InvalidRunError as error:
                print(f"{name:<20} seed {seed}: void, {error}")
                continue
            max_difference = max(max_difference, abs(virtual.service - live.service))
            print(
                f"{name:<20} seed {seed}\n    virtual   {summary_line(virtual)}\n"
                f"    loopback  {summary_line(live)}"
                f"   difference {live.service - virtual.service:+.3f}",
                flush=True,
            )
    print(f"largest difference {max_difference:.3f}")
    return 0 if max_difference <= MAX_SERVICE_DIFFERENCE else 1


if __name__ == "__main__":
    sys.exit(main())
