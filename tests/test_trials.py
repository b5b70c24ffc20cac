"""Shared trials of unhealthy servers: reports, breakers, fleets in virtual time, real processes."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path
from typing import Any

import pytest

from pumicepath.fleet.duties import INSTANCE_BITS, Claim, Duties, LeaseSettings
from pumicepath.fleet.leases import ClaimAnswer, ClaimResult
from pumicepath.fleet.messages import (
    MAX_DATAGRAM_BYTES,
    ClaimEntry,
    Claims,
    GrantEntry,
    Grants,
    MalformedMessageError,
    Record,
    TrialReport,
    TrialReports,
    batches,
    decode_message,
    encode_message,
)
from pumicepath.fleet.trials import MAX_POSTPONED_US, RETENTION_US, VERSION_MASK, Trials, fanout
from pumicepath.interface import Outcome
from pumicepath.lab.loopback.scripted import Deployment
from pumicepath.lab.model.servers import Job, Server
from pumicepath.lab.spec import FaultSpec, Fleet, Load, Plan, Sidecars
from pumicepath.lab.verification.checks import one_holder
from pumicepath.lab.virtual.run import VirtualWorld
from pumicepath.lab.virtual.sidecar import Sidecar

from .helpers import SECOND, ScriptedHost, check_trace, make_entry, make_settings
from .test_fleet import FORBIDDEN_RULES, TIMEOUT_S, RunningFleet, run_fleet


class TrialsHarness:
    """Trials and duties with one voter that grants everything or nothing; records what happens as lines."""

    def __init__(self, grants: bool = True) -> None:
        self.now = 0
        self.grants_all = grants
        self.lines: list[str] = []
        self.duties = Duties(1, LeaseSettings((("v",),), 10 * SECOND, 0.0), 1, self, 0)
        self.trials = Trials("a", self.duties, 1, self)
        self.claims: list[tuple[int, Claim]] = []

    def send_claims(self, voter: str, round_: int, claims: Any) -> None:
        self.claims += [(round_, claim) for claim in claims]

    def duty_changed(self, duty: str, number: int, why: str) -> None:
        self.note(f"{duty}: {'held' if number else why}")

    def postpone_trial(self, server: str, wait: int) -> None:
        self.note(f"{server} put off by {wait / SECOND:g} s" if wait else f"{server} to be tried now")

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now / SECOND:7.1f}  {text}")

    def advance_to(self, seconds: float) -> Trials:
        """Let time pass in steps of 0.1 s, with everything that a fleet node does."""
        while self.now < round(seconds * SECOND):
            self.now += SECOND // 10
            self.trials.check_duties(self.now, self.now // 1000)
            self.duties.set_wanted(self.now, self.trials.wanted_duties(self.now))
            self.duties.on_timer(self.now, self.now // 1000)
            claims, self.claims = self.claims, []
            for round_, claim in claims:
                if self.grants_all and not claim.release:
                    self.duties.receive_answer(
                        self.now,
                        "v",
                        round_,
                        claim.duty,
                        claim.number,
                        ClaimAnswer(ClaimResult.GRANTED, 0, claim.number),
                    )
            self.trials.check_duties(self.now, self.now // 1000)
            for report in self.trials.take_reports(self.now):
                self.note(
                    f"tells of {report.server}: version {report.version >> INSTANCE_BITS}, wait "
                    f"{report.wait / SECOND:.1f} s{'' if report.finished else ', has it in hand'}"
                )
        return self.trials

    def receive_report(
        self, seconds: float, version: int, wait_s: float, finished: bool = True, reporter: int = -1
    ) -> None:
        """Each report comes from a different instance, unless `reporter` names it."""
        instance = version % 1000 if reporter < 0 else reporter
        report = TrialReport("s", version << INSTANCE_BITS | instance, round(wait_s * SECOND), finished)
        self.advance_to(seconds).receive_report(self.now, report)


def test_the_holder_reports_and_releases_a_duty_without_a_result() -> None:
    harness = TrialsHarness()
    harness.advance_to(1).breaker_opened(harness.now, "s", 5 * SECOND, True)
    harness.advance_to(4)
    assert harness.trials.allowed_trials(harness.now)["s"] > harness.now
    harness.advance_to(7).trial_finished(harness.now, "s", True)
    harness.trials.breaker_opened(harness.now, "s", 10 * SECOND, True)
    harness.advance_to(18).trial_finished(harness.now, "s", False)
    harness.advance_to(20)
    assert not harness.duties.duties and not harness.trials.open_breakers, (
        "state is dropped when the breaker closes"
    )
    harness.trials.breaker_opened(harness.now, "s", 5 * SECOND, True)
    harness.advance_to(50)
    check_trace("trials-holder", harness.lines)


def test_reports_of_others_postpone_a_trial_within_bounds() -> None:
    harness = TrialsHarness(grants=False)
    harness.advance_to(1).breaker_opened(harness.now, "s", 5 * SECOND, True)
    harness.receive_report(2, 70, 8)
    harness.receive_report(2.1, 70, 8)  # a duplicate
    harness.receive_report(2.2, 69, 8)  # older
    harness.receive_report(3, 71, 8, False)  # announces a trial, and so postpones none
    harness.receive_report(5, 72, 59)  # above the longest wait
    harness.receive_report(6, 73, 9, reporter=72)  # from the same instance twice in a row
    harness.receive_report(30, 80, 0)  # a trial succeeded
    harness.receive_report(31, 90, 5)  # ignored, as its own trial is next
    harness.advance_to(32).breaker_opened(harness.now, "s", 5 * SECOND, True)
    harness.receive_report(33, 1 << 20, 5)
    harness.receive_report(90, (1 << 20) + 1, 5)
    harness.receive_report(2 * MAX_POSTPONED_US / SECOND + 33, (1 << 20) + 2, 5)  # ignored after two minutes
    harness.advance_to(160).breaker_opened(harness.now, "s", 5 * SECOND, True)
    harness.receive_report(250, (1 << 20) + 3, 5)
    harness.receive_report(330, (1 << 20) + 4, 5)
    harness.receive_report(
        4 * MAX_POSTPONED_US / SECOND + 161, (1 << 20) + 5, 5
    )  # after four, as its own trial failed again
    check_trace("trials-words", harness.lines)
    harness.advance_to(harness.now / SECOND + RETENTION_US / SECOND + 1)
    assert not harness.trials.open_breakers


def test_a_report_with_an_implausible_version_counts_for_a_limited_time() -> None:
    harness = TrialsHarness(grants=False)
    harness.advance_to(1).breaker_opened(harness.now, "s", 5 * SECOND, True)
    harness.receive_report(2, VERSION_MASK >> INSTANCE_BITS, 1)
    harness.advance_to(2.5)
    before = len(harness.lines)
    harness.receive_report(3, 5, 1)
    assert len(harness.lines) == before
    harness.advance_to(RETENTION_US / SECOND + 3).breaker_opened(harness.now, "s", 5 * SECOND, True)
    harness.receive_report(harness.now / SECOND + 1, 6, 1)
    assert "put off" in harness.lines[-1] or "put off" in harness.lines[-2]


def test_a_sidecar_that_sends_there_seldom_claims_nothing_but_reports_its_trials() -> None:
    harness = TrialsHarness()
    harness.advance_to(1).breaker_opened(harness.now, "s", 20 * SECOND, False)
    harness.advance_to(30).trial_finished(harness.now, "s", True)
    harness.trials.breaker_opened(harness.now, "s", 20 * SECOND, False)
    harness.advance_to(60).trial_finished(harness.now, "s", False)
    harness.advance_to(61)
    assert len(harness.lines) == 2 and all("tells of s" in line for line in harness.lines), harness.lines


def test_servers_with_too_long_names_have_no_duty() -> None:
    harness = TrialsHarness()
    name = "s" * 60
    harness.advance_to(1).breaker_opened(harness.now, name, 5 * SECOND, True)
    harness.advance_to(20)
    assert not harness.duties.duties and not harness.lines
    assert harness.trials.allowed_trials(harness.now)[name] > harness.now, (
        "no other sidecar has to be waited for"
    )


def test_messages_with_the_longest_names_fit_into_a_datagram() -> None:
    sender = Record("n" * 64, (1 << 63) - 1, "255.255.255.255:65535", "z" * 64, (1 << 32) - 1)
    names, high = ["é" * 32] * 100, (1 << 63) - 1
    for batch in batches(names, str, 30):
        claims = [ClaimEntry(name, high, True) for name in batch]
        grants = [GrantEntry(name, high, 4, (1 << 32) - 1, high) for name in batch]
        assert (
            len(encode_message(Claims(sender, high, (1 << 32) - 1, 60 * SECOND, [high] * 2, claims), 0))
            <= MAX_DATAGRAM_BYTES
        )
        assert len(encode_message(Grants(sender, high, (1 << 32) - 1, grants), 0)) <= MAX_DATAGRAM_BYTES
    for batch in batches(names, str, 24):
        reports = [TrialReport(name, high, 60 * SECOND, False) for name in batch]
        assert len(encode_message(TrialReports(sender, high, reports), 0)) <= MAX_DATAGRAM_BYTES
    with pytest.raises(MalformedMessageError):
        decode_message(
            encode_message(Grants(sender, 0, 1, [GrantEntry("d", 1, max(ClaimResult) + 1, 0, 1)]), 0), 0
        )
    assert decode_message(
        encode_message(Grants(sender, 0, 1, [GrantEntry("d", 1, max(ClaimResult), 0, 1)]), 0), 0
    )
    assert [fanout(count) for count in (1, 10, 100, 1000)] == [2, 4, 7, 9]


class Companions:
    def __init__(self) -> None:
        self.allowed = False
        self.events: list[str] = []

    def may_try(self, name: str) -> bool:
        return self.allowed

    def breaker_opened(self, name: str, cooldown: int, often: bool) -> None:
        self.events.append(f"{name} opened for {cooldown / SECOND:g} s")

    def trial_finished(self, name: str, failed: bool) -> None:
        self.events.append(f"{name} {'failed' if failed else 'served'}")


def open_breaker(companions: Companions | None) -> tuple[ScriptedHost, int]:
    """A balancer with three servers, one of which failed until its breaker opened at about 1 s."""
    bench = ScriptedHost(make_settings(), [make_entry(1), make_entry(2), make_entry(3)])
    bench.balancer.peer_trials = companions
    bench.run_submissions(0, 8, 1, Outcome.ERROR)
    found = [line for line in bench.lines if "open for" in line]
    assert len(found) == 1
    return bench, int(found[0].split("server ")[1].split()[0])


def count_hops(bench: ScriptedHost, server: int, first: float, seconds: float, interval: float = 0.25) -> int:
    """Number of hops to a failing server in that time, from submissions whose keys prefer it."""
    before = len(bench.sent_to)
    step = 0
    while step * interval < seconds:
        submission = bench.advance_to(first + step * interval).submit(round(first * 1000) + step, 1)
        if bench.sent_to[-1] == server:
            bench.advance_to(first + step * interval + 0.01).finish_hop(submission, Outcome.ERROR)
        while not submission.is_finished():
            bench.finish_hop(submission, Outcome.OK)
        step += 1
    return bench.sent_to[before:].count(server)


def test_a_breaker_waits_for_its_turn_and_tries_by_itself_after_a_cooldown_without_reports() -> None:
    companions = Companions()
    bench, server = open_breaker(companions)
    cooldown = bench.balancer.cooldowns[bench.balancer.index_by_id[server]] / SECOND
    assert companions.events == [f"{server} opened for {cooldown:g} s"]
    assert count_hops(bench, server, 2, 2 * cooldown - 2) == 0, "not its turn"
    assert count_hops(bench, server, 2 * cooldown + 1, 3) == 1, "no reports: by itself"
    assert (
        companions.events[1:] == [f"{server} failed", companions.events[2]]
        and "opened" in companions.events[2]
    )

    bench, server = open_breaker(companions)
    companions.allowed = True
    assert count_hops(bench, server, 2, cooldown + 2) == 1, "its turn"

    bench, server = open_breaker(None)
    assert count_hops(bench, server, 2, cooldown + 2) == 1, "without shared trials"


def test_a_sidecar_that_sends_seldom_does_not_wait_for_its_turn() -> None:
    """At 1,000 sidecars the holders had nothing to send there, and no other sidecar was allowed to try."""
    companions = Companions()
    bench, server = open_breaker(companions)
    count_hops(bench, server, 20, 400, 5.0)
    at = bench.balancer.index_by_id[server]
    since, cooldown = bench.balancer.breaker_since[at] / SECOND, bench.balancer.cooldowns[at] / SECOND
    assert (
        not bench.balancer.sends_often() and cooldown > 15 and bench.now / SECOND < since + 2 * cooldown - 15
    )
    assert count_hops(bench, server, max(bench.now / SECOND, since + cooldown) + 0.5, 12, 5.0) == 1


def test_reports_postpone_a_trial_or_bring_it_forward_and_close_no_breaker() -> None:
    companions = Companions()
    companions.allowed = True
    bench, server = open_breaker(companions)
    bench.balancer.postpone_trial(bench.now, server, 20 * SECOND)
    assert count_hops(bench, server, 2, 18) == 0
    bench.balancer.postpone_trial(bench.now, server, SECOND)
    assert count_hops(bench, server, 21, 3) == 1, (
        "a shorter wait does not shorten a longer one; then the trial is made"
    )
    companions.allowed = False
    bench.balancer.postpone_trial(bench.now, server, 0)
    assert bench.balancer.breaker_states[bench.balancer.index_by_id[server]] == 1, "still open"
    assert count_hops(bench, server, 24.1, 2) == 1, "tried at once, whoever's turn it is"
    other = next(each for each in (1, 2, 3) if each != server)
    for wait in (0, 30 * SECOND):
        bench.balancer.postpone_trial(bench.now, other, wait)
        bench.balancer.postpone_trial(bench.now, 99, wait)
    assert bench.balancer.breaker_states[bench.balancer.index_by_id[other]] == 0, "reports open no breaker"


@pytest.mark.parametrize("seed", (1, 2))
def test_shared_trials_send_far_fewer_hops_to_an_unhealthy_server(seed: int) -> None:
    """In virtual time, with and without sharing: failed trials by the log, rules kept, service not worse."""
    found = []
    for trials in (False, True):
        plan = Plan(
            lasts_s=60,
            fleet=Fleet(servers=12, halls=2, work_ms=20),
            load=Load(part=0.3),
            sidecars=Sidecars(count=30, peers=True, trials=trials),
            troubles=(FaultSpec(kind="fail-quickly", at_s=10, for_s=30, count=2, value=1.0),),
        )
        world = VirtualWorld(plan, seed, trace_lines=100_000)
        result = world.run()
        failed = sum("trial failed" in line for line in world.log)
        assert not any(result.violations[rule] for rule in FORBIDDEN_RULES)
        assert result.open_breakers[-1] == [0.0] * 12, "all breakers closed again"
        found.append((failed, result.service))
    (alone, before), (together, after) = found
    assert 0 < together < alone / 3, found
    assert after > before - 0.01, found


PLAN = Plan(
    lasts_s=3600,
    warm_s=0,
    fleet=Fleet(servers=6, halls=1, work_ms=5),
    load=Load(rate=150),
    sidecars=Sidecars(count=6, peers=True, peers_every_s=0.2, trials=True, lease_s=1.0),
)


class HolderMonitor:
    """Polls all sidecars for the duties that they hold, and records them as history lines for the check."""

    def __init__(self, fleet: RunningFleet) -> None:
        self.fleet = fleet
        self.lines: list[dict[str, Any]] = []
        self.latest_holder: dict[str, tuple[int, str]] = {}
        self.over = False

    async def __aenter__(self) -> HolderMonitor:
        self.polls = [asyncio.ensure_future(self.poll(each.number)) for each in self.fleet.sidecars]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.over = True  # not by cancellation, which wait_for may swallow
        await asyncio.gather(*self.polls)

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    async def poll(self, number: int) -> None:
        sidecar = self.fleet.sidecars[number]
        while not self.over:
            asked_at = self.now()
            view = await sidecar.query_admin("/peers", TIMEOUT_S) if sidecar.up else None
            for held in view.get("holds", []) if view is not None else []:
                duty, fence, instance_id = held["duty"], int(held["number"], 16), view["born"]  # type: ignore[index]
                self.lines.append(
                    {
                        "at": self.now(),
                        "what": "acted",
                        "duty": duty,
                        "holder": instance_id,
                        "fence": fence,
                        "accepted": True,
                        "asked": asked_at,
                    }
                )
                self.latest_holder[duty] = (fence, sidecar.name)
            await asyncio.sleep(0.02)

    async def wait_for_holder(self, duty: str, above: int, but: str = "") -> str:
        """Wait until a sidecar other than `but` holds the duty under a higher number; return its name."""
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            fence, name = self.latest_holder.get(duty, (0, ""))
            if fence > above and name != but:
                return name
            await asyncio.sleep(0.02)
        raise AssertionError((duty, above, but, self.latest_holder))

    def violations(self) -> list[str]:
        return one_holder.check(self.lines)


def test_trials_have_one_holder_through_kills_stops_partitions_and_shutdown(tmp_path: Path) -> None:
    async def work(fleet: RunningFleet) -> None:
        world, links = fleet.world, fleet.world.links
        assert links is not None
        await fleet.wait_until_correct("all have started")
        async with HolderMonitor(fleet) as monitor:
            await faults(world, links, fleet, monitor)
        assert not monitor.violations(), monitor.violations()[:3]

    async def faults(world: Any, links: Any, fleet: RunningFleet, monitor: HolderMonitor) -> None:
        every = {each.number for each in fleet.sidecars}
        for server in (0, 1, 2):
            world.servers[server].failure_fraction = 1.0
        duties = [f"trial hall-0 s-{server}" for server in (0, 1, 2)]
        for duty in duties:
            await monitor.wait_for_holder(duty, 0)

        def current(duty: str) -> tuple[int, Any]:
            fence, name = monitor.latest_holder[duty]
            return fence, next(each for each in fleet.sidecars if each.name == name)

        fence, one = current(duties[0])
        one.stop()
        await monitor.wait_for_holder(duties[0], fence, one.name)
        one.resume()
        fence, one = current(duties[1])
        heal = links.cut({one.number}, every - {one.number})
        await monitor.wait_for_holder(duties[1], fence, one.name)
        heal()
        fence, one = current(duties[2])
        one.kill()
        await monitor.wait_for_holder(duties[2], fence, one.name)
        one.start()
        await fleet.wait_until_started()
        fence, one = current(duties[0])
        assert not await one.resign_duty("no duty of its")
        while not await one.resign_duty(duties[0]):  # it may have released it by itself just now
            await monitor.wait_for_holder(duties[0], fence)
            fence, one = current(duties[0])
        await monitor.wait_for_holder(duties[0], fence)
        fence, one = current(duties[1])
        one.terminate()
        await monitor.wait_for_holder(duties[1], fence, one.name)
        fence, one = current(duties[2])
        one.replace()  # two processes with one name; the new one inherits no duty
        await monitor.wait_for_holder(duties[2], fence)
        for server in (0, 1, 2):
            world.servers[server].failure_fraction = 0.0

    world = run_fleet(tmp_path, work, PLAN)
    assert [world.rule_checker.violations[rule] for rule in FORBIDDEN_RULES] == [0] * len(FORBIDDEN_RULES), (
        world.rule_checker.first_violations
    )


def test_a_holder_cut_off_from_servers_but_not_from_voters_keeps_none_from_the_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It still renews its leases, and its trials fail by its own fault; for the others the servers work."""
    came, cut_off = Server.receive, set[int]()

    def failing(self: Server, job: Job) -> bool:
        self.failure_fraction = 1.0 if self.number < 3 and (not cut_off or job.sender in cut_off) else 0.0
        return came(self, job)

    monkeypatch.setattr(Server, "receive", failing)
    unhealthy = {"s-0", "s-1", "s-2"}

    async def work(fleet: RunningFleet) -> None:
        await fleet.wait_until_correct("all have started")
        async with HolderMonitor(fleet) as monitor:
            for name in sorted(unhealthy):
                await monitor.wait_for_holder(f"trial hall-0 {name}", 0)
            holder = next(
                each for each in fleet.sidecars if each.name == monitor.latest_holder["trial hall-0 s-0"][1]
            )
            cut_off.add(holder.number)
            began = time.monotonic()
            await fleet.wait_until(
                lambda _: (
                    not any(each.open_breakers & unhealthy for each in fleet.sidecars if each is not holder)
                ),
                "in use by all others",
            )
            assert time.monotonic() - began < MAX_POSTPONED_US / SECOND, (
                "sooner than the longest postponement"
            )
            assert holder.open_breakers & unhealthy, "it sees them fail itself"
            cut_off.add(-1)
            cut_off.discard(holder.number)
            await fleet.wait_until(lambda _: not holder.open_breakers & unhealthy, "the connection is back")
        assert not monitor.violations(), monitor.violations()[:3]

    run_fleet(tmp_path, work, PLAN)


def test_no_duty_is_granted_while_restarted_voters_may_have_granted_it_before(tmp_path: Path) -> None:
    """All voters restart. Fencing numbers tell when duties were claimed; all clocks are one machine's."""
    lease_s = 3.0
    plan = PLAN.model_copy(update={"sidecars": PLAN.sidecars.model_copy(update={"lease_s": lease_s})})

    async def work(fleet: RunningFleet) -> None:
        await fleet.wait_until_correct("all have started")
        for server in (0, 1, 2):
            fleet.world.servers[server].failure_fraction = 1.0
        duties = [f"trial hall-0 s-{server}" for server in (0, 1, 2)]
        async with HolderMonitor(fleet) as monitor:
            for duty in duties:
                await monitor.wait_for_holder(duty, 0)
            for number in (0, 1, 2):
                fleet.sidecars[number].kill()
            killed_ms = time.time_ns() // 1_000_000
            for number in (0, 1, 2):
                fleet.sidecars[number].start()
            await fleet.wait_until_started()
            for duty in duties:
                await monitor.wait_for_holder(duty, (killed_ms + 1) << INSTANCE_BITS)
        claimed = sorted({line["fence"] >> INSTANCE_BITS for line in monitor.lines})
        early = [ms - killed_ms for ms in claimed if 50 < ms - killed_ms < lease_s * 500]
        assert not early, (early, killed_ms)
        assert not monitor.violations(), monitor.violations()[:3]

    run_fleet(tmp_path, work, plan)


def test_voters_are_reloaded_and_other_peer_settings_need_a_restart(tmp_path: Path) -> None:
    peers: dict[str, Any] = {"listen": "127.0.0.1:0", "everyS": 0.2}
    around = Deployment(tmp_path, 1, admin_addr="127.0.0.1:0", peers=peers)

    def load(**changed: object) -> dict[str, Any]:
        around.config_path.write_text(json.dumps({**around.configuration, "peers": {**peers, **changed}}))
        around.process.send_signal(signal.SIGHUP)
        waiting = around.next_event("reloaded")["needs_restart"]
        response = around.call_admin("GET", "/peers")
        assert response is not None
        return {"waiting": waiting, **json.loads(response.body)}

    with around.running():
        own = json.loads(around.call_admin("GET", "/peers").body)["address"]  # type: ignore[union-attr]
        view = load(voters=[own], leaseS=1, longestS=40, trials=True)
        assert view["waiting"] == [] and view["fit"] and view["holds"] == view["granted"] == []
        assert 30 < view["silent_s"] < 41, "a new voter does not know what was granted before"
        view = load(voters=["127.0.0.1:1"], votersBefore=[own], leaseS=1, longestS=40)
        assert 0 < view["silent_s"] < 41, "still a voter"
        view = load(voters=["127.0.0.1:1"], leaseS=1)
        assert "granted" not in view and view["holds"] == []
        assert "holds" not in load()
        assert load(everyS=0.3)["waiting"] == ["peers"]
        around.config_path.write_text(
            json.dumps({**around.configuration, "peers": {**peers, "voters": ["nobody"]}})
        )
        around.process.send_signal(signal.SIGHUP)
        assert "peers.voters[0]" in around.next_event("reload_failed")["text"]
        refused = around.call_admin("PUT", "/peers/duties/trial%20a%20s-0/resign")
        assert refused is not None and refused.status == 404


def test_an_unhealthy_sidecar_keeps_no_server_from_the_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """All hops of one sidecar fail, those of the others until 25 s: its reports keep no breaker open."""
    came = Server.receive

    def failing(self: Server, job: Job) -> bool:
        self.failure_fraction = (
            1.0 if job.sender == 0 or self.number < 6 and self.timeline.now < 25 * SECOND else 0.0
        )
        return came(self, job)

    monkeypatch.setattr(Server, "receive", failing)
    plan = Plan(
        lasts_s=55,
        fleet=Fleet(servers=12, halls=1, work_ms=20),
        load=Load(part=0.3),
        sidecars=Sidecars(count=8, peers=True, trials=True),
    )
    world = VirtualWorld(plan, 1, trace_lines=100_000)
    world.run()
    opened = [
        (one.number, at)
        for one in world.instances[1:]
        if isinstance(one, Sidecar)
        for at, state in enumerate(one.balancer.breaker_states)
        if state
    ]
    assert not opened
