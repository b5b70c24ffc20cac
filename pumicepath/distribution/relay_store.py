"""What a relay holds of all regions, by version, and the answers that continue from versions it still knows.

    held = Held(version=unix_ms * 1000, regions=("eu", "us"), most_changes=10_000)
    some = encoded("eu", lines)                     # as the origin sent them, already found to be lines
    change = held.take("eu", 41, True, some)
    held.turned("eu", True)                         # whether the relay is in touch with that origin
    body, whole = held.answer(interest, since)      # bytes of JSON, encoded once for all that ask the same

A version stands for all that was held when it was reached.  The log of changes is bounded; who has a version
older than the log, newer than the present, or of another life gets the whole list.  Each region's entries
belong to the origin that they came from; where two regions name one server the first one's line is shown, and
the other's once that is gone: guards followers, who refuse a list that has a server twice.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import orjson

from .interests import Interest

MAX_CACHE_BYTES = 2 << 20  # bytes of answers that are kept for the next that asks the same, or one answer


class EncodedServer:
    """One server's entry, encoded as followers get it; `gone` and `plain` are made when first wanted."""

    __slots__ = ("region", "service", "body", "_left_entry", "_plain_entry")

    def __init__(self, region: str, line: dict[str, Any]) -> None:
        self.region = region
        self.service = str(line.get("service", ""))
        self.body = orjson.dumps({**line, "region": region})
        self._left_entry = self._plain_entry = b""

    def left_entry(self) -> bytes:
        if not self._left_entry:
            self._left_entry = orjson.dumps({**orjson.loads(self.body), "health": "left"})
        return self._left_entry

    def plain_entry(self, gone: bool = False) -> bytes:
        """As it is without the parameter that names services."""
        if gone or not self._plain_entry:
            told = orjson.loads(self.left_entry() if gone else self.body)
            told.pop("region", None)
            told.pop("service", None)
            if gone:
                return orjson.dumps(told)
            self._plain_entry = orjson.dumps(told)
        return self._plain_entry


def encode_entries(region: str, lines: Iterable[dict[str, Any]]) -> dict[str, EncodedServer | None]:
    """Lines of an origin by server, None for one that has left; most of what it takes to read a list."""
    return {
        str(line["host"]): None if line["health"] == "left" else EncodedServer(region, line) for line in lines
    }


class RegionState:
    """`seq` is the origin's, -1 before its first whole list."""

    __slots__ = ("seq", "live", "lines")

    def __init__(self) -> None:
        self.seq = -1
        self.live = False
        self.entries: dict[str, EncodedServer] = {}


class ListChange(NamedTuple):
    """What one answer of an origin changed: the new version, how many servers, and of which services."""

    version: int
    servers: int
    services: tuple[str, ...]


class ServiceState:
    """The lines of one service, their bytes, and the changes of it that are still known, the oldest first."""

    __slots__ = ("lines", "size", "log")

    def __init__(self) -> None:
        self.entries: dict[str, EncodedServer] = {}
        self.size = 0
        self.changes: deque[tuple[int, str, EncodedServer | None]] = deque()


class RelayStore:
    def __init__(self, version: int, regions: Iterable[str], max_changes: int) -> None:
        self.version = version
        self.min_version = version  # versions below can't be continued from
        self.region_change_version = version  # of the last change of a region's being in touch
        self.max_changes = max_changes
        self.regions = {name: RegionState() for name in regions}
        self.visible: dict[str, EncodedServer] = {}
        self.services: dict[str, ServiceState] = {}
        self.change_log: deque[tuple[int, str]] = deque()  # version and service of each entry of their logs
        self.cache: dict[tuple[str, int], tuple[bytes, bool]] = {}
        self.cache_bytes = 0

    def has_data(self) -> bool:
        """Whether there is anything to answer with."""
        return any(region.seq >= 0 for region in self.regions.values())

    def live_regions(self) -> int:
        return sum(region.live for region in self.regions.values())

    def apply(
        self, name: str, seq: int, whole: bool, lines: Mapping[str, EncodedServer | None]
    ) -> ListChange:
        """What an origin has answered, `encoded`; who believes it has decided before (`origins.Origin`)."""
        region = self.regions[name]
        changed: dict[str, None] = {}
        if whole:
            changed.update((host, None) for host in region.entries if host not in lines)
            for host in changed:
                del region.entries[host]
        for host, new in lines.items():
            if new is None:
                if region.entries.pop(host, None) is not None:
                    changed[host] = None
                continue
            old = region.entries.get(host)
            if old is None or old.body != new.body:
                region.entries[host] = new
                changed[host] = None
        self.clear_cache()
        region.seq = seq
        services: dict[str, None] = {}
        servers = 0
        for host in changed:
            servers += self.update_visible(host, services)
        if servers:
            self.version += 1
            self.trim_log()
        return ListChange(self.version, servers, tuple(services))

    def update_visible(self, host: str, services: dict[str, None]) -> bool:
        """Choose the line that is shown for a server, and note the change of it, if it is one."""
        before = self.visible.get(host)
        after = None if before is None else self.regions[before.region].entries.get(host)
        if after is None:
            after = next(
                (region.entries[host] for region in self.regions.values() if host in region.entries), None
            )
        if after is before:
            return False
        for service in dict.fromkeys(line.service for line in (before, after) if line is not None):
            kept = self.services.get(service)
            if kept is None:
                kept = self.services[service] = ServiceState()
            old = kept.entries.pop(host, None)
            kept.size -= len(old.body) + 1 if old is not None else 0
            kept.changes.append((self.version + 1, host, old))
            self.change_log.append((self.version + 1, service))
            services[service] = None
        if after is None:
            del self.visible[host]
        else:
            self.visible[host] = after
            kept = self.services[after.service]
            kept.entries[host] = after
            kept.size += len(after.body) + 1
        return True

    def trim_log(self) -> None:
        """Guards the memory against histories without end: what falls out can't be continued from."""
        while len(self.change_log) > self.max_changes:
            self.min_version, service = self.change_log.popleft()
            kept = self.services[service]
            kept.changes.popleft()
            if not kept.changes and not kept.entries:
                del self.services[service]

    def set_live(self, name: str, live: bool) -> bool:
        """Whether that is a change; then it has a version of its own, so that nobody misses it."""
        region = self.regions[name]
        if region.live == live:
            return False
        region.live = live
        self.version += 1
        self.region_change_version = self.version
        self.clear_cache()
        return True

    def can_continue(self, since: int) -> bool:
        return self.min_version <= since <= self.version

    def has_changes(self, interest: Interest, since: int) -> bool:
        """Whether something of these services has changed after a version that continues."""
        if since >= self.version:
            return False
        if interest.all_services:
            return bool(self.change_log) and self.change_log[-1][0] > since
        return any(kept.changes and kept.changes[-1][0] > since for kept in self.services_of(interest))

    def services_of(self, interest: Interest) -> list[ServiceState]:
        if interest.all_services:
            return list(self.services.values())
        return [self.services[name] for name in interest.names if name in self.services]

    def whole_size(self, interest: Interest) -> int:
        """About how many bytes the whole list of these services has."""
        return sum(kept.size for kept in self.services_of(interest)) + 100

    def clear_cache(self) -> None:
        self.cache.clear()
        self.cache_bytes = 0

    def answer(self, interest: Interest, since: int) -> tuple[bytes, bool]:
        """The changes after `since`, or the whole list where that can't be continued; and which it is."""
        known = self.cache.get((interest.text, since))
        if known is not None:
            return known
        whole = not self.can_continue(since)
        if whole:
            plain = interest.plain
            lines = [
                line.plain_entry() if plain else line.body
                for kept in self.services_of(interest)
                for line in kept.entries.values()
            ]
        else:
            lines = self.changed_entries(interest, since)
        told = self.encode_answer(interest, whole, lines), whole
        if self.cache_bytes + len(told[0]) > MAX_CACHE_BYTES:
            self.clear_cache()
        self.cache_bytes += len(told[0])
        self.cache[interest.text, since] = told
        return told

    def no_change_answer(self, interest: Interest) -> bytes:
        """For one whose services have not changed: the newest version, and how far each region is."""
        return self.answer(interest, self.version)[0]

    def changed_entries(self, interest: Interest, since: int) -> list[bytes]:
        """Each server that changed once: as it is shown now, or left where it is not, for these services."""
        found: dict[str, EncodedServer | None] = {}
        if since >= self.version:
            return []
        for kept in self.services_of(interest):
            for version, host, former in reversed(kept.changes):
                if version <= since:
                    break
                if former is not None or host not in found:
                    found[host] = former
        lines = []
        for host, former in found.items():
            now = self.visible.get(host)
            if now is not None and interest.includes(now.service):
                lines.append(now.plain_entry() if interest.plain else now.body)
            elif former is not None:
                lines.append(former.plain_entry(gone=True) if interest.plain else former.left_entry())
        return lines

    def encode_answer(self, interest: Interest, whole: bool, lines: list[bytes]) -> bytes:
        regions = b""
        if not interest.plain:
            regions = b',"regions":' + orjson.dumps(
                {
                    name: {"seq": region.seq, "live": region.live}
                    for name, region in self.regions.items()
                    if region.seq >= 0
                }
            )
        return b'{"seq":%d,"whole":%b%b,"hosts":[%b]}' % (
            self.version,
            b"true" if whole else b"false",
            regions,
            b",".join(lines),
        )
