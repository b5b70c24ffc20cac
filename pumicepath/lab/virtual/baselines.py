"""Textbook balancers, a lower bound to compare the real balancer with, and an oracle, an upper bound.

They retry hops that certainly never ran, and idempotent submissions, as any careful client does; none has
breakers, limits or a budget for cold servers.  Least in flight is known as `least_conn`; two choices is
Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ...interface import Callbacks, Effect, ListKind, Outcome, ServerEntry, ServerState, Settings
from ..model.timeline import random_source

NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED)


class TextbookBalancer:
    """Base of textbook balancers: the list, hops in flight by server, and retries; O(servers) per choice."""

    submission_type: type[TextbookSubmission]

    def __init__(self, settings: Settings, seed: int, callbacks: Callbacks) -> None:
        self.settings = settings
        self.callbacks = callbacks
        self.rng = random_source(seed, "baseline")
        self.states: dict[int, ServerState] = {}
        self.ready: list[int] = []
        self.in_flight: dict[int, int] = {}
        self.next_index = self.rng.randrange(1 << 16)

    def update_servers(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        """Apply a full list or changes; after a failure, ask again in a second."""
        if kind == ListKind.FAILED:
            self.callbacks.set_timer(now + 1_000_000, self)
            return
        if kind == ListKind.CACHED and self.settings.polls_list:
            self.callbacks.request_server_list()
        if kind != ListKind.CHANGES:
            self.states.clear()
        for entry in entries:
            self.states[entry.server] = entry.state
        self.ready = [server for server, state in self.states.items() if state == ServerState.READY]
        self.in_flight = {
            server: count for server, count in self.in_flight.items() if server in self.states or count
        }

    def on_timer(self, now: int) -> None:
        """The timer is due: ask for the list again."""
        self.callbacks.request_server_list()

    def submit(
        self, now: int, name: int, class_index: int, key: int, is_retry: bool, deadline_at: int
    ) -> TextbookSubmission:
        """Start with a submission that the sidecar has admitted."""
        submission = self.submission_type(self, name, class_index, key, deadline_at)
        submission.send_next(now)
        return submission

    def choose(self, submission: TextbookSubmission, candidates: list[int]) -> int:
        """A server from the candidates, or -1 to reject the submission."""
        raise NotImplementedError


class TextbookSubmission:
    """A submission with at most one hop at a time, each at a server not tried before."""

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

    def is_finished(self) -> bool:
        """Whether it is answered and no hop is in flight."""
        return self.finished and not self.waiting

    def response_started(self, now: int, number: int) -> None:
        """Ignored: textbook balancers do not consider slow responses."""

    def client_left(self, now: int) -> None:
        """The client does not wait any more."""
        self.finished = True

    def hop_finished(self, now: int, number: int, outcome: Outcome, elapsed: int, is_final: bool) -> None:
        """A hop has ended: done, retry or fail."""
        balancer = self.balancer
        self.waiting = False
        balancer.in_flight[self.tried_servers[number]] -= 1
        if is_final or self.finished:
            self.finished = True
        elif self.may_retry(outcome):
            self.send_next(now)
        else:
            self.finished = True
            balancer.callbacks.fail(self.name)

    def may_retry(self, outcome: Outcome) -> bool:
        """Whether a further hop can do no harm."""
        effect = self.balancer.settings.request_classes[self.class_index].effect
        return outcome in NEVER_RAN or effect == Effect.IDEMPOTENT

    def send_next(self, now: int) -> None:
        """Send the next hop, or reject or fail the submission if that is not possible."""
        balancer = self.balancer
        candidates = [server for server in balancer.ready if server not in self.tried_servers]
        if len(self.tried_servers) >= balancer.settings.max_hops or not candidates or now >= self.deadline_at:
            self.finished = True
            effect = balancer.settings.request_classes[self.class_index].effect
            # A non-idempotent submission gets here only if none of its hops ran.
            if effect == Effect.IDEMPOTENT or not self.tried_servers or effect == Effect.NON_IDEMPOTENT:
                balancer.callbacks.reject(self.name, 0)
            else:
                balancer.callbacks.fail(self.name)
            return
        server = balancer.choose(self, candidates)
        if server < 0:
            self.finished = True
            balancer.callbacks.reject(self.name, balancer.settings.max_retry_after // 8)
            return
        self.tried_servers.append(server)
        self.waiting = True
        balancer.in_flight[server] = balancer.in_flight.get(server, 0) + 1
        balancer.callbacks.send(self.name, server, 0)


TextbookBalancer.submission_type = TextbookSubmission


class RandomChoice(TextbookBalancer):
    """Any server, with equal probability."""

    def choose(self, submission: TextbookSubmission, candidates: list[int]) -> int:
        return self.rng.choice(candidates)


class RoundRobin(TextbookBalancer):
    """The servers in turn."""

    def choose(self, submission: TextbookSubmission, candidates: list[int]) -> int:
        self.next_index += 1
        return candidates[self.next_index % len(candidates)]


class LeastInFlight(TextbookBalancer):
    """The server with the fewest hops in flight; ties go round."""

    def choose(self, submission: TextbookSubmission, candidates: list[int]) -> int:
        self.next_index += 1
        start = self.next_index % len(candidates)
        return min(candidates[start:] + candidates[:start], key=lambda server: self.in_flight.get(server, 0))


class TwoChoices(TextbookBalancer):
    """The one with fewer hops in flight of two random servers."""

    def choose(self, submission: TextbookSubmission, candidates: list[int]) -> int:
        pair = self.rng.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda server: self.in_flight.get(server, 0))


def make_oracle(
    expected_latency: Callable[[int, int, TextbookBalancer], float],
) -> Callable[[Settings, int, Callbacks], TextbookBalancer]:
    """A balancer that knows what no sidecar can: how long a hop with a key would take at each server now.

    It rejects what no server could answer within the latency target.
    """

    class Oracle(TextbookBalancer):
        """The server with the lowest expected latency."""

        def choose(self, submission: TextbookSubmission, candidates: list[int]) -> int:
            latencies = [(expected_latency(server, submission.key, self), server) for server in candidates]
            lowest, server = min(latencies)
            return (
                server
                if lowest <= self.settings.request_classes[submission.class_index].latency_target
                or submission.tried_servers
                else -1
            )

    return Oracle


TEXTBOOK_BALANCERS = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "two-choices": TwoChoices,
}
