"""The listener, all connections of the application, and how long each may do what it does."""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter

from . import arrival, clock, upload
from .client import BUSY, CLOSING, DRAINING, FRESH, IDLE, PARTIAL, Client
from .config import Config
from .dispatch import Dispatcher
from .servers import start_thread

__all__ = ["BUSY", "CLOSING", "FRESH", "IDLE", "DRAINING", "PARTIAL", "Client", "Clients"]

CROWDED_SWEEP_INTERVAL_US = 50_000  # between two looks for connections whose time is up, while room is scarce
SWEEP_INTERVAL_US = 250_000  # and while it is not: all that is closed then has waited a second and more
FIRST_BYTE_TIMEOUT_US = 2_000_000  # until a connection that has sent nothing is closed
PARTIAL_REQUEST_TIMEOUT_US = (
    upload.INITIAL_ALLOWANCE_US
)  # until a request that has begun must be whole, and more for what has come of it
IDLE_TIMEOUT_US = 15_000_000  # between requests, while there is room
CROWDED_IDLE_TIMEOUT_US = 300_000  # and while more than a third of it is taken
SINGLE_USE_IDLE_TIMEOUT_US = 60_000  # then, on a connection that has been used only once
DRAIN_FIRST_BYTE_TIMEOUT_US = (
    300_000  # for the first request on a new connection, while clients are sent away
)
LINGER_TIMEOUT_US = 1_000_000  # for the client to close after we did
# At the bound, from when a connection makes room for a new one: its first bytes are overdue, or it rests.
EVICTABLE_AFTER_US = {FRESH: 50_000, CLOSING: 100_000, IDLE: 100_000, PARTIAL: 2_100_000}
EVICTION_INTERVAL_US = 5_000  # between two looks for such connections
EXTRA_EVICTIONS = 8  # at a time more than needed, since many come together
ACCEPT_HEADROOM = 24
ACCEPT_POLL_S = 0.2  # between two looks whether connections are still to be accepted, where another
ACCEPT_POLL_ALONE_S = 0.4  # process may take them, and where only the end of this one ends that, which is
ACCEPT_POLL_DRAINING_S = 0.02  # seen before connections stop coming, and looked for from then on
MAX_READY_THREADS = 64  # that wait for the next connection at most
CAPACITY_POLL_S = 0.005  # between two looks for room


def create_listener(config: Config) -> socket.socket:
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
        config = dispatcher.active_config[0]
        self.dispatcher = dispatcher
        self.max_connections = self.connection_limit = config.max_client_connections
        self.open: dict[Client, None] = {}
        self.fresh: dict[Client, None] = {}  # those that have sent nothing yet, the oldest first
        self.bad_requests: Counter[str] = Counter()
        self.ready_lock = threading.Lock()
        self.ready_threads = 1
        self.last_eviction_at = 0
        self.accept_lock = threading.Lock()
        self.accept_enabled = threading.Event()
        self.accept_enabled.set()
        self.listener = listener or create_listener(config)
        arrival.enable_timestamps(self.listener)  # what it accepts is stamped from the first byte on
        self.stopped = False
        # The process that will take this one's place accepts from the same queue: each looks now and then
        # whether it is still to.  They share the socket, and so whether it blocks.
        self.listener.settimeout(ACCEPT_POLL_S if config.admin else ACCEPT_POLL_ALONE_S)

    def run(self) -> None:
        """Accept a connection, see it through, and accept the next; enough threads stand ready to accept.

        Guards a busy core: a thread begun for each connection would have to be waited for each time.
        """
        while True:
            client = self.accept()
            if client is None:
                return
            with self.ready_lock:
                self.ready_threads -= 1
                more = self.ready_threads < 1
                self.ready_threads += more
            if more:
                try:
                    start_thread(self.run)
                except RuntimeError as trouble:  # those there are go on; the next that ends accepts again
                    self.dispatcher.events.event("fault", text=f"no thread for a client: {trouble}")
                    with self.ready_lock:
                        self.ready_threads -= 1
            if len(self.open) >= self.connection_limit:
                self.evict_idle()
            client.run()
            with self.ready_lock:
                if self.ready_threads >= MAX_READY_THREADS:
                    return
                self.ready_threads += 1

    def accept(self) -> Client | None:
        """The next connection, among the open ones; None once no more are to come.

        One thread at a time waits for it, and for room.  Guards the core at the bound: sixty threads that
        each looked for room every 5 ms took half of it.
        """
        with self.accept_lock:
            while not self.stopped:
                if len(self.fresh) > self.connection_limit // 3:
                    # Paced: those that came by hundreds are read, or found silent, before more are begun.
                    self.evict_idle()
                    time.sleep(CAPACITY_POLL_S)
                if len(self.open) >= self.connection_limit + ACCEPT_HEADROOM:
                    self.evict_idle()
                    time.sleep(CAPACITY_POLL_S)  # new ones wait in the listener's queue
                    continue
                if not self.accept_enabled.wait(
                    ACCEPT_POLL_DRAINING_S if self.dispatcher.draining else ACCEPT_POLL_S
                ):
                    continue
                try:
                    return self.add_client(self.listener.accept()[0])
                except TimeoutError:
                    if self.dispatcher.draining:
                        # Guards clients with short deadlines: by these the end waits for whoever accepts.
                        self.listener.settimeout(ACCEPT_POLL_DRAINING_S)
                    continue
                except OSError as trouble:
                    if self.listener.fileno() < 0:
                        return None
                    self.dispatcher.events.event("accept_failed", text=str(trouble))
                    self.evict_idle()
                    time.sleep(2 * CAPACITY_POLL_S)  # out of descriptors or memory: others must end first

        return None

    def add_client(self, sock: socket.socket) -> Client:
        client = Client(sock, self, clock.now())
        self.open[client] = self.fresh[client] = None
        return client

    def stop_accepting(self) -> None:
        """Accept no more; whoever has accepted a connection has put it among the open ones on return.

        Guards the end, which comes once none is open, against a connection in the hands of a thread that has
        not told of it yet.
        """
        self.stopped = True
        with self.accept_lock:
            pass

    def drain_backlog(self) -> bool:
        """Take what the listener still holds, as far as there is room; whether that was all.

        Guards what has connected, and may have sent, against being reset by the end of the listener.
        """
        if self.listener.fileno() < 0 or not self.accept_enabled.is_set():
            return True  # it is another process's by now
        self.listener.setblocking(False)
        while len(self.open) < self.connection_limit + ACCEPT_HEADROOM:
            try:
                client = self.add_client(self.listener.accept()[0])
            except BlockingIOError:
                self.listener.close()
                return True
            except OSError:
                return False  # out of descriptors: others end soon
            try:
                start_thread(client.run)
            except RuntimeError:  # no thread for it: it can only be told by its end
                self.remove(client)
                client.sock.close()
        return False

    def remove(self, client: Client) -> None:
        self.open.pop(client, None)
        self.fresh.pop(client, None)

    def is_over_limit(self) -> bool:
        return len(self.open) - len(self.fresh) > self.connection_limit

    def evict_idle(self) -> None:
        """Close what is least missed: the silent first, then what is closing anyway, then what rests.

        Guards against clients that connect by hundreds and say nothing, or ask once and stay.  A fresh
        connection is not taken for a silent one at once: its first submission may be on the way and would be
        lost, while a client sends again what crosses the closing of a connection it has used.
        """
        now = clock.now()
        if now - self.last_eviction_at < EVICTION_INTERVAL_US:
            return  # guards the core against looking through all of them for each new one
        self.last_eviction_at = now
        overdue: list[tuple[bool, int, int, int, Client]] = []
        for client in list(self.open):
            state, since = client.state, client.state_since
            if now - since >= EVICTABLE_AFTER_US.get(state, now):
                overdue.append((state not in (FRESH, CLOSING), since, len(overdue), state, client))
        for *_, state, client in sorted(overdue)[
            : max(0, len(self.open) - self.connection_limit) + EXTRA_EVICTIONS
        ]:
            client.expire(state)

    def pause_accepting(self, paused: bool) -> None:
        """Leave new connections to another process, or take them again."""
        if paused:
            self.accept_enabled.clear()
        else:
            self.accept_enabled.set()

    def scale_limit(self, numerator: int, denominator: int) -> None:
        """Hold only so much of the connections: guards the limits while two processes share them."""
        self.connection_limit = self.max_connections * numerator // denominator

    def active_submissions(self) -> int:
        """How many submissions are taken and not ended."""
        return sum(
            1
            for client in list(self.open)
            if client.class_name and (client.upload is None or client.upload.complete)
        )

    def set_out_of_service(self, out: bool) -> None:
        """Send clients away, or take them again."""
        if out != self.dispatcher.out_of_service:
            self.dispatcher.out_of_service = out
            self.dispatcher.events.event("emptied" if out else "back_to_work", clients=len(self.open))

    def close_idle(self) -> None:
        now = clock.now()
        ends = now >= self.dispatcher.shutdown_at  # what comes whole from here on would find nobody
        for client in list(self.open):
            state = client.state
            overdue = client.state_since <= now - DRAIN_FIRST_BYTE_TIMEOUT_US
            if state == IDLE or state == FRESH and overdue or state == PARTIAL and ends:
                client.expire(state)

    def on_timer(self, now: int) -> None:
        """Look for connections whose time is up."""
        self.dispatcher.after_unlock.append(self.sweep)
        soon = self.is_crowded() or self.dispatcher.out_of_service
        self.dispatcher.set_timer(now + (CROWDED_SWEEP_INTERVAL_US if soon else SWEEP_INTERVAL_US), self)

    def is_crowded(self) -> bool:
        return len(self.open) > self.connection_limit // 3

    def sweep(self) -> None:
        # Guards clients whose own connections are used up by those among them that ask once and stay: what
        # was used once has shown no further use, and goes first.
        if self.dispatcher.out_of_service:
            self.close_idle()
        now = clock.now()
        scarce = self.is_crowded()
        idle = CROWDED_IDLE_TIMEOUT_US if scarce else IDLE_TIMEOUT_US
        longest = {
            FRESH: FIRST_BYTE_TIMEOUT_US,
            PARTIAL: PARTIAL_REQUEST_TIMEOUT_US,
            IDLE: idle,
            CLOSING: LINGER_TIMEOUT_US,
        }
        for client in list(self.open):
            state = client.state
            once = scarce and state == IDLE and client.requests_served < 2
            limit = SINGLE_USE_IDLE_TIMEOUT_US if once else longest.get(state, now)
            if state == PARTIAL:
                limit += int(client.partial_bytes / upload.MIN_BYTES_PER_US)
            if now - client.state_since >= limit:
                client.expire(state)
