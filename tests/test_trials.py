"""Trials of sick servers by one sidecar at a time: words, breakers, virtual fleets, real processes."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path
from typing import Any

import pytest

from pumicepath.fleet.duties import OWN_BITS, Claim, Duties, Given
from pumicepath.fleet.leases import Answer
from pumicepath.fleet.leases import Verdict as Said
from pumicepath.fleet.messages import (
    LONGEST,
    Claimed,
    Claims,
    Granted,
    Grants,
    Noise,
    Record,
    Tried,
    Verdict,
    batches,
    packed,
    unpacked,
)
from pumicepath.fleet.trials import HIGHEST, KEPT, OWN_EYES, Trials, audience
from pumicepath.interface import Outcome
from pumicepath.lab.faults.checks import one_holder
from pumicepath.lab.loopback.scripted import Deployment
from pumicepath.lab.model.servers import Job, Server
from pumicepath.lab.spec import FaultSpec, Fleet, Load, Plan, Sidecars
from pumicepath.lab.virtual.run import VirtualWorld
from pumicepath.lab.virtual.sidecar import Sidecar

from .helpers import SECOND, Bench, compare, entry, settings
from .test_fleet import LONGEST_S, NEVER, Stage, played


class Fellow:
    """Trials with duties whose one voter grants all, or nothing, and a note of what comes of it."""

    def __init__(self, grants: bool = True) -> None:
        self.now = 0
        self.grants = grants
        self.lines: list[str] = []
        self.duties = Duties(1, Given((("v",),), 10 * SECOND, 0.0), 1, self, 0)
        self.trials = Trials("a", self.duties, 1, self)
        self.claims: list[tuple[int, Claim]] = []

    def claim(self, voter: str, round_: int, claims: Any) -> None:
        self.claims += [(round_, one) for one in claims]

    def holds(self, duty: str, number: int, why: str) -> None:
        self.note(f"{duty}: {'held' if number else why}")

    def put_off(self, server: str, wait: int) -> None:
        self.note(f"{server} put off by {wait / SECOND:g} s" if wait else f"{server} to be tried now")

    def note(self, text: str) -> None:
        self.lines.append(f"{self.now / SECOND:7.1f}  {text}")

    def at(self, seconds: float) -> Trials:
        while self.now < round(seconds * SECOND):
            self.now += SECOND // 10
            self.trials.looked(self.now, self.now // 1000)
            self.duties.want(self.now, self.trials.wanted(self.now))
            self.duties.woke(self.now, self.now // 1000)
            claims, self.claims = self.claims, []
            for round_, one in claims:
                if self.grants and not one.release:
                    self.duties.answered(
                        self.now, "v", round_, one.duty, one.number, Answer(Said.GRANTED, 0, one.number)
                    )
            self.trials.looked(self.now, self.now // 1000)
            for verdict in self.trials.told_on(self.now):
                self.note(
                    f"tells of {verdict.server}: version {verdict.version >> OWN_BITS}, wait "
                    f"{verdict.wait / SECOND:.1f} s{'' if verdict.tried else ', has it in hand'}"
                )
        return self.trials

    def heard(self, seconds: float, version: int, wait_s: float, tried: bool = True, by: int = -1) -> None:
        """Each word from another life, unless it is named."""
        own = version % 1000 if by < 0 else by
        word = Verdict("s", version << OWN_BITS | own, round(wait_s * SECOND), tried)
        self.at(seconds).heard(self.now, word)


def test_the_holder_tells_and_gives_up_what_it_cant_find_out() -> None:
    one = Fellow()
    one.at(1).opened(one.now, "s", 5 * SECOND, True)
    one.at(4)
    assert one.trials.turns(one.now)["s"] > one.now
    one.at(7).tried(one.now, "s", True)
    one.trials.opened(one.now, "s", 10 * SECOND, True)
    one.at(18).tried(one.now, "s", False)
    one.at(20)
    assert not one.duties.duties and not one.trials.open, "what is kept ends with the open breaker"
    one.trials.opened(one.now, "s", 5 * SECOND, True)
    one.at(50)
    compare("trials-holder", one.lines)


def test_words_of_others_put_a_trial_off_within_bounds() -> None:
    one = Fellow(grants=False)
    one.at(1).opened(one.now, "s", 5 * SECOND, True)
    one.heard(2, 70, 8)
    one.heard(2.1, 70, 8)  # the same once more
    one.heard(2.2, 69, 8)  # older
    one.heard(3, 71, 8, False)  # no verdict, and so puts off no trial
    one.heard(5, 72, 59)  # longer than may be asked for
    one.heard(6, 73, 9, by=72)  # from the same life twice in a row
    one.heard(30, 80, 0)  # it serves
    one.heard(31, 90, 5)  # so its own trial is next, whatever is said
    one.at(32).opened(one.now, "s", 5 * SECOND, True)
    one.heard(33, 1 << 20, 5)
    one.heard(90, (1 << 20) + 1, 5)
    one.heard(2 * OWN_EYES / SECOND + 33, (1 << 20) + 2, 5)  # two minutes by others' eyes alone
    one.at(160).opened(one.now, "s", 5 * SECOND, True)
    one.heard(250, (1 << 20) + 3, 5)
    one.heard(330, (1 << 20) + 4, 5)
    one.heard(4 * OWN_EYES / SECOND + 161, (1 << 20) + 5, 5)  # four, as its own trial failed again
    compare("trials-words", one.lines)
    one.at(one.now / SECOND + KEPT / SECOND + 1)
    assert not one.trials.open


def test_a_number_too_high_to_be_true_counts_for_a_while_only() -> None:
    one = Fellow(grants=False)
    one.at(1).opened(one.now, "s", 5 * SECOND, True)
    one.heard(2, HIGHEST >> OWN_BITS, 1)
    one.at(2.5)
    before = len(one.lines)
    one.heard(3, 5, 1)
    assert len(one.lines) == before
    one.at(KEPT / SECOND + 3).opened(one.now, "s", 5 * SECOND, True)
    one.heard(one.now / SECOND + 1, 6, 1)
    assert "put off" in one.lines[-1] or "put off" in one.lines[-2]


def test_who_sends_there_seldom_claims_nothing_and_tells_all_the_same() -> None:
    one = Fellow()
    one.at(1).opened(one.now, "s", 20 * SECOND, False)
    one.at(30).tried(one.now, "s", True)
    one.trials.opened(one.now, "s", 20 * SECOND, False)
    one.at(60).tried(one.now, "s", False)
    one.at(61)
    assert len(one.lines) == 2 and all("tells of s" in line for line in one.lines), one.lines


def test_servers_with_names_too_long_are_nobodys_duty() -> None:
    one = Fellow()
    name = "s" * 60
    one.at(1).opened(one.now, name, 5 * SECOND, True)
    one.at(20)
    assert not one.duties.duties and not one.lines
    assert one.trials.turns(one.now)[name] > one.now, "nobody need be waited for"


def test_messages_of_duties_with_the_longest_names_fit_into_a_datagram() -> None:
    sender = Record("n" * 64, (1 << 63) - 1, "255.255.255.255:65535", "z" * 64, (1 << 32) - 1)
    names, high = ["é" * 32] * 100, (1 << 63) - 1
    for batch in batches(names, str, 30):
        claims = [Claimed(name, high, True) for name in batch]
        grants = [Granted(name, high, 4, (1 << 32) - 1, high) for name in batch]
        assert len(packed(Claims(sender, high, (1 << 32) - 1, 60 * SECOND, [high] * 2, claims), 0)) <= LONGEST
        assert len(packed(Grants(sender, high, (1 << 32) - 1, grants), 0)) <= LONGEST
    for batch in batches(names, str, 24):
        told = [Verdict(name, high, 60 * SECOND, False) for name in batch]
        assert len(packed(Tried(sender, high, told), 0)) <= LONGEST
    with pytest.raises(Noise):
        unpacked(packed(Grants(sender, 0, 1, [Granted("d", 1, max(Said) + 1, 0, 1)]), 0), 0)
    assert unpacked(packed(Grants(sender, 0, 1, [Granted("d", 1, max(Said), 0, 1)]), 0), 0)
    assert [audience(count) for count in (1, 10, 100, 1000)] == [2, 4, 7, 9]


class Companions:
    def __init__(self) -> None:
        self.mine = False
        self.said: list[str] = []

    def turn(self, name: str) -> bool:
        return self.mine

    def opened(self, name: str, cooldown: int, often: bool) -> None:
        self.said.append(f"{name} opened for {cooldown / SECOND:g} s")

    def tried(self, name: str, failed: bool) -> None:
        self.said.append(f"{name} {'failed' if failed else 'served'}")


def sick(companions: Companions | None) -> tuple[Bench, int]:
    """One of three servers has failed until its breaker opened, at about 1 s."""
    bench = Bench(settings(), [entry(1), entry(2), entry(3)])
    bench.balancer.companions = companions
    bench.quick(0, 8, 1, Outcome.ERROR)
    found = [line for line in bench.lines if "open for" in line]
    assert len(found) == 1
    return bench, int(found[0].split("server ")[1].split()[0])


def hops(bench: Bench, server: int, first: float, seconds: float, every: float = 0.25) -> int:
    """How often a server that fails is tried in that time, by keys that go there first."""
    before = len(bench.sent)
    step = 0
    while step * every < seconds:
        one = bench.at(first + step * every).take(round(first * 1000) + step, 1)
        if bench.sent[-1] == server:
            bench.at(first + step * every + 0.01).end(one, Outcome.ERROR)
        while not one.over():
            bench.end(one, Outcome.OK)
        step += 1
    return bench.sent[before:].count(server)


def test_a_breaker_waits_for_its_turn_and_tries_alone_after_a_cooldown_without_word() -> None:
    companions = Companions()
    bench, server = sick(companions)
    cooldown = bench.balancer.cooldown[bench.balancer.index[server]] / SECOND
    assert companions.said == [f"{server} opened for {cooldown:g} s"]
    assert hops(bench, server, 2, 2 * cooldown - 2) == 0, "not its turn"
    assert hops(bench, server, 2 * cooldown + 1, 3) == 1, "nobody said anything: alone"
    assert companions.said[1:] == [f"{server} failed", companions.said[2]] and "opened" in companions.said[2]

    bench, server = sick(companions)
    companions.mine = True
    assert hops(bench, server, 2, cooldown + 2) == 1, "its turn"

    bench, server = sick(None)
    assert hops(bench, server, 2, cooldown + 2) == 1, "by itself, without others"


def test_who_sends_seldom_waits_for_no_turn() -> None:
    """Found at 1,000 sidecars: those whose turn it was had nothing to send there, and nobody else might."""
    companions = Companions()
    bench, server = sick(companions)
    hops(bench, server, 20, 400, 5.0)
    at = bench.balancer.index[server]
    since, cooldown = bench.balancer.since[at] / SECOND, bench.balancer.cooldown[at] / SECOND
    assert not bench.balancer.often() and cooldown > 15 and bench.now / SECOND < since + 2 * cooldown - 15
    assert hops(bench, server, max(bench.now / SECOND, since + cooldown) + 0.5, 12, 5.0) == 1


def test_words_on_a_breaker_put_its_trial_off_or_bring_it_forward_and_close_nothing() -> None:
    companions = Companions()
    companions.mine = True
    bench, server = sick(companions)
    bench.balancer.put_off(bench.now, server, 20 * SECOND)
    assert hops(bench, server, 2, 18) == 0
    bench.balancer.put_off(bench.now, server, SECOND)
    assert hops(bench, server, 21, 3) == 1, "a shorter word shortens nothing, and the trial comes"
    companions.mine = False
    bench.balancer.put_off(bench.now, server, 0)
    assert bench.balancer.state[bench.balancer.index[server]] == 1, "still open"
    assert hops(bench, server, 24.1, 2) == 1, "tried at once, whoever's turn it is"
    other = next(each for each in (1, 2, 3) if each != server)
    for wait in (0, 30 * SECOND):
        bench.balancer.put_off(bench.now, other, wait)
        bench.balancer.put_off(bench.now, 99, wait)
    assert bench.balancer.state[bench.balancer.index[other]] == 0, "nothing opens by words"


@pytest.mark.parametrize("seed", (1, 2))
def test_a_fleet_tries_a_sick_server_far_less_often_together(seed: int) -> None:
    """In virtual time: trials of both by the log, rules kept, and service no worse for it."""
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
        assert not any(result.violations[rule] for rule in NEVER)
        assert result.open_breakers[-1] == [0.0] * 12, "all serve again"
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


class Holding:
    """Who says that it holds a duty at the moment, asked again and again, as lines that the check reads."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.lines: list[dict[str, Any]] = []
        self.latest: dict[str, tuple[int, str]] = {}
        self.over = False

    async def __aenter__(self) -> Holding:
        self.following = [asyncio.ensure_future(self.follow(each.number)) for each in self.stage.sidecars]
        return self

    async def __aexit__(self, *_: object) -> None:
        self.over = True  # cancelled, they might not notice: wait_for may swallow that
        await asyncio.gather(*self.following)

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    async def follow(self, number: int) -> None:
        sidecar = self.stage.sidecars[number]
        while not self.over:
            asked = self.now()
            view = await sidecar.asked("/peers", LONGEST_S) if sidecar.up else None
            for held in view.get("holds", []) if view is not None else []:
                duty, fence, born = held["duty"], int(held["number"], 16), view["born"]  # type: ignore[index]
                self.lines.append(
                    {
                        "at": self.now(),
                        "what": "acted",
                        "duty": duty,
                        "holder": born,
                        "fence": fence,
                        "accepted": True,
                        "asked": asked,
                    }
                )
                self.latest[duty] = (fence, sidecar.name)
            await asyncio.sleep(0.02)

    async def holder(self, duty: str, above: int, but: str = "") -> str:
        """Who holds it under a higher number, once somebody does."""
        give_up = time.monotonic() + LONGEST_S
        while time.monotonic() < give_up:
            fence, name = self.latest.get(duty, (0, ""))
            if fence > above and name != but:
                return name
            await asyncio.sleep(0.02)
        raise AssertionError((duty, above, but, self.latest))

    def broken(self) -> list[str]:
        return one_holder.check(self.lines)


def test_trials_have_one_holder_through_kills_stops_cuts_and_the_end(tmp_path: Path) -> None:
    async def work(stage: Stage) -> None:
        world, links = stage.world, stage.world.links
        assert links is not None
        await stage.right("all have begun")
        async with Holding(stage) as holding:
            await faults(world, links, stage, holding)
        assert not holding.broken(), holding.broken()[:3]

    async def faults(world: Any, links: Any, stage: Stage, holding: Holding) -> None:
        every = {each.number for each in stage.sidecars}
        for server in (0, 1, 2):
            world.servers[server].failure_fraction = 1.0
        duties = [f"trial hall-0 s-{server}" for server in (0, 1, 2)]
        for duty in duties:
            await holding.holder(duty, 0)

        def current(duty: str) -> tuple[int, Any]:
            fence, name = holding.latest[duty]
            return fence, next(each for each in stage.sidecars if each.name == name)

        fence, one = current(duties[0])
        one.stop()
        await holding.holder(duties[0], fence, one.name)
        one.resume()
        fence, one = current(duties[1])
        heal = links.cut({one.number}, every - {one.number})
        await holding.holder(duties[1], fence, one.name)
        heal()
        fence, one = current(duties[2])
        one.kill()
        await holding.holder(duties[2], fence, one.name)
        one.start()
        await stage.started()
        fence, one = current(duties[0])
        assert not await one.resigned("no duty of its")
        while not await one.resigned(duties[0]):  # it may have given it up by itself just now
            await holding.holder(duties[0], fence)
            fence, one = current(duties[0])
        await holding.holder(duties[0], fence)
        fence, one = current(duties[1])
        one.terminate()
        await holding.holder(duties[1], fence, one.name)
        fence, one = current(duties[2])
        one.replace()  # two processes of one name; the new one inherits nothing
        await holding.holder(duties[2], fence)
        for server in (0, 1, 2):
            world.servers[server].failure_fraction = 0.0

    world = played(tmp_path, work, PLAN)
    assert [world.rule_checker.violations[rule] for rule in NEVER] == [0] * len(NEVER), (
        world.rule_checker.first_violations
    )


def test_a_holder_cut_off_from_servers_but_not_from_voters_keeps_none_from_the_others(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It renews as well as any, and its trials fail by its own fault; for the others the servers serve."""
    came, cut_off = Server.receive, set[int]()

    def failing(self: Server, job: Job) -> bool:
        self.failure_fraction = 1.0 if self.number < 3 and (not cut_off or job.sender in cut_off) else 0.0
        return came(self, job)

    monkeypatch.setattr(Server, "receive", failing)
    sick = {"s-0", "s-1", "s-2"}

    async def work(stage: Stage) -> None:
        await stage.right("all have begun")
        async with Holding(stage) as holding:
            for name in sorted(sick):
                await holding.holder(f"trial hall-0 {name}", 0)
            holder = next(
                each for each in stage.sidecars if each.name == holding.latest["trial hall-0 s-0"][1]
            )
            cut_off.add(holder.number)
            began = time.monotonic()
            await stage.until(
                lambda _: not any(each.refused & sick for each in stage.sidecars if each is not holder),
                "in use by all others",
            )
            assert time.monotonic() - began < OWN_EYES / SECOND, "not only once nobody is heeded any more"
            assert holder.refused & sick, "its own eyes see them fail"
            cut_off.add(-1)
            cut_off.discard(holder.number)
            await stage.until(lambda _: not holder.refused & sick, "the way is back")
        assert not holding.broken(), holding.broken()[:3]

    played(tmp_path, work, PLAN)


def test_nobody_gains_a_duty_while_voters_that_all_restarted_may_have_granted_it(tmp_path: Path) -> None:
    """By the numbers of what is held, which tell when it was claimed; all clocks are one machine's."""
    lease_s = 3.0
    plan = PLAN.model_copy(update={"sidecars": PLAN.sidecars.model_copy(update={"lease_s": lease_s})})

    async def work(stage: Stage) -> None:
        await stage.right("all have begun")
        for server in (0, 1, 2):
            stage.world.servers[server].failure_fraction = 1.0
        duties = [f"trial hall-0 s-{server}" for server in (0, 1, 2)]
        async with Holding(stage) as holding:
            for duty in duties:
                await holding.holder(duty, 0)
            for number in (0, 1, 2):
                stage.sidecars[number].kill()
            killed_ms = time.time_ns() // 1_000_000
            for number in (0, 1, 2):
                stage.sidecars[number].start()
            await stage.started()
            for duty in duties:
                await holding.holder(duty, (killed_ms + 1) << OWN_BITS)
        claimed = sorted({line["fence"] >> OWN_BITS for line in holding.lines})
        early = [ms - killed_ms for ms in claimed if 50 < ms - killed_ms < lease_s * 500]
        assert not early, (early, killed_ms)
        assert not holding.broken(), holding.broken()[:3]

    played(tmp_path, work, plan)


def test_voters_come_and_go_with_the_file_and_what_peers_are_stays(tmp_path: Path) -> None:
    peers: dict[str, Any] = {"listen": "127.0.0.1:0", "everyS": 0.2}
    around = Deployment(tmp_path, 1, admin_addr="127.0.0.1:0", peers=peers)

    def load(**changed: object) -> dict[str, Any]:
        around.config.write_text(json.dumps({**around.told, "peers": {**peers, **changed}}))
        around.process.send_signal(signal.SIGHUP)
        waiting = around.event("reloaded")["needs_restart"]
        view = around.call("GET", "/peers")
        assert view is not None
        return {"waiting": waiting, **json.loads(view.body)}

    with around.running():
        mine = json.loads(around.call("GET", "/peers").body)["address"]  # type: ignore[union-attr]
        told = load(voters=[mine], leaseS=1, longestS=40, trials=True)
        assert told["waiting"] == [] and told["fit"] and told["holds"] == told["granted"] == []
        assert 30 < told["silent_s"] < 41, "one that becomes a voter knows nothing of what was granted"
        told = load(voters=["127.0.0.1:1"], votersBefore=[mine], leaseS=1, longestS=40)
        assert 0 < told["silent_s"] < 41, "still a voter"
        told = load(voters=["127.0.0.1:1"], leaseS=1)
        assert "granted" not in told and told["holds"] == []
        assert "holds" not in load()
        assert load(everyS=0.3)["waiting"] == ["peers"]
        around.config.write_text(json.dumps({**around.told, "peers": {**peers, "voters": ["nobody"]}}))
        around.process.send_signal(signal.SIGHUP)
        assert "peers.voters[0]" in around.event("reload_failed")["text"]
        refused = around.call("PUT", "/peers/duties/trial%20a%20s-0/resign")
        assert refused is not None and refused.status == 404


def test_who_is_sick_itself_keeps_no_server_from_the_others(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against one observer: its hops all fail, and those of the others only until 25 s."""
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
        for at, state in enumerate(one.balancer.state)
        if state
    ]
    assert not opened
