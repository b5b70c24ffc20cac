"""The ids in use in all processes of this sidecar, under the lock of the process, and whom to ask for them.

Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from . import clock
from .id_grants import IdAnswer, IdGrants, IdQuestion
from .trace_ids import IdInUse, RemoteProcess, TraceIds


def ignore_claim(trace_id: str, until: int) -> None:
    """Tell nobody that an id is in use: there is no other process."""


def ignore_end(trace_id: str) -> None:
    """Tell nobody that the exchange of an id has ended: there is no other process."""


class IdRegistry:
    """The ids in use; methods may be called from any thread unless they say that the lock must be held.

    `run_locked` runs a call under the lock, `is_open` tells whether the exchange with a number is open, and
    `max_deadline` is for how long an id is held at a time.
    """

    def __init__(
        self,
        run_locked: Callable[[Callable[[int], None]], None],
        is_open: Callable[[int], bool],
        max_deadline: Callable[[], int],
    ) -> None:
        self.run_locked = run_locked
        self.max_deadline = max_deadline
        self.trace_ids = TraceIds(is_open)
        # Both are called with the lock held, and must not block.
        self.on_claimed: Callable[[str, int], None] = ignore_claim
        self.on_ended: Callable[[str], None] = ignore_end
        # Asked before ids are used for what must not run twice; None: this process decides alone.
        self.grants: IdGrants | None = None
        # Whether an older process asks this one before it uses ids; until it does, they may be used at both.
        self.decides = threading.Event()
        self.decides.set()

    def held_until(self, now: int, deadline_at: int) -> int:
        """Return until when the id of an exchange that begins now is held at least."""
        return min(deadline_at, now + self.max_deadline())

    def claim(self, now: int, trace_id: str, number: int, deadline_at: int) -> bool:
        """Use an id for an exchange of this process; False if it is in use.  Needs the lock."""
        until = self.held_until(now, deadline_at)
        if not self.trace_ids.claim(now, trace_id, number, until, self.max_deadline()):
            return False
        self.on_claimed(trace_id, until)
        return True

    def prolong(self, now: int, trace_id: str, deadline_at: int) -> None:
        """Hold an id for the deadline that begins now, with the last byte of a body.  Needs the lock."""
        until = self.held_until(now, deadline_at)
        self.trace_ids.prolong(trace_id, until)
        self.on_claimed(trace_id, until)

    def wait_to_decide(self, deadline_at: int) -> bool:
        """Wait until an older process leaves the decision to this one; False if that takes too long."""
        return self.decides.wait(max(0, deadline_at - clock.now()) / 1e6)

    def set_grants(self, grants: IdGrants | None) -> None:
        """Ask a newer process for ids from now on, or none."""

        def call(now: int) -> None:
            self.grants = grants

        self.run_locked(call)

    def reserve_own(self, trace_id: str, until: int) -> bool:
        """Hold an id for requests of this process that another one is asked for; False if it is in use."""
        is_reserved = False

        def call(now: int) -> None:
            nonlocal is_reserved
            own = self.trace_ids.own
            is_reserved = self.trace_ids.reserve(now, trace_id, until, self.max_deadline(), own)

        self.run_locked(call)
        return is_reserved

    def reserve(
        self, owner: RemoteProcess, questions: list[IdQuestion], pass_on: Callable[[IdQuestion], None]
    ) -> IdAnswer:
        """Hold ids for another process that asks for them; returns the answers that are known here.

        What is not refused is passed on to newer processes, of which one that serves answers.  `pass_on` must
        not block.
        """

        def call(now: int) -> None:
            for question in questions:
                trace_id, until = question.trace_id, question.until
                if not self.trace_ids.reserve(now, trace_id, until, self.max_deadline(), owner):
                    answer.refused.append(question.number)
                    continue
                pass_on(question)
                if self.grants is None:
                    answer.granted.append(question.number)

        answer = IdAnswer(owner.name, [], [])
        self.run_locked(call)
        return answer

    def hold(self, ids: list[tuple[str, int]], owner: RemoteProcess | None, is_whole: bool) -> None:
        """Keep ids that another process uses, each until its time, and while it is open at the `owner`.

        With `is_whole` the owner has no other ones open.
        """

        def call(now: int) -> None:
            if owner is not None and is_whole:
                owner.open_ids.clear()
            for trace_id, until in ids:
                self.trace_ids.hold(now, trace_id, until, self.max_deadline(), owner)

        self.run_locked(call)

    def end(self, owner: RemoteProcess, ended: list[str]) -> None:
        """Note that these exchanges of another process have ended."""
        self.run_locked(lambda now: owner.open_ids.difference_update(ended))

    def end_process(self, owner: RemoteProcess, grace: int) -> None:
        """Note that another process has ended, or that it will have in `grace` microseconds."""

        def call(now: int) -> None:
            owner.ended_at = now + grace

        self.run_locked(call)

    def in_use(self) -> list[IdInUse]:
        """Return the ids in use, those of open exchanges last."""
        ids: list[IdInUse] = []

        def call(now: int) -> None:
            ids.extend(self.trace_ids.in_use(now, self.max_deadline()))

        self.run_locked(call)
        return ids
