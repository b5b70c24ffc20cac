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
from .server_list import BadList, ServerList, ServerListUpdate

if TYPE_CHECKING:
    from ..distribution.regions import RegionTracker, RegionVersions

MAX_LIST_BYTES = 4 * 1024 * 1024
MAX_WAIT_MS = 20_000
MAX_RELAY_WAIT_MS = 3_000  # with `services`: of the 6 s in which what a silent relay misses has to be had
MAX_RESTART_CHECK_WAIT_MS = 1_000  # the same, while it is open whether an origin has begun anew
MIN_WAIT_FRACTION = 0.5  # of the wait: guards discovery against all sidecars' waits ending together
IMMEDIATE_WAIT_MS = 1
WAIT_SLACK_S = 0.4  # past a wait, of the 2 s in which the call after it has to be answered too
IMMEDIATE_TIMEOUT_S = 3.0  # for a call that does not wait, of the 6 s: a second one has time as well
REQUIRED_CONFIRMATIONS = 3  # answers in a row that are older than the list in force, until one is believed


class Overtaxed(BadList):
    """Discovery turns the call away: more calls would not help it."""


class Watch:
    """One watch; `parser` takes the bytes of each answer, `restart` begins on a new connection.

    `share` draws from 0 to 1, so that no two sidecars wait alike.  `services` are names, `("*",)` for all;
    None where the list comes straight from discovery.  `clock` gives microseconds.
    """

    def __init__(
        self,
        server_list: ServerList,
        host: str,
        version: int,
        wait_us: int,
        random_fraction: Callable[[], float] = lambda: 1.0,
        services: Sequence[str] | None = None,
        clock: Callable[[], int] = lambda: monotonic_ns() // 1000,
    ) -> None:
        self.server_list = server_list
        self.host = host
        self.version = version
        self.random_fraction = random_fraction
        self.clock = clock
        self.services: str | None = None
        self.region_versions: RegionTracker | None = None
        self.merge_relay_answer: Callable[[Watch, RegionTracker, dict[str, Any]], ServerListUpdate]
        self.empty_lists = 0  # whole lists in a row that would leave nothing
        self.ask_immediately = True  # whether the next call is not to wait
        self.older_answers = 0
        self.wait_ms = 0  # of the call that is out
        self.asked_at = 0  # when, by `clock`
        self.set_max_wait(wait_us)
        self.set_services(services)
        self.reset_connection()

    def set_max_wait(self, wait_us: int) -> None:
        self.max_wait_ms = max(IMMEDIATE_WAIT_MS, min(MAX_WAIT_MS, wait_us // 1000))

    def set_services(self, services: Sequence[str] | None) -> None:
        """Other services; followed by `move`, as what is held may lack lines of them."""
        self.services = None if services is None else ",".join(sorted(set(services)))
        if services is None:
            self.region_versions = None
        elif self.region_versions is None:
            # Here, not at the first answer: guards that against a module that can't be opened any more.
            from ..distribution.regions import RegionTracker
            from .relayed import merge_relay_answer

            self.region_versions, self.merge_relay_answer = RegionTracker(), merge_relay_answer

    @property
    def reported_regions(self) -> RegionVersions:
        """What the relay has said last: each region's version, and whether it is in touch with its origin."""
        return self.region_versions.relay_versions if self.region_versions is not None else {}

    def region_counts(self) -> tuple[int, int]:
        """How many regions the relay is in touch with, and how many that are known of it is not."""
        if self.region_versions is None:
            return 0, 0
        return sum(
            live for _, live in self.region_versions.relay_versions.values()
        ), self.region_versions.disconnected_count()

    def stale_regions(self) -> dict[str, int]:
        """The regions known of that the relay is not in touch with, and the version held of each."""
        if self.region_versions is None:
            return {}
        told, kept = self.region_versions.relay_versions, self.region_versions.versions
        return {
            region: kept.get(region, -1) for region in {**kept, **told} if not told.get(region, (0, False))[1]
        }

    def export_state(self) -> dict[str, Any]:
        """All that is known, for `inherit` at the process that comes after this one."""
        known = self.server_list.snapshot(self.version)
        if self.region_versions is not None:
            known["regions"] = dict(self.region_versions.versions)
        return known

    def import_state(self, known: Any) -> None:
        """Before the first call: the versions that the process before this one has taken.

        Guards what it was told last against a relay that is behind.
        """
        kept = known.get("regions")
        if self.region_versions is not None and isinstance(kept, dict):
            self.region_versions.versions.update(
                (region, seq) for region, seq in kept.items() if type(seq) is int
            )

    def reset_connection(self) -> None:
        """A new connection: whatever came on the old one no longer counts."""
        self.parser = ResponseParser(MAX_LIST_BYTES)

    def switch_to(self, host: str) -> None:
        """Another discovery, whose versions need not be those of the one before: the whole list first."""
        self.host = host
        self.version = -1
        self.older_answers = 0
        if self.region_versions is not None:
            self.region_versions.relay_changed()

    def next_request(self) -> bytes:
        target = "/discovery/hosts"
        self.wait_ms = 0
        self.asked_at = self.clock()
        if self.version >= 0:
            part = MIN_WAIT_FRACTION + (1.0 - MIN_WAIT_FRACTION) * self.random_fraction()
            longest = (
                self.max_wait_ms if self.services is None else min(self.max_wait_ms, self.max_relay_wait_ms())
            )
            self.wait_ms = (
                IMMEDIATE_WAIT_MS if self.ask_immediately else max(IMMEDIATE_WAIT_MS, int(longest * part))
            )
            target += f"?since={self.version}&timeout_ms={self.wait_ms}"
        if self.services is not None:
            target += f"{'&' if self.version >= 0 else '?'}services={self.services}"
        return writing.request("GET", target, [("Host", self.host)])

    def max_relay_wait_ms(self) -> int:
        """The longest wait at a relay.

        Guards what an origin that has begun anew tells, which counts 6 s later, against waits behind which
        it stays open for long whether the relay is only behind.
        """
        settled = self.region_versions.restart_check_at() if self.region_versions is not None else None
        if settled is None:
            return MAX_RELAY_WAIT_MS
        return min(MAX_RESTART_CHECK_WAIT_MS, max(IMMEDIATE_WAIT_MS, -(-(settled - self.asked_at) // 1000)))

    def answer_timeout_s(self) -> float:
        """For how many seconds the call that is out may bring nothing."""
        return self.wait_ms / 1000 + WAIT_SLACK_S if self.wait_ms > IMMEDIATE_WAIT_MS else IMMEDIATE_TIMEOUT_S

    def handle_response(self, response: Response) -> ServerListUpdate:
        """What an answer says.  One that can't be meant raises BadList, and the list in force stays."""
        if response.status != 200:
            raise (Overtaxed if response.status == 503 else BadList)(f"answered {response.status}")
        try:
            # Not the standard library's parser: guards a thread's small stack against deep nesting.
            data = orjson.loads(response.body)
        except ValueError as trouble:
            raise BadList(str(trouble)) from trouble
        if self.region_versions is not None and isinstance(data, dict) and "regions" in data:
            return self.merge_relay_answer(self, self.region_versions, data)
        update = self.server_list.apply(data, self.check_update)
        self.version = update.version
        self.ask_immediately = False
        return update

    def check_update(self, update: ServerListUpdate) -> None:
        """Raises BadList for what would undo the list in force.

        Guards servers that drain against an older list, which has them ready, and all of them against an
        empty one.  Where discovery has lost its versions a whole list is believed in the end.
        """
        if update.whole and not update.entries:
            raise BadList("an empty list")
        if update.version >= self.version:
            self.older_answers = 0
            return
        self.older_answers += 1
        if not update.whole or self.older_answers < REQUIRED_CONFIRMATIONS:
            raise BadList(f"version {update.version} after {self.version}")
        self.older_answers = 0
