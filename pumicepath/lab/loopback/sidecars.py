"""Real sidecars as processes of a loopback world, and the connections of their clients."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any
from urllib.parse import quote

import orjson

from ...http1 import writing
from ..fault_kinds import KINDS
from ..faults.clocks import VARIABLE, Page
from ..faults.disks import Disk
from ..model.registry import REPLACEMENT_OFFSET
from ..model.world import SidecarInstance
from ..spec import sidecar_settings
from .discovery import Desk
from .ground import Ground
from .wires import Wires

ROOT = Path(__file__).resolve().parents[3]
READY_S = 30.0
OPENED = re.compile(r"server (\S+) open for")
BUSY = "import os\nos.sched_setaffinity(0, {{{}}})\nwhile os.getppid() > 1: pass"
CLOSED = re.compile(r"server (\S+) closed after")


def place(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port or 0)


class LiveSidecar(Wires, SidecarInstance):
    """`pumicepath serve` beside its clients; killed and started again at the same address."""

    def __init__(self, world: Ground, number: int, hall: int, folder: Path) -> None:
        super().__init__(world)
        self.world = world
        self.number = number
        self.zone = hall
        self.folder = folder
        self.listen = "127.0.0.1:0"
        self.process: asyncio.subprocess.Process | None = None
        self.desk = Desk(world, number)
        self.ready = asyncio.Event()
        self.refused: set[str] = set()  # servers whose breakers are open here, by its own log
        self.name = f"sidecar-{number}"
        self.stopped = False
        self.halted: list[asyncio.subprocess.Process | None] = []  # its processes that are stopped
        self.operators = ("", 0)
        self.speaks_at = ("", 0)  # its own socket for peers
        self.state = Disk(folder / f"state-{number}", folder / f"copy-{number}")
        bent = any(KINDS[one.kind].needs_call_hooks for one in world.plan.troubles if one.kind in KINDS)
        self.page = Page(folder / f"clock-{number}") if bent else None
        self.crowd_process: asyncio.subprocess.Process | None = None

    # -- its process

    def start(self, state: str = "old") -> None:
        if state == "none":
            self.state.lose()
        elif state == "other":
            other = (self.number + 1) % self.world.plan.sidecars.count
            self.state.take_from(self.folder / f"state-{other}")
        self.world.keep(self.launch())

    def replace(self) -> None:
        self.world.keep(self.replacing())

    async def replacing(self) -> None:
        """Start a process beside the one that serves, and ask that to end once the new one serves."""
        old, old_desk = self.process, self.desk
        if old is None or old.returncode is not None:
            return
        self.desk = Desk(self.world, self.number + REPLACEMENT_OFFSET)
        self.ready.clear()
        await self.begin()
        try:
            await asyncio.wait_for(self.ready.wait(), READY_S)
            while await self.asked("/peers") is None:
                await asyncio.sleep(0.01)  # its operators' address says yes once it has taken over
        except TimeoutError:
            self.world.note(f"sidecar {self.number}: the new process did not come up")
            return
        self.world.history.write("rig", "asked_to_end", sidecar=self.number)
        with suppress(ProcessLookupError):
            old.send_signal(signal.SIGTERM)
        await old.wait()
        if not self.world.over:
            self.world.registry.finish_replacement(self.number)
            self.desk.number = self.number
            old_desk.close()

    async def launch(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.kill()  # it was asked to end, and has not yet
            await self.process.wait()
        await self.begin()

    async def begin(self) -> None:
        self.starts += 1
        self.ending = False
        world = self.world
        if not self.desk.address:
            await self.desk.open()
        plan = world.plan
        config = self.configuration()
        path = self.folder / f"sidecar-{self.number}.json"
        environment = {**os.environ, "GW_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        command = ["-m", "pumicepath", "serve"]
        if plan.sidecars.peers:
            config["peers"] = {
                "listen": "127.0.0.1:0",
                "advertise": world.front(self.number),
                "seeds": world.peers_of(self.number),
                "everyS": plan.sidecars.peers_every_s,
                **(
                    {"voters": world.voters(), "leaseS": plan.sidecars.lease_s, "trials": True}
                    if plan.sidecars.trials
                    else {}
                ),
            }
            config["admin_addr"] = "127.0.0.1:0"
            environment["TMPDIR"] = str(self.state.folder)
        if self.page is not None:
            command = ["-m", "pumicepath.lab.faults.starter"]
            environment[VARIABLE] = str(self.folder / f"clock-{self.number}")
        path.write_bytes(orjson.dumps(config))
        world.registry.register(self.desk.number, self.desk)
        world.history.write("rig", "started", sidecar=self.number, starts=self.starts)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            *command,
            stdout=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL,
            env=environment,
        )
        world.processes.append(self.process)
        world.keep(self.read(self.process))

    def configuration(self) -> dict[str, Any]:
        """What its file says, but for peers; its list must be open."""
        world = self.world
        self.desk.version += 1
        return {
            "name": f"sidecar-{self.number}",
            "listen": self.listen,
            "discovery": self.desk.address,
            "seed": f"{world.seed * 1_000_003 + self.number * 97 + self.starts:x}",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024},
            "known": self.desk.listing(True, world.registry.full_list()),
            "settings": sidecar_settings(world.plan, self.number, self.zone),
        }

    async def read(self, process: asyncio.subprocess.Process) -> None:
        """Its log, line by line; it is up once it says where it listens."""
        assert process.stdout is not None
        async for line in process.stdout:
            event = orjson.loads(line)
            self.world.history.write(self.name, "log", **event)
            if event["event"] == "started":
                self.operators = place(event["operators"])
                self.speaks_at = place(event.get("peers", ""))
                self.listen = event["listen"]
                self.where = place(self.listen)
                self.world.speaks(self.number, self.speaks_at)
                self.up = True
                self.refused.clear()
                self.ready.set()
            elif event["event"] == "mode":
                text = event["text"]
                if found := OPENED.search(text):
                    self.refused.add(found[1])
                elif found := CLOSED.search(text):
                    self.refused.discard(found[1])
                self.world.note(f"sidecar {self.number}: {text}")
            elif event["event"] in ("fault", "broken"):
                self.world.note(f"sidecar {self.number}: {line.decode().strip()}")
        ended = await process.wait()
        self.world.history.write("rig", "ended", sidecar=self.number, code=ended)
        if self.process is process and not self.world.over:
            self.world.note(f"sidecar {self.number} ended with {ended}")
            self.up = False
            self.world.registry.unregister(self.number)

    def kill(self) -> None:
        self.up = self.stopped = False
        self.world.registry.unregister(self.number)
        self.world.history.write("rig", "killed", sidecar=self.number)
        self.tell(signal.SIGKILL)
        while self.halted:
            self.signal(self.halted.pop(), signal.SIGKILL)

    def tell(self, what: signal.Signals) -> None:
        self.signal(self.process, what)

    def signal(self, process: asyncio.subprocess.Process | None, what: signal.Signals) -> None:
        if process is not None and process.returncode is None:
            with suppress(ProcessLookupError):
                process.send_signal(what)

    def stop(self) -> None:
        self.stopped = True
        self.world.rule_checker.set_sidecar_stopped(self.number, True)
        self.halted.append(self.process)
        self.tell(signal.SIGSTOP)

    def resume(self) -> None:
        """Whichever process was stopped, though it may have been replaced since."""
        if self.stopped:
            self.stopped = False
            while self.halted:
                self.signal(self.halted.pop(), signal.SIGCONT)
            self.world.rule_checker.set_sidecar_stopped(self.number, False)

    def terminate(self) -> None:
        self.ending = True
        self.world.history.write("rig", "asked_to_end", sidecar=self.number)
        self.tell(signal.SIGTERM)

    def set_core_contention(self, on: bool) -> None:
        self.world.keep(self.crowding(on))

    async def crowding(self, on: bool) -> None:
        """Hold the sidecar and a process that never rests to one core; or let both go."""
        assert self.process is not None
        cores = sorted(os.sched_getaffinity(0))
        with suppress(ProcessLookupError, FileNotFoundError):
            for thread in os.listdir(f"/proc/{self.process.pid}/task"):
                os.sched_setaffinity(int(thread), {cores[self.number % len(cores)]} if on else cores)
        if self.crowd_process is not None and self.crowd_process.returncode is None:
            self.crowd_process.kill()
        if on:
            self.crowd_process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                BUSY.format(cores[self.number % len(cores)]),
                stdin=asyncio.subprocess.DEVNULL,
            )
            self.world.processes.append(self.crowd_process)

    def adjust_clock(self, rate: float | None, step: int) -> None:
        assert self.page is not None
        self.page.set(rate, step * 1000)

    def impair_disk(self, read_only: bool, slow_ms: float) -> None:
        assert self.page is not None
        self.page.disk(read_only, slow_ms)

    def damage_disk(self, what: str, chance: Random) -> int:
        disk = self.state
        if what in ("full", "free"):
            if self.process is not None and self.process.returncode is None:
                disk.fill(self.process.pid, what == "full")
            return len(disk.files())
        if what == "torn":
            return disk.tear(chance)
        return {"lost": disk.lose, "kept": disk.keep, "old": disk.put_back}[what]()

    async def asked(self, path: str, longest_s: float = 1.0) -> dict[str, Any] | None:
        """What the sidecar says of itself at its operators' address; None if it does not, in time."""
        data = await self.called("GET", path, longest_s)
        try:
            told: dict[str, Any] = orjson.loads(data.partition(b"\r\n\r\n")[2])
            return told
        except ValueError:
            return None

    async def resigned(self, duty: str, longest_s: float = 5.0) -> bool:
        """Take a duty away from it; whether it held it."""
        data = await self.called("PUT", f"/peers/duties/{quote(duty, safe='')}/resign", longest_s)
        return data.startswith(b"HTTP/1.1 200")

    async def called(self, method: str, path: str, longest_s: float) -> bytes:
        async def ask() -> bytes:
            reader, writer = await asyncio.open_connection(*self.operators)
            try:
                writer.write(writing.request(method, path, [("Host", "operators")]))
                return await reader.read()
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(ask(), longest_s)
        except (TimeoutError, OSError):
            return b""
