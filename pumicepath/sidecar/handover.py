"""What the old process of a hot restart hands to the new one, where it is reached, and the request for it."""

from __future__ import annotations

import os
import secrets
import socket
from pathlib import Path
from typing import Any, NamedTuple

from ..discovery.server_list import Address
from . import clock
from .handover_channel import Channel, ChannelError
from .id_sharing import IdUpdate, decode_in_use

SOCKET_NAME = "pumicepath.succession"
PROTOCOL_VERSION = 1
# The old process has this long to answer a request for a handover.
HANDOVER_TIMEOUT_S = 1.0
PROCESS_NAME_BYTES = 8


class Handover(NamedTuple):
    """What the old process hands to the new one.

    `listener` is None if the old process listens at another address. `out_of_service` and `back_in_service`
    have the servers that an operator has taken out, or put back, each with the time since when, in
    microseconds of the sidecar's clock. `drained_by_operator`: clients are to be sent away. `process` is the
    old process's name, or empty for an older release, and `ids_in_use` what it and others have in use.
    `list_due_at`: until when the old process waits for its own first list, None if it uses `known_list`.
    """

    channel: Channel
    listener: socket.socket | None
    known_list: Any
    out_of_service: dict[int, int]
    back_in_service: dict[int, int]
    drained_by_operator: bool
    ids_in_use: list[IdUpdate]
    process: str
    list_due_at: int | None = None


def encode_times(times: dict[int, int]) -> list[list[int]]:
    """Encode times by server for a message, as times of the machine's monotonic clock, which both share."""
    return [[server, clock.to_monotonic(time)] for server, time in sorted(times.items())]


def decode_times(times: list[list[int]]) -> dict[int, int]:
    """Decode what `encode_times` has made into times of this process's clock."""
    return {int(server): clock.from_monotonic(int(time)) for server, time in times}


def socket_path() -> Path | None:
    """Return where the serving process is reached, or None if $TMPDIR is not set."""
    folder = os.environ.get("TMPDIR", "")
    return Path(folder) / SOCKET_NAME if folder else None


class ShortPath:
    """Gives a path short enough for a socket's address, whose length the kernel limits to 107 bytes."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def __enter__(self) -> str:
        self.folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        return f"/proc/self/fd/{self.folder}/{self.path.name}"

    def __exit__(self, *_: object) -> None:
        os.close(self.folder)


def create_process_name() -> str:
    """Return a name for this process that no other one has."""
    return secrets.token_hex(PROCESS_NAME_BYTES)


def request_handover(listen: Address, process: str = "") -> Handover | None:
    """Ask the process that serves at this address for a handover; `process` is the name of this one.

    Returns None if there is none or it gives no valid answer in time: this process then starts from nothing,
    so that a socket that a dead process left behind cannot stop it from starting.
    """
    path = socket_path()
    if path is None or not path.exists():
        return None
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    descriptors: list[int] = []
    try:
        sock.settimeout(HANDOVER_TIMEOUT_S)
        with ShortPath(path) as short:
            sock.connect(short)
        channel = Channel(sock)
        channel.send({"version": PROTOCOL_VERSION, "listen": list(listen), "process": process})
        answer, descriptors = channel.receive()
        if answer.get("version") != PROTOCOL_VERSION:
            raise ChannelError(f"version {answer.get('version')}")
        listener = socket.socket(fileno=descriptors.pop()) if descriptors else None
        sock.settimeout(None)
        if "wall_offset" in answer:
            clock.wall.inherit(int(answer["wall_offset"]))
        list_due = answer.get("list_due")
        return Handover(
            channel,
            listener,
            answer["known"],
            decode_times(answer["by_hand"]),
            decode_times(answer["returned"]),
            bool(answer["emptied"]),
            decode_in_use(answer),
            str(answer.get("process", "")),
            clock.from_monotonic(int(list_due)) if list_due is not None else None,
        )
    except (OSError, ChannelError, ValueError, TypeError, KeyError, AttributeError):
        for each in descriptors:
            os.close(each)
        sock.close()
        return None
