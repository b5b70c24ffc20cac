"""Cost and convergence time of membership: by size in virtual time, and with real processes.

    .venv/bin/python benchmarks/peers.py virtual [--seeds 5] [--sizes 10 100 1000] [--plot FILE]
    .venv/bin/python benchmarks/peers.py real [--count 50] [--runs 3]
    .venv/bin/python benchmarks/peers.py start OTHER_TREE [--runs 7]

`virtual` runs the real decisions and datagrams on simulated links.  `real` starts that many sidecars on
loopback behind the lab's datagram proxies, kills seven in ten at once and starts them again.  `start`
compares start time, memory and idle CPU of `serve` with those of another checkout, in alternation.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import median
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from pumicepath.lab.model.links import Impairment, Links  # noqa: E402
from pumicepath.lab.model.timeline import SECOND, VirtualTimeline  # noqa: E402
from pumicepath.lab.virtual.peers import VirtualFleet  # noqa: E402

CHECK_INTERVAL_US = 250_000
MAX_WAIT_US = 300 * SECOND
# Virtual seconds of lossy links at each size, long because false deaths are rare.
FAULT_DURATION_S = {10: 3600, 100: 600, 1000: 20}


def seconds_until_correct(peering: VirtualFleet, time_: VirtualTimeline) -> float:
    """Run until all members' views are correct, at most MAX_WAIT_US; return the seconds that it took."""
    began = time_.now
    while peering.sidecars_with_wrong_view(50) and time_.now - began < MAX_WAIT_US:
        time_.run(time_.now + CHECK_INTERVAL_US)
    return (time_.now - began) / SECOND


def measure_virtual(count: int, seed: int) -> dict[str, float]:
    """Measure one fleet of that size: durations in seconds, costs for each sidecar and second."""
    time_ = VirtualTimeline()
    links = Links(time_, seed, 300)
    peering = VirtualFleet(time_, links, seed, count)
    for number in range(count):
        peering.start(number)
    results = {"join": seconds_until_correct(peering, time_), "join_kb": links.bytes.total() / count / 1000}
    time_.run(time_.now + 30 * SECOND)
    links.sent.clear()
    links.bytes.clear()
    cpu = time.process_time()
    time_.run(time_.now + 20 * SECOND)
    results |= {
        "messages": links.sent.total() / count / 20,
        "bytes": links.bytes.total() / count / 20,
        "busiest": max(links.sent.values()) / 20,
        "cpu_us": (time.process_time() - cpu) / count / 20 * 1e6,
    }
    peering.kill(count // 2)
    results["death"] = seconds_until_correct(peering, time_)
    peering.start(count // 2)
    restarted = range(count * 7 // 10)
    for number in restarted:
        peering.kill(number)
    time_.run(time_.now + SECOND)
    for number in restarted:
        peering.start(number)
    results["restart"] = seconds_until_correct(peering, time_)
    time_.run(time_.now + 30 * SECOND)
    peering.counts.clear()
    duration_s = FAULT_DURATION_S.get(count, 300)
    undo = links.impair(range(0, count, 10), Impairment(loss=0.2))
    time_.run(time_.now + duration_s * SECOND)
    undo()
    hours = duration_s / 3600
    lossy = len(range(0, count, 10))
    results["suspicions_loss"] = peering.counts["suspected"] / count / lossy / hours
    results["false_loss"] = peering.counts["false deaths"] / count / lossy / hours
    time_.run(time_.now + 30 * SECOND)
    peering.counts.clear()
    stops = 0
    for number in range(0, count, max(1, count // 10)):
        peering.stop(number)
        time_.run(time_.now + SECOND)
        peering.resume(number)
        time_.run(time_.now + 5 * SECOND)
        stops += 1
    results["false_stop"] = peering.counts["false deaths"] / count / stops
    return results


ROWS = (
    ("join", "all start at once, views correct after, s"),
    ("join_kb", "sent for that by each sidecar, kB"),
    ("death", "one killed, all know after, s"),
    ("restart", "seven in ten restarted, views correct after, s"),
    ("messages", "idle, messages a second each"),
    ("busiest", "the same for the busiest sidecar"),
    ("bytes", "idle, bytes a second each"),
    ("cpu_us", "idle, CPU us a second each"),
    ("suspicions_loss", "suspicions an hour of a sidecar with 20% loss"),
    ("false_loss", "false deaths an hour of a sidecar with 20% loss"),
    ("false_stop", "false deaths for each pause of 1 s"),
)


def print_by_size(sizes: list[int], seeds: int, plot: Path | None) -> None:
    """Measure each size with each seed, print the medians as a Markdown table; draw them into `plot`."""
    with ProcessPoolExecutor(max(1, (os.cpu_count() or 2) - 1)) as pool:
        jobs = {
            (count, seed): pool.submit(measure_virtual, count, seed)
            for count in sorted(sizes, reverse=True)
            for seed in range(1, seeds + 1)
        }
        results = {key: job.result() for key, job in jobs.items()}
    print(
        f"| {seeds} seeds, virtual time: median (minimum to maximum) | "
        + " | ".join(f"{count:,}" for count in sizes)
        + " |\n| --- |"
        + " --- |" * len(sizes)
    )
    for key, text in ROWS:
        cells = []
        for count in sizes:
            values = sorted(results[count, seed][key] for seed in range(1, seeds + 1))
            cells.append(f"{median(values):.4g} ({values[0]:.4g} to {values[-1]:.4g})")
        print(f"| {text} | " + " | ".join(cells) + " |")
    if plot is not None:
        draw_plot(sizes, seeds, results, plot)


def draw_plot(
    sizes: list[int], seeds: int, results: dict[tuple[int, int], dict[str, float]], path: Path
) -> None:
    """Draw convergence times and message rates by the number of sidecars."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, both = pyplot.subplots(1, 2, figsize=(9, 3.4))
    for axes, keys, label in (
        (both[0], ("death", "restart", "join"), "seconds until all views are correct"),
        (both[1], ("messages", "busiest"), "messages a second, idle"),
    ):
        for key in keys:
            middle = [median(results[count, seed][key] for seed in range(1, seeds + 1)) for count in sizes]
            axes.plot(sizes, middle, marker="o", label=key)
            for count in sizes:
                axes.plot(
                    [count] * seeds,
                    [results[count, seed][key] for seed in range(1, seeds + 1)],
                    ".",
                    color="grey",
                    ms=3,
                )
        axes.set(xscale="log", xlabel="sidecars", ylabel=label, ylim=(0, None))
        axes.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)


async def measure_real(count: int, folder: Path) -> dict[str, float]:
    """Measure real processes without load: durations in seconds, costs for each sidecar and second."""
    from pumicepath.lab.loopback.world import LoopbackWorld
    from pumicepath.lab.model.views import sidecars_with_wrong_view
    from pumicepath.lab.spec import Fleet, Load, Plan, Sidecars

    plan = Plan(
        lasts_s=3600, fleet=Fleet(servers=2), load=Load(rate=1), sidecars=Sidecars(count=count, peers=True)
    )
    world = LoopbackWorld(plan, 1, folder)
    names = [sidecar.name for sidecar in world.sidecars]

    async def until_correct() -> float:
        began = time.monotonic()
        while True:
            answers = await asyncio.gather(
                *(sidecar.query_admin("/peers", 10.0) for sidecar in world.sidecars if sidecar.up)
            )
            views = {
                view["name"]: [(peer["name"], peer["state"]) for peer in view["peers"]]
                for view in answers
                if view is not None
            }
            if not sidecars_with_wrong_view(views, names) or time.monotonic() - began > 300:
                return time.monotonic() - began
            await asyncio.sleep(0.1)

    def cpu() -> list[float]:
        stats = [
            Path(f"/proc/{sidecar.process.pid}/stat").read_text().rpartition(")")[2].split()
            for sidecar in world.sidecars
            if sidecar.process is not None
        ]
        return [(int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK") for stat in stats]

    try:
        assert world.links is not None
        await world.datagram_proxies.open(count)
        began = time.monotonic()
        for sidecar in world.sidecars:
            sidecar.start()
        for sidecar in world.sidecars:
            await sidecar.ready.wait()
        up = time.monotonic() - began
        results = {"up": up, "join": await until_correct()}
        await asyncio.sleep(10)
        sent, size, before = world.links.sent.total(), world.links.bytes.total(), cpu()
        await asyncio.sleep(30)
        results |= {
            "cpu_ms": 1000 * median((b - a) / 30 for a, b in zip(before, cpu())),
            "messages": (world.links.sent.total() - sent) / 30 / count,
            "bytes": (world.links.bytes.total() - size) / 30 / count,
            "mb": median(
                int(Path(f"/proc/{sidecar.process.pid}/statm").read_text().split()[1])
                for sidecar in world.sidecars
                if sidecar.process is not None
            )
            * os.sysconf("SC_PAGE_SIZE")
            / 1e6,
        }
        for sidecar in world.sidecars[: count * 7 // 10]:
            sidecar.kill()
        began = time.monotonic()
        for sidecar in world.sidecars[: count * 7 // 10]:
            sidecar.ready.clear()
            sidecar.start()
        for sidecar in world.sidecars[: count * 7 // 10]:
            await sidecar.ready.wait()
        results["restart_up"] = time.monotonic() - began
        await until_correct()
        results["restart"] = time.monotonic() - began
        return results
    finally:
        await world.close()


def print_real(count: int, runs: int) -> None:
    """Measure real sidecars several times and print the medians."""
    results = []
    for _ in range(runs):
        with tempfile.TemporaryDirectory() as folder:
            results.append(asyncio.run(measure_real(count, Path(folder))))
    print(
        f"{count} real sidecars on loopback, {os.cpu_count()} cores, {runs} runs: median (minimum to maximum)"
    )
    for key in results[0]:
        values = sorted(run[key] for run in results)
        print(f"  {key:<12} {median(values):8.3f}  ({values[0]:.3f} to {values[-1]:.3f})")


def compare_starts(other: Path, runs: int) -> None:
    """Start time, memory and idle CPU of `serve` in this tree and the other one, in alternation."""
    from pumicepath.lab.loopback.process import SidecarProcess

    here = Path(__file__).parent.parent
    config: dict[str, Any] = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:9",
        "seed": "1f",
        "limits": {"memory_mb": 128, "sockets": 1024},
        "settings": {
            "membershipMode": "pushed",
            "dcs": ["a"],
            "rules": {"askEveryS": 10},
            "policyLimits": {"mostHops": 4},
            "tariffs": [
                {"name": "read", "effect": "idempotent", "gain": 1, "agreedTimeS": 0.6, "patienceS": 2.5}
            ],
        },
    }
    config_with_peers = {**config, "peers": {"listen": "127.0.0.1:0"}}
    results: dict[str, list[tuple[float, float, float]]] = {}
    for run in range(runs):
        for name, root, given in (
            ("other tree", other, config),
            ("this tree", here, config),
            ("this tree, peers", here, config_with_peers),
        ):
            with tempfile.TemporaryDirectory() as folder:
                began = time.monotonic()
                sidecar = SidecarProcess(given, Path(folder), root, {0, 1})
                try:
                    while sidecar.address() is None:
                        time.sleep(0.001)
                    start_s = time.monotonic() - began
                    time.sleep(1)
                    memory, before = sidecar.memory_mb(), sum(sidecar.cpu_seconds())
                    time.sleep(5)
                    if run:  # the first run only fills the page cache
                        results.setdefault(name, []).append(
                            (start_s, memory, 200 * (sum(sidecar.cpu_seconds()) - before))
                        )
                finally:
                    sidecar.kill()
    for name, values in results.items():
        start_s, memory, cpu = (sorted(column) for column in zip(*values))
        print(
            f"{name:<18} started in {median(start_s):.3f} s ({start_s[0]:.3f} to {start_s[-1]:.3f})  "
            f"{median(memory):.1f} MB  idle {median(cpu):.1f} ms CPU a second ({cpu[0]:.1f} to {cpu[-1]:.1f})"
        )


def main() -> None:
    """Run the chosen measurement."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("what", choices=("virtual", "real", "start"))
    parser.add_argument("other", nargs="?", type=Path)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--sizes", type=int, nargs="+", default=[10, 100, 1000])
    parser.add_argument("--plot", type=Path)
    parser.add_argument("--count", type=int, default=50)
    parser.add_argument("--runs", type=int, default=3)
    options = parser.parse_args()
    if options.what == "virtual":
        print_by_size(options.sizes, options.seeds, options.plot)
    elif options.what == "real":
        print_real(options.count, options.runs)
    elif options.other is None:
        parser.error("start needs the path of the other tree")
    else:
        compare_starts(options.other, options.runs)


if __name__ == "__main__":
    main()
