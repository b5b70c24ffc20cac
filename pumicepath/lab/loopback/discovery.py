"""Discovery servers on real sockets, one per sidecar, so that it is known which sidecar was sent what."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
import time
from typing import Any

import orjson

from ...http1 import writing
from ...interface import ListKind, ServerEntry, ServerState
from .host import LoopbackHost

HEALTH_BY_STATE = {ServerState.READY: "active", ServerState.DRAINING: "leaving", ServerState.GONE: "left"}
LATE_ERROR_S = 1.0
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # struct linger
WATCH_QUERY = re.compile(rb"[?&]since=(\d+)&timeout_ms=(\d+)")


class DiscoveryServer:
    """The discovery server of one sidecar, and that sidecar's reader of the registry."""

    def __init__(self, world: LoopbackHost, number: int) -> None:
        self.world = world
        self.number = number
        self.version = 0
        # Not sent yet: whether it is the whole list (or only changes), and the entries.
        self.pending_updates: list[tuple[bool, list[ServerEntry]]] = []
        self.fails_next = False
        self.update_ready = asyncio.Event()
        self.connection: asyncio.Task[None] | None = None  # the latest, which gets all updates
        self.start_unix_ms = time.time() * 1000 - world.timeline.now / 1000
        self.listener: asyncio.Server
        self.address = ""

    async def open(self) -> None:
        """Opens the server on a free port."""
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.listener.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def receive_list(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        if kind == ListKind.CACHED:
            return  # the configuration has this list
        if kind == ListKind.FAILED:
            self.fails_next = True
        elif kind == ListKind.FULL:
            self.pending_updates = [(True, entries)]
        else:
            self.pending_updates.append((False, entries))
        self.update_ready.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.connection is not None:
            self.connection.cancel()  # of a process that has died: it would take this one's updates
        self.connection = asyncio.current_task()
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = WATCH_QUERY.search(head)
                wait_s = int(query[2]) / 1000 if query else 0.0
                following = self.world.registry.subscriptions.get(self.number)
                if following is None:
                    break
                self.fails_next = False
                if not query or not following.following:
                    self.pending_updates.clear()
                    self.update_ready.clear()
                    self.world.registry.subscribe(self.number)
                    wait_s = max(wait_s, 5.0)
                response = await self.next_response(wait_s)
                if response is None:
                    if not await self.fail(reader, writer, next(self.world.registry.failures)):
                        break
                    continue
                writer.write(response)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
            asyncio.CancelledError,
        ):  # CancelledError when the world is closed
            pass
        finally:
            writer.close()

    async def fail(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, how: str) -> bool:
        """Makes a call fail, in a way of `spec.ListFailure`; returns whether the connection lasts."""
        if how == "late error":
            await asyncio.sleep(LATE_ERROR_S)
        if how == "silent":
            await reader.read()  # until the caller gives up
        if how == "reset":
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        if how == "cut":
            writer.write(self.list_response(False, [])[:-1])
        if how == "garbled":
            writer.write(writing.response(200, [], b"{", True))
        if how in ("error", "late error"):
            writer.write(writing.response(503, [], b"down", True))
        await writer.drain()
        return how in ("error", "late error", "garbled")

    async def next_response(self, wait_s: float) -> bytes | None:
        """Returns the next response, an empty one once `wait_s` is over, or None if the call is to fail."""
        try:
            await asyncio.wait_for(self.update_ready.wait(), wait_s)
        except TimeoutError:
            return self.list_response(False, [])
        if self.fails_next:
            self.fails_next = False
            self.update_ready.clear()
            return None
        whole, entries = self.pending_updates.pop(0) if self.pending_updates else (False, [])
        if not self.pending_updates:
            self.update_ready.clear()
        return self.list_response(whole, entries)

    def list_response(self, whole: bool, entries: list[ServerEntry]) -> bytes:
        """Returns a response with a list or changes under the next version."""
        self.version += 1
        body = orjson.dumps(self.list_document(whole, entries))
        return writing.response(200, [("Content-Type", "application/json")], body, True)

    def list_document(self, whole: bool, entries: list[ServerEntry]) -> dict[str, Any]:
        """Returns a list or changes in discovery's JSON format."""
        return {
            "seq": self.version,
            "whole": whole,
            "hosts": [
                {
                    "host": f"s-{entry.server}",
                    "dial": self.world.server_address(entry.server),
                    "site": f"hall-{entry.zone}",
                    "class": "m",
                    "block": entry.cell,
                    "health": HEALTH_BY_STATE[entry.state],
                    "share": entry.weight,
                    "born_ms": int(self.start_unix_ms + entry.started_at / 1000) if entry.started_at else 0,
                }
                for entry in entries
            ],
        }

    def close(self) -> None:
        """Closes the listener."""
        self.listener.close()
