"""The relay's one thread: a selector loop for its listener, followers, operators and origins.

    relay = Relay(config, log, version, share); relay.run()     # until relay.stop is set by a signal

A loop and not a thread for each follower: they are thousands, nearly all of them waiting; a thread each would
cost memory, and a change that concerns all of them as many switches.  The platform's rule of threads is for
the program that `run` starts, of which this is no part.
"""

from __future__ import annotations

import resource
import selectors
import socket
import time
from collections import Counter, deque
from collections.abc import Callable, Mapping

from ..distribution.origins import FAILURES_TO_DISCONNECT, Origin
from ..distribution.rate_limiter import ListRateLimiter
from ..distribution.relay_store import EncodedServer, RelayStore
from ..distribution.subscriptions import Subscriptions
from ..http1 import writing
from ..http1.messages import MalformedMessageError, Request
from . import metrics
from .clock import now_us
from .config import Config
from .followers import PENDING, READING, TEXT_HEADERS, Follower, parse_list_request
from .listeners import local_address, open_listener, send_best_effort
from .log import Log
from .upstreams import Upstream

MAX_ADMIN_CONNECTIONS = 16
RESERVED_DESCRIPTORS = 24  # descriptors for listeners, the loop, files, operators; and two for each origin
MAX_BATCH = 256  # answers, and connections taken, between two looks at all the rest
MAX_UNSENT_BYTES = 32 << 20  # bytes that sockets have not taken, of all followers together
MIN_ITERATION_US = 10_000  # between two looks at what has come, at least
SWEEP_INTERVAL_US = 250_000  # between two looks for connections whose time is up
REQUEST_TIMEOUT_US = 3_000_000  # from a connection, or from an answer, until the next call is whole
WRITE_TIMEOUT_US = 3_000_000  # from an answer's first byte until its socket has taken the last
FULL_CLEAR_US = 1_000_000  # without one turned away, until there is room again
LATE_ITERATION_US = 400_000  # a loop that comes so late has stood still
FULL_RESPONSE = writing.response(503, [], b"", keep_alive=False)
HALVED_FACTOR = 2  # a list with less than one in so many left is told in the log


class Relay:
    def __init__(self, config: Config, log: Log, version: int, random_fraction: Callable[[], float]) -> None:
        self.config = config
        self.log = log
        self.random_fraction = random_fraction
        self.store = RelayStore(version, config.sources, config.history_changes)
        self.subscriptions = Subscriptions(config.batch_us, random_fraction)
        self.whole_list_pacer = ListRateLimiter(config.whole_bytes_per_s)
        self.selector = selectors.DefaultSelector()
        self.followers: dict[int, Follower] = {}
        self.admin_connections: dict[int, Follower] = {}
        self.slow_followers: dict[
            int, Follower
        ] = {}  # those with unsent bytes, the first to fall behind first
        self.unsent_bytes = 0
        self.resume_queue: deque[Follower | Upstream] = deque()
        self.counters: Counter[str] = Counter()
        self.last_number = 0
        self.stop = False
        self.full = self.paced = False
        self.last_full_at = 0
        self.swept_at = 0
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        spare = descriptors - RESERVED_DESCRIPTORS - MAX_ADMIN_CONNECTIONS - 2 * len(config.sources)
        # Guards the connections to origins against followers that take all descriptors.
        self.max_followers = max(1, min(config.max_followers, spare))
        self.listener = open_listener(config.listen)
        self.selector.register(self.listener, selectors.EVENT_READ, self.accept_followers)
        self.admin_listener = None if config.admin is None else open_listener(config.admin)
        if self.admin_listener is not None:
            self.selector.register(self.admin_listener, selectors.EVENT_READ, self.accept_admin)
        self.upstreams = [
            Upstream(region, where, Origin(region, random_fraction), self)
            for region, where in config.sources.items()
        ]
        self.started_at = now_us()
        log.event(
            "started",
            listen=local_address(self.listener),
            admin=local_address(self.admin_listener),
            most_followers=self.max_followers,
            regions=list(config.sources),
            version=version,
        )

    def run(self) -> None:
        while not self.stop:
            now = now_us()
            at = max(now, min(self.next_timer(now), self.swept_at + SWEEP_INTERVAL_US))
            found = self.selector.select((at - now) / 1e6)
            now = now_us()
            self.counters["turns"] += 1
            self.counters["late"] += now > at + LATE_ITERATION_US
            # Origins first, and their silence before what came of them meanwhile: guards followers against
            # being told that a region is in touch by word as old as this process stood still.
            for upstream in self.upstreams:
                upstream.on_timer(now)
            for key, mask in found:
                if isinstance(key.data, Upstream) and key.fileobj is key.data.sock:
                    self.handle_io_safely(key.data, mask, now)
            for key, mask in found:
                if isinstance(key.data, Follower):
                    self.handle_io_safely(key.data, mask, now)
                elif not isinstance(key.data, Upstream):
                    key.data(now)
            for _ in range(min(MAX_BATCH, len(self.resume_queue))):
                self.handle_io_safely(self.resume_queue.popleft(), 0, now)
            self.answer_due(now)
            self.send_whole_lists(now)
            if now >= self.swept_at + SWEEP_INTERVAL_US:
                self.sweep(now)
            if not self.resume_queue and not self.subscriptions.ready:
                # Guards the core against a turn for each call, and against a listener that can't be accepted
                # from: what comes meanwhile is taken up together.
                time.sleep(max(0, now + MIN_ITERATION_US - now_us()) / 1e6)
        self.log.event(
            "stopped",
            after_s=round((now_us() - self.started_at) / 1e6, 3),
            followers=len(self.followers),
            answers=self.counters["answers"],
        )
        self.log.flush()

    def handle_io_safely(self, peer: Follower | Upstream, mask: int, now: int) -> None:
        """Guards all others against a fault of our own that what one of them sent brings out."""
        try:
            peer.handle_io(mask, now)
        except Exception as trouble:
            self.counters["faults"] += 1
            self.log.event(
                "fault",
                text=f"{type(trouble).__name__}: {trouble}",
                whose=peer.region if isinstance(peer, Upstream) else "follower",
            )
            if isinstance(peer, Upstream):
                peer.fail(now, "fault")
            else:
                peer.close()

    def next_timer(self, now: int) -> int:
        if self.resume_queue:
            return 0
        return min(
            self.subscriptions.next_timer(),
            self.whole_list_pacer.next_timer(now),
            *(upstream.due_at for upstream in self.upstreams),
        )

    # Followers

    def accept_followers(self, now: int) -> None:
        for _ in range(MAX_BATCH):
            sock = self.accept_one(self.listener, now)
            if sock is None:
                return
            if len(self.followers) >= self.max_followers:
                self.counters["refused_full"] += 1
                self.report_full(now, f"{self.max_followers} followers")
                # At once: guards a follower against a connection that is taken and never served.
                send_best_effort(sock, FULL_RESPONSE)
                sock.close()
                continue
            self.add_connection(sock, now, self.followers)

    def accept_admin(self, now: int) -> None:
        assert self.admin_listener is not None
        sock = self.accept_one(self.admin_listener, now)
        if sock is not None:
            if len(self.admin_connections) >= MAX_ADMIN_CONNECTIONS:
                next(iter(self.admin_connections.values())).close()
            self.add_connection(sock, now, self.admin_connections)

    def accept_one(self, listener: socket.socket, now: int) -> socket.socket | None:
        try:
            return listener.accept()[0]
        except (BlockingIOError, ConnectionAbortedError):
            return None
        except OSError as trouble:
            self.report_full(now, str(trouble))  # no descriptor or memory: tried again at the next turn
            return None

    def report_full(self, now: int, why: str) -> None:
        self.last_full_at = now
        if not self.full:
            self.full = True
            self.log.event("followers_full", followers=len(self.followers), why=why)

    def add_connection(self, sock: socket.socket, now: int, among: dict[int, Follower]) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.last_number += 1
        follower = Follower(self.last_number, sock, self, now, admin=among is self.admin_connections)
        among[self.last_number] = follower
        self.selector.register(sock, selectors.EVENT_READ, follower)

    def remove_connection(self, follower: Follower) -> None:
        self.followers.pop(follower.number, None)
        self.admin_connections.pop(follower.number, None)
        self.subscriptions.leave(follower.number)
        self.whole_list_pacer.leave(follower.number)
        if self.slow_followers.pop(follower.number, None) is not None and follower.unsent is not None:
            self.unsent_bytes -= len(follower.unsent)
            follower.unsent = None
        self.selector.unregister(follower.sock)

    def add_slow(self, follower: Follower, size: int) -> None:
        """Its socket has not taken all of an answer."""
        self.unsent_bytes += size
        self.slow_followers[follower.number] = follower
        while self.unsent_bytes > MAX_UNSENT_BYTES:
            # Guards the memory against followers that ask and do not read.
            self.close_slow(next(iter(self.slow_followers.values())))

    def close_slow(self, follower: Follower) -> None:
        self.counters["cut_slow"] += 1
        follower.close()

    def handle_request(self, follower: Follower, request: Request, now: int) -> None:
        """Raises Malformed for what is no call."""
        if follower.admin:
            self.handle_admin_request(follower, request, now)
            return
        call = parse_list_request(request)
        self.counters["calls"] += 1
        if not self.store.has_data():
            self.reject(follower, b"no list yet\n", now)
            return
        follower.interest = call.interest
        self.subscriptions.join(follower.number, call.interest)
        if not self.store.can_continue(call.since):
            self.queue_whole_list(follower, now)
        elif call.since < self.store.region_change_version:
            self.send_changes(follower, call.since, now)
        elif self.store.has_changes(call.interest, call.since):
            if call.wait_us > self.config.batch_us:
                self.subscriptions.add_pending(follower.number, call.since, now)
            else:
                self.send_changes(follower, call.since, now)
        elif call.wait_us > 1000:
            self.subscriptions.wait(follower.number, call.since, now + call.wait_us)
        else:
            self.send_changes(follower, -1, now)

    def answer_due(self, now: int) -> None:
        for number, since in self.subscriptions.take_due(now, MAX_BATCH):
            follower = self.followers.get(number)
            if follower is None or follower.state != PENDING:
                continue
            if since >= 0 and not self.store.can_continue(since):
                self.queue_whole_list(follower, now)
            else:
                self.send_changes(follower, since, now)

    def send_changes(self, follower: Follower, since: int, now: int) -> None:
        """The changes from a version on, or with -1 that there are none."""
        self.counters["answers"] += 1
        body = (
            self.store.no_change_answer(follower.interest)
            if since < 0
            else self.store.answer(follower.interest, since)[0]
        )
        self.counters["bytes"] += len(body)
        follower.respond(200, body, now)

    def queue_whole_list(self, follower: Follower, now: int) -> None:
        if not self.whole_list_pacer.admit(follower.number, self.store.whole_size(follower.interest), now):
            self.report_pacing()
            self.counters["refused_whole"] += 1
            self.reject(follower, b"too many whole lists\n", now)

    def reject(self, follower: Follower, why: bytes, now: int) -> None:
        self.counters["refused"] += 1
        follower.respond(503, why, now, TEXT_HEADERS)

    def send_whole_lists(self, now: int) -> None:
        for number in self.whole_list_pacer.take_overdue(now):
            self.report_pacing()
            self.counters["refused_whole"] += 1
            self.reject(self.followers[number], b"too many whole lists\n", now)
        for _ in range(MAX_BATCH):
            turn = self.whole_list_pacer.take_next(now)
            if turn is None:
                break
            follower = self.followers[turn]
            if follower.state != PENDING:
                continue
            body = self.store.answer(follower.interest, -1)[0]
            self.whole_list_pacer.charge(len(body))
            self.counters["whole"] += 1
            self.counters["answers"] += 1
            self.counters["bytes"] += len(body)
            follower.respond(200, body, now)
        if self.whole_list_pacer.queue:
            self.report_pacing()

    def report_pacing(self) -> None:
        if not self.paced:
            self.paced = True
            self.counters["refused_then"] = self.counters["refused_whole"]
            self.log.event(
                "whole_paced",
                waiting=len(self.whole_list_pacer.queue),
                bytes=self.whole_list_pacer.queued_bytes,
                followers=len(self.followers),
            )

    # Origins

    def apply_answer(
        self,
        upstream: Upstream,
        seq: int,
        whole: bool,
        lines: Mapping[str, EncodedServer | None],
        previous_seq: int | None,
        now: int,
    ) -> None:
        """An origin has answered, and is believed; `before` is its version where that has begun anew."""
        name = upstream.region
        upstream.refusal_reported = False
        known = len(self.store.regions[name].entries)
        first = self.store.regions[name].seq < 0
        change = self.store.apply(name, seq, whole, lines)
        if previous_seq is not None:
            self.log.event(
                "origin_restarted", region=name, before=previous_seq, seq=seq, changed=change.servers
            )
        if whole and HALVED_FACTOR * len(lines) < known:
            self.log.event("list_halved", region=name, seq=seq, before=known, servers=len(lines))
        if change.servers:
            self.counters["changes"] += change.servers
            self.counters["concerned"] += self.subscriptions.services_changed(
                change.services, change.version, now
            )
        if first or upstream.loss_reported:
            self.log.event(
                "region_back",
                region=name,
                seq=seq,
                servers=len(self.store.regions[name].entries),
                changed=change.servers,
            )
            upstream.loss_reported = False
        self.update_liveness(upstream, "", now)

    def update_liveness(self, upstream: Upstream, why: str, now: int) -> None:
        origin = upstream.origin
        turned = self.store.set_live(upstream.region, origin.live)
        if turned:
            self.subscriptions.end_waits_soon(now)
        never = origin.seq < 0 and origin.failures >= FAILURES_TO_DISCONNECT
        if not origin.live and not upstream.loss_reported and (turned or never):
            upstream.loss_reported = True
            since = upstream.answered_at or self.started_at
            self.log.event(
                "region_lost",
                region=upstream.region,
                why=why,
                seq=origin.seq,
                silent_s=round((now - since) / 1e6, 3),
                servers=len(self.store.regions[upstream.region].entries),
            )

    def report_refused_list(self, upstream: Upstream, why: str) -> None:
        """A list that can't be meant; told once in a row of failures."""
        self.counters["lists_refused"] += 1
        if not upstream.refusal_reported:
            upstream.refusal_reported = True
            self.log.event(
                "list_refused",
                region=upstream.region,
                why=why,
                seq=upstream.origin.seq,
                servers=len(self.store.regions[upstream.region].entries),
            )

    # All the rest

    def sweep(self, now: int) -> None:
        self.swept_at = now
        self.log.flush()
        for follower in list(self.slow_followers.values()):
            if now - follower.state_since > WRITE_TIMEOUT_US:
                self.close_slow(follower)
        for follower in [*self.followers.values(), *self.admin_connections.values()]:
            if follower.state == READING and now - follower.state_since > REQUEST_TIMEOUT_US:
                # Guards descriptors against those that connect and ask nothing, or vanish without a word.
                self.counters["idle"] += 1
                follower.close()
        if self.full and now > self.last_full_at + FULL_CLEAR_US and len(self.followers) < self.max_followers:
            self.full = False
            self.log.event(
                "followers_room", followers=len(self.followers), refused=self.counters["refused_full"]
            )
        if self.paced and self.whole_list_pacer.is_idle(now):
            self.paced = False
            self.log.event(
                "whole_done",
                followers=len(self.followers),
                refused=self.counters["refused_whole"] - self.counters["refused_then"],
            )

    def handle_admin_request(self, follower: Follower, request: Request, now: int) -> None:
        if request.target.partition("?")[0] != "/stats":
            raise MalformedMessageError(404, "no such call")
        if request.method != "GET":
            raise MalformedMessageError(400, f"{request.method} is not GET")
        follower.keep_alive = False
        follower.respond(200, metrics.render(self, now).encode(), now, TEXT_HEADERS)
