"""Parsed requests and responses."""

from __future__ import annotations

from dataclasses import dataclass

from .errors import MalformedMessageError
from .fields import find_values, split_fields

__all__ = ["MalformedMessageError", "Message", "Request", "Response"]

# Headers of one connection, which must not be forwarded (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)


@dataclass(slots=True)
class Message:
    """The common part of requests and responses.

    `minor` is the minor version of HTTP/1, `fields` the header lines as received, each after a line end.
    """

    minor: int = 1
    fields: bytes = b""
    body: bytes = b""

    def header_values(self, name: str) -> list[str]:
        """All values of a header; the name must be in lower case."""
        return find_values(self.fields, name)

    def header(self, name: str) -> str:
        """The first value of a header, or an empty string."""
        values = find_values(self.fields, name.lower())
        return values[0] if values else ""

    def tokens(self, name: str) -> list[str]:
        """The comma-separated elements of a header in lower case; the name must be in lower case."""
        values = find_values(self.fields, name)
        if not values:
            return []
        parts = ",".join(values).split(",")
        return [part.strip().lower() for part in parts if part.strip()]

    def keeps_alive(self) -> bool:
        """Whether the sender keeps the connection open after this message."""
        tokens = self.tokens("connection")
        return "close" not in tokens and (self.minor > 0 or "keep-alive" in tokens)

    def end_to_end_headers(self) -> list[tuple[str, str]]:
        """The headers to be forwarded: all but those of this connection."""
        hop_by_hop = HOP_BY_HOP
        named = self.tokens("connection")
        if named:
            hop_by_hop = HOP_BY_HOP.union(named)
        return [(name, value) for name, value in split_fields(self.fields) if name.lower() not in hop_by_hop]


@dataclass(slots=True)
class Request(Message):
    """A request."""

    method: str = ""
    target: str = ""


@dataclass(slots=True)
class Response(Message):
    """A response; `until_close` if its body had no framing and ended with the connection."""

    status: int = 0
    until_close: bool = False
