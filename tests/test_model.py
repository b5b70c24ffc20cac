"""The parts of the lab's model, each by itself: time, clients, the list, and the judge's finer points."""

from __future__ import annotations

from collections import Counter
from itertools import takewhile

from pumicepath.interface import Effect, Entry, Group, Listing, Phase, Tariff
from pumicepath.lab.model.clients import ClientBehavior, Clients, KeyDistribution, LoadOverrides, Tally
from pumicepath.lab.model.network import Network
from pumicepath.lab.model.registry import ListTiming, Registry
from pumicepath.lab.model.rule_checker import RuleChecker
from pumicepath.lab.model.servers import Job, Server, ServerParameters
from pumicepath.lab.model.timeline import SECOND, VirtualTimeline, random_source

from .helpers import compare

READ = Tariff(150_000, 600_000, 1.0, 0.0, Effect.IDEMPOTENT, Group.ALL, 0)
ONCE = Tariff(150_000, 600_000, 3.0, 0.0, Effect.UNREPEATABLE, Group.ALL, 0)
CELL = Tariff(150_000, 600_000, 2.0, 0.0, Effect.DEDUPLICATED, Group.CELL, SECOND)
PARAMETERS = ServerParameters(1, 10, 10, 1.0, 0.5, SECOND, 2.0, SECOND, 9.0, 1.0, False)


class RecordingReader:
    """A sidecar, as far as the list goes; it may ask again as soon as it is told of a failure."""

    def __init__(self, time: VirtualTimeline, lines: list[str]) -> None:
        self.timeline, self.lines = time, lines

    def receive_list(self, kind: Listing, entries: list[Entry]) -> None:
        shown = " ".join(f"{entry.server}:{entry.phase.name.lower()}" for entry in entries)
        self.lines.append(f"{self.timeline.now / 1e6:.3f}  {kind.name.lower()} {shown}".rstrip())


class UnreachableTarget:
    """A taker that is never there."""

    def submit(self, submission: object) -> bool:
        return False

    def client_left(self, submission: object) -> None: ...


def make_registry_and_checker(lag_to: int = 100_000) -> tuple[VirtualTimeline, Registry, RuleChecker]:
    time, tariffs = VirtualTimeline(), (READ, ONCE, CELL)
    registry = Registry(time, ListTiming(10_000, lag_to, 10 * SECOND, 500_000), 5)
    return time, registry, RuleChecker(time, tariffs, registry, 500_000)


def test_what_is_due_together_happens_in_the_order_asked_for() -> None:
    time, seen = VirtualTimeline(), []
    for name in "abc":
        time.at(5, seen.append, name)
    time.at(5, lambda: time.at(3, seen.append, "late, so at once, after what waited"))
    time.at(5, seen.append, "d")
    time.at(4, seen.append, "first")
    time.run(5)
    assert seen == ["first", "a", "b", "c", "d", "late, so at once, after what waited"] and time.now == 5


def make_clients(**changed: object) -> Clients:
    time, registry, judge = make_registry_and_checker()
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
    habits = ClientBehavior(**{**values, **changed})
    keys = KeyDistribution(habits.key_count, habits.zipf_exponent, habits.drift_period)
    made = Clients(
        time,
        habits,
        (READ, ONCE, CELL),
        keys,
        LoadOverrides(),
        judge,
        Tally(11, 3, 0),
        UnreachableTarget(),
        1,
        9,
        10 * SECOND,
    )
    made.start()
    return made


def test_arrivals_are_as_the_plan_says() -> None:
    lines = []
    for name, changed in (
        ("poisson", {}),
        ("bursty", {"pattern": "bursty"}),
        ("even", {"pattern": "even"}),
        (
            "steps",
            {"pattern": "even", "rate_steps": ((2 * SECOND, 3.0), (4 * SECOND, 0.0), (6 * SECOND, 1.0))},
        ),
        ("trace", {"arrival_trace": (1, 500_000, 500_000, 7 * SECOND)}),
    ):
        dues = list(takewhile(lambda due: due < 10 * SECOND, make_clients(**changed).arrivals()))
        counts = Counter(due // SECOND for due in dues)
        lines.append(f"{name}: {[counts[second] for second in range(10)]}")
    by = random_source(1, "keys")
    for now in (0, 5 * SECOND):
        drawn = Counter(KeyDistribution(1000, 1.0, 10 * SECOND).draw(now, by) for _ in range(5000))
        lines.append(f"keys at {now // SECOND} s: {drawn.most_common(4)}, {len(drawn)} different")
    compare("model-clients", lines)


def test_client_nobody_takes_tries_again_and_is_given_up_once() -> None:
    made = make_clients(arrival_trace=(1000,), max_retries=3)
    made.timeline.run(2 * SECOND)
    assert made.tally.refused[0] == 4 and made.tally.retries == 3 and not made.open_submissions
    assert made.tally.deferred[0] == 1 and made.rule_checker.passed()


def test_list_lags_fails_lies_and_changes_that_overtake_are_not_used() -> None:
    time, registry, _ = make_registry_and_checker(lag_to=900_000)
    lines: list[str] = []
    registry.update(*(Entry(server, 0, 0, Phase.READY, 1.0, 0) for server in range(3)))
    registry.register(0, RecordingReader(time, lines))
    registry.subscribe(0)
    time.run(SECOND)
    for step in range(4):  # faster than the lag: some overtake others
        registry.set_state(step % 3, Phase.DRAINING if step < 3 else Phase.GONE)
    time.run(4 * SECOND)
    registry.override_state(1, Phase.READY)
    time.run(5 * SECOND)
    registry.disconnect()
    registry.set_state(2, Phase.GONE)
    time.run(7 * SECOND)
    registry.subscribe(0)
    time.run(8 * SECOND)
    registry.reconnect()
    registry.subscribe(0)
    time.run(9 * SECOND)
    compare("model-list", lines)


def test_told_and_deemed_told_and_the_grace_to_the_microsecond() -> None:
    time, registry, judge = make_registry_and_checker()
    for server in range(2):
        registry.update(Entry(server, 0, 0, Phase.READY, 1.0, 0))
    registry.register(0, RecordingReader(time, []))  # follows, and is told
    registry.subscribe(0)
    registry.register(1, RecordingReader(time, []))  # never asks
    time.run(SECOND)
    registry.set_state(1)
    lines = []

    def send(sidecar: int, at: int) -> None:
        time.run(at)
        before = judge.violations["late_sends"]
        judge.try_admitted(at, 0, at + SECOND)
        judge.hop_sent(sidecar, 1, at)  # one being written when it is told is no new one
        lines.append(
            f"sidecar {sidecar} at {at / 1e6:.6f}: "
            f"{'late' if judge.violations['late_sends'] > before else 'in time'}"
        )

    time.run(SECOND + 200_000)
    told = registry.off_known_since(0, 1)
    assert told is not None and 1_010_000 <= told <= 1_100_000
    send(0, told + 500_000)
    send(0, told + 500_001)
    send(1, 10 * SECOND)  # deemed told of it 10 s after it was listed
    send(1, 11 * SECOND + 500_000)
    send(1, 11 * SECOND + 500_001)
    registry.update(Entry(1, 0, 0, Phase.READY, 1.0, 0))
    time.run(12 * SECOND)
    send(0, 12 * SECOND)
    compare("model-told", lines)


def test_effects_count_over_tries_groups_and_windows() -> None:
    time, registry, judge = make_registry_and_checker()
    servers = [Server(time, judge, PARAMETERS, number, number // 2, number // 2) for number in range(4)]
    lines = []

    def run(ask: int, server: int, what: str) -> None:
        before = judge.violations["ran_twice"]
        effect = judge.work_started(time.now, Job(ask, 0, 1, 1, lambda outcome: None), servers[server])
        lines.append(
            f"{what}: {'effect' if effect else 'dropped'}"
            f"{', broken' if judge.violations['ran_twice'] > before else ''}"
        )

    for ask, tariff in ((1, 0), (2, 1), (3, 2), (4, 2)):
        judge.try_admitted(ask, tariff, SECOND)
    run(1, 0, "idempotent")
    run(1, 1, "idempotent again")
    run(2, 0, "unrepeatable")
    judge.answer_received(2, "forfeited")
    judge.try_admitted(2, 1, SECOND)  # its client tries again, against all advice
    run(2, 0, "unrepeatable, by the client's retry")
    run(3, 0, "deduplicated")
    run(3, 1, "again in its cell")
    run(3, 2, "again in another cell")
    run(4, 0, "another one")
    time.run(SECOND + 1)
    run(4, 1, "again in its cell, after the window")
    compare("model-effects", lines)


def test_cut_hall_drops_without_a_word_and_near_is_nearer_than_far() -> None:
    time, seen = VirtualTimeline(), []
    network = Network(time, 2, 1000, 10_000, 3)
    assert network.carry(0, 0, seen.append, "near") and network.carry(0, 1, seen.append, "far")
    network.cut_zones.add(1)
    assert not network.carry(0, 1, seen.append, "lost") and not network.carry(1, 0, seen.append, "lost")
    assert network.carry(1, 1, seen.append, "inside") and network.dropped == 2
    time.run(1200)
    assert sorted(seen) == ["inside", "near"]
    time.run(12_000)
    assert seen[-1] == "far"
