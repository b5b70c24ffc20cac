"""Incremental HTTP/1.1 parsers (RFC 9112): bytes go into a ring buffer, complete messages come out.

The text of a MalformedMessageError is sent to the client and counted under its own name.
"""

from __future__ import annotations

import re

from .chunked import ChunkDecoder
from .errors import MalformedMessageError
from .fields import FIELD_LINES, FIELD_LINES_PATTERN, TOKEN, check_field, find_fields, names_pattern
from .limits import MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS
from .messages import Message, Request, Response
from .ring import Ring

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_HEAD_BYTES",
    "MAX_HEADERS",
    "READ_BYTES",
    "START",
    "RequestParser",
    "ResponseParser",
]

TARGET = re.compile(r"[!-~]+")
VERSION = re.compile(r"HTTP/1\.([0-9])")
DIGITS = re.compile(r"[0-9]{1,15}")
STATUS_CODE = re.compile(r"[1-5][0-9]{2}")
EMPTY_LINES = re.compile(rb"(?:\r\n)*+")
REQUEST_LINE_PATTERN = rb"([!#$%&'*+.^_`|~0-9A-Za-z-]++) ([!-~]++) HTTP/1\.([0-9])\r\n"
REQUEST_LINE = re.compile(REQUEST_LINE_PATTERN)
STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: [^\r\n]*+)?\r\n")
# A complete head without its empty line.
REQUEST_HEAD = re.compile(REQUEST_LINE_PATTERN + FIELD_LINES_PATTERN)
FRAMING = re.compile(rb"\r\n(?:(content-length)|transfer-encoding|expect|connection):([^\r]*)", re.I)
LENGTH_VALUE = re.compile(rb"[ \t]*([0-9]{1,9})[ \t]*")
CLASS_HEADER = re.compile(rb"\r\nx-qos:[ \t]*([!-~]+)[ \t]*\r\n", re.I)
EXPIRES_HEADER = re.compile(rb"\r\nx-expires-in-ms:[ \t]*([0-9]{1,9})[ \t]*\r\n", re.I)
RETRY_MARK = b"\r\nX-Second-Try: 1\r\n"

FRAMING_FIELDS = names_pattern("content-length", "transfer-encoding")

READ_BYTES = 16 * 1024  # of a body at a time

# States of a parser: what it expects next.
START, FIXED_LENGTH, CHUNKS, TRAILERS, UNTIL_CLOSE = range(5)

NO_MESSAGE = Message()


class Parser:
    """The common part of both parsers; `next` returns a message once its last byte is in the ring.

    What it holds is bounded by MAX_HEAD_BYTES and MAX_BODY_BYTES, whatever the form in which a message comes.
    With a larger `max_body`, the caller must take longer bodies piece by piece (`is_long`, `take_body`).
    """

    start_line = REQUEST_LINE

    def __init__(self, max_body: int = MAX_BODY_BYTES) -> None:
        self.max_body = max_body
        self.ring = Ring(MAX_HEAD_BYTES + min(max_body, MAX_BODY_BYTES))
        self.state = START
        self.message: Message = NO_MESSAGE
        self.body = bytearray()
        self.chunks = ChunkDecoder(max_body)
        self.remaining = 0  # bytes of a body of known length that are still to be read
        self.body_size = 0  # as announced so far
        self.section_size = 0  # bytes before the head, or of the trailers, that are no longer in the ring
        self.start_line_size = 0  # of the head in the ring, once it is complete
        self.checked = 0  # bytes of the ring that are complete, well-formed lines of a head
        self.header_count = 0  # of these lines
        self.scanned = 0  # bytes of the ring known not to begin the end of a head
        self.input_ended = False

    def feed(self, data: bytes) -> None:
        """Write bytes to the ring; raises MalformedMessageError if they do not fit."""
        if self.ring.write(data) < len(data):
            raise MalformedMessageError(413, "more bytes than a message may have")

    def end_input(self) -> None:
        """Note that the peer has closed its side: a body without framing is complete."""
        self.input_ended = True

    def is_idle(self) -> bool:
        """Whether no byte of the next message has been received."""
        return self.state == START and not len(self.ring)

    def is_long(self) -> bool:
        """Whether the body being read is longer than MAX_BODY_BYTES, so that it can't be buffered."""
        return self.state != START and self.announced() > MAX_BODY_BYTES

    def announced(self) -> int:
        """The length of the body being read, as far as it is known."""
        return self.chunks.body_size if self.state == CHUNKS or self.state == TRAILERS else self.body_size

    def incoming(self) -> tuple[Message, int] | None:
        """The message whose body is being read, and the body's length, or -1 if that is not known yet."""
        if self.state == START:
            return None
        return self.message, self.body_size if self.state == FIXED_LENGTH else -1

    def wanted_bytes(self) -> int:
        """How much is worth reading at a time now; 0: as much as there is space for."""
        if self.state == START:
            return 0
        return min(self.remaining, READ_BYTES) if self.state == FIXED_LENGTH else READ_BYTES

    def held_bytes(self, wanted: int = 0) -> int:
        """How much memory its buffers take, and what they will take once `wanted` bytes more are read."""
        body_bytes = len(self.body) + wanted
        return self.ring.size_for(wanted) + body_bytes + body_bytes // 8 + len(self.message.fields)

    def take_body(self) -> bytes:
        """Take the part of the body read since the last call; `next` returns the message with the rest."""
        if not self.body:
            return b""
        taken = bytes(self.body)
        self.body = bytearray()
        return taken

    def next(self) -> Message | None:
        """Return the next message, or None while it is incomplete; raises MalformedMessageError."""
        if self.state == START:
            if not self.ring.size or not self.read_head():
                return None
            self.choose_framing()
            if self.state == START:
                return self.finish()
        if self.state == CHUNKS:
            if not self.chunks.decode(self.ring, self.body):
                return None
            self.state = TRAILERS
        if self.state == TRAILERS:
            is_complete = self.read_trailers()
        elif self.state == FIXED_LENGTH:
            is_complete = self.read_fixed_length()
        else:
            is_complete = self.read_until_close()
        return self.finish() if is_complete else None

    # -- heads and trailers

    def read_head(self) -> bool:
        """Check what has arrived of the head, and take it if it is complete; whether it was."""
        ring = self.ring
        if not self.checked:
            self.skip_empty_lines()
        end = ring.find(b"\r\n\r\n", self.scanned)
        self.check_section_size(end + 4 if end >= 0 else ring.size)
        self.check_lines(end + 2 if end >= 0 else ring.rfind(b"\n") + 1)
        if end < 0:
            self.scanned = max(0, ring.size - 3)
            return False
        self.message.fields = ring.copy(self.start_line_size - 2, end + 2)
        ring.consume(end + 4)
        ring.shrink()
        self.section_size = self.checked = self.header_count = self.scanned = 0
        return True

    def skip_empty_lines(self) -> None:
        """Skip empty lines before a message (RFC 9112, 2.2)."""
        ring = self.ring
        if ring.starts_with(b"\r\n"):
            skipped = ring.match_size(EMPTY_LINES)
            ring.consume(skipped)
            self.section_size += skipped
            self.scanned = 0

    def check_lines(self, end: int) -> None:
        """Check the lines of the head up to that offset, except those that have been checked before."""
        if end <= self.checked:
            return
        ring = self.ring
        if not self.checked:
            line = ring.match(self.start_line, 0, end)
            if line is None:
                raise self.start_line_error(self.text_of_line(0))
            self.message = self.build_message(line)
            self.checked = self.start_line_size = len(line[0])
        fields_end = self.checked + ring.match_size(FIELD_LINES, self.checked, end)
        self.header_count += ring.count(b"\n", self.checked, fields_end)
        if self.header_count > MAX_HEADERS:
            raise MalformedMessageError(431, f"more than {MAX_HEADERS} headers")
        if fields_end < end:
            self.reject_field(fields_end)
        self.checked = end

    def check_section_size(self, size: int) -> None:
        """Raise MalformedMessageError if a head or trailers become too long."""
        if self.section_size + size > MAX_HEAD_BYTES:
            raise MalformedMessageError(431, f"head or trailers of more than {MAX_HEAD_BYTES} bytes")

    def text_of_line(self, start: int) -> str:
        """Return the complete line that begins at an offset; raises MalformedMessageError without CR LF."""
        line = self.ring.copy(start, self.ring.find(b"\n", start) + 1).decode("latin-1")
        if not line.endswith("\r\n"):
            raise MalformedMessageError(400, "line that does not end in CR LF")
        return line[:-2]

    def reject_field(self, start: int) -> None:
        """Raise the error of a line that is no header field."""
        check_field(self.text_of_line(start))
        raise MalformedMessageError(400, "malformed header")

    def read_trailers(self) -> bool:
        """Check and drop the trailers that have arrived; whether their end was among them."""
        ring = self.ring
        lines_end = ring.rfind(b"\n") + 1
        fields_end = ring.match_size(FIELD_LINES, 0, lines_end)
        self.check_section_size(fields_end if fields_end < lines_end else ring.size)
        if fields_end < lines_end and not ring.starts_with(b"\r\n", fields_end):
            self.reject_field(fields_end)
        is_complete = fields_end < lines_end
        ring.consume(fields_end + 2 if is_complete else fields_end)
        self.section_size += fields_end
        return is_complete

    # -- bodies

    def choose_framing(self) -> None:
        """Choose by the complete head how the body ends; the state stays START if there is none."""
        message = self.message
        if self.has_no_body():
            return
        framing = find_fields(message.fields, FRAMING_FIELDS)
        lengths = [value for name, value in framing if name == "content-length"]
        if len(framing) > len(lengths):
            if message.tokens("transfer-encoding") != ["chunked"]:
                raise MalformedMessageError(501, "transfer coding other than chunked")
            if lengths or not message.minor:
                # Request smuggling: two readers of a connection could disagree on where the message ends.
                raise MalformedMessageError(400, "chunked body with a length or in HTTP/1.0")
            self.chunks = ChunkDecoder(self.max_body)
            self.state = CHUNKS
        elif lengths:
            if len(lengths) > 1 or not DIGITS.fullmatch(lengths[0]):
                raise MalformedMessageError(400, "malformed length")
            self.remaining = int(lengths[0])
            self.add_body_size(self.remaining)
            self.state = FIXED_LENGTH
        elif self.ends_at_close():
            self.state = UNTIL_CLOSE

    def add_body_size(self, count: int) -> None:
        """Count announced or received bytes of the body, up to the limit."""
        self.body_size += count
        if self.body_size > self.max_body:
            raise MalformedMessageError(413, f"body of more than {self.max_body} bytes")

    def read_fixed_length(self) -> bool:
        """Take what has arrived of a body of known length; whether it is complete."""
        self.remaining -= self.ring.move_to(self.body, self.remaining)
        return not self.remaining

    def read_until_close(self) -> bool:
        """Take what has arrived of a body that ends with the connection; whether it is complete."""
        self.add_body_size(self.ring.move_to(self.body, self.ring.size))
        return self.input_ended

    def finish(self) -> Message:
        """Return the complete message and get ready for the next one."""
        message = self.message
        message.body = self.take_body()
        self.message = NO_MESSAGE
        self.ring.shrink()
        self.state = START
        self.body_size = self.section_size = self.remaining = 0
        return message

    # -- what differs between requests and responses

    def start_line_error(self, line: str) -> MalformedMessageError:
        """Return the error of a malformed first line."""
        raise NotImplementedError

    def build_message(self, start_line: re.Match[bytes]) -> Message:
        """Build a message from a match of `start_line`."""
        raise NotImplementedError

    def has_no_body(self) -> bool:
        """Whether the message ends with its head whatever its headers say."""
        return False

    def ends_at_close(self) -> bool:
        """Whether a body without framing headers ends with the connection."""
        return False


class RequestParser(Parser):
    """Parses requests."""

    def start_line_error(self, line: str) -> MalformedMessageError:
        """Return the error of a malformed request line."""
        words = line.split(" ")
        is_request_line = len(words) == 3 and TOKEN.fullmatch(words[0]) and TARGET.fullmatch(words[1])
        if is_request_line and not VERSION.fullmatch(words[2]):
            return MalformedMessageError(505, "not HTTP/1")
        return MalformedMessageError(400, "malformed request line")

    def build_message(self, start_line: re.Match[bytes]) -> Message:
        """Build a request."""
        return Request(minor=int(start_line[3]), method=start_line[1].decode(), target=start_line[2].decode())

    def next(self) -> Request | None:
        """Return the next request, or None while it is incomplete; raises MalformedMessageError."""
        message = super().next()
        return None if message is None else self.normalize(message)

    @staticmethod
    def normalize(message: Message) -> Request:
        """Check for exactly one Host header and make the target origin-form (RFC 9112, 3.2)."""
        assert isinstance(message, Request)
        if message.minor and len(message.header_values("host")) != 1:
            raise MalformedMessageError(400, "not one Host header")
        if message.target[:7].lower() == "http://":
            _, slash, path = message.target[7:].partition("/")
            message.target = "/" + path if slash else "/"
        return message

    def peek_request(self) -> tuple[int, str, str, bool] | None:
        """Return size, class, deadline and retry mark of the one plain request in the ring, or None.

        Used to reject a request without parsing it.  Requests with anything but a head and a body with
        Content-Length are left to `next`.  The head must match exactly what `next` accepts: if the length
        were read differently here, the body could be taken for the next request (request smuggling).
        """
        ring = self.ring
        head_end = ring.find(b"\r\n\r\n")
        if self.state != START or self.checked or head_end <= 0:
            return None
        end = ring.head + head_end + 2
        head = REQUEST_HEAD.fullmatch(ring.buffer, ring.head, end)
        if head is None or head[3] == b"0" or head[1] == b"HEAD":
            return None
        framing = FRAMING.findall(ring.buffer, ring.head, end)
        size = head_end + 4
        if framing:
            length = LENGTH_VALUE.fullmatch(framing[0][1])
            if len(framing) > 1 or not framing[0][0] or length is None:
                return None
            size += int(length[1])
        class_header = CLASS_HEADER.search(ring.buffer, ring.head, end)
        if size != len(ring) or class_header is None:
            return None
        expires = EXPIRES_HEADER.search(ring.buffer, ring.head, end)
        return (
            size,
            class_header[1].decode(),
            expires[1].decode() if expires else "",
            ring.buffer.find(RETRY_MARK, ring.head, end) >= 0,
        )

    def awaits_continue(self) -> bool:
        """Whether the client waits for 100 Continue before it sends the body."""
        is_at_start = self.state == FIXED_LENGTH or self.state == CHUNKS and not self.chunks.body_size
        return is_at_start and not self.body and "100-continue" in self.message.tokens("expect")


class ResponseParser(Parser):
    """Parses responses; `method` must be set to that of the request before each one."""

    method = "GET"
    start_line = STATUS_LINE

    def build_message(self, start_line: re.Match[bytes]) -> Message:
        """Build a response."""
        return Response(minor=int(start_line[1]), status=int(start_line[2]))

    def start_line_error(self, line: str) -> MalformedMessageError:
        """Return the error of a malformed status line."""
        version, _, rest = line.partition(" ")
        is_status_line = STATUS_CODE.fullmatch(rest[:3]) and rest[3:4] in ("", " ")
        if is_status_line and not VERSION.fullmatch(version):
            return MalformedMessageError(505, "not HTTP/1")
        return MalformedMessageError(502, "malformed status line")

    def next(self) -> Response | None:
        """Return the next final response, or None while it is incomplete; skips 1xx."""
        while True:
            message = super().next()
            if message is None:
                return None
            assert isinstance(message, Response)
            if message.status >= 200:
                return message

    def has_no_body(self) -> bool:
        """Whether the status or the request's method rules out a body."""
        status = self.message.status if isinstance(self.message, Response) else 0
        return status < 200 or status in (204, 304) or self.method == "HEAD"

    def ends_at_close(self) -> bool:
        """Mark the response: without framing headers its body ends with the connection."""
        assert isinstance(self.message, Response)
        self.message.until_close = True
        return True
