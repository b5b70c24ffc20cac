"""Commanded servers in a process of their own, so that their work does not delay the clients of a test.

    with ServerProcess(4) as servers:
        ... servers.addresses ...
    servers.runs

As a program it prints the servers' addresses, has a server hang for each line `NUMBER SECONDS` of its input,
and prints what they have run once that ends.
"""

from __future__ import annotations

import json
import subprocess
import sys
import threading
from typing import Any

from .commanded_server import CommandedServer, Run, RunLog


class ServerProcess:
    """A context in which so many servers run; `runs` is what they have executed, once it has ended."""

    def __init__(self, count: int, read_pause_s: float = 0.0) -> None:
        command = [sys.executable, "-m", __name__, str(count), str(read_pause_s)]
        self.process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        assert self.process.stdout is not None
        self.addresses: list[str] = json.loads(self.process.stdout.readline())
        self.runs: list[Run] = []

    def hang(self, server: int, seconds: float) -> None:
        """Have a server neither read nor write for so long."""
        assert self.process.stdin is not None
        self.process.stdin.write(f"{server} {seconds}\n")
        self.process.stdin.flush()

    def __enter__(self) -> ServerProcess:
        return self

    def __exit__(self, *_: object) -> None:
        output = self.process.communicate()[0]
        self.runs = [Run(**run) for run in json.loads(output)]

    def times_run(self) -> dict[str, int]:
        """How often each id has run."""
        return RunLog(self.runs).times_run()


def main(arguments: list[str]) -> None:
    """Run the servers until the input ends."""
    log = RunLog()
    servers = [CommandedServer(f"s-{at}", log, float(arguments[1])) for at in range(int(arguments[0]))]
    print(json.dumps([server.address for server in servers]), flush=True)
    for line in sys.stdin:
        number, seconds = line.split()
        server = servers[int(number)]
        server.hung.set()
        threading.Timer(float(seconds), server.hung.clear).start()
    runs: list[dict[str, Any]] = [vars(run) for run in list(log.runs)]
    print(json.dumps(runs), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
