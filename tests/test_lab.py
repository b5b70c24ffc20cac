"""The model, its troubles and its judge, in virtual time."""

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
from tests.helpers import compare

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


def with_fault(kind: str, plan: Plan = SMALL_PLAN, **more: object) -> Plan:
    trouble = FaultSpec(kind=kind, **{"at_s": 2, "for_s": 3, "servers": (4,), **more})
    return plan.model_copy(update={"troubles": (trouble,)})


def summary_line(plan: Plan, policy: object, seed: int = 1) -> str:
    """What a run comes to, in a line; a judge's finding by its name."""
    result = VirtualWorld(plan, seed, policy).run()
    told = summarize(result)
    ends = " ".join(
        f"{name} {told[name]}"
        for name in ("offered", "good", "late", "deferred", "forfeited", "left", "lost", "refused")
    )
    broken = " ".join(name for name, count in result.violations.items() if count)
    return f"{told['service']:.3f}  {ends}{'  BROKEN ' + broken if broken else ''}"


class ScriptedObserver:
    """A witness to whom all work has its effect."""

    def __init__(self) -> None:
        self.overloads: list[str] = []

    def work_started(self, now: int, job: Job, server: Server) -> bool:
        return True

    def cold_server_overloaded(self, now: int, server: Server, senders: dict[int, int]) -> None:
        self.overloads.append(f"{now / 1e6:.3f}  pushed over by {senders}")


class ServerHarness:
    """Servers alone, with what they answer noted."""

    def __init__(self, count: int = 1, limit: int = 0) -> None:
        self.timeline = VirtualTimeline()
        self.lines: list[str] = []
        self.observer = ScriptedObserver()
        shared = SharedLimit(limit) if limit else None
        self.servers = [
            Server(self.timeline, self.observer, PARAMETERS, at, 0, 0, limit=shared) for at in range(count)
        ]

    def send(self, name: str, at: int = 0, key: int = 0, work: int = 100_000) -> Job:
        def reply(outcome: Outcome) -> None:
            self.lines.append(f"{self.timeline.now / 1e6:.3f}  {name} {outcome.name.lower()}")

        job = Job(0, key, 1, work, reply)
        self.servers[at].receive(job)
        return job

    def run_until(self, seconds: float) -> ServerHarness:
        self.timeline.run(int(seconds * 1e6))
        return self


def test_servers_queue_refuse_remember_slow_down_and_stop() -> None:
    yard = ServerHarness()
    one = yard.servers[0]
    for name in "abcd":  # the core, two in the queue, one too many
        yard.send(name)
    yard.run_until(1).send("new key", key=5)
    yard.run_until(2).send("known key", key=5)
    yard.run_until(3).send("slowed")
    yard.run_until(3.05)
    one.set_speed_factor(0.5)
    yard.run_until(4)
    one.set_speed_factor(1.0)
    yard.send("paused")
    yard.run_until(4.05)
    one.set_speed_factor(0.0)
    yard.run_until(5)
    one.set_speed_factor(1.0)
    stopped = yard.run_until(6).send("stopped")
    waits = yard.send("in the queue")
    one.cancel(stopped)
    one.cancel(waits)
    yard.run_until(7).send("killed")
    one.kill()
    yard.send("nobody there")
    one.start()
    yard.run_until(8).send("cold")
    one.set_speed_factor(1.0)
    yard.run_until(9)
    one.silence()
    yard.send("lost")
    compare("lab-server", yard.run_until(20).lines)


def test_cold_server_sent_too_much_over_any_window_falls_and_stays_down() -> None:
    yard = ServerHarness()
    yard.run_until(1).servers[0].start()
    for step in range(12):  # twice what it can do, in a second, is 1.0 and more of work
        yard.run_until(1.01 + step * 0.09).send(f"{step}", work=110_000)
    compare("lab-fall", yard.run_until(9).lines + yard.observer.overloads)


def test_group_shares_a_limit_and_a_dead_server_leaves_its_places_to_the_others() -> None:
    yard = ServerHarness(3, limit=2)
    for at in range(3):
        yard.send(f"server {at}", at)
    yard.run_until(0.05).servers[0].kill()
    compare("lab-limit", yard.run_until(1).lines)


def test_jam_lasts_until_the_server_is_nearly_idle() -> None:
    time, lines = VirtualTimeline(), []
    build = ServerParameters(1, 10, 1, 1.0, 1.0, 1, 9.0, 1, 3.0, 0.5, False)
    server = Server(time, ScriptedObserver(), build, 0, 0, 0)
    for name in "abcde":
        server.receive(
            Job(0, 0, 1, 100_000, lambda outcome, name=name: lines.append(f"{time.now / 1e6:.3f}  {name}"))
        )
    time.run(2_000_000)
    compare("lab-jam", lines)


def test_same_seed_gives_the_same_run_and_another_one_another() -> None:
    plan = with_fault("vanish", for_s=4)
    runs = [VirtualWorld(plan, seed, "pumicepath", 1000).run() for seed in (3, 3, 4)]
    assert runs[0] == runs[1] and runs[0].columns != runs[2].columns
    compare("lab-run", runs[0].log[:40] + [summary_line(plan, "pumicepath", 3)])


def test_pairs_of_policies_meet_the_same_submissions() -> None:
    plan = with_fault("pause", for_s=4)
    offered = [VirtualWorld(plan, 5, policy).run().columns["offered"] for policy in POLICIES]
    assert all(one == offered[0] for one in offered)


@pytest.mark.parametrize("kind", sorted(name for name, one in KINDS.items() if not one.needs_processes))
def test_each_trouble_does_what_it_says(kind: str) -> None:
    """A balancer without breakers shows it, or, for those that concern the list alone, what it is told."""
    base = SMALL_PLAN
    if KINDS[kind].needs_peers:
        base = SMALL_PLAN.model_copy(update={"sidecars": Sidecars(count=6, peers=True, peers_every_s=0.2)})
    plan = with_fault(kind, base, hall=1)
    world = VirtualWorld(plan, 1, "random")
    met, calm = world.run(), VirtualWorld(base, 1, "random").run()
    shown = [
        f"{name}: {summary_line(given, 'random')}; at server 4 {[row[4] for row in result.hops_at_servers]}"
        + (f"; views wrong {result.wrong_views}" if result.wrong_views else "")
        for name, given, result in (("calm", base, calm), ("met ", plan, met))
    ]
    shown += [mark.text for mark in world.marks]
    told = [
        f"server {server}: known to be off since {since / 1e6:.3f}"
        for server, since in sorted(world.registry.subscriptions[0].notified_at.items())
    ]
    assert calm.events != met.events
    compare(f"lab-trouble-{kind}", shown + told)


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
        (bad.Silent, "fail-quickly", None),
        (bad.Twice, "pause", "answered_twice"),
        (bad.After, "pause", "sent_after_answer"),
        (bad.Repeats, "fail-quickly", "ran_twice"),
        (bad.Promises, "fail-quickly", "deferred_may_run"),
        (bad.Deaf, "drain", "late_sends"),
        (bad.Rush, "die", "pushed_over"),
    ],
)
def test_judge_catches_a_balancer_that_breaks_the_rule(maker: type, kind: str, cause: str | None) -> None:
    plan = with_fault(kind, SMALL_PLAN.model_copy(update={"load": ALL_EFFECTS_LOAD}))
    found = VirtualWorld(plan, 1, maker).run()
    if cause is None:  # the host itself has the last word when patience ends
        assert found.columns["forfeited"][3] > 0
    else:
        assert found.violations[cause] > 0, found.violations
    well = VirtualWorld(plan, 1, "pumicepath").run()
    assert not any(well.violations.values()), well.first_violations


@pytest.mark.parametrize("after, cause", [(None, "unanswered"), (100_000, "answered_late")])
def test_judge_catches_a_sidecar_without_a_last_word_or_with_a_late_one(
    after: int | None, cause: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Some balancers leave the last word to their host; here the host fails them."""
    last_word = Sidecar.deadline_passed

    def late(self: Sidecar, name: int, one: OpenSubmission) -> None:
        if after is not None:
            self.world.timeline.at(self.world.timeline.now + after, last_word, self, name, one)

    monkeypatch.setattr(Sidecar, "deadline_passed", late)
    if after is not None:  # its client waits on, or nobody would see the late one
        monkeypatch.setattr(Clients, "give_up", lambda *_: None)
    plan = with_fault("fail-quickly", SMALL_PLAN.model_copy(update={"load": ALL_EFFECTS_LOAD}))
    found = VirtualWorld(plan, 1, bad.Silent).run()
    assert found.violations[cause] > 0, found.violations


def test_sidecar_killed_with_submissions_open_loses_none_of_them() -> None:
    plan = with_fault("sidecars-restarted", value=1.0)
    result = VirtualWorld(plan, 1).run()
    assert result.final_answers["cut"] > 0 and not any(result.violations.values()), (
        result.final_answers,
        result.violations,
    )


def test_a_thousand_sidecars_leave_nothing_behind() -> None:
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
        len(one.open_submissions) + len(one.latest_names) for one in world.instances
    ]
    assert sum(held) == 0
