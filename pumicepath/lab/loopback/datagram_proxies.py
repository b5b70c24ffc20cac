"""What stands between sidecars on loopback: an address for each, behind which are the model's links.

A sidecar is told these addresses and no others; what leaves one sidecar reaches the next from the first one's
address here.  `bind` says where a sidecar's own socket is, which its log tells at each start.
"""

from __future__ import annotations

import asyncio
from typing import Any

from ..model.links import Links

Address = tuple[str, int]


class DatagramProxy(asyncio.DatagramProtocol):
    """One sidecar's address; what comes is from another sidecar, known by its own socket."""

    def __init__(self, proxies: DatagramProxies, number: int) -> None:
        self.proxies = proxies
        self.number = number
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        self.proxies.forward(address, self.number, data)


class DatagramProxies:
    def __init__(self, links: Links) -> None:
        self.links = links
        self.proxies: list[DatagramProxy] = []
        self.addresses: list[str] = []
        self.sidecar_sockets: dict[int, Address] = {}  # where each sidecar listens itself,
        self.sidecar_by_socket: dict[Address, int] = {}  # and whose socket that is
        self.unmatched_count = 0  # from sockets of nobody: processes that have just been killed

    async def open(self, count: int) -> None:
        loop = asyncio.get_running_loop()
        for number in range(count):
            _, front = await loop.create_datagram_endpoint(
                lambda number=number: DatagramProxy(self, number),  # type: ignore[misc]
                ("127.0.0.1", 0),
            )
            self.proxies.append(front)
            host, port = front.transport.get_extra_info("sockname")[:2]
            self.addresses.append(f"{host}:{port}")

    def set_sidecar_socket(self, number: int, address: Address) -> None:
        self.sidecar_by_socket.pop(self.sidecar_sockets.get(number, ("", 0)), None)
        self.sidecar_sockets[number] = address
        self.sidecar_by_socket[address] = number

    def forward(self, source: Address, to: int, data: bytes) -> None:
        from_ = self.sidecar_by_socket.get(source)
        if from_ is None:
            self.unmatched_count += 1
            return
        self.links.carry(from_, to, data, lambda data: self.deliver(from_, to, data))

    def deliver(self, from_: int, to: int, data: bytes) -> None:
        place, front = self.sidecar_sockets.get(to), self.proxies[from_]
        if place is not None and not front.transport.is_closing():
            front.transport.sendto(data, place)

    def close(self) -> None:
        for front in self.proxies:
            front.transport.close()
