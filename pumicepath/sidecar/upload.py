"""A request body that is too long to be buffered, read piece by piece while its hop runs.

Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator
from typing import Protocol

from ..http1.messages import MalformedMessageError
from ..http1.parsing import RequestParser
from . import clock
from .exchange import UploadError

MIN_BYTES_PER_US = 0.048  # that a client must send on average over the time spent waiting for it: 48 kB/s
INITIAL_ALLOWANCE_US = 2_400_000  # waiting time before that rate counts
MAX_UPLOAD_US = 900_000_000  # longer than the longest body takes at that rate
POLL_TIMEOUT = struct.pack("ll", 0, 500_000)  # 0.5 s, as a struct timeval
NO_TIMEOUT = struct.pack("ll", 0, 0)


class UploadClient(Protocol):
    """The client's connection, as seen by its upload."""

    sock: socket.socket
    upload_failed: bool

    def release_slot(self) -> None:
        """Release the slot of the admission gate, if it is held."""

    def is_read_shutdown(self) -> bool:
        """Whether a read that returned nothing did so because of our own shutdown; then waits a moment."""


class Upload:
    """The body of the request that the parser is reading.

    `length` is in bytes or `writing.CHUNKED`; `started` says that a piece has been handed out, `complete`
    that the last one has; `waited` is the time spent waiting for the client.
    """

    def __init__(self, client: UploadClient, parser: RequestParser) -> None:
        incoming = parser.incoming()
        self.client = client
        self.parser = parser
        self.length = incoming[1] if incoming else 0
        self.started = False
        self.complete = False
        self.waited = self.bytes_read = 0

    def pieces(self) -> Iterator[tuple[bytes, bool]]:
        """Yield pieces of the body as they arrive, and whether each is the last.

        Raises UploadError if the client breaks the body off or sends too slowly.
        """
        sock = self.client.sock
        self.client.release_slot()  # a client that sends slowly must not hold a slot
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
        except (MalformedMessageError, OSError) as error:
            self.client.upload_failed = True
            raise UploadError(str(error)) from error
        finally:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, NO_TIMEOUT)

    def read_more(self) -> None:
        """Read more of the body, or nothing within POLL_TIMEOUT; raises OSError if the client fails.

        Only time spent in reads counts against the client, as a server that reads slowly delays the body too.
        """
        started_at = clock.now()
        try:
            count = self.client.sock.recv_into(self.parser.ring.writable(65536))
            if not count and not self.client.is_read_shutdown():
                raise ConnectionResetError("body broken off")
            self.parser.ring.commit(count)
            self.bytes_read += count
        except BlockingIOError:
            pass
        self.waited += clock.now() - started_at
        if self.waited > INITIAL_ALLOWANCE_US + self.bytes_read / MIN_BYTES_PER_US:
            raise ConnectionAbortedError("body too slow")

    def discard(self) -> None:
        """Read and drop the rest: a close before its end would reset the connection and lose the answer."""
        for _ in self.pieces():
            pass
