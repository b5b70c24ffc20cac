"""A server hangs while long bodies are sent to it: their clients are owed a final answer all the same."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import rig  # noqa: E402

SERVERS = 5  # one of them hangs
RATE = 20.0  # short requests a second to each sidecar beside the long ones
# Of the long bodies, two for each sidecar.  What the kernel's buffers between the sidecar and a hung server take differs
# from machine to machine: smaller bodies fit into them, and of much larger ones the client can't write the last byte.
SIZES_MB = ((3, 7), (4, 8), (2, 5), (1, 6))
EXPIRES_MS = 2000
LATE_S = 0.5 + 0.05  # after its time, an answer that comes by then only earns nothing
HANG_AT_S, END_AT_S = 4.0, 16.0


async def upload(record: rig.Record, port: int, trace_id: str, key: str, size: int) -> tuple[float, float, int]:
    """Send a request with a long body; returns when its last byte was written, when the answer came, its status."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, ("127.0.0.1", port))
    written = answered = 0.0
    status = 0

    async def write() -> None:
        nonlocal written
        await loop.sock_sendall(sock, rig.request(trace_id, "stock-read", key, EXPIRES_MS, size))
        record.note("client", f"{trace_id} sends {size} bytes of body, key {key}")
        await loop.sock_sendall(sock, bytes(size))
        written = record.now()
        record.note("client", f"{trace_id} has written its last byte")

    writing = asyncio.create_task(write())
    try:
        data = b""
        while b"\r\n\r\n" not in data:
            # The client stays until long after its time, to see when the answer comes, if it comes.
            piece = await asyncio.wait_for(loop.sock_recv(sock, 65536), END_AT_S - HANG_AT_S)
            if not piece:
                break
            data += piece
        answered = record.now()
        status = int(data.split(b" ")[1]) if data else 0
        record.note("client", f"{trace_id} is answered {status or 'by an end of the connection'}")
    except (OSError, TimeoutError, asyncio.TimeoutError) as error:
        record.note("client", f"{trace_id} has no answer: {type(error).__name__}")
    writing.cancel()
    sock.close()
    return written, answered, status


async def case(record: rig.Record, temporary: Path) -> int:
    discovery = rig.Discovery(record)
    await discovery.start()
    servers = [rig.Server(f"s-{number}", record) for number in range(SERVERS)]
    for server in servers:
        await server.start()
        discovery.add(server.name, f"127.0.0.1:{server.port}")
    sidecars = [rig.Sidecar(record, temporary, discovery, f"n{number}") for number in range(len(SIZES_MB))]
    for number, sidecar in enumerate(sidecars):
        sidecar.config["settings"]["me"] = number
    lost = False
    try:
        await asyncio.gather(*(sidecar.start() for sidecar in sidecars))
        started, servers_by_key = record.now(), {}

        async def traffic(sidecar: rig.Sidecar) -> None:
            clients, rng, asked = rig.ClientPool(record, sidecar.port), random.Random(sidecar.name), []

            async def ask(trace_id: str, key: str) -> None:
                status, body = await clients.ask(trace_id, "stock-read", key, 2500)
                record.note(f"of {sidecar.name}", f"{trace_id} short, key {key}: {status} {body.decode().strip()!r}")
                if status == 200:
                    servers_by_key[key] = body.decode().split(" ")[-1]

            while record.now() - started < END_AT_S:
                number = len(asked)
                asked.append(asyncio.create_task(ask(f"{sidecar.name}t{number:04d}", f"lot-{number}")))
                await asyncio.sleep(rng.expovariate(RATE))

        others = [asyncio.create_task(traffic(sidecar)) for sidecar in sidecars]
        await asyncio.sleep(HANG_AT_S)
        # Keys whose short requests the first server answered: long ones with these keys go there as well.
        keys = [key for key, server in servers_by_key.items() if server == "s-0"]
        if len(keys) < 2:
            raise rig.CannotRunError(f"only {len(keys)} keys at s-0")
        if rig.TROUBLE:
            servers[0].hung = True
            record.note("case", "s-0 hangs from here on")
        uploads = [
            (sidecar.name, size, upload(record, sidecar.port, f"{sidecar.name}long{size}", key, size << 20))
            for sidecar, sizes in zip(sidecars, SIZES_MB)
            for size, key in zip(sizes, keys)
        ]
        results = await asyncio.gather(*(each for _, _, each in uploads))
        for (name, size, _), (written, answered, status) in zip(uploads, results):
            late = (answered or record.now()) - written - EXPIRES_MS / 1000
            what = f"answered {status} at {answered:.3f}" if status else "not answered"
            text = f"{name}, body of {size} MB: last byte written at {written:.3f}, {what}"
            if written and late > LATE_S:
                lost = True
                text += f", {late:.3f} s after its time: lost"
            record.note("verdict", text)
        if not any("long" in trace_id for trace_id in servers[0].heads):
            raise rig.CannotRunError("no long request went to s-0")
        for each in others:
            each.cancel()
    finally:
        for sidecar in sidecars:
            sidecar.end()
    return rig.BROKEN if lost else rig.HELD


rig.play(FOLDER, case)
