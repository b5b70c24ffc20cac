"""The demo: two zones, three sidecars and their clients, with a fault every few seconds."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from rich.console import Group
from rich.table import Table
from rich.text import Text

from ..model.clients import percentile
from ..model.result import Result
from ..model.timeline import SECOND
from ..spec import FaultSpec, Fleet, Load, Plan, RequestClassSpec, Sidecars
from .world import LoopbackWorld

ZONE_COUNT, SERVER_COUNT, SIDECAR_COUNT, SUBMISSIONS_PER_S = 2, 8, 3, 240.0
MAX_SHOWN_LOG_LINES = 6
BAR_WIDTH = 30
# Kind of fault, the fraction of the interval that it lasts, and further keys of the fault.
FAULT_SCHEDULE: Sequence[tuple[str, float, dict[str, Any]]] = (
    ("die", 0.7, {"servers": (1,)}),
    ("fail-quickly", 0.7, {"servers": (5,)}),
    ("hall-cut-off", 0.5, {"hall": 1}),
    ("slow", 0.7, {"servers": (2,)}),
    ("sidecars-restarted", 0.6, {"value": 0.3}),
    ("vanish", 0.7, {"servers": (6,)}),
    ("burst", 0.5, {"value": 2.5}),
    ("drain", 0.8, {"servers": (3,)}),
    ("new-id", 0.2, {"servers": (7,)}),
    ("list-down", 0.7, {}),
)
FAULT_INTERVAL_S = 4.0


def build_plan(seconds: float) -> Plan:
    """Returns a plan with as many fault intervals as fit into the time; a short run has shorter intervals."""
    interval = min(FAULT_INTERVAL_S, seconds / 3)
    faults, at, number = [], interval / 2, 0
    while at + interval <= seconds:
        kind, fraction, more = FAULT_SCHEDULE[number % len(FAULT_SCHEDULE)]
        faults.append(FaultSpec(kind=kind, at_s=round(at, 3), for_s=round(fraction * interval, 3), **more))
        at, number = at + interval, number + 1
    request_classes = (
        RequestClassSpec(name="read", share=0.7, agreed_ms=250, patience_ms=1000),
        RequestClassSpec(
            name="once", effect="at_most_once", share=0.2, gain=3.0, agreed_ms=250, patience_ms=1000
        ),
        RequestClassSpec(
            name="marked",
            effect="deduplicated",
            group="all",
            window_s=2.0,
            share=0.1,
            gain=2.0,
            agreed_ms=250,
            patience_ms=1000,
        ),
    )
    fleet = Fleet(halls=ZONE_COUNT, servers=SERVER_COUNT, work_ms=20.0, cold_s=4.0)
    return Plan(
        lasts_s=seconds,
        warm_s=0,
        fleet=fleet,
        sidecars=Sidecars(count=SIDECAR_COUNT),
        load=Load(rate=SUBMISSIONS_PER_S, tariffs=request_classes),
        troubles=tuple(faults),
    )


def last_settled_second(world: LoopbackWorld) -> int:
    """Returns the last second whose submissions have nearly all ended."""
    return min(max(0, world.timeline.now // SECOND - 2), world.duration // SECOND - 1)


def render_view(world: LoopbackWorld) -> Group:
    """Returns what a terminal shows, updated once a second."""
    now, tally, at = world.timeline.now, world.tally, last_settled_second(world)
    offered, good = tally.offered[at], tally.good[at]
    fraction = good / offered if offered else 0.0
    head = Text(f"second {at:3d}   offered {offered:4d}   served in time {good:4d}  ")
    head.append(
        "#" * round(fraction * BAR_WIDTH),
        "green" if fraction > 0.97 else "yellow" if fraction > 0.8 else "red",
    )
    head.append(f" {fraction:.0%}")
    active_faults = [
        mark.text
        for mark in world.marks
        if mark.started_at <= now <= max(mark.ends_at, mark.started_at + 1_500_000)
    ]
    fault_line = Text(
        "going wrong: " + ("; ".join(active_faults) or "nothing"), "bold red" if active_faults else "green"
    )
    table = Table("server", "hall", "hops", "refused by", box=None, pad_edge=False)
    for number in world.server_ids:
        server = world.servers[number]
        refusing = [sidecar.number for sidecar in world.sidecars if f"s-{number}" in sidecar.open_breakers]
        state = "silent" if server.silent else "" if server.up else "down"
        table.add_row(
            f"s-{number}",
            str(server.zone),
            f"{server.hop_count} {state}",
            ", ".join(f"sidecar {sidecar}" for sidecar in refusing) or "-",
        )
    log = Text("\n".join(list(world.log)[-MAX_SHOWN_LOG_LINES:]), "dim")
    return Group(head, fault_line, table, log)


def render_line(world: LoopbackWorld) -> str:
    """Returns the same as one line, for output that is no terminal."""
    at = last_settled_second(world)
    start, end = at * SECOND, (at + 1) * SECOND
    active_faults = [
        mark.text
        for mark in world.marks
        if mark.started_at < end and max(mark.ends_at, mark.started_at + 1) > start
    ]
    return f"{at:3d} s  offered {world.tally.offered[at]:4d}  in time {world.tally.good[at]:4d}  " + (
        "; ".join(active_faults) or "calm"
    )


def totals(result: Result) -> dict[str, Any]:
    """Returns the result as one object; `lost` counts admitted submissions that had no answer."""
    finals, rules = result.final_answers, result.violations
    times = [latency for latencies in result.latencies for latency in latencies]
    return {
        "taken": sum(finals.values()) + rules["unanswered"],
        "succeeded": finals["succeeded"],
        "deferred": finals["deferred"],
        "forfeited": finals["forfeited"],
        "left": finals["left"],
        "cut": finals["cut"],
        "lost": rules["unanswered"],
        "duplicated": rules["ran_twice"] + rules["deferred_may_run"],
        "answered_wrongly": rules["answered_twice"] + rules["answered_late"] + rules["sent_after_answer"],
        "late_sends": rules["late_sends"],
        "pushed_over": rules["pushed_over"],
        "p50_ms": percentile(times, 0.5),
        "p99_ms": percentile(times, 0.99),
        "service": round(result.service, 4),
        "whole": not any(rules.values()),
    }


def summary_lines(result: Result) -> list[str]:
    """Returns the result as lines of text."""
    counts = totals(result)
    lines = [
        f"{counts['taken']} tries admitted: {counts['succeeded']} succeeded, {counts['deferred']} rejected, "
        f"{counts['forfeited']} failed, {counts['cut']} cut off because their sidecar was killed; "
        f"service {counts['service']:.3f}",
        f"latency from the due time: p50 {counts['p50_ms']:.0f} ms, p99 {counts['p99_ms']:.0f} ms",
    ]
    if counts["whole"]:
        return [
            *lines,
            "no rule was violated: none lost, none run twice, no late send, no cold server overloaded",
        ]
    return [
        *lines,
        *(
            f"BROKEN {rule}: {count}, first {result.first_violations.get(rule, '')}"
            for rule, count in result.violations.items()
            if count
        ),
    ]
