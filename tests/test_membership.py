"""Membership in virtual time: the real protocol and datagrams on simulated links."""

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
    """A fleet whose sidecars have all been started."""
    timeline = VirtualTimeline()
    peering = VirtualFleet(timeline, Links(timeline, seed, 300), seed, count, **more)
    for number in range(count):
        peering.start(number)
    return peering


def run_until_correct(peering: VirtualFleet, limit_s: float = 60.0) -> float:
    """Run until all views are correct; return the seconds, fail past the limit."""
    began, step = peering.timeline.now, 100_000
    while peering.sidecars_with_wrong_view():
        assert peering.timeline.now - began < limit_s * SECOND, peering.sidecars_with_wrong_view()
        peering.timeline.run(peering.timeline.now + step)  # type: ignore[attr-defined]
    return (peering.timeline.now - began) / SECOND


def run(peering: VirtualFleet, seconds: float) -> None:
    peering.timeline.run(peering.timeline.now + round(seconds * SECOND))  # type: ignore[attr-defined]


def pause_nodes(peering: VirtualFleet, numbers: Iterable[int], seconds: float) -> None:
    paused = list(numbers)
    for number in paused:
        peering.stop(number)
    run(peering, seconds)
    for number in paused:
        peering.resume(number)


def settle(peering: VirtualFleet, what: str) -> str:
    """Run until all views are correct; return a line with the time and the counts of state changes."""
    elapsed = run_until_correct(peering)
    counts = " ".join(f"{name.replace(' ', '_')} {count}" for name, count in sorted(peering.counts.items()))
    peering.counts.clear()
    return f"{what:<34} views right after {elapsed:5.1f} s  {counts}"


def test_views_become_correct_after_each_fault() -> None:
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


def test_joining_while_seeds_are_down() -> None:
    timeline = VirtualTimeline()
    peering = VirtualFleet(timeline, Links(timeline, 1, 300), 1, 6)
    for number in (5, 4, 3):  # the seeds are 0, 1 and 2
        peering.start(number)
    run(peering, 20)
    assert len(peering.sidecars_with_wrong_view()) == 3
    peering.start(2)
    assert run_until_correct(peering) < 15


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_a_sidecar_that_loses_a_fifth_of_its_messages_is_not_declared_dead(seed: int) -> None:
    peering = make_fleet(30, seed)
    run_until_correct(peering)
    peering.links.impair([4], Impairment(loss=0.2))
    run(peering, 300)
    assert peering.counts["false deaths"] == 0 and peering.counts["suspected"] > 0
    assert run_until_correct(peering) < 30


def test_idle_traffic_does_not_grow_with_the_fleet() -> None:
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
    """Callbacks of a single membership: records changes as lines, and sent messages."""

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
    callbacks = RecordingCallbacks()
    own_record = Record("n0", 1000, "127.0.0.1:1000", "a")
    peer_settings = settings.PeerSettings("127.0.0.1:1000", **more)  # type: ignore[arg-type]
    return Membership(own_record, peer_settings, 7, callbacks, SECOND), callbacks, own_record


def receive(membership: Membership, now: float, sender: Record, *updates: Record, source: str = "") -> None:
    at = round(now * SECOND)
    if membership.next_timer() < at:
        membership.expected_timer_at = at  # as if timers had run in time, so that no pause is detected
    membership.receive(at, source or sender.address, Updates(sender, 1, list(updates)))


def test_precedence_of_records_of_one_instance() -> None:
    table = MemberTable(10, random.Random(1))
    base = Record("n1", 5, "127.0.0.1:5", "a", 3, ALIVE)
    lines = []
    for state in (ALIVE, SUSPECTED, DEAD, LEFT):
        for other in (ALIVE, SUSPECTED, DEAD, LEFT):
            held = MemberTable(10, random.Random(1)).add(msgspec.structs.replace(base, state=state), 0, "")
            assert held is not None
            accepted = [
                table.supersedes(held, msgspec.structs.replace(base, state=other, incarnation=incarnation))
                for incarnation in (2, 3, 4)
            ]
            results = " ".join(
                f"{number}: {'yes' if each else 'no ':<3}" for number, each in zip((2, 3, 4), accepted)
            )
            lines.append(f"{messages.STATES[state]:<9} 3, told {messages.STATES[other]:<9} of {results}")
    check_trace("membership-order", [line.rstrip() for line in lines])


def test_false_records_and_restarts_seen_by_one_sidecar() -> None:
    membership, callbacks, _ = make_membership(max_peers=6)
    peer = Record("n1", 11, "127.0.0.1:11", "a")
    receive(membership, 1.0, peer)
    receive(membership, 1.1, Record("n1", 12, "127.0.0.1:11", "a"))  # another process at its address
    receive(membership, 1.2, Record("n2", 13, "127.0.0.1:13", "a"), Record("n0", 1000, "x", "a", 7, DEAD))
    callbacks.lines.append(f"said to be dead: incarnation {membership.own_record.incarnation}")
    receive(membership, 1.3, peer, Record("n0", 1000, "x", "a", 1 << 31, SUSPECTED))
    callbacks.lines.append(
        f"past the bound: another life {membership.own_record.instance_id != 1000}, "
        f"{membership.own_record.incarnation}"
    )
    instance_id = membership.own_record.instance_id
    receive(membership, 1.4, peer, Record("n0", instance_id, "x", "a", 0, LEFT))
    callbacks.lines.append(
        f"and again within a second: another life {membership.own_record.instance_id != instance_id}"
    )
    receive(membership, 1.5, Record("n0", 77, "127.0.0.1:77", "a"))  # a second process of this name
    for step in range(8):
        receive(membership, 1.6, peer, Record(f"ghost{step}", 100 + step, f"127.0.0.1:{100 + step}", "a"))
    callbacks.lines.append(
        f"held {len(membership.member_table.members)} of at most 6, refused {membership.member_table.refused}"
    )
    membership.expected_timer_at = now = round((1.6 + RECENT_INTERVALS + 1) * SECOND)
    membership.on_timer(now)
    membership.expected_timer_at = now = now + 2 * SECOND
    membership.on_timer(now)
    check_trace("membership-lies", callbacks.lines)


def test_a_sidecar_that_was_stopped_suspects_no_peer_after_it_continues() -> None:
    peering = make_fleet(10)
    run_until_correct(peering)
    peering.stop(4)
    run(peering, 30)
    peering.counts.clear()
    peering.resume(4)
    membership = peering.nodes[4].membership
    assert membership is not None and membership.local_health_score > 0
    assert not [peer for peer in membership.members(0) if peer.state in (SUSPECTED, DEAD)]
    run_until_correct(peering)


def test_fleet_size_bounds() -> None:
    peering = make_fleet(10)
    run_until_correct(peering)
    run(peering, RECENT_INTERVALS)
    node = peering.nodes[0]
    assert node.membership is not None
    assert node.membership.fleet_size_bounds(node.clock()) == (10, 10, 10)
    peering.kill(9)
    run_until_correct(peering)
    minimum, likely, maximum = node.membership.fleet_size_bounds(node.clock())
    assert (minimum, likely, maximum) == (9, 9, 10), "a dead member may be partitioned and working"


def test_malformed_datagrams_are_rejected() -> None:
    sender = Record("n0", 1, "127.0.0.1:1", "a")
    data = encode_message(Ping(sender, 5, 7, 0, [sender]), 0)
    assert decode_message(data, 0) == Ping(sender, 5, 7, 0, [sender]) and len(data) < 200
    for malformed in (b"", data[:4], data[:-1], data + b"x", data[:9] + b"\xff" + data[10:], bytes(64_000)):
        with pytest.raises(messages.MalformedMessageError):
            decode_message(malformed, 0)
    with pytest.raises(messages.MalformedMessageError):
        decode_message(data, messages.fleet_checksum_seed("another fleet"))
    with pytest.raises(messages.VersionMismatchError):
        decode_message(bytes((2,)) + data[1:], 0)
    rng = random.Random(3)
    for _ in range(2000):
        malformed = bytes(rng.randrange(256) for _ in range(rng.randrange(60)))
        checksum = messages.crc32(malformed, 0).to_bytes(4, "big")
        with pytest.raises(messages.MalformedMessageError):
            decode_message(b"\x01" + checksum + malformed, 0)


@pytest.mark.parametrize(
    "raw, key",
    (
        ([], "peers must be an object"),
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
        ({"listen": "127.0.0.1:0", "leaseS": 5}, "peers.leaseS: needs peers.voters"),
        ({"listen": "127.0.0.1:0", "voters": [address(1), address(2)]}, "peers.voters"),
        ({"listen": "127.0.0.1:0", "voters": [address(1)] * 3}, "peers.voters"),
        ({"listen": "127.0.0.1:0", "voters": [address(1)], "votersBefore": ["x"]}, "peers.votersBefore[0]"),
        ({"listen": "127.0.0.1:0", "voters": [address(1)], "leaseS": 0.1}, "peers.leaseS"),
        ({"listen": "127.0.0.1:0", "voters": [address(1)], "leaseS": 5, "longestS": 4}, "peers.longestS"),
        ({"listen": "127.0.0.1:0", "voters": [address(1)], "drift": 0.2}, "peers.drift"),
        ({"listen": "127.0.0.1:0", "voters": [address(1)], "trials": 1}, "peers.trials"),
    ),
)
def test_errors_in_settings_name_the_key(raw: object, key: str) -> None:
    with pytest.raises(ValueError) as caught:
        settings.decode(raw, {})
    assert key in str(caught.value)


def test_the_environment_takes_precedence_over_the_file() -> None:
    decoded = settings.decode(
        {"listen": "127.0.0.1:1"},
        {"GW_PEERS_LISTEN": "127.0.0.1:2", "GW_PEERS_SEEDS": f"{address(1)}, {address(2)}"},
    )
    assert decoded == settings.PeerSettings("127.0.0.1:2", (address(1), address(2)))


def test_only_the_settings_of_voting_are_reloaded() -> None:
    raw = {"listen": "127.0.0.1:1", "voters": [address(1)], "leaseS": 2, "longestS": 4, "trials": True}
    decoded = settings.decode(raw, {})
    assert decoded.voting == settings.Voting(((address(1),),), 2 * SECOND, 4 * SECOND, 0.01, True)
    other = settings.decode({**raw, "votersBefore": [address(2)]}, {})
    assert other.voting is not None and other.voting.voter_sets == ((address(1),), (address(2),))
    assert decoded != other and decoded.without_voting() == other.without_voting()
