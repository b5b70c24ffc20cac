"""One run of hollow sidecars: starts what it needs on loopback, makes changes and faults, and judges.

    result = Run(plan, folder, hosts, progress).play()      # raises Void where the rig itself failed

Everything that it starts ends with it, whichever way it ends.
"""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import orjson

from . import ground_truth, processes
from .evaluation import MAX_PROPAGATION_US, Evaluation, OutageWindow, quantile
from .faults import FAULT_TYPES
from .plan import Plan
from .processes import ChildProcess, InvalidRunError

START_TIMEOUT_S = 60.0  # for a start, and so much more for each
START_TIMEOUT_PER_SIDECAR_S = 0.05  # sidecar's first list
SETTLE_TIMEOUT_S = MAX_PROPAGATION_US / 1e6 + 4.0
ProcessUsage = dict[int, dict[str, float]]  # by process id
RUN_FILES = ("truth-*.jsonl", "found-*.json", "*.err", "relay-*.json", "ask.json")


class HollowRun:
    def __init__(
        self,
        plan: Plan,
        folder: Path,
        hosts: int,
        progress: Callable[[str], None],
        settle_timeout_s: float = SETTLE_TIMEOUT_S,
    ) -> None:
        self.plan, self.folder, self.progress = plan, folder, progress
        self.host_count, self.settle_timeout_s = hosts, settle_timeout_s
        self.sidecar_count = len(plan.played_sidecars())  # of sidecars that are started
        self.origins: list[ChildProcess] = []
        self.relays: list[ChildProcess] = []
        self.hosts: list[ChildProcess] = []
        self.control: list[ChildProcess] = []  # the relays, or the origin where there are none
        self.forwarder: ChildProcess | None = None
        self.origin_addresses: list[str] = []  # of origins
        self.relay_addresses: list[str] = []
        self.outage_windows: list[OutageWindow] = []
        self.fault_ends: list[tuple[int, int]] = []  # of faults, and when changes were made after each

    # -- what it starts

    def start(self) -> None:
        ask = self.plan.options
        self.folder.mkdir(parents=True, exist_ok=True)
        for pattern in RUN_FILES:
            for file in self.folder.glob(pattern):  # of an earlier run
                file.unlink()
        (self.folder / "ask.json").write_bytes(orjson.dumps(ask.as_dict()))
        for region in range(1 if ask.form == "direct" else ask.regions):
            child = ChildProcess(self.origin_command(region, "127.0.0.1:0"), self.folder, f"origin-{region}")
            self.origins.append(child)
            self.origin_addresses.append(child.wait_for("started")["listen"])
            child.arguments = self.origin_command(region, self.origin_addresses[region])
        if ask.form == "direct":
            self.control = self.origins
        else:
            self.start_relays()
        self.start_hosts()

    def origin_command(self, region: int, where: str) -> list[str]:
        host, _, port = where.rpartition(":")
        return ["-m", "pumicepath.lab.hollow.origin", str(self.folder), str(region), host, port]

    def region_of_relay(self, relay: int) -> int:
        return relay // self.plan.options.relays_per_region

    def start_relays(self) -> None:
        ask = self.plan.options
        cut = ""
        if "region-cut" in ask.faults:
            self.forwarder = ChildProcess(
                ["-m", "pumicepath.lab.hollow.forward", self.origin_addresses[0]], self.folder, "forwarder"
            )
            cut = self.forwarder.wait_for("started")["listen"]
        for relay in range(self.plan.played_region_count() * ask.relays_per_region):
            region = self.region_of_relay(relay)
            sources = {self.plan.region_name(at): place for at, place in enumerate(self.origin_addresses)}
            if cut and region != 0:
                sources[self.plan.region_name(0)] = cut
            path = self.folder / f"relay-{relay}.json"
            told = {
                "name": f"relay-{relay}",
                "sources": sources,
                "listen": f"127.{8 + (region >> 8)}.{region & 255}.{relay % ask.relays_per_region + 1}:0",
                "mostFollowers": max(4096, ask.sidecars),
            }
            if ask.whole_bytes_per_s:
                told["wholeBytesPerS"] = ask.whole_bytes_per_s
            path.write_text(json.dumps(told))
            child = ChildProcess(
                ["-m", "pumicepath", "relay", "--config", str(path)], self.folder, f"relay-{relay}"
            )
            self.relays.append(child)
        for relay, child in enumerate(self.relays):
            place = child.wait_for("started")["listen"]
            self.relay_addresses.append(place)
            path = self.folder / f"relay-{relay}.json"
            path.write_text(json.dumps({**json.loads(path.read_text()), "listen": place}))
        self.control = self.relays

    def restart(self, which: Iterable[int]) -> None:
        """Start some of `control` again, where they were; back once they listen."""
        for at in which:
            self.control[at].start()
        for at in which:
            self.control[at].wait_for("started")
        if self.control is self.origins:
            for child in self.control:
                child.send({"do": "go"})

    def start_hosts(self) -> None:
        count = self.sidecar_count
        began = time.monotonic()
        place = ",".join(self.relay_addresses) or self.origin_addresses[0]
        for at in range(self.host_count):
            first, last = (count * each // self.host_count for each in (at, at + 1))
            self.hosts.append(
                ChildProcess(
                    [
                        "-m",
                        "pumicepath.lab.hollow.host",
                        str(self.folder),
                        str(first),
                        str(last - first),
                        place,
                    ],
                    self.folder,
                    f"host-{at}",
                )
            )
        within = START_TIMEOUT_S + START_TIMEOUT_PER_SIDECAR_S * count
        self.ready_reports = [host.wait_for("ready", within) for host in self.hosts]
        self.start_duration_s = time.monotonic() - began
        self.progress(
            f"{count} sidecars have their first list after {self.start_duration_s:.1f} s, "
            f"{sum(one['held'] for one in self.ready_reports)} held servers"
        )

    def stop(self) -> None:
        for child in [*self.hosts, *self.relays, *self.origins]:
            child.kill()
        if self.forwarder is not None:
            self.forwarder.kill()

    # -- the run

    def send_to_origins(self, order: dict[str, Any]) -> None:
        for origin in self.origins:
            origin.send(order)

    def play(self) -> dict[str, Any]:
        try:
            self.start()
            return self.run_measurement()
        finally:
            self.stop()

    def run_measurement(self) -> dict[str, Any]:
        ask = self.plan.options
        for host in self.hosts:
            host.send({"do": "measure"})
        before = self.control_usage()
        self.send_to_origins({"do": "go"})
        began = time.monotonic()
        slot = ask.seconds / max(1, len(ask.faults))
        for at, name in enumerate(ask.faults):
            self.wait(began + slot * at + max(0.0, slot - ask.fault_s) / 3)
            self.progress(f"{time.monotonic() - began:.1f} s: {name}")
            fault = FAULT_TYPES[name](self)
            if fault.has_duration:
                self.wait(time.monotonic() + ask.fault_s)
            self.outage_windows += fault.end()
            end = ground_truth.now_us()
            # Something has to come into force after each fault, or nobody could say when that is over.
            self.fault_ends.append(
                (end, max(origin.request({"do": "poke"}, "poked")["at"] for origin in self.origins))
            )
            self.progress(f"{time.monotonic() - began:.1f} s: {name} over")
        self.wait(began + ask.seconds)
        told = [host.request({"do": "measured"}, "measured") for host in self.hosts]
        after = self.control_usage()
        self.send_to_origins({"do": "rest"})
        self.settle()
        return self.build_result(told, before, after, time.monotonic() - began)

    def wait(self, until: float) -> None:
        """Until a time, with a line each 5 s; raises Void if something of the rig has ended meanwhile."""
        while (left := until - time.monotonic()) > 0:
            time.sleep(min(left, 5.0))
            for host in self.hosts:
                if host.process.poll() is not None:
                    raise InvalidRunError(f"{host.name} has ended: {host.last_error_line()}")
            if left > 5.0:
                self.progress(f"{left - 5.0:.0f} s to go")

    def settle(self) -> None:
        """Until all is in force, or it has had more time than it may need."""
        until = time.monotonic() + self.settle_timeout_s
        while sum(host.request({"do": "waiting"}, "waiting")["pairs"] for host in self.hosts):
            if time.monotonic() > until:
                return
            time.sleep(0.1)

    def control_usage(self) -> ProcessUsage:
        """What each process of the control side has used: origins by their word, relays as the system counts.

        By process id, so that what a successor used is not held against what its predecessor had.
        """
        found: ProcessUsage = {}
        for origin in self.origins:
            told = origin.request({"do": "figures"}, "figures")
            found[origin.process.pid] = {key: told[key] for key in told if key != "event"}
        for relay in self.relays:
            pid = relay.process.pid
            found[pid] = {
                "cpu_s": processes.cpu_seconds(pid),
                "mb": processes.resident_mb(pid),
                "connections": len(os.listdir(f"/proc/{pid}/fd")),
            }
        return found

    def usage_growth(
        self, before: ProcessUsage, after: ProcessUsage, of: list[ChildProcess], key: str
    ) -> float:
        """How much a figure that only grows has grown."""
        pids = [child.process.pid for child in of]
        return sum(after[pid][key] - before.get(pid, {}).get(key, 0.0) for pid in pids)

    def total_usage(self, after: ProcessUsage, of: list[ChildProcess], key: str) -> float:
        return sum(after[child.process.pid][key] for child in of)

    def build_result(
        self, told: list[dict[str, Any]], before: ProcessUsage, after: ProcessUsage, seconds: float
    ) -> dict[str, Any]:
        ask = self.plan.options
        changes = [
            change
            for region in range(len(self.origins))
            for change in ground_truth.LedgerReader(ground_truth.ledger_path(self.folder, region)).read()
        ]
        lag = max(each["lag_us"] for each in told)
        verdict = Evaluation(self.plan, changes, self.outage_windows, lag)
        for host in self.hosts:
            path = Path(
                host.request(
                    {"do": "judge"},
                    "judged",
                    START_TIMEOUT_S + START_TIMEOUT_PER_SIDECAR_S * self.sidecar_count,
                )["path"]
            )
            verdict.add_findings(orjson.loads(path.read_bytes()))
        window = told[0]["seconds"]
        each_bytes = sorted(count / window for one in told for count in one["bytes"])
        cpu = sum((one["cpu_s"] - one["judged_s"]) / one["seconds"] for one in told)
        direct = ask.form == "direct"
        origin = {
            key: self.usage_growth(before, after, self.origins, key) for key in ("cpu_s", "bytes", "wholes")
        }
        origin_bytes = origin["bytes"] / window
        control_cpu = self.usage_growth(before, after, self.control, "cpu_s") / window
        figures = verdict.metrics()
        return {
            "sidecars": ask.sidecars,
            "played": self.sidecar_count,
            "processes": 1
            + len(self.hosts)
            + len(self.origins)
            + len(self.relays)
            + (self.forwarder is not None),
            "services": ask.services,
            **figures,
            "bytes_s_each": {
                "mean": round(sum(each_bytes) / len(each_bytes), 1),
                "p99": round(quantile(each_bytes, 0.99), 1),
                "max": round(each_bytes[-1], 1),
            },
            "core_share_each": round(cpu / self.sidecar_count, 7),
            "mb_each": round(
                sum(one["mb"] - one["base_mb"] for one in self.ready_reports) / self.sidecar_count, 4
            ),
            "control": {
                "machines": len(self.control),
                "core_share": round(control_cpu, 4),
                "mb": round(self.total_usage(after, self.control, "mb"), 1),
                "bytes_s": round(origin_bytes + (0.0 if direct else sum(each_bytes)), 1),
                "connections": int(self.total_usage(after, self.control, "connections")),
            },
            "recovered_s": self.max_recovery_s(verdict),
            "named": verdict.violation_texts[:20],
            "origins": {
                "processes": len(self.origins),
                "core_share": round(origin["cpu_s"] / window, 4),
                "mb": round(self.total_usage(after, self.origins, "mb"), 1),
                "bytes_s": round(origin_bytes, 1),
                "connections": int(self.total_usage(after, self.origins, "connections")),
                "wholes": int(origin["wholes"]),
            },
            "held_each": round(sum(one["held"] for one in self.ready_reports) / self.sidecar_count, 1),
            "start_s": round(self.start_duration_s, 1),
            "rig_lag_s": round(lag / 1e6, 3),
            "failed_calls": sum(one["failed"] for one in told),
            "judge_core_share": round(sum(one["judged_s"] / one["seconds"] for one in told), 3),
            "seconds": round(seconds, 1),
            "regions": ask.regions,
            "zones": ask.zones,
            "calls": ask.calls,
            "changes_per_s": ask.changes_per_s,
            "popular": ask.popular,
            "whole_bytes_per_s": ask.whole_bytes_per_s,
            "form": ask.form,
            "relays_per_region": 0 if direct else ask.relays_per_region,
            "faults": list(ask.faults),
            "seed": ask.seed,
            "python": f"{sys.version.split()[0]} {self.ready_reports[0]['form']}",
            "load_average": round(os.getloadavg()[0], 2),
        }

    def max_recovery_s(self, verdict: Evaluation) -> float | None:
        """The longest of all faults; 0 where there was none, none where something never came into force."""
        found = [verdict.recovery_s(*end) for end in self.fault_ends]
        if None in found:
            return None
        return round(max([0.0, *(each for each in found if each is not None)]), 3)
