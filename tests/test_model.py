"""The parts of the lab's model: time, clients, the server list, the rule checker and the network."""

from __future__ import annotations

from collections import Counter
from itertools import takewhile

from pumicepath.interface import DedupGroup, Effect, ListKind, RequestClass, ServerEntry, ServerState
from pumicepath.lab.model.clients import ClientBehavior, Clients, KeyDistribution, LoadOverrides, Tally
from pumicepath.lab.model.network import Network
from pumicepath.lab.model.registry import ListTiming, Registry
from pumicepath.lab.model.rule_checker import RuleChecker
from pumicepath.lab.model.servers import Job, Server, ServerParameters
from pumicepath.lab.model.timeline import SECOND, VirtualTimeline, random_source

from .helpers import check_trace

READ = RequestClass(150_000, 600_000, 1.0, 0.0, Effect.IDEMPOTENT, DedupGroup.ALL, 0)
ONCE = RequestClass(150_000, 600_000, 3.0, 0.0, Effect.NON_IDEMPOTENT, DedupGroup.ALL, 0)
CELL = RequestClass(150_000, 600_000, 2.0, 0.0, Effect.DEDUPLICATED, DedupGroup.CELL, SECOND)
PARAMETERS = ServerParameters(1, 10, 10, 1.0, 0.5, SECOND, 2.0, SECOND, 9.0, 1.0, False)


class RecordingReader:
    """A reader of the list that notes what it receives."""

    def __init__(self, timeline: VirtualTimeline, lines: list[str]) -> None:
        self.timeline, self.lines = timeline, lines

    def receive_list(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        shown = " ".join(f"{entry.server}:{entry.state.name.lower()}" for entry in entries)
        self.lines.append(f"{self.timeline.now / 1e6:.3f}  {kind.name.lower()} {shown}".rstrip())


class UnreachableTarget:
    """A sidecar that admits nothing."""

    def submit(self, submission: object) -> bool:
        return False

    def client_left(self, submission: object) -> None: ...


def make_registry_and_checker(lag_to: int = 100_000) -> tuple[VirtualTimeline, Registry, RuleChecker]:
    timeline, request_classes = VirtualTimeline(), (READ, ONCE, CELL)
    registry = Registry(timeline, ListTiming(10_000, lag_to, 10 * SECOND, 500_000), 5)
    return timeline, registry, RuleChecker(timeline, request_classes, registry, 500_000)


def test_calls_due_together_run_in_the_order_of_scheduling() -> None:
    timeline, seen = VirtualTimeline(), []
    for name in "abc":
        timeline.at(5, seen.append, name)
    timeline.at(5, lambda: timeline.at(3, seen.append, "late, so at once, after what waited"))
    timeline.at(5, seen.append, "d")
    timeline.at(4, seen.append, "first")
    timeline.run(5)
    assert seen == ["first", "a", "b", "c", "d", "late, so at once, after what waited"] and timeline.now == 5


def make_clients(**overrides: object) -> Clients:
    timeline, registry, checker = make_registry_and_checker()
    values: dict = {
        "rate": 200.0,
        "pattern": "poisson",
        "rate_steps": (),
        "arrival_trace": (),
        "class_weights": (3.0, 1.0, 0.0),
        "key_count": 1000,
        "zipf_exponent": 1.0,
        "drift_period": 0,
        "leave_probability": 0.0,
        "max_retries": 1,
        "backoff": 50_000,
        "honors_retry_after": True,
    }
    behavior = ClientBehavior(**{**values, **overrides})
    keys = KeyDistribution(behavior.key_count, behavior.zipf_exponent, behavior.drift_period)
    clients = Clients(
        timeline,
        behavior,
        (READ, ONCE, CELL),
        keys,
        LoadOverrides(),
        checker,
        Tally(11, 3, 0),
        UnreachableTarget(),
        1,
        9,
        10 * SECOND,
    )
    clients.start()
    return clients


def test_arrivals_and_keys_follow_the_plan() -> None:
    lines = []
    for name, overrides in (
        ("poisson", {}),
        ("bursty", {"pattern": "bursty"}),
        ("even", {"pattern": "even"}),
        (
            "steps",
            {"pattern": "even", "rate_steps": ((2 * SECOND, 3.0), (4 * SECOND, 0.0), (6 * SECOND, 1.0))},
        ),
        ("trace", {"arrival_trace": (1, 500_000, 500_000, 7 * SECOND)}),
    ):
        arrivals = list(takewhile(lambda at: at < 10 * SECOND, make_clients(**overrides).arrivals()))
        counts = Counter(at // SECOND for at in arrivals)
        lines.append(f"{name}: {[counts[second] for second in range(10)]}")
    rng = random_source(1, "keys")
    for now in (0, 5 * SECOND):
        drawn = Counter(KeyDistribution(1000, 1.0, 10 * SECOND).draw(now, rng) for _ in range(5000))
        lines.append(f"keys at {now // SECOND} s: {drawn.most_common(4)}, {len(drawn)} different")
    check_trace("model-clients", lines)


def test_refused_client_retries_and_gives_up_once() -> None:
    clients = make_clients(arrival_trace=(1000,), max_retries=3)
    clients.timeline.run(2 * SECOND)
    assert clients.tally.refused[0] == 4 and clients.tally.retries == 3 and not clients.open_submissions
    assert clients.tally.deferred[0] == 1 and clients.rule_checker.passed()


def test_list_delays_fails_overrides_states_and_drops_changes_out_of_order() -> None:
    timeline, registry, _ = make_registry_and_checker(lag_to=900_000)
    lines: list[str] = []
    registry.update(*(ServerEntry(server, 0, 0, ServerState.READY, 1.0, 0) for server in range(3)))
    registry.register(0, RecordingReader(timeline, lines))
    registry.subscribe(0)
    timeline.run(SECOND)
    for step in range(4):  # faster than the delay, so that some overtake others
        registry.set_state(step % 3, ServerState.DRAINING if step < 3 else ServerState.GONE)
    timeline.run(4 * SECOND)
    registry.override_state(1, ServerState.READY)
    timeline.run(5 * SECOND)
    registry.disconnect()
    registry.set_state(2, ServerState.GONE)
    timeline.run(7 * SECOND)
    registry.subscribe(0)
    timeline.run(8 * SECOND)
    registry.reconnect()
    registry.subscribe(0)
    timeline.run(9 * SECOND)
    check_trace("model-list", lines)


def test_notices_and_the_drain_grace_are_exact_to_the_microsecond() -> None:
    timeline, registry, checker = make_registry_and_checker()
    for server in range(2):
        registry.update(ServerEntry(server, 0, 0, ServerState.READY, 1.0, 0))
    registry.register(0, RecordingReader(timeline, []))  # subscribes, and is notified
    registry.subscribe(0)
    registry.register(1, RecordingReader(timeline, []))  # never subscribes
    timeline.run(SECOND)
    registry.set_state(1)
    lines = []

    def send(sidecar: int, at: int) -> None:
        timeline.run(at)
        before = checker.violations["late_sends"]
        checker.try_admitted(at, 0, at + SECOND)
        # The grace covers hops that are already being written when the notice arrives.
        checker.hop_sent(sidecar, 1, at)
        lines.append(
            f"sidecar {sidecar} at {at / 1e6:.6f}: "
            f"{'late' if checker.violations['late_sends'] > before else 'in time'}"
        )

    timeline.run(SECOND + 200_000)
    notified_at = registry.off_known_since(0, 1)
    assert notified_at is not None and 1_010_000 <= notified_at <= 1_100_000
    send(0, notified_at + 500_000)
    send(0, notified_at + 500_001)
    send(1, 10 * SECOND)  # counts as knowing 10 s after it was listed
    send(1, 11 * SECOND + 500_000)
    send(1, 11 * SECOND + 500_001)
    registry.update(ServerEntry(1, 0, 0, ServerState.READY, 1.0, 0))
    timeline.run(12 * SECOND)
    send(0, 12 * SECOND)
    check_trace("model-told", lines)


def test_effects_are_counted_over_tries_groups_and_windows() -> None:
    timeline, registry, checker = make_registry_and_checker()
    servers = [Server(timeline, checker, PARAMETERS, number, number // 2, number // 2) for number in range(4)]
    lines = []

    def run(submission_id: int, server: int, label: str) -> None:
        before = checker.violations["ran_twice"]
        effect = checker.work_started(
            timeline.now, Job(submission_id, 0, 1, 1, lambda outcome: None), servers[server]
        )
        lines.append(
            f"{label}: {'effect' if effect else 'dropped'}"
            f"{', broken' if checker.violations['ran_twice'] > before else ''}"
        )

    for submission_id, class_index in ((1, 0), (2, 1), (3, 2), (4, 2)):
        checker.try_admitted(submission_id, class_index, SECOND)
    run(1, 0, "idempotent")
    run(1, 1, "idempotent again")
    run(2, 0, "unrepeatable")
    checker.answer_received(2, "forfeited")
    checker.try_admitted(2, 1, SECOND)  # its client retries although the try may have run
    run(2, 0, "unrepeatable, by the client's retry")
    run(3, 0, "deduplicated")
    run(3, 1, "again in its cell")
    run(3, 2, "again in another cell")
    run(4, 0, "another one")
    timeline.run(SECOND + 1)
    run(4, 1, "again in its cell, after the window")
    check_trace("model-effects", lines)


def test_cut_zone_drops_silently_and_zones_have_shorter_delays_inside() -> None:
    timeline, seen = VirtualTimeline(), []
    network = Network(timeline, 2, 1000, 10_000, 3)
    assert network.carry(0, 0, seen.append, "near") and network.carry(0, 1, seen.append, "far")
    network.cut_zones.add(1)
    assert not network.carry(0, 1, seen.append, "lost") and not network.carry(1, 0, seen.append, "lost")
    assert network.carry(1, 1, seen.append, "inside") and network.dropped == 2
    timeline.run(1200)
    assert sorted(seen) == ["inside", "near"]
    timeline.run(12_000)
    assert seen[-1] == "far"
