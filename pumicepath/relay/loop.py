"""The relay's single thread: a selector loop for its listeners, followers, operators and origins.

    relay = Relay(config, log, version, random_fraction)
    relay.run()     # until relay.stop is set by a signal handler

A loop instead of a thread for each follower: there are thousands of followers, nearly all of them waiting. A
thread each would cost memory, and a change for all of them as many context switches. The platform's rule on
threads applies to the program that `run` starts, which the relay is not part of.
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
RESERVED_DESCRIPTORS = 24  # for listeners, the selector, files and operators; two more for each origin
MAX_BATCH = 256  # answers, or connections accepted, before the loop attends to everything else
MAX_UNSENT_BYTES = 32 << 20  # that sockets have not taken, of all followers together
MIN_ITERATION_US = 10_000  # least time between two iterations while nothing is queued
SWEEP_INTERVAL_US = 250_000  # between two searches for connections that have timed out
REQUEST_TIMEOUT_US = 3_000_000  # from a connection's start, or an answer, until the next complete request
SILENT_AFTER_US = 1_000_000  # the same, where places are scarce: a follower asks as soon as it is answered
EVICTION_INTERVAL_US = 50_000  # between two searches for such followers
WRITE_TIMEOUT_US = 3_000_000  # from an answer's first byte until the socket has taken the last
FULL_CLEAR_US = 1_000_000  # without a rejected connection, until the relay no longer counts as full
LATE_ITERATION_US = 400_000  # past its timer, an iteration counts as late: the process was stalled
FULL_RESPONSE = writing.response(503, [], b"", keep_alive=False)
HALVED_FACTOR = 2  # a new list with fewer than 1 in 2 of the servers before is logged


class Relay:
    """The state of a relay and its loop.

    `version` is the first version of the list, taken from the clock to be above those of earlier processes;
    `random_fraction` draws from 0 to 1. All times are microseconds of the relay's clock. Raises OSError if an
    address can't be listened at.
    """

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
        self.slow_followers: dict[int, Follower] = {}  # with unsent bytes, the first to fall behind first
        self.unsent_bytes = 0
        self.resume_queue: deque[Follower | Upstream] = deque()
        self.counters: Counter[str] = Counter()
        self.last_number = 0
        self.stop = False
        self.full = self.paced = False
        self.last_full_at = 0
        self.swept_at = self.evicted_at = 0
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        spare = descriptors - RESERVED_DESCRIPTORS - MAX_ADMIN_CONNECTIONS - 2 * len(config.sources)
        # Followers must not use up the descriptors that connections to origins need.
        self.max_followers = max(1, min(config.max_followers, spare))
        self.listener = open_listener(config.listen)
        self.selector.register(self.listener, selectors.EVENT_READ, self.accept_followers)
        self.admin_listener = None if config.admin is None else open_listener(config.admin)
        if self.admin_listener is not None:
            self.selector.register(self.admin_listener, selectors.EVENT_READ, self.accept_admin)
        self.upstreams = [
            Upstream(region, address, Origin(region, random_fraction), self)
            for region, address in config.sources.items()
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
        """Serve until `stop` is set."""
        while not self.stop:
            now = now_us()
            at = max(now, min(self.next_timer(now), self.swept_at + SWEEP_INTERVAL_US))
            ready = self.selector.select((at - now) / 1e6)
            if not ready:
                # A wait that SIGSTOP interrupts returns nothing, whatever has arrived until SIGCONT.
                ready = self.selector.select(0)
            now = now_us()
            self.counters["turns"] += 1
            self.counters["late"] += now > at + LATE_ITERATION_US
            # Origins first, and their timeouts before the data received: after this process was stalled, an
            # answer in the socket may be as old as the stall, and must not prove that a region is in touch.
            for upstream in self.upstreams:
                upstream.on_timer(now)
            for key, mask in ready:
                if isinstance(key.data, Upstream) and key.fileobj is key.data.sock:
                    self.handle_io_safely(key.data, mask, now)
            for key, mask in ready:
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
                # Requests that arrive meanwhile are handled together. Without the pause each of them, and a
                # listener whose connections can't be accepted, would cost an iteration of its own.
                time.sleep(max(0, now + MIN_ITERATION_US - now_us()) / 1e6)
        self.log.event(
            "stopped",
            after_s=round((now_us() - self.started_at) / 1e6, 3),
            followers=len(self.followers),
            answers=self.counters["answers"],
        )
        self.log.flush()

    def handle_io_safely(self, peer: Follower | Upstream, mask: int, now: int) -> None:
        """Handle one connection; an exception closes it alone, logged as an internal fault."""
        try:
            peer.handle_io(mask, now)
        except Exception as error:
            self.counters["faults"] += 1
            self.log.event(
                "fault",
                text=f"{type(error).__name__}: {error}",
                whose=peer.region if isinstance(peer, Upstream) else "follower",
            )
            if isinstance(peer, Upstream):
                peer.fail(now, "fault")
            else:
                peer.close()

    def next_timer(self, now: int) -> int:
        """When the loop has to act next if nothing is received."""
        if self.resume_queue:
            return 0
        return min(
            self.subscriptions.next_timer(),
            self.whole_list_pacer.next_timer(now),
            *(upstream.due_at for upstream in self.upstreams),
        )

    # Followers

    def accept_followers(self, now: int) -> None:
        """Accept connections of followers; those beyond the limit are answered 503 and closed."""
        for _ in range(MAX_BATCH):
            sock = self.accept_one(self.listener, now)
            if sock is None:
                return
            if len(self.followers) >= self.max_followers:
                self.evict_silent(now)
            if len(self.followers) >= self.max_followers:
                self.counters["refused_full"] += 1
                self.report_full(now, f"{self.max_followers} followers")
                # Answered at once: the follower would otherwise wait on a connection that is never served.
                send_best_effort(sock, FULL_RESPONSE)
                sock.close()
                continue
            self.add_connection(sock, now, self.followers)

    def evict_silent(self, now: int) -> None:
        """Close followers that have sent no whole request for a while, as others wait for their places.

        Clients that connect and stop within a request would otherwise keep followers out until they time out.
        """
        if now - self.evicted_at < EVICTION_INTERVAL_US:
            return
        self.evicted_at = now
        for follower in list(self.followers.values()):
            if follower.state == READING and now - follower.state_since >= SILENT_AFTER_US:
                self.counters["idle"] += 1
                follower.close()

    def accept_admin(self, now: int) -> None:
        """Accept a connection of an operator; at the limit the oldest one is closed for it."""
        assert self.admin_listener is not None
        sock = self.accept_one(self.admin_listener, now)
        if sock is not None:
            if len(self.admin_connections) >= MAX_ADMIN_CONNECTIONS:
                next(iter(self.admin_connections.values())).close()
            self.add_connection(sock, now, self.admin_connections)

    def accept_one(self, listener: socket.socket, now: int) -> socket.socket | None:
        """The next connection; None if there is none or no descriptor for it."""
        try:
            return listener.accept()[0]
        except (BlockingIOError, ConnectionAbortedError):
            return None
        except OSError as error:
            self.report_full(now, str(error))  # no descriptor or memory: tried again in the next iteration
            return None

    def report_full(self, now: int, why: str) -> None:
        """Log that connections are rejected, once until there is capacity again."""
        self.last_full_at = now
        if not self.full:
            self.full = True
            self.log.event("followers_full", followers=len(self.followers), why=why)

    def add_connection(self, sock: socket.socket, now: int, connections: dict[int, Follower]) -> None:
        """Serve an accepted connection of a follower or an operator."""
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.last_number += 1
        follower = Follower(self.last_number, sock, self, now, admin=connections is self.admin_connections)
        connections[self.last_number] = follower
        self.selector.register(sock, selectors.EVENT_READ, follower)

    def remove_connection(self, follower: Follower) -> None:
        """Forget a connection that is being closed."""
        self.followers.pop(follower.number, None)
        self.admin_connections.pop(follower.number, None)
        self.subscriptions.leave(follower.number)
        self.whole_list_pacer.leave(follower.number)
        if self.slow_followers.pop(follower.number, None) is not None and follower.unsent is not None:
            self.unsent_bytes -= len(follower.unsent)
            follower.unsent = None
        self.selector.unregister(follower.sock)

    def add_slow(self, follower: Follower, size: int) -> None:
        """Note a follower whose socket has not taken `size` bytes of an answer."""
        self.unsent_bytes += size
        self.slow_followers[follower.number] = follower
        while self.unsent_bytes > MAX_UNSENT_BYTES:
            # Bounds the memory that followers take which send requests and do not read the answers.
            self.close_slow(next(iter(self.slow_followers.values())))

    def close_slow(self, follower: Follower) -> None:
        """Close the connection of a follower that reads too slowly."""
        self.counters["cut_slow"] += 1
        follower.close()

    def handle_request(self, follower: Follower, request: Request, now: int) -> None:
        """Answer a request, or keep it until there is a change.

        Raises MalformedMessageError for an invalid one.
        """
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
        """Answer followers for which there are changes, or whose wait is over."""
        for number, since in self.subscriptions.take_due(now, MAX_BATCH):
            follower = self.followers.get(number)
            if follower is None or follower.state != PENDING:
                continue
            if since >= 0 and not self.store.can_continue(since):
                self.queue_whole_list(follower, now)
            else:
                self.send_changes(follower, since, now)

    def send_changes(self, follower: Follower, since: int, now: int) -> None:
        """Answer with the changes after a version, or with none for -1."""
        self.counters["answers"] += 1
        body = (
            self.store.no_change_answer(follower.interest)
            if since < 0
            else self.store.answer(follower.interest, since)[0]
        )
        self.counters["bytes"] += len(body)
        follower.respond(200, body, now)

    def queue_whole_list(self, follower: Follower, now: int) -> None:
        """Queue a whole list under the rate limit; 503 if the queue is too long."""
        if not self.whole_list_pacer.admit(follower.number, self.store.whole_size(follower.interest), now):
            self.report_pacing()
            self.counters["refused_whole"] += 1
            self.reject(follower, b"too many whole lists\n", now)

    def reject(self, follower: Follower, why: bytes, now: int) -> None:
        """Answer 503; the follower may try again."""
        self.counters["refused"] += 1
        follower.respond(503, why, now, TEXT_HEADERS)

    def send_whole_lists(self, now: int) -> None:
        """Send queued whole lists as the rate limit allows, and reject those that waited too long."""
        for number in self.whole_list_pacer.take_overdue(now):
            self.report_pacing()
            self.counters["refused_whole"] += 1
            self.reject(self.followers[number], b"too many whole lists\n", now)
        for _ in range(MAX_BATCH):
            next_number = self.whole_list_pacer.take_next(now)
            if next_number is None:
                break
            follower = self.followers[next_number]
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
        """Log that whole lists are delayed by the rate limit, once until the queue has been served."""
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
        """Apply an accepted answer of an origin.

        `previous_seq` is the origin's version before if it has restarted with new versions, else None.
        """
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
        """Publish whether a region is in touch with its origin, and log once that it is lost."""
        origin = upstream.origin
        changed = self.store.set_live(upstream.region, origin.live)
        if changed:
            self.subscriptions.end_waits_soon(now)
        never_reached = origin.seq < 0 and origin.failures >= FAILURES_TO_DISCONNECT
        if not origin.live and not upstream.loss_reported and (changed or never_reached):
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
        """Log a list that was not accepted, once in a row of failures."""
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

    # Everything else

    def sweep(self, now: int) -> None:
        """Close connections that have timed out, and log the end of overload."""
        self.swept_at = now
        self.log.flush()
        for follower in list(self.slow_followers.values()):
            if now - follower.state_since > WRITE_TIMEOUT_US:
                self.close_slow(follower)
        for follower in [*self.followers.values(), *self.admin_connections.values()]:
            if follower.state == READING and now - follower.state_since > REQUEST_TIMEOUT_US:
                # Clients that connect and send no request, or vanish without closing, would keep descriptors.
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
        """Answer an operator's request with the metrics.

        Raises MalformedMessageError for any other than `/stats`.
        """
        if request.target.partition("?")[0] != "/stats":
            raise MalformedMessageError(404, "no such call")
        if request.method != "GET":
            raise MalformedMessageError(400, f"{request.method} is not GET")
        follower.keep_alive = False
        follower.respond(200, metrics.render(self, now).encode(), now, TEXT_HEADERS)
