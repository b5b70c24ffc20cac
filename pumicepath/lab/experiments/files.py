"""Experiments as TOML files: loading, validation that names file, line and key, and single runs."""

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
    """The file is invalid; the message names file, line and key, and what would be valid."""


class Experiment(StrictModel):
    """Keys of a file besides its plan: what is compared, with how many seeds, and over which swept values."""

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
    """One run: an arm (policy and variant), a point of the sweep, and a seed."""

    arm: str
    point: str
    seed: int
    policy: str
    plan: Plan


@dataclass(frozen=True)
class LoadedExperiment:
    """A loaded file; `runs` keeps all arms of a seed together, so that the runs of a pair finish together."""

    path: Path
    name: str
    experiment: Experiment
    plan: Plan
    arms: tuple[str, ...]
    points: tuple[str, ...]
    runs: tuple[ExperimentRun, ...]


def load_experiment(path: Path, seeds: int = 0, host: str = "") -> LoadedExperiment:
    """Load and validate an experiment file.  Raises ExperimentError.

    `seeds` overrides the file's number of seeds unless it is 0.  `host` is where the experiment is to run
    ("virtual" or "loopback"), or empty if it is only loaded.
    """
    try:
        text = path.read_text()
        raw = tomllib.loads(text)
    except (OSError, UnicodeDecodeError) as error:
        raise ExperimentError(f"{path}: {getattr(error, 'strerror', None) or error}") from error
    except tomllib.TOMLDecodeError as error:
        raise ExperimentError(f"{path}: {error}") from error
    experiment_keys = {name: raw.pop(name) for name in Experiment.model_fields if name in raw}
    experiment = validate(Experiment, experiment_keys, path, text)
    plan = validate(Plan, raw, path, text)
    for index, key, problem in plan_errors(plan, host):
        raise ExperimentError(f"{locate_key(path, text, ('troubles', index, key))}: {problem}")
    variants: dict[str, dict[str, Scalar]] = experiment.variants or {"": {}}
    runs = []
    points = tuple(sweep_points(experiment.sweep))
    for seed in range(experiment.first_seed, experiment.first_seed + (seeds or experiment.seeds)):
        for values in points:
            for variant, changes in variants.items():
                changed = with_changes(raw, changes, path, text, ("variants", variant))
                changed = with_changes(changed, values, path, text, ("sweep",))
                variant_plan = validate(Plan, changed, path, text)
                for policy in experiment.policies:
                    runs.append(
                        ExperimentRun(
                            arm_name(policy, variant, experiment),
                            point_name(values),
                            seed,
                            policy,
                            variant_plan,
                        )
                    )
    arms = tuple(dict.fromkeys(run.arm for run in runs))
    return LoadedExperiment(
        path, path.stem, experiment, plan, arms, tuple(map(point_name, points)), tuple(runs)
    )


def plan_errors(plan: Plan, host: str) -> Iterator[tuple[int, str, str]]:
    """Yield faults that are impossible in this plan: index, key, and what would be valid."""
    servers, halls = plan.fleet.servers, plan.fleet.halls
    for index, fault in enumerate(plan.troubles):
        if fault.kind not in KINDS:
            yield index, "kind", f"no trouble {fault.kind!r}; there are {', '.join(sorted(KINDS))}"
            continue
        kind = KINDS[fault.kind]
        if host == "virtual" and (
            kind.needs_processes or kind.needs_call_hooks and fault.sidecars or fault.state != "old"
        ):
            yield (
                index,
                "kind",
                (f"{fault.kind} needs real processes here: play it by `lab run FILE --on loopback`"),
            )
        if kind.needs_peers and not plan.sidecars.peers:
            yield index, "kind", f"{fault.kind} needs peers = true under [sidecars]"
        for key in ("sidecars", "from_", "to"):
            if any(not 0 <= sidecar < plan.sidecars.count for sidecar in getattr(fault, key)):
                yield index, key, f"there are sidecars 0 to {plan.sidecars.count - 1}"
        if fault.at_s >= plan.lasts_s:
            yield index, "at_s", f"it must begin before the end at {plan.lasts_s:g} s"
        if any(not 0 <= server < servers for server in fault.servers):
            yield index, "servers", f"there are servers 0 to {servers - 1}"
        if not 0 <= fault.hall < halls:
            yield index, "hall", f"there are halls 0 to {halls - 1}"
        if fault.count > servers:
            yield index, "count", f"there are {servers} servers"


def arm_name(policy: str, variant: str, experiment: Experiment) -> str:
    """Name an arm by what distinguishes it: its policy, its variant or both."""
    if not variant:
        return policy
    return variant if len(experiment.policies) == 1 else f"{policy}, {variant}"


def point_name(values: dict[str, Scalar]) -> str:
    """Name a point of the sweep by its values."""
    return ", ".join(f"{key} {value}" for key, value in values.items())


def sweep_points(sweep: dict[str, tuple[Scalar, ...]]) -> Iterator[dict[str, Scalar]]:
    """Yield every combination of the swept values."""
    for values in itertools.product(*sweep.values()):
        yield dict(zip(sweep, values))


def with_changes(
    raw: dict[str, Any], changes: dict[str, Scalar], path: Path, text: str, within: tuple[str, ...]
) -> dict[str, Any]:
    """Copy the file's data with other values for dotted keys such as `load.part` or `troubles.0.for_s`.

    `within` is the file's table that holds the changes, for the error message.  Raises ExperimentError.
    """

    def copy(value: Any) -> Any:
        if isinstance(value, dict):
            return {key: copy(item) for key, item in value.items()}
        return [copy(item) for item in value] if isinstance(value, list) else value

    changed: dict[str, Any] = copy(raw)
    for dotted, value in changes.items():
        *path_keys, last = dotted.split(".")
        container: Any = changed
        try:
            for step in path_keys:
                container = (
                    container[int(step)] if isinstance(container, list) else container.setdefault(step, {})
                )
            container[int(last) if isinstance(container, list) else last] = value
        except (IndexError, ValueError, TypeError, AttributeError) as error:
            raise ExperimentError(
                f"{locate_key(path, text, (*within, dotted))}: no value {dotted!r} to change; "
                "name one as in load.part or troubles.0.for_s"
            ) from error
    return changed


def validate(kind: type[Any], raw: dict[str, Any], path: Path, text: str) -> Any:
    """Construct the pydantic model `kind`.  Raises ExperimentError, which locates the first invalid key."""
    try:
        return kind(**raw)
    except ValidationError as error:
        first = error.errors()[0]
        keys = tuple(first["loc"])
        problem = first["msg"].removeprefix("Value error, ")
        if first["type"] == "extra_forbidden":
            problem = f"unknown; there are {', '.join(known_keys(kind, keys[:-1]))}"
        raise ExperimentError(f"{locate_key(path, text, keys)}: {problem}") from error


def known_keys(kind: Any, keys: tuple[Any, ...]) -> list[str]:
    """The valid keys of the model at `keys`, a path of keys and list indexes from `kind`."""
    for step in keys:
        if isinstance(step, int):
            continue
        inner = kind.model_fields[step].annotation
        kind = inner if hasattr(inner, "model_fields") else inner.__args__[0]
    return sorted(kind.model_fields)


def locate_key(path: Path, text: str, keys: tuple[Any, ...]) -> str:
    """Format `file:line: key`; the line is that of the longest prefix of the key which the file sets."""
    key = ".".join(map(str, keys))
    longest, found_line, table, table_counts = -1, 1, "", dict[str, int]()
    for number, content in enumerate(text.splitlines(), 1):
        header, pair = TABLE_LINE.match(content), KEY_LINE.match(content)
        if header:
            table = re.sub(r"[\"'\s]", "", header[2])
            if header[1] == "[[":
                table_counts[table] = table_counts.get(table, -1) + 1
                table = f"{table}.{table_counts[table]}"
            current = table
        elif pair:
            name = re.sub(r"[\"'\s]", "", pair[1])
            current = f"{table}.{name}" if table else name
        else:
            continue
        if (key == current or key.startswith(current + ".")) and len(current) > longest:
            longest, found_line = len(current), number
    return f"{path}:{found_line}: {key or 'the whole'}"
