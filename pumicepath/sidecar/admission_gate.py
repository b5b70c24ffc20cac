"""Where clients' threads wait to be taken up, off the interpreter, each on a lock of its own."""

from __future__ import annotations

import threading

from ..admission.queue import AdmissionQueue, AdmissionResult
from . import clock
from .config import Config


class Waiter:
    """A thread that waits; `go` is known once its lock is free."""

    __slots__ = ("lock", "admitted")

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.admitted = False

    def notify(self, admitted: bool) -> None:
        self.admitted = admitted
        self.lock.release()


class AdmissionGate:
    """The intake, under a lock that nobody holds for longer than a decision."""

    def __init__(self, config: Config) -> None:
        settings = config.settings
        self.queue: AdmissionQueue[Waiter] = AdmissionQueue(
            settings.request_classes, settings.max_retry_after, config.max_client_connections, config.seed
        )
        self.lock = threading.Lock()

    def apply_config(self, config: Config) -> None:
        with self.lock:
            self.queue.apply_settings(config.settings.request_classes, config.settings.max_retry_after)

    def enter(
        self, received_at: int, deadline_at: int, request_class: int, retry: bool, typical_latency: float
    ) -> bool:
        """Wait to be taken up; False if the request is turned away.  True must be followed by `leave`."""
        waiting = Waiter()
        with self.lock:
            verdict = self.queue.offer(
                clock.now(), received_at, deadline_at, request_class, retry, typical_latency, waiting
            )
            if verdict != AdmissionResult.QUEUED:
                return verdict == AdmissionResult.ADMITTED
            waiting.lock.acquire()  # free until now: nobody is waited for
        waiting.lock.acquire()
        return waiting.admitted

    def reenter(self) -> None:
        """Wait for a place to go on with what was taken up; must be followed by `leave`."""
        waiting = Waiter()
        with self.lock:
            if self.queue.resume(waiting):
                return
            waiting.lock.acquire()  # free until now
        waiting.lock.acquire()

    def leave(self, delay: int = 0) -> None:
        """Let another have the place; `out` is how long ago the answer came that was passed on, if any."""
        with self.lock:
            if delay > 0:
                self.queue.record_response_delay(delay)
            following, turned = self.queue.release(clock.now())
        for one in turned:
            one.notify(False)
        if following is not None:
            following.notify(True)
