"""Runs a relay as a process."""

from __future__ import annotations

import random
import selectors
import signal
import socket
import time

from .config import Config
from .log import Log
from .loop import Relay


def run(config: Config) -> None:
    """Run a relay until SIGTERM or SIGINT; raises OSError if it can't listen at an address."""
    log = Log(config.name)
    relay = Relay(config, log, time.time_ns() // 1_000_000 * 1000, random.Random(config.name).random)
    near, far = socket.socketpair()
    near.setblocking(False)
    far.setblocking(False)
    # A signal writes to this socket pair, which wakes the selector.
    relay.selector.register(near, selectors.EVENT_READ, lambda now: None)
    signal.set_wakeup_fd(far.fileno())

    def request_stop(number: int, frame: object) -> None:
        relay.stop = True

    signal.signal(signal.SIGTERM, request_stop)
    signal.signal(signal.SIGINT, request_stop)
    relay.run()
