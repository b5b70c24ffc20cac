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

from ..discovery.server_list import Address, BadList, ServerList
from ..distribution.interests import NAME_PATTERN
from ..distribution.origins import ListRejectedError, Origin
from ..distribution.relay_store import EncodedServer, encode_entries
from ..http1 import writing
from ..http1.messages import MalformedMessageError, Response
from ..http1.parsing import ResponseParser
from .clock import now_us

if TYPE_CHECKING:
    from .loop import Relay

MAX_LIST_BYTES = 32 * 1024 * 1024
MAX_SEQ = 1 << 53  # what JSON carries exactly everywhere
DIAL_TIMEOUT_US = 500_000  # microseconds; doubled each time that is not enough, up to
MAX_DIAL_TIMEOUT_US = 2_000_000
ANSWER_TRANSFER_TIMEOUT_US = 1_000_000  # from an answer's first byte to its last
NEVER = 1 << 62
DECODE_BATCH_LINES = 500  # lines that are read in one turn: some 10 ms


class Upstream:
    def __init__(self, region: str, address: Address, origin: Origin, relay: Relay) -> None:
        self.region = region
        self.address = address
        self.origin = origin
        self.relay = relay
        self.sock: socket.socket | None = None
        self.parser = ResponseParser(MAX_LIST_BYTES)
        self.dial_timeout = DIAL_TIMEOUT_US
        self.connecting = False
        self.answer_started = False  # an answer
        self.decoding: Iterator[None] | None = None  # the answer that has come and is not read to its end
        self.due_at = 0  # when it is to be dialled, or taken for silent
        self.answered_at = 0  # when the last good answer came
        self.loss_reported = self.refusal_reported = False  # as the log was told

    def on_timer(self, now: int) -> None:
        if now < self.due_at:
            if self.origin.check_age(now - self.answered_at):
                self.relay.update_liveness(self, "late", now)
            return
        if self.sock is None:
            self.connect(now)
        else:
            # Before anything is read: what came while this process stood still is older than it looks.
            self.fail(now, "dial" if self.connecting else "silent", silent=not self.connecting)

    def connect(self, now: int) -> None:
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in self.address.host else socket.AF_INET)
        except OSError as trouble:
            self.fail(now, str(trouble))
            return
        self.sock = sock
        sock.setblocking(False)
        self.parser = ResponseParser(MAX_LIST_BYTES)
        self.connecting = True
        self.due_at = now + self.dial_timeout
        # Guards an origin that always takes long to be reached against being given up each time.
        self.dial_timeout = min(MAX_DIAL_TIMEOUT_US, 2 * self.dial_timeout)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(self.address)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, errno.errorcode.get(code, "?"))
            self.relay.selector.register(sock, selectors.EVENT_WRITE, self)
        except OSError as trouble:
            self.fail(now, str(trouble))

    def send_request(self) -> None:
        assert self.sock is not None
        host = f"{self.address.host}:{self.address.port}"
        request = writing.request("GET", self.origin.request_target(), [("Host", host)])
        self.answer_started = False
        # By the clock: guards an origin against the time that its own long list took us to read.
        self.due_at = now_us() + self.origin.silence_limit()
        if self.sock.send(request) < len(request):
            raise OSError("a request that its socket does not take")

    def handle_io(self, mask: int, now: int) -> None:
        if self.sock is None or (mask and self.decoding is not None):
            return
        try:
            if not mask:
                self.continue_decoding()
                return
            if self.connecting:
                code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if code:
                    raise OSError(code, errno.errorcode.get(code, "?"))
                self.connecting = False
                self.dial_timeout = DIAL_TIMEOUT_US
                self.relay.selector.modify(self.sock, selectors.EVENT_READ, self)
                self.send_request()
                return
            data = self.sock.recv(1 << 16)
            if not self.answer_started:
                self.answer_started = True
                self.due_at = now + ANSWER_TRANSFER_TIMEOUT_US
            self.parser.feed(data)
            if not data:
                self.parser.end_input()
            response = self.parser.next()
            if response is not None:
                self.due_at = NEVER  # the next word is ours
                self.decoding = self.process_answer(response, response.keeps_alive() and bool(data), now)
                self.continue_decoding()
            elif not data:
                raise ConnectionResetError("ended")
        except BlockingIOError:
            return
        except (BadList, ListRejectedError) as trouble:
            self.relay.report_refused_list(self, str(trouble))
            self.fail(now, str(trouble), refused=True)
        except (OSError, MalformedMessageError) as trouble:
            self.fail(now, str(trouble))

    def continue_decoding(self) -> None:
        """One more part of the answer; the rest in the next turns.

        Guards followers, whose calls and changes wait meanwhile, against a list of many thousand lines.
        """
        if self.decoding is not None:
            for _ in self.decoding:
                self.relay.resume_queue.append(self)
                return

    def process_answer(self, response: Response, keeps: bool, now: int) -> Iterator[None]:
        """Raises BadList or Refused for what can't be meant; then nothing of it is kept."""
        if response.status != 200:
            raise ConnectionError(f"answered {response.status}")
        data, lines = yield from decode_answer(response.body, self.region)
        seq, whole = int(data["seq"]), bool(data["whole"])
        anew = self.origin.validate(seq, whole, len(lines))
        before = self.origin.seq
        self.origin.answer_accepted(seq)
        self.answered_at = now
        self.decoding = None
        self.relay.apply_answer(self, seq, whole, lines, before if anew else None, now_us())
        if keeps:
            self.send_request()
        else:
            self.close()
            self.due_at = now

    def fail(self, now: int, why: str, silent: bool = False, refused: bool = False) -> None:
        self.close()
        self.due_at = now + self.origin.call_failed(silent, refused)
        self.relay.update_liveness(self, why, now)

    def close(self) -> None:
        sock, self.sock = self.sock, None
        self.decoding = None
        if sock is not None:
            with suppress(KeyError):  # its dial failed before it was there
                self.relay.selector.unregister(sock)
            sock.close()
        self.connecting = False


def decode_answer(
    body: bytes, region: str
) -> Generator[None, None, tuple[dict[str, Any], dict[str, EncodedServer | None]]]:
    """An origin's answer and its lines, checked as each sidecar will check them; in parts of `PART` lines.

    Guards followers against a line that they would refuse together with all others of the answer.
    """
    try:
        data = orjson.loads(body)
    except ValueError as trouble:
        raise BadList(str(trouble)) from trouble
    roster = ServerList((), lambda born: 1)
    if not isinstance(data, dict) or not isinstance(data.get("hosts"), list):
        roster.apply(data)  # which says what is wrong, or finds nothing in it
        data = {**data, "hosts": []}
    told: list[Any] = data["hosts"]
    roster.apply({**data, "hosts": []})
    if not 0 <= int(data["seq"]) < MAX_SEQ:
        raise BadList(f"seq: {data['seq']!r}")
    lines: dict[str, EncodedServer | None] = {}
    for start in range(0, len(told), DECODE_BATCH_LINES):
        part = told[start : start + DECODE_BATCH_LINES]
        roster.apply({**data, "hosts": part, "whole": False})
        for line in part:
            host, service = line["host"], line.get("service", "")
            if (
                not isinstance(host, str)
                or not isinstance(service, str)
                or not NAME_PATTERN.fullmatch(service)
            ):
                raise BadList(f"{host!r}: {service!r} is no service")
        lines |= encode_entries(region, part)
        if len(lines) < start + len(part):
            raise BadList("ValueError: a server twice")
        if start + DECODE_BATCH_LINES < len(told):
            yield
    return data, lines
