"""Slopes for docs/CAPACITY.md: measured here, kept in docs/capacity.json, written into the page's tables.

    .venv/bin/python benchmarks/capacity.py                    # all of it, and then the page: half an hour
    .venv/bin/python benchmarks/capacity.py --only hearing --only telling --repeats 5
    PUMICEPATH_INTERPRETED=1 .venv/bin/python benchmarks/capacity.py --only deciding   # beside compiled ones
    .venv/bin/python benchmarks/capacity.py --write-page       # the tables from the file, nothing measured

Each group measures its series at four sizes or more in one run; what it has measured takes the place of the
same series in the file, and the rest stays.  Times are CPU time, as the machine may be shared.
"""

from __future__ import annotations

import json
import os
import platform
import re
import subprocess
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, NamedTuple

import click
import numpy
import orjson

sys.path.insert(0, str(Path(__file__).resolve().parent))

from trees import ROOT  # noqa: E402

sys.path.insert(0, str(ROOT))

import calling  # noqa: E402
import hearing  # noqa: E402
import holding  # noqa: E402
import hollow  # noqa: E402
import peers  # noqa: E402
import relaying  # noqa: E402
import telling  # noqa: E402

from pumicepath.compiled import FORM  # noqa: E402
from pumicepath.lab.capacity import measurements, page  # noqa: E402

DATA_FILE, PAGE_FILE = ROOT / "docs" / "capacity.json", ROOT / "docs" / "CAPACITY.md"
LIST_SIZES = (12, 100, 1000, 5000, 20_000)
Measurements = dict[str, dict[float, float]]


class SeriesInfo(NamedTuple):
    description: str
    unit: str
    size_unit: str
    form: str = ""  # of what it times, where that is not this tree's


SERVERS, FOLLOWERS, CHANGES, PEERS = "servers in the list", "followers", "changes a second", "sidecars"
INTERPRETED, NEITHER_FORM = "interpreted", "neither"
SERIES = {
    "first_us": SeriesInfo("a sidecar reads its first whole list", "us", SERVERS),
    "whole_us": SeriesInfo("a sidecar reads a whole list again", "us", SERVERS),
    "change_us": SeriesInfo("a sidecar reads one change", "us", SERVERS),
    "list_bytes": SeriesInfo("a whole list", "bytes", SERVERS, NEITHER_FORM),
    "met_us": SeriesInfo("one call's decision, its key met before", "us", SERVERS),
    "new_us": SeriesInfo("one call's decision, its key new", "us", SERVERS),
    "told_us": SeriesInfo("the source answers one watch with a change", "us", FOLLOWERS, INTERPRETED),
    "told_bytes": SeriesInfo("that answer", "bytes", FOLLOWERS, NEITHER_FORM),
    "renewed_us": SeriesInfo(
        "the source ends a watch with nothing new, and takes the next", "us", FOLLOWERS, INTERPRETED
    ),
    "last_ms": SeriesInfo(
        "wall time from one change until the last follower has it", "ms", FOLLOWERS, INTERPRETED
    ),
    "sent_us": SeriesInfo("the source sends one whole list to one of 20", "us", SERVERS, INTERPRETED),
    "sent_many_us": SeriesInfo(
        "the source sends one whole list of 1,000 servers", "us", FOLLOWERS, INTERPRETED
    ),
    "rest_mb": SeriesInfo("memory of a `serve` at rest", "MB", SERVERS),
    "rest_cpu_ms": SeriesInfo("CPU of a `serve` without calls, 12 servers", "ms a second", CHANGES),
    "rest_bytes": SeriesInfo(
        "bytes from discovery to a `serve`, 12 servers", "bytes a second", CHANGES, NEITHER_FORM
    ),
    "call_cpu_ms": SeriesInfo("CPU of a call in a `serve`, 150 a second", "ms", SERVERS),
    "added_p50_ms": SeriesInfo("added to a call at p50, 150 a second, wall time", "ms", SERVERS),
    "added_p99_ms": SeriesInfo("added to a call at p99, 150 a second, wall time", "ms", SERVERS),
    "passed_p50_ms": SeriesInfo(
        "the same by a plain process in the way, which hands on bytes, at p50", "ms", SERVERS, INTERPRETED
    ),
    "passed_p99_ms": SeriesInfo(
        "the same by a plain process in the way, which hands on bytes, at p99", "ms", SERVERS, INTERPRETED
    ),
    "plain_p99_ms": SeriesInfo("a call with nothing in the way, at p99", "ms", SERVERS, INTERPRETED),
    "calling_mb": SeriesInfo("memory of a `serve` after calls", "MB", SERVERS),
    "join_kb": SeriesInfo(
        "sent by each until its views are right, all begin at once", "kB", PEERS, NEITHER_FORM
    ),
    "join_s": SeriesInfo("until all views are right, all begin at once", "s", PEERS, NEITHER_FORM),
    "restart_s": SeriesInfo("until all views are right, seven in ten restarted", "s", PEERS, NEITHER_FORM),
    "peer_messages": SeriesInfo("messages a second of membership at rest", "a second", PEERS, NEITHER_FORM),
    "peer_bytes": SeriesInfo("bytes a second of membership at rest", "bytes a second", PEERS, NEITHER_FORM),
    "peer_cpu_us": SeriesInfo("CPU of membership at rest", "us a second", PEERS, INTERPRETED),
    "peer_kb": SeriesInfo("memory of the membership of one sidecar", "kB", PEERS, INTERPRETED),
    "voter_messages": SeriesInfo(
        "messages a second from a voter, 200 duties", "a second", PEERS, NEITHER_FORM
    ),
    "voter_bytes": SeriesInfo(
        "bytes a second from a voter, 200 duties", "bytes a second", PEERS, NEITHER_FORM
    ),
    "voter_kb": SeriesInfo(
        "memory of 200 duties in a fleet, a third for each voter", "kB", PEERS, INTERPRETED
    ),
    "voter_cpu_us": SeriesInfo("CPU of a voter's decisions, 200 duties", "us a second", PEERS, INTERPRETED),
    "followed_mb": SeriesInfo("memory of a `serve` at rest that follows a relay", "MB", SERVERS),
    "followed_cpu_ms": SeriesInfo("CPU of a `serve` at rest that follows a relay", "ms a second", SERVERS),
    "relay_mb": SeriesInfo("memory of a relay, 20,000 servers held", "MB", FOLLOWERS),
    "relay_renewed_us": SeriesInfo("a relay ends a watch with nothing new, takes the next", "us", FOLLOWERS),
    "relay_change_us": SeriesInfo(
        "a relay takes a change and tells whom it concerns, 8 of 1,900 services each", "us", FOLLOWERS
    ),
    "relay_whole_us": SeriesInfo("a relay sends one whole list of 8 services", "us", FOLLOWERS),
    "relay_whole_bytes": SeriesInfo("that list", "bytes", FOLLOWERS, NEITHER_FORM),
    "relay_renewed_bytes": SeriesInfo(
        "a relay's answer with nothing new, one region", "bytes", FOLLOWERS, NEITHER_FORM
    ),
    "hollow_in_force_ms": SeriesInfo("hollow, relayed: a change in force, p99", "ms", PEERS),
    "hollow_bytes": SeriesInfo(
        "hollow, relayed: bytes of lists for one sidecar", "bytes a second", PEERS, NEITHER_FORM
    ),
    "hollow_core": SeriesInfo("hollow, relayed: CPU of lists of one sidecar", "% of a core", PEERS),
    "hollow_mb": SeriesInfo("hollow, relayed: memory of lists of one sidecar", "MB", PEERS),
    **{
        f"{fault}_s": SeriesInfo(f"hollow, relayed: {text}, from its end until all is in force", "s", PEERS)
        for fault, text in (
            ("control-restarted", "all relays restarted"),
            ("zone-lost", "a zone gone and back"),
            ("region-cut", "a region's discovery cut off from other regions' relays"),
        )
    },
    **{
        f"region-of-all-{fault}_s": SeriesInfo(
            f"a region's two relays and sidecars, hollow, of a fleet: {text}, "
            "from its end until all is in force",
            "s",
            "sidecars of the fleet",
        )
        for fault, text in (
            ("control-restarted", "both restarted"),
            ("control-killed", "one killed, and back"),
        )
    },
    **{
        f"{side}_{name}": SeriesInfo(f"{text}, {side}, 100 side by side", unit, SERVERS, form)
        for side in ("real", "hollow")
        for name, text, unit, form in (
            ("list_mb", "memory of a sidecar", "MB", ""),
            ("told_us", "CPU of a change told", "us", ""),
            ("told_bytes", "bytes of a change told", "bytes", NEITHER_FORM),
        )
    },
    "direct_in_force_ms": SeriesInfo("hollow, direct: a change in force, p99", "ms", PEERS),
    "direct_mb": SeriesInfo("hollow, direct: memory of lists of one sidecar", "MB", PEERS),
    "direct_core": SeriesInfo("hollow, direct: CPU of lists of one sidecar", "% of a core", PEERS),
    "direct_origin_core": SeriesInfo("hollow, direct: the one discovery", "cores", PEERS, INTERPRETED),
    "direct_lag_ms": SeriesInfo("hollow, direct: how late the rig's own loops were at most", "ms", PEERS),
    "hollow_lag_ms": SeriesInfo("hollow, relayed: how late the rig's own loops were at most", "ms", PEERS),
    "hollow_control_core": SeriesInfo("hollow, relayed: all relays together", "cores", PEERS),
    "hollow_control_mb": SeriesInfo("hollow, relayed: all relays together", "MB", PEERS),
    "hollow_control_bytes": SeriesInfo(
        "hollow, relayed: all relays together", "bytes a second", PEERS, NEITHER_FORM
    ),
}


def measure_list_updates() -> Measurements:
    results: Measurements = {}
    for servers in LIST_SIZES:
        for name, value in hearing.measure_list_updates(servers).items():
            if name in SERIES:
                results.setdefault(name, {})[servers] = value
    return results


def measure_decisions() -> Measurements:
    return {
        name: {servers: hearing.measure_decision(servers, new) for servers in LIST_SIZES}
        for name, new in (("met_us", False), ("new_us", True))
    }


def measure_list_source() -> Measurements:
    results: Measurements = {}
    for count in (50, 200, 500, 1000, 2000):
        change_costs = telling.measure_change(count)
        for name, value in (
            ("told_us", change_costs["told_us"]),
            ("told_bytes", change_costs["told_bytes"]),
            ("last_ms", change_costs["last_s"] * 1000),
            ("renewed_us", telling.measure_renewal(count)),
        ):
            results.setdefault(name, {})[count] = value
    results["sent_many_us"] = {
        count: telling.measure_full_list(1000, count)["whole_us"] for count in (20, 100, 500, 1000)
    }
    results["sent_us"] = {servers: telling.measure_full_list(servers)["whole_us"] for servers in LIST_SIZES}
    return results


def measure_idle_sidecars() -> Measurements:
    results: Measurements = {
        "rest_mb": {
            servers: hearing.measure_idle_sidecars(servers, [0], 1.0)[0]["mb"]
            for servers in (12, 1000, 5000, 20_000)
        }
    }
    rates = (1, 2, 5, 10, 20)
    for rate, costs in zip(rates, hearing.measure_idle_sidecars(12, rates, 10.0)):
        results.setdefault("rest_cpu_ms", {})[rate] = costs["cpu_ms"]
        results.setdefault("rest_bytes", {})[rate] = costs["bytes"]
    return results


def measure_membership(seed: int) -> Measurements:
    sizes = (10, 30, 100, 300, 1000)
    names = {
        "join_kb": "join_kb",
        "join_s": "join",
        "restart_s": "restart",
        "peer_messages": "messages",
        "peer_bytes": "bytes",
        "peer_cpu_us": "cpu_us",
    }
    with ProcessPoolExecutor(2) as pool:
        results = dict(zip(sizes, pool.map(peers.measure_virtual, sizes, [seed] * len(sizes))))
    return {name: {size: results[size][key] for size in sizes} for name, key in names.items()}


def measure_calls(seed: int) -> Measurements:
    results: Measurements = {}
    for servers in (4, 12, 100, 400, 1000):
        for name, value in calling.measure_calls(servers, seed=seed).items():
            # Wall time of a call says nothing of the sidecar while others have the cores.
            busy = os.getloadavg()[0] > (os.cpu_count() or 1) / 2
            if not name.startswith(("added", "passed", "plain")) or value > 0 and not busy:
                results.setdefault(name, {})[servers] = value
    return results


def measure_duties(seed: int) -> Measurements:
    results: Measurements = {}
    for count in (10, 30, 100, 300):
        for name, value in holding.measure_voters(count, 200, seed).items():
            results.setdefault(name, {})[count] = value
    results["peer_kb"] = {count: holding.member_kb(count) for count in (50, 100, 200, 300)}
    return results


def measure_voter_memory(seed: int) -> Measurements:
    return {"voter_kb": {count: holding.voter_kb(count, 200, seed) for count in (10, 30, 100, 300)}}


def measure_relay() -> Measurements:
    results: Measurements = {}
    for count in (100, 500, 1000, 2000):
        for name, value in relaying.measure_relay(count).items():
            results.setdefault(name, {})[count] = value
    return results


def measure_relay_followers() -> Measurements:
    results = relaying.measure_followers((12, 84, 1000, 2584))
    return {
        "followed_mb": {size: told[0] for size, told in results.items()},
        "followed_cpu_ms": {size: told[1] for size, told in results.items()},
    }


def measure_hollow_sidecars(seed: int) -> Measurements:
    results: Measurements = {}
    for sidecars in (500, 1000, 2000, 4000):
        for name, value in hollow.run_relayed(sidecars, seed).items():
            results.setdefault(name, {})[sidecars] = value
    return results


GROUPS: dict[str, Callable[[int], Measurements]] = {
    "hearing": lambda repeat: measure_list_updates(),
    "deciding": lambda repeat: measure_decisions(),
    "telling": lambda repeat: measure_list_source(),
    "rest": lambda repeat: measure_idle_sidecars(),
    "members": measure_membership,
    "calls": measure_calls,
    "duties": measure_duties,
    "voting": measure_voter_memory,
    "relay": lambda repeat: measure_relay(),
    "follow": lambda repeat: measure_relay_followers(),
    "hollow": measure_hollow_sidecars,
}


def describe_machine() -> dict[str, Any]:
    models = [
        line.partition(":")[2].strip()
        for line in Path("/proc/cpuinfo").read_text().splitlines()
        if line.startswith("model name")
    ]
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return {
        "processor": models[0] if models else platform.machine(),
        "cores": os.cpu_count(),
        "memory_gb": round(pages / 1e9, 1),
        "system": f"{platform.system()} {platform.release()}",
        "python": platform.python_version(),
        "numpy": numpy.__version__,
        "orjson": orjson.__version__,
    }


def measured_commit() -> str:
    """The commit that the measured tree stands on; with a plus where files differ from it."""

    def git(*words: str) -> str:
        command = ["git", "-C", str(ROOT), *words]
        return subprocess.run(command, check=True, capture_output=True, text=True).stdout

    changed = git("status", "--porcelain", "--untracked-files=no", "--", "pumicepath")
    return git("rev-parse", "--short", "HEAD").strip() + ("+" if changed.strip() else "")


def series_of_files(paths: Sequence[Path]) -> dict[str, Any]:
    """Series of recorded runs of `lab scale`."""
    runs = hollow.read_runs(paths)
    if not runs:
        raise click.BadParameter("no run that ended with a result", param_hint="--scale")
    results: dict[str, Any] = {}
    groups: dict[tuple[Any, ...], list[dict[str, Any]]] = {}
    for one in runs:
        result = one["result"]
        played_in_part = result.get("played", result["sidecars"]) < result["sidecars"]
        groups.setdefault((result["form"], played_in_part, *result["faults"]), []).append(one)
    for group in groups.values():
        results |= series_of_runs(group)
    results |= series_of_comparisons(hollow.read_comparisons(paths))
    return results


def series_of_comparisons(pairs: list[dict[str, Any]]) -> dict[str, Any]:
    """Hollow sidecars beside real ones, as benchmarks/hollow_against_real.py tells of them."""
    if len({one["servers"] for one in pairs}) < measurements.MIN_SIZES:
        return {}
    run = {
        "date": datetime.now(UTC).strftime("%Y-%m-%d %H:%M"),
        "commit": "as recorded",
        "load": max(one["load_average"] for one in pairs),
        "command": "benchmarks/hollow_against_real.py",
    }
    names = {
        f"{side}_{name}": (side, key)
        for side in ("real", "hollow")
        for name, key in (
            ("list_mb", "mb_each"),
            ("told_us", "us_a_change"),
            ("told_bytes", "bytes_a_change"),
        )
    }
    return {
        name: series_record(name, {one["servers"]: [float(f"{one[side][key]:.4g}")] for one in pairs}, run)
        for name, (side, key) in names.items()
    }


def series_of_runs(runs: list[dict[str, Any]]) -> dict[str, Any]:
    if len({one["result"]["sidecars"] for one in runs}) < measurements.MIN_SIZES:
        return {}
    run = {
        "date": datetime.now(UTC).strftime("%Y-%m-%d ") + max(one["at"][:5] for one in runs),
        "commit": "as recorded",
        "load": max(one["result"]["load_average"] for one in runs),
        "command": max(runs, key=lambda one: one["result"]["sidecars"])["command"],
    }
    values: dict[str, dict[float, list[float]]] = {}
    for one in runs:
        for name, value in hollow.series_values(one["result"]).items():
            if name not in SERIES:
                continue
            sizes = values.setdefault(name, {})
            sizes.setdefault(one["result"]["sidecars"], []).append(float(f"{value:.4g}"))
    return {name: series_record(name, sizes, run) for name, sizes in values.items()}


def series_record(name: str, sizes: dict[float, list[float]], run: dict[str, Any]) -> dict[str, Any]:
    info = SERIES[name]
    return {
        "what": info.description,
        "unit": info.unit,
        "by": info.size_unit,
        "run": run,
        "form": info.form or FORM.partition(":")[0],
        "points": [[size, found] for size, found in sorted(sizes.items())],
    }


def measure_group(group: str, repeats: int) -> dict[str, Any]:
    run = {
        "date": datetime.now(UTC).strftime("%Y-%m-%d %H:%M"),
        "commit": measured_commit(),
        "load": round(os.getloadavg()[0], 1),
        "command": f"benchmarks/capacity.py --only {group} --repeats {repeats}",
    }
    values: dict[str, dict[float, list[float]]] = {}
    for repeat in range(repeats):
        for name, sizes in GROUPS[group](repeat + 1).items():
            for size, value in sizes.items():
                values.setdefault(name, {}).setdefault(size, []).append(float(f"{value:.4g}"))
                print(
                    f"{group} {repeat + 1}: {SERIES[name].description}, {size:,} {SERIES[name].size_unit}: {value:.4g} "
                    f"{SERIES[name].unit}",
                    flush=True,
                )
    results = {
        name: series_record(name, sizes, run)
        for name, sizes in values.items()
        if len(sizes) >= measurements.MIN_SIZES
    }
    if FORM == "compiled":
        return results
    # With PUMICEPATH_INTERPRETED=1 what has a compiled form stands beside that, and the rest is as it was.
    return {f"{name}_interpreted": one for name, one in results.items() if not SERIES[name].form}


def save(results: dict[str, Any]) -> None:
    data = json.loads(DATA_FILE.read_text()) if DATA_FILE.exists() else {"machine": {}, "series": {}}
    data["machine"] = describe_machine()
    data["series"] = dict(sorted({**data["series"], **results}.items()))
    measurements.decode(data)
    options = orjson.OPT_INDENT_2
    text = orjson.dumps(data, option=options).decode()
    DATA_FILE.write_text(join_point_lines(text))


def join_point_lines(text: str) -> str:
    """A size with its repeats on one line."""

    return (
        re.sub(
            r"\[\s+([\d.e+-]+),\s+\[([^\]]*)\]\s+\]",
            lambda found: f"[{found[1]}, [{', '.join(found[2].split()).replace(',,', ',')}]]",
            text,
        )
        + "\n"
    )


@click.command()
@click.option("--only", multiple=True, type=click.Choice(list(GROUPS)), help="These groups; else all.")
@click.option("--repeats", default=3, show_default=True, help="Of each group; tables go by the middle.")
@click.option(
    "--scale",
    multiple=True,
    type=click.Path(exists=True, path_type=Path),
    help="Runs of `lab scale --json`, one a line, in place of the group hollow; measures nothing.",
)
@click.option("--write-page", is_flag=True, help="Write the page's tables from the file and measure nothing.")
def main(only: tuple[str, ...], repeats: int, scale: tuple[Path, ...], write_page: bool) -> None:
    if scale:
        save(series_of_files(scale))
    elif not write_page:
        for group in only or tuple(GROUPS):
            save(measure_group(group, repeats))
    try:
        capacity = measurements.decode(json.loads(DATA_FILE.read_text()))
        PAGE_FILE.write_text(page.render_page(PAGE_FILE.read_text(), capacity))
    except (measurements.CapacityError, ValueError, OSError) as trouble:
        print(f"{DATA_FILE.name}: {trouble}", file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
