"""Which client connections are ended to make place for others, and in which order.

Without this, clients that connect by hundreds and send nothing, stop within a request, or send one and stay
would use up all connections.  Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .client import BUSY, CLOSING, DISCARDING, FRESH, IDLE, Client

# After how long in a state a connection may be closed.  A fresh one gets some time: its first request may be
# on its way and would be lost, while a client repeats a request that crosses the closing of a connection it
# has used before.
EVICTABLE_AFTER_US = {FRESH: 50_000, CLOSING: 100_000, DISCARDING: 100_000, IDLE: 100_000}
UNUSED_STATES = (FRESH, CLOSING, DISCARDING)  # no answer is due on these connections


class Candidate(NamedTuple):
    """A connection that may be ended; they sort in the order in which they are."""

    in_use: bool
    since: int  # when it entered its state, or when its client fell silent
    position: int  # among all of them, so that no two are equal
    state: int
    stalled: bool
    client: Client


class Candidates(NamedTuple):
    """The connections that may be ended, first those to end first, and how many others are ending already."""

    ordered: list[Candidate]
    ending: int


def find_candidates(clients: Iterable[Client], now: int) -> Candidates:
    """Find the connections that may be ended: unused ones first, then those that have waited longest."""
    found: list[Candidate] = []
    ending = 0
    for position, client in enumerate(clients):
        state, since = client.state, client.state_since
        if client.has_stalled(now):
            found.append(Candidate(True, now - client.stalled_for(now), position, state, True, client))
        elif now - since >= EVICTABLE_AFTER_US.get(state, now):
            found.append(Candidate(state not in UNUSED_STATES, since, position, state, False, client))
        elif state == CLOSING or client.evicted:
            ending += 1
    return Candidates(sorted(found, key=lambda candidate: candidate[:3]), ending)


def evict(clients: Iterable[Client], count: int, now: int) -> None:
    """End up to `count` connections, those of stalled clients only as far as others are not ending already.

    A stalled client may yet go on, so no more of them are ended than are in the way.
    """
    candidates, ending = find_candidates(clients, now)
    stalled_count = count - ending
    for candidate in candidates[:count]:
        if not candidate.stalled:
            candidate.client.expire(candidate.state)
        elif stalled_count > 0:
            stalled_count -= 1
            end_stalled(candidate, now)


def evict_stalled(clients: Iterable[Client], count: int, now: int) -> None:
    """End up to `count` connections whose clients have stalled, the longest silent first."""
    stalled = [candidate for candidate in find_candidates(clients, now).ordered if candidate.stalled]
    for candidate in stalled[:count]:
        end_stalled(candidate, now)


def end_stalled(candidate: Candidate, now: int) -> None:
    """End the connection of a client that has stopped within a request or an answer."""
    if candidate.state == BUSY:
        candidate.client.evict_stalled(now)
    else:
        candidate.client.expire(candidate.state)
