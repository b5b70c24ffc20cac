"""Messages as bytes."""

from __future__ import annotations

from collections.abc import Iterable

UNTIL_CLOSE, COMPLETE, CHUNKED = -3, -2, -1  # in place of a length
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
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
    head = [start_line, *(f"{name}: {value}" for name, value in headers), "", ""]
    return "\r\n".join(head).encode("latin-1") + body


def request(
    method: str, target: str, headers: list[tuple[str, str]], body: bytes = b"", length: int = COMPLETE
) -> bytes:
    """A whole request, or the head of one whose body follows, with its length or in chunks."""
    if length == CHUNKED:
        headers = [*headers, ("Transfer-Encoding", "chunked")]
    elif length != COMPLETE:
        headers = [*headers, ("Content-Length", str(length))]
    elif body or method not in ("GET", "HEAD"):
        headers = [*headers, ("Content-Length", str(len(body)))]
    return message(f"{method} {target} HTTP/1.1", headers, body)


def response(
    status: int, headers: list[tuple[str, str]], body: bytes, keep_alive: bool, length: int = COMPLETE
) -> bytes:
    """A whole answer, or the head of one whose body follows, with its length or in chunks."""
    framing = []
    if length == CHUNKED:
        framing.append(("Transfer-Encoding", "chunked"))
    elif length != UNTIL_CLOSE:
        framing.append(("Content-Length", str(len(body) if length == COMPLETE else length)))
    if not keep_alive:
        framing.append(("Connection", "close"))
    return message(f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}", [*headers, *framing], body)


def chunk(piece: bytes, last: bool) -> bytes:
    data = b"%x\r\n%b\r\n" % (len(piece), piece) if piece else b""
    return data + b"0\r\n\r\n" if last else data
