"""One JSON line an event, written by a thread of its own so that nobody waits for the reader of the log."""

from __future__ import annotations

import os
import threading
import time
from collections import deque
from typing import Any

import orjson

MOST_WAITING = 2000


class Log:
    def __init__(self, name: str, descriptor: int = 1) -> None:
        self.name = name
        self.descriptor = descriptor
        self.waiting: deque[bytes] = deque()
        self.dropped = 0
        self.some = threading.Event()
        self.writing = threading.Lock()

    def event(self, event: str, **figures: Any) -> None:
        if len(self.waiting) >= MOST_WAITING:
            self.dropped += 1
            return
        line = {"time": round(time.time(), 3), "sidecar": self.name, "event": event, **figures}
        self.waiting.append(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
        self.some.set()

    def run(self) -> None:
        while True:
            self.some.wait()
            self.some.clear()
            self.flush()

    def flush(self) -> None:
        with self.writing:
            while self.waiting:
                data = self.waiting.popleft()
                try:
                    while data:
                        data = data[os.write(self.descriptor, data) :]
                except OSError:
                    return  # nobody reads the log any more; that must not end the sidecar
            if self.dropped:
                dropped, self.dropped = self.dropped, 0
                self.event("log_dropped", lines=dropped)
