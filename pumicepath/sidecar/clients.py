"""Connections of the application: each has a thread that reads; whoever ends a submission answers."""

from __future__ import annotations

import socket
import struct
import threading
from contextlib import suppress

from ..discovery.roster import stable
from ..http1 import writing
from ..http1.messages import Malformed, Request
from ..http1.parsing import MOST_BODY, MOST_HEAD, RequestParser
from ..http1.ring import Ring
from . import answers, clock
from .dispatch import Dispatcher
from .exchange import Exchange
from .servers import start

# Taken off a client's patience for the way to and fro and for threads that wait their turn.
ALLOWANCE = 25_000
LONGEST_WRITE = struct.pack("ll", 5, 0)
LINGER = 1_000_000
IDLE_ENOUGH = 1_000_000
SPARE = 24


class Client:
    def __init__(self, sock: socket.socket, owner: Clients, spare: bool) -> None:
        self.sock = sock
        self.owner = owner
        self.spare = spare
        self.current: Exchange | None = None
        self.keep = True
        self.answered = threading.Event()
        self.gate = threading.Lock()
        self.closing_at = 0
        self.busy = False
        self.used = False
        self.idle_since = clock.now()
        self.outgoing = Ring(MOST_HEAD + MOST_BODY + 1024)

    # -- reading, by the connection's own thread

    def run(self) -> None:
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Guards the thread that answers against a client that does not read.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, LONGEST_WRITE)
            self.read()
        except OSError:
            pass  # the client has broken the connection off
        except Exception as trouble:  # ends this connection only
            self.owner.dispatcher.events.event("fault", text=f"{type(trouble).__name__}: {trouble}")
            if self.current is not None:
                self.owner.dispatcher.failed(self.current)
        finally:
            if self.current is not None:
                self.owner.dispatcher.left(self.current)
            self.owner.ended(self)
            self.sock.close()

    def read(self) -> None:
        parser = RequestParser()
        told = False
        arrived = 0
        while True:
            if self.current is not None and self.answered.is_set():
                self.current = None
            if self.current is None and not self.closing_at:
                try:
                    request = parser.next()
                except Malformed as trouble:
                    self.answer(answers.plain(trouble.status, str(trouble)), False)
                    request = None
                if request is not None:
                    with self.gate:
                        if self.closing_at:
                            return  # closed between requests: the client sends this one again
                        self.busy = True
                    told = False
                    self.serve(request, arrived)
                    arrived = clock.now() if not parser.idle() else 0
                    continue
                if parser.awaited() and not told:
                    told = True
                    self.sock.sendall(writing.CONTINUE)
            if self.current is not None and not parser.idle():
                # More of the client's came along and waits for this answer; no byte need come after it.
                self.answered.wait()
                continue
            count = self.sock.recv_into(parser.ring.room())
            if not count:
                return
            parser.ring.wrote(count)
            arrived = arrived or clock.now()
            if self.closing_at:
                parser.ring.drop(len(parser.ring))

    def serve(self, request: Request, arrived: int) -> None:
        dispatcher = self.owner.dispatcher
        self.keep = request.keeps() and not self.spare
        self.answered.clear()
        if request.target == "/up" and request.method in ("GET", "HEAD"):
            self.answer(answers.READY if dispatcher.balancer.ready else answers.NOT_READY, True)
            return
        if self.spare:
            # All connections that the limits allow are in use: nothing went out, so trying again is harmless.
            self.answer(answers.deferred(0), False)
            return
        tariff = dispatcher.config.tariffs.get(request.header("X-Qos"))
        if tariff is None:
            self.answer(answers.plain(400, "no such class"), True)
            return
        patience = dispatcher.config.settings.tariffs[tariff].patience
        expires = request.header("X-Expires-In-Ms")
        if expires.isascii() and expires.isdigit():
            patience = min(int(expires) * 1000, 24 * 3600 * 1_000_000)
        # What was read late was sent early: guards against patience that ends unseen on a crowded core.
        allowance = min(ALLOWANCE, patience // 20) + 2 * dispatcher.pace.behind
        until = arrived + patience - allowance
        key = request.header("X-Object")
        retry = request.header("X-Second-Try") == "1"
        self.current = Exchange(self, request, until, dispatcher)
        dispatcher.take(self.current, tariff, stable(key) if key else 0, retry)

    # -- answering, by whichever thread ended the submission

    def answer(self, answer: answers.Answer, keep: bool) -> None:
        keep = keep and self.keep
        data = writing.response(answer.status, answer.headers, answer.body, keep)
        try:
            self.outgoing.put(data)
            while len(self.outgoing):
                self.outgoing.drop(self.sock.send(self.outgoing.data()))
        except OSError:
            keep = False  # gone, or it does not read: what it has is not whole
        self.idle_since = clock.now()
        self.used = True
        self.busy = False
        if not keep:
            self.close()
        self.answered.set()

    def close(self) -> None:
        """End our sending; the reader goes on until the client has closed too, or the sweep ends it."""
        self.closing_at = self.closing_at or clock.now()
        self.shut(socket.SHUT_WR)

    def close_if_idle(self) -> bool:
        with self.gate:
            if self.busy or self.closing_at:
                return False
            self.closing_at = clock.now()
        self.shut(socket.SHUT_WR)
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
        self.places = threading.Semaphore(self.most + SPARE)
        family = socket.AF_INET6 if ":" in config.listen.host else socket.AF_INET
        self.listener = socket.socket(family, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(config.listen)
        self.listener.listen(1024)

    def run(self) -> None:
        while True:
            self.places.acquire()
            try:
                sock, _ = self.listener.accept()
            except OSError as trouble:
                self.places.release()
                if self.listener.fileno() < 0:
                    return
                self.dispatcher.events.event("accept_failed", text=str(trouble))
                threading.Event().wait(0.01)  # out of descriptors or memory: others must end first
                continue
            client = Client(sock, self, len(self.open) >= self.most and not self.drop_idle())
            self.open[client] = None
            try:
                start(client.run)
            except RuntimeError as trouble:
                self.dispatcher.events.event("fault", text=f"no thread for a client: {trouble}")
                self.ended(client)
                sock.close()

    def ended(self, client: Client) -> None:
        if client in self.open:
            del self.open[client]
            self.places.release()

    def drop_idle(self) -> bool:
        """Make room by closing the connection that has been idle longest.

        Guards against a fresh connection being taken for an idle one: its first submission is on the way
        and would be lost, while a client sends again what crosses the closing of a connection it has used.
        """
        before = clock.now() - IDLE_ENOUGH
        idle = [client for client in list(self.open) if client.used and client.idle_since <= before]
        waiting = sorted(idle, key=lambda client: client.idle_since)
        return any(client.close_if_idle() for client in waiting[:3])

    def close_idle(self) -> None:
        for client in list(self.open):
            client.close_if_idle()

    def woke(self, now: int) -> None:
        """End connections whose clients do not close them after we did."""
        for client in list(self.open):
            if client.closing_at and now - client.closing_at >= LINGER:
                client.shut(socket.SHUT_RDWR)
        self.dispatcher.wake(now + LINGER // 2, self)
