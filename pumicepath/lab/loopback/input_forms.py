"""Ways to put the same number of bytes on a connection, from the cheapest to the most expensive to parse.

Each form is a stream of bytes that a client may send, for benchmarks and tests of what a byte costs.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

MEGABYTE = 1_000_000
MAX_BUFFERED_BODY_BYTES = 60_000
HEAD_LINES = b"POST /api HTTP/1.1\r\nHost: api\r\nX-Trace-Id: t\r\nX-Qos: read\r\n"
CHUNKED_HEAD = HEAD_LINES + b"Transfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
FIELDS_PER_HEAD = 90
TRAILER_BYTES = 12_000


class InputForm(NamedTuple):
    """A form's name, and a function that returns about so many bytes of it."""

    name: str
    build: Callable[[int], bytes]


def chunk(data: bytes, extension: bytes = b"") -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x%b\r\n%b\r\n" % (len(data), extension, data)


def repeated(message: bytes, size: int) -> bytes:
    """Return a message as often as it fits into `size` bytes, at least once."""
    return message * max(1, size // len(message))


def plain_bodies(size: int) -> bytes:
    """Requests with a body of known length."""
    head = HEAD_LINES + b"Content-Length: %d\r\n\r\n" % MAX_BUFFERED_BODY_BYTES
    return repeated(head + bytes(MAX_BUFFERED_BODY_BYTES), size)


def chunked_bodies(piece: bytes, size: int) -> bytes:
    """Requests whose body comes in repetitions of one piece."""
    body_bytes = min(size, MAX_BUFFERED_BODY_BYTES)
    return repeated(CHUNKED_HEAD + repeated(piece, body_bytes) + LAST_CHUNK, size)


def short_trailers(size: int) -> bytes:
    """Requests with a chunked body of nothing but short trailer fields."""
    return repeated(CHUNKED_HEAD + b"0\r\n" + repeated(b"a:b\r\n", TRAILER_BYTES) + b"\r\n", size)


def short_fields(size: int) -> bytes:
    """Requests without a body, with many short header fields."""
    return repeated(HEAD_LINES.replace(b"POST", b"GET") + b"a:b\r\n" * FIELDS_PER_HEAD + b"\r\n", size)


def repeated_field(size: int) -> bytes:
    """Requests that name one framing field again and again, as a comma-separated list would."""
    return repeated(
        HEAD_LINES.replace(b"POST", b"GET") + b"connection:,\r\n" * FIELDS_PER_HEAD + b"\r\n", size
    )


def empty_lines(size: int) -> bytes:
    """Empty lines before a request, as many as a head may have bytes."""
    request = HEAD_LINES.replace(b"POST", b"GET") + b"\r\n"
    return repeated(b"\r\n" * 7_000 + request, size)


def least_requests(size: int) -> bytes:
    """The shortest requests that can be parsed."""
    return repeated(b"G / HTTP/1.0\r\n\r\n", size)


INPUT_FORMS = (
    InputForm("plain bodies", plain_bodies),
    InputForm("chunks of 16 bytes", lambda size: chunked_bodies(chunk(bytes(16)), size)),
    InputForm("chunks of 2 bytes", lambda size: chunked_bodies(chunk(b"ab"), size)),
    InputForm("chunks of 1 byte", lambda size: chunked_bodies(chunk(b"a"), size)),
    InputForm("chunks of 1 and 3 bytes", lambda size: chunked_bodies(chunk(b"a") + chunk(b"abc"), size)),
    InputForm("chunks with extensions", lambda size: chunked_bodies(chunk(b"a", b";a=b"), size)),
    InputForm("short trailers", short_trailers),
    InputForm("short header fields", short_fields),
    InputForm("one field repeated", repeated_field),
    InputForm("empty lines", empty_lines),
    InputForm("shortest requests", least_requests),
)
