"""Experiments: `lab run`, `list`, `show` and `compare`."""

from __future__ import annotations

import os
from contextlib import ExitStack
from pathlib import Path
from typing import TYPE_CHECKING

import click

from . import scale
from .errors import fail

if TYPE_CHECKING:
    from ..lab.experiments.files import LoadedExperiment

MISSING_PACKAGE = "needs what `pip install -e '.[lab]'` installs: {}"
FILE_ARGUMENT = click.argument("file", type=click.Path(path_type=Path))


def read_experiment(file: Path, seeds: int = 0, host: str = "") -> LoadedExperiment:
    try:
        from ..lab.experiments import files
    except ImportError as trouble:
        fail(MISSING_PACKAGE.format(trouble))
    try:
        return files.load_experiment(file, seeds, host)
    except files.ExperimentError as trouble:
        fail(trouble)


@click.group()
def lab() -> None:
    """Rehearse failures and loads, in virtual time or with real processes on loopback."""


@lab.command()
@FILE_ARGUMENT
@click.option(
    "--report",
    "folder",
    type=click.Path(path_type=Path),
    metavar="DIR",
    help="Where results and the page go; by default found/<name>.",
)
@click.option("--seeds", type=click.IntRange(1), help="Instead of the file's number of seeds.")
@click.option(
    "--workers",
    type=click.IntRange(1),
    default=os.cpu_count() or 1,
    show_default=True,
    help="Processes that play runs.",
)
@click.option(
    "--on",
    "host",
    type=click.Choice(["virtual", "loopback"]),
    default="virtual",
    show_default=True,
    help="Whether sidecars are simulated or real processes; on loopback the plan is played once.",
)
@click.option("--seed", type=click.IntRange(0), help="On loopback: of the load and what goes wrong.")
@click.option("--json", "as_json", is_flag=True, help="On loopback: end with one object.")
def run(
    file: Path,
    folder: Path | None,
    seeds: int | None,
    workers: int,
    host: str,
    seed: int | None,
    as_json: bool,
) -> None:
    """Play an experiment, and write its report.  Ends with 1 if a rule was broken by our decisions."""
    made = read_experiment(file, seeds or 0, host)
    if host != "loopback" and (seed is not None or as_json):
        fail("--seed and --json go with --on loopback")
    from ..lab.experiments.folder_lock import FolderLockedError, locked_folder

    where = folder or Path("found") / made.name
    with ExitStack() as until_it_ends:
        try:
            until_it_ends.enter_context(locked_folder(where))
        except FolderLockedError as trouble:
            fail(trouble)
        except OSError as trouble:
            fail(f"{where}: {trouble.strerror}")
        if host == "loopback":
            play_loopback(made, where, made.experiment.first_seed if seed is None else seed, as_json)
        else:
            play_virtual(made, where, workers)


def play_virtual(made: LoadedExperiment, where: Path, workers: int) -> None:
    """Play all runs in virtual time, and write the report."""
    from rich.console import Console
    from rich.progress import Progress

    from ..lab.experiments import comparison, report, runner
    from ..lab.virtual.run import PUMICEPATH

    console = Console(stderr=True)
    with Progress(console=console, disable=not console.is_terminal) as progress:
        task = progress.add_task(made.name, total=len(made.runs))
        try:
            whole = runner.run_experiment(
                made, where, workers, lambda count, _: progress.update(task, completed=count)
            )
        except OSError as trouble:
            fail(f"{where}: {trouble.strerror}")
    head, runs = runner.read_results(where)
    if not runs:
        fail("interrupted before the first run had ended", 130)
    rows = comparison.summarize_arms(head, runs)
    click.echo("\n".join(comparison.terminal_table(head, rows)))
    click.echo(f"report: {report.write_report(where, head, runs)}")
    if not whole:
        fail(f"interrupted after {len(runs)} of {head['runs']} runs; the report holds these", 130)
    if any(run["policy"] == PUMICEPATH and any(run["rules"].values()) for run in runs):
        fail("a rule was broken", 1)


def play_loopback(made: LoadedExperiment, folder: Path, seed: int, as_json: bool) -> None:
    """Play with real processes; the history and the page about it go into the folder."""
    import orjson

    from ..lab.experiments import fleet_report
    from ..lab.loopback import demo, world

    history = folder / fleet_report.HISTORY_FILE
    try:
        result = world.play(
            made.plan, seed, None if as_json else lambda each: click.echo(demo.render_line(each)), history
        )
    except world.InvalidRunError as trouble:
        fail(f"void: {trouble}", 3)
    except OSError as trouble:
        fail(f"loopback: {trouble.strerror or trouble}")
    except KeyboardInterrupt:
        fail(f"interrupted; no process is left, and {history} holds what was seen", 130)
    found = fleet_report.check_history(history)
    page = fleet_report.write_report(folder, made.experiment.title, found)
    if as_json:
        click.echo(orjson.dumps({**demo.totals(result), **found.metrics()}).decode())
    else:
        click.echo(
            "\n".join(
                [
                    *demo.summary_lines(result),
                    *found.summary_lines(),
                    f"history: {history}",
                    f"report: {page}",
                ]
            )
        )
    if found.violations:
        raise SystemExit(1)


@lab.command()
@click.argument("history", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Only one object.")
def judge(history: Path, as_json: bool) -> None:
    """Check a history of real processes, without the run.  Ends with 1 if something was broken."""
    try:
        import orjson

        from ..lab.experiments import fleet_report
        from ..lab.verification.history import HistoryError
    except ImportError as trouble:
        fail(MISSING_PACKAGE.format(trouble))
    try:
        found = fleet_report.check_history(history)
    except HistoryError as trouble:
        fail(trouble)
    click.echo(orjson.dumps(found.metrics()).decode() if as_json else "\n".join(found.summary_lines()))
    if found.violations:
        raise SystemExit(1)


@lab.command("list")
@click.argument("folder", type=click.Path(path_type=Path), default=Path("experiments"))
def list_experiments(folder: Path) -> None:
    """Name the experiments in a folder, by default experiments/."""
    found = sorted(folder.glob("*.toml"))
    if not found:
        fail(f"{folder}: no experiments there")
    for file in found:
        made = read_experiment(file)
        click.echo(f"{file.stem:<22} {len(made.runs):4d} runs  {made.experiment.title}")


@lab.command()
@FILE_ARGUMENT
def show(file: Path) -> None:
    """Check an experiment, and say what it would run."""
    made = read_experiment(file)
    plan, own = made.plan, made.experiment
    click.echo(f"{own.title}\n{own.why}".rstrip())
    click.echo(
        f"  {plan.fleet.servers} servers in {plan.fleet.halls} halls, {plan.sidecars.count} sidecars, "
        f"{plan.rate():.0f} submissions/s, {plan.lasts_s:g} s"
    )
    for trouble in plan.troubles:
        click.echo(f"  {trouble.at_s:g} s: {trouble.kind} for {trouble.for_s:g} s")
    click.echo(f"  arms: {'; '.join(made.arms)}")
    if own.sweep:
        click.echo(f"  points: {'; '.join(made.points)}")
    click.echo(f"  {len(made.runs)} runs")


@lab.command()
@click.argument("one", type=click.Path(path_type=Path))
@click.argument("other", type=click.Path(path_type=Path))
def compare(one: Path, other: Path) -> None:
    """Hold the second report against the first, in pairs with the same seed."""
    try:
        from ..lab.experiments import comparison, runner
    except ImportError as trouble:
        fail(MISSING_PACKAGE.format(trouble))
    both = []
    for path in (one, other):
        try:
            both.append(runner.read_results(path))
        except (OSError, ValueError, KeyError) as trouble:
            fail(f"{path}: {getattr(trouble, 'strerror', None) or trouble}")
    click.echo("\n".join(comparison.compare_reports(both[0], both[1])))


lab.add_command(scale.scale)
