"""The thread that speaks with other sidecars: one UDP socket, datagrams to messages; nothing decided.

`Peers` is made only where the file has `peers`; `run` is its thread, `figures` and `view` are for operators.
"""

from __future__ import annotations

import os
import socket
import threading
from collections import Counter
from contextlib import suppress
from time import monotonic, sleep
from typing import Any

from ..fleet import messages
from ..fleet.membership import Membership, Seen
from ..fleet.messages import STATES, Record
from ..fleet.settings import PeerSettings
from . import clock
from .log import Log

MOST_A_SECOND = 2000        # datagrams that are read; the kernel drops what comes beyond them
NAMED = 5                   # peers named in one line of the log
LINE_S = 1.0                # between two such lines
BIND_AGAIN_S = 0.1
LONGEST_READ = messages.LONGEST + 1


class Peers:
    """The socket, the membership behind a lock of its own, and what is counted."""

    def __init__(self, settings: PeerSettings, name: str, zone: str, log: Log, waits: bool) -> None:
        """Raises OSError if it can't listen, unless it `waits` for the process that it takes the place of."""
        self.settings = settings
        self.log = log
        self.gate = threading.Lock()
        self.seal = messages.sealed(settings.fleet)
        self.out: list[tuple[str, messages.Any]] = []
        self.counts = Counter[str]()
        self.told: dict[str, list[str]] = {}        # changes not logged yet: names by state
        self.line_at = 0.0
        self.name, self.zone = name, zone
        self.listens = ""
        self.over = False
        self.sock: socket.socket | None = None
        self.membership: Membership | None = None
        try:
            self.bind()
        except OSError:
            if not waits:
                raise

    @property
    def where(self) -> str:
        """Where others reach it."""
        return self.membership.me.address if self.membership is not None else ""

    def bind(self) -> None:
        host, _, port = self.settings.listen.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind((host, int(port)))
        except OSError:
            sock.close()
            raise
        self.listens = "{}:{}".format(*sock.getsockname())
        # Of chance each time: another life, whatever ran under this name or at this address before.
        born = int.from_bytes(os.urandom(8)) >> 1 | 1
        me = Record(self.name, born, self.settings.advertise or self.listens, self.zone)
        self.membership = Membership(me, self.settings, int.from_bytes(os.urandom(8)), self, clock.now())
        self.sock = sock

    # -- the thread

    def run(self) -> None:
        while self.sock is None and not self.over:
            sleep(BIND_AGAIN_S)
            with suppress(OSError), self.gate:
                self.bind()
                self.log.event("peers_listen", listen=self.listens)
        while not self.over:
            try:
                self.listen()
            except Exception as trouble:  # nothing that peers say may end the sidecar, or its hearing
                if not self.over:
                    self.log.event("fault", text=f"{type(trouble).__name__}: {trouble}")
                    sleep(BIND_AGAIN_S)

    def listen(self) -> None:
        sock, membership = self.sock, self.membership
        assert sock is not None and membership is not None
        second, read = monotonic(), 0
        while not self.over:
            left = (membership.due() - clock.now()) / 1e6
            data = None
            if left > 0:
                sock.settimeout(left)
                with suppress(TimeoutError, ConnectionError):
                    data, address = sock.recvfrom(LONGEST_READ)
            if data is not None:
                self.came("{}:{}".format(*address), data)
                read += 1
            if membership.due() <= clock.now():
                with self.gate:
                    membership.woke(clock.now())
            self.send()
            self.tell_log()
            now = monotonic()
            if now - second >= 1.0:
                second, read = now, 0
            elif read >= MOST_A_SECOND:
                # Guards the core against a flood: probes still go out and are heard, all else is dropped.
                self.counts["floods"] += 1
                sleep(min(self.settings.timeout / 4e6, second + 1.0 - now))
                second, read = monotonic(), MOST_A_SECOND * 3 // 4

    def came(self, address: str, data: bytes) -> None:
        try:
            message = messages.unpacked(data, self.seal)
        except messages.Foreign:
            self.counts["foreign"] += 1
            return
        except messages.Noise:
            self.counts["noise"] += 1
            return
        self.counts["in"] += 1
        self.counts["in_bytes"] += len(data)
        assert self.membership is not None
        with self.gate:
            self.membership.heard(clock.now(), address, message)

    def send(self) -> None:
        assert self.sock is not None
        with self.gate:
            out, self.out = self.out, []
        for address, message in out:
            host, _, port = address.rpartition(":")
            data = messages.packed(message, self.seal)
            # What can't be sent is lost, as any datagram may be: full buffers, no way there, no such address.
            with suppress(OSError, ValueError, OverflowError):
                self.sock.sendto(data, (host, int(port)))
                self.counts["out"] += 1
                self.counts["out_bytes"] += len(data)

    def tell_log(self) -> None:
        """One line for all changes of a second: a restart of the fleet must not fill the log."""
        now = monotonic()
        if not self.told or now < self.line_at:
            return
        self.line_at = now + LINE_S
        assert self.membership is not None
        with self.gate:
            told, self.told = self.told, {}
            counts = list(self.membership.roll.counts)
            sick = self.membership.sick
        named = {state: [*names[:NAMED], *([f"and {len(names) - NAMED}"] if len(names) > NAMED else [])]
                 for state, names in told.items()}
        self.log.event("peers", alive=counts[messages.ALIVE], suspects=counts[messages.SUSPECTED],
                       dead=counts[messages.DEAD], slow=sick, changes=named)

    # -- the outlet of the membership, called under the gate

    def post(self, address: str, message: messages.Any) -> None:
        self.out.append((address, message))

    def changed(self, record: Record, by: str) -> None:
        names = self.told.setdefault(STATES[record.state], [])
        names.append(record.name)

    def twice(self, record: Record) -> None:
        self.log.event("peers_name_twice", name=record.name, other=record.address)

    # -- for others

    def figures(self) -> dict[str, int]:
        counts = self.counts
        told = {"peers_in": counts["in"], "peers_out": counts["out"], "peers_in_bytes": counts["in_bytes"],
                "peers_out_bytes": counts["out_bytes"], "peers_noise": counts["noise"],
                "peers_foreign": counts["foreign"]}
        membership = self.membership
        if membership is None:
            return {"peers_alive": 0, "peers_suspected": 0, **told}
        with self.gate:
            held, refused, sick = list(membership.roll.counts), membership.roll.refused, membership.sick
            bounds = membership.bounds(clock.now())
        return {"peers_alive": held[messages.ALIVE], "peers_suspected": held[messages.SUSPECTED],
                "peers_dead": held[messages.DEAD], "peers_refused": refused, "peers_slow": sick,
                "fleet_least": bounds.least, "fleet_likely": bounds.likely, "fleet_most": bounds.most, **told}

    def members(self) -> list[Seen]:
        membership = self.membership
        if membership is None:
            return []
        with self.gate:
            return membership.members(clock.now())

    def view(self) -> dict[str, Any]:
        """What this sidecar sees of the fleet, in seconds; `heard_s` is null where only others told of it."""
        me = self.membership.me if self.membership is not None else None
        return {"name": self.name, "address": self.where, "born": f"{me.born:x}" if me else "",
                "incarnation": me.incarnation if me else 0, "figures": self.figures(), "peers": [
                    {"name": one.name, "address": one.address, "zone": one.zone, "born": f"{one.born:x}",
                     "incarnation": one.incarnation, "state": STATES[one.state],
                     "since_s": round(one.for_ / 1e6, 3),
                     "heard_s": round(one.heard_ago / 1e6, 3) if one.heard_ago >= 0 else None, "by": one.by}
                    for one in self.members()]}

    def leave(self) -> None:
        """Say goodbye, as the process ends."""
        self.over = True
        if self.membership is not None and self.sock is not None:
            with self.gate:
                self.membership.leave(clock.now())
            self.send()
