"""What the kernel knows of a connection: arrival times of bytes, unread bytes, and whether the peer is there.

SO_TIMESTAMPNS (socket(7)) adds a control message to each read, with the Unix time at which the last segment
read was received.  Where a kernel sends none, the time of the read is used.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import sys
import termios
from contextlib import suppress

from . import clock
from .transient import LACK_OF_MEMORY, retry

TCP_ESTABLISHED = 1  # a TCP state (tcp_states.h)
SEGMENT_SIZE = slice(16, 20)  # tcpi_snd_mss in struct tcp_info; never 0
BYTES_RECEIVED = slice(128, 136)  # tcpi_bytes_received in struct tcp_info (linux/tcp.h)
SIOCOUTQNSD = 0x894B  # linux/sockios.h; what was written and not sent yet
SO_TIMESTAMPNS = 35  # asm-generic/socket.h; the socket module does not define it
LAST_DATA_RECV = slice(52, 56)  # tcpi_last_data_recv in struct tcp_info, in milliseconds
TIMESPEC = struct.Struct("qq")
CONTROL_BYTES = socket.CMSG_SPACE(TIMESPEC.size)


def enable_timestamps(sock: socket.socket) -> None:
    """Have the kernel add timestamps to what is received; accepted sockets inherit it from their listener."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


def last_received_at(sock: socket.socket, now: int) -> int:
    """When the last bytes were received, or the connection was made; `now` if the kernel does not tell.

    Connections may have waited long to be accepted, after this process was stopped or got no CPU time.  Their
    clients may have left long ago, and what they requested must not be done any more.
    """
    with suppress(OSError):
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BYTES_RECEIVED.stop)
        if len(info) >= LAST_DATA_RECV.stop:
            return now - int.from_bytes(info[LAST_DATA_RECV], sys.byteorder) * 1000
    return now


def receive(sock: socket.socket, buffer: memoryview, since: int) -> tuple[int, int]:
    """Read once; returns the number of bytes and when they were received, no earlier than `since`.

    Raises OSError.
    """
    try:
        count, control, _, _ = sock.recvmsg_into((buffer,), CONTROL_BYTES)
    except OSError as error:
        if error.errno not in LACK_OF_MEMORY:
            raise
        count, control, _, _ = retry(lambda: sock.recvmsg_into((buffer,), CONTROL_BYTES), LACK_OF_MEMORY)
    now = clock.now()
    if control and len(control[0][2]) == TIMESPEC.size:
        seconds, nanoseconds = TIMESPEC.unpack(control[0][2])
        received_at = clock.wall.received_at(seconds * 1_000_000 + nanoseconds // 1000, now)
        return count, max(min(since, now), received_at)
    return count, now


def is_quiet(sock: socket.socket, bytes_read: int) -> bool:
    """Whether the connection is open and has no unread bytes, after `bytes_read` were read in total.

    Uses TCP_INFO (tcp(7)): unlike a peek at the next byte, getsockopt does not release the interpreter lock,
    which another thread could take.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BYTES_RECEIVED.stop)
        if info[0] != TCP_ESTABLISHED:
            return False
        if (
            len(info) == BYTES_RECEIVED.stop
            and (count := int.from_bytes(info[BYTES_RECEIVED], sys.byteorder)) >= bytes_read
        ):
            return count == bytes_read
        # An older kernel, or one without this count, as it can't have received less than was read.
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def is_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed the connection or its sending side, as far as the kernel knows."""
    return tcp_state(sock) != TCP_ESTABLISHED


def tcp_state(sock: socket.socket) -> int | None:
    """Return the connection's state, None without a connection."""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return None


def count_bytes(sock: socket.socket, request: int) -> int:
    """Return a count of bytes that an ioctl of tcp(7) tells; 0 without a connection."""
    with suppress(OSError):
        return int(struct.unpack("i", fcntl.ioctl(sock, request, bytes(4)))[0])
    return 0


def unread_bytes(sock: socket.socket) -> int:
    """Return how many bytes wait in the socket's receive buffer."""
    return count_bytes(sock, termios.FIONREAD)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Return how many bytes were written that the peer's machine has not acknowledged."""
    return count_bytes(sock, termios.TIOCOUTQ)


def tells_acknowledgements(sock: socket.socket) -> bool:
    """Whether the platform counts what is acknowledged; some tell no more of a connection than its state."""
    with suppress(OSError):
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, SEGMENT_SIZE.stop)
        return any(info[SEGMENT_SIZE])
    return True


def unsent_bytes(sock: socket.socket) -> int:
    """Return how many bytes were written that have not been sent, as the peer has no room for them."""
    return count_bytes(sock, SIOCOUTQNSD)


def shutdown(sock: socket.socket, how: int) -> bool:
    """Shut down a socket (`how` as in socket.shutdown); True if `is_closed` is meaningless from now on.

    On some platforms our own shutdown looks like the peer's, and from then on it is unknown whether the peer
    has closed the connection.
    """
    was_closed = is_closed(sock)
    with suppress(OSError):  # already closed by the peer
        sock.shutdown(how)
    return not was_closed and is_closed(sock)
