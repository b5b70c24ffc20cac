"""A real sidecar as a process pinned to given cores, and its use of CPU, memory and descriptors."""

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
    """`pumicepath serve` from the source tree at `root`, on the given cores; its log goes to `log_path`."""

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
        """Returns the address that it listens on, None before it does.  Raises RuntimeError if it has
        ended.
        """
        for event in self.events("started"):
            host, _, port = event["listen"].rpartition(":")
            return host, int(port)
        if self.process.poll() is not None:
            raise RuntimeError(f"the sidecar ended with exit code {self.process.returncode}")
        return None

    def events(self, name: str) -> list[dict[str, Any]]:
        """Returns the events of one name in its log so far."""
        lines = self.log_path.read_bytes().split(b"\n")[:-1]
        return [event for event in map(json.loads, lines) if event["event"] == name]

    def cpu_seconds(self) -> tuple[float, float]:
        """Returns the CPU time used so far in seconds, in user mode and in the kernel."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return int(fields[11]) / CLOCK_TICKS_PER_S, int(fields[12]) / CLOCK_TICKS_PER_S

    def memory_mb(self) -> float:
        """Returns the resident memory in megabytes."""
        return int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6

    def descriptor_count(self) -> int:
        """Returns the number of open file descriptors."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def thread_count(self) -> int:
        """Returns the number of threads."""
        return len(os.listdir(f"/proc/{self.process.pid}/task"))

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.process.kill()
        self.process.wait()
