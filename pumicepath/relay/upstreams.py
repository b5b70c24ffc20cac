"""The connection to one region's discovery, driven by the relay's loop; `Origin` decides what answers mean.

upstream = Upstream("eu", address, origin, relay); upstream.on_timer(now); upstream.handle_io(mask, now)
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
MAX_SEQ = 1 << 53  # JSON numbers are exact up to here in every implementation
DIAL_TIMEOUT_US = 500_000  # doubled at each failed attempt, up to MAX_DIAL_TIMEOUT_US
MAX_DIAL_TIMEOUT_US = 2_000_000
ANSWER_TRANSFER_TIMEOUT_US = 1_000_000  # from an answer's first byte to its last
NEVER = 1 << 62
DECODE_BATCH_LINES = 500  # decoded in one iteration of the loop: some 10 ms


class Upstream:
    """The watch on one region's discovery; all times are microseconds of the relay's clock."""

    def __init__(self, region: str, address: Address, origin: Origin, relay: Relay) -> None:
        self.region = region
        self.address = address
        self.origin = origin
        self.relay = relay
        self.sock: socket.socket | None = None
        self.parser = ResponseParser(MAX_LIST_BYTES)
        self.dial_timeout = DIAL_TIMEOUT_US
        self.connecting = False
        self.answer_started = False  # whether part of an answer has been received
        self.decoding: Iterator[None] | None = None  # a complete answer that is being decoded
        self.due_at = 0  # when to connect, or when the connection counts as silent
        self.answered_at = 0  # when the last accepted answer was received
        self.loss_reported = self.refusal_reported = False  # whether it is in the log

    def on_timer(self, now: int) -> None:
        """Connect or give up a silent connection when due; report a region whose last answer is too old."""
        if now < self.due_at:
            if self.origin.check_age(now - self.answered_at):
                self.relay.update_liveness(self, "late", now)
            return
        if self.sock is None:
            self.connect(now)
        else:
            # Before anything is read: data received while this process was stalled is older than it seems.
            self.fail(now, "dial" if self.connecting else "silent", silent=not self.connecting)

    def connect(self, now: int) -> None:
        """Begin a non-blocking connection attempt."""
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in self.address.host else socket.AF_INET)
        except OSError as error:
            self.fail(now, str(error))
            return
        self.sock = sock
        sock.setblocking(False)
        self.parser = ResponseParser(MAX_LIST_BYTES)
        self.connecting = True
        self.due_at = now + self.dial_timeout
        # With a constant timeout an origin that always takes longer could never be reached.
        self.dial_timeout = min(MAX_DIAL_TIMEOUT_US, 2 * self.dial_timeout)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(self.address)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, errno.errorcode.get(code, "?"))
            self.relay.selector.register(sock, selectors.EVENT_WRITE, self)
        except OSError as error:
            self.fail(now, str(error))

    def send_request(self) -> None:
        """Send the next request; raises OSError."""
        assert self.sock is not None
        host = f"{self.address.host}:{self.address.port}"
        request = writing.request("GET", self.origin.request_target(), [("Host", host)])
        self.answer_started = False
        # By the clock, not the iteration's time: decoding a long list may have taken long since then.
        self.due_at = now_us() + self.origin.silence_limit()
        if self.sock.send(request) < len(request):
            raise OSError("the socket did not take the whole request")

    def handle_io(self, mask: int, now: int) -> None:
        """Finish connecting, read an answer, or with mask 0 go on decoding one."""
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
                self.due_at = NEVER  # the next step is our own request
                self.decoding = self.process_answer(response, response.keeps_alive() and bool(data), now)
                self.continue_decoding()
            elif not data:
                raise ConnectionResetError("ended")
        except BlockingIOError:
            return
        except (BadList, ListRejectedError) as error:
            self.relay.report_refused_list(self, str(error))
            self.fail(now, str(error), refused=True)
        except (OSError, MalformedMessageError) as error:
            self.fail(now, str(error))

    def continue_decoding(self) -> None:
        """Decode the next batch of the answer; the rest follows in the next iterations.

        A list of many thousand lines in one go would hold up all followers.
        """
        if self.decoding is not None:
            for _ in self.decoding:
                self.relay.resume_queue.append(self)
                return

    def process_answer(self, response: Response, keeps: bool, now: int) -> Iterator[None]:
        """Decode an answer in batches and apply it.

        Raises BadList, Refused or ConnectionError if it is not accepted; nothing of it is kept then.
        """
        if response.status != 200:
            raise ConnectionError(f"answered {response.status}")
        data, lines = yield from decode_answer(response.body, self.region)
        seq, whole = int(data["seq"]), bool(data["whole"])
        restarted = self.origin.validate(seq, whole)
        previous_seq = self.origin.seq
        self.origin.answer_accepted(seq)
        self.answered_at = now
        self.decoding = None
        self.relay.apply_answer(self, seq, whole, lines, previous_seq if restarted else None, now_us())
        if keeps:
            self.send_request()
        else:
            self.close()
            self.due_at = now

    def fail(self, now: int, why: str, silent: bool = False, refused: bool = False) -> None:
        """Close the connection after a failure and schedule the next attempt."""
        self.close()
        self.due_at = now + self.origin.call_failed(silent, refused)
        self.relay.update_liveness(self, why, now)

    def close(self) -> None:
        """Close the connection, if there is one."""
        sock, self.sock = self.sock, None
        self.decoding = None
        if sock is not None:
            with suppress(KeyError):  # not registered: the attempt to connect failed before
                self.relay.selector.unregister(sock)
            sock.close()
        self.connecting = False


def decode_answer(
    body: bytes, region: str
) -> Generator[None, None, tuple[dict[str, Any], dict[str, EncodedServer | None]]]:
    """Decode an origin's answer and its lines in batches of DECODE_BATCH_LINES, yielding between them.

    The lines are checked as each sidecar checks them: one invalid line would make followers refuse the whole
    answer. Raises BadList.
    """
    try:
        data = orjson.loads(body)
    except ValueError as error:
        raise BadList(str(error)) from error
    server_list = ServerList((), lambda unix_ms: 1)
    if not isinstance(data, dict) or not isinstance(data.get("hosts"), list):
        server_list.apply(data)  # raises with the reason, or finds an empty list
        data = {**data, "hosts": []}
    hosts: list[Any] = data["hosts"]
    server_list.apply({**data, "hosts": []})
    if not 0 <= int(data["seq"]) < MAX_SEQ:
        raise BadList(f"seq: {data['seq']!r}")
    lines: dict[str, EncodedServer | None] = {}
    for start in range(0, len(hosts), DECODE_BATCH_LINES):
        batch = hosts[start : start + DECODE_BATCH_LINES]
        server_list.apply({**data, "hosts": batch, "whole": False})
        for line in batch:
            host, service = line["host"], line.get("service", "")
            if (
                not isinstance(host, str)
                or not isinstance(service, str)
                or not NAME_PATTERN.fullmatch(service)
            ):
                raise BadList(f"{host!r}: {service!r} is no service")
        lines |= encode_entries(region, batch)
        if len(lines) < start + len(batch):
            raise BadList("ValueError: a server twice")
        if start + DECODE_BATCH_LINES < len(hosts):
            yield
    return data, lines
