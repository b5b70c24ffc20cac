"""`demo`: see it work, without writing a file first."""

from __future__ import annotations

import click

from .errors import fail


@click.command()
@click.option(
    "--for",
    "seconds",
    type=click.FloatRange(2.0, 3600.0),
    default=20.0,
    show_default=True,
    metavar="SECONDS",
    help="How long the clients go on.",
)
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    help="Of the load, the servers and what goes wrong.",
)
@click.option("--json", "as_json", is_flag=True, help="Only one object at the end.")
def demo(seconds: float, seed: int, as_json: bool) -> None:
    """Run a fleet on loopback in which something goes wrong every few seconds.

    Two halls, eight simulated servers, three real sidecars, clients, and a judge, which asks no sidecar. Ends
    with 0 only if it found nothing broken, with 1 if it did, with 3 if the machine was too slow to tell.
    """
    try:
        import orjson
        from rich.console import Console
        from rich.live import Live

        from ..lab.loopback import demo as shown
        from ..lab.loopback import world
    except ImportError as trouble:
        fail(f"needs what `pip install -e '.[lab]'` installs: {trouble}")
    console = Console()
    plan = shown.plan(seconds)
    try:
        if as_json:
            result = world.play(plan, seed)
        elif console.is_terminal:
            with Live(console=console, refresh_per_second=4) as live:
                result = world.play(plan, seed, lambda each: live.update(shown.view(each)))
        else:
            result = world.play(plan, seed, lambda each: click.echo(shown.line(each)))
    except world.Void as trouble:
        fail(f"void: {trouble}", 3)
    except OSError as trouble:
        fail(f"loopback: {trouble.strerror or trouble}")
    except KeyboardInterrupt:
        fail("interrupted; no process is left", 130)
    if as_json:
        click.echo(orjson.dumps(shown.totals(result)).decode())
    else:
        click.echo("\n".join(shown.verdict(result)))
    if any(result.rules.values()):
        raise SystemExit(1)
