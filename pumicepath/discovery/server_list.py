"""Discovery's lines as entries of the list, and the addresses that belong to them."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from hashlib import blake2b
from itertools import count
from typing import Any, NamedTuple

from ..interface import ServerEntry, ServerState

MAX_MACHINE_KINDS = 1024  # kinds of machine that are told apart: bounds what odd lists can fill
STATES_BY_HEALTH = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}


class BadList(Exception):
    """Discovery answered with something that is no list."""


def stable_id(name: str) -> int:
    """A number above 0 that is the same at every sidecar and after every restart."""
    return int.from_bytes(blake2b(name.encode("utf-8", "replace"), digest_size=8).digest()) | 1


class Address(NamedTuple):
    host: str
    port: int


NO_ADDRESS = Address("", 0)


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise BadList(f"{text!r} is no address")
    return Address(host.strip("[]"), int(port))


class ServerListUpdate(NamedTuple):
    """What has changed, or the whole list; each entry has its address."""

    version: int
    whole: bool
    entries: list[ServerEntry]
    addresses: list[Address]


EMPTY_UPDATE = ServerListUpdate(0, False, [], [])


class ServerList:
    """What the list has said so far of the servers on it: their starts by the sidecar's own clock."""

    def __init__(
        self, zones: Sequence[str], from_unix_ms: Callable[[int], int], kinds: Sequence[str] = ()
    ) -> None:
        self.zone_counter = count()
        self.zones = {name: next(self.zone_counter) for name in zones}
        self.kinds = {name: at for at, name in enumerate(kinds)}
        self.from_unix_ms = from_unix_ms
        self.start_times: dict[str, tuple[int, int]] = {}
        self.lines: dict[str, Any] = {}  # as they came

    def apply(self, data: Any, check: Callable[[ServerListUpdate], None] | None = None) -> ServerListUpdate:
        """Raises BadList, as `believed` may, for what is no list; then nothing of it is kept."""
        try:
            lines = {str(line["host"]): line for line in data["hosts"]}
            if len(lines) < len(data["hosts"]):
                raise ValueError("a server twice")
            starts = {name: self.start_time(name, line) for name, line in lines.items()}
            entries = [self.entry(name, line, starts[name][1]) for name, line in lines.items()]
            addresses = [
                parse_address(str(line["dial"])) if entry.state != ServerState.GONE else NO_ADDRESS
                for entry, line in zip(entries, lines.values())
            ]
            update = ServerListUpdate(int(data["seq"]), bool(data["whole"]), entries, addresses)
        except (KeyError, TypeError, ValueError, ArithmeticError, AttributeError) as trouble:
            raise BadList(f"{type(trouble).__name__}: {trouble}") from trouble
        if check is not None:
            check(update)
        # Servers come and go for as long as the sidecar runs: nothing is kept of those that are gone.
        here = {name for (name, _), entry in zip(lines.items(), entries) if entry.state != ServerState.GONE}
        for name in (set(self.start_times) if update.whole else set(lines)) - here:
            self.start_times.pop(name, None)
            self.lines.pop(name, None)
        self.start_times.update((name, starts[name]) for name in lines if name in here)
        self.lines.update((name, line) for name, line in lines.items() if name in here)
        return update

    def snapshot(self, version: int) -> dict[str, Any]:
        """All that is known, in discovery's form."""
        return {"seq": version, "whole": True, "hosts": list(self.lines.values())}

    def zone_number(self, name: str) -> int:
        """Its number, which it keeps whatever a later configuration names: hops out know it by that."""
        known = self.zones.get(name)
        return self.zones.setdefault(name, next(self.zone_counter)) if known is None else known

    def kind_number(self, name: str) -> int:
        """Its number; -1 for a line that names none, and past the bound."""
        if name and name not in self.kinds and len(self.kinds) < MAX_MACHINE_KINDS:
            self.kinds[name] = len(self.kinds)
        return self.kinds.get(name, -1)

    def start_time(self, name: str, line: dict[str, Any]) -> tuple[int, int]:
        """When it was born by its own word, and by the sidecar's clock.

        Once for each start: guards against a clock that was set since, which would look like a new one.
        """
        born, kept = int(line.get("born_ms", 0)), self.start_times.get(name)
        if kept is not None and kept[0] == born:
            return kept
        return born, self.from_unix_ms(born) if born > 0 else 0

    def entry(self, name: str, line: dict[str, Any], started_at: int) -> ServerEntry:
        zone = self.zone_number(str(line.get("site", "")))
        if not math.isfinite(float(line.get("share", 1.0))):
            raise ValueError(f"share of {name} is no number")
        cell, share = int(line.get("block", 0)), float(line.get("share", 1.0))
        return ServerEntry(
            stable_id(name),
            zone,
            cell,
            STATES_BY_HEALTH[line["health"]],
            share,
            started_at,
            name,
            self.kind_number(str(line.get("class", ""))),
        )
