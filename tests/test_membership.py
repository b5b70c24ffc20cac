"""Membership alone, in virtual time: real decisions and datagrams on the model's links."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec
import pytest

from pumicepath.fleet import messages, settings
from pumicepath.fleet.member_table import MemberTable
from pumicepath.fleet.membership import RECENT_INTERVALS, Membership
from pumicepath.fleet.messages import (
    ALIVE,
    DEAD,
    LEFT,
    SUSPECTED,
    Ping,
    Record,
    Updates,
    decode_message,
    encode_message,
)
from pumicepath.lab.model.links import Impairment, Links
from pumicepath.lab.model.timeline import SECOND, VirtualTimeline
from pumicepath.lab.virtual.peers import VirtualFleet, address

from .helpers import check_trace


def make_fleet(count: int, seed: int = 1, **more: int) -> VirtualFleet:
    timeline = VirtualTimeline()
    made = VirtualFleet(timeline, Links(timeline, seed, 300), seed, count, **more)
    for number in range(count):
        made.start(number)
    return made


def run_until_correct(peering: VirtualFleet, limit_s: float = 60.0) -> float:
    """Seconds until all views are right; fails past the limit."""
    began, step = peering.timeline.now, 100_000
    while peering.sidecars_with_wrong_view():
        assert peering.timeline.now - began < limit_s * SECOND, peering.sidecars_with_wrong_view()
        peering.timeline.run(peering.timeline.now + step)  # type: ignore[attr-defined]
    return (peering.timeline.now - began) / SECOND


def run(peering: VirtualFleet, seconds: float) -> None:
    peering.timeline.run(peering.timeline.now + round(seconds * SECOND))  # type: ignore[attr-defined]


def pause_nodes(peering: VirtualFleet, numbers: Iterable[int], seconds: float) -> None:
    hit = list(numbers)
    for number in hit:
        peering.stop(number)
    run(peering, seconds)
    for number in hit:
        peering.resume(number)


def settle(peering: VirtualFleet, what: str) -> str:
    took = run_until_correct(peering)
    counts = " ".join(f"{name.replace(' ', '_')} {count}" for name, count in sorted(peering.counts.items()))
    peering.counts.clear()
    return f"{what:<34} views right after {took:5.1f} s  {counts}"


def test_views_come_right_after_each_trouble() -> None:
    peering = make_fleet(20)
    links, lines = peering.links, [settle(peering, "all begin at once")]
    run(peering, 10)
    peering.kill(7)
    lines.append(settle(peering, "one is killed"))
    peering.start(7)
    lines.append(settle(peering, "and comes back"))
    peering.kill(8)
    run(peering, 0.01)
    peering.start(8)
    lines.append(settle(peering, "one is back within 10 ms"))
    pause_nodes(peering, (2, 9), 3)
    lines.append(settle(peering, "two were stopped for 3 s"))
    pause_nodes(peering, range(20), 30)
    lines.append(settle(peering, "all were stopped for 30 s"))
    heal = links.cut(range(10), range(10, 20))
    run(peering, 60)
    assert len(peering.sidecars_with_wrong_view()) == 20
    heal()
    lines.append(settle(peering, "halves were apart for a minute"))
    heal = links.cut([3], [each for each in range(20) if each != 3], both_ways=False)
    run(peering, 20)
    heal()
    lines.append(settle(peering, "nobody heard one of them for 20 s"))
    heal = links.cut([each for each in range(20) if each != 3], [3], both_ways=False)
    run(peering, 20)
    heal()
    lines.append(settle(peering, "one heard nobody for 20 s"))
    heal = links.impair(range(20), Impairment(0.2, 0.1, 0.1, 1000, 200_000, 20_000))
    run(peering, 20)
    heal()
    lines.append(settle(peering, "bad links for 20 s"))
    for number in range(14):
        peering.kill(number)
    run(peering, 0.1)
    for number in range(14):
        peering.start(number)
    lines.append(settle(peering, "seven in ten restarted at once"))
    for number in range(20):
        peering.kill(number)
        peering.start(number)
    lines.append(settle(peering, "all restarted in the same moment"))
    check_trace("membership", lines)


def test_seeds_that_are_dead_or_come_up_later() -> None:
    timeline = VirtualTimeline()
    peering = VirtualFleet(timeline, Links(timeline, 1, 300), 1, 6)
    for number in (5, 4, 3):  # the seeds are 0, 1 and 2
        peering.start(number)
    run(peering, 20)
    assert len(peering.sidecars_with_wrong_view()) == 3
    peering.start(2)
    assert run_until_correct(peering) < 15


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_a_fifth_of_its_messages_lost_is_no_death(seed: int) -> None:
    peering = make_fleet(30, seed)
    run_until_correct(peering)
    peering.links.impair([4], Impairment(loss=0.2))
    run(peering, 300)
    assert peering.counts["false deaths"] == 0 and peering.counts["suspected"] > 0
    assert run_until_correct(peering) < 30


def test_cost_at_rest_does_not_grow_with_the_fleet() -> None:
    rates = []
    for count in (10, 100):
        peering = make_fleet(count)
        run_until_correct(peering)
        run(peering, 20)
        links = peering.links
        links.sent.clear()
        links.bytes.clear()
        run(peering, 20)
        rates.append((max(links.sent.values()) / 20, links.bytes.total() / count / 20))
    assert rates[1][0] < 4 and rates[1][1] < 1.3 * rates[0][1] < 300, rates


class RecordingCallbacks:
    """An outlet for one membership alone."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.sent: list[tuple[str, messages.AnyMessage]] = []

    def send_message(self, address: str, message: messages.AnyMessage) -> None:
        self.sent.append((address, message))

    def peer_changed(self, record: Record, by: str) -> None:
        self.lines.append(
            f"{record.name}/{record.instance_id} {messages.STATES[record.state]} by {by or 'itself'}"
        )

    def duplicate_name(self, record: Record) -> None:
        self.lines.append(f"{record.name} is also at {record.address}")


def make_membership(**more: object) -> tuple[Membership, RecordingCallbacks, Record]:
    noted = RecordingCallbacks()
    me = Record("n0", 1000, "127.0.0.1:1000", "a")
    given = settings.PeerSettings("127.0.0.1:1000", **more)  # type: ignore[arg-type]
    return Membership(me, given, 7, noted, SECOND), noted, me


def receive(one: Membership, now: float, sender: Record, *news: Record, source: str = "") -> None:
    at = round(now * SECOND)
    if one.next_timer() < at:
        one.expected_timer_at = at  # the clock was read meanwhile; nothing was due for these tests
    one.receive(at, source or sender.address, Updates(sender, 1, list(news)))


def test_order_of_what_is_told_of_one_life() -> None:
    roll = MemberTable(10, random.Random(1))
    base = Record("n1", 5, "127.0.0.1:5", "a", 3, ALIVE)
    lines = []
    for state in (ALIVE, SUSPECTED, DEAD, LEFT):
        for other in (ALIVE, SUSPECTED, DEAD, LEFT):
            held = MemberTable(10, random.Random(1)).add(msgspec.structs.replace(base, state=state), 0, "")
            assert held is not None
            wins = [
                roll.supersedes(held, msgspec.structs.replace(base, state=other, incarnation=incarnation))
                for incarnation in (2, 3, 4)
            ]
            told = " ".join(f"{at}: {'yes' if win else 'no ':<3}" for at, win in zip((2, 3, 4), wins))
            lines.append(f"{messages.STATES[state]:<9} 3, told {messages.STATES[other]:<9} of {told}")
    check_trace("membership-order", [line.rstrip() for line in lines])


def test_what_liars_and_restarts_do_to_one_sidecar() -> None:
    one, noted, me = make_membership(most=6)
    peer = Record("n1", 11, "127.0.0.1:11", "a")
    receive(one, 1.0, peer)
    receive(one, 1.1, Record("n1", 12, "127.0.0.1:11", "a"))  # another process at its address
    receive(one, 1.2, Record("n2", 13, "127.0.0.1:13", "a"), Record("n0", 1000, "x", "a", 7, DEAD))
    noted.lines.append(f"said to be dead: incarnation {one.own_record.incarnation}")
    receive(one, 1.3, peer, Record("n0", 1000, "x", "a", 1 << 31, SUSPECTED))
    noted.lines.append(
        f"past the bound: another life {one.own_record.instance_id != 1000}, {one.own_record.incarnation}"
    )
    born = one.own_record.instance_id
    receive(one, 1.4, peer, Record("n0", born, "x", "a", 0, LEFT))
    noted.lines.append(f"and again within a second: another life {one.own_record.instance_id != born}")
    receive(one, 1.5, Record("n0", 77, "127.0.0.1:77", "a"))  # a second process of this name
    for step in range(8):
        receive(one, 1.6, peer, Record(f"ghost{step}", 100 + step, f"127.0.0.1:{100 + step}", "a"))
    noted.lines.append(
        f"held {len(one.member_table.members)} of at most 6, refused {one.member_table.refused}"
    )
    one.expected_timer_at = now = round((1.6 + RECENT_INTERVALS + 1) * SECOND)
    one.on_timer(now)
    one.expected_timer_at = now = now + 2 * SECOND
    one.on_timer(now)
    check_trace("membership-lies", noted.lines)


def test_what_was_stopped_suspects_itself_and_nobody_else() -> None:
    peering = make_fleet(10)
    run_until_correct(peering)
    peering.stop(4)
    run(peering, 30)
    peering.counts.clear()
    peering.resume(4)
    membership = peering.nodes[4].membership
    assert membership is not None and membership.local_health_score > 0
    assert not [seen for seen in membership.members(0) if seen.state in (SUSPECTED, DEAD)]
    run_until_correct(peering)


def test_bounds_of_the_size_of_the_fleet() -> None:
    peering = make_fleet(10)
    run_until_correct(peering)
    run(peering, RECENT_INTERVALS)
    node = peering.nodes[0]
    assert node.membership is not None
    assert node.membership.fleet_size_bounds(node.clock()) == (10, 10, 10)
    peering.kill(9)
    run_until_correct(peering)
    least, likely, most = node.membership.fleet_size_bounds(node.clock())
    assert (least, likely, most) == (9, 9, 10), "a dead one may be cut off and at work"


def test_datagrams_that_are_no_messages_are_none() -> None:
    me = Record("n0", 1, "127.0.0.1:1", "a")
    data = encode_message(Ping(me, 5, 7, 0, [me]), 0)
    assert decode_message(data, 0) == Ping(me, 5, 7, 0, [me]) and len(data) < 200
    for spoilt in (b"", data[:4], data[:-1], data + b"x", data[:9] + b"\xff" + data[10:], bytes(64_000)):
        with pytest.raises(messages.MalformedMessageError):
            decode_message(spoilt, 0)
    with pytest.raises(messages.MalformedMessageError):
        decode_message(data, messages.fleet_checksum_seed("another fleet"))
    with pytest.raises(messages.VersionMismatchError):
        decode_message(bytes((2,)) + data[1:], 0)
    chance = random.Random(3)
    for _ in range(2000):
        spoilt = bytes(chance.randrange(256) for _ in range(chance.randrange(60)))
        seal = messages.crc32(spoilt, 0).to_bytes(4, "big")
        with pytest.raises(messages.MalformedMessageError):
            decode_message(b"\x01" + seal + spoilt, 0)


@pytest.mark.parametrize(
    "told, key",
    (
        ([], "peers is no object"),
        ({}, "peers.listen is missing"),
        ({"listen": "somewhere:1"}, "peers.listen"),
        ({"listen": "127.0.0.1:0", "seeds": ["127.0.0.1"]}, "peers.seeds[0]"),
        ({"listen": "127.0.0.1:0", "seeds": ["127.0.0.1:0"]}, "peers.seeds[0]"),
        ({"listen": "0.0.0.0:1"}, "peers.advertise"),
        ({"listen": "127.0.0.1:0", "every": 1}, "peers.every"),
        ({"listen": "127.0.0.1:0", "everyS": "soon"}, "peers.everyS"),
        ({"listen": "127.0.0.1:0", "timeoutS": 0.6}, "peers.timeoutS"),
        ({"listen": "127.0.0.1:0", "most": 1.5}, "peers.most"),
        ({"listen": "127.0.0.1:0", "fleet": "x" * 65}, "peers.fleet"),
        ({"listen": "127.0.0.1:0", "leaseS": 5}, "peers.leaseS: there are no voters"),
        ({"listen": "127.0.0.1:0", "voters": [address(1), address(2)]}, "peers.voters"),
        ({"listen": "127.0.0.1:0", "voters": [address(1)] * 3}, "peers.voters"),
        ({"listen": "127.0.0.1:0", "voters": [address(1)], "votersBefore": ["x"]}, "peers.votersBefore[0]"),
        ({"listen": "127.0.0.1:0", "voters": [address(1)], "leaseS": 0.1}, "peers.leaseS"),
        ({"listen": "127.0.0.1:0", "voters": [address(1)], "leaseS": 5, "longestS": 4}, "peers.longestS"),
        ({"listen": "127.0.0.1:0", "voters": [address(1)], "drift": 0.2}, "peers.drift"),
        ({"listen": "127.0.0.1:0", "voters": [address(1)], "trials": 1}, "peers.trials"),
    ),
)
def test_settings_that_cant_be_meant_are_named(told: object, key: str) -> None:
    with pytest.raises(ValueError) as caught:
        settings.decode(told, {})
    assert key in str(caught.value)


def test_the_environment_goes_before_the_file() -> None:
    made = settings.decode(
        {"listen": "127.0.0.1:1"},
        {"GW_PEERS_LISTEN": "127.0.0.1:2", "GW_PEERS_SEEDS": f"{address(1)}, {address(2)}"},
    )
    assert made == settings.PeerSettings("127.0.0.1:2", (address(1), address(2)))


def test_who_votes_is_taken_as_the_file_changes_and_the_rest_is_not() -> None:
    told = {"listen": "127.0.0.1:1", "voters": [address(1)], "leaseS": 2, "longestS": 4, "trials": True}
    made = settings.decode(told, {})
    assert made.voting == settings.Voting(((address(1),),), 2 * SECOND, 4 * SECOND, 0.01, True)
    other = settings.decode({**told, "votersBefore": [address(2)]}, {})
    assert other.voting is not None and other.voting.voter_sets == ((address(1),), (address(2),))
    assert made != other and made.without_voting() == other.without_voting()
