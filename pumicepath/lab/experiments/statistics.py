"""Figures of runs: latency in HDR histograms, means with intervals, and differences of pairs."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 120_000_000  # microseconds that a histogram holds
SIGNIFICANT_DIGITS = 3
RESAMPLES = 4000
PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9)


def latency_histogram(times: Sequence[int]) -> HdrHistogram:
    """Of microseconds from when each request should have gone out (Tene, HdrHistogram)."""
    held = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for spent in times:
        held.record_value(max(1, min(MAX_LATENCY_US, spent)))
    return held


def merge_histograms(encoded: Sequence[str]) -> HdrHistogram:
    held = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for each in encoded:
        held.decode_and_add(each)
    return held


def latency_percentiles(held: HdrHistogram) -> dict[str, float]:
    """In milliseconds; NaN where nothing was recorded."""
    if not held.get_total_count():
        return {f"p{part:g}": math.nan for part in PERCENTILES}
    return {f"p{part:g}": held.get_value_at_percentile(part) / 1000 for part in PERCENTILES}


@dataclass(frozen=True)
class Interval:
    """A mean with its 95% interval by bootstrap over seeds (Efron 1979, percentile method)."""

    mean: float
    low: float
    high: float
    count: int

    def __str__(self) -> str:
        if self.count < 2:
            return f"{self.mean:.3f} (one run)"
        return f"{self.mean:.3f} [{self.low:.3f}, {self.high:.3f}]"

    def is_inconclusive(self) -> bool:
        """Whether it says that there is no difference: zero lies within, or there is but one pair."""
        return self.count < 2 or self.low <= 0.0 <= self.high


def bootstrap_interval(values: Sequence[float], seed: int = 0) -> Interval:
    """The same values give the same interval on each machine (PCG64 from the seed)."""
    held = numpy.asarray(values, dtype=float)
    if not held.size:
        return Interval(math.nan, math.nan, math.nan, 0)
    by = numpy.random.Generator(numpy.random.PCG64(seed))
    means = held[by.integers(0, held.size, (RESAMPLES, held.size))].mean(axis=1)
    low, high = numpy.percentile(means, (2.5, 97.5))
    return Interval(float(held.mean()), float(low), float(high), int(held.size))


def paired_difference(ones: dict[int, float], others: dict[int, float]) -> Interval:
    """Of pairs with the same seed, the first less the second."""
    return bootstrap_interval([ones[seed] - others[seed] for seed in sorted(ones.keys() & others.keys())])
