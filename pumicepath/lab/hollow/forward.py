"""What stands between two regions: forwards bytes, and can fall silent both ways without closing anything.

    python -m pumicepath.lab.hollow.forward TARGET    ({"do": "cut"} and {"do": "heal"} on stdin)

While cut it reads and accepts nothing: what is connected stays connected and silent, new connections are
never answered; healed, it goes on with what was underway, as TCP does.
"""

from __future__ import annotations

import selectors
import socket
import sys
from contextlib import suppress

from . import processes

MAX_BUFFERED_BYTES = 1 << 20  # bytes on their way in one direction, from which that side is not read


class Endpoint:
    """One end of a forwarded connection."""

    __slots__ = ("sock", "other", "outgoing")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.other: Endpoint
        self.outgoing = bytearray()  # for this end, not yet written


class Forwarder:
    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.selector = selectors.DefaultSelector()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.listener.setblocking(False)
        self.endpoints: set[Endpoint] = set()
        self.is_cut = False
        self.update_registrations()

    def update_registrations(self) -> None:
        """Register what is to be read or written now."""
        wanted: dict[socket.socket, tuple[int, Endpoint | None]] = {}
        if not self.is_cut:
            wanted[self.listener] = (selectors.EVENT_READ, None)
            for side in self.endpoints:
                events = selectors.EVENT_READ if len(side.other.outgoing) < MAX_BUFFERED_BYTES else 0
                events |= selectors.EVENT_WRITE if side.outgoing else 0
                if events:
                    wanted[side.sock] = (events, side)
        for key in list(self.selector.get_map().values()):
            if key.fileobj != 0 and key.fileobj not in wanted:
                self.selector.unregister(key.fileobj)
        known = {key.fileobj: key.events for key in self.selector.get_map().values()}
        for sock, (events, data) in wanted.items():
            if sock not in known:
                self.selector.register(sock, events, data)
            elif known[sock] != events:
                self.selector.modify(sock, events, data)

    def accept(self) -> None:
        with suppress(OSError):
            near = Endpoint(self.listener.accept()[0])
            far = Endpoint(socket.create_connection(self.target, timeout=2.0))
            near.other, far.other = far, near
            for side in (near, far):
                side.sock.setblocking(False)
                side.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.endpoints.add(side)

    def transfer(self, side: Endpoint, events: int) -> None:
        try:
            if events & selectors.EVENT_READ:
                data = side.sock.recv(65536)
                if not data:
                    raise ConnectionResetError
                side.other.outgoing += data
                self.flush(side.other)
            if events & selectors.EVENT_WRITE:
                self.flush(side)
        except BlockingIOError:
            return
        except OSError:
            for end in (side, side.other):
                self.endpoints.discard(end)
                with suppress(KeyError, ValueError):
                    self.selector.unregister(end.sock)
                end.sock.close()

    def flush(self, side: Endpoint) -> None:
        with suppress(BlockingIOError):
            while side.outgoing:
                del side.outgoing[: side.sock.send(side.outgoing)]

    def run(self) -> None:
        orders = processes.OrderReader()
        self.selector.register(0, selectors.EVENT_READ)
        while True:
            for key, events in self.selector.select():
                if key.fileobj == 0:
                    for order in orders.read():
                        self.is_cut = order["do"] == "cut"
                        processes.send_event({"event": order["do"]})
                elif key.data is None:
                    self.accept()
                elif key.data in self.endpoints:
                    self.transfer(key.data, events)
            self.update_registrations()


def main() -> None:
    host, _, port = sys.argv[1].rpartition(":")
    forwarder = Forwarder((host, int(port)))
    where, bound = forwarder.listener.getsockname()[:2]
    processes.send_event({"event": "started", "listen": f"{where}:{bound}"})
    forwarder.run()


if __name__ == "__main__":
    main()
