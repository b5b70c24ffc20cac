"""A bad client sends the id of another client's open request, which is a long one."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import rig  # noqa: E402

SERVERS = 4
LENGTH = 640_000  # bytes of a long body or answer, at 80 kB a second: 8 s
PIECE, PAUSE_S = 8_000, 0.1
EXPIRES_MS = 1500
BAD_AT_S = (0.5, 2.0, 4.0, 6.0)  # after the head of the open request


class Server(rig.Server):
    """Gives a long answer, piece by piece, to the first request with an id that asks for one."""

    begun: set[str] = set()  # by all servers

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.reply = Server.answer

    async def answer(self, headers, body, reader, writer) -> None:
        trace_id = headers["x-trace-id"]
        if not trace_id.startswith("answer") or trace_id in self.begun:
            await self.serve_request(headers, body, reader, writer)
            return
        self.begun.add(trace_id)
        writer.write(f"HTTP/1.1 200 X\r\nContent-Length: {LENGTH}\r\n\r\n".encode())
        for _ in range(0, LENGTH, PIECE):
            writer.write(b"x" * PIECE)
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
        self.record.note(self.name, f"has written the answer to {trace_id}")


async def open_request(record: rig.Record, port: int, trace_id: str) -> int:
    """A usual client: a reserve, which must not run twice, with a long body or a long answer; returns the status."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    length = LENGTH if trace_id.startswith("body") else 0
    writer.write(rig.request(trace_id, "reserve", f"lot-{trace_id}", EXPIRES_MS, length))
    record.note("client", f"{trace_id} sends a reserve with {length} bytes")
    for _ in range(0, length, PIECE):
        writer.write(bytes(PIECE))
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
    record.note("client", f"{trace_id} has written its last byte")
    head = await asyncio.wait_for(rig.read_head(reader), 4)
    body = await asyncio.wait_for(rig.read_body(reader, head[1]), 20) if head else b""
    writer.close()
    status = int(head[0].split(" ")[1]) if head else 0
    record.note("client", f"{trace_id} is answered {status} with {len(body)} bytes")
    return status


async def case(record: rig.Record, temporary: Path) -> int:
    discovery = rig.Discovery(record)
    await discovery.start()
    servers = [Server(f"s-{number}", record) for number in range(SERVERS)]
    for server in servers:
        await server.start()
        discovery.add(server.name, f"127.0.0.1:{server.port}")
    sidecar = rig.Sidecar(record, temporary, discovery)
    ids, broken = ("body0", "body1", "answer0", "answer1"), False
    try:
        await sidecar.start()

        async def play_one(trace_id: str) -> None:
            nonlocal broken
            open_one = asyncio.create_task(open_request(record, sidecar.port, trace_id))
            waited = 0.0
            for at in BAD_AT_S if rig.TROUBLE else ():
                await asyncio.sleep(at - waited)
                waited = at
                if open_one.done():
                    raise rig.CannotRunError(f"{trace_id} was not open for {at} s")
                bad = rig.ClientPool(record, sidecar.port)
                status, body = await bad.ask(trace_id, "reserve", "lot-bad", EXPIRES_MS)
                record.note("bad client", f"{trace_id} again after {at} s: {status} {body.decode().strip()!r}")
                if status == 200:
                    broken = True
                    record.note("verdict", f"the bad client was served with the id {trace_id}, open for {at} s")
            if await open_one != 200:
                raise rig.CannotRunError(f"{trace_id} was not served")

        await asyncio.gather(*(play_one(trace_id) for trace_id in ids))
    finally:
        sidecar.end()
    for trace_id in ids:
        runs = [f"{server.name} at {at:.3f}" for server in servers for at, each, _ in server.runs if each == trace_id]
        record.note("verdict", f"{trace_id} (reserve) ran {len(runs)} times: {', '.join(runs)}")
        broken = broken or len(runs) > 1
    return rig.BROKEN if broken else rig.HELD


rig.play(FOLDER, case)
