"""Textbook balancers, which give the decisions' figures a floor, and an oracle, which gives them a top.

They repeat what certainly never ran, and idempotent submissions, as any careful client does; none has
breakers, limits or a budget for cold servers.  Least in flight is known as `least_conn`; two choices is
Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ...interface import Callbacks, Effect, ListKind, Outcome, ServerEntry, ServerState, Settings
from ..model.timeline import chance

NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED)


class Plain:
    """What all of them share: the list, hops out by server, and repeats.  Needs O(servers) a choice."""

    kind: type[Handle]  # of its submissions

    def __init__(self, settings: Settings, seed: int, outlet: Callbacks) -> None:
        self.settings = settings
        self.callbacks = outlet
        self.chance = chance(seed, "baseline")
        self.phases: dict[int, ServerState] = {}
        self.ready: list[int] = []
        self.out: dict[int, int] = {}
        self.turn = self.chance.randrange(1 << 16)

    def update_servers(self, now: int, kind: ListKind, entries: Sequence[ServerEntry]) -> None:
        if kind == ListKind.FAILED:
            self.callbacks.set_timer(now + 1_000_000, self)
            return
        if kind == ListKind.CACHED and self.settings.polls_list:
            self.callbacks.request_server_list()
        if kind != ListKind.CHANGES:
            self.phases.clear()
        for entry in entries:
            self.phases[entry.server] = entry.state
        self.ready = [server for server, phase in self.phases.items() if phase == ServerState.READY]
        self.out = {server: out for server, out in self.out.items() if server in self.phases or out}

    def on_timer(self, now: int) -> None:
        self.callbacks.request_server_list()

    def submit(self, now: int, name: int, tariff: int, key: int, retry: bool, until: int) -> Handle:
        one = self.kind(self, name, tariff, key, until)
        one.go_on(now)
        return one

    def choose(self, one: Handle, among: list[int]) -> int:
        """A server, or -1 to turn the submission away."""
        raise NotImplementedError


class Handle:
    def __init__(self, balancer: Plain, name: int, tariff: int, key: int, until: int) -> None:
        self.balancer = balancer
        self.name = name
        self.tariff = tariff
        self.key = key
        self.until = until
        self.tried: list[int] = []
        self.out = self.done = False

    def is_finished(self) -> bool:
        return self.done and not self.out

    def response_started(self, now: int, number: int) -> None:
        """None of them goes by how an answer comes."""

    def client_left(self, now: int) -> None:
        self.done = True

    def hop_finished(self, now: int, number: int, outcome: Outcome, spent: int, finished: bool) -> None:
        balancer = self.balancer
        self.out = False
        balancer.out[self.tried[number]] -= 1
        if finished or self.done:
            self.done = True
        elif self.may_repeat(outcome):
            self.go_on(now)
        else:
            self.done = True
            balancer.callbacks.fail(self.name)

    def may_repeat(self, outcome: Outcome) -> bool:
        effect = self.balancer.settings.request_classes[self.tariff].effect
        return outcome in NEVER_RAN or effect == Effect.IDEMPOTENT

    def go_on(self, now: int) -> None:
        balancer = self.balancer
        among = [server for server in balancer.ready if server not in self.tried]
        if len(self.tried) >= balancer.settings.max_hops or not among or now >= self.until:
            self.done = True
            effect = balancer.settings.request_classes[self.tariff].effect
            # Every earlier hop of what may not be repeated never ran, or it would not have come here.
            if effect == Effect.IDEMPOTENT or not self.tried or effect == Effect.NON_IDEMPOTENT:
                balancer.callbacks.reject(self.name, 0)
            else:
                balancer.callbacks.fail(self.name)
            return
        server = balancer.choose(self, among)
        if server < 0:
            self.done = True
            balancer.callbacks.reject(self.name, balancer.settings.max_retry_after // 8)
            return
        self.tried.append(server)
        self.out = True
        balancer.out[server] = balancer.out.get(server, 0) + 1
        balancer.callbacks.send(self.name, server, 0)


Plain.kind = Handle


class Random(Plain):
    def choose(self, one: Handle, among: list[int]) -> int:
        return self.chance.choice(among)


class RoundRobin(Plain):
    def choose(self, one: Handle, among: list[int]) -> int:
        self.turn += 1
        return among[self.turn % len(among)]


class LeastInFlight(Plain):
    def choose(self, one: Handle, among: list[int]) -> int:
        self.turn += 1
        start = self.turn % len(among)
        return min(among[start:] + among[:start], key=lambda server: self.out.get(server, 0))


class TwoChoices(Plain):
    def choose(self, one: Handle, among: list[int]) -> int:
        pair = self.chance.sample(among, min(2, len(among)))
        return min(pair, key=lambda server: self.out.get(server, 0))


def oracle(expected: Callable[[int, int, Plain], float]) -> Callable[[Settings, int, Callbacks], Plain]:
    """One that knows what no sidecar can: for each server (and key) how long a hop would take there now.

    It turns away what no server could answer within the agreed time.
    """

    class Oracle(Plain):
        def choose(self, one: Handle, among: list[int]) -> int:
            times = [(expected(server, one.key, self), server) for server in among]
            least, server = min(times)
            return (
                server
                if least <= self.settings.request_classes[one.tariff].latency_target or one.tried
                else -1
            )

    return Oracle


TEXTBOOK = {
    "random": Random,
    "round-robin": RoundRobin,
    "least-in-flight": LeastInFlight,
    "two-choices": TwoChoices,
}
