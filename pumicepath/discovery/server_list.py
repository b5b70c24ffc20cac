"""Parses the lines that discovery sends into entries of the server list and their addresses."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from hashlib import blake2b
from itertools import count
from typing import Any, NamedTuple

from ..interface import ServerEntry, ServerState

MAX_MACHINE_KINDS = 1024  # kinds that get a number: bounds the memory that malformed lists can fill
STATES_BY_HEALTH = {"active": ServerState.READY, "leaving": ServerState.DRAINING, "left": ServerState.GONE}


class BadList(Exception):  # noqa: N818 (log events contain the name)
    """Discovery's answer is not a valid server list, or must not replace the list in force."""


def stable_id(name: str) -> int:
    """A positive id of a name, the same at every sidecar and after every restart."""
    return int.from_bytes(blake2b(name.encode("utf-8", "replace"), digest_size=8).digest()) | 1


class Address(NamedTuple):
    """An IP address, without the brackets of IPv6, and a port."""

    host: str
    port: int


NO_ADDRESS = Address("", 0)


def parse_address(text: str) -> Address:
    """Parse `host:port` or `[host]:port`; raises BadList for anything else."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise BadList(f"{text!r} is no address")
    return Address(host.strip("[]"), int(port))


class ServerListUpdate(NamedTuple):
    """The changed entries, or all of them if `whole`; `addresses` has one address for each entry."""

    version: int
    whole: bool
    entries: list[ServerEntry]
    addresses: list[Address]


EMPTY_UPDATE = ServerListUpdate(0, False, [], [])


class ServerList:
    """The servers listed so far, with their start times by the sidecar's own clock.

    `zones` and `kinds` are the configured names, which get the first numbers. `from_unix_ms` converts Unix
    milliseconds to the sidecar's clock.
    """

    def __init__(
        self, zones: Sequence[str], from_unix_ms: Callable[[int], int], kinds: Sequence[str] = ()
    ) -> None:
        self.zone_counter = count()
        self.zones = {name: next(self.zone_counter) for name in zones}
        self.kinds = {name: at for at, name in enumerate(kinds)}
        self.from_unix_ms = from_unix_ms
        # By server: when it started, as reported in Unix milliseconds and by the sidecar's clock.
        self.start_times: dict[str, tuple[int, int]] = {}
        self.lines: dict[str, Any] = {}  # by server: its line as received

    def apply(self, data: Any, check: Callable[[ServerListUpdate], None] | None = None) -> ServerListUpdate:
        """Parse an answer of discovery and add it to the list.

        Raises BadList if the answer is malformed, and whatever `check` raises; the list is then unchanged.
        """
        try:
            lines = {str(line["host"]): line for line in data["hosts"]}
            if len(lines) < len(data["hosts"]):
                raise ValueError("a server twice")
            starts = {name: self.start_time(name, line) for name, line in lines.items()}
            entries = [self.make_entry(name, line, starts[name][1]) for name, line in lines.items()]
            addresses = [
                parse_address(str(line["dial"])) if entry.state != ServerState.GONE else NO_ADDRESS
                for entry, line in zip(entries, lines.values())
            ]
            update = ServerListUpdate(int(data["seq"]), bool(data["whole"]), entries, addresses)
        except (KeyError, TypeError, ValueError, ArithmeticError, AttributeError) as error:
            raise BadList(f"{type(error).__name__}: {error}") from error
        if check is not None:
            check(update)
        # Servers come and go for as long as the sidecar runs, so nothing is kept of those that have left.
        present = {
            name for (name, _), entry in zip(lines.items(), entries) if entry.state != ServerState.GONE
        }
        for name in (set(self.start_times) if update.whole else set(lines)) - present:
            self.start_times.pop(name, None)
            self.lines.pop(name, None)
        self.start_times.update((name, starts[name]) for name in lines if name in present)
        self.lines.update((name, line) for name, line in lines.items() if name in present)
        return update

    def snapshot(self, version: int) -> dict[str, Any]:
        """The whole list in discovery's format."""
        return {"seq": version, "whole": True, "hosts": list(self.lines.values())}

    def zone_number(self, name: str) -> int:
        """The number of a zone, given out at its first use.

        It stays the same whatever a later configuration names, since hops in flight refer to it.
        """
        known = self.zones.get(name)
        return self.zones.setdefault(name, next(self.zone_counter)) if known is None else known

    def kind_number(self, name: str) -> int:
        """The number of a kind of machine; -1 for an empty name and for kinds past MAX_MACHINE_KINDS."""
        if name and name not in self.kinds and len(self.kinds) < MAX_MACHINE_KINDS:
            self.kinds[name] = len(self.kinds)
        return self.kinds.get(name, -1)

    def start_time(self, name: str, line: dict[str, Any]) -> tuple[int, int]:
        """When the server started: as reported in Unix milliseconds, and by the sidecar's clock.

        Each start is converted only once: after the wall clock has been set, a second conversion would
        yield another time and make the server look restarted.
        """
        reported, kept = int(line.get("born_ms", 0)), self.start_times.get(name)
        if kept is not None and kept[0] == reported:
            return kept
        return reported, self.from_unix_ms(reported) if reported > 0 else 0

    def make_entry(self, name: str, line: dict[str, Any], started_at: int) -> ServerEntry:
        """Build the entry of one line; raises KeyError, TypeError or ValueError for a malformed line."""
        zone = self.zone_number(str(line.get("site", "")))
        if not math.isfinite(float(line.get("share", 1.0))):
            raise ValueError(f"share of {name} is no number")
        cell, scale = int(line.get("block", 0)), float(line.get("share", 1.0))
        return ServerEntry(
            stable_id(name),
            zone,
            cell,
            STATES_BY_HEALTH[line["health"]],
            scale,
            started_at,
            name,
            self.kind_number(str(line.get("class", ""))),
        )
