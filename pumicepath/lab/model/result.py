"""What a run came to, the same from either host."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from .clients import percentile
from .world import World

COLUMNS = ("offered", "good", "late", "deferred", "forfeited", "left", "lost", "refused")


@dataclass
class Result:
    """Of one run: `columns` have a figure a second; `at_servers` and `breakers` a row a second, by place."""

    seed: int
    policy: str
    service: float
    columns: dict[str, list[int]]
    times: list[list[int]]
    rules: dict[str, int]
    first: dict[str, str]
    finals: dict[str, int]
    marks: list[tuple[int, int, str]]
    events: int
    hops: int
    wasted: int  # hops that servers failed, refused or reset
    at_servers: list[list[int]] = field(default_factory=list)
    breakers: list[list[float]] = field(default_factory=list)
    log: list[str] = field(default_factory=list)
    views_wrong: list[int] = field(default_factory=list)  # a second: sidecars that see the fleet wrong


def result(
    world: World,
    policy: str,
    events: int,
    at_servers: list[list[int]],
    breakers: list[list[float]],
    log: list[str],
    views_wrong: list[int] | None = None,
) -> Result:
    tally, judge = world.tally, world.judge
    return Result(
        seed=world.seed,
        policy=policy,
        service=tally.gained / tally.could if tally.could else 1.0,
        columns={name: getattr(tally, name) for name in COLUMNS},
        times=tally.times,
        rules=dict(judge.broken),
        first=dict(judge.first),
        finals=dict(judge.finals),
        marks=[(mark.at, mark.until, mark.text) for mark in world.marks],
        events=events,
        hops=sum(server.done for server in world.servers.values()),
        wasted=sum(server.failed for server in world.servers.values()),
        at_servers=at_servers,
        breakers=breakers,
        log=log,
        views_wrong=views_wrong or [],
    )


def summary(result: Result) -> dict[str, Any]:
    """For machines: totals, rules and percentiles in milliseconds."""
    every = [spent for times in result.times for spent in times]
    return {
        "seed": result.seed,
        "policy": result.policy,
        "service": round(result.service, 4),
        **{name: sum(column) for name, column in result.columns.items()},
        "p50_ms": percentile(every, 0.5),
        "p99_ms": percentile(every, 0.99),
        "events": result.events,
        "hops": result.hops,
        "wasted": result.wasted,
        "rules": result.rules,
        "finals": result.finals,
    }
