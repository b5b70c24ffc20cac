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
BELIEVED_US = 3_000_000
GAP_US = 4_000_000  # between two answers, past which the relay has not said so all the time
FEWEST = 3  # answers that say so: one may be of a relay that was stopped amid a turn
MOST_REGIONS = 64  # bounds what odd answers can fill

Told = dict[str, tuple[int, bool]]  # by region: its origin's version, whether the relay is in touch with that


class Judged(NamedTuple):
    """What is to be made of an answer."""

    taken: dict[str, None]  # the regions whose part counts
    restarted: list[str]  # of these or others, those whose origin has begun anew with its versions
    again: bool  # whether a whole list is needed for what this answer can't tell


class Older(NamedTuple):
    """How long a relay in touch has named an older version."""

    since: int
    last: int
    answers: int


def understood(data: Any) -> Told:
    """Raises ValueError, KeyError, TypeError or AttributeError for what names no regions."""
    told = {}
    for name, one in data.items():
        seq, live = one["seq"], one["live"]
        if type(seq) is not int or seq < 0 or type(live) is not bool:
            raise ValueError(f"region {name!r} has seq {seq!r}, live {live!r}")
        told[intern(name)] = seq, live
    if not 0 < len(told) <= MOST_REGIONS:
        raise ValueError(f"{len(told)} regions, not 1 to {MOST_REGIONS}")
    return told


class Regions:
    """What is known of each region's versions, at one sidecar."""

    def __init__(self) -> None:
        self.kept: dict[str, int] = {}  # the highest version taken
        self.told: Told = {}  # by the relay followed, in its last answer
        # Of which what is held is what the relay followed has told: changes can be put to it.
        self.joined: set[str] = set()
        self.former: dict[str, int] = {}  # the highest version kept when the origin began anew
        self.vouched: set[str] = set()  # taken from the relay followed while it was in touch
        self.older: dict[str, Older] = {}

    def moved(self) -> None:
        """Another relay from now on: what the one before said of itself is void, what was taken stays."""
        self.told = {}
        self.vouched.clear()
        self.older.clear()

    def out(self) -> int:
        """How many regions the relay followed is not in touch with, or has not heard of."""
        return sum(not live for _, live in self.told.values()) + sum(
            region not in self.told for region in self.kept
        )

    def in_doubt(self) -> int | None:
        """When the next answer can tell whether an origin has begun anew; None where none is in doubt."""
        if not self.older:
            return None
        return min(known.since for known in self.older.values()) + BELIEVED_US

    def judge(self, now: int, told: Told, whole: bool, asked: int) -> Judged:
        """Which regions' parts count, in an answer that came now to what was asked then."""
        judged = Judged({}, [], False)
        for region in [region for region in self.older if region not in told]:
            del self.older[region]
        for region, (seq, live) in told.items():
            kept = self.kept.get(region, -1)
            if seq >= kept:
                self.older.pop(region, None)
            elif self.outlasted(now, region, live, asked):
                judged.restarted.append(region)
            else:
                continue
            fresh = kept < self.former.get(region, -1) and region not in self.vouched
            if fresh and not live and seq >= kept:
                continue  # guards the origin's new versions against a relay that knows the old ones only
            if whole or kept < 0 or region in self.joined and seq >= kept:
                judged.taken[region] = None
            else:
                # Guards against changes on another list than the one held, an older one or one of another
                # life: who came after that list and has left since is not among them.
                judged = judged._replace(again=True)
        return judged

    def outlasted(self, now: int, region: str, live: bool, asked: int) -> bool:
        """Whether an older version has been named for so long that the origin must have begun anew.

        Guards against a relay that lags, or that was stopped and still believes itself in touch.
        """
        if not live:
            self.older.pop(region, None)
            return False
        known = self.older.get(region)
        if known is None or now - known.last > GAP_US:
            known = Older(now, now, 0)
        self.older[region] = known = Older(known.since, now, known.answers + 1)
        return asked - known.since >= BELIEVED_US and known.answers >= FEWEST

    def take(self, told: Told, judged: Judged) -> None:
        """Keep what was judged, once the list has been read."""
        for region in judged.restarted:
            self.older.pop(region, None)
            self.former[region] = max(self.kept[region], self.former.get(region, -1))
            self.kept[region] = told[region][0]
        for region in judged.taken:
            seq, live = told[region]
            self.kept[region] = seq
            if live:
                self.vouched.add(region)
        self.joined.clear()
        self.joined.update(judged.taken)
        self.told = told

    def merge(
        self,
        judged: Judged,
        told: Told,
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
            if region not in judged.taken:
                continue
            other = fresh.get(name)
            if other is not None:
                # A server that has gone over to another region, for a while, is in both.
                if other["region"] == region:
                    raise ValueError(f"{name} twice")
                if rank(line) <= rank(other):
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
            if line.get("region") and line["region"] not in judged.taken
        }
        return list({**stays, **fresh}.values())


def rank(line: dict[str, Any]) -> tuple[bool, int]:
    """Of two lines for one server the one that counts has more: it serves, or has started later."""
    return line["health"] != "left", int(line.get("born_ms", 0))
