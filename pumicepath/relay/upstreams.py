"""The connection to one region's discovery, driven by the relay's loop; what it means decides `Origin`.

upstream = Upstream("eu", address, origin, loop); upstream.woke(now); upstream.ready(mask, now)
"""

from __future__ import annotations

import errno
import selectors
import socket
from collections.abc import Generator, Iterator
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import orjson

from ..discovery.roster import Address, BadList, Roster
from ..distribution.held import Line, encoded
from ..distribution.interests import NAME
from ..distribution.origins import Origin, Refused
from ..http1 import writing
from ..http1.messages import MalformedMessageError, Response
from ..http1.parsing import ResponseParser
from .clock import clock

if TYPE_CHECKING:
    from .loop import Relay

MOST_LIST = 32 * 1024 * 1024
MOST_SEQ = 1 << 53  # what JSON carries exactly everywhere
DIAL = 500_000  # microseconds; doubled each time that is not enough, up to
LONGEST_DIAL = 2_000_000
WHOLE = 1_000_000  # from an answer's first byte to its last
NEVER = 1 << 62
PART = 500  # lines that are read in one turn: some 10 ms


class Upstream:
    def __init__(self, region: str, where: Address, origin: Origin, relay: Relay) -> None:
        self.region = region
        self.where = where
        self.origin = origin
        self.relay = relay
        self.sock: socket.socket | None = None
        self.parser = ResponseParser(MOST_LIST)
        self.dial = DIAL
        self.dialling = False
        self.begun = False  # an answer
        self.reading: Iterator[None] | None = None  # the answer that has come and is not read to its end
        self.at = 0  # when it is to be dialled, or taken for silent
        self.since = 0  # when the last good answer came
        self.lost = self.refused = False  # as the log was told

    def woke(self, now: int) -> None:
        if now < self.at:
            if self.origin.aged(now - self.since):
                self.relay.turned(self, "late", now)
            return
        if self.sock is None:
            self.connect(now)
        else:
            # Before anything is read: what came while this process stood still is older than it looks.
            self.failed(now, "dial" if self.dialling else "silent", silent=not self.dialling)

    def connect(self, now: int) -> None:
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in self.where.host else socket.AF_INET)
        except OSError as trouble:
            self.failed(now, str(trouble))
            return
        self.sock = sock
        sock.setblocking(False)
        self.parser = ResponseParser(MOST_LIST)
        self.dialling = True
        self.at = now + self.dial
        # Guards an origin that always takes long to be reached against being given up each time.
        self.dial = min(LONGEST_DIAL, 2 * self.dial)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(self.where)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, errno.errorcode.get(code, "?"))
            self.relay.selector.register(sock, selectors.EVENT_WRITE, self)
        except OSError as trouble:
            self.failed(now, str(trouble))

    def ask(self) -> None:
        assert self.sock is not None
        host = f"{self.where.host}:{self.where.port}"
        request = writing.request("GET", self.origin.target(), [("Host", host)])
        self.begun = False
        # By the clock: guards an origin against the time that its own long list took us to read.
        self.at = clock() + self.origin.silent()
        if self.sock.send(request) < len(request):
            raise OSError("a request that its socket does not take")

    def ready(self, mask: int, now: int) -> None:
        if self.sock is None or (mask and self.reading is not None):
            return
        try:
            if not mask:
                self.read_on()
                return
            if self.dialling:
                code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if code:
                    raise OSError(code, errno.errorcode.get(code, "?"))
                self.dialling = False
                self.dial = DIAL
                self.relay.selector.modify(self.sock, selectors.EVENT_READ, self)
                self.ask()
                return
            data = self.sock.recv(1 << 16)
            if not self.begun:
                self.begun = True
                self.at = now + WHOLE
            self.parser.feed(data)
            if not data:
                self.parser.end_input()
            response = self.parser.next()
            if response is not None:
                self.at = NEVER  # the next word is ours
                self.reading = self.answered(response, response.keeps_alive() and bool(data), now)
                self.read_on()
            elif not data:
                raise ConnectionResetError("ended")
        except BlockingIOError:
            return
        except (BadList, Refused) as trouble:
            self.relay.refused(self, str(trouble))
            self.failed(now, str(trouble), refused=True)
        except (OSError, MalformedMessageError) as trouble:
            self.failed(now, str(trouble))

    def read_on(self) -> None:
        """One more part of the answer; the rest in the next turns.

        Guards followers, whose calls and changes wait meanwhile, against a list of many thousand lines.
        """
        if self.reading is not None:
            for _ in self.reading:
                self.relay.again.append(self)
                return

    def answered(self, response: Response, keeps: bool, now: int) -> Iterator[None]:
        """Raises BadList or Refused for what can't be meant; then nothing of it is kept."""
        if response.status != 200:
            raise ConnectionError(f"answered {response.status}")
        data, lines = yield from decoded(response.body, self.region)
        seq, whole = int(data["seq"]), bool(data["whole"])
        anew = self.origin.believed(seq, whole, len(lines))
        before = self.origin.seq
        self.origin.answered(seq)
        self.since = now
        self.reading = None
        self.relay.taken(self, seq, whole, lines, before if anew else None, clock())
        if keeps:
            self.ask()
        else:
            self.close()
            self.at = now

    def failed(self, now: int, why: str, silent: bool = False, refused: bool = False) -> None:
        self.close()
        self.at = now + self.origin.failed(silent, refused)
        self.relay.turned(self, why, now)

    def close(self) -> None:
        sock, self.sock = self.sock, None
        self.reading = None
        if sock is not None:
            with suppress(KeyError):  # its dial failed before it was there
                self.relay.selector.unregister(sock)
            sock.close()
        self.dialling = False


def decoded(body: bytes, region: str) -> Generator[None, None, tuple[dict[str, Any], dict[str, Line | None]]]:
    """An origin's answer and its lines, checked as each sidecar will check them; in parts of `PART` lines.

    Guards followers against a line that they would refuse together with all others of the answer.
    """
    try:
        data = orjson.loads(body)
    except ValueError as trouble:
        raise BadList(str(trouble)) from trouble
    roster = Roster((), lambda born: 1)
    if not isinstance(data, dict) or not isinstance(data.get("hosts"), list):
        roster.read(data)  # which says what is wrong, or finds nothing in it
        data = {**data, "hosts": []}
    told: list[Any] = data["hosts"]
    roster.read({**data, "hosts": []})
    if not 0 <= int(data["seq"]) < MOST_SEQ:
        raise BadList(f"seq: {data['seq']!r}")
    lines: dict[str, Line | None] = {}
    for start in range(0, len(told), PART):
        part = told[start : start + PART]
        roster.read({**data, "hosts": part, "whole": False})
        for line in part:
            host, service = line["host"], line.get("service", "")
            if not isinstance(host, str) or not isinstance(service, str) or not NAME.fullmatch(service):
                raise BadList(f"{host!r}: {service!r} is no service")
        lines |= encoded(region, part)
        if len(lines) < start + len(part):
            raise BadList("ValueError: a server twice")
        if start + PART < len(told):
            yield
    return data, lines
