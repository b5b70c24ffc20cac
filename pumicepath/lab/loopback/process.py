"""A real sidecar as a process of its own, held to a core, and what it uses."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class SidecarProcess:
    """`pumicepath serve` from the tree at `root`, on the cores given; its log goes to `log`."""

    def __init__(self, configuration: dict[str, Any], folder: Path, root: Path, cores: set[int]) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / "config.json"
        path.write_text(json.dumps(configuration))
        self.log_path = folder / "log"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-O", "-m", "pumicepath", "serve"],
                cwd=root,
                stdout=log,
                env={**os.environ, "GW_CONFIG": str(path)},
                preexec_fn=lambda: os.sched_setaffinity(0, cores),
            )

    def address(self) -> tuple[str, int] | None:
        """Where it listens, once it does; raises RuntimeError if it has ended instead."""
        for event in self.events("started"):
            host, _, port = event["listen"].rpartition(":")
            return host, int(port)
        if self.process.poll() is not None:
            raise RuntimeError(f"the sidecar ended with {self.process.returncode}")
        return None

    def events(self, name: str) -> list[dict[str, Any]]:
        lines = self.log_path.read_bytes().split(b"\n")[:-1]
        return [event for event in map(json.loads, lines) if event["event"] == name]

    def cpu_seconds(self) -> tuple[float, float]:
        """Seconds of CPU used so far, of its own and in the system."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return int(fields[11]) / CLOCK_TICKS_PER_S, int(fields[12]) / CLOCK_TICKS_PER_S

    def memory_mb(self) -> float:
        return int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6

    def descriptor_count(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def thread_count(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/task"))

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()
