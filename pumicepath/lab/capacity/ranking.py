"""Rows of the direct form, without relays, at the target, ranked by how far each role exceeds its budgets."""

from __future__ import annotations

from .measurements import Capacity, Estimate, as_estimate, assumed_value
from .rows import MISSING, Row
from .target import Assumptions, Target

LIST_ROLE, DATA_PATH_ROLE, MEMBERSHIP_ROLE, CONTROL_ROLE, OPERATOR_ROLE = (
    "lists and changes, from source to sidecars",
    "sidecar's data path",
    "sidecar's membership",
    "control machines",
    "an operator's change on its way",
)
SOURCE_MECHANISM = "the one discovery, calls in turn (given); nothing between it and sidecars: " + MISSING
LIST_MECHANISM = (
    "`discovery/watch.py`, `discovery/server_list.py`: all servers of all services; a choice: " + MISSING
)
DECISION_MECHANISM = "`balancer.py`, `Balancer.choose_server`"
MEMBERSHIP_MECHANISM = "`fleet/membership.py`, whole fleet, off by default; bounded by `most`"


def list_changes_per_s(target: Target, assumed: Assumptions) -> float:
    """List changes a second: those made by operators and those of servers that fail or are replaced."""
    return (
        target.changes_per_s
        + (target.failures_per_day + target.replacements_per_day) * assumed.changes_per_replacement / 86_400
    )


def direct_rows(capacity: Capacity, target: Target, assumed: Assumptions) -> list[Row]:
    """Return the rows in the order of their roles; `ranked_rows` sorts them."""
    n, peak_changes_per_s = target.servers, list_changes_per_s(target, assumed) * assumed.peak_factor
    cpu_budget_s, bytes_budget = (
        target.max_core_fraction * target.max_propagation_s,
        target.max_bytes_per_s * target.max_propagation_s,
    )
    change_us = capacity.at("told_us", n)
    in_force_ms = capacity.at_if_measured("direct_in_force_ms", n)
    in_force = in_force_ms.divided_by(1000) if in_force_ms is not None else None
    # The cost of a list by its size was measured with 20 followers.  Its growth with the number of followers
    # was measured at one size and is nearly flat: extrapolating that slope would extrapolate noise.  The
    # increase at the largest measured number of followers is therefore taken for any larger number.
    by_followers = capacity["sent_many_us"].medians
    follower_factor = Estimate(
        by_followers[-1][1] / by_followers[0][1], "extrapolated", n / by_followers[-1][0]
    )
    full_list_us = capacity.at("sent_us", n).times(follower_factor)
    list_bytes = capacity.at("list_bytes", n)
    join_kb = capacity.at("join_kb", n)
    return [
        Row(
            LIST_ROLE,
            "all sidecars come back: whole lists to all, the source's CPU",
            full_list_us.times(assumed_value(n / 1e6)),
            "s",
            target.max_propagation_s,
            "sidecars x CPU of sending a list of 20,000, as it is with 1,000 followers",
            ("sent_us", "sent_many_us"),
            SOURCE_MECHANISM,
        ),
        Row(
            LIST_ROLE,
            "all sidecars come back: bytes over one 10 Gbit line",
            list_bytes.times(assumed_value(n / assumed.network_bytes_per_s)),
            "s",
            target.max_propagation_s,
            "sidecars x bytes of a list / 1.25 GB a second",
            ("list_bytes",),
            SOURCE_MECHANISM,
        ),
        Row(
            LIST_ROLE,
            "a whole list, bytes to one sidecar within 6 s",
            list_bytes.divided_by(1000.0),
            "kB",
            bytes_budget / 1000,
            "bytes of a list of 20,000; 6 s x 7 KB",
            ("list_bytes",),
            LIST_MECHANISM,
        ),
        Row(
            LIST_ROLE,
            "a whole list, CPU at one sidecar within 6 s",
            capacity.at("first_us", n).divided_by(1e6),
            "s",
            cpu_budget_s,
            "CPU of reading the first list; 6 s x 2%",
            ("first_us",),
            LIST_MECHANISM,
        ),
        Row(
            LIST_ROLE,
            "memory of a sidecar that has the list",
            capacity.at("rest_mb", n),
            "MB",
            target.max_memory_mb,
            "memory at rest with 20,000 listed",
            ("rest_mb",),
            LIST_MECHANISM,
        ),
        Row(
            LIST_ROLE,
            "memory of lists alone, by hollow sidecars",
            capacity.at_if_measured("direct_mb", n),
            "MB",
            target.max_memory_mb,
            "runs of up to 1,850 sidecars, each with all servers",
            ("direct_mb",),
            LIST_MECHANISM,
        ),
        Row(
            LIST_ROLE,
            "a change in force, p99, by hollow sidecars",
            in_force,
            "s",
            target.max_propagation_s,
            "the same runs; the rig was late as well: `direct_lag_ms`",
            ("direct_in_force_ms",),
            SOURCE_MECHANISM,
        ),
        Row(
            LIST_ROLE,
            "a zone lost: 590 changes to all, each sent on its own, the source's CPU",
            change_us.times(assumed_value(target.zone_servers * n / 1e6)),
            "s",
            target.max_propagation_s,
            "590 x sidecars x CPU of sending one",
            ("told_us",),
            SOURCE_MECHANISM,
        ),
        Row(
            LIST_ROLE,
            "changes at ten times the mean, the source's CPU",
            change_us.times(assumed_value(n * peak_changes_per_s / 1e6)),
            "cores",
            1.0,
            "10 x changes a second x sidecars x CPU of sending one; one thread",
            ("told_us",),
            SOURCE_MECHANISM,
        ),
        Row(
            LIST_ROLE,
            "changes at ten times the mean, CPU at one sidecar",
            capacity.at("change_us", n).times(assumed_value(peak_changes_per_s / 1e6 * 100)),
            "% of a core",
            target.max_core_fraction * 100,
            "10 x changes a second x CPU of reading one among 20,000",
            ("change_us",),
            LIST_MECHANISM,
        ),
        Row(
            LIST_ROLE,
            "watches renewed at rest, the source's CPU",
            capacity.at("renewed_us", n).times(assumed_value(n / assumed.direct_renewal_interval_s / 1e6)),
            "cores",
            1.0,
            "sidecars / 15 s x CPU of a renewal; one thread",
            ("renewed_us",),
            SOURCE_MECHANISM,
        ),
        Row(
            DATA_PATH_ROLE,
            "one decision, all servers in one list as today, key new",
            capacity.at("new_us", n).divided_by(1000.0),
            "ms",
            target.max_added_latency_ms,
            "CPU of a decision among 20,000",
            ("new_us",),
            DECISION_MECHANISM,
        ),
        Row(
            DATA_PATH_ROLE,
            "one decision, its usual services and the largest",
            capacity.at("new_us", assumed.max_listed_servers).divided_by(1000.0),
            "ms",
            target.max_added_latency_ms,
            "CPU of a decision among 8 x 10.5 + 2,500",
            ("new_us",),
            DECISION_MECHANISM,
        ),
        Row(
            DATA_PATH_ROLE,
            "one decision, usual services only",
            capacity.at("new_us", assumed.typical_listed_servers).divided_by(1000.0),
            "ms",
            target.max_added_latency_ms,
            "CPU of a decision among 8 x 10.5",
            ("new_us",),
            DECISION_MECHANISM,
        ),
        Row(
            DATA_PATH_ROLE,
            "13 decisions, usual services only",
            capacity.at("new_us", assumed.typical_listed_servers).times(
                assumed_value(target.call_depth / 1000)
            ),
            "ms",
            target.max_added_latency_ms,
            "13 x CPU of a decision among 8 x 10.5",
            ("new_us",),
            DECISION_MECHANISM,
        ),
        Row(
            MEMBERSHIP_ROLE,
            "join, bytes sent by each, over 7 KB a second",
            join_kb.times(1000 / target.max_bytes_per_s),
            "s",
            None,
            "kB sent until views are right / 7 KB a second",
            ("join_kb",),
            MEMBERSHIP_MECHANISM,
        ),
        Row(
            MEMBERSHIP_ROLE,
            "at rest, bytes",
            capacity.at("peer_bytes", n),
            "bytes a second",
            target.max_bytes_per_s,
            "bytes a second of one",
            ("peer_bytes",),
            MEMBERSHIP_MECHANISM,
        ),
        Row(
            MEMBERSHIP_ROLE,
            "at rest, CPU",
            capacity.at("peer_cpu_us", n).divided_by(1e4),
            "% of a core",
            target.max_core_fraction * 100,
            "CPU a second of one",
            ("peer_cpu_us",),
            MEMBERSHIP_MECHANISM,
        ),
        Row(
            MEMBERSHIP_ROLE,
            "join if a zone is the fleet, bytes over 7 KB a second",
            capacity.at("join_kb", target.zone_servers).times(1000 / target.max_bytes_per_s),
            "s",
            None,
            "kB sent among 590 / 7 KB a second",
            ("join_kb",),
            "a `fleet` name for each zone: a key of the file",
        ),
        Row(
            CONTROL_ROLE,
            "machines with something to do",
            as_estimate(0.0),
            "of 20",
            None,
            "none",
            (),
            MISSING,
        ),
        Row(
            OPERATOR_ROLE,
            "ways for a change of settings to all sidecars",
            Estimate(0.0, "measured"),
            "",
            None,
            "each file is read again at SIGHUP; who brings it there is open",
            (),
            "`sidecar/running.py`, `reload`, one machine at a time; between: " + MISSING,
        ),
    ]


def ranked_rows(capacity: Capacity, target: Target, assumed: Assumptions) -> list[Row]:
    """Sort roles by their highest ratio to a budget, and each role's rows likewise.

    Rows without a budget come last.
    """
    rows = direct_rows(capacity, target, assumed)
    highest_ratio: dict[str, float] = {}
    for row in rows:
        highest_ratio[row.role] = max(highest_ratio.get(row.role, 0.0), row.budget_ratio)
    return sorted(rows, key=lambda row: (-highest_ratio[row.role], row.role, -row.budget_ratio))
