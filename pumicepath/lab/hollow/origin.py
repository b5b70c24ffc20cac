"""A simulated discovery service of one region: a process with one selector loop that serves requests in turn.

    python -m pumicepath.lab.hollow.origin FOLDER REGION HOST PORT

It reads the run's `ask.json` in the folder and reports its port on stdout.  After the order {"do": "go"} on
stdin it makes changes, and writes each to its ledger (see `ground_truth`).  It serves the discovery protocol:
full lists, long-polling watches, and the parameter `services`.  The process ends with its stdin.
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
MAX_KEPT_DELAYS = 20_000  # of one address
POKED_SERVERS = 20  # servers that change at the order "poke"
MAX_CACHED_RESPONSES = 64  # until the next change
MAX_CHANGE_BACKLOG_US = 1_000_000  # changes overdue for longer, after the process was stopped, are dropped
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"


class AddressStats:
    """Bytes in both directions of all connections from one address, and delays until changes were applied.

    A request that names a version shows that the caller has applied it, so the time from the change to that
    request is an upper bound of the delay.
    """

    def __init__(self) -> None:
        self.bytes = 0
        self.apply_delays_us: deque[int] = deque(maxlen=MAX_KEPT_DELAYS)


class Connection:
    """A client connection, with at most one request in progress."""

    __slots__ = ("sock", "head", "outgoing", "since", "services", "watch_id", "stats", "answered_version")

    def __init__(self, sock: socket.socket, stats: AddressStats) -> None:
        self.sock = sock
        self.stats = stats
        self.answered_version = -1  # version in the last answer, -1: nothing new in it
        self.head = b""
        self.outgoing: memoryview | None = None
        self.since = -1  # version of the pending watch, -1: none
        self.services: str | None = None
        self.watch_id = 0


class Origin:
    """The servers of one region (of all regions in a direct run), their changes, and the connections."""

    def __init__(self, plan: Plan, folder: Path, region: int, host: str, port: int) -> None:
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
        self.versions: list[int] = []  # of all changes, ascending
        self.changed_servers: list[int] = []  # the server of each change
        # After a restart: the changes that the previous process made.
        for change in ground_truth.LedgerReader(ground_truth.ledger_path(folder, region)).read():
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
        self.last_change_at = 0
        self.next_change_at = 0  # 0: never
        # (time, [(server, new state)]): changes that faults will make.
        self.scheduled_changes: list[tuple[int, list[tuple[int, str]]]] = []
        self.selector = selectors.DefaultSelector()
        self.listener = socket.create_server((host, port), backlog=4096)
        self.listener.setblocking(False)
        self.selector.register(self.listener, selectors.EVENT_READ)

    # -- the list

    def encode_server(self, change: Change) -> bytes:
        """A server's entry in a list, as JSON."""
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

    def response(self, since: int, services: str | None) -> bytes:
        """The response with the changes since a version, or with the full list if they are not known."""
        key = (since, services)
        response = self.cache.get(key)
        if response is None:
            names = None if services is None or services == "*" else set(services.split(","))
            whole = since < 0 or since > self.version or since < self.version - len(self.versions)
            if whole:
                servers = [
                    server
                    for server in self.ground_truth.servers
                    if self.ground_truth.states[server].health != LEFT and server != self.omitted_server
                ]
            else:
                start = bisect_right(self.versions, since)
                servers = [
                    each
                    for each in dict.fromkeys(self.changed_servers[start:])
                    if each != self.omitted_server
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
                b",".join(self.encoded_servers[each] for each in servers),
            )
            response = RESPONSE_HEAD % len(body) + body
            if len(self.cache) >= MAX_CACHED_RESPONSES:
                self.cache.clear()
            self.cache[key] = response
        self.full_list_count += b'"whole":true' in response[:140]
        return response

    def apply_changes(self, changes: list[Change]) -> None:
        """Write changes to the ledger, apply them, and answer the watches that they concern."""
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
        for connection in sorted(self.watching, key=lambda watch: watch.watch_id):
            if (
                connection.services is None
                or connection.services == "*"
                or names & set(connection.services.split(","))
            ):
                self.reply(connection)

    # -- requests

    def accept(self) -> None:
        """Accept waiting connections."""
        for _ in range(256):
            try:
                sock, address = self.listener.accept()
            except BlockingIOError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connection_count += 1
            stats = self.address_stats.setdefault(
                "127.0.0.1" if address[0] == "127.0.0.1" else "others", AddressStats()
            )
            self.selector.register(sock, selectors.EVENT_READ, Connection(sock, stats))

    def close(self, connection: Connection) -> None:
        """Close a connection."""
        self.watching.discard(connection)
        self.selector.unregister(connection.sock)
        connection.sock.close()
        connection.since = -1
        self.connection_count -= 1

    def read(self, connection: Connection) -> None:
        """Read from a connection, and handle its request once the head is complete."""
        try:
            data = connection.sock.recv(MAX_HEAD_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        connection.head += data
        self.bytes_in += len(data)
        connection.stats.bytes += len(data)
        if not data or len(connection.head) > MAX_HEAD_BYTES:
            self.close(connection)
            return
        end = connection.head.find(b"\r\n\r\n")
        if end < 0 or connection.outgoing is not None:
            return
        head, connection.head = connection.head[: end + 4], connection.head[end + 4 :]
        match = REQUEST_TARGET.match(head)
        if not match:
            self.close(connection)
            return
        self.handle_request(connection, (match[2] or b"").decode("latin-1"))

    def handle_request(self, connection: Connection, query: str) -> None:
        """Answer a request at once if there is a newer version, else let its watch wait."""
        parameters = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        self.request_count += 1
        connection.services = parameters.get("services")
        connection.since = int(parameters.get("since", "-1"))
        if connection.since == self.version == connection.answered_version and self.last_change_at:
            connection.stats.apply_delays_us.append(ground_truth.now_us() - self.last_change_at)
        connection.answered_version = -1
        wait_ms = min(MAX_WAIT_MS, int(parameters.get("timeout_ms", "0")))
        if connection.since != self.version:
            self.reply(connection)
            return
        self.watch_count += 1
        connection.watch_id = self.watch_count
        self.watching.add(connection)
        heappush(
            self.watch_timeouts,
            (ground_truth.now_us() + 1000 * wait_ms, self.watch_count, self.watch_count, connection),
        )

    def reply(self, connection: Connection) -> None:
        """Answer a connection's request."""
        self.watching.discard(connection)
        since, connection.since = connection.since, -1
        connection.watch_id = 0
        connection.answered_version = self.version if since != self.version else -1
        self.send(connection, memoryview(self.response(since, connection.services)))

    def send(self, connection: Connection, data: memoryview) -> None:
        """Write as much as the socket accepts; the rest follows when it is writable."""
        try:
            sent = connection.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close(connection)
            return
        self.bytes_out += sent
        connection.stats.bytes += sent
        unsent_before, connection.outgoing = connection.outgoing, data[sent:] if sent < len(data) else None
        if (unsent_before is None) != (connection.outgoing is None):
            events = selectors.EVENT_READ if connection.outgoing is None else selectors.EVENT_WRITE
            self.selector.modify(connection.sock, events, connection)

    # -- orders and timers

    def handle_order(self, order: dict[str, Any]) -> None:
        """Execute an order of the run, one JSON line on stdin."""
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
                        name: {"bytes": stats.bytes, "took": list(stats.apply_delays_us)}
                        for name, stats in self.address_stats.items()
                    },
                }
            )
            for stats in self.address_stats.values():
                stats.apply_delays_us.clear()
        elif do in ("lose", "back"):
            zone, health = order["zone"], LEFT if do == "lose" else ACTIVE
            servers = [
                each
                for each in self.ground_truth.servers
                if self.plan.zone_of[each] == zone
                and (self.ground_truth.states[each].health == LEFT) != (health == LEFT)
            ]
            self.scheduled_changes.append((now, [(each, health) for each in servers]))
        elif do == "release":
            # One server after the other drains, leaves and comes back as a new process.
            interval_us = int(1e6 * order["seconds"] / max(1, len(self.ground_truth.servers)))
            for index, server in enumerate(self.ground_truth.servers):
                start = now + index * interval_us
                self.scheduled_changes += [
                    (start, [(server, LEAVING)]),
                    (start + 1_000_000, [(server, LEFT)]),
                    (start + 1_500_000, [(server, ACTIVE)]),
                ]
        elif do == "poke":
            servers = [
                each for each in self.ground_truth.servers if self.ground_truth.states[each].health != LEFT
            ]
            self.apply_changes(
                [
                    self.ground_truth.next_change(now, each, self.ground_truth.states[each].health, 0)
                    for each in self.ground_truth.rng.sample(servers, min(POKED_SERVERS, len(servers)))
                ]
            )
            processes.send_event({"event": "poked", "at": now})
        self.scheduled_changes.sort(key=lambda step: step[0])

    def draw_change_time(self, at: int) -> int:
        """The time of the next random change after `at`, by a Poisson process; 0 for never."""
        return (
            at + max(1, int(1e6 * self.ground_truth.rng.expovariate(self.changes_per_s)))
            if self.changes_per_s > 0
            else 0
        )

    def apply_due_changes(self, now: int) -> None:
        """Make the scheduled and the random changes that are due."""
        while self.scheduled_changes and self.scheduled_changes[0][0] <= now:
            _, targets = self.scheduled_changes.pop(0)
            changes = []
            for server, health in targets:
                previous = self.ground_truth.states[server].health
                started_at_ms = ground_truth.unix_ms() if health == ACTIVE and previous == LEFT else 0
                changes.append(self.ground_truth.next_change(now, server, health or previous, started_at_ms))
            if changes:
                self.apply_changes(changes)
        while 0 < self.next_change_at <= now:
            self.next_change_at = self.draw_change_time(max(self.next_change_at, now - MAX_CHANGE_BACKLOG_US))
            self.apply_changes([self.ground_truth.draw_change(ground_truth.now_us())])

    def run(self) -> None:
        """Run the loop; the process exits when its stdin ends."""
        orders = processes.OrderReader()
        self.selector.register(0, selectors.EVENT_READ, orders)
        while True:
            now = ground_truth.now_us()
            deadlines = [self.watch_timeouts[0][0]] if self.watch_timeouts else []
            deadlines += [self.next_change_at] if self.next_change_at else []
            deadlines += [self.scheduled_changes[0][0]] if self.scheduled_changes else []
            for key, events in self.selector.select(
                max(0.0, (min(deadlines) - now) / 1e6) if deadlines else None
            ):
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
                _, _, watch_id, connection = heappop(self.watch_timeouts)
                if connection.watch_id == watch_id and connection.since >= 0:
                    self.reply(connection)


def main() -> None:
    """Run the origin given on the command line."""
    folder, region, listen_host, port = Path(sys.argv[1]), int(sys.argv[2]), sys.argv[3], int(sys.argv[4])
    processes.raise_descriptor_limit()
    plan = Plan(RunOptions.from_dict(orjson.loads((folder / "ask.json").read_bytes())))
    origin = Origin(plan, folder, region, listen_host, port)
    bound_host, bound_port = origin.listener.getsockname()[:2]
    processes.send_event({"event": "started", "listen": f"{bound_host}:{bound_port}", "pid": os.getpid()})
    origin.run()


if __name__ == "__main__":
    main()
