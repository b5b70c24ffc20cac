"""What one relay process takes: processor time a renewal, change and whole list, and memory a follower.

    .venv/bin/python benchmarks/relay.py [--followers 1000 2000] [--services 200] [--each 10] [--servers 2000]
                                         [--runs 5] [--rest 10]

Followers are raw sockets of this process, each with services drawn by a seed; the origin is the tests' own.
All is real time on loopback: the processor time is the relay's own, as the kernel counts it, and a busy
machine shows in it.  One JSON line a size.
"""

from __future__ import annotations

import argparse
import json
import random
import re
import selectors
import socket
import sys
import tempfile
import time
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).parent.parent))

from pumicepath.compiled import FORM  # noqa: E402
from tests.relay_rig import Origin, RelayProcess, list_line, wait_until  # noqa: E402

HEAD = re.compile(rb"HTTP/1.1 (\d+) .*?\r\nContent-Length: (\d+)(?:\r\n[^\r]+)*\r\n\r\n", re.S)
SEQ = re.compile(rb'{"seq":(\d+)')
LONGEST_MS = 3000
WINDOW_S = 1.0


class Asker:
    def __init__(self, where: tuple[str, int], services: str) -> None:
        self.services = services
        self.seq = -1
        self.data = b""
        self.sock = socket.create_connection(where)

    def ask(self, wait_ms: float) -> None:
        since = f"since={self.seq}&timeout_ms={int(wait_ms)}&" if self.seq >= 0 else ""
        self.sock.sendall(
            b"GET /discovery/hosts?%bservices=%b HTTP/1.1\r\nHost: r\r\n\r\n"
            % (since.encode(), self.services.encode())
        )

    def hear(self) -> tuple[int, bytes] | None:
        data = self.sock.recv(1 << 20)
        if not data:
            raise ConnectionResetError("the relay has closed a connection")
        self.data += data
        head = HEAD.match(self.data)
        if head is None or len(self.data) < head.end() + int(head[2]):
            return None
        body, self.data = self.data[head.end() :], b""
        if head[1] == b"200":
            found = SEQ.match(body)
            assert found is not None
            self.seq = int(found[1])
        return int(head[1]), body


class Bench:
    def __init__(self, folder: Path, followers: int, told: argparse.Namespace, rate: int) -> None:
        self.draw = random.Random(told.seed)
        names = [f"service-{at:04}" for at in range(told.services)]
        self.origin = Origin(
            [
                list_line(f"srv-{at:06}", names[at % told.services], port=9000 + at % 1000)
                for at in range(told.servers)
            ]
        )
        self.relay = RelayProcess(folder, {"eu": self.origin}, mostFollowers=100_000, wholeBytesPerS=rate)
        wait_until(lambda: self.relay.stats()["servers"] == told.servers)
        self.before_kb = self.memory_kb()
        self.selector = selectors.DefaultSelector()
        self.askers = []
        for _ in range(followers):
            asker = Asker(self.relay.socket_address, ",".join(sorted(self.draw.sample(names, told.each))))
            self.selector.register(asker.sock, selectors.EVENT_READ, asker)
            self.askers.append(asker)

    def cpu_s(self) -> float:
        with open(f"/proc/{self.relay.process.pid}/schedstat") as file:
            return int(file.read().split()[0]) / 1e9

    def memory_kb(self) -> int:
        with open(f"/proc/{self.relay.process.pid}/status") as file:
            found = re.search(r"VmRSS:\s+(\d+)", file.read())
        assert found is not None
        return int(found[1])

    def all(self, wait_ms: float = 1) -> tuple[list[tuple[int, bytes]], float, float]:
        """Everyone asks and is answered: the answers, the relay's processor time, and the time."""
        cpu, then = self.cpu_s(), time.monotonic()
        for asker in self.askers:
            asker.ask(wait_ms)
        answers: list[tuple[int, bytes]] = []
        while len(answers) < len(self.askers):
            for key, _ in self.selector.select(5):
                found = key.data.hear()
                if found is not None:
                    answers.append(found)
        return answers, self.cpu_s() - cpu, time.monotonic() - then

    def drawn_ms(self) -> float:
        return LONGEST_MS * (0.5 + 0.5 * self.draw.random())

    def follow(self, seconds: float) -> tuple[int, int, float, float]:
        """All wait and ask anew: answers, those with a change, when the last such came, processor time."""
        cpu, then = self.cpu_s(), time.monotonic()
        answers = told = 0
        last = 0.0
        while time.monotonic() - then < seconds:
            for key, _ in self.selector.select(0.02):
                found = key.data.hear()
                if found is not None:
                    answers += 1
                    if b'"host"' in found[1]:
                        told += 1
                        last = time.monotonic() - then
                    key.data.ask(self.drawn_ms())
        return answers, told, last, self.cpu_s() - cpu


def measured(followers: int, told: argparse.Namespace) -> dict[str, object]:
    folder = Path(tempfile.mkdtemp())
    bench = Bench(folder, followers, told, rate=10**9)
    answers, cpu, took = bench.all()
    found: dict[str, object] = {
        "followers": followers,
        "form": FORM,
        "whole_us": round(1e6 * cpu / followers),
        "whole_a_second": round(followers / took),
        "whole_bytes": round(sum(len(body) for _, body in answers) / followers),
    }
    time.sleep(1.2)  # the region's coming into touch is told
    bench.all()
    found["memory_kb"] = round((bench.memory_kb() - bench.before_kb) / followers, 2)
    found["memory_mb_all"] = round(bench.memory_kb() / 1024, 1)
    found["renewal_at_once_us"] = sorted(round(1e6 * bench.all()[1] / followers) for _ in range(told.runs))
    for asker in bench.askers:
        asker.ask(bench.drawn_ms())
    count, _, _, cpu = bench.follow(told.rest)
    rest = cpu / told.rest
    found |= {
        "rest_core": round(rest, 4),
        "renewals_a_second": round(count / told.rest),
        "renewal_us": round(1e6 * cpu / count),
    }
    for servers in (1, 100, 590):
        runs = []
        for run in range(told.runs):
            some = bench.draw.sample(sorted(bench.origin.lines), min(servers, told.servers))
            bench.origin.put(*({**bench.origin.lines[host], "block": 1000 * servers + run} for host in some))
            _, told_to, last, cpu = bench.follow(WINDOW_S)
            runs.append((told_to, last, 1e6 * (cpu - rest * WINDOW_S)))
        found[f"change_of_{servers}"] = {
            "told": median(run[0] for run in runs),
            "last_s": round(max(run[1] for run in runs), 3),
            "cpu_us": round(median(run[2] for run in runs)),
            "cpu_us_each": round(median(run[2] / max(1, run[0]) for run in runs)),
        }
    bench.relay.kill()
    bench = Bench(folder, followers, told, rate=64_000_000)
    answers, cpu, took = bench.all()
    found["paced"] = {
        "whole": sum(status == 200 for status, _ in answers),
        "in_s": round(took, 2),
        "told_503": sum(status == 503 for status, _ in answers),
        "cpu_s": round(cpu, 3),
    }
    bench.relay.kill()
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--followers", type=int, nargs="+", default=[1000, 2000])
    parser.add_argument("--services", type=int, default=200)
    parser.add_argument("--each", type=int, default=10)
    parser.add_argument("--servers", type=int, default=2000)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--rest", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    for followers in told.followers:
        print(json.dumps(measured(followers, told)), flush=True)


if __name__ == "__main__":
    main()
