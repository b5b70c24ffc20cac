"""Hollow sidecars against real ones at the same work: how far figures of `lab scale` can be trusted.

    python benchmarks/hollow_against_real.py --each 100 --sizes 100,500,1000,2000 --rest 15 --rate 10

At each size of the list, `--each` real `serve` processes (no clients) and as many hollow sidecars in one
process follow one origin at the same time.  First nothing changes, then `--rate` changes a second.  One JSON
line a size: memory, CPU at rest and for a change, bytes, and how long after a change the origin has the next
call of each, which is when it has been applied at the latest.  The last lines are slopes over the sizes.
"""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from pumicepath import compiled  # noqa: E402
from pumicepath.lab.hollow import processes  # noqa: E402
from pumicepath.lab.hollow.plan import Plan, RunOptions  # noqa: E402
from pumicepath.lab.hollow.processes import ChildProcess  # noqa: E402
from pumicepath.lab.hollow.sidecar import sidecar_settings  # noqa: E402

START_BATCH = 10  # real processes that start together


def start_real(plan: Plan, number: int, origin_address: str, folder: Path) -> ChildProcess:
    """One `serve` without clients; its log is read as what a child says."""
    path = folder / f"real-{number}.json"
    path.write_text(
        json.dumps(
            {
                "name": f"n{number}",
                "listen": "127.0.0.1:0",
                "discovery": origin_address,
                "seed": f"{number + 1:x}",
                "limits": {"memory_mb": 192, "sockets": 1024},
                "settings": sidecar_settings(plan, number),
            }
        )
    )
    os.environ["GW_CONFIG"] = str(path)
    return ChildProcess(["-m", "pumicepath", "serve"], folder, f"real-{number}")


def wait_until_connected(origin: ChildProcess, count: int) -> None:
    end = time.monotonic() + 300
    while origin.request({"do": "figures"}, "figures")["connections"] < count:
        if time.monotonic() > end:
            raise SystemExit("not all of them came")
        time.sleep(0.2)


def total_cpu_s(children: list[ChildProcess]) -> float:
    return sum(processes.cpu_seconds(child.process.pid) for child in children)


def measure_phase(
    origin: ChildProcess, sides: dict[str, list[ChildProcess]], seconds: float, rate: bool
) -> dict[str, Any]:
    """CPU and bytes of both sides over a time, and delays of changes; changes are made if `rate`."""
    before = {name: total_cpu_s(children) for name, children in sides.items()}
    first, bytes_then = origin.request({"do": "figures"}, "figures"), origin.request({"do": "peers"}, "peers")
    sides["hollow"][0].send({"do": "measure"})
    origin.send({"do": "go" if rate else "rest"})
    time.sleep(seconds)
    origin.send({"do": "rest"})
    time.sleep(1.0)
    check_cpu_s = sides["hollow"][0].request({"do": "measured"}, "measured")["judged_s"]
    last, bytes_now = origin.request({"do": "figures"}, "figures"), origin.request({"do": "peers"}, "peers")
    results: dict[str, Any] = {"changes": last["seq"] - first["seq"]}
    for name, peer in (("real", "127.0.0.1"), ("hollow", "others")):
        cpu_s = total_cpu_s(sides[name]) - before[name] - (check_cpu_s if name == "hollow" else 0.0)
        delays_us = sorted(bytes_now[peer]["took"])
        results[name] = {
            "cpu_s": cpu_s,
            "bytes": bytes_now[peer]["bytes"] - bytes_then[peer]["bytes"],
            "applied": len(delays_us),
        }
        if delays_us:
            results[name] |= {
                f"p{part}_ms": round(delays_us[int(len(delays_us) * part / 100)] / 1e3, 2)
                for part in (50, 99)
            }
    return results


def measure_size(servers: int, each: int, rest_s: float, changing_s: float, rate: float) -> dict[str, Any]:
    ask = RunOptions(servers, max(1, servers // 10), 1, 4, changes_per_s=rate)
    plan = Plan(ask)
    children: list[ChildProcess] = []
    with tempfile.TemporaryDirectory() as at:
        folder = Path(at)
        (folder / "ask.json").write_text(json.dumps(ask.as_dict()))
        try:
            origin = ChildProcess(
                ["-m", "pumicepath.lab.hollow.origin", at, "0", "127.0.0.1", "0"], folder, "origin"
            )
            children.append(origin)
            origin_address = origin.wait_for("started")["listen"]
            hollow = ChildProcess(
                ["-m", "pumicepath.lab.hollow.host", at, "0", str(each), origin_address], folder, "hollow"
            )
            children.append(hollow)
            ready = hollow.wait_for("ready", 300)
            reals: list[ChildProcess] = []
            for first in range(0, each, START_BATCH):
                batch = [
                    start_real(plan, number, origin_address, folder)
                    for number in range(first, min(each, first + START_BATCH))
                ]
                children += batch
                reals += batch
                for child in batch:
                    child.wait_for("started", 300)
            wait_until_connected(origin, 2 * each)
            time.sleep(3.0)
            sides = {"real": reals, "hollow": [hollow]}
            rest = measure_phase(origin, sides, rest_s, False)
            mb = {
                "real": statistics.mean(processes.resident_mb(child.process.pid) for child in reals),
                "hollow": (processes.resident_mb(hollow.process.pid) - ready["base_mb"]) / each,
            }
            changing = measure_phase(origin, sides, changing_s, True)
        finally:
            for child in children:
                child.kill()
    result: dict[str, Any] = {
        "servers": servers,
        "each": each,
        "changes": changing["changes"],
        "form": compiled.FORM,
        "load_average": round(os.getloadavg()[0], 1),
    }
    for name in sides:
        change_cpu_s = changing[name]["cpu_s"] - rest[name]["cpu_s"] * (changing_s + 1) / (rest_s + 1)
        result[name] = {
            "mb_each": round(mb[name], 3),
            "core_share_at_rest": round(rest[name]["cpu_s"] / (rest_s + 1) / each, 6),
            "us_a_change": round(1e6 * change_cpu_s / max(1, changing["changes"]) / each, 1),
            "bytes_a_change": round(changing[name]["bytes"] / max(1, changing["changes"]) / each, 1),
            "bytes_s_at_rest": round(rest[name]["bytes"] / (rest_s + 1) / each, 1),
            "applied": changing[name]["applied"],
            "applied_ms": [changing[name].get("p50_ms"), changing[name].get("p99_ms")],
        }
    return result


def fit_line(points: list[tuple[float, float]]) -> dict[str, float]:
    """Least squares, and the largest residual as a part of the largest value."""
    fit = statistics.linear_regression([x for x, _ in points], [y for _, y in points])
    worst = max(abs(y - fit.intercept - fit.slope * x) for x, y in points)
    return {
        "slope": fit.slope,
        "at_0": fit.intercept,
        "worst_residual": worst / max(1e-9, max(abs(y) for _, y in points)),
    }


@click.command(help=__doc__)
@click.option("--each", type=click.IntRange(1, 250), default=100)
@click.option("--sizes", default="100,500,1000,2000")
@click.option("--rest", "rest_s", type=float, default=15.0)
@click.option("--changing", "changing_s", type=float, default=20.0)
@click.option("--rate", type=float, default=10.0)
def main(each: int, sizes: str, rest_s: float, changing_s: float, rate: float) -> None:
    rows = []
    for servers in map(int, sizes.split(",")):
        rows.append(measure_size(servers, each, rest_s, changing_s, rate))
        print(json.dumps(rows[-1]), flush=True)
    if len(rows) > 1:
        for name in ("real", "hollow"):
            for key, unit in (("mb_each", 1000.0), ("us_a_change", 1.0)):
                fit = fit_line([(row["servers"], row[name][key]) for row in rows])
                print(
                    json.dumps(
                        {
                            "side": name,
                            "of": key,
                            "by": "held server" if unit == 1.0 else "held server, in kB",
                            "slope": round(fit["slope"] * unit, 4),
                            "at_0": round(fit["at_0"], 3),
                            "worst_residual": round(fit["worst_residual"], 3),
                        }
                    ),
                    flush=True,
                )
    commit = subprocess.run(["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True)
    print(
        json.dumps(
            {"python": sys.version.split()[0], "cores": os.cpu_count(), "commit": commit.stdout.strip()}
        )
    )


if __name__ == "__main__":
    main()
