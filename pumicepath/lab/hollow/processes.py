"""The processes of a run: JSON lines on stdin and stdout, resource usage, and termination with the parent.

    child = ChildProcess(["-m", "pumicepath.lab.hollow.origin", folder, "0"], folder, "origin")
    child.wait_for("started")

A child ends with its parent: its stdin ends, and the kernel sends it SIGKILL (prctl, PR_SET_PDEATHSIG).
"""

from __future__ import annotations

import ctypes
import os
import queue
import resource
import signal
import subprocess
import sys
import threading
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
ROOT = Path(__file__).resolve().parents[3]
PR_SET_PDEATHSIG = 1  # linux/prctl.h


class InvalidRunError(Exception):
    """The run has no valid result: a process of the rig did not start, or ended unexpectedly."""


def send_event(line: dict[str, Any]) -> None:
    """Write an event as a JSON line to stdout, for the parent process."""
    sys.stdout.buffer.write(orjson.dumps(line) + b"\n")
    sys.stdout.buffer.flush()


class OrderReader:
    """Reads orders, JSON lines, from stdin; ends the process when stdin ends."""

    def __init__(self) -> None:
        self.partial_line = b""

    def read(self) -> list[dict[str, Any]]:
        """Return the orders that have arrived in full."""
        data = os.read(0, 65536)
        if not data:
            os._exit(0)
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        return [orjson.loads(line) for line in lines]


def raise_descriptor_limit() -> None:
    """Raise the soft limit of open descriptors to the hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def cpu_seconds(pid: int | str = "self") -> float:
    """CPU seconds used by a process."""
    if pid == "self":
        return time.process_time()
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int | str = "self") -> float:
    """Resident memory of a process in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def die_with_parent() -> None:
    """Have the kernel kill this process when its parent ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ChildProcess:
    """A process of the run; a thread reads its stdout, so that it never blocks on a full pipe."""

    def __init__(self, arguments: list[str], folder: Path, name: str) -> None:
        self.arguments, self.folder, self.name = arguments, folder, name
        self.start()

    def start(self) -> None:
        """Start the process, or start it again with the same arguments."""
        self.events: queue.SimpleQueue[dict[str, Any]] = queue.SimpleQueue()
        with (self.folder / f"{self.name}.err").open("ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-O", *self.arguments],
                cwd=ROOT,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
                preexec_fn=die_with_parent,
            )
        threading.Thread(target=self.read_events, args=(self.process, self.events), daemon=True).start()

    def read_events(
        self, process: subprocess.Popen[bytes], events: queue.SimpleQueue[dict[str, Any]]
    ) -> None:
        """Queue the process's events; ignores lines that are not JSON."""
        assert process.stdout is not None
        for line in process.stdout:
            with suppress(ValueError):
                events.put(orjson.loads(line))
        events.put({"event": "ended"})

    def send(self, order: dict[str, Any]) -> None:
        """Send an order."""
        assert self.process.stdin is not None
        with suppress(OSError):  # if it has ended, `wait_for` reports that
            self.process.stdin.write(orjson.dumps(order) + b"\n")
            self.process.stdin.flush()

    def wait_for(self, name: str, within: float = 120.0) -> dict[str, Any]:
        """Return the next event called `name`, and skip others.

        Raises InvalidRunError if the process ends, or if there is no such event within `within` seconds.
        """
        deadline = time.monotonic() + within
        while True:
            try:
                line = self.events.get(timeout=max(0.01, deadline - time.monotonic()))
            except queue.Empty:
                raise InvalidRunError(f"{self.name}: no {name!r} within {within:g} s") from None
            if line.get("event") == "ended":
                raise InvalidRunError(f"{self.name} has ended: {self.last_error_line()}")
            if line.get("event") == name:
                return line

    def request(self, order: dict[str, Any], name: str, within: float = 120.0) -> dict[str, Any]:
        """Send an order and wait for the event `name`.  Raises InvalidRunError."""
        self.send(order)
        return self.wait_for(name, within)

    def last_error_line(self) -> str:
        """The last line of the process's stderr."""
        lines = (self.folder / f"{self.name}.err").read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "no error output"

    def kill(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def send_signal(self, number: int) -> None:
        self.process.send_signal(number)
