"""A bad client sends the id of another client's open request, whose long body is still on its way."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import rig  # noqa: E402

SERVERS = 4
UPLOADS = 3
BODY = 640_000  # bytes, sent at 80 kB a second: 8 s
PIECE, PAUSE_S = 8_000, 0.1
BAD_AT_S = (0.5, 2.0, 4.0, 6.0)  # after the head of the long request


async def upload(record: rig.Record, port: int, trace_id: str) -> tuple[int, bytes]:
    """A usual client with a long body, which may not run twice."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(rig.request(trace_id, "reserve", f"lot-{trace_id}", 1500, BODY))
    record.note("client", f"{trace_id} sends the head of a reserve with {BODY} bytes")
    for _ in range(0, BODY, PIECE):
        writer.write(bytes(PIECE))
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
    record.note("client", f"{trace_id} has written its last byte")
    head = await asyncio.wait_for(rig.read_head(reader), 4)
    body = await rig.read_body(reader, head[1]) if head else b""
    writer.close()
    return (int(head[0].split(" ")[1]) if head else 0), body


async def case(record: rig.Record, temporary: Path) -> int:
    discovery = rig.Discovery(record)
    await discovery.start()
    servers = [rig.Server(f"s-{number}", record) for number in range(SERVERS)]
    for server in servers:
        await server.start()
        discovery.add(server.name, f"127.0.0.1:{server.port}")
    sidecar = rig.Sidecar(record, temporary, discovery)
    broken = False
    try:
        await sidecar.start()

        async def play_one(number: int) -> None:
            nonlocal broken
            trace_id = f"open{number}"
            first = asyncio.create_task(upload(record, sidecar.port, trace_id))
            waited = 0.0
            for at in BAD_AT_S if rig.TROUBLE else ():
                await asyncio.sleep(at - waited)
                waited = at
                bad = rig.ClientPool(record, sidecar.port)
                status, body = await bad.ask(trace_id, "reserve", "lot-bad", 1500)
                record.note("bad client", f"{trace_id} again after {at} s: {status} {body.decode().strip()!r}")
                if status == 200:
                    broken = True
                    record.note("verdict", f"the bad client was served with the id {trace_id}, open for {at} s")
            status, body = await first
            record.note("client", f"{trace_id} is answered {status} {body.decode().strip()!r}")
            if not rig.TROUBLE and status != 200:
                raise rig.CannotRunError(f"{trace_id} was answered {status}")

        await asyncio.gather(*(play_one(number) for number in range(UPLOADS)))
    finally:
        sidecar.end()
    for number in range(UPLOADS):
        runs = [f"{server.name} at {at:.3f}" for server in servers for at, each, _ in server.runs if each == f"open{number}"]
        record.note("verdict", f"open{number} (reserve) ran {len(runs)} times: {', '.join(runs)}")
        broken = broken or len(runs) > 1
    return rig.BROKEN if broken else rig.HELD


rig.play(FOLDER, case)
