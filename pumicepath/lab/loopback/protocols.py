"""HTTP protocols of the simulated servers and clients, with the parsers of the sidecar.

A server overrides `request_received`, a client `response_received`; data that is not HTTP is passed to
`malformed_message`, which aborts the connection unless overridden.
"""

from __future__ import annotations

import asyncio
from typing import Any

from ...http1.messages import MalformedMessageError, Request, Response
from ...http1.parsing import RequestParser, ResponseParser


class HttpProtocol(asyncio.Protocol):
    """The common part of server and client connections."""

    transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def malformed_message(self, error: MalformedMessageError) -> None:
        self.transport.abort()


class HttpServerProtocol(HttpProtocol):
    """Server side of a connection; calls `request_received` with each complete request."""

    def __init__(self) -> None:
        self.parser = RequestParser()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed(data)
            while (request := self.parser.next()) is not None:
                self.request_received(request)
        except MalformedMessageError as error:
            self.malformed_message(error)

    def request_received(self, request: Request) -> None:
        raise NotImplementedError


class HttpClientProtocol(HttpProtocol):
    """Client side of a connection; calls `response_received` with each complete response."""

    def __init__(self) -> None:
        self.parser = ResponseParser()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed(data)
            response = self.parser.next()
        except MalformedMessageError as error:
            self.malformed_message(error)
            return
        if response is not None:
            self.response_received(response)

    def response_received(self, response: Response) -> None:
        raise NotImplementedError
