"""One run of hollow sidecars: starts all processes on loopback, injects faults, and evaluates the result.

    result = HollowRun(plan, folder, hosts, progress).play()  # raises InvalidRunError if the rig failed

All processes that it starts end with it, however it ends.
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

START_TIMEOUT_S = 60.0
START_TIMEOUT_PER_SIDECAR_S = 0.05  # in addition, for each sidecar's first list
SETTLE_TIMEOUT_S = MAX_PROPAGATION_US / 1e6 + 4.0
ProcessUsage = dict[int, dict[str, float]]  # by process id
RUN_FILES = ("truth-*.jsonl", "found-*.json", "*.err", "relay-*.json", "ask.json")


class HollowRun:
    """The processes of one run, from their start to the evaluation of what the sidecars held."""

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
        self.sidecar_count = len(plan.played_sidecars())  # sidecars that are started
        self.origins: list[ChildProcess] = []
        self.relays: list[ChildProcess] = []
        self.hosts: list[ChildProcess] = []
        self.control: list[ChildProcess] = []  # the relays, or the origin in a direct run
        self.forwarder: ChildProcess | None = None
        self.origin_addresses: list[str] = []
        self.relay_addresses: list[str] = []
        self.outage_windows: list[OutageWindow] = []
        self.fault_ends: list[tuple[int, int]] = []  # (end of a fault, time of the changes made after it)

    # -- starting and stopping processes

    def start(self) -> None:
        """Start all processes, and wait until all sidecars have their first list."""
        options = self.plan.options
        self.folder.mkdir(parents=True, exist_ok=True)
        for pattern in RUN_FILES:
            for file in self.folder.glob(pattern):  # of an earlier run
                file.unlink()
        (self.folder / "ask.json").write_bytes(orjson.dumps(options.as_dict()))
        for region in range(1 if options.form == "direct" else options.regions):
            child = ChildProcess(self.origin_command(region, "127.0.0.1:0"), self.folder, f"origin-{region}")
            self.origins.append(child)
            self.origin_addresses.append(child.wait_for("started")["listen"])
            child.arguments = self.origin_command(region, self.origin_addresses[region])
        if options.form == "direct":
            self.control = self.origins
        else:
            self.start_relays()
        self.start_hosts()

    def origin_command(self, region: int, address: str) -> list[str]:
        host, _, port = address.rpartition(":")
        return ["-m", "pumicepath.lab.hollow.origin", str(self.folder), str(region), host, port]

    def region_of_relay(self, relay: int) -> int:
        return relay // self.plan.options.relays_per_region

    def start_relays(self) -> None:
        """Start the relays; with the fault region-cut also the proxy before the first region's origin."""
        options = self.plan.options
        proxy_address = ""
        if "region-cut" in options.faults:
            self.forwarder = ChildProcess(
                ["-m", "pumicepath.lab.hollow.forward", self.origin_addresses[0]], self.folder, "forwarder"
            )
            proxy_address = self.forwarder.wait_for("started")["listen"]
        for relay in range(self.plan.played_region_count() * options.relays_per_region):
            region = self.region_of_relay(relay)
            sources = {
                self.plan.region_name(number): address for number, address in enumerate(self.origin_addresses)
            }
            if proxy_address and region != 0:
                sources[self.plan.region_name(0)] = proxy_address
            path = self.folder / f"relay-{relay}.json"
            config = {
                "name": f"relay-{relay}",
                "sources": sources,
                "listen": f"127.{8 + (region >> 8)}.{region & 255}.{relay % options.relays_per_region + 1}:0",
                "mostFollowers": max(4096, options.sidecars),
            }
            if options.whole_bytes_per_s:
                config["wholeBytesPerS"] = options.whole_bytes_per_s
            path.write_text(json.dumps(config))
            child = ChildProcess(
                ["-m", "pumicepath", "relay", "--config", str(path)], self.folder, f"relay-{relay}"
            )
            self.relays.append(child)
        for relay, child in enumerate(self.relays):
            address = child.wait_for("started")["listen"]
            self.relay_addresses.append(address)
            path = self.folder / f"relay-{relay}.json"
            path.write_text(json.dumps({**json.loads(path.read_text()), "listen": address}))
        self.control = self.relays

    def restart(self, which: Iterable[int]) -> None:
        """Start some of `control` again at their addresses, and wait until they listen."""
        for index in which:
            self.control[index].start()
        for index in which:
            self.control[index].wait_for("started")
        if self.control is self.origins:
            for child in self.control:
                child.send({"do": "go"})

    def start_hosts(self) -> None:
        """Start the processes of hollow sidecars, each with an equal part of the sidecars."""
        count = self.sidecar_count
        started_at = time.monotonic()
        addresses = ",".join(self.relay_addresses) or self.origin_addresses[0]
        for number in range(self.host_count):
            first, last = (count * bound // self.host_count for bound in (number, number + 1))
            self.hosts.append(
                ChildProcess(
                    [
                        "-m",
                        "pumicepath.lab.hollow.host",
                        str(self.folder),
                        str(first),
                        str(last - first),
                        addresses,
                    ],
                    self.folder,
                    f"host-{number}",
                )
            )
        timeout_s = START_TIMEOUT_S + START_TIMEOUT_PER_SIDECAR_S * count
        self.ready_reports = [host.wait_for("ready", timeout_s) for host in self.hosts]
        self.start_duration_s = time.monotonic() - started_at
        self.progress(
            f"{count} sidecars have their first list after {self.start_duration_s:.1f} s, "
            f"{sum(report['held'] for report in self.ready_reports)} held servers"
        )

    def stop(self) -> None:
        """Kill all processes."""
        for child in [*self.hosts, *self.relays, *self.origins]:
            child.kill()
        if self.forwarder is not None:
            self.forwarder.kill()

    # -- the run

    def send_to_origins(self, order: dict[str, Any]) -> None:
        """Send an order to every origin."""
        for origin in self.origins:
            origin.send(order)

    def play(self) -> dict[str, Any]:
        """Play the whole run and return its result.  Raises InvalidRunError."""
        try:
            self.start()
            return self.run_measurement()
        finally:
            self.stop()

    def run_measurement(self) -> dict[str, Any]:
        """Make changes and inject the faults one after the other, then evaluate the run."""
        options = self.plan.options
        for host in self.hosts:
            host.send({"do": "measure"})
        usage_before = self.control_usage()
        self.send_to_origins({"do": "go"})
        started_at = time.monotonic()
        slot = options.seconds / max(1, len(options.faults))
        for index, name in enumerate(options.faults):
            self.wait(started_at + slot * index + max(0.0, slot - options.fault_s) / 3)
            self.progress(f"{time.monotonic() - started_at:.1f} s: {name}")
            fault = FAULT_TYPES[name](self)
            if fault.has_duration:
                self.wait(time.monotonic() + options.fault_s)
            self.outage_windows += fault.end()
            end = ground_truth.now_us()
            # The recovery time is measured by changes: without some after each fault it would be undefined.
            self.fault_ends.append(
                (end, max(origin.request({"do": "poke"}, "poked")["at"] for origin in self.origins))
            )
            self.progress(f"{time.monotonic() - started_at:.1f} s: {name} over")
        self.wait(started_at + options.seconds)
        measurements = [host.request({"do": "measured"}, "measured") for host in self.hosts]
        usage_after = self.control_usage()
        self.send_to_origins({"do": "rest"})
        self.settle()
        return self.build_result(measurements, usage_before, usage_after, time.monotonic() - started_at)

    def wait(self, until: float) -> None:
        """Sleep until a monotonic time, with a progress line every 5 s.

        Raises InvalidRunError if a process of hollow sidecars has ended meanwhile.
        """
        while (remaining := until - time.monotonic()) > 0:
            time.sleep(min(remaining, 5.0))
            for host in self.hosts:
                if host.process.poll() is not None:
                    raise InvalidRunError(f"{host.name} has ended: {host.last_error_line()}")
            if remaining > 5.0:
                self.progress(f"{remaining - 5.0:.0f} s to go")

    def settle(self) -> None:
        """Wait until all changes are applied, at most for the settle timeout."""
        deadline = time.monotonic() + self.settle_timeout_s
        while sum(host.request({"do": "waiting"}, "waiting")["pairs"] for host in self.hosts):
            if time.monotonic() > deadline:
                return
            time.sleep(0.1)

    def control_usage(self) -> ProcessUsage:
        """Resources used by each origin, as it reports them, and by each relay, as the kernel counts them.

        The key is the process id, so that a restarted process is not compared with the one before it.
        """
        usage: ProcessUsage = {}
        for origin in self.origins:
            report = origin.request({"do": "figures"}, "figures")
            usage[origin.process.pid] = {key: report[key] for key in report if key != "event"}
        for relay in self.relays:
            pid = relay.process.pid
            usage[pid] = {
                "cpu_s": processes.cpu_seconds(pid),
                "mb": processes.resident_mb(pid),
                "connections": len(os.listdir(f"/proc/{pid}/fd")),
            }
        return usage

    def usage_growth(
        self, before: ProcessUsage, after: ProcessUsage, children: list[ChildProcess], key: str
    ) -> float:
        """The growth of a counter, summed over processes."""
        pids = [child.process.pid for child in children]
        return sum(after[pid][key] - before.get(pid, {}).get(key, 0.0) for pid in pids)

    def total_usage(self, after: ProcessUsage, children: list[ChildProcess], key: str) -> float:
        """The sum of a value over processes."""
        return sum(after[child.process.pid][key] for child in children)

    def build_result(
        self, measurements: list[dict[str, Any]], before: ProcessUsage, after: ProcessUsage, seconds: float
    ) -> dict[str, Any]:
        """Evaluate the findings of all hosts and return the run's result."""
        options = self.plan.options
        changes = [
            change
            for region in range(len(self.origins))
            for change in ground_truth.LedgerReader(ground_truth.ledger_path(self.folder, region)).read()
        ]
        rig_delay_us = max(measurement["lag_us"] for measurement in measurements)
        evaluation = Evaluation(self.plan, changes, self.outage_windows, rig_delay_us)
        for host in self.hosts:
            path = Path(
                host.request(
                    {"do": "judge"},
                    "judged",
                    START_TIMEOUT_S + START_TIMEOUT_PER_SIDECAR_S * self.sidecar_count,
                )["path"]
            )
            evaluation.add_findings(orjson.loads(path.read_bytes()))
        measured_s = measurements[0]["seconds"]
        bytes_per_s = sorted(count / measured_s for report in measurements for count in report["bytes"])
        sidecar_cores = sum(
            (report["cpu_s"] - report["judged_s"]) / report["seconds"] for report in measurements
        )
        direct = options.form == "direct"
        origin_growth = {
            key: self.usage_growth(before, after, self.origins, key) for key in ("cpu_s", "bytes", "wholes")
        }
        origin_bytes_per_s = origin_growth["bytes"] / measured_s
        control_cores = self.usage_growth(before, after, self.control, "cpu_s") / measured_s
        metrics = evaluation.metrics()
        return {
            "sidecars": options.sidecars,
            "played": self.sidecar_count,
            "processes": 1
            + len(self.hosts)
            + len(self.origins)
            + len(self.relays)
            + (self.forwarder is not None),
            "services": options.services,
            **metrics,
            "bytes_s_each": {
                "mean": round(sum(bytes_per_s) / len(bytes_per_s), 1),
                "p99": round(quantile(bytes_per_s, 0.99), 1),
                "max": round(bytes_per_s[-1], 1),
            },
            "core_share_each": round(sidecar_cores / self.sidecar_count, 7),
            "mb_each": round(
                sum(report["mb"] - report["base_mb"] for report in self.ready_reports) / self.sidecar_count, 4
            ),
            "control": {
                "machines": len(self.control),
                "core_share": round(control_cores, 4),
                "mb": round(self.total_usage(after, self.control, "mb"), 1),
                "bytes_s": round(origin_bytes_per_s + (0.0 if direct else sum(bytes_per_s)), 1),
                "connections": int(self.total_usage(after, self.control, "connections")),
            },
            "recovered_s": self.max_recovery_s(evaluation),
            "named": evaluation.violation_texts[:20],
            "origins": {
                "processes": len(self.origins),
                "core_share": round(origin_growth["cpu_s"] / measured_s, 4),
                "mb": round(self.total_usage(after, self.origins, "mb"), 1),
                "bytes_s": round(origin_bytes_per_s, 1),
                "connections": int(self.total_usage(after, self.origins, "connections")),
                "wholes": int(origin_growth["wholes"]),
            },
            "held_each": round(sum(report["held"] for report in self.ready_reports) / self.sidecar_count, 1),
            "start_s": round(self.start_duration_s, 1),
            "rig_lag_s": round(rig_delay_us / 1e6, 3),
            "failed_calls": sum(report["failed"] for report in measurements),
            "judge_core_share": round(
                sum(report["judged_s"] / report["seconds"] for report in measurements), 3
            ),
            "seconds": round(seconds, 1),
            "regions": options.regions,
            "zones": options.zones,
            "calls": options.calls,
            "changes_per_s": options.changes_per_s,
            "popular": options.popular,
            "whole_bytes_per_s": options.whole_bytes_per_s,
            "form": options.form,
            "relays_per_region": 0 if direct else options.relays_per_region,
            "faults": list(options.faults),
            "seed": options.seed,
            "python": f"{sys.version.split()[0]} {self.ready_reports[0]['form']}",
            "load_average": round(os.getloadavg()[0], 2),
        }

    def max_recovery_s(self, evaluation: Evaluation) -> float | None:
        """The longest recovery in seconds; 0 without faults, None if a change was never applied."""
        recoveries = [evaluation.recovery_s(*end) for end in self.fault_ends]
        if None in recoveries:
            return None
        return round(max([0.0, *(recovery for recovery in recoveries if recovery is not None)]), 3)
