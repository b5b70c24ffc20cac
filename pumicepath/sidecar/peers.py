"""The thread that speaks with other sidecars: one UDP socket, datagrams to messages; nothing decided.

`Peers` is made only where the file has `peers`; `run` is its thread, `figures` and `view` are for operators,
`companions` for the balancer's breakers.
"""

from __future__ import annotations

import os
import socket
import threading
from collections import Counter, deque
from collections.abc import Callable
from contextlib import suppress
from time import monotonic, sleep, time_ns
from typing import Any

from ..discovery.server_list import stable_id
from ..fleet import messages
from ..fleet.membership import PeerView
from ..fleet.messages import STATES, Record
from ..fleet.node import FleetNode
from ..fleet.settings import PeerSettings, Voting
from ..fleet.trials import Trials
from . import clock
from .log import Log

MAX_DATAGRAMS_PER_S = 2000  # datagrams that are read; the kernel drops what comes beyond them
MAX_LOGGED_NAMES = 5  # peers named in one line of the log
LOG_INTERVAL_S = 1.0  # between two such lines
BIND_RETRY_S = 0.1
READ_BYTES = messages.MAX_DATAGRAM_BYTES + 1
MAX_PENDING_REPORTS = 4096  # of the balancer that wait for the thread: more than it says in its longest pause
MAX_REPORT_DELAY_S = 0.1  # seconds that a word of the balancer waits


class SharedTrials:
    """Between the balancer's lock and the gate of peers, neither of which may wait for the other.

    The balancer asks and tells under its lock; the thread of peers takes what was `said`, and sets `turns`.
    """

    def __init__(self) -> None:
        self.reports: deque[Callable[[Trials], None]] = deque(maxlen=MAX_PENDING_REPORTS)
        self.may_try_until: dict[str, int] = {}  # until when, by the servers' names; replaced as one

    def may_try(self, name: str) -> bool:
        return clock.now() < self.may_try_until.get(name, 0)

    def breaker_opened(self, name: str, cooldown: int, often: bool) -> None:
        now = clock.now()
        self.reports.append(lambda trials: trials.breaker_opened(now, name, cooldown, often))

    def trial_finished(self, name: str, failed: bool) -> None:
        now = clock.now()
        self.reports.append(lambda trials: trials.trial_finished(now, name, failed))


class Peers:
    """The socket, the membership behind a lock of its own, and what is counted."""

    def __init__(self, settings: PeerSettings, name: str, zone: str, log: Log, retry_bind: bool) -> None:
        """Raises OSError if it can't listen, unless it `waits` for the process that it takes the place of."""
        self.settings = settings
        self.log = log
        self.lock = threading.Lock()
        self.checksum_seed = messages.fleet_checksum_seed(settings.fleet)
        self.outbox: list[tuple[str, messages.AnyMessage]] = []
        self.counts = Counter[str]()
        self.state_changes: dict[str, list[str]] = {}  # changes not logged yet: names by state
        self.next_log_at = 0.0
        self.name, self.zone = name, zone
        self.listen_address = ""
        self.closed = False
        self.sock: socket.socket | None = None
        self.node: FleetNode | None = None
        self.voting = settings.voting
        self.shared_trials = SharedTrials()
        self.postponed_trials: list[
            tuple[str, int]
        ] = []  # others' words on servers, to be told to the balancer
        self.on_trial_postponed: Callable[[int, int], None] = lambda server, wait: None
        self.duty_changes: dict[str, str] = {}  # changes not logged yet: duties, and how
        try:
            self.bind()
        except OSError:
            if not retry_bind:
                raise

    @property
    def address(self) -> str:
        """Where others reach it."""
        return self.node.own_record.address if self.node is not None else ""

    def bind(self) -> None:
        host, _, port = self.settings.listen.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind((host, int(port)))
        except OSError:
            sock.close()
            raise
        self.listen_address = "{}:{}".format(*sock.getsockname())
        # Of chance each time: another life, whatever ran under this name or at this address before.
        born = int.from_bytes(os.urandom(8)) >> 1 | 1
        me = Record(self.name, born, self.settings.advertise or self.listen_address, self.zone)
        self.node = FleetNode(me, self.settings, int.from_bytes(os.urandom(8)), self, clock.now())
        self.node.apply_voting(clock.now(), self.voting)
        self.sock = sock

    # -- the thread

    def run(self) -> None:
        while self.sock is None and not self.closed:
            sleep(BIND_RETRY_S)
            with suppress(OSError), self.lock:
                self.bind()
                self.log.event("peers_listen", listen=self.listen_address)
        while not self.closed:
            try:
                self.receive_until_closed()
            except Exception as trouble:  # nothing that peers say may end the sidecar, or its hearing
                if not self.closed:
                    self.log.event("fault", text=f"{type(trouble).__name__}: {trouble}")
                    sleep(BIND_RETRY_S)

    def receive_until_closed(self) -> None:
        sock, fellow = self.sock, self.node
        assert sock is not None and fellow is not None
        second, read = monotonic(), 0
        while not self.closed:
            with self.lock:
                left = (fellow.next_timer() - clock.now()) / 1e6
                if fellow.trials is not None:
                    left = min(left, MAX_REPORT_DELAY_S)
            data = None
            if left > 0:
                sock.settimeout(left)
                with suppress(TimeoutError, ConnectionError):
                    data, address = sock.recvfrom(READ_BYTES)
            if data is not None:
                self.receive("{}:{}".format(*address), data)
                read += 1
            with self.lock:
                self.apply_reports(fellow)
                if fellow.next_timer() <= clock.now():
                    fellow.on_timer(clock.now(), time_ns() // 1_000_000)
                if fellow.trials is not None:
                    self.shared_trials.may_try_until = fellow.trials.allowed_trials(clock.now())
                put_offs, self.postponed_trials = self.postponed_trials, []
            for server, wait in put_offs:
                self.on_trial_postponed(stable_id(server), wait)
            self.send_outbox()
            self.log_changes()
            now = monotonic()
            if now - second >= 1.0:
                second, read = now, 0
            elif read >= MAX_DATAGRAMS_PER_S:
                # Guards the core against a flood: probes still go out and are heard, all else is dropped.
                self.counts["floods"] += 1
                sleep(min(self.settings.probe_timeout / 4e6, second + 1.0 - now))
                second, read = monotonic(), MAX_DATAGRAMS_PER_S * 3 // 4

    def receive(self, address: str, data: bytes) -> None:
        try:
            message = messages.decode_message(data, self.checksum_seed)
        except messages.VersionMismatchError:
            self.counts["foreign"] += 1
            return
        except messages.MalformedMessageError:
            self.counts["noise"] += 1
            return
        self.counts["in"] += 1
        self.counts["in_bytes"] += len(data)
        assert self.node is not None
        with self.lock:
            self.node.receive(clock.now(), address, message)

    def apply_reports(self, fellow: FleetNode) -> None:
        """What the balancer has said since, in its order."""
        said = self.shared_trials.reports
        while said:
            word = said.popleft()
            if fellow.trials is not None:
                word(fellow.trials)

    def send_outbox(self) -> None:
        assert self.sock is not None
        with self.lock:
            out, self.outbox = self.outbox, []
        for address, message in out:
            host, _, port = address.rpartition(":")
            data = messages.encode_message(message, self.checksum_seed)
            # What can't be sent is lost, as any datagram may be: full buffers, no way there, no such address.
            with suppress(OSError, ValueError, OverflowError):
                self.sock.sendto(data, (host, int(port)))
                self.counts["out"] += 1
                self.counts["out_bytes"] += len(data)

    def log_changes(self) -> None:
        """One line for all changes of a second: a restart of the fleet must not fill the log."""
        now = monotonic()
        if not (self.state_changes or self.duty_changes) or now < self.next_log_at:
            return
        self.next_log_at = now + LOG_INTERVAL_S
        assert self.node is not None
        with self.lock:
            told, self.state_changes = self.state_changes, {}
            held, self.duty_changes = self.duty_changes, {}
            counts = list(self.node.membership.member_table.state_counts)
            sick = self.node.membership.local_health_score
            count = len(self.node.duties.held(clock.now())) if self.node.duties is not None else 0
        if held:
            some = [f"{duty}: {how}" for duty, how in held.items()]
            self.log.event(
                "duties",
                held=count,
                changes=[
                    *some[:MAX_LOGGED_NAMES],
                    *([f"and {len(some) - MAX_LOGGED_NAMES}"] if len(some) > MAX_LOGGED_NAMES else []),
                ],
            )
        if not told:
            return
        named = {
            state: [
                *names[:MAX_LOGGED_NAMES],
                *([f"and {len(names) - MAX_LOGGED_NAMES}"] if len(names) > MAX_LOGGED_NAMES else []),
            ]
            for state, names in told.items()
        }
        self.log.event(
            "peers",
            alive=counts[messages.ALIVE],
            suspects=counts[messages.SUSPECTED],
            dead=counts[messages.DEAD],
            slow=sick,
            changes=named,
        )

    # -- the outlet of the membership, called under the gate

    def send_message(self, address: str, message: messages.AnyMessage) -> None:
        self.outbox.append((address, message))

    def peer_changed(self, record: Record, by: str) -> None:
        names = self.state_changes.setdefault(STATES[record.state], [])
        names.append(record.name)

    def duplicate_name(self, record: Record) -> None:
        self.log.event("peers_name_twice", name=record.name, other=record.address)

    def duty_changed(self, duty: str, number: int, why: str) -> None:
        self.counts["duties_won" if number else "duties_lost"] += 1
        self.duty_changes[duty] = f"held, {why}" if number else why

    def postpone_trial(self, server: str, wait: int) -> None:
        self.postponed_trials.append((server, wait))

    # -- for others

    def metrics(self) -> dict[str, int]:
        counts = self.counts
        told = {
            "peers_in": counts["in"],
            "peers_out": counts["out"],
            "peers_in_bytes": counts["in_bytes"],
            "peers_out_bytes": counts["out_bytes"],
            "peers_noise": counts["noise"],
            "peers_foreign": counts["foreign"],
        }
        fellow = self.node
        if fellow is None:
            return {"peers_alive": 0, "peers_suspected": 0, **told}
        now = clock.now()
        with self.lock:
            membership = fellow.membership
            held, refused, sick = (
                list(membership.member_table.state_counts),
                membership.member_table.refused,
                membership.local_health_score,
            )
            bounds = membership.fleet_size_bounds(now)
            if fellow.duties is not None:
                told |= {
                    "duties_held": len(fellow.duties.held(now)),
                    "duties_won": counts["duties_won"],
                    "duties_lost": counts["duties_lost"],
                }
        return {
            "peers_alive": held[messages.ALIVE],
            "peers_suspected": held[messages.SUSPECTED],
            "peers_dead": held[messages.DEAD],
            "peers_refused": refused,
            "peers_slow": sick,
            "fleet_least": bounds.minimum,
            "fleet_likely": bounds.likely,
            "fleet_most": bounds.maximum,
            **told,
        }

    def members(self) -> list[PeerView]:
        if self.node is None:
            return []
        with self.lock:
            return self.node.membership.members(clock.now())

    def view(self) -> dict[str, Any]:
        """What this sidecar sees of the fleet, in seconds; `heard_s` is null where only others told of it."""
        me = self.node.membership.own_record if self.node is not None else None
        members = self.members()
        return {
            "name": self.name,
            "address": self.address,
            "born": f"{me.instance_id:x}" if me else "",
            "incarnation": me.incarnation if me else 0,
            "figures": self.metrics(),
            **self.duties_view(members),
            "peers": [
                {
                    "name": one.name,
                    "address": one.address,
                    "zone": one.zone,
                    "born": f"{one.instance_id:x}",
                    "incarnation": one.incarnation,
                    "state": STATES[one.state],
                    "since_s": round(one.state_age / 1e6, 3),
                    "heard_s": round(one.last_contact_age / 1e6, 3) if one.last_contact_age >= 0 else None,
                    "by": one.reported_by,
                }
                for one in members
            ],
        }

    def duties_view(self, members: list[PeerView]) -> dict[str, Any]:
        """What this sidecar holds, and, if it votes, whom it has granted what; nothing where nobody votes."""
        fellow = self.node
        if fellow is None or fellow.duties is None:
            return {}
        names = {one.instance_id: one.name for one in members} | {fellow.own_record.instance_id: self.name}
        now = clock.now()
        with self.lock:
            duties, voter = fellow.duties, fellow.voter
            held = duties.held(now)
            granted = voter.active_grants(now) if voter is not None else []
            silent = max(0, voter.silent_until - now) if voter is not None else 0
            fit = duties.eligible
        told: dict[str, Any] = {
            "fit": fit,
            "holds": [
                {"duty": duty, "number": f"{number:x}", "left_s": round(left / 1e6, 3)}
                for duty, number, left in held
            ],
        }
        if voter is not None:
            told["silent_s"] = round(silent / 1e6, 3)
            told["granted"] = [
                {
                    "duty": duty,
                    "holder": names.get(holder, f"{holder:x}"),
                    "number": f"{number:x}",
                    "left_s": round(left / 1e6, 3),
                }
                for duty, holder, number, left in granted
            ]
        return told

    # -- what comes from elsewhere

    def apply_voting(self, voting: Voting | None) -> None:
        """The file was read again."""
        with self.lock:
            self.voting = voting
            if self.node is not None:
                self.node.apply_voting(clock.now(), voting)
        self.shared_trials.may_try_until = {}

    def resign_duty(self, duty: str) -> bool:
        """By hand: whether this sidecar held it, which it gives up at once."""
        if self.node is None:
            return False
        self.shared_trials.may_try_until = {}
        with self.lock:
            done = self.node.resign_duty(clock.now(), duty)
        self.send_outbox()
        return done

    def release_duties(self) -> None:
        """SIGTERM: duties go to others now; this sidecar is a member until it sends nothing more."""
        if self.node is not None and self.sock is not None:
            self.shared_trials.may_try_until = {}
            with self.lock:
                self.node.stop(clock.now())
            self.send_outbox()

    def leave(self) -> None:
        """Say goodbye, as the process ends."""
        self.closed = True
        if self.node is not None and self.sock is not None:
            with self.lock:
                self.node.leave(clock.now())
            self.send_outbox()
