"""What the processes of a run share: lines of JSON on stdin and stdout, what they use, and how they end.

    child = Child(["-m", "pumicepath.lab.hollow.origin", folder, "0"]); child.event("started")

A child ends with its starter: its stdin ends, and the kernel sends it SIGKILL (prctl, PR_SET_PDEATHSIG).
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
PR_SET_PDEATHSIG = 1  # PR_SET_PDEATHSIG (linux/prctl.h)


class InvalidRunError(Exception):
    """The run tells nothing: a process of the rig did not start, or ended by itself."""


def send_event(line: dict[str, Any]) -> None:
    sys.stdout.buffer.write(orjson.dumps(line) + b"\n")
    sys.stdout.buffer.flush()


class OrderReader:
    """Lines on stdin, read as they come; the process ends when that does."""

    def __init__(self) -> None:
        self.partial_line = b""

    def read(self) -> list[dict[str, Any]]:
        data = os.read(0, 65536)
        if not data:
            os._exit(0)
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        return [orjson.loads(line) for line in lines]


def raise_descriptor_limit() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def cpu_seconds(pid: int | str = "self") -> float:
    """Seconds of CPU that a process has used."""
    if pid == "self":
        return time.process_time()
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int | str = "self") -> float:
    """MB resident."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


def die_with_parent() -> None:
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ChildProcess:
    """A process of the run; what it says on stdout is read by a thread, so that it never has to wait."""

    def __init__(self, arguments: list[str], folder: Path, name: str) -> None:
        self.arguments, self.folder, self.name = arguments, folder, name
        self.start()

    def start(self) -> None:
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

    def read_events(self, process: subprocess.Popen[bytes], said: queue.SimpleQueue[dict[str, Any]]) -> None:
        assert process.stdout is not None
        for line in process.stdout:
            with suppress(ValueError):
                said.put(orjson.loads(line))
        said.put({"event": "ended"})

    def send(self, order: dict[str, Any]) -> None:
        assert self.process.stdin is not None
        with suppress(OSError):  # it has ended, which whoever waits for its answer is told
            self.process.stdin.write(orjson.dumps(order) + b"\n")
            self.process.stdin.flush()

    def wait_for(self, name: str, within: float = 120.0) -> dict[str, Any]:
        """The next such line; raises Void if it ends, or says nothing for so many seconds."""
        until = time.monotonic() + within
        while True:
            try:
                line = self.events.get(timeout=max(0.01, until - time.monotonic()))
            except queue.Empty:
                raise InvalidRunError(f"{self.name}: no {name!r} within {within:g} s") from None
            if line.get("event") == "ended":
                raise InvalidRunError(f"{self.name} has ended: {self.last_error_line()}")
            if line.get("event") == name:
                return line

    def request(self, order: dict[str, Any], name: str, within: float = 120.0) -> dict[str, Any]:
        self.send(order)
        return self.wait_for(name, within)

    def last_error_line(self) -> str:
        lines = (self.folder / f"{self.name}.err").read_text(errors="replace").strip().splitlines()
        return lines[-1] if lines else "it said nothing"

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def send_signal(self, number: int) -> None:
        self.process.send_signal(number)
