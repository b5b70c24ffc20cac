"""The watch on the server list: what to request next, and what an answer means.

The watch is a long poll. A connection on which nothing arrives looks the same as one on which nothing
happens. A change that a silent connection misses counts as reported to the sidecar 2 s after the requested
wait is over, and no sooner than 6 s after the connection fell silent. So each request has a timeout
(`answer_timeout_s`), and the first request after a failure or a switch asks for an immediate answer.

With `services` the watch follows relays (`pumicepath/distribution`): it names the services whose lines it
wants, waits for less time, and takes of each region only what is not older than what it has taken before,
whichever relay reported it.
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
# With `services`: part of the 6 s within which a change that a silent relay misses has to be received.
MAX_RELAY_WAIT_MS = 3_000
MAX_RESTART_CHECK_WAIT_MS = 1_000  # the same, while an origin may have restarted with new versions
MIN_WAIT_FRACTION = 0.5  # of the wait: random, so that the waits of all sidecars don't end together
IMMEDIATE_WAIT_MS = 1
WAIT_SLACK_S = 0.4  # past a wait, of the 2 s in which the request after it has to be answered too
IMMEDIATE_TIMEOUT_S = 3.0  # of a request without a wait; leaves time for a second one within the 6 s
REQUIRED_CONFIRMATIONS = 3  # answers in a row older than the list in force, until one is accepted


class Overtaxed(BadList):
    """Discovery is overloaded and rejects the request; more requests would not help it."""


class Watch:
    """One watch on discovery or on a relay; `parser` takes the bytes of each answer.

    `random_fraction` draws from 0 to 1, so that no two sidecars wait for the same time. `services` are names,
    `("*",)` for all of them, or None where the list comes straight from discovery. `clock` returns
    microseconds.
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
        self.ask_immediately = True  # whether the next request asks for an answer without a wait
        self.older_answers = 0  # in a row
        self.wait_ms = 0  # of the pending request
        self.asked_at = 0  # when the pending request was made, by `clock`
        self.set_max_wait(wait_us)
        self.set_services(services)
        self.reset_connection()

    def set_max_wait(self, wait_us: int) -> None:
        """Set the longest wait of a request; MAX_WAIT_MS bounds it."""
        self.max_wait_ms = max(IMMEDIATE_WAIT_MS, min(MAX_WAIT_MS, wait_us // 1000))

    def set_services(self, services: Sequence[str] | None) -> None:
        """Follow other services; call `switch_to` next, since the list held may lack lines of them."""
        self.services = None if services is None else ",".join(sorted(set(services)))
        if services is None:
            self.region_versions = None
        elif self.region_versions is None:
            # Imported here and not at the first answer, when no descriptor may be left to open the module.
            from ..distribution.regions import RegionTracker
            from .relayed import merge_relay_answer

            self.region_versions, self.merge_relay_answer = RegionTracker(), merge_relay_answer

    @property
    def reported_regions(self) -> RegionVersions:
        """By region: its version in the relay's last report, and whether the relay is in touch with it."""
        return self.region_versions.relay_versions if self.region_versions is not None else {}

    def region_counts(self) -> tuple[int, int]:
        """The number of regions that the relay is in touch with, and of known regions that it is not."""
        if self.region_versions is None:
            return 0, 0
        return sum(
            live for _, live in self.region_versions.relay_versions.values()
        ), self.region_versions.disconnected_count()

    def stale_regions(self) -> dict[str, int]:
        """The known regions that the relay is not in touch with, each with the version held of it."""
        if self.region_versions is None:
            return {}
        reported, kept = self.region_versions.relay_versions, self.region_versions.versions
        return {
            region: kept.get(region, -1)
            for region in {**kept, **reported}
            if not reported.get(region, (0, False))[1]
        }

    def export_state(self) -> dict[str, Any]:
        """Everything known, for `import_state` in the new process of a hot restart."""
        known = self.server_list.snapshot(self.version)
        if self.region_versions is not None:
            known["regions"] = dict(self.region_versions.versions)
        return known

    def import_state(self, known: Any) -> None:
        """Take over the region versions of the old process; to be called before the first request.

        Without them a relay that is behind could undo what was reported to the old process last.
        """
        kept = known.get("regions")
        if self.region_versions is not None and isinstance(kept, dict):
            self.region_versions.versions.update(
                (region, seq) for region, seq in kept.items() if type(seq) is int
            )

    def adopt(self, known: Any) -> ServerListUpdate | None:
        """Take over the list of another process of this sidecar, at the same host, if it is newer.

        Returns None if it is not, or if relays are followed, whose versions are by region.  Raises BadList.
        """
        if self.region_versions is not None or not isinstance(known, dict) or "regions" in known:
            return None
        if int(known.get("seq", -1)) <= self.version:
            return None
        update = self.server_list.apply(known)
        self.version = update.version
        return update

    def reset_connection(self) -> None:
        """Start on a new connection; partial input of the old one is discarded."""
        self.parser = ResponseParser(MAX_LIST_BYTES)

    def switch_to(self, host: str) -> None:
        """Follow another host. Its versions may be unrelated, so the whole list is requested first."""
        self.host = host
        self.version = -1
        self.older_answers = 0
        if self.region_versions is not None:
            self.region_versions.relay_changed()

    def next_request(self) -> bytes:
        """The bytes of the next request, whose wait is random between half and all of the longest one."""
        target = "/discovery/hosts"
        self.wait_ms = 0
        self.asked_at = self.clock()
        if self.version >= 0:
            fraction = MIN_WAIT_FRACTION + (1.0 - MIN_WAIT_FRACTION) * self.random_fraction()
            longest = (
                self.max_wait_ms if self.services is None else min(self.max_wait_ms, self.max_relay_wait_ms())
            )
            self.wait_ms = (
                IMMEDIATE_WAIT_MS if self.ask_immediately else max(IMMEDIATE_WAIT_MS, int(longest * fraction))
            )
            target += f"?since={self.version}&timeout_ms={self.wait_ms}"
        if self.services is not None:
            target += f"{'&' if self.version >= 0 else '?'}services={self.services}"
        return writing.request("GET", target, [("Host", self.host)])

    def max_relay_wait_ms(self) -> int:
        """The longest wait at a relay.

        It is shorter while a region's version is older than the one held: either the relay is behind or the
        origin has restarted with new versions. What a restarted origin reports counts 6 s later, so longer
        waits would leave that question open for too long.
        """
        settled_at = self.region_versions.restart_check_at() if self.region_versions is not None else None
        if settled_at is None:
            return MAX_RELAY_WAIT_MS
        return min(
            MAX_RESTART_CHECK_WAIT_MS, max(IMMEDIATE_WAIT_MS, -(-(settled_at - self.asked_at) // 1000))
        )

    def answer_timeout_s(self) -> float:
        """The seconds after which the connection counts as silent if the pending request has no answer."""
        return self.wait_ms / 1000 + WAIT_SLACK_S if self.wait_ms > IMMEDIATE_WAIT_MS else IMMEDIATE_TIMEOUT_S

    def handle_response(self, response: Response) -> ServerListUpdate:
        """Apply an answer to the list and return the changes.

        Raises BadList for an answer that is malformed or must not replace the list in force, which then
        stays, and Overtaxed for a 503.
        """
        if response.status != 200:
            raise (Overtaxed if response.status == 503 else BadList)(f"answered {response.status}")
        try:
            # Not the standard library's parser: deep nesting would overflow a thread's small stack there.
            data = orjson.loads(response.body)
        except ValueError as error:
            raise BadList(str(error)) from error
        if self.region_versions is not None and isinstance(data, dict) and "regions" in data:
            return self.merge_relay_answer(self, self.region_versions, data)
        update = self.server_list.apply(data, self.check_update)
        self.version = update.version
        self.ask_immediately = False
        return update

    def check_update(self, update: ServerListUpdate) -> None:
        """Raise BadList for an update that would undo the list in force.

        An older list has servers ready that drain by now. A whole list with an older version is accepted
        after several in a row, since discovery may have lost its versions. One without any server is valid:
        what a whole list doesn't name is gone, and nothing may be sent there.  Where the whole list was
        requested, a change is no answer: the list held may be another discovery's.
        """
        if self.version < 0 and not update.whole:
            raise BadList("a change where the whole list is due")
        if update.version >= self.version:
            self.older_answers = 0
            return
        self.older_answers += 1
        if not update.whole or self.older_answers < REQUIRED_CONFIRMATIONS:
            raise BadList(f"version {update.version} after {self.version}")
        self.older_answers = 0
