"""A client's body that is too long to be held: whoever carries its submission takes `pieces` as they come."""

from __future__ import annotations

import socket
import struct
from collections.abc import Iterator
from typing import Protocol

from ..http1.messages import Malformed
from ..http1.parsing import RequestParser
from . import clock
from .exchange import Abandoned

SLOWEST = 0.048  # bytes in a microsecond of waiting that a client must send on the whole
FIRST = 2_400_000  # that it may take until then
FAR = 900_000_000  # past what the longest body takes at that
LOOK = struct.pack("ll", 0, 500_000)
UNBOUND = struct.pack("ll", 0, 0)


class Sender(Protocol):
    """The client's connection."""

    sock: socket.socket
    broken: bool

    def leave(self) -> None: ...

    def cut_short(self) -> bool: ...


class Upload:
    def __init__(self, client: Sender, parser: RequestParser) -> None:
        begun = parser.begun()
        self.client = client
        self.parser = parser
        self.length = begun[1] if begun else 0
        self.begun = False
        self.whole = False
        self.waited = self.got = 0

    def pieces(self) -> Iterator[tuple[bytes, bool]]:
        """What comes of it, and whether that is the last; raises Abandoned if its client ends it."""
        sock = self.client.sock
        self.client.leave()  # guards the places against clients that send slowly
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, LOOK)
        try:
            while not self.whole:
                piece = self.parser.taken()
                if piece:
                    self.begun = True
                    yield piece, False
                self.receive()
                request = self.parser.next()
                if request is not None:
                    self.begun = self.whole = True
                    yield request.body, True
        except (Malformed, OSError) as trouble:
            self.client.broken = True
            raise Abandoned(str(trouble)) from trouble
        finally:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, UNBOUND)

    def receive(self) -> None:
        """More of it.  Only waiting counts against its client: a server that reads slowly holds it up too."""
        began = clock.now()
        try:
            count = self.client.sock.recv_into(self.parser.ring.room(65536))
            if not count and not self.client.cut_short():
                raise ConnectionResetError("body broken off")
            self.parser.ring.wrote(count)
            self.got += count
        except BlockingIOError:
            pass
        self.waited += clock.now() - began
        if self.waited > FIRST + self.got / SLOWEST:
            raise ConnectionAbortedError("body too slow")

    def discard(self) -> None:
        """Read the rest of what nobody wants: guards the answer, which a close in the middle would lose."""
        for _ in self.pieces():
            pass
