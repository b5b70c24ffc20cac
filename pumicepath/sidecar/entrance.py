"""Where clients' threads wait to be taken up, off the interpreter, each on a lock of its own."""

from __future__ import annotations

import threading

from ..admission.queue import AdmissionQueue, AdmissionResult
from . import clock
from .config import Config


class Waiting:
    """A thread that waits; `go` is known once its lock is free."""

    __slots__ = ("lock", "go")

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.go = False

    def tell(self, go: bool) -> None:
        self.go = go
        self.lock.release()


class Entrance:
    """The intake, under a lock that nobody holds for longer than a decision."""

    def __init__(self, config: Config) -> None:
        settings = config.settings
        self.intake: AdmissionQueue[Waiting] = AdmissionQueue(
            settings.request_classes, settings.max_retry_after, config.max_client_connections, config.seed
        )
        self.gate = threading.Lock()

    def adopt(self, config: Config) -> None:
        with self.gate:
            self.intake.apply_settings(config.settings.request_classes, config.settings.max_retry_after)

    def enter(self, arrived: int, until: int, tariff: int, retry: bool, usual: float) -> bool:
        """Wait to be taken up; False if the request is turned away.  True must be followed by `leave`."""
        waiting = Waiting()
        with self.gate:
            verdict = self.intake.offer(clock.now(), arrived, until, tariff, retry, usual, waiting)
            if verdict != AdmissionResult.QUEUED:
                return verdict == AdmissionResult.ADMITTED
            waiting.lock.acquire()  # free until now: nobody is waited for
        waiting.lock.acquire()
        return waiting.go

    def again(self) -> None:
        """Wait for a place to go on with what was taken up; must be followed by `leave`."""
        waiting = Waiting()
        with self.gate:
            if self.intake.resume(waiting):
                return
            waiting.lock.acquire()  # free until now
        waiting.lock.acquire()

    def leave(self, out: int = 0) -> None:
        """Let another have the place; `out` is how long ago the answer came that was passed on, if any."""
        with self.gate:
            if out > 0:
                self.intake.record_response_delay(out)
            following, turned = self.intake.release(clock.now())
        for one in turned:
            one.tell(False)
        if following is not None:
            following.tell(True)
