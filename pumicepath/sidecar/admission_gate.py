"""The admission queue for threads: each waits on a lock of its own, without using the interpreter.

Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

import threading

from ..admission.queue import AdmissionQueue, AdmissionResult
from . import clock
from .config import Config


class Waiter:
    """A waiting thread; `admitted` is valid once its lock is released."""

    __slots__ = ("lock", "admitted")

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.admitted = False

    def notify(self, admitted: bool) -> None:
        """Wake the thread with the decision on its request."""
        self.admitted = admitted
        self.lock.release()


class AdmissionGate:
    """The admission queue, under a lock that is held only for single decisions."""

    def __init__(self, config: Config) -> None:
        settings = config.settings
        self.queue: AdmissionQueue[Waiter] = AdmissionQueue(
            settings.request_classes, settings.max_retry_after, config.max_client_connections, config.seed
        )
        self.lock = threading.Lock()

    def apply_config(self, config: Config) -> None:
        """Use the request classes and limits of another configuration from now on."""
        with self.lock:
            self.queue.apply_settings(config.settings.request_classes, config.settings.max_retry_after)

    def enter(
        self, received_at: int, deadline_at: int, request_class: int, retry: bool, typical_latency: float
    ) -> bool:
        """Wait for a slot for a new request; False if the request is rejected.

        After True, `leave` must be called.  `typical_latency` is what requests of the class usually take.
        """
        waiter = Waiter()
        with self.lock:
            result = self.queue.offer(
                clock.now(), received_at, deadline_at, request_class, retry, typical_latency, waiter
            )
            if result != AdmissionResult.QUEUED:
                return result == AdmissionResult.ADMITTED
            waiter.lock.acquire()  # still free, so this does not block
        waiter.lock.acquire()
        return waiter.admitted

    def reenter(self) -> None:
        """Wait for a slot to go on with an admitted request; `leave` must be called afterwards."""
        waiter = Waiter()
        with self.lock:
            if self.queue.resume(waiter):
                return
            waiter.lock.acquire()  # still free, so this does not block
        waiter.lock.acquire()

    def leave(self, delay: int = 0) -> None:
        """Release the slot; `delay` is how long the response waited to be passed on, or 0 without one."""
        with self.lock:
            if delay > 0:
                self.queue.record_response_delay(delay)
            admitted, rejected = self.queue.release(clock.now())
        for waiter in rejected:
            waiter.notify(False)
        if admitted is not None:
            admitted.notify(True)
