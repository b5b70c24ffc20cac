"""The least discovery that there can be, and followers of it: what telling of a list costs its source.

`Origin(servers)` is a process of its own: one thread, one selector loop, the protocol of
`discovery/watch.py`, each answer encoded once for all who are to get it.  A real one does more, so its
figures are a floor.
`Followers(where, count)` are that many connections from this process, which hold a watch each.
"""

from __future__ import annotations

import multiprocessing
import os
import re
import selectors
import socket
import time
from collections import Counter
from collections.abc import Callable
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import orjson

REQUEST_LINE = re.compile(rb"GET /discovery/hosts(?:\?since=(\d+)&timeout_ms=(\d+))?")
ZONES = 34
SERVERS_PER_ZONE = 590  # a zone at the target: 20,000 servers in 34


def host_entry(
    number: int, started_at: int = 0, health: str = "active", address: str = "", services: int = 0
) -> dict[str, Any]:
    """One server of a list, names as long as those in the protocol's page; of a service if there are any."""
    service = {"service": f"service-{number % services:04d}"} if services else {}
    return {
        **service,
        "host": f"s-{number * 2654435761 % 2**32:08x}",
        "dial": address or f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9000",
        "site": f"zone-{number // SERVERS_PER_ZONE % ZONES:02d}",
        "class": "m2",
        "block": number % 97,
        "health": health,
        "share": 1.0,
        "born_ms": started_at,
    }


def full_list(servers: int, seq: int = 1, address: str = "", services: int = 0) -> dict[str, Any]:
    hosts = [host_entry(number, 0, "active", address, services) for number in range(servers)]
    return {"seq": seq, "whole": True, "hosts": hosts}


def list_change(seq: int, number: int, address: str = "", services: int = 0) -> dict[str, Any]:
    """One server's new start, which takes its place in the list."""
    return {
        "seq": seq,
        "whole": False,
        "hosts": [host_entry(number, 1_700_000_000_000 + seq * 1000, "active", address, services)],
    }


def http_response(message: dict[str, Any]) -> bytes:
    body = orjson.dumps(message)
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
    return head + body


class Watcher:
    """One connection at the stand-in; `due` is when its watch ends, 0 while none is out."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.ends_at = 0.0
        self.unsent = b""


class SourceLoop:
    """The stand-in's one thread; `pipe` brings ("changes", how many, pause in s), ("figures",), ("end",)."""

    def __init__(self, pipe: Connection, servers: int, server_address: str, services: int) -> None:
        self.pipe, self.servers, self.server_address, self.services = pipe, servers, server_address, services
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=4096)
        self.listener.setblocking(False)
        self.selector = selectors.EpollSelector()
        self.selector.register(self.listener, selectors.EVENT_READ, None)
        self.selector.register(pipe, selectors.EVENT_READ, pipe)
        self.watchers: set[Watcher] = set()
        self.seq = 1
        self.changed_hosts: list[dict[str, Any]] = []  # of each change
        self.full_response = http_response(full_list(servers, 1, server_address, services))
        self.counters = {"told": 0, "renewed": 0, "wholes": 0, "bytes": 0}
        self.pending_changes = 0
        self.pause_s = 0.0
        self.next_change_at = 0.0
        self.last_sweep_at = 0.0

    def run(self) -> None:
        self.pipe.send(self.listener.getsockname())
        while True:
            for key, mask in self.selector.select(0.005):
                if key.data is None:
                    self.accept()
                elif key.data is self.pipe:
                    if not self.handle_command(self.pipe.recv()):
                        return
                else:
                    self.on_ready(key.data, mask)
            now = time.monotonic()
            if self.pending_changes and now >= self.next_change_at:
                self.make_change()
                self.next_change_at = now + self.pause_s
            if (
                now - self.last_sweep_at >= 0.05
            ):  # a real one has a wheel of timers; a sweep this seldom costs less
                self.last_sweep_at = now
                self.end_expired_watches(now)

    def accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            watcher = Watcher(sock)
            self.watchers.add(watcher)
            self.selector.register(sock, selectors.EVENT_READ, watcher)

    def handle_command(self, command: tuple) -> bool:
        if command[0] == "changes":
            self.pending_changes, self.pause_s, self.next_change_at = command[1], command[2], 0.0
        elif command[0] == "figures":
            pages = int(Path("/proc/self/statm").read_text().split()[1])
            self.pipe.send(
                {
                    **self.counters,
                    "cpu": time.process_time(),
                    "seq": self.seq,
                    "waiting": sum(one.ends_at > 0 for one in self.watchers),
                    "pending": self.pending_changes,
                    "kb": pages * os.sysconf("SC_PAGE_SIZE") / 1000,
                }
            )
        return command[0] != "end"

    def on_ready(self, watcher: Watcher, mask: int) -> None:
        if mask & selectors.EVENT_WRITE:
            self.send(watcher, b"")
        if mask & selectors.EVENT_READ:
            try:
                data = watcher.sock.recv(4096)
            except OSError:
                data = b""
            match = REQUEST_LINE.match(data)
            if not match:
                self.selector.unregister(watcher.sock)
                watcher.sock.close()
                self.watchers.discard(watcher)
            elif match[1] is None:
                self.counters["wholes"] += 1
                self.send(watcher, self.full_response)
            elif int(match[1]) < self.seq:
                self.counters["told"] += 1
                missed = self.changed_hosts[int(match[1]) - 1 :]
                self.send(watcher, http_response({"seq": self.seq, "whole": False, "hosts": missed}))
            else:
                watcher.ends_at = time.monotonic() + int(match[2]) / 1000

    def send(self, watcher: Watcher, data: bytes) -> None:
        watcher.unsent += data
        try:
            sent = watcher.sock.send(watcher.unsent)
        except BlockingIOError:
            sent = 0
        except OSError:
            return
        self.counters["bytes"] += sent
        incomplete = sent < len(watcher.unsent)
        watcher.unsent = watcher.unsent[sent:]
        self.selector.modify(
            watcher.sock, selectors.EVENT_READ | (selectors.EVENT_WRITE if incomplete else 0), watcher
        )

    def make_change(self) -> None:
        self.pending_changes -= 1
        self.seq += 1
        message = list_change(self.seq, self.seq % self.servers, self.server_address, self.services)
        self.changed_hosts += message["hosts"]
        response = http_response(message)
        for watcher in self.watchers:
            if watcher.ends_at:
                watcher.ends_at = 0.0
                self.counters["told"] += 1
                self.send(watcher, response)

    def end_expired_watches(self, now: float) -> None:
        response = http_response({"seq": self.seq, "whole": False, "hosts": []})
        for watcher in self.watchers:
            if 0 < watcher.ends_at <= now:
                watcher.ends_at = 0.0
                self.counters["renewed"] += 1
                self.send(watcher, response)


def run_source(pipe: Connection, servers: int, server_address: str, services: int) -> None:
    SourceLoop(pipe, servers, server_address, services).run()


class ListSource:
    """The stand-in as a process; `figures` are its own, `cpu` among them in seconds of its processor time."""

    def __init__(self, servers: int, server_address: str = "", services: int = 0) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, theirs = context.Pipe()
        self.process = context.Process(
            target=run_source, args=(theirs, servers, server_address, services), daemon=True
        )
        self.process.start()
        self.address: tuple[str, int] = self.pipe.recv()

    def read_counters(self) -> dict[str, float]:
        self.pipe.send(("figures",))
        return self.pipe.recv()

    def make_changes(self, count: int, pause_s: float = 0.0) -> None:
        self.pipe.send(("changes", count, pause_s))

    def end(self) -> None:
        self.pipe.send(("end",))
        self.process.join(10)


class Followers:
    """Connections that hold a watch each, read in this process by one selector loop."""

    def __init__(
        self,
        address: tuple[str, int],
        count: int,
        wait_ms: int = 60_000,
        seq: int = 1,
        services: Callable[[int], str] | None = None,
    ) -> None:
        self.selector = selectors.EpollSelector()
        self.wait_ms = wait_ms
        self.answers = self.replies = self.bytes = 0  # replies: refused ones, too
        self.answers_by_version: Counter[int] = Counter()  # answers by their version
        self.socks: list[socket.socket] = []
        self.missing_bytes: dict[socket.socket, int] = {}  # bytes of an answer that are still to come
        self.services_query: dict[Any, bytes] = {}  # what each asks for
        for number in range(count):
            sock = socket.create_connection(address)
            sock.setblocking(False)
            self.services_query[sock] = (
                b"services=" + services(number).encode() if services is not None else b""
            )
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.selector.register(sock, selectors.EVENT_READ)
            self.socks.append(sock)
            if seq:
                self.send_request(sock, seq)

    def send_request(self, sock: socket.socket, seq: int) -> None:
        parts = [b"since=%d&timeout_ms=%d" % (seq, self.wait_ms)] if seq else []
        parts += [self.services_query[sock]] if self.services_query[sock] else []
        what = b"?" + b"&".join(parts) if parts else b""
        sock.send(b"GET /discovery/hosts" + what + b" HTTP/1.1\r\nHost: d\r\n\r\n")

    def run(self, until: Callable[[], bool], watch_again: bool = True) -> None:
        """Read answers and, if `again`, ask anew for what comes after; raises TimeoutError after a minute."""
        end = time.monotonic() + 60
        while not until():
            if time.monotonic() > end:
                raise TimeoutError("followers are still without an answer")
            for key, _ in self.selector.select(0.01):
                self.on_readable(key.fileobj, watch_again)

    def on_readable(self, sock: Any, watch_again: bool) -> None:
        data = sock.recv(1 << 20)
        self.bytes += len(data)
        if not data:
            self.replies += 1
            self.selector.unregister(sock)
            return
        if sock in self.missing_bytes:
            self.missing_bytes[sock] -= len(data)
        else:
            head, _, body = data.partition(b"\r\n\r\n")
            length = re.search(rb"Content-Length: (\d+)", head)
            assert length is not None, head
            self.replies += 1
            if not head.startswith(b"HTTP/1.1 200"):
                return
            self.missing_bytes[sock] = int(length[1]) - len(body)
            self.seq = int(re.match(rb'\{"seq":(\d+)', body)[1])  # type: ignore[index]
        if self.missing_bytes[sock] <= 0:
            del self.missing_bytes[sock]
            self.answers += 1
            self.answers_by_version[self.seq] += 1
            if watch_again:
                self.send_request(sock, self.seq)

    def close(self) -> None:
        for sock in self.socks:
            sock.close()


def wait_until_watching(source: ListSource, count: int) -> None:
    """Wait until all watches are out; raises TimeoutError after a minute."""
    end = time.monotonic() + 60
    while source.read_counters()["waiting"] < count:
        if time.monotonic() > end:
            raise TimeoutError("not all followers watch")
        time.sleep(0.1)


def measure_change(count: int) -> dict[str, float]:
    """One size of following: microseconds for each answer with a change, seconds until the last has one.

    What the loop spends while nothing comes is no cost of an answer, and is taken off.
    """
    changes = max(5, 10_000 // count)
    source = ListSource(1000)
    try:
        empty = source.read_counters()["kb"]
        followers = Followers(source.address, count, 60_000)
        wait_until_watching(source, count)
        first = source.read_counters()
        time.sleep(1.0)
        before = source.read_counters()
        began = time.monotonic()
        source.make_changes(changes, max(0.02, count * 2e-4))
        followers.run(lambda: followers.answers_by_version[changes + 1] == count)
        wait_until_watching(source, count)
        after = source.read_counters()
        elapsed_s = time.monotonic() - began
        single_change_s = time.monotonic()
        source.make_changes(1)
        followers.run(lambda: followers.answers_by_version[changes + 2] == count)
        single_change_s = time.monotonic() - single_change_s
        followers.close()
        cpu = after["cpu"] - before["cpu"] - (before["cpu"] - first["cpu"]) * elapsed_s
        answers = after["told"] - before["told"]
        return {
            "told_us": cpu / answers * 1e6,
            "told_bytes": (after["bytes"] - before["bytes"]) / answers,
            "last_s": single_change_s,
            "follower_kb": (before["kb"] - empty) / count,
        }
    finally:
        source.end()


def measure_renewal(count: int) -> float:
    """Microseconds for each watch that ends with nothing new and is begun again."""
    source = ListSource(1000)
    try:
        followers = Followers(source.address, count, max(200, count))
        end = time.monotonic() + 1.0
        followers.run(lambda: time.monotonic() > end)
        before, end = source.read_counters(), time.monotonic() + 3.0
        followers.run(lambda: time.monotonic() > end)
        after = source.read_counters()
        followers.close()
        return (after["cpu"] - before["cpu"]) / (after["renewed"] - before["renewed"]) * 1e6
    finally:
        source.end()


def measure_full_list(servers: int, count: int = 20) -> dict[str, float]:
    """Whole lists of one size to some followers: microseconds and bytes each at the source."""
    source = ListSource(servers)
    try:
        before = source.read_counters()
        followers = Followers(source.address, count, seq=0)
        for _ in range(max(3, 400 // count)):
            for sock in followers.socks:
                followers.send_request(sock, 0)
            expected_answers = followers.answers + count
            followers.run(lambda wanted=expected_answers: followers.answers >= wanted, watch_again=False)  # type: ignore[misc]
        after = source.read_counters()
        followers.close()
        sent_lists = after["wholes"] - before["wholes"]
        return {
            "whole_us": (after["cpu"] - before["cpu"]) / sent_lists * 1e6,
            "whole_bytes": (after["bytes"] - before["bytes"]) / sent_lists,
        }
    finally:
        source.end()
