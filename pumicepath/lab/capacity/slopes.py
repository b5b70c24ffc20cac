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

FEWEST = 4  # sizes that a slope needs
LINEAR = 0.25  # of a middle: the farthest that one may lie off the line of a linear series
FAR = 20.0  # times the largest measured size, beyond which the page says so at the figure
FORMS = ("compiled", "interpreted", "neither")
KINDS = ("measured", "extrapolated", "reckoned")
MACHINE = ("processor", "cores", "memory_gb", "system", "python", "numpy", "orjson")
RUN = ("date", "commit", "load", "command")


class BadCapacity(Exception):
    """The file can't be used; the text names the key in one line."""


@dataclass(frozen=True)
class Figure:
    """A number and how it is known: `beyond` is the largest size asked for over the largest measured."""

    value: float
    kind: str = "reckoned"
    beyond: float = 1.0

    def times(self, other: Figure | float) -> Figure:
        other = exact(other)
        return Figure(self.value * other.value, *worse(self, other))

    def over(self, other: Figure | float) -> Figure:
        other = exact(other)
        return Figure(self.value / other.value, *worse(self, other))

    def plus(self, other: Figure | float) -> Figure:
        other = exact(other)
        return Figure(self.value + other.value, *worse(self, other))


def reckoned(value: float) -> Figure:
    """Of the target or an assumption: what is multiplied by it was not measured at that many."""
    return Figure(value, "reckoned")


def exact(number: Figure | float) -> Figure:
    """A change of unit, which takes nothing from how the other was found."""
    return number if isinstance(number, Figure) else Figure(float(number), "measured")


def worse(one: Figure, other: Figure) -> tuple[str, float]:
    return max(one.kind, other.kind, key=KINDS.index), max(one.beyond, other.beyond)


@dataclass(frozen=True)
class Line:
    """`base + slope * size`; `residual` is the largest distance of a middle from it, over that middle."""

    base: float
    slope: float
    residual: float

    @property
    def linear(self) -> bool:
        return self.residual <= LINEAR

    def at(self, size: float) -> float:
        return self.base + self.slope * size


def line(points: Sequence[tuple[float, float]]) -> Line:
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
    return Line(base, slope, residual)


@dataclass(frozen=True)
class Series:
    """One quantity by one size: for each size the values of the repeats."""

    name: str
    what: str
    unit: str
    by: str
    form: str
    run: Mapping[str, Any]
    points: tuple[tuple[float, tuple[float, ...]], ...]

    @cached_property
    def middles(self) -> list[tuple[float, float]]:
        return [(size, median(values)) for size, values in self.points]

    @property
    def spread(self) -> float:
        """The widest of the sizes: largest less smallest repeat, over the middle."""
        return max((max(values) - min(values)) / median(values) for _, values in self.points)

    @cached_property
    def line(self) -> Line:
        return line(self.middles)

    def at(self, size: float) -> Figure:
        """Between measured sizes on the straight line between their middles.

        Beyond the largest by the line through all of them where that is one, else by that through the last
        two; below the smallest that one's.  A line that falls is not followed beyond what was measured.
        """
        middles = self.middles
        least, most = middles[0], middles[-1]
        if size <= least[0]:
            return Figure(least[1], "measured")
        if size <= most[0]:
            sizes, values = zip(*middles)
            return Figure(float(numpy.interp(size, sizes, values)), "measured")
        found = self.line
        if not found.linear:
            found = line(middles[-2:])
        value = found.at(size) if found.slope > 0 else most[1]
        return Figure(value, "extrapolated", size / most[0])


@dataclass(frozen=True)
class Capacity:
    """All that was measured, and where."""

    machine: Mapping[str, Any]
    series: Mapping[str, Series]

    def __getitem__(self, name: str) -> Series:
        if name not in self.series:
            raise BadCapacity(f"series.{name} is missing")
        return self.series[name]

    def at(self, name: str, size: float) -> Figure:
        return self[name].at(size)

    def maybe(self, name: str, size: float) -> Figure | None:
        """None where it was not measured: for what needs an idle machine, or many processes."""
        return self.series[name].at(size) if name in self.series else None


def keyed(data: Any, where: str, keys: Sequence[str]) -> dict[str, Any]:
    """An object with these keys and no others."""
    if not isinstance(data, dict):
        raise BadCapacity(f"{where} is no object")
    for key in keys:
        if key not in data:
            raise BadCapacity(f"{where}.{key} is missing".lstrip("."))
    for key in data:
        if key not in keys:
            raise BadCapacity(f"{where}.{key} is not known".lstrip("."))
    return data


def texts(data: dict[str, Any], where: str, keys: Sequence[str]) -> None:
    for key in keys:
        if not isinstance(data[key], str) or not data[key]:
            raise BadCapacity(f"{where}.{key} is no text")


def number(value: Any, where: str, fits: Callable[[float], bool] = lambda value: value > 0) -> float:
    odd = isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value)
    if odd or not fits(value):
        raise BadCapacity(f"{where}: {value!r} is not above 0")
    return float(value)


def decode_series(name: str, data: Any) -> Series:
    where = f"series.{name}"
    keyed(data, where, ("what", "unit", "by", "form", "run", "points"))
    texts(data, where, ("what", "unit", "by", "form"))
    if data["form"] not in FORMS:
        raise BadCapacity(f"{where}.form: {data['form']!r} is not one of {', '.join(FORMS)}")
    run = keyed(data["run"], f"{where}.run", RUN)
    texts(run, f"{where}.run", ("date", "commit", "command"))
    number(run["load"], f"{where}.run.load", lambda value: value >= 0)
    if not isinstance(data["points"], list) or len(data["points"]) < FEWEST:
        raise BadCapacity(f"{where}.points: fewer than {FEWEST} sizes")
    points: list[tuple[float, tuple[float, ...]]] = []
    for at, point in enumerate(data["points"]):
        here = f"{where}.points[{at}]"
        if not isinstance(point, list) or len(point) != 2 or not isinstance(point[1], list) or not point[1]:
            raise BadCapacity(f"{here} is no size with its repeats")
        size = number(point[0], here)
        if points and size <= points[-1][0]:
            raise BadCapacity(f"{here}: sizes do not grow")
        points.append((size, tuple(number(value, here) for value in point[1])))
    return Series(name, data["what"], data["unit"], data["by"], data["form"], run, tuple(points))


def decode(data: Any) -> Capacity:
    keyed(data, "", ("machine", "series"))
    machine = keyed(data["machine"], "machine", MACHINE)
    texts(machine, "machine", ("processor", "system", "python", "numpy", "orjson"))
    for key in ("cores", "memory_gb"):
        number(machine[key], f"machine.{key}")
    if not isinstance(data["series"], dict):
        raise BadCapacity("series is no object")
    return Capacity(machine, {name: decode_series(name, one) for name, one in data["series"].items()})
