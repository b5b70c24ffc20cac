"""The same days in virtual time and on loopback: service, latency and rules of either, side by side.

    .venv/bin/python benchmarks/agreement.py [--seeds 1 2] [--only NAME]

Eight days of 12 s on one plan (two halls, eight simulated servers, three sidecars); on loopback the sidecars
are real processes, and a day takes about a core and a half.  A day on which the stand-ins were too slow is
void and said to be.
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
    return Plan(
        lasts_s=12,
        fleet=Fleet(halls=2, servers=8, work_ms=20, cold_s=5),
        load=Load(rate=300),
        troubles=tuple(FaultSpec(**{"at_s": 3, "for_s": 3, **each}) for each in faults),
    )


def summary_line(result: Result) -> str:
    values = summarize(result)
    broken = [rule for rule, count in result.violations.items() if count]
    return f"service {values['service']:.3f}  p50 {values['p50_ms']:5.1f}  p99 {values['p99_ms']:6.1f} ms" + (
        f"  BROKEN {broken}" if broken else ""
    )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--only", choices=list(SCENARIOS))
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {platform.python_version()}; servers simulated in both")
    max_difference = 0.0
    for name, faults in SCENARIOS.items():
        if options.only not in (None, name):
            continue
        for seed in options.seeds:
            virtual = VirtualWorld(plan(faults), seed).run()
            try:
                live = play(plan(faults), seed)
            except InvalidRunError as trouble:
                print(f"{name:<20} seed {seed}: void, {trouble}")
                continue
            max_difference = max(max_difference, abs(virtual.service - live.service))
            print(
                f"{name:<20} seed {seed}\n    virtual   {summary_line(virtual)}\n    loopback  {summary_line(live)}"
                f"   apart {live.service - virtual.service:+.3f}",
                flush=True,
            )
    print(f"furthest apart {max_difference:.3f}")
    return 0 if max_difference <= MAX_SERVICE_DIFFERENCE else 1


if __name__ == "__main__":
    sys.exit(main())
