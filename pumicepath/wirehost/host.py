"""One balancer for each instance of the wire; every event is a call, every answer a message."""

from __future__ import annotations

import json
import math
from typing import Any, BinaryIO

from ..balancer import Balancer, Submission
from ..interface import ListKind, Outcome, ServerEntry, ServerState, TimerHandler
from ..settings import decode_settings
from . import frames
from .frames import MalformedFrameError, Reply

PROBE, SHED, PRINT, FOLLOW, FREE, TRANSMIT, WAKE, FAIL, REVOKE, TELL, DIE = 1, 2, 3, 4, 5, 6, 7, 8, 9, 11, 12
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
    return math.floor(seconds * 1_000_000 + 0.001)


class Instance:
    """An outlet of one balancer: the answers of the module as messages of one instance."""

    def __init__(self, number: int, info: dict[str, Any], seed: int, host: Host) -> None:
        self.number = number
        self.host = host
        self.submissions: dict[int, Submission] = {}
        self.timers: dict[int, TimerHandler] = {}
        self.last_timer_id = 0
        self.balancer = Balancer(decode_settings(info), seed, self)

    def send(self, submission: int, server: int, timeout: int) -> None:
        self.host.reply.add(TRANSMIT, "HIdI", self.number, submission, timeout / 1e6, server)

    def reject(self, submission: int, retry_in: int) -> None:
        self.host.reply.add(SHED, "HId", self.number, submission, retry_in / 1e6)

    def fail(self, submission: int) -> None:
        self.host.reply.add(FAIL, "HI", self.number, submission)

    def cancel(self, submission: int, hop: int) -> None:
        self.host.reply.add(REVOKE, "HIB", self.number, submission, hop)

    def probe(self, server: int) -> None:
        self.host.reply.add(PROBE, "HI", self.number, server)

    def send_to_peer(self, peer: int, data: bytes) -> None:
        self.host.reply.add(TELL, "HIII", self.number, peer, len(self.host.reply.tail), len(data))
        self.host.reply.tail += data

    def close_idle_connections(self, server: int) -> None:
        self.host.reply.add(FREE, "HI", self.number, server)

    def request_server_list(self) -> None:
        self.host.reply.add(FOLLOW, "HB", self.number, 1)

    def set_timer(self, at: int, whom: TimerHandler) -> None:
        self.last_timer_id += 1
        self.timers[self.last_timer_id] = whom
        self.host.reply.add(WAKE, "HdQ", self.number, at / 1e6, self.last_timer_id)

    def log(self, text: str) -> None:
        self.host.reply.add_text(PRINT, self.number, text)


class Host:
    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.sheets: dict[int, list[ServerEntry]] = {}
        self.reply = Reply()

    def handle_batch(self, batch: frames.Batch) -> Reply:
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
            except Exception as trouble:  # a fault of the module ends the day with its text, not the process
                self.reply.add_text(DIE, number, f"{type(trouble).__name__}: {trouble}")
        return self.reply

    def store_sheet(self, tail: memoryview, number: int, offset: int, count: int) -> None:
        data = frames.tail_slice(tail, offset, count * frames.ENTRY_BYTES)
        entries = []
        for server, zone, kind, cell, phase, scale, up in frames.ENTRY_FIELDS.iter_unpack(data):
            if phase > ServerState.DRAINING:
                raise MalformedFrameError(f"unknown phase {phase} of a server")
            entries.append(
                ServerEntry(server, zone, cell, ServerState(phase), scale, to_microseconds(up), "", kind)
            )
        self.sheets[number] = entries

    def handle_event(self, now: int, code: int, tail: memoryview, fields: tuple) -> None:
        number = fields[0]
        if code == frames.CREATE:
            _, seed, offset, size = fields
            try:
                info = json.loads(bytes(frames.tail_slice(tail, offset, size)))
            except ValueError as trouble:
                raise MalformedFrameError(f"settings of instance {number}: {trouble}") from trouble
            self.instances[number] = Instance(number, info, seed, self)
            return
        if code == frames.EXIT:
            self.instances.pop(number, None)
            return
        instance = self.instances.get(number)
        if instance is None:
            return
        if code == frames.INGRESS:
            _, name, _, key, marks, _, until, tariff = fields
            instance.submissions[name] = instance.balancer.submit(
                now, name, tariff, key, bool(marks & 2), to_microseconds(until)
            )
        elif code == frames.REPORT:
            _, name, complete, status, spent, _, hop = fields
            if status not in OUTCOMES:
                raise MalformedFrameError(f"unknown outcome {status}")
            handle = instance.submissions.get(name)
            if handle is not None:
                handle.hop_finished(now, hop, OUTCOMES[status], to_microseconds(spent), bool(complete))
                self.forget_if_finished(instance, name, handle)
        elif code == frames.TICK:
            whom = instance.timers.pop(fields[1], None)
            if whom is not None:
                whom.on_timer(now)
                if isinstance(whom, Submission):
                    self.forget_if_finished(instance, whom.id, whom)
        elif code == frames.CHANGED:
            _, _, form, sheet = fields
            if form > ListKind.FAILED or form != ListKind.FAILED and sheet not in self.sheets:
                raise MalformedFrameError(f"list of form {form} names sheet {sheet}")
            entries = [] if form == ListKind.FAILED else self.sheets[sheet]
            instance.balancer.update_servers(now, ListKind(form), entries)
        elif code == frames.VANISHED:
            handle = instance.submissions.get(fields[1])
            if handle is not None:
                handle.client_left(now)
                self.forget_if_finished(instance, fields[1], handle)
        elif code == frames.STARTED:
            handle = instance.submissions.get(fields[1])
            if handle is not None:
                handle.response_started(now, fields[2])
        elif code == frames.DATAGRAM:
            _, _, offset, size = fields
            instance.balancer.receive_peer_message(now, bytes(frames.tail_slice(tail, offset, size)))
        elif code == frames.PROBED and fields[2] not in OUTCOMES:
            raise MalformedFrameError(f"unknown outcome {fields[2]}")

    @staticmethod
    def forget_if_finished(instance: Instance, name: int, handle: Submission) -> None:
        if handle.is_finished():
            instance.submissions.pop(name, None)


def serve(stdin: BinaryIO, stdout: BinaryIO) -> None:
    host = Host()
    while (batch := frames.read_batch(stdin)) is not None:
        host.handle_batch(batch).write(stdout)
