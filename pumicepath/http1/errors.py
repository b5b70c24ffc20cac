"""The error for messages that can't be parsed."""

from __future__ import annotations


class MalformedMessageError(Exception):
    """A message breaks HTTP/1.1 or a limit; `status` is that of the response to send."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
