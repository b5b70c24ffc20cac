"""Tells the other processes of a hot restart which ids are in use here, and when their requests have ended.

All of them act as one towards clients and servers.  An id is told when it is claimed, and held there until
this process tells that its exchange has ended, or has ended itself.
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from . import clock
from .dispatch import Dispatcher
from .id_grants import IdQuestion, encode_questions
from .servers import start_thread
from .trace_ids import IdInUse

SHARING_TIMEOUT_S = 0.01  # longer than the other process takes, unless it hangs
MAX_SHARED_IDS = 10_000  # at most 256 bytes each, within a message


class IdUpdate(NamedTuple):
    """What a process tells of its ids.

    `process` is its name; an older release has none and tells of no ends, so that its ids are held for their
    time only.  `claimed` has ids with the times until which they are held at least, `ended` those whose
    exchange has ended.  With `is_whole`, what is not among `claimed` has ended.
    """

    process: str
    claimed: list[tuple[str, int]]
    ended: list[str]
    is_whole: bool = False


def encode_ids(ids: Iterable[tuple[str, int]]) -> list[list[Any]]:
    """Encode ids for a message, with times of the machine's monotonic clock, which all processes share."""
    return [[trace_id, clock.to_monotonic(until)] for trace_id, until in ids]


def decode_ids(ids: list[list[Any]]) -> list[tuple[str, int]]:
    """Decode what `encode_ids` has made; raises ValueError for anything else."""
    return [(str(trace_id), clock.from_monotonic(int(until))) for trace_id, until in ids]


def encode_update(update: IdUpdate) -> dict[str, Any]:
    """Return the message for an update."""
    message: dict[str, Any] = {"process": update.process, "ids": encode_ids(update.claimed)}
    if update.ended:
        message["ended"] = update.ended
    if update.is_whole:
        message["whole"] = True
    return message


def decode_update(message: dict[str, Any]) -> IdUpdate:
    """Decode a message with ids; raises ValueError or TypeError if it is invalid."""
    return IdUpdate(
        str(message.get("process", "")),
        decode_ids(message["ids"]),
        [str(each) for each in message.get("ended", [])],
        bool(message.get("whole")),
    )


def encode_in_use(ids: list[IdInUse], process: str) -> dict[str, Any]:
    """Return the part of a handover that has the ids in use; of too many those of open exchanges are kept.

    An older release reads the times in `ids` only; `open_ids` has the open ones by process.
    """
    shared = ids[-MAX_SHARED_IDS:]
    open_ids: dict[str, list[str]] = {}
    for each in shared:
        if each.is_open:
            open_ids.setdefault(each.owner.name if each.owner else process, []).append(each.trace_id)
    return {"ids": encode_ids((each.trace_id, each.until) for each in shared), "open_ids": open_ids}


def decode_in_use(message: dict[str, Any]) -> list[IdUpdate]:
    """Decode what `encode_in_use` has made; raises ValueError, TypeError or AttributeError."""
    ids = decode_ids(message.get("ids", []))
    until = dict(ids)
    updates = [IdUpdate("", ids, [])]
    for process, open_ids in message.get("open_ids", {}).items():
        updates.append(IdUpdate(str(process), [(str(each), until.get(each, 0)) for each in open_ids], []))
    return updates


class IdEvent(NamedTuple):
    """An id that was claimed until then, or whose exchange has ended (0).

    `shared` is set once the other processes have been told of a claim.
    """

    trace_id: str
    until: int
    shared: threading.Event | None = None


class FlushMarker(NamedTuple):
    """Is set once all that was queued before it has been sent."""

    reached: threading.Event


class IdSharing:
    """Queues what happens to the ids of this process, and broadcasts it in a thread of its own.

    Questions for ids are queued as well, and go to newer processes only (`ask`).
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        process: str,
        is_shared: Callable[[], bool],
        broadcast: Callable[[dict[str, Any]], None],
        ask: Callable[[dict[str, Any]], None],
    ) -> None:
        self.dispatcher = dispatcher
        self.process = process
        self.is_shared = is_shared  # whether there is another process
        self.broadcast = broadcast
        self.ask = ask
        self.events: deque[IdEvent | IdQuestion | FlushMarker] = deque(maxlen=MAX_SHARED_IDS)
        self.pending = threading.Event()
        self.has_lost_events = False
        self.started = False

    def start(self) -> None:
        """Broadcast whatever happens from now on; nothing changes if this was called before."""
        if not self.started:
            self.started = True
            self.dispatcher.ids.on_claimed = self.note_claimed
            self.dispatcher.ids.on_ended = self.note_ended
            start_thread(self.run)

    def note_claimed(self, trace_id: str, until: int) -> None:
        """Queue a claim, or a later time; called with the dispatcher's lock held.

        Once that is free the request waits until the others have been told, or for SHARING_TIMEOUT_S.
        """
        if self.is_shared():
            shared = threading.Event()
            self.queue(IdEvent(trace_id, until, shared))
            self.dispatcher.do_after_unlock(lambda: wait_for(shared))

    def note_ended(self, trace_id: str) -> None:
        """Queue the end of an exchange; called with the dispatcher's lock held."""
        if self.is_shared():
            self.queue(IdEvent(trace_id, 0))

    def flush(self, timeout_s: float) -> None:
        """Wait until all that has been queued so far is sent, for a bounded time."""
        marker = FlushMarker(threading.Event())
        self.queue(marker)
        marker.reached.wait(timeout_s)

    def queue(self, event: IdEvent | IdQuestion | FlushMarker) -> None:
        """Queue an event; where the other process has taken none for long, the oldest is lost."""
        if len(self.events) == MAX_SHARED_IDS:
            self.has_lost_events = True
        self.events.append(event)
        self.pending.set()

    def run(self) -> None:
        """Broadcast queued events as they come; the body of a thread."""
        while True:
            self.pending.wait()
            self.pending.clear()
            queued = [self.events.popleft() for _ in range(len(self.events))]
            self.send_events([each for each in queued if isinstance(each, IdEvent)])
            self.send_questions([each for each in queued if isinstance(each, IdQuestion)])
            for each in queued:
                if isinstance(each, FlushMarker):
                    each.reached.set()
            if self.has_lost_events:
                self.has_lost_events = False
                self.broadcast(encode_update(self.whole_update()))

    def send_events(self, events: list[IdEvent]) -> None:
        """Tell the other processes what has become of ids, and have those go on that wait for it."""
        if events:
            self.broadcast(encode_update(self.update_of(events)))
        for event in events:
            if event.shared is not None:
                event.shared.set()

    def send_questions(self, questions: list[IdQuestion]) -> None:
        """Send the questions of each process, this one's and those that are passed on."""
        by_process: dict[str, list[IdQuestion]] = {}
        for question in questions:
            by_process.setdefault(question.process, []).append(question)
        for asked in by_process.values():
            self.ask(encode_questions(asked))

    def update_of(self, events: list[IdEvent]) -> IdUpdate:
        """Return what has become of the ids by these events, the last of which counts."""
        claimed: dict[str, int] = {}
        ended: dict[str, None] = {}
        for event in events:
            if event.until:
                claimed[event.trace_id] = event.until
                ended.pop(event.trace_id, None)
            else:
                ended[event.trace_id] = None
        return IdUpdate(self.process, list(claimed.items()), list(ended))

    def whole_update(self) -> IdUpdate:
        """Return all ids whose exchange is open here."""
        ids = self.dispatcher.ids.in_use()
        claimed = [(each.trace_id, each.until) for each in ids if each.is_open and each.owner is None]
        return IdUpdate(self.process, claimed, [], True)


def wait_for(shared: threading.Event) -> None:
    """Wait until an id has been shared, for a bounded time."""
    shared.wait(SHARING_TIMEOUT_S)
