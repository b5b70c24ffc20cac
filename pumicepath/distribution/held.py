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

MOST_CACHED = 2 << 20  # bytes of answers that are kept for the next that asks the same, or one answer


class Line:
    """One server's entry, encoded as followers get it; `gone` and `plain` are made when first wanted."""

    __slots__ = ("region", "service", "text", "_gone", "_plain")

    def __init__(self, region: str, line: dict[str, Any]) -> None:
        self.region = region
        self.service = str(line.get("service", ""))
        self.text = orjson.dumps({**line, "region": region})
        self._gone = self._plain = b""

    def gone(self) -> bytes:
        if not self._gone:
            self._gone = orjson.dumps({**orjson.loads(self.text), "health": "left"})
        return self._gone

    def plain(self, gone: bool = False) -> bytes:
        """As it is without the parameter that names services."""
        if gone or not self._plain:
            told = orjson.loads(self.gone() if gone else self.text)
            told.pop("region", None)
            told.pop("service", None)
            if gone:
                return orjson.dumps(told)
            self._plain = orjson.dumps(told)
        return self._plain


def encoded(region: str, lines: Iterable[dict[str, Any]]) -> dict[str, Line | None]:
    """Lines of an origin by server, None for one that has left; most of what it takes to read a list."""
    return {str(line["host"]): None if line["health"] == "left" else Line(region, line) for line in lines}


class Region:
    """`seq` is the origin's, -1 before its first whole list."""

    __slots__ = ("seq", "live", "lines")

    def __init__(self) -> None:
        self.seq = -1
        self.live = False
        self.lines: dict[str, Line] = {}


class Change(NamedTuple):
    """What one answer of an origin changed: the new version, how many servers, and of which services."""

    version: int
    servers: int
    services: tuple[str, ...]


class Service:
    """The lines of one service, their bytes, and the changes of it that are still known, the oldest first."""

    __slots__ = ("lines", "size", "log")

    def __init__(self) -> None:
        self.lines: dict[str, Line] = {}
        self.size = 0
        self.log: deque[tuple[int, str, Line | None]] = deque()


class Held:
    def __init__(self, version: int, regions: Iterable[str], most_changes: int) -> None:
        self.version = version
        self.floor = version  # versions below can't be continued from
        self.turn = version  # of the last change of a region's being in touch
        self.most_changes = most_changes
        self.regions = {name: Region() for name in regions}
        self.shown: dict[str, Line] = {}
        self.services: dict[str, Service] = {}
        self.log: deque[tuple[int, str]] = deque()  # version and service of each entry of their logs
        self.cache: dict[tuple[str, int], tuple[bytes, bool]] = {}
        self.cached = 0

    def known(self) -> bool:
        """Whether there is anything to answer with."""
        return any(region.seq >= 0 for region in self.regions.values())

    def live(self) -> int:
        return sum(region.live for region in self.regions.values())

    def take(self, name: str, seq: int, whole: bool, lines: Mapping[str, Line | None]) -> Change:
        """What an origin has answered, `encoded`; who believes it has decided before (`origins.Origin`)."""
        region = self.regions[name]
        changed: dict[str, None] = {}
        if whole:
            changed.update((host, None) for host in region.lines if host not in lines)
            for host in changed:
                del region.lines[host]
        for host, new in lines.items():
            if new is None:
                if region.lines.pop(host, None) is not None:
                    changed[host] = None
                continue
            old = region.lines.get(host)
            if old is None or old.text != new.text:
                region.lines[host] = new
                changed[host] = None
        self.cache_nothing()
        region.seq = seq
        services: dict[str, None] = {}
        servers = 0
        for host in changed:
            servers += self.show(host, services)
        if servers:
            self.version += 1
            self.trim()
        return Change(self.version, servers, tuple(services))

    def show(self, host: str, services: dict[str, None]) -> bool:
        """Choose the line that is shown for a server, and note the change of it, if it is one."""
        before = self.shown.get(host)
        after = None if before is None else self.regions[before.region].lines.get(host)
        if after is None:
            after = next(
                (region.lines[host] for region in self.regions.values() if host in region.lines), None
            )
        if after is before:
            return False
        for service in dict.fromkeys(line.service for line in (before, after) if line is not None):
            kept = self.services.get(service)
            if kept is None:
                kept = self.services[service] = Service()
            old = kept.lines.pop(host, None)
            kept.size -= len(old.text) + 1 if old is not None else 0
            kept.log.append((self.version + 1, host, old))
            self.log.append((self.version + 1, service))
            services[service] = None
        if after is None:
            del self.shown[host]
        else:
            self.shown[host] = after
            kept = self.services[after.service]
            kept.lines[host] = after
            kept.size += len(after.text) + 1
        return True

    def trim(self) -> None:
        """Guards the memory against histories without end: what falls out can't be continued from."""
        while len(self.log) > self.most_changes:
            self.floor, service = self.log.popleft()
            kept = self.services[service]
            kept.log.popleft()
            if not kept.log and not kept.lines:
                del self.services[service]

    def turned(self, name: str, live: bool) -> bool:
        """Whether that is a change; then it has a version of its own, so that nobody misses it."""
        region = self.regions[name]
        if region.live == live:
            return False
        region.live = live
        self.version += 1
        self.turn = self.version
        self.cache_nothing()
        return True

    def continues(self, since: int) -> bool:
        return self.floor <= since <= self.version

    def concerned(self, interest: Interest, since: int) -> bool:
        """Whether something of these services has changed after a version that continues."""
        if since >= self.version:
            return False
        if interest.every:
            return bool(self.log) and self.log[-1][0] > since
        return any(kept.log and kept.log[-1][0] > since for kept in self.of(interest))

    def of(self, interest: Interest) -> list[Service]:
        if interest.every:
            return list(self.services.values())
        return [self.services[name] for name in interest.names if name in self.services]

    def size(self, interest: Interest) -> int:
        """About how many bytes the whole list of these services has."""
        return sum(kept.size for kept in self.of(interest)) + 100

    def cache_nothing(self) -> None:
        self.cache.clear()
        self.cached = 0

    def answer(self, interest: Interest, since: int) -> tuple[bytes, bool]:
        """The changes after `since`, or the whole list where that can't be continued; and which it is."""
        known = self.cache.get((interest.text, since))
        if known is not None:
            return known
        whole = not self.continues(since)
        if whole:
            plain = interest.plain
            lines = [
                line.plain() if plain else line.text
                for kept in self.of(interest)
                for line in kept.lines.values()
            ]
        else:
            lines = self.changes(interest, since)
        told = self.written(interest, whole, lines), whole
        if self.cached + len(told[0]) > MOST_CACHED:
            self.cache_nothing()
        self.cached += len(told[0])
        self.cache[interest.text, since] = told
        return told

    def nothing(self, interest: Interest) -> bytes:
        """For one whose services have not changed: the newest version, and how far each region is."""
        return self.answer(interest, self.version)[0]

    def changes(self, interest: Interest, since: int) -> list[bytes]:
        """Each server that changed once: as it is shown now, or left where it is not, for these services."""
        found: dict[str, Line | None] = {}
        if since >= self.version:
            return []
        for kept in self.of(interest):
            for version, host, former in reversed(kept.log):
                if version <= since:
                    break
                if former is not None or host not in found:
                    found[host] = former
        lines = []
        for host, former in found.items():
            now = self.shown.get(host)
            if now is not None and interest.wants(now.service):
                lines.append(now.plain() if interest.plain else now.text)
            elif former is not None:
                lines.append(former.plain(gone=True) if interest.plain else former.gone())
        return lines

    def written(self, interest: Interest, whole: bool, lines: list[bytes]) -> bytes:
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
