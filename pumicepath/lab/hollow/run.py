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

from . import processes, truth
from .faults import FAULTS
from .plan import Plan
from .processes import Child, Void
from .verdict import TOLD_US, Verdict, Window, quantile

START_S = 60.0  # for a start, and so much more for each
START_EACH_S = 0.05  # sidecar's first list
SETTLE_S = TOLD_US / 1e6 + 4.0
Figures = dict[int, dict[str, float]]  # by process id
FILES = ("truth-*.jsonl", "found-*.json", "*.err", "relay-*.json", "ask.json")


class Run:
    def __init__(
        self,
        plan: Plan,
        folder: Path,
        hosts: int,
        progress: Callable[[str], None],
        settle_s: float = SETTLE_S,
    ) -> None:
        self.plan, self.folder, self.progress = plan, folder, progress
        self.hosts_wanted, self.settle_s = hosts, settle_s
        self.count = len(plan.played())  # of sidecars that are started
        self.origins: list[Child] = []
        self.relays: list[Child] = []
        self.hosts: list[Child] = []
        self.control: list[Child] = []  # the relays, or the origin where there are none
        self.forwarder: Child | None = None
        self.places: list[str] = []  # of origins
        self.relay_places: list[str] = []
        self.windows: list[Window] = []
        self.ends: list[tuple[int, int]] = []  # of faults, and when changes were made after each

    # -- what it starts

    def start(self) -> None:
        ask = self.plan.ask
        self.folder.mkdir(parents=True, exist_ok=True)
        for pattern in FILES:
            for file in self.folder.glob(pattern):  # of an earlier run
                file.unlink()
        (self.folder / "ask.json").write_bytes(orjson.dumps(ask.told()))
        for region in range(1 if ask.form == "direct" else ask.regions):
            child = Child(self.origin_command(region, "127.0.0.1:0"), self.folder, f"origin-{region}")
            self.origins.append(child)
            self.places.append(child.event("started")["listen"])
            child.arguments = self.origin_command(region, self.places[region])
        if ask.form == "direct":
            self.control = self.origins
        else:
            self.start_relays()
        self.start_hosts()

    def origin_command(self, region: int, where: str) -> list[str]:
        host, _, port = where.rpartition(":")
        return ["-m", "pumicepath.lab.hollow.origin", str(self.folder), str(region), host, port]

    def region_of_relay(self, relay: int) -> int:
        return relay // self.plan.ask.relays_per_region

    def start_relays(self) -> None:
        ask = self.plan.ask
        cut = ""
        if "region-cut" in ask.faults:
            self.forwarder = Child(
                ["-m", "pumicepath.lab.hollow.forward", self.places[0]], self.folder, "forwarder"
            )
            cut = self.forwarder.event("started")["listen"]
        for relay in range(self.plan.regions_played() * ask.relays_per_region):
            region = self.region_of_relay(relay)
            sources = {self.plan.region_name(at): place for at, place in enumerate(self.places)}
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
            child = Child(["-m", "pumicepath", "relay", "--config", str(path)], self.folder, f"relay-{relay}")
            self.relays.append(child)
        for relay, child in enumerate(self.relays):
            place = child.event("started")["listen"]
            self.relay_places.append(place)
            path = self.folder / f"relay-{relay}.json"
            path.write_text(json.dumps({**json.loads(path.read_text()), "listen": place}))
        self.control = self.relays

    def restart(self, which: Iterable[int]) -> None:
        """Start some of `control` again, where they were; back once they listen."""
        for at in which:
            self.control[at].start()
        for at in which:
            self.control[at].event("started")
        if self.control is self.origins:
            for child in self.control:
                child.tell({"do": "go"})

    def start_hosts(self) -> None:
        count = self.count
        began = time.monotonic()
        place = ",".join(self.relay_places) or self.places[0]
        for at in range(self.hosts_wanted):
            first, last = (count * each // self.hosts_wanted for each in (at, at + 1))
            self.hosts.append(
                Child(
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
        within = START_S + START_EACH_S * count
        self.told = [host.event("ready", within) for host in self.hosts]
        self.start_s = time.monotonic() - began
        self.progress(
            f"{count} sidecars have their first list after {self.start_s:.1f} s, "
            f"{sum(one['held'] for one in self.told)} held servers"
        )

    def end(self) -> None:
        for child in [*self.hosts, *self.relays, *self.origins]:
            child.kill()
        if self.forwarder is not None:
            self.forwarder.kill()

    # -- the run

    def tell_origins(self, order: dict[str, Any]) -> None:
        for origin in self.origins:
            origin.tell(order)

    def play(self) -> dict[str, Any]:
        try:
            self.start()
            return self.measured()
        finally:
            self.end()

    def measured(self) -> dict[str, Any]:
        ask = self.plan.ask
        for host in self.hosts:
            host.tell({"do": "measure"})
        before = self.control_figures()
        self.tell_origins({"do": "go"})
        began = time.monotonic()
        slot = ask.seconds / max(1, len(ask.faults))
        for at, name in enumerate(ask.faults):
            self.wait(began + slot * at + max(0.0, slot - ask.fault_s) / 3)
            self.progress(f"{time.monotonic() - began:.1f} s: {name}")
            fault = FAULTS[name](self)
            if fault.lasts:
                self.wait(time.monotonic() + ask.fault_s)
            self.windows += fault.end()
            end = truth.now()
            # Something has to come into force after each fault, or nobody could say when that is over.
            self.ends.append((end, max(origin.ask({"do": "poke"}, "poked")["at"] for origin in self.origins)))
            self.progress(f"{time.monotonic() - began:.1f} s: {name} over")
        self.wait(began + ask.seconds)
        told = [host.ask({"do": "measured"}, "measured") for host in self.hosts]
        after = self.control_figures()
        self.tell_origins({"do": "rest"})
        self.settle()
        return self.judged(told, before, after, time.monotonic() - began)

    def wait(self, until: float) -> None:
        """Until a time, with a line each 5 s; raises Void if something of the rig has ended meanwhile."""
        while (left := until - time.monotonic()) > 0:
            time.sleep(min(left, 5.0))
            for host in self.hosts:
                if host.process.poll() is not None:
                    raise Void(f"{host.name} has ended: {host.last_words()}")
            if left > 5.0:
                self.progress(f"{left - 5.0:.0f} s to go")

    def settle(self) -> None:
        """Until all is in force, or it has had more time than it may need."""
        until = time.monotonic() + self.settle_s
        while sum(host.ask({"do": "waiting"}, "waiting")["pairs"] for host in self.hosts):
            if time.monotonic() > until:
                return
            time.sleep(0.1)

    def control_figures(self) -> Figures:
        """What each process of the control side has used: origins by their word, relays as the system counts.

        By process id, so that what a successor used is not held against what its predecessor had.
        """
        found: Figures = {}
        for origin in self.origins:
            told = origin.ask({"do": "figures"}, "figures")
            found[origin.process.pid] = {key: told[key] for key in told if key != "event"}
        for relay in self.relays:
            pid = relay.process.pid
            found[pid] = {
                "cpu_s": processes.cpu(pid),
                "mb": processes.mb(pid),
                "connections": len(os.listdir(f"/proc/{pid}/fd")),
            }
        return found

    def used(self, before: Figures, after: Figures, of: list[Child], key: str) -> float:
        """How much a figure that only grows has grown."""
        pids = [child.process.pid for child in of]
        return sum(after[pid][key] - before.get(pid, {}).get(key, 0.0) for pid in pids)

    def now_of(self, after: Figures, of: list[Child], key: str) -> float:
        return sum(after[child.process.pid][key] for child in of)

    def judged(
        self, told: list[dict[str, Any]], before: Figures, after: Figures, seconds: float
    ) -> dict[str, Any]:
        ask = self.plan.ask
        changes = [
            change
            for region in range(len(self.origins))
            for change in truth.Tail(truth.path_of(self.folder, region)).read()
        ]
        lag = max(each["lag_us"] for each in told)
        verdict = Verdict(self.plan, changes, self.windows, lag)
        for host in self.hosts:
            path = Path(host.ask({"do": "judge"}, "judged", START_S + START_EACH_S * self.count)["path"])
            verdict.add(orjson.loads(path.read_bytes()))
        window = told[0]["seconds"]
        each_bytes = sorted(count / window for one in told for count in one["bytes"])
        cpu = sum((one["cpu_s"] - one["judged_s"]) / one["seconds"] for one in told)
        direct = ask.form == "direct"
        origin = {key: self.used(before, after, self.origins, key) for key in ("cpu_s", "bytes", "wholes")}
        origin_bytes = origin["bytes"] / window
        control_cpu = self.used(before, after, self.control, "cpu_s") / window
        figures = verdict.figures()
        return {
            "sidecars": ask.sidecars,
            "played": self.count,
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
            "core_share_each": round(cpu / self.count, 7),
            "mb_each": round(sum(one["mb"] - one["base_mb"] for one in self.told) / self.count, 4),
            "control": {
                "machines": len(self.control),
                "core_share": round(control_cpu, 4),
                "mb": round(self.now_of(after, self.control, "mb"), 1),
                "bytes_s": round(origin_bytes + (0.0 if direct else sum(each_bytes)), 1),
                "connections": int(self.now_of(after, self.control, "connections")),
            },
            "recovered_s": self.recovered(verdict),
            "named": verdict.named[:20],
            "origins": {
                "processes": len(self.origins),
                "core_share": round(origin["cpu_s"] / window, 4),
                "mb": round(self.now_of(after, self.origins, "mb"), 1),
                "bytes_s": round(origin_bytes, 1),
                "connections": int(self.now_of(after, self.origins, "connections")),
                "wholes": int(origin["wholes"]),
            },
            "held_each": round(sum(one["held"] for one in self.told) / self.count, 1),
            "start_s": round(self.start_s, 1),
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
            "python": f"{sys.version.split()[0]} {self.told[0]['form']}",
            "load_average": round(os.getloadavg()[0], 2),
        }

    def recovered(self, verdict: Verdict) -> float | None:
        """The longest of all faults; 0 where there was none, none where something never came into force."""
        found = [verdict.recovered_s(*end) for end in self.ends]
        if None in found:
            return None
        return round(max([0.0, *(each for each in found if each is not None)]), 3)
