"""Many clients that misuse their connections, in a process of their own.

    python -m pumicepath.lab.loopback.hostile_clients 127.0.0.1:9000 "stopped chunks" 250 8 1

starts 250 clients of that kind for 8 seconds, with seed 1; for 0 seconds, until the standard input ends.  A
client whose connection ends connects again after a pause.  The last line printed says how many connections
were made.
"""

from __future__ import annotations

import asyncio
import random
import socket
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress

from .input_forms import HEAD_LINES, MAX_BUFFERED_BODY_BYTES, chunk

LONG_BYTES = 8_000_000
PIECE_BYTES = 4096
RECEIVE_BUFFER_BYTES = 4096
RECONNECT_PAUSE_S = 0.1
SLOW_READ_BYTES = 2048
SLOW_READ_PAUSE_S = 0.1
TRICKLE_PAUSE_S = 0.05
FIELDS_BYTES = 16_000

Behaviour = Callable[[asyncio.StreamReader, asyncio.StreamWriter, random.Random], Awaitable[None]]


def head(rng: random.Random, framing: str, query: str = "", request_class: str = "read") -> bytes:
    """Return the head of a request with an id of its own."""
    method = "POST" if framing else "GET"
    lines = [
        f"{method} /api{query} HTTP/1.1",
        "Host: api",
        f"X-Trace-Id: h{rng.getrandbits(64):016x}",
        f"X-Qos: {request_class}",
        *([framing] if framing else []),
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def send(writer: asyncio.StreamWriter, data: bytes, pause_s: float = 0.0) -> None:
    """Write data in pieces, as fast as the other side takes them or with a pause after each."""
    for at in range(0, len(data), PIECE_BYTES):
        writer.write(data[at : at + PIECE_BYTES])
        await writer.drain()
        if pause_s:
            await asyncio.sleep(pause_s)


async def read_to_end(reader: asyncio.StreamReader) -> None:
    """Read until the other side ends the connection."""
    while await reader.read(PIECE_BYTES):
        pass


async def stopped_chunks(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    """Send most of a body in chunks of two bytes, then nothing."""
    data = head(rng, "Transfer-Encoding: chunked") + chunk(b"ab") * (MAX_BUFFERED_BODY_BYTES // 2)
    await send(writer, data)
    await read_to_end(reader)


async def stopped_body(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    """Send most of a body of known length, then nothing."""
    length = MAX_BUFFERED_BODY_BYTES
    await send(writer, head(rng, f"Content-Length: {length}") + bytes(length - 1))
    await read_to_end(reader)


async def stopped_trailers(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    """Send a chunked body and trailers without their end."""
    data = head(rng, "Transfer-Encoding: chunked") + chunk(bytes(MAX_BUFFERED_BODY_BYTES)) + b"0\r\n"
    await send(writer, data + b"a:b\r\n" * (FIELDS_BYTES // 5))
    await read_to_end(reader)


async def slow_heads(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random) -> None:
    """Send a head of very many short fields slowly, then nothing."""
    await send(writer, HEAD_LINES + b"a:b\r\n" * (FIELDS_BYTES // 5), TRICKLE_PAUSE_S)
    await read_to_end(reader)


async def most_fields(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random) -> None:
    """Send requests with as many fields as are allowed, and bodies that stop."""
    fields = "\r\n".join([f"f{at}: {'v' * 100}" for at in range(90)])
    await send(writer, head(rng, f"{fields}\r\nContent-Length: 60000") + bytes(59_000))
    await read_to_end(reader)


async def stopped_uploads(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    """Send a part of a long body at full speed, then nothing."""
    await send(writer, head(rng, f"Content-Length: {LONG_BYTES}") + bytes(rng.randrange(LONG_BYTES // 2)))
    await read_to_end(reader)


async def trickled_uploads(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    """Send a long body at a rate just above the least."""
    await send(writer, head(rng, f"Content-Length: {LONG_BYTES}") + bytes(LONG_BYTES), TRICKLE_PAUSE_S)
    await read_to_end(reader)


async def slow_readers(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random, size: int = LONG_BYTES
) -> None:
    """Ask for a long answer and read it slowly."""
    await send(writer, head(rng, "", f"?size={size}"))
    while await reader.read(SLOW_READ_BYTES):
        await asyncio.sleep(SLOW_READ_PAUSE_S)


async def slow_readers_of_short_answers(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    """Ask again and again for answers that are just short enough to be held, and read slowly."""
    for _ in range(100):
        await send(writer, head(rng, "", f"?size={MAX_BUFFERED_BODY_BYTES}"))
    while await reader.read(SLOW_READ_BYTES):
        await asyncio.sleep(SLOW_READ_PAUSE_S)


async def answers_in_small_chunks(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    """Ask for answers that the server writes in tiny chunks and never ends."""
    await send(writer, head(rng, "", "?size=60000&framing=chunked&piece=2&stop_at=30000"))
    await read_to_end(reader)


async def unknown_classes(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    """Send requests of ever new classes at full speed."""
    reading = asyncio.create_task(read_to_end(reader))
    try:
        while not reading.done():
            await send(writer, b"".join(head(rng, "", "", f"c{rng.getrandbits(60)}") for _ in range(50)))
    finally:
        reading.cancel()


async def up_at_full_speed(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    """Ask whether the sidecar is up, at full speed."""
    reading = asyncio.create_task(read_to_end(reader))
    try:
        while not reading.done():
            await send(writer, b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n" * 500)
    finally:
        reading.cancel()


BEHAVIOURS: dict[str, Behaviour] = {
    "stopped chunks": stopped_chunks,
    "stopped body": stopped_body,
    "stopped trailers": stopped_trailers,
    "slow heads": slow_heads,
    "most fields": most_fields,
    "stopped uploads": stopped_uploads,
    "trickled uploads": trickled_uploads,
    "slow readers": slow_readers,
    "slow readers of short answers": slow_readers_of_short_answers,
    "answers in small chunks": answers_in_small_chunks,
    "unknown classes": unknown_classes,
    "up at full speed": up_at_full_speed,
}


async def misbehave_once(address: tuple[str, int], behaviour: Behaviour, rng: random.Random) -> None:
    """Connect and misbehave until the connection ends; raises OSError."""
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    reader, writer = await asyncio.open_connection(sock=sock, limit=PIECE_BYTES)
    try:
        await behaviour(reader, writer, rng)
    finally:
        writer.transport.abort()


async def run_client(address: tuple[str, int], behaviour: Behaviour, rng: random.Random) -> int:
    """Connect and misbehave again and again, until cancelled; returns how many connections were made."""
    connections = 0
    with suppress(asyncio.CancelledError):
        while True:
            connections += 1
            with suppress(OSError):  # the sidecar has ended the connection, or is not there
                await misbehave_once(address, behaviour, rng)
            await asyncio.sleep(RECONNECT_PAUSE_S)
    return connections


async def run_clients(address: tuple[str, int], name: str, count: int, seconds: float, seed: int) -> int:
    """Run so many clients of one kind for some seconds, or for 0 until the standard input ends.

    Returns how many connections were made.
    """
    tasks = [
        asyncio.create_task(run_client(address, BEHAVIOURS[name], random.Random(f"{seed}/{at}")))
        for at in range(count)
    ]
    if seconds:
        await asyncio.sleep(seconds)
    else:
        await asyncio.to_thread(sys.stdin.read)
    for task in tasks:
        task.cancel()
    return sum(
        result for result in await asyncio.gather(*tasks, return_exceptions=True) if isinstance(result, int)
    )


def main(arguments: list[str]) -> None:
    """Run the clients that the arguments name."""
    host, port = arguments[0].rsplit(":", 1)
    name, count, seconds, seed = arguments[1], int(arguments[2]), float(arguments[3]), int(arguments[4])
    print(asyncio.run(run_clients((host, int(port)), name, count, seconds, seed)))


if __name__ == "__main__":
    main(sys.argv[1:])
