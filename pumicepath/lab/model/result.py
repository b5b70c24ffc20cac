"""The result of a run, the same from virtual time and from real processes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from .clients import percentile
from .world import World

COLUMNS = ("offered", "good", "late", "deferred", "forfeited", "left", "lost", "refused")


@dataclass
class Result:
    """The result of one run.

    `columns` has a count per second for each outcome; `hops_at_servers` and `open_breakers` (the fraction of
    sidecars whose breaker is open) have a row per second with a value per server slot.
    """

    seed: int
    policy: str
    service: float
    columns: dict[str, list[int]]
    latencies: list[list[int]]
    violations: dict[str, int]
    first_violations: dict[str, str]
    final_answers: dict[str, int]
    marks: list[tuple[int, int, str]]
    events: int
    hops: int
    failed_hops: int  # that servers failed, refused or reset
    hops_at_servers: list[list[int]] = field(default_factory=list)
    open_breakers: list[list[float]] = field(default_factory=list)
    log: list[str] = field(default_factory=list)
    wrong_views: list[int] = field(default_factory=list)  # sidecars with a wrong view of the fleet, by second


def collect_result(
    world: World,
    policy: str,
    events: int,
    hops_at_servers: list[list[int]],
    open_breakers: list[list[float]],
    log: list[str],
    wrong_views: list[int] | None = None,
) -> Result:
    """The result of a world whose run has ended."""
    tally, rule_checker = world.tally, world.rule_checker
    return Result(
        seed=world.seed,
        policy=policy,
        service=tally.earned_value / tally.offered_value if tally.offered_value else 1.0,
        columns={name: getattr(tally, name) for name in COLUMNS},
        latencies=tally.latencies,
        violations=dict(rule_checker.violations),
        first_violations=dict(rule_checker.first_violations),
        final_answers=dict(rule_checker.final_answers),
        marks=[(mark.started_at, mark.ends_at, mark.text) for mark in world.marks],
        events=events,
        hops=sum(server.completed for server in world.servers.values()),
        failed_hops=sum(server.failed_hops for server in world.servers.values()),
        hops_at_servers=hops_at_servers,
        open_breakers=open_breakers,
        log=log,
        wrong_views=wrong_views or [],
    )


def summarize(result: Result) -> dict[str, Any]:
    """Totals, violations of rules and percentiles in milliseconds, as written to files."""
    latencies = [latency for each in result.latencies for latency in each]
    return {
        "seed": result.seed,
        "policy": result.policy,
        "service": round(result.service, 4),
        **{name: sum(column) for name, column in result.columns.items()},
        "p50_ms": percentile(latencies, 0.5),
        "p99_ms": percentile(latencies, 0.99),
        "events": result.events,
        "hops": result.hops,
        "wasted": result.failed_hops,
        "rules": result.violations,
        "finals": result.final_answers,
    }
