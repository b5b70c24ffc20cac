"""A process that runs many hollow sidecars in one selector loop and checks their views periodically.

    python -m pumicepath.lab.hollow.host FOLDER FIRST COUNT ADDRESSES

FIRST and COUNT select from the sidecars that the run plays.  ADDRESSES are those of the relays, separated by
commas, region by region; in a direct run that of the origin.  The process reads the run's `ask.json` in
FOLDER and takes orders on stdin.
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
MAX_CONCURRENT_STARTS = (
    32  # pending first lists; if all were requested at once, the start would overload the origin
)
GC_THRESHOLD = 10_000  # as `serve` sets it


class SidecarHost:
    """The loop of all hollow sidecars of this process, with their timers and the checker of their views."""

    def __init__(self, plan: Plan, folder: Path, numbers: Sequence[int], addresses: list[str]) -> None:
        self.plan, self.folder = plan, folder
        self.selector = selectors.DefaultSelector()
        self.base_mb = processes.resident_mb()
        self.timers: list[tuple[int, int, HollowSidecar]] = []
        self.timer_count = 0
        self.sidecars = [
            HollowSidecar(plan, number, self.upstream_addresses(addresses, number), self)
            for number in numbers
        ]
        origin_count = 1 if plan.options.form == "direct" else plan.options.regions
        self.view_checker = ViewChecker(
            plan, self.sidecars, ground_truth.ledgers_reader(folder, origin_count)
        )
        self.not_started = list(reversed(self.sidecars))
        self.starting: set[int] = set()
        self.all_started = False
        self.checker_cpu_s = 0.0  # of the view checker
        self.failed_calls_before = 0
        self.max_tick_delay_us = 0
        self.usage_before: tuple[float, float, float, list[int]] = (0.0, 0.0, 0.0, [])
        self.inject_bugs()

    def upstream_addresses(self, addresses: list[str], number: int) -> list[str]:
        """The relays of a sidecar's region, or the origin in a direct run."""
        if self.plan.options.form == "direct":
            return addresses
        relays_per_region = self.plan.options.relays_per_region
        first = self.plan.region_of(number) * relays_per_region
        return addresses[first : first + relays_per_region]

    # -- the interface for sidecars: see `sidecar.Loop`

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
        """Run `call` and account its CPU time to the checker instead of the sidecars."""
        cpu_before = time.thread_time()
        call()
        self.checker_cpu_s += time.thread_time() - cpu_before

    # -- bugs injected into the rig itself, which tests use to verify that the checker finds them

    def inject_bugs(self) -> None:
        if "ignores-drain" in self.plan.options.planted:
            self.sidecars[0].injected_bug = ignore_drain
        if "goes-back" in self.plan.options.planted:
            self.sidecars[0].injected_bug = RevertState()

    # -- the run

    def handle_order(self, order: dict[str, Any]) -> None:
        """Execute an order of the run, one JSON line on stdin."""
        do = order["do"]
        if do == "measure":
            self.max_tick_delay_us = 0
            self.failed_calls_before = sum(sidecar.failed_calls for sidecar in self.sidecars)
            bytes_before = [sidecar.bytes for sidecar in self.sidecars]
            self.usage_before = (processes.cpu_seconds(), self.checker_cpu_s, time.monotonic(), bytes_before)
        elif do == "measured":
            cpu_before, checker_cpu_before, measured_since, bytes_before = self.usage_before
            processes.send_event(
                {
                    "event": "measured",
                    "cpu_s": processes.cpu_seconds() - cpu_before,
                    "judged_s": self.checker_cpu_s - checker_cpu_before,
                    "seconds": time.monotonic() - measured_since,
                    "mb": processes.resident_mb(),
                    "base_mb": self.base_mb,
                    "bytes": [
                        sidecar.bytes - previous for sidecar, previous in zip(self.sidecars, bytes_before)
                    ],
                    "lag_us": self.max_tick_delay_us,
                    "failed": sum(sidecar.failed_calls for sidecar in self.sidecars)
                    - self.failed_calls_before,
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
        """Connect further sidecars; report "ready" once all have their first list."""
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
                    "held": sum(len(each.server_list.lines) for each in self.sidecars),
                }
            )

    def run(self) -> None:
        """Run the loop; the process exits when its stdin ends."""
        orders = processes.OrderReader()
        self.selector.register(0, selectors.EVENT_READ, orders)
        next_tick = ground_truth.now_us()
        while True:
            now = ground_truth.now_us()
            if not self.all_started:
                self.start_sidecars(now)
            wake_at = min(next_tick, self.timers[0][0]) if self.timers else next_tick
            for key, _ in self.selector.select(max(0.0, (wake_at - now) / 1e6)):
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
            if now >= next_tick:
                self.max_tick_delay_us = max(self.max_tick_delay_us, now - next_tick)
                if self.all_started:
                    self.run_checker(lambda: self.view_checker.tick(ground_truth.now_us()))
                next_tick = max(next_tick + TICK_US, ground_truth.now_us())


def ignore_drain(update: ServerListUpdate) -> ServerListUpdate:
    """Drop the entries of draining servers from an update: an injected bug that the checker must find."""
    kept_indexes = [
        index for index, entry in enumerate(update.entries) if entry.state != ServerState.DRAINING
    ]
    return update._replace(
        entries=[update.entries[index] for index in kept_indexes],
        addresses=[update.addresses[index] for index in kept_indexes],
    )


class RevertState:
    """Add servers' states of the last full list to later updates: a bug that the checker must find."""

    def __init__(self) -> None:
        self.previous_entries: dict[int, Any] = {}

    def __call__(self, update: ServerListUpdate) -> ServerListUpdate:
        if update.whole:
            self.previous_entries = {
                entry.server: (entry, address) for entry, address in zip(update.entries, update.addresses)
            }
            return update
        updated = {entry.server for entry in update.entries}
        reverted = [
            self.previous_entries[server] for server in sorted(self.previous_entries) if server not in updated
        ][:MAX_CONCURRENT_STARTS]
        return update._replace(
            entries=[*update.entries, *(entry for entry, _ in reverted)],
            addresses=[*update.addresses, *(address for _, address in reverted)],
        )


def main() -> None:
    """Run the hollow sidecars given on the command line."""
    folder, first, count = Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])
    processes.raise_descriptor_limit()
    plan = Plan(RunOptions.from_dict(orjson.loads((folder / "ask.json").read_bytes())))
    SidecarHost(plan, folder, plan.played_sidecars()[first : first + count], sys.argv[4].split(",")).run()


if __name__ == "__main__":
    main()
