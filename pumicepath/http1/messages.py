"""Parsed requests and responses, and the error for messages that can't be parsed."""

from __future__ import annotations

from dataclasses import dataclass, field

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


class MalformedMessageError(Exception):
    """A message breaks HTTP/1.1 or a limit; `status` is that of the response to send."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Message:
    """The common part of requests and responses; `minor` is the minor version of HTTP/1."""

    minor: int = 1
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    headers_by_name: dict[str, list[str]] = field(default_factory=dict)

    def add_header(self, name: str, value: str) -> None:
        """Append a header."""
        self.headers.append((name, value))
        self.headers_by_name.setdefault(name.lower(), []).append(value)

    def header_values(self, name: str) -> list[str]:
        """All values of a header; the name must be in lower case."""
        return self.headers_by_name.get(name, [])

    def header(self, name: str) -> str:
        """The first value of a header, or an empty string."""
        values = self.header_values(name.lower())
        return values[0] if values else ""

    def tokens(self, name: str) -> list[str]:
        """The comma-separated elements of a header in lower case; the name must be in lower case."""
        if name not in self.headers_by_name:
            return []
        parts = ",".join(self.header_values(name)).split(",")
        return [part.strip().lower() for part in parts if part.strip()]

    def keeps_alive(self) -> bool:
        """Whether the sender keeps the connection open after this message."""
        tokens = self.tokens("connection")
        return "close" not in tokens and (self.minor > 0 or "keep-alive" in tokens)

    def end_to_end_headers(self) -> list[tuple[str, str]]:
        """The headers to be forwarded: all but those of this connection."""
        hop_by_hop = (
            HOP_BY_HOP.union(self.tokens("connection"))
            if "connection" in self.headers_by_name
            else HOP_BY_HOP
        )
        return [(name, value) for name, value in self.headers if name.lower() not in hop_by_hop]


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
