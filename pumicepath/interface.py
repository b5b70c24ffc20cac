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
    UNREPEATABLE = 2


class Group(IntEnum):
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


class Phase(IntEnum):
    """What the list says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Listing(IntEnum):
    """What kind of list reached the sidecar."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Entry(NamedTuple):
    """One line of the server list; `came_up` is 0 where the start lies long past.

    `name` is what people call it; where there is none, its id stands for it.  Servers of one `kind` have one
    nominal size; -1 where nothing is said of it.
    """

    server: int
    zone: int
    cell: int
    phase: Phase
    scale: float
    came_up: int
    name: str = ""
    kind: int = -1


@dataclass(frozen=True)
class Tariff:
    agreed: int
    patience: int
    gain: float
    late_gain: float
    effect: Effect
    group: Group
    window: int
    stream: bool = False
    name: str = ""
    zones: tuple[int, ...] | None = None  # the only ones whose servers may have it; None: any
    kinds: tuple[int, ...] | None = None


@dataclass(frozen=True)
class Settings:
    me: int
    fleet: int
    zone: int
    tariffs: tuple[Tariff, ...]
    crossing_price: float
    must_ask: bool
    ask_every: int
    most_hops: int
    most_retry_in: int
    cold_from: float
    cold_for: int
    fall_multiple: float
    fall_window: int
    live: bool = False  # whether a listed scale falls with what the server holds
    connection_price: float = 0.0  # for each open connection of a server, over 100
    marked: bool = False  # whether clients mark what they send again
    copies: bool = False  # whether a second copy may go out beside the first
    full_unproven: bool = False  # whether a server that says it is full may have begun the work
    drain_alone: bool = False  # whether only draining binds, and not being gone from the list
    may_tell: bool = False  # whether sidecars may send each other messages
    quotas: tuple[float, ...] = ()  # submissions a second of each tenant, at all sidecars together


class Wakeable(Protocol):
    def woke(self, now: int) -> None: ...


class Outlet(Protocol):
    """Where decisions go; a host writes its messages straight from these calls."""

    def send(self, submission: int, server: int, timeout: int) -> None:
        """Start the next hop; a time-out of 0 lasts as long as the client waits."""

    def defer(self, submission: int, retry_in: int) -> None: ...

    def forfeit(self, submission: int) -> None: ...

    def cancel(self, submission: int, hop: int) -> None: ...

    def probe(self, server: int) -> None: ...

    def tell(self, peer: int, data: bytes) -> None:
        """Send a short message to another sidecar, by its number; it may be lost."""

    def free_links(self, server: int) -> None:
        """Close the idle connections to a server."""

    def follow(self) -> None: ...

    def wake(self, at: int, whom: Wakeable) -> None: ...

    def log(self, text: str) -> None: ...


class Companions(Protocol):
    """What other sidecars have to do with breakers; asked under the host's lock, it waits for nothing."""

    def turn(self, name: str) -> bool:
        """Whether the half-open trial of the server with this name is this sidecar's to make."""

    def opened(self, name: str, cooldown: int, often: bool) -> None:
        """Its breaker is open; `often`: this sidecar would send there within a Cooldown."""

    def tried(self, name: str, failed: bool) -> None:
        """The verdict of a trial made here; when it has failed, `opened` follows."""
