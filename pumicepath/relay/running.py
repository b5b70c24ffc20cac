"""One relay as a process: `run(config)` until SIGTERM or SIGINT."""

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
    """Raises OSError where an address can't be listened at."""
    log = Log(config.name)
    relay = Relay(config, log, time.time_ns() // 1_000_000 * 1000, random.Random(config.name).random)
    near, far = socket.socketpair()
    near.setblocking(False)
    far.setblocking(False)
    # The loop is woken by a signal as by any socket.
    relay.selector.register(near, selectors.EVENT_READ, lambda now: None)
    signal.set_wakeup_fd(far.fileno())

    def ends(number: int, frame: object) -> None:
        relay.stop = True

    signal.signal(signal.SIGTERM, ends)
    signal.signal(signal.SIGINT, ends)
    relay.run()
