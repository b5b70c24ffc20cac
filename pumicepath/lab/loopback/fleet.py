"""Stand-in servers and discovery on loopback, in one asyncio loop, that answer at once or after a while."""

from __future__ import annotations

import asyncio
import json
import re
from collections import Counter
from collections.abc import Callable
from typing import Any

from ...http1.messages import Request
from .ends import ServerEnd


class Server(ServerEnd):
    """One connection to a stand-in server: whole requests in, an answer after `spent()` seconds each."""

    def __init__(self, fleet: Fleet) -> None:
        super().__init__()
        self.fleet = fleet

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.fleet.open += 1

    def connection_lost(self, trouble: Exception | None) -> None:
        self.fleet.open -= 1

    def came(self, request: Request) -> None:
        if request.method == "POST":
            self.fleet.ran[request.header("x-trace-id").encode()] += 1
        spent = self.fleet.spent()
        if spent > 0:
            asyncio.get_running_loop().call_later(spent, self.answer)
        else:
            self.answer()

    def answer(self) -> None:
        if not self.transport.is_closing():
            self.transport.write(self.fleet.answer)


class Fleet:
    """Servers that count how often each id ran, and the list that names them."""

    def __init__(self, count: int, spent: Callable[[], float], body: int = 200) -> None:
        self.count = count
        self.spent = spent
        self.answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % body + b"s" * body
        self.ran: Counter[bytes] = Counter()   # of what may not be repeated, by id
        self.open = 0
        self.addresses: list[str] = []
        self.discovery = ""
        self.holding: list[asyncio.Server] = []

    async def start(self) -> None:
        """Listen on free ports of loopback."""
        loop = asyncio.get_running_loop()
        for _ in range(self.count):
            server = await loop.create_server(lambda: Server(self), "127.0.0.1", 0, backlog=1024)
            self.holding.append(server)
            self.addresses.append(where(server))
        self.holding.append(await asyncio.start_server(self.tell, "127.0.0.1", 0))
        self.discovery = where(self.holding[-1])

    def listing(self) -> dict[str, Any]:
        return {"seq": 1, "whole": True, "hosts": [
            {"host": f"s-{at}", "dial": address, "site": "a", "class": "m", "block": 0, "health": "active",
             "share": 1.0, "born_ms": 0} for at, address in enumerate(self.addresses)]}

    async def tell(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """The whole list at first, then nothing new: each watch waits as long as it asks to."""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                wait = re.search(rb"timeout_ms=(\d+)", head)
                listing = self.listing()
                if wait:
                    await asyncio.sleep(int(wait[1]) / 1000)
                    listing = {"seq": 1, "whole": False, "hosts": []}
                body = json.dumps(listing).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def where(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


def configuration(fleet: Fleet, cores: float = 1.0, memory_mb: int = 128, sockets: int = 1024,
                  agreed: float = 0.15, patience: float = 0.6) -> dict[str, Any]:
    """What a sidecar beside it is told; `read` may repeat, `once` may not and gains three times as much."""
    def tariff(name: str, effect: str, gain: float) -> dict[str, Any]:
        return {"name": name, "effect": effect, "gain": gain, "agreedTimeS": agreed, "patienceS": patience}
    return {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": fleet.discovery, "seed": "1f",
        "limits": {"cores": cores, "memory_mb": memory_mb, "sockets": sockets}, "known": fleet.listing(),
        "settings": {
            "membershipMode": "on_request", "dcs": ["a"], "rules": {"askEveryS": 10.0},
            "policyLimits": {"mostHops": 4, "connIdleS": 30.0, "dialTimeoutS": 0.25, "retryAfter": True,
                             "maxRetryAfterS": 2.0},
            "tariffs": [tariff("read", "idempotent", 1.0), tariff("once", "at_most_once", 3.0)]}}
