"""Which parts of a relay's answer count, so that nothing older ever comes back; pure.

An answer names regions, each with the version of its origin up to which the answer is complete, and whether
the relay is in touch with that origin.  Of each region the highest version taken is kept here, whichever
relay told it.  `judge` says which regions' parts of an answer count, `merge` what the list is then, `take`
keeps it.  Times are whole microseconds of any clock that does not run backwards.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from sys import intern
from typing import Any, NamedTuple

# For which a relay in touch has to name an older version, all the time.  It says that it is in touch by word
# of its origin that is 2.4 s old at most (`origins.LIVE`) and a turn of its loop; what was asked later than
# that after a newer version was held is word of an origin that has begun anew.
RESTART_CONFIRM_US = 3_000_000
MAX_ANSWER_GAP_US = 4_000_000  # between two answers, past which the relay has not said so all the time
MIN_ANSWERS = 3  # answers that say so: one may be of a relay that was stopped amid a turn
MAX_REGIONS = 64  # bounds what odd answers can fill

RegionVersions = dict[
    str, tuple[int, bool]
]  # by region: its origin's version, whether the relay is in touch with that


class Evaluation(NamedTuple):
    """What is to be made of an answer."""

    accepted: dict[str, None]  # the regions whose part counts
    restarted: list[str]  # of these or others, those whose origin has begun anew with its versions
    needs_whole: bool  # whether a whole list is needed for what this answer can't tell


class OlderVersion(NamedTuple):
    """How long a relay in touch has named an older version."""

    since: int
    last: int
    answers: int


def parse_regions(data: Any) -> RegionVersions:
    """Raises ValueError, KeyError, TypeError or AttributeError for what names no regions."""
    told = {}
    for name, one in data.items():
        seq, live = one["seq"], one["live"]
        if type(seq) is not int or seq < 0 or type(live) is not bool:
            raise ValueError(f"region {name!r} has seq {seq!r}, live {live!r}")
        told[intern(name)] = seq, live
    if not 0 < len(told) <= MAX_REGIONS:
        raise ValueError(f"{len(told)} regions, not 1 to {MAX_REGIONS}")
    return told


class RegionTracker:
    """What is known of each region's versions, at one sidecar."""

    def __init__(self) -> None:
        self.versions: dict[str, int] = {}  # the highest version taken
        self.relay_versions: RegionVersions = {}  # by the relay followed, in its last answer
        # Of which what is held is what the relay followed has told: changes can be put to it.
        self.continuous: set[str] = set()
        self.versions_before_restart: dict[
            str, int
        ] = {}  # the highest version kept when the origin began anew
        self.confirmed: set[str] = set()  # taken from the relay followed while it was in touch
        self.older_versions: dict[str, OlderVersion] = {}

    def relay_changed(self) -> None:
        """Another relay from now on: what the one before said of itself is void, what was taken stays."""
        self.relay_versions = {}
        self.confirmed.clear()
        self.older_versions.clear()

    def disconnected_count(self) -> int:
        """How many regions the relay followed is not in touch with, or has not heard of."""
        return sum(not live for _, live in self.relay_versions.values()) + sum(
            region not in self.relay_versions for region in self.versions
        )

    def restart_check_at(self) -> int | None:
        """When the next answer can tell whether an origin has begun anew; None where none is in doubt."""
        if not self.older_versions:
            return None
        return min(known.since for known in self.older_versions.values()) + RESTART_CONFIRM_US

    def evaluate(self, now: int, told: RegionVersions, whole: bool, asked: int) -> Evaluation:
        """Which regions' parts count, in an answer that came now to what was asked then."""
        judged = Evaluation({}, [], False)
        for region in [region for region in self.older_versions if region not in told]:
            del self.older_versions[region]
        for region, (seq, live) in told.items():
            kept = self.versions.get(region, -1)
            if seq >= kept:
                self.older_versions.pop(region, None)
            elif self.has_restarted(now, region, live, asked):
                judged.restarted.append(region)
            else:
                continue
            fresh = kept < self.versions_before_restart.get(region, -1) and region not in self.confirmed
            if fresh and not live and seq >= kept:
                continue  # guards the origin's new versions against a relay that knows the old ones only
            if whole or kept < 0 or region in self.continuous and seq >= kept:
                judged.accepted[region] = None
            else:
                # Guards against changes on another list than the one held, an older one or one of another
                # life: who came after that list and has left since is not among them.
                judged = judged._replace(again=True)
        return judged

    def has_restarted(self, now: int, region: str, live: bool, asked: int) -> bool:
        """Whether an older version has been named for so long that the origin must have begun anew.

        Guards against a relay that lags, or that was stopped and still believes itself in touch.
        """
        if not live:
            self.older_versions.pop(region, None)
            return False
        known = self.older_versions.get(region)
        if known is None or now - known.last > MAX_ANSWER_GAP_US:
            known = OlderVersion(now, now, 0)
        self.older_versions[region] = known = OlderVersion(known.since, now, known.answers + 1)
        return asked - known.since >= RESTART_CONFIRM_US and known.answers >= MIN_ANSWERS

    def commit(self, told: RegionVersions, judged: Evaluation) -> None:
        """Keep what was judged, once the list has been read."""
        for region in judged.restarted:
            self.older_versions.pop(region, None)
            self.versions_before_restart[region] = max(
                self.versions[region], self.versions_before_restart.get(region, -1)
            )
            self.versions[region] = told[region][0]
        for region in judged.accepted:
            seq, live = told[region]
            self.versions[region] = seq
            if live:
                self.confirmed.add(region)
        self.continuous.clear()
        self.continuous.update(judged.accepted)
        self.relay_versions = told

    def merge(
        self,
        judged: Evaluation,
        told: RegionVersions,
        whole: bool,
        lines: Iterable[dict[str, Any]],
        held: Mapping[str, dict[str, Any]],
    ) -> list[dict[str, Any]]:
        """The lines that count: all that there are where `whole`, else those that have changed.

        Raises ValueError for lines that can't be meant, KeyError for those that lack something.
        """
        fresh: dict[str, dict[str, Any]] = {}
        for line in lines:
            name, region = line["host"], line["region"]
            if region not in told:
                raise ValueError(f"{name} is of {region!r}, a region that is not named")
            if region not in judged.accepted:
                continue
            other = fresh.get(name)
            if other is not None:
                # A server that has gone over to another region, for a while, is in both.
                if other["region"] == region:
                    raise ValueError(f"{name} twice")
                if entry_rank(line) <= entry_rank(other):
                    continue
            elif line["health"] == "left" and held.get(name, line).get("region", region) != region:
                continue
            line["region"] = intern(region)
            line.pop("service", None)  # not needed any more: guards the memory with many servers
            fresh[name] = line
        if not whole:
            return list(fresh.values())
        # What a whole list does not speak of stays.  Lines of no region are of the list of the start.
        stays = {
            name: line
            for name, line in held.items()
            if line.get("region") and line["region"] not in judged.accepted
        }
        return list({**stays, **fresh}.values())


def entry_rank(line: dict[str, Any]) -> tuple[bool, int]:
    """Of two lines for one server the one that counts has more: it serves, or has started later."""
    return line["health"] != "left", int(line.get("born_ms", 0))
