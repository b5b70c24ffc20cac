"""Statistics of runs: latency in HDR histograms, means with confidence intervals, and paired differences."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 120_000_000  # longer latencies are recorded as this
SIGNIFICANT_DIGITS = 3
RESAMPLES = 4000
PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9)


def latency_histogram(latencies: Sequence[int]) -> HdrHistogram:
    """Build a histogram of latencies in microseconds.

    Latencies count from the scheduled send time of each request, which avoids coordinated omission (Tene,
    HdrHistogram).
    """
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for latency in latencies:
        histogram.record_value(max(1, min(MAX_LATENCY_US, latency)))
    return histogram


def merge_histograms(encoded: Sequence[str]) -> HdrHistogram:
    """Decode and add up encoded histograms."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for each in encoded:
        histogram.decode_and_add(each)
    return histogram


def latency_percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Return the percentiles in milliseconds, each NaN if nothing was recorded."""
    if not histogram.get_total_count():
        return {f"p{percentile:g}": math.nan for percentile in PERCENTILES}
    return {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000 for percentile in PERCENTILES
    }


@dataclass(frozen=True)
class Interval:
    """A mean with its 95% confidence interval by bootstrap over seeds (Efron 1979, percentile method)."""

    mean: float
    low: float
    high: float
    count: int

    def __str__(self) -> str:
        if self.count < 2:
            return f"{self.mean:.3f} (one run)"
        return f"{self.mean:.3f} [{self.low:.3f}, {self.high:.3f}]"

    def is_inconclusive(self) -> bool:
        """Whether a difference is not shown: zero lies within the interval, or there is only one pair."""
        return self.count < 2 or self.low <= 0.0 <= self.high


def bootstrap_interval(values: Sequence[float], seed: int = 0) -> Interval:
    """Bootstrap the mean; PCG64 with a fixed seed gives the same interval on every machine."""
    samples = numpy.asarray(values, dtype=float)
    if not samples.size:
        return Interval(math.nan, math.nan, math.nan, 0)
    rng = numpy.random.Generator(numpy.random.PCG64(seed))
    means = samples[rng.integers(0, samples.size, (RESAMPLES, samples.size))].mean(axis=1)
    low, high = numpy.percentile(means, (2.5, 97.5))
    return Interval(float(samples.mean()), float(low), float(high), int(samples.size))


def paired_difference(first: dict[int, float], second: dict[int, float]) -> Interval:
    """Bootstrap the mean of first minus second over the pairs with the same seed."""
    return bootstrap_interval([first[seed] - second[seed] for seed in sorted(first.keys() & second.keys())])
