"""What servers, lists, sidecars and relays need of the world that they stand in; they know no more of it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Sequence
from typing import Any, Protocol

from ...interface import Tariff
from ..faults.history import History
from ..model.links import Links
from ..model.network import Network
from ..model.registry import Registry
from ..model.rule_checker import RuleChecker
from ..spec import Plan
from .clock import Live


class Ground(Protocol):
    plan: Plan
    seed: int
    over: bool
    rule_checker: RuleChecker
    registry: Registry
    network: Network
    loop: asyncio.AbstractEventLoop
    timeline: Live
    history: History
    links: Links | None
    request_classes: tuple[Tariff, ...]
    processes: list[asyncio.subprocess.Process]

    def keep(self, work: Coroutine[Any, Any, Any]) -> None:
        """Have it run, and ended with the world."""

    def note(self, text: str) -> None: ...

    def hall_of(self, sidecar: int) -> int: ...

    def address_of(self, server: int) -> str: ...

    def work(self, ask: int) -> int: ...

    def peers_of(self, sidecar: int) -> Sequence[str]:
        """The addresses that it is told as seeds."""

    def voters(self) -> Sequence[str]:
        """The addresses of those that vote."""

    def speaks(self, sidecar: int, where: tuple[str, int]) -> None:
        """A process of it has begun, whose own socket for peers is there."""

    def front(self, sidecar: int) -> str:
        """The address at which other sidecars reach it."""
