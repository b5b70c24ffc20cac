"""A process that holds many hollow sidecars: one selector loop, a tick for the witness, orders on stdin.

    python -m pumicepath.lab.hollow.host FOLDER FIRST COUNT PLACES      # of those that the run plays

Reads the run's `ask.json`; PLACES are the relays' addresses, parted by commas, region by region;
without relays the origin's.
"""

from __future__ import annotations

import gc
import selectors
import sys
import time
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from pathlib import Path
from typing import Any

import orjson

from ... import compiled
from ...discovery.server_list import ServerListUpdate
from ...interface import ServerState
from . import ground_truth, processes
from .plan import Plan, RunOptions
from .sidecar import HollowSidecar
from .view_checker import ViewChecker

TICK_US = 50_000
MAX_CONCURRENT_STARTS = 32  # first lists that are out together: guards the start against all asking at once
GC_THRESHOLD = 10_000  # collections of the garbage collector, as `serve` sets them


class SidecarHost:
    def __init__(self, plan: Plan, folder: Path, numbers: Sequence[int], places: list[str]) -> None:
        self.plan, self.folder = plan, folder
        self.selector = selectors.DefaultSelector()
        self.base_mb = processes.resident_mb()
        self.timers: list[tuple[int, int, HollowSidecar]] = []
        self.timer_count = 0
        self.sidecars = [
            HollowSidecar(plan, number, self.upstream_addresses(places, number), self) for number in numbers
        ]
        origins = 1 if plan.options.form == "direct" else plan.options.regions
        self.view_checker = ViewChecker(plan, self.sidecars, ground_truth.ledgers_reader(folder, origins))
        self.not_started = list(reversed(self.sidecars))
        self.starting: set[int] = set()
        self.all_started = False
        self.checker_cpu_s = 0.0  # CPU seconds of the witness's
        self.failed_calls_before = 0
        self.max_tick_delay_us = 0  # the longest that a tick came late, in microseconds
        self.usage_before: tuple[float, float, float, list[int]] = (0.0, 0.0, 0.0, [])
        self.inject_bugs()

    def upstream_addresses(self, places: list[str], number: int) -> list[str]:
        """The relays of a sidecar's region, or the one discovery."""
        if self.plan.options.form == "direct":
            return places
        each = self.plan.options.relays_per_region
        first = self.plan.region_of(number) * each
        return places[first : first + each]

    # -- what a sidecar needs

    def register(self, sidecar: HollowSidecar, writable: bool) -> None:
        events = selectors.EVENT_WRITE if writable else selectors.EVENT_READ
        assert sidecar.sock is not None
        if sidecar.sock.fileno() in self.selector.get_map():
            self.selector.modify(sidecar.sock, events, sidecar)
        else:
            self.selector.register(sidecar.sock, events, sidecar)

    def unregister(self, sidecar: HollowSidecar) -> None:
        if sidecar.sock is not None and sidecar.sock.fileno() in self.selector.get_map():
            self.selector.unregister(sidecar.sock)

    def set_timer(self, at: int, sidecar: HollowSidecar) -> None:
        self.timer_count += 1
        heappush(self.timers, (at, self.timer_count, sidecar))

    def list_updated(self, sidecar: HollowSidecar, whole: bool) -> None:
        if not self.all_started:
            self.starting.discard(sidecar.number)
            return
        self.run_checker(lambda: self.view_checker.list_updated(sidecar, whole))

    def run_checker(self, call: Callable[[], None]) -> None:
        began = time.thread_time()
        call()
        self.checker_cpu_s += time.thread_time() - began

    # -- faults in the rig itself, by which its judge is tested

    def inject_bugs(self) -> None:
        if "ignores-drain" in self.plan.options.planted:
            self.sidecars[0].injected_bug = ignore_drain
        if "goes-back" in self.plan.options.planted:
            self.sidecars[0].injected_bug = RevertState()

    # -- the run

    def handle_order(self, order: dict[str, Any]) -> None:
        do = order["do"]
        if do == "measure":
            self.max_tick_delay_us = 0
            self.failed_calls_before = sum(one.failed_calls for one in self.sidecars)
            before = [one.bytes for one in self.sidecars]
            self.usage_before = (processes.cpu_seconds(), self.checker_cpu_s, time.monotonic(), before)
        elif do == "measured":
            cpu, judged, at, before = self.usage_before
            processes.send_event(
                {
                    "event": "measured",
                    "cpu_s": processes.cpu_seconds() - cpu,
                    "judged_s": self.checker_cpu_s - judged,
                    "seconds": time.monotonic() - at,
                    "mb": processes.resident_mb(),
                    "base_mb": self.base_mb,
                    "bytes": [one.bytes - then for one, then in zip(self.sidecars, before)],
                    "lag_us": self.max_tick_delay_us,
                    "failed": sum(one.failed_calls for one in self.sidecars) - self.failed_calls_before,
                }
            )
        elif do == "waiting":
            self.view_checker.tick(ground_truth.now_us())
            processes.send_event({"event": "waiting", "pairs": self.view_checker.pending_count()})
        elif do == "judge":
            self.view_checker.tick(ground_truth.now_us())
            self.view_checker.check_final_views()
            path = self.folder / f"found-{self.sidecars[0].number}.json"
            path.write_bytes(orjson.dumps(self.view_checker.findings()))
            processes.send_event({"event": "judged", "path": str(path)})

    def start_sidecars(self, now: int) -> None:
        while self.not_started and len(self.starting) < MAX_CONCURRENT_STARTS:
            sidecar = self.not_started.pop()
            self.starting.add(sidecar.number)
            sidecar.connect(now)
        if not self.not_started and not self.starting:
            self.all_started = True
            gc.collect()
            gc.freeze()
            gc.set_threshold(GC_THRESHOLD)
            processes.send_event(
                {
                    "event": "ready",
                    "mb": processes.resident_mb(),
                    "base_mb": self.base_mb,
                    "form": compiled.FORM,
                    "held": sum(len(one.server_list.lines) for one in self.sidecars),
                }
            )

    def run(self) -> None:
        orders = processes.OrderReader()
        self.selector.register(0, selectors.EVENT_READ, orders)
        tick = ground_truth.now_us()
        while True:
            now = ground_truth.now_us()
            if not self.all_started:
                self.start_sidecars(now)
            until = min(tick, self.timers[0][0]) if self.timers else tick
            for key, _ in self.selector.select(max(0.0, (until - now) / 1e6)):
                if isinstance(key.data, HollowSidecar):
                    key.data.on_socket_ready(ground_truth.now_us())
                else:
                    for order in orders.read():
                        self.handle_order(order)
            now = ground_truth.now_us()
            while self.timers and self.timers[0][0] <= now:
                at, _, sidecar = heappop(self.timers)
                if sidecar.due_at == at:
                    sidecar.on_timer(now)
            if now >= tick:
                self.max_tick_delay_us = max(self.max_tick_delay_us, now - tick)
                if self.all_started:
                    self.run_checker(lambda: self.view_checker.tick(ground_truth.now_us()))
                tick = max(tick + TICK_US, ground_truth.now_us())


def ignore_drain(update: ServerListUpdate) -> ServerListUpdate:
    """What drains stays as it was: a fault planted for a test."""
    kept = [at for at, entry in enumerate(update.entries) if entry.state != ServerState.DRAINING]
    return update._replace(
        entries=[update.entries[at] for at in kept], addresses=[update.addresses[at] for at in kept]
    )


class RevertState:
    """Gives a server's state before the last beside the next update: a fault planted for a test."""

    def __init__(self) -> None:
        self.previous_entries: dict[int, Any] = {}

    def __call__(self, update: ServerListUpdate) -> ServerListUpdate:
        if update.whole:
            self.previous_entries = {
                entry.server: (entry, where) for entry, where in zip(update.entries, update.addresses)
            }
            return update
        here = {entry.server for entry in update.entries}
        back = [
            self.previous_entries[server] for server in sorted(self.previous_entries) if server not in here
        ][:MAX_CONCURRENT_STARTS]
        return update._replace(
            entries=[*update.entries, *(entry for entry, _ in back)],
            addresses=[*update.addresses, *(where for _, where in back)],
        )


def main() -> None:
    folder, first, count = Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])
    processes.raise_descriptor_limit()
    plan = Plan(RunOptions.from_dict(orjson.loads((folder / "ask.json").read_bytes())))
    SidecarHost(plan, folder, plan.played_sidecars()[first : first + count], sys.argv[4].split(",")).run()


if __name__ == "__main__":
    main()
