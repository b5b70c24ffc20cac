"""What is missing first: today's direct form at the target, each role's figures against their budgets."""

from __future__ import annotations

from .rows import MISSING, Row
from .slopes import Capacity, Figure, exact, reckoned
from .target import Assumed, Target

LISTS, CALLS, PEERS, CONTROL, OPERATOR = (
    "lists and changes, from source to sidecars",
    "sidecar's data path",
    "sidecar's membership",
    "control machines",
    "an operator's change on its way",
)
SOURCE = "the one discovery, calls in turn (given); nothing between it and sidecars: " + MISSING
EACH = "`discovery/watch.py`, `discovery/roster.py`: all servers of all services; a choice: " + MISSING
PICK = "`logic.py`, `Balancer.pick`"
MEMBERS = "`fleet/membership.py`, whole fleet, off by default; bounded by `most`"


def changes_s(target: Target, assumed: Assumed) -> float:
    """Changes of the list: the operators' own, and those of servers that fail or are replaced."""
    return target.changes_s + (target.failed_day + target.replaced_day) * assumed.steps / 86_400


def direct(capacity: Capacity, target: Target, assumed: Assumed) -> list[Row]:
    """The rows in the order of their roles; `ranked` sorts them."""
    n, peak = target.servers, changes_s(target, assumed) * assumed.peak
    cpu_s, bytes_ = target.core * target.in_force_s, target.bytes_s * target.in_force_s
    told = capacity.at("told_us", n)
    late = capacity.maybe("direct_in_force_ms", n)
    in_force = late.over(1000) if late is not None else None
    # By its size a list's cost was measured with 20 followers.  How that grows with them was measured at one
    # size and is nearly flat; the slope of that would be noise far out, so what the largest following adds is
    # taken for all that it adds.
    following = capacity["sent_many_us"].middles
    more = Figure(following[-1][1] / following[0][1], "extrapolated", n / following[-1][0])
    sent = capacity.at("sent_us", n).times(more)
    size = capacity.at("list_bytes", n)
    join = capacity.at("join_kb", n)
    return [
        Row(
            LISTS,
            "all sidecars come back: whole lists to all, the source's CPU",
            sent.times(reckoned(n / 1e6)),
            "s",
            target.in_force_s,
            "sidecars x CPU of sending a list of 20,000, as it is with 1,000 followers",
            ("sent_us", "sent_many_us"),
            SOURCE,
        ),
        Row(
            LISTS,
            "all sidecars come back: bytes over one 10 Gbit line",
            size.times(reckoned(n / assumed.network)),
            "s",
            target.in_force_s,
            "sidecars x bytes of a list / 1.25 GB a second",
            ("list_bytes",),
            SOURCE,
        ),
        Row(
            LISTS,
            "a whole list, bytes to one sidecar within 6 s",
            size.over(1000.0),
            "kB",
            bytes_ / 1000,
            "bytes of a list of 20,000; 6 s x 7 KB",
            ("list_bytes",),
            EACH,
        ),
        Row(
            LISTS,
            "a whole list, CPU at one sidecar within 6 s",
            capacity.at("first_us", n).over(1e6),
            "s",
            cpu_s,
            "CPU of reading the first list; 6 s x 2%",
            ("first_us",),
            EACH,
        ),
        Row(
            LISTS,
            "memory of a sidecar that has the list",
            capacity.at("rest_mb", n),
            "MB",
            target.mb,
            "memory at rest with 20,000 listed",
            ("rest_mb",),
            EACH,
        ),
        Row(
            LISTS,
            "memory of lists alone, by hollow sidecars",
            capacity.maybe("direct_mb", n),
            "MB",
            target.mb,
            "runs of up to 1,850 sidecars, each with all servers",
            ("direct_mb",),
            EACH,
        ),
        Row(
            LISTS,
            "a change in force, p99, by hollow sidecars",
            in_force,
            "s",
            target.in_force_s,
            "the same runs; the rig was late as well: `direct_lag_ms`",
            ("direct_in_force_ms",),
            SOURCE,
        ),
        Row(
            LISTS,
            "a zone lost: 590 changes to all, each told for itself, the source's CPU",
            told.times(reckoned(target.zone * n / 1e6)),
            "s",
            target.in_force_s,
            "590 x sidecars x CPU of telling one",
            ("told_us",),
            SOURCE,
        ),
        Row(
            LISTS,
            "changes at ten times the mean, the source's CPU",
            told.times(reckoned(n * peak / 1e6)),
            "cores",
            1.0,
            "10 x changes a second x sidecars x CPU of telling one; one thread",
            ("told_us",),
            SOURCE,
        ),
        Row(
            LISTS,
            "changes at ten times the mean, CPU at one sidecar",
            capacity.at("change_us", n).times(reckoned(peak / 1e6 * 100)),
            "% of a core",
            target.core * 100,
            "10 x changes a second x CPU of reading one among 20,000",
            ("change_us",),
            EACH,
        ),
        Row(
            LISTS,
            "watches renewed at rest, the source's CPU",
            capacity.at("renewed_us", n).times(reckoned(n / assumed.renewal_s / 1e6)),
            "cores",
            1.0,
            "sidecars / 15 s x CPU of a renewal; one thread",
            ("renewed_us",),
            SOURCE,
        ),
        Row(
            CALLS,
            "one decision, all servers in one list as today, key new",
            capacity.at("new_us", n).over(1000.0),
            "ms",
            target.added_ms,
            "CPU of a decision among 20,000",
            ("new_us",),
            PICK,
        ),
        Row(
            CALLS,
            "one decision, its usual services and the largest",
            capacity.at("new_us", assumed.listed_most).over(1000.0),
            "ms",
            target.added_ms,
            "CPU of a decision among 8 x 10.5 + 2,500",
            ("new_us",),
            PICK,
        ),
        Row(
            CALLS,
            "one decision, usual services only",
            capacity.at("new_us", assumed.listed).over(1000.0),
            "ms",
            target.added_ms,
            "CPU of a decision among 8 x 10.5",
            ("new_us",),
            PICK,
        ),
        Row(
            CALLS,
            "13 decisions, usual services only",
            capacity.at("new_us", assumed.listed).times(reckoned(target.depth / 1000)),
            "ms",
            target.added_ms,
            "13 x CPU of a decision among 8 x 10.5",
            ("new_us",),
            PICK,
        ),
        Row(
            PEERS,
            "join, bytes sent by each, over 7 KB a second",
            join.times(1000 / target.bytes_s),
            "s",
            None,
            "kB sent until views are right / 7 KB a second",
            ("join_kb",),
            MEMBERS,
        ),
        Row(
            PEERS,
            "at rest, bytes",
            capacity.at("peer_bytes", n),
            "bytes a second",
            target.bytes_s,
            "bytes a second of one",
            ("peer_bytes",),
            MEMBERS,
        ),
        Row(
            PEERS,
            "at rest, CPU",
            capacity.at("peer_cpu_us", n).over(1e4),
            "% of a core",
            target.core * 100,
            "CPU a second of one",
            ("peer_cpu_us",),
            MEMBERS,
        ),
        Row(
            PEERS,
            "join if a zone is the fleet, bytes over 7 KB a second",
            capacity.at("join_kb", target.zone).times(1000 / target.bytes_s),
            "s",
            None,
            "kB sent among 590 / 7 KB a second",
            ("join_kb",),
            "a `fleet` name for each zone: a key of the file",
        ),
        Row(CONTROL, "machines with something to do", exact(0.0), "of 20", None, "none", (), MISSING),
        Row(
            OPERATOR,
            "ways for a change of settings to all sidecars",
            Figure(0.0, "measured"),
            "",
            None,
            "each file is read again at SIGHUP; who brings it there is open",
            (),
            "`sidecar/running.py`, `reload`, one machine at a time; between: " + MISSING,
        ),
    ]


def ranked(capacity: Capacity, target: Target, assumed: Assumed) -> list[Row]:
    """Roles by their worst factor, and within each its rows by theirs; what has no budget comes last."""
    rows = direct(capacity, target, assumed)
    worst: dict[str, float] = {}
    for row in rows:
        worst[row.role] = max(worst.get(row.role, 0.0), row.factor)
    return sorted(rows, key=lambda row: (-worst[row.role], row.role, -row.factor))
