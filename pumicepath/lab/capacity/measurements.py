"""Measured series, a linear fit of each, and estimates derived from them.

`decode(data)` validates the parsed `docs/capacity.json` and raises CapacityError, which names the key, for a
missing or invalid value.  `Capacity.at(name, size)` returns an estimate that records whether it was measured.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property
from statistics import median
from typing import Any

import numpy

MIN_SIZES = 4  # of a series: with fewer a linear fit is not meaningful
MAX_LINEAR_RESIDUAL = 0.25  # a series is linear if no median is farther from its line, relative to the median
FAR_EXTRAPOLATION_RATIO = 20.0  # over the largest measured size; the page warns at estimates beyond it
FORMS = ("compiled", "interpreted", "neither")
KINDS = ("measured", "extrapolated", "reckoned")
MACHINE_KEYS = ("processor", "cores", "memory_gb", "system", "python", "numpy", "orjson")
RUN_KEYS = ("date", "commit", "load", "command")


class CapacityError(Exception):
    """The measurement file is invalid; the message names the key in one line."""


@dataclass(frozen=True)
class Estimate:
    """A value with its provenance, one of KINDS.

    `size_ratio` is the requested size over the largest measured size, and 1 within the measured sizes.
    Arithmetic keeps the weaker provenance and the larger ratio of both operands.
    """

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
    """Wrap a number of the target or an assumption; a product with it counts as "reckoned", not measured."""
    return Estimate(value, "reckoned")


def as_estimate(number: Estimate | float) -> Estimate:
    """Wrap a plain number, such as a unit factor; it does not weaken the other operand's provenance."""
    return number if isinstance(number, Estimate) else Estimate(float(number), "measured")


def weaker_provenance(one: Estimate, other: Estimate) -> tuple[str, float]:
    """Return the less certain kind and the larger size ratio of both."""
    return max(one.kind, other.kind, key=KINDS.index), max(one.size_ratio, other.size_ratio)


@dataclass(frozen=True)
class LinearFit:
    """The line `intercept + slope * size`.

    `residual` is the largest distance of a median from the line, relative to that median.
    """

    intercept: float
    slope: float
    residual: float

    @property
    def is_linear(self) -> bool:
        return self.residual <= MAX_LINEAR_RESIDUAL

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> LinearFit:
    """Fit a line by least squares of the relative distances, so that small sizes count as much as large ones.

    `math.fsum` gives the same line on every processor.  A slope that changes the line by at most two units in
    the last place over all sizes is a rounding error and becomes 0.
    """
    weights = [1 / (value * value) for _, value in points]
    total = math.fsum(weights)
    mean_size = math.fsum(weight * size for weight, (size, _) in zip(weights, points)) / total
    mean_value = math.fsum(weight * value for weight, (_, value) in zip(weights, points)) / total
    offsets = [size - mean_size for size, _ in points]
    slope = math.fsum(
        weight * offset * (value - mean_value) for weight, offset, (_, value) in zip(weights, offsets, points)
    ) / math.fsum(weight * offset * offset for weight, offset in zip(weights, offsets))
    sizes = [size for size, _ in points]
    last_place = math.ulp(max(value for _, value in points))
    if abs(slope) * (max(sizes) - min(sizes)) <= 2 * last_place:
        slope = 0.0
    intercept = mean_value - slope * mean_size
    residual = max(abs(intercept + slope * size - value) / value for size, value in points)
    return LinearFit(intercept, slope, residual)


@dataclass(frozen=True)
class Series:
    """Measurements of one quantity over one size parameter; each point is a size and its repeated values."""

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
        """The largest spread of any size: largest minus smallest repeat, relative to the median."""
        return max((max(values) - min(values)) / median(values) for _, values in self.points)

    @cached_property
    def fit(self) -> LinearFit:
        return fit_line(self.medians)

    def at(self, size: float) -> Estimate:
        """Estimate the value at a size.

        Between measured sizes it interpolates linearly between their medians; below the smallest size it
        returns the smallest size's median.  Beyond the largest size it follows the fit of all points if the
        series is linear, else the line through the last two points.  A falling line is not extrapolated, as
        it would become negative: the last median is used.
        """
        medians = self.medians
        smallest, largest = medians[0], medians[-1]
        if size <= smallest[0]:
            return Estimate(smallest[1], "measured")
        if size <= largest[0]:
            sizes, values = zip(*medians)
            return Estimate(float(numpy.interp(size, sizes, values)), "measured")
        fit = self.fit
        if not fit.is_linear:
            fit = fit_line(medians[-2:])
        value = fit.at(size) if fit.slope > 0 else largest[1]
        return Estimate(value, "extrapolated", size / largest[0])


@dataclass(frozen=True)
class Capacity:
    """All measured series, and the machine on which they were measured."""

    machine: Mapping[str, Any]
    series: Mapping[str, Series]

    def __getitem__(self, name: str) -> Series:
        if name not in self.series:
            raise CapacityError(f"series.{name} is missing")
        return self.series[name]

    def at(self, name: str, size: float) -> Estimate:
        return self[name].at(size)

    def at_if_measured(self, name: str, size: float) -> Estimate | None:
        """Like `at`, but None if the series is absent: some need an idle machine or many processes."""
        return self.series[name].at(size) if name in self.series else None


def require_object(data: Any, where: str, keys: Sequence[str]) -> dict[str, Any]:
    """Return `data` if it is an object with exactly these keys.  Raises CapacityError."""
    if not isinstance(data, dict):
        raise CapacityError(f"{where} must be an object")
    for key in keys:
        if key not in data:
            raise CapacityError(f"{where}.{key} is missing".lstrip("."))
    for key in data:
        if key not in keys:
            raise CapacityError(f"{where}.{key} is not known".lstrip("."))
    return data


def require_texts(data: dict[str, Any], where: str, keys: Sequence[str]) -> None:
    """Check that these keys hold non-empty texts.  Raises CapacityError."""
    for key in keys:
        if not isinstance(data[key], str) or not data[key]:
            raise CapacityError(f"{where}.{key} must be a non-empty text")


def require_number(
    value: Any, where: str, is_valid: Callable[[float], bool] = lambda value: value > 0
) -> float:
    """Return a finite number that `is_valid` accepts, by default a positive one.  Raises CapacityError."""
    not_finite = isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value)
    if not_finite or not is_valid(value):
        raise CapacityError(f"{where}: {value!r} is not above 0")
    return float(value)


def decode_series(name: str, data: Any) -> Series:
    """Validate one series.  Raises CapacityError."""
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
    for index, point in enumerate(data["points"]):
        here = f"{where}.points[{index}]"
        if not isinstance(point, list) or len(point) != 2 or not isinstance(point[1], list) or not point[1]:
            raise CapacityError(f"{here} must be a size with a list of repeats")
        size = require_number(point[0], here)
        if points and size <= points[-1][0]:
            raise CapacityError(f"{here}: sizes do not grow")
        points.append((size, tuple(require_number(value, here) for value in point[1])))
    return Series(name, data["what"], data["unit"], data["by"], data["form"], run, tuple(points))


def decode(data: Any) -> Capacity:
    """Validate the parsed measurement file.  Raises CapacityError, which names the key."""
    require_object(data, "", ("machine", "series"))
    machine = require_object(data["machine"], "machine", MACHINE_KEYS)
    require_texts(machine, "machine", ("processor", "system", "python", "numpy", "orjson"))
    for key in ("cores", "memory_gb"):
        require_number(machine[key], f"machine.{key}")
    if not isinstance(data["series"], dict):
        raise CapacityError("series must be an object")
    return Capacity(machine, {name: decode_series(name, one) for name, one in data["series"].items()})
