"""Requests and responses as they were read, and what is wrong with those that were not."""

from __future__ import annotations

from dataclasses import dataclass, field

# What concerns one connection only and must not be passed on (RFC 9110, 7.6.1).
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
    """The peer does not speak HTTP/1.1 as it should; `status` is the answer that says so."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


@dataclass(slots=True)
class Message:
    minor: int = 1
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    headers_by_name: dict[str, list[str]] = field(default_factory=dict)

    def add_header(self, name: str, value: str) -> None:
        self.headers.append((name, value))
        self.headers_by_name.setdefault(name.lower(), []).append(value)

    def header_values(self, name: str) -> list[str]:
        """All headers of a name, which is given in lower case."""
        return self.headers_by_name.get(name, [])

    def header(self, name: str) -> str:
        """The first header of that name, or nothing."""
        found = self.header_values(name.lower())
        return found[0] if found else ""

    def tokens(self, name: str) -> list[str]:
        if name not in self.headers_by_name:
            return []
        parts = ",".join(self.header_values(name)).split(",")
        return [part.strip().lower() for part in parts if part.strip()]

    def keeps_alive(self) -> bool:
        """Whether the peer goes on with the connection."""
        tokens = self.tokens("connection")
        return "close" not in tokens and (self.minor > 0 or "keep-alive" in tokens)

    def end_to_end_headers(self) -> list[tuple[str, str]]:
        """The headers that are not the connection's own."""
        own = (
            HOP_BY_HOP.union(self.tokens("connection"))
            if "connection" in self.headers_by_name
            else HOP_BY_HOP
        )
        return [(name, value) for name, value in self.headers if name.lower() not in own]


@dataclass(slots=True)
class Request(Message):
    method: str = ""
    target: str = ""


@dataclass(slots=True)
class Response(Message):
    status: int = 0
    until_close: bool = False
