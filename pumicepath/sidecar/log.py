"""One JSON line an event, written by a thread of its own so that nobody waits for the reader of the log."""

from __future__ import annotations

import os
import threading
import time
from collections import deque
from typing import Any

import orjson

MAX_WAITING_LINES = 2000


class Log:
    def __init__(self, name: str, descriptor: int = 1) -> None:
        self.name = name
        self.descriptor = descriptor
        self.waiting: deque[bytes] = deque()
        self.dropped = 0
        self.has_lines = threading.Event()
        self.write_lock = threading.Lock()

    def event(self, event: str, **figures: Any) -> None:
        if len(self.waiting) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        line = {"time": round(time.time(), 3), "sidecar": self.name, "event": event, **figures}
        self.waiting.append(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
        self.has_lines.set()

    def run(self) -> None:
        while True:
            self.has_lines.wait()
            self.has_lines.clear()
            self.flush()

    def flush(self) -> None:
        with self.write_lock:
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
