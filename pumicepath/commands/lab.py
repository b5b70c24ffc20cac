"""The commands `lab run`, `judge`, `list`, `show` and `compare` for experiments."""

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
    """Read an experiment file; ends the command if it is invalid or packages of the lab are missing."""
    try:
        from ..lab.experiments import files
    except ImportError as error:
        fail(MISSING_PACKAGE.format(error))
    try:
        return files.load_experiment(file, seeds, host)
    except files.ExperimentError as error:
        fail(error)


@click.group()
def lab() -> None:
    """Simulate failures and loads, in virtual time or with real processes on loopback."""


@lab.command()
@FILE_ARGUMENT
@click.option(
    "--report",
    "folder",
    type=click.Path(path_type=Path),
    metavar="DIR",
    help="Folder for the results and the report; by default found/<name>.",
)
@click.option("--seeds", type=click.IntRange(1), help="Number of seeds, instead of the file's.")
@click.option(
    "--workers",
    type=click.IntRange(1),
    default=os.cpu_count() or 1,
    show_default=True,
    help="Number of processes that execute runs.",
)
@click.option(
    "--on",
    "host",
    type=click.Choice(["virtual", "loopback"]),
    default="virtual",
    show_default=True,
    help="Whether sidecars are simulated or real processes; on loopback the plan is executed once.",
)
@click.option("--seed", type=click.IntRange(0), help="On loopback: seed of the load and the faults.")
@click.option("--json", "as_json", is_flag=True, help="On loopback: print one JSON object at the end.")
def run(
    file: Path,
    folder: Path | None,
    seeds: int | None,
    workers: int,
    host: str,
    seed: int | None,
    as_json: bool,
) -> None:
    """Run an experiment and write its report.  Exits with 1 if our decisions broke a rule."""
    loaded = read_experiment(file, seeds or 0, host)
    if host != "loopback" and (seed is not None or as_json):
        fail("--seed and --json go with --on loopback")
    from ..lab.experiments.folder_lock import FolderLockedError, locked_folder

    where = folder or Path("found") / loaded.name
    with ExitStack() as until_done:
        try:
            until_done.enter_context(locked_folder(where))
        except FolderLockedError as error:
            fail(error)
        except OSError as error:
            fail(f"{where}: {error.strerror}")
        if host == "loopback":
            play_loopback(loaded, where, loaded.experiment.first_seed if seed is None else seed, as_json)
        else:
            play_virtual(loaded, where, workers)


def play_virtual(loaded: LoadedExperiment, where: Path, workers: int) -> None:
    """Execute all runs in virtual time and write the report."""
    from rich.console import Console
    from rich.progress import Progress

    from ..lab.experiments import comparison, report, runner
    from ..lab.virtual.run import PUMICEPATH

    console = Console(stderr=True)
    with Progress(console=console, disable=not console.is_terminal) as progress:
        task = progress.add_task(loaded.name, total=len(loaded.runs))
        try:
            complete = runner.run_experiment(
                loaded, where, workers, lambda count, _: progress.update(task, completed=count)
            )
        except OSError as error:
            fail(f"{where}: {error.strerror}")
    head, runs = runner.read_results(where)
    if not runs:
        fail("interrupted before the first run had ended", 130)
    rows = comparison.summarize_arms(head, runs)
    click.echo("\n".join(comparison.terminal_table(head, rows)))
    click.echo(f"report: {report.write_report(where, head, runs)}")
    if not complete:
        fail(f"interrupted after {len(runs)} of {head['runs']} runs; the report holds these", 130)
    if any(run["policy"] == PUMICEPATH and any(run["rules"].values()) for run in runs):
        fail("a rule was broken", 1)


def play_loopback(loaded: LoadedExperiment, folder: Path, seed: int, as_json: bool) -> None:
    """Execute the plan with real processes; the history and the report go into the folder."""
    import orjson

    from ..lab.experiments import fleet_report
    from ..lab.loopback import demo, world

    history = folder / fleet_report.HISTORY_FILE
    try:
        result = world.play(
            loaded.plan, seed, None if as_json else lambda each: click.echo(demo.render_line(each)), history
        )
    except world.InvalidRunError as error:
        fail(f"void: {error}", 3)
    except OSError as error:
        fail(f"loopback: {error.strerror or error}")
    except KeyboardInterrupt:
        fail(f"interrupted; no process is left, and {history} holds what was seen", 130)
    checked = fleet_report.check_history(history)
    page = fleet_report.write_report(folder, loaded.experiment.title, checked)
    if as_json:
        click.echo(orjson.dumps({**demo.totals(result), **checked.metrics()}).decode())
    else:
        click.echo(
            "\n".join(
                [
                    *demo.summary_lines(result),
                    *checked.summary_lines(),
                    f"history: {history}",
                    f"report: {page}",
                ]
            )
        )
    if checked.violations:
        raise SystemExit(1)


@lab.command()
@click.argument("history", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object only.")
def judge(history: Path, as_json: bool) -> None:
    """Check the recorded history of a run with real processes.  Exits with 1 if a rule was broken."""
    try:
        import orjson

        from ..lab.experiments import fleet_report
        from ..lab.verification.history import HistoryError
    except ImportError as error:
        fail(MISSING_PACKAGE.format(error))
    try:
        checked = fleet_report.check_history(history)
    except HistoryError as error:
        fail(error)
    click.echo(orjson.dumps(checked.metrics()).decode() if as_json else "\n".join(checked.summary_lines()))
    if checked.violations:
        raise SystemExit(1)


@lab.command("list")
@click.argument("folder", type=click.Path(path_type=Path), default=Path("experiments"))
def list_experiments(folder: Path) -> None:
    """List the experiments in a folder, by default experiments/."""
    paths = sorted(folder.glob("*.toml"))
    if not paths:
        fail(f"{folder}: no experiments there")
    for file in paths:
        loaded = read_experiment(file)
        click.echo(f"{file.stem:<22} {len(loaded.runs):4d} runs  {loaded.experiment.title}")


@lab.command()
@FILE_ARGUMENT
def show(file: Path) -> None:
    """Check an experiment file and print what it would run."""
    loaded = read_experiment(file)
    plan, experiment = loaded.plan, loaded.experiment
    click.echo(f"{experiment.title}\n{experiment.why}".rstrip())
    click.echo(
        f"  {plan.fleet.servers} servers in {plan.fleet.halls} halls, {plan.sidecars.count} sidecars, "
        f"{plan.rate():.0f} submissions/s, {plan.lasts_s:g} s"
    )
    for fault in plan.troubles:
        click.echo(f"  {fault.at_s:g} s: {fault.kind} for {fault.for_s:g} s")
    click.echo(f"  arms: {'; '.join(loaded.arms)}")
    if experiment.sweep:
        click.echo(f"  points: {'; '.join(loaded.points)}")
    click.echo(f"  {len(loaded.runs)} runs")


@lab.command()
@click.argument("one", type=click.Path(path_type=Path))
@click.argument("other", type=click.Path(path_type=Path))
def compare(one: Path, other: Path) -> None:
    """Compare the second report with the first, in pairs of runs with the same seed."""
    try:
        from ..lab.experiments import comparison, runner
    except ImportError as error:
        fail(MISSING_PACKAGE.format(error))
    both = []
    for path in (one, other):
        try:
            both.append(runner.read_results(path))
        except (OSError, ValueError, KeyError) as error:
            fail(f"{path}: {getattr(error, 'strerror', None) or error}")
    click.echo("\n".join(comparison.compare_reports(both[0], both[1])))


lab.add_command(scale.scale)
