"""The thread that exchanges messages with other sidecars over one UDP socket; it decides nothing itself.

`Peers` is created only if the configuration has `peers`. `run` is the body of its thread, `metrics` and
`view` serve operators, `shared_trials` serves the balancer's breakers.
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

MAX_DATAGRAMS_PER_S = 2000  # that are read; the kernel drops what arrives beyond them
MAX_LOGGED_NAMES = 5  # in one list of a log line
LOG_INTERVAL_S = 1.0
BIND_RETRY_S = 0.1
READ_BYTES = messages.MAX_DATAGRAM_BYTES + 1
# Reports of the balancer that wait for the thread: more than it makes in `MAX_REPORT_DELAY_S`.
MAX_PENDING_REPORTS = 4096
MAX_REPORT_DELAY_S = 0.1


class SharedTrials:
    """Connects the balancer's breakers with the trials that the sidecars of a zone coordinate.

    The balancer calls it under its own lock, the thread of `Peers` holds another one, and neither may wait
    for the other's: calls are queued in `reports` for that thread, which replaces `may_try_until` as a whole.
    """

    def __init__(self) -> None:
        self.reports: deque[Callable[[Trials], None]] = deque(maxlen=MAX_PENDING_REPORTS)
        self.may_try_until: dict[str, int] = {}  # by the servers' names; replaced as a whole

    def may_try(self, name: str) -> bool:
        """Whether this sidecar may make the half-open trial of a server now."""
        return clock.now() < self.may_try_until.get(name, 0)

    def breaker_opened(self, name: str, cooldown: int, often: bool) -> None:
        """Report that a server's breaker opened; `often`: this sidecar would send there within a cooldown."""
        now = clock.now()
        self.reports.append(lambda trials: trials.breaker_opened(now, name, cooldown, often))

    def trial_finished(self, name: str, failed: bool) -> None:
        """Report the result of a trial that this sidecar made."""
        now = clock.now()
        self.reports.append(lambda trials: trials.trial_finished(now, name, failed))


class Peers:
    """The socket, this sidecar's node of the fleet behind a lock of its own, and the counters.

    `on_trial_postponed` is called with the number of a server and a time in microseconds, for which no trial
    of it is needed here; 0 asks for a trial now.
    """

    def __init__(self, settings: PeerSettings, name: str, zone: str, log: Log, retry_bind: bool) -> None:
        """Raise OSError if the address cannot be bound.

        With `retry_bind` the thread tries again instead: the old process of a hot restart still holds it.
        """
        self.settings = settings
        self.log = log
        self.lock = threading.Lock()
        self.checksum_seed = messages.fleet_checksum_seed(settings.fleet)
        self.outbox: list[tuple[str, messages.AnyMessage]] = []
        self.counts = Counter[str]()
        self.state_changes: dict[str, list[str]] = {}  # not logged yet: names by state
        self.next_log_at = 0.0
        self.name, self.zone = name, zone
        self.listen_address = ""
        self.closed = False
        self.sock: socket.socket | None = None
        self.node: FleetNode | None = None
        self.voting = settings.voting
        self.shared_trials = SharedTrials()
        self.postponed_trials: list[tuple[str, int]] = []  # by other sidecars; not passed to the balancer yet
        self.on_trial_postponed: Callable[[int, int], None] = lambda server, wait: None
        self.duty_changes: dict[str, str] = {}  # not logged yet: what happened, by duty
        try:
            self.bind()
        except OSError:
            if not retry_bind:
                raise

    @property
    def address(self) -> str:
        """The address at which other sidecars reach this one; empty before the socket is bound."""
        return self.node.own_record.address if self.node is not None else ""

    def bind(self) -> None:
        """Bind the socket and create the node; raises OSError if the address is in use."""
        host, _, port = self.settings.listen.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind((host, int(port)))
        except OSError:
            sock.close()
            raise
        self.listen_address = "{}:{}".format(*sock.getsockname())
        # Random each time, so that others never take this process for an earlier one of this name or address.
        instance_id = int.from_bytes(os.urandom(8)) >> 1 | 1
        me = Record(self.name, instance_id, self.settings.advertise or self.listen_address, self.zone)
        self.node = FleetNode(me, self.settings, int.from_bytes(os.urandom(8)), self, clock.now())
        self.node.apply_voting(clock.now(), self.voting)
        self.sock = sock

    # -- the thread

    def run(self) -> None:
        """Bind, if that is still to be done, and exchange messages until the process ends."""
        while self.sock is None and not self.closed:
            sleep(BIND_RETRY_S)
            with suppress(OSError), self.lock:
                self.bind()
                self.log.event("peers_listen", listen=self.listen_address)
        while not self.closed:
            try:
                self.receive_until_closed()
            except Exception as error:  # no message of a peer may end the sidecar or this thread
                if not self.closed:
                    self.log.event("fault", text=f"{type(error).__name__}: {error}")
                    sleep(BIND_RETRY_S)

    def receive_until_closed(self) -> None:
        """Receive datagrams, run the node's timers, and send and log what follows from both."""
        sock, node = self.sock, self.node
        assert sock is not None and node is not None
        second, read = monotonic(), 0
        while not self.closed:
            with self.lock:
                left = (node.next_timer() - clock.now()) / 1e6
                if node.trials is not None:
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
                self.apply_reports(node)
                if node.next_timer() <= clock.now():
                    node.on_timer(clock.now(), time_ns() // 1_000_000)
                if node.trials is not None:
                    self.shared_trials.may_try_until = node.trials.allowed_trials(clock.now())
                postponed, self.postponed_trials = self.postponed_trials, []
            for server, wait in postponed:
                self.on_trial_postponed(stable_id(server), wait)
            self.send_outbox()
            self.log_changes()
            now = monotonic()
            if now - second >= 1.0:
                second, read = now, 0
            elif read >= MAX_DATAGRAMS_PER_S:
                # A flood of datagrams must not use up a core.  The pause is short enough for probes to be
                # sent and answered; the kernel drops all else.
                self.counts["floods"] += 1
                sleep(min(self.settings.probe_timeout / 4e6, second + 1.0 - now))
                second, read = monotonic(), MAX_DATAGRAMS_PER_S * 3 // 4

    def receive(self, address: str, data: bytes) -> None:
        """Decode and handle one datagram; an invalid one is only counted."""
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

    def apply_reports(self, node: FleetNode) -> None:
        """Pass on what the balancer has reported since the last call, in its order."""
        reports = self.shared_trials.reports
        while reports:
            report = reports.popleft()
            if node.trials is not None:
                report(node.trials)

    def send_outbox(self) -> None:
        """Send the messages that are waiting, without the lock."""
        assert self.sock is not None
        with self.lock:
            outbox, self.outbox = self.outbox, []
        for address, message in outbox:
            host, _, port = address.rpartition(":")
            data = messages.encode_message(message, self.checksum_seed)
            # A datagram that cannot be sent is lost, as any may be: full buffers, no route, a bad address.
            with suppress(OSError, ValueError, OverflowError):
                self.sock.sendto(data, (host, int(port)))
                self.counts["out"] += 1
                self.counts["out_bytes"] += len(data)

    def log_changes(self) -> None:
        """Log all changes of a second together: a restart of the whole fleet must not fill the log."""
        now = monotonic()
        if not (self.state_changes or self.duty_changes) or now < self.next_log_at:
            return
        self.next_log_at = now + LOG_INTERVAL_S
        assert self.node is not None
        with self.lock:
            state_changes, self.state_changes = self.state_changes, {}
            duty_changes, self.duty_changes = self.duty_changes, {}
            counts = list(self.node.membership.member_table.state_counts)
            slow = self.node.membership.local_health_score
            held = len(self.node.duties.held(clock.now())) if self.node.duties is not None else 0
        if duty_changes:
            changes = [f"{duty}: {what}" for duty, what in duty_changes.items()]
            self.log.event(
                "duties",
                held=held,
                changes=[
                    *changes[:MAX_LOGGED_NAMES],
                    *([f"and {len(changes) - MAX_LOGGED_NAMES}"] if len(changes) > MAX_LOGGED_NAMES else []),
                ],
            )
        if not state_changes:
            return
        named = {
            state: [
                *names[:MAX_LOGGED_NAMES],
                *([f"and {len(names) - MAX_LOGGED_NAMES}"] if len(names) > MAX_LOGGED_NAMES else []),
            ]
            for state, names in state_changes.items()
        }
        self.log.event(
            "peers",
            alive=counts[messages.ALIVE],
            suspects=counts[messages.SUSPECTED],
            dead=counts[messages.DEAD],
            slow=slow,
            changes=named,
        )

    # -- callbacks of the node, called under the lock

    def send_message(self, address: str, message: messages.AnyMessage) -> None:
        """Queue a message, which is sent once the lock is released."""
        self.outbox.append((address, message))

    def peer_changed(self, record: Record, by: str) -> None:
        """Note the new state of a peer for the log."""
        names = self.state_changes.setdefault(STATES[record.state], [])
        names.append(record.name)

    def duplicate_name(self, record: Record) -> None:
        """Log that another process uses this sidecar's name."""
        self.log.event("peers_name_twice", name=record.name, other=record.address)

    def duty_changed(self, duty: str, number: int, why: str) -> None:
        """Note for the log that a duty is held from now on or, with number 0, no longer."""
        self.counts["duties_won" if number else "duties_lost"] += 1
        self.duty_changes[duty] = f"held, {why}" if number else why

    def postpone_trial(self, server: str, wait: int) -> None:
        """Note that a trial is postponed by `wait` microseconds, or is to be made now if that is 0."""
        self.postponed_trials.append((server, wait))

    # -- for operators

    def metrics(self) -> dict[str, int]:
        """Return the counters and gauges of peers, by the names under which operators read them."""
        counts = self.counts
        values = {
            "peers_in": counts["in"],
            "peers_out": counts["out"],
            "peers_in_bytes": counts["in_bytes"],
            "peers_out_bytes": counts["out_bytes"],
            "peers_noise": counts["noise"],
            "peers_foreign": counts["foreign"],
        }
        node = self.node
        if node is None:
            return {"peers_alive": 0, "peers_suspected": 0, **values}
        now = clock.now()
        with self.lock:
            membership = node.membership
            by_state, refused, slow = (
                list(membership.member_table.state_counts),
                membership.member_table.refused,
                membership.local_health_score,
            )
            bounds = membership.fleet_size_bounds(now)
            if node.duties is not None:
                values |= {
                    "duties_held": len(node.duties.held(now)),
                    "duties_won": counts["duties_won"],
                    "duties_lost": counts["duties_lost"],
                }
        return {
            "peers_alive": by_state[messages.ALIVE],
            "peers_suspected": by_state[messages.SUSPECTED],
            "peers_dead": by_state[messages.DEAD],
            "peers_refused": refused,
            "peers_slow": slow,
            "fleet_least": bounds.minimum,
            "fleet_likely": bounds.likely,
            "fleet_most": bounds.maximum,
            **values,
        }

    def members(self) -> list[PeerView]:
        """Return the peers as this sidecar sees them."""
        if self.node is None:
            return []
        with self.lock:
            return self.node.membership.members(clock.now())

    def view(self) -> dict[str, Any]:
        """Return what this sidecar sees of the fleet, times in seconds.

        `heard_s` is None for a peer that only other sidecars have reported.
        """
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
                    "name": member.name,
                    "address": member.address,
                    "zone": member.zone,
                    "born": f"{member.instance_id:x}",
                    "incarnation": member.incarnation,
                    "state": STATES[member.state],
                    "since_s": round(member.state_age / 1e6, 3),
                    "heard_s": round(member.last_contact_age / 1e6, 3)
                    if member.last_contact_age >= 0
                    else None,
                    "by": member.reported_by,
                }
                for member in members
            ],
        }

    def duties_view(self, members: list[PeerView]) -> dict[str, Any]:
        """Return the duties held and, if this sidecar is a voter, its grants; empty without voters."""
        node = self.node
        if node is None or node.duties is None:
            return {}
        names = {member.instance_id: member.name for member in members} | {
            node.own_record.instance_id: self.name
        }
        now = clock.now()
        with self.lock:
            duties, voter = node.duties, node.voter
            held = duties.held(now)
            granted = voter.active_grants(now) if voter is not None else []
            silent_us = max(0, voter.silent_until - now) if voter is not None else 0
            fit = duties.eligible
        view: dict[str, Any] = {
            "fit": fit,
            "holds": [
                {"duty": duty, "number": f"{number:x}", "left_s": round(left / 1e6, 3)}
                for duty, number, left in held
            ],
        }
        if voter is not None:
            view["silent_s"] = round(silent_us / 1e6, 3)
            view["granted"] = [
                {
                    "duty": duty,
                    "holder": names.get(holder, f"{holder:x}"),
                    "number": f"{number:x}",
                    "left_s": round(left / 1e6, 3),
                }
                for duty, holder, number, left in granted
            ]
        return view

    # -- calls of other threads

    def apply_voting(self, voting: Voting | None) -> None:
        """Apply the voting settings of a configuration that was read again."""
        with self.lock:
            self.voting = voting
            if self.node is not None:
                self.node.apply_voting(clock.now(), voting)
        self.shared_trials.may_try_until = {}

    def resign_duty(self, duty: str) -> bool:
        """Give a duty up at once, as an operator demands; returns whether this sidecar held it."""
        if self.node is None:
            return False
        self.shared_trials.may_try_until = {}
        with self.lock:
            resigned = self.node.resign_duty(clock.now(), duty)
        self.send_outbox()
        return resigned

    def release_duties(self) -> None:
        """Release all duties at SIGTERM; this sidecar stays a member until it sends nothing more."""
        if self.node is not None and self.sock is not None:
            self.shared_trials.may_try_until = {}
            with self.lock:
                self.node.stop(clock.now())
            self.send_outbox()

    def leave(self) -> None:
        """Stop the thread and tell the fleet that this process ends."""
        self.closed = True
        if self.node is not None and self.sock is not None:
            with self.lock:
                self.node.leave(clock.now())
            self.send_outbox()
