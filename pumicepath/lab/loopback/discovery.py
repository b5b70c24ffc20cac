"""The server list behind real sockets, one for each sidecar, so that it is known whom it told what."""

from __future__ import annotations

import asyncio
import re
import time
from typing import Any

import orjson

from ...http1 import writing
from ...interface import Entry, Listing, Phase
from .ground import Ground

HEALTH = {Phase.READY: "active", Phase.DRAINING: "leaving", Phase.GONE: "left"}
WATCH = re.compile(rb"[?&]since=(\d+)&timeout_ms=(\d+)")


class Desk:
    """What one sidecar's watch meets; it is that sidecar's reader of the registry."""

    def __init__(self, world: Ground, number: int) -> None:
        self.world = world
        self.number = number
        self.version = 0
        self.answers: list[tuple[bool, list[Entry]]] = []  # whole or changes, not yet fetched
        self.failed = False
        self.some = asyncio.Event()
        self.base_ms = time.time() * 1000 - world.timeline.now / 1000
        self.listener: asyncio.Server
        self.address = ""

    async def open(self) -> None:
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def receive_list(self, kind: Listing, entries: list[Entry]) -> None:
        if kind == Listing.CACHED:
            return  # stands in the configuration
        if kind == Listing.FAILED:
            self.failed = True
        elif kind == Listing.FULL:
            self.answers = [(True, entries)]
        else:
            self.answers.append((False, entries))
        self.some.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                found = WATCH.search(head)
                wait = int(found[2]) / 1000 if found else 0.0
                following = self.world.registry.subscriptions.get(self.number)
                if following is None:
                    break
                self.failed = False
                if not found or not following.following:
                    self.answers.clear()
                    self.some.clear()
                    self.world.registry.subscribe(self.number)
                    wait = max(wait, 5.0)
                writer.write(await self.next(wait))
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
            asyncio.CancelledError,
        ):  # the last at the end of the world
            pass
        finally:
            writer.close()

    async def next(self, wait: float) -> bytes:
        """The next answer: what there is, a failure, or nothing new when the wait is over."""
        try:
            await asyncio.wait_for(self.some.wait(), wait)
        except TimeoutError:
            return self.answer(False, [])
        if self.failed:
            self.failed = False
            self.some.clear()
            return writing.response(503, [], b"down", True)
        whole, entries = self.answers.pop(0) if self.answers else (False, [])
        if not self.answers:
            self.some.clear()
        return self.answer(whole, entries)

    def answer(self, whole: bool, entries: list[Entry]) -> bytes:
        self.version += 1
        body = orjson.dumps(self.listing(whole, entries))
        return writing.response(200, [("Content-Type", "application/json")], body, True)

    def listing(self, whole: bool, entries: list[Entry]) -> dict[str, Any]:
        return {
            "seq": self.version,
            "whole": whole,
            "hosts": [
                {
                    "host": f"s-{entry.server}",
                    "dial": self.world.address_of(entry.server),
                    "site": f"hall-{entry.zone}",
                    "class": "m",
                    "block": entry.cell,
                    "health": HEALTH[entry.phase],
                    "share": entry.scale,
                    "born_ms": int(self.base_ms + entry.came_up / 1000) if entry.came_up else 0,
                }
                for entry in entries
            ],
        }

    def close(self) -> None:
        self.listener.close()
