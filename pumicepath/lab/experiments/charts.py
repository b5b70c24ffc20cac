"""Pictures of results: service over time, hops and breakers by server, latency, and what was lost."""

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
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
    return path


def mark_faults(axes: Axes, marks: Sequence[Sequence[Any]]) -> None:
    for at, until, text in marks:
        axes.axvspan(at / 1e6, max(until, at + 100_000) / 1e6, color="tab:red", alpha=0.10, lw=0)
        axes.text(
            at / 1e6,
            0.02,
            f" {text[:44]}",
            rotation=90,
            fontsize=6,
            va="bottom",
            alpha=0.7,
            transform=axes.get_xaxis_transform(),
        )


def plot_service(runs: Sequence[dict[str, Any]], arms: Sequence[str], path: Path) -> Path:
    """The share of each second's submissions served in time: middle of the seeds, and from least to most."""
    figure, axes = pyplot.subplots(figsize=(9, 3.6))
    for arm in arms:
        shares = numpy.array(
            [
                [
                    good / offered if offered else numpy.nan
                    for good, offered in zip(run["columns"]["good"], run["columns"]["offered"])
                ]
                for run in runs
                if run["arm"] == arm
            ]
        )
        if not shares.size:
            continue
        shares = shares[:, ~numpy.all(numpy.isnan(shares), axis=0)]
        seconds = numpy.arange(shares.shape[1]) + 0.5
        (line,) = axes.plot(seconds, numpy.nanmedian(shares, axis=0), label=arm, lw=1.4)
        axes.fill_between(
            seconds,
            numpy.nanmin(shares, axis=0),
            numpy.nanmax(shares, axis=0),
            color=line.get_color(),
            alpha=0.12,
            lw=0,
        )
    mark_faults(axes, runs[0]["marks"])
    axes.set(xlabel="seconds", ylabel="served in time", ylim=(-0.02, 1.05))
    axes.legend(fontsize=7, loc="lower right")
    return save_figure(figure, path)


def plot_servers(run: dict[str, Any], path: Path) -> Path:
    """Hops at each server, and the share of sidecars whose breaker refuses it, second by second."""
    figure, both = pyplot.subplots(2, 1, figsize=(9, 5), sharex=True)
    for axes, name, title, colours in (
        (both[0], "at_servers", "hops at each server", "viridis"),
        (both[1], "breakers", "sidecars that refuse it", "magma"),
    ):
        values = numpy.array(run[name], dtype=float).T
        shown = axes.imshow(
            values,
            aspect="auto",
            origin="lower",
            cmap=colours,
            interpolation="nearest",
            extent=(0, values.shape[1], -0.5, values.shape[0] - 0.5),
            vmin=0,
            vmax=1 if name == "breakers" else max(1.0, values.max()),
        )
        figure.colorbar(shown, ax=axes)
        axes.set(ylabel="server's place", title=f"{title} ({run['arm']}, seed {run['seed']})")
    both[1].set(xlabel="seconds")
    return save_figure(figure, path)


def plot_latency(runs: Sequence[dict[str, Any]], arms: Sequence[str], path: Path) -> Path:
    """Percentiles on the scale of HdrHistogram's plots: each step to the right is a nine more."""
    figure, axes = pyplot.subplots(figsize=(9, 3.6))
    nines = numpy.linspace(0.1, 4.0, 60)
    for arm in arms:
        held = merge_histograms([run["latency"] for run in runs if run["arm"] == arm])
        if held.get_total_count():
            axes.plot(
                nines, [held.get_value_at_percentile(100 * (1 - 10**-n)) / 1000 for n in nines], label=arm
            )
    axes.set_xticks([1, 2, 3, 4], ["90%", "99%", "99.9%", "99.99%"])
    axes.set(ylabel="ms from when it should go out", yscale="log")
    axes.legend(fontsize=7)
    return save_figure(figure, path)


def plot_losses(made: Sequence[ArmSummary], path: Path) -> Path:
    """What was not served in time, by cause."""
    figure, axes = pyplot.subplots(figsize=(9, 0.6 + 0.34 * len(made)))
    names = [f"{row.point}: {row.arm}" if row.point else row.arm for row in made][::-1]
    left = numpy.zeros(len(made))
    for cause in made[0].losses:
        shares = numpy.array([row.losses[cause] for row in made][::-1])
        axes.barh(names, shares, left=left, label=cause)
        left += shares
    axes.set(xlabel="share of what was offered")
    axes.tick_params(labelsize=7)
    axes.legend(fontsize=7, ncol=5, loc="lower right")
    return save_figure(figure, path)


def plot_liveness(
    names: Sequence[str],
    at: Sequence[float],
    rows: Sequence[Sequence[float]],
    marks: Sequence[Sequence[Any]],
    path: Path,
) -> Path:
    """A row a sidecar, a column a look: the share of the others that see it as alive."""
    figure, axes = pyplot.subplots(figsize=(9, min(9.0, 1.8 + 0.16 * len(names))))
    edges = [*at, at[-1] + (at[-1] - at[0]) / max(1, len(at) - 1)]
    shown = axes.pcolormesh(
        edges, numpy.arange(len(names) + 1), numpy.array(rows, dtype=float).T, vmin=0, vmax=1, cmap="RdYlGn"
    )
    step = max(1, len(names) // 25)
    axes.set_yticks(numpy.arange(0, len(names), step) + 0.5, names[::step], fontsize=6)
    axes.invert_yaxis()
    figure.colorbar(shown, ax=axes, label="seen as alive by")
    mark_faults(axes, marks)
    axes.set(xlabel="seconds")
    return save_figure(figure, path)


def plot_traffic(
    at: Sequence[float],
    messages: Sequence[float],
    sizes: Sequence[float],
    marks: Sequence[Sequence[Any]],
    path: Path,
) -> Path:
    """Messages and kilobytes a second, all sidecars together."""
    figure, axes = pyplot.subplots(figsize=(9, 3))
    axes.plot(at, messages, lw=1.4, label="messages a second")
    other = axes.twinx()
    other.plot(at, [size / 1000 for size in sizes], lw=1.0, color="tab:orange")
    other.set_ylabel("kB a second", color="tab:orange")
    mark_faults(axes, marks)
    axes.set(xlabel="seconds", ylabel="messages a second")
    return save_figure(figure, path)
