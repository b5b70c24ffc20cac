"""A TCP proxy between two regions that can simulate a partition without closing connections.

    python -m pumicepath.lab.hollow.forward TARGET    ({"do": "cut"} and {"do": "heal"} on stdin)

While cut it neither reads nor accepts: open connections stay open and silent, and new connections are not
answered.  Once healed it delivers the bytes that were in flight, as TCP does after a partition.
"""

from __future__ import annotations

import selectors
import socket
import sys
from contextlib import suppress

from . import processes

MAX_BUFFERED_BYTES = 1 << 20  # in one direction; beyond it the sending end is not read


class Endpoint:
    """One end of a forwarded connection; `other` is the opposite end."""

    __slots__ = ("sock", "other", "outgoing")

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.other: Endpoint
        self.outgoing = bytearray()  # not yet written to this end


class Forwarder:
    """Accepts connections on a loopback port and forwards each to the target."""

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.selector = selectors.DefaultSelector()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.listener.setblocking(False)
        self.endpoints: set[Endpoint] = set()
        self.is_cut = False
        self.update_registrations()

    def update_registrations(self) -> None:
        """Register the sockets that are to be read or written now, and unregister all others."""
        wanted: dict[socket.socket, tuple[int, Endpoint | None]] = {}
        if not self.is_cut:
            wanted[self.listener] = (selectors.EVENT_READ, None)
            for endpoint in self.endpoints:
                events = selectors.EVENT_READ if len(endpoint.other.outgoing) < MAX_BUFFERED_BYTES else 0
                events |= selectors.EVENT_WRITE if endpoint.outgoing else 0
                if events:
                    wanted[endpoint.sock] = (events, endpoint)
        for key in list(self.selector.get_map().values()):
            if key.fileobj != 0 and key.fileobj not in wanted:
                self.selector.unregister(key.fileobj)
        registered = {key.fileobj: key.events for key in self.selector.get_map().values()}
        for sock, (events, data) in wanted.items():
            if sock not in registered:
                self.selector.register(sock, events, data)
            elif registered[sock] != events:
                self.selector.modify(sock, events, data)

    def accept(self) -> None:
        """Accept a connection and open the one to the target."""
        with suppress(OSError):
            near = Endpoint(self.listener.accept()[0])
            far = Endpoint(socket.create_connection(self.target, timeout=2.0))
            near.other, far.other = far, near
            for endpoint in (near, far):
                endpoint.sock.setblocking(False)
                endpoint.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.endpoints.add(endpoint)

    def transfer(self, endpoint: Endpoint, events: int) -> None:
        """Read from or write to an endpoint; an error or end of stream closes both ends."""
        try:
            if events & selectors.EVENT_READ:
                data = endpoint.sock.recv(65536)
                if not data:
                    raise ConnectionResetError
                endpoint.other.outgoing += data
                self.flush(endpoint.other)
            if events & selectors.EVENT_WRITE:
                self.flush(endpoint)
        except BlockingIOError:
            return
        except OSError:
            for end in (endpoint, endpoint.other):
                self.endpoints.discard(end)
                with suppress(KeyError, ValueError):
                    self.selector.unregister(end.sock)
                end.sock.close()

    def flush(self, endpoint: Endpoint) -> None:
        """Write as much to an endpoint as its socket accepts."""
        with suppress(BlockingIOError):
            while endpoint.outgoing:
                del endpoint.outgoing[: endpoint.sock.send(endpoint.outgoing)]

    def run(self) -> None:
        """Run the loop; the process exits when its stdin ends."""
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
    """Run the forwarder until its stdin ends."""
    host, _, port = sys.argv[1].rpartition(":")
    forwarder = Forwarder((host, int(port)))
    bound_host, bound_port = forwarder.listener.getsockname()[:2]
    processes.send_event({"event": "started", "listen": f"{bound_host}:{bound_port}"})
    forwarder.run()


if __name__ == "__main__":
    main()
