"""The parts of the lab's model, each by itself: time, clients, the list, and the judge's finer points."""

from __future__ import annotations

from collections import Counter
from itertools import takewhile

from pumicepath.interface import DedupGroup, Effect, ListKind, RequestClass, ServerEntry, ServerState
from pumicepath.lab.model.clients import Clients, Habits, Keys, Moods, Tally
from pumicepath.lab.model.judge import Judge
from pumicepath.lab.model.listing import Manner, Registry
from pumicepath.lab.model.network import Network
from pumicepath.lab.model.servers import Build, Job, Server
from pumicepath.lab.model.timeline import SECOND, Virtual, chance

from .helpers import check_trace

READ = RequestClass(150_000, 600_000, 1.0, 0.0, Effect.IDEMPOTENT, DedupGroup.ALL, 0)
ONCE = RequestClass(150_000, 600_000, 3.0, 0.0, Effect.NON_IDEMPOTENT, DedupGroup.ALL, 0)
CELL = RequestClass(150_000, 600_000, 2.0, 0.0, Effect.DEDUPLICATED, DedupGroup.CELL, SECOND)
BUILD = Build(1, 10, 10, 1.0, 0.5, SECOND, 2.0, SECOND, 9.0, 1.0, False)


class Reader:
    """A sidecar, as far as the list goes; it may ask again as soon as it is told of a failure."""

    def __init__(self, time: Virtual, lines: list[str]) -> None:
        self.time, self.lines = time, lines

    def listed(self, kind: ListKind, entries: list[ServerEntry]) -> None:
        shown = " ".join(f"{entry.server}:{entry.state.name.lower()}" for entry in entries)
        self.lines.append(f"{self.time.now / 1e6:.3f}  {kind.name.lower()} {shown}".rstrip())


class Nobody:
    """A taker that is never there."""

    def take(self, ask: object) -> bool:
        return False

    def left(self, ask: object) -> None: ...


def yard(lag_to: int = 100_000) -> tuple[Virtual, Registry, Judge]:
    time, tariffs = Virtual(), (READ, ONCE, CELL)
    registry = Registry(time, Manner(10_000, lag_to, 10 * SECOND, 500_000), 5)
    return time, registry, Judge(time, tariffs, registry, 500_000)


def test_what_is_due_together_happens_in_the_order_asked_for() -> None:
    time, seen = Virtual(), []
    for name in "abc":
        time.at(5, seen.append, name)
    time.at(5, lambda: time.at(3, seen.append, "late, so at once, after what waited"))
    time.at(5, seen.append, "d")
    time.at(4, seen.append, "first")
    time.run(5)
    assert seen == ["first", "a", "b", "c", "d", "late, so at once, after what waited"] and time.now == 5


def clients(**changed: object) -> Clients:
    time, registry, judge = yard()
    values: dict = {
        "rate": 200.0,
        "pattern": "poisson",
        "steps": (),
        "trace": (),
        "shares": (3.0, 1.0, 0.0),
        "keys": 1000,
        "zipf": 1.0,
        "drift": 0,
        "leaves": 0.0,
        "retries": 1,
        "back_off": 50_000,
        "heeds": True,
    }
    habits = Habits(**{**values, **changed})
    keys = Keys(habits.keys, habits.zipf, habits.drift)
    made = Clients(
        time, habits, (READ, ONCE, CELL), keys, Moods(), judge, Tally(11, 3, 0), Nobody(), 1, 9, 10 * SECOND
    )
    made.begin()
    return made


def test_arrivals_are_as_the_plan_says() -> None:
    lines = []
    for name, changed in (
        ("poisson", {}),
        ("bursty", {"pattern": "bursty"}),
        ("even", {"pattern": "even"}),
        ("steps", {"pattern": "even", "steps": ((2 * SECOND, 3.0), (4 * SECOND, 0.0), (6 * SECOND, 1.0))}),
        ("trace", {"trace": (1, 500_000, 500_000, 7 * SECOND)}),
    ):
        dues = list(takewhile(lambda due: due < 10 * SECOND, clients(**changed).arrivals()))
        counts = Counter(due // SECOND for due in dues)
        lines.append(f"{name}: {[counts[second] for second in range(10)]}")
    by = chance(1, "keys")
    for now in (0, 5 * SECOND):
        drawn = Counter(Keys(1000, 1.0, 10 * SECOND).draw(now, by) for _ in range(5000))
        lines.append(f"keys at {now // SECOND} s: {drawn.most_common(4)}, {len(drawn)} different")
    check_trace("model-clients", lines)


def test_client_nobody_takes_tries_again_and_is_given_up_once() -> None:
    made = clients(trace=(1000,), retries=3)
    made.timeline.run(2 * SECOND)
    assert made.tally.refused[0] == 4 and made.tally.retries == 3 and not made.open
    assert made.tally.deferred[0] == 1 and made.judge.whole()


def test_list_lags_fails_lies_and_changes_that_overtake_are_not_used() -> None:
    time, registry, _ = yard(lag_to=900_000)
    lines: list[str] = []
    registry.put(*(ServerEntry(server, 0, 0, ServerState.READY, 1.0, 0) for server in range(3)))
    registry.join(0, Reader(time, lines))
    registry.follow(0)
    time.run(SECOND)
    for step in range(4):  # faster than the lag: some overtake others
        registry.drained(step % 3, ServerState.DRAINING if step < 3 else ServerState.GONE)
    time.run(4 * SECOND)
    registry.lie(1, ServerState.READY)
    time.run(5 * SECOND)
    registry.break_off()
    registry.drained(2, ServerState.GONE)
    time.run(7 * SECOND)
    registry.follow(0)
    time.run(8 * SECOND)
    registry.come_back()
    registry.follow(0)
    time.run(9 * SECOND)
    check_trace("model-list", lines)


def test_told_and_deemed_told_and_the_grace_to_the_microsecond() -> None:
    time, registry, judge = yard()
    for server in range(2):
        registry.put(ServerEntry(server, 0, 0, ServerState.READY, 1.0, 0))
    registry.join(0, Reader(time, []))  # follows, and is told
    registry.follow(0)
    registry.join(1, Reader(time, []))  # never asks
    time.run(SECOND)
    registry.drained(1)
    lines = []

    def send(sidecar: int, at: int) -> None:
        time.run(at)
        before = judge.broken["late_sends"]
        judge.tried(at, 0, at + SECOND)
        judge.sent(sidecar, 1, at)  # one being written when it is told is no new one
        lines.append(
            f"sidecar {sidecar} at {at / 1e6:.6f}: "
            f"{'late' if judge.broken['late_sends'] > before else 'in time'}"
        )

    time.run(SECOND + 200_000)
    told = registry.knows_since(0, 1)
    assert told is not None and 1_010_000 <= told <= 1_100_000
    send(0, told + 500_000)
    send(0, told + 500_001)
    send(1, 10 * SECOND)  # deemed told of it 10 s after it was listed
    send(1, 11 * SECOND + 500_000)
    send(1, 11 * SECOND + 500_001)
    registry.put(ServerEntry(1, 0, 0, ServerState.READY, 1.0, 0))
    time.run(12 * SECOND)
    send(0, 12 * SECOND)
    check_trace("model-told", lines)


def test_effects_count_over_tries_groups_and_windows() -> None:
    time, registry, judge = yard()
    servers = [Server(time, judge, BUILD, number, number // 2, number // 2) for number in range(4)]
    lines = []

    def run(ask: int, server: int, what: str) -> None:
        before = judge.broken["ran_twice"]
        effect = judge.ran(time.now, Job(ask, 0, 1, 1, lambda outcome: None), servers[server])
        lines.append(
            f"{what}: {'effect' if effect else 'dropped'}"
            f"{', broken' if judge.broken['ran_twice'] > before else ''}"
        )

    for ask, tariff in ((1, 0), (2, 1), (3, 2), (4, 2)):
        judge.tried(ask, tariff, SECOND)
    run(1, 0, "idempotent")
    run(1, 1, "idempotent again")
    run(2, 0, "unrepeatable")
    judge.answered(2, "forfeited")
    judge.tried(2, 1, SECOND)  # its client tries again, against all advice
    run(2, 0, "unrepeatable, by the client's retry")
    run(3, 0, "deduplicated")
    run(3, 1, "again in its cell")
    run(3, 2, "again in another cell")
    run(4, 0, "another one")
    time.run(SECOND + 1)
    run(4, 1, "again in its cell, after the window")
    check_trace("model-effects", lines)


def test_cut_hall_drops_without_a_word_and_near_is_nearer_than_far() -> None:
    time, seen = Virtual(), []
    network = Network(time, 2, 1000, 10_000, 3)
    assert network.carry(0, 0, seen.append, "near") and network.carry(0, 1, seen.append, "far")
    network.cut.add(1)
    assert not network.carry(0, 1, seen.append, "lost") and not network.carry(1, 0, seen.append, "lost")
    assert network.carry(1, 1, seen.append, "inside") and network.dropped == 2
    time.run(1200)
    assert sorted(seen) == ["inside", "near"]
    time.run(12_000)
    assert seen[-1] == "far"
