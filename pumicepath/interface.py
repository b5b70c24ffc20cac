"""The types that stand between a host and the decisions in `balancer`.

Times and durations are whole microseconds, times by one monotonic clock; ids are whatever the host uses.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Protocol


class Effect(IntEnum):
    """What happens if a submission runs more than once."""

    IDEMPOTENT = 0  # the same as if it ran once
    DEDUPLICATED = 1  # servers of one group drop the second run, within a window
    NON_IDEMPOTENT = 2  # harm: it must not run twice


class DedupGroup(IntEnum):
    """The servers that drop each other's duplicates of a deduplicated submission."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How a hop or a probe ended; the lower-case names are written to logs."""

    OK = 0
    ERROR = 1
    FULL = 2  # the server refused it for lack of capacity
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7  # nothing was sent


class ServerState(IntEnum):
    """What the server list says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What kind of server list reached the sidecar; FAILED: a request for it failed."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class ServerEntry(NamedTuple):
    """One line of the server list; `started_at` is 0 if the server started long ago.

    `name` is for people; a server without one goes by its id.  Servers of one `kind` have the same nominal
    size; -1 if it is unknown.
    """

    server: int
    zone: int
    cell: int
    state: ServerState
    weight: float
    started_at: int
    name: str = ""
    kind: int = -1


@dataclass(frozen=True)
class RequestClass:
    """A class of requests: what a submission of it is worth, until when, and how it may be retried.

    An answer has its full `value` within `latency_target`, and `late_value` from then until `deadline`.
    """

    latency_target: int
    deadline: int  # from the submission on
    value: float
    late_value: float
    effect: Effect
    dedup_group: DedupGroup
    dedup_window: int
    stream: bool = False  # whether a response may go on without a time limit
    name: str = ""
    zones: tuple[int, ...] | None = None  # the only zones whose servers may get it; None: any
    kinds: tuple[int, ...] | None = None  # the only kinds of servers that may get it; None: any


# Without a byte more for so long, a response that has begun has stopped.
RESPONSE_STALL_US = 1_000_000


@dataclass(frozen=True)
class Settings:
    """The settings of one sidecar that its decisions depend on."""

    sidecar_index: int  # its number within the fleet, from 0
    fleet_size: int  # number of sidecars
    zone: int
    request_classes: tuple[RequestClass, ...]
    cross_zone_cost: float  # of a hop to another zone
    polls_list: bool  # whether the server list has to be requested; otherwise it is pushed
    poll_interval: int
    max_hops: int  # of one submission
    max_retry_after: int
    cold_fraction: float  # fraction of its capacity that a server has when it starts
    cold_duration: int  # from its start until a server has its full capacity
    overload_multiple: float  # multiple of a cold server's capacity that overloads it, if sent to it
    overload_window: int  # within this window
    live_weights: bool = False  # whether a listed weight falls with the load of the server
    connection_cost: float = 0.0  # for each open connection of a server, over 100
    clients_mark_retries: bool = False
    hedging_allowed: bool = False  # whether a second hop may be sent beside the first
    full_may_have_run: bool = False  # whether a server that answers "full" may have begun the work
    only_draining_removes: bool = False  # whether a server that the list no longer has may still be used
    peer_messages_allowed: bool = False  # whether sidecars may send each other messages
    tenant_quotas: tuple[float, ...] = ()  # submissions a second of each tenant, through all sidecars


class TimerHandler(Protocol):
    """Something that a timer can be set for."""

    def on_timer(self, now: int) -> None:
        """Handle the expiry of a timer."""


class Callbacks(Protocol):
    """What a host does for the decisions; it turns these calls directly into its messages."""

    def send(self, submission: int, server: int, timeout: int) -> None:
        """Send the next hop; with a timeout of 0 it lasts as long as the client waits."""

    def reject(self, submission: int, retry_after: int) -> None:
        """Give the final answer: the client can safely try again after `retry_after`."""

    def fail(self, submission: int) -> None:
        """Give the final answer: the submission may have run, and trying again may do harm."""

    def cancel(self, submission: int, hop: int) -> None:
        """Cancel a hop; its outcome is still reported."""

    def probe(self, server: int) -> None:
        """Send a health probe to a server."""

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Send a short message to another sidecar, by its number; it may be lost."""

    def close_idle_connections(self, server: int) -> None:
        """Close the idle connections to a server."""

    def request_server_list(self) -> None:
        """Request the server list and, from then on, the changes to it."""

    def set_timer(self, at: int, handler: TimerHandler) -> None:
        """Call `handler.on_timer` at the given time, or soon after."""

    def log(self, text: str) -> None:
        """Write a line to the log."""


class PeerTrials(Protocol):
    """Agreement with other sidecars on trials of open breakers.

    It is called under the host's lock, so an implementation must not block.
    """

    def may_try(self, name: str) -> bool:
        """Whether this sidecar is the one to make the half-open trial of the server with this name."""

    def breaker_opened(self, name: str, cooldown: int, sends_often: bool) -> None:
        """Report an opened breaker; `sends_often`: this sidecar sends there within a cooldown."""

    def trial_finished(self, name: str, failed: bool) -> None:
        """Report the result of a trial made here; if it failed, `breaker_opened` follows."""
