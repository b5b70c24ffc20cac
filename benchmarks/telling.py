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

ASKED = re.compile(rb"GET /discovery/hosts(?:\?since=(\d+)&timeout_ms=(\d+))?")
PLACES = 34
MACHINES = 590  # a zone at the target: 20,000 servers in 34


def line(
    number: int, born: int = 0, health: str = "active", dial: str = "", services: int = 0
) -> dict[str, Any]:
    """One server of a list, names as long as those in the protocol's page; of a service if there are any."""
    told = {"service": f"service-{number % services:04d}"} if services else {}
    return {
        **told,
        "host": f"s-{number * 2654435761 % 2**32:08x}",
        "dial": dial or f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:9000",
        "site": f"zone-{number // MACHINES % PLACES:02d}",
        "class": "m2",
        "block": number % 97,
        "health": health,
        "share": 1.0,
        "born_ms": born,
    }


def whole(servers: int, seq: int = 1, dial: str = "", services: int = 0) -> dict[str, Any]:
    hosts = [line(number, 0, "active", dial, services) for number in range(servers)]
    return {"seq": seq, "whole": True, "hosts": hosts}


def change(seq: int, number: int, dial: str = "", services: int = 0) -> dict[str, Any]:
    """One server's new start, which takes its place in the list."""
    return {
        "seq": seq,
        "whole": False,
        "hosts": [line(number, 1_700_000_000_000 + seq * 1000, "active", dial, services)],
    }


def answer(told: dict[str, Any]) -> bytes:
    body = orjson.dumps(told)
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
    return head + body


class Waiting:
    """One connection at the stand-in; `due` is when its watch ends, 0 while none is out."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.due = 0.0
        self.left = b""


class Loop:
    """The stand-in's one thread; `pipe` brings ("changes", how many, pause in s), ("figures",), ("end",)."""

    def __init__(self, pipe: Connection, servers: int, dial: str, services: int) -> None:
        self.pipe, self.servers, self.dial, self.services = pipe, servers, dial, services
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=4096)
        self.listener.setblocking(False)
        self.selector = selectors.EpollSelector()
        self.selector.register(self.listener, selectors.EVENT_READ, None)
        self.selector.register(pipe, selectors.EVENT_READ, pipe)
        self.open: set[Waiting] = set()
        self.seq = 1
        self.lines: list[dict[str, Any]] = []  # of each change
        self.all = answer(whole(servers, 1, dial, services))
        self.figures = {"told": 0, "renewed": 0, "wholes": 0, "bytes": 0}
        self.pending = 0
        self.pause = 0.0
        self.next = 0.0
        self.swept = 0.0

    def run(self) -> None:
        self.pipe.send(self.listener.getsockname())
        while True:
            for key, mask in self.selector.select(0.005):
                if key.data is None:
                    self.accept()
                elif key.data is self.pipe:
                    if not self.command(self.pipe.recv()):
                        return
                else:
                    self.ready(key.data, mask)
            now = time.monotonic()
            if self.pending and now >= self.next:
                self.change()
                self.next = now + self.pause
            if now - self.swept >= 0.05:  # a real one has a wheel of timers; a sweep this seldom costs less
                self.swept = now
                self.renew(now)

    def accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            one = Waiting(sock)
            self.open.add(one)
            self.selector.register(sock, selectors.EVENT_READ, one)

    def command(self, told: tuple) -> bool:
        if told[0] == "changes":
            self.pending, self.pause, self.next = told[1], told[2], 0.0
        elif told[0] == "figures":
            pages = int(Path("/proc/self/statm").read_text().split()[1])
            self.pipe.send(
                {
                    **self.figures,
                    "cpu": time.process_time(),
                    "seq": self.seq,
                    "waiting": sum(one.due > 0 for one in self.open),
                    "pending": self.pending,
                    "kb": pages * os.sysconf("SC_PAGE_SIZE") / 1000,
                }
            )
        return told[0] != "end"

    def ready(self, one: Waiting, mask: int) -> None:
        if mask & selectors.EVENT_WRITE:
            self.write(one, b"")
        if mask & selectors.EVENT_READ:
            try:
                data = one.sock.recv(4096)
            except OSError:
                data = b""
            found = ASKED.match(data)
            if not found:
                self.selector.unregister(one.sock)
                one.sock.close()
                self.open.discard(one)
            elif found[1] is None:
                self.figures["wholes"] += 1
                self.write(one, self.all)
            elif int(found[1]) < self.seq:
                self.figures["told"] += 1
                missed = self.lines[int(found[1]) - 1 :]
                self.write(one, answer({"seq": self.seq, "whole": False, "hosts": missed}))
            else:
                one.due = time.monotonic() + int(found[2]) / 1000

    def write(self, one: Waiting, data: bytes) -> None:
        one.left += data
        try:
            sent = one.sock.send(one.left)
        except BlockingIOError:
            sent = 0
        except OSError:
            return
        self.figures["bytes"] += sent
        late = sent < len(one.left)
        one.left = one.left[sent:]
        self.selector.modify(one.sock, selectors.EVENT_READ | (selectors.EVENT_WRITE if late else 0), one)

    def change(self) -> None:
        self.pending -= 1
        self.seq += 1
        told = change(self.seq, self.seq % self.servers, self.dial, self.services)
        self.lines += told["hosts"]
        last = answer(told)
        for one in self.open:
            if one.due:
                one.due = 0.0
                self.figures["told"] += 1
                self.write(one, last)

    def renew(self, now: float) -> None:
        nothing = answer({"seq": self.seq, "whole": False, "hosts": []})
        for one in self.open:
            if 0 < one.due <= now:
                one.due = 0.0
                self.figures["renewed"] += 1
                self.write(one, nothing)


def stand(pipe: Connection, servers: int, dial: str, services: int) -> None:
    Loop(pipe, servers, dial, services).run()


class Origin:
    """The stand-in as a process; `figures` are its own, `cpu` among them in seconds of its processor time."""

    def __init__(self, servers: int, dial: str = "", services: int = 0) -> None:
        context = multiprocessing.get_context("spawn")
        self.pipe, theirs = context.Pipe()
        self.process = context.Process(target=stand, args=(theirs, servers, dial, services), daemon=True)
        self.process.start()
        self.where: tuple[str, int] = self.pipe.recv()

    def figures(self) -> dict[str, float]:
        self.pipe.send(("figures",))
        return self.pipe.recv()

    def changes(self, count: int, pause: float = 0.0) -> None:
        self.pipe.send(("changes", count, pause))

    def end(self) -> None:
        self.pipe.send(("end",))
        self.process.join(10)


class Followers:
    """Connections that hold a watch each, read in this process by one selector loop."""

    def __init__(
        self,
        where: tuple[str, int],
        count: int,
        wait_ms: int = 60_000,
        seq: int = 1,
        services: Callable[[int], str] | None = None,
    ) -> None:
        self.selector = selectors.EpollSelector()
        self.wait_ms = wait_ms
        self.answers = self.replies = self.bytes = 0  # replies: refused ones, too
        self.newest: Counter[int] = Counter()  # answers by their version
        self.socks: list[socket.socket] = []
        self.missing: dict[socket.socket, int] = {}  # bytes of an answer that are still to come
        self.services: dict[Any, bytes] = {}  # what each asks for
        for number in range(count):
            sock = socket.create_connection(where)
            sock.setblocking(False)
            self.services[sock] = b"services=" + services(number).encode() if services is not None else b""
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.selector.register(sock, selectors.EVENT_READ)
            self.socks.append(sock)
            if seq:
                self.ask(sock, seq)

    def ask(self, sock: socket.socket, seq: int) -> None:
        parts = [b"since=%d&timeout_ms=%d" % (seq, self.wait_ms)] if seq else []
        parts += [self.services[sock]] if self.services[sock] else []
        what = b"?" + b"&".join(parts) if parts else b""
        sock.send(b"GET /discovery/hosts" + what + b" HTTP/1.1\r\nHost: d\r\n\r\n")

    def run(self, until: Callable[[], bool], again: bool = True) -> None:
        """Read answers and, if `again`, ask anew for what comes after; raises TimeoutError after a minute."""
        end = time.monotonic() + 60
        while not until():
            if time.monotonic() > end:
                raise TimeoutError("followers are still without an answer")
            for key, _ in self.selector.select(0.01):
                self.read(key.fileobj, again)

    def read(self, sock: Any, again: bool) -> None:
        data = sock.recv(1 << 20)
        self.bytes += len(data)
        if not data:
            self.replies += 1
            self.selector.unregister(sock)
            return
        if sock in self.missing:
            self.missing[sock] -= len(data)
        else:
            head, _, body = data.partition(b"\r\n\r\n")
            length = re.search(rb"Content-Length: (\d+)", head)
            assert length is not None, head
            self.replies += 1
            if not head.startswith(b"HTTP/1.1 200"):
                return
            self.missing[sock] = int(length[1]) - len(body)
            self.seq = int(re.match(rb'\{"seq":(\d+)', body)[1])  # type: ignore[index]
        if self.missing[sock] <= 0:
            del self.missing[sock]
            self.answers += 1
            self.newest[self.seq] += 1
            if again:
                self.ask(sock, self.seq)

    def close(self) -> None:
        for sock in self.socks:
            sock.close()


def watching(origin: Origin, count: int) -> None:
    """Wait until all watches are out; raises TimeoutError after a minute."""
    end = time.monotonic() + 60
    while origin.figures()["waiting"] < count:
        if time.monotonic() > end:
            raise TimeoutError("not all followers watch")
        time.sleep(0.1)


def told(count: int) -> dict[str, float]:
    """One size of following: microseconds for each answer with a change, seconds until the last has one.

    What the loop spends while nothing comes is no cost of an answer, and is taken off.
    """
    changes = max(5, 10_000 // count)
    origin = Origin(1000)
    try:
        empty = origin.figures()["kb"]
        followers = Followers(origin.where, count, 60_000)
        watching(origin, count)
        first = origin.figures()
        time.sleep(1.0)
        before = origin.figures()
        began = time.monotonic()
        origin.changes(changes, max(0.02, count * 2e-4))
        followers.run(lambda: followers.newest[changes + 1] == count)
        watching(origin, count)
        after = origin.figures()
        lasted = time.monotonic() - began
        alone = time.monotonic()
        origin.changes(1)
        followers.run(lambda: followers.newest[changes + 2] == count)
        alone = time.monotonic() - alone
        followers.close()
        cpu = after["cpu"] - before["cpu"] - (before["cpu"] - first["cpu"]) * lasted
        answers = after["told"] - before["told"]
        return {
            "told_us": cpu / answers * 1e6,
            "told_bytes": (after["bytes"] - before["bytes"]) / answers,
            "last_s": alone,
            "follower_kb": (before["kb"] - empty) / count,
        }
    finally:
        origin.end()


def renewed(count: int) -> float:
    """Microseconds for each watch that ends with nothing new and is begun again."""
    origin = Origin(1000)
    try:
        followers = Followers(origin.where, count, max(200, count))
        end = time.monotonic() + 1.0
        followers.run(lambda: time.monotonic() > end)
        before, end = origin.figures(), time.monotonic() + 3.0
        followers.run(lambda: time.monotonic() > end)
        after = origin.figures()
        followers.close()
        return (after["cpu"] - before["cpu"]) / (after["renewed"] - before["renewed"]) * 1e6
    finally:
        origin.end()


def wholes(servers: int, count: int = 20) -> dict[str, float]:
    """Whole lists of one size to some followers: microseconds and bytes each at the source."""
    origin = Origin(servers)
    try:
        before = origin.figures()
        followers = Followers(origin.where, count, seq=0)
        for _ in range(max(3, 400 // count)):
            for sock in followers.socks:
                followers.ask(sock, 0)
            wanted = followers.answers + count
            followers.run(lambda wanted=wanted: followers.answers >= wanted, again=False)  # type: ignore[misc]
        after = origin.figures()
        followers.close()
        many = after["wholes"] - before["wholes"]
        return {
            "whole_us": (after["cpu"] - before["cpu"]) / many * 1e6,
            "whole_bytes": (after["bytes"] - before["bytes"]) / many,
        }
    finally:
        origin.end()
