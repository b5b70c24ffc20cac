"""Hot restart: the channel between an old and a new process, which hands over all that must keep running.

The new process calls `request_handover` first; in the old one `HotRestart` answers it. From then on
`HotRestart` in both processes applies the changes that operators make at either.
"""

from __future__ import annotations

import os
import socket
import threading
from collections import deque
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
PROTOCOL_VERSION = 1
# The old process has this long to answer a request for a handover.
HANDOVER_TIMEOUT_S = 1.0
# An operator's change waits this long for the other process to confirm it.
CONFIRM_TIMEOUT_S = 0.5
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
ID_SHARING_TIMEOUT_S = 0.01  # longer than the other process takes, unless it hangs
MAX_SHARED_IDS = 10_000  # at most 256 bytes each, within a message


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

    def send_confirmed(self, message: dict[str, Any]) -> None:
        """Have the other process apply a change, and wait until it has, at most `CONFIRM_TIMEOUT_S`.

        The bound keeps an operator's call from hanging on a process that is stuck.
        """
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
        """Close the socket and release whoever waits for a confirmation."""
        with self.confirmation:
            self.closed = True
            self.confirmation.notify_all()
        self.sock.close()


class Handover(NamedTuple):
    """What the old process hands to the new one.

    `listener` is None if the old process listens at another address. `out_of_service` and `back_in_service`
    have the servers that an operator has taken out, or put back, each with the time since when, in
    microseconds of the sidecar's clock. `drained_by_operator`: clients are to be sent away.
    """

    channel: Channel
    listener: socket.socket | None
    known_list: Any
    out_of_service: dict[int, int]
    back_in_service: dict[int, int]
    drained_by_operator: bool
    ids_in_use: list[tuple[str, int]]


def encode_times(times: dict[int, int]) -> list[list[int]]:
    """Encode times by server for a message, as times of the machine's monotonic clock, which both share."""
    return [[server, clock.to_monotonic(time)] for server, time in sorted(times.items())]


def decode_times(times: list[list[int]]) -> dict[int, int]:
    """Decode what `encode_times` has made into times of this process's clock."""
    return {int(server): clock.from_monotonic(int(time)) for server, time in times}


def encode_ids(ids: list[tuple[str, int]]) -> list[list[Any]]:
    """Encode ids for a message, with times of the machine's monotonic clock; the newest if there are many."""
    return [[trace_id, clock.to_monotonic(until)] for trace_id, until in ids[-MAX_SHARED_IDS:]]


def decode_ids(ids: list[list[Any]]) -> list[tuple[str, int]]:
    """Decode what `encode_ids` has made; raises ValueError for anything else."""
    return [(str(trace_id), clock.from_monotonic(int(until))) for trace_id, until in ids]


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


def request_handover(listen: Address) -> Handover | None:
    """Ask the process that serves at this address for a handover.

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
        channel.send({"version": PROTOCOL_VERSION, "listen": list(listen)})
        answer, descriptors = channel.receive()
        if answer.get("version") != PROTOCOL_VERSION:
            raise ChannelError(f"version {answer.get('version')}")
        listener = socket.socket(fileno=descriptors.pop()) if descriptors else None
        sock.settimeout(None)
        if "wall_offset" in answer:
            clock.wall.inherit(int(answer["wall_offset"]))
        return Handover(
            channel,
            listener,
            answer["known"],
            decode_times(answer["by_hand"]),
            decode_times(answer["returned"]),
            bool(answer["emptied"]),
            decode_ids(answer.get("ids", [])),
        )
    except (OSError, ChannelError, ValueError, TypeError, KeyError):
        for each in descriptors:
            os.close(each)
        sock.close()
        return None


class ClaimedId(NamedTuple):
    """An id that was claimed here; `shared` is set once the other processes have been told."""

    trace_id: str
    until: int
    shared: threading.Event


def wait_for(shared: threading.Event) -> None:
    """Wait until an id has been shared, for a bounded time."""
    shared.wait(ID_SHARING_TIMEOUT_S)


class HotRestart:
    """A running process's channels to the process that it has replaced and to those that may replace it."""

    def __init__(
        self, dispatcher: Dispatcher, clients: Clients, known_list: Callable[[], Any], listen: Address
    ) -> None:
        self.dispatcher = dispatcher
        self.clients = clients
        self.known_list = known_list
        self.listen = list(listen)
        self.channels: dict[Channel, None] = {}
        self.claimed_ids: deque[ClaimedId] = deque(maxlen=MAX_SHARED_IDS)
        self.id_claimed = threading.Event()
        self.superseded = False  # whether a new process accepts clients in this one's place

    def take_over(self, old_process: Channel) -> None:
        """Tell the old process that this one accepts clients now; the old one stops accepting them."""
        self.channels[old_process] = None
        self.start_sharing_ids()
        self.dispatcher.scale_connection_limit(1, 2)
        self.clients.scale_limit(2, 3)
        with suppress(OSError):
            old_process.send({"taking": True})
        # Logged only after the message is sent: whoever reads the log may end this process then.  If the old
        # one did not know by that time that it had stopped accepting, it would never log that it is alone.
        self.dispatcher.events.event("succeeding")
        start_thread(lambda: self.serve_channel(old_process, False))

    def open_socket(self) -> None:
        """Listen for a process that is to replace this one; without $TMPDIR none can."""
        path = socket_path()
        if path is None:
            return
        own_path = path.with_name(f"{SOCKET_NAME}.{os.getpid()}")
        try:
            with suppress(FileNotFoundError):
                own_path.unlink()
            listener = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            with ShortPath(own_path) as short:
                listener.bind(short)
            listener.listen(4)
            # Renamed in one atomic step: otherwise a second new process could find no socket for a moment,
            # and would start from nothing.
            os.replace(own_path, path)
        except OSError as error:
            # This process can still be replaced, but without a handover: what waits in its queue is lost.
            self.dispatcher.events.event("no_succession", text=str(error))
            return
        start_thread(lambda: self.accept_channels(listener))

    def accept_channels(self, listener: socket.socket) -> None:
        """Serve each new process that connects, in a thread of its own."""
        while True:
            try:
                channel = Channel(listener.accept()[0])
            except OSError as error:
                self.dispatcher.events.event("no_succession", text=str(error))
                return
            start_thread(lambda channel=channel: self.serve_channel(channel, True))  # type: ignore[misc]

    def serve_channel(self, channel: Channel, to_new_process: bool) -> None:
        """Handle the messages of the other process until the channel ends."""
        new_process_serves = False
        try:
            if to_new_process:
                self.hand_over(channel)
            while True:
                message, _ = channel.receive()
                if message.get("taking") and to_new_process:
                    new_process_serves = self.superseded = True
                    self.clients.pause_accepting(True)
                    self.dispatcher.scale_connection_limit(1, 2)
                    self.dispatcher.events.event("succeeded", clients=len(self.clients.open))
                if "done" in message:
                    with channel.confirmation:
                        channel.last_confirmed = max(channel.last_confirmed, int(message["done"]))
                        channel.confirmation.notify_all()
                if "ids" in message:
                    self.dispatcher.hold_ids(decode_ids(message["ids"]))
                if "number" in message:
                    self.apply(message)
                    channel.send({"done": message["number"]})
        except (OSError, ChannelError, ValueError, TypeError, KeyError, IndexError) as error:
            if not isinstance(error, (OSError, ChannelError)):
                self.dispatcher.events.event("fault", text=f"{type(error).__name__}: {error}")
        finally:
            self.channels.pop(channel, None)
            channel.close()
            if new_process_serves:
                # The new process has gone before this one was asked to end: this one accepts clients again.
                self.superseded = False
                self.clients.pause_accepting(False)
            if new_process_serves or not to_new_process:
                self.dispatcher.scale_connection_limit(1, 1)
                self.clients.scale_limit(1, 1)
                self.dispatcher.events.event("alone")

    def hand_over(self, channel: Channel) -> None:
        """Answer a new process's request; it gets the listening socket if it serves at the same address."""
        message, _ = channel.receive()
        dispatcher = self.dispatcher
        with channel.write_lock:
            # Changes from now on are sent after the answer, and may also be contained in it.
            self.channels[channel] = None
            out_of_service, back_in_service = dispatcher.operator_state()
            self.start_sharing_ids()
            answer = {
                "ids": encode_ids(dispatcher.ids_in_use()),
                "version": PROTOCOL_VERSION,
                "known": self.known_list(),
                "emptied": dispatcher.out_of_service,
                "by_hand": encode_times(out_of_service),
                "returned": encode_times(back_in_service),
                "wall_offset": clock.wall.monotonic_offset(),
            }
            same_address = message.get("listen") == self.listen
            channel.send(answer, (self.clients.listener.fileno(),) if same_address else ())

    def apply(self, message: dict[str, Any]) -> None:
        """Apply a change that an operator has made at the other process."""
        if "server" in message:
            self.dispatcher.set_out_of_service(str(message["server"]), bool(message["out"]), True)
        if "emptied" in message:
            self.clients.set_out_of_service(bool(message["emptied"]))

    def start_sharing_ids(self) -> None:
        """Tell the other process of each id that is claimed from now on: both act as one towards clients."""
        if self.dispatcher.on_id_claimed != self.note_id:
            self.dispatcher.on_id_claimed = self.note_id
            start_thread(self.share_ids)

    def note_id(self, trace_id: str, until: int) -> None:
        """Queue an id for the other processes; called with the dispatcher's lock held.

        Once that is free the request waits until they have been told, or for ID_SHARING_TIMEOUT_S.
        """
        if self.channels:
            shared = threading.Event()
            self.claimed_ids.append(ClaimedId(trace_id, until, shared))
            self.id_claimed.set()
            self.dispatcher.do_after_unlock(lambda: wait_for(shared))

    def share_ids(self) -> None:
        """Send queued ids as they come; the body of a thread."""
        while True:
            self.id_claimed.wait()
            self.id_claimed.clear()
            claimed = [self.claimed_ids.popleft() for _ in range(len(self.claimed_ids))]
            message = {"ids": encode_ids([(each.trace_id, each.until) for each in claimed])}
            for channel in list(self.channels) if claimed else ():
                with suppress(OSError):  # that process has ended
                    channel.send(message)
            for each in claimed:
                each.shared.set()

    def propagate(self, message: dict[str, Any]) -> None:
        """Have all connected processes apply an operator's change, and wait for each of them."""
        for channel in list(self.channels):
            channel.send_confirmed(message)
