"""Serializes HTTP/1.1 messages."""

from __future__ import annotations

from collections.abc import Iterable

# In place of a body's length: it ends with the connection, it is passed with the head, or it is chunked.
UNTIL_CLOSE, COMPLETE, CHUNKED = -3, -2, -1
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
STATUS_LINE_START = b"HTTP/1.1 "  # of every response
LAST_CHUNK = b"0\r\n\r\n"
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


def message(start_line: str, headers: Iterable[tuple[str, str]], body: bytes) -> bytes:
    """Return a message from its start line, headers and body."""
    head = [start_line, *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(head).encode("latin-1") + body


def request(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes = b"", length: int = COMPLETE
) -> bytes:
    """Return a complete request, or the head of one whose body follows, framed by `length`."""
    return request_head(method, target, headers, len(body) if length == COMPLETE else length) + body


def request_head(method: str, target: str, headers: list[tuple[str, str]], length: int) -> bytes:
    """Return the head of a request whose body has this length, or is CHUNKED."""
    if length == CHUNKED:
        headers = [*headers, ("Transfer-Encoding", "chunked")]
    elif length or method not in ("GET", "HEAD"):
        headers = [*headers, ("Content-Length", str(length))]
    return message(f"{method} {target} HTTP/1.1", headers, b"")


def response_head(status: int, headers: list[tuple[str, str]], body_bytes: int, keep_alive: bool) -> bytes:
    """Return the head of a response whose body has this length."""
    return response(status, headers, b"", keep_alive, body_bytes)


def response(
    status: int, headers: list[tuple[str, str]], body: bytes, keep_alive: bool, length: int = COMPLETE
) -> bytes:
    """Return a complete response, or the head of one whose body follows, framed by `length`."""
    framing = []
    if length == CHUNKED:
        framing.append(("Transfer-Encoding", "chunked"))
    elif length != UNTIL_CLOSE:
        framing.append(("Content-Length", str(len(body) if length == COMPLETE else length)))
    if not keep_alive:
        framing.append(("Connection", "close"))
    return message(f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}", [*headers, *framing], body)


def chunk(piece: bytes, last: bool) -> tuple[bytes, ...]:
    """Return the parts of a piece of a chunked body, with the end of the body after the last one."""
    end = LAST_CHUNK if last else b""
    return (b"%x\r\n" % len(piece), piece, b"\r\n", end) if piece else (end,)
