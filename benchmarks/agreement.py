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

from pumicepath.lab.loopback.world import Void, play  # noqa: E402
from pumicepath.lab.model.result import Result, summarize  # noqa: E402
from pumicepath.lab.spec import FaultSpec, Fleet, Load, Plan  # noqa: E402
from pumicepath.lab.virtual.run import VirtualWorld  # noqa: E402

DAYS: dict[str, tuple[dict[str, Any], ...]] = {
    "calm": (),
    "die": ({"kind": "die"},),
    "vanish and stall": ({"kind": "vanish"}, {"kind": "stall", "at_s": 6}),
    "drain and new id": ({"kind": "drain"}, {"kind": "new-id", "at_s": 6}),
    "hall cut off": ({"kind": "hall-cut-off"},),
    "burst and failures": ({"kind": "burst"}, {"kind": "fail-quickly", "at_s": 6}),
    "slow and release": ({"kind": "slow"}, {"kind": "rolling-release", "at_s": 6}),
    "sidecars and list": ({"kind": "sidecars-restarted"}, {"kind": "list-down", "at_s": 6}),
}
AGREE = 0.05


def plan(troubles: tuple[dict[str, Any], ...]) -> Plan:
    return Plan(
        lasts_s=12,
        fleet=Fleet(halls=2, servers=8, work_ms=20, cold_s=5),
        load=Load(rate=300),
        troubles=tuple(FaultSpec(**{"at_s": 3, "for_s": 3, **each}) for each in troubles),
    )


def line(result: Result) -> str:
    told = summarize(result)
    broken = [rule for rule, count in result.violations.items() if count]
    return f"service {told['service']:.3f}  p50 {told['p50_ms']:5.1f}  p99 {told['p99_ms']:6.1f} ms" + (
        f"  BROKEN {broken}" if broken else ""
    )


def main() -> int:
    asked = argparse.ArgumentParser(description=__doc__)
    asked.add_argument("--seeds", type=int, nargs="+", default=[1])
    asked.add_argument("--only", choices=list(DAYS))
    told = asked.parse_args()
    print(f"{os.cpu_count()} cores, Python {platform.python_version()}; servers simulated in both")
    apart = 0.0
    for name, troubles in DAYS.items():
        if told.only not in (None, name):
            continue
        for seed in told.seeds:
            virtual = VirtualWorld(plan(troubles), seed).run()
            try:
                live = play(plan(troubles), seed)
            except Void as trouble:
                print(f"{name:<20} seed {seed}: void, {trouble}")
                continue
            apart = max(apart, abs(virtual.service - live.service))
            print(
                f"{name:<20} seed {seed}\n    virtual   {line(virtual)}\n    loopback  {line(live)}"
                f"   apart {live.service - virtual.service:+.3f}",
                flush=True,
            )
    print(f"furthest apart {apart:.3f}")
    return 0 if apart <= AGREE else 1


if __name__ == "__main__":
    sys.exit(main())
