"""A request body that is too long to be buffered, read piece by piece while its hop runs.

Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator
from typing import Protocol

from ..http1 import writing
from ..http1.messages import MalformedMessageError
from ..http1.parsing import RequestParser
from . import arrival, clock
from .body_arrival import BodyArrival
from .bulkhead import BulkheadEntry
from .exchange import UploadError, UploadFailure
from .memory_account import MemoryKind, Reservation
from .sending_rate import SendingRate

MAX_UPLOAD_US = 900_000_000  # longer than the longest body takes at the least rate
POLL_TIMEOUT = struct.pack("ll", 0, 100_000)  # 0.1 s, as a struct timeval
NO_TIMEOUT = struct.pack("ll", 0, 0)
TOO_SLOW = UploadFailure(408, "unfinished")


class UploadClient(Protocol):
    """The client's connection, as seen by its upload."""

    sock: socket.socket
    sending_rate: SendingRate
    memory: Reservation
    transfers: BulkheadEntry
    evicted: bool  # its upload had stalled, and its place was needed

    def release_slot(self) -> None:
        """Release the slot of the admission gate, if it is held."""

    def is_read_shutdown(self) -> bool:
        """Whether a read that returned nothing did so because of our own shutdown; then waits a moment."""


class Upload:
    """The body of the request that the parser is reading.

    `length` is in bytes or `writing.CHUNKED`; `started` says that a piece has been handed out, `complete`
    that the last one has; `failure` is why the body will not be complete.
    """

    def __init__(self, client: UploadClient, parser: RequestParser) -> None:
        incoming = parser.incoming()
        self.client = client
        self.parser = parser
        self.length = incoming[1] if incoming else 0
        self.started = False
        self.complete = False
        self.failure: UploadFailure | None = None
        self.arrival = BodyArrival(client.sock, clock.now())
        client.memory.move_to(MemoryKind.UPLOADS)

    @property
    def last_byte_at(self) -> int:
        """When the bytes read last were written, or a lower bound."""
        return self.arrival.last_byte_at

    def pieces(self) -> Iterator[tuple[bytes, bool]]:
        """Yield pieces of the body as they arrive, and whether each is the last.

        Raises UploadError if the client breaks the body off or sends too slowly.
        """
        sock = self.client.sock
        transfers = self.client.transfers
        self.client.release_slot()  # a client that sends slowly must not hold a slot
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, POLL_TIMEOUT)
        try:
            while not self.complete:
                piece = self.parser.take_body()
                if piece:
                    self.started = True
                    yield piece, False
                    del piece
                transfers.leave()
                self.read_more()
                transfers.enter()
                request = self.parser.next()
                if request is not None:
                    self.started = self.complete = True
                    yield request.body, True
        except UploadError as error:
            self.failure = error.failure
            raise
        except MalformedMessageError as error:
            self.failure = UploadFailure(error.status, str(error))
            raise UploadError(self.failure) from error
        except OSError as error:
            self.failure = UploadFailure(0, str(error))
            raise UploadError(self.failure) from error
        finally:
            transfers.leave()
            self.client.sending_rate.pause()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, NO_TIMEOUT)

    def read_more(self) -> None:
        """Read more of the body, or nothing within POLL_TIMEOUT.

        Raises OSError if the client breaks off, UploadError if it is too slow.  Only time spent in reads
        counts against the client, as a server that reads slowly delays the body too.
        """
        rate = self.client.sending_rate
        rate.wait(clock.now())
        wanted = self.parser.wanted_bytes()
        if not self.client.memory.resize(self.parser.held_bytes(wanted)):
            wanted = 0  # less at a time, for which there is always room
        space = self.parser.ring.writable(wanted)
        try:
            count, received_at = arrival.receive(self.client.sock, space, rate.waiting_since)
        except BlockingIOError:
            self.arrival.note_unfinished(clock.now())
            count = 0
        else:
            self.commit(count, received_at)
        if rate.is_too_slow(clock.now()):
            raise UploadError(TOO_SLOW)
        if count:
            rate.pause()
            self.note_progress(count < len(space))

    def commit(self, count: int, received_at: int) -> None:
        """Take up a read; one of nothing is the end of the connection, or follows our own shutdown."""
        rate = self.client.sending_rate
        if not count and self.client.evicted:
            raise UploadError(TOO_SLOW)
        if not count and not self.client.is_read_shutdown():
            raise ConnectionResetError("body broken off")
        self.arrival.add_read(rate.waiting_since, received_at, count)
        rate.received(received_at, count)
        self.parser.ring.commit(count)

    def note_progress(self, read_all: bool) -> None:
        """Note whether the body can be complete; `read_all`: the read took everything that had arrived."""
        now = clock.now()
        if read_all:
            self.arrival.note_unfinished(now)
        else:
            self.arrival.examine_buffers(now, self.bytes_left())

    def bytes_left(self) -> int | None:
        """How many bytes of the body have not been read, or None if its length is unknown."""
        if self.length == writing.CHUNKED:
            return None
        return self.parser.remaining - len(self.parser.ring)

    def unfinished_since(self, now: int) -> int:
        """Return the latest time at which the client can't have written its last byte yet; for any thread."""
        if self.client.sending_rate.waiting_since and not arrival.unread_bytes(self.client.sock):
            return now  # its thread waits, and nothing has come
        self.arrival.examine_buffers(now, self.bytes_left())
        return self.arrival.unfinished_at

    def discard(self) -> None:
        """Read and drop the rest: a close before its end would reset the connection and lose the answer."""
        for _ in self.pieces():
            pass
