"""The last steps of a start: accepting clients, in a hot restart the takeover, and the event `started`.

    start_thread(Startup(...).run)

A process that starts alone accepts clients at once, and refuses their requests until it may use a list.  One
that replaces another leaves the clients to it meanwhile.
"""

from __future__ import annotations

from time import monotonic, sleep
from typing import Any

from .clients import Clients
from .dispatch import Dispatcher
from .handover import Handover
from .hot_restart import HotRestart
from .servers import start_thread
from .watching import Watcher

# With pushed lists, for an answer of discovery before the takeover, which is due within 6 s.  The old process
# serves meanwhile.
TAKEOVER_LIST_TIMEOUT_S = 2.0
POLL_S = 0.01


class Startup:
    """Opens a process to its clients; `run` is the body of a thread."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clients: Clients,
        watcher: Watcher,
        hot_restart: HotRestart,
        handover: Handover | None,
        started_fields: dict[str, Any],
    ) -> None:
        self.dispatcher = dispatcher
        self.clients = clients
        self.watcher = watcher
        self.hot_restart = hot_restart
        self.handover = handover
        self.started_fields = started_fields
        self.began_at = monotonic()

    def run(self) -> None:
        """Accept clients, and log `started` once requests are served."""
        first_list = self.dispatcher.first_list
        if self.handover is not None:
            self.wait_to_take_over()
            if self.dispatcher.draining:
                return  # it was asked to end before it took over
            is_usable = not first_list.is_awaited
            if is_usable:
                self.log_started()
            self.hot_restart.take_over(self.handover.channel)
            self.accept_clients()
            if is_usable:
                return
        else:
            self.accept_clients()
        first_list.usable.wait()
        self.log_started()

    def wait_to_take_over(self) -> None:
        """Wait until this process can serve, is to end, or has to accept clients as the old one has ended."""
        while not self.can_take_over():
            if self.hot_restart.old_process_ended.is_set() or self.dispatcher.draining:
                return
            sleep(POLL_S)

    def can_take_over(self) -> bool:
        """Whether this process has a list that may be used and is as new as can be had."""
        if self.dispatcher.first_list.is_awaited:
            return False
        is_current = not self.watcher.pushed or self.watcher.list_received.is_set()
        return is_current or monotonic() - self.began_at >= TAKEOVER_LIST_TIMEOUT_S

    def accept_clients(self) -> None:
        """Start the threads that accept and refuse connections."""
        start_thread(self.clients.overflow.run)
        start_thread(self.clients.run)
        self.clients.is_open = True

    def log_started(self) -> None:
        """Log that requests are served, and by which list."""
        first_list = self.dispatcher.first_list
        self.dispatcher.events.event(
            "started",
            **self.started_fields,
            list=first_list.source,
            list_after_s=round(first_list.waited_us() / 1e6, 3),
        )
