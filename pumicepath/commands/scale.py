"""`lab scale`: many hollow sidecars, against what carries lists and changes to them."""

from __future__ import annotations

import os
import signal
from pathlib import Path
from typing import NoReturn

import click

from .errors import fail


@click.command()
@click.option("--sidecars", type=int, required=True, help="Servers, each with its own sidecar.")
@click.option("--services", type=int, required=True, help="What they belong to, a long tail of sizes.")
@click.option("--regions", type=int, default=1, show_default=True)
@click.option("--zones", type=int, help="At least one a region, which is the default.")
@click.option("--changes-per-s", type=float, default=1.0, show_default=True, help="Of the whole fleet.")
@click.option(
    "--for",
    "seconds",
    type=float,
    default=30.0,
    show_default=True,
    metavar="SECONDS",
    help="How long changes are made.",
)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option(
    "--form",
    type=click.Choice(["direct", "relayed"]),
    default="direct",
    show_default=True,
    help="Whether sidecars ask the one discovery, or relays.",
)
@click.option("--relays-per-region", type=int, default=2, show_default=True)
@click.option("--calls", type=int, default=5, show_default=True, help="Services that a sidecar calls.")
@click.option(
    "--popular",
    type=float,
    default=0.0,
    show_default=True,
    help="A service of size n is called as often as n to this power; 0: all alike.",
)
@click.option(
    "--play-regions",
    "played",
    type=int,
    default=0,
    metavar="N",
    help="Start the sidecars and relays of the first N regions only, beside all origins.",
)
@click.option("--whole-bytes-per-s", type=int, default=0, metavar="N", help="A relay's pace of whole lists.")
@click.option("--fault", "faults", multiple=True, metavar="NAME", help="May be given again; see docs/lab.md.")
@click.option("--fault-for", "fault_s", type=float, default=6.0, show_default=True, metavar="SECONDS")
@click.option("--processes", type=int, default=0, help="Of sidecars; by default half of the cores.")
@click.option(
    "--report",
    "folder",
    type=click.Path(path_type=Path),
    metavar="DIR",
    help="Where the truth and what was seen go; by default found/scale.",
)
@click.option("--json", "as_json", is_flag=True, help="Only the last line, no progress.")
def scale(
    sidecars: int,
    services: int,
    regions: int,
    zones: int | None,
    changes_per_s: float,
    seconds: float,
    seed: int,
    form: str,
    relays_per_region: int,
    calls: int,
    popular: float,
    played: int,
    whole_bytes_per_s: int,
    faults: tuple[str, ...],
    fault_s: float,
    processes: int,
    folder: Path | None,
    as_json: bool,
) -> None:
    """Run many hollow sidecars in few processes, and judge what their balancers go by.

    Ends with one line of JSON, and with 1 if something was violated, 2 if it can't be run as asked, 3 if the
    rig itself failed.
    """
    import orjson

    from ..lab.experiments.folder_lock import FolderLockedError, locked_folder
    from ..lab.hollow import resource_estimate
    from ..lab.hollow.faults import check_faults
    from ..lab.hollow.plan import Plan, RunOptions, RunOptionsError, check_options
    from ..lab.hollow.processes import InvalidRunError
    from ..lab.hollow.run import HollowRun

    ask = RunOptions(
        sidecars,
        services,
        regions,
        regions if zones is None else zones,
        changes_per_s,
        seconds,
        seed,
        form,
        relays_per_region,
        calls,
        popular,
        played,
        whole_bytes_per_s,
        processes,
        fault_s,
        faults,
    )
    where = folder or Path("found") / "scale"

    def progress(line: str) -> None:
        if not as_json:
            click.echo(line, err=True)

    try:
        plan = Plan(check_options(ask))
        check_faults(ask)
        hosts = resource_estimate.host_process_count(plan, os.cpu_count() or 1)
        needed = resource_estimate.estimate_resources(plan, hosts)
        progress(needed.summary())
        resource_estimate.check_limits(needed)
        before = signal.signal(signal.SIGTERM, on_sigterm)
        try:
            with locked_folder(where):
                result = HollowRun(plan, where.resolve(), hosts, progress).play()
        finally:
            signal.signal(signal.SIGTERM, before)
    except (RunOptionsError, FolderLockedError) as trouble:
        fail(trouble)
    except InvalidRunError as trouble:
        fail(f"void: {trouble}", 3)
    except OSError as trouble:
        fail(f"{where}: {trouble.strerror or trouble}")
    except KeyboardInterrupt:
        fail("interrupted; no process is left", 130)
    click.echo(orjson.dumps(result).decode())
    if result["violations"] or result["not_in_force"]:
        raise SystemExit(1)


def on_sigterm(number: int, frame: object) -> NoReturn:
    """SIGTERM ends a run as ctrl-C does, with all that it started."""
    raise KeyboardInterrupt
