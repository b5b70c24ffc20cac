"""The listener, all connections of the application, and how long each may do what it does."""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter

from . import arrival, clock, upload
from .client import BUSY, CLOSING, FRESH, IDLE, LAST, PARTIAL, Client
from .config import Config
from .dispatch import Dispatcher
from .servers import start

__all__ = ["BUSY", "CLOSING", "FRESH", "IDLE", "LAST", "PARTIAL", "Client", "Clients"]

SWEEP = 50_000  # between two looks for connections whose time is up, while room is scarce
SWEEP_AT_EASE = 250_000  # and while it is not: all that is closed then has waited a second and more
SILENT = 2_000_000  # until a connection that has sent nothing is closed
UNFINISHED = upload.FIRST  # until a request that has begun must be whole, and more for what has come of it
IDLE_LONG = 15_000_000  # between requests, while there is room
IDLE_SHORT = 300_000  # and while more than a third of it is taken
IDLE_ONCE = 60_000  # then, on a connection that has been used only once
FIRST_BYTES = 300_000  # for the first request on a new connection, while clients are sent away
LINGER = 1_000_000  # for the client to close after we did
# At the bound, from when a connection makes room for a new one: its first bytes are overdue, or it rests.
CROWDED = {FRESH: 50_000, CLOSING: 100_000, IDLE: 100_000, PARTIAL: 2_100_000}
LOOK = 5_000  # between two looks for such connections
EVICTED = 8  # at a time more than needed, since many come together
SPARE = 24
LISTENING_S = 0.2  # between two looks whether connections are still to be accepted, where another
LISTENING_ALONE_S = 0.4  # process may take them, and where only the end of this one ends that, which is
LISTENING_ENDS_S = 0.02  # seen before connections stop coming, and looked for from then on
READY_THREADS = 64  # that wait for the next connection at most
STEP_S = 0.005  # between two looks for room


def listening(config: Config) -> socket.socket:
    """A socket of this process's own, beside which another may listen where the process can be replaced."""
    family = socket.AF_INET6 if ":" in config.listen.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if config.admin:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind(config.listen)
    listener.listen(1024)
    return listener


class Clients:
    """The listener and all connections it has accepted."""

    def __init__(self, dispatcher: Dispatcher, listener: socket.socket | None = None) -> None:
        config = dispatcher.serving[0]
        self.dispatcher = dispatcher
        self.all = self.most = config.max_client_connections
        self.open: dict[Client, None] = {}
        self.fresh: dict[Client, None] = {}  # those that have sent nothing yet, the oldest first
        self.refused: Counter[str] = Counter()
        self.gate = threading.Lock()
        self.ready = 1
        self.looked = 0
        self.accepting = threading.Lock()
        self.taking = threading.Event()
        self.taking.set()
        self.listener = listener or listening(config)
        arrival.mark(self.listener)  # what it accepts is stamped from the first byte on
        self.stopped = False
        # The process that will take this one's place accepts from the same queue: each looks now and then
        # whether it is still to.  They share the socket, and so whether it blocks.
        self.listener.settimeout(LISTENING_S if config.admin else LISTENING_ALONE_S)

    def run(self) -> None:
        """Accept a connection, see it through, and accept the next; enough threads stand ready to accept.

        Guards a busy core: a thread begun for each connection would have to be waited for each time.
        """
        while True:
            client = self.accept()
            if client is None:
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
            if len(self.open) >= self.most:
                self.make_room()
            client.run()
            with self.gate:
                if self.ready >= READY_THREADS:
                    return
                self.ready += 1

    def accept(self) -> Client | None:
        """The next connection, among the open ones; None once no more are to come.

        One thread at a time waits for it, and for room.  Guards the core at the bound: sixty threads that
        each looked for room every 5 ms took half of it.
        """
        with self.accepting:
            while not self.stopped:
                if len(self.fresh) > self.most // 3:
                    # Paced: those that came by hundreds are read, or found silent, before more are begun.
                    self.make_room()
                    time.sleep(STEP_S)
                if len(self.open) >= self.most + SPARE:
                    self.make_room()
                    time.sleep(STEP_S)  # new ones wait in the listener's queue
                    continue
                if not self.taking.wait(LISTENING_ENDS_S if self.dispatcher.draining else LISTENING_S):
                    continue
                try:
                    return self.admit(self.listener.accept()[0])
                except TimeoutError:
                    if self.dispatcher.draining:
                        # Guards clients with short deadlines: by these the end waits for whoever accepts.
                        self.listener.settimeout(LISTENING_ENDS_S)
                    continue
                except OSError as trouble:
                    if self.listener.fileno() < 0:
                        return None
                    self.dispatcher.events.event("accept_failed", text=str(trouble))
                    self.make_room()
                    time.sleep(2 * STEP_S)  # out of descriptors or memory: others must end first

        return None

    def admit(self, sock: socket.socket) -> Client:
        client = Client(sock, self, clock.now())
        self.open[client] = self.fresh[client] = None
        return client

    def stop(self) -> None:
        """Accept no more; whoever has accepted a connection has put it among the open ones on return.

        Guards the end, which comes once none is open, against a connection in the hands of a thread that has
        not told of it yet.
        """
        self.stopped = True
        with self.accepting:
            pass

    def empty_queue(self) -> bool:
        """Take what the listener still holds, as far as there is room; whether that was all.

        Guards what has connected, and may have sent, against being reset by the end of the listener.
        """
        if self.listener.fileno() < 0 or not self.taking.is_set():
            return True  # it is another process's by now
        self.listener.setblocking(False)
        while len(self.open) < self.most + SPARE:
            try:
                client = self.admit(self.listener.accept()[0])
            except BlockingIOError:
                self.listener.close()
                return True
            except OSError:
                return False  # out of descriptors: others end soon
            try:
                start(client.run)
            except RuntimeError:  # no thread for it: it can only be told by its end
                self.ended(client)
                client.sock.close()
        return False

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
        for *_, state, client in sorted(overdue)[: max(0, len(self.open) - self.most) + EVICTED]:
            client.expire(state)

    def pause(self, out: bool) -> None:
        """Leave new connections to another process, or take them again."""
        if out:
            self.taking.clear()
        else:
            self.taking.set()

    def share(self, part: int, parts: int) -> None:
        """Hold only so much of the connections: guards the limits while two processes share them."""
        self.most = self.all * part // parts

    def under_way(self) -> int:
        """How many submissions are taken and not ended."""
        return sum(
            1 for client in list(self.open) if client.group and (client.upload is None or client.upload.whole)
        )

    def empty(self, out: bool) -> None:
        """Send clients away, or take them again."""
        if out != self.dispatcher.emptied:
            self.dispatcher.emptied = out
            self.dispatcher.events.event("emptied" if out else "back_to_work", clients=len(self.open))

    def close_idle(self) -> None:
        now = clock.now()
        ends = now >= self.dispatcher.ends  # what comes whole from here on would find nobody
        for client in list(self.open):
            state = client.state
            overdue = client.since <= now - FIRST_BYTES
            if state == IDLE or state == FRESH and overdue or state == PARTIAL and ends:
                client.expire(state)

    def on_timer(self, now: int) -> None:
        """Look for connections whose time is up."""
        self.dispatcher.after.append(self.sweep)
        soon = self.scarce() or self.dispatcher.emptied
        self.dispatcher.set_timer(now + (SWEEP if soon else SWEEP_AT_EASE), self)

    def scarce(self) -> bool:
        return len(self.open) > self.most // 3

    def sweep(self) -> None:
        # Guards clients whose own connections are used up by those among them that ask once and stay: what
        # was used once has shown no further use, and goes first.
        if self.dispatcher.emptied:
            self.close_idle()
        now = clock.now()
        scarce = self.scarce()
        idle = IDLE_SHORT if scarce else IDLE_LONG
        longest = {FRESH: SILENT, PARTIAL: UNFINISHED, IDLE: idle, CLOSING: LINGER}
        for client in list(self.open):
            state = client.state
            once = scarce and state == IDLE and client.served < 2
            limit = IDLE_ONCE if once else longest.get(state, now)
            if state == PARTIAL:
                limit += int(client.got / upload.SLOWEST)
            if now - client.since >= limit:
                client.expire(state)
