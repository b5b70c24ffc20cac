"""Discovery's lines as entries of the list, and the addresses that belong to them."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from hashlib import blake2b
from itertools import count
from typing import Any, NamedTuple

from ..interface import Entry, Phase

MOST_KINDS = 1024           # kinds of machine that are told apart: bounds what odd lists can fill
PHASES = {"active": Phase.READY, "leaving": Phase.DRAINING, "left": Phase.GONE}


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
    entries: list[Entry]
    addresses: list[Address]


NOTHING = Update(0, False, [], [])


class Roster:
    """What the list has said so far of the servers on it: their starts by the sidecar's own clock."""

    def __init__(self, zones: Sequence[str], since_unix_ms: Callable[[int], int],
                 kinds: Sequence[str] = ()) -> None:
        self.numbers = count()
        self.zones = {name: next(self.numbers) for name in zones}
        self.kinds = {name: at for at, name in enumerate(kinds)}
        self.since_unix_ms = since_unix_ms
        self.starts: dict[str, tuple[int, int]] = {}
        self.lines: dict[str, Any] = {}  # as they came

    def read(self, data: Any) -> Update:
        try:
            lines = data["hosts"]
            version, whole = int(data["seq"]), bool(data["whole"])
            entries = [self.entry(line) for line in lines]
            addresses = [address(str(line["dial"])) if entry.phase != Phase.GONE else NOWHERE
                         for entry, line in zip(entries, lines)]
        except (KeyError, TypeError, ValueError, ArithmeticError, AttributeError) as trouble:
            raise BadList(f"{type(trouble).__name__}: {trouble}") from trouble
        # Servers come and go for as long as the sidecar runs: nothing is kept of those that are gone.
        named = {str(line["host"]) for line, entry in zip(lines, entries) if entry.phase != Phase.GONE}
        left = set(self.starts) - named if whole else {str(line["host"]) for line in lines} - named
        for name in left:
            self.starts.pop(name, None)
            self.lines.pop(name, None)
        self.lines.update((str(line["host"]), line) for line in lines if str(line["host"]) in named)
        return Update(version, whole, entries, addresses)

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

    def entry(self, line: dict[str, Any]) -> Entry:
        name, born = str(line["host"]), int(line.get("born_ms", 0))
        kept = self.starts.get(name)
        if kept is None or kept[0] != born:
            # Once for each start: guards against a clock that was set since, which would look like a new one.
            kept = self.starts[name] = (born, self.since_unix_ms(born) if born > 0 else 0)
        zone = self.zone(str(line.get("site", "")))
        if not math.isfinite(float(line.get("share", 1.0))):
            raise ValueError(f"share of {name} is no number")
        cell, share = int(line.get("block", 0)), float(line.get("share", 1.0))
        return Entry(stable(name), zone, cell, PHASES[line["health"]], share, kept[1], name,
                     self.kind(str(line.get("class", ""))))
