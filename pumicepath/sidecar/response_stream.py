"""Passes a response on to its client while its server still gives it, by the thread that reads it."""

from __future__ import annotations

import struct
from typing import Protocol

from ..http1.messages import Response
from ..http1.parsing import ResponseParser
from .exchange import ExchangeOwner, Hop

STREAM_STALL_TIMEOUT = struct.pack("ll", 3, 0)  # 3 s: it gives nothing of an answer being passed on
SUCCESS = 200


class StreamSource(Protocol):
    """The connection to a server, as seen by the stream of its response."""

    parser: ResponseParser

    def set_receive_timeout(self, value: bytes) -> None:
        """Set for how long a read may block, as a struct timeval."""


class ResponseStream:
    """Passes a response on to the client as it comes, once started; used by the client's thread."""

    def __init__(self, connection: StreamSource, owner: ExchangeOwner, hop: Hop) -> None:
        self.connection = connection
        self.owner = owner
        self.hop = hop
        self.started = False
        self.is_open = False  # the client's answer has neither ended nor been broken off

    def start(self) -> bool:
        """Pass on what has come, and the rest as it comes, if that is possible; whether it is."""
        if not self.started and self.owner.stream_response(self.hop, self.connection.parser):
            self.started = self.is_open = True
            self.connection.set_receive_timeout(STREAM_STALL_TIMEOUT)
            self.pass_on()
        return self.started

    def pass_on(self) -> bool:
        """Write what has come since the last call; False if the client does not receive it."""
        if not self.is_open:
            return not self.started
        piece = self.connection.parser.take_body()
        self.is_open = not piece or self.hop.exchange.client.write_body(piece, False)
        if not self.is_open:
            self.hop.exchange.client.abort_response()
        return self.is_open

    def finish(self, response: Response) -> None:
        """Write the rest of the complete response."""
        if self.is_open:
            self.is_open = False
            if not self.hop.exchange.client.write_body(response.body, True):
                self.hop.exchange.client.abort_response()

    def abort(self) -> None:
        """Break the answer off if it has not ended."""
        if self.is_open:
            self.is_open = False
            self.hop.exchange.client.abort_response()


def can_stream(parser: ResponseParser) -> bool:
    """Whether the body of a success is coming."""
    incoming = parser.incoming()
    return incoming is not None and isinstance(incoming[0], Response) and incoming[0].status == SUCCESS
