"""Textbook balancers, which give the decisions' figures a floor, and an oracle, which gives them a top.

They repeat what certainly never ran, and idempotent submissions, as any careful client does; none has
breakers, limits or a budget for cold servers.  Least in flight is known as `least_conn`; two choices is
Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ...interface import Effect, Entry, Listing, Outcome, Outlet, Phase, Settings
from ..model.timeline import random_source

NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED)


class TextbookBalancer:
    """What all of them share: the list, hops out by server, and repeats.  Needs O(servers) a choice."""

    submission_type: type[TextbookSubmission]  # of its submissions

    def __init__(self, settings: Settings, seed: int, callbacks: Outlet) -> None:
        self.settings = settings
        self.callbacks = callbacks
        self.rng = random_source(seed, "baseline")
        self.states: dict[int, Phase] = {}
        self.ready: list[int] = []
        self.in_flight: dict[int, int] = {}
        self.next_index = self.rng.randrange(1 << 16)

    def listed(self, now: int, kind: Listing, entries: Sequence[Entry]) -> None:
        if kind == Listing.FAILED:
            self.callbacks.wake(now + 1_000_000, self)
            return
        if kind == Listing.CACHED and self.settings.must_ask:
            self.callbacks.follow()
        if kind != Listing.CHANGES:
            self.states.clear()
        for entry in entries:
            self.states[entry.server] = entry.phase
        self.ready = [server for server, phase in self.states.items() if phase == Phase.READY]
        self.in_flight = {
            server: out for server, out in self.in_flight.items() if server in self.states or out
        }

    def woke(self, now: int) -> None:
        self.callbacks.follow()

    def take(self, now: int, name: int, tariff: int, key: int, retry: bool, until: int) -> TextbookSubmission:
        one = self.submission_type(self, name, tariff, key, until)
        one.send_next(now)
        return one

    def choose(self, submission: TextbookSubmission, candidates: list[int]) -> int:
        """A server, or -1 to turn the submission away."""
        raise NotImplementedError


class TextbookSubmission:
    def __init__(
        self, balancer: TextbookBalancer, name: int, class_index: int, key: int, deadline_at: int
    ) -> None:
        self.balancer = balancer
        self.name = name
        self.class_index = class_index
        self.key = key
        self.deadline_at = deadline_at
        self.tried_servers: list[int] = []
        self.waiting = self.finished = False

    def over(self) -> bool:
        return self.finished and not self.waiting

    def started(self, now: int, number: int) -> None:
        """None of them goes by how an answer comes."""

    def left(self, now: int) -> None:
        self.finished = True

    def ended(self, now: int, number: int, outcome: Outcome, spent: int, finished: bool) -> None:
        balancer = self.balancer
        self.waiting = False
        balancer.in_flight[self.tried_servers[number]] -= 1
        if finished or self.finished:
            self.finished = True
        elif self.may_retry(outcome):
            self.send_next(now)
        else:
            self.finished = True
            balancer.callbacks.forfeit(self.name)

    def may_retry(self, outcome: Outcome) -> bool:
        effect = self.balancer.settings.tariffs[self.class_index].effect
        return outcome in NEVER_RAN or effect == Effect.IDEMPOTENT

    def send_next(self, now: int) -> None:
        balancer = self.balancer
        among = [server for server in balancer.ready if server not in self.tried_servers]
        if len(self.tried_servers) >= balancer.settings.most_hops or not among or now >= self.deadline_at:
            self.finished = True
            effect = balancer.settings.tariffs[self.class_index].effect
            # Every earlier hop of what may not be repeated never ran, or it would not have come here.
            if effect == Effect.IDEMPOTENT or not self.tried_servers or effect == Effect.UNREPEATABLE:
                balancer.callbacks.defer(self.name, 0)
            else:
                balancer.callbacks.forfeit(self.name)
            return
        server = balancer.choose(self, among)
        if server < 0:
            self.finished = True
            balancer.callbacks.defer(self.name, balancer.settings.most_retry_in // 8)
            return
        self.tried_servers.append(server)
        self.waiting = True
        balancer.in_flight[server] = balancer.in_flight.get(server, 0) + 1
        balancer.callbacks.send(self.name, server, 0)


TextbookBalancer.submission_type = TextbookSubmission


class RandomChoice(TextbookBalancer):
    def choose(self, submission: TextbookSubmission, candidates: list[int]) -> int:
        return self.rng.choice(candidates)


class RoundRobin(TextbookBalancer):
    def choose(self, submission: TextbookSubmission, candidates: list[int]) -> int:
        self.next_index += 1
        return candidates[self.next_index % len(candidates)]


class LeastInFlight(TextbookBalancer):
    def choose(self, submission: TextbookSubmission, candidates: list[int]) -> int:
        self.next_index += 1
        start = self.next_index % len(candidates)
        return min(candidates[start:] + candidates[:start], key=lambda server: self.in_flight.get(server, 0))


class TwoChoices(TextbookBalancer):
    def choose(self, submission: TextbookSubmission, candidates: list[int]) -> int:
        pair = self.rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda server: self.in_flight.get(server, 0))


def make_oracle(
    expected_latency: Callable[[int, int, TextbookBalancer], float],
) -> Callable[[Settings, int, Outlet], TextbookBalancer]:
    """One that knows what no sidecar can: for each server (and key) how long a hop would take there now.

    It turns away what no server could answer within the agreed time.
    """

    class Oracle(TextbookBalancer):
        def choose(self, one: TextbookSubmission, among: list[int]) -> int:
            times = [(expected_latency(server, one.key, self), server) for server in among]
            least, server = min(times)
            return (
                server if least <= self.settings.tariffs[one.class_index].agreed or one.tried_servers else -1
            )

    return Oracle


TEXTBOOK_BALANCERS = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "two-choices": TwoChoices,
}
