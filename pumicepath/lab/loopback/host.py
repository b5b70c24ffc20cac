"""The part of a world that its servers, discovery servers, sidecars and datagram proxies use."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Sequence
from typing import Any, Protocol

from ...interface import RequestClass
from ..model.links import Links
from ..model.network import Network
from ..model.registry import Registry
from ..model.rule_checker import RuleChecker
from ..spec import Plan
from ..verification.history import History
from .clock import EventLoopTimeline


class LoopbackHost(Protocol):
    """What the parts of a loopback world may use of it."""

    plan: Plan
    seed: int
    is_closed: bool
    rule_checker: RuleChecker
    registry: Registry
    network: Network
    loop: asyncio.AbstractEventLoop
    timeline: EventLoopTimeline
    history: History
    links: Links | None
    request_classes: tuple[RequestClass, ...]
    processes: list[asyncio.subprocess.Process]

    def start_task(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine as a task that ends with the world at the latest."""

    def note(self, text: str) -> None:
        """Adds a line to the log of the run."""

    def zone_of(self, sidecar: int) -> int:
        """Returns the zone of a sidecar."""

    def server_address(self, server: int) -> str:
        """Returns host and port of a server."""

    def work(self, ask: int) -> int:
        """Returns the core-microseconds that a submission needs."""

    def seed_addresses(self, sidecar: int) -> Sequence[str]:
        """Returns the peer addresses that a sidecar is configured with as seeds."""

    def voter_addresses(self) -> Sequence[str]:
        """Returns the peer addresses of the sidecars that vote."""

    def set_peer_socket(self, sidecar: int, address: tuple[str, int]) -> None:
        """Sets the address of the UDP socket of a sidecar's new process."""

    def peer_address(self, sidecar: int) -> str:
        """Returns the address at which other sidecars reach a sidecar."""
