"""One JSON line an event on standard output, written by the loop itself, which never waits for a reader."""

from __future__ import annotations

import os
import select
import time
from collections import deque
from typing import Any

import orjson

MAX_QUEUED_LINES = 500
MAX_LINE_BYTES = 4096  # what a pipe that can be written takes without a wait (PIPE_BUF)


class Log:
    def __init__(self, name: str, descriptor: int = 1) -> None:
        self.name = name
        self.descriptor = descriptor
        self.queue: deque[bytes] = deque()
        self.dropped = 0
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)

    def event(self, event: str, **fields: Any) -> None:
        if len(self.queue) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        line = {"time": round(time.time(), 3), "relay": self.name, "event": event, **fields}
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        if len(data) > MAX_LINE_BYTES:
            line = {"time": line["time"], "relay": self.name, "event": event, "cut": len(data)}
            data = orjson.dumps(line, option=orjson.OPT_APPEND_NEWLINE)
        self.queue.append(data)
        self.flush()

    def flush(self) -> None:
        """Write what can be written now.  Guards followers against a reader of the log that has stopped."""
        while self.queue:
            found = self.poll.poll(0)
            if not found or not found[0][1] & select.POLLOUT:
                return
            try:
                os.write(self.descriptor, self.queue.popleft())
            except OSError:
                return  # nobody reads the log any more; that must not end the relay
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            self.event("log_dropped", lines=dropped)
