"""What `lab scale` finds of lists by the number of hollow sidecars, with real relays and balancers."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile

from trees import ROOT

SHARE = 1900 / 20_000       # services by sidecars at the target


def relayed(sidecars: int, seed: int, seconds: float = 30.0) -> dict[str, float]:
    """Raises RuntimeError for a run that failed, or in which anything was violated."""
    with tempfile.TemporaryDirectory() as folder:
        words = f"""lab scale --sidecars {sidecars} --services {round(sidecars * SHARE)} --regions 10
                    --zones 34 --changes-per-s 0.76 --for {seconds:g} --seed {seed} --form relayed --calls 8
                    --json --report {folder}/report"""
        command = [sys.executable, "-m", "pumicepath", *words.split()]
        run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    if run.returncode:
        raise RuntimeError(f"lab scale ended with {run.returncode}: {run.stdout[-300:]} {run.stderr[-300:]}")
    told = json.loads(run.stdout.splitlines()[-1])
    control = told["control"]
    return {"hollow_in_force_ms": told["in_force_s"]["p99"] * 1000,
            "hollow_bytes": told["bytes_s_each"]["mean"], "hollow_core": told["core_share_each"] * 100,
            "hollow_mb": told["mb_each"],
            "hollow_control_core": control["core_share"], "hollow_control_mb": control["mb"],
            "hollow_control_bytes": control["bytes_s"]}
