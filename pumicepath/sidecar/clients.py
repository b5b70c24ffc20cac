"""The listener, all client connections, and the time limits of their states.

Times ending in _US are whole microseconds of `clock.now()`, those ending in _S are seconds.
"""

from __future__ import annotations

import select
import socket
import threading
import time
from collections import Counter

from . import arrival, clock, eviction
from .client import BUSY, CLOSING, DRAINING, FRESH, IDLE, PARTIAL, Client
from .config import ACCEPT_HEADROOM, Config
from .dispatch import Dispatcher
from .overflow import Overflow
from .servers import start_thread

__all__ = ["BUSY", "CLOSING", "FRESH", "IDLE", "DRAINING", "PARTIAL", "Client", "Clients"]

# The sidecar is crowded when more than a third of its client connections are open.
CROWDED_SWEEP_INTERVAL_US = 50_000  # between searches for expired connections, while crowded
SWEEP_INTERVAL_US = 250_000  # and while not: all that expires then has waited for a second or more
FIRST_BYTE_TIMEOUT_US = 2_000_000  # until a connection that has sent nothing is closed
IDLE_TIMEOUT_US = 15_000_000  # between requests
CROWDED_IDLE_TIMEOUT_US = 300_000  # between requests, while crowded
SINGLE_USE_IDLE_TIMEOUT_US = 60_000  # while crowded, on a connection that has been used only once
DRAIN_FIRST_BYTE_TIMEOUT_US = 300_000  # for a new connection's first request, while connections are drained
LINGER_TIMEOUT_US = 1_000_000  # for the client to close after this side has
EVICTION_INTERVAL_US = 5_000  # between searches for such connections
OVERFLOW_AFTER_US = 100_000  # without a free place, until those that wait to be accepted must not any longer
EXTRA_EVICTIONS = 8  # closed at a time beyond what is needed, since new connections come in bursts
# Between checks whether this process still accepts: where another process may share the listener (hot
# restart), where it may not, and while draining.  The first two must be shorter than the time for which
# `running` expects new connections after SIGTERM, so that draining is noticed before that is over.
ACCEPT_POLL_S = 0.2
ACCEPT_POLL_ALONE_S = 0.4
ACCEPT_POLL_DRAINING_S = 0.02
MAX_READY_THREADS = 64  # that wait for the next connection
CAPACITY_POLL_S = 0.005  # between checks whether another connection may be accepted


def create_listener(config: Config) -> socket.socket:
    """A listening socket; with an admin address (hot restart) another process may listen beside it."""
    family = socket.AF_INET6 if ":" in config.listen.host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if config.admin:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind(config.listen)
    listener.listen(1024)
    return listener


def readable(sock: socket.socket) -> bool:
    """Whether a read or an accept would not block."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


class Clients:
    """The listener and all connections it has accepted."""

    def __init__(self, dispatcher: Dispatcher, listener: socket.socket | None = None) -> None:
        config = dispatcher.active_config[0]
        self.dispatcher = dispatcher
        self.max_connections = self.connection_limit = config.max_client_connections
        self.open: dict[Client, None] = {}
        self.fresh: dict[Client, None] = {}  # those that have sent nothing yet, oldest first
        self.bad_requests: Counter[str] = Counter()
        self.ready_lock = threading.Lock()
        self.ready_threads = 1
        self.last_eviction_at = 0
        self.burst_since = 0  # since when many connections have sent nothing yet; 0: few have not
        self.full_since = 0  # since when no place has been free; 0: one is
        self.overflow = Overflow(config.overflow_connections, dispatcher.decisions)
        self.server_connections_used_up = False
        self.accept_lock = threading.Lock()
        self.accept_enabled = threading.Event()
        self.accept_enabled.set()
        self.listener = listener or create_listener(config)
        arrival.enable_timestamps(self.listener)  # inherited by accepted connections, from the first byte on
        self.is_open = False  # whether this process has begun to accept
        self.stopped = False
        # During a hot restart both processes accept from the same queue, and each must notice when it is no
        # longer to accept.  They share the socket's non-blocking flag, so it can't be changed instead.
        self.listener.settimeout(ACCEPT_POLL_S if config.admin else ACCEPT_POLL_ALONE_S)

    def run(self) -> None:
        """Accept a connection, serve it to its end, and accept the next; the body of a client thread.

        Another thread is started when none is left to accept.  Threads are reused, as on a busy core each new
        connection would otherwise have to wait for its thread to start.
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
                except RuntimeError as error:  # existing threads go on; the next that is free accepts again
                    self.dispatcher.events.event("fault", text=f"no thread for a client: {error}")
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
        """Accept the next connection and add it to the open ones; None once no more are accepted.

        One thread at a time waits here: at the limit, sixty threads that each checked every 5 ms whether a
        connection had ended used half a core.
        """
        with self.accept_lock:
            while not self.stopped:
                if len(self.fresh) > self.connection_limit // 3:
                    self.slow_down_burst()
                else:
                    self.burst_since = 0
                if self.is_full():
                    self.evict_idle()
                    time.sleep(CAPACITY_POLL_S)  # new ones wait in the listener's backlog
                    self.refuse_overflow()
                    continue
                self.full_since = 0
                if not self.accept_enabled.wait(
                    ACCEPT_POLL_DRAINING_S if self.dispatcher.draining else ACCEPT_POLL_S
                ):
                    continue
                try:
                    return self.add_client(self.listener.accept()[0])
                except TimeoutError:
                    if self.dispatcher.draining:
                        # `stop_accepting` waits for this thread, and clients with short deadlines wait for
                        # that, so accept() must return soon from now on.
                        self.listener.settimeout(ACCEPT_POLL_DRAINING_S)
                    continue
                except ConnectionAbortedError:
                    continue  # its client has gone already; others are not concerned
                except OSError as error:
                    if self.listener.fileno() < 0:
                        return None
                    self.dispatcher.events.event("accept_failed", text=str(error))
                    self.evict_idle()
                    time.sleep(2 * CAPACITY_POLL_S)  # out of descriptors or memory until connections end

        return None

    def slow_down_burst(self) -> None:
        """Have connections read, or found silent, before more are accepted, but not for longer than a moment.

        On a busy core that may take seconds, and those that wait to be accepted have deadlines.
        """
        now = clock.now()
        self.burst_since = self.burst_since or now
        self.evict_idle()
        if now - self.burst_since < OVERFLOW_AFTER_US:
            time.sleep(CAPACITY_POLL_S)

    def refuse_overflow(self) -> None:
        """Refuse those that wait to be accepted, once no place has become free for OVERFLOW_AFTER_US."""
        now = clock.now()
        self.full_since = self.full_since or now
        is_accepting = self.accept_enabled.is_set() and not self.dispatcher.draining
        if now - self.full_since < OVERFLOW_AFTER_US or not is_accepting:
            return
        while self.is_full() and self.overflow.has_room() and readable(self.listener):
            try:
                self.overflow.add(self.listener.accept()[0])
            except OSError:  # another process has accepted it, or its client has gone
                return

    def add_client(self, sock: socket.socket) -> Client:
        """Add an accepted socket to the open connections."""
        client = Client(sock, self, clock.now())
        self.open[client] = self.fresh[client] = None
        return client

    def stop_accepting(self) -> None:
        """Stop accepting; on return, every connection accepted so far is among the open ones.

        The process exits once none is open, and must not miss a connection that a thread has just accepted
        and not yet added.
        """
        self.stopped = True
        with self.accept_lock:
            pass

    def drain_backlog(self) -> bool:
        """Accept the backlog up to the limit, then close the listener; False if some of it is left.

        Closing the listener resets connections in its backlog, on which requests may already have been sent.
        """
        if self.listener.fileno() < 0 or not self.accept_enabled.is_set():
            return True  # the new process accepts from it
        self.listener.setblocking(False)
        while not self.is_full():
            try:
                client = self.add_client(self.listener.accept()[0])
            except BlockingIOError:
                self.listener.close()
                return True
            except OSError:
                return False  # out of descriptors: open connections will end soon
            try:
                start_thread(client.run)
            except RuntimeError:  # no thread for it: it can only be closed
                self.remove(client)
                client.sock.close()
        return False

    def remove(self, client: Client) -> None:
        """Forget a connection that has ended."""
        self.open.pop(client, None)
        self.fresh.pop(client, None)

    def is_over_limit(self) -> bool:
        """Whether more connections than the limit have sent something."""
        return len(self.open) - len(self.fresh) > self.connection_limit

    def is_full(self) -> bool:
        """Whether no further connection is accepted."""
        return len(self.open) >= self.connection_limit + ACCEPT_HEADROOM

    def evict_idle(self) -> None:
        """Close connections that may make place at the limit; not at each new one, as a search costs time."""
        now = clock.now()
        if now - self.last_eviction_at < EVICTION_INTERVAL_US:
            return
        self.last_eviction_at = now
        excess = max(0, len(self.open) - self.connection_limit)
        eviction.evict(list(self.open), excess + EXTRA_EVICTIONS, now)

    def evict_for_memory(self) -> None:
        """End connections of stalled clients, as others need the memory that they hold."""
        now = clock.now()
        if now - self.last_eviction_at >= EVICTION_INTERVAL_US:
            self.last_eviction_at = now
            eviction.evict_stalled(list(self.open), EXTRA_EVICTIONS, now)

    def must_share(self) -> bool:
        """Whether others wait for what stalled clients hold.

        These are connections to servers, or the part of the limits that another process needs which accepts
        in this one's place.
        """
        return self.server_connections_used_up or self.is_crowded() and not self.accept_enabled.is_set()

    def pause_accepting(self, paused: bool) -> None:
        """Leave new connections to another process (`paused`), or accept them again."""
        if paused:
            self.accept_enabled.clear()
        else:
            self.accept_enabled.set()

    def scale_limit(self, numerator: int, denominator: int) -> None:
        """Use only a fraction of the connections: during a hot restart two processes share the limits."""
        self.connection_limit = self.max_connections * numerator // denominator

    def active_submissions(self) -> int:
        """The number of submissions that have been received and not answered."""
        return sum(
            1
            for client in list(self.open)
            if client.class_name and (client.upload is None or client.upload.complete)
        )

    def set_out_of_service(self, out: bool) -> None:
        """Take this sidecar out of service (`out`), so that responses close their connections, or back in."""
        if out != self.dispatcher.out_of_service:
            self.dispatcher.out_of_service = out
            self.dispatcher.events.event("emptied" if out else "back_to_work", clients=len(self.open))

    def close_idle(self) -> None:
        """Close connections without a request in progress, as the process drains or is out of service."""
        now = clock.now()
        is_ending = now >= self.dispatcher.shutdown_at  # a request completed after this can't be answered
        for client in list(self.open):
            state = client.state
            overdue = client.state_since <= now - DRAIN_FIRST_BYTE_TIMEOUT_US
            if state == IDLE or state == FRESH and overdue or state == PARTIAL and is_ending:
                client.expire(state)

    def on_timer(self, now: int) -> None:
        """Queue a search for expired connections and set the next timer; called with the lock held."""
        self.dispatcher.do_after_unlock(self.sweep)
        self.server_connections_used_up = self.dispatcher.pool.is_full()
        is_urgent = self.is_crowded() or self.dispatcher.out_of_service or self.server_connections_used_up
        self.dispatcher.set_timer(now + (CROWDED_SWEEP_INTERVAL_US if is_urgent else SWEEP_INTERVAL_US), self)

    def is_crowded(self) -> bool:
        """Whether more than a third of the connections are open, so that idle times are shorter."""
        return len(self.open) > self.connection_limit // 3

    def sweep(self) -> None:
        """Close connections that have been in their state for too long."""
        if self.dispatcher.out_of_service:
            self.close_idle()
        now = clock.now()
        if self.must_share():
            eviction.evict_stalled(list(self.open), EXTRA_EVICTIONS, now)
        # A client may use up its connections with ones on which it sends a single request and which it keeps
        # open.  Those have shown no further use and are closed first.
        crowded = self.is_crowded()
        idle = CROWDED_IDLE_TIMEOUT_US if crowded else IDLE_TIMEOUT_US
        time_limits = {
            FRESH: FIRST_BYTE_TIMEOUT_US,
            IDLE: idle,
            CLOSING: LINGER_TIMEOUT_US,
        }
        for client in list(self.open):
            state = client.state
            used_once = crowded and state == IDLE and client.requests_served < 2
            limit = SINGLE_USE_IDLE_TIMEOUT_US if used_once else time_limits.get(state, now)
            is_over = state == PARTIAL and client.sending_rate.is_too_slow(now)
            if is_over or now - client.state_since >= limit:
                client.expire(state)
