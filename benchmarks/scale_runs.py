"""What `lab scale` finds of lists by the number of hollow sidecars, with real relays and balancers."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from trees import ROOT

SERVICES_PER_SIDECAR = 1900 / 20_000  # services by sidecars at the target


def run_relayed(sidecars: int, seed: int, seconds: float = 30.0) -> dict[str, float]:
    """Raises RuntimeError for a run that failed, or in which anything was violated."""
    with tempfile.TemporaryDirectory() as folder:
        words = f"""lab scale --sidecars {sidecars} --services {round(sidecars * SERVICES_PER_SIDECAR)} --regions 10
                    --zones 34 --changes-per-s 0.76 --for {seconds:g} --seed {seed} --form relayed --calls 8
                    --json --report {folder}/report"""
        command = [sys.executable, "-m", "pumicepath", *words.split()]
        run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    if run.returncode:
        raise RuntimeError(f"lab scale ended with {run.returncode}: {run.stdout[-300:]} {run.stderr[-300:]}")
    return series_values(json.loads(run.stdout.splitlines()[-1]))


def series_values(result: dict[str, Any]) -> dict[str, float]:
    """Of one run's result, by the names of our series."""
    if result["faults"]:
        prefix = "" if result.get("played", result["sidecars"]) == result["sidecars"] else "region-of-all-"
        return (
            {f"{prefix}{result['faults'][0]}_s": result["recovered_s"]} if result["form"] == "relayed" else {}
        )
    if result["form"] == "direct":
        return {
            "direct_in_force_ms": result["in_force_s"]["p99"] * 1000,
            "direct_mb": result["mb_each"],
            "direct_core": result["core_share_each"] * 100,
            "direct_lag_ms": result["rig_lag_s"] * 1000,
            "direct_origin_core": result["origins"]["core_share"],
        }
    control = result["control"]
    return {
        "hollow_in_force_ms": result["in_force_s"]["p99"] * 1000,
        "hollow_bytes": result["bytes_s_each"]["mean"],
        "hollow_core": result["core_share_each"] * 100,
        "hollow_mb": result["mb_each"],
        "hollow_control_core": control["core_share"],
        "hollow_control_mb": control["mb"],
        "hollow_control_bytes": control["bytes_s"],
        "hollow_lag_ms": result["rig_lag_s"] * 1000,
    }


def read_runs(paths: Iterable[Path]) -> list[dict[str, Any]]:
    """Runs that were recorded, one a line with command, exit and result: without faults, or with one.

    Those that ended badly are among them: what was measured is not chosen by whether it is liked.
    """
    runs = [json.loads(line) for path in paths for line in path.read_text().splitlines() if line.strip()]
    return [run for run in runs if "result" in run and len(run["result"]["faults"]) < 2]


def read_comparisons(paths: Iterable[Path]) -> list[dict[str, Any]]:
    """Lines of benchmarks/hollow_against_real.py, one for each size of the list."""
    records = [json.loads(line) for path in paths for line in path.read_text().splitlines() if line.strip()]
    return sorted(
        (one for one in records if "real" in one and "servers" in one), key=lambda one: one["servers"]
    )
