"""The watch on the list: what to ask next, and what an answer means."""

from __future__ import annotations

import orjson

from ..http1 import writing
from ..http1.messages import Response
from ..http1.parsing import ResponseParser
from .roster import BadList, Roster, Update

MOST_LIST = 4 * 1024 * 1024
LONGEST_WAIT_MS = 20_000    # a watch that has gone silent is noticed no sooner than this


class Watch:
    """One watch; `parser` takes the bytes of each answer, `restart` begins on a new connection."""

    def __init__(self, roster: Roster, host: str, version: int, wait_us: int) -> None:
        self.roster = roster
        self.host = host
        self.version = version
        self.waits(wait_us)
        self.restart()

    def waits(self, wait_us: int) -> None:
        self.wait_ms = max(1, min(LONGEST_WAIT_MS, wait_us // 1000))

    def restart(self) -> None:
        """A new connection: whatever came on the old one no longer counts."""
        self.parser = ResponseParser(MOST_LIST)

    def move(self, host: str) -> None:
        """Another discovery, whose versions need not be those of the one before: the whole list first."""
        self.host = host
        self.version = -1

    def request(self) -> bytes:
        target = "/discovery/hosts"
        if self.version >= 0:
            target += f"?since={self.version}&timeout_ms={self.wait_ms}"
        return writing.request("GET", target, [("Host", self.host)])

    def update(self, response: Response) -> Update:
        if response.status != 200:
            raise BadList(f"answered {response.status}")
        try:
            # Not the standard library's parser: guards a thread's small stack against deep nesting.
            update = self.roster.read(orjson.loads(response.body))
        except ValueError as trouble:
            raise BadList(str(trouble)) from trouble
        self.version = update.version
        return update
