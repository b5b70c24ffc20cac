"""Measured series, the line through each, and figures read off them.

`decode(data)` takes `docs/capacity.json` as loaded and raises BadCapacity, naming the key, for what is
missing or odd in it.  `Capacity.at(name, size)` is a figure that says by itself whether it was measured.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property
from statistics import median
from typing import Any

import numpy

MIN_SIZES = 4  # sizes that a slope needs
MAX_LINEAR_RESIDUAL = 0.25  # of a middle: the farthest that one may lie off the line of a linear series
FAR_EXTRAPOLATION_RATIO = 20.0  # times the largest measured size, beyond which the page says so at the figure
FORMS = ("compiled", "interpreted", "neither")
KINDS = ("measured", "extrapolated", "reckoned")
MACHINE_KEYS = ("processor", "cores", "memory_gb", "system", "python", "numpy", "orjson")
RUN_KEYS = ("date", "commit", "load", "command")


class CapacityError(Exception):
    """The file can't be used; the text names the key in one line."""


@dataclass(frozen=True)
class Estimate:
    """A number and how it is known: `beyond` is the largest size asked for over the largest measured."""

    value: float
    kind: str = "reckoned"
    size_ratio: float = 1.0

    def times(self, other: Estimate | float) -> Estimate:
        other = as_estimate(other)
        return Estimate(self.value * other.value, *weaker_provenance(self, other))

    def divided_by(self, other: Estimate | float) -> Estimate:
        other = as_estimate(other)
        return Estimate(self.value / other.value, *weaker_provenance(self, other))

    def plus(self, other: Estimate | float) -> Estimate:
        other = as_estimate(other)
        return Estimate(self.value + other.value, *weaker_provenance(self, other))


def assumed_value(value: float) -> Estimate:
    """Of the target or an assumption: what is multiplied by it was not measured at that many."""
    return Estimate(value, "reckoned")


def as_estimate(number: Estimate | float) -> Estimate:
    """A change of unit, which takes nothing from how the other was found."""
    return number if isinstance(number, Estimate) else Estimate(float(number), "measured")


def weaker_provenance(one: Estimate, other: Estimate) -> tuple[str, float]:
    return max(one.kind, other.kind, key=KINDS.index), max(one.size_ratio, other.size_ratio)


@dataclass(frozen=True)
class LinearFit:
    """`base + slope * size`; `residual` is the largest distance of a middle from it, over that middle."""

    intercept: float
    slope: float
    residual: float

    @property
    def is_linear(self) -> bool:
        return self.residual <= MAX_LINEAR_RESIDUAL

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> LinearFit:
    """Least squares of the relative distances: small sizes count as much as large ones.

    Exact sums give the same line on every processor.  A slope that moves the line by no more than the last
    digits of two points is rounding, and 0.
    """
    weights = [1 / (middle * middle) for _, middle in points]
    total = math.fsum(weights)
    mean_size = math.fsum(weight * size for weight, (size, _) in zip(weights, points)) / total
    mean = math.fsum(weight * middle for weight, (_, middle) in zip(weights, points)) / total
    offsets = [size - mean_size for size, _ in points]
    slope = math.fsum(
        weight * offset * (middle - mean) for weight, offset, (_, middle) in zip(weights, offsets, points)
    ) / math.fsum(weight * offset * offset for weight, offset in zip(weights, offsets))
    sizes = [size for size, _ in points]
    last_digit = math.ulp(max(middle for _, middle in points))
    if abs(slope) * (max(sizes) - min(sizes)) <= 2 * last_digit:
        slope = 0.0
    base = mean - slope * mean_size
    residual = max(abs(base + slope * size - middle) / middle for size, middle in points)
    return LinearFit(base, slope, residual)


@dataclass(frozen=True)
class Series:
    """One quantity by one size: for each size the values of the repeats."""

    name: str
    description: str
    unit: str
    size_name: str
    form: str
    run: Mapping[str, Any]
    points: tuple[tuple[float, tuple[float, ...]], ...]

    @cached_property
    def medians(self) -> list[tuple[float, float]]:
        return [(size, median(values)) for size, values in self.points]

    @property
    def relative_spread(self) -> float:
        """The widest of the sizes: largest less smallest repeat, over the middle."""
        return max((max(values) - min(values)) / median(values) for _, values in self.points)

    @cached_property
    def fit(self) -> LinearFit:
        return fit_line(self.medians)

    def at(self, size: float) -> Estimate:
        """Between measured sizes on the straight line between their middles.

        Beyond the largest by the line through all of them where that is one, else by that through the last
        two; below the smallest that one's.  A line that falls is not followed beyond what was measured.
        """
        middles = self.medians
        least, most = middles[0], middles[-1]
        if size <= least[0]:
            return Estimate(least[1], "measured")
        if size <= most[0]:
            sizes, values = zip(*middles)
            return Estimate(float(numpy.interp(size, sizes, values)), "measured")
        found = self.fit
        if not found.is_linear:
            found = fit_line(middles[-2:])
        value = found.at(size) if found.slope > 0 else most[1]
        return Estimate(value, "extrapolated", size / most[0])


@dataclass(frozen=True)
class Capacity:
    """All that was measured, and where."""

    machine: Mapping[str, Any]
    series: Mapping[str, Series]

    def __getitem__(self, name: str) -> Series:
        if name not in self.series:
            raise CapacityError(f"series.{name} is missing")
        return self.series[name]

    def at(self, name: str, size: float) -> Estimate:
        return self[name].at(size)

    def at_if_measured(self, name: str, size: float) -> Estimate | None:
        """None where it was not measured: for what needs an idle machine, or many processes."""
        return self.series[name].at(size) if name in self.series else None


def require_object(data: Any, where: str, keys: Sequence[str]) -> dict[str, Any]:
    """An object with these keys and no others."""
    if not isinstance(data, dict):
        raise CapacityError(f"{where} is no object")
    for key in keys:
        if key not in data:
            raise CapacityError(f"{where}.{key} is missing".lstrip("."))
    for key in data:
        if key not in keys:
            raise CapacityError(f"{where}.{key} is not known".lstrip("."))
    return data


def require_texts(data: dict[str, Any], where: str, keys: Sequence[str]) -> None:
    for key in keys:
        if not isinstance(data[key], str) or not data[key]:
            raise CapacityError(f"{where}.{key} is no text")


def require_number(value: Any, where: str, fits: Callable[[float], bool] = lambda value: value > 0) -> float:
    odd = isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value)
    if odd or not fits(value):
        raise CapacityError(f"{where}: {value!r} is not above 0")
    return float(value)


def decode_series(name: str, data: Any) -> Series:
    where = f"series.{name}"
    require_object(data, where, ("what", "unit", "by", "form", "run", "points"))
    require_texts(data, where, ("what", "unit", "by", "form"))
    if data["form"] not in FORMS:
        raise CapacityError(f"{where}.form: {data['form']!r} is not one of {', '.join(FORMS)}")
    run = require_object(data["run"], f"{where}.run", RUN_KEYS)
    require_texts(run, f"{where}.run", ("date", "commit", "command"))
    require_number(run["load"], f"{where}.run.load", lambda value: value >= 0)
    if not isinstance(data["points"], list) or len(data["points"]) < MIN_SIZES:
        raise CapacityError(f"{where}.points: fewer than {MIN_SIZES} sizes")
    points: list[tuple[float, tuple[float, ...]]] = []
    for at, point in enumerate(data["points"]):
        here = f"{where}.points[{at}]"
        if not isinstance(point, list) or len(point) != 2 or not isinstance(point[1], list) or not point[1]:
            raise CapacityError(f"{here} is no size with its repeats")
        size = require_number(point[0], here)
        if points and size <= points[-1][0]:
            raise CapacityError(f"{here}: sizes do not grow")
        points.append((size, tuple(require_number(value, here) for value in point[1])))
    return Series(name, data["what"], data["unit"], data["by"], data["form"], run, tuple(points))


def decode(data: Any) -> Capacity:
    require_object(data, "", ("machine", "series"))
    machine = require_object(data["machine"], "machine", MACHINE_KEYS)
    require_texts(machine, "machine", ("processor", "system", "python", "numpy", "orjson"))
    for key in ("cores", "memory_gb"):
        require_number(machine[key], f"machine.{key}")
    if not isinstance(data["series"], dict):
        raise CapacityError("series is no object")
    return Capacity(machine, {name: decode_series(name, one) for name, one in data["series"].items()})
