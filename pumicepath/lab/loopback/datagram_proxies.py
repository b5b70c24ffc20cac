"""UDP proxies between sidecars on loopback, one address per sidecar, with the model's links behind them.

Sidecars are configured with these addresses only: a datagram of one sidecar reaches another from the first
one's proxy address.  `set_sidecar_socket` sets where a sidecar's own socket is, as its log says at each
start.
"""

from __future__ import annotations

import asyncio
from typing import Any

from ..model.links import Links

Address = tuple[str, int]


class DatagramProxy(asyncio.DatagramProtocol):
    """The proxy address of one sidecar; a sender is identified by the address of its own socket."""

    def __init__(self, proxies: DatagramProxies, number: int) -> None:
        self.proxies = proxies
        self.number = number
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        self.proxies.forward(address, self.number, data)


class DatagramProxies:
    """The proxies of all sidecars, which carry datagrams over the model's links."""

    def __init__(self, links: Links) -> None:
        self.links = links
        self.proxies: list[DatagramProxy] = []
        self.addresses: list[str] = []
        self.sidecar_sockets: dict[int, Address] = {}  # by sidecar
        self.sidecar_by_socket: dict[Address, int] = {}
        # Datagrams from unknown sockets, which are those of processes that have just been killed.
        self.unmatched_count = 0

    async def open(self, count: int) -> None:
        """Opens a proxy for each of `count` sidecars."""
        loop = asyncio.get_running_loop()
        for number in range(count):
            _, proxy = await loop.create_datagram_endpoint(
                lambda number=number: DatagramProxy(self, number),  # type: ignore[misc]
                ("127.0.0.1", 0),
            )
            self.proxies.append(proxy)
            host, port = proxy.transport.get_extra_info("sockname")[:2]
            self.addresses.append(f"{host}:{port}")

    def set_sidecar_socket(self, number: int, address: Address) -> None:
        """Sets the socket of a sidecar in place of that of its previous process."""
        self.sidecar_by_socket.pop(self.sidecar_sockets.get(number, ("", 0)), None)
        self.sidecar_sockets[number] = address
        self.sidecar_by_socket[address] = number

    def forward(self, source: Address, recipient: int, data: bytes) -> None:
        """Carries a datagram from a socket over the link to a sidecar."""
        sender = self.sidecar_by_socket.get(source)
        if sender is None:
            self.unmatched_count += 1
            return
        self.links.carry(sender, recipient, data, lambda data: self.deliver(sender, recipient, data))

    def deliver(self, sender: int, recipient: int, data: bytes) -> None:
        """Sends a datagram to a sidecar from the sender's proxy address."""
        address, proxy = self.sidecar_sockets.get(recipient), self.proxies[sender]
        if address is not None and not proxy.transport.is_closing():
            proxy.transport.sendto(data, address)

    def close(self) -> None:
        """Closes all proxies."""
        for proxy in self.proxies:
            proxy.transport.close()
