"""Experiments as TOML files: read, checked with file, line and key, and taken apart into single runs."""

from __future__ import annotations

import itertools
import re
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from pydantic import Field, ValidationError, field_validator

from ..fault_kinds import KINDS
from ..spec import Count, Plan, StrictModel
from ..virtual.run import POLICIES, PUMICEPATH

TABLE_LINE = re.compile(r"^\s*(\[\[?)\s*([^\]]+?)\s*\]\]?\s*(#.*)?$")
KEY_LINE = re.compile(r"""^\s*("[^"]*"|'[^']*'|[\w-]+(?:\s*\.\s*[\w-]+)*)\s*=""")
Scalar = float | int | bool | str


class ExperimentError(Exception):
    """The file can't be used; the text names file, line and key, and what would be right."""


class Experiment(StrictModel):
    """What a file holds besides its plan: what is compared, how often, and over which values."""

    title: str
    why: str = ""
    seeds: Count = 5
    first_seed: Annotated[int, Field(ge=0)] = 1
    policies: tuple[str, ...] = (PUMICEPATH,)
    variants: dict[str, dict[str, Scalar]] = {}
    sweep: dict[str, tuple[Scalar, ...]] = {}

    @field_validator("policies")
    @classmethod
    def check_policies(cls, names: tuple[str, ...]) -> tuple[str, ...]:
        for name in names:
            if name not in POLICIES:
                raise ValueError(f"no policy {name!r}; there are {', '.join(POLICIES)}")
        if not names or len(set(names)) != len(names):
            raise ValueError("name each policy once, and at least one")
        return names


@dataclass(frozen=True)
class ExperimentRun:
    """One run: an arm (policy and variant), a point of the sweep, a seed."""

    arm: str
    point: str
    seed: int
    policy: str
    plan: Plan


@dataclass(frozen=True)
class LoadedExperiment:
    """A file that was read; `runs` come arm by arm for each seed, so that pairs end close to each other."""

    path: Path
    name: str
    experiment: Experiment
    plan: Plan
    arms: tuple[str, ...]
    points: tuple[str, ...]
    runs: tuple[ExperimentRun, ...]


def load_experiment(path: Path, seeds: int = 0, host: str = "") -> LoadedExperiment:
    """Read and check; `seeds` goes before the file's own number, `host` is where it is to be played.

    Raises BadExperiment.
    """
    try:
        text = path.read_text()
        told = tomllib.loads(text)
    except (OSError, UnicodeDecodeError) as trouble:
        raise ExperimentError(f"{path}: {getattr(trouble, 'strerror', None) or trouble}") from trouble
    except tomllib.TOMLDecodeError as trouble:
        raise ExperimentError(f"{path}: {trouble}") from trouble
    own = {name: told.pop(name) for name in Experiment.model_fields if name in told}
    experiment = validate(Experiment, own, path, text)
    plan = validate(Plan, told, path, text)
    for number, key, what in plan_errors(plan, host):
        raise ExperimentError(f"{locate_key(path, text, ('troubles', number, key))}: {what}")
    variants: dict[str, dict[str, Scalar]] = experiment.variants or {"": {}}
    runs = []
    points = tuple(sweep_points(experiment.sweep))
    for seed in range(experiment.first_seed, experiment.first_seed + (seeds or experiment.seeds)):
        for values in points:
            for variant, changes in variants.items():
                given = with_changes(told, changes, path, text, ("variants", variant))
                given = with_changes(given, values, path, text, ("sweep",))
                made = validate(Plan, given, path, text)
                for policy in experiment.policies:
                    runs.append(
                        ExperimentRun(
                            arm_name(policy, variant, experiment), point_name(values), seed, policy, made
                        )
                    )
    arms = tuple(dict.fromkeys(run.arm for run in runs))
    return LoadedExperiment(
        path, path.stem, experiment, plan, arms, tuple(map(point_name, points)), tuple(runs)
    )


def plan_errors(plan: Plan, host: str) -> Iterator[tuple[int, str, str]]:
    """Troubles that can't happen in this plan: number, key, and what would be right."""
    servers, halls = plan.fleet.servers, plan.fleet.halls
    for number, trouble in enumerate(plan.troubles):
        if trouble.kind not in KINDS:
            yield number, "kind", f"no trouble {trouble.kind!r}; there are {', '.join(sorted(KINDS))}"
            continue
        kind = KINDS[trouble.kind]
        if host == "virtual" and (
            kind.needs_processes or kind.needs_call_hooks and trouble.sidecars or trouble.state != "old"
        ):
            yield (
                number,
                "kind",
                (f"{trouble.kind} needs real processes here: play it by `lab run FILE --on loopback`"),
            )
        if kind.needs_peers and not plan.sidecars.peers:
            yield number, "kind", f"{trouble.kind} needs peers = true under [sidecars]"
        for key in ("sidecars", "from_", "to"):
            if any(not 0 <= each < plan.sidecars.count for each in getattr(trouble, key)):
                yield number, key, f"there are sidecars 0 to {plan.sidecars.count - 1}"
        if trouble.at_s >= plan.lasts_s:
            yield number, "at_s", f"it must begin before the end at {plan.lasts_s:g} s"
        if any(not 0 <= place < servers for place in trouble.servers):
            yield number, "servers", f"there are servers 0 to {servers - 1}"
        if not 0 <= trouble.hall < halls:
            yield number, "hall", f"there are halls 0 to {halls - 1}"
        if trouble.count > servers:
            yield number, "count", f"there are {servers} servers"


def arm_name(policy: str, variant: str, experiment: Experiment) -> str:
    """Named by what differs."""
    if not variant:
        return policy
    return variant if len(experiment.policies) == 1 else f"{policy}, {variant}"


def point_name(values: dict[str, Scalar]) -> str:
    return ", ".join(f"{key} {value}" for key, value in values.items())


def sweep_points(sweep: dict[str, tuple[Scalar, ...]]) -> Iterator[dict[str, Scalar]]:
    for values in itertools.product(*sweep.values()):
        yield dict(zip(sweep, values))


def with_changes(
    told: dict[str, Any], changes: dict[str, Scalar], path: Path, text: str, within: tuple[str, ...]
) -> dict[str, Any]:
    """A copy in which dotted keys, such as `load.part` or `troubles.0.for_s`, have other values."""

    def copy(value: Any) -> Any:
        if isinstance(value, dict):
            return {key: copy(each) for key, each in value.items()}
        return [copy(each) for each in value] if isinstance(value, list) else value

    made: dict[str, Any] = copy(told)
    for dotted, value in changes.items():
        *way, last = dotted.split(".")
        at: Any = made
        try:
            for step in way:
                at = at[int(step)] if isinstance(at, list) else at.setdefault(step, {})
            at[int(last) if isinstance(at, list) else last] = value
        except (IndexError, ValueError, TypeError, AttributeError) as trouble:
            raise ExperimentError(
                f"{locate_key(path, text, (*within, dotted))}: no value {dotted!r} to change; "
                "name one as in load.part or troubles.0.for_s"
            ) from trouble
    return made


def validate(kind: type[Any], told: dict[str, Any], path: Path, text: str) -> Any:
    try:
        return kind(**told)
    except ValidationError as trouble:
        first = trouble.errors()[0]
        where = tuple(first["loc"])
        what = first["msg"].removeprefix("Value error, ")
        if first["type"] == "extra_forbidden":
            what = f"unknown; there are {', '.join(known_keys(kind, where[:-1]))}"
        raise ExperimentError(f"{locate_key(path, text, where)}: {what}") from trouble


def known_keys(kind: Any, way: tuple[Any, ...]) -> list[str]:
    """The keys that there are at a place."""
    for step in way:
        if isinstance(step, int):
            continue
        inner = kind.model_fields[step].annotation
        kind = inner if hasattr(inner, "model_fields") else inner.__args__[0]
    return sorted(kind.model_fields)


def locate_key(path: Path, text: str, where: tuple[Any, ...]) -> str:
    """`file:line: key`; the line is where the longest part of the key that the file names is set."""
    key = ".".join(map(str, where))
    best, found, table, counts = -1, 1, "", dict[str, int]()
    for number, written in enumerate(text.splitlines(), 1):
        header, pair = TABLE_LINE.match(written), KEY_LINE.match(written)
        if header:
            table = re.sub(r"[\"'\s]", "", header[2])
            if header[1] == "[[":
                counts[table] = counts.get(table, -1) + 1
                table = f"{table}.{counts[table]}"
            at = table
        elif pair:
            name = re.sub(r"[\"'\s]", "", pair[1])
            at = f"{table}.{name}" if table else name
        else:
            continue
        if (key == at or key.startswith(at + ".")) and len(at) > best:
            best, found = len(at), number
    return f"{path}:{found}: {key or 'the whole'}"
