"""Parsers as state machines: bytes go into their ring, whole messages come out."""

from __future__ import annotations

import re
from collections import deque

from .messages import Malformed, Message, Request, Response
from .ring import Ring

MOST_HEAD = 16 * 1024
MOST_HEADERS = 100
MOST_BODY = 64 * 1024
TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
TARGET = re.compile(r"[!-~]+")
VALUE = re.compile(r"[\t -~\x80-\xff]*")
VERSION = re.compile(r"HTTP/1\.([0-9])")
DIGITS = re.compile(r"[0-9]{1,15}")
STATUS = re.compile(r"[1-5][0-9]{2}")
CHUNK = re.compile(r"([0-9A-Fa-f]{1,8})[ \t]*(;[\t -~\x80-\xff]*)?")
# Whole heads up to their empty line, as most come; what does not fit goes line by line, to find its fault.
FIELDS = rb"((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*\r\n)*)"
REQUEST = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+) ([!-~]+) HTTP/1\.([0-9])\r\n" + FIELDS)
FRAMING = re.compile(rb"\r\n(?:(content-length)|transfer-encoding|expect|connection):([^\r]*)", re.I)
LENGTH_VALUE = re.compile(rb"[ \t]*([0-9]{1,9})[ \t]*")
CLASS = re.compile(rb"\r\nx-qos:[ \t]*([!-~]+)[ \t]*\r\n", re.I)
EXPIRES = re.compile(rb"\r\nx-expires-in-ms:[ \t]*([0-9]{1,9})[ \t]*\r\n", re.I)
AGAIN = b"\r\nX-Second-Try: 1\r\n"
RESPONSE = re.compile(rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: [\t -~\x80-\xff]*)?\r\n" + FIELDS)


START, HEADERS, LENGTH, CHUNK_SIZE, CHUNK_DATA, CHUNK_END, TRAILERS, CLOSE = range(8)


class Parser:
    """What requests and responses share; `next` gives a message once its last byte is in the ring."""

    head_form = REQUEST

    def __init__(self, most_body: int = MOST_BODY) -> None:
        self.most_body = most_body
        self.ring = Ring(MOST_HEAD + min(most_body, MOST_BODY))
        self.step = START
        self.message: Message = Message()
        self.parts: list[bytes] = []
        self.left = 0
        self.got = 0
        self.head = 0
        self.scanned = 0
        self.lines: deque[str] = deque()
        self.ended = False

    def feed(self, data: bytes) -> None:
        if self.ring.put(data) < len(data):
            raise Malformed(413, "more bytes than a message may have")

    def end(self) -> None:
        """The peer has ended its sending."""
        self.ended = True

    def idle(self) -> bool:
        """Whether no byte of a next message has come."""
        return self.step == START and not len(self.ring) and not self.lines

    def long(self) -> bool:
        """Whether a body is coming that is longer than what is held of one."""
        return self.step > HEADERS and self.got > MOST_BODY

    def begun(self) -> tuple[Message, int] | None:
        """The message whose body is coming, and its length, or -1 where that is not known yet."""
        if self.step <= HEADERS:
            return None
        return self.message, self.got if self.step == LENGTH else -1

    def taken(self) -> bytes:
        """What has come of the body since it was taken last; `next` brings the rest."""
        parts, self.parts = self.parts, []
        return b"".join(parts)

    def line(self) -> str | None:
        """The next line without its end, or None while it is not whole."""
        if not self.lines:
            # A head that is whole is taken in one piece, unless its last line alone is left, after which a
            # body may hold the same bytes; what else has lines comes line by line.
            at = -1
            if self.step <= HEADERS and self.ring.peek(2) != b"\r\n":
                at = self.ring.find(b"\r\n\r\n")
            at = at + 3 if at >= 0 else self.ring.find(b"\n", self.scanned)
            self.scanned = 0 if at >= 0 else len(self.ring)
            if self.head + max(at + 1, self.scanned) > MOST_HEAD:
                raise Malformed(431, f"head or trailers of more than {MOST_HEAD} bytes")
            if at < 0:
                return None
            self.head += at + 1
            raw = self.ring.take(at + 1).decode("latin-1")
            if raw.count("\n") != raw.count("\r\n"):
                raise Malformed(400, "line that does not end in CR LF")
            self.lines.extend(raw[:-2].split("\r\n"))
        return self.lines.popleft()

    def take_head(self) -> bool:
        """Take a head in one piece if it is whole and as it should be: half the work of line by line."""
        ring = self.ring
        at = ring.find(b"\r\n\r\n")
        if not 0 < at <= MOST_HEAD - 4:
            return False
        found = self.head_form.fullmatch(ring.store, ring.head, ring.head + at + 2)
        if found is None:
            return False
        lines = found[found.re.groups].decode("latin-1").split("\r\n")
        if len(lines) > MOST_HEADERS:  # the last is empty
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
        self.message = self.begin(found, headers, index)
        ring.drop(at + 4)
        self.head = at + 4
        self.scanned = 0
        self.step = HEADERS
        return True

    def next(self) -> Message | None:
        if self.step == START and self.ring.size and not self.lines and self.take_head():
            done = self.framed()
            if done is not None:
                return done
        while True:
            if self.step == LENGTH or self.step == CHUNK_DATA:
                piece = self.ring.take(min(self.left, len(self.ring)))
                if piece:
                    self.parts.append(piece)
                self.left -= len(piece)
                if self.left:
                    return None
                if self.step == LENGTH:
                    return self.whole()
                self.step = CHUNK_END
            elif self.step == CLOSE:
                piece = self.ring.take(len(self.ring))
                self.grow(len(piece))
                self.parts.append(piece)
                return self.whole() if self.ended else None
            else:
                line = self.line()
                if line is None:
                    return None
                done = self.take_line(line)
                if done is not None:
                    return done

    def take_line(self, line: str) -> Message | None:
        if self.step == START:
            if line:
                self.message = self.start(line)
                self.step = HEADERS
        elif self.step == HEADERS:
            if line:
                self.message.add(*self.field(line))
                if len(self.message.headers) > MOST_HEADERS:
                    raise Malformed(431, f"more than {MOST_HEADERS} headers")
            else:
                return self.framed()
        elif self.step == CHUNK_SIZE:
            size = CHUNK.fullmatch(line)
            if size is None:
                raise Malformed(400, "malformed size of a chunk")
            self.left = int(size[1], 16)
            self.head = 0  # bounded by itself: a long body in small chunks has many such lines
            self.grow(self.left)
            self.step = CHUNK_DATA if self.left else TRAILERS
        elif self.step == CHUNK_END:
            if line:
                raise Malformed(400, "chunk longer than its size")
            self.step = CHUNK_SIZE
        elif line:
            self.field(line)
        else:
            return self.whole()
        return None

    def grow(self, count: int) -> None:
        self.got += count
        if self.got > self.most_body:
            raise Malformed(413, f"body of more than {self.most_body} bytes")

    @staticmethod
    def field(line: str) -> tuple[str, str]:
        name, colon, value = line.partition(":")
        value = value.strip(" \t")
        # Most values need no more than a look: long ones would cost more than all else together.
        plain = value.isascii() and value.isprintable()
        if not colon or not TOKEN.fullmatch(name) or not plain and not VALUE.fullmatch(value):
            raise Malformed(400, "malformed header")
        return name, value

    def framed(self) -> Message | None:
        """The head is whole: choose how the body ends."""
        message = self.message
        if self.bodiless():
            return self.whole()
        if "transfer-encoding" in message.index:
            codings = message.tokens("transfer-encoding")
            if codings != ["chunked"]:
                raise Malformed(501, "transfer coding other than chunked")
            if "content-length" in message.index or not message.minor:
                # Guards against two readers of one connection that disagree on where a message ends.
                raise Malformed(400, "chunked body with a length or in HTTP/1.0")
            self.step = CHUNK_SIZE
        elif "content-length" in message.index:
            lengths = message.all("content-length")
            length = lengths[0] if len(lengths) == 1 else ""
            if not DIGITS.fullmatch(length):
                raise Malformed(400, "malformed length")
            self.left = int(length)
            self.grow(self.left)
            self.step = LENGTH
        elif self.closes():
            self.step = CLOSE
        else:
            return self.whole()
        return None

    def whole(self) -> Message:
        message = self.message
        message.body = self.parts[0] if len(self.parts) == 1 else b"".join(self.parts)
        self.ring.rest()
        self.step = START
        self.parts = []
        self.got = self.head = self.left = 0
        return message

    def start(self, line: str) -> Message:
        raise NotImplementedError

    def begin(
        self, head: re.Match[bytes], headers: list[tuple[str, str]], index: dict[str, list[str]]
    ) -> Message:
        raise NotImplementedError

    def bodiless(self) -> bool:
        return False

    def closes(self) -> bool:
        return False

    @staticmethod
    def minor(version: str) -> int:
        known = VERSION.fullmatch(version)
        if known is None:
            raise Malformed(505, "not HTTP/1")
        return int(known[1])


class RequestParser(Parser):
    def start(self, line: str) -> Message:
        words = line.split(" ")
        if len(words) != 3 or not TOKEN.fullmatch(words[0]) or not TARGET.fullmatch(words[1]):
            raise Malformed(400, "malformed request line")
        return Request(minor=self.minor(words[2]), method=words[0], target=words[1])

    def begin(
        self, head: re.Match[bytes], headers: list[tuple[str, str]], index: dict[str, list[str]]
    ) -> Message:
        return Request(int(head[3]), headers, b"", index, head[1].decode(), head[2].decode())

    def next(self) -> Request | None:
        message = super().next()
        return None if message is None else self.checked(message)

    @staticmethod
    def checked(message: Message) -> Request:
        """With its target as servers are asked for it, whichever form it came in (RFC 9112, 3.2)."""
        assert isinstance(message, Request)
        if message.minor and len(message.all("host")) != 1:
            raise Malformed(400, "not one Host header")
        if message.target[:7].lower() == "http://":
            _, slash, path = message.target[7:].partition("/")
            message.target = "/" + path if slash else "/"
        return message

    def glance(self) -> tuple[int, str, str, bool] | None:
        """The size, class, deadline and mark of a retry of the one plain request in the ring, or None.

        For an answer that says only to come back: nothing is parsed that this doesn't need, and whatever has
        more to it than a head and its length is left to `next`.  The head must be as `next` wants it, to the
        letter: guards against a length read otherwise here, whose body would be taken for the next request.
        """
        ring = self.ring
        at = ring.find(b"\r\n\r\n")
        if self.step != START or self.lines or at <= 0:
            return None
        end = ring.head + at + 2
        head = REQUEST.fullmatch(ring.store, ring.head, end)
        if head is None or head[3] == b"0" or head[1] == b"HEAD":
            return None
        framing = FRAMING.findall(ring.store, ring.head, end)
        size = at + 4
        if framing:
            length = LENGTH_VALUE.fullmatch(framing[0][1])
            if len(framing) > 1 or not framing[0][0] or length is None:
                return None
            size += int(length[1])
        found = CLASS.search(ring.store, ring.head, end)
        if size != len(ring) or found is None:
            return None
        expires = EXPIRES.search(ring.store, ring.head, end)
        return (
            size,
            found[1].decode(),
            expires[1].decode() if expires else "",
            ring.store.find(AGAIN, ring.head, end) >= 0,
        )

    def awaited(self) -> bool:
        """Whether the client holds its body back until it is told to go on."""
        return (
            self.step in (LENGTH, CHUNK_SIZE)
            and not self.parts
            and "100-continue" in self.message.tokens("expect")
        )


class ResponseParser(Parser):
    method = "GET"
    head_form = RESPONSE

    def begin(
        self, head: re.Match[bytes], headers: list[tuple[str, str]], index: dict[str, list[str]]
    ) -> Message:
        return Response(int(head[1]), headers, b"", index, int(head[2]))

    def start(self, line: str) -> Message:
        version, _, rest = line.partition(" ")
        code = rest[:3]
        if not STATUS.fullmatch(code) or rest[3:4] not in ("", " "):
            raise Malformed(502, "malformed status line")
        return Response(minor=self.minor(version), status=int(code))

    def next(self) -> Response | None:
        while True:
            message = super().next()
            if message is None:
                return None
            assert isinstance(message, Response)
            if message.status >= 200:
                return message

    def bodiless(self) -> bool:
        status = self.message.status if isinstance(self.message, Response) else 0
        return status < 200 or status in (204, 304) or self.method == "HEAD"

    def closes(self) -> bool:
        assert isinstance(self.message, Response)
        self.message.until_close = True
        return True
