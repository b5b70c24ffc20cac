"""Runs one balancer per instance of the simulator: every event is a call, every callback an action."""

from __future__ import annotations

import json
import math
from typing import Any, BinaryIO

from ..balancer import Balancer, Submission
from ..interface import ListKind, Outcome, ServerEntry, ServerState, TimerHandler
from ..settings import decode_settings
from . import frames
from .frames import MalformedFrameError, Reply

# Codes of the actions.
PROBE, SHED, PRINT, FOLLOW, FREE, TRANSMIT, WAKE, FAIL, REVOKE, TELL, DIE = 1, 2, 3, 4, 5, 6, 7, 8, 9, 11, 12
# Outcomes of hops by their code in the protocol: errno values where there is one.
OUTCOMES = {
    0: Outcome.OK,
    5: Outcome.ERROR,
    11: Outcome.FULL,
    110: Outcome.TIMEOUT,
    111: Outcome.CONNECT_FAILED,
    104: Outcome.RESET,
    125: Outcome.CANCELLED,
    114: Outcome.MOOT,
}


def to_microseconds(seconds: float) -> int:
    """Round down to whole microseconds; the 0.001 makes up for the rounding error of the product."""
    return math.floor(seconds * 1_000_000 + 0.001)


class Instance:
    """One balancer and its callbacks, which become actions of one instance of the simulator."""

    def __init__(self, number: int, info: dict[str, Any], seed: int, host: Host) -> None:
        self.number = number
        self.host = host
        self.submissions: dict[int, Submission] = {}  # unfinished ones by id
        self.timers: dict[int, TimerHandler] = {}  # handlers of pending timers by id
        self.last_timer_id = 0
        self.balancer = Balancer(decode_settings(info), seed, self)

    def send(self, submission: int, server: int, timeout: int) -> None:
        """Send a hop of a submission to a server."""
        self.host.reply.add(TRANSMIT, "HIdI", self.number, submission, timeout / 1e6, server)

    def reject(self, submission: int, retry_in: int) -> None:
        """Reject a submission; its client may retry after this many microseconds."""
        self.host.reply.add(SHED, "HId", self.number, submission, retry_in / 1e6)

    def fail(self, submission: int) -> None:
        """Fail a submission for good."""
        self.host.reply.add(FAIL, "HI", self.number, submission)

    def cancel(self, submission: int, hop: int) -> None:
        """Cancel a hop in flight."""
        self.host.reply.add(REVOKE, "HIB", self.number, submission, hop)

    def probe(self, server: int) -> None:
        """Probe a server."""
        self.host.reply.add(PROBE, "HI", self.number, server)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Send a datagram to another sidecar."""
        self.host.reply.add(TELL, "HIII", self.number, peer, len(self.host.reply.tail), len(data))
        self.host.reply.tail += data

    def close_idle_connections(self, server: int) -> None:
        """Close the idle connections to a server."""
        self.host.reply.add(FREE, "HI", self.number, server)

    def request_server_list(self) -> None:
        """Request the server list."""
        self.host.reply.add(FOLLOW, "HB", self.number, 1)

    def set_timer(self, at: int, handler: TimerHandler) -> None:
        """Set a timer."""
        self.last_timer_id += 1
        self.timers[self.last_timer_id] = handler
        self.host.reply.add(WAKE, "HdQ", self.number, at / 1e6, self.last_timer_id)

    def log(self, text: str) -> None:
        """Write a line to the instance's log."""
        self.host.reply.add_text(PRINT, self.number, text)


class Host:
    """The instances of one simulator process and the server lists that their events refer to."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.sheets: dict[int, list[ServerEntry]] = {}
        self.reply = Reply()

    def handle_batch(self, batch: frames.Batch) -> Reply:
        """Handle the events of a batch in order; return the actions that they caused."""
        self.reply = Reply()
        now = to_microseconds(batch.now)
        for code, fields in batch.records:
            if code == frames.SHEET:
                self.store_sheet(batch.tail, *fields)
                continue
            number = fields[0]
            try:
                self.handle_event(now, code, batch.tail, fields)
            except MalformedFrameError:
                raise
            except Exception as error:  # reported to the simulator, which ends its run; this process goes on
                self.reply.add_text(DIE, number, f"{type(error).__name__}: {error}")
        return self.reply

    def store_sheet(self, tail: memoryview, number: int, offset: int, count: int) -> None:
        """Decode and keep a sheet, a server list that later events refer to by its number."""
        data = frames.tail_slice(tail, offset, count * frames.ENTRY_BYTES)
        entries = []
        for server, zone, kind, cell, state, weight, started_at in frames.ENTRY_FIELDS.iter_unpack(data):
            if state > ServerState.DRAINING:
                raise MalformedFrameError(f"unknown state {state} of a server")
            entries.append(
                ServerEntry(
                    server, zone, cell, ServerState(state), weight, to_microseconds(started_at), "", kind
                )
            )
        self.sheets[number] = entries

    def handle_event(self, now: int, code: int, tail: memoryview, fields: tuple) -> None:
        """Handle one event of an instance; events of unknown instances are ignored."""
        number = fields[0]
        if code == frames.CREATE:
            _, seed, offset, size = fields
            try:
                info = json.loads(bytes(frames.tail_slice(tail, offset, size)))
            except ValueError as error:
                raise MalformedFrameError(f"settings of instance {number}: {error}") from error
            self.instances[number] = Instance(number, info, seed, self)
            return
        if code == frames.EXIT:
            self.instances.pop(number, None)
            return
        instance = self.instances.get(number)
        if instance is None:
            return
        if code == frames.INGRESS:
            _, submission_id, _, key, flags, _, deadline_at, class_index = fields
            instance.submissions[submission_id] = instance.balancer.submit(
                now, submission_id, class_index, key, bool(flags & 2), to_microseconds(deadline_at)
            )
        elif code == frames.REPORT:
            _, submission_id, complete, status, elapsed, _, hop = fields
            if status not in OUTCOMES:
                raise MalformedFrameError(f"unknown outcome {status}")
            submission = instance.submissions.get(submission_id)
            if submission is not None:
                submission.hop_finished(now, hop, OUTCOMES[status], to_microseconds(elapsed), bool(complete))
                self.forget_if_finished(instance, submission_id, submission)
        elif code == frames.TICK:
            handler = instance.timers.pop(fields[1], None)
            if handler is not None:
                handler.on_timer(now)
                if isinstance(handler, Submission):
                    self.forget_if_finished(instance, handler.id, handler)
        elif code == frames.CHANGED:
            _, _, kind, sheet = fields
            if kind > ListKind.FAILED or kind != ListKind.FAILED and sheet not in self.sheets:
                raise MalformedFrameError(f"invalid list of kind {kind} with sheet {sheet}")
            entries = [] if kind == ListKind.FAILED else self.sheets[sheet]
            instance.balancer.update_servers(now, ListKind(kind), entries)
        elif code == frames.VANISHED:
            submission = instance.submissions.get(fields[1])
            if submission is not None:
                submission.client_left(now)
                self.forget_if_finished(instance, fields[1], submission)
        elif code == frames.STARTED:
            submission = instance.submissions.get(fields[1])
            if submission is not None:
                submission.response_started(now, fields[2])
        elif code == frames.DATAGRAM:
            _, _, offset, size = fields
            instance.balancer.receive_peer_message(now, bytes(frames.tail_slice(tail, offset, size)))
        elif code == frames.PROBED and fields[2] not in OUTCOMES:
            raise MalformedFrameError(f"unknown outcome {fields[2]}")

    @staticmethod
    def forget_if_finished(instance: Instance, submission_id: int, submission: Submission) -> None:
        """Drop a finished submission."""
        if submission.is_finished():
            instance.submissions.pop(submission_id, None)


def serve(stdin: BinaryIO, stdout: BinaryIO) -> None:
    """Answer batches until the input ends; raises MalformedFrameError."""
    host = Host()
    while (batch := frames.read_batch(stdin)) is not None:
        host.handle_batch(batch).write(stdout)
