"""Duties: random faults among real processes, hand-over times by lease, cost by size of the fleet.

    .venv/bin/python benchmarks/duties.py soak [--count 15] [--minutes 5] [--seed 1]
    .venv/bin/python benchmarks/duties.py handover [--runs 40]
    .venv/bin/python benchmarks/duties.py size [--duties 1000]

`soak` runs with three servers that fail throughout, so that their trials are duties.  It randomly kills,
pauses, stops, replaces and disconnects sidecars, then checks the history, and exits with 1 if any rule was
violated.
`handover` and `size` run the real decisions and datagrams on simulated links of 0.3 ms.
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from statistics import median

sys.path.insert(0, str(Path(__file__).parent.parent))

from pumicepath.fleet.node import FleetNode  # noqa: E402
from pumicepath.fleet.settings import Voting  # noqa: E402
from pumicepath.lab.experiments.fleet_report import check_history  # noqa: E402
from pumicepath.lab.loopback.world import play  # noqa: E402
from pumicepath.lab.model.links import Links  # noqa: E402
from pumicepath.lab.model.timeline import SECOND, VirtualTimeline  # noqa: E402
from pumicepath.lab.spec import FaultSpec, Fleet, Load, Plan, Sidecars  # noqa: E402
from pumicepath.lab.virtual.peers import VirtualFleet, address  # noqa: E402

QUIET_S = 20.0  # without new faults, at the end of the soak


def soak_plan(count: int, seconds: float, seed: int) -> Plan:
    """A plan of random faults for that many sidecars."""
    rng = Random(seed)
    faults = [FaultSpec(kind="fail-quickly", at_s=3, for_s=seconds - 3, servers=(0, 1, 2), value=1.0)]
    at = 8.0
    while at < seconds - QUIET_S:
        sidecars = tuple(rng.sample(range(count), rng.choice((1, 1, 2, 3, count // 2))))
        duration_s = rng.choice((0.3, 1.5, 4.0, 8.0))
        kind = rng.choice(
            (
                "sidecars-killed",
                "sidecars-stopped",
                "sidecars-ended",
                "sidecars-replaced",
                "peers-cut",
                "one-way",
                "peers-noisy",
                "voters",
                "clock-step",
            )
        )
        match kind:
            case "one-way":
                faults.append(FaultSpec(kind="peers-cut", at_s=at, for_s=duration_s, from_=sidecars))
            case "peers-noisy":
                faults.append(
                    FaultSpec(
                        kind=kind,
                        at_s=at,
                        for_s=duration_s,
                        value=rng.uniform(0.05, 0.4),
                        spread_ms=rng.choice((20, 500, 5000)),
                        doubled=0.1,
                        spoilt=0.02,
                    )
                )
            case "voters":
                faults.append(
                    FaultSpec(
                        kind=rng.choice(("sidecars-killed", "sidecars-stopped")),
                        at_s=at,
                        for_s=duration_s,
                        sidecars=(0, 1, 2),
                    )
                )
            case "clock-step":
                faults.append(
                    FaultSpec(
                        kind=kind,
                        at_s=at,
                        for_s=duration_s,
                        sidecars=sidecars[:2],
                        value=rng.choice((-3600.0, 3600.0)),
                    )
                )
            case _:
                faults.append(FaultSpec(kind=kind, at_s=at, for_s=duration_s, sidecars=sidecars[:5]))
        at += rng.uniform(1.0, 6.0)
    return Plan(
        lasts_s=seconds,
        fleet=Fleet(halls=1, servers=8, work_ms=5),
        load=Load(rate=20 * count),
        sidecars=Sidecars(count=count, peers=True, peers_every_s=0.5, trials=True, lease_s=2.0),
        troubles=tuple(faults),
    )


def soak(count: int, seconds: float, seed: int) -> int:
    """Run the soak and print what its check found; return the exit status."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "history"
        result = play(soak_plan(count, seconds, seed), seed, history=path)
        report = check_history(path)
    print(
        f"{count} real sidecars for {seconds:g} s, seed {seed}: {report.handovers} hand-overs, "
        f"service {result.service:.4f}, {sum(result.violations.values())} rules violated"
    )
    print("\n".join(report.summary_lines()))
    return 1 if report.violations or any(result.violations.values()) else 0


class DutyFleet:
    """A simulated fleet without submissions in which every sidecar wants the given duties."""

    def __init__(self, count: int, lease_s: float, duties: list[str], seed: int) -> None:
        self.time = VirtualTimeline()
        self.links = Links(self.time, seed, 300)
        lease = round(lease_s * SECOND)
        voting = Voting((tuple(address(each) for each in range(3)),), lease, lease)
        self.peering = VirtualFleet(self.time, self.links, seed, count, voting=voting)
        self.duties = duties
        for number in range(count):
            self.peering.start(number)
        self.time.at(0, self.want_duties)

    def want_duties(self) -> None:
        """Have every sidecar ask for the duties; repeated each second."""
        for node in self.peering.nodes:
            if node.fleet_node is not None and node.fleet_node.duties is not None:
                node.fleet_node.duties.set_wanted(node.clock(), self.duties)
                node.schedule_timer()
        self.time.at(self.time.now + SECOND, self.want_duties)

    def holder(self, duty: str) -> int:
        """Number of the running sidecar that holds the duty, or -1."""
        for node in self.peering.nodes:
            fleet_node = node.fleet_node
            if (
                not node.stopped
                and fleet_node is not None
                and fleet_node.duties is not None
                and fleet_node.duties.fencing_number(node.clock(), duty)
            ):
                return node.number
        return -1

    def seconds_until_held(self, duty: str, previous: int = -1) -> float:
        """Run until a sidecar other than `previous` holds the duty; return the seconds that it took."""
        began = self.time.now
        while self.holder(duty) in (-1, previous):
            self.time.run(self.time.now + 5_000)
            assert self.time.now - began < 600 * SECOND
        return (self.time.now - began) / SECOND


def measure_hand_over(lease_s: float, how: str, seed: int) -> float:
    """Seconds without a holder after the holder is killed, stopped, cut off, or resigns."""
    fleet = DutyFleet(8, lease_s, ["d"], seed)
    fleet.seconds_until_held("d")
    fleet.time.run(fleet.time.now + round(Random(seed).uniform(1, 2) * lease_s * SECOND))
    fleet.seconds_until_held("d")
    number = fleet.holder("d")
    node = fleet.peering.nodes[number]
    all_sidecars = set(range(8))
    match how:
        case "kill":
            fleet.peering.kill(number)
        case "stop":
            fleet.peering.stop(number)
        case "cut":
            fleet.links.cut({number}, all_sidecars - {number})
        case "resign":
            assert node.fleet_node is not None
            node.fleet_node.stop(node.clock())
    return (
        fleet.seconds_until_held("d", number if how != "cut" else -1)
        if how != "cut"
        else seconds_without_holder(fleet, number)
    )


def seconds_without_holder(fleet: DutyFleet, number: int) -> float:
    """Seconds from when the cut-off holder gives the duty up by itself until another sidecar holds it."""
    while fleet.holder("d") == number:
        fleet.time.run(fleet.time.now + 5_000)
    return fleet.seconds_until_held("d", number)


def print_hand_overs(runs: int) -> None:
    """Print a Markdown table of the time without a holder by kind of failure and by lease."""
    print(f"| {runs} runs, virtual time; s without a holder, median (worst) | 2 s | 5 s | 10 s | 30 s |")
    print("| --- | --- | --- | --- | --- |")
    for how, text in (
        ("kill", "killed"),
        ("stop", "stopped"),
        ("cut", "cut off, from when it stops acting"),
        ("resign", "shuts down or resigns"),
    ):
        cells = []
        for lease_s in (2.0, 5.0, 10.0, 30.0):
            values = [measure_hand_over(lease_s, how, seed) for seed in range(1, runs + 1)]
            cells.append(f"{median(values):.2f} ({max(values):.2f})")
        print(f"| {text} | " + " | ".join(cells) + " |")


def print_sizes(duties: int) -> None:
    """Print a Markdown table of the cost of duties for fleets of 10, 100 and 1,000 sidecars."""
    print(f"| {duties} duties, lease 10 s, virtual time | 10 | 100 | 1,000 |\n| --- | --- | --- | --- |")
    rows: dict[str, list[str]] = {
        "messages a second for each sidecar": [],
        "messages a second, busiest voter": [],
        "bytes a second for each sidecar": [],
        "most duties held by one sidecar": [],
        "CPU us a second for each sidecar": [],
    }
    for count in (10, 100, 1000):
        fleet = DutyFleet(count, 10.0, [], 1)
        names = [f"trial a s-{number}" for number in range(duties)]
        wanted_duties: dict[int, list[str]] = {}
        rng = Random(1)
        for name in names:
            wanted_duties.setdefault(rng.randrange(count), []).append(name)

        def make_request(
            fleet_node: FleetNode,
            number: int,
            fleet: DutyFleet = fleet,
            wanted: dict[int, list[str]] = wanted_duties,
        ) -> Callable[[], None]:
            def request_duties() -> None:
                if fleet_node.duties is not None:
                    fleet_node.duties.set_wanted(fleet.peering.nodes[number].clock(), wanted.get(number, []))
                    fleet.peering.nodes[number].schedule_timer()

            return request_duties

        fleet.time.run(40 * SECOND)
        fleet.want_duties = lambda: None  # type: ignore[method-assign]
        for node in fleet.peering.nodes:
            if node.fleet_node is not None:
                fleet.time.at(fleet.time.now, make_request(node.fleet_node, node.number))
        fleet.time.run(fleet.time.now + 20 * SECOND)
        fleet.links.sent.clear()
        fleet.links.bytes.clear()
        cpu = time.process_time()
        fleet.time.run(fleet.time.now + 20 * SECOND)
        held = [
            len(node.fleet_node.duties.held(node.clock()))
            for node in fleet.peering.nodes
            if node.fleet_node is not None and node.fleet_node.duties is not None
        ]
        assert sum(held) == duties, sum(held)
        rows["messages a second for each sidecar"].append(f"{fleet.links.sent.total() / count / 20:.2f}")
        rows["messages a second, busiest voter"].append(
            f"{max(fleet.links.sent[each] for each in range(3)) / 20:.1f}"
        )
        rows["bytes a second for each sidecar"].append(f"{fleet.links.bytes.total() / count / 20:.0f}")
        rows["most duties held by one sidecar"].append(str(max(held)))
        rows["CPU us a second for each sidecar"].append(
            f"{(time.process_time() - cpu) / count / 20 * 1e6:.0f}"
        )
    for text, cells in rows.items():
        print(f"| {text} | " + " | ".join(cells) + " |")


def main() -> None:
    """Run the chosen measurement."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("soak", "handover", "size"))
    parser.add_argument("--count", type=int, default=15)
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=40)
    parser.add_argument("--duties", type=int, default=1000)
    options = parser.parse_args()
    match options.what:
        case "soak":
            sys.exit(soak(options.count, options.minutes * 60, options.seed))
        case "handover":
            print_hand_overs(options.runs)
        case _:
            print_sizes(options.duties)


if __name__ == "__main__":
    main()
