"""The two ends of a stand-in's connection: bytes to whole messages, by the product's own parsers.

A server's end overrides `came`, a client's `answered`; what is no HTTP goes to `malformed`.
"""

from __future__ import annotations

import asyncio
from typing import Any

from ...http1.messages import MalformedMessageError, Request, Response
from ...http1.parsing import RequestParser, ResponseParser


class HttpProtocol(asyncio.Protocol):
    transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def malformed_message(self, trouble: MalformedMessageError) -> None:
        self.transport.abort()


class HttpServerProtocol(HttpProtocol):
    def __init__(self) -> None:
        self.parser = RequestParser()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed(data)
            while (request := self.parser.next()) is not None:
                self.request_received(request)
        except MalformedMessageError as trouble:
            self.malformed_message(trouble)

    def request_received(self, request: Request) -> None:
        raise NotImplementedError


class HttpClientProtocol(HttpProtocol):
    def __init__(self) -> None:
        self.parser = ResponseParser()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed(data)
            response = self.parser.next()
        except MalformedMessageError as trouble:
            self.malformed_message(trouble)
            return
        if response is not None:
            self.response_received(response)

    def response_received(self, response: Response) -> None:
        raise NotImplementedError
