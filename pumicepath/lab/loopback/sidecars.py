"""Real sidecars as processes of a loopback world, and the faults of these processes."""

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
from ...interface import ServerEntry
from ..fault_kinds import KINDS
from ..model.registry import REPLACEMENT_OFFSET
from ..model.world import SidecarInstance
from ..spec import sidecar_settings
from ..verification.clocks import PAGE_PATH_VARIABLE, ControlPage
from ..verification.disks import StateFolder
from .client_connections import ClientConnections
from .discovery import DiscoveryServer
from .host import LoopbackHost

ROOT = Path(__file__).resolve().parents[3]
READY_TIMEOUT_S = 30.0
BREAKER_OPENED = re.compile(r"server (\S+) open for")
BUSY_LOOP = "import os\nos.sched_setaffinity(0, {{{}}})\nwhile os.getppid() > 1: pass"
BREAKER_CLOSED = re.compile(r"server (\S+) closed after")


def parse_address(address: str) -> tuple[str, int]:
    """Returns host and port; port 0 for an address without one."""
    host, _, port = address.rpartition(":")
    return host, int(port or 0)


class LoopbackSidecar(ClientConnections, SidecarInstance):
    """A `pumicepath serve` process, restarted at the same address, and the connections of its clients."""

    def __init__(self, world: LoopbackHost, number: int, zone: int, folder: Path) -> None:
        super().__init__(world)
        self.world = world
        self.number = number
        self.zone = zone
        self.folder = folder
        self.listen = "127.0.0.1:0"
        self.process: asyncio.subprocess.Process | None = None
        self.discovery = DiscoveryServer(world, number)
        self.ready = asyncio.Event()
        self.first_list: list[ServerEntry] = []  # in the file of its first process
        self.open_breakers: set[str] = set()  # ids of servers, as read from its log
        self.name = f"sidecar-{number}"
        self.stopped = False
        self.stopped_processes: list[asyncio.subprocess.Process | None] = []  # by SIGSTOP
        self.admin_address = ("", 0)
        self.peer_socket = ("", 0)  # the UDP socket that its process listens on
        self.state_folder = StateFolder(folder / f"state-{number}", folder / f"copy-{number}")
        has_page = any(
            KINDS[fault.kind].needs_call_hooks for fault in world.plan.troubles if fault.kind in KINDS
        )
        self.control_page = ControlPage(folder / f"clock-{number}") if has_page else None
        self.busy_process: asyncio.subprocess.Process | None = None

    # -- process

    def start(self, state: str = "old") -> None:
        if state == "none":
            self.state_folder.delete_all()
        elif state == "other":
            other = (self.number + 1) % self.world.plan.sidecars.count
            self.state_folder.replace_with(self.folder / f"state-{other}")
        self.world.start_task(self.restart_process())

    def replace(self) -> None:
        self.world.start_task(self.replace_process())

    async def replace_process(self) -> None:
        """Starts a second process for a hot restart, and ends the old one once the new one serves."""
        old, old_discovery = self.process, self.discovery
        if old is None or old.returncode is not None:
            return
        self.discovery = DiscoveryServer(self.world, self.number + REPLACEMENT_OFFSET)
        self.ready.clear()
        await self.start_process()
        try:
            await asyncio.wait_for(self.ready.wait(), READY_TIMEOUT_S)
            while not await self.serves_clients():
                await asyncio.sleep(0.01)
        except TimeoutError:
            self.world.note(f"sidecar {self.number}: the new process did not start in time")
            return
        self.world.history.write("rig", "asked_to_end", sidecar=self.number)
        with suppress(ProcessLookupError):
            old.send_signal(signal.SIGTERM)
        await old.wait()
        if not self.world.is_closed:
            self.world.registry.finish_replacement(self.number)
            self.discovery.number = self.number
            old_discovery.close()

    async def restart_process(self) -> None:
        """Starts the process, and kills the previous one first if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.kill()  # it was asked to end and is still running
            await self.process.wait()
        await self.start_process()

    async def start_process(self) -> None:
        """Writes the configuration and starts a process with it."""
        self.start_count += 1
        self.ending = False
        world = self.world
        if not self.discovery.address:
            await self.discovery.open()
        plan = world.plan
        config = self.configuration()
        path = self.folder / f"sidecar-{self.number}.json"
        environment = {**os.environ, "GW_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        command = ["-m", "pumicepath", "serve"]
        if plan.sidecars.peers:
            config["peers"] = {
                "listen": "127.0.0.1:0",
                "advertise": world.peer_address(self.number),
                "seeds": world.seed_addresses(self.number),
                "everyS": plan.sidecars.peers_every_s,
                **(
                    {"voters": world.voter_addresses(), "leaseS": plan.sidecars.lease_s, "trials": True}
                    if plan.sidecars.trials
                    else {}
                ),
            }
            config["admin_addr"] = "127.0.0.1:0"
            environment["TMPDIR"] = str(self.state_folder.folder)
        if self.control_page is not None:
            command = ["-m", "pumicepath.lab.verification.starter"]
            environment[PAGE_PATH_VARIABLE] = str(self.folder / f"clock-{self.number}")
        path.write_bytes(orjson.dumps(config))
        world.registry.register(self.discovery.number, self.discovery)
        world.history.write("rig", "started", sidecar=self.number, starts=self.start_count)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-O",
            *command,
            stdout=asyncio.subprocess.PIPE,
            stdin=asyncio.subprocess.DEVNULL,
            env=environment,
        )
        world.processes.append(self.process)
        world.start_task(self.read_log(self.process))

    def configuration(self) -> dict[str, Any]:
        """Returns the configuration without peers; its discovery server must be open."""
        world = self.world
        self.discovery.version += 1
        return {
            "name": f"sidecar-{self.number}",
            "listen": self.listen,
            "discovery": self.discovery.address,
            "seed": f"{world.seed * 1_000_003 + self.number * 97 + self.start_count:x}",
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 1024},
            "known": self.known_list(),
            "settings": sidecar_settings(world.plan, self.number, self.zone),
        }

    def known_list(self) -> dict[str, Any]:
        """Returns the list in the file: the one in force, or that of the first start if the plan says so."""
        if not self.first_list or not self.world.plan.list.old_file:
            self.first_list = self.world.registry.full_list()
        return self.discovery.list_document(True, self.first_list)

    async def read_log(self, process: asyncio.subprocess.Process) -> None:
        """Follows the log of a process until it ends; the sidecar is up once the log has its address."""
        assert process.stdout is not None
        async for line in process.stdout:
            event = orjson.loads(line)
            self.world.history.write(self.name, "log", **event)
            if event["event"] == "started":
                self.admin_address = parse_address(event["operators"])
                self.peer_socket = parse_address(event.get("peers", ""))
                self.listen = event["listen"]
                self.address = parse_address(self.listen)
                self.world.set_peer_socket(self.number, self.peer_socket)
                self.up = True
                self.open_breakers.clear()
                self.ready.set()
            elif event["event"] == "mode":
                text = event["text"]
                if match := BREAKER_OPENED.search(text):
                    self.open_breakers.add(match[1])
                elif match := BREAKER_CLOSED.search(text):
                    self.open_breakers.discard(match[1])
                self.world.note(f"sidecar {self.number}: {text}")
            elif event["event"] in ("fault", "broken"):
                self.world.note(f"sidecar {self.number}: {line.decode().strip()}")
        exit_code = await process.wait()
        self.world.history.write("rig", "ended", sidecar=self.number, code=exit_code)
        if self.process is process and not self.world.is_closed:
            self.world.note(f"sidecar {self.number} ended with exit code {exit_code}")
            self.up = False
            self.world.registry.unregister(self.number)

    def kill(self) -> None:
        self.up = self.stopped = False
        self.world.registry.unregister(self.number)
        self.world.history.write("rig", "killed", sidecar=self.number)
        self.send_signal(signal.SIGKILL)
        while self.stopped_processes:
            self.signal_process(self.stopped_processes.pop(), signal.SIGKILL)

    def send_signal(self, number: signal.Signals) -> None:
        self.signal_process(self.process, number)

    def signal_process(self, process: asyncio.subprocess.Process | None, number: signal.Signals) -> None:
        if process is not None and process.returncode is None:
            with suppress(ProcessLookupError):
                process.send_signal(number)

    def stop(self) -> None:
        self.stopped = True
        self.world.rule_checker.set_sidecar_stopped(self.number, True)
        self.stopped_processes.append(self.process)
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continues every process that was stopped, even one that has been replaced since."""
        if self.stopped:
            self.stopped = False
            while self.stopped_processes:
                self.signal_process(self.stopped_processes.pop(), signal.SIGCONT)
            self.world.rule_checker.set_sidecar_stopped(self.number, False)

    def terminate(self) -> None:
        self.ending = True
        self.world.history.write("rig", "asked_to_end", sidecar=self.number)
        self.send_signal(signal.SIGTERM)

    def set_core_contention(self, on: bool) -> None:
        self.world.start_task(self.set_core_busy(on))

    async def set_core_busy(self, on: bool) -> None:
        """Pins the sidecar and a busy loop to one core, or ends the busy loop and the pinning."""
        assert self.process is not None
        cores = sorted(os.sched_getaffinity(0))
        with suppress(ProcessLookupError, FileNotFoundError):
            for thread in os.listdir(f"/proc/{self.process.pid}/task"):
                os.sched_setaffinity(int(thread), {cores[self.number % len(cores)]} if on else cores)
        if self.busy_process is not None and self.busy_process.returncode is None:
            self.busy_process.kill()
        if on:
            self.busy_process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                BUSY_LOOP.format(cores[self.number % len(cores)]),
                stdin=asyncio.subprocess.DEVNULL,
            )
            self.world.processes.append(self.busy_process)

    def adjust_clock(self, rate: float | None, step: int) -> None:
        assert self.control_page is not None
        self.control_page.set_clock(rate, step * 1000)

    def impair_disk(self, read_only: bool, slow_ms: float) -> None:
        assert self.control_page is not None
        self.control_page.set_disk(read_only, slow_ms)

    def damage_disk(self, what: str, chance: Random) -> int:
        disk = self.state_folder
        if what in ("full", "free"):
            if self.process is not None and self.process.returncode is None:
                disk.set_full(self.process.pid, what == "full")
            return len(disk.files())
        if what == "torn":
            return disk.corrupt(chance)
        return {"lost": disk.delete_all, "kept": disk.save_copy, "old": disk.restore_copy}[what]()

    async def query_admin(self, path: str, timeout_s: float = 1.0) -> dict[str, Any] | None:
        """Returns a JSON document of the sidecar's admin server, None if there is none within `timeout_s`."""
        data = await self.call_admin("GET", path, timeout_s)
        try:
            document: dict[str, Any] = orjson.loads(data.partition(b"\r\n\r\n")[2])
            return document
        except ValueError:
            return None

    async def serves_clients(self) -> bool:
        """Returns whether the process says that it accepts clients, in a hot restart after the takeover."""
        return (await self.call_admin("GET", "/healthcheck", 1.0)).startswith(b"HTTP/1.1 200")

    async def resign_duty(self, duty: str, timeout_s: float = 5.0) -> bool:
        """Makes the sidecar resign a duty; returns whether it held the duty."""
        data = await self.call_admin("PUT", f"/peers/duties/{quote(duty, safe='')}/resign", timeout_s)
        return data.startswith(b"HTTP/1.1 200")

    async def call_admin(self, method: str, path: str, timeout_s: float) -> bytes:
        """Returns the response of the admin server in bytes, none if it can't be reached in time."""

        async def exchange() -> bytes:
            reader, writer = await asyncio.open_connection(*self.admin_address)
            try:
                writer.write(writing.request(method, path, [("Host", "operators")]))
                return await reader.read()
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(exchange(), timeout_s)
        except (TimeoutError, OSError):
            return b""
