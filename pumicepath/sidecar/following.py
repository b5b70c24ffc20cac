"""A watch kept at relays: what becomes of a call that fails, and of the relay that is followed.

Made by a `Watcher` where the file names relays, and imported only then.  What is decided, `Homes` decides.
"""

from __future__ import annotations

import socket
from time import monotonic
from typing import TYPE_CHECKING

from ..discovery.server_list import Address, BadList, parse_address
from ..http1.messages import MalformedMessageError
from . import clock
from .watching import CONNECT_TIMEOUT_S, new_socket

if TYPE_CHECKING:
    from ..distribution.relay_selector import RelaySelector
    from .watching import Watcher


class RelayWatch:
    """On the watcher's thread alone."""

    def __init__(self, watcher: Watcher, homes: RelaySelector) -> None:
        self.watcher = watcher
        self.homes = homes
        self.current_relay = ""  # the relay that answered last
        self.answered_at = 0.0  # when
        self.last_error = ""  # of the last call that failed
        self.stale_since: dict[str, float] = {}  # regions out of touch there, since when

    def relay_address(self) -> Address:
        """The relay to dial, which the watch is told of."""
        if self.watcher.watch.host != self.homes.current:
            self.watcher.watch.switch_to(self.homes.current)
        return parse_address(self.homes.current)

    def handle_failure(self, trouble: Exception) -> None:
        """A relay has failed: the next, after a wait that grows with each failure in a row.

        Guards against a storm: when a relay dies, thousands of sidecars learn of it at one moment.
        """
        watcher, homes = self.watcher, self.homes
        watcher.failures += 1
        self.last_error = f"{type(trouble).__name__}: {trouble}"
        expected = isinstance(trouble, (OSError, MalformedMessageError, BadList))
        if watcher.failures == 1 or not expected:
            watcher.dispatcher.events.event(
                "watch_failed" if expected else "fault", text=self.last_error, relay=homes.current
            )
        wait = homes.call_failed(clock.now(), watcher.connecting)
        if watcher.failures > len(homes.order):
            watcher.first_call_done.set()
        watcher.skip_wait.wait(wait / 1e6)
        watcher.call_requested.set()

    def log_changes(self) -> None:
        """Say what an answer changes: the relay followed, regions that it is in touch with or not."""
        watcher, homes = self.watcher, self.homes
        now, events, watch = monotonic(), watcher.dispatcher.events, watcher.watch
        if homes.current != self.current_relay:
            why = homes.change_reason or "start"
            live, out = watch.region_counts()
            events.event(
                "relay_changed",
                **{"from": self.current_relay},
                to=homes.current,
                why=self.last_error if why == "failed" else why,
                failures=watcher.failures,
                live=live,
                out=out,
                silent_s=round(now - self.answered_at, 3) if self.current_relay else 0.0,
            )
            if self.current_relay:
                watcher.dispatcher.metrics.count("relay_changes")
            self.current_relay = homes.current
        self.answered_at = now
        out_of_touch = watch.stale_regions()
        for region, seq in out_of_touch.items():
            if region not in self.stale_since:
                self.stale_since[region] = now
                events.event("region_stale", region=region, seq=seq, relay=homes.current)
        for region in [region for region in self.stale_since if region not in out_of_touch]:
            since = self.stale_since.pop(region)
            events.event("region_back", region=region, relay=homes.current, after_s=round(now - since, 3))

    def switch_relay(self) -> None:
        """Leave one relay that answers for another, once that can be dialled."""
        watcher, homes = self.watcher, self.homes
        try:
            sock = connect_to(parse_address(homes.current))
        except OSError:
            if homes.previous is None:
                watcher.connecting = True
                raise
            # Guards the watch that works against one that can't be had, or no descriptor for it: it goes on.
            homes.call_failed(clock.now())
            return
        with watcher.lock:
            old, watcher.sock = watcher.sock, sock
        if old is not None:
            old.close()
        if watcher.moved:
            raise ConnectionAbortedError("the relays are others")
        watcher.watch.switch_to(homes.current)
        watcher.watch.reset_connection()


def connect_to(where: Address) -> socket.socket:
    sock = new_socket(where)
    try:
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect(where)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock
