"""The relay part of a `Watcher`: what follows a failed call, and the change from one relay to another.

Imported only if the configuration names relays. The decisions are made by the relay selector.
"""

from __future__ import annotations

import socket
from time import monotonic
from typing import TYPE_CHECKING

from ..discovery.server_list import Address, parse_address
from . import clock
from .watching import CONNECT_TIMEOUT_S, new_socket

if TYPE_CHECKING:
    from ..distribution.relay_selector import RelaySelector
    from .watching import Watcher


class RelayWatch:
    """The watch at relays; used by the watcher's thread alone."""

    def __init__(self, watcher: Watcher, relay_selector: RelaySelector) -> None:
        self.watcher = watcher
        self.relay_selector = relay_selector
        self.current_relay = ""  # the relay that answered last
        self.answered_at = 0.0  # when
        self.last_error = ""  # of the last call that failed
        # Regions that the relay is not in touch with, with the time since when.
        self.stale_since: dict[str, float] = {}

    def relay_address(self) -> Address:
        """Return the address of the relay to connect to, and set the watch to it."""
        if self.watcher.watch.host != self.relay_selector.current:
            self.watcher.watch.switch_to(self.relay_selector.current)
        return parse_address(self.relay_selector.current)

    def handle_failure(self, error: Exception) -> None:
        """Go on with the next relay after a wait that grows with each consecutive failure.

        When a relay dies thousands of sidecars find out at the same moment; without the wait all of them
        would connect to the other relays at once.
        """
        watcher, relay_selector = self.watcher, self.relay_selector
        self.last_error = f"{type(error).__name__}: {error}"
        watcher.note_failure(error, relay=relay_selector.current)
        wait_us = relay_selector.call_failed(clock.now(), watcher.connecting)
        watcher.skip_wait.wait(wait_us / 1e6)
        watcher.call_requested.set()

    def is_in_touch(self) -> bool:
        """Whether the relay is in touch with a region, without which its list may be of any age."""
        return self.watcher.watch.region_counts()[0] > 0

    def log_changes(self) -> None:
        """Log what an answer changes: the relay followed, and regions that are now stale or no longer so."""
        watcher, relay_selector = self.watcher, self.relay_selector
        now, events, watch = monotonic(), watcher.dispatcher.events, watcher.watch
        if relay_selector.current != self.current_relay:
            why = relay_selector.change_reason or "start"
            live, out = watch.region_counts()
            events.event(
                "relay_changed",
                **{"from": self.current_relay},
                to=relay_selector.current,
                why=self.last_error if why == "failed" else why,
                failures=watcher.failures,
                live=live,
                out=out,
                silent_s=round(now - self.answered_at, 3) if self.current_relay else 0.0,
            )
            if self.current_relay:
                watcher.dispatcher.metrics.count("relay_changes")
            self.current_relay = relay_selector.current
        self.answered_at = now
        stale = watch.stale_regions()
        for region, seq in stale.items():
            if region not in self.stale_since:
                self.stale_since[region] = now
                events.event("region_stale", region=region, seq=seq, relay=relay_selector.current)
        for region in [region for region in self.stale_since if region not in stale]:
            since = self.stale_since.pop(region)
            events.event(
                "region_back", region=region, relay=relay_selector.current, after_s=round(now - since, 3)
            )

    def switch_relay(self) -> None:
        """Leave a relay that answers for the selected one, once a connection to that one is open."""
        watcher, relay_selector = self.watcher, self.relay_selector
        try:
            sock = connect_to(parse_address(relay_selector.current))
        except OSError:
            if relay_selector.previous is None:
                watcher.connecting = True
                raise
            # The other relay cannot be reached, or there is no file descriptor for it: the watch that works
            # is kept.
            relay_selector.call_failed(clock.now())
            return
        with watcher.lock:
            old, watcher.sock = watcher.sock, sock
        if old is not None:
            old.close()
        if watcher.moved:
            raise ConnectionAbortedError("the relays have changed")
        watcher.watch.switch_to(relay_selector.current)
        watcher.watch.reset_connection()


def connect_to(where: Address) -> socket.socket:
    """Open a connection; raises OSError if that fails."""
    sock = new_socket(where)
    try:
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect(where)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock
