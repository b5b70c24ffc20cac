"""The two ends of a stand-in's connection: bytes to whole messages, by the product's own parsers.

A server's end overrides `came`, a client's `answered`; what is no HTTP goes to `malformed`.
"""

from __future__ import annotations

import asyncio
from typing import Any

from ...http1.messages import MalformedMessageError, Request, Response
from ...http1.parsing import RequestParser, ResponseParser


class End(asyncio.Protocol):
    transport: asyncio.Transport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def malformed(self, trouble: MalformedMessageError) -> None:
        self.transport.abort()


class ServerEnd(End):
    def __init__(self) -> None:
        self.parser = RequestParser()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed(data)
            while (request := self.parser.next()) is not None:
                self.came(request)
        except MalformedMessageError as trouble:
            self.malformed(trouble)

    def came(self, request: Request) -> None:
        raise NotImplementedError


class ClientEnd(End):
    def __init__(self) -> None:
        self.parser = ResponseParser()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed(data)
            response = self.parser.next()
        except MalformedMessageError as trouble:
            self.malformed(trouble)
            return
        if response is not None:
            self.answered(response)

    def answered(self, response: Response) -> None:
        raise NotImplementedError
