"""The model, injected faults and the rule checker in virtual time."""

from __future__ import annotations

import pytest

from pumicepath.interface import Outcome
from pumicepath.lab.fault_kinds import KINDS
from pumicepath.lab.model.clients import Clients
from pumicepath.lab.model.result import summarize
from pumicepath.lab.model.servers import Job, Server, ServerParameters, SharedLimit
from pumicepath.lab.model.timeline import VirtualTimeline
from pumicepath.lab.spec import FaultSpec, Fleet, Load, Plan, RequestClassSpec, Sidecars
from pumicepath.lab.virtual.run import POLICIES, VirtualWorld
from pumicepath.lab.virtual.sidecar import OpenSubmission, Sidecar
from tests import bad_balancers as bad
from tests.helpers import check_trace

SMALL_PLAN = Plan(
    lasts_s=8, warm_s=1, fleet=Fleet(halls=2, servers=6, cold_s=4, fall_s=1), load=Load(part=0.3)
)
PARAMETERS = ServerParameters(
    cores=1,
    queue_limit=2,
    cache_size=1,
    miss_factor=2.0,
    cold_fraction=0.5,
    cold_duration=4_000_000,
    overload_multiple=2.0,
    overload_window=1_000_000,
    congestion_threshold=3.0,
    congestion_speed=0.5,
    stops_cancelled=True,
)


def with_fault(kind: str, plan: Plan = SMALL_PLAN, **overrides: object) -> Plan:
    fault = FaultSpec(kind=kind, **{"at_s": 2, "for_s": 3, "servers": (4,), **overrides})
    return plan.model_copy(update={"troubles": (fault,)})


def summary_line(plan: Plan, policy: object, seed: int = 1) -> str:
    """The result of a run in one line, with the names of violated rules."""
    result = VirtualWorld(plan, seed, policy).run()
    summary = summarize(result)
    ends = " ".join(
        f"{name} {summary[name]}"
        for name in ("offered", "good", "late", "deferred", "forfeited", "left", "lost", "refused")
    )
    broken = " ".join(name for name, count in result.violations.items() if count)
    return f"{summary['service']:.3f}  {ends}{'  BROKEN ' + broken if broken else ''}"


class ScriptedObserver:
    """An observer that notes overloads; all work has an effect."""

    def __init__(self) -> None:
        self.overloads: list[str] = []

    def work_started(self, now: int, job: Job, server: Server) -> bool:
        return True

    def cold_server_overloaded(self, now: int, server: Server, senders: dict[int, int]) -> None:
        self.overloads.append(f"{now / 1e6:.3f}  pushed over by {senders}")


class ServerHarness:
    """Servers on their own, whose answers are noted."""

    def __init__(self, count: int = 1, limit: int = 0) -> None:
        self.timeline = VirtualTimeline()
        self.lines: list[str] = []
        self.observer = ScriptedObserver()
        shared = SharedLimit(limit) if limit else None
        self.servers = [
            Server(self.timeline, self.observer, PARAMETERS, slot, 0, 0, limit=shared)
            for slot in range(count)
        ]

    def send(self, name: str, slot: int = 0, key: int = 0, work: int = 100_000) -> Job:
        def reply(outcome: Outcome) -> None:
            self.lines.append(f"{self.timeline.now / 1e6:.3f}  {name} {outcome.name.lower()}")

        job = Job(0, key, 1, work, reply)
        self.servers[slot].receive(job)
        return job

    def run_until(self, seconds: float) -> ServerHarness:
        self.timeline.run(int(seconds * 1e6))
        return self


def test_server_queues_refuses_caches_slows_down_and_stops() -> None:
    harness = ServerHarness()
    server = harness.servers[0]
    for name in "abcd":  # one runs, two wait in the queue, one is refused
        harness.send(name)
    harness.run_until(1).send("new key", key=5)
    harness.run_until(2).send("known key", key=5)
    harness.run_until(3).send("slowed")
    harness.run_until(3.05)
    server.set_speed_factor(0.5)
    harness.run_until(4)
    server.set_speed_factor(1.0)
    harness.send("paused")
    harness.run_until(4.05)
    server.set_speed_factor(0.0)
    harness.run_until(5)
    server.set_speed_factor(1.0)
    stopped = harness.run_until(6).send("stopped")
    waits = harness.send("in the queue")
    server.cancel(stopped)
    server.cancel(waits)
    harness.run_until(7).send("killed")
    server.kill()
    harness.send("nobody there")
    server.start()
    harness.run_until(8).send("cold")
    server.set_speed_factor(1.0)
    harness.run_until(9)
    server.silence()
    harness.send("lost")
    check_trace("lab-server", harness.run_until(20).lines)


def test_cold_server_collapses_under_overload_in_any_window_and_stays_down() -> None:
    harness = ServerHarness()
    harness.run_until(1).servers[0].start()
    for step in range(12):  # the limit in a window of 1 s is twice what it can do: 1.0 s of work or more
        harness.run_until(1.01 + step * 0.09).send(f"{step}", work=110_000)
    check_trace("lab-fall", harness.run_until(9).lines + harness.observer.overloads)


def test_killed_server_releases_its_capacity_of_a_shared_limit_to_others() -> None:
    harness = ServerHarness(3, limit=2)
    for at in range(3):
        harness.send(f"server {at}", at)
    harness.run_until(0.05).servers[0].kill()
    check_trace("lab-limit", harness.run_until(1).lines)


def test_congestion_lasts_until_the_server_is_nearly_idle() -> None:
    time, lines = VirtualTimeline(), []
    build = ServerParameters(1, 10, 1, 1.0, 1.0, 1, 9.0, 1, 3.0, 0.5, False)
    server = Server(time, ScriptedObserver(), build, 0, 0, 0)
    for name in "abcde":
        server.receive(
            Job(0, 0, 1, 100_000, lambda outcome, name=name: lines.append(f"{time.now / 1e6:.3f}  {name}"))
        )
    time.run(2_000_000)
    check_trace("lab-jam", lines)


def test_run_is_reproducible_for_a_seed_and_differs_for_another() -> None:
    plan = with_fault("vanish", for_s=4)
    runs = [VirtualWorld(plan, seed, "pumicepath", 1000).run() for seed in (3, 3, 4)]
    assert runs[0] == runs[1] and runs[0].columns != runs[2].columns
    check_trace("lab-run", runs[0].log[:40] + [summary_line(plan, "pumicepath", 3)])


def test_all_policies_get_the_same_submissions() -> None:
    plan = with_fault("pause", for_s=4)
    offered = [VirtualWorld(plan, 5, policy).run().columns["offered"] for policy in POLICIES]
    assert all(counts == offered[0] for counts in offered)


@pytest.mark.parametrize("kind", sorted(name for name, fault in KINDS.items() if not fault.needs_processes))
def test_each_fault_has_its_described_effect(kind: str) -> None:
    """Effects show at a balancer without breakers, or, for faults of the list alone, in its notices."""
    base = SMALL_PLAN
    if KINDS[kind].needs_peers:
        base = SMALL_PLAN.model_copy(update={"sidecars": Sidecars(count=6, peers=True, peers_every_s=0.2)})
    plan = with_fault(kind, base, hall=1)
    world = VirtualWorld(plan, 1, "random")
    faulty, baseline = world.run(), VirtualWorld(base, 1, "random").run()
    shown = [
        f"{name}: {summary_line(given, 'random')}; at server 4 {[row[4] for row in result.hops_at_servers]}"
        + (f"; views wrong {result.wrong_views}" if result.wrong_views else "")
        for name, given, result in (("calm", base, baseline), ("met ", plan, faulty))
    ]
    shown += [mark.text for mark in world.marks]
    notices = [
        f"server {server}: known to be off since {since / 1e6:.3f}"
        for server, since in sorted(world.registry.subscriptions[0].notified_at.items())
    ]
    assert baseline.events != faulty.events
    check_trace(f"lab-trouble-{kind}", shown + notices)


ALL_EFFECTS_LOAD = Load(
    part=0.3,
    retries=2,
    tariffs=(
        RequestClassSpec(name="read"),
        RequestClassSpec(name="once", effect="at_most_once"),
        RequestClassSpec(name="marked", effect="deduplicated", group="cell", window_s=1),
    ),
)


@pytest.mark.parametrize(
    "maker, kind, cause",
    [
        (bad.NeverAnswers, "fail-quickly", None),
        (bad.RejectsTwice, "pause", "answered_twice"),
        (bad.SendsAfterAnswer, "pause", "sent_after_answer"),
        (bad.RetriesNonIdempotent, "fail-quickly", "ran_twice"),
        (bad.RejectsPossiblyRun, "fail-quickly", "deferred_may_run"),
        (bad.IgnoresListUpdates, "drain", "late_sends"),
        (bad.FloodsNewestServer, "die", "pushed_over"),
    ],
)
def test_rule_checker_finds_a_balancer_that_violates_a_rule(
    maker: type, kind: str, cause: str | None
) -> None:
    plan = with_fault(kind, SMALL_PLAN.model_copy(update={"load": ALL_EFFECTS_LOAD}))
    result = VirtualWorld(plan, 1, maker).run()
    if cause is None:  # the host itself answers when the deadline passes
        assert result.columns["forfeited"][3] > 0
    else:
        assert result.violations[cause] > 0, result.violations
    correct = VirtualWorld(plan, 1, "pumicepath").run()
    assert not any(correct.violations.values()), correct.first_violations


@pytest.mark.parametrize("delay, cause", [(None, "unanswered"), (100_000, "answered_late")])
def test_rule_checker_finds_missing_and_late_final_answers(
    delay: int | None, cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A balancer may leave the final answer to its host; here the host gives none, or gives it too late."""
    deadline_passed = Sidecar.deadline_passed

    def late(self: Sidecar, name: int, one: OpenSubmission) -> None:
        if delay is not None:
            self.world.timeline.at(self.world.timeline.now + delay, deadline_passed, self, name, one)

    monkeypatch.setattr(Sidecar, "deadline_passed", late)
    if delay is not None:  # the client must wait on to receive the late answer
        monkeypatch.setattr(Clients, "give_up", lambda *_: None)
    plan = with_fault("fail-quickly", SMALL_PLAN.model_copy(update={"load": ALL_EFFECTS_LOAD}))
    result = VirtualWorld(plan, 1, bad.NeverAnswers).run()
    assert result.violations[cause] > 0, result.violations


def test_killed_sidecars_lose_none_of_their_open_submissions() -> None:
    plan = with_fault("sidecars-restarted", value=1.0)
    result = VirtualWorld(plan, 1).run()
    assert result.final_answers["cut"] > 0 and not any(result.violations.values()), (
        result.final_answers,
        result.violations,
    )


def test_many_sidecars_leave_no_records_behind() -> None:
    plan = Plan(
        lasts_s=3,
        warm_s=1,
        fleet=Fleet(servers=20),
        sidecars=Sidecars(count=200),
        load=Load(part=0.3, leaves=0.1),
        troubles=(FaultSpec(kind="vanish", at_s=1, for_s=1, count=3),),
    )
    world = VirtualWorld(plan, 2)
    world.run()
    held = [len(world.rule_checker.records)] + [
        len(sidecar.open_submissions) + len(sidecar.latest_names) for sidecar in world.instances
    ]
    assert sum(held) == 0
