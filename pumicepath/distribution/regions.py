"""Which regions of a relay's answer a sidecar accepts, so that it never goes back to an older list.

An answer names regions, each with the version of its origin up to which the answer is complete, and whether
the relay is in touch with that origin. For each region the highest accepted version is kept, whichever
relay sent it. `evaluate` decides which regions of an answer are accepted, `merge` returns the resulting
list, `commit` stores the versions. Times are whole microseconds of any monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from sys import intern
from typing import Any, NamedTuple

# An origin counts as restarted once a relay in touch has named an older version for this long. What a relay
# says of being in touch is at most 2.4 s old (`origins.LIVE_TIMEOUT_US`) plus one turn of its loop; if the
# call was sent later than that after a newer version was stored, the older version must be that of a
# restarted origin.
RESTART_CONFIRM_US = 3_000_000
MAX_ANSWER_GAP_US = 4_000_000  # between two answers; with a longer gap the relay has not said so all the time
MIN_ANSWERS = 3  # that say so: a single one may come from a relay that was stopped in a turn of its loop
MAX_REGIONS = 64  # bounds the memory that wrong answers can take

RegionVersions = dict[str, tuple[int, bool]]  # by region: its origin's version, whether the relay is in touch


class Evaluation(NamedTuple):
    """What is to be done with an answer."""

    accepted: dict[str, None]  # the regions whose entries are accepted
    restarted: list[str]  # regions, accepted or not, whose origin restarted its versions
    needs_whole: bool  # whether a whole list has to be requested, as this answer is not sufficient


class OlderVersion(NamedTuple):
    """Since when, until when and in how many answers a relay in touch has named an older version."""

    since: int
    last: int
    answers: int


def parse_regions(data: Any) -> RegionVersions:
    """The regions of an answer.

    Raises ValueError, KeyError, TypeError or AttributeError if the data is not that.
    """
    versions = {}
    for name, region in data.items():
        seq, live = region["seq"], region["live"]
        if type(seq) is not int or seq < 0 or type(live) is not bool:
            raise ValueError(f"region {name!r} has seq {seq!r}, live {live!r}")
        versions[intern(name)] = seq, live
    if not 0 < len(versions) <= MAX_REGIONS:
        raise ValueError(f"{len(versions)} regions, not 1 to {MAX_REGIONS}")
    return versions


class RegionTracker:
    """What one sidecar knows of each region's versions."""

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}  # the highest accepted version
        self.relay_versions: RegionVersions = {}  # in the last answer of the relay that is followed
        # Regions whose stored entries came from the relay that is followed: its changes apply to them.
        self.continuous: set[str] = set()
        self.versions_before_restart: dict[str, int] = {}  # the highest version when the origin restarted
        self.confirmed: set[str] = set()  # accepted from the relay that is followed while it was in touch
        self.older_versions: dict[str, OlderVersion] = {}

    def relay_changed(self) -> None:
        """Another relay is followed: forget what the former said of itself, keep what was accepted."""
        self.relay_versions = {}
        self.confirmed.clear()
        self.older_versions.clear()

    def disconnected_count(self) -> int:
        """How many regions the relay that is followed is out of touch with, or does not name."""
        return sum(not live for _, live in self.relay_versions.values()) + sum(
            region not in self.relay_versions for region in self.versions
        )

    def restart_check_at(self) -> int | None:
        """When the next answer can show that an origin restarted; None if there is no sign of that."""
        if not self.older_versions:
            return None
        return min(older.since for older in self.older_versions.values()) + RESTART_CONFIRM_US

    def evaluate(self, now: int, versions: RegionVersions, whole: bool, asked_at: int) -> Evaluation:
        """Decide which regions to accept of an answer that arrived now to a call sent at `asked_at`."""
        evaluation = Evaluation({}, [], False)
        for region in [region for region in self.older_versions if region not in versions]:
            del self.older_versions[region]
        for region, (seq, live) in versions.items():
            kept = self.versions.get(region, -1)
            if seq >= kept:
                self.older_versions.pop(region, None)
            elif self.has_restarted(now, region, live, asked_at):
                evaluation.restarted.append(region)
            else:
                continue
            is_new = kept < self.versions_before_restart.get(region, -1) and region not in self.confirmed
            if is_new and not live and seq >= kept:
                continue  # a relay out of touch may have only the versions from before the restart
            if whole or kept < 0 or region in self.continuous and seq >= kept:
                evaluation.accepted[region] = None
            else:
                # These are changes to another list than the stored one, older or of another process: a server
                # that joined after that list and has left since would not be among them.
                evaluation = evaluation._replace(needs_whole=True)
        return evaluation

    def has_restarted(self, now: int, region: str, live: bool, asked_at: int) -> bool:
        """Whether an older version has been named for so long that the origin must have restarted.

        A shorter time may come from a relay that is behind, or was stopped and still says that it is in
        touch.
        """
        if not live:
            self.older_versions.pop(region, None)
            return False
        older = self.older_versions.get(region)
        if older is None or now - older.last > MAX_ANSWER_GAP_US:
            older = OlderVersion(now, now, 0)
        self.older_versions[region] = older = OlderVersion(older.since, now, older.answers + 1)
        return asked_at - older.since >= RESTART_CONFIRM_US and older.answers >= MIN_ANSWERS

    def commit(self, versions: RegionVersions, evaluation: Evaluation) -> None:
        """Store the accepted versions, once the list has been read."""
        for region in evaluation.restarted:
            self.older_versions.pop(region, None)
            self.versions_before_restart[region] = max(
                self.versions[region], self.versions_before_restart.get(region, -1)
            )
            self.versions[region] = versions[region][0]
        for region in evaluation.accepted:
            seq, live = versions[region]
            self.versions[region] = seq
            if live:
                self.confirmed.add(region)
        self.continuous.clear()
        self.continuous.update(evaluation.accepted)
        self.relay_versions = versions

    def merge(
        self,
        evaluation: Evaluation,
        versions: RegionVersions,
        whole: bool,
        entries: Iterable[dict[str, Any]],
        held: Mapping[str, dict[str, Any]],
    ) -> list[dict[str, Any]]:
        """The resulting entries: the full list if `whole`, else those that have changed.

        Raises ValueError for entries that contradict the answer, KeyError for those that lack a key.
        """
        accepted: dict[str, dict[str, Any]] = {}
        for entry in entries:
            name, region = entry["host"], entry["region"]
            if region not in versions:
                raise ValueError(f"{name} is of {region!r}, a region that is not named")
            if region not in evaluation.accepted:
                continue
            other = accepted.get(name)
            if other is not None:
                # A server that moves to another region is in both for a while.
                if other["region"] == region:
                    raise ValueError(f"{name} twice")
                if entry_rank(entry) <= entry_rank(other):
                    continue
            elif entry["health"] == "left" and held.get(name, entry).get("region", region) != region:
                continue
            entry["region"] = intern(region)
            entry.pop("service", None)  # not used any more: with many servers it would take memory
            accepted[name] = entry
        if not whole:
            return list(accepted.values())
        # Regions that the whole list does not cover stay. Entries without a region are those of the start.
        unchanged = {
            name: entry
            for name, entry in held.items()
            if entry.get("region") and entry["region"] not in evaluation.accepted
        }
        return list({**unchanged, **accepted}.values())


def entry_rank(entry: dict[str, Any]) -> tuple[bool, int]:
    """Of two entries for one server the higher one is used: the one that has not left, or started later."""
    return entry["health"] != "left", int(entry.get("born_ms", 0))
