"""A stand-in for one region's discovery: its own process, one selector loop, calls worked through in turn.

    python -m pumicepath.lab.hollow.origin FOLDER REGION

It reads the run's `ask.json` in the folder, listens on a port that it tells on stdout, makes changes from the
time that it is told to ({"do": "go"} on stdin), writes each down as truth (see `truth`) and answers the
discovery protocol: whole lists, watches that wait, and the parameter `services`.  Ends with its stdin.
"""

from __future__ import annotations

import os
import re
import selectors
import socket
import sys
from bisect import bisect_right
from collections import deque
from heapq import heappop, heappush
from pathlib import Path
from typing import Any

import orjson

from . import processes, truth
from .plan import STEP, Ask, Plan
from .truth import ACTIVE, LEAVING, LEFT, Change

TARGET = re.compile(rb"GET (/discovery/hosts(?:\?(\S*))?) HTTP/1\.[01]\r\n")
LONGEST_MS = 60_000
MOST_HEAD = 16_384
MOST_KEPT = 20_000  # times of one address
SOME = 20  # servers that change at a word of the run
MOST_CACHED = 64  # answers that are kept, until the next change
BEHIND_US = 1_000_000  # changes that were due longer ago are let go: the process stood still
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"


class Peer:
    """All connections from one address: bytes both ways, and how long after changes the next calls came.

    Who calls with a version has taken it, so that is when a change was applied at the latest.
    """

    def __init__(self) -> None:
        self.bytes = 0
        self.took: deque[int] = deque(maxlen=MOST_KEPT)


class Caller:
    """One connection; one call at a time is out on it."""

    __slots__ = ("sock", "head", "out", "since", "wanted", "token", "peer", "told")

    def __init__(self, sock: socket.socket, peer: Peer) -> None:
        self.sock = sock
        self.peer = peer
        self.told = -1  # the version that it was answered last
        self.head = b""
        self.out: memoryview | None = None
        self.since = -1  # of the watch that waits here, -1: none
        self.wanted: str | None = None
        self.token = 0


class Origin:
    def __init__(self, plan: Plan, folder: Path, region: int, where: str, port: int) -> None:
        self.plan, self.region = plan, region
        servers = (
            range(plan.ask.sidecars)
            if plan.ask.form == "direct"
            else [server for server in range(plan.ask.sidecars) if plan.region_of(server) == region]
        )
        self.truth = truth.Truth(plan, servers, f"changes {plan.ask.seed} {region}")
        self.rate = plan.ask.changes_per_s * len(self.truth.servers) / plan.ask.sidecars
        self.lines: dict[int, bytes] = {}
        self.seq = 1
        self.versions: list[int] = []  # of the changes, rising
        self.changed: list[int] = []  # the servers
        for change in truth.Tail(truth.path_of(folder, region)).read():  # of a life before this one
            self.seq += 1
            self.truth.take(change)
            self.versions.append(self.seq)
            self.changed.append(change.server)
        self.lost = self.truth.servers[0] if "origin-loses" in plan.ask.planted else -1
        for server in self.truth.servers:
            self.lines[server] = self.line(self.truth.states[server])
        self.ledger = truth.Ledger(truth.path_of(folder, region))
        self.cache: dict[tuple[int, str | None], bytes] = {}
        self.watching: set[Caller] = set()
        self.due: list[tuple[int, int, int, Caller]] = []
        self.count = 0
        self.bytes_out = self.bytes_in = self.calls = self.wholes = 0
        self.callers = 0
        self.peers: dict[str, Peer] = {}
        self.made_at = 0  # the last change
        self.next_change = 0  # when, 0: never
        self.steps: list[tuple[int, list[tuple[int, str]]]] = []  # (when, changes): faults on their way
        self.selector = selectors.DefaultSelector()
        self.listener = socket.create_server((where, port), backlog=4096)
        self.listener.setblocking(False)
        self.selector.register(self.listener, selectors.EVENT_READ)

    # -- the list

    def line(self, change: Change) -> bytes:
        plan, server = self.plan, change.server
        return orjson.dumps(
            {
                "host": plan.server_name(server),
                "dial": plan.dial(server),
                "site": plan.zone_name(plan.zone_of[server]),
                "class": "m2",
                "block": server % 8,
                "health": change.health,
                "share": 1.0 + change.state / STEP,
                "born_ms": change.born,
                "service": plan.service_name(plan.service_of[server]),
            }
        )

    def answer(self, since: int, wanted: str | None) -> bytes:
        """Changes since a version where that can be told, else the whole list."""
        key = (since, wanted)
        found = self.cache.get(key)
        if found is None:
            names = None if wanted is None or wanted == "*" else set(wanted.split(","))
            whole = since < 0 or since > self.seq or since < self.seq - len(self.versions)
            if whole:
                servers = [
                    server
                    for server in self.truth.servers
                    if self.truth.states[server].health != LEFT and server != self.lost
                ]
            else:
                at = bisect_right(self.versions, since)
                servers = [one for one in dict.fromkeys(self.changed[at:]) if one != self.lost]
            if names is not None:
                servers = [
                    server
                    for server in servers
                    if self.plan.service_name(self.plan.service_of[server]) in names
                ]
            body = b'{"seq":%d,"whole":%s,"hosts":[%s]}' % (
                self.seq,
                b"true" if whole else b"false",
                b",".join(self.lines[one] for one in servers),
            )
            found = HEAD % len(body) + body
            if len(self.cache) >= MOST_CACHED:
                self.cache.clear()
            self.cache[key] = found
        self.wholes += b'"whole":true' in found[:140]
        return found

    def make(self, changes: list[Change]) -> None:
        """They are in force from here on; whoever watches is told."""
        self.made_at = truth.now()
        self.ledger.write(changes)
        for change in changes:
            self.seq += 1
            self.truth.take(change)
            self.versions.append(self.seq)
            self.changed.append(change.server)
            self.lines[change.server] = self.line(change)
        self.cache.clear()
        names = {self.plan.service_name(self.plan.service_of[change.server]) for change in changes}
        for caller in sorted(self.watching, key=lambda each: each.token):
            if caller.wanted is None or caller.wanted == "*" or names & set(caller.wanted.split(",")):
                self.reply(caller)

    # -- calls

    def accept(self) -> None:
        for _ in range(256):
            try:
                sock, address = self.listener.accept()
            except BlockingIOError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.callers += 1
            peer = self.peers.setdefault("127.0.0.1" if address[0] == "127.0.0.1" else "others", Peer())
            self.selector.register(sock, selectors.EVENT_READ, Caller(sock, peer))

    def close(self, caller: Caller) -> None:
        self.watching.discard(caller)
        self.selector.unregister(caller.sock)
        caller.sock.close()
        caller.since = -1
        self.callers -= 1

    def read(self, caller: Caller) -> None:
        try:
            data = caller.sock.recv(MOST_HEAD)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        caller.head += data
        self.bytes_in += len(data)
        caller.peer.bytes += len(data)
        if not data or len(caller.head) > MOST_HEAD:
            self.close(caller)
            return
        end = caller.head.find(b"\r\n\r\n")
        if end < 0 or caller.out is not None:
            return
        head, caller.head = caller.head[: end + 4], caller.head[end + 4 :]
        found = TARGET.match(head)
        if not found:
            self.close(caller)
            return
        self.call(caller, (found[2] or b"").decode("latin-1"))

    def call(self, caller: Caller, query: str) -> None:
        told = dict(part.partition("=")[::2] for part in query.split("&") if part)
        self.calls += 1
        caller.wanted = told.get("services")
        caller.since = int(told.get("since", "-1"))
        if caller.since == self.seq == caller.told and self.made_at:
            caller.peer.took.append(truth.now() - self.made_at)
        caller.told = -1
        wait = min(LONGEST_MS, int(told.get("timeout_ms", "0")))
        if caller.since != self.seq:
            self.reply(caller)
            return
        self.count += 1
        caller.token = self.count
        self.watching.add(caller)
        heappush(self.due, (truth.now() + 1000 * wait, self.count, self.count, caller))

    def reply(self, caller: Caller) -> None:
        self.watching.discard(caller)
        since, caller.since = caller.since, -1
        caller.token = 0
        caller.told = self.seq if since != self.seq else -1
        self.send(caller, memoryview(self.answer(since, caller.wanted)))

    def send(self, caller: Caller, data: memoryview) -> None:
        try:
            sent = caller.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close(caller)
            return
        self.bytes_out += sent
        caller.peer.bytes += sent
        before, caller.out = caller.out, data[sent:] if sent < len(data) else None
        if (before is None) != (caller.out is None):
            events = selectors.EVENT_READ if caller.out is None else selectors.EVENT_WRITE
            self.selector.modify(caller.sock, events, caller)

    # -- what it is told by the run, and time

    def told(self, order: dict[str, Any]) -> None:
        """Orders of the run, by lines on stdin."""
        do, now = order["do"], truth.now()
        if do == "go":
            self.next_change = self.later(now)
        elif do == "rest":
            self.next_change = 0
        elif do == "figures":
            processes.say(
                {
                    "event": "figures",
                    "cpu_s": processes.cpu(),
                    "mb": processes.mb(),
                    "bytes": self.bytes_in + self.bytes_out,
                    "bytes_out": self.bytes_out,
                    "connections": self.callers,
                    "calls": self.calls,
                    "wholes": self.wholes,
                    "seq": self.seq,
                }
            )
        elif do == "peers":
            processes.say(
                {
                    "event": "peers",
                    **{
                        name: {"bytes": peer.bytes, "took": list(peer.took)}
                        for name, peer in self.peers.items()
                    },
                }
            )
            for peer in self.peers.values():
                peer.took.clear()
        elif do in ("lose", "back"):
            zone, want = order["zone"], LEFT if do == "lose" else ACTIVE
            here = [
                one
                for one in self.truth.servers
                if self.plan.zone_of[one] == zone
                and (self.truth.states[one].health == LEFT) != (want == LEFT)
            ]
            self.steps.append((now, [(one, want) for one in here]))
        elif do == "release":
            # Server by server: it drains, is gone, and comes back as a new process.
            every = int(1e6 * order["seconds"] / max(1, len(self.truth.servers)))
            for at, server in enumerate(self.truth.servers):
                begin = now + at * every
                self.steps += [
                    (begin, [(server, LEAVING)]),
                    (begin + 1_000_000, [(server, LEFT)]),
                    (begin + 1_500_000, [(server, ACTIVE)]),
                ]
        elif do == "poke":
            here = [one for one in self.truth.servers if self.truth.states[one].health != LEFT]
            self.make(
                [
                    self.truth.next(now, one, self.truth.states[one].health, 0)
                    for one in self.truth.chance.sample(here, min(SOME, len(here)))
                ]
            )
            processes.say({"event": "poked", "at": now})
        self.steps.sort(key=lambda step: step[0])

    def later(self, at: int) -> int:
        return at + max(1, int(1e6 * self.truth.chance.expovariate(self.rate))) if self.rate > 0 else 0

    def changes(self, now: int) -> None:
        while self.steps and self.steps[0][0] <= now:
            _, wanted = self.steps.pop(0)
            made = []
            for server, want in wanted:
                before = self.truth.states[server].health
                born = truth.unix_ms() if want == ACTIVE and before == LEFT else 0
                made.append(self.truth.next(now, server, want or before, born))
            if made:
                self.make(made)
        while 0 < self.next_change <= now:
            self.next_change = self.later(max(self.next_change, now - BEHIND_US))
            self.make([self.truth.draw(truth.now())])

    def run(self) -> None:
        orders = processes.Orders()
        self.selector.register(0, selectors.EVENT_READ, orders)
        while True:
            now = truth.now()
            nexts = [self.due[0][0]] if self.due else []
            nexts += [self.next_change] if self.next_change else []
            nexts += [self.steps[0][0]] if self.steps else []
            for key, events in self.selector.select(max(0.0, (min(nexts) - now) / 1e6) if nexts else None):
                if isinstance(key.data, Caller):
                    if events & selectors.EVENT_WRITE and key.data.out is not None:
                        self.send(key.data, key.data.out)
                    elif events & selectors.EVENT_READ:
                        self.read(key.data)
                elif key.data is orders:
                    for order in orders.read():
                        self.told(order)
                else:
                    self.accept()
            now = truth.now()
            self.changes(now)
            while self.due and self.due[0][0] <= now:
                _, _, token, caller = heappop(self.due)
                if caller.token == token and caller.since >= 0:
                    self.reply(caller)


def main() -> None:
    folder, region, where, port = Path(sys.argv[1]), int(sys.argv[2]), sys.argv[3], int(sys.argv[4])
    processes.most_descriptors()
    plan = Plan(Ask.from_told(orjson.loads((folder / "ask.json").read_bytes())))
    origin = Origin(plan, folder, region, where, port)
    host, bound = origin.listener.getsockname()[:2]
    processes.say({"event": "started", "listen": f"{host}:{bound}", "pid": os.getpid()})
    origin.run()


if __name__ == "__main__":
    main()
