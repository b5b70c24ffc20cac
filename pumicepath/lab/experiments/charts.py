"""Charts of results: service over time, hops and breakers by server, latency, losses, and fleet views."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

import numpy  # noqa: E402
from matplotlib import pyplot  # noqa: E402
from matplotlib.axes import Axes  # noqa: E402

from .comparison import ArmSummary  # noqa: E402
from .statistics import merge_histograms  # noqa: E402


def save_figure(figure: Any, path: Path) -> Path:
    """Write the figure to `path`, close it and return the path."""
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
    return path


def mark_faults(axes: Axes, marks: Sequence[Sequence[Any]]) -> None:
    """Shade the period of each fault, (start in microseconds, end in microseconds, text), and label it."""
    for start, end, text in marks:
        axes.axvspan(start / 1e6, max(end, start + 100_000) / 1e6, color="tab:red", alpha=0.10, lw=0)
        axes.text(
            start / 1e6,
            0.02,
            f" {text[:44]}",
            rotation=90,
            fontsize=6,
            va="bottom",
            alpha=0.7,
            transform=axes.get_xaxis_transform(),
        )


def plot_service(runs: Sequence[dict[str, Any]], arms: Sequence[str], path: Path) -> Path:
    """Plot the fraction of each second's submissions served in time: median and range over the seeds."""
    figure, axes = pyplot.subplots(figsize=(9, 3.6))
    for arm in arms:
        fractions = numpy.array(
            [
                [
                    good / offered if offered else numpy.nan
                    for good, offered in zip(run["columns"]["good"], run["columns"]["offered"])
                ]
                for run in runs
                if run["arm"] == arm
            ]
        )
        if not fractions.size:
            continue
        fractions = fractions[:, ~numpy.all(numpy.isnan(fractions), axis=0)]
        seconds = numpy.arange(fractions.shape[1]) + 0.5
        (line,) = axes.plot(seconds, numpy.nanmedian(fractions, axis=0), label=arm, lw=1.4)
        axes.fill_between(
            seconds,
            numpy.nanmin(fractions, axis=0),
            numpy.nanmax(fractions, axis=0),
            color=line.get_color(),
            alpha=0.12,
            lw=0,
        )
    mark_faults(axes, runs[0]["marks"])
    axes.set(xlabel="seconds", ylabel="served in time", ylim=(-0.02, 1.05))
    axes.legend(fontsize=7, loc="lower right")
    return save_figure(figure, path)


def plot_servers(run: dict[str, Any], path: Path) -> Path:
    """Plot for each second and server the hops, and the fraction of sidecars whose breaker rejects it."""
    figure, panels = pyplot.subplots(2, 1, figsize=(9, 5), sharex=True)
    for axes, name, title, colormap in (
        (panels[0], "at_servers", "hops at each server", "viridis"),
        (panels[1], "breakers", "sidecars that refuse it", "magma"),
    ):
        values = numpy.array(run[name], dtype=float).T
        image = axes.imshow(
            values,
            aspect="auto",
            origin="lower",
            cmap=colormap,
            interpolation="nearest",
            extent=(0, values.shape[1], -0.5, values.shape[0] - 0.5),
            vmin=0,
            vmax=1 if name == "breakers" else max(1.0, values.max()),
        )
        figure.colorbar(image, ax=axes)
        axes.set(ylabel="server's place", title=f"{title} ({run['arm']}, seed {run['seed']})")
    panels[1].set(xlabel="seconds")
    return save_figure(figure, path)


def plot_latency(runs: Sequence[dict[str, Any]], arms: Sequence[str], path: Path) -> Path:
    """Plot latency percentiles on the scale of HdrHistogram's plots, on which each unit adds a nine."""
    figure, axes = pyplot.subplots(figsize=(9, 3.6))
    nines = numpy.linspace(0.1, 4.0, 60)
    for arm in arms:
        histogram = merge_histograms([run["latency"] for run in runs if run["arm"] == arm])
        if histogram.get_total_count():
            axes.plot(
                nines,
                [histogram.get_value_at_percentile(100 * (1 - 10**-n)) / 1000 for n in nines],
                label=arm,
            )
    axes.set_xticks([1, 2, 3, 4], ["90%", "99%", "99.9%", "99.99%"])
    axes.set(ylabel="ms from when it should go out", yscale="log")
    axes.legend(fontsize=7)
    return save_figure(figure, path)


def plot_losses(summaries: Sequence[ArmSummary], path: Path) -> Path:
    """Plot the fractions of submissions that were not served in time, by cause."""
    figure, axes = pyplot.subplots(figsize=(9, 0.6 + 0.34 * len(summaries)))
    names = [f"{row.point}: {row.arm}" if row.point else row.arm for row in summaries][::-1]
    left = numpy.zeros(len(summaries))
    for cause in summaries[0].losses:
        fractions = numpy.array([row.losses[cause] for row in summaries][::-1])
        axes.barh(names, fractions, left=left, label=cause)
        left += fractions
    axes.set(xlabel="share of what was offered")
    axes.tick_params(labelsize=7)
    axes.legend(fontsize=7, ncol=5, loc="lower right")
    return save_figure(figure, path)


def plot_liveness(
    names: Sequence[str],
    times: Sequence[float],
    rows: Sequence[Sequence[float]],
    marks: Sequence[Sequence[Any]],
    path: Path,
) -> Path:
    """Plot for each sidecar, over time, the fraction of the others that see it as alive."""
    figure, axes = pyplot.subplots(figsize=(9, min(9.0, 1.8 + 0.16 * len(names))))
    edges = [*times, times[-1] + (times[-1] - times[0]) / max(1, len(times) - 1)]
    mesh = axes.pcolormesh(
        edges, numpy.arange(len(names) + 1), numpy.array(rows, dtype=float).T, vmin=0, vmax=1, cmap="RdYlGn"
    )
    step = max(1, len(names) // 25)
    axes.set_yticks(numpy.arange(0, len(names), step) + 0.5, names[::step], fontsize=6)
    axes.invert_yaxis()
    figure.colorbar(mesh, ax=axes, label="seen as alive by")
    mark_faults(axes, marks)
    axes.set(xlabel="seconds")
    return save_figure(figure, path)


def plot_traffic(
    times: Sequence[float],
    messages: Sequence[float],
    sizes: Sequence[float],
    marks: Sequence[Sequence[Any]],
    path: Path,
) -> Path:
    """Plot messages and kilobytes a second of all sidecars together."""
    figure, axes = pyplot.subplots(figsize=(9, 3))
    axes.plot(times, messages, lw=1.4, label="messages a second")
    size_axes = axes.twinx()
    size_axes.plot(times, [size / 1000 for size in sizes], lw=1.0, color="tab:orange")
    size_axes.set_ylabel("kB a second", color="tab:orange")
    mark_faults(axes, marks)
    axes.set(xlabel="seconds", ylabel="messages a second")
    return save_figure(figure, path)
