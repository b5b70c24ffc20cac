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

FILE, PAGE = ROOT / "docs" / "capacity.json", ROOT / "docs" / "CAPACITY.md"
LISTS = (12, 100, 1000, 5000, 20_000)
Found = dict[str, dict[float, float]]


class Known(NamedTuple):
    what: str
    unit: str
    by: str
    form: str = ""  # of what it times, where that is not this tree's


SERVERS, FOLLOWERS, CHANGES, PEERS = "servers in the list", "followers", "changes a second", "sidecars"
PLAIN, NO = "interpreted", "neither"
SERIES = {
    "first_us": Known("a sidecar reads its first whole list", "us", SERVERS),
    "whole_us": Known("a sidecar reads a whole list again", "us", SERVERS),
    "change_us": Known("a sidecar reads one change", "us", SERVERS),
    "list_bytes": Known("a whole list", "bytes", SERVERS, NO),
    "met_us": Known("one call's decision, its key met before", "us", SERVERS),
    "new_us": Known("one call's decision, its key new", "us", SERVERS),
    "told_us": Known("the source answers one watch with a change", "us", FOLLOWERS, PLAIN),
    "told_bytes": Known("that answer", "bytes", FOLLOWERS, NO),
    "renewed_us": Known(
        "the source ends a watch with nothing new, and takes the next", "us", FOLLOWERS, PLAIN
    ),
    "last_ms": Known("wall time from one change until the last follower has it", "ms", FOLLOWERS, PLAIN),
    "sent_us": Known("the source sends one whole list to one of 20", "us", SERVERS, PLAIN),
    "sent_many_us": Known("the source sends one whole list of 1,000 servers", "us", FOLLOWERS, PLAIN),
    "rest_mb": Known("memory of a `serve` at rest", "MB", SERVERS),
    "rest_cpu_ms": Known("CPU of a `serve` without calls, 12 servers", "ms a second", CHANGES),
    "rest_bytes": Known("bytes from discovery to a `serve`, 12 servers", "bytes a second", CHANGES, NO),
    "call_cpu_ms": Known("CPU of a call in a `serve`, 150 a second", "ms", SERVERS),
    "added_p50_ms": Known("added to a call at p50, 150 a second, wall time", "ms", SERVERS),
    "added_p99_ms": Known("added to a call at p99, 150 a second, wall time", "ms", SERVERS),
    "passed_p50_ms": Known(
        "the same by a plain process in the way, which hands on bytes, at p50", "ms", SERVERS, PLAIN
    ),
    "passed_p99_ms": Known(
        "the same by a plain process in the way, which hands on bytes, at p99", "ms", SERVERS, PLAIN
    ),
    "plain_p99_ms": Known("a call with nothing in the way, at p99", "ms", SERVERS, PLAIN),
    "calling_mb": Known("memory of a `serve` after calls", "MB", SERVERS),
    "join_kb": Known("sent by each until its views are right, all begin at once", "kB", PEERS, NO),
    "join_s": Known("until all views are right, all begin at once", "s", PEERS, NO),
    "restart_s": Known("until all views are right, seven in ten restarted", "s", PEERS, NO),
    "peer_messages": Known("messages a second of membership at rest", "a second", PEERS, NO),
    "peer_bytes": Known("bytes a second of membership at rest", "bytes a second", PEERS, NO),
    "peer_cpu_us": Known("CPU of membership at rest", "us a second", PEERS, PLAIN),
    "peer_kb": Known("memory of the membership of one sidecar", "kB", PEERS, PLAIN),
    "voter_messages": Known("messages a second from a voter, 200 duties", "a second", PEERS, NO),
    "voter_bytes": Known("bytes a second from a voter, 200 duties", "bytes a second", PEERS, NO),
    "voter_kb": Known("memory of 200 duties in a fleet, a third for each voter", "kB", PEERS, PLAIN),
    "voter_cpu_us": Known("CPU of a voter's decisions, 200 duties", "us a second", PEERS, PLAIN),
    "followed_mb": Known("memory of a `serve` at rest that follows a relay", "MB", SERVERS),
    "followed_cpu_ms": Known("CPU of a `serve` at rest that follows a relay", "ms a second", SERVERS),
    "relay_mb": Known("memory of a relay, 20,000 servers held", "MB", FOLLOWERS),
    "relay_renewed_us": Known("a relay ends a watch with nothing new, takes the next", "us", FOLLOWERS),
    "relay_change_us": Known(
        "a relay takes a change and tells whom it concerns, 8 of 1,900 services each", "us", FOLLOWERS
    ),
    "relay_whole_us": Known("a relay sends one whole list of 8 services", "us", FOLLOWERS),
    "relay_whole_bytes": Known("that list", "bytes", FOLLOWERS, NO),
    "relay_renewed_bytes": Known("a relay's answer with nothing new, one region", "bytes", FOLLOWERS, NO),
    "hollow_in_force_ms": Known("hollow, relayed: a change in force, p99", "ms", PEERS),
    "hollow_bytes": Known("hollow, relayed: bytes of lists for one sidecar", "bytes a second", PEERS, NO),
    "hollow_core": Known("hollow, relayed: CPU of lists of one sidecar", "% of a core", PEERS),
    "hollow_mb": Known("hollow, relayed: memory of lists of one sidecar", "MB", PEERS),
    **{
        f"{fault}_s": Known(f"hollow, relayed: {text}, from its end until all is in force", "s", PEERS)
        for fault, text in (
            ("control-restarted", "all relays restarted"),
            ("zone-lost", "a zone gone and back"),
            ("region-cut", "a region's discovery cut off from other regions' relays"),
        )
    },
    **{
        f"region-of-all-{fault}_s": Known(
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
        f"{side}_{name}": Known(f"{text}, {side}, 100 side by side", unit, SERVERS, form)
        for side in ("real", "hollow")
        for name, text, unit, form in (
            ("list_mb", "memory of a sidecar", "MB", ""),
            ("told_us", "CPU of a change told", "us", ""),
            ("told_bytes", "bytes of a change told", "bytes", NO),
        )
    },
    "direct_in_force_ms": Known("hollow, direct: a change in force, p99", "ms", PEERS),
    "direct_mb": Known("hollow, direct: memory of lists of one sidecar", "MB", PEERS),
    "direct_core": Known("hollow, direct: CPU of lists of one sidecar", "% of a core", PEERS),
    "direct_origin_core": Known("hollow, direct: the one discovery", "cores", PEERS, PLAIN),
    "direct_lag_ms": Known("hollow, direct: how late the rig's own loops were at most", "ms", PEERS),
    "hollow_lag_ms": Known("hollow, relayed: how late the rig's own loops were at most", "ms", PEERS),
    "hollow_control_core": Known("hollow, relayed: all relays together", "cores", PEERS),
    "hollow_control_mb": Known("hollow, relayed: all relays together", "MB", PEERS),
    "hollow_control_bytes": Known("hollow, relayed: all relays together", "bytes a second", PEERS, NO),
}


def of_hearing() -> Found:
    found: Found = {}
    for servers in LISTS:
        for name, value in hearing.heard(servers).items():
            if name in SERIES:
                found.setdefault(name, {})[servers] = value
    return found


def of_deciding() -> Found:
    return {
        name: {servers: hearing.decided(servers, new) for servers in LISTS}
        for name, new in (("met_us", False), ("new_us", True))
    }


def of_telling() -> Found:
    found: Found = {}
    for count in (50, 200, 500, 1000, 2000):
        told = telling.told(count)
        for name, value in (
            ("told_us", told["told_us"]),
            ("told_bytes", told["told_bytes"]),
            ("last_ms", told["last_s"] * 1000),
            ("renewed_us", telling.renewed(count)),
        ):
            found.setdefault(name, {})[count] = value
    found["sent_many_us"] = {count: telling.wholes(1000, count)["whole_us"] for count in (20, 100, 500, 1000)}
    found["sent_us"] = {servers: telling.wholes(servers)["whole_us"] for servers in LISTS}
    return found


def of_rest() -> Found:
    found: Found = {
        "rest_mb": {
            servers: hearing.rested(servers, [0], 1.0)[0]["mb"] for servers in (12, 1000, 5000, 20_000)
        }
    }
    rates = (1, 2, 5, 10, 20)
    for rate, one in zip(rates, hearing.rested(12, rates, 10.0)):
        found.setdefault("rest_cpu_ms", {})[rate] = one["cpu_ms"]
        found.setdefault("rest_bytes", {})[rate] = one["bytes"]
    return found


def of_members(seed: int) -> Found:
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
        told = dict(zip(sizes, pool.map(peers.virtual, sizes, [seed] * len(sizes))))
    return {name: {size: told[size][key] for size in sizes} for name, key in names.items()}


def of_calls(seed: int) -> Found:
    found: Found = {}
    for servers in (4, 12, 100, 400, 1000):
        for name, value in calling.called(servers, seed=seed).items():
            # Wall time of a call says nothing of the sidecar while others have the cores.
            busy = os.getloadavg()[0] > (os.cpu_count() or 1) / 2
            if not name.startswith(("added", "passed", "plain")) or value > 0 and not busy:
                found.setdefault(name, {})[servers] = value
    return found


def of_duties(seed: int) -> Found:
    found: Found = {}
    for count in (10, 30, 100, 300):
        for name, value in holding.held(count, 200, seed).items():
            found.setdefault(name, {})[count] = value
    found["peer_kb"] = {count: holding.member_kb(count) for count in (50, 100, 200, 300)}
    return found


def of_voting(seed: int) -> Found:
    return {"voter_kb": {count: holding.voter_kb(count, 200, seed) for count in (10, 30, 100, 300)}}


def of_relay() -> Found:
    found: Found = {}
    for count in (100, 500, 1000, 2000):
        for name, value in relaying.relayed(count).items():
            found.setdefault(name, {})[count] = value
    return found


def of_follow() -> Found:
    found = relaying.followed((12, 84, 1000, 2584))
    return {
        "followed_mb": {size: told[0] for size, told in found.items()},
        "followed_cpu_ms": {size: told[1] for size, told in found.items()},
    }


def of_hollow(seed: int) -> Found:
    found: Found = {}
    for sidecars in (500, 1000, 2000, 4000):
        for name, value in hollow.relayed(sidecars, seed).items():
            found.setdefault(name, {})[sidecars] = value
    return found


GROUPS: dict[str, Callable[[int], Found]] = {
    "hearing": lambda repeat: of_hearing(),
    "deciding": lambda repeat: of_deciding(),
    "telling": lambda repeat: of_telling(),
    "rest": lambda repeat: of_rest(),
    "members": of_members,
    "calls": of_calls,
    "duties": of_duties,
    "voting": of_voting,
    "relay": lambda repeat: of_relay(),
    "follow": lambda repeat: of_follow(),
    "hollow": of_hollow,
}


def machine() -> dict[str, Any]:
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


def commit() -> str:
    """The commit that the measured tree stands on; with a plus where files differ from it."""

    def git(*words: str) -> str:
        command = ["git", "-C", str(ROOT), *words]
        return subprocess.run(command, check=True, capture_output=True, text=True).stdout

    changed = git("status", "--porcelain", "--untracked-files=no", "--", "pumicepath")
    return git("rev-parse", "--short", "HEAD").strip() + ("+" if changed.strip() else "")


def taken(paths: Sequence[Path]) -> dict[str, Any]:
    """Series of recorded runs of `lab scale`."""
    runs = hollow.recorded(paths)
    if not runs:
        raise click.BadParameter("no run that ended with a result", param_hint="--scale")
    found: dict[str, Any] = {}
    groups: dict[tuple[Any, ...], list[dict[str, Any]]] = {}
    for one in runs:
        result = one["result"]
        some = result.get("played", result["sidecars"]) < result["sidecars"]
        groups.setdefault((result["form"], some, *result["faults"]), []).append(one)
    for group in groups.values():
        found |= of_runs(group)
    found |= of_pairs(hollow.pairs(paths))
    return found


def of_pairs(pairs: list[dict[str, Any]]) -> dict[str, Any]:
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
        name: series(name, {one["servers"]: [float(f"{one[side][key]:.4g}")] for one in pairs}, run)
        for name, (side, key) in names.items()
    }


def of_runs(runs: list[dict[str, Any]]) -> dict[str, Any]:
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
        for name, value in hollow.figures(one["result"]).items():
            if name not in SERIES:
                continue
            sizes = values.setdefault(name, {})
            sizes.setdefault(one["result"]["sidecars"], []).append(float(f"{value:.4g}"))
    return {name: series(name, sizes, run) for name, sizes in values.items()}


def series(name: str, sizes: dict[float, list[float]], run: dict[str, Any]) -> dict[str, Any]:
    known = SERIES[name]
    return {
        "what": known.what,
        "unit": known.unit,
        "by": known.by,
        "run": run,
        "form": known.form or FORM.partition(":")[0],
        "points": [[size, found] for size, found in sorted(sizes.items())],
    }


def measure(group: str, repeats: int) -> dict[str, Any]:
    run = {
        "date": datetime.now(UTC).strftime("%Y-%m-%d %H:%M"),
        "commit": commit(),
        "load": round(os.getloadavg()[0], 1),
        "command": f"benchmarks/capacity.py --only {group} --repeats {repeats}",
    }
    values: dict[str, dict[float, list[float]]] = {}
    for repeat in range(repeats):
        for name, sizes in GROUPS[group](repeat + 1).items():
            for size, value in sizes.items():
                values.setdefault(name, {}).setdefault(size, []).append(float(f"{value:.4g}"))
                print(
                    f"{group} {repeat + 1}: {SERIES[name].what}, {size:,} {SERIES[name].by}: {value:.4g} "
                    f"{SERIES[name].unit}",
                    flush=True,
                )
    found = {
        name: series(name, sizes, run)
        for name, sizes in values.items()
        if len(sizes) >= measurements.MIN_SIZES
    }
    if FORM == "compiled":
        return found
    # With PUMICEPATH_INTERPRETED=1 what has a compiled form stands beside that, and the rest is as it was.
    return {f"{name}_interpreted": one for name, one in found.items() if not SERIES[name].form}


def keep(found: dict[str, Any]) -> None:
    data = json.loads(FILE.read_text()) if FILE.exists() else {"machine": {}, "series": {}}
    data["machine"] = machine()
    data["series"] = dict(sorted({**data["series"], **found}.items()))
    measurements.decode(data)
    options = orjson.OPT_INDENT_2
    text = orjson.dumps(data, option=options).decode()
    FILE.write_text(compact(text))


def compact(text: str) -> str:
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
        keep(taken(scale))
    elif not write_page:
        for group in only or tuple(GROUPS):
            keep(measure(group, repeats))
    try:
        capacity = measurements.decode(json.loads(FILE.read_text()))
        PAGE.write_text(page.render_page(PAGE.read_text(), capacity))
    except (measurements.CapacityError, ValueError, OSError) as trouble:
        print(f"{FILE.name}: {trouble}", file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
