"""A lock whose owner also runs the calls of the threads that wait for it (flat combining).

    lock = CombiningLock(on_fault)
    lock.run(call)                          # call(now), then what it appended to lock.after_unlock

With a plain lock and hundreds of threads, each owner would have to wait for the interpreter lock while all
others wait for that owner (a lock convoy).
"""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable

from . import clock

Action = Callable[[], None]


class PendingCall:
    """A call to run under the lock, its error, and the work that it queued for afterwards."""

    __slots__ = ("call", "after_unlock", "error", "done")

    def __init__(self, call: Callable[[int], None]) -> None:
        self.call = call
        self.after_unlock: list[Action] = []
        self.error: Exception | None = None
        self.done: threading.Lock | None = None


class CombiningLock:
    """Runs calls one at a time, and without the lock the work that they queue.

    Calls append to `after_unlock`, and to `closes`, which are done first.  `on_fault` gets the exceptions of
    that work.
    """

    def __init__(self, on_fault: Callable[[Exception], None]) -> None:
        self.on_fault = on_fault
        self.lock = threading.Lock()
        self.pending_calls: deque[PendingCall] = deque()
        self.closes: list[Action] = []
        self.after_unlock: list[Action] = []

    def run(self, call: Callable[[int], None]) -> None:
        """Run a call with the present time, then the work that it queued; re-raise the call's exception."""
        pending = PendingCall(call)
        if self.lock.acquire(False):
            self.run_call(pending)
            self.run_pending_calls()
        else:
            pending.done = threading.Lock()
            pending.done.acquire()
            self.pending_calls.append(pending)
            if self.lock.acquire(False):  # released between the two attempts
                self.run_pending_calls()
            pending.done.acquire()
        self.run_actions(pending.after_unlock)
        if pending.error is not None:
            raise pending.error

    def run_call(self, pending: PendingCall) -> None:
        """Run one call with the lock held and collect the work that it queued."""
        try:
            pending.call(clock.now())
        except Exception as error:  # raised in the caller after the work queued before it
            pending.error = error
        pending.after_unlock, self.after_unlock = self.closes + self.after_unlock, []
        self.closes = []

    def run_pending_calls(self) -> None:
        """Run all queued calls and release the lock, which the caller must hold.

        The queue is checked again after the release: a thread that queued its call just before that may have
        found the lock taken and now waits for someone to run it.
        """
        while True:
            while self.pending_calls:
                pending = self.pending_calls.popleft()
                self.run_call(pending)
                if pending.done is not None:
                    pending.done.release()
            self.lock.release()
            if not self.pending_calls or not self.lock.acquire(False):
                return

    def run_actions(self, actions: list[Action]) -> None:
        """Run queued work without the lock."""
        for action in actions:
            try:
                action()
            except Exception as error:  # a failure on one connection must not stop the others' answers
                self.on_fault(error)
