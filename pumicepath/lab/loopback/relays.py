"""What stands between sidecars on loopback: an address for each, behind which are the model's links.

A sidecar is told these addresses and no others; what leaves one sidecar reaches the next from the first one's
address here.  `bind` says where a sidecar's own socket is, which its log tells at each start.
"""

from __future__ import annotations

import asyncio
from typing import Any

from ..model.links import Links

Place = tuple[str, int]


class Front(asyncio.DatagramProtocol):
    """One sidecar's address; what comes is from another sidecar, known by its own socket."""

    def __init__(self, relays: Relays, number: int) -> None:
        self.relays = relays
        self.number = number
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Place) -> None:
        self.relays.came(address, self.number, data)


class Relays:
    def __init__(self, links: Links) -> None:
        self.links = links
        self.fronts: list[Front] = []
        self.addresses: list[str] = []
        self.own: dict[int, Place] = {}  # where each sidecar listens itself,
        self.whose: dict[Place, int] = {}  # and whose socket that is
        self.strays = 0  # from sockets of nobody: processes that have just been killed

    async def open(self, count: int) -> None:
        loop = asyncio.get_running_loop()
        for number in range(count):
            _, front = await loop.create_datagram_endpoint(
                lambda number=number: Front(self, number),  # type: ignore[misc]
                ("127.0.0.1", 0),
            )
            self.fronts.append(front)
            host, port = front.transport.get_extra_info("sockname")[:2]
            self.addresses.append(f"{host}:{port}")

    def bind(self, number: int, place: Place) -> None:
        self.whose.pop(self.own.get(number, ("", 0)), None)
        self.own[number] = place
        self.whose[place] = number

    def came(self, source: Place, to: int, data: bytes) -> None:
        from_ = self.whose.get(source)
        if from_ is None:
            self.strays += 1
            return
        self.links.carry(from_, to, data, lambda data: self.hand_over(from_, to, data))

    def hand_over(self, from_: int, to: int, data: bytes) -> None:
        place, front = self.own.get(to), self.fronts[from_]
        if place is not None and not front.transport.is_closing():
            front.transport.sendto(data, place)

    def close(self) -> None:
        for front in self.fronts:
            front.transport.close()
