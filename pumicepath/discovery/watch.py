"""The watch on the list: what to ask next, and what an answer means.

A watch on which nothing comes looks like one on which nothing happens.  What a silent one misses counts as
told 2 s after the wait that was asked for is over, and no sooner than 6 s after it fell silent.  So each call
has its bound (`until_silent`), and the first call after any doubt does not wait: its answer comes at once.

With `services` the watch is on relays (`pumicepath/distribution`): it names what it wants lines of, waits
less long, and takes of each region only what is not older than what it has taken, whichever relay told it.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from time import monotonic_ns
from typing import TYPE_CHECKING, Any

import orjson

from ..http1 import writing
from ..http1.messages import Response
from ..http1.parsing import ResponseParser
from .roster import BadList, Roster, Update

if TYPE_CHECKING:
    from ..distribution.regions import RegionTracker, RegionVersions

MOST_LIST = 4 * 1024 * 1024
LONGEST_WAIT_MS = 20_000
RELAYED_WAIT_MS = 3_000  # with `services`: of the 6 s in which what a silent relay misses has to be had
DOUBTED_WAIT_MS = 1_000  # the same, while it is open whether an origin has begun anew
SHORTEST_PART = 0.5  # of the wait: guards discovery against all sidecars' waits ending together
AT_ONCE_MS = 1
SLACK_S = 0.4  # past a wait, of the 2 s in which the call after it has to be answered too
ANSWER_S = 3.0  # for a call that does not wait, of the 6 s: a second one has time as well
MOST_BACK = 3  # answers in a row that are older than the list in force, until one is believed


class Overtaxed(BadList):
    """Discovery turns the call away: more calls would not help it."""


class Watch:
    """One watch; `parser` takes the bytes of each answer, `restart` begins on a new connection.

    `share` draws from 0 to 1, so that no two sidecars wait alike.  `services` are names, `("*",)` for all;
    None where the list comes straight from discovery.  `clock` gives microseconds.
    """

    def __init__(
        self,
        roster: Roster,
        host: str,
        version: int,
        wait_us: int,
        share: Callable[[], float] = lambda: 1.0,
        services: Sequence[str] | None = None,
        clock: Callable[[], int] = lambda: monotonic_ns() // 1000,
    ) -> None:
        self.roster = roster
        self.host = host
        self.version = version
        self.share = share
        self.clock = clock
        self.services: str | None = None
        self.merging: RegionTracker | None = None
        self.merged: Callable[[Watch, RegionTracker, dict[str, Any]], Update]
        self.empty = 0  # whole lists in a row that would leave nothing
        self.doubted = True  # whether the next call is not to wait
        self.back = 0
        self.wait_ms = 0  # of the call that is out
        self.asked = 0  # when, by `clock`
        self.waits(wait_us)
        self.wants(services)
        self.restart()

    def waits(self, wait_us: int) -> None:
        self.longest_ms = max(AT_ONCE_MS, min(LONGEST_WAIT_MS, wait_us // 1000))

    def wants(self, services: Sequence[str] | None) -> None:
        """Other services; followed by `move`, as what is held may lack lines of them."""
        self.services = None if services is None else ",".join(sorted(set(services)))
        if services is None:
            self.merging = None
        elif self.merging is None:
            # Here, not at the first answer: guards that against a module that can't be opened any more.
            from ..distribution.regions import RegionTracker
            from .relayed import merged

            self.merging, self.merged = RegionTracker(), merged

    @property
    def regions(self) -> RegionVersions:
        """What the relay has said last: each region's version, and whether it is in touch with its origin."""
        return self.merging.relay_versions if self.merging is not None else {}

    def standing(self) -> tuple[int, int]:
        """How many regions the relay is in touch with, and how many that are known of it is not."""
        if self.merging is None:
            return 0, 0
        return sum(
            live for _, live in self.merging.relay_versions.values()
        ), self.merging.disconnected_count()

    def stale(self) -> dict[str, int]:
        """The regions known of that the relay is not in touch with, and the version held of each."""
        if self.merging is None:
            return {}
        told, kept = self.merging.relay_versions, self.merging.versions
        return {
            region: kept.get(region, -1) for region in {**kept, **told} if not told.get(region, (0, False))[1]
        }

    def known(self) -> dict[str, Any]:
        """All that is known, for `inherit` at the process that comes after this one."""
        known = self.roster.whole(self.version)
        if self.merging is not None:
            known["regions"] = dict(self.merging.versions)
        return known

    def inherit(self, known: Any) -> None:
        """Before the first call: the versions that the process before this one has taken.

        Guards what it was told last against a relay that is behind.
        """
        kept = known.get("regions")
        if self.merging is not None and isinstance(kept, dict):
            self.merging.versions.update((region, seq) for region, seq in kept.items() if type(seq) is int)

    def restart(self) -> None:
        """A new connection: whatever came on the old one no longer counts."""
        self.parser = ResponseParser(MOST_LIST)

    def move(self, host: str) -> None:
        """Another discovery, whose versions need not be those of the one before: the whole list first."""
        self.host = host
        self.version = -1
        self.back = 0
        if self.merging is not None:
            self.merging.relay_changed()

    def request(self) -> bytes:
        target = "/discovery/hosts"
        self.wait_ms = 0
        self.asked = self.clock()
        if self.version >= 0:
            part = SHORTEST_PART + (1.0 - SHORTEST_PART) * self.share()
            longest = self.longest_ms if self.services is None else min(self.longest_ms, self.relayed_ms())
            self.wait_ms = AT_ONCE_MS if self.doubted else max(AT_ONCE_MS, int(longest * part))
            target += f"?since={self.version}&timeout_ms={self.wait_ms}"
        if self.services is not None:
            target += f"{'&' if self.version >= 0 else '?'}services={self.services}"
        return writing.request("GET", target, [("Host", self.host)])

    def relayed_ms(self) -> int:
        """The longest wait at a relay.

        Guards what an origin that has begun anew tells, which counts 6 s later, against waits behind which
        it stays open for long whether the relay is only behind.
        """
        settled = self.merging.restart_check_at() if self.merging is not None else None
        if settled is None:
            return RELAYED_WAIT_MS
        return min(DOUBTED_WAIT_MS, max(AT_ONCE_MS, -(-(settled - self.asked) // 1000)))

    def until_silent(self) -> float:
        """For how many seconds the call that is out may bring nothing."""
        return self.wait_ms / 1000 + SLACK_S if self.wait_ms > AT_ONCE_MS else ANSWER_S

    def update(self, response: Response) -> Update:
        """What an answer says.  One that can't be meant raises BadList, and the list in force stays."""
        if response.status != 200:
            raise (Overtaxed if response.status == 503 else BadList)(f"answered {response.status}")
        try:
            # Not the standard library's parser: guards a thread's small stack against deep nesting.
            data = orjson.loads(response.body)
        except ValueError as trouble:
            raise BadList(str(trouble)) from trouble
        if self.merging is not None and isinstance(data, dict) and "regions" in data:
            return self.merged(self, self.merging, data)
        update = self.roster.read(data, self.believed)
        self.version = update.version
        self.doubted = False
        return update

    def believed(self, update: Update) -> None:
        """Raises BadList for what would undo the list in force.

        Guards servers that drain against an older list, which has them ready, and all of them against an
        empty one.  Where discovery has lost its versions a whole list is believed in the end.
        """
        if update.whole and not update.entries:
            raise BadList("an empty list")
        if update.version >= self.version:
            self.back = 0
            return
        self.back += 1
        if not update.whole or self.back < MOST_BACK:
            raise BadList(f"version {update.version} after {self.version}")
        self.back = 0
