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

RESPONSE_HEAD = re.compile(rb"HTTP/1.1 (\d+) .*?\r\nContent-Length: (\d+)(?:\r\n[^\r]+)*\r\n\r\n", re.S)
LIST_VERSION = re.compile(rb'{"seq":(\d+)')
MAX_WAIT_MS = 3000
WINDOW_S = 1.0


class Follower:
    def __init__(self, address: tuple[str, int], services: str) -> None:
        self.services = services
        self.seq = -1
        self.buffer = b""
        self.sock = socket.create_connection(address)

    def send_request(self, wait_ms: float) -> None:
        since = f"since={self.seq}&timeout_ms={int(wait_ms)}&" if self.seq >= 0 else ""
        self.sock.sendall(
            b"GET /discovery/hosts?%bservices=%b HTTP/1.1\r\nHost: r\r\n\r\n"
            % (since.encode(), self.services.encode())
        )

    def receive(self) -> tuple[int, bytes] | None:
        data = self.sock.recv(1 << 20)
        if not data:
            raise ConnectionResetError("the relay has closed a connection")
        self.buffer += data
        head = RESPONSE_HEAD.match(self.buffer)
        if head is None or len(self.buffer) < head.end() + int(head[2]):
            return None
        body, self.buffer = self.buffer[head.end() :], b""
        if head[1] == b"200":
            version = LIST_VERSION.match(body)
            assert version is not None
            self.seq = int(version[1])
        return int(head[1]), body


class RelayLoad:
    def __init__(self, folder: Path, followers: int, options: argparse.Namespace, rate: int) -> None:
        self.rng = random.Random(options.seed)
        names = [f"service-{at:04}" for at in range(options.services)]
        self.origin = Origin(
            [
                list_line(f"srv-{at:06}", names[at % options.services], port=9000 + at % 1000)
                for at in range(options.servers)
            ]
        )
        self.relay = RelayProcess(folder, {"eu": self.origin}, mostFollowers=100_000, wholeBytesPerS=rate)
        wait_until(lambda: self.relay.stats()["servers"] == options.servers)
        self.before_kb = self.memory_kb()
        self.selector = selectors.DefaultSelector()
        self.followers = []
        for _ in range(followers):
            asker = Follower(
                self.relay.socket_address, ",".join(sorted(self.rng.sample(names, options.each)))
            )
            self.selector.register(asker.sock, selectors.EVENT_READ, asker)
            self.followers.append(asker)

    def cpu_s(self) -> float:
        with open(f"/proc/{self.relay.process.pid}/schedstat") as file:
            return int(file.read().split()[0]) / 1e9

    def memory_kb(self) -> int:
        with open(f"/proc/{self.relay.process.pid}/status") as file:
            found = re.search(r"VmRSS:\s+(\d+)", file.read())
        assert found is not None
        return int(found[1])

    def ask_all(self, wait_ms: float = 1) -> tuple[list[tuple[int, bytes]], float, float]:
        """Everyone asks and is answered: the answers, the relay's processor time, and the time."""
        cpu, then = self.cpu_s(), time.monotonic()
        for asker in self.followers:
            asker.ask(wait_ms)
        answers: list[tuple[int, bytes]] = []
        while len(answers) < len(self.followers):
            for key, _ in self.selector.select(5):
                response = key.data.hear()
                if response is not None:
                    answers.append(response)
        return answers, self.cpu_s() - cpu, time.monotonic() - then

    def random_wait_ms(self) -> float:
        return MAX_WAIT_MS * (0.5 + 0.5 * self.rng.random())

    def follow(self, seconds: float) -> tuple[int, int, float, float]:
        """All wait and ask anew: answers, those with a change, when the last such came, processor time."""
        cpu, then = self.cpu_s(), time.monotonic()
        answers = changed = 0
        last = 0.0
        while time.monotonic() - then < seconds:
            for key, _ in self.selector.select(0.02):
                response = key.data.hear()
                if response is not None:
                    answers += 1
                    if b'"host"' in response[1]:
                        changed += 1
                        last = time.monotonic() - then
                    key.data.ask(self.random_wait_ms())
        return answers, changed, last, self.cpu_s() - cpu


def measure(followers: int, options: argparse.Namespace) -> dict[str, object]:
    folder = Path(tempfile.mkdtemp())
    load = RelayLoad(folder, followers, options, rate=10**9)
    answers, cpu, took = load.ask_all()
    results: dict[str, object] = {
        "followers": followers,
        "form": FORM,
        "whole_us": round(1e6 * cpu / followers),
        "whole_a_second": round(followers / took),
        "whole_bytes": round(sum(len(body) for _, body in answers) / followers),
    }
    time.sleep(1.2)  # the region's coming into touch is told
    load.ask_all()
    results["memory_kb"] = round((load.memory_kb() - load.before_kb) / followers, 2)
    results["memory_mb_all"] = round(load.memory_kb() / 1024, 1)
    results["renewal_at_once_us"] = sorted(
        round(1e6 * load.ask_all()[1] / followers) for _ in range(options.runs)
    )
    for asker in load.followers:
        asker.ask(load.random_wait_ms())
    count, _, _, cpu = load.follow(options.rest)
    idle_cpu_per_s = cpu / options.rest
    results |= {
        "rest_core": round(idle_cpu_per_s, 4),
        "renewals_a_second": round(count / options.rest),
        "renewal_us": round(1e6 * cpu / count),
    }
    for servers in (1, 100, 590):
        runs = []
        for run in range(options.runs):
            hosts = load.rng.sample(sorted(load.origin.lines), min(servers, options.servers))
            load.origin.put(*({**load.origin.lines[host], "block": 1000 * servers + run} for host in hosts))
            _, changed, last, cpu = load.follow(WINDOW_S)
            runs.append((changed, last, 1e6 * (cpu - idle_cpu_per_s * WINDOW_S)))
        results[f"change_of_{servers}"] = {
            "told": median(run[0] for run in runs),
            "last_s": round(max(run[1] for run in runs), 3),
            "cpu_us": round(median(run[2] for run in runs)),
            "cpu_us_each": round(median(run[2] / max(1, run[0]) for run in runs)),
        }
    load.relay.kill()
    load = RelayLoad(folder, followers, options, rate=64_000_000)
    answers, cpu, took = load.ask_all()
    results["paced"] = {
        "whole": sum(status == 200 for status, _ in answers),
        "in_s": round(took, 2),
        "told_503": sum(status == 503 for status, _ in answers),
        "cpu_s": round(cpu, 3),
    }
    load.relay.kill()
    return results


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--followers", type=int, nargs="+", default=[1000, 2000])
    parser.add_argument("--services", type=int, default=200)
    parser.add_argument("--each", type=int, default=10)
    parser.add_argument("--servers", type=int, default=2000)
    parser.add_argument("--runs", type=int, default=5)
    parser.add_argument("--rest", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for followers in options.followers:
        print(json.dumps(measure(followers, options)), flush=True)


if __name__ == "__main__":
    main()
