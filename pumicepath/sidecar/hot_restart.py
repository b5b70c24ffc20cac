"""Replacing the process: the line between the old one and the new, by which all is handed that must run on.

`reach` is the new process's first step; `Succession` answers it in the old one, and keeps both of one mind.
"""

from __future__ import annotations

import os
import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from ..discovery.server_list import Address
from . import clock
from .clients import Clients
from .dispatch import Dispatcher
from .servers import start_thread

SOCKET_NAME = "pumicepath.succession"
PROTOCOL_VERSION = 1  # of what is said on the line
HANDOVER_TIMEOUT_S = 1.0  # that the old process may take to answer
CONFIRM_TIMEOUT_S = 0.5  # that a change made by hand waits for the other process
MAX_MESSAGE_BYTES = 4 * 1024 * 1024  # bytes of one message


class ChannelError(Exception):
    """The other process says what can't be understood, or nothing."""


class Channel:
    """One message a JSON line, both ways."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""
        self.write_lock = threading.RLock()
        self.confirmation = threading.Condition()
        self.last_sent = self.last_confirmed = 0
        self.closed = False

    def send(self, message: dict[str, Any], descriptors: tuple[int, ...] = ()) -> None:
        data = orjson.dumps(message, option=orjson.OPT_APPEND_NEWLINE)
        with self.write_lock:
            if descriptors:
                count = socket.send_fds(self.sock, [data], list(descriptors))
                data = data[count:]
            self.sock.sendall(data)

    def receive(self) -> tuple[dict[str, Any], list[int]]:
        """The next message, with the descriptors that came; raises Broken once there is none."""
        descriptors: list[int] = []
        while b"\n" not in self.buffer:
            data, came, _, _ = socket.recv_fds(self.sock, 65536, 4)
            descriptors += came
            self.buffer += data
            if not data or len(self.buffer) > MAX_MESSAGE_BYTES:
                for each in descriptors:
                    os.close(each)
                raise ChannelError("the line has ended")
        line, _, self.buffer = self.buffer.partition(b"\n")
        message = orjson.loads(line)
        if not isinstance(message, dict):
            raise ChannelError("no message")
        return message, descriptors

    def send_confirmed(self, message: dict[str, Any]) -> None:
        """Have the other process do the same, and wait for it, but not for one that is stuck."""
        with self.confirmation:
            self.last_sent += 1
            number = self.last_sent
        with suppress(OSError):
            self.send({**message, "number": number})
            with self.confirmation:
                self.confirmation.wait_for(
                    lambda: self.last_confirmed >= number or self.closed, CONFIRM_TIMEOUT_S
                )

    def close(self) -> None:
        with self.confirmation:
            self.closed = True
            self.confirmation.notify_all()
        self.sock.close()


class Handover(NamedTuple):
    """What a new process goes on with."""

    channel: Channel
    listener: socket.socket | None
    known_list: Any
    out_of_service: dict[int, int]
    back_in_service: dict[int, int]
    drained_by_operator: bool


def encode_times(times: dict[int, int]) -> list[list[int]]:
    return [[server, clock.to_monotonic(then)] for server, then in sorted(times.items())]


def decode_times(times: list[list[int]]) -> dict[int, int]:
    return {int(server): clock.from_monotonic(int(then)) for server, then in times}


def socket_path() -> Path | None:
    folder = os.environ.get("TMPDIR", "")
    return Path(folder) / SOCKET_NAME if folder else None


class ShortPath:
    """A path short enough for a socket's address, whose length the kernel bounds to 107 bytes."""

    def __init__(self, path: Path) -> None:
        self.path = path

    def __enter__(self) -> str:
        self.folder = os.open(self.path.parent, os.O_RDONLY | os.O_DIRECTORY)
        return f"/proc/self/fd/{self.folder}/{self.path.name}"

    def __exit__(self, *_: object) -> None:
        os.close(self.folder)


def request_handover(listen: Address) -> Handover | None:
    """What the process that serves at this address hands over; None where there is none, or it says nothing.

    Guards the start against what a process long dead has left: then this one starts from nothing.
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
        line = Channel(sock)
        line.send({"version": PROTOCOL_VERSION, "listen": list(listen)})
        told, descriptors = line.receive()
        if told.get("version") != PROTOCOL_VERSION:
            raise ChannelError(f"version {told.get('version')}")
        listener = socket.socket(fileno=descriptors.pop()) if descriptors else None
        sock.settimeout(None)
        return Handover(
            line,
            listener,
            told["known"],
            decode_times(told["by_hand"]),
            decode_times(told["returned"]),
            bool(told["emptied"]),
        )
    except (OSError, ChannelError, ValueError, TypeError, KeyError):
        for each in descriptors:
            os.close(each)
        sock.close()
        return None


class HotRestart:
    """Both ends of the line in a process that runs: to the one before it, and to the one after it."""

    def __init__(
        self, dispatcher: Dispatcher, clients: Clients, known: Callable[[], Any], listen: Address
    ) -> None:
        self.dispatcher = dispatcher
        self.clients = clients
        self.known = known
        self.listen = list(listen)
        self.channels: dict[Channel, None] = {}
        self.superseded = False  # whether a process that takes clients has come after this one

    def take_over(self, before: Channel) -> None:
        """This process takes clients: the one before it leaves them to it."""
        self.channels[before] = None
        self.dispatcher.scale_connection_limit(1, 2)
        self.clients.scale_limit(2, 3)
        with suppress(OSError):
            before.send({"taking": True})
        # Only once it is told: whoever reads it may end this process, and the one before must know by then
        # that it had stopped taking clients, else it never says that it is alone again.
        self.dispatcher.events.event("succeeding")
        start_thread(lambda: self.serve_channel(before, False))

    def open_socket(self) -> None:
        """Wait for the process that will come after this one."""
        path = socket_path()
        if path is None:
            return
        mine = path.with_name(f"{SOCKET_NAME}.{os.getpid()}")
        try:
            with suppress(FileNotFoundError):
                mine.unlink()
            listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            with ShortPath(mine) as short:
                listener.bind(short)
            listener.listen(4)
            # In one step: guards a second new process against a moment in which nobody is to be met there.
            os.replace(mine, path)
        except OSError as trouble:
            # It can still be replaced, with what waits in its queue lost and nothing handed over.
            self.dispatcher.events.event("no_succession", text=str(trouble))
            return
        start_thread(lambda: self.accept_channels(listener))

    def accept_channels(self, listener: socket.socket) -> None:
        while True:
            try:
                line = Channel(listener.accept()[0])
            except OSError as trouble:
                self.dispatcher.events.event("no_succession", text=str(trouble))
                return
            start_thread(lambda line=line: self.serve_channel(line, True))  # type: ignore[misc]

    def serve_channel(self, line: Channel, after: bool) -> None:
        """All that the other process says, until it ends; `after` tells whether it comes after this one."""
        taking = False
        try:
            if after:
                self.hand_over(line)
            while True:
                message, _ = line.receive()
                if message.get("taking") and after:
                    taking = self.superseded = True
                    self.clients.pause_accepting(True)
                    self.dispatcher.scale_connection_limit(1, 2)
                    self.dispatcher.events.event("succeeded", clients=len(self.clients.open))
                if "done" in message:
                    with line.confirmation:
                        line.last_confirmed = max(line.last_confirmed, int(message["done"]))
                        line.confirmation.notify_all()
                if "number" in message:
                    self.apply(message)
                    line.send({"done": message["number"]})
        except (OSError, ChannelError, ValueError, TypeError, KeyError, IndexError) as trouble:
            if not isinstance(trouble, (OSError, ChannelError)):
                self.dispatcher.events.event("fault", text=f"{type(trouble).__name__}: {trouble}")
        finally:
            self.channels.pop(line, None)
            line.close()
            if taking:
                # The new process is gone before this one was told to go: clients are this one's again.
                self.superseded = False
                self.clients.pause_accepting(False)
            if taking or not after:
                self.dispatcher.scale_connection_limit(1, 1)
                self.clients.scale_limit(1, 1)
                self.dispatcher.events.event("alone")

    def hand_over(self, line: Channel) -> None:
        message, _ = line.receive()
        dispatcher = self.dispatcher
        with line.write_lock:
            self.channels[line] = (
                None  # what is changed from now on is told behind this, and may be in it too
            )
            by_hand, returned = dispatcher.operator_state()
            told = {
                "version": PROTOCOL_VERSION,
                "known": self.known(),
                "emptied": dispatcher.out_of_service,
                "by_hand": encode_times(by_hand),
                "returned": encode_times(returned),
            }
            same = message.get("listen") == self.listen
            line.send(told, (self.clients.listener.fileno(),) if same else ())

    def apply(self, message: dict[str, Any]) -> None:
        if "server" in message:
            self.dispatcher.set_out_of_service(str(message["server"]), bool(message["out"]), True)
        if "emptied" in message:
            self.clients.set_out_of_service(bool(message["emptied"]))

    def propagate(self, message: dict[str, Any]) -> None:
        for line in list(self.channels):
            line.send_confirmed(message)
