"""What a relay stores of all regions, by version, and answers that continue from a version still known.

    store = RelayStore(version=unix_ms * 1000, regions=("eu", "us"), max_changes=10_000)
    entries = encode_entries("eu", raw_entries)     # the origin's entries, already validated
    change = store.apply("eu", 41, True, entries)
    store.set_live("eu", True)                      # whether the relay is in touch with that origin
    body, whole = store.answer(interest, since)     # JSON, encoded once for all that ask for the same

A version identifies everything that was stored when it was reached. The log of changes is bounded; a
follower whose version is older than the log, ahead of the present one, or of another process gets the whole
list. Each region's entries belong to the origin that sent them. Where two regions name one server, the
first one's entry is visible, and the other's once that is gone, as followers reject a list that names a
server twice.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import orjson

from .interests import Interest

MAX_CACHE_BYTES = 2 << 20  # of cached answers; a single larger answer is cached as well


class EncodedServer:
    """One server's entry, encoded as followers get it; the other forms are encoded when first needed."""

    __slots__ = ("region", "service", "body", "_left_entry", "_plain_entry")

    def __init__(self, region: str, entry: dict[str, Any]) -> None:
        self.region = region
        self.service = str(entry.get("service", ""))
        self.body = orjson.dumps({**entry, "region": region})
        self._left_entry = self._plain_entry = b""

    def left_entry(self) -> bytes:
        """The entry with the health `left`."""
        if not self._left_entry:
            self._left_entry = orjson.dumps({**orjson.loads(self.body), "health": "left"})
        return self._left_entry

    def plain_entry(self, left: bool = False) -> bytes:
        """The entry for a call without the parameter `services`: without region and service."""
        if left or not self._plain_entry:
            entry = orjson.loads(self.left_entry() if left else self.body)
            entry.pop("region", None)
            entry.pop("service", None)
            if left:
                return orjson.dumps(entry)
            self._plain_entry = orjson.dumps(entry)
        return self._plain_entry


def encode_entries(region: str, entries: Iterable[dict[str, Any]]) -> dict[str, EncodedServer | None]:
    """Encode entries by server, None for one that left; takes most of the CPU time of reading a list."""
    return {
        str(entry["host"]): None if entry["health"] == "left" else EncodedServer(region, entry)
        for entry in entries
    }


class RegionState:
    """One region's entries, its origin's version (-1 before the first whole list), whether it is in touch."""

    __slots__ = ("seq", "live", "entries")

    def __init__(self) -> None:
        self.seq = -1
        self.live = False
        self.entries: dict[str, EncodedServer] = {}


class ListChange(NamedTuple):
    """What one answer of an origin changed: the new version, the number of servers, their services."""

    version: int
    servers: int
    services: tuple[str, ...]


class ServiceState:
    """The visible entries of one service, their size in bytes, and its known changes, the oldest first.

    A change is its version, the server, and the entry before it (None for a new server of this service).
    """

    __slots__ = ("entries", "size", "changes")

    def __init__(self) -> None:
        self.entries: dict[str, EncodedServer] = {}
        self.size = 0
        self.changes: deque[tuple[int, str, EncodedServer | None]] = deque()


class RelayStore:
    """The regions' lists, the merged visible list by service, and the log of its changes."""

    def __init__(self, version: int, regions: Iterable[str], max_changes: int) -> None:
        self.version = version
        self.min_version = version  # answers can't continue from older ones
        self.region_change_version = version  # of the last time that a region came in or out of touch
        self.max_changes = max_changes
        self.regions = {name: RegionState() for name in regions}
        self.visible: dict[str, EncodedServer] = {}
        self.services: dict[str, ServiceState] = {}
        self.change_log: deque[tuple[int, str]] = deque()  # version and service of every known change
        self.cache: dict[tuple[str, int], tuple[bytes, bool]] = {}
        self.cache_bytes = 0

    def has_data(self) -> bool:
        """Whether any region has a list."""
        return any(region.seq >= 0 for region in self.regions.values())

    def live_regions(self) -> int:
        """The number of regions that the relay is in touch with."""
        return sum(region.live for region in self.regions.values())

    def apply(
        self, name: str, seq: int, whole: bool, entries: Mapping[str, EncodedServer | None]
    ) -> ListChange:
        """Store the entries of an origin's answer, which `origins.Origin` has validated."""
        region = self.regions[name]
        changed: dict[str, None] = {}
        if whole:
            changed.update((host, None) for host in region.entries if host not in entries)
            for host in changed:
                del region.entries[host]
        for host, new in entries.items():
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
        """Choose the visible entry of a server; log a change and add its services to `services`."""
        before = self.visible.get(host)
        after = None if before is None else self.regions[before.region].entries.get(host)
        if after is None:
            after = next(
                (region.entries[host] for region in self.regions.values() if host in region.entries), None
            )
        if after is before:
            return False
        for service in dict.fromkeys(entry.service for entry in (before, after) if entry is not None):
            state = self.services.get(service)
            if state is None:
                state = self.services[service] = ServiceState()
            old = state.entries.pop(host, None)
            state.size -= len(old.body) + 1 if old is not None else 0
            state.changes.append((self.version + 1, host, old))
            self.change_log.append((self.version + 1, service))
            services[service] = None
        if after is None:
            del self.visible[host]
        else:
            self.visible[host] = after
            state = self.services[after.service]
            state.entries[host] = after
            state.size += len(after.body) + 1
        return True

    def trim_log(self) -> None:
        """Drop the oldest changes, so that memory stays bounded; answers can't continue from before them."""
        while len(self.change_log) > self.max_changes:
            self.min_version, service = self.change_log.popleft()
            state = self.services[service]
            state.changes.popleft()
            if not state.changes and not state.entries:
                del self.services[service]

    def set_live(self, name: str, live: bool) -> bool:
        """Set whether a region is in touch; a change gets a new version, so that every follower receives it.

        Returns whether it is a change.
        """
        region = self.regions[name]
        if region.live == live:
            return False
        region.live = live
        self.version += 1
        self.region_change_version = self.version
        self.clear_cache()
        return True

    def can_continue(self, since: int) -> bool:
        """Whether the changes after a version are known."""
        return self.min_version <= since <= self.version

    def has_changes(self, interest: Interest, since: int) -> bool:
        """Whether these services have changed after a version for which `can_continue` holds."""
        if since >= self.version:
            return False
        if interest.all_services:
            return bool(self.change_log) and self.change_log[-1][0] > since
        return any(state.changes and state.changes[-1][0] > since for state in self.services_of(interest))

    def services_of(self, interest: Interest) -> list[ServiceState]:
        """The stored services that an interest covers."""
        if interest.all_services:
            return list(self.services.values())
        return [self.services[name] for name in interest.names if name in self.services]

    def whole_size(self, interest: Interest) -> int:
        """Approximate bytes of the whole list of these services."""
        return sum(state.size for state in self.services_of(interest)) + 100

    def clear_cache(self) -> None:
        """Drop all cached answers."""
        self.cache.clear()
        self.cache_bytes = 0

    def answer(self, interest: Interest, since: int) -> tuple[bytes, bool]:
        """The changes after `since`, or the whole list if these are not known, and whether it is whole."""
        cached = self.cache.get((interest.text, since))
        if cached is not None:
            return cached
        whole = not self.can_continue(since)
        if whole:
            plain = interest.plain
            entries = [
                entry.plain_entry() if plain else entry.body
                for state in self.services_of(interest)
                for entry in state.entries.values()
            ]
        else:
            entries = self.changed_entries(interest, since)
        answer = self.encode_answer(interest, whole, entries), whole
        if self.cache_bytes + len(answer[0]) > MAX_CACHE_BYTES:
            self.clear_cache()
        self.cache_bytes += len(answer[0])
        self.cache[interest.text, since] = answer
        return answer

    def no_change_answer(self, interest: Interest) -> bytes:
        """The answer for a follower whose services have not changed: present versions, no entries."""
        return self.answer(interest, self.version)[0]

    def changed_entries(self, interest: Interest, since: int) -> list[bytes]:
        """Each changed server once: its visible entry, or as left if these services no longer have it."""
        found: dict[str, EncodedServer | None] = {}
        if since >= self.version:
            return []
        for state in self.services_of(interest):
            for version, host, former in reversed(state.changes):
                if version <= since:
                    break
                if former is not None or host not in found:
                    found[host] = former
        entries = []
        for host, former in found.items():
            present = self.visible.get(host)
            if present is not None and interest.includes(present.service):
                entries.append(present.plain_entry() if interest.plain else present.body)
            elif former is not None:
                entries.append(former.plain_entry(left=True) if interest.plain else former.left_entry())
        return entries

    def encode_answer(self, interest: Interest, whole: bool, entries: list[bytes]) -> bytes:
        """The JSON of an answer around its encoded entries."""
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
            b",".join(entries),
        )
