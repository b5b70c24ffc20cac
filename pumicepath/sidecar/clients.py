"""Connections of the application: each has a thread that reads a request, carries it, and reads the next."""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections import Counter
from contextlib import suppress

from ..http1 import writing
from ..http1.messages import Malformed, Request
from ..http1.parsing import MOST_BODY, MOST_HEAD, RequestParser
from ..http1.ring import Ring
from . import answers, clock
from .dispatch import Dispatcher
from .exchange import Exchange
from .servers import start
from .submissions import asked

# Taken off a client's patience for the way to and fro and for threads that wait their turn.
ALLOWANCE = 25_000
LATE = 5_000                # from when a request has waited for its thread
LONGEST_WRITE = struct.pack("ll", 1, 0)
SINK = bytearray(256 * 1024)  # what nobody reads goes there; the kernel does not even copy it

FRESH, PARTIAL, BUSY, IDLE, CLOSING = range(5)
SWEEP = 100_000
SILENT = 2_000_000          # until a connection that has sent nothing is closed
UNFINISHED = 2_000_000      # until a request that has begun must be whole
IDLE_LONG = 15_000_000      # between requests, while there is room
IDLE_SHORT = 300_000        # and while more than a third of it is taken
LINGER = 1_000_000          # for the client to close after we did
# At the bound, from when a connection makes room for a new one: its first bytes are overdue, or it rests.
CROWDED = {FRESH: 50_000, CLOSING: 100_000, IDLE: 100_000, PARTIAL: 1_000_000}
LOOK = 5_000                # between two looks for such connections
EVICTED = 8                 # at a time more than needed, since many come together
SPARE = 24
READY_THREADS = 64          # that wait for the next connection at most
MOST_ERRORS = 3             # in a row, until the connection is closed


class Client:
    def __init__(self, sock: socket.socket, owner: Clients, now: int) -> None:
        self.sock = sock
        self.owner = owner
        self.state = FRESH
        self.since = now
        self.keep = True
        self.errors = 0
        self.chunked = False
        self.answered = threading.Event()
        self.gate = threading.Lock()
        self.outgoing = Ring(MOST_HEAD + MOST_BODY + 1024)

    # -- reading, by the connection's own thread

    def run(self) -> None:
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Guards the thread that answers against a client that does not read.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, LONGEST_WRITE)
            self.read()
            while self.state == CLOSING and self.sock.recv_into(SINK, 0, socket.MSG_TRUNC):
                pass  # guards the answer: closed with bytes unread, it would be lost on its way
        except OSError:
            pass  # the client has broken the connection off
        except Exception as trouble:  # ends this connection only
            self.owner.dispatcher.events.event("fault", text=f"{type(trouble).__name__}: {trouble}")
        finally:
            self.owner.ended(self)
            self.sock.close()

    def read(self) -> None:
        """Until the connection is to be closed."""
        parser = RequestParser()
        told = False
        arrived = 0
        while True:
            try:
                request = parser.next()
            except Malformed as trouble:
                if self.enter(BUSY):
                    self.refuse(trouble, False)
                return
            if request is not None:
                if not self.enter(BUSY):
                    return  # closed between requests: the client sends this one again
                self.serve(request, arrived)
                told = False
                if not self.enter(IDLE if parser.idle() else PARTIAL):
                    return
                continue
            if not told and parser.awaited():
                told = True
                self.sock.sendall(writing.CONTINUE)
            count = self.sock.recv_into(parser.ring.room())
            if not count:
                return
            # The last byte's time is the request's; those that come together have it in common.
            arrived = clock.now()
            parser.ring.wrote(count)
            if self.state != PARTIAL and not self.enter(PARTIAL):
                return

    def enter(self, state: int) -> bool:
        """Go on to a state of the connection, unless it is being closed."""
        with self.gate:
            if self.state == CLOSING:
                return False
            if self.state == FRESH:
                self.owner.fresh.pop(self, None)
            self.state = state
            self.since = clock.now()
        return True

    def serve(self, request: Request, arrived: int) -> None:
        dispatcher = self.owner.dispatcher
        self.keep = request.keeps()
        self.answered.clear()
        if request.target == "/up" and request.method in ("GET", "HEAD"):
            self.answer(answers.READY if dispatcher.balancer.ready else answers.NOT_READY, True)
            return
        config = dispatcher.config
        try:
            what = asked(request, config.tariffs, config.settings.tariffs)
        except Malformed as trouble:
            self.refuse(trouble, True)
            return
        if self.owner.crowded():
            # All connections that the limits allow are in use: nothing went out, so trying again is harmless.
            self.owner.refused["no room"] += 1
            self.answer(answers.deferred(dispatcher.balancer.bound_retry_in(what.tariff)), False)
            return
        if clock.now() - arrived > LATE and self.gone():
            self.enter(CLOSING)  # guards a crowded core: nobody waits for this one any more
            return
        # What was read late was sent early: guards against patience that ends unseen on a crowded core.
        allowance = min(ALLOWANCE, what.patience // 20) + 2 * dispatcher.pace.behind
        exchange = Exchange(self, what.trace, request, arrived + what.patience - allowance, dispatcher)
        try:
            if dispatcher.take(exchange, what.tariff, what.key, what.retry):
                self.errors = 0
                dispatcher.carry(exchange)
                if exchange.left:
                    self.enter(CLOSING)
                else:
                    self.answered.wait()  # by the timers, if patience has ended
            else:
                self.refuse(Malformed(409, "id of a request that is open, or was just now"), True)
        except Exception:
            dispatcher.failed(exchange)
            raise

    def refuse(self, trouble: Malformed, keep: bool) -> None:
        self.owner.refused[str(trouble)] += 1
        self.errors += 1
        # Guards the core against a client that sends the same again as soon as it is told what is wrong.
        self.answer(answers.plain(trouble.status, str(trouble)), keep and self.errors < MOST_ERRORS)

    # -- answering, by whichever thread ended the submission

    def answer(self, answer: answers.Answer, keep: bool) -> None:
        self.keep = keep and self.keep
        self.write(writing.response(*answer, self.keep))
        self.finish()

    def begin(self, answer: answers.Answer, length: int, keep: bool) -> None:
        """The head of an answer that is passed on as it comes; `more` has its body, or `cut` ends it."""
        self.keep = keep and self.keep
        self.chunked = length == writing.CHUNKED
        self.write(writing.response(*answer, self.keep, length))

    def more(self, piece: bytes, last: bool) -> bool:
        """Whether the client still takes it."""
        done = self.write(writing.chunk(piece, last) if self.chunked else piece)
        if last:
            self.finish()
        return done

    def cut(self) -> None:
        """The rest of the answer will not come: the client can tell, as it lacks its end."""
        self.keep = False
        self.finish()

    def write(self, data: bytes) -> bool:
        rest = memoryview(data)
        try:
            while rest:
                rest = rest[self.outgoing.put(rest):]
                while len(self.outgoing):
                    self.outgoing.drop(self.sock.send(self.outgoing.data()))
        except OSError:
            self.keep = False  # gone, or it does not read: what it has is not whole
            return False
        return True

    def finish(self) -> None:
        self.outgoing.rest()
        if not self.keep:
            self.enter(CLOSING)
            self.shut(socket.SHUT_WR)
        self.answered.set()

    def gone(self) -> bool:
        """Whether the client has closed its connection, as far as that has come."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True

    # -- closing, by other threads

    def expire(self, state: int) -> bool:
        """Close the connection if it is still in that state."""
        with self.gate:
            if self.state != state:
                return False
            self.state = CLOSING
            self.since = clock.now()
        if state == PARTIAL:
            self.owner.refused["unfinished"] += 1
            late = answers.plain(408, "unfinished")
            with suppress(OSError):
                self.sock.send(writing.response(*late, False), socket.MSG_DONTWAIT)
            self.shut(socket.SHUT_WR)
        else:
            self.shut(socket.SHUT_RDWR)
        return True

    def shut(self, how: int) -> None:
        with suppress(OSError):  # the client was first
            self.sock.shutdown(how)


class Clients:
    """The listener and all connections it has accepted."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        config = dispatcher.config
        self.dispatcher = dispatcher
        self.most = config.from_clients
        self.open: dict[Client, None] = {}
        self.fresh: dict[Client, None] = {}  # those that have sent nothing yet, the oldest first
        self.refused: Counter[str] = Counter()
        self.gate = threading.Lock()
        self.ready = 1
        self.looked = 0
        family = socket.AF_INET6 if ":" in config.listen.host else socket.AF_INET
        self.listener = socket.socket(family, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(config.listen)
        self.listener.listen(1024)

    def run(self) -> None:
        """Accept a connection, see it through, and accept the next; enough threads stand ready to accept.

        Guards a busy core: a thread begun for each connection would have to be waited for each time.
        """
        while True:
            sock = self.accept()
            if sock is None:
                return
            with self.gate:
                self.ready -= 1
                more = self.ready < 1
                self.ready += more
            if more:
                try:
                    start(self.run)
                except RuntimeError as trouble:  # those there are go on; the next that ends accepts again
                    self.dispatcher.events.event("fault", text=f"no thread for a client: {trouble}")
                    with self.gate:
                        self.ready -= 1
            client = Client(sock, self, clock.now())
            self.open[client] = self.fresh[client] = None
            if len(self.open) >= self.most or len(self.fresh) > self.most // 3:
                self.make_room()
            client.run()
            with self.gate:
                if self.ready >= READY_THREADS:
                    return
                self.ready += 1

    def accept(self) -> socket.socket | None:
        while True:
            while len(self.open) >= self.most + SPARE:
                self.make_room()
                time.sleep(0.005)  # new ones wait in the listener's queue
            try:
                return self.listener.accept()[0]
            except OSError as trouble:
                if self.listener.fileno() < 0:
                    return None
                self.dispatcher.events.event("accept_failed", text=str(trouble))
                self.make_room()
                time.sleep(0.01)  # out of descriptors or memory: others must end first

    def ended(self, client: Client) -> None:
        self.open.pop(client, None)
        self.fresh.pop(client, None)

    def crowded(self) -> bool:
        return len(self.open) - len(self.fresh) > self.most

    def make_room(self) -> None:
        """Close what is least missed: the silent first, then what is closing anyway, then what rests.

        Guards against clients that connect by hundreds and say nothing, or ask once and stay.  A fresh
        connection is not taken for a silent one at once: its first submission may be on the way and would be
        lost, while a client sends again what crosses the closing of a connection it has used.
        """
        now = clock.now()
        if now - self.looked < LOOK:
            return  # guards the core against looking through all of them for each new one
        self.looked = now
        overdue: list[tuple[bool, int, int, int, Client]] = []
        for client in list(self.open):
            state, since = client.state, client.since
            if now - since >= CROWDED.get(state, now):
                overdue.append((state not in (FRESH, CLOSING), since, len(overdue), state, client))
        for *_, state, client in sorted(overdue)[:max(0, len(self.open) - self.most) + EVICTED]:
            client.expire(state)

    def close_idle(self) -> None:
        before = clock.now() - CROWDED[FRESH]
        for client in list(self.open):
            if client.state == IDLE or client.state == FRESH and client.since <= before:
                client.expire(client.state)

    def woke(self, now: int) -> None:
        """Look for connections whose time is up."""
        self.dispatcher.after.append(self.sweep)
        self.dispatcher.wake(now + SWEEP, self)

    def sweep(self) -> None:
        # Guards clients whose own connections are used up by those among them that ask once and stay.
        now = clock.now()
        idle = IDLE_LONG if len(self.open) <= self.most // 3 else IDLE_SHORT
        longest = {FRESH: SILENT, PARTIAL: UNFINISHED, IDLE: idle, CLOSING: LINGER}
        for client in list(self.open):
            state = client.state
            if now - client.since >= longest.get(state, now):
                client.expire(state)
