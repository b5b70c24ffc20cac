"""The types that stand between a host (wire, later sockets) and the decisions in `logic`.

Times are whole microseconds of one monotonic clock; ids are whatever the host uses.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple, Protocol


class Effect(IntEnum):
    """What a repeat of a submission would do."""

    IDEMPOTENT = 0
    DEDUPLICATED = 1
    NON_IDEMPOTENT = 2


class DedupGroup(IntEnum):
    """The servers that drop each other's repeats of a deduplicated submission."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Outcome(IntEnum):
    """How a hop or a probe ended."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


class ServerState(IntEnum):
    """What the list says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What kind of list reached the sidecar."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class ServerEntry(NamedTuple):
    """One line of the server list; `came_up` is 0 where the start lies long past.

    `name` is what people call it; where there is none, its id stands for it.  Servers of one `kind` have one
    nominal size; -1 where nothing is said of it.
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
    latency_target: int
    deadline: int
    value: float
    late_value: float
    effect: Effect
    dedup_group: DedupGroup
    dedup_window: int
    stream: bool = False
    name: str = ""
    zones: tuple[int, ...] | None = None  # the only ones whose servers may have it; None: any
    kinds: tuple[int, ...] | None = None


@dataclass(frozen=True)
class Settings:
    sidecar_index: int
    fleet_size: int
    zone: int
    request_classes: tuple[RequestClass, ...]
    cross_zone_cost: float
    polls_list: bool
    poll_interval: int
    max_hops: int
    max_retry_after: int
    cold_fraction: float
    cold_duration: int
    overload_multiple: float
    overload_window: int
    live_weights: bool = False  # whether a listed scale falls with what the server holds
    connection_cost: float = 0.0  # for each open connection of a server, over 100
    clients_mark_retries: bool = False  # whether clients mark what they send again
    hedging_allowed: bool = False  # whether a second copy may go out beside the first
    full_may_have_run: bool = False  # whether a server that says it is full may have begun the work
    only_draining_removes: bool = False  # whether only draining binds, and not being gone from the list
    peer_messages_allowed: bool = False  # whether sidecars may send each other messages
    tenant_quotas: tuple[float, ...] = ()  # submissions a second of each tenant, at all sidecars together


class TimerHandler(Protocol):
    def on_timer(self, now: int) -> None: ...


class Callbacks(Protocol):
    """Where decisions go; a host writes its messages straight from these calls."""

    def send(self, submission: int, server: int, timeout: int) -> None:
        """Start the next hop; a time-out of 0 lasts as long as the client waits."""

    def reject(self, submission: int, retry_after: int) -> None: ...

    def fail(self, submission: int) -> None: ...

    def cancel(self, submission: int, hop: int) -> None: ...

    def probe(self, server: int) -> None: ...

    def send_to_peer(self, peer: int, data: bytes) -> None:
        """Send a short message to another sidecar, by its number; it may be lost."""

    def close_idle_connections(self, server: int) -> None:
        """Close the idle connections to a server."""

    def request_server_list(self) -> None: ...

    def set_timer(self, at: int, handler: TimerHandler) -> None: ...

    def log(self, text: str) -> None: ...


class PeerTrials(Protocol):
    """What other sidecars have to do with breakers; asked under the host's lock, it waits for nothing."""

    def may_try(self, name: str) -> bool:
        """Whether the half-open trial of the server with this name is this sidecar's to make."""

    def breaker_opened(self, name: str, cooldown: int, sends_often: bool) -> None:
        """Its breaker is open; `often`: this sidecar would send there within a Cooldown."""

    def trial_finished(self, name: str, failed: bool) -> None:
        """The verdict of a trial made here; when it has failed, `opened` follows."""
