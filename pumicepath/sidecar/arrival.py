"""What the kernel knows of a connection: when bytes reached this machine, what waits, who is still there.

SO_TIMESTAMPNS (socket(7)): a control message with each read, in Unix time, of the last segment read.  Where a
kernel gives none, the time of reading stands for it.
"""

from __future__ import annotations

import socket
import struct
import sys
import time
from contextlib import suppress

from . import clock

TCP_ESTABLISHED = 1  # of the kernel's states (tcp_states.h)
BYTES_RECEIVED = slice(128, 136)  # tcpi_bytes_received of struct tcp_info (linux/tcp.h)
SO_TIMESTAMPNS = 35  # SO_TIMESTAMPNS of asm-generic/socket.h, on all machines this is meant for
LAST_DATA_RECV = slice(52, 56)  # tcpi_last_data_recv, in milliseconds
TIMESPEC = struct.Struct("qq")
CONTROL_BYTES = socket.CMSG_SPACE(TIMESPEC.size)


def enable_timestamps(sock: socket.socket) -> None:
    """Have the kernel stamp what comes on this connection."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def last_received_at(sock: socket.socket, now: int) -> int:
    """When something came on a connection last, or it was made, as far as the kernel tells; else `now`.

    Guards against taking what has waited to be accepted for new: after a process was stopped, or had no core,
    clients have long gone, and what they asked for must not be done any more.
    """
    with suppress(OSError):
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BYTES_RECEIVED.stop)
        if len(told) >= LAST_DATA_RECV.stop:
            return now - int.from_bytes(told[LAST_DATA_RECV], sys.byteorder) * 1000
    return now


def receive(sock: socket.socket, buffer: memoryview, since: int) -> tuple[int, int]:
    """Read once, and tell how many bytes that were and when they came, no earlier than `since`.

    Raises OSError as reading does.
    """
    count, told, _, _ = sock.recvmsg_into((buffer,), CONTROL_BYTES)
    now = clock.now()
    if told and len(told[0][2]) == TIMESPEC.size:
        seconds, nanoseconds = TIMESPEC.unpack(told[0][2])
        waited = (time.time_ns() - seconds * 1_000_000_000 - nanoseconds) // 1000
        if waited > 0:
            # The bound guards against a clock of the machine that was set between the two.
            return count, max(min(since, now), now - waited)
    return count, now


def is_quiet(sock: socket.socket, bytes_read: int) -> bool:
    """Whether the connection stands and nothing waits on it, after so many bytes that were read from it.

    By TCP_INFO (tcp(7)), in which, unlike in a look at the next byte, a thread never loses the interpreter to
    another.
    """
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BYTES_RECEIVED.stop)
        if told[0] != TCP_ESTABLISHED:
            return False
        if (
            len(told) == BYTES_RECEIVED.stop
            and (count := int.from_bytes(told[BYTES_RECEIVED], sys.byteorder)) >= bytes_read
        ):
            return count == bytes_read
        # An older kernel, or one that keeps no such count: it can't have received less than was read.
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def is_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed the connection, as far as that has come."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_ESTABLISHED
    except OSError:
        return True


def shutdown(sock: socket.socket, how: int) -> bool:
    """Shut a connection's reading, or both ways; whether `gone` is true since, though its peer had not gone.

    Guards what crossed that end, on a platform where our own shutdown looks like the peer's: whether it has
    gone can't be known from there on.
    """
    before = is_closed(sock)
    with suppress(OSError):  # the peer was first
        sock.shutdown(how)
    return not before and is_closed(sock)
