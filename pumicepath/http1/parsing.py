"""Parsers as state machines: bytes go into their ring, whole messages come out."""

from __future__ import annotations

import re
from collections import deque

from .messages import MalformedMessageError, Message, Request, Response
from .ring import Ring

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100
MAX_BODY_BYTES = 64 * 1024
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
TARGET = re.compile(r"[!-~]+")
FIELD_VALUE = re.compile(r"[\t -~\x80-\xff]*")
VERSION = re.compile(r"HTTP/1\.([0-9])")
DIGITS = re.compile(r"[0-9]{1,15}")
STATUS_CODE = re.compile(r"[1-5][0-9]{2}")
CHUNK_HEADER = re.compile(r"([0-9A-Fa-f]{1,8})[ \t]*(;[\t -~\x80-\xff]*)?")
# Whole heads up to their empty line, as most come; what does not fit goes line by line, to find its fault.
FIELDS = rb"((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*\r\n)*)"
REQUEST_HEAD = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([!-~]+) HTTP/1\.([0-9])\r\n" + FIELDS)
FRAMING = re.compile(rb"\r\n(?:(content-length)|transfer-encoding|expect|connection):([^\r]*)", re.I)
LENGTH_VALUE = re.compile(rb"[ \t]*([0-9]{1,9})[ \t]*")
CLASS_HEADER = re.compile(rb"\r\nx-qos:[ \t]*([!-~]+)[ \t]*\r\n", re.I)
EXPIRES_HEADER = re.compile(rb"\r\nx-expires-in-ms:[ \t]*([0-9]{1,9})[ \t]*\r\n", re.I)
RETRY_MARK = b"\r\nX-Second-Try: 1\r\n"
RESPONSE_HEAD = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: [\t -~\x80-\xff]*)?\r\n" + FIELDS)


START, HEADERS, FIXED_LENGTH, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILERS, UNTIL_CLOSE = range(8)


class Parser:
    """What requests and responses share; `next` gives a message once its last byte is in the ring."""

    head_pattern = REQUEST_HEAD

    def __init__(self, max_body: int = MAX_BODY_BYTES) -> None:
        self.max_body = max_body
        self.ring = Ring(MAX_HEAD_BYTES + min(max_body, MAX_BODY_BYTES))
        self.state = START
        self.message: Message = Message()
        self.body_parts: list[bytes] = []
        self.remaining = 0
        self.body_size = 0
        self.head_size = 0
        self.scanned = 0
        self.lines: deque[str] = deque()
        self.input_ended = False

    def feed(self, data: bytes) -> None:
        if self.ring.write(data) < len(data):
            raise MalformedMessageError(413, "more bytes than a message may have")

    def end_input(self) -> None:
        """The peer has ended its sending."""
        self.input_ended = True

    def is_idle(self) -> bool:
        """Whether no byte of a next message has come."""
        return self.state == START and not len(self.ring) and not self.lines

    def is_long(self) -> bool:
        """Whether a body is coming that is longer than what is held of one."""
        return self.state > HEADERS and self.body_size > MAX_BODY_BYTES

    def incoming(self) -> tuple[Message, int] | None:
        """The message whose body is coming, and its length, or -1 where that is not known yet."""
        if self.state <= HEADERS:
            return None
        return self.message, self.body_size if self.state == FIXED_LENGTH else -1

    def take_body(self) -> bytes:
        """What has come of the body since it was taken last; `next` brings the rest."""
        parts, self.body_parts = self.body_parts, []
        return b"".join(parts)

    def read_line(self) -> str | None:
        """The next line without its end, or None while it is not whole."""
        if not self.lines:
            # A head that is whole is taken in one piece, unless its last line alone is left, after which a
            # body may hold the same bytes; what else has lines comes line by line.
            at = -1
            if self.state <= HEADERS and self.ring.peek(2) != b"\r\n":
                at = self.ring.find(b"\r\n\r\n")
            at = at + 3 if at >= 0 else self.ring.find(b"\n", self.scanned)
            self.scanned = 0 if at >= 0 else len(self.ring)
            if self.head_size + max(at + 1, self.scanned) > MAX_HEAD_BYTES:
                raise MalformedMessageError(431, f"head or trailers of more than {MAX_HEAD_BYTES} bytes")
            if at < 0:
                return None
            self.head_size += at + 1
            raw = self.ring.read(at + 1).decode("latin-1")
            if raw.count("\n") != raw.count("\r\n"):
                raise MalformedMessageError(400, "line that does not end in CR LF")
            self.lines.extend(raw[:-2].split("\r\n"))
        return self.lines.popleft()

    def parse_head(self) -> bool:
        """Take a head in one piece if it is whole and as it should be: half the work of line by line."""
        ring = self.ring
        at = ring.find(b"\r\n\r\n")
        if not 0 < at <= MAX_HEAD_BYTES - 4:
            return False
        found = self.head_pattern.fullmatch(ring.buffer, ring.head, ring.head + at + 2)
        if found is None:
            return False
        lines = found[found.re.groups].decode("latin-1").split("\r\n")
        if len(lines) > MAX_HEADERS:  # the last is empty
            return False
        headers: list[tuple[str, str]] = []
        index: dict[str, list[str]] = {}
        for line in lines:
            if line:
                name, _, value = line.partition(":")
                value = value.strip(" \t")
                headers.append((name, value))
                folded = name.lower()
                if folded in index:
                    index[folded].append(value)
                else:
                    index[folded] = [value]
        self.message = self.build_message(found, headers, index)
        ring.consume(at + 4)
        self.head_size = at + 4
        self.scanned = 0
        self.state = HEADERS
        return True

    def next(self) -> Message | None:
        if self.state == START and self.ring.size and not self.lines and self.parse_head():
            done = self.choose_framing()
            if done is not None:
                return done
        while True:
            if self.state == FIXED_LENGTH or self.state == CHUNK_DATA:
                piece = self.ring.read(min(self.remaining, len(self.ring)))
                if piece:
                    self.body_parts.append(piece)
                self.remaining -= len(piece)
                if self.remaining:
                    return None
                if self.state == FIXED_LENGTH:
                    return self.finish()
                self.state = CHUNK_END
            elif self.state == UNTIL_CLOSE:
                piece = self.ring.read(len(self.ring))
                self.add_body_size(len(piece))
                self.body_parts.append(piece)
                return self.finish() if self.input_ended else None
            else:
                line = self.read_line()
                if line is None:
                    return None
                done = self.parse_line(line)
                if done is not None:
                    return done

    def parse_line(self, line: str) -> Message | None:
        if self.state == START:
            if line:
                self.message = self.parse_start_line(line)
                self.state = HEADERS
        elif self.state == HEADERS:
            if line:
                self.message.add_header(*self.parse_field(line))
                if len(self.message.headers) > MAX_HEADERS:
                    raise MalformedMessageError(431, f"more than {MAX_HEADERS} headers")
            else:
                return self.choose_framing()
        elif self.state == CHUNK_SIZE:
            size = CHUNK_HEADER.fullmatch(line)
            if size is None:
                raise MalformedMessageError(400, "malformed size of a chunk")
            self.remaining = int(size[1], 16)
            self.head_size = 0  # bounded by itself: a long body in small chunks has many such lines
            self.add_body_size(self.remaining)
            self.state = CHUNK_DATA if self.remaining else TRAILERS
        elif self.state == CHUNK_END:
            if line:
                raise MalformedMessageError(400, "chunk longer than its size")
            self.state = CHUNK_SIZE
        elif line:
            self.parse_field(line)
        else:
            return self.finish()
        return None

    def add_body_size(self, count: int) -> None:
        self.body_size += count
        if self.body_size > self.max_body:
            raise MalformedMessageError(413, f"body of more than {self.max_body} bytes")

    @staticmethod
    def parse_field(line: str) -> tuple[str, str]:
        name, colon, value = line.partition(":")
        value = value.strip(" \t")
        # Most values need no more than a look: long ones would cost more than all else together.
        plain = value.isascii() and value.isprintable()
        if not colon or not TOKEN.fullmatch(name) or not plain and not FIELD_VALUE.fullmatch(value):
            raise MalformedMessageError(400, "malformed header")
        return name, value

    def choose_framing(self) -> Message | None:
        """The head is whole: choose how the body ends."""
        message = self.message
        if self.has_no_body():
            return self.finish()
        if "transfer-encoding" in message.headers_by_name:
            codings = message.tokens("transfer-encoding")
            if codings != ["chunked"]:
                raise MalformedMessageError(501, "transfer coding other than chunked")
            if "content-length" in message.headers_by_name or not message.minor:
                # Guards against two readers of one connection that disagree on where a message ends.
                raise MalformedMessageError(400, "chunked body with a length or in HTTP/1.0")
            self.state = CHUNK_SIZE
        elif "content-length" in message.headers_by_name:
            lengths = message.header_values("content-length")
            length = lengths[0] if len(lengths) == 1 else ""
            if not DIGITS.fullmatch(length):
                raise MalformedMessageError(400, "malformed length")
            self.remaining = int(length)
            self.add_body_size(self.remaining)
            self.state = FIXED_LENGTH
        elif self.ends_at_close():
            self.state = UNTIL_CLOSE
        else:
            return self.finish()
        return None

    def finish(self) -> Message:
        message = self.message
        message.body = self.body_parts[0] if len(self.body_parts) == 1 else b"".join(self.body_parts)
        self.ring.shrink()
        self.state = START
        self.body_parts = []
        self.body_size = self.head_size = self.remaining = 0
        return message

    def parse_start_line(self, line: str) -> Message:
        raise NotImplementedError

    def build_message(
        self, head: re.Match[bytes], headers: list[tuple[str, str]], index: dict[str, list[str]]
    ) -> Message:
        raise NotImplementedError

    def has_no_body(self) -> bool:
        return False

    def ends_at_close(self) -> bool:
        return False

    @staticmethod
    def parse_minor(version: str) -> int:
        known = VERSION.fullmatch(version)
        if known is None:
            raise MalformedMessageError(505, "not HTTP/1")
        return int(known[1])


class RequestParser(Parser):
    def parse_start_line(self, line: str) -> Message:
        words = line.split(" ")
        if len(words) != 3 or not TOKEN.fullmatch(words[0]) or not TARGET.fullmatch(words[1]):
            raise MalformedMessageError(400, "malformed request line")
        return Request(minor=self.parse_minor(words[2]), method=words[0], target=words[1])

    def build_message(
        self, head: re.Match[bytes], headers: list[tuple[str, str]], index: dict[str, list[str]]
    ) -> Message:
        return Request(int(head[3]), headers, b"", index, head[1].decode(), head[2].decode())

    def next(self) -> Request | None:
        message = super().next()
        return None if message is None else self.normalize(message)

    @staticmethod
    def normalize(message: Message) -> Request:
        """With its target as servers are asked for it, whichever form it came in (RFC 9112, 3.2)."""
        assert isinstance(message, Request)
        if message.minor and len(message.header_values("host")) != 1:
            raise MalformedMessageError(400, "not one Host header")
        if message.target[:7].lower() == "http://":
            _, slash, path = message.target[7:].partition("/")
            message.target = "/" + path if slash else "/"
        return message

    def peek_request(self) -> tuple[int, str, str, bool] | None:
        """The size, class, deadline and mark of a retry of the one plain request in the ring, or None.

        For an answer that says only to come back: nothing is parsed that this doesn't need, and whatever has
        more to it than a head and its length is left to `next`.  The head must be as `next` wants it, to the
        letter: guards against a length read otherwise here, whose body would be taken for the next request.
        """
        ring = self.ring
        at = ring.find(b"\r\n\r\n")
        if self.state != START or self.lines or at <= 0:
            return None
        end = ring.head + at + 2
        head = REQUEST_HEAD.fullmatch(ring.buffer, ring.head, end)
        if head is None or head[3] == b"0" or head[1] == b"HEAD":
            return None
        framing = FRAMING.findall(ring.buffer, ring.head, end)
        size = at + 4
        if framing:
            length = LENGTH_VALUE.fullmatch(framing[0][1])
            if len(framing) > 1 or not framing[0][0] or length is None:
                return None
            size += int(length[1])
        found = CLASS_HEADER.search(ring.buffer, ring.head, end)
        if size != len(ring) or found is None:
            return None
        expires = EXPIRES_HEADER.search(ring.buffer, ring.head, end)
        return (
            size,
            found[1].decode(),
            expires[1].decode() if expires else "",
            ring.buffer.find(RETRY_MARK, ring.head, end) >= 0,
        )

    def awaits_continue(self) -> bool:
        """Whether the client holds its body back until it is told to go on."""
        return (
            self.state in (FIXED_LENGTH, CHUNK_SIZE)
            and not self.body_parts
            and "100-continue" in self.message.tokens("expect")
        )


class ResponseParser(Parser):
    method = "GET"
    head_pattern = RESPONSE_HEAD

    def build_message(
        self, head: re.Match[bytes], headers: list[tuple[str, str]], index: dict[str, list[str]]
    ) -> Message:
        return Response(int(head[1]), headers, b"", index, int(head[2]))

    def parse_start_line(self, line: str) -> Message:
        version, _, rest = line.partition(" ")
        code = rest[:3]
        if not STATUS_CODE.fullmatch(code) or rest[3:4] not in ("", " "):
            raise MalformedMessageError(502, "malformed status line")
        return Response(minor=self.parse_minor(version), status=int(code))

    def next(self) -> Response | None:
        while True:
            message = super().next()
            if message is None:
                return None
            assert isinstance(message, Response)
            if message.status >= 200:
                return message

    def has_no_body(self) -> bool:
        status = self.message.status if isinstance(self.message, Response) else 0
        return status < 200 or status in (204, 304) or self.method == "HEAD"

    def ends_at_close(self) -> bool:
        assert isinstance(self.message, Response)
        self.message.until_close = True
        return True
