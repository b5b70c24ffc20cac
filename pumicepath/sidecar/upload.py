"""A client's body that is too long to be held: whoever carries its submission takes `pieces` as they come."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator
from typing import Protocol

from ..http1.messages import MalformedMessageError
from ..http1.parsing import RequestParser
from . import clock
from .exchange import UploadError

MIN_BYTES_PER_US = 0.048  # bytes in a microsecond of waiting that a client must send on the whole
INITIAL_ALLOWANCE_US = 2_400_000  # that it may take until then
MAX_UPLOAD_US = 900_000_000  # past what the longest body takes at that
POLL_TIMEOUT = struct.pack("ll", 0, 500_000)
NO_TIMEOUT = struct.pack("ll", 0, 0)


class UploadClient(Protocol):
    """The client's connection."""

    sock: socket.socket
    upload_failed: bool

    def release_slot(self) -> None: ...

    def is_read_shutdown(self) -> bool: ...


class Upload:
    def __init__(self, client: UploadClient, parser: RequestParser) -> None:
        incoming = parser.incoming()
        self.client = client
        self.parser = parser
        self.length = incoming[1] if incoming else 0
        self.started = False
        self.complete = False
        self.waited = self.bytes_read = 0

    def pieces(self) -> Iterator[tuple[bytes, bool]]:
        """What comes of it, and whether that is the last; raises Abandoned if its client ends it."""
        sock = self.client.sock
        self.client.release_slot()  # guards the places against clients that send slowly
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, POLL_TIMEOUT)
        try:
            while not self.complete:
                piece = self.parser.take_body()
                if piece:
                    self.started = True
                    yield piece, False
                self.read_more()
                request = self.parser.next()
                if request is not None:
                    self.started = self.complete = True
                    yield request.body, True
        except (MalformedMessageError, OSError) as trouble:
            self.client.upload_failed = True
            raise UploadError(str(trouble)) from trouble
        finally:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, NO_TIMEOUT)

    def read_more(self) -> None:
        """More of it.  Only waiting counts against its client: a server that reads slowly holds it up too."""
        began = clock.now()
        try:
            count = self.client.sock.recv_into(self.parser.ring.writable(65536))
            if not count and not self.client.is_read_shutdown():
                raise ConnectionResetError("body broken off")
            self.parser.ring.commit(count)
            self.bytes_read += count
        except BlockingIOError:
            pass
        self.waited += clock.now() - began
        if self.waited > INITIAL_ALLOWANCE_US + self.bytes_read / MIN_BYTES_PER_US:
            raise ConnectionAbortedError("body too slow")

    def discard(self) -> None:
        """Read the rest of what nobody wants: guards the answer, which a close in the middle would lose."""
        for _ in self.pieces():
            pass
