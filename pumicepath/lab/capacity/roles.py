"""Each role at the target, with relays between discovery and sidecars: state, messages, bytes, CPU, memory.

`roles(capacity, target, assumed)` gives the rows of each role by the name of its table.
"""

from __future__ import annotations

from .ranking import changes_s
from .rows import MISSING, Row
from .slopes import Capacity, Figure, exact, reckoned
from .target import Assumed, Target

WATCH = "`discovery/watch.py`, `discovery/roster.py` by `services`; `distribution/homes.py`"
MEMBERS = "`fleet/membership.py`, a fleet for each zone; off by default"
RELAY = "`relay/loop.py`, `distribution/subscriptions.py`, `distribution/held.py`"
PACE = "`distribution/pace.py`"
MEASURED_LIST = 8 * 20_000 / 1_900  # servers in the lists of `relay_whole_bytes`, in the mean
SOURCE = "the regions' discoveries, given; `relay/upstreams.py` is all that calls them"


def line_bytes(capacity: Capacity, assumed: Assumed) -> Figure:
    """Of one server in a relay's list: the list that was measured is of 8 services among 1,900."""
    return capacity.at("relay_whole_bytes", assumed.followers).over(MEASURED_LIST)


def ratio(one: Figure | None, other: Figure | None) -> Figure | None:
    return one.over(other) if one is not None and other is not None else None


def of_calls(capacity: Capacity, target: Target, assumed: Assumed) -> list[Row]:
    usual, most = assumed.listed, assumed.listed_most
    made, pick = assumed.calls_each, "`logic.py`, `sidecar/dispatch.py`"
    spent = capacity.at("call_cpu_ms", usual), capacity.at("call_cpu_ms", most)
    added = capacity.maybe("added_p99_ms", usual), capacity.maybe("added_p99_ms", most)
    return [
        Row(
            "",
            "state: servers that it chooses from, usual",
            reckoned(usual),
            "servers",
            None,
            "8 services x 10.5",
            (),
            pick,
        ),
        Row(
            "",
            "state: with the largest service",
            reckoned(most),
            "servers",
            None,
            "8 x 10.5 + 2,500",
            (),
            pick,
        ),
        Row(
            "",
            "messages: calls in, and as many attempts out or more",
            reckoned(made),
            "a second",
            None,
            "3 million calls / 20,000",
            (),
            pick,
        ),
        Row(
            "",
            "CPU, usual",
            spent[0].times(made / 10),
            "% of a core",
            None,
            "150 x CPU of a call",
            ("call_cpu_ms",),
            pick,
        ),
        Row(
            "",
            "CPU, with the largest service",
            spent[1].times(made / 10),
            "% of a core",
            100.0,
            "150 x CPU of a call; one core, as one thread decides at a time",
            ("call_cpu_ms",),
            pick + "; O(servers) a decision",
        ),
        Row(
            "",
            "added for 99 in 100, usual",
            added[0],
            "ms",
            target.added_ms,
            "one call",
            ("added_p99_ms",),
            pick,
        ),
        Row(
            "",
            "added for 99 in 100 by a plain process in the way, in turns with it",
            capacity.maybe("passed_p99_ms", usual),
            "ms",
            None,
            "one that hands on bytes and does nothing else",
            ("passed_p99_ms",),
            "none",
        ),
        Row(
            "",
            "added for 99 in 100, with the largest service",
            added[1],
            "ms",
            target.added_ms,
            "one call",
            ("added_p99_ms",),
            pick + "; O(servers) a decision",
        ),
        Row(
            "",
            "CPU of one call, a floor of what is added, usual",
            spent[0],
            "ms",
            target.added_ms,
            "CPU of a call",
            ("call_cpu_ms",),
            pick,
        ),
        Row(
            "",
            "CPU of one call, with the largest service",
            spent[1],
            "ms",
            target.added_ms,
            "CPU of a call",
            ("call_cpu_ms",),
            pick + "; O(servers) a decision",
        ),
        Row(
            "",
            "CPU of calls 13 deep, usual",
            spent[0].times(reckoned(target.depth)),
            "ms",
            target.added_ms,
            "13 x CPU of a call, if 1.8 ms is for all of them",
            ("call_cpu_ms",),
            pick,
        ),
        Row(
            "",
            "calls 13 deep that meet one of the slowest in a hundred",
            reckoned(100 * (1 - 0.99**target.depth)),
            "%",
            None,
            "1 - 0.99^13",
            (),
            "none",
        ),
        Row(
            "",
            "memory after calls, usual",
            capacity.at("calling_mb", usual),
            "MB",
            None,
            "resident",
            ("calling_mb",),
            pick,
        ),
    ]


def of_lists(capacity: Capacity, target: Target, assumed: Assumed) -> list[Row]:
    usual, most, changed = assumed.listed, assumed.listed_most, changes_s(target, assumed)
    renewals = 1 / assumed.relayed_s
    answer = capacity.at("relay_renewed_bytes", assumed.followers).plus(
        reckoned((target.regions - 1) * assumed.region_bytes)
    )
    line = line_bytes(capacity, assumed)
    heard = changed * assumed.listed / target.servers
    at_peak = changed * assumed.peak * most / target.servers
    part = target.in_force_s / 100
    pairs = {}
    for side in ("real", "hollow"):
        small, large = (capacity.maybe(f"{side}_list_mb", size) for size in (100, 2000))
        pairs[side] = (
            capacity.maybe(f"{side}_told_us", usual),
            large.plus(small.times(-1)) if small is not None and large is not None else None,
        )
    each = answer.plus(reckoned(assumed.head_bytes)).times(renewals)
    return [
        Row("", "state: servers held, usual", reckoned(usual), "servers", None, "8 x 10.5", (), WATCH),
        Row(
            "",
            "messages: calls of its watch",
            reckoned(renewals + heard),
            "a second",
            None,
            "1 / 2.25 s, and changes that concern it",
            (),
            WATCH,
        ),
        Row(
            "",
            "bytes at rest, both ways",
            each,
            "bytes a second",
            target.bytes_s,
            "(a call and an answer with nothing new, 10 regions) / 2.25 s",
            ("relay_renewed_bytes",),
            WATCH,
        ),
        Row(
            "",
            "bytes, by hollow sidecars",
            capacity.maybe("hollow_bytes", target.servers),
            "bytes a second",
            target.bytes_s,
            "from runs with 0.7 changes a second, 5 services each",
            ("hollow_bytes",),
            WATCH,
        ),
        Row(
            "",
            "CPU of lists alone, by hollow sidecars",
            capacity.maybe("hollow_core", target.servers),
            "% of a core",
            target.core * 100,
            "from runs with 0.7 changes a second, 5 services each",
            ("hollow_core",),
            WATCH,
        ),
        Row(
            "",
            "memory of lists alone, by hollow sidecars",
            capacity.maybe("hollow_mb", target.servers),
            "MB",
            target.mb,
            "from the same runs",
            ("hollow_mb",),
            WATCH,
        ),
        Row(
            "",
            "a real one over a hollow one: CPU of a change, usual",
            ratio(pairs["real"][0], pairs["hollow"][0]),
            "times",
            None,
            "100 of each side by side",
            ("real_told_us", "hollow_told_us"),
            WATCH,
        ),
        Row(
            "",
            "a real one over a hollow one: memory for 1,900 servers more",
            ratio(pairs["real"][1], pairs["hollow"][1]),
            "times",
            None,
            "100 of each side by side",
            ("real_list_mb", "hollow_list_mb"),
            WATCH,
        ),
        Row(
            "",
            "bytes at ten times the changes, with the largest service",
            each.plus(line.plus(answer).times(reckoned(at_peak))),
            "bytes a second",
            target.bytes_s,
            "at rest, and 10 x changes x its part of the servers",
            ("relay_renewed_bytes",),
            WATCH,
        ),
        Row(
            "",
            "CPU without calls",
            capacity.at("followed_cpu_ms", usual).over(10.0),
            "% of a core",
            target.core * 100,
            "of a `serve` at rest that follows a relay",
            ("followed_cpu_ms",),
            WATCH,
        ),
        Row(
            "",
            "CPU at ten times the changes, with the largest service",
            capacity.at("followed_cpu_ms", most)
            .over(10.0)
            .plus(capacity.at("change_us", most).times(reckoned(at_peak / 1e4))),
            "% of a core",
            target.core * 100,
            "at rest, and 10 x changes x CPU of one among 2,584",
            ("followed_cpu_ms", "change_us"),
            WATCH,
        ),
        Row(
            "",
            "memory, usual",
            capacity.at("followed_mb", usual),
            "MB",
            target.mb,
            "a `serve` at rest that follows a relay",
            ("followed_mb",),
            WATCH,
        ),
        Row(
            "",
            "memory, with the largest service",
            capacity.at("followed_mb", most),
            "MB",
            target.mb,
            "a `serve` at rest that follows a relay",
            ("followed_mb",),
            WATCH,
        ),
        Row(
            "",
            "a whole list, usual, in 6 s",
            capacity.at("relay_whole_bytes", assumed.followers).over(1000),
            "kB",
            target.bytes_s * target.in_force_s / 1000,
            "bytes of 8 services; 6 s x 7 KB",
            ("relay_whole_bytes",),
            WATCH,
        ),
        Row(
            "",
            "a whole list, with the largest service, in 6 s",
            line.times(reckoned(most / 1000)),
            "kB",
            target.bytes_s * target.in_force_s / 1000,
            "2,584 x bytes of a line; 6 s x 7 KB",
            ("relay_whole_bytes",),
            WATCH,
        ),
        Row(
            "",
            "CPU of a first list, with the largest service, of 6 s",
            capacity.at("first_us", most).over(1e6 * part),
            "% of a core",
            target.core * 100,
            "CPU of reading it / 6 s",
            ("first_us",),
            WATCH,
        ),
    ]


def of_members(capacity: Capacity, target: Target, assumed: Assumed) -> list[Row]:
    zone, all_ = target.zone, target.servers
    return [
        Row("", "state: records, a zone", reckoned(zone), "sidecars", None, "20,000 / 34", (), MEMBERS),
        Row(
            "",
            "messages, a zone",
            capacity.at("peer_messages", zone),
            "a second",
            None,
            "at rest",
            ("peer_messages",),
            MEMBERS,
        ),
        Row(
            "",
            "bytes, a zone",
            capacity.at("peer_bytes", zone),
            "bytes a second",
            target.bytes_s,
            "at rest",
            ("peer_bytes",),
            MEMBERS,
        ),
        Row(
            "",
            "CPU, a zone",
            capacity.at("peer_cpu_us", zone).over(1e4),
            "% of a core",
            target.core * 100,
            "at rest, decisions alone",
            ("peer_cpu_us",),
            MEMBERS,
        ),
        Row(
            "",
            "memory, a zone",
            capacity.at("peer_kb", zone).over(1000),
            "MB",
            target.mb,
            "resident",
            ("peer_kb",),
            MEMBERS,
        ),
        Row(
            "",
            "memory, all in one fleet",
            capacity.at("peer_kb", all_).over(1000),
            "MB",
            target.mb,
            "resident",
            ("peer_kb",),
            MISSING + " beyond `most`, 4,096",
        ),
        Row(
            "",
            "a join, a zone, over 7 KB a second",
            capacity.at("join_kb", zone).times(1000 / target.bytes_s),
            "s",
            None,
            "kB sent / 7 KB a second",
            ("join_kb",),
            MEMBERS,
        ),
        Row(
            "",
            "a join, all in one fleet, over 7 KB a second",
            capacity.at("join_kb", all_).times(1000 / target.bytes_s),
            "s",
            None,
            "kB sent / 7 KB a second",
            ("join_kb",),
            MISSING + " beyond `most`, 4,096",
        ),
        Row(
            "",
            "views right after seven in ten restarted, a zone",
            capacity.at("restart_s", zone),
            "s",
            None,
            "virtual time",
            ("restart_s",),
            MEMBERS,
        ),
    ]


def of_duties(capacity: Capacity, target: Target, assumed: Assumed) -> list[Row]:
    voter = "`fleet/leases.py`, `fleet/duties.py`; three voters for each zone"
    return [
        Row(
            "",
            "state of a voter: grants",
            reckoned(200),
            "duties",
            None,
            "taken: 200 duties a zone",
            (),
            voter,
        ),
        Row(
            "",
            "messages from a voter, a zone",
            capacity.at("voter_messages", target.zone),
            "a second",
            None,
            "200 duties, leases of 10 s",
            ("voter_messages",),
            voter,
        ),
        Row(
            "",
            "bytes from a voter, a zone",
            capacity.at("voter_bytes", target.zone),
            "bytes a second",
            target.bytes_s,
            "200 duties, leases of 10 s",
            ("voter_bytes",),
            voter,
        ),
        Row(
            "",
            "CPU of a voter, a zone",
            capacity.at("voter_cpu_us", target.zone).over(1e4),
            "% of a core",
            target.core * 100,
            "200 duties, leases of 10 s, decisions alone",
            ("voter_cpu_us",),
            voter,
        ),
        Row(
            "",
            "memory of a voter for duties, a zone",
            capacity.at("voter_kb", target.zone).over(1000),
            "MB",
            target.mb,
            "200 duties; all that they take in a fleet, a third of it",
            ("voter_kb",),
            voter,
        ),
    ]


def of_control(capacity: Capacity, target: Target, assumed: Assumed) -> list[Row]:
    n, changed = assumed.followers, changes_s(target, assumed)

    def core(followers: float, times: float) -> Figure:
        return (
            capacity.at("relay_renewed_us", followers)
            .times(followers / assumed.relayed_s / 1e4)
            .plus(capacity.at("relay_change_us", followers).times(reckoned(changed * times / 1e4)))
        )

    spent = ("relay_renewed_us", "relay_change_us")
    answer = capacity.at("relay_renewed_bytes", n).plus(
        reckoned((target.regions - 1) * assumed.region_bytes + assumed.head_bytes)
    )
    return [
        Row(
            "",
            "machines: two relays in each region",
            reckoned(target.regions * assumed.relays),
            "machines",
            target.machines,
            "10 x 2",
            (),
            RELAY,
        ),
        Row(
            "",
            "state: servers held",
            reckoned(target.servers),
            "servers",
            None,
            "all of all regions",
            (),
            RELAY,
        ),
        Row(
            "",
            "followers, one of a pair down",
            reckoned(2 * n),
            "connections",
            4096,
            "20,000 / 10; `mostFollowers` by default",
            (),
            RELAY,
        ),
        Row(
            "",
            "messages: renewals",
            reckoned(n / assumed.relayed_s),
            "a second",
            None,
            "1,000 / 2.25 s",
            (),
            RELAY,
        ),
        Row(
            "",
            "bytes, both ways",
            answer.times(n / assumed.relayed_s / 1000),
            "kB a second",
            assumed.network / 1000,
            "renewals x (call and answer)",
            ("relay_renewed_bytes",),
            RELAY,
        ),
        Row("", "CPU", core(n, 1), "% of a core", 100.0, "renewals and changes; one thread", spent, RELAY),
        Row(
            "",
            "CPU, one of a pair down",
            core(2 * n, 1),
            "% of a core",
            100.0,
            "the same with 2,000 followers",
            spent,
            RELAY,
        ),
        Row(
            "",
            "CPU, one down and ten times the changes",
            core(2 * n, assumed.peak),
            "% of a core",
            100.0,
            "the same",
            spent,
            RELAY,
        ),
        Row(
            "",
            "memory, one of a pair down",
            capacity.at("relay_mb", 2 * n),
            "MB",
            assumed.machine_mb,
            "resident; a machine's 16 GB",
            ("relay_mb",),
            RELAY,
        ),
        Row(
            "",
            "CPU of all relays, by hollow sidecars",
            capacity.maybe("hollow_control_core", target.servers),
            "cores",
            target.machines,
            "from runs with 0.7 changes a second, 5 services each; a core each",
            ("hollow_control_core",),
            RELAY,
        ),
    ]


def of_discovery(capacity: Capacity, target: Target, assumed: Assumed) -> list[Row]:
    callers, own = target.regions * assumed.relays, changes_s(target, assumed) / target.regions
    told, renewed = capacity.at("told_us", 50), capacity.at("renewed_us", 50)
    return [
        Row(
            "",
            "callers of one",
            reckoned(callers),
            "relays",
            None,
            "20 relays, each calls all 10",
            (),
            SOURCE,
        ),
        Row(
            "",
            "messages: renewals and changes",
            reckoned(callers * (1 / assumed.relayed_s + own)),
            "a second",
            None,
            "20 x (1 / 2.25 s + changes / 10)",
            (),
            SOURCE,
        ),
        Row(
            "",
            "CPU of the least one",
            renewed.times(reckoned(callers / assumed.relayed_s / 1e4)).plus(
                told.times(reckoned(callers * own / 1e4))
            ),
            "% of a core",
            100.0,
            "as our stand-in takes it",
            ("renewed_us", "told_us"),
            SOURCE,
        ),
        Row(
            "",
            "CPU at ten times the changes",
            renewed.times(reckoned(callers / assumed.relayed_s / 1e4)).plus(
                told.times(reckoned(callers * own * assumed.peak / 1e4))
            ),
            "% of a core",
            100.0,
            "as our stand-in takes it",
            ("renewed_us", "told_us"),
            SOURCE,
        ),
        Row(
            "",
            "a region's whole list to all relays",
            line_bytes(capacity, assumed).times(reckoned(callers * target.servers / target.regions / 1e6)),
            "MB",
            None,
            "20 x 2,000 x bytes of a line",
            ("relay_whole_bytes",),
            SOURCE,
        ),
    ]


def of_change(capacity: Capacity, target: Target, assumed: Assumed) -> list[Row]:
    way = "`relay/upstreams.py`, `relay/loop.py`, `discovery/watch.py`"
    told = capacity.maybe("hollow_in_force_ms", target.servers)
    lag = capacity.maybe("hollow_lag_ms", target.servers)
    return [
        Row(
            "",
            "a change of servers' entries in force, p99",
            told.over(1000) if told is not None else None,
            "s",
            target.in_force_s,
            "hollow sidecars, real relays",
            ("hollow_in_force_ms",),
            way,
        ),
        Row(
            "",
            "in that run, how late the rig itself was at most",
            lag.over(1000) if lag is not None else None,
            "s",
            None,
            "its loops, of all processes",
            ("hollow_lag_ms",),
            "none",
        ),
        Row(
            "",
            "where a relay has just fallen silent",
            reckoned(assumed.silent_s + 0.5 + 2 * assumed.batch_s),
            "s",
            target.in_force_s,
            "3.4 s of silence, a pause of up to 0.5 s, two batches of 0.05 s",
            (),
            "`distribution/homes.py`",
        ),
        Row(
            "",
            "ways for a change of sidecars' own settings",
            exact(0.0),
            "",
            None,
            "each file is read again at SIGHUP; who brings it there is open",
            (),
            "`sidecar/running.py`, `reload`, one machine at a time; between: " + MISSING,
        ),
    ]


ROLES = {
    "data-path": of_calls,
    "lists": of_lists,
    "membership": of_members,
    "duties": of_duties,
    "control": of_control,
    "discovery": of_discovery,
    "change": of_change,
}
