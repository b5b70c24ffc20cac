"""The channel between two processes of a hot restart: messages, and whether the other process runs."""

from __future__ import annotations

import os
import select
import socket
import struct
import threading
from contextlib import suppress
from typing import Any

import orjson

# An operator's change waits this long for the other process to confirm it.
CONFIRM_TIMEOUT_S = 0.5
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
CREDENTIALS = struct.Struct("iII")  # struct ucred (unix(7)): process, user, group


class ChannelError(Exception):
    """The other process sent an invalid message or ended the channel."""


class Channel:
    """A Unix socket to the other process: one JSON message per line, in both directions."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""
        self.write_lock = threading.RLock()
        self.confirmation = threading.Condition()
        self.last_sent = self.last_confirmed = 0  # numbers of messages that are to be confirmed
        self.closed = False

    def send(self, message: dict[str, Any], descriptors: tuple[int, ...] = ()) -> None:
        """Send one message, with file descriptors; raises OSError if the channel is broken."""
        data = orjson.dumps(message, option=orjson.OPT_APPEND_NEWLINE)
        with self.write_lock:
            if descriptors:
                count = socket.send_fds(self.sock, [data], list(descriptors))
                data = data[count:]
            self.sock.sendall(data)

    def receive(self) -> tuple[dict[str, Any], list[int]]:
        """Return the next message and the file descriptors that arrived with it.

        Raises ChannelError at the end of the channel and for a message that is too long or no object, OSError
        if the channel is broken, ValueError for invalid JSON.
        """
        descriptors: list[int] = []
        while b"\n" not in self.buffer:
            data, received, _, _ = socket.recv_fds(self.sock, 65536, 4)
            descriptors += received
            self.buffer += data
            if not data or len(self.buffer) > MAX_MESSAGE_BYTES:
                for each in descriptors:
                    os.close(each)
                raise ChannelError("the channel was closed, or a message was too long")
        line, _, self.buffer = self.buffer.partition(b"\n")
        message = orjson.loads(line)
        if not isinstance(message, dict):
            raise ChannelError("the message is not an object")
        return message, descriptors

    def send_confirmed(self, message: dict[str, Any]) -> int:
        """Have the other process apply a change, and wait until it has, at most `CONFIRM_TIMEOUT_S`.

        Returns the message's number.  The bound keeps an operator's call from hanging on a process that is
        stuck.
        """
        with self.confirmation:
            self.last_sent += 1
            number = self.last_sent
        with suppress(OSError):
            self.send({**message, "number": number})
            self.wait_until_confirmed(number, CONFIRM_TIMEOUT_S)
        return number

    def wait_until_confirmed(self, number: int, timeout_s: float | None = None) -> bool:
        """Wait until the other process has confirmed a message; False if the time or the channel ends first.

        Without `timeout_s` it waits for as long as the channel is open.
        """
        with self.confirmation:
            self.confirmation.wait_for(lambda: self.last_confirmed >= number or self.closed, timeout_s)
            return self.last_confirmed >= number

    def note_confirmed(self, number: int) -> None:
        """Release whoever waits until the other process has confirmed this message."""
        with self.confirmation:
            self.last_confirmed = max(self.last_confirmed, number)
            self.confirmation.notify_all()

    def close(self) -> None:
        """Close the socket and release whoever waits for a confirmation."""
        with self.confirmation:
            self.closed = True
            self.confirmation.notify_all()
        self.sock.close()


def open_peer_process(sock: socket.socket) -> int | None:
    """Open a descriptor of the process at the other end of a Unix socket (pidfd_open(2)).

    None if the process has ended, or can't be seen from here.
    """
    with suppress(OSError):
        credentials = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
        return os.pidfd_open(CREDENTIALS.unpack(credentials)[0])
    return None


def wait_for_end(process: int | None) -> None:
    """Wait until the process of a descriptor has ended, and close the descriptor."""
    if process is None:
        return
    poll = select.poll()
    poll.register(process, select.POLLIN)
    poll.poll()
    os.close(process)
