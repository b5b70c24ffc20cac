"""A watch kept at relays: what becomes of a call that fails, and of the relay that is followed.

Made by a `Watcher` where the file names relays, and imported only then.  What is decided, `Homes` decides.
"""

from __future__ import annotations

import socket
from time import monotonic
from typing import TYPE_CHECKING

from ..discovery.roster import Address, BadList, address
from ..http1.messages import MalformedMessageError
from . import clock
from .watching import DIAL_S, opened

if TYPE_CHECKING:
    from ..distribution.homes import Homes
    from .watching import Watcher


class Following:
    """On the watcher's thread alone."""

    def __init__(self, watcher: Watcher, homes: Homes) -> None:
        self.watcher = watcher
        self.homes = homes
        self.answering = ""  # the relay that answered last
        self.heard = 0.0  # when
        self.trouble = ""  # of the last call that failed
        self.stale: dict[str, float] = {}  # regions out of touch there, since when

    def where(self) -> Address:
        """The relay to dial, which the watch is told of."""
        if self.watcher.watch.host != self.homes.at:
            self.watcher.watch.move(self.homes.at)
        return address(self.homes.at)

    def failed(self, trouble: Exception) -> None:
        """A relay has failed: the next, after a wait that grows with each failure in a row.

        Guards against a storm: when a relay dies, thousands of sidecars learn of it at one moment.
        """
        watcher, homes = self.watcher, self.homes
        watcher.failures += 1
        self.trouble = f"{type(trouble).__name__}: {trouble}"
        expected = isinstance(trouble, (OSError, MalformedMessageError, BadList))
        if watcher.failures == 1 or not expected:
            watcher.dispatcher.events.event(
                "watch_failed" if expected else "fault", text=self.trouble, relay=homes.at
            )
        wait = homes.failed(clock.now(), watcher.dialling)
        if watcher.failures > len(homes.order):
            watcher.asked.set()
        watcher.hurry.wait(wait / 1e6)
        watcher.wanted.set()

    def answered(self) -> None:
        """Say what an answer changes: the relay followed, regions that it is in touch with or not."""
        watcher, homes = self.watcher, self.homes
        now, events, watch = monotonic(), watcher.dispatcher.events, watcher.watch
        if homes.at != self.answering:
            why = homes.why or "start"
            live, out = watch.standing()
            events.event(
                "relay_changed",
                **{"from": self.answering},
                to=homes.at,
                why=self.trouble if why == "failed" else why,
                failures=watcher.failures,
                live=live,
                out=out,
                silent_s=round(now - self.heard, 3) if self.answering else 0.0,
            )
            if self.answering:
                watcher.dispatcher.metrics.count("relay_changes")
            self.answering = homes.at
        self.heard = now
        out_of_touch = watch.stale()
        for region, seq in out_of_touch.items():
            if region not in self.stale:
                self.stale[region] = now
                events.event("region_stale", region=region, seq=seq, relay=homes.at)
        for region in [region for region in self.stale if region not in out_of_touch]:
            since = self.stale.pop(region)
            events.event("region_back", region=region, relay=homes.at, after_s=round(now - since, 3))

    def change(self) -> None:
        """Leave one relay that answers for another, once that can be dialled."""
        watcher, homes = self.watcher, self.homes
        try:
            sock = dialled(address(homes.at))
        except OSError:
            if homes.before is None:
                watcher.dialling = True
                raise
            # Guards the watch that works against one that can't be had, or no descriptor for it: it goes on.
            homes.failed(clock.now())
            return
        with watcher.gate:
            old, watcher.sock = watcher.sock, sock
        if old is not None:
            old.close()
        if watcher.moved:
            raise ConnectionAbortedError("the relays are others")
        watcher.watch.move(homes.at)
        watcher.watch.restart()


def dialled(where: Address) -> socket.socket:
    sock = opened(where)
    try:
        sock.settimeout(DIAL_S)
        sock.connect(where)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        sock.close()
        raise
    return sock
