"""Rows of each role at the target, with relays between discovery and sidecars.

They cover state, messages, bytes, CPU and memory.  ROLE_ROWS maps the name of a role's table to the function
that returns its rows.
"""

from __future__ import annotations

from .measurements import Capacity, Estimate, as_estimate, assumed_value
from .ranking import list_changes_per_s
from .rows import MISSING, Row
from .target import Assumptions, Target

WATCH_MECHANISM = (
    "`discovery/watch.py`, `discovery/server_list.py` by `services`; `distribution/relay_selector.py`"
)
MEMBERSHIP_MECHANISM = "`fleet/membership.py`, a fleet for each zone; off by default"
RELAY_MECHANISM = "`relay/loop.py`, `distribution/subscriptions.py`, `distribution/relay_store.py`"
RATE_LIMIT_MECHANISM = "`distribution/rate_limiter.py`"
MEASURED_LIST_SERVERS = 8 * 20_000 / 1_900  # mean servers in a list of `relay_whole_bytes`
DISCOVERY_MECHANISM = "the regions' discoveries, given; `relay/upstreams.py` is all that calls them"


def list_entry_bytes(capacity: Capacity, assumed: Assumptions) -> Estimate:
    """Bytes of one server in a relay's list; the measured list holds 8 of 1,900 services."""
    return capacity.at("relay_whole_bytes", assumed.followers_per_relay).divided_by(MEASURED_LIST_SERVERS)


def ratio_if_measured(one: Estimate | None, other: Estimate | None) -> Estimate | None:
    """The quotient of both, or None if one of them was not measured."""
    return one.divided_by(other) if one is not None and other is not None else None


def data_path_rows(capacity: Capacity, target: Target, assumed: Assumptions) -> list[Row]:
    """Rows of a sidecar's data path: decisions, calls and their CPU, latency and memory."""
    typical, largest = assumed.typical_listed_servers, assumed.max_listed_servers
    calls_per_s, mechanism = assumed.calls_per_sidecar_s, "`balancer.py`, `sidecar/dispatch.py`"
    call_cpu_ms = capacity.at("call_cpu_ms", typical), capacity.at("call_cpu_ms", largest)
    added_ms = (
        capacity.at_if_measured("added_p99_ms", typical),
        capacity.at_if_measured("added_p99_ms", largest),
    )
    return [
        Row(
            "",
            "state: servers that it chooses from, usual",
            assumed_value(typical),
            "servers",
            None,
            "8 services x 10.5",
            (),
            mechanism,
        ),
        Row(
            "",
            "state: with the largest service",
            assumed_value(largest),
            "servers",
            None,
            "8 x 10.5 + 2,500",
            (),
            mechanism,
        ),
        Row(
            "",
            "messages: calls in, and as many attempts out or more",
            assumed_value(calls_per_s),
            "a second",
            None,
            "3 million calls / 20,000",
            (),
            mechanism,
        ),
        Row(
            "",
            "CPU, usual",
            call_cpu_ms[0].times(calls_per_s / 10),
            "% of a core",
            None,
            "150 x CPU of a call",
            ("call_cpu_ms",),
            mechanism,
        ),
        Row(
            "",
            "CPU, with the largest service",
            call_cpu_ms[1].times(calls_per_s / 10),
            "% of a core",
            100.0,
            "150 x CPU of a call; one core, as one thread decides at a time",
            ("call_cpu_ms",),
            mechanism + "; O(servers) a decision",
        ),
        Row(
            "",
            "added for 99 in 100, usual",
            added_ms[0],
            "ms",
            target.max_added_latency_ms,
            "one call",
            ("added_p99_ms",),
            mechanism,
        ),
        Row(
            "",
            "added for 99 in 100 by a plain process in the way, in turns with it",
            capacity.at_if_measured("passed_p99_ms", typical),
            "ms",
            None,
            "one that hands on bytes and does nothing else",
            ("passed_p99_ms",),
            "none",
        ),
        Row(
            "",
            "added for 99 in 100, with the largest service",
            added_ms[1],
            "ms",
            target.max_added_latency_ms,
            "one call",
            ("added_p99_ms",),
            mechanism + "; O(servers) a decision",
        ),
        Row(
            "",
            "CPU of one call, a floor of what is added, usual",
            call_cpu_ms[0],
            "ms",
            target.max_added_latency_ms,
            "CPU of a call",
            ("call_cpu_ms",),
            mechanism,
        ),
        Row(
            "",
            "CPU of one call, with the largest service",
            call_cpu_ms[1],
            "ms",
            target.max_added_latency_ms,
            "CPU of a call",
            ("call_cpu_ms",),
            mechanism + "; O(servers) a decision",
        ),
        Row(
            "",
            "CPU of calls 13 deep, usual",
            call_cpu_ms[0].times(assumed_value(target.call_depth)),
            "ms",
            target.max_added_latency_ms,
            "13 x CPU of a call, if 1.8 ms is for all of them",
            ("call_cpu_ms",),
            mechanism,
        ),
        Row(
            "",
            "calls 13 deep that meet one of the slowest in a hundred",
            assumed_value(100 * (1 - 0.99**target.call_depth)),
            "%",
            None,
            "1 - 0.99^13",
            (),
            "none",
        ),
        Row(
            "",
            "memory after calls, usual",
            capacity.at("calling_mb", typical),
            "MB",
            None,
            "resident",
            ("calling_mb",),
            mechanism,
        ),
    ]


def list_rows(capacity: Capacity, target: Target, assumed: Assumptions) -> list[Row]:
    """Rows of a sidecar's server lists as relays deliver them."""
    typical, largest, changes_per_s = (
        assumed.typical_listed_servers,
        assumed.max_listed_servers,
        list_changes_per_s(target, assumed),
    )
    renewals_per_s = 1 / assumed.relay_renewal_interval_s
    renewal_bytes = capacity.at("relay_renewed_bytes", assumed.followers_per_relay).plus(
        assumed_value((target.regions - 1) * assumed.region_bytes)
    )
    entry_bytes = list_entry_bytes(capacity, assumed)
    notified_per_s = changes_per_s * assumed.typical_listed_servers / target.servers
    peak_notified_per_s = changes_per_s * assumed.peak_factor * largest / target.servers
    percent_of_budget_s = target.max_propagation_s / 100
    comparisons = {}
    for side in ("real", "hollow"):
        small, large = (capacity.at_if_measured(f"{side}_list_mb", size) for size in (100, 2000))
        comparisons[side] = (
            capacity.at_if_measured(f"{side}_told_us", typical),
            large.plus(small.times(-1)) if small is not None and large is not None else None,
        )
    idle_bytes_per_s = renewal_bytes.plus(assumed_value(assumed.request_bytes)).times(renewals_per_s)
    return [
        Row(
            "",
            "state: servers held, usual",
            assumed_value(typical),
            "servers",
            None,
            "8 x 10.5",
            (),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "messages: calls of its watch",
            assumed_value(renewals_per_s + notified_per_s),
            "a second",
            None,
            "1 / 2.25 s, and changes that concern it",
            (),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "bytes at rest, both ways",
            idle_bytes_per_s,
            "bytes a second",
            target.max_bytes_per_s,
            "(a call and an answer with nothing new, 10 regions) / 2.25 s",
            ("relay_renewed_bytes",),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "bytes, by hollow sidecars",
            capacity.at_if_measured("hollow_bytes", target.servers),
            "bytes a second",
            target.max_bytes_per_s,
            "from runs with 0.7 changes a second, 5 services each",
            ("hollow_bytes",),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "CPU of lists alone, by hollow sidecars",
            capacity.at_if_measured("hollow_core", target.servers),
            "% of a core",
            target.max_core_fraction * 100,
            "from runs with 0.7 changes a second, 5 services each",
            ("hollow_core",),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "memory of lists alone, by hollow sidecars",
            capacity.at_if_measured("hollow_mb", target.servers),
            "MB",
            target.max_memory_mb,
            "from the same runs",
            ("hollow_mb",),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "a real one over a hollow one: CPU of a change, usual",
            ratio_if_measured(comparisons["real"][0], comparisons["hollow"][0]),
            "times",
            None,
            "100 of each side by side",
            ("real_told_us", "hollow_told_us"),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "a real one over a hollow one: memory for 1,900 servers more",
            ratio_if_measured(comparisons["real"][1], comparisons["hollow"][1]),
            "times",
            None,
            "100 of each side by side",
            ("real_list_mb", "hollow_list_mb"),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "bytes at ten times the changes, with the largest service",
            idle_bytes_per_s.plus(entry_bytes.plus(renewal_bytes).times(assumed_value(peak_notified_per_s))),
            "bytes a second",
            target.max_bytes_per_s,
            "at rest, and 10 x changes x its part of the servers",
            ("relay_renewed_bytes",),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "CPU without calls",
            capacity.at("followed_cpu_ms", typical).divided_by(10.0),
            "% of a core",
            target.max_core_fraction * 100,
            "of a `serve` at rest that follows a relay",
            ("followed_cpu_ms",),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "CPU at ten times the changes, with the largest service",
            capacity.at("followed_cpu_ms", largest)
            .divided_by(10.0)
            .plus(capacity.at("change_us", largest).times(assumed_value(peak_notified_per_s / 1e4))),
            "% of a core",
            target.max_core_fraction * 100,
            "at rest, and 10 x changes x CPU of one among 2,584",
            ("followed_cpu_ms", "change_us"),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "memory, usual",
            capacity.at("followed_mb", typical),
            "MB",
            target.max_memory_mb,
            "a `serve` at rest that follows a relay",
            ("followed_mb",),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "memory, with the largest service",
            capacity.at("followed_mb", largest),
            "MB",
            target.max_memory_mb,
            "a `serve` at rest that follows a relay",
            ("followed_mb",),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "a whole list, usual, in 6 s",
            capacity.at("relay_whole_bytes", assumed.followers_per_relay).divided_by(1000),
            "kB",
            target.max_bytes_per_s * target.max_propagation_s / 1000,
            "bytes of 8 services; 6 s x 7 KB",
            ("relay_whole_bytes",),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "a whole list, with the largest service, in 6 s",
            entry_bytes.times(assumed_value(largest / 1000)),
            "kB",
            target.max_bytes_per_s * target.max_propagation_s / 1000,
            "2,584 x bytes of a line; 6 s x 7 KB",
            ("relay_whole_bytes",),
            WATCH_MECHANISM,
        ),
        Row(
            "",
            "CPU of a first list, with the largest service, of 6 s",
            capacity.at("first_us", largest).divided_by(1e6 * percent_of_budget_s),
            "% of a core",
            target.max_core_fraction * 100,
            "CPU of reading it / 6 s",
            ("first_us",),
            WATCH_MECHANISM,
        ),
    ]


def membership_rows(capacity: Capacity, target: Target, assumed: Assumptions) -> list[Row]:
    """Rows of a sidecar's membership of a fleet."""
    zone, fleet = target.zone_servers, target.servers
    return [
        Row(
            "",
            "state: records, a zone",
            assumed_value(zone),
            "sidecars",
            None,
            "20,000 / 34",
            (),
            MEMBERSHIP_MECHANISM,
        ),
        Row(
            "",
            "messages, a zone",
            capacity.at("peer_messages", zone),
            "a second",
            None,
            "at rest",
            ("peer_messages",),
            MEMBERSHIP_MECHANISM,
        ),
        Row(
            "",
            "bytes, a zone",
            capacity.at("peer_bytes", zone),
            "bytes a second",
            target.max_bytes_per_s,
            "at rest",
            ("peer_bytes",),
            MEMBERSHIP_MECHANISM,
        ),
        Row(
            "",
            "CPU, a zone",
            capacity.at("peer_cpu_us", zone).divided_by(1e4),
            "% of a core",
            target.max_core_fraction * 100,
            "at rest, decisions alone",
            ("peer_cpu_us",),
            MEMBERSHIP_MECHANISM,
        ),
        Row(
            "",
            "memory, a zone",
            capacity.at("peer_kb", zone).divided_by(1000),
            "MB",
            target.max_memory_mb,
            "resident",
            ("peer_kb",),
            MEMBERSHIP_MECHANISM,
        ),
        Row(
            "",
            "memory, all in one fleet",
            capacity.at("peer_kb", fleet).divided_by(1000),
            "MB",
            target.max_memory_mb,
            "resident",
            ("peer_kb",),
            MISSING + " beyond `most`, 4,096",
        ),
        Row(
            "",
            "a join, a zone, over 7 KB a second",
            capacity.at("join_kb", zone).times(1000 / target.max_bytes_per_s),
            "s",
            None,
            "kB sent / 7 KB a second",
            ("join_kb",),
            MEMBERSHIP_MECHANISM,
        ),
        Row(
            "",
            "a join, all in one fleet, over 7 KB a second",
            capacity.at("join_kb", fleet).times(1000 / target.max_bytes_per_s),
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
            MEMBERSHIP_MECHANISM,
        ),
    ]


def duty_rows(capacity: Capacity, target: Target, assumed: Assumptions) -> list[Row]:
    """Rows of a voter that grants leases for duties."""
    mechanism = "`fleet/leases.py`, `fleet/duties.py`; three voters for each zone"
    return [
        Row(
            "",
            "state of a voter: grants",
            assumed_value(200),
            "duties",
            None,
            "taken: 200 duties a zone",
            (),
            mechanism,
        ),
        Row(
            "",
            "messages from a voter, a zone",
            capacity.at("voter_messages", target.zone_servers),
            "a second",
            None,
            "200 duties, leases of 10 s",
            ("voter_messages",),
            mechanism,
        ),
        Row(
            "",
            "bytes from a voter, a zone",
            capacity.at("voter_bytes", target.zone_servers),
            "bytes a second",
            target.max_bytes_per_s,
            "200 duties, leases of 10 s",
            ("voter_bytes",),
            mechanism,
        ),
        Row(
            "",
            "CPU of a voter, a zone",
            capacity.at("voter_cpu_us", target.zone_servers).divided_by(1e4),
            "% of a core",
            target.max_core_fraction * 100,
            "200 duties, leases of 10 s, decisions alone",
            ("voter_cpu_us",),
            mechanism,
        ),
        Row(
            "",
            "memory of a voter for duties, a zone",
            capacity.at("voter_kb", target.zone_servers).divided_by(1000),
            "MB",
            target.max_memory_mb,
            "200 duties; all that they take in a fleet, a third of it",
            ("voter_kb",),
            mechanism,
        ),
    ]


def control_rows(capacity: Capacity, target: Target, assumed: Assumptions) -> list[Row]:
    """Rows of the control machines, which run the relays."""
    relay_followers, changes_per_s = assumed.followers_per_relay, list_changes_per_s(target, assumed)

    def cpu_percent(followers: float, change_factor: float) -> Estimate:
        return (
            capacity.at("relay_renewed_us", followers)
            .times(followers / assumed.relay_renewal_interval_s / 1e4)
            .plus(
                capacity.at("relay_change_us", followers).times(
                    assumed_value(changes_per_s * change_factor / 1e4)
                )
            )
        )

    cpu_series = ("relay_renewed_us", "relay_change_us")
    renewal_bytes = capacity.at("relay_renewed_bytes", relay_followers).plus(
        assumed_value((target.regions - 1) * assumed.region_bytes + assumed.request_bytes)
    )
    return [
        Row(
            "",
            "machines: two relays in each region",
            assumed_value(target.regions * assumed.relays_per_region),
            "machines",
            target.machines,
            "10 x 2",
            (),
            RELAY_MECHANISM,
        ),
        Row(
            "",
            "state: servers held",
            assumed_value(target.servers),
            "servers",
            None,
            "all of all regions",
            (),
            RELAY_MECHANISM,
        ),
        Row(
            "",
            "followers, one of a pair down",
            assumed_value(2 * relay_followers),
            "connections",
            4096,
            "20,000 / 10; `mostFollowers` by default",
            (),
            RELAY_MECHANISM,
        ),
        Row(
            "",
            "messages: renewals",
            assumed_value(relay_followers / assumed.relay_renewal_interval_s),
            "a second",
            None,
            "1,000 / 2.25 s",
            (),
            RELAY_MECHANISM,
        ),
        Row(
            "",
            "bytes, both ways",
            renewal_bytes.times(relay_followers / assumed.relay_renewal_interval_s / 1000),
            "kB a second",
            assumed.network_bytes_per_s / 1000,
            "renewals x (call and answer)",
            ("relay_renewed_bytes",),
            RELAY_MECHANISM,
        ),
        Row(
            "",
            "CPU",
            cpu_percent(relay_followers, 1),
            "% of a core",
            100.0,
            "renewals and changes; one thread",
            cpu_series,
            RELAY_MECHANISM,
        ),
        Row(
            "",
            "CPU, one of a pair down",
            cpu_percent(2 * relay_followers, 1),
            "% of a core",
            100.0,
            "the same with 2,000 followers",
            cpu_series,
            RELAY_MECHANISM,
        ),
        Row(
            "",
            "CPU, one down and ten times the changes",
            cpu_percent(2 * relay_followers, assumed.peak_factor),
            "% of a core",
            100.0,
            "the same",
            cpu_series,
            RELAY_MECHANISM,
        ),
        Row(
            "",
            "memory, one of a pair down",
            capacity.at("relay_mb", 2 * relay_followers),
            "MB",
            assumed.machine_mb,
            "resident; a machine's 16 GB",
            ("relay_mb",),
            RELAY_MECHANISM,
        ),
        Row(
            "",
            "CPU of all relays, by hollow sidecars",
            capacity.at_if_measured("hollow_control_core", target.servers),
            "cores",
            target.machines,
            "from runs with 0.7 changes a second, 5 services each; a core each",
            ("hollow_control_core",),
            RELAY_MECHANISM,
        ),
    ]


def discovery_rows(capacity: Capacity, target: Target, assumed: Assumptions) -> list[Row]:
    """Rows of one region's discovery, which only relays call."""
    relays, changes_per_s = (
        target.regions * assumed.relays_per_region,
        list_changes_per_s(target, assumed) / target.regions,
    )
    change_us, renewal_us = capacity.at("told_us", 50), capacity.at("renewed_us", 50)
    return [
        Row(
            "",
            "callers of one",
            assumed_value(relays),
            "relays",
            None,
            "20 relays, each calls all 10",
            (),
            DISCOVERY_MECHANISM,
        ),
        Row(
            "",
            "messages: renewals and changes",
            assumed_value(relays * (1 / assumed.relay_renewal_interval_s + changes_per_s)),
            "a second",
            None,
            "20 x (1 / 2.25 s + changes / 10)",
            (),
            DISCOVERY_MECHANISM,
        ),
        Row(
            "",
            "CPU of the least one",
            renewal_us.times(assumed_value(relays / assumed.relay_renewal_interval_s / 1e4)).plus(
                change_us.times(assumed_value(relays * changes_per_s / 1e4))
            ),
            "% of a core",
            100.0,
            "as our stand-in takes it",
            ("renewed_us", "told_us"),
            DISCOVERY_MECHANISM,
        ),
        Row(
            "",
            "CPU at ten times the changes",
            renewal_us.times(assumed_value(relays / assumed.relay_renewal_interval_s / 1e4)).plus(
                change_us.times(assumed_value(relays * changes_per_s * assumed.peak_factor / 1e4))
            ),
            "% of a core",
            100.0,
            "as our stand-in takes it",
            ("renewed_us", "told_us"),
            DISCOVERY_MECHANISM,
        ),
        Row(
            "",
            "a region's whole list to all relays",
            list_entry_bytes(capacity, assumed).times(
                assumed_value(relays * target.servers / target.regions / 1e6)
            ),
            "MB",
            None,
            "20 x 2,000 x bytes of a line",
            ("relay_whole_bytes",),
            DISCOVERY_MECHANISM,
        ),
    ]


def change_rows(capacity: Capacity, target: Target, assumed: Assumptions) -> list[Row]:
    """Rows of a change on its way to all sidecars."""
    mechanism = "`relay/upstreams.py`, `relay/loop.py`, `discovery/watch.py`"
    in_force_ms = capacity.at_if_measured("hollow_in_force_ms", target.servers)
    rig_delay_ms = capacity.at_if_measured("hollow_lag_ms", target.servers)
    return [
        Row(
            "",
            "a change of servers' entries in force, p99",
            in_force_ms.divided_by(1000) if in_force_ms is not None else None,
            "s",
            target.max_propagation_s,
            "hollow sidecars, real relays",
            ("hollow_in_force_ms",),
            mechanism,
        ),
        Row(
            "",
            "in that run, how late the rig itself was at most",
            rig_delay_ms.divided_by(1000) if rig_delay_ms is not None else None,
            "s",
            None,
            "its loops, of all processes",
            ("hollow_lag_ms",),
            "none",
        ),
        Row(
            "",
            "where a relay has just fallen silent",
            assumed_value(assumed.silence_timeout_s + 0.5 + 2 * assumed.batch_interval_s),
            "s",
            target.max_propagation_s,
            "3.4 s of silence, a pause of up to 0.5 s, two batches of 0.05 s",
            (),
            "`distribution/relay_selector.py`",
        ),
        Row(
            "",
            "ways for a change of sidecars' own settings",
            as_estimate(0.0),
            "",
            None,
            "each file is read again at SIGHUP; who brings it there is open",
            (),
            "`sidecar/running.py`, `reload`, one machine at a time; between: " + MISSING,
        ),
    ]


ROLE_ROWS = {
    "data-path": data_path_rows,
    "lists": list_rows,
    "membership": membership_rows,
    "duties": duty_rows,
    "control": control_rows,
    "discovery": discovery_rows,
    "change": change_rows,
}
