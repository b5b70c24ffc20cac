"""Bad clients stop in the middle of long requests and stay; the usual clients are owed their answers all the same."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import rig  # noqa: E402

SERVERS = 4
DESCRIPTORS, MEMORY_MB = 256, 96
RATE = 15.0  # requests a second of the usual clients, who so hold under 40 connections
EXPIRES_MS = 1500
LATE_S = 0.5 + 0.05  # after its time, an answer that comes by then only earns nothing
BAD_CLIENTS = 200
BAD_LENGTH, BAD_SENT = 4_000_000, 1_000_000  # announced, and sent at full speed before the stop
BAD_AT_S, END_AT_S = 4.0, 16.0


async def bad_client(record: rig.Record, port: int, number: int) -> float:
    """Sends a quarter of a long request and stays; returns after how long it got an error or a close."""
    started = record.now()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(rig.request(f"bad{number}", "stock-read", f"lot-bad{number}", EXPIRES_MS, BAD_LENGTH))
        writer.write(bytes(BAD_SENT))
        await reader.read(65536)  # an answer, or nothing at a close
    except OSError:
        pass
    first = record.now() - started
    record.note("bad client", f"bad{number} got an error or a close after {first:.3f} s")
    try:
        await reader.read()  # it stays until the sidecar ends the connection
    except (OSError, UnboundLocalError):
        pass
    return first


async def case(record: rig.Record, temporary: Path) -> int:
    discovery = rig.Discovery(record)
    await discovery.start()
    servers = [rig.Server(f"s-{number}", record) for number in range(SERVERS)]
    for server in servers:
        await server.start()
        discovery.add(server.name, f"127.0.0.1:{server.port}")
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
    sidecar = rig.Sidecar(record, temporary, discovery, limits=limits)
    try:
        await sidecar.start()
        clients, rng, started = rig.ClientPool(record, sidecar.port), random.Random(4), record.now()
        lost, asked, bad = [], [], []
        seconds: dict[int, list[int]] = {}  # by second: requests, answered 200, refused or failed, lost

        async def ask(trace_id: str) -> None:
            sent = record.now()
            class_name = "reserve" if rng.random() < 0.47 else "stock-read"
            status, _ = await clients.ask(trace_id, class_name, f"lot-{rng.randrange(2000)}", EXPIRES_MS)
            took = record.now() - sent
            is_lost = not status or took > EXPIRES_MS / 1000 + LATE_S
            figures = seconds.setdefault(int(sent - started), [0, 0, 0, 0])
            figures[0] += 1
            figures[3 if is_lost else 1 if status == 200 else 2] += 1
            what = f"answered {status}" if status else "not answered"
            record.note("client", f"{trace_id} {class_name}: {what}, {took:.3f} s{', lost' if is_lost else ''}")
            if is_lost:
                lost.append(trace_id)

        while record.now() - started < END_AT_S:
            asked.append(asyncio.create_task(ask(f"t{len(asked):04d}")))
            await asyncio.sleep(rng.expovariate(RATE))
            if rig.TROUBLE and not bad and record.now() - started >= BAD_AT_S:
                record.note("case", f"{BAD_CLIENTS} bad clients begin")
                bad = [asyncio.create_task(bad_client(record, sidecar.port, at)) for at in range(BAD_CLIENTS)]
        await asyncio.gather(*asked)
        if sidecar.process.poll() is not None:
            raise rig.CannotRunError("the sidecar has ended")
        if sum(figures[1] for at, figures in seconds.items() if at < BAD_AT_S - 1) < RATE:
            raise rig.CannotRunError("the usual clients were not served before")
        for at, figures in sorted(seconds.items()):
            record.note("second", f"{at}: {figures[0]} asked, {figures[1]} served, {figures[2]} refused, {figures[3]} lost")
        ended = sum("got an error or a close" in line for line in record.lines)
        after = [figures for at, figures in seconds.items() if at >= BAD_AT_S]
        record.note(
            "verdict",
            f"{len(asked)} requests of the usual clients, {len(lost)} lost; from second {BAD_AT_S:.0f} on "
            f"{sum(each[0] for each in after)} asked, {sum(each[1] for each in after)} served, "
            f"{sum(each[2] for each in after)} refused or failed, {sum(each[3] for each in after)} lost",
        )
        if bad:
            record.note("verdict", f"{BAD_CLIENTS - ended} of {BAD_CLIENTS} bad clients got neither an error nor a close")
    finally:
        sidecar.end()
    return rig.BROKEN if lost else rig.HELD


rig.play(FOLDER, case)
