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

from ..distribution.held import Held, Line
from ..distribution.origins import FAILURES, Origin
from ..distribution.pace import Pace
from ..distribution.subscriptions import Subscriptions
from ..http1 import writing
from ..http1.messages import MalformedMessageError, Request
from . import figures
from .clock import clock
from .config import Config
from .followers import OUT, READING, TEXT, Follower, call_of
from .listeners import listening, named, send
from .log import Log
from .upstreams import Upstream

MOST_OPERATORS = 16
KEPT_BACK = 24  # descriptors for listeners, the loop, files, operators; and two for each origin
MOST_AT_ONCE = 256  # answers, and connections taken, between two looks at all the rest
MOST_UNSENT = 32 << 20  # bytes that sockets have not taken, of all followers together
TURN = 10_000  # between two looks at what has come, at least
SWEEP = 250_000  # between two looks for connections whose time is up
UNFINISHED = 3_000_000  # from a connection, or from an answer, until the next call is whole
WRITTEN = 3_000_000  # from an answer's first byte until its socket has taken the last
FULL_FOR = 1_000_000  # without one turned away, until there is room again
LATE = 400_000  # a loop that comes so late has stood still
FULL = writing.response(503, [], b"", keep_alive=False)
HALF = 2  # a list with less than one in so many left is told in the log


class Relay:
    def __init__(self, config: Config, log: Log, version: int, share: Callable[[], float]) -> None:
        self.config = config
        self.log = log
        self.share = share
        self.held = Held(version, config.sources, config.history_changes)
        self.subscriptions = Subscriptions(config.batch, share)
        self.pace = Pace(config.whole_bytes_per_s)
        self.selector = selectors.DefaultSelector()
        self.followers: dict[int, Follower] = {}
        self.operators: dict[int, Follower] = {}
        self.slowed: dict[int, Follower] = {}  # those with unsent bytes, the first to fall behind first
        self.unsent = 0
        self.again: deque[Follower | Upstream] = deque()
        self.counts: Counter[str] = Counter()
        self.numbers = 0
        self.stop = False
        self.full = self.paced = False
        self.full_at = 0
        self.swept = 0
        descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        spare = descriptors - KEPT_BACK - MOST_OPERATORS - 2 * len(config.sources)
        # Guards the connections to origins against followers that take all descriptors.
        self.most = max(1, min(config.most_followers, spare))
        self.listener = listening(config.listen)
        self.selector.register(self.listener, selectors.EVENT_READ, self.accept)
        self.admin = None if config.admin is None else listening(config.admin)
        if self.admin is not None:
            self.selector.register(self.admin, selectors.EVENT_READ, self.accept_operator)
        self.upstreams = [
            Upstream(region, where, Origin(region, share), self) for region, where in config.sources.items()
        ]
        self.started = clock()
        log.event(
            "started",
            listen=named(self.listener),
            admin=named(self.admin),
            most_followers=self.most,
            regions=list(config.sources),
            version=version,
        )

    def run(self) -> None:
        while not self.stop:
            now = clock()
            at = max(now, min(self.next_at(now), self.swept + SWEEP))
            found = self.selector.select((at - now) / 1e6)
            now = clock()
            self.counts["turns"] += 1
            self.counts["late"] += now > at + LATE
            # Origins first, and their silence before what came of them meanwhile: guards followers against
            # being told that a region is in touch by word as old as this process stood still.
            for upstream in self.upstreams:
                upstream.woke(now)
            for key, mask in found:
                if isinstance(key.data, Upstream) and key.fileobj is key.data.sock:
                    self.guarded(key.data, mask, now)
            for key, mask in found:
                if isinstance(key.data, Follower):
                    self.guarded(key.data, mask, now)
                elif not isinstance(key.data, Upstream):
                    key.data(now)
            for _ in range(min(MOST_AT_ONCE, len(self.again))):
                self.guarded(self.again.popleft(), 0, now)
            self.answer_due(now)
            self.whole_lists(now)
            if now >= self.swept + SWEEP:
                self.sweep(now)
            if not self.again and not self.subscriptions.ready:
                # Guards the core against a turn for each call, and against a listener that can't be accepted
                # from: what comes meanwhile is taken up together.
                time.sleep(max(0, now + TURN - clock()) / 1e6)
        self.log.event(
            "stopped",
            after_s=round((clock() - self.started) / 1e6, 3),
            followers=len(self.followers),
            answers=self.counts["answers"],
        )
        self.log.flush()

    def guarded(self, peer: Follower | Upstream, mask: int, now: int) -> None:
        """Guards all others against a fault of our own that what one of them sent brings out."""
        try:
            peer.ready(mask, now)
        except Exception as trouble:
            self.counts["faults"] += 1
            self.log.event(
                "fault",
                text=f"{type(trouble).__name__}: {trouble}",
                whose=peer.region if isinstance(peer, Upstream) else "follower",
            )
            if isinstance(peer, Upstream):
                peer.failed(now, "fault")
            else:
                peer.close()

    def next_at(self, now: int) -> int:
        if self.again:
            return 0
        return min(
            self.subscriptions.next_at(),
            self.pace.next_at(now),
            *(upstream.at for upstream in self.upstreams),
        )

    # Followers

    def accept(self, now: int) -> None:
        for _ in range(MOST_AT_ONCE):
            sock = self.take(self.listener, now)
            if sock is None:
                return
            if len(self.followers) >= self.most:
                self.counts["refused_full"] += 1
                self.is_full(now, f"{self.most} followers")
                # At once: guards a follower against a connection that is taken and never served.
                send(sock, FULL)
                sock.close()
                continue
            self.admit(sock, now, self.followers)

    def accept_operator(self, now: int) -> None:
        assert self.admin is not None
        sock = self.take(self.admin, now)
        if sock is not None:
            if len(self.operators) >= MOST_OPERATORS:
                next(iter(self.operators.values())).close()
            self.admit(sock, now, self.operators)

    def take(self, listener: socket.socket, now: int) -> socket.socket | None:
        try:
            return listener.accept()[0]
        except (BlockingIOError, ConnectionAbortedError):
            return None
        except OSError as trouble:
            self.is_full(now, str(trouble))  # no descriptor or memory: tried again at the next turn
            return None

    def is_full(self, now: int, why: str) -> None:
        self.full_at = now
        if not self.full:
            self.full = True
            self.log.event("followers_full", followers=len(self.followers), why=why)

    def admit(self, sock: socket.socket, now: int, among: dict[int, Follower]) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.numbers += 1
        follower = Follower(self.numbers, sock, self, now, admin=among is self.operators)
        among[self.numbers] = follower
        self.selector.register(sock, selectors.EVENT_READ, follower)

    def gone(self, follower: Follower) -> None:
        self.followers.pop(follower.number, None)
        self.operators.pop(follower.number, None)
        self.subscriptions.leave(follower.number)
        self.pace.leave(follower.number)
        if self.slowed.pop(follower.number, None) is not None and follower.unsent is not None:
            self.unsent -= len(follower.unsent)
            follower.unsent = None
        self.selector.unregister(follower.sock)

    def slow(self, follower: Follower, size: int) -> None:
        """Its socket has not taken all of an answer."""
        self.unsent += size
        self.slowed[follower.number] = follower
        while self.unsent > MOST_UNSENT:
            # Guards the memory against followers that ask and do not read.
            self.cut(next(iter(self.slowed.values())))

    def cut(self, follower: Follower) -> None:
        self.counts["cut_slow"] += 1
        follower.close()

    def called(self, follower: Follower, request: Request, now: int) -> None:
        """Raises Malformed for what is no call."""
        if follower.admin:
            self.operator(follower, request, now)
            return
        call = call_of(request)
        self.counts["calls"] += 1
        if not self.held.known():
            self.refuse(follower, b"no list yet\n", now)
            return
        follower.interest = call.interest
        self.subscriptions.join(follower.number, call.interest)
        if not self.held.continues(call.since):
            self.want_whole(follower, now)
        elif call.since < self.held.turn:
            self.told(follower, call.since, now)
        elif self.held.concerned(call.interest, call.since):
            if call.wait > self.config.batch:
                self.subscriptions.due_soon(follower.number, call.since, now)
            else:
                self.told(follower, call.since, now)
        elif call.wait > 1000:
            self.subscriptions.wait(follower.number, call.since, now + call.wait)
        else:
            self.told(follower, -1, now)

    def answer_due(self, now: int) -> None:
        for number, since in self.subscriptions.due(now, MOST_AT_ONCE):
            follower = self.followers.get(number)
            if follower is None or follower.state != OUT:
                continue
            if since >= 0 and not self.held.continues(since):
                self.want_whole(follower, now)
            else:
                self.told(follower, since, now)

    def told(self, follower: Follower, since: int, now: int) -> None:
        """The changes from a version on, or with -1 that there are none."""
        self.counts["answers"] += 1
        body = (
            self.held.nothing(follower.interest)
            if since < 0
            else self.held.answer(follower.interest, since)[0]
        )
        self.counts["bytes"] += len(body)
        follower.tell(200, body, now)

    def want_whole(self, follower: Follower, now: int) -> None:
        if not self.pace.admit(follower.number, self.held.size(follower.interest), now):
            self.is_paced()
            self.counts["refused_whole"] += 1
            self.refuse(follower, b"too many whole lists\n", now)

    def refuse(self, follower: Follower, why: bytes, now: int) -> None:
        self.counts["refused"] += 1
        follower.tell(503, why, now, TEXT)

    def whole_lists(self, now: int) -> None:
        for number in self.pace.overdue(now):
            self.is_paced()
            self.counts["refused_whole"] += 1
            self.refuse(self.followers[number], b"too many whole lists\n", now)
        for _ in range(MOST_AT_ONCE):
            turn = self.pace.turn(now)
            if turn is None:
                break
            follower = self.followers[turn]
            if follower.state != OUT:
                continue
            body = self.held.answer(follower.interest, -1)[0]
            self.pace.spent(len(body))
            self.counts["whole"] += 1
            self.counts["answers"] += 1
            self.counts["bytes"] += len(body)
            follower.tell(200, body, now)
        if self.pace.queue:
            self.is_paced()

    def is_paced(self) -> None:
        if not self.paced:
            self.paced = True
            self.counts["refused_then"] = self.counts["refused_whole"]
            self.log.event(
                "whole_paced",
                waiting=len(self.pace.queue),
                bytes=self.pace.queued,
                followers=len(self.followers),
            )

    # Origins

    def taken(
        self,
        upstream: Upstream,
        seq: int,
        whole: bool,
        lines: Mapping[str, Line | None],
        before: int | None,
        now: int,
    ) -> None:
        """An origin has answered, and is believed; `before` is its version where that has begun anew."""
        name = upstream.region
        upstream.refused = False
        known = len(self.held.regions[name].lines)
        first = self.held.regions[name].seq < 0
        change = self.held.take(name, seq, whole, lines)
        if before is not None:
            self.log.event("origin_restarted", region=name, before=before, seq=seq, changed=change.servers)
        if whole and HALF * len(lines) < known:
            self.log.event("list_halved", region=name, seq=seq, before=known, servers=len(lines))
        if change.servers:
            self.counts["changes"] += change.servers
            self.counts["concerned"] += self.subscriptions.changed(change.services, change.version, now)
        if first or upstream.lost:
            self.log.event(
                "region_back",
                region=name,
                seq=seq,
                servers=len(self.held.regions[name].lines),
                changed=change.servers,
            )
            upstream.lost = False
        self.turned(upstream, "", now)

    def turned(self, upstream: Upstream, why: str, now: int) -> None:
        origin = upstream.origin
        turned = self.held.turned(upstream.region, origin.live)
        if turned:
            self.subscriptions.turned(now)
        never = origin.seq < 0 and origin.failures >= FAILURES
        if not origin.live and not upstream.lost and (turned or never):
            upstream.lost = True
            since = upstream.since or self.started
            self.log.event(
                "region_lost",
                region=upstream.region,
                why=why,
                seq=origin.seq,
                silent_s=round((now - since) / 1e6, 3),
                servers=len(self.held.regions[upstream.region].lines),
            )

    def refused(self, upstream: Upstream, why: str) -> None:
        """A list that can't be meant; told once in a row of failures."""
        self.counts["lists_refused"] += 1
        if not upstream.refused:
            upstream.refused = True
            self.log.event(
                "list_refused",
                region=upstream.region,
                why=why,
                seq=upstream.origin.seq,
                servers=len(self.held.regions[upstream.region].lines),
            )

    # All the rest

    def sweep(self, now: int) -> None:
        self.swept = now
        self.log.flush()
        for follower in list(self.slowed.values()):
            if now - follower.at > WRITTEN:
                self.cut(follower)
        for follower in [*self.followers.values(), *self.operators.values()]:
            if follower.state == READING and now - follower.at > UNFINISHED:
                # Guards descriptors against those that connect and ask nothing, or vanish without a word.
                self.counts["idle"] += 1
                follower.close()
        if self.full and now > self.full_at + FULL_FOR and len(self.followers) < self.most:
            self.full = False
            self.log.event(
                "followers_room", followers=len(self.followers), refused=self.counts["refused_full"]
            )
        if self.paced and self.pace.rested(now):
            self.paced = False
            self.log.event(
                "whole_done",
                followers=len(self.followers),
                refused=self.counts["refused_whole"] - self.counts["refused_then"],
            )

    def operator(self, follower: Follower, request: Request, now: int) -> None:
        if request.target.partition("?")[0] != "/stats":
            raise MalformedMessageError(404, "no such call")
        if request.method != "GET":
            raise MalformedMessageError(400, f"{request.method} is not GET")
        follower.keep = False
        follower.tell(200, figures.written(self, now).encode(), now, TEXT)
