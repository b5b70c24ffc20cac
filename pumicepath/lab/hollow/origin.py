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

from . import ground_truth, processes
from .ground_truth import ACTIVE, LEAVING, LEFT, Change
from .plan import STATES_PER_SHARE_UNIT, Plan, RunOptions

REQUEST_TARGET = re.compile(rb"GET (/discovery/hosts(?:\?(\S*))?) HTTP/1\.[01]\r\n")
MAX_WAIT_MS = 60_000
MAX_HEAD_BYTES = 16_384
MAX_KEPT_DELAYS = 20_000  # times of one address
POKED_SERVERS = 20  # servers that change at a word of the run
MAX_CACHED_RESPONSES = 64  # answers that are kept, until the next change
MAX_CHANGE_BACKLOG_US = 1_000_000  # changes that were due longer ago are let go: the process stood still
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"


class AddressStats:
    """All connections from one address: bytes both ways, and how long after changes the next calls came.

    Who calls with a version has taken it, so that is when a change was applied at the latest.
    """

    def __init__(self) -> None:
        self.bytes = 0
        self.apply_delays_us: deque[int] = deque(maxlen=MAX_KEPT_DELAYS)


class Connection:
    """One connection; one call at a time is out on it."""

    __slots__ = ("sock", "head", "out", "since", "wanted", "watch_id", "stats", "answered_version")

    def __init__(self, sock: socket.socket, peer: AddressStats) -> None:
        self.sock = sock
        self.stats = peer
        self.answered_version = -1  # the version that it was answered last
        self.head = b""
        self.outgoing: memoryview | None = None
        self.since = -1  # of the watch that waits here, -1: none
        self.services: str | None = None
        self.watch_id = 0


class Origin:
    def __init__(self, plan: Plan, folder: Path, region: int, where: str, port: int) -> None:
        self.plan, self.region = plan, region
        servers = (
            range(plan.options.sidecars)
            if plan.options.form == "direct"
            else [server for server in range(plan.options.sidecars) if plan.region_of(server) == region]
        )
        self.ground_truth = ground_truth.GroundTruth(plan, servers, f"changes {plan.options.seed} {region}")
        self.changes_per_s = (
            plan.options.changes_per_s * len(self.ground_truth.servers) / plan.options.sidecars
        )
        self.encoded_servers: dict[int, bytes] = {}
        self.version = 1
        self.versions: list[int] = []  # of the changes, rising
        self.changed_servers: list[int] = []  # the servers
        for change in ground_truth.LedgerReader(
            ground_truth.ledger_path(folder, region)
        ).read():  # of a life before this one
            self.version += 1
            self.ground_truth.apply(change)
            self.versions.append(self.version)
            self.changed_servers.append(change.server)
        self.omitted_server = self.ground_truth.servers[0] if "origin-loses" in plan.options.planted else -1
        for server in self.ground_truth.servers:
            self.encoded_servers[server] = self.encode_server(self.ground_truth.states[server])
        self.ledger = ground_truth.LedgerWriter(ground_truth.ledger_path(folder, region))
        self.cache: dict[tuple[int, str | None], bytes] = {}
        self.watching: set[Connection] = set()
        self.watch_timeouts: list[tuple[int, int, int, Connection]] = []
        self.watch_count = 0
        self.bytes_out = self.bytes_in = self.request_count = self.full_list_count = 0
        self.connection_count = 0
        self.address_stats: dict[str, AddressStats] = {}
        self.last_change_at = 0  # the last change
        self.next_change_at = 0  # when, 0: never
        self.scheduled_changes: list[
            tuple[int, list[tuple[int, str]]]
        ] = []  # (when, changes): faults on their way
        self.selector = selectors.DefaultSelector()
        self.listener = socket.create_server((where, port), backlog=4096)
        self.listener.setblocking(False)
        self.selector.register(self.listener, selectors.EVENT_READ)

    # -- the list

    def encode_server(self, change: Change) -> bytes:
        plan, server = self.plan, change.server
        return orjson.dumps(
            {
                "host": plan.server_name(server),
                "dial": plan.server_address(server),
                "site": plan.zone_name(plan.zone_of[server]),
                "class": "m2",
                "block": server % 8,
                "health": change.health,
                "share": 1.0 + change.state / STATES_PER_SHARE_UNIT,
                "born_ms": change.started_at_ms,
                "service": plan.service_name(plan.service_of[server]),
            }
        )

    def response(self, since: int, wanted: str | None) -> bytes:
        """Changes since a version where that can be told, else the whole list."""
        key = (since, wanted)
        found = self.cache.get(key)
        if found is None:
            names = None if wanted is None or wanted == "*" else set(wanted.split(","))
            whole = since < 0 or since > self.version or since < self.version - len(self.versions)
            if whole:
                servers = [
                    server
                    for server in self.ground_truth.servers
                    if self.ground_truth.states[server].health != LEFT and server != self.omitted_server
                ]
            else:
                at = bisect_right(self.versions, since)
                servers = [
                    one for one in dict.fromkeys(self.changed_servers[at:]) if one != self.omitted_server
                ]
            if names is not None:
                servers = [
                    server
                    for server in servers
                    if self.plan.service_name(self.plan.service_of[server]) in names
                ]
            body = b'{"seq":%d,"whole":%s,"hosts":[%s]}' % (
                self.version,
                b"true" if whole else b"false",
                b",".join(self.encoded_servers[one] for one in servers),
            )
            found = RESPONSE_HEAD % len(body) + body
            if len(self.cache) >= MAX_CACHED_RESPONSES:
                self.cache.clear()
            self.cache[key] = found
        self.full_list_count += b'"whole":true' in found[:140]
        return found

    def apply_changes(self, changes: list[Change]) -> None:
        """They are in force from here on; whoever watches is told."""
        self.last_change_at = ground_truth.now_us()
        self.ledger.write(changes)
        for change in changes:
            self.version += 1
            self.ground_truth.apply(change)
            self.versions.append(self.version)
            self.changed_servers.append(change.server)
            self.encoded_servers[change.server] = self.encode_server(change)
        self.cache.clear()
        names = {self.plan.service_name(self.plan.service_of[change.server]) for change in changes}
        for caller in sorted(self.watching, key=lambda each: each.watch_id):
            if caller.services is None or caller.services == "*" or names & set(caller.services.split(",")):
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
            self.connection_count += 1
            peer = self.address_stats.setdefault(
                "127.0.0.1" if address[0] == "127.0.0.1" else "others", AddressStats()
            )
            self.selector.register(sock, selectors.EVENT_READ, Connection(sock, peer))

    def close(self, caller: Connection) -> None:
        self.watching.discard(caller)
        self.selector.unregister(caller.sock)
        caller.sock.close()
        caller.since = -1
        self.connection_count -= 1

    def read(self, caller: Connection) -> None:
        try:
            data = caller.sock.recv(MAX_HEAD_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        caller.head += data
        self.bytes_in += len(data)
        caller.stats.bytes += len(data)
        if not data or len(caller.head) > MAX_HEAD_BYTES:
            self.close(caller)
            return
        end = caller.head.find(b"\r\n\r\n")
        if end < 0 or caller.outgoing is not None:
            return
        head, caller.head = caller.head[: end + 4], caller.head[end + 4 :]
        found = REQUEST_TARGET.match(head)
        if not found:
            self.close(caller)
            return
        self.handle_request(caller, (found[2] or b"").decode("latin-1"))

    def handle_request(self, caller: Connection, query: str) -> None:
        told = dict(part.partition("=")[::2] for part in query.split("&") if part)
        self.request_count += 1
        caller.services = told.get("services")
        caller.since = int(told.get("since", "-1"))
        if caller.since == self.version == caller.answered_version and self.last_change_at:
            caller.stats.apply_delays_us.append(ground_truth.now_us() - self.last_change_at)
        caller.answered_version = -1
        wait = min(MAX_WAIT_MS, int(told.get("timeout_ms", "0")))
        if caller.since != self.version:
            self.reply(caller)
            return
        self.watch_count += 1
        caller.watch_id = self.watch_count
        self.watching.add(caller)
        heappush(
            self.watch_timeouts,
            (ground_truth.now_us() + 1000 * wait, self.watch_count, self.watch_count, caller),
        )

    def reply(self, caller: Connection) -> None:
        self.watching.discard(caller)
        since, caller.since = caller.since, -1
        caller.watch_id = 0
        caller.answered_version = self.version if since != self.version else -1
        self.send(caller, memoryview(self.response(since, caller.services)))

    def send(self, caller: Connection, data: memoryview) -> None:
        try:
            sent = caller.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close(caller)
            return
        self.bytes_out += sent
        caller.stats.bytes += sent
        before, caller.outgoing = caller.outgoing, data[sent:] if sent < len(data) else None
        if (before is None) != (caller.outgoing is None):
            events = selectors.EVENT_READ if caller.outgoing is None else selectors.EVENT_WRITE
            self.selector.modify(caller.sock, events, caller)

    # -- what it is told by the run, and time

    def handle_order(self, order: dict[str, Any]) -> None:
        """Orders of the run, by lines on stdin."""
        do, now = order["do"], ground_truth.now_us()
        if do == "go":
            self.next_change_at = self.draw_change_time(now)
        elif do == "rest":
            self.next_change_at = 0
        elif do == "figures":
            processes.send_event(
                {
                    "event": "figures",
                    "cpu_s": processes.cpu_seconds(),
                    "mb": processes.resident_mb(),
                    "bytes": self.bytes_in + self.bytes_out,
                    "bytes_out": self.bytes_out,
                    "connections": self.connection_count,
                    "calls": self.request_count,
                    "wholes": self.full_list_count,
                    "seq": self.version,
                }
            )
        elif do == "peers":
            processes.send_event(
                {
                    "event": "peers",
                    **{
                        name: {"bytes": peer.bytes, "took": list(peer.apply_delays_us)}
                        for name, peer in self.address_stats.items()
                    },
                }
            )
            for peer in self.address_stats.values():
                peer.apply_delays_us.clear()
        elif do in ("lose", "back"):
            zone, want = order["zone"], LEFT if do == "lose" else ACTIVE
            here = [
                one
                for one in self.ground_truth.servers
                if self.plan.zone_of[one] == zone
                and (self.ground_truth.states[one].health == LEFT) != (want == LEFT)
            ]
            self.scheduled_changes.append((now, [(one, want) for one in here]))
        elif do == "release":
            # Server by server: it drains, is gone, and comes back as a new process.
            every = int(1e6 * order["seconds"] / max(1, len(self.ground_truth.servers)))
            for at, server in enumerate(self.ground_truth.servers):
                begin = now + at * every
                self.scheduled_changes += [
                    (begin, [(server, LEAVING)]),
                    (begin + 1_000_000, [(server, LEFT)]),
                    (begin + 1_500_000, [(server, ACTIVE)]),
                ]
        elif do == "poke":
            here = [one for one in self.ground_truth.servers if self.ground_truth.states[one].health != LEFT]
            self.apply_changes(
                [
                    self.ground_truth.next_change(now, one, self.ground_truth.states[one].health, 0)
                    for one in self.ground_truth.rng.sample(here, min(POKED_SERVERS, len(here)))
                ]
            )
            processes.send_event({"event": "poked", "at": now})
        self.scheduled_changes.sort(key=lambda step: step[0])

    def draw_change_time(self, at: int) -> int:
        return (
            at + max(1, int(1e6 * self.ground_truth.rng.expovariate(self.changes_per_s)))
            if self.changes_per_s > 0
            else 0
        )

    def apply_due_changes(self, now: int) -> None:
        while self.scheduled_changes and self.scheduled_changes[0][0] <= now:
            _, wanted = self.scheduled_changes.pop(0)
            made = []
            for server, want in wanted:
                before = self.ground_truth.states[server].health
                born = ground_truth.unix_ms() if want == ACTIVE and before == LEFT else 0
                made.append(self.ground_truth.next_change(now, server, want or before, born))
            if made:
                self.apply_changes(made)
        while 0 < self.next_change_at <= now:
            self.next_change_at = self.draw_change_time(max(self.next_change_at, now - MAX_CHANGE_BACKLOG_US))
            self.apply_changes([self.ground_truth.draw_change(ground_truth.now_us())])

    def run(self) -> None:
        orders = processes.OrderReader()
        self.selector.register(0, selectors.EVENT_READ, orders)
        while True:
            now = ground_truth.now_us()
            nexts = [self.watch_timeouts[0][0]] if self.watch_timeouts else []
            nexts += [self.next_change_at] if self.next_change_at else []
            nexts += [self.scheduled_changes[0][0]] if self.scheduled_changes else []
            for key, events in self.selector.select(max(0.0, (min(nexts) - now) / 1e6) if nexts else None):
                if isinstance(key.data, Connection):
                    if events & selectors.EVENT_WRITE and key.data.outgoing is not None:
                        self.send(key.data, key.data.outgoing)
                    elif events & selectors.EVENT_READ:
                        self.read(key.data)
                elif key.data is orders:
                    for order in orders.read():
                        self.handle_order(order)
                else:
                    self.accept()
            now = ground_truth.now_us()
            self.apply_due_changes(now)
            while self.watch_timeouts and self.watch_timeouts[0][0] <= now:
                _, _, token, caller = heappop(self.watch_timeouts)
                if caller.watch_id == token and caller.since >= 0:
                    self.reply(caller)


def main() -> None:
    folder, region, where, port = Path(sys.argv[1]), int(sys.argv[2]), sys.argv[3], int(sys.argv[4])
    processes.raise_descriptor_limit()
    plan = Plan(RunOptions.from_dict(orjson.loads((folder / "ask.json").read_bytes())))
    origin = Origin(plan, folder, region, where, port)
    host, bound = origin.listener.getsockname()[:2]
    processes.send_event({"event": "started", "listen": f"{host}:{bound}", "pid": os.getpid()})
    origin.run()


if __name__ == "__main__":
    main()
