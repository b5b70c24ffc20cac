"""Hot restart: hands over to a new process, and keeps all processes of this sidecar acting as one.

The new process calls `handover.request_handover` first; in the old one `HotRestart` answers it. From then on
`HotRestart` in both processes applies the changes that operators make at either.
"""

from __future__ import annotations

import os
import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from ..discovery.server_list import Address
from . import clock
from .clients import Clients
from .dispatch import Dispatcher
from .handover import (
    PROTOCOL_VERSION,
    SOCKET_NAME,
    Handover,
    ShortPath,
    create_process_name,
    encode_times,
    socket_path,
)
from .handover_channel import Channel, ChannelError, open_peer_process, wait_for_end
from .id_grants import IdAnswer, IdGrants, IdQuestion, decode_answer, decode_questions, encode_answer
from .id_sharing import IdSharing, IdUpdate, decode_update, encode_in_use
from .servers import start_thread
from .trace_ids import RemoteProcess

# A process that was asked to end is killed this long after the longest deadline at the earliest.
KILLED_AFTER_US = 700_000
# To tell a new process of all ids in use before it decides; longer than a process may be stopped.
FLUSH_TIMEOUT_S = 5.0


class ProcessLink:
    """The channel to another process, and whose ids are known through it.

    `peer` is the process at its other end, None for an older release; `others` are processes from which that
    one passes on what it is told.  Each end knows the other's `process_descriptor` from the start.  With
    `to_newer` the peer is to replace this process; `id_grants` is set once it serves, as it decides from then
    on which ids may be used.
    """

    def __init__(self, channel: Channel, peer: RemoteProcess | None, to_newer: bool) -> None:
        self.channel = channel
        self.peer = peer
        self.to_newer = to_newer
        self.id_grants: IdGrants | None = None
        self.others: dict[str, RemoteProcess] = {}
        self.process_descriptor = open_peer_process(channel.sock)

    def process(self, name: str) -> RemoteProcess | None:
        """Return the process with this name; None for an older release, which has none."""
        if not name or self.peer is not None and self.peer.name == name:
            return self.peer if name else None
        return self.others.setdefault(name, RemoteProcess(name))


class HotRestart:
    """A running process's channels to the process that it has replaced and to those that may replace it."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clients: Clients,
        known_list: Callable[[], Any],
        listen: Address,
        process: str = "",
        adopt_list: Callable[[str, Any], None] = lambda host, known: None,
        list_host: Callable[[], str] = str,
    ) -> None:
        self.dispatcher = dispatcher
        self.clients = clients
        self.known_list = known_list
        self.adopt_list = adopt_list
        self.list_host = list_host  # where the list comes from
        self.listen = list(listen)
        self.process = process or create_process_name()
        self.links: dict[Channel, ProcessLink] = {}
        self.id_sharing = IdSharing(
            dispatcher, self.process, lambda: bool(self.links), self.broadcast, self.ask_newer
        )
        self.list_changed = threading.Event()
        self.shares_list = False
        self.superseded = False  # whether a new process accepts clients in this one's place
        self.has_taken_over = threading.Event()
        self.old_process_ended = threading.Event()  # of the one that this process is to replace

    def follow(self, handover: Handover) -> None:
        """Apply what the old process has handed over, and whatever it tells from now on."""
        peer = RemoteProcess(handover.process) if handover.process else None
        link = ProcessLink(handover.channel, peer, False)
        self.links[handover.channel] = link
        self.start_sharing()
        for update in handover.ids_in_use:
            self.apply_ids(link, update)
        start_thread(lambda: self.serve_channel(link))

    def take_over(self, old_process: Channel) -> None:
        """Tell the old process that this one accepts clients now; the old one stops accepting them.

        Waits, for a bounded time, until it knows, and what it has told until then has been applied.  To be
        called before clients are accepted: their requests may have ids that were claimed there since the
        handover, and must not go to servers that operators took out of service since then.
        """
        self.dispatcher.scale_connection_limit(1, 2)
        self.clients.scale_limit(2, 3)
        link = self.links.get(old_process)
        is_asked = link is not None and link.peer is not None  # an older release asks nothing
        if is_asked:
            self.dispatcher.ids.decides.clear()
        number = old_process.send_confirmed({"taking": True})
        if is_asked:
            start_thread(lambda: self.decide_once_confirmed(old_process, number))
        # Logged only after the message is sent: whoever reads the log may end this process then.  If the old
        # one did not know by that time that it had stopped accepting, it would never log that it is alone.
        self.dispatcher.events.event("succeeding")
        self.has_taken_over.set()

    def decide_once_confirmed(self, old_process: Channel, number: int) -> None:
        """Use ids once the old process has confirmed that it asks for them; the body of a thread.

        One that is stopped while it is replaced sends what it had read when it goes on, and learns only then
        that it was replaced.  If the channel ends first, the end of that process counts (`end_link`).
        """
        if old_process.wait_until_confirmed(number):
            self.dispatcher.ids.decides.set()

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
            start_thread(lambda channel=channel: self.serve_new_process(channel))  # type: ignore[misc]

    def serve_new_process(self, channel: Channel) -> None:
        """Hand over to a new process, and handle its messages until the channel ends."""
        try:
            link = self.hand_over(channel)
        except (OSError, ChannelError, ValueError, TypeError, KeyError) as error:
            self.log_fault(error)
            failed = self.links.pop(channel, None)
            if failed is not None and failed.process_descriptor is not None:
                os.close(failed.process_descriptor)
            channel.close()
        else:
            self.serve_channel(link)

    def serve_channel(self, link: ProcessLink) -> None:
        """Handle the messages of the other process until the channel ends."""
        channel = link.channel
        new_process_serves = False
        try:
            while True:
                message, _ = channel.receive()
                if message.pop("taking", False) and link.to_newer:
                    new_process_serves = True
                    self.yield_to(link)
                    if "number" in message:  # an older release waits for nothing
                        self.confirm_takeover(link, int(message.pop("number")))
                self.handle_message(link, message)
        except (OSError, ChannelError, ValueError, TypeError, KeyError, IndexError) as error:
            self.log_fault(error)
        finally:
            if not link.to_newer:
                self.old_process_ended.set()
                self.has_taken_over.wait()
            self.links.pop(channel, None)
            channel.close()
            if new_process_serves:
                # The new process has gone before this one was asked to end: this one accepts clients again.
                self.superseded = False
                self.stop_asking(link)
                self.clients.pause_accepting(False)
            if new_process_serves or not link.to_newer:
                self.dispatcher.scale_connection_limit(1, 1)
                self.clients.scale_limit(1, 1)
                self.dispatcher.events.event("alone")
        self.end_link(link)

    def yield_to(self, link: ProcessLink) -> None:
        """Leave new connections, and the decision which ids may be used, to a new process.

        On return it has been told of all ids that were claimed here without asking it.
        """
        self.superseded = True
        self.clients.pause_accepting(True)
        self.dispatcher.scale_connection_limit(1, 2)
        if link.peer is not None:  # an older release answers no questions
            link.id_grants = IdGrants(self.process, self.id_sharing.queue)
            self.dispatcher.ids.set_grants(link.id_grants)
            self.id_sharing.flush(FLUSH_TIMEOUT_S)
        self.dispatcher.events.event("succeeded", clients=len(self.clients.open))

    def confirm_takeover(self, link: ProcessLink, number: int) -> None:
        """Confirm a new process's message, as soon as no older process uses ids without asking this one."""
        ids = self.dispatcher.ids
        if ids.decides.is_set():
            link.channel.send({"done": number})
            return

        def confirm_later() -> None:
            ids.decides.wait()
            with suppress(OSError):  # the new process has ended
                link.channel.send({"done": number})

        start_thread(confirm_later)

    def stop_asking(self, link: ProcessLink) -> None:
        """Ask another newer process for ids, or none, as this one has gone."""
        if link.id_grants is not None:
            remaining = [each.id_grants for each in list(self.links.values()) if each.id_grants is not None]
            self.dispatcher.ids.set_grants(remaining[-1] if remaining else None)
            link.id_grants.end()

    def handle_message(self, link: ProcessLink, message: dict[str, Any]) -> None:
        """Apply what another process tells, pass it on to all others, and confirm changes."""
        if "done" in message:
            link.channel.note_confirmed(int(message["done"]))
        if "ids" in message:
            self.apply_ids(link, decode_update(message))
            self.broadcast(message, link.channel)
        if "questions" in message:
            self.answer_questions(link, decode_questions(message))
        if "granted" in message:
            self.note_answer(link, decode_answer(message))
        if "known" in message:
            self.adopt_list(str(message["host"]), message["known"])
            self.broadcast(message, link.channel)
        if "number" in message:
            number = message.pop("number")
            self.apply(message)
            if message:
                self.propagate(message, link.channel)
            link.channel.send({"done": number})

    def answer_questions(self, link: ProcessLink, questions: list[IdQuestion]) -> None:
        """Hold the ids that an older process asks for, and answer it as far as no newer one decides."""
        owner = link.process(questions[0].process)
        if owner is not None:
            answer = self.dispatcher.ids.reserve(owner, questions, self.id_sharing.queue)
            if answer.granted or answer.refused:
                link.channel.send(encode_answer(answer))

    def note_answer(self, link: ProcessLink, answer: IdAnswer) -> None:
        """Have the threads go on that wait for an answer, or pass it on to the process that asked."""
        if answer.process != self.process:
            self.send_to(
                [each for each in list(self.links.values()) if not each.to_newer], encode_answer(answer)
            )
        elif link.id_grants is not None:
            link.id_grants.note_answer(answer)

    def end_link(self, link: ProcessLink) -> None:
        """Wait for the end of the process whose channel has ended, then have its ids freed in time.

        What it has open may run on for as long as it lives, also without a channel.  Of the processes known
        through it, older ones were asked to end before it served, and newer ones outlive this one.
        """
        for process in link.others.values():
            self.dispatcher.ids.end_process(process, self.dispatcher.max_deadline + KILLED_AFTER_US)
        wait_for_end(link.process_descriptor)
        if link.peer is not None:
            self.dispatcher.ids.end_process(link.peer, 0)
        if not link.to_newer:
            self.dispatcher.ids.decides.set()

    def log_fault(self, error: Exception) -> None:
        """Log an error of a channel, unless it has only ended."""
        if not isinstance(error, (OSError, ChannelError)):
            self.dispatcher.events.event("fault", text=f"{type(error).__name__}: {error}")

    def hand_over(self, channel: Channel) -> ProcessLink:
        """Answer a new process's request; it gets the listening socket if it serves at the same address."""
        message, _ = channel.receive()
        dispatcher = self.dispatcher
        name = str(message.get("process", ""))
        link = ProcessLink(channel, RemoteProcess(name) if name else None, True)
        with channel.write_lock:
            # Changes from now on are sent after the answer, and may also be contained in it.
            self.links[channel] = link
            self.start_sharing()
            out_of_service, back_in_service = dispatcher.operator_state()
            # Looked at before the list, which may arrive meanwhile.
            waits_for_list = dispatcher.first_list.is_awaited
            answer = {
                **encode_in_use(dispatcher.ids.in_use(), self.process),
                "process": self.process,
                "version": PROTOCOL_VERSION,
                "known": self.known_list(),
                "emptied": dispatcher.out_of_service,
                "by_hand": encode_times(out_of_service),
                "returned": encode_times(back_in_service),
                "wall_offset": clock.wall.monotonic_offset(),
            }
            if waits_for_list:
                answer["list_due"] = clock.to_monotonic(dispatcher.first_list.ends_at)
            same_address = message.get("listen") == self.listen
            channel.send(answer, (self.clients.listener.fileno(),) if same_address else ())
        return link

    def apply(self, message: dict[str, Any]) -> None:
        """Apply a change that an operator has made at the other process."""
        if "server" in message:
            self.dispatcher.set_out_of_service(str(message["server"]), bool(message["out"]), True)
        if "emptied" in message:
            self.clients.set_out_of_service(bool(message["emptied"]))

    def apply_ids(self, link: ProcessLink, update: IdUpdate) -> None:
        """Apply what another process tells of its ids."""
        owner = link.process(update.process)
        self.dispatcher.ids.hold(update.claimed, owner, update.is_whole)
        if owner is not None and update.ended:
            self.dispatcher.ids.end(owner, update.ended)

    def start_sharing(self) -> None:
        """Tell the other processes of ids and lists from now on, if that was not started before."""
        self.id_sharing.start()
        if not self.shares_list:
            self.shares_list = True
            start_thread(self.share_list)

    def share_list(self) -> None:
        """Tell the other processes of each list that differs; the body of a thread.

        What one process has been told of a server that drains binds all of them.
        """
        while True:
            self.list_changed.wait()
            self.list_changed.clear()
            self.broadcast({"host": self.list_host(), "known": self.known_list()})

    def broadcast(self, message: dict[str, Any], source: Channel | None = None) -> None:
        """Send a message to all connected processes but its source."""
        self.send_to([each for each in list(self.links.values()) if each.channel is not source], message)

    def ask_newer(self, message: dict[str, Any]) -> None:
        """Send a question to the processes that are to replace this one."""
        self.send_to([each for each in list(self.links.values()) if each.to_newer], message)

    def send_to(self, links: list[ProcessLink], message: dict[str, Any]) -> None:
        """Send a message to these processes, of which some may have ended."""
        for link in links:
            with suppress(OSError):
                link.channel.send(message)

    def propagate(self, message: dict[str, Any], source: Channel | None = None) -> None:
        """Have all connected processes but its source apply an operator's change, and wait for each."""
        for channel in list(self.links):
            if channel is not source:
                channel.send_confirmed(message)
