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
from . import processes, truth
from .plan import Ask, Plan
from .sidecar import Hollow
from .witness import Witness

TICK_US = 50_000
AT_ONCE = 32  # first lists that are out together: guards the start against all asking at once
FREE = 10_000  # collections of the garbage collector, as `serve` sets them


class Host:
    def __init__(self, plan: Plan, folder: Path, numbers: Sequence[int], places: list[str]) -> None:
        self.plan, self.folder = plan, folder
        self.selector = selectors.DefaultSelector()
        self.base_mb = processes.mb()
        self.alarms: list[tuple[int, int, Hollow]] = []
        self.set_alarms = 0
        self.sidecars = [Hollow(plan, number, self.near(places, number), self) for number in numbers]
        origins = 1 if plan.ask.form == "direct" else plan.ask.regions
        self.witness = Witness(plan, self.sidecars, truth.reader(folder, origins))
        self.waiting = list(reversed(self.sidecars))
        self.starting: set[int] = set()
        self.ready = False
        self.judged = 0.0  # CPU seconds of the witness's
        self.failed = 0
        self.lag = 0  # the longest that a tick came late, in microseconds
        self.began: tuple[float, float, float, list[int]] = (0.0, 0.0, 0.0, [])
        self.plant()

    def near(self, places: list[str], number: int) -> list[str]:
        """The relays of a sidecar's region, or the one discovery."""
        if self.plan.ask.form == "direct":
            return places
        each = self.plan.ask.relays_per_region
        first = self.plan.region_of(number) * each
        return places[first : first + each]

    # -- what a sidecar needs

    def expect(self, sidecar: Hollow, writable: bool) -> None:
        events = selectors.EVENT_WRITE if writable else selectors.EVENT_READ
        assert sidecar.sock is not None
        if sidecar.sock.fileno() in self.selector.get_map():
            self.selector.modify(sidecar.sock, events, sidecar)
        else:
            self.selector.register(sidecar.sock, events, sidecar)

    def expect_nothing(self, sidecar: Hollow) -> None:
        if sidecar.sock is not None and sidecar.sock.fileno() in self.selector.get_map():
            self.selector.unregister(sidecar.sock)

    def wake(self, at: int, sidecar: Hollow) -> None:
        self.set_alarms += 1
        heappush(self.alarms, (at, self.set_alarms, sidecar))

    def updated(self, sidecar: Hollow, whole: bool) -> None:
        if not self.ready:
            self.starting.discard(sidecar.number)
            return
        self.judge(lambda: self.witness.updated(sidecar, whole))

    def judge(self, call: Callable[[], None]) -> None:
        began = time.thread_time()
        call()
        self.judged += time.thread_time() - began

    # -- faults in the rig itself, by which its judge is tested

    def plant(self) -> None:
        if "ignores-drain" in self.plan.ask.planted:
            self.sidecars[0].plant = ignores_drain
        if "goes-back" in self.plan.ask.planted:
            self.sidecars[0].plant = GoesBack()

    # -- the run

    def told(self, order: dict[str, Any]) -> None:
        do = order["do"]
        if do == "measure":
            self.lag = 0
            self.failed = sum(one.failed_calls for one in self.sidecars)
            before = [one.bytes for one in self.sidecars]
            self.began = (processes.cpu(), self.judged, time.monotonic(), before)
        elif do == "measured":
            cpu, judged, at, before = self.began
            processes.say(
                {
                    "event": "measured",
                    "cpu_s": processes.cpu() - cpu,
                    "judged_s": self.judged - judged,
                    "seconds": time.monotonic() - at,
                    "mb": processes.mb(),
                    "base_mb": self.base_mb,
                    "bytes": [one.bytes - then for one, then in zip(self.sidecars, before)],
                    "lag_us": self.lag,
                    "failed": sum(one.failed_calls for one in self.sidecars) - self.failed,
                }
            )
        elif do == "waiting":
            self.witness.tick(truth.now())
            processes.say({"event": "waiting", "pairs": self.witness.waiting()})
        elif do == "judge":
            self.witness.tick(truth.now())
            self.witness.compare()
            path = self.folder / f"found-{self.sidecars[0].number}.json"
            path.write_bytes(orjson.dumps(self.witness.found()))
            processes.say({"event": "judged", "path": str(path)})

    def begin_some(self, now: int) -> None:
        while self.waiting and len(self.starting) < AT_ONCE:
            sidecar = self.waiting.pop()
            self.starting.add(sidecar.number)
            sidecar.begin(now)
        if not self.waiting and not self.starting:
            self.ready = True
            gc.collect()
            gc.freeze()
            gc.set_threshold(FREE)
            processes.say(
                {
                    "event": "ready",
                    "mb": processes.mb(),
                    "base_mb": self.base_mb,
                    "form": compiled.FORM,
                    "held": sum(len(one.roster.lines) for one in self.sidecars),
                }
            )

    def run(self) -> None:
        orders = processes.Orders()
        self.selector.register(0, selectors.EVENT_READ, orders)
        tick = truth.now()
        while True:
            now = truth.now()
            if not self.ready:
                self.begin_some(now)
            until = min(tick, self.alarms[0][0]) if self.alarms else tick
            for key, _ in self.selector.select(max(0.0, (until - now) / 1e6)):
                if isinstance(key.data, Hollow):
                    key.data.ready(truth.now())
                else:
                    for order in orders.read():
                        self.told(order)
            now = truth.now()
            while self.alarms and self.alarms[0][0] <= now:
                at, _, sidecar = heappop(self.alarms)
                if sidecar.due == at:
                    sidecar.woke(now)
            if now >= tick:
                self.lag = max(self.lag, now - tick)
                if self.ready:
                    self.judge(lambda: self.witness.tick(truth.now()))
                tick = max(tick + TICK_US, truth.now())


def ignores_drain(update: ServerListUpdate) -> ServerListUpdate:
    """What drains stays as it was: a fault planted for a test."""
    kept = [at for at, entry in enumerate(update.entries) if entry.state != ServerState.DRAINING]
    return update._replace(
        entries=[update.entries[at] for at in kept], addresses=[update.addresses[at] for at in kept]
    )


class GoesBack:
    """Gives a server's state before the last beside the next update: a fault planted for a test."""

    def __init__(self) -> None:
        self.before: dict[int, Any] = {}

    def __call__(self, update: ServerListUpdate) -> ServerListUpdate:
        if update.whole:
            self.before = {
                entry.server: (entry, where) for entry, where in zip(update.entries, update.addresses)
            }
            return update
        here = {entry.server for entry in update.entries}
        back = [self.before[server] for server in sorted(self.before) if server not in here][:AT_ONCE]
        return update._replace(
            entries=[*update.entries, *(entry for entry, _ in back)],
            addresses=[*update.addresses, *(where for _, where in back)],
        )


def main() -> None:
    folder, first, count = Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])
    processes.most_descriptors()
    plan = Plan(Ask.from_told(orjson.loads((folder / "ask.json").read_bytes())))
    Host(plan, folder, plan.played()[first : first + count], sys.argv[4].split(",")).run()


if __name__ == "__main__":
    main()
