"""Discovery's lines as entries of the list, and the addresses that belong to them."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from hashlib import blake2b
from itertools import count
from typing import Any, NamedTuple

from ..interface import ServerEntry, ServerState

MOST_KINDS = 1024  # kinds of machine that are told apart: bounds what odd lists can fill
PHASES = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}


class BadList(Exception):
    """Discovery answered with something that is no list."""


def stable(name: str) -> int:
    """A number above 0 that is the same at every sidecar and after every restart."""
    return int.from_bytes(blake2b(name.encode("utf-8", "replace"), digest_size=8).digest()) | 1


class Address(NamedTuple):
    host: str
    port: int


NOWHERE = Address("", 0)


def address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise BadList(f"{text!r} is no address")
    return Address(host.strip("[]"), int(port))


class Update(NamedTuple):
    """What has changed, or the whole list; each entry has its address."""

    version: int
    whole: bool
    entries: list[ServerEntry]
    addresses: list[Address]


NOTHING = Update(0, False, [], [])


class Roster:
    """What the list has said so far of the servers on it: their starts by the sidecar's own clock."""

    def __init__(
        self, zones: Sequence[str], since_unix_ms: Callable[[int], int], kinds: Sequence[str] = ()
    ) -> None:
        self.numbers = count()
        self.zones = {name: next(self.numbers) for name in zones}
        self.kinds = {name: at for at, name in enumerate(kinds)}
        self.since_unix_ms = since_unix_ms
        self.starts: dict[str, tuple[int, int]] = {}
        self.lines: dict[str, Any] = {}  # as they came

    def read(self, data: Any, believed: Callable[[Update], None] | None = None) -> Update:
        """Raises BadList, as `believed` may, for what is no list; then nothing of it is kept."""
        try:
            lines = {str(line["host"]): line for line in data["hosts"]}
            if len(lines) < len(data["hosts"]):
                raise ValueError("a server twice")
            starts = {name: self.start(name, line) for name, line in lines.items()}
            entries = [self.entry(name, line, starts[name][1]) for name, line in lines.items()]
            addresses = [
                address(str(line["dial"])) if entry.state != ServerState.GONE else NOWHERE
                for entry, line in zip(entries, lines.values())
            ]
            update = Update(int(data["seq"]), bool(data["whole"]), entries, addresses)
        except (KeyError, TypeError, ValueError, ArithmeticError, AttributeError) as trouble:
            raise BadList(f"{type(trouble).__name__}: {trouble}") from trouble
        if believed is not None:
            believed(update)
        # Servers come and go for as long as the sidecar runs: nothing is kept of those that are gone.
        here = {name for (name, _), entry in zip(lines.items(), entries) if entry.state != ServerState.GONE}
        for name in (set(self.starts) if update.whole else set(lines)) - here:
            self.starts.pop(name, None)
            self.lines.pop(name, None)
        self.starts.update((name, starts[name]) for name in lines if name in here)
        self.lines.update((name, line) for name, line in lines.items() if name in here)
        return update

    def whole(self, version: int) -> dict[str, Any]:
        """All that is known, in discovery's form."""
        return {"seq": version, "whole": True, "hosts": list(self.lines.values())}

    def zone(self, name: str) -> int:
        """Its number, which it keeps whatever a later configuration names: hops out know it by that."""
        known = self.zones.get(name)
        return self.zones.setdefault(name, next(self.numbers)) if known is None else known

    def kind(self, name: str) -> int:
        """Its number; -1 for a line that names none, and past the bound."""
        if name and name not in self.kinds and len(self.kinds) < MOST_KINDS:
            self.kinds[name] = len(self.kinds)
        return self.kinds.get(name, -1)

    def start(self, name: str, line: dict[str, Any]) -> tuple[int, int]:
        """When it was born by its own word, and by the sidecar's clock.

        Once for each start: guards against a clock that was set since, which would look like a new one.
        """
        born, kept = int(line.get("born_ms", 0)), self.starts.get(name)
        if kept is not None and kept[0] == born:
            return kept
        return born, self.since_unix_ms(born) if born > 0 else 0

    def entry(self, name: str, line: dict[str, Any], came_up: int) -> ServerEntry:
        zone = self.zone(str(line.get("site", "")))
        if not math.isfinite(float(line.get("share", 1.0))):
            raise ValueError(f"share of {name} is no number")
        cell, share = int(line.get("block", 0)), float(line.get("share", 1.0))
        return ServerEntry(
            stable(name),
            zone,
            cell,
            PHASES[line["health"]],
            share,
            came_up,
            name,
            self.kind(str(line.get("class", ""))),
        )
