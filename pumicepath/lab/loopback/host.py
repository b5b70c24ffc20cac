"""What servers, lists, sidecars and relays need of the world that they stand in; they know no more of it."""

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
        """Have it run, and ended with the world."""

    def note(self, text: str) -> None: ...

    def zone_of(self, sidecar: int) -> int: ...

    def server_address(self, server: int) -> str: ...

    def work(self, ask: int) -> int: ...

    def seed_addresses(self, sidecar: int) -> Sequence[str]:
        """The addresses that it is told as seeds."""

    def voter_addresses(self) -> Sequence[str]:
        """The addresses of those that vote."""

    def set_peer_socket(self, sidecar: int, address: tuple[str, int]) -> None:
        """A process of it has begun, whose own socket for peers is there."""

    def peer_address(self, sidecar: int) -> str:
        """The address at which other sidecars reach it."""
